"""The proxy's own port: HTTP/2 in, ops as they come, answers as they are given."""

import asyncio

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from foxstep.proxy.wired import Wired

CONFIG = h2.config.H2Configuration(
    client_side=False, header_encoding=None, validate_inbound_headers=True, normalize_outbound_headers=False
)
STREAMS = 256  # ops at once on one client's connection
REPLAY_MOST = 256 * 1024  # bytes of a request that are kept for a further try


class Op:
    """One op of a client. `kept` are its body's parts so far, while a further try may need them."""

    def __init__(self, client, number, headers):
        self.client = client
        self.number = number
        self.headers = headers
        path = next((value for name, value in headers if name == b":path"), b"")
        self.path = path.decode("utf-8", "replace")
        self.kept = []
        self.size = 0
        self.ended = False
        self.more = asyncio.Event()
        self.replayable = True
        self.forgotten = 0
        self.window = asyncio.Event()
        self.gone = False
        self.began = False
        self.task = None

    def body(self, data, counted):
        self.kept.append((data, counted))
        self.size += len(data)
        if self.size > REPLAY_MOST:
            self.replayable = False
        self.more.set()

    def part(self, place):
        """A part of the body by its place, or None if it is still to come."""
        return self.kept[place - self.forgotten] if place - self.forgotten < len(self.kept) else None

    def passed(self, place):
        """A part went on to a server. While it may be needed again the client is not asked for more than the
        replay bound; beyond it the parts are forgotten as they pass."""
        if not self.replayable:
            while self.forgotten <= place and self.kept:
                self.client.taken(self.number, self.kept.pop(0)[1])
                self.forgotten += 1

    # -- the answer

    def head(self, headers, end=False):
        self.began = True
        self.client.send_headers(self.number, headers, end)

    async def send(self, data):
        await self.client.send(self, data)

    def finish(self, trailers):
        self.client.send_headers(self.number, trailers, True)

    def refuse(self, status, text, after=None):
        """The final answer, at once, of an op that was given up; `after`: microseconds until its client may
        come again (gRPC's pushback, which clients heed)."""
        if self.gone:
            return
        told = [(b"grpc-status", b"%d" % status), (b"grpc-message", text.encode("ascii", "replace")[:200])]
        if after is not None:
            told.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-after // 1000))))
        if self.began:
            self.finish(told)
        else:
            self.head([(b":status", b"200"), (b"content-type", b"application/grpc"), *told], True)


class Client(Wired):
    """One client's connection. `handle(op)` is awaited in a task for each op."""

    def __init__(self, door):
        super().__init__(h2.connection.H2Connection(config=CONFIG))
        self.door = door
        self.ops = {}

    def connection_made(self, transport):
        self.transport = transport
        self.door.clients[self] = None
        self.wire.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 2 * REPLAY_MOST,
            },
        )
        self.wire.initiate_connection()
        self.wire.increment_flow_control_window(4 * 2**20)
        self.flush()

    def data_received(self, data):
        try:
            events = self.wire.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.write_out()
            self.transport.close()
            return
        for event in events:
            self.heed(event)
        self.flush()

    def heed(self, event):
        if isinstance(event, h2.events.RequestReceived):
            op = self.ops[event.stream_id] = Op(self, event.stream_id, event.headers)
            if self.door.draining:
                self.wire.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
                del self.ops[event.stream_id]
                return
            op.task = asyncio.get_running_loop().create_task(self.door.run(op))
        elif isinstance(event, h2.events.WindowUpdated):
            for op in self.ops.values():
                op.window.set()
        elif isinstance(event, h2.events.ConnectionTerminated):
            pass  # the client goes when it is done
        else:
            op = self.ops.get(getattr(event, "stream_id", None))
            if isinstance(event, h2.events.DataReceived):
                if op:
                    op.body(event.data, event.flow_controlled_length)
                else:
                    self.taken(event.stream_id, event.flow_controlled_length)
            elif op and isinstance(event, h2.events.StreamEnded):
                op.ended = True
                op.more.set()
            elif op and isinstance(event, h2.events.StreamReset):
                self.leave(op)

    def leave(self, op):
        """The client wants no answer any more."""
        op.gone = True
        if op.task:
            op.task.cancel()
        self.ops.pop(op.number, None)

    def taken(self, number, counted):
        if not self.gone and counted:
            try:
                self.wire.acknowledge_received_data(counted, number)
                self.flush()
            except h2.exceptions.ProtocolError:
                pass  # the stream is closed

    def send_headers(self, number, headers, end):
        if self.gone or number not in self.ops:
            return
        self.wire.send_headers(number, headers, end_stream=end)
        if end:
            op = self.ops.pop(number)
            for _, counted in op.kept:  # what nobody needs any more
                if counted:
                    self.wire.increment_flow_control_window(counted)
        self.flush()

    async def send(self, op, data):
        at = 0
        while at < len(data) and not op.gone and not self.gone:
            room = min(self.wire.local_flow_control_window(op.number), self.wire.max_outbound_frame_size)
            if room > 0:
                self.wire.send_data(op.number, data[at : at + room])
                at += room
                self.flush()
            else:
                op.window.clear()
                await op.window.wait()

    def connection_lost(self, error):
        self.gone = True
        self.door.clients.pop(self, None)
        for op in list(self.ops.values()):
            self.leave(op)


class Door:
    """`handle(op)`: an async function that answers an op."""

    def __init__(self, handle):
        self.handle = handle
        self.clients = {}
        self.draining = False
        self.server = None
        self.port = 0

    async def open(self, host, port):
        self.server = await asyncio.get_running_loop().create_server(lambda: Client(self), host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def run(self, op):
        try:
            await self.handle(op)
        except asyncio.CancelledError:
            if not op.gone:
                op.refuse(14, "the proxy stops")
            raise

    async def close(self, within):
        """A clean drain: no more ops are taken, those under way get `within` seconds."""
        self.draining = True
        if self.server:
            self.server.close()
        for client in self.clients:
            client.wire.close_connection(last_stream_id=client.wire.highest_inbound_stream_id)
            client.wire.state_machine.state = h2.connection.ConnectionState.SERVER_OPEN
            client.flush()
        deadline = asyncio.get_running_loop().time() + within
        while any(c.ops for c in self.clients) and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
        for client in list(self.clients):
            for op in list(client.ops.values()):
                op.task.cancel()
            await asyncio.sleep(0)
            client.write_out()
            client.transport.close()
