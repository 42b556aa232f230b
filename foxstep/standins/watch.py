"""A watcher between balancers and a controller: relays their TCP sessions and records the advice.

It reads the messages by `layout`, and shares no code with the controller.
"""

import ipaddress
from contextlib import suppress

import anyio

from foxstep.standins.layout import MESSAGE

CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
HEADER = 13


def address_of(member):
    four = member.address[:12] == bytes(10) + b"\xff\xff"
    host = ipaddress.ip_address(member.address[12:] if four else member.address)
    return f"{host}:{member.port}" if four else f"[{host}]:{member.port}"


class Watch:
    def __init__(self, record, target):
        self.record = record
        self.target = target
        self.port = 0
        self.streams = 0

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self.relay)

    async def relay(self, near):
        self.streams += 1
        session = {"stream": 1_000_000 + self.streams, "balancer": None, "held": {}}
        async with near:
            with suppress(*CLOSED):
                async with await anyio.connect_tcp("127.0.0.1", self.target) as far:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self.pass_on, near, far, session, group.cancel_scope)
                        group.start_soon(self.pass_on, far, near, session, group.cancel_scope)
        if session["balancer"]:
            self.record("parted", proxy=session["balancer"], stream=session["stream"])

    async def pass_on(self, source, sink, session, scope):
        buffer = bytearray()
        with suppress(*CLOSED):
            while True:
                data = await source.receive()
                buffer += data
                while len(buffer) >= HEADER and len(buffer) >= (total := int.from_bytes(buffer[5:9], "big")):
                    self.note(MESSAGE.parse(bytes(buffer[:total])), session)
                    del buffer[:total]
                await sink.send(data)
        scope.cancel()

    def note(self, message, session):
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
            weights=sum(one.count for one in message.body.groups),
        )
        for one in message.body.groups:
            name = one.group.name.decode()
            held = session["held"].setdefault(name, {})
            held.update((address_of(told.member), float(told.weight)) for told in one.those)
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
