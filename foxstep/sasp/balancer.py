"""The other end: a balancer that registers its members and follows the advice. A tool, and a stand-in."""

import ipaddress

import anyio
import structlog

from foxstep.sasp import wire
from foxstep.sasp.wire import Flag, Group, Kind, Member, Message

ANSWER_WITHIN = 5.0
REDIAL = 0.3  # seconds before dialling again
MOST_BYTES = 8 << 20


def member_of(server):
    """A member of an address such as 127.0.0.1:80 or [::1]:80, over TCP."""
    host, _, port = server.rpartition(":")
    address = ipaddress.ip_address(host.strip("[]"))
    packed = wire.MAPPED + address.packed if address.version == 4 else address.packed
    return Member(6, int(port), packed)


class Refused(RuntimeError):
    """The manager answered with a code that is not success."""


class Balancer:
    """`groups`: name -> servers. `on_weights(group)` is called whenever a group's weights have come."""

    def __init__(
        self, ident, address, groups, push=True, trust=True, changes_only=True, on_weights=lambda group: None
    ):
        self.ident, self.address, self.push = ident.encode(), address, push
        self.groups = {name: dict.fromkeys(servers) for name, servers in groups.items()}
        self.flags = (Flag.PUSH * push) | (Flag.TRUST * trust) | (Flag.NO_CHANGE * changes_only)
        self.on_weights, self.weights = on_weights, {}  # group -> {server: (weight, flags)}
        self.stream, self.number, self.waiting, self.buffer = None, 0, {}, bytearray()
        self.lock = anyio.Lock()
        self.interval, self.messages = 1.0, 0
        self.log = structlog.get_logger("foxstep.advise").bind(balancer=ident)

    async def run(self):
        """Follows the advice, on one session after the other, until cancelled. What it holds it keeps."""
        while True:
            try:
                await self.session()
            except* (
                OSError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                TimeoutError,
                wire.Malformed,
                Refused,
            ) as broken:
                self.log.info("session ended", why=str(broken.exceptions[0])[:120])
            await anyio.sleep(REDIAL)

    async def session(self):
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(ANSWER_WITHIN):
            self.stream = await anyio.connect_tcp(host, int(port))
        self.buffer.clear()
        self.waiting = {}
        async with self.stream, anyio.create_task_group() as group:
            group.start_soon(self.read)
            await self.ask(Message(Kind.SET_BALANCER, 0, balancer=self.ident, health=0x7F, flags=self.flags))
            for name in self.groups:
                await self.bring_up_to_date(name)
            while True:
                await self.get()
                await anyio.sleep(3600 if self.push else self.interval)

    async def bring_up_to_date(self, name):
        """Registers what the manager has not kept from a session before, and takes out what it should not."""
        group = Group(self.ident, name.encode())
        told = await self.ask(Message(Kind.GET_WEIGHTS, 0, (group,)), refused=None)
        had = {w.member.server(): w.member for _, weights in told.groups for w in weights}
        if gone := tuple(m for server, m in had.items() if server not in self.groups[name]):
            await self.ask(Message(Kind.DEREGISTER, 0, ((group, gone),), Flag.BALANCER))
        if new := [server for server in self.groups[name] if server not in had]:
            await self.register([name], new)

    async def register(self, groups, servers):
        """Raises Refused where the manager does not take them."""
        members = tuple(map(member_of, servers))
        return await self.ask(
            Message(
                Kind.REGISTER,
                0,
                tuple((Group(self.ident, group.encode()), members) for group in groups),
                Flag.BALANCER,
            )
        )

    async def add(self, server):
        """A server more in every group; while no session stands it is only noted."""
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
            Refused,
        ):
            pass  # the next session registers what is missing

    async def get(self):
        answer = await self.ask(Message(Kind.GET_WEIGHTS, 0, (Group(self.ident, b""),)))
        self.interval = max(answer.interval, 0.5)
        self.take(answer.groups)

    def take(self, groups):
        self.messages += 1
        for group, weights in groups:
            name = group.name.decode()
            self.weights.setdefault(name, {}).update(
                (told.member.server(), (told.weight, told.flags)) for told in weights
            )
            self.on_weights(name)

    async def ask(self, message, refused=Refused):
        self.number = number = self.number + 1
        answered = self.waiting[number] = [anyio.Event(), None]
        try:
            with anyio.fail_after(ANSWER_WITHIN):
                async with self.lock:
                    await self.stream.send(wire.write(message._replace(number=number)))
                await answered[0].wait()
        finally:
            self.waiting.pop(number, None)
        if refused and answered[1].code:
            raise refused(f"{message.kind.name.lower()}: code 0x{answered[1].code:02x}")
        return answered[1]

    async def read(self):
        while True:
            self.buffer += await self.stream.receive()
            while (length := wire.frame_length(self.buffer, MOST_BYTES)) and len(self.buffer) >= length:
                message = wire.read(bytes(self.buffer[:length]))
                del self.buffer[:length]
                if message.kind == Kind.SEND_WEIGHTS:
                    self.take(message.groups)
                elif message.number in self.waiting:
                    self.waiting[message.number][1] = message
                    self.waiting[message.number][0].set()
