"""Connections of proxies and collectors to the controller's address.

A connection is pending until its handshake, the message that says which proxy or collector it is. Connections
are asyncio protocols that share one read buffer, because a task for each would use too much CPU.
"""

import asyncio
import errno
import socket
from contextlib import suppress
from itertools import count

import anyio
import structlog

from foxstep.node import messages
from foxstep.node.messages import (
    Applied,
    Collector,
    Heard,
    InvalidMessageError,
    Joined,
    MalformedJsonError,
    Ping,
    Usage,
)

SECOND = 1_000_000  # microseconds
HANDSHAKE_TIMEOUT_S = 1.2
HANDSHAKE_MAX_BYTES = 16_384  # of an incomplete message before the handshake
ACCEPT_BATCH = 24  # connections accepted before the established ones are served again
ACCEPT_PAUSE_S = 0.05  # pause while no further connection can be accepted
OUT_OF_RESOURCES_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
HIGH_WATER_BYTES = 65_536  # unsent bytes of a connection above which further updates are folded into one
MAX_PENDING_MARKS = 64  # marks of a connection that await their answer; beyond it the oldest is dropped
# That one connection may read before the others are served again: a short line costs as much as a long one,
# and 64 KB can hold 20,000 of them.
READ_BYTES_PER_TURN = 4_096
PARTIAL_MEMORY_FRACTION = 1 / 16  # of the memory limit, for the incomplete messages of all connections


class Connection(asyncio.BufferedProtocol):
    """One connection. After a proxy's handshake the host writes to it, as a `live.host.ProxyStream`."""

    accepts_redirect = False

    def __init__(self, acceptor, sock=None):
        self.acceptor = acceptor
        self.host = acceptor.host
        self.sock = sock
        self.number = next(acceptor.numbers)  # in the order in which connections were accepted
        self.transport = None
        self.partial = bytearray()  # received bytes of an incomplete message
        self.ident = self.zone = None  # the proxy's number; the zone of a proxy or a collector
        self.handshake_timer = None
        self.pending = None  # (holding, message) that waits until the peer reads
        self.paused = self.closed = False
        # Mark -> (ordered at, written at), oldest first. A mark is a number that the proxy sends back once it
        # has applied the update that carries it.
        self.marks = {}

    # -- bytes

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(HIGH_WATER_BYTES)
        self.handshake_timer = asyncio.get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S, self.refuse, "handshake timed out"
        )

    def get_buffer(self, sizehint):
        return self.acceptor.buffer

    def buffer_updated(self, size):
        known_bytes = len(self.partial)
        self.partial += self.acceptor.buffer[:size]
        lines = []
        if (
            self.partial.find(b"\n", known_bytes) >= 0
        ):  # else a long message would be copied for each part of it
            *lines, self.partial = self.partial.split(b"\n")
        self.acceptor.partial_bytes += len(self.partial) - known_bytes
        for line in lines:
            if self.closed:
                return
            self.receive_line(line)
        if self.closed:
            return
        if len(self.partial) > (messages.MAX_MESSAGE_BYTES if self.zone is not None else HANDSHAKE_MAX_BYTES):
            self.refuse("the message is too long")
        elif self.acceptor.partial_bytes > self.acceptor.max_partial_bytes:
            self.acceptor.close_largest_partial()

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.release(str(error) if error else "closed by the peer")

    def pause_writing(self):
        self.paused = True

    def resume_writing(self):
        self.paused = False
        if self.pending:
            pending, self.pending = self.pending, None
            self.deliver(*pending)

    # -- incoming messages

    def receive_line(self, line):
        """Decodes and handles one line."""
        try:
            message = messages.decode(line)
        except InvalidMessageError as error:
            if self.zone is None:
                self.refuse(f"invalid handshake: {error}")
            else:
                self.log_ignored(error)
            return
        except MalformedJsonError as error:
            self.refuse(f"malformed JSON: {error}")
            return
        if type(message) is Ping:
            if not self.paused:  # a peer that doesn't read gets no pongs, so that they don't accumulate
                self.transport.write(messages.PONG)
        elif self.zone is None:
            self.receive_handshake(message)
        else:
            self.receive_report(message)

    def log_ignored(self, reason):
        """Logs a message that is ignored; the connection stays open."""
        self.host.log.warning("passed over", proxy=self.ident, zone=self.zone, why=str(reason)[:200])

    def receive_handshake(self, message):
        """Handles the first message other than a ping: it has to name the proxy or the collector's zone."""
        if type(message) not in (Collector, Joined):
            self.refuse("the first message is not a handshake")
        elif message.locality not in self.host.site["zones"]:
            self.refuse("unknown zone")
        elif type(message) is Joined and message.node >= self.host.site["proxies"]:
            self.refuse("the proxy's number is out of range")
        elif type(message) is Joined and self.is_superseded(message.node):
            self.refuse("the proxy has joined on a newer connection")
        else:
            self.zone = message.locality
            self.end_handshake()
            if type(message) is Joined:
                self.ident = message.node
                self.host.joined(self.ident, self.zone, message.w, message.cold, self)

    def is_superseded(self, node):
        """Whether the proxy has already joined on a connection that was accepted later.

        Without this check, a handshake that is delayed until its proxy has given the connection up and joined
        on another would end the newer, working connection."""
        joined = self.host.joined_proxies.get(node)
        return joined is not None and joined.stream.number > self.number

    def has_unread_data(self):
        """Whether the socket holds data that this program has not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def end_handshake(self):
        """The connection is no longer pending: cancels the handshake timeout."""
        self.acceptor.pending_connections.pop(self, None)
        if self.handshake_timer:
            self.handshake_timer.cancel()
            self.handshake_timer = None

    def receive_report(self, message):
        """Handles a message after the handshake; ignores values that can't be right."""
        site, kind = self.host.site, type(message)
        if kind is Heard and self.ident is None:
            if message.endpoint not in self.host.listed_lines or message.locality not in site["zones"]:
                self.log_ignored(f"unknown server {message.endpoint[:80]} or zone {message.locality[:80]}")
            elif message.errors > message.total:
                self.log_ignored("more errors than tries")
            elif message.errors < message.total and not round(message.rtt * 1000):
                self.log_ignored("tries were answered in no time")
            else:
                load = message.metrics and self.acceptor.parse_load(message.metrics)
                self.host.heard(
                    message.endpoint,
                    message.locality,
                    message.total,
                    message.errors,
                    round(message.rtt * 1000),
                    round(message.interval * 1000),
                    load,
                )
        elif kind is Usage and (self.ident is None or message.node == self.ident):
            if message.node >= site["proxies"] or message.route not in self.host.op_type_names:
                self.log_ignored(f"unknown op type {message.route[:80]} or proxy {message.node}")
            else:
                # `errors` may exceed `total`: it includes failures of ops that were admitted earlier.
                self.host.used(
                    message.node, message.route, message.total, message.errors, round(message.interval * 1000)
                )
        elif kind is Applied and message.node == self.ident:
            self.receive_applied(message)
        else:
            self.log_ignored(f"{kind.__name__} is not allowed on this connection")

    def receive_applied(self, message):
        """Handles the answer to a mark.

        Ignores answers that can't be right: the mark must have been written, and the stated latency must not
        exceed the time since then. The drawback is that answers of a proxy whose clock runs fast are
        ignored."""
        ordered_at, written_at = self.marks.get(message.nonce, (None, None))
        latency_us = round(message.latency * 1000)
        if ordered_at is None or latency_us > self.host.clock() - written_at + SECOND // 4:
            self.log_ignored(f"invalid answer to mark {message.nonce} after {message.latency} ms")
            return
        while next(iter(self.marks)) != message.nonce:  # an answer includes all earlier marks
            del self.marks[next(iter(self.marks))]
        del self.marks[message.nonce]
        self.host.mark_applied(self.ident, self, message.nonce, written_at - ordered_at + latency_us)

    # -- outgoing messages

    def deliver(self, holding, message):
        """Writes a message, or folds it into the pending one while the proxy doesn't read.

        The proxy would have read the older messages first, so folding changes nothing for it."""
        if self.closed:
            return
        if self.paused:
            if self.pending:
                self.pending[1].merge(message)
            else:
                self.pending = (holding, message)
            return
        now = self.host.clock()
        for number, ordered_at in message.marks:
            self.marks[number] = (ordered_at, now)
            if len(self.marks) > MAX_PENDING_MARKS:
                del self.marks[next(iter(self.marks))]
        if data := messages.encode_update(holding, message, self.host.op_type_names):
            self.transport.write(data)

    # -- close

    def end(self, reason):
        """Closes the connection because the proxy has joined on a newer one; unread input is discarded."""
        self.ident = None
        self.close(reason, abort=True)

    def refuse(self, reason):
        """Closes a connection whose input is invalid, or that can't be accepted."""
        self.acceptor.log.warning("refused", proxy=self.ident, zone=self.zone, why=reason[:200])
        if not self.closed and self.zone is None:
            self.transport.write(messages.REFUSED)
        self.close(reason)

    def close(self, reason, abort=False):
        """Closes the transport; unsent data is discarded if there is any, or if `abort` is set."""
        transport = self.transport
        self.release(reason)
        # A peer that doesn't read its data must not keep the descriptor in use.
        if abort or transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    def release(self, reason):
        """Frees what the connection holds and reports to the host that its proxy has left."""
        if self.closed:
            return
        self.closed = True
        self.end_handshake()
        self.acceptor.connections.pop(self, None)
        self.acceptor.partial_bytes -= len(self.partial)
        self.partial = bytearray()
        self.pending = None
        self.marks.clear()
        if self.ident is not None:
            self.host.left(self.ident, self, reason)


class Acceptor:
    """Accepts connections and limits their number and memory.

    `sockets` is the maximum number of connections, `memory` the program's memory limit in bytes, and
    `parse_load` converts a server's reported metrics into a load report."""

    def __init__(self, host, sockets, memory, parse_load):
        self.host = host
        self.log = structlog.get_logger("foxstep.streams")
        self.parse_load = parse_load
        self.buffer = memoryview(bytearray(READ_BYTES_PER_TURN))
        self.connections = {}  # all connections, as a set in the order of acceptance
        self.pending_connections = {}  # those without a handshake yet, as a set in the same order
        self.numbers = count()
        self.partial_bytes = 0
        self.set_limits(sockets, memory)

    def set_limits(self, sockets, memory):
        """Changes the limits; established connections stay."""
        self.max_connections = sockets
        self.max_partial_bytes = max(2 * messages.MAX_MESSAGE_BYTES, int(memory * PARTIAL_MEMORY_FRACTION))

    def close_largest_partial(self):
        """Closes the connection with the longest incomplete message, to limit the memory of all of them."""
        max(self.connections, key=lambda c: len(c.partial)).refuse("the incomplete message is too long")

    def ensure_capacity(self):
        """Whether one more connection can be accepted; closes the longest pending ones if needed. Pending
        connections with unread data are kept, because their handshake may be in it.

        This keeps connections without a handshake from blocking proxies. The drawback is that a proxy
        whose handshake takes longer than those of all later connections has to connect again."""
        while len(self.connections) >= self.max_connections:
            silent = next((c for c in self.pending_connections if not c.has_unread_data()), None)
            if silent is None:
                return False
            silent.refuse("closed in favour of a newer connection")
        return True

    async def run(self, listener):
        """Accepts connections from a listening socket in batches until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await anyio.wait_readable(listener)
            try:
                for accepted in range(ACCEPT_BATCH):
                    if accepted and len(self.connections) >= self.max_connections:
                        break  # close no pending connection before it is known that another one waits
                    if not self.ensure_capacity():
                        await anyio.sleep(ACCEPT_PAUSE_S)
                        break
                    await self.add_connection(loop, listener.accept()[0])
            except BlockingIOError:
                pass  # no further connection waits
            except OSError as error:  # other errors concern a connection that has already been closed
                if error.errno in OUT_OF_RESOURCES_ERRNOS:
                    self.log.warning("no descriptors", held=len(self.connections))
                    for silent in [c for c in self.pending_connections if not c.has_unread_data()][
                        :ACCEPT_BATCH
                    ]:
                        silent.refuse("closed in favour of a newer connection")
                    await anyio.sleep(ACCEPT_PAUSE_S)
            await anyio.sleep(0)

    async def add_connection(self, loop, sock):
        """Starts the protocol on an accepted socket."""
        connection = Connection(self, sock)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[connection] = self.pending_connections[connection] = None
            await loop.connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            connection.closed = True
            self.connections.pop(connection, None)
            self.pending_connections.pop(connection, None)
            with suppress(OSError):
                sock.close()
            self.log.warning("not taken", why=str(error))


def listen(address):
    """Opens a listening socket at (host, port). Raises OSError."""
    listener = socket.create_server(
        address, family=socket.AF_INET6 if ":" in address[0] else socket.AF_INET, backlog=1024
    )
    listener.setblocking(False)
    return listener
