"""The controllers' notes on the wire: one datagram each, msgpack, loopback. What is lost is lost."""

from typing import Any
from zlib import crc32

import anyio
import msgspec
import structlog

MOST = 4_096  # bytes of a note
ROOM = 1_200  # of which facts take about so many: what one packet carries anywhere
SECOND = 1_000_000
CHECK = 4  # a note begins with a checksum of the rest: what is torn or not ours is dropped


class Facts(msgspec.Struct, array_like=True, tag="facts"):
    """What a controller holds of all of them (`replica.digest`) or what another lacks (`replica.lacking`)."""

    site: str
    sender: int
    digest: list[tuple[int, int, int, int, int, int, int | None]]
    changes: list[tuple[int, int, int, int, int, int | None, int | None, list[tuple[str, Any, int, int]]]]


class Note(msgspec.Struct, array_like=True, tag="note"):
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

    def __init__(
        self,
        site_name,
        membership,
        socket,
        clock,
        load,
        lose=0.0,
        replica=None,
        sound=lambda lane, key, value: True,
    ):
        self.replica, self.sound, self.facts_bytes, self.turn, self.odd = replica, sound, 0, 0, 0
        self.site_name, self.membership, self.socket, self.clock = site_name, membership, socket, clock
        self.load, self.lose, self.heard, self.sent, self.bytes = load, lose, 0, 0, 0
        self.log = structlog.get_logger("foxstep.peers")
        self.lock, self.writing = anyio.Lock(), anyio.Lock()
        self.decoder = msgspec.msgpack.Decoder(Note | Facts)

    async def hear(self):
        async for data, _ in self.socket:
            body = data[CHECK:]
            try:
                if len(data) > MOST or crc32(body) != int.from_bytes(data[:CHECK], "big"):
                    continue
                note = self.decoder.decode(body)
            except msgspec.DecodeError:
                continue
            if note.site != self.site_name:
                continue
            if isinstance(note, Facts):
                await self.take_facts(note)
            else:
                self.heard += 1
                self.membership.heard(
                    self.clock(),
                    note.sender,
                    note.verb,
                    note.number,
                    note.news,
                    note.target,
                    note.incarnation,
                    note.load,
                )
                await self.send_due()

    async def send_due(self):
        async with self.lock:
            while (note := self.membership.next_note(self.clock())) is not None:
                await self.send(*note)

    async def send(self, verb, to, number, target, news):
        note = Note(
            self.site_name,
            self.membership.me,
            self.membership.incarnation,
            self.load(),
            verb,
            number,
            target,
            news,
        )
        self.bytes += await self.write(to, note)

    async def write(self, to, note):
        """Sends it, once; answers its bytes."""
        members, me = self.membership.members, self.membership.me
        body = msgspec.msgpack.encode(note)
        self.sent += 1
        if crc32(f"{me} lost {self.sent}".encode()) / 2**32 < self.lose:
            return len(body) + CHECK
        host, _, port = members[to].address.rpartition(":")
        try:
            async with self.writing:
                await self.socket.sendto(crc32(body).to_bytes(CHECK, "big") + body, host, int(port))
        except OSError:
            pass  # nobody listens there: as good as lost
        return len(body) + CHECK

    async def take_facts(self, note):
        now = self.clock()
        known = {*self.membership.members, self.membership.me}
        named = {change[0] for change in note.changes} | {one[0] for one in note.digest}
        told = ((change[1], key, value) for change in note.changes for key, value, _, _ in change[7])
        if not named <= known or not all(self.sound(*fact) for fact in told):
            self.odd += 1
            return
        if note.changes:
            self.replica.answered(now, note.changes)
        if note.digest and note.sender in self.membership.members:
            self.replica.asked(now, note.sender, note.digest)
            await self.answer_facts()

    async def answer_facts(self):
        while (answer := self.replica.next_answer(self.clock(), ROOM)) is not None:
            to, changes = answer
            self.facts_bytes += await self.write(to, Facts(self.site_name, self.membership.me, [], changes))

    async def ask_facts(self):
        """Tells one other, the next in turn, what is held of all: whoever lives answers what is lacking."""
        others = [i for i in self.membership.alive() if i != self.membership.me]
        if others:
            self.turn += 1
            to, digest = others[self.turn % len(others)], self.replica.digest(self.clock())
            note = Facts(self.site_name, self.membership.me, digest, [])
            self.facts_bytes += await self.write(to, note)

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
