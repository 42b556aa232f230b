"""The controllers' notes on the wire: one datagram each, msgpack, loopback. What is lost is lost."""

from zlib import crc32

import anyio
import msgspec
import structlog

MOST = 4_096          # bytes of a note
SECOND = 1_000_000
CHECK = 4             # a note begins with a checksum of the rest: what is torn or not ours is dropped


class Note(msgspec.Struct, array_like=True):
    site: str
    sender: int
    incarnation: int
    load: int
    verb: str
    number: int
    target: int | None
    news: list[tuple[int, str, int, int]]


class Notes:
    """Sends and hears one controller's notes. `lose`: the part of them that a drill has lost on the way."""

    def __init__(self, site_name, membership, socket, clock, load, lose=0.0):
        self.site_name, self.membership, self.socket, self.clock = site_name, membership, socket, clock
        self.load, self.lose, self.heard, self.sent, self.bytes = load, lose, 0, 0, 0
        self.log = structlog.get_logger("foxstep.peers")
        self.lock = anyio.Lock()
        self.decoder = msgspec.msgpack.Decoder(Note)

    async def hear(self):
        async for data, _ in self.socket:
            body = data[CHECK:]
            try:
                if len(data) > MOST or crc32(body) != int.from_bytes(data[:CHECK], "big"):
                    continue
                note = self.decoder.decode(body)
            except msgspec.DecodeError:
                continue
            if note.site == self.site_name:
                self.heard += 1
                self.membership.heard(self.clock(), note.sender, note.verb, note.number, note.news,
                                      note.target, note.incarnation, note.load)
                await self.send_due()

    async def send_due(self):
        async with self.lock:
            while (note := self.membership.next_note(self.clock())) is not None:
                await self.send(*note)

    async def send(self, verb, to, number, target, news):
        members, me = self.membership.members, self.membership.me
        body = msgspec.msgpack.encode(Note(self.site_name, me, self.membership.incarnation, self.load(),
                                           verb, number, target, news))
        self.sent += 1
        self.bytes += len(body) + CHECK
        if crc32(f"{me} lost {self.sent}".encode()) / 2**32 < self.lose:
            return
        host, _, port = members[to].address.rpartition(":")
        try:
            await self.socket.sendto(crc32(body).to_bytes(CHECK, "big") + body, host, int(port))
        except OSError:
            pass  # nobody listens there: as good as lost

    async def tick(self):
        """Looks a tenth of a period ahead, and tells of what has changed."""
        while True:
            await self.send_due()
            while self.membership.changes:
                _, ident, state = self.membership.changes.popleft()
                self.log.warning("peer", controller=ident, state=state, alive=self.membership.alive())
            await anyio.sleep(self.membership.period / SECOND / 10)

    async def run(self):
        async with self.socket, anyio.create_task_group() as group:
            group.start_soon(self.hear)
            group.start_soon(self.tick)
