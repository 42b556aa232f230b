"""SWIM membership over lossy messages: detection, false suspicions, refutation; placement and redirects."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.peers.membership import ALIVE, GONE, SUSPECTED, Membership
from foxstep.peers.placement import (
    MAX_LOAD_FACTOR,
    STABLE_HOME_PERIODS,
    RedirectScheduler,
    assign_homes,
    ranked_controllers,
)

PERIOD = 200_000
STEP = PERIOD // 20


class Network:
    """Carries messages between members in steps of time; `is_lost(sender, receiver)` decides on losses."""

    def __init__(self, size, is_lost=lambda a, b: False, delay_steps=1):
        self.now = 0
        self.is_lost = is_lost
        self.delay_steps = delay_steps
        self.bytes = 0
        self.nodes = {me: self.node(me, size, 64 + me) for me in range(size)}
        self.down = set()
        self.paused = set()
        self.in_flight = []
        self.size = size

    def node(self, me, size, incarnation):
        others = {i: f"address-{i}" for i in range(size) if i != me}
        return Membership(me, others, incarnation, self.now, PERIOD)

    def restart(self, me, incarnation):
        self.nodes[me] = self.node(me, self.size, incarnation)
        self.down.discard(me)

    def run(self, periods):
        for _ in range(round(periods * PERIOD / STEP)):
            self.now += STEP
            due = [n for n in self.in_flight if n[0] <= self.now]
            self.in_flight = [n for n in self.in_flight if n[0] > self.now]
            for _, to, sender, verb, number, target, updates, incarnation in due:
                if to not in self.down | self.paused:
                    self.nodes[to].receive(self.now, sender, verb, number, updates, target, incarnation)
            for me, node in self.nodes.items():
                if me in self.down | self.paused:
                    continue
                while (message := node.next_message(self.now)) is not None:
                    verb, to, number, target, updates = message
                    if not self.is_lost(me, to):
                        self.in_flight.append(
                            (
                                self.now + self.delay_steps * STEP,
                                to,
                                me,
                                verb,
                                number,
                                target,
                                updates,
                                node.incarnation,
                            )
                        )

    def states(self, of):
        return {
            me: node.members[of].state for me, node in self.nodes.items() if me != of and me not in self.down
        }


def test_members_discover_each_other_and_detect_a_failure():
    network = Network(5)
    network.run(10)
    assert all(node.alive() == [0, 1, 2, 3, 4] for node in network.nodes.values())
    network.down.add(2)
    network.run(25)
    assert set(network.states(2).values()) == {GONE}
    assert all(node.alive() == [0, 1, 3, 4] for me, node in network.nodes.items() if me != 2)
    network.restart(2, 64 * 5 + 2)  # with a later epoch
    network.run(12)
    assert set(network.states(2).values()) == {ALIVE}


def test_a_member_that_leaves_is_gone_at_once():
    network = Network(4)
    network.run(10)
    network.nodes[1].leave()
    network.run(0.5)
    assert set(network.states(1).values()) == {GONE}


def test_indirect_probes_compensate_for_one_way_loss():
    network = Network(4, is_lost=lambda a, b: (a, b) == (0, 1))  # all messages from 0 to 1 are lost
    network.run(120)
    assert all(node.alive() == [0, 1, 2, 3] for node in network.nodes.values())


def test_a_paused_member_suspects_no_other_and_refutes():
    network = Network(4)
    network.run(10)
    network.paused.add(3)
    network.run(100)
    assert set(network.states(3).values()) == {GONE}
    network.paused.discard(3)
    network.run(1)
    assert all(m.state != GONE for m in network.nodes[3].members.values())
    network.run(30)
    assert all(node.alive() == [0, 1, 2, 3] for node in network.nodes.values())
    assert network.nodes[3].incarnation > 67  # it had to refute


def test_three_failures_in_a_row_are_all_detected():
    network = Network(6)
    network.run(10)
    for dead in (1, 3, 5):
        network.down.add(dead)
        network.run(1.5)
    network.run(40)
    assert all(network.nodes[me].alive() == [0, 2, 4] for me in (0, 2, 4))


def test_an_update_with_an_older_incarnation_is_ignored():
    network = Network(3)
    network.run(10)
    network.nodes[0].receive(network.now, 1, "ping", 1, [(2, GONE, 3, 1)], incarnation=65)
    assert network.nodes[0].members[2].state == ALIVE
    network.nodes[0].receive(network.now, 1, "ping", 1, [(2, SUSPECTED, 66, 1)], incarnation=65)
    assert network.nodes[0].members[2].state == SUSPECTED
    network.run(6)
    assert network.nodes[0].members[2].state == ALIVE and network.nodes[0].members[2].incarnation > 66


@pytest.mark.parametrize("loss_ratio", [0.1, 0.3])
def test_message_loss_alone_causes_no_false_detection(loss_ratio):
    rng = Random(1)
    network = Network(5, is_lost=lambda a, b: rng.random() < loss_ratio)
    network.run(400)
    gone = [
        (me, change)
        for me, node in network.nodes.items()
        for change in node.state_changes
        if change[2] == GONE
    ]
    assert gone == []


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(
        st.tuples(st.sampled_from(["down", "up", "pause", "resume", "run"]), st.integers(0, 3)), max_size=14
    ),
)
def test_all_members_agree_after_faults_stop(seed, steps):
    rng = Random(seed)
    network, epoch = Network(4, is_lost=lambda a, b: rng.random() < 0.3), 64
    for verb, who in steps:
        if verb == "down":
            network.down.add(who)
        elif verb == "up" and who in network.down:
            epoch += 64
            network.restart(who, epoch + who)
        elif verb == "pause":
            network.paused.add(who)
        elif verb == "resume":
            network.paused.discard(who)
        network.run(1 + who * 3)
        for node in network.nodes.values():  # only a member itself raises its incarnation
            for ident, member in node.members.items():
                assert member.incarnation <= network.nodes[ident].incarnation
            assert len(node.outbox) <= 256 and len(node.relayed_probes) <= 256
    network.is_lost = lambda a, b: False
    network.paused.clear()
    network.run(80)
    up = [me for me in network.nodes if me not in network.down]
    assert all(network.nodes[me].alive() == up for me in up)


ZONES = {0: "east", 1: "east", 2: "west", 3: "west"}


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 90), st.sets(st.integers(0, 3), min_size=1), st.integers(0, 3))
def test_homes_are_stable_in_zone_and_bounded_and_redirects_end(count, controllers, leaving):
    zones = {f"proxy-{k}": "east" if k % 2 else "west" for k in range(count)}
    for proxy, zone in zones.items():  # a controller that goes moves only its own proxies
        order = ranked_controllers(proxy, zone, sorted(controllers), ZONES)
        assert ranked_controllers(proxy, zone, sorted(controllers - {leaving}), ZONES) == [
            c for c in order if c != leaving
        ]
        if zone in {ZONES[c] for c in controllers}:
            assert ZONES[order[0]] == zone
    # All start on one controller. Each reaches its home by one redirect within the stated time, and then
    # stays there.
    schedulers = {c: RedirectScheduler(c, ZONES, PERIOD, 20, 1000.0) for c in controllers}
    served = {c: {} for c in controllers}
    served[min(controllers)] = dict(zones)
    began = now = 100 * PERIOD
    moves = 0
    while (
        now
        <= began
        + (STABLE_HOME_PERIODS + 2) * PERIOD
        + count * schedulers[min(controllers)].spacing
        + 10 * PERIOD
    ):
        for c in sorted(controllers):
            others = {o: (0, now) for o in controllers if o != c}
            redirect = schedulers[c].next_redirect(now, served[c], zones, others)
            if redirect:
                served[redirect[1]][redirect[0]] = served[c].pop(redirect[0])
                moves, last = moves + 1, now
                assert schedulers[c].next_redirect(now, served[c], zones, others) is None, "one at a time"
        now += STEP
    assert moves == count - len(served[min(controllers)])
    spacing = schedulers[min(controllers)].spacing
    assert moves == 0 or last <= began + (STABLE_HOME_PERIODS + 1) * PERIOD + count * (spacing + STEP)
    assert max(map(len, served.values())) <= -(-MAX_LOAD_FACTOR * count // len(controllers))
    homes = assign_homes(zones, sorted(controllers), ZONES)
    assert all(proxy in served[home] for proxy, home in homes.items())


@settings(max_examples=40, deadline=None)
@given(st.integers(20, 200), st.integers(2, 4), st.data())
def test_nearly_the_same_proxies_give_nearly_the_same_homes(count, size, data):
    zones = {f"proxy-{k}": ("east", "west")[k % 2] for k in range(count)}
    unseen = data.draw(st.sets(st.sampled_from(sorted(zones)), max_size=3))
    one, other = (
        assign_homes(zones, range(size), ZONES),
        assign_homes({p: z for p, z in zones.items() if p not in unseen}, range(size), ZONES),
    )
    assert sum(one[p] != home for p, home in other.items()) <= len(unseen) * (size + 3)


def test_no_redirect_to_a_controller_just_back_or_not_heard_of_and_a_draining_one_redirects_all():
    zones = {f"proxy-{k}": "east" for k in range(10)}
    now = 100 * PERIOD
    for since, heard_at in ((now - PERIOD, now), (0, now - PERIOD)):
        scheduler = RedirectScheduler(2, {2: "west", 0: "east"}, PERIOD, 20, 1000.0)
        for later in (now, now + (STABLE_HOME_PERIODS + 1) * PERIOD):
            assert scheduler.next_redirect(later, zones, zones, {0: (since, heard_at)}) is None
    scheduler = RedirectScheduler(2, {2: "west", 0: "east"}, PERIOD, 20, 1000.0)
    assert scheduler.next_redirect(now, zones, zones, {0: (0, now)}) is None, "it became their home just now"
    now += STABLE_HOME_PERIODS * PERIOD
    assert scheduler.next_redirect(now, zones, zones, {0: (0, now)})[1] == 0
    draining = RedirectScheduler(0, {2: "west", 0: "east"}, PERIOD, 20, 1000.0)
    draining.draining = True
    assert draining.next_redirect(now, zones, zones, {2: (0, now)}) is None
    assert (
        draining.next_redirect(
            now + STABLE_HOME_PERIODS * PERIOD, zones, zones, {2: (0, now + STABLE_HOME_PERIODS * PERIOD)}
        )[1]
        == 2
    )
    assert draining.next_redirect(now + 10**9, zones, zones, {}) is None  # no other controller is alive
