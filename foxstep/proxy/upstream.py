"""Connections to servers: HTTP/2 by `h2`, streams, flow control, and the way in which each try ended."""

import asyncio

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions

from foxstep.proxy.wired import Wired

WINDOW = 256 * 1024
CONFIG = h2.config.H2Configuration(
    client_side=True, header_encoding=None, validate_inbound_headers=False, normalize_outbound_headers=False
)


class Ended(Exception):
    """A try that has ended without an answer: a way of `tries.PROOF`, and words for the client."""

    def __init__(self, ending, text=""):
        super().__init__(ending, text)
        self.ending = ending
        self.text = text


class Try:
    """One stream of a connection. Its events are ("headers", list), ("data", bytes, counted), ("trailers",
    list), ("end",) or an Ended; what is not read yet is bounded by the stream's window."""

    def __init__(self, connection, number):
        self.connection = connection
        self.number = number
        self.events = asyncio.Queue()
        self.window = asyncio.Event()
        self.done = False
        self.taken_over = False  # the server went, and had taken it

    async def event(self):
        event = await self.events.get()
        if isinstance(event, Ended):
            raise event
        return event

    def finish(self, event):
        if not self.done:
            self.done = True
            self.events.put_nowait(event)
            self.window.set()

    async def send(self, data, end):
        """Sends body bytes as the windows let it. Raises Ended when the stream has ended."""
        wire = self.connection.wire
        at = 0
        while True:
            if self.done:
                return
            room = min(wire.local_flow_control_window(self.number), wire.max_outbound_frame_size)
            part = data[at : at + room]
            at += len(part)
            last = at >= len(data)
            if part or last:
                wire.send_data(self.number, part, end_stream=end and last)
                self.connection.flush()
            if last:
                return
            self.window.clear()
            await self.window.wait()

    def taken(self, counted):
        """Bytes that went on to the client: only now more may come."""
        if not self.done and not self.connection.gone:
            self.connection.wire.acknowledge_received_data(counted, self.number)
            self.connection.flush()

    def cancel(self):
        if not self.done:
            self.done = True
            self.connection.drop(self)
            if not self.connection.gone:
                try:
                    self.connection.wire.reset_stream(self.number, h2.errors.ErrorCodes.CANCEL)
                    self.connection.flush()
                except h2.exceptions.ProtocolError:
                    pass  # it ended by itself meanwhile


class Connection(Wired):
    def __init__(self, pool):
        super().__init__(h2.connection.H2Connection(config=CONFIG))
        self.pool = pool
        self.tries = {}
        self.going = False
        self.idle_since = pool.clock()
        self.most = pool.streams

    def connection_made(self, transport):
        self.transport = transport
        self.wire.initiate_connection()
        self.wire.increment_flow_control_window(16 * WINDOW)
        self.flush()

    def start(self, headers, end):
        """Opens a stream with its headers. Raises Ended("unsent") where nothing could be handed over."""
        if self.gone or self.going:
            raise Ended("unsent", "the connection is going")
        try:
            number = self.wire.get_next_available_stream_id()
            self.wire.send_headers(number, headers, end_stream=end)
        except h2.exceptions.ProtocolError as error:
            raise Ended("unsent", str(error)) from None
        made = self.tries[number] = Try(self, number)
        self.flush()
        return made

    def drop(self, made):
        self.tries.pop(made.number, None)
        if not self.tries:
            self.idle_since = self.pool.clock()
            if self.going:
                self.close()
        self.pool.freed()

    def data_received(self, data):
        try:
            events = self.wire.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            self.flush()
            self.end_all("reset", f"not HTTP/2: {error}"[:120])
            self.close()
            return
        for event in events:
            self.heed(event)
        self.flush()

    def heed(self, event):
        if isinstance(event, h2.events.ConnectionTerminated):
            # Streams above the last that the server names never ran; those below may yet be answered.
            self.going = True
            for made in [t for t in self.tries.values() if t.number > event.last_stream_id]:
                self.end(made, Ended("goaway", "the server goes and has not taken it"))
            for made in self.tries.values():
                made.taken_over = True
            if not self.tries:
                self.close()
        elif isinstance(event, h2.events.RemoteSettingsChanged):
            self.most = min(self.pool.streams, self.wire.remote_settings.max_concurrent_streams)
            self.wake()
        elif isinstance(event, h2.events.WindowUpdated):
            self.wake()
        else:
            made = self.tries.get(getattr(event, "stream_id", None))
            if made is not None:
                self.heed_stream(made, event)
            elif isinstance(event, h2.events.DataReceived) and event.flow_controlled_length:
                self.wire.acknowledge_received_data(event.flow_controlled_length, event.stream_id)

    def heed_stream(self, made, event):
        if isinstance(event, h2.events.ResponseReceived):
            made.events.put_nowait(("headers", event.headers, event.stream_ended is not None))
        elif isinstance(event, h2.events.DataReceived):
            made.events.put_nowait(("data", event.data, event.flow_controlled_length))
        elif isinstance(event, h2.events.TrailersReceived):
            made.events.put_nowait(("trailers", event.headers))
        elif isinstance(event, h2.events.StreamEnded):
            self.end(made, ("end",))
        elif isinstance(event, h2.events.StreamReset):
            refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
            self.end(made, Ended("refused-stream" if refused else "reset", f"reset with {event.error_code}"))

    def end(self, made, event):
        made.finish(event)
        self.drop(made)

    def wake(self):
        for made in self.tries.values():
            made.window.set()
        self.pool.freed()

    def end_all(self, ending, text):
        for made in list(self.tries.values()):
            taken = ending == "reset" and made.taken_over
            made.finish(Ended("goaway-taken" if taken else ending, text))
        self.tries.clear()

    def connection_lost(self, error):
        self.gone = True
        self.end_all("reset", "the connection broke")
        self.pool.lost(self)

    def close(self):
        if not self.gone:
            self.write_out()
            self.transport.close()


class Pool:
    """Connections to one server: at most `most`, with at most `streams` ops each, closed after `idle` seconds
    without one."""

    def __init__(self, server, clock, most=4, streams=100, connect=0.25, idle=15.0):
        self.server = server
        self.clock = clock
        self.most = most
        self.streams = streams
        self.connect = connect
        self.idle = idle
        self.open = []
        self.dialling = 0
        self.waiting = asyncio.Event()
        self.opened = 0
        self.closed = False

    async def get(self, within):
        """A connection with room for an op. Raises Ended: no connection came up in time, which is proof."""
        deadline = self.clock() + min(within, self.connect)
        while True:
            fit = [c for c in self.open if not c.gone and not c.going and len(c.tries) < c.most]
            if fit:
                return min(fit, key=lambda c: len(c.tries))
            left = deadline - self.clock()
            if left <= 0 or self.closed:
                raise Ended("connect-timeout", f"no connection to {self.server} in time")
            if len(self.open) + self.dialling < self.most:
                return await self.dial(left)
            self.waiting.clear()
            try:
                await asyncio.wait_for(self.waiting.wait(), left)
            except TimeoutError:
                continue

    async def dial(self, left):
        host, _, port = self.server.rpartition(":")
        self.dialling += 1
        try:
            _, made = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), host.strip("[]"), int(port)
                ),
                left,
            )
        except TimeoutError:
            raise Ended("connect-timeout", f"no connection to {self.server} in time") from None
        except OSError as error:
            raise Ended("refused", f"{self.server}: {error.strerror or error}") from None
        finally:
            self.dialling -= 1
            self.freed()
        self.open.append(made)
        self.opened += 1
        return made

    def freed(self):
        self.waiting.set()

    def lost(self, connection):
        if connection in self.open:
            self.open.remove(connection)
        self.freed()

    def close_idle(self):
        for connection in self.open:
            if not connection.tries and self.clock() - connection.idle_since > self.idle:
                connection.close()

    def close(self):
        """For a server that left the table: what is under way ends, no more begins."""
        self.closed = True
        for connection in list(self.open):
            connection.going = True
            if not connection.tries:
                connection.close()
