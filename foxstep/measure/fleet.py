"""`foxstep measure`: order to acceptance, CPU, memory and report intake at several sizes, in one run."""

import os
import subprocess
import sys
import tempfile
import time

import anyio
import click
import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc

from foxstep.operate.service import INSPECT_METHOD, TABLE_METHODS, call_controller
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES
from foxstep.standins.list_service import ListService
from foxstep.xds import resources
from foxstep.xds.protocol import QUOTAS_FEATURE, TABLES_FEATURE

clock = time.monotonic
SITE = os.path.join(EXAMPLES, "measured.jsonnet")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROXIES_PER_CHANNEL = 25
MAX_LAG_MS = 50.0  # the load of reports is raised until the event loop lags by more


def process_usage(pid):
    """Returns the CPU seconds that a process has used and its resident memory in MiB."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, resident / 1024


class Client:
    """A discovery client that accepts and counts every table, and sends reports on demand.

    `lines` maps each server of its current table to its line. The counters leave out the first table.
    """

    def __init__(self, channel, ident, zone):
        self.channel = channel
        self.node = resources.node(ident, zone, rate=5.0)
        self.node.client_features.append(QUOTAS_FEATURE)
        self.lines = {}
        self.tables = 0
        self.received_bytes = 0
        self.changed_bytes = 0
        self.changed_lines = 0
        self.reports = None

    async def follow_changes(self):
        """Follows the tables in the incremental form, and accepts every change."""
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.channel).DeltaAggregatedResources()
        self.node.client_features.append(TABLES_FEATURE)
        await call.write(
            discovery_pb2.DeltaDiscoveryRequest(
                node=self.node,
                type_url=resources.ENDPOINT_TYPE,
                resource_names_subscribe=[resources.collection_name("measured", resources.SHARED_ASSIGNMENT)],
            )
        )
        while (response := await call.read()) is not grpc.aio.EOF:
            await call.write(
                discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
            )
            if self.lines:
                self.tables += 1
                self.received_bytes += response.ByteSize()
                self.changed_lines += len(response.resources) + len(response.removed_resources)
            for resource in response.resources:
                self.lines[resource.name.rpartition("/")[2]] = resource.version
            for name in response.removed_resources:
                self.lines.pop(name.rpartition("/")[2], None)

    async def follow_tables(self):
        """Follows the tables in the whole form, and accepts every table."""
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.channel).StreamAggregatedResources()
        await call.write(
            discovery_pb2.DiscoveryRequest(
                node=self.node,
                type_url=resources.ASSIGNMENT_TYPE,
                resource_names=[resources.SHARED_ASSIGNMENT],
            )
        )
        while (response := await call.read()) is not grpc.aio.EOF:
            await call.write(
                discovery_pb2.DiscoveryRequest(
                    type_url=response.type_url,
                    resource_names=[resources.SHARED_ASSIGNMENT],
                    version_info=response.version_info,
                    response_nonce=response.nonce,
                )
            )
            assignment = endpoint_pb2.ClusterLoadAssignment()
            response.resources[0].Unpack(assignment)
            lines = {e.locality.sub_zone: e.SerializeToString() for e in assignment.endpoints}
            changed = [s for s, line in lines.items() if self.lines.get(s) != line]
            removed = [s for s in self.lines if s not in lines]
            if self.lines:
                self.tables += 1
                self.received_bytes += response.ByteSize()
                self.changed_lines += len(changed) + len(removed)
                self.changed_bytes += sum(len(lines[s]) for s in changed) + sum(len(s) for s in removed)
            self.lines = lines

    async def open_reports(self):
        self.reports = lrs_pb2_grpc.LoadReportingServiceStub(self.channel).StreamLoadStats()
        await self.reports.write(lrs_pb2.LoadStatsRequest(node=self.node))
        await self.reports.read()

    async def report(self, names, tries=5):
        """Sends one report with the same number of tries for each server of its table.

        Returns the number of lines in it.
        """
        request = lrs_pb2.LoadStatsRequest(node=self.node)
        for name in names:
            stats = request.cluster_stats.add(cluster_name=name)
            stats.load_report_interval.seconds = 1
            for server in self.lines:
                locality = stats.upstream_locality_stats.add(
                    total_successful_requests=tries, total_issued_requests=tries
                )
                locality.locality.sub_zone = server
                locality.load_metric_stats.add(
                    metric_name="foxstep.latency_us",
                    num_requests_finished_with_metric=tries,
                    total_metric_value=tries * 150_000.0,
                )
        await self.reports.write(request)
        return len(names) * len(self.lines)


async def measure_size(proxies, servers, seconds, incremental=False):
    """Measures one size of fleet with a controller of its own; returns the figures by name."""
    path = SITE
    site = read_site(SITE, proxies=proxies)
    names = [o.name for o in site.op_types]
    zones = site.zones
    lists = ListService(lambda *_, **__: None, clock, 0.0)
    await lists.start()
    idents = [f"127.0.1.{k // 200 + 1}:{7000 + k}" for k in range(servers)]
    for k, ident in enumerate(idents):
        lists.set(ident, zones[k % len(zones)], "plain", "open", at_once=True)
    figures = {"proxies": proxies, "servers": servers}
    with tempfile.TemporaryFile("w+") as log:
        controller = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "foxstep",
                "--log",
                "json",
                "--level",
                "warning",
                "serve",
                path,
                "--outside",
                f"proxies={proxies}",
                "--listen",
                "127.0.0.1:0",
                "--tell",
                "--list",
                f"127.0.0.1:{lists.port}",
            ],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
        )
        address = (await anyio.to_thread.run_sync(controller.stdout.readline)).strip()
        channels = [
            grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1)])
            for _ in range(-(-proxies // PROXIES_PER_CHANNEL))
        ]
        clients = [
            Client(channels[k // PROXIES_PER_CHANNEL], f"p{k}", zones[k % len(zones)]) for k in range(proxies)
        ]
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(lists.run)
                await anyio.sleep(1.0)
                began = clock()
                for client in clients:
                    group.start_soon(client.follow_changes if incremental else client.follow_tables)
                with anyio.fail_after(120):
                    while not all(client.lines for client in clients):
                        await anyio.sleep(0.05)
                figures["all_joined_s"] = clock() - began
                await measure_orders(figures, address, controller, lists, idents, zones, clients, seconds)
                await measure_rollback(figures, address)
                if not incremental:
                    await measure_reports(figures, address, clients, names, seconds)
                group.cancel_scope.cancel()
        finally:
            await stop_all(controller, channels, lists)
    return figures


async def stop_all(controller, channels, lists):
    """Stops a controller, its clients' channels and its list service, even if the task is cancelled."""
    with anyio.CancelScope(shield=True):
        controller.terminate()
        await anyio.to_thread.run_sync(controller.wait)
        for channel in channels:
            await channel.close()
        await lists.server.stop(None)


async def measure_orders(figures, address, controller, lists, idents, zones, clients, seconds):
    """Measures orders while one server after the other drains and returns, twice a second."""
    before, _ = process_usage(controller.pid)
    state = await call_controller(address, INSPECT_METHOD)
    sent = state["channel"]
    began = clock()
    k = 0
    while clock() - began < seconds:
        draining, returning = idents[k % len(idents)], idents[(k - 1) % len(idents)]
        lists.set(returning, zones[(k - 1) % len(idents) % len(zones)], "plain", "open", at_once=True)
        lists.set(draining, zones[k % len(idents) % len(zones)], "plain", "draining", at_once=True)
        k += 1
        await anyio.sleep(0.5)
    await anyio.sleep(1.0)
    state = await call_controller(address, INSPECT_METHOD)
    after, resident = process_usage(controller.pid)
    answer = state["order_to_answer_ms"]
    channel = state["channel"]
    messages = channel["sent_messages"] - sent["sent_messages"]
    figures |= {f"answer_{p}_ms": answer[p] for p in ("p50", "p99", "p99.9")}
    figures |= {
        "cpu_part": (after - before) / (clock() - began),
        "resident_mib": resident,
        "messages": messages,
        "lines_changes": channel["sent_lines"] - sent["sent_lines"],
        "lines_whole": messages * 5 + sum(len(c.lines) * c.tables for c in clients),
        "bytes_written": sum(c.received_bytes for c in clients),
        "bytes_changes": sum(c.changed_bytes for c in clients),
        "most_waiting": channel["most_waiting"],
        "backlog": channel["backlog"],
    }


async def measure_rollback(figures, address):
    """Rolls the fleet back to a version of some seconds ago, and measures until all proxies hold it."""
    versions = (await call_controller(address, TABLE_METHODS["list"], {"most": 1000}))["versions"]
    began = clock()
    answer = await call_controller(
        address,
        TABLE_METHODS["rollback"],
        {"scope": "fleet", "version": versions[len(versions) // 2]["version"]},
    )
    with anyio.fail_after(60):
        while True:
            rollback = (await call_controller(address, TABLE_METHODS["progress"]))["rollbacks"][-1]
            if rollback["state"] == "done" and rollback["settled"] >= rollback["covered"]:
                break
            await anyio.sleep(0.01)
    figures |= {"converged_s": clock() - began, "bound_s": answer["bound_ms"] / 1000, "report_lines_per_s": 0}


async def measure_reports(figures, address, clients, names, seconds):
    """Sends reports at a rate that doubles until the controller no longer keeps up.

    That is when its event loop lags by more than MAX_LAG_MS or it reads less than 70% of the lines.
    """
    for client in clients:
        await client.open_reports()
    rate = 1000.0
    best = 0.0
    while rate <= 2_000_000:
        taken = (await call_controller(address, INSPECT_METHOD, {"brief": True}))["intake"]["taken"]
        began = clock()
        sent_lines = 0
        k = 0
        while clock() - began < max(seconds / 4, 2.0):
            if sent_lines < (clock() - began) * rate:
                sent_lines += await clients[k % len(clients)].report(names)
                k += 1
            else:
                await anyio.sleep(0.002)
        took = clock() - began
        state = await call_controller(address, INSPECT_METHOD, {"brief": True}, timeout_s=30)
        figures["lag_ms"] = state["lag_ms"]
        read_rate = (state["intake"]["taken"] - taken) / took
        if state["lag_ms"] > MAX_LAG_MS or read_rate < rate * 0.7:
            break
        best = read_rate
        rate = rate * 2
    figures["report_lines_per_s"] = best


# The columns of the printed table: figure and format.
COLUMNS = [
    ("proxies", "{:.0f}"),
    ("all_joined_s", "{:.2f}"),
    ("answer_p50_ms", "{:.1f}"),
    ("answer_p99_ms", "{:.1f}"),
    ("answer_p99.9_ms", "{:.1f}"),
    ("cpu_part", "{:.3f}"),
    ("resident_mib", "{:.0f}"),
    ("messages", "{:.0f}"),
    ("lines_changes", "{:.0f}"),
    ("lines_whole", "{:.0f}"),
    ("bytes_written", "{:.0f}"),
    ("bytes_changes", "{:.0f}"),
    ("most_waiting", "{:.0f}"),
    ("converged_s", "{:.2f}"),
    ("bound_s", "{:.2f}"),
    ("report_lines_per_s", "{:.0f}"),
]


def run(sizes, servers, seconds):
    """Prints a table with the figures of each size, for whole tables and for changes."""
    click.echo("| form | " + " | ".join(name for name, _ in COLUMNS) + " |")
    click.echo("|" + " --- |" * (len(COLUMNS) + 1))
    for size in sizes:
        for form, incremental in (("whole", False), ("changes", True)):
            figures = anyio.run(measure_size, size, servers, seconds, incremental)
            cells = " | ".join(template.format(figures[name]) for name, template in COLUMNS)
            click.echo(f"| {form} | {cells} |")
