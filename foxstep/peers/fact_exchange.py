"""Publishes what a controller has learned, saves it for its restart, and applies its peers' facts.

Hosts the decisions of `facts` and the copies of `replica`. Without peers, only the facts saved before the
restart are applied.
"""

import anyio
import msgspec

from foxstep.peers.facts import (
    LANE_COUNT,
    PROXY_LANE,
    SERVER_LANE,
    FactPublisher,
    PeerFacts,
    is_valid_fact,
)
from foxstep.peers.replica import PREVIOUS_PROCESS, Fact, Replica
from foxstep.tables.version import Version, epoch_after

SECOND_US = 1_000_000
DEFAULT_RATE = 0.01  # ops per second of a proxy that reports none; if none does, all count alike
SAVE_INTERVAL_CYCLES = 10  # report cycles between two writes of the facts to the store


class FactExchange:
    """Exchanges the facts of one controller, whose number is `me`, with its peers.

    `bytes_per_s` limits what is sent to peers. `period` is the time between two exchanges in
    microseconds."""

    def __init__(self, host, me, bytes_per_s=16_000, period=250_000):
        self.host = host
        self.me = me
        self.period = period
        self.replica = Replica(me, host.epoch, LANE_COUNT, bytes_per_s, host.clock())
        self.publisher = FactPublisher(self.replica)
        self.peer_facts = PeerFacts(self.replica, host.site)
        self.known_servers = {}  # servers of the list at the last exchange, as an ordered set
        self.save_at = host.clock()
        self.saved = None
        host.on_joined, host.on_left = self.proxy_joined, self.proxy_left
        self.restore(host.store.facts, host.wall())

    # -- facts from before the restart

    def restore(self, saved, wall):
        """Loads what the store holds: (wall clock time of the save, a map for each lane).

        If the wall clock has been set back, the age is unknown and the trust in the facts is one half.
        """
        if not saved:
            return
        at, lanes = saved
        age = wall - at if wall >= at else self.peer_facts.default_age()
        now = self.host.clock()
        for number, facts in enumerate(lanes[:LANE_COUNT]):
            lane = self.replica.lane(PREVIOUS_PROCESS, number)
            lane.confirmed_at = now - age
            for count, (key, value) in enumerate(facts.items(), 1):
                if value is not None and is_valid_fact(number, key, value):
                    lane.apply(key, Fact(value, count, now - age))

    def save(self, now):
        self.save_at = now + SAVE_INTERVAL_CYCLES * self.host.site["cycle"]
        lanes = [
            {key: fact.value for key, fact in self.replica.lane_by_key[self.me, n].live().items()}
            for n in range(LANE_COUNT)
        ]
        if lanes != self.saved and any(lanes):
            self.saved = lanes
            self.host.store.keep_facts(msgspec.msgpack.encode((self.host.wall(), lanes)))

    # -- joining and leaving proxies

    def proxy_joined(self, proxy, rate):
        self.peer_facts.proxy_joined(self.host.clock(), proxy, max(rate, DEFAULT_RATE))

    def proxy_left(self, proxy, rate):
        rate = max(rate, DEFAULT_RATE)
        total_rate = sum(self.rates().values()) + rate
        self.peer_facts.proxy_left(self.host.clock(), proxy, self.host.controller.capacity, rate, total_rate)

    def rates(self):
        """Returns proxy -> ops per second of the proxies served here."""
        return {
            i: max(j.rate, DEFAULT_RATE) for i, j in self.host.joined_proxies.items() if j.rate is not None
        }

    def zones(self):
        """Returns proxy -> zone of the proxies served here."""
        return {i: j.zone for i, j in self.host.joined_proxies.items() if j.rate is not None}

    # -- exchange

    def exchange(self):
        """Publishes what is known here, and applies the peers' facts received since the last call."""
        host, now = self.host, self.host.clock()
        holders = {
            p: str(h.held) for p in host.joined_proxies if (h := host.table_manager.ledger.holder(p)).held
        }
        self.publisher.publish(
            now,
            host.listed_lines,
            host.controller.server_weights(),
            host.controller.measured_weights(now),
            host.controller.capacity,
            sum(self.rates().values()) + self.peer_facts.departed_rates(),
            self.zones(),
            holders,
        )
        self.raise_epoch()
        news = dict.fromkeys(key for _, lane, key in self.replica.changed if lane == SERVER_LANE)
        news.update(dict.fromkeys(s for s in host.listed_lines if s not in self.known_servers))
        self.replica.changed.clear()
        self.known_servers = dict.fromkeys(host.listed_lines)
        lines = self.peer_facts.changed_lines(now, host.listed_lines, host.state_since)
        if lines or self.peer_facts.overrides != host.line_overrides:
            host.override_lines(dict(self.peer_facts.overrides), lines)
        host.learnt(self.peer_facts.weights(now, [s for s in news if s in host.listed_lines]))
        change = self.peer_facts.capacity_gained(
            host.controller.capacity, self.rates()
        ) - self.peer_facts.capacity_lost(now)
        if change and (change > 0 or host.controller.capacity):
            host.inherited(change)
        if now >= self.save_at:
            self.save(now)

    def raise_epoch(self):
        """Moves to an epoch above any that peers have seen of this controller and its store has lost, and so
        above the versions that its proxies hold."""
        ledger, highest = self.host.table_manager.ledger, self.replica.newer_own_epoch
        if highest:
            ledger.raise_epoch_above(Version(highest + 1, 0))
            self.replica.begin_epoch(epoch_after(max(ledger.epoch, highest), self.me))
            self.replica.newer_own_epoch = 0
            self.host.log.warning("outranked", by="its own epoch before the restart", epoch=ledger.epoch)

    async def run(self, exchange_with_peers=None):
        """`exchange_with_peers` sends digests and answers; None without peers."""
        while True:
            self.exchange()
            if exchange_with_peers:
                await exchange_with_peers()
            await anyio.sleep(self.period / SECOND_US)

    def summary_of(self, now, origin):
        """What is held of a controller's facts, for the operator's view."""
        live = [len(self.replica.lane(origin, number).live()) for number in (SERVER_LANE, PROXY_LANE)]
        lag = self.replica.lag(now, origin)
        return {
            "servers": live[0],
            "proxies": live[1],
            "confirmed_ms_ago": None if lag is None else lag // 1000,
        }
