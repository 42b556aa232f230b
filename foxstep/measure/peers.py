"""`foxstep measure-peers`: failure detection, moves of proxies, and replication of facts between controllers.

Failure detection is measured by its time, its false alarms and its traffic. Replication by changes above a
count is compared with sending all facts each time and with a tree of hashes.
"""

import time
from zlib import crc32

import anyio
import click

from foxstep.live.clocks import clock
from foxstep.peers.membership import ALIVE, GONE, SUSPECTED, Membership
from foxstep.peers.placement import ranked_controllers
from foxstep.peers.replica import Fact, Replica, fact_checksum
from foxstep.peers.transport import PeerTransport

SIZES = (2, 4, 8, 16)
LOSSES = (0.0, 0.1, 0.3, 0.6)
EXCHANGE_BYTES_PER_S = 16_000  # the default of a site file
PERIOD_US = 250_000  # the ping period that follows from a grace of two seconds


class DetectionRun:
    """Controllers of one site in this process, on real datagrams. `lose` is the fraction of notes lost."""

    def __init__(self, size, lose):
        self.size = size
        self.lose = lose
        self.nodes = []
        self.scopes = []
        self.false_alarms = {GONE: 0, SUSPECTED: 0}

    async def run(self, calm, wait, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Counts false alarms without a failure, then stops one controller and waits for its detection.

        `calm` is the time without a failure and `wait` the timeout of the detection, both in seconds.
        """
        sockets = [await anyio.create_udp_socket(local_host="127.0.0.1") for _ in range(self.size)]
        addresses = [f"127.0.0.1:{s.extra(anyio.abc.SocketAttribute.local_port)}" for s in sockets]
        task_status.started()
        async with anyio.create_task_group() as group:
            for me in range(self.size):
                others = {i: address for i, address in enumerate(addresses) if i != me}
                membership = Membership(me, others, 64 + me, clock(), PERIOD_US)
                node = PeerTransport("measured", membership, sockets[me], clock, lambda: 0, self.lose)
                self.nodes.append(node)
                self.scopes.append(scope := anyio.CancelScope())
                group.start_soon(self.run_node, node, scope)
            await anyio.sleep(3)
            before = sum(n.bytes for n in self.nodes)
            began = clock()
            for node in self.nodes:
                node.observed_states = []
            await anyio.sleep(calm)
            self.bytes = (sum(n.bytes for n in self.nodes) - before) / (clock() - began) * 1e6 / self.size
            for node in self.nodes:
                for state in node.observed_states:
                    self.false_alarms[state] = self.false_alarms.get(state, 0) + 1
            self.node_hours = self.size * calm / 3600
            self.scopes[0].cancel()
            stopped_at = clock()
            detected = {}
            with anyio.move_on_after(wait):
                while len(detected) < self.size - 1:
                    for node in self.nodes[1:]:
                        if node.membership.members[0].state == GONE:
                            detected.setdefault(node.membership.me, (clock() - stopped_at) / 1e6)
                    await anyio.sleep(0.02)
            self.detection_times = sorted(detected.values())
            group.cancel_scope.cancel()

    async def run_node(self, node, scope):
        node.observed_states = []
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(node.receive)
                while True:
                    await node.send_due()
                    while node.membership.state_changes:
                        node.observed_states.append(node.membership.state_changes.popleft()[2])
                    await anyio.sleep(PERIOD_US / 1e6 / 10)


async def measure_detection(calm, wait):
    """Prints how each number of controllers detects a failure at each rate of lost notes."""
    runs = [DetectionRun(size, lose) for lose in LOSSES for size in SIZES]
    async with anyio.create_task_group() as group:
        for run in runs:
            group.start_soon(run.run, calm, wait)
    click.echo("lost  controllers  detected by all, s   first, s  bytes/s each  wrongly gone/h  suspected/h")
    for run in runs:
        all_detected = len(run.detection_times) == run.size - 1
        detected = (
            f"{run.detection_times[-1]:8.2f} {run.detection_times[0]:9.2f}"
            if all_detected
            else "    not by all    "
        )
        gone = run.false_alarms[GONE] / run.node_hours
        suspected = run.false_alarms[SUSPECTED] / run.node_hours
        click.echo(
            f"{run.lose:4.0%} {run.size:12d} {detected:>30} {run.bytes:13,.0f} {gone:15.1f} {suspected:12.0f}"
        )


def measure_moves(proxies):
    """Prints the fraction of proxies that move when a controller joins, by rendezvous and by modulo."""
    names = [f"proxy-{k}" for k in range(proxies)]
    click.echo("controllers  moves when one more joins: rendezvous  modulo  fewest possible  fullest/mean")
    for size in (2, 4, 8, 16):

        def placement(n):
            return [ranked_controllers(p, "", range(n), {})[0] for p in names]

        before, after = placement(size), placement(size + 1)
        moved = sum(a != b for a, b in zip(before, after, strict=True)) / proxies
        modulo = sum(crc32(p.encode()) % size != crc32(p.encode()) % (size + 1) for p in names) / proxies
        fullest = max(before.count(c) for c in range(size)) * size / proxies
        click.echo(f"{size:11d} {moved:38.3f} {modulo:7.3f} {1 / (size + 1):16.3f} {fullest:13.2f}")


class FullCopyReplica(Replica):
    """Sends all facts of its own each time."""

    def digest(self, now):
        return super().digest(now)[:1]

    def receive_digest(self, now, sender, digest):
        self.pending_answers.append((sender, {}))

    def next_answer(self, now, room):
        if not self.pending_answers:
            return None
        to, progress = self.pending_answers[-1]
        facts = [
            (n, k, f) for n in range(self.lane_count) for k, f in self.lane_by_key[self.me, n].live().items()
        ]
        if not progress:
            progress["at"] = 0
        batch, progress["at"] = facts[progress["at"] : progress["at"] + 25], progress["at"] + 25
        if not batch:
            self.pending_answers.pop()
            return self.next_answer(now, room)
        return to, [
            (self.me, n, self.lane_by_key[self.me, n].epoch, 0, 0, None, 0, [(k, f.value, f.count, 0)])
            for n, k, f in batch
        ]

    def apply_changes(self, now, changes):
        for origin, number, *_, facts in changes:
            lane = self.lane(origin, number)
            for key, value, count, _ in facts:
                lane.apply(key, Fact(value, count, now))


class HashTreeReplica(FullCopyReplica):
    """A tree of hashes with two levels.

    A digest has one hash for each bucket of facts; the answer has all facts of the buckets that differ.
    """

    BUCKETS = 64

    def buckets(self):
        buckets = {}
        for (origin, number), lane in self.lane_by_key.items():
            for key, fact in lane.live().items():
                buckets.setdefault(crc32(f"{origin} {number} {key}".encode()) % self.BUCKETS, []).append(
                    (origin, number, key, fact)
                )
        return buckets

    def digest(self, now):
        sums = {
            b: sum(fact_checksum(f"{o} {n} {k}", f) for o, n, k, f in facts) % 2**56
            for b, facts in self.buckets().items()
        }
        return [(self.me, 0, b, 0, 0, sums.get(b, 0), None) for b in range(self.BUCKETS)]

    def receive_digest(self, now, sender, digest):
        theirs = {b: total for _, _, b, _, _, total, _ in digest}
        mine = self.buckets()
        sums = {b: total for _, _, b, _, _, total, _ in self.digest(now)}
        facts = [fact for b, bucket in mine.items() if theirs.get(b) != sums[b] for fact in bucket]
        self.pending_answers.append((sender, facts))

    def next_answer(self, now, room):
        if not self.pending_answers:
            return None
        to, facts = self.pending_answers[-1]
        batch, facts[:] = facts[:25], facts[25:]
        if not batch:
            self.pending_answers.pop()
            return self.next_answer(now, room)
        return to, [(o, n, 1, 0, 0, None, 0, [(k, f.value, f.count, 0)]) for o, n, k, f in batch if o != to]

    def apply_changes(self, now, changes):
        for origin, number, *_, facts in changes:
            lane = self.lane(origin, number)
            for key, value, count, _ in facts:
                if key not in lane.facts or lane.facts[key].count < count:
                    lane.apply(key, Fact(value, count, now))


class ReplicationRun:
    """Controllers that replicate `facts` facts each, of which `changes` change each second.

    `replica_class` is the class of their replicas, `lose` the fraction of notes lost.
    """

    def __init__(self, replica_class, size, facts, changes, lose):
        self.replica_class = replica_class
        self.size = size
        self.facts = facts
        self.changes = changes
        self.lose = lose
        self.nodes = []
        self.ages = []

    def own_facts(self):
        """The facts of each controller as it holds them itself."""
        return [self.counts(node, node.membership.me) for node in self.nodes]

    def counts(self, node, origin):
        """The counts of the facts of `origin` as a node holds them."""
        return {
            (n, key): fact.count for n in (0, 1) for key, fact in node.replica.lane(origin, n).facts.items()
        }

    async def run(self, seconds):
        sockets = [await anyio.create_udp_socket(local_host="127.0.0.1") for _ in range(self.size)]
        addresses = [f"127.0.0.1:{s.extra(anyio.abc.SocketAttribute.local_port)}" for s in sockets]
        async with anyio.create_task_group() as group:
            for me in range(self.size):
                others = {i: address for i, address in enumerate(addresses) if i != me}
                membership = Membership(me, others, 64 + me, clock(), PERIOD_US)
                for i in others:
                    membership.members[i].state = ALIVE
                replica = self.replica_class(
                    me,
                    64 + me,
                    2,
                    1e9 if self.replica_class is not Replica else EXCHANGE_BYTES_PER_S,
                    clock(),
                )
                for k in range(self.facts):
                    replica.put(clock(), k % 5 > 0, f"127.0.{me}.1:{k}", f"{64 + me}.{k}")
                node = PeerTransport(
                    "measured", membership, sockets[me], clock, lambda: 0, self.lose, replica
                )
                self.nodes.append(node)
                group.start_soon(node.receive)
                group.start_soon(self.exchange, node)
            group.start_soon(self.change_facts)
            await anyio.sleep(seconds / 2)
            before = sum(n.facts_bytes for n in self.nodes)
            began = clock()
            cpu_before = time.process_time()
            samples = []
            while clock() - began < seconds * 500_000:
                samples.append(self.mean_behind())
                await anyio.sleep(0.1)
            took = (clock() - began) / 1e6
            self.bytes = (sum(n.facts_bytes for n in self.nodes) - before) / took / self.size
            self.cpu = (time.process_time() - cpu_before) / took / self.size
            self.behind = sum(samples) / len(samples)
            group.cancel_scope.cancel()

    def mean_behind(self):
        """The number of facts in which a copy differs from its origin, as the mean of all copies."""
        differing = 0
        copies = self.size * (self.size - 1)
        for node in self.nodes:
            for origin, truth in enumerate(self.own_facts()):
                if origin != node.membership.me:
                    held = self.counts(node, origin)
                    differing += sum(held.get(key) != count for key, count in truth.items())
        return differing / copies

    async def exchange(self, node):
        while True:
            await node.send_digest()
            await node.send_answers()
            await anyio.sleep(PERIOD_US / 1e6)

    async def change_facts(self):
        turn = 0
        while self.changes:
            for node in self.nodes:
                me, turn = node.membership.me, turn + 1
                k = turn * 7 % self.facts
                node.replica.put(clock(), k % 5 > 0, f"127.0.{me}.1:{k}", f"{64 + me}.{turn + self.facts}")
            await anyio.sleep(1 / self.changes)


async def measure_replication(seconds):
    """Prints the traffic, the delay and the CPU time of each method of replication."""
    click.echo("| method | facts each | changes/s each | lost | bytes/s each | facts behind | CPU each |")
    click.echo("|" + " --- |" * 7)
    for facts, changes, lose in ((500, 0, 0), (500, 2, 0), (500, 20, 0), (500, 20, 0.3), (2000, 20, 0)):
        for name, replica_class in (
            ("changes above a count", Replica),
            ("tree of hashes", HashTreeReplica),
            ("all", FullCopyReplica),
        ):
            run = ReplicationRun(replica_class, 4, facts, changes, lose)
            await run.run(seconds)
            click.echo(
                f"| {name} | {facts} | {changes} | {lose:.0%} | {run.bytes:,.0f} | {run.behind:.1f} | "
                f"{run.cpu:.1%} |"
            )


def run(seconds):
    """Prints replication, failure detection after `seconds` without faults, and moves of proxies."""
    anyio.run(measure_replication, min(seconds, 20))
    anyio.run(measure_detection, seconds, 30)
    measure_moves(400)
