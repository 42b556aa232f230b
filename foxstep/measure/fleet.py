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

from foxstep.operate.service import INSPECT, ask
from foxstep.operate.service import TABLES as TABLES_OF
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES
from foxstep.standins.lists import ListService
from foxstep.xds import resources
from foxstep.xds.front import QUOTAS_FEATURE, TABLES_FEATURE

clock = time.monotonic
SITE = os.path.join(EXAMPLES, "measured.jsonnet")
TICKS = os.sysconf("SC_CLK_TCK")
PROXIES_A_CHANNEL = 25
LAG_MS = 50.0


def used(pid):
    """(CPU seconds, resident MiB) of a process so far."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS, resident / 1024


class Client:
    """A proxy that accepts every table, counts it, and reports as it is told."""

    def __init__(self, channel, ident, zone):
        self.channel, self.node = channel, resources.node(ident, zone, rate=5.0)
        self.node.client_features.append(QUOTAS_FEATURE)
        self.held, self.tables, self.size, self.changed_size, self.changed = {}, 0, 0, 0, 0
        self.reports = None

    async def follow_changes(self):
        """The incremental form: accepts every change."""
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
            if self.held:
                self.tables += 1
                self.size += response.ByteSize()
                self.changed += len(response.resources) + len(response.removed_resources)
            for resource in response.resources:
                self.held[resource.name.rpartition("/")[2]] = resource.version
            for name in response.removed_resources:
                self.held.pop(name.rpartition("/")[2], None)

    async def follow(self):
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
            made = endpoint_pb2.ClusterLoadAssignment()
            response.resources[0].Unpack(made)
            lines = {e.locality.sub_zone: e.SerializeToString() for e in made.endpoints}
            changed = [s for s, line in lines.items() if self.held.get(s) != line]
            gone = [s for s in self.held if s not in lines]
            if self.held:
                self.tables += 1
                self.size += response.ByteSize()
                self.changed += len(changed) + len(gone)
                self.changed_size += sum(len(lines[s]) for s in changed) + sum(len(s) for s in gone)
            self.held = lines

    async def open_reports(self):
        self.reports = lrs_pb2_grpc.LoadReportingServiceStub(self.channel).StreamLoadStats()
        await self.reports.write(lrs_pb2.LoadStatsRequest(node=self.node))
        await self.reports.read()

    async def report(self, names, tries=5):
        """One report of an even use of all that it holds; answers how many lines it was."""
        request = lrs_pb2.LoadStatsRequest(node=self.node)
        for name in names:
            stats = request.cluster_stats.add(cluster_name=name)
            stats.load_report_interval.seconds = 1
            for server in self.held:
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
        return len(names) * len(self.held)


async def one_size(proxies, servers, seconds, incremental=False):
    """The figures of one size as a map; a controller of its own."""
    path, site = SITE, read_site(SITE, proxies=proxies)
    names, zones = [o.name for o in site.op_types], site.zones
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
            for _ in range(-(-proxies // PROXIES_A_CHANNEL))
        ]
        clients = [
            Client(channels[k // PROXIES_A_CHANNEL], f"p{k}", zones[k % len(zones)]) for k in range(proxies)
        ]
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(lists.run)
                await anyio.sleep(1.0)
                began = clock()
                for client in clients:
                    group.start_soon(client.follow_changes if incremental else client.follow)
                with anyio.fail_after(120):
                    while not all(client.held for client in clients):
                        await anyio.sleep(0.05)
                figures["all_joined_s"] = clock() - began
                await orders(figures, address, controller, lists, idents, zones, clients, seconds)
                await roll_back(figures, address)
                if not incremental:
                    await reports(figures, address, clients, names, seconds)
                group.cancel_scope.cancel()
        finally:
            await end(controller, channels, lists)
    return figures


async def end(controller, channels, lists):
    """Ends a controller's process, its clients' channels and its list service, also when all is cancelled."""
    with anyio.CancelScope(shield=True):
        controller.terminate()
        await anyio.to_thread.run_sync(controller.wait)
        for channel in channels:
            await channel.close()
        await lists.server.stop(None)


async def orders(figures, address, controller, lists, idents, zones, clients, seconds):
    """One server after another drains and comes back, twice a second."""
    before, _ = used(controller.pid)
    view = await ask(address, INSPECT)
    sent, began, k = view["channel"], clock(), 0
    while clock() - began < seconds:
        out, back = idents[k % len(idents)], idents[(k - 1) % len(idents)]
        lists.set(back, zones[(k - 1) % len(idents) % len(zones)], "plain", "open", at_once=True)
        lists.set(out, zones[k % len(idents) % len(zones)], "plain", "draining", at_once=True)
        k += 1
        await anyio.sleep(0.5)
    await anyio.sleep(1.0)
    view, (after, resident) = await ask(address, INSPECT), used(controller.pid)
    answer, lines = view["order_to_answer_ms"], view["channel"]
    messages = lines["sent_messages"] - sent["sent_messages"]
    figures |= {f"answer_{p}_ms": answer[p] for p in ("p50", "p99", "p99.9")}
    figures |= {
        "cpu_part": (after - before) / (clock() - began),
        "resident_mib": resident,
        "messages": messages,
        "lines_changes": lines["sent_lines"] - sent["sent_lines"],
        "lines_whole": messages * 5 + sum(len(c.held) * c.tables for c in clients),
        "bytes_written": sum(c.size for c in clients),
        "bytes_changes": sum(c.changed_size for c in clients),
        "most_waiting": lines["most_waiting"],
        "backlog": lines["backlog"],
    }


async def roll_back(figures, address):
    """Back to a version of some seconds ago, and until all hold it."""
    versions = (await ask(address, TABLES_OF["list"], {"most": 1000}))["versions"]
    began = clock()
    made = await ask(
        address, TABLES_OF["rollback"], {"scope": "fleet", "version": versions[len(versions) // 2]["version"]}
    )
    with anyio.fail_after(60):
        while True:
            found = (await ask(address, TABLES_OF["progress"]))["rollbacks"][-1]
            if found["state"] == "done" and found["settled"] >= found["covered"]:
                break
            await anyio.sleep(0.01)
    figures |= {"converged_s": clock() - began, "bound_s": made["bound_ms"] / 1000, "report_lines_per_s": 0}


async def reports(figures, address, clients, names, seconds):
    """Reports at a rate that doubles until the controller's loop is late by more than LAG_MS."""
    for client in clients:
        await client.open_reports()
    rate, best = 1000.0, 0.0
    while rate <= 2_000_000:
        taken = (await ask(address, INSPECT, {"brief": True}))["intake"]["taken"]
        began, told, k = clock(), 0, 0
        while clock() - began < max(seconds / 4, 2.0):
            if told < (clock() - began) * rate:
                told += await clients[k % len(clients)].report(names)
                k += 1
            else:
                await anyio.sleep(0.002)
        took = clock() - began
        view = await ask(address, INSPECT, {"brief": True}, within=30)
        figures["lag_ms"], got = view["lag_ms"], (view["intake"]["taken"] - taken) / took
        if view["lag_ms"] > LAG_MS or got < rate * 0.7:
            break
        best, rate = got, rate * 2
    figures["report_lines_per_s"] = best


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
    click.echo("| form | " + " | ".join(name for name, _ in COLUMNS) + " |")
    click.echo("|" + " --- |" * (len(COLUMNS) + 1))
    for size in sizes:
        for form, incremental in (("whole", False), ("changes", True)):
            figures = anyio.run(one_size, size, servers, seconds, incremental)
            told = " | ".join(shape.format(figures[name]) for name, shape in COLUMNS)
            click.echo(f"| {form} | {told} |")
