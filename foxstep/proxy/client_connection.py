"""One client's HTTP/2 connection to the proxy."""

import asyncio
import select

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from foxstep.proxy.http2 import Http2Protocol
from foxstep.proxy.inbound_frames import HeaderBlockTooLongError, InboundFrames
from foxstep.proxy.op import MAX_REPLAY_BYTES, Op
from foxstep.proxy.status import RESOURCE_EXHAUSTED

CONFIG = h2.config.H2Configuration(
    client_side=False, header_encoding=None, validate_inbound_headers=True, normalize_outbound_headers=False
)
MAX_STREAMS = 256  # concurrent ops on one client connection
MAX_HEADER_LIST_BYTES = 16_384  # of a request's decoded headers, with 32 for each as HTTP/2 counts them
HEAD_TIMEOUT_S = 10.0  # for a preface, and for a header block that has begun
HIGH_WATER_BYTES = 65_536  # unsent bytes above which nothing more is read from the client
# Reported by poll() when the peer has closed its side, before what it sent earlier has been read. Linux only;
# elsewhere it is noticed once all is read.
END_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def poll_for_end(sock):
    """A poll object that reports the end of a socket's peer; None without a socket."""
    if sock is None:
        return None
    poller = select.poll()
    poller.register(sock.fileno(), END_EVENTS)
    return poller


class ClientHttp2(h2.connection.H2Connection):
    """The `h2` state machine of a client's connection, with less memory of closed streams."""

    MAX_CLOSED_STREAMS = 1024
    DEFAULT_MAX_HEADER_LIST_SIZE = MAX_HEADER_LIST_BYTES


class ClientConnection(Http2Protocol, asyncio.BufferedProtocol):
    """One client's connection. The listener runs each op in a task of its own.

    Bytes are parsed in turns of bounded work. While bytes wait for the next turn, or the client does not read
    what was written to it, nothing more is read."""

    def __init__(self, listener):
        super().__init__(ClientHttp2(config=CONFIG))
        self.listener = listener
        self.ops = {}
        self.frames = InboundFrames()
        self.next_turn = None  # the timer of the next turn, while bytes wait for it
        self.head_timer = None  # ends the connection unless the head that has begun is complete by then
        self.writable = asyncio.Event()
        self.writable.set()
        self.poller = None

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(HIGH_WATER_BYTES)
        self.poller = poll_for_end(transport.get_extra_info("socket"))
        self.listener.add_client(self)
        self.watch_head()
        self.http2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 2 * MAX_REPLAY_BYTES,
            },
        )
        self.http2.initiate_connection()
        self.http2.increment_flow_control_window(4 * 2**20)
        self.flush()

    # -- reading

    def get_buffer(self, sizehint):
        return self.listener.read_buffer

    def buffer_updated(self, size):
        self.data_received(bytes(self.listener.read_buffer[:size]))

    def data_received(self, data):
        """Takes received bytes; they are parsed now, or when their turn comes."""
        self.frames.add(data)
        if self.next_turn is None and self.writable.is_set():
            self.take_turn()

    def take_turn(self):
        """Parses the bytes of one turn. The next one comes after as much time as this one has taken, so that
        one client takes half of the time at most."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.next_turn = None
        try:
            events = self.http2.receive_data(self.frames.take_turn())
        except (h2.exceptions.ProtocolError, HeaderBlockTooLongError):
            self.end()
            return
        for event in events:
            self.handle_event(event)
        self.flush()
        self.watch_head()
        if self.frames.has_complete_frame():
            self.transport.pause_reading()
            self.next_turn = loop.call_later(loop.time() - started_at, self.take_turn)
        elif self.writable.is_set():
            self.transport.resume_reading()

    def watch_head(self):
        """Starts the deadline of a preface or a header block that has begun, or ends it."""
        is_incomplete = self.frames.head_is_incomplete()
        if is_incomplete and self.head_timer is None:
            self.head_timer = asyncio.get_running_loop().call_later(HEAD_TIMEOUT_S, self.end)
        elif not is_incomplete and self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def pause_writing(self):
        self.writable.clear()
        self.transport.pause_reading()  # answers to what it sends would pile up
        self.stop_turns()

    def resume_writing(self):
        self.writable.set()
        if not self.closed:
            self.take_turn()

    def stop_turns(self):
        """Cancels the next turn."""
        if self.next_turn:
            self.next_turn.cancel()
            self.next_turn = None

    def has_left(self):
        """Whether the client has closed the connection, even if what it sent before is still unread."""
        return self.closed or bool(self.poller and self.poller.poll(0))

    def end(self):
        """Closes the connection; unsent data is discarded if the client does not read it."""
        self.write_out()
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    # -- events

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
                    self.listener.limit_held_bytes()
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
        self.forget_op(op)

    def forget_op(self, op):
        """Removes an op that has ended; the client's window is reopened by what was held of its body."""
        self.ops.pop(op.stream_id, None)
        flow_bytes = op.release_body()
        if flow_bytes and not self.closed:
            self.http2.increment_flow_control_window(flow_bytes)
            self.flush()

    def shed_op(self, op):
        """Ends an op whose body takes too much of the memory for all bodies."""
        op.fail(RESOURCE_EXHAUSTED, "too much of the request is buffered")
        self.cancel_op(op)

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
            self.forget_op(self.ops[stream_id])
        self.flush()

    async def send(self, op, data):
        """Sends response data as far as flow control and the client's reading allow."""
        offset = 0
        while offset < len(data) and not op.cancelled and not self.closed:
            await self.writable.wait()
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
        self.writable.set()  # nothing waits for it any more
        self.stop_turns()
        if self.head_timer:
            self.head_timer.cancel()
        self.listener.clients.pop(self, None)
        for op in list(self.ops.values()):
            self.cancel_op(op)
