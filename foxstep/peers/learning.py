"""What a controller has learnt, told to the others and kept for its next life; and what it takes of theirs.

Hosts the decisions of `learnt` and the copies of `replica`; without peers, a former life's word alone counts.
"""

import anyio
import msgspec

from foxstep.peers.learnt import LANES, PROXIES, SERVERS, Hearsay, Teller, sound
from foxstep.peers.replica import FORMER, Fact, Replica
from foxstep.tables.version import Version, epoch_after

SECOND = 1_000_000
UNTOLD = 0.01  # ops a second of a proxy that tells none: where none does, all count alike
KEPT_EVERY = 10  # cycles of reports after which what was learnt is written to the store anew


class Learning:
    """`exchange`: bytes a second of what is told to others. `period`: microseconds between two looks."""

    def __init__(self, host, me, exchange=16_000, period=250_000):
        self.host, self.me, self.period = host, me, period
        self.replica = Replica(me, host.epoch, LANES, exchange, host.clock())
        self.teller, self.hearsay = Teller(self.replica), Hearsay(self.replica, host.site)
        self.listed, self.keep_at, self.kept = {}, host.clock(), None
        host.on_joined, host.on_left = self.joined, self.left
        self.recall(host.store.facts, host.wall())

    # -- a former life

    def recall(self, kept, wall):
        """What the store holds of a former life: (wall clock when it was so, a map a lane). A clock that has
        stepped back tells no age: then the word counts half."""
        if not kept:
            return
        at, lanes = kept
        age = wall - at if wall >= at else self.hearsay.unknown_age()
        now = self.host.clock()
        for number, facts in enumerate(lanes[:LANES]):
            lane = self.replica.lane(FORMER, number)
            lane.confirmed = now - age
            for count, (key, value) in enumerate(facts.items(), 1):
                if value is not None and sound(number, key, value):
                    lane.take(key, Fact(value, count, now - age))

    def keep(self, now):
        self.keep_at = now + KEPT_EVERY * self.host.site["cycle"]
        lanes = [
            {key: fact.value for key, fact in self.replica.of[self.me, n].live().items()}
            for n in range(LANES)
        ]
        if lanes != self.kept and any(lanes):
            self.kept = lanes
            self.host.store.keep_facts(msgspec.msgpack.encode((self.host.wall(), lanes)))

    # -- proxies that come and go

    def joined(self, proxy, rate):
        self.hearsay.came(self.host.clock(), proxy, max(rate, UNTOLD))

    def left(self, proxy, rate):
        rate = max(rate, UNTOLD)
        rates = sum(self.rates().values()) + rate
        self.hearsay.went(self.host.clock(), proxy, self.host.controller.capacity, rate, rates)

    def rates(self):
        return {i: max(j.rate, UNTOLD) for i, j in self.host.joins.items() if j.rate is not None}

    def zones(self):
        """Proxy -> zone of those that are served here."""
        return {i: j.zone for i, j in self.host.joins.items() if j.rate is not None}

    # -- telling and hearing

    def exchange(self):
        """Tells what is known here, and takes in what has been heard since."""
        host, now = self.host, self.host.clock()
        holders = {p: str(h.held) for p in host.joins if (h := host.desk.ledger.holder(p)).held}
        self.teller.tell(
            now,
            host.listed_lines,
            host.controller.server_weights(),
            host.controller.measured_weights(now),
            host.controller.capacity,
            sum(self.rates().values()) + self.hearsay.rates_gone(),
            self.zones(),
            holders,
        )
        self.rank()
        news = dict.fromkeys(key for _, lane, key in self.replica.changed if lane == SERVERS)
        news.update(dict.fromkeys(s for s in host.listed_lines if s not in self.listed))
        self.replica.changed.clear()
        self.listed = dict.fromkeys(host.listed_lines)
        lines = self.hearsay.changes(now, host.listed_lines, host.told_at)
        if lines or self.hearsay.shaded != host.shaded:
            host.shade(dict(self.hearsay.shaded), lines)
        host.learnt(self.hearsay.weights(now, [s for s in news if s in host.listed_lines]))
        part = self.hearsay.grant(host.controller.capacity, self.rates()) - self.hearsay.taken(now)
        if part and (part > 0 or host.controller.capacity):
            host.inherited(part)
        if now >= self.keep_at:
            self.keep(now)

    def rank(self):
        """Goes above every epoch of a former life of this one's that others have heard of and its store has
        lost, and above the versions that their proxies hold."""
        ledger, highest = self.host.desk.ledger, self.replica.outranked
        if highest:
            ledger.outrank(Version(highest + 1, 0))
            self.replica.begin_epoch(epoch_after(max(ledger.epoch, highest), self.me))
            self.replica.outranked = 0
            self.host.log.warning("outranked", by="its own former life", epoch=ledger.epoch)

    async def run(self, talk=None):
        """`talk`: what asks and answers the others, where there are any."""
        while True:
            self.exchange()
            if talk:
                await talk()
            await anyio.sleep(self.period / SECOND)

    def facts_of(self, now, origin):
        """What is held of a controller's, for an operator."""
        live = [len(self.replica.lane(origin, number).live()) for number in (SERVERS, PROXIES)]
        lag = self.replica.lag(now, origin)
        return {
            "servers": live[0],
            "proxies": live[1],
            "confirmed_ms_ago": None if lag is None else lag // 1000,
        }
