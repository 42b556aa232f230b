"""The SASP front: balancers' sessions over TCP, and members that speak for themselves, for one host."""

from contextlib import suppress
from urllib.parse import quote_from_bytes, unquote_to_bytes

import anyio
import structlog

from foxstep.advice.advisor import line_name, split_line_name
from foxstep.advice.registry import Registry, Result
from foxstep.sasp import wire
from foxstep.sasp.wire import Code, Flag, Kind, Message, Weight
from foxstep.tables.desk import ADVICE
from foxstep.tables.ledger import thousandths

SECOND = 1_000_000
WRITE_WITHIN = 10.0  # seconds after which a reader that takes nothing is let go
FIRST_WORD = 10.0  # seconds within which a new connection has to say something
READ_AT_ONCE = 65_536
PUSH_MOST = 1_000  # weights in one message that is pushed; more become several
CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, TimeoutError, OSError)

CODES = {
    Result.DONE: Code.SUCCESS,
    Result.NOT_ACCEPTED: Code.NOT_ACCEPTED,
    Result.ALREADY_REGISTERED: Code.ALREADY_REGISTERED,
    Result.DUPLICATE: Code.TWICE_IN_REQUEST,
    Result.NOT_REGISTERED: Code.NOT_REGISTERED,
    Result.UNKNOWN_GROUP: Code.UNKNOWN_GROUP,
    Result.UNKNOWN_BALANCER: Code.UNKNOWN_BALANCER,
    Result.NO_CONTACT: Code.NO_CONTACT,
}
REPLIES = {
    Kind.REGISTER: Kind.REGISTERED,
    Kind.DEREGISTER: Kind.DEREGISTERED,
    Kind.GET_WEIGHTS: Kind.WEIGHTS,
    Kind.SET_BALANCER: Kind.BALANCER_SET,
    Kind.SET_MEMBERS: Kind.MEMBERS_SET,
}


def door(name):
    """Bytes of a peer's as an id: readable where they are, without a blank."""
    return quote_from_bytes(name, safe=":.-_@+=,")


def ident_of(balancer):
    return "sasp:" + door(balancer)


class Outlet:
    """One balancer's way out: the host delivers, its connection writes."""

    def __init__(self, connection, ident, name):
        self.connection, self.ident, self.name = connection, ident, name
        self.holding, self.version, self.ordered_at = None, None, None
        self.changed = {}  # lines delivered and not yet written: no more than its lines, if it reads slowly

    def deliver(self, holding, message):
        self.holding = holding
        self.changed.update(dict.fromkeys(name for _, name in message.lines))
        self.version = message.meant.name() if message.meant else self.version
        self.ordered_at = self.ordered_at or message.first_at
        self.connection.stirred.set()

    def end(self, reason):
        """Another session has the balancer now; a connection that speaks for nobody is closed."""
        self.connection.outlets.pop(self.ident, None)
        if not self.connection.outlets:
            self.connection.end(reason)

    def take(self):
        """(lines to write, what `told` then says to the host); what is delivered later is the next."""
        taken = self.changed, self.version, self.ordered_at
        self.changed, self.version, self.ordered_at = {}, None, None
        return taken

    def told(self, version, ordered_at):
        """So much is with the balancer's socket: SASP has no word for "taken in"."""
        if ordered_at:
            self.connection.front.host.applied(self.ident, self, [], [ordered_at], version)


class Connection:
    """One TCP connection. A balancer that has spoken on it is advised through it."""

    def __init__(self, front, stream):
        self.front, self.stream, self.registry = front, stream, front.registry
        self.outlets = {}
        self.reading, self.lock, self.stirred = wire.OWN, anyio.Lock(), anyio.Event()
        self.scope, self.reason = anyio.CancelScope(), "closed by the peer"

    def end(self, reason):
        self.reason = reason
        self.scope.cancel()

    async def run(self):
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.push)
                    with suppress(*CLOSED):
                        await self.read()
                    group.cancel_scope.cancel()
        except* CLOSED as broken:
            self.reason = (
                f"took nothing for {WRITE_WITHIN:.0f} s"
                if any(isinstance(e, TimeoutError) for e in broken.exceptions)
                else "broken"
            )
        finally:
            for ident, outlet in self.outlets.items():
                if self.front.outlets.get(ident) is outlet:
                    del self.front.outlets[ident]
                    self.registry.disconnected(self.front.host.clock(), ident)
                self.front.host.left(ident, outlet, self.reason)

    async def read(self):
        buffer, most = bytearray(), self.front.most_bytes
        with anyio.fail_after(FIRST_WORD):
            buffer += await self.stream.receive(READ_AT_ONCE)
        while True:
            try:
                while (length := wire.frame_length(buffer, most)) is not None and len(buffer) >= length:
                    data = bytes(buffer[:length])
                    del buffer[:length]
                    await self.heed(data)
            except wire.OtherVersion as other:
                self.front.log.warning("other version", why=str(other))
                return await self.send(Message(Kind.BALANCER_SET, other.number, code=Code.NOT_UNDERSTOOD))
            except wire.Malformed as malformed:
                self.front.log.warning("malformed", why=str(malformed))
                return None  # where the next message begins cannot be known
            buffer += await self.stream.receive(READ_AT_ONCE)

    async def send(self, message):
        async with self.lock:
            with anyio.fail_after(WRITE_WITHIN):
                await self.stream.send(wire.write(message._replace(reading=self.reading)))

    # -- what comes in

    async def heed(self, data):
        try:
            message = wire.read(data)
        except wire.Malformed as malformed:
            # Its frame was sound: it is answered, and the next one is read.
            kind = wire.COMPONENT.unpack_from(data, wire.HEADER_SIZE)[0]
            self.front.log.warning("not understood", why=str(malformed))
            if kind not in list(REPLIES):
                raise
            number = wire.HEADER.unpack_from(data)[4]
            return await self.send(Message(REPLIES[Kind(kind)], number, code=Code.NOT_UNDERSTOOD))
        if message.kind not in REPLIES:
            return await self.send(Message(Kind.BALANCER_SET, message.number, code=Code.NOT_UNDERSTOOD))
        self.reading = message.reading if message.groups else self.reading
        answers = {
            Kind.REGISTER: self.registers,
            Kind.DEREGISTER: self.deregisters,
            Kind.SET_BALANCER: self.sets_balancer,
            Kind.SET_MEMBERS: self.sets_members,
        }
        reply = Message(REPLIES[message.kind], message.number)
        if message.kind == Kind.GET_WEIGHTS:
            code, groups, asked = self.weights(message)
            taken = [(outlet, *outlet.take()[1:]) for outlet in asked]
            await self.send(reply._replace(code=code, interval=self.front.interval, groups=groups))
            for outlet, version, ordered_at in taken:
                outlet.told(version, ordered_at)
            return None
        reply = reply._replace(code=answers[message.kind](message))
        self.front.read_rolls()
        return await self.send(reply)

    def speaks(self, name):
        """A balancer speaks on this connection: an older one of its own is ended, what it had stands."""
        if not name:
            return Code.BALANCER_SIZE
        ident = ident_of(name)
        if ident in self.outlets:
            return Code.SUCCESS
        if len(self.outlets) >= self.front.most_balancers:
            return Code.NOT_ACCEPTED
        code = CODES[self.registry.contact(ident)]
        if code == Code.SUCCESS:
            outlet = self.outlets[ident] = Outlet(self, ident, name)
            self.front.take_over(ident, outlet)
        return code

    def of_balancers(self, message):
        """Lets the balancers that a message names in; answers the first code that is against it."""
        for group in dict.fromkeys(group.balancer for group, _ in message.groups):
            if not group:
                return Code.BALANCER_SIZE
            if message.flags & Flag.BALANCER and (code := self.speaks(group)):
                return code
        return Code.SUCCESS

    def registers(self, message):
        if any(not group.name for group, _ in message.groups):
            return Code.GROUP_NAME_SIZE
        if code := self.of_balancers(message):
            return code
        return CODES[
            self.registry.register(
                bool(message.flags & Flag.BALANCER),
                [
                    (ident_of(group.balancer), door(group.name), [(m.server(), m) for m in members])
                    for group, members in message.groups
                ],
            )
        ]

    def deregisters(self, message):
        if code := self.of_balancers(message):
            return code
        return CODES[
            self.registry.deregister(
                bool(message.flags & Flag.BALANCER),
                [
                    (ident_of(group.balancer), door(group.name), [m.server() for m in members])
                    for group, members in message.groups
                ],
            )
        ]

    def sets_members(self, message):
        if code := self.of_balancers(message):
            return code
        return CODES[
            self.registry.set_members(
                bool(message.flags & Flag.BALANCER),
                [
                    (
                        ident_of(group.balancer),
                        door(group.name),
                        [(s.member.server(), s.state, bool(s.flags & Flag.MEMBER_QUIESCE)) for s in states],
                    )
                    for group, states in message.groups
                ],
            )
        ]

    def sets_balancer(self, message):
        if code := self.speaks(message.balancer):
            return code
        flags, ident = message.flags, ident_of(message.balancer)
        answer = self.registry.set_balancer(
            ident,
            bool(flags & Flag.PUSH),
            bool(flags & Flag.TRUST),
            bool(flags & Flag.NO_CHANGE),
            message.health,
        )
        self.outlets[ident].connection.stirred.set()
        return CODES[answer]

    # -- what goes out

    def weights(self, message):
        """(code, groups of weights, whose) that answer a question; one that is asked by a balancer alone."""
        groups, asked = [], {}
        for group in message.groups:
            if not group.balancer:
                return Code.BALANCER_SIZE, (), ()
            ident = ident_of(group.balancer)
            if ident not in self.outlets:
                return Code.UNKNOWN_BALANCER, (), ()
            answer, found = self.registry.find_groups(ident, door(group.name))
            if answer is not Result.DONE:
                return CODES[answer], (), ()
            outlet = asked[ident] = self.outlets[ident]
            groups += [
                (
                    wire.Group(outlet.name, unquote_to_bytes(name)),
                    tuple(
                        self.front.weight(outlet, name, server, entry) for server, entry in entries.items()
                    ),
                )
                for name, entries in found.items()
            ]
        return Code.SUCCESS, tuple(groups), asked.values()

    async def push(self):
        while True:
            for outlet in list(self.outlets.values()):
                balancer = self.registry.balancers.get(outlet.ident)
                if balancer and balancer.push and outlet.changed:
                    lines, version, ordered_at = outlet.take()
                    for group, weights in self.front.push_of(outlet, balancer, lines):
                        # A push is not answered, so its number is free to say when it was ordered.
                        number = (ordered_at or 0) // 1000 % (1 << 32)
                        await self.send(Message(Kind.SEND_WEIGHTS, number, ((group, weights),)))
                    outlet.told(version, ordered_at)
            with anyio.move_on_after(WRITE_WITHIN):
                await self.stirred.wait()
            self.stirred = anyio.Event()


class SaspFront:
    """`advice`: the site's settings for it, a plain map (balancers, groups, members, message, keep)."""

    def __init__(self, host, advice):
        self.host, self.log = host, structlog.get_logger("foxstep.sasp")
        self.most_balancers, self.most_bytes = advice["balancers"], advice["message"]
        self.registry = Registry(
            advice["balancers"],
            advice["groups"],
            advice["members"],
            advice["keep"],
            host.desk.advice.max_lines(),
        )
        # A balancer that asks has to hear of a drain within the grace: twice in it, as whole seconds allow.
        self.interval = max(1, host.site["grace"] // (2 * SECOND))
        self.outlets, self.connections = {}, 0

    def take_over(self, ident, outlet):
        older, self.outlets[ident] = self.outlets.get(ident), outlet
        self.host.enrolled(ident, self.host.site["zone"], outlet)
        if older:
            older.end("a newer session of the same balancer is up")

    def read_rolls(self):
        """Tells the host of rolls that have changed."""
        while (ident := self.registry.next_changed()) is not None:
            outlet = self.outlets.get(ident)
            if outlet:
                self.host.advise(ident, outlet, self.registry.members_by_group(ident))

    def weight(self, outlet, group, server, entry):
        """A member's weight as the balancer is to hold it."""
        held = outlet.holding.lines.get(ADVICE, {}) if outlet.holding else {}
        line = self.host.listed_lines.get(server)
        state, weight = line[4] if line else "gone", held.get(line_name(group, server), 0)
        if server.endswith(":0"):
            state = "open" if weight else state  # a whole system: its servers' states are in the weight
        if state != "open":
            weight = 0  # whatever still waits in the channel
        warm = weight and self.host.desk.standing.get(server, (0, 0, 1))[2] == 1
        flags = (
            (Flag.CONTACT if state != "gone" else 0)
            | (Flag.QUIESCE if state != "open" or entry.quiesced else 0)
            | (Flag.REGISTRATION if entry.by_balancer else 0)
            | (Flag.CONFIDENCE if warm else 0)
        )
        return Weight(entry.shown, entry.state, int(flags), min(thousandths(weight), 0xFFFF) if weight else 0)

    def push_of(self, outlet, balancer, lines):
        """(group, weights) for each message that tells a balancer of changed lines: these alone where it
        asked for no more, else all of their groups; so many at most in one."""
        changed = {}
        for name in lines:
            group, server = split_line_name(name)
            if server in balancer.groups.get(group, ()):
                changed.setdefault(group, {})[server] = None
        for group, servers in changed.items():
            entries = balancer.groups[group]
            told = [
                self.weight(outlet, group, server, entries[server])
                for server in (servers if balancer.changes_only else entries)
            ]
            for k in range(0, len(told), PUSH_MOST):
                yield wire.Group(outlet.name, unquote_to_bytes(group)), tuple(told[k : k + PUSH_MOST])

    async def handle(self, stream):
        if self.connections >= 2 * self.most_balancers:
            self.log.warning("too many connections")
            return await stream.aclose()
        self.connections += 1
        try:
            async with stream:
                await Connection(self, stream).run()
        finally:
            self.connections -= 1

    async def forget(self):
        """Lets go of balancers that were away for long."""
        while True:
            await anyio.sleep(self.registry.retention_us / SECOND / 4)
            while (ident := self.registry.remove_expired(self.host.clock())) is not None:
                self.log.info("forgotten", balancer=ident)

    async def run(self, listener):
        async with anyio.create_task_group() as group:
            group.start_soon(self.forget)
            await listener.serve(self.handle, group)
