"""The SASP front: TCP sessions of load balancers, and of members that register themselves, for one host.

A controller acts as the Group Workload Manager of RFC 4678. A load balancer that has sent a message on a
connection gets its weights ("advice") on it, by replies or pushed.
"""

from contextlib import suppress
from urllib.parse import quote_from_bytes, unquote_to_bytes

import anyio
import structlog

from foxstep.advice.advisor import line_name, split_line_name
from foxstep.advice.registry import Registry, Result
from foxstep.sasp import wire
from foxstep.sasp.wire import Code, Flag, Message, MessageType, Weight
from foxstep.tables.ledger import thousandths
from foxstep.tables.manager import ADVICE

SECOND_US = 1_000_000
WRITE_TIMEOUT_S = 10.0  # a peer that reads nothing for so long is disconnected
HANDSHAKE_TIMEOUT_S = 10.0  # a new connection has to send its first bytes within it
READ_CHUNK_BYTES = 65_536
MAX_WEIGHTS_PER_PUSH = 1_000  # further weights go into further messages
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    TimeoutError,
    OSError,
)

RESPONSE_CODES = {
    Result.DONE: Code.SUCCESS,
    Result.NOT_ACCEPTED: Code.NOT_ACCEPTED,
    Result.ALREADY_REGISTERED: Code.ALREADY_REGISTERED,
    Result.DUPLICATE: Code.DUPLICATE_IN_REQUEST,
    Result.NOT_REGISTERED: Code.NOT_REGISTERED,
    Result.UNKNOWN_GROUP: Code.UNKNOWN_GROUP,
    Result.UNKNOWN_BALANCER: Code.UNKNOWN_BALANCER,
    Result.NO_CONTACT: Code.NO_CONTACT,
}
REPLY_TYPES = {
    MessageType.REGISTRATION_REQUEST: MessageType.REGISTRATION_REPLY,
    MessageType.DEREGISTRATION_REQUEST: MessageType.DEREGISTRATION_REPLY,
    MessageType.GET_WEIGHTS_REQUEST: MessageType.GET_WEIGHTS_REPLY,
    MessageType.SET_LB_STATE_REQUEST: MessageType.SET_LB_STATE_REPLY,
    MessageType.SET_MEMBER_STATE_REQUEST: MessageType.SET_MEMBER_STATE_REPLY,
}


def text_id(name):
    """Returns a peer's bytes as a text ID: percent-encoded where needed, without spaces."""
    return quote_from_bytes(name, safe=":.-_@+=,")


def balancer_id(balancer):
    return "sasp:" + text_id(balancer)


class Outlet:
    """The `live.host.ProxyStream` of one balancer.

    Collects the changes that the host delivers until the balancer's connection writes them.
    """

    def __init__(self, connection, ident, name):
        self.connection = connection
        self.ident = ident
        self.name = name
        self.holding, self.version, self.ordered_at = None, None, None
        # Lines delivered and not yet written. A slow reader holds no more of them than its table has.
        self.changed = {}

    def deliver(self, holding, message):
        self.holding = holding
        self.changed.update(dict.fromkeys(name for _, name in message.lines))
        self.version = message.target_table.name() if message.target_table else self.version
        self.ordered_at = self.ordered_at or message.first_ordered_at
        self.connection.wake_push.set()

    def end(self, reason):
        """Another session has taken the balancer over. A connection without balancers is closed."""
        self.connection.outlets.pop(self.ident, None)
        if not self.connection.outlets:
            self.connection.end(reason)

    def take_changes(self):
        """Returns (lines to write, version, order time) and resets them; the latter two are passed to
        `mark_written`."""
        taken = self.changed, self.version, self.ordered_at
        self.changed, self.version, self.ordered_at = {}, None, None
        return taken

    def mark_written(self, version, ordered_at):
        """Reports changes as applied once they are written to the socket: SASP has no acknowledgement."""
        if ordered_at:
            self.connection.front.host.applied(self.ident, self, [], [ordered_at], version)


class Connection:
    """One TCP connection. Balancers that have sent a message on it get their weights on it."""

    def __init__(self, front, stream):
        self.front = front
        self.stream = stream
        self.registry = front.registry
        self.outlets = {}  # balancer ID -> Outlet
        self.length_convention = wire.OWN
        self.lock = anyio.Lock()
        self.wake_push = anyio.Event()
        self.scope = anyio.CancelScope()
        self.reason = "closed by the peer"

    def end(self, reason):
        self.reason = reason
        self.scope.cancel()

    async def run(self):
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.push)
                    with suppress(*CONNECTION_ERRORS):
                        await self.receive()
                    group.cancel_scope.cancel()
        except* CONNECTION_ERRORS as broken:
            self.reason = (
                f"read nothing for {WRITE_TIMEOUT_S:.0f} s"
                if any(isinstance(e, TimeoutError) for e in broken.exceptions)
                else "broken"
            )
        finally:
            for ident, outlet in self.outlets.items():
                if self.front.outlets.get(ident) is outlet:
                    del self.front.outlets[ident]
                    self.registry.disconnected(self.front.host.clock(), ident)
                self.front.host.left(ident, outlet, self.reason)

    async def receive(self):
        buffer, max_bytes = bytearray(), self.front.max_message_bytes
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            buffer += await self.stream.receive(READ_CHUNK_BYTES)
        while True:
            try:
                while (length := wire.frame_length(buffer, max_bytes)) is not None and len(buffer) >= length:
                    data = bytes(buffer[:length])
                    del buffer[:length]
                    await self.handle_message(data)
            except wire.UnsupportedVersion as unsupported:
                self.front.log.warning("other version", why=str(unsupported))
                return await self.send(
                    Message(MessageType.SET_LB_STATE_REPLY, unsupported.message_id, code=Code.NOT_UNDERSTOOD)
                )
            except wire.MalformedMessage as malformed:
                self.front.log.warning("malformed", why=str(malformed))
                return None  # the beginning of the next message cannot be known
            buffer += await self.stream.receive(READ_CHUNK_BYTES)

    async def send(self, message):
        async with self.lock:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self.stream.send(
                    wire.encode(message._replace(length_convention=self.length_convention))
                )

    # -- received messages

    async def handle_message(self, data):
        try:
            message = wire.decode(data)
        except wire.MalformedMessage as malformed:
            # Its frame was valid, so it can be answered, and the next message be read.
            kind = wire.COMPONENT.unpack_from(data, wire.HEADER_SIZE)[0]
            self.front.log.warning("not understood", why=str(malformed))
            if kind not in list(REPLY_TYPES):
                raise
            message_id = wire.HEADER.unpack_from(data)[4]
            return await self.send(
                Message(REPLY_TYPES[MessageType(kind)], message_id, code=Code.NOT_UNDERSTOOD)
            )
        if message.kind not in REPLY_TYPES:
            return await self.send(
                Message(MessageType.SET_LB_STATE_REPLY, message.message_id, code=Code.NOT_UNDERSTOOD)
            )
        self.length_convention = message.length_convention if message.groups else self.length_convention
        handlers = {
            MessageType.REGISTRATION_REQUEST: self.register_members,
            MessageType.DEREGISTRATION_REQUEST: self.deregister_members,
            MessageType.SET_LB_STATE_REQUEST: self.set_balancer_state,
            MessageType.SET_MEMBER_STATE_REQUEST: self.set_member_states,
        }
        reply = Message(REPLY_TYPES[message.kind], message.message_id)
        if message.kind == MessageType.GET_WEIGHTS_REQUEST:
            code, groups, outlets = self.requested_weights(message)
            taken = [(outlet, *outlet.take_changes()[1:]) for outlet in outlets]
            await self.send(reply._replace(code=code, interval=self.front.poll_interval, groups=groups))
            for outlet, version, ordered_at in taken:
                outlet.mark_written(version, ordered_at)
            return None
        reply = reply._replace(code=handlers[message.kind](message))
        self.front.pass_on_changes()
        return await self.send(reply)

    def attach_balancer(self, name):
        """Attaches a balancer to this connection and returns the response code.

        An older session of the same balancer is ended; what it has registered stays.
        """
        if not name:
            return Code.INVALID_BALANCER_ID_SIZE
        ident = balancer_id(name)
        if ident in self.outlets:
            return Code.SUCCESS
        if len(self.outlets) >= self.front.max_balancers:
            return Code.NOT_ACCEPTED
        code = RESPONSE_CODES[self.registry.contact(ident)]
        if code == Code.SUCCESS:
            outlet = self.outlets[ident] = Outlet(self, ident, name)
            self.front.take_over(ident, outlet)
        return code

    def attach_balancers(self, message):
        """Attaches the balancers that a message names, if a balancer sent it. Returns the first code other
        than success, or success."""
        for balancer in dict.fromkeys(group.balancer for group, _ in message.groups):
            if not balancer:
                return Code.INVALID_BALANCER_ID_SIZE
            if message.flags & Flag.BALANCER and (code := self.attach_balancer(balancer)):
                return code
        return Code.SUCCESS

    def register_members(self, message):
        if any(not group.name for group, _ in message.groups):
            return Code.INVALID_GROUP_NAME_SIZE
        if code := self.attach_balancers(message):
            return code
        return RESPONSE_CODES[
            self.registry.register(
                bool(message.flags & Flag.BALANCER),
                [
                    (
                        balancer_id(group.balancer),
                        text_id(group.name),
                        [(m.server(), m) for m in members],
                    )
                    for group, members in message.groups
                ],
            )
        ]

    def deregister_members(self, message):
        if code := self.attach_balancers(message):
            return code
        return RESPONSE_CODES[
            self.registry.deregister(
                bool(message.flags & Flag.BALANCER),
                [
                    (balancer_id(group.balancer), text_id(group.name), [m.server() for m in members])
                    for group, members in message.groups
                ],
            )
        ]

    def set_member_states(self, message):
        if code := self.attach_balancers(message):
            return code
        return RESPONSE_CODES[
            self.registry.set_members(
                bool(message.flags & Flag.BALANCER),
                [
                    (
                        balancer_id(group.balancer),
                        text_id(group.name),
                        [(s.member.server(), s.state, bool(s.flags & Flag.MEMBER_QUIESCE)) for s in states],
                    )
                    for group, states in message.groups
                ],
            )
        ]

    def set_balancer_state(self, message):
        if code := self.attach_balancer(message.balancer):
            return code
        flags, ident = message.flags, balancer_id(message.balancer)
        result = self.registry.set_balancer(
            ident,
            bool(flags & Flag.PUSH),
            bool(flags & Flag.TRUST),
            bool(flags & Flag.NO_CHANGE),
            message.health,
        )
        self.outlets[ident].connection.wake_push.set()
        return RESPONSE_CODES[result]

    # -- sent weights

    def requested_weights(self, message):
        """Returns (code, groups of weights, outlets of their balancers) for a Get Weights request. Only
        balancers attached to this connection can request weights."""
        groups, outlets = [], {}
        for group in message.groups:
            if not group.balancer:
                return Code.INVALID_BALANCER_ID_SIZE, (), ()
            ident = balancer_id(group.balancer)
            if ident not in self.outlets:
                return Code.UNKNOWN_BALANCER, (), ()
            result, found = self.registry.find_groups(ident, text_id(group.name))
            if result is not Result.DONE:
                return RESPONSE_CODES[result], (), ()
            outlet = outlets[ident] = self.outlets[ident]
            groups += [
                (
                    wire.Group(outlet.name, unquote_to_bytes(name)),
                    tuple(
                        self.front.weight(outlet, name, server, entry) for server, entry in entries.items()
                    ),
                )
                for name, entries in found.items()
            ]
        return Code.SUCCESS, tuple(groups), outlets.values()

    async def push(self):
        while True:
            for outlet in list(self.outlets.values()):
                balancer = self.registry.balancers.get(outlet.ident)
                if balancer and balancer.push and outlet.changed:
                    lines, version, ordered_at = outlet.take_changes()
                    for group, weights in self.front.pushed_weights(outlet, balancer, lines):
                        # A push has no reply, so its message ID can carry the time of the order, in ms.
                        message_id = (ordered_at or 0) // 1000 % (1 << 32)
                        await self.send(Message(MessageType.SEND_WEIGHTS, message_id, ((group, weights),)))
                    outlet.mark_written(version, ordered_at)
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                await self.wake_push.wait()
            self.wake_push = anyio.Event()


class SaspFront:
    """The SASP front of one host.

    `advice` is the plain map of the site's settings for it (balancers, groups, members, message, keep).
    """

    def __init__(self, host, advice):
        self.host = host
        self.log = structlog.get_logger("foxstep.sasp")
        self.max_balancers = advice["balancers"]
        self.max_message_bytes = advice["message"]
        self.registry = Registry(
            advice["balancers"],
            advice["groups"],
            advice["members"],
            advice["keep"],
            host.table_manager.advice.max_lines(),
        )
        # In seconds. A balancer that polls has to learn of a drain within the grace, so it polls twice in it,
        # as far as whole seconds allow.
        self.poll_interval = max(1, host.site["grace"] // (2 * SECOND_US))
        self.outlets = {}  # balancer ID -> Outlet of its latest session
        self.connections = 0

    def take_over(self, ident, outlet):
        """Makes this a balancer's current outlet; an older session of the balancer is ended."""
        older, self.outlets[ident] = self.outlets.get(ident), outlet
        self.host.enrolled(ident, self.host.site["zone"], outlet)
        if older:
            older.end("a newer session of the same balancer is up")

    def pass_on_changes(self):
        """Tells the host which balancers have changed registrations."""
        while (ident := self.registry.next_changed()) is not None:
            outlet = self.outlets.get(ident)
            if outlet:
                self.host.advise(ident, outlet, self.registry.members_by_group(ident))

    def weight(self, outlet, group, server, entry):
        """Returns a member's weight entry as the balancer is to have it."""
        held = outlet.holding.lines.get(ADVICE, {}) if outlet.holding else {}
        line = self.host.listed_lines.get(server)
        state, weight = line[4] if line else "gone", held.get(line_name(group, server), 0)
        if server.endswith(":0"):
            state = "open" if weight else state  # a whole system: its weight reflects its servers' states
        if state != "open":
            weight = 0  # even if the change of the line still waits in the channel
        warm = weight and self.host.table_manager.standing.get(server, (0, 0, 1))[2] == 1
        flags = (
            (Flag.CONTACT if state != "gone" else 0)
            | (Flag.QUIESCE if state != "open" or entry.quiesced else 0)
            | (Flag.REGISTRATION if entry.by_balancer else 0)
            | (Flag.CONFIDENCE if warm else 0)
        )
        return Weight(entry.shown, entry.state, int(flags), min(thousandths(weight), 0xFFFF) if weight else 0)

    def pushed_weights(self, outlet, balancer, lines):
        """Yields (group, weights) for each message that pushes changed lines to a balancer.

        With the No-Change flag these are the changed members only, otherwise all members of their groups. A
        message has at most MAX_WEIGHTS_PER_PUSH weights.
        """
        changed = {}
        for name in lines:
            group, server = split_line_name(name)
            if server in balancer.groups.get(group, ()):
                changed.setdefault(group, {})[server] = None
        for group, servers in changed.items():
            entries = balancer.groups[group]
            weights = [
                self.weight(outlet, group, server, entries[server])
                for server in (servers if balancer.changes_only else entries)
            ]
            for k in range(0, len(weights), MAX_WEIGHTS_PER_PUSH):
                yield (
                    wire.Group(outlet.name, unquote_to_bytes(group)),
                    tuple(weights[k : k + MAX_WEIGHTS_PER_PUSH]),
                )

    async def handle(self, stream):
        if self.connections >= 2 * self.max_balancers:
            self.log.warning("too many connections")
            return await stream.aclose()
        self.connections += 1
        try:
            async with stream:
                await Connection(self, stream).run()
        finally:
            self.connections -= 1

    async def forget_expired(self):
        """Forgets balancers that have been disconnected for longer than the `keep` setting."""
        while True:
            await anyio.sleep(self.registry.retention_us / SECOND_US / 4)
            while (ident := self.registry.remove_expired(self.host.clock())) is not None:
                self.log.info("forgotten", balancer=ident)

    async def run(self, listener):
        async with anyio.create_task_group() as group:
            group.start_soon(self.forget_expired)
            await listener.serve(self.handle, group)
