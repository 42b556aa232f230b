"""Connections at the controller's address: strangers until they say who they are, proxies, collectors.

A task for each would cost too much: these are plain protocols. All share one buffer to read into.
"""

import asyncio
import errno
import socket
from contextlib import suppress
from itertools import count

import anyio
import structlog

from foxstep.node import messages
from foxstep.node.messages import Applied, Collector, Heard, Joined, Ping, Spoilt, Unreadable, Usage

SECOND = 1_000_000
JOIN_TIMEOUT = 1.2  # seconds in which a stranger has to say who it is
STRANGER_MAX_BYTES = 16_384  # bytes that a stranger may say before that
ACCEPT_BATCH = 24  # connections taken before those that stand get their turn to speak
REST = 0.05  # seconds without accepting where descriptors lack
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
HIGH_WATER = 65_536  # bytes that wait for one reader; beyond, what comes is folded together
MAX_PENDING_MARKS = 64  # marks of one stream that may be unanswered; older ones are forgotten
READ_BUFFER_SIZE = 65_536
PART = 1 / 16  # of the memory limit, for half-read messages of all connections together


class Connection(asyncio.BufferedProtocol):
    """One connection. It is the outlet of the proxy that joins on it."""

    goes_home = False

    def __init__(self, acceptor, taken=None):
        self.acceptor, self.host, self.taken = acceptor, acceptor.host, taken  # `taken`: its socket
        self.number = next(acceptor.numbers)  # in the order of dialling
        self.transport, self.rest = None, b""
        self.ident = self.zone = None  # the proxy's number; the zone of a proxy or a collector
        self.timer = self.pending = None  # `pending`: (holding, message) that waits for the reader
        self.paused = self.closed = False
        self.marks = {}  # number -> (ordered at, written at), oldest first

    # -- bytes

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(HIGH_WATER)
        self.timer = asyncio.get_running_loop().call_later(JOIN_TIMEOUT, self.refuse, "said nothing in time")

    def get_buffer(self, sizehint):
        return self.acceptor.buffer

    def buffer_updated(self, size):
        data = bytes(self.acceptor.buffer[:size])
        data = self.rest + data if self.rest else data
        self.acceptor.partial_bytes -= len(self.rest)
        *lines, self.rest = data.split(b"\n")
        self.acceptor.partial_bytes += len(self.rest)
        for line in lines:
            if self.closed:
                return
            self.take(line)
        if self.closed:
            return
        if len(self.rest) > (messages.LONGEST if self.zone is not None else STRANGER_MAX_BYTES):
            self.refuse("a message that is too long")
        elif self.acceptor.partial_bytes > self.acceptor.max_partial_bytes:
            self.acceptor.close_largest_partial()

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.ended(str(error) if error else "closed by the peer")

    def pause_writing(self):
        self.paused = True

    def resume_writing(self):
        self.paused = False
        if self.pending:
            pending, self.pending = self.pending, None
            self.deliver(*pending)

    # -- what comes in

    def take(self, line):
        try:
            message = messages.read(line)
        except Spoilt as spoilt:
            if self.zone is None:
                self.refuse(f"not understood: {spoilt}")
            else:
                self.pass_over(spoilt)
            return
        except Unreadable as unreadable:
            self.refuse(f"unreadable: {unreadable}")
            return
        if type(message) is Ping:
            if not self.paused:  # guards against pongs that pile up for one who reads none; harm: none
                self.transport.write(messages.PONG)
        elif self.zone is None:
            self.enter(message)
        else:
            self.heed(message)

    def pass_over(self, why):
        self.host.log.warning("passed over", proxy=self.ident, zone=self.zone, why=str(why)[:200])

    def enter(self, message):
        """A stranger says who it is."""
        if type(message) not in (Collector, Joined):
            self.refuse("not joined")
        elif message.locality not in self.host.site["zones"]:
            self.refuse("no such zone")
        elif type(message) is Joined and message.node >= self.host.site["proxies"]:
            self.refuse("no such proxy")
        elif type(message) is Joined and self.late(message.node):
            self.refuse("it has dialled anew since")
        else:
            self.zone = message.locality
            self.known()
            if type(message) is Joined:
                self.ident = message.node
                self.host.joined(self.ident, self.zone, message.w, message.cold, self)

    def late(self, node):
        """Guards against first words that were held up on the way until the proxy had given this connection
        up, dialled again and joined: its good stream would be ended for them. Harm: none."""
        joined = self.host.joins.get(node)
        return joined is not None and joined.outlet.number > self.number

    def unread(self):
        """Whether it has said something that this program has not read yet."""
        try:
            return bool(self.taken.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def known(self):
        """No stranger any more."""
        self.acceptor.strangers.pop(self, None)
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def heed(self, message):
        site, kind = self.host.site, type(message)
        if kind is Heard and self.ident is None:
            if message.endpoint not in self.host.listed_lines or message.locality not in site["zones"]:
                self.pass_over(f"heard of {message.endpoint[:80]} in {message.locality[:80]}")
            elif message.errors > message.total:
                self.pass_over("more errors than tries")
            else:
                load = message.metrics and self.acceptor.load_of(message.metrics)
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
            if message.node >= site["proxies"] or message.route not in self.host.names:
                self.pass_over(f"usage of {message.route[:80]} at {message.node}")
            else:
                # Ops that were let in earlier may have failed now: `errors` may be more than `total`.
                self.host.used(
                    message.node, message.route, message.total, message.errors, round(message.interval * 1000)
                )
        elif kind is Applied and message.node == self.ident:
            self.applied(message)
        else:
            self.pass_over(f"{kind.__name__} does not belong here")

    def applied(self, message):
        """An answer to a mark. Guards against spoilt ones: it was written, and took no longer than it has
        been under way. Harm: a proxy whose clock runs fast is passed over."""
        ordered_at, written_at = self.marks.get(message.nonce, (None, None))
        took = round(message.latency * 1000)
        if ordered_at is None or took > self.host.clock() - written_at + SECOND // 4:
            self.pass_over(f"an answer to mark {message.nonce} after {message.latency} ms")
            return
        while next(iter(self.marks)) != message.nonce:  # an answer holds for all before it
            del self.marks[next(iter(self.marks))]
        del self.marks[message.nonce]
        self.host.took(self.ident, self, message.nonce, written_at - ordered_at + took)

    # -- what goes out

    def deliver(self, holding, message):
        """Guards against a proxy that reads nothing: what more is ordered for it is folded into one message.
        Harm: none; it would have read the older ones first."""
        if self.closed:
            return
        if self.paused:
            if self.pending:
                self.pending[1].fold(message)
            else:
                self.pending = (holding, message)
            return
        now = self.host.clock()
        for number, ordered_at in message.marks:
            self.marks[number] = (ordered_at, now)
            if len(self.marks) > MAX_PENDING_MARKS:
                del self.marks[next(iter(self.marks))]
        if data := messages.written(holding, message, self.host.names):
            self.transport.write(data)

    # -- ends

    def end(self, reason):
        """A newer stream of the same proxy is up. Nothing that this one still says counts."""
        self.ident = None
        self.finish(reason, abort=True)

    def refuse(self, reason):
        """Ends what can't be read, or is none of ours."""
        self.acceptor.log.warning("refused", proxy=self.ident, zone=self.zone, why=reason[:200])
        if not self.closed and self.zone is None:
            self.transport.write(messages.REFUSED)
        self.finish(reason)

    def finish(self, reason, abort=False):
        transport = self.transport
        self.ended(reason)
        # What a peer leaves unread must not keep its descriptor.
        if abort or transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    def ended(self, reason):
        if self.closed:
            return
        self.closed = True
        self.known()
        self.acceptor.connections.pop(self, None)
        self.acceptor.partial_bytes -= len(self.rest)
        self.rest, self.pending = b"", None
        self.marks.clear()
        if self.ident is not None:
            self.host.left(self.ident, self, reason)


class Acceptor:
    """Accepts. `sockets`: descriptors for connections; `memory`: bytes that the program may take."""

    def __init__(self, host, sockets, memory, load_of):
        self.host, self.log, self.load_of = host, structlog.get_logger("foxstep.streams"), load_of
        self.buffer = memoryview(bytearray(READ_BUFFER_SIZE))
        self.connections, self.strangers = {}, {}  # sets in order of coming
        self.numbers = count()
        self.partial_bytes = 0
        self.limit(sockets, memory)

    def limit(self, sockets, memory):
        self.most, self.max_partial_bytes = sockets, max(2 * messages.LONGEST, int(memory * PART))

    def close_largest_partial(self):
        """Guards against half messages of many that take the memory together."""
        max(self.connections, key=lambda c: len(c.rest)).refuse("half a message that is too long")

    def make_room(self):
        """Whether one more fits; the stranger that has been silent for longest goes for it. One whose words
        are here, but not read yet, has its turn first.

        Guards against strangers that keep proxies out. Harm: a proxy that needs longer than all those that
        come after it to say its first word dials again."""
        while len(self.connections) >= self.most:
            silent = next((stranger for stranger in self.strangers if not stranger.unread()), None)
            if silent is None:
                return False
            silent.refuse("others want in")
        return True

    async def run(self, listener):
        """Takes connections from a listening socket, a few at a time."""
        loop = asyncio.get_running_loop()
        while True:
            await anyio.wait_readable(listener)
            try:
                for taken in range(ACCEPT_BATCH):
                    if taken and len(self.connections) >= self.most:
                        break  # nobody goes before it is known that another wants in
                    if not self.make_room():
                        await anyio.sleep(REST)
                        break
                    await self.take(loop, listener.accept()[0])
            except BlockingIOError:
                pass  # none is left
            except OSError as error:  # any other is of one that is gone already
                if error.errno in NO_DESCRIPTORS:
                    self.log.warning("no descriptors", held=len(self.connections))
                    for stranger in [s for s in self.strangers if not s.unread()][:ACCEPT_BATCH]:
                        stranger.refuse("others want in")
                    await anyio.sleep(REST)
            await anyio.sleep(0)

    async def take(self, loop, taken):
        connection = Connection(self, taken)
        try:
            taken.setblocking(False)
            taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[connection] = self.strangers[connection] = None
            await loop.connect_accepted_socket(lambda: connection, taken)
        except OSError as error:
            connection.closed = True
            self.connections.pop(connection, None)
            self.strangers.pop(connection, None)
            with suppress(OSError):
                taken.close()
            self.log.warning("not taken", why=str(error))


def listen(address):
    """A listening socket at (host, port). Raises OSError."""
    listener = socket.create_server(
        address, family=socket.AF_INET6 if ":" in address[0] else socket.AF_INET, backlog=1024
    )
    listener.setblocking(False)
    return listener
