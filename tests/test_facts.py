"""Facts exchanged by controllers: replicas converge despite loss, and old facts are trusted less."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.peers import facts
from foxstep.peers.facts import (
    CAPACITY_KEY,
    PROXY_LANE,
    SERVER_LANE,
    VERSION_LANE,
    FactPublisher,
    PeerFacts,
    is_valid_fact,
)
from foxstep.peers.replica import Replica

SECOND = 1_000_000
SITE = {"cycle": SECOND, "ask_within": 10 * SECOND, "ramp": 20 * SECOND}


class Cluster:
    """Replicas that exchange digests and answers, of which some are lost, duplicated or delayed."""

    def __init__(self, size, bytes_per_s=100_000):
        self.now = 1000 * SECOND
        self.delayed = []
        self.bytes_per_s = bytes_per_s
        self.replicas = [Replica(me, 6400 + me, 3, bytes_per_s, self.now) for me in range(size)]
        self.bytes = 0

    def exchange(self, asker, other, fate="arrives", max_bytes=300):
        """One sends its digest to another, which answers with what is lacking."""
        self.now += SECOND // 10
        self.replicas[other].receive_digest(self.now, asker, self.replicas[asker].digest(self.now))
        while (answer := self.replicas[other].next_answer(self.now, max_bytes)) is not None:
            to, changes = answer
            self.bytes += sum(len(str(c)) for c in changes)
            if fate in ("arrives", "duplicated"):
                self.replicas[to].apply_changes(self.now, changes)
            if fate in ("delayed", "duplicated"):
                self.delayed.append((to, changes))

    def release(self):
        for to, changes in self.delayed:
            self.replicas[to].apply_changes(self.now, changes)
        self.delayed = []

    def settle(self, rounds=60):
        for k in range(rounds):
            self.now += SECOND
            for one in self.replicas:
                one.confirm(self.now)
                if one.newer_own_epoch:
                    one.begin_epoch(one.newer_own_epoch // 64 * 64 + 64 + one.me)
                    one.newer_own_epoch = 0
            for asker in range(len(self.replicas)):
                self.exchange(
                    asker, (asker + 1 + k % (len(self.replicas) - 1)) % len(self.replicas), max_bytes=2000
                )

    def published(self, origin, lane):
        return {k: f.value for k, f in self.replicas[origin].lane_by_key[origin, lane].live().items()}

    def held(self, by, origin, lane):
        known = self.replicas[by].lane_by_key.get((origin, lane))
        return {k: f.value for k, f in known.live().items()} if known else {}


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("put"), st.integers(0, 2), st.integers(0, 1), st.integers(0, 150), st.integers(0, 3)
        ),
        st.tuples(st.just("fill"), st.integers(0, 2), st.integers(0, 1), st.integers(1, 150)),
        st.tuples(st.just("wipe"), st.integers(0, 2), st.integers(0, 1), st.integers(1, 150)),
        st.tuples(
            st.just("exchange"),
            st.integers(0, 2),
            st.integers(1, 2),
            st.sampled_from(["arrives", "lost", "duplicated", "delayed"]),
        ),
        st.tuples(st.just("release")),
        st.tuples(st.just("restart"), st.integers(0, 2), st.sampled_from(["later", "same", "older"])),
    ),
    max_size=40,
)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_all_copies_converge_despite_loss_duplication_delay_and_restarts(steps):
    cluster = Cluster(3)
    for verb, *args in steps:
        if verb == "put":
            who, lane, key, value = args
            cluster.replicas[who].put(cluster.now, lane, f"k{key}", value or None)
        elif verb in ("fill", "wipe"):
            who, lane, upto = args
            for key in range(upto):
                cluster.replicas[who].put(cluster.now, lane, f"k{key}", key if verb == "fill" else None)
        elif verb == "exchange":
            cluster.exchange(args[0], (args[0] + args[1]) % 3, args[2])
        elif verb == "release":
            cluster.release()
        else:
            who, how = args
            epoch = cluster.replicas[who].lane_by_key[who, 0].epoch
            cluster.replicas[who] = Replica(
                who, epoch + {"later": 64, "same": 0, "older": -64}[how], 3, cluster.bytes_per_s, cluster.now
            )
    cluster.release()
    cluster.settle()
    for origin in range(3):
        for lane in range(3):
            for by in range(3):
                assert cluster.held(by, origin, lane) == cluster.published(origin, lane)
                assert cluster.replicas[by].lag(cluster.now, origin) <= 10 * SECOND


def test_answers_keep_to_the_byte_budget_and_one_change_costs_little():
    cluster = Cluster(2, bytes_per_s=2_000)
    for k in range(2000):
        cluster.replicas[0].put(cluster.now, VERSION_LANE, f"proxy-{k}", f"64.{k}")
    cluster.replicas[0].put(cluster.now, SERVER_LANE, "s1", [1.0, False, "open", None])
    began, size, rounds = cluster.now, 0, 0
    while cluster.held(1, 0, VERSION_LANE) != cluster.published(0, VERSION_LANE):
        cluster.now += SECOND // 4
        cluster.replicas[0].receive_digest(cluster.now, 1, cluster.replicas[1].digest(cluster.now))
        while (answer := cluster.replicas[0].next_answer(cluster.now, 1200)) is not None:
            cluster.replicas[1].apply_changes(cluster.now, answer[1])
            size += len(msgspec.msgpack.encode(answer[1]))
        if rounds == 4:
            assert cluster.held(1, 0, SERVER_LANE), "the server lane is sent first"
        rounds += 1
        assert rounds < 1000
    assert size <= 2_000 * ((cluster.now - began) / SECOND + 1) * 1.3
    cluster.replicas[0].put(cluster.now, VERSION_LANE, "proxy-7", "64.9999")
    cluster.now += 10 * SECOND
    cluster.replicas[0].receive_digest(cluster.now, 1, cluster.replicas[1].digest(cluster.now))
    assert len(msgspec.msgpack.encode(cluster.replicas[0].next_answer(cluster.now, 1200)[1])) < 100


def line(server, state="open", started=0):
    return (server, "east", "plain", 0, state, 1.0, started)


class ReplicaPair:
    """The first publishes, the second receives; the second's clock is `behind` by so many microseconds."""

    def __init__(self, behind=0):
        self.now = 1000 * SECOND
        self.behind = behind
        self.first = Replica(0, 64, 3, 1e6, self.now)
        self.second = Replica(1, 65, 3, 1e6, self.now - behind)
        self.publisher = FactPublisher(self.first)
        self.peer_facts = PeerFacts(self.second, SITE)

    def publish(self, lines=(), server_weights=None, capacity=None, rates=0.0, zones=None):
        measured_weights = {s: values[1] for s, values in (server_weights or {}).items()}
        self.publisher.publish(
            self.now,
            {one[0]: one for one in lines},
            server_weights or {},
            measured_weights,
            capacity,
            rates,
            dict.fromkeys(zones or "", "east"),
            dict.fromkeys(zones or "", "64.1"),
        )
        receiver_now = self.now - self.behind
        self.first.receive_digest(self.now, 1, self.second.digest(receiver_now))
        while (answer := self.first.next_answer(self.now, 4000)) is not None:
            self.second.apply_changes(receiver_now, answer[1])
        self.second.receive_digest(receiver_now, 0, self.first.digest(self.now))
        return receiver_now


@pytest.mark.parametrize("behind", [0, 400 * SECOND, -400 * SECOND])
def test_peers_drains_and_cold_starts_override_an_outdated_list(behind):
    pair = ReplicaPair(behind)
    own = {s: line(s) for s in "abcd"}
    pair.now += 5 * SECOND
    receiver_now = pair.publish(
        [line("a", "draining"), line("b", started=pair.now - 3 * SECOND), line("c"), line("d")]
    )
    changed = {one[0]: one for one in pair.peer_facts.changed_lines(receiver_now, own, {})}
    assert set(changed) == {"a", "b"} and changed["a"][4] == "draining"
    assert abs(changed["b"][6] - (receiver_now - 3 * SECOND)) < SECOND / 10
    assert pair.peer_facts.changed_lines(receiver_now + 1, own, {}) == []
    # The own list reports a change of that server: from then on it takes precedence.
    again = pair.peer_facts.changed_lines(receiver_now + 2, own, {"a": receiver_now + 1})
    assert again == [own["a"]]
    # A report older than a list may be no longer hides anything.
    assert pair.peer_facts.changed_lines(receiver_now + 11 * SECOND, own, {}) == [own["b"]]


def test_reported_drains_hide_at_most_half_of_the_own_list():
    pair = ReplicaPair()
    receiver_now = pair.publish([line(s, "gone") for s in "abc"] + [line("d")])
    assert pair.peer_facts.changed_lines(receiver_now, {s: line(s) for s in "abcd"}, {}) == []


def test_a_reported_weight_counts_less_the_older_it_is():
    pair = ReplicaPair()
    receiver_now = pair.publish([line("a"), line("b")], {"a": (2.0, 2.0, 1.0), "b": (0.0, 0.5, 1.0)})
    assert pair.peer_facts.weights(receiver_now, ["a", "b", "c"]) == [("a", 2.0, False), ("b", 0.5, True)]
    half_life_later = receiver_now + facts.HALF_LIFE_CYCLES * SECOND
    assert pair.peer_facts.weights(half_life_later, ["a"]) == [("a", 1.5, False)]
    assert pair.peer_facts.weights(receiver_now + (facts.MAX_AGE_CYCLES + 1) * SECOND, ["a"]) == []


def test_capacity_follows_its_proxies_and_is_never_counted_twice():
    pair = ReplicaPair()
    receiver_now = pair.publish([line("a")], capacity=120.0, rates=60.0, zones="pqr")
    for proxy in ("p", "q"):
        pair.peer_facts.proxy_joined(receiver_now, proxy, 20.0)
    rates = {"p": 20.0, "q": 20.0, "own": 5.0}
    assert pair.peer_facts.capacity_gained(30.0, rates) == pytest.approx(80.0)
    assert pair.peer_facts.capacity_gained(30.0, rates) == 0.0
    # If C is unset, it is granted only once most of the demand has a known share.
    pair.peer_facts.proxy_joined(receiver_now, "r", 20.0)
    assert pair.peer_facts.capacity_gained(None, {"r": 20.0, "x": 30.0}) == 0.0
    assert pair.peer_facts.capacity_gained(None, {"r": 20.0, "x": 10.0}) == pytest.approx(60.0)
    # C is lost with a proxy only once the peer reports that it serves the proxy.
    pair.publish([line("a")], capacity=120.0, rates=60.0, zones="r")
    pair.peer_facts.proxy_left(receiver_now + 1, "p", 90.0, 20.0, 80.0)
    assert pair.peer_facts.capacity_lost(receiver_now + 2) == 0.0
    pair.now += SECOND
    receiver_now = pair.publish([line("a")], capacity=120.0, rates=60.0, zones="pr")
    assert (
        pair.peer_facts.capacity_lost(receiver_now) == pytest.approx(22.5)
        and pair.peer_facts.capacity_lost(receiver_now) == 0.0
    )
    # A proxy that returns by itself costs nothing, and a C that is too old is not granted.
    pair.peer_facts.proxy_left(receiver_now, "q", 90.0, 20.0, 80.0)
    pair.peer_facts.proxy_joined(receiver_now + (facts.CAPACITY_MAX_AGE_CYCLES + 1) * SECOND, "q", 20.0)
    assert (
        pair.peer_facts.capacity_lost(receiver_now + 500 * SECOND) == 0.0
        and pair.peer_facts.pending_capacity == {}
    )


def test_small_changes_are_not_published():
    pair = ReplicaPair()
    pair.publish([line("a", started=pair.now - SECOND)], {"a": (1.0, 1.0, 1.0)}, 100.0, 50.0)
    top = pair.first.lane_by_key[0, SERVER_LANE].top
    for weight, capacity in ((1.04, 101.0), (0.97, 95.0)):
        pair.now += SECOND
        pair.publish([line("a", started=999 * SECOND)], {"a": (weight, weight, 1.0)}, capacity, 50.0)
    assert pair.first.lane_by_key[0, SERVER_LANE].top == top
    pair.publish([line("a", started=999 * SECOND)], {"a": (1.2, 1.2, 1.0)}, 100.0, 50.0)
    assert pair.first.lane_by_key[0, SERVER_LANE].top == top + 1


@settings(max_examples=200, deadline=None)
@given(
    st.sampled_from([SERVER_LANE, PROXY_LANE, VERSION_LANE]),
    st.sampled_from(["s", CAPACITY_KEY]),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
        lambda inner: st.lists(inner, max_size=5),
        max_leaves=8,
    ),
)
def test_a_fact_that_passes_validation_can_be_applied(lane, key, value):
    if is_valid_fact(lane, key, value):
        pair = ReplicaPair()
        pair.first.put(pair.now, lane, key, value)
        pair.first.confirm(pair.now)
        receiver_now = pair.now
        pair.first.receive_digest(pair.now, 1, [])
        while (answer := pair.first.next_answer(pair.now, 4000)) is not None:
            pair.second.apply_changes(receiver_now, answer[1])
        pair.peer_facts.changed_lines(receiver_now, {"s": line("s"), "t": line("t")}, {})
        pair.peer_facts.weights(receiver_now, ["s"])
        pair.peer_facts.proxy_joined(receiver_now, "s", 5.0)
        assert pair.peer_facts.capacity_gained(10.0, {"s": 5.0}) >= 0.0
