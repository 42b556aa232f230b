"""What controllers tell each other: copies that converge under loss, and how far a word is trusted."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.peers import learnt
from foxstep.peers.learnt import CAPACITY, HOLDERS, PROXIES, SERVERS, Hearsay, Teller, sound
from foxstep.peers.replica import Replica

SECOND = 1_000_000
SITE = {"cycle": SECOND, "ask_within": 10 * SECOND, "ramp": 20 * SECOND}


class Crowd:
    """Replicas that exchange digests and answers, of which some are lost, doubled or late."""

    def __init__(self, size, per_s=100_000):
        self.now, self.late, self.per_s = 1000 * SECOND, [], per_s
        self.all = [Replica(me, 6400 + me, 3, per_s, self.now) for me in range(size)]
        self.bytes = 0

    def exchange(self, asker, other, fate="arrives", room=300):
        """One asks another, which answers what is lacking."""
        self.now += SECOND // 10
        self.all[other].asked(self.now, asker, self.all[asker].digest(self.now))
        while (answer := self.all[other].next_answer(self.now, room)) is not None:
            to, changes = answer
            self.bytes += sum(len(str(c)) for c in changes)
            if fate in ("arrives", "doubled"):
                self.all[to].answered(self.now, changes)
            if fate in ("late", "doubled"):
                self.late.append((to, changes))

    def release(self):
        for to, changes in self.late:
            self.all[to].answered(self.now, changes)
        self.late = []

    def settle(self, rounds=60):
        for k in range(rounds):
            self.now += SECOND
            for one in self.all:
                one.confirm(self.now)
                if one.outranked:
                    one.begin_epoch(one.outranked // 64 * 64 + 64 + one.me)
                    one.outranked = 0
            for asker in range(len(self.all)):
                self.exchange(asker, (asker + 1 + k % (len(self.all) - 1)) % len(self.all), room=2000)

    def truth(self, origin, lane):
        return {k: f.value for k, f in self.all[origin].of[origin, lane].live().items()}

    def held(self, by, origin, lane):
        known = self.all[by].of.get((origin, lane))
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
            st.sampled_from(["arrives", "lost", "doubled", "late"]),
        ),
        st.tuples(st.just("release")),
        st.tuples(st.just("restart"), st.integers(0, 2), st.sampled_from(["later", "same", "older"])),
    ),
    max_size=40,
)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_all_copies_come_to_what_their_controllers_tell_whatever_was_lost_doubled_late_or_restarted(steps):
    crowd = Crowd(3)
    for verb, *args in steps:
        if verb == "put":
            who, lane, key, value = args
            crowd.all[who].put(crowd.now, lane, f"k{key}", value or None)
        elif verb in ("fill", "wipe"):
            who, lane, upto = args
            for key in range(upto):
                crowd.all[who].put(crowd.now, lane, f"k{key}", key if verb == "fill" else None)
        elif verb == "exchange":
            crowd.exchange(args[0], (args[0] + args[1]) % 3, args[2])
        elif verb == "release":
            crowd.release()
        else:
            who, how = args
            epoch = crowd.all[who].of[who, 0].epoch
            crowd.all[who] = Replica(
                who, epoch + {"later": 64, "same": 0, "older": -64}[how], 3, crowd.per_s, crowd.now
            )
    crowd.release()
    crowd.settle()
    for origin in range(3):
        for lane in range(3):
            for by in range(3):
                assert crowd.held(by, origin, lane) == crowd.truth(origin, lane)
                assert crowd.all[by].lag(crowd.now, origin) <= 10 * SECOND


def test_answers_keep_to_the_budget_and_a_change_costs_a_change():
    crowd = Crowd(2, per_s=2_000)
    for k in range(2000):
        crowd.all[0].put(crowd.now, HOLDERS, f"proxy-{k}", f"64.{k}")
    crowd.all[0].put(crowd.now, SERVERS, "s1", [1.0, False, "open", None])
    began, size, rounds = crowd.now, 0, 0
    while crowd.held(1, 0, HOLDERS) != crowd.truth(0, HOLDERS):
        crowd.now += SECOND // 4
        crowd.all[0].asked(crowd.now, 1, crowd.all[1].digest(crowd.now))
        while (answer := crowd.all[0].next_answer(crowd.now, 1200)) is not None:
            crowd.all[1].answered(crowd.now, answer[1])
            size += len(msgspec.msgpack.encode(answer[1]))
        if rounds == 4:
            assert crowd.held(1, 0, SERVERS), "what matters most comes first"
        rounds += 1
        assert rounds < 1000
    assert size <= 2_000 * ((crowd.now - began) / SECOND + 1) * 1.3
    crowd.all[0].put(crowd.now, HOLDERS, "proxy-7", "64.9999")
    crowd.now += 10 * SECOND
    crowd.all[0].asked(crowd.now, 1, crowd.all[1].digest(crowd.now))
    assert len(msgspec.msgpack.encode(crowd.all[0].next_answer(crowd.now, 1200)[1])) < 100


def line(server, state="open", started=0):
    return (server, "east", "plain", 0, state, 1.0, started)


class Two:
    """The first tells, the second hears; `behind`: microseconds that the second's clock is behind."""

    def __init__(self, behind=0):
        self.now, self.behind = 1000 * SECOND, behind
        self.one, self.two = Replica(0, 64, 3, 1e6, self.now), Replica(1, 65, 3, 1e6, self.now - behind)
        self.teller, self.hearsay = Teller(self.one), Hearsay(self.two, SITE)

    def tell(self, lines=(), standing=None, capacity=None, rates=0.0, zones=None):
        weighed = {s: told[1] for s, told in (standing or {}).items()}
        self.teller.tell(
            self.now,
            {one[0]: one for one in lines},
            standing or {},
            weighed,
            capacity,
            rates,
            dict.fromkeys(zones or "", "east"),
            dict.fromkeys(zones or "", "64.1"),
        )
        there = self.now - self.behind
        self.one.asked(self.now, 1, self.two.digest(there))
        while (answer := self.one.next_answer(self.now, 4000)) is not None:
            self.two.answered(there, answer[1])
        self.two.asked(there, 0, self.one.digest(self.now))
        return there


@pytest.mark.parametrize("behind", [0, 400 * SECOND, -400 * SECOND])
def test_a_drain_and_a_cold_start_are_heard_of_where_the_own_list_is_behind(behind):
    two = Two(behind)
    own = {s: line(s) for s in "abcd"}
    two.now += 5 * SECOND
    there = two.tell([line("a", "draining"), line("b", started=two.now - 3 * SECOND), line("c"), line("d")])
    told = {one[0]: one for one in two.hearsay.changes(there, own, {})}
    assert set(told) == {"a", "b"} and told["a"][4] == "draining"
    assert abs(told["b"][6] - (there - 3 * SECOND)) < SECOND / 10
    assert two.hearsay.changes(there + 1, own, {}) == []
    # The own list tells a change of its own: it is heeded from then on.
    again = two.hearsay.changes(there + 2, own, {"a": there + 1})
    assert again == [own["a"]]
    # A word that is as old as a list may be no longer hides anything.
    assert two.hearsay.changes(there + 11 * SECOND, own, {}) == [own["b"]]


def test_words_of_drains_hide_no_more_than_half_of_what_the_own_list_has():
    two = Two()
    there = two.tell([line(s, "gone") for s in "abc"] + [line("d")])
    assert two.hearsay.changes(there, {s: line(s) for s in "abcd"}, {}) == []


def test_a_weight_counts_less_the_older_its_word_is():
    two = Two()
    there = two.tell([line("a"), line("b")], {"a": (2.0, 2.0, 1.0), "b": (0.0, 0.5, 1.0)})
    assert two.hearsay.weights(there, ["a", "b", "c"]) == [("a", 2.0, False), ("b", 0.5, True)]
    half = there + learnt.HALF_LIFE * SECOND
    assert two.hearsay.weights(half, ["a"]) == [("a", 1.5, False)]
    assert two.hearsay.weights(there + (learnt.LIFE + 1) * SECOND, ["a"]) == []


def test_c_goes_with_its_proxies_and_is_never_counted_twice():
    two = Two()
    there = two.tell([line("a")], capacity=120.0, rates=60.0, zones="pqr")
    for proxy in ("p", "q"):
        two.hearsay.came(there, proxy, 20.0)
    rates = {"p": 20.0, "q": 20.0, "own": 5.0}
    assert two.hearsay.grant(30.0, rates) == pytest.approx(80.0)
    assert two.hearsay.grant(30.0, rates) == 0.0
    # Unset, it is known only once most of the demand has brought a part.
    two.hearsay.came(there, "r", 20.0)
    assert two.hearsay.grant(None, {"r": 20.0, "x": 30.0}) == 0.0
    assert two.hearsay.grant(None, {"r": 20.0, "x": 10.0}) == pytest.approx(60.0)
    # It goes away with a proxy only when the other tells anew that the proxy is there.
    two.tell([line("a")], capacity=120.0, rates=60.0, zones="r")
    two.hearsay.went(there + 1, "p", 90.0, 20.0, 80.0)
    assert two.hearsay.taken(there + 2) == 0.0
    two.now += SECOND
    there = two.tell([line("a")], capacity=120.0, rates=60.0, zones="pr")
    assert two.hearsay.taken(there) == pytest.approx(22.5) and two.hearsay.taken(there) == 0.0
    # One that comes back by itself has taken nothing; an old word of C brings nothing.
    two.hearsay.went(there, "q", 90.0, 20.0, 80.0)
    two.hearsay.came(there + (learnt.CAPACITY_LIFE + 1) * SECOND, "q", 20.0)
    assert two.hearsay.taken(there + 500 * SECOND) == 0.0 and two.hearsay.bringing == {}


def test_little_that_moves_is_told_anew():
    two = Two()
    two.tell([line("a", started=two.now - SECOND)], {"a": (1.0, 1.0, 1.0)}, 100.0, 50.0)
    top = two.one.of[0, SERVERS].top
    for weight, capacity in ((1.04, 101.0), (0.97, 95.0)):
        two.now += SECOND
        two.tell([line("a", started=999 * SECOND)], {"a": (weight, weight, 1.0)}, capacity, 50.0)
    assert two.one.of[0, SERVERS].top == top
    two.tell([line("a", started=999 * SECOND)], {"a": (1.2, 1.2, 1.0)}, 100.0, 50.0)
    assert two.one.of[0, SERVERS].top == top + 1


@settings(max_examples=200, deadline=None)
@given(
    st.sampled_from([SERVERS, PROXIES, HOLDERS]),
    st.sampled_from(["s", CAPACITY]),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
        lambda inner: st.lists(inner, max_size=5),
        max_leaves=8,
    ),
)
def test_a_fact_that_passes_for_sound_can_be_heeded(lane, key, value):
    if sound(lane, key, value):
        two = Two()
        two.one.put(two.now, lane, key, value)
        two.one.confirm(two.now)
        there = two.now
        two.one.asked(two.now, 1, [])
        while (answer := two.one.next_answer(two.now, 4000)) is not None:
            two.two.answered(there, answer[1])
        two.hearsay.changes(there, {"s": line("s"), "t": line("t")}, {})
        two.hearsay.weights(there, ["s"])
        two.hearsay.came(there, "s", 5.0)
        assert two.hearsay.grant(10.0, {"s": 5.0}) >= 0.0
