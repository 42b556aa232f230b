"""Intake of load reports: exact sums, proxies that report too much, reading budgets, report intervals."""

from collections import Counter, defaultdict

import pytest
from envoy.service.load_stats.v3 import lrs_pb2
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.intake.intake import (
    HELD_CYCLES,
    MAX_SHARE_OF_OTHERS,
    MAX_WAITING_REPORTS,
    MIN_REPORTING_PROXIES,
    Intake,
)
from foxstep.intake.latencies import RELATIVE_ACCURACY, SAMPLE_EVERY, Latencies
from foxstep.intake.pace import (
    MAX_INTERVAL_CYCLES,
    SHARED_BURST_US,
    STREAM_BURST_REPORTS,
    STREAM_REPORTS_PER_INTERVAL,
    Pace,
    SharedRateLimiter,
    StreamRateLimiter,
)
from foxstep.intake.sums import ACCOUNT_INTERVALS, STALE_INTERVALS
from foxstep.xds import load_reports

CYCLE = 500_000
SITE = {
    "cycle": CYCLE,
    "intake_per_s": 10_000,
    "op_types": [{"op_timeout": 1_500_000}],
    "transit_most": 100_000,
}
SERVERS = [f"s{k}" for k in range(6)]
KNOWN = {f"s{k}" for k in range(60)}


class RecordingModule:
    """Stands in for the decision module and the evidence; records the calls."""

    def __init__(self):
        self.tries, self.aborted, self.ops, self.windows = Counter(), Counter(), Counter(), Counter()
        self.lines = []

    def heard(self, now, server, zone, tries, aborted, latency, window, load):
        assert 0 <= aborted <= tries and tries == int(tries) > 0 and latency >= 0
        self.lines.append((now, "heard", server, zone, tries, aborted, latency, load))
        self.tries[server, zone] += tries
        self.aborted[server, zone] += aborted

    def used(self, now, proxy, op_type, ops, unanswered, window):
        assert 0 <= unanswered <= ops and ops == int(ops) and window >= 0
        self.lines.append((now, "used", proxy, op_type, ops))
        self.ops[proxy] += ops
        self.windows[proxy] += window

    def record_tries(self, *_): ...


class IntakeHarness:
    """An intake into which a test puts reports directly, on a clock of its own."""

    def __init__(self, **changes):
        self.now = 100 * CYCLE
        self.module = RecordingModule()
        self.intake = Intake({**SITE, **changes}, KNOWN.__contains__)

    def add_tries(self, proxy, tries, window=CYCLE, zone="east", servers=SERVERS, aborted=0, at=None):
        lines = [(s, tries, aborted, 1000, None, 1) for s in servers]
        return self.intake.add_tries(self.now if at is None else at, proxy, zone, lines, window)

    def round(self, span=CYCLE):
        self.now += span
        return self.intake.round(self.module, self.now, self.module)


STEP = st.tuples(
    st.integers(0, 3),
    st.sampled_from(["regular", "duplicated", "missing", "late", "burst", "long"]),
    st.integers(0, 40),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.lists(STEP, max_size=4), max_size=30))
def test_no_proxy_counts_for_more_time_than_has_passed(rounds):
    harness = IntakeHarness()
    rate = 40
    for steps in rounds:
        kinds = {f"p{k}": (kind, n) for k, kind, n in steps}
        for proxy in ("p0", "p1", "p2", "p3"):
            kind, n = kinds.get(proxy, ("regular", 0))
            if kind == "long":
                harness.add_tries(proxy, rate * (n + 1), (n + 1) * CYCLE)
            for _ in range(
                {"regular": 1, "duplicated": 2, "missing": 0, "late": 0, "burst": n, "long": 0}[kind]
            ):
                harness.add_tries(proxy, rate)
        harness.round()
    max_tries = rate * (len(rounds) + ACCOUNT_INTERVALS) * 4
    for server in SERVERS:
        assert harness.module.tries[server, "east"] <= max_tries + 1


@settings(max_examples=50, deadline=None)
@given(st.lists(st.floats(0.8, 1.2), min_size=30, max_size=60), st.integers(1, 30), st.booleans())
def test_reports_in_time_count_in_full_whatever_their_jitter(gaps, tries, thin):
    harness = IntakeHarness(intake_per_s=10 if thin else 10_000)
    reported = 0
    for gap in gaps:
        harness.now += round(gap * CYCLE)
        part = harness.add_tries("p", tries, round(gap * CYCLE), servers=SERVERS[:2])
        assert part > 0.99
        reported += tries
        harness.intake.round(harness.module, harness.now, harness.module)
    for _ in range(20):  # no more reports: the last one counts again for a while, then nothing
        harness.round()
    for server in SERVERS[:2]:
        counted = harness.module.tries[server, "east"]
        assert reported - 1 <= counted <= reported + tries / 0.8 * (STALE_INTERVALS + ACCOUNT_INTERVALS)


def test_after_a_pause_old_demand_does_not_count_as_present_demand():
    harness = IntakeHarness()
    for _ in range(10):
        for k in range(20):
            harness.add_tries(f"p{k}", 10)
        harness.round()
    before = sum(harness.module.tries.values()) / 10
    for _ in range(60):  # no report arrives for thirty seconds
        harness.round()
    paused = sum(harness.module.tries.values())
    for k in range(20):  # then everything at once: one report of the whole time, or all held reports
        if k % 2:
            harness.add_tries(f"p{k}", 10 * 60, 60 * CYCLE)
        else:
            for _ in range(60):
                harness.add_tries(f"p{k}", 10)
    harness.round()
    assert sum(harness.module.tries.values()) - paused <= ACCOUNT_INTERVALS * before * 1.01


def test_a_proxy_that_reports_fifty_times_too_much_changes_the_sums_by_a_third_at_most():
    harness = IntakeHarness()
    proxy_count = 4 * MIN_REPORTING_PROXIES
    for turn in range(20):
        before = sum(harness.module.tries.values())
        for k in range(proxy_count):
            harness.add_tries(f"p{k}", 10)
        if turn >= 10:
            harness.add_tries("excessive", 10 * 50 * proxy_count)
        harness.round()
        moved = (sum(harness.module.tries.values()) - before) / (10 * proxy_count * len(SERVERS))
        assert moved <= 1 + MAX_SHARE_OF_OTHERS * ACCOUNT_INTERVALS + 0.01
        if turn >= 12:
            assert 1 + MAX_SHARE_OF_OTHERS - 0.05 <= moved <= 1 + MAX_SHARE_OF_OTHERS + 0.01
    assert harness.intake.scaled_down >= 10
    # A proxy that sends fifty reports of the usual size in one interval counts once.
    harness = IntakeHarness()
    for _ in range(20):
        for k in range(proxy_count):
            for _ in range(50 if k == 3 else 1):
                harness.add_tries(f"p{k}", 10)
        harness.round()
    assert sum(harness.module.tries.values()) <= 10 * proxy_count * len(SERVERS) * 20 * 1.03


def test_reports_on_servers_outside_a_proxys_tables_are_refused():
    harness = IntakeHarness()
    held = {"p": {"s0", "s1"}}
    harness.intake.held_servers = held.get
    harness.add_tries("p", 10)  # at first any server is accepted: the earlier tables are unknown
    harness.round()
    assert harness.module.tries["s5", "east"] == 10
    for _ in range(HELD_CYCLES + 20):
        harness.add_tries("p", 10)
        harness.round()
    assert harness.module.tries["s0", "east"] > harness.module.tries["s5", "east"] + 100
    assert harness.intake.refused["not held"] > 0
    held["p"] = {"s1"}  # ops that began at s0 earlier are still accepted for a while
    harness.add_tries("p", 10)
    harness.round()
    assert harness.module.tries["s0", "east"] == harness.module.tries["s1", "east"]
    for _ in range(HELD_CYCLES + 20):
        harness.add_tries("p", 10)
        harness.round()
    assert harness.module.tries["s0", "east"] < harness.module.tries["s1", "east"] - 100


def load_report(lines, types=("read", "put"), tries=5):
    report = lrs_pb2.LoadStatsRequest()
    for name in types:
        stats = report.cluster_stats.add(cluster_name=name)
        stats.load_report_interval.FromMicroseconds(CYCLE)
        for k in range(lines):
            locality_stats = stats.upstream_locality_stats.add(
                total_successful_requests=tries + k, total_issued_requests=tries + k
            )
            locality_stats.locality.sub_zone = f"s{k}"
    return report


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 9), st.integers(1, 60))
def test_a_sample_of_lines_stands_for_all_of_them_without_bias(step, lines):
    report = load_report(lines)
    total = 2 * sum(5 + k for k in range(lines))
    totals = []
    for first in range(step):  # over all first lines, the mean is exact
        harness = IntakeHarness()
        load_reports.read_tries(
            harness.intake, harness.now, "p", "east", report, {"read": 0, "put": 1}, False, step, first
        )
        tries_counted = [sums[0] for sums in harness.intake.sums.server_sums.values()]
        ops_counted = [sums[0] for sums in harness.intake.sums.proxy_sums.values()]
        assert sum(tries_counted) == pytest.approx(sum(ops_counted))
        totals.append(sum(tries_counted))
    assert sum(totals) / step == pytest.approx(total)


def test_zones_and_proxies_take_turns_and_the_newest_report_is_read():
    harness = IntakeHarness()
    for k in range(30):
        harness.intake.offer(harness.now + k, f"e{k}", "east", "tries", "old", 10)
    for k in range(2):
        harness.intake.offer(harness.now + k, f"w{k}", "west", "tries", "old", 10)
    harness.intake.offer(harness.now + 99, "e0", "east", "tries", "new", 10)
    read = [harness.intake.next_report() for _ in range(4)]
    assert [(r[1], r[3]) for r in read] == [("e0", "new"), ("w0", "old"), ("e1", "old"), ("w1", "old")]
    assert harness.intake.overtaken == 1
    harness.intake.remove_proxy("e2", "east")
    assert harness.intake.next_report()[1] == "e3"


@settings(max_examples=30, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 3), st.integers(1, 50)), max_size=200))
def test_waiting_reports_are_bounded_by_proxies_and_kinds(offers):
    harness = IntakeHarness()
    for proxy, kind, lines in offers:
        harness.intake.offer(harness.now, f"p{proxy}", "east", kind, None, lines)
    waiting = sum(map(len, harness.intake.waiting.values()))
    assert waiting == len({(p, k) for p, k, _ in offers}) <= MAX_WAITING_REPORTS
    harness.intake.offer(harness.now, "p0", "east", 0, None, 1)
    harness.intake.waiting["east"].update(((f"x{k}", 0), (0, None, 1)) for k in range(MAX_WAITING_REPORTS))
    harness.intake.offer(harness.now, "late", "east", 9, None, 7)
    assert harness.intake.refused["too many wait"] == 7


def test_servers_and_proxies_share_a_round_in_turn():
    harness = IntakeHarness(intake_per_s=40)  # twenty lines a round for 12 servers and 120 proxies
    lines_by_proxy = defaultdict(int)
    for turn in range(60):
        for k in range(120):
            harness.add_tries(f"p{k}", 1, zone=("east", "west")[k % 2])
            harness.intake.add_usage(harness.now, f"p{k}", "east", [("read", 6, 0)], CYCLE)
        assert harness.round() <= 20
        for _, verb, who, *_ in harness.module.lines[-20:]:
            if verb == "used" and turn > 20:
                lines_by_proxy[who] += 1
    assert len(lines_by_proxy) == 120 and max(lines_by_proxy.values()) - min(lines_by_proxy.values()) <= 2
    assert len({k for k in harness.module.tries}) == 12
    for k in range(120):  # waiting ops and the time they cover add up
        assert harness.module.ops[f"p{k}"] / harness.module.windows[f"p{k}"] == pytest.approx(
            6 / CYCLE, rel=0.1
        )


def test_intervals_grow_under_load_and_shrink_only_long_after():
    pace = Pace(CYCLE, 0.4)
    now = 0
    intervals = []

    def run(rounds, lines):
        nonlocal now
        for _ in range(rounds):
            now += CYCLE
            pace.report_arrived(
                lines * CYCLE / pace.requested_interval
            )  # the proxies follow the requested interval
            pace.round(now, CYCLE)
            intervals.append(pace.requested_interval)

    fits = pace.line_budget(CYCLE)
    run(40, fits * 0.9)
    assert set(intervals) == {CYCLE} and pace.sampling_step() == 1
    run(1, fits * 30)
    assert pace.sampling_step() > 5, "lines are sampled at once"
    run(60, fits * 5)
    assert pace.requested_interval == 8 * CYCLE and pace.sampling_step() == 1
    settled = len(intervals)
    run(200, fits * 5)
    assert set(intervals[settled:]) == {8 * CYCLE}, "the interval does not oscillate"
    run(200, fits * 0.2)
    assert pace.requested_interval == CYCLE
    increases = [b for a, b in zip(intervals, intervals[1:], strict=False) if b > a]
    assert increases == [2 * CYCLE, 4 * CYCLE, 8 * CYCLE]
    run(200, fits * 1000)
    assert pace.requested_interval == MAX_INTERVAL_CYCLES * CYCLE and pace.sampling_step() > 30


def test_an_overdue_report_is_substituted_unless_the_proxy_has_left():
    harness = IntakeHarness()
    for turn in range(12):
        if turn != 6:
            harness.add_tries("p", 10, servers=["s0"])
        harness.round()
    assert 115 <= harness.module.tries["s0", "east"] <= 125
    harness.intake.remove_proxy("p", "east")
    before = harness.module.tries["s0", "east"]
    for _ in range(10):
        harness.round()
    assert harness.module.tries["s0", "east"] <= before + 1
    assert harness.intake.sums.accounts == {}


@settings(max_examples=30, deadline=None)
@given(st.lists(st.integers(1, 10_000_000), min_size=20, max_size=300))
def test_quantiles_have_the_stated_accuracy_and_cover_the_last_two_generations(times):
    latencies = Latencies(CYCLE)
    latencies.rotate(0)
    for took in times:
        for _ in range(SAMPLE_EVERY):
            latencies.record("read", "s1", took, 1)
    at = sorted(times)[round(0.5 * (len(times) - 1))]
    near = sorted(times)[max(0, round(0.5 * (len(times) - 1)) - 1) :][:3]
    found = latencies.view()["read"]["p50_ms"] * 1000
    assert any(abs(found - t) <= RELATIVE_ACCURACY * t + 51 for t in [at, *near])
    latencies.rotate(latencies.generation_us)
    assert latencies.view()["read"]["ops"] == SAMPLE_EVERY * len(times)
    latencies.rotate(2 * latencies.generation_us)
    assert latencies.view() == {}


def test_a_report_counts_for_the_unread_ones_that_it_replaced():
    harness = IntakeHarness()
    for turn in range(40):
        harness.now += CYCLE
        harness.intake.pace.requested_interval = harness.intake.sums.interval = 4 * CYCLE
        harness.intake.offer(harness.now, "p", "east", "tries", "a", 6)
        if turn % 3 == 0:  # only every third report is read
            received_at, *_, lost = harness.intake.next_report()
            lines = [(s, 10, 0, 1000, None, 1) for s in SERVERS]
            harness.intake.add_tries(received_at, "p", "east", lines, CYCLE, lost)
        harness.intake.round(harness.module, harness.now, harness.module)
    assert 0.9 <= harness.module.tries["s0", "east"] / 400 <= 1.1


@settings(max_examples=50, deadline=None)
@given(st.lists(st.integers(0, 3 * CYCLE), min_size=1, max_size=400))
def test_an_endless_stream_is_received_at_a_bounded_rate(gaps):
    limiter = StreamRateLimiter(0)
    now = 0
    received = 0
    for gap in gaps:
        now += limiter.delay_after_report(now, CYCLE) + gap // 1000
        received += 1
        assert received <= STREAM_BURST_REPORTS + STREAM_REPORTS_PER_INTERVAL * now / CYCLE + 2


NUMBERS = st.one_of(st.integers(0, 2**63), st.integers(0, 20))
REALS = st.floats() | st.floats(0, 1e6)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["read", "put", "odd"]),
            st.integers(-5, 10**12),
            st.integers(0, 10**9 - 1),
            NUMBERS,
            st.lists(
                st.tuples(
                    st.sampled_from([*SERVERS, "unknown", ""]),
                    NUMBERS,
                    NUMBERS,
                    NUMBERS,
                    NUMBERS,
                    st.lists(
                        st.tuples(
                            st.sampled_from(
                                [
                                    "foxstep.latency_us",
                                    "named_metrics.busy",
                                    "cpu_utilization",
                                    "waiting",
                                    "x",
                                ]
                            ),
                            NUMBERS,
                            REALS,
                        ),
                        max_size=4,
                    ),
                ),
                max_size=4,
            ),
        ),
        max_size=4,
    ),
    st.integers(1, 4),
    st.integers(0, 3),
)
def test_any_report_is_handled_and_what_counts_is_bounded(clusters, step, first):
    report = lrs_pb2.LoadStatsRequest()
    for name, seconds, nanos, dropped, lines in clusters:
        stats = report.cluster_stats.add(cluster_name=name, total_dropped_requests=dropped)
        stats.load_report_interval.seconds, stats.load_report_interval.nanos = seconds, nanos
        for server, good, bad, issued, under_way, metrics in lines:
            met = stats.upstream_locality_stats.add(
                total_successful_requests=good,
                total_error_requests=bad,
                total_issued_requests=issued,
                total_requests_in_progress=under_way,
            )
            met.locality.sub_zone = server
            for metric, times, total in metrics:
                met.load_metric_stats.add(
                    metric_name=metric, num_requests_finished_with_metric=times, total_metric_value=total
                )
    harness = IntakeHarness()
    for _ in range(3):
        load_reports.read_tries(
            harness.intake,
            harness.now,
            "p",
            "east",
            report,
            {"read": 0, "put": 1},
            False,
            step,
            min(first, step - 1),
            record_latency=Latencies(CYCLE).record,
        )
        harness.round()
    for server, zone in harness.module.tries:
        assert server in KNOWN and zone == "east"
    for _, verb, *rest in harness.module.lines:
        if verb == "heard":
            latency, load = rest[4], rest[5]
            assert 0 <= latency <= load_reports.MAX_LATENCY_US
            assert all(0 <= value <= 1e6 for value in (load or {}).values())


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.integers(0, 3 * CYCLE), min_size=2, max_size=20),
    st.integers(CYCLE, 100 * CYCLE),
    st.integers(1, 50),
)
def test_the_longer_a_reports_window_the_less_of_it_counts(gaps, window, factor):
    short, long = IntakeHarness(), IntakeHarness()
    for gap in gaps:
        for harness, covered in ((short, window), (long, window * factor)):
            harness.now += gap
            part = harness.add_tries("p", 1000, min(covered, 1200 * CYCLE))
            assert 0 <= part <= 1
            harness.part = part
        assert long.part <= short.part + 1e-9 or short.part == 0
    for server in SERVERS:
        assert (
            long.intake.sums.server_sums[server, "east"][0]
            <= short.intake.sums.server_sums[server, "east"][0] + 1e-6
        )


def test_memory_is_bounded_however_many_proxies_come_and_go():
    harness = IntakeHarness()
    for k in range(3000):
        harness.add_tries(f"p{k}", 5)
        harness.intake.add_usage(harness.now, f"p{k}", "east", [("read", 5, 0)], CYCLE)
        harness.intake.offer(harness.now, f"p{k}", "east", "tries", None, 5)
        harness.intake.remove_proxy(f"p{k}", "east")
        if k % 10 == 0:
            harness.round()
        intake = harness.intake
        assert len(intake.proxies) <= 1 and not intake.waiting["east"]
        assert len(intake.sums.accounts) <= 2 * 10 * (STALE_INTERVALS + 2) and len(
            intake.sums.server_sums
        ) <= len(SERVERS)
    for _ in range(20):
        harness.round()
    assert harness.intake.sums.accounts == {} and len(harness.intake.sums.proxy_sums) == 0
    assert abs(harness.intake.total_rates[0]) < 1e-6


def test_late_rounds_lead_to_longer_intervals_that_do_not_oscillate():
    pace = Pace(CYCLE, 0.4)
    now = 0
    intervals = []
    for _ in range(1500):  # receiving the reports costs too much at one cycle, and fits at two
        late = pace.requested_interval == CYCLE
        span = round(CYCLE * (1.6 if late else 1.0))
        now += span
        pace.report_arrived(0.55 * pace.line_budget(CYCLE) * CYCLE / pace.requested_interval)
        pace.round(now, span)
        intervals.append(pace.requested_interval)
    assert 2 * CYCLE in intervals and max(intervals) <= 4 * CYCLE
    at_short = sum(a == CYCLE for a in intervals[200:])
    assert at_short <= 60, "after each failed attempt the next one waits longer"


@pytest.mark.parametrize("cycles", [1, 2, 4, 8])
def test_reports_at_long_intervals_are_spread_evenly_over_the_rounds(cycles):
    harness = IntakeHarness()
    by_round = []
    for turn in range(20 * cycles):
        harness.intake.pace.requested_interval = harness.intake.sums.interval = cycles * CYCLE
        harness.intake.pace.low_load_rounds = 0  # keeps the interval from being shortened
        for k in range(8):
            if turn % cycles == 0:  # all proxies report at the same time
                harness.add_tries(f"p{k}", 10 * cycles, cycles * CYCLE, servers=["s0"])
                harness.intake.add_usage(
                    harness.now, f"p{k}", "east", [("read", 10 * cycles, 0)], cycles * CYCLE
                )
        before = harness.module.tries["s0", "east"]
        harness.round()
        by_round.append(harness.module.tries["s0", "east"] - before)
    settled = by_round[2 * cycles :]
    assert min(settled) >= 78 and max(settled) <= 82 and sum(harness.module.ops.values()) >= 78 * len(settled)
    assert sum(harness.module.windows.values()) == pytest.approx(8 * CYCLE * len(by_round), rel=0.1)


@settings(max_examples=50)
@given(st.integers(1, 500), st.floats(0.05, 1.0), st.floats(20, 2000))
def test_a_wave_on_all_streams_takes_no_more_than_its_share_of_cpu_time(streams, cpu_share, cost):
    limiter = SharedRateLimiter(0)
    ready_at = [0] * streams
    work = 0.0
    for _ in range(2000):  # each stream delivers its next report as soon as it may
        k = ready_at.index(min(ready_at))
        now = ready_at[k]
        work += cost
        ready_at[k] = now + limiter.delay_after_report(now, cpu_share, cost)
        assert work <= SHARED_BURST_US + cpu_share * now + cost * (streams + 1)


def test_many_proxies_that_start_at_once_count_in_full():
    harness = IntakeHarness()
    for k in range(MIN_REPORTING_PROXIES + 4):  # usage is reported before tries
        harness.intake.add_usage(harness.now, f"p{k}", "east", [("read", 10, 0)], CYCLE)
    for turn in range(20):
        for k in range(MIN_REPORTING_PROXIES + 4):
            harness.add_tries(f"p{k}", 0 if turn < 10 else 10)  # idle for ten rounds, then busy
        harness.round()
    assert (
        harness.module.tries["s0", "east"] == 10 * 10 * (MIN_REPORTING_PROXIES + 4)
        and harness.intake.scaled_down == 0
    )
