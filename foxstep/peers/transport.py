"""Messages between controllers: one msgpack-encoded UDP datagram each, on loopback, without retransmission.

A datagram is a CRC-32 of its body, then the body: an array that begins with the message's tag.
"""

from typing import Any
from zlib import crc32

import anyio
import msgspec
import structlog

MAX_DATAGRAM_BYTES = 4_096
MAX_FACTS_BYTES = 1_200  # approximate size of the facts in one message: fits in one IP packet on any path
SECOND_US = 1_000_000
CHECKSUM_BYTES = 4  # datagrams with a wrong checksum are damaged or foreign, and are dropped


class FactsMessage(msgspec.Struct, array_like=True, tag="facts"):
    """Anti-entropy: a digest of the sender's replica (`Replica.digest`), or changes that the receiver lacks
    (`Replica.changes_for`)."""

    site: str
    sender: int
    digest: list[tuple[int, int, int, int, int, int, int | None]]
    changes: list[tuple[int, int, int, int, int, int | None, int | None, list[tuple[str, Any, int, int]]]]


class MembershipMessage(msgspec.Struct, array_like=True, tag="note"):
    """A ping, an ack, or a request to ping `target`.

    `updates` are (controller, state, incarnation, reported by).
    """

    site: str
    sender: int
    incarnation: int
    proxy_count: int
    verb: str
    number: int
    target: int | None
    updates: list[tuple[int, str, int, int]]


class PeerTransport:
    """Sends and receives one controller's messages.

    `proxy_count` returns the number of proxies served here. `drop_ratio` is the fraction of outgoing messages
    that a drill discards. `is_valid_fact(lane, key, value)` checks received facts. The caller closes the
    socket: the last messages are sent after `run` has ended.
    """

    def __init__(
        self,
        site_name,
        membership,
        socket,
        clock,
        proxy_count,
        drop_ratio=0.0,
        replica=None,
        is_valid_fact=lambda lane, key, value: True,
    ):
        self.replica = replica
        self.is_valid_fact = is_valid_fact
        self.facts_bytes = 0
        self.digests_sent = 0
        self.invalid_messages = 0
        self.site_name = site_name
        self.membership = membership
        self.socket = socket
        self.clock = clock
        self.proxy_count = proxy_count
        self.drop_ratio = drop_ratio
        self.received, self.sent, self.bytes = 0, 0, 0
        self.log = structlog.get_logger("foxstep.peers")
        self.send_lock, self.write_lock = anyio.Lock(), anyio.Lock()
        self.decoder = msgspec.msgpack.Decoder(MembershipMessage | FactsMessage)

    async def receive(self):
        async for data, _ in self.socket:
            body = data[CHECKSUM_BYTES:]
            try:
                if len(data) > MAX_DATAGRAM_BYTES or crc32(body) != int.from_bytes(
                    data[:CHECKSUM_BYTES], "big"
                ):
                    continue
                message = self.decoder.decode(body)
            except msgspec.DecodeError:
                continue
            if message.site != self.site_name:
                continue
            if isinstance(message, FactsMessage):
                await self.handle_facts(message)
            else:
                self.received += 1
                self.membership.receive(
                    self.clock(),
                    message.sender,
                    message.verb,
                    message.number,
                    message.updates,
                    message.target,
                    message.incarnation,
                    message.proxy_count,
                )
                await self.send_due()

    async def send_due(self):
        async with self.send_lock:
            while (message := self.membership.next_message(self.clock())) is not None:
                await self.send(*message)

    async def send(self, verb, to, number, target, updates):
        message = MembershipMessage(
            self.site_name,
            self.membership.me,
            self.membership.incarnation,
            self.proxy_count(),
            verb,
            number,
            target,
            updates,
        )
        self.bytes += await self.write(to, message)

    async def write(self, to, message):
        """Sends a message once; returns its size in bytes."""
        members, me = self.membership.members, self.membership.me
        body = msgspec.msgpack.encode(message)
        self.sent += 1
        if crc32(f"{me} lost {self.sent}".encode()) / 2**32 < self.drop_ratio:
            return len(body) + CHECKSUM_BYTES
        host, _, port = members[to].address.rpartition(":")
        try:
            async with self.write_lock:
                await self.socket.sendto(crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body, host, int(port))
        except OSError:
            pass  # nothing listens on that port; same as a lost datagram
        return len(body) + CHECKSUM_BYTES

    async def handle_facts(self, message):
        now = self.clock()
        known = {*self.membership.members, self.membership.me}
        named = {change[0] for change in message.changes} | {entry[0] for entry in message.digest}
        facts = ((change[1], key, value) for change in message.changes for key, value, _, _ in change[7])
        if not named <= known or not all(self.is_valid_fact(*fact) for fact in facts):
            self.invalid_messages += 1
            return
        if message.changes:
            self.replica.apply_changes(now, message.changes)
        if message.digest and message.sender in self.membership.members:
            self.replica.receive_digest(now, message.sender, message.digest)
            await self.send_answers()

    async def send_answers(self):
        """Sends the changes that peers lack, as far as the byte budget allows."""
        while (answer := self.replica.next_answer(self.clock(), MAX_FACTS_BYTES)) is not None:
            to, changes = answer
            self.facts_bytes += await self.write(
                to, FactsMessage(self.site_name, self.membership.me, [], changes)
            )

    async def send_digest(self):
        """Sends this replica's digest to one live peer, round robin; it answers with what is lacking here."""
        others = [i for i in self.membership.alive() if i != self.membership.me]
        if others:
            self.digests_sent += 1
            to, digest = others[self.digests_sent % len(others)], self.replica.digest(self.clock())
            message = FactsMessage(self.site_name, self.membership.me, digest, [])
            self.facts_bytes += await self.write(to, message)

    async def run_timer(self):
        """Ten times a period, sends what is due and logs state changes of peers."""
        while True:
            await self.send_due()
            while self.membership.state_changes:
                _, ident, state = self.membership.state_changes.popleft()
                self.log.warning("peer", controller=ident, state=state, alive=self.membership.alive())
            await anyio.sleep(self.membership.period / SECOND_US / 10)

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.receive)
            group.start_soon(self.run_timer)
