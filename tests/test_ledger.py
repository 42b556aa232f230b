"""Ledger, channel, receivers and store against a simple model, under losses and in any order of events."""

import tempfile

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from foxstep.live.channel import Channel
from foxstep.live.desired_state import DesiredState
from foxstep.store.store import Store
from foxstep.tables.compose import compose
from foxstep.tables.evidence import MIN_TRIES, Evidence
from foxstep.tables.ledger import Ledger
from foxstep.tables.manager import OrderError, TableManager
from foxstep.tables.version import Version

PROXIES, SERVERS = [f"p{k}" for k in range(4)], [f"s{k}" for k in range(6)]
SITE = {
    "transit_most": 100_000,
    "cycle": 100_000,
    "backlog": 60.0,
    "lines_per_s": 1000.0,
    "head": 2,
    "zones": ["east"],
    "me": 0,
    "proxies": 4,
}
proxies, servers = st.sampled_from(PROXIES), st.sampled_from(SERVERS)


class Receiver:
    """What a proxy holds: the lines and their version."""

    def __init__(self):
        self.lines, self.version, self.inbox = {}, None, []


class Tables(RuleBasedStateMachine):
    """Its rules give the orders in place of the decision module; messages are lost, delayed and refused."""

    @initialize()
    def begin(self):
        self.folder = tempfile.TemporaryDirectory()
        self.now, self.joined = 1_000_000, {}
        self.receivers = {p: Receiver() for p in PROXIES}
        self.withdrawn = set()
        self.contents = {}  # version -> proxy -> lines: the model
        self.start()

    def start(self):
        self.store, self.queued_writes = Store(self.folder.name, lambda: 1), []
        self.put = self.store.put
        self.store.put = lambda *write: self.queued_writes.append(write) or True
        self.table_manager, self.desired_state = TableManager(SITE, self.store.epoch), DesiredState(1, 2)
        self.table_manager.restore(self.store.entries, self.store.rollbacks, self.store.holders)
        for entry in self.store.entries:  # what the store kept is equal to the model
            for proxy, table in entry.changed.items():
                if table and table.version in self.contents and proxy in self.contents[table.version]:
                    assert self.contents[table.version][proxy] == dict(table.lines)
        self.table_manager.on_entry, self.table_manager.on_rollback = self.entry, self.store.rollback
        self.channel = Channel(1000.0, 60, 0)

    def entry(self, entry):
        self.contents[entry.version] = {p: dict(t.lines) for p, t in entry.changed.items() if t}
        self.store.entry(entry)

    def allowed(self):
        return {s: 1.0 for s in SERVERS if s not in self.withdrawn}

    def batch(self):
        messages = self.table_manager.shape(
            self.now, self.desired_state.close_batch(), self.desired_state, self.joined, self.allowed(), ""
        )
        for message in messages:
            self.channel.offer(self.now, message)
            assert self.channel.lines_waiting(self.now) <= 60

    def send(self):
        while (message := self.channel.take(self.now)) is not None:
            proxy = message.proxy
            self.desired_state.holdings[proxy].apply(message)
            if message.target_table:
                self.table_manager.ledger.sent(self.now, proxy, message.target_table.version)
                self.receivers[proxy].inbox.append(
                    (message.target_table.version, dict(self.desired_state.holdings[proxy].lines_of(0)))
                )

    @rule(proxy=proxies)
    def join(self, proxy):
        if proxy in self.joined:
            return
        self.joined[proxy] = "east"
        self.desired_state.join(proxy)
        receiver = self.receivers[proxy]
        receiver.inbox.clear()
        self.table_manager.ledger.joined(proxy, receiver.version)
        for server in SERVERS[:3]:
            if server not in self.withdrawn:
                self.desired_state.weigh(self.now, proxy, server, 1.0)
        self.desired_state.bind(self.now, proxy, proxy, 0)
        self.batch()

    @rule(proxy=proxies)
    def leave(self, proxy):
        if self.joined.pop(proxy, None):
            self.desired_state.leave(proxy)
            self.channel.drop(proxy)
            self.table_manager.left(proxy)
            self.receivers[proxy].inbox.clear()

    @rule(proxy=proxies, server=servers, weight=st.sampled_from([0, 1.0, 2.0, 3.5]))
    def weigh(self, proxy, server, weight):
        if proxy in self.joined and not (weight and server in self.withdrawn):
            if weight or len(self.desired_state.lines.get(proxy, {})) > 1:
                self.desired_state.weigh(self.now, proxy, server, weight)
                self.batch()

    @rule(server=servers)
    def drain(self, server):
        if len(self.withdrawn) < len(SERVERS) - 2:
            self.withdrawn.add(server)
            for proxy in self.joined:
                if server in self.desired_state.lines.get(proxy, {}):
                    other = next(s for s in SERVERS if s not in self.withdrawn)
                    self.desired_state.weigh(self.now, proxy, other, 1.0)
                    self.desired_state.weigh(self.now, proxy, server, 0)
            for proxy in PROXIES:
                self.desired_state.lines.get(proxy, {}).pop(server, None)
            self.batch()

    @rule(server=servers)
    def reopen(self, server):
        self.withdrawn.discard(server)
        self.batch()

    @rule(pause=st.integers(0, 300_000))
    def wait(self, pause):
        self.now += pause
        self.batch()
        self.send()

    @rule(proxy=proxies, refuses=st.booleans(), times=st.integers(1, 2))
    def answer(self, proxy, refuses, times):
        receiver = self.receivers[proxy]
        if proxy not in self.joined or not receiver.inbox:
            return
        version, lines = receiver.inbox.pop(0)
        if refuses:
            self.table_manager.ledger.refused(proxy, version, "no")
            receiver.inbox.clear()  # later changes build on it, so they are refused too; the host binds again
            self.desired_state.bind(self.now, proxy, proxy, 0)
            self.batch()
            return
        receiver.version, receiver.lines = version, lines
        for _ in range(times):  # a duplicate answer changes nothing
            self.table_manager.ledger.accepted(proxy, version)

    @rule(version=st.tuples(st.integers(1, 5), st.integers(1, 10**18)), proxy=proxies)
    def answer_never_sent(self, version, proxy):
        held = self.table_manager.ledger.holder(proxy).held
        if version[0] != self.table_manager.ledger.epoch:
            assert not self.table_manager.ledger.accepted(proxy, Version(*version))
            assert self.table_manager.ledger.holder(proxy).held == held

    @precondition(lambda self: self.table_manager.ledger.entries)
    @rule(data=st.data(), scope=st.sampled_from(["fleet", "zone east", "proxy p1"]), at_once=st.booleans())
    def roll_back(self, data, scope, at_once):
        version = data.draw(st.sampled_from(list(self.table_manager.ledger.entries)))
        try:
            self.table_manager.roll_back(self.now, scope, str(version), self.joined, at_once)
        except OrderError:
            assert scope == "proxy p1" and "p1" not in self.joined
        self.batch()

    @rule(scope=st.sampled_from(["fleet", "zone east", "proxy p1"]))
    def unpin(self, scope):
        self.table_manager.release(scope, self.joined)
        self.batch()

    @rule(data=st.data())
    def kill(self, data):
        """The controller is killed after any of its writes, and later ones are lost.

        Proxies go on with what they hold, which may never have been stored.
        """
        for write in self.queued_writes[: data.draw(st.integers(0, len(self.queued_writes)))]:
            self.put(*write)
            assert self.store.flush()
        self.store.close()
        for proxy in list(self.joined):
            self.leave(proxy)
        self.start()

    @invariant()
    def held_lines_are_those_of_the_held_version(self):
        if hasattr(self, "receivers"):
            for proxy, receiver in self.receivers.items():
                if receiver.version is not None:
                    assert receiver.lines == self.contents[receiver.version][proxy]
            for proxy in self.joined:
                table = self.table_manager.ledger.table(proxy)
                if table is not None and self.desired_state.lines.get(proxy):
                    assert not self.withdrawn & set(table.lines), "a target table contains a withdrawn server"
                    assert table.lines, "a target table without lines"

    def teardown(self):
        """Once the faults stop, all proxies converge on what they are meant to hold."""
        if not hasattr(self, "joined"):
            return
        for proxy in PROXIES:
            self.join(proxy)
        for _ in range(60):
            self.wait(200_000)
            for proxy in PROXIES:
                while self.receivers[proxy].inbox:
                    self.answer(proxy, False, 1)
        assert not self.table_manager.ledger.proxies_behind()
        for proxy in PROXIES:
            assert self.receivers[proxy].lines == dict(self.table_manager.ledger.table(proxy).lines)
        assert not any(r.state == "running" for r in self.table_manager.rollbacks.active())
        self.store.close()
        self.folder.cleanup()


TestTables = Tables.TestCase
TestTables.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_versions_share_unchanged_tables():
    ledger = Ledger(7, keep=1000)
    ledger.commit(0, "", {f"p{k}": {f"s{j}": 1.0 for j in range(20)} for k in range(400)})
    for k in range(999):
        ledger.commit(k, "", {f"p{k % 400}": {f"s{j}": 1.0 + k for j in range(20)}})
    first, last = ledger.entries[Version(7, 1)], ledger.entries[Version(7, 1000)]
    assert len(first.fleet) == len(last.fleet) == 400
    assert (
        sum(
            ledger.entries[Version(7, 500)].fleet[p] is ledger.entries[Version(7, 501)].fleet[p]
            for p in first.fleet
        )
        == 399
    )
    assert len(ledger.entries) == 1000
    ledger.commit(0, "", {"p0": {"s0": 9.0}})
    assert len(ledger.entries) == 1000 and Version(7, 1) not in ledger.entries


def test_holders_under_ever_new_names_are_bounded_and_joined_ones_are_kept():
    manager, desired, zones = TableManager(SITE, 9), DesiredState(1, 2), {}

    def join(name):
        zones[name] = "east"
        desired.join(name)
        manager.ledger.joined(name)
        desired.weigh(0, name, "s", 1.0)
        desired.bind(0, name, name, 0)
        manager.shape(0, desired.close_batch(), desired, zones, {"s": 1.0}, "")

    join("stays")
    for k in range(500):
        join(f"passes-{k}")
        del zones[f"passes-{k}"]
        desired.leave(f"passes-{k}")
        manager.left(f"passes-{k}")
    manager.shape(0, [], desired, zones, {"s": 1.0}, "")
    assert len(manager.ledger.holders) == manager.max_holders == 64 and len(manager.ledger.fleet) <= 64
    assert "stays" in manager.ledger.fleet and manager.ledger.holder("stays").joined
    assert manager.ledger.table("passes-499") and manager.ledger.table("passes-1") is None


def test_a_pin_is_restricted_to_permitted_servers_and_removed_lines_are_replaced():
    pinned, ordinary = {"a": 2.0, "b": 2.0, "c": 2.0}, {"c": 1.0, "d": 1.0, "e": 1.0, "cold": 0.25}
    allowed = {"a": 1, "c": 1, "d": 1, "e": 1, "cold": 0.25}
    lines = compose(pinned, ordinary, allowed)
    assert lines == {"a": 2.0, "c": 2.0, "d": 2.0}, "removed lines are replaced"
    lines = compose({**pinned, "cold": 2.0}, ordinary, allowed)
    assert lines["cold"] / sum(lines.values()) <= 0.25 / 3.25 + 0.001
    assert compose(pinned, {"cold": 0.3}, {"cold": 0.3}) == {"cold": 0.3}, "a proxy never gets an empty table"
    assert compose(pinned, ordinary, {"d": 1, "e": 1}) == {"d": 1.0, "e": 1.0}


def test_last_good_is_the_newest_interval_without_errors_delays_refusals_or_rule_violations():
    evidence, versions = Evidence(lag=10), [Version(1, k) for k in range(1, 7)]
    results = [(0, 100), (0.01, 110), (0.3, 100), (0, 300), (0.02, 105), (0, 100)]
    for k, (aborted, latency) in enumerate(results):
        now = 1000 * k
        evidence.record_version(now, versions[k])
        evidence.record_tries(now + 5, 10, 0, 10 * 100_000)  # counts for the version before
        evidence.record_tries(now + 20, MIN_TRIES, int(MIN_TRIES * aborted), MIN_TRIES * latency * 1000)
        if k == 4:
            evidence.record_answer(now + 30, refused=True)
        if k == 5:
            evidence.record_rule_violation(now + 30)
    assert [verdict for _, verdict in evidence.verdicts()] == [
        "good",
        "good",
        "aborted 0.29",
        "latency 290 ms",
        "1 tables refused",
        "a rule was in danger",
    ]
    assert evidence.last_good(versions) == versions[1]
    assert evidence.last_good(versions[2:]) is None


def test_epochs_rise_above_those_that_proxies_report_even_after_a_clock_stepped_back():
    ledger = Ledger(100)
    first = ledger.commit(0, "", {"p": {"a": 1.0}})
    assert not ledger.joined("p", Version(500, 10**15))
    assert ledger.commit(0, "", {"p": {"a": 2.0}}) > Version(500, 10**15) > first
