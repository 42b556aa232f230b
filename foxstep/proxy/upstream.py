"""Connection pools to the upstream servers: HTTP/2 streams, flow control and how each try failed."""

import asyncio

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions

from foxstep.proxy.http2 import Http2Protocol

WINDOW_BYTES = 256 * 1024
CONFIG = h2.config.H2Configuration(
    client_side=True, header_encoding=None, validate_inbound_headers=False, normalize_outbound_headers=False
)


class TryFailed(Exception):
    """A try ended without an answer.

    `failure` is a key of `retries.PROVES_NOT_EXECUTED`; `text` is the message for the client.
    """

    def __init__(self, failure, text=""):
        super().__init__(failure, text)
        self.failure = failure
        self.text = text


class Try:
    """One try of an op: one stream of a connection.

    Its events are ("headers", list, stream ended), ("data", bytes, flow-controlled length),
    ("trailers", list), ("end",) or a TryFailed. The stream's flow control window bounds the unread data.
    """

    def __init__(self, connection, stream_id):
        self.connection = connection
        self.stream_id = stream_id
        self.events = asyncio.Queue()
        self.window_changed = asyncio.Event()
        self.done = False
        self.accepted_before_goaway = False  # a GOAWAY named this stream or a later one as its last

    async def next_event(self):
        """Waits for the next event. Raises TryFailed if the try failed."""
        event = await self.events.get()
        if isinstance(event, TryFailed):
            raise event
        return event

    def finish(self, event):
        """Queues the last event, unless the try has ended already."""
        if not self.done:
            self.done = True
            self.events.put_nowait(event)
            self.window_changed.set()

    async def send(self, data, end):
        """Sends body bytes as far as flow control allows. Returns early if the stream has ended."""
        http2 = self.connection.http2
        offset = 0
        while True:
            if self.done:
                return
            window_bytes = min(http2.local_flow_control_window(self.stream_id), http2.max_outbound_frame_size)
            part = data[offset : offset + window_bytes]
            offset += len(part)
            last = offset >= len(data)
            if part or last:
                http2.send_data(self.stream_id, part, end_stream=end and last)
                self.connection.flush()
            if last:
                return
            self.window_changed.clear()
            await self.window_changed.wait()

    def acknowledge(self, flow_bytes):
        """Reopens the window by data that was passed on to the client, so that the server may send more."""
        if not self.done and not self.connection.closed:
            self.connection.http2.acknowledge_received_data(flow_bytes, self.stream_id)
            self.connection.flush()

    def cancel(self):
        """Resets the stream if it is still open."""
        if not self.done:
            self.done = True
            self.connection.remove_try(self)
            if not self.connection.closed:
                try:
                    self.connection.http2.reset_stream(self.stream_id, h2.errors.ErrorCodes.CANCEL)
                    self.connection.flush()
                except h2.exceptions.ProtocolError:
                    pass  # the stream has been closed meanwhile


class Connection(Http2Protocol):
    """One HTTP/2 connection to a server, with the tries that run on it by stream id."""

    def __init__(self, pool):
        super().__init__(h2.connection.H2Connection(config=CONFIG))
        self.pool = pool
        self.tries = {}
        self.draining = False
        self.idle_since = pool.clock()
        self.max_streams = pool.max_streams

    def connection_made(self, transport):
        self.transport = transport
        self.http2.initiate_connection()
        self.http2.increment_flow_control_window(16 * WINDOW_BYTES)
        self.flush()

    def open_stream(self, headers, end):
        """Opens a stream with its headers. Raises TryFailed("unsent") if the connection can't take it."""
        if self.closed or self.draining:
            raise TryFailed("unsent", "the connection is going")
        try:
            stream_id = self.http2.get_next_available_stream_id()
            self.http2.send_headers(stream_id, headers, end_stream=end)
        except h2.exceptions.ProtocolError as error:
            raise TryFailed("unsent", str(error)) from None
        attempt = self.tries[stream_id] = Try(self, stream_id)
        self.flush()
        return attempt

    def remove_try(self, attempt):
        """Frees a stream's slot; closes a draining connection after its last stream."""
        self.tries.pop(attempt.stream_id, None)
        if not self.tries:
            self.idle_since = self.pool.clock()
            if self.draining:
                self.close()
        self.pool.notify()

    def data_received(self, data):
        try:
            events = self.http2.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            self.flush()
            self.fail_all("reset", f"not HTTP/2: {error}"[:120])
            self.close()
            return
        for event in events:
            self.handle_event(event)
        self.flush()

    def handle_event(self, event):
        if isinstance(event, h2.events.ConnectionTerminated):
            # GOAWAY: the server never processed streams above the last id; it may still answer the others.
            self.draining = True
            for attempt in [t for t in self.tries.values() if t.stream_id > event.last_stream_id]:
                self.end(attempt, TryFailed("goaway", "the server goes and has not taken it"))
            for attempt in self.tries.values():
                attempt.accepted_before_goaway = True
            if not self.tries:
                self.close()
        elif isinstance(event, h2.events.RemoteSettingsChanged):
            self.max_streams = min(self.pool.max_streams, self.http2.remote_settings.max_concurrent_streams)
            self.wake_senders()
        elif isinstance(event, h2.events.WindowUpdated):
            self.wake_senders()
        else:
            attempt = self.tries.get(getattr(event, "stream_id", None))
            if attempt is not None:
                self.handle_stream_event(attempt, event)
            elif isinstance(event, h2.events.DataReceived) and event.flow_controlled_length:
                self.http2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)

    def handle_stream_event(self, attempt, event):
        if isinstance(event, h2.events.ResponseReceived):
            attempt.events.put_nowait(("headers", event.headers, event.stream_ended is not None))
        elif isinstance(event, h2.events.DataReceived):
            attempt.events.put_nowait(("data", event.data, event.flow_controlled_length))
        elif isinstance(event, h2.events.TrailersReceived):
            attempt.events.put_nowait(("trailers", event.headers))
        elif isinstance(event, h2.events.StreamEnded):
            self.end(attempt, ("end",))
        elif isinstance(event, h2.events.StreamReset):
            refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
            self.end(
                attempt, TryFailed("refused-stream" if refused else "reset", f"reset with {event.error_code}")
            )

    def end(self, attempt, event):
        attempt.finish(event)
        self.remove_try(attempt)

    def wake_senders(self):
        for attempt in self.tries.values():
            attempt.window_changed.set()
        self.pool.notify()

    def fail_all(self, failure, text):
        for attempt in list(self.tries.values()):
            accepted = failure == "reset" and attempt.accepted_before_goaway
            attempt.finish(TryFailed("goaway-taken" if accepted else failure, text))
        self.tries.clear()

    def connection_lost(self, error):
        self.closed = True
        self.fail_all("reset", "the connection broke")
        self.pool.remove(self)

    def close(self):
        if not self.closed:
            self.write_out()
            self.transport.close()


class Pool:
    """The connections to one server.

    At most `max_connections`, each with at most `max_streams` ops, closed after `idle_timeout` seconds
    without an op. `connect_timeout` is in seconds.
    """

    def __init__(
        self, server, clock, max_connections=4, max_streams=100, connect_timeout=0.25, idle_timeout=15.0
    ):
        self.server = server
        self.clock = clock
        self.max_connections = max_connections
        self.max_streams = max_streams
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.connections = []
        self.dialing = 0
        self.changed = asyncio.Event()
        self.opened = 0
        self.closed = False

    async def get(self, timeout):
        """A connection with a free stream, within `timeout` seconds and the connect timeout.

        Raises TryFailed if there was none in time, which proves that nothing was sent.
        """
        deadline = self.clock() + min(timeout, self.connect_timeout)
        while True:
            fit = [
                c
                for c in self.connections
                if not c.closed and not c.draining and len(c.tries) < c.max_streams
            ]
            if fit:
                return min(fit, key=lambda c: len(c.tries))
            remaining = deadline - self.clock()
            if remaining <= 0 or self.closed:
                raise TryFailed("connect-timeout", f"no connection to {self.server} in time")
            if len(self.connections) + self.dialing < self.max_connections:
                return await self.dial(remaining)
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                continue

    async def dial(self, remaining):
        """Opens a connection within `remaining` seconds. Raises TryFailed."""
        host, _, port = self.server.rpartition(":")
        self.dialing += 1
        try:
            _, connection = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), host.strip("[]"), int(port)
                ),
                remaining,
            )
        except TimeoutError:
            raise TryFailed("connect-timeout", f"no connection to {self.server} in time") from None
        except OSError as error:
            raise TryFailed("refused", f"{self.server}: {error.strerror or error}") from None
        finally:
            self.dialing -= 1
            self.notify()
        self.connections.append(connection)
        self.opened += 1
        return connection

    def notify(self):
        """Wakes the callers of `get` that wait for a free stream."""
        self.changed.set()

    def remove(self, connection):
        if connection in self.connections:
            self.connections.remove(connection)
        self.notify()

    def close_idle(self):
        """Closes the connections that have been idle for longer than the idle timeout."""
        for connection in self.connections:
            if not connection.tries and self.clock() - connection.idle_since > self.idle_timeout:
                connection.close()

    def close(self):
        """Drains the pool, for a server that left the table: ops in flight may finish, no new ones start."""
        self.closed = True
        for connection in list(self.connections):
            connection.draining = True
            if not connection.tries:
                connection.close()
