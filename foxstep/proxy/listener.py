"""The proxy's listening side: accepts HTTP/2 connections of clients and answers their ops."""

import asyncio

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from foxstep.proxy.http2 import Http2Protocol

CONFIG = h2.config.H2Configuration(
    client_side=False, header_encoding=None, validate_inbound_headers=True, normalize_outbound_headers=False
)
MAX_STREAMS = 256  # concurrent ops on one client connection
MAX_REPLAY_BYTES = 256 * 1024  # of a request's body that are kept for a retry


class Op:
    """One op of a client, on one HTTP/2 stream.

    `parts` holds the body received so far while a retry may need it, `released` counts the parts dropped.
    """

    def __init__(self, client, stream_id, headers):
        self.client = client
        self.stream_id = stream_id
        self.headers = headers
        path = next((value for name, value in headers if name == b":path"), b"")
        self.path = path.decode("utf-8", "replace")
        self.parts = []
        self.size = 0
        self.body_ended = False
        self.body_changed = asyncio.Event()
        self.replayable = True
        self.released = 0
        self.window_changed = asyncio.Event()
        self.cancelled = False
        self.answer_began = False
        self.task = None

    def receive_body(self, data, flow_bytes):
        """Adds a part of the body; `flow_bytes` is its length as flow control counts it."""
        self.parts.append((data, flow_bytes))
        self.size += len(data)
        if self.size > MAX_REPLAY_BYTES:
            self.replayable = False
        self.body_changed.set()

    def body_part(self, index):
        """The body part at `index`, or None if it has not arrived yet."""
        return self.parts[index - self.released] if index - self.released < len(self.parts) else None

    def part_sent(self, index):
        """Called after a part was sent to a server.

        While the op is replayable, parts stay and the client's window is not reopened, so that no more than
        MAX_REPLAY_BYTES are buffered. Beyond that bound, parts are released as they are sent.
        """
        if not self.replayable:
            while self.released <= index and self.parts:
                self.client.acknowledge(self.stream_id, self.parts.pop(0)[1])
                self.released += 1

    # -- the answer

    def send_head(self, headers, end=False):
        """Sends the response headers; from then on the op can't be retried."""
        self.answer_began = True
        self.client.send_headers(self.stream_id, headers, end)

    async def send(self, data):
        await self.client.send(self, data)

    def finish(self, trailers):
        self.client.send_headers(self.stream_id, trailers, True)

    def fail(self, status, text, retry_after=None):
        """Answers the op with an error status.

        `retry_after`: microseconds that the client is to wait before it retries, sent as gRPC's pushback
        trailer.
        """
        if self.cancelled:
            return
        trailers = [
            (b"grpc-status", b"%d" % status),
            (b"grpc-message", text.encode("ascii", "replace")[:200]),
        ]
        if retry_after is not None:
            trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-retry_after // 1000))))
        if self.answer_began:
            self.finish(trailers)
        else:
            self.send_head([(b":status", b"200"), (b"content-type", b"application/grpc"), *trailers], True)


class ClientConnection(Http2Protocol):
    """One client's connection. The listener runs each op in a task of its own."""

    def __init__(self, listener):
        super().__init__(h2.connection.H2Connection(config=CONFIG))
        self.listener = listener
        self.ops = {}

    def connection_made(self, transport):
        self.transport = transport
        self.listener.clients[self] = None
        self.http2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 2 * MAX_REPLAY_BYTES,
            },
        )
        self.http2.initiate_connection()
        self.http2.increment_flow_control_window(4 * 2**20)
        self.flush()

    def data_received(self, data):
        try:
            events = self.http2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.write_out()
            self.transport.close()
            return
        for event in events:
            self.handle_event(event)
        self.flush()

    def handle_event(self, event):
        if isinstance(event, h2.events.RequestReceived):
            op = self.ops[event.stream_id] = Op(self, event.stream_id, event.headers)
            if self.listener.draining:
                self.http2.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
                del self.ops[event.stream_id]
                return
            op.task = asyncio.get_running_loop().create_task(self.listener.run(op))
        elif isinstance(event, h2.events.WindowUpdated):
            for op in self.ops.values():
                op.window_changed.set()
        elif isinstance(event, h2.events.ConnectionTerminated):
            pass  # GOAWAY: the client closes the connection after its last op
        else:
            op = self.ops.get(getattr(event, "stream_id", None))
            if isinstance(event, h2.events.DataReceived):
                if op:
                    op.receive_body(event.data, event.flow_controlled_length)
                else:
                    self.acknowledge(event.stream_id, event.flow_controlled_length)
            elif op and isinstance(event, h2.events.StreamEnded):
                op.body_ended = True
                op.body_changed.set()
            elif op and isinstance(event, h2.events.StreamReset):
                self.cancel_op(op)

    def cancel_op(self, op):
        """Cancels an op whose client reset the stream or disconnected."""
        op.cancelled = True
        if op.task:
            op.task.cancel()
        self.ops.pop(op.stream_id, None)

    def acknowledge(self, stream_id, flow_bytes):
        """Reopens the client's flow control windows by this many bytes."""
        if not self.closed and flow_bytes:
            try:
                self.http2.acknowledge_received_data(flow_bytes, stream_id)
                self.flush()
            except h2.exceptions.ProtocolError:
                pass  # the stream is closed

    def send_headers(self, stream_id, headers, end):
        if self.closed or stream_id not in self.ops:
            return
        self.http2.send_headers(stream_id, headers, end_stream=end)
        if end:
            op = self.ops.pop(stream_id)
            for _, flow_bytes in op.parts:  # the parts that were not acknowledged
                if flow_bytes:
                    self.http2.increment_flow_control_window(flow_bytes)
        self.flush()

    async def send(self, op, data):
        """Sends response data as far as flow control allows."""
        offset = 0
        while offset < len(data) and not op.cancelled and not self.closed:
            window_bytes = min(
                self.http2.local_flow_control_window(op.stream_id), self.http2.max_outbound_frame_size
            )
            if window_bytes > 0:
                self.http2.send_data(op.stream_id, data[offset : offset + window_bytes])
                offset += window_bytes
                self.flush()
            else:
                op.window_changed.clear()
                await op.window_changed.wait()

    def connection_lost(self, error):
        self.closed = True
        self.listener.clients.pop(self, None)
        for op in list(self.ops.values()):
            self.cancel_op(op)


class Listener:
    """Listens for clients. `handle(op)` is an async function that answers an op."""

    def __init__(self, handle):
        self.handle = handle
        self.clients = {}
        self.draining = False
        self.server = None
        self.port = 0

    async def open(self, host, port):
        """Starts to listen; port 0 picks a free one."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self), host, port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def run(self, op):
        try:
            await self.handle(op)
        except asyncio.CancelledError:
            if not op.cancelled:
                op.fail(14, "the proxy stops")
            raise

    async def close(self, timeout):
        """Drains: refuses new ops and gives those in flight `timeout` seconds to finish."""
        self.draining = True
        if self.server:
            self.server.close()
        for client in self.clients:
            # Sends GOAWAY. h2 then refuses to send on the connection, so its state is reset for the open ops.
            client.http2.close_connection(last_stream_id=client.http2.highest_inbound_stream_id)
            client.http2.state_machine.state = h2.connection.ConnectionState.SERVER_OPEN
            client.flush()
        deadline = asyncio.get_running_loop().time() + timeout
        while any(c.ops for c in self.clients) and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
        for client in list(self.clients):
            for op in list(client.ops.values()):
                op.task.cancel()
            await asyncio.sleep(0)
            client.write_out()
            client.transport.close()
