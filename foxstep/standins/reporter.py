"""Simulates many proxies that forward nothing but report as if they did: ADS tables, LRS load, RLQS usage.

Runs as a process of its own. It reads its settings and later changes as JSON lines from standard input, and
writes the true totals as JSON lines to standard output twice a second.
"""

import asyncio
import json
import random
import sys
import time
from collections import defaultdict
from zlib import crc32

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc

LINE = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
DUPLICATE_PROBABILITY = 0.05
LATE_PROBABILITY = 0.05
REPORTERS_PER_CHANNEL = 25
WORK_INTERVAL_S = 0.1


def service_time(server):
    """The mean duration of an op at a server in seconds: fixed for each server, from 0.06 to 0.18."""
    return 0.06 + 0.12 * crc32(server.encode()) / 2**32


class Reporter:
    """One simulated proxy. `tables` and `reports` are its channels to the ADS and to the report services."""

    def __init__(self, group, number, tables, reports):
        self.group = group
        self.ident = f"reporter-{number}"
        self.zone = group.zones[number % len(group.zones)]
        self.tables = tables
        self.reports = reports
        self.rng = random.Random(number)
        self.table = {}
        self.interval = 0.5
        self.flood = 1
        self.next_op = 0.0
        self.sums = defaultdict(lambda: [0, 0, 0.0])
        self.op_counts = defaultdict(int)
        # After a pause, one half of the reporters sends all queued reports, the other half one summed report.
        self.queues_reports = number % 2

    def node(self):
        """The xDS node of this proxy."""
        node = base_pb2.Node(id=self.ident, client_features=["foxstep.quotas", "foxstep.tables"])
        node.locality.zone = self.zone
        node.metadata["rate"] = self.group.rate
        return node

    async def follow(self):
        """Subscribes to the table and accepts every change."""
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.tables).DeltaAggregatedResources()
        pattern = f"xdstp:///envoy.config.endpoint.v3.LbEndpoint/{self.group.site}/every-op-type/*"
        await call.write(
            discovery_pb2.DeltaDiscoveryRequest(
                node=self.node(),
                type_url=LINE,
                resource_names_subscribe=[pattern],
                initial_resource_versions={pattern[:-1] + s: w for s, w in self.table.items()},
            )
        )
        while (response := await call.read()) is not grpc.aio.EOF:
            if " - " in f" {response.system_version_info}":
                self.table = {}
            for resource in response.resources:
                self.table[resource.name.rpartition("/")[2]] = resource.version
            for name in response.removed_resources:
                self.table.pop(name.rpartition("/")[2], None)
            await call.write(
                discovery_pb2.DeltaDiscoveryRequest(type_url=LINE, response_nonce=response.nonce)
            )

    def generate_ops(self, seconds):
        """Draws the ops of the last `seconds` and their outcomes at the servers of the table."""
        if not self.table:
            return
        ops = 0
        rate = self.group.rate * self.group.factor
        self.next_op = self.next_op - seconds
        while self.next_op <= 0:
            ops = ops + 1
            self.next_op = self.next_op + self.rng.expovariate(rate)
        servers = list(self.table)
        weights = [float(w) for w in self.table.values()]
        types = self.rng.choices(list(self.group.mix), list(self.group.mix.values()), k=ops)
        for op_type, server in zip(types, self.rng.choices(servers, weights, k=ops), strict=True):
            failed = self.rng.random() < 0.01
            duration = service_time(server) * self.rng.uniform(0.8, 1.2)
            sums = self.sums[op_type, server]
            sums[0] += not failed
            sums[1] += failed
            sums[2] += 0.0 if failed else duration
            self.op_counts[op_type] += 1
            self.group.count_op(server, failed, duration)

    def load_report(self, seconds):
        """The LRS report of the sums, which are reset."""
        request = lrs_pb2.LoadStatsRequest(node=self.node())
        clusters = {}
        for (op_type, server), (succeeded, failed, duration) in self.sums.items():
            if op_type not in clusters:
                clusters[op_type] = request.cluster_stats.add(cluster_name=op_type)
                clusters[op_type].load_report_interval.FromNanoseconds(round(seconds * 1e9))
            sums = clusters[op_type].upstream_locality_stats.add(
                total_successful_requests=succeeded,
                total_error_requests=failed,
                total_issued_requests=succeeded + failed,
            )
            sums.locality.sub_zone = server
            if succeeded:
                sums.load_metric_stats.add(
                    metric_name="foxstep.latency_us",
                    total_metric_value=duration * 1e6,
                    num_requests_finished_with_metric=succeeded,
                )
        self.sums.clear()
        return request

    def usage_report(self, seconds):
        """The RLQS report of the op counts, which are reset."""
        report = rlqs_pb2.RateLimitQuotaUsageReports(domain=self.group.site)
        for op_type in self.group.mix:
            usage = report.bucket_quota_usages.add(num_requests_allowed=self.op_counts[op_type])
            usage.bucket_id.bucket.update({"proxy": self.ident, "op_type": op_type})
            usage.time_elapsed.FromNanoseconds(max(1, round(seconds * 1e9)))
        self.op_counts.clear()
        return report

    async def report(self):
        """Sends reports at the asked interval: some late, some twice, and `flood` times each in a flood."""
        while not self.table:  # like a proxy, it reports only after its first table
            await asyncio.sleep(0.1)
        self.writing = asyncio.Lock()
        calls = (
            lrs_pb2_grpc.LoadReportingServiceStub(self.reports).StreamLoadStats(),
            rlqs_pb2_grpc.RateLimitQuotaServiceStub(self.reports).StreamRateLimitQuotas(),
        )
        await calls[0].write(lrs_pb2.LoadStatsRequest(node=self.node()))
        readers = [
            asyncio.create_task(self.read_intervals(calls[0])),
            asyncio.create_task(self.discard_answers(calls[1])),
        ]
        began = time.monotonic()
        delayed = []
        try:
            while True:
                await asyncio.sleep(self.interval * self.rng.uniform(0.97, 1.03))
                if self.group.paused and not self.queues_reports:
                    continue  # the sums keep growing
                now = time.monotonic()
                if not self.sums and not self.op_counts:
                    continue
                pair = (self.load_report(now - began), self.usage_report(now - began))
                began = now
                if self.group.paused:
                    delayed = [*delayed, pair][-200:]  # the queue is bounded: the oldest are dropped
                    continue
                due = [*delayed, pair]
                delayed = []
                for one in due:
                    if self.rng.random() < LATE_PROBABILITY:
                        asyncio.create_task(
                            self.write_later(calls, one, 2 * self.interval * self.rng.random())
                        )
                        continue
                    times = self.flood if self.flood > 1 else 1 + (self.rng.random() < DUPLICATE_PROBABILITY)
                    for _ in range(times):
                        await self.write(calls, one)
        finally:
            for task in readers:
                task.cancel()

    async def write_later(self, calls, pair, seconds):
        await asyncio.sleep(seconds)
        await self.write(calls, pair)

    async def write(self, calls, pair):
        async with self.writing:
            for call, one in zip(calls, pair, strict=True):
                await call.write(one)

    async def read_intervals(self, call):
        while (answer := await call.read()) is not grpc.aio.EOF:
            self.interval = answer.load_reporting_interval.ToNanoseconds() / 1e9

    async def discard_answers(self, call):
        while await call.read() is not grpc.aio.EOF:
            pass

    async def run_forever(self, method):
        """Runs a stream's method again whenever its stream breaks."""
        while True:
            try:
                await method()
            except (grpc.RpcError, asyncio.InvalidStateError, grpc.aio.UsageError):
                pass
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))


class ReporterGroup:
    """All reporters of this process, and the true totals of their ops."""

    def __init__(self, settings):
        self.site, self.zones, self.mix, self.rate = (
            settings[key] for key in ("site", "zones", "mix", "rate")
        )
        self.settings = settings
        self.factor = 1.0
        self.paused = False
        self.reporters = []
        self.ops = self.acked = 0
        self.servers = defaultdict(lambda: [0, 0.0])

    def count_op(self, server, failed, duration):
        self.ops += 1
        if not failed:
            self.acked += 1
            sums = self.servers[server]
            sums[0] += 1
            sums[1] += duration

    async def run(self):
        options = [("grpc.use_local_subchannel_pool", 1)]
        channels = []
        for index in range(self.settings["count"]):
            if index % REPORTERS_PER_CHANNEL == 0:
                channels = [
                    grpc.aio.insecure_channel(self.settings[name], options=options)
                    for name in ("tables", "reports")
                ]
            self.reporters.append(Reporter(self, self.settings["first"] + index, *channels))
        tasks = [
            asyncio.create_task(one.run_forever(method))
            for one in self.reporters
            for method in (one.follow, one.report)
        ]
        tasks += [asyncio.create_task(self.read_updates()), asyncio.create_task(self.print_totals())]
        before = time.monotonic()
        while True:
            await asyncio.sleep(WORK_INTERVAL_S)
            now = time.monotonic()
            for one in self.reporters:
                one.generate_ops(now - before)
            before = now

    async def print_totals(self):
        while True:
            await asyncio.sleep(0.5)
            print(
                json.dumps(
                    {"t": time.monotonic(), "ops": self.ops, "acked": self.acked, "servers": self.servers}
                ),
                flush=True,
            )

    async def read_updates(self):
        """Applies changes from standard input: `factor` of the rate, `paused`, `flood`, `flood_all`."""
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            update = json.loads(line)
            self.factor = update.get("factor", self.factor)
            self.paused = update.get("paused", self.paused)
            for one in self.reporters if "flood_all" in update else ():
                one.flood = int(update["flood_all"])
            if "flood" in update and self.reporters and self.settings["first"] == 0:
                self.reporters[0].flood = int(update["flood"])


if __name__ == "__main__":
    asyncio.run(ReporterGroup(json.loads(sys.stdin.readline())).run())
