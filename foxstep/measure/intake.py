"""`foxstep measure-intake`: the cost of reading load reports.

It compares the intake with that of the first version, then measures sampling, memory and alternative data
structures, and the latency of orders with and without a flood of reports.
"""

import heapq
import json
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections import Counter
from random import Random

import anyio
import click
import grpc
from ddsketch import DDSketch
from envoy.service.load_stats.v3 import lrs_pb2
from hdrh.histogram import HdrHistogram

from foxstep.intake.intake import Intake
from foxstep.intake.latencies import Latencies
from foxstep.measure.baseline_intake import BaselineIntake
from foxstep.measure.fleet import SITE, Client, process_usage, stop_all
from foxstep.operate.service import INSPECT_METHOD, call_controller
from foxstep.site import read_site
from foxstep.standins.list_service import ListService
from foxstep.xds import load_reports

CYCLE_US = 500_000
OP_TYPES = {"look-up": 0, "note-down": 1, "pay-out": 2}
SETTINGS = {
    "cycle": CYCLE_US,
    "intake_per_s": 1_000,
    "op_types": [{"op_timeout": 3_000_000}],
    "transit_most": 150_000,
}


def make_report(random, servers, lines, tries=5):
    """Returns a load report on `lines` servers per op type, each with its latency and two load metrics."""
    request = lrs_pb2.LoadStatsRequest()
    for name in OP_TYPES:
        stats = request.cluster_stats.add(cluster_name=name)
        stats.load_report_interval.FromMicroseconds(CYCLE_US)
        for server in random.sample(servers, lines):
            n = 1 + random.randrange(2 * tries)
            locality = stats.upstream_locality_stats.add(total_successful_requests=n, total_issued_requests=n)
            locality.locality.sub_zone = server
            for metric, value in (("foxstep.latency_us", 150_000.0), ("busy", 0.5), ("waiting", 1.0)):
                locality.load_metric_stats.add(
                    metric_name=metric, num_requests_finished_with_metric=n, total_metric_value=n * value
                )
    return request


def measure_reading(proxies=200, servers=110, lines=20, rounds=7):
    """Prints the CPU time per line of the first version and this one, without and with latency quantiles."""
    random = Random(1)
    idents = [f"127.0.1.1:{7000 + k}" for k in range(servers)]
    requests = [make_report(random, idents, lines) for _ in range(proxies)]
    count = sum(map(load_reports.line_count, requests))
    costs = {"first version": [], "this one": [], "this one, with quantiles": []}
    for turn in range(rounds):
        for version, times in costs.items():
            began = time.process_time()
            if version == "first version":
                baseline = BaselineIntake(set(idents).__contains__)
                for request in requests:
                    baseline.read_report("east", request, OP_TYPES)
            else:
                intake = Intake(SETTINGS, set(idents).__contains__)
                latencies = Latencies(CYCLE_US)
                note = latencies.record if "quantiles" in version else None
                for k, request in enumerate(requests):
                    load_reports.read_tries(
                        intake, turn, f"p{k}", "east", request, OP_TYPES, True, record_latency=note
                    )
            times.append((time.process_time() - began) / count * 1e6)
    click.echo("| version | CPU us per line | lines/s per core | speed-up over the first |")
    click.echo("| --- | --- | --- | --- |")
    base = statistics.median(costs["first version"])
    for version, times in costs.items():
        cost = statistics.median(times)
        click.echo(f"| {version} | {cost:.2f} | {1e6 / cost:,.0f} | {base / cost:.2f} |")


def measure_sampling(proxies=500, servers=110, lines=20):
    """Prints the errors of the sums and the CPU time when only every n-th line is read."""
    random = Random(2)
    idents = [f"s{k}" for k in range(servers)]
    requests = [make_report(random, idents, lines) for _ in range(proxies)]
    true = Counter()
    for request in requests:
        for stats in request.cluster_stats:
            for locality in stats.upstream_locality_stats:
                true[locality.locality.sub_zone] += locality.total_successful_requests
    click.echo(
        "\n| lines read | error of all tries | error per server, mean | worst server | CPU relative to all |"
    )
    click.echo("| --- | --- | --- | --- | --- |")
    full_cost = None
    for step in (1, 2, 4, 8, 16):
        began = time.process_time()
        intake = Intake(SETTINGS, set(idents).__contains__)
        for k, request in enumerate(requests):
            load_reports.read_tries(
                intake, 0, f"p{k}", "east", request, OP_TYPES, True, step, random.randrange(step)
            )
        took = time.process_time() - began
        full_cost = full_cost or took
        errors = [abs(intake.sums.server_sums.get((s, "east"), [0.0])[0] / n - 1) for s, n in true.items()]
        total_error = abs(sum(sums[0] for sums in intake.sums.server_sums.values()) / sum(true.values()) - 1)
        click.echo(
            f"| 1 of {step} | {total_error:.2%} | {statistics.fmean(errors):.1%} | {max(errors):.1%} | "
            f"{took / full_cost:.2f} |"
        )


def measure_memory():
    """Prints the memory of the intake at several numbers of proxies."""
    click.echo("\n| proxies | servers | lines per report | KiB in total | bytes per proxy |")
    click.echo("| --- | --- | --- | --- | --- |")
    for proxies in (120, 500, 2000):
        random = Random(3)
        idents = [f"127.0.1.1:{7000 + k}" for k in range(110)]
        requests = [make_report(random, idents, 20) for _ in range(40)]
        tracemalloc.start()
        intake = Intake(SETTINGS, set(idents).__contains__)
        for turn in range(3):
            for k in range(proxies):
                now = turn * CYCLE_US + k
                intake.offer(now, f"p{k}", "east", "tries", None, 60)
                intake.next_report()
                load_reports.read_tries(intake, now, f"p{k}", "east", requests[k % 40], OP_TYPES, False)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        click.echo(f"| {proxies} | 110 | 60 | {size / 1024:,.0f} | {size / proxies:,.0f} |")


class TimingWheel:
    """A hierarchical timing wheel (Varghese and Lauck, 1987) with levels of 256 slots.

    Only measured here; the program doesn't use it.
    """

    def __init__(self):
        self.levels = [[[] for _ in range(256)] for _ in range(3)]
        self.now = 0

    def add(self, at, item):
        delay = at - self.now
        level = 0 if delay < 256 else 1 if delay < 65_536 else 2
        self.levels[level][(at >> 8 * level) & 255].append((at, item))

    def advance(self, now):
        due = []
        while self.now < now:
            self.now += 1
            if not self.now & 255:
                for level in (1, 2):
                    slot = self.levels[level]
                    index = (self.now >> 8 * level) & 255
                    moved, slot[index] = slot[index], []
                    for at, item in moved:
                        self.add(at, item)
                    if index:
                        break
            index = self.now & 255
            due += self.levels[0][index]
            self.levels[0][index] = []
        return due


class SpaceSaving:
    """The most frequent of many keys with few counters (Metwally and others, 2005).

    Only measured here; the program doesn't use it.
    """

    def __init__(self, size):
        self.size = size
        self.counts = {}

    def add(self, key, n):
        if key in self.counts or len(self.counts) < self.size:
            self.counts[key] = self.counts.get(key, 0) + n
        else:
            rarest = min(self.counts, key=self.counts.get)
            self.counts[key] = self.counts.pop(rarest) + n


def time_per_operation(function, n):
    """CPU microseconds per operation of a function that does `n` of them."""
    began = time.process_time()
    function()
    return (time.process_time() - began) / n * 1e6


def measure_structures():
    """Prints the cost of alternative data structures compared with that of the simple ones."""
    random = Random(4)
    click.echo("\n| purpose | structure | us per operation | relative to the simple one |")
    click.echo("| --- | --- | --- | --- |")
    rows = []

    def wheel(n=40_000):
        timers = TimingWheel()
        for k in range(n):
            timers.add(k // 20 + 1 + random.randrange(600), k)
            if k % 20 == 19:
                timers.advance(k // 20)

    def heap(n=40_000):
        timers = []
        for k in range(n):
            heapq.heappush(timers, (k // 20 + 1 + random.randrange(600), k))
            while timers and timers[0][0] <= k // 20:
                heapq.heappop(timers)

    def scan(n=40_000):  # the structure that the program uses: each proxy's account is checked once a round
        last_seen = dict.fromkeys(range(2000), 0)
        for turn in range(n // 2000):
            sum(turn - at > 3 for at in last_seen.values())

    rows.append(
        ("expiry of accounts", [("heap", heap), ("timing wheel", wheel), ("full scan, once a round", scan)])
    )
    keys = [f"p{min(int(random.paretovariate(0.8)), 1999)}" for _ in range(40_000)]

    def exact():
        counts = {}
        for key in keys:
            counts[key] = counts.get(key, 0) + 1

    def saving():
        counts = SpaceSaving(64)
        for key in keys:
            counts.add(key, 1)

    rows.append(("heavy senders of 2,000", [("dict", exact), ("space saving, 64 counters", saving)]))
    times = [random.lognormvariate(12, 0.6) for _ in range(40_000)]

    def plain():
        series = [[] for _ in range(330)]
        for k, took in enumerate(times):
            series[k % 330].append((took, 3))

    def sketch(make, add):
        def run():
            series = [make() for _ in range(330)]
            for k, took in enumerate(times):
                add(series[k % 330], took)

        return run

    rows.append(
        (
            "quantiles of 330 series",
            [
                ("list, sorted when read", plain),
                ("DDSketch 2%", sketch(lambda: DDSketch(0.02), lambda s, took: s.add(took, 3))),
                (
                    "HdrHistogram, 2 digits",
                    sketch(
                        lambda: HdrHistogram(1, 600_000_000, 2), lambda s, took: s.record_value(int(took), 3)
                    ),
                ),
            ],
        )
    )
    for purpose, candidates in rows:
        base = None
        for name, function in candidates:
            cost = statistics.median(time_per_operation(function, 40_000) for _ in range(3))
            base = base or cost
            click.echo(f"| {purpose} | {name} | {cost:.2f} | {cost / base:.2f} |")


async def measure_flood(proxies, servers, seconds):
    """Measures orders without reports, and under a flood of them from other processes.

    Returns the figures of both as a list.
    """
    site = read_site(SITE, proxies=proxies)
    lists = ListService(lambda *_, **__: None, time.monotonic, 0.0)
    await lists.start()
    idents = [f"127.0.1.1:{7000 + k}" for k in range(servers)]
    for k, ident in enumerate(idents):
        lists.set(ident, site.zones[k % 2], "plain", "open", at_once=True)
    controller = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "foxstep",
            "--level",
            "error",
            "serve",
            SITE,
            "--tell",
            "--outside",
            f"proxies={proxies}",
            "--list",
            f"127.0.0.1:{lists.port}",
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    address = (await anyio.to_thread.run_sync(controller.stdout.readline)).strip()
    channels = [
        grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1)])
        for _ in range(-(-proxies // 25))
    ]
    clients = [Client(channels[k // 25], f"p{k}", site.zones[k % 2]) for k in range(proxies)]
    figures = []
    reporters = []
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(lists.run)
            for client in clients:
                group.start_soon(client.follow_tables)
            with anyio.fail_after(60):
                while not all(client.lines for client in clients):
                    await anyio.sleep(0.05)
            for flood in (False, True):
                if flood:
                    reporters = [await start_flood(address, site, k) for k in range(4)]
                    await anyio.sleep(8)
                figures.append(await measure_orders(address, controller, lists, idents, site.zones, seconds))
            group.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            for process in reporters:
                process.kill()
                await process.wait()
        await stop_all(controller, channels, lists)
    return figures


async def start_flood(address, site, k, count=100, factor=50):
    """Starts a process of reporters that each send every report `factor` times."""
    process = await anyio.open_process(
        [sys.executable, "-m", "foxstep.standins.reporter"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    for settings in (
        {
            "first": k * count,
            "count": count,
            "site": site.name,
            "zones": site.zones,
            "rate": 8.0,
            "mix": dict.fromkeys(OP_TYPES, 1),
            "tables": address,
            "reports": address,
        },
        {"flood_all": factor},
    ):
        await process.stdin.send(json.dumps(settings).encode() + b"\n")
    return process


async def measure_orders(address, controller, lists, idents, zones, seconds):
    """Drains one server after the other and lets it return; returns the figures of that time."""
    before = process_usage(controller.pid)[0]
    state = await call_controller(address, INSPECT_METHOD)
    lines_before = state["intake"]["taken"]
    answers_before = state["order_to_answer_ms"]["count"]
    began = time.monotonic()
    k = 0
    lag = 0.0
    while time.monotonic() - began < seconds:
        for index, health in (((k - 1) % len(idents), "open"), (k % len(idents), "draining")):
            lists.set(idents[index], zones[index % 2], "plain", health, at_once=True)
        k += 1
        await anyio.sleep(0.5)
        lag = max(lag, (await call_controller(address, INSPECT_METHOD, {"brief": True}))["lag_ms"])
    state = await call_controller(address, INSPECT_METHOD)
    took = time.monotonic() - began
    answer = state["order_to_answer_ms"]
    return {
        "answers": answer["count"] - answers_before,
        "p50": answer["p50"],
        "p99": answer["p99"],
        "lag": lag,
        "lines": (state["intake"]["taken"] - lines_before) / took,
        "asked": state["intake"]["asked_ms"],
        "cpu": (process_usage(controller.pid)[0] - before) / took,
    }


def run(seconds):
    """Prints all measurements as tables; orders are measured for `seconds`, without and with a flood."""
    measure_reading()
    measure_sampling()
    measure_memory()
    measure_structures()
    click.echo(
        "\n| 120 proxies, 110 servers | answers | p50 ms | p99 ms | event loop lag ms | lines/s "
        "| CPU | report interval ms |"
    )
    click.echo("|" + " --- |" * 8)
    both = anyio.run(measure_flood, 120, 110, seconds)
    for name, f in zip(("no reports", "a flood of reports"), both, strict=True):
        click.echo(
            f"| {name} | {f['answers']} | {f['p50']:.1f} | {f['p99']:.1f} | {f['lag']:.0f} | "
            f"{f['lines']:,.0f} | {f['cpu']:.2f} | {f['asked']} |"
        )
