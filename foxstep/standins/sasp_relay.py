"""A relay between SASP balancers and a controller: passes on their TCP sessions and records the advice.

It parses the messages with `sasp_layout` and shares no code with the controller.
"""

import ipaddress
from contextlib import suppress

import anyio

from foxstep.standins.sasp_layout import MESSAGE

CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
HEADER_BYTES = 13


def address_of(member):
    """HOST:PORT of a member; IPv4 addresses come mapped into IPv6."""
    is_ipv4 = member.address[:12] == bytes(10) + b"\xff\xff"
    host = ipaddress.ip_address(member.address[12:] if is_ipv4 else member.address)
    return f"{host}:{member.port}" if is_ipv4 else f"[{host}]:{member.port}"


class SaspRelay:
    """Relays sessions from `port` to the controller's port `target`."""

    def __init__(self, record, target):
        self.record = record
        self.target = target
        self.port = 0
        self.streams = 0

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens on a free port and relays until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self.relay)

    async def relay(self, client):
        self.streams += 1
        # The offset keeps these numbers apart from those of the gRPC streams in a record.
        session = {"stream": 1_000_000 + self.streams, "balancer": None, "held": {}}
        async with client:
            with suppress(*CLOSED):
                async with await anyio.connect_tcp("127.0.0.1", self.target) as controller:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self.forward, client, controller, session, group.cancel_scope)
                        group.start_soon(self.forward, controller, client, session, group.cancel_scope)
        if session["balancer"]:
            self.record("parted", proxy=session["balancer"], stream=session["stream"])

    async def forward(self, source, sink, session, scope):
        """Copies one direction of a session and records its complete messages."""
        buffer = bytearray()
        with suppress(*CLOSED):
            while True:
                data = await source.receive()
                buffer += data
                while len(buffer) >= HEADER_BYTES and len(buffer) >= (
                    total := int.from_bytes(buffer[5:9], "big")
                ):
                    self.record_message(MESSAGE.parse(bytes(buffer[:total])), session)
                    del buffer[:total]
                await sink.send(data)
        scope.cancel()

    def record_message(self, message, session):
        """Records that a balancer joined, or the advice in a message and the balancer's resulting weights."""
        if message.kind == 0x1050 and not session["balancer"]:
            session["balancer"] = message.body.balancer.decode()
            self.record("joined", proxy=session["balancer"], stream=session["stream"])
        if message.kind not in (0x1035, 0x1040):
            return
        ident = session["balancer"]
        stream = session["stream"]
        number = message.header.number
        self.record(
            "advised",
            proxy=ident,
            stream=stream,
            number=number,
            pushed=message.kind == 0x1040,
            weights=sum(group.count for group in message.body.groups),
        )
        for group in message.body.groups:
            name = group.group.name.decode()
            held = session["held"].setdefault(name, {})
            held.update((address_of(entry.member), float(entry.weight)) for entry in group.members)
            lines = {server: weight for server, weight in held.items() if weight}
            self.record(
                "table",
                proxy=ident,
                stream=stream,
                nonce=str(number),
                name=name,
                servers=list(lines),
                weights=list(lines.values()),
                dropped=0.0,
            )
