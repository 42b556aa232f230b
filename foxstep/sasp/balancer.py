"""A SASP client: a load balancer that registers its members and receives their weights.

Used by `foxstep advise`, by drills and in measurements.
"""

import ipaddress

import anyio
import structlog

from foxstep.sasp import wire
from foxstep.sasp.wire import Flag, Group, Member, Message, MessageType

REPLY_TIMEOUT_S = 5.0
RECONNECT_DELAY_S = 0.3
MAX_MESSAGE_BYTES = 8 << 20


def member_of(server):
    """Returns the TCP member of an address such as 127.0.0.1:80 or [::1]:80."""
    host, _, port = server.rpartition(":")
    address = ipaddress.ip_address(host.strip("[]"))
    packed = wire.IPV4_MAPPED + address.packed if address.version == 4 else address.packed
    return Member(6, int(port), packed)


class RequestRefused(RuntimeError):
    """The controller replied with a response code other than success."""


class BalancerClient:
    """`groups` maps group names to servers. `on_weights(group)` is called when weights of a group arrive."""

    def __init__(
        self, ident, address, groups, push=True, trust=True, changes_only=True, on_weights=lambda group: None
    ):
        self.ident = ident.encode()
        self.address = address
        self.push = push
        self.groups = {name: dict.fromkeys(servers) for name, servers in groups.items()}
        self.flags = (Flag.PUSH * push) | (Flag.TRUST * trust) | (Flag.NO_CHANGE * changes_only)
        self.on_weights = on_weights
        self.weights = {}  # group -> {server: (weight, flags)}
        self.stream = None
        self.message_id = 0
        self.pending = {}  # message ID -> [event, reply]
        self.buffer = bytearray()
        self.lock = anyio.Lock()
        self.interval = 1.0  # seconds between two Get Weights requests
        self.messages = 0
        self.log = structlog.get_logger("foxstep.advise").bind(balancer=ident)

    async def run(self):
        """Runs one session after the other until cancelled. Weights are kept between sessions."""
        while True:
            try:
                await self.session()
            except* (
                OSError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                TimeoutError,
                wire.MalformedMessage,
                RequestRefused,
            ) as broken:
                self.log.info("session ended", why=str(broken.exceptions[0])[:120])
            await anyio.sleep(RECONNECT_DELAY_S)

    async def session(self):
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(REPLY_TIMEOUT_S):
            self.stream = await anyio.connect_tcp(host, int(port))
        self.buffer.clear()
        self.pending = {}
        async with self.stream, anyio.create_task_group() as group:
            group.start_soon(self.receive)
            await self.request(
                Message(
                    MessageType.SET_LB_STATE_REQUEST, 0, balancer=self.ident, health=0x7F, flags=self.flags
                )
            )
            for name in self.groups:
                await self.synchronize_group(name)
            while True:
                await self.get_weights()
                await anyio.sleep(3600 if self.push else self.interval)

    async def synchronize_group(self, name):
        """Registers the servers that the controller has not kept from an earlier session, and deregisters
        those that are no longer in the group."""
        group = Group(self.ident, name.encode())
        reply = await self.request(Message(MessageType.GET_WEIGHTS_REQUEST, 0, (group,)), error=None)
        registered = {w.member.server(): w.member for _, weights in reply.groups for w in weights}
        if removed := tuple(m for server, m in registered.items() if server not in self.groups[name]):
            await self.request(
                Message(MessageType.DEREGISTRATION_REQUEST, 0, ((group, removed),), Flag.BALANCER)
            )
        if added := [server for server in self.groups[name] if server not in registered]:
            await self.register([name], added)

    async def register(self, groups, servers):
        """Raises RequestRefused if the controller does not accept them."""
        members = tuple(map(member_of, servers))
        return await self.request(
            Message(
                MessageType.REGISTRATION_REQUEST,
                0,
                tuple((Group(self.ident, group.encode()), members) for group in groups),
                Flag.BALANCER,
            )
        )

    async def add(self, server):
        """Adds a server to every group. Without a session, the next one registers it."""
        for servers in self.groups.values():
            servers[server] = None
        try:
            await self.register(self.groups, [server])
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            TimeoutError,
            AttributeError,
            RequestRefused,
        ):
            pass  # the next session registers what is missing

    async def get_weights(self):
        """Requests the weights of all groups."""
        reply = await self.request(Message(MessageType.GET_WEIGHTS_REQUEST, 0, (Group(self.ident, b""),)))
        self.interval = max(reply.interval, 0.5)
        self.apply_weights(reply.groups)

    def apply_weights(self, groups):
        self.messages += 1
        for group, weights in groups:
            name = group.name.decode()
            self.weights.setdefault(name, {}).update(
                (entry.member.server(), (entry.weight, entry.flags)) for entry in weights
            )
            self.on_weights(name)

    async def request(self, message, error=RequestRefused):
        """Sends a request and returns its reply. Raises `error`, unless it is None, for a code other than
        success, and TimeoutError after REPLY_TIMEOUT_S."""
        self.message_id = message_id = self.message_id + 1
        pending = self.pending[message_id] = [anyio.Event(), None]
        try:
            with anyio.fail_after(REPLY_TIMEOUT_S):
                async with self.lock:
                    await self.stream.send(wire.encode(message._replace(message_id=message_id)))
                await pending[0].wait()
        finally:
            self.pending.pop(message_id, None)
        if error and pending[1].code:
            raise error(f"{message.kind.name.lower()}: code 0x{pending[1].code:02x}")
        return pending[1]

    async def receive(self):
        while True:
            self.buffer += await self.stream.receive()
            while (length := wire.frame_length(self.buffer, MAX_MESSAGE_BYTES)) and len(
                self.buffer
            ) >= length:
                message = wire.decode(bytes(self.buffer[:length]))
                del self.buffer[:length]
                if message.kind == MessageType.SEND_WEIGHTS:
                    self.apply_weights(message.groups)
                elif message.message_id in self.pending:
                    self.pending[message.message_id][1] = message
                    self.pending[message.message_id][0].set()
