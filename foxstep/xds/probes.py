"""Probes: one out-of-band load report asked of a server (ORCA, xds.service.orca.v3.OpenRcaService)."""

import asyncio

import anyio
import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

from foxstep.xds.waits import stray

METHOD = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"
SECOND = 1_000_000
MOST_AT_ONCE = 64
OUTCOMES = {
    grpc.StatusCode.RESOURCE_EXHAUSTED: "rejected",
    grpc.StatusCode.DEADLINE_EXCEEDED: "silent",
    grpc.StatusCode.UNAVAILABLE: "unreachable",
    grpc.StatusCode.CANCELLED: "broken",
}


def load_of(report):
    """A server's report under our names; a field that it leaves out is unknown. Unset fields of this message
    read as zero, so a busy part of zero is only believed beside another figure."""
    load = {name: value for name, value in report.named_metrics.items() if name in ("waiting", "holding")}
    if report.cpu_utilization or load:
        load["busy"] = report.cpu_utilization
    return load or None


class Prober:
    """Carries out the host's probes, at most so many at once, each within `within` seconds."""

    def __init__(self, host, within=1.0):
        self.host, self.within = host, within
        self.send, self.asked = anyio.create_memory_object_stream(max_buffer_size=1024)
        self.channels = {}
        host.probe = self.probe

    def probe(self, server):
        try:
            self.send.send_nowait(server)
        except anyio.WouldBlock:
            self.host.probed(server, "aborted", 0, None)

    async def run(self):
        limit = anyio.Semaphore(MOST_AT_ONCE)
        try:
            async with anyio.create_task_group() as group:
                async for server in self.asked:
                    await limit.acquire()
                    group.start_soon(self.one, server, limit)
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.3):
                for channel in self.channels.values():
                    await channel.close()

    def channel(self, server):
        if server not in self.channels:
            options = [("grpc.initial_reconnect_backoff_ms", 200), ("grpc.max_reconnect_backoff_ms", 1000)]
            self.channels[server] = grpc.aio.insecure_channel(server, options=options)
        return self.channels[server]

    async def one(self, server, limit):
        started, load = self.host.clock(), None
        try:
            call = self.channel(server).unary_stream(
                METHOD,
                request_serializer=orca_pb2.OrcaLoadReportRequest.SerializeToString,
                response_deserializer=orca_load_report_pb2.OrcaLoadReport.FromString,
            )(orca_pb2.OrcaLoadReportRequest(), timeout=self.within)
            report = await call.read()
            call.cancel()
            outcome = "aborted" if report is grpc.aio.EOF else "acked"
            load = load_of(report) if outcome == "acked" else None
        except grpc.RpcError as error:
            outcome = OUTCOMES.get(error.code(), "aborted")
        except asyncio.InvalidStateError:
            outcome = "broken"
        except asyncio.CancelledError:
            if not stray():
                raise
            outcome = "broken"
        finally:
            limit.release()
        line = self.host.listed_lines.get(server)
        if line is None or line[4] == "gone":
            gone = self.channels.pop(server, None)
            if gone:
                await gone.close()
        self.host.probed(server, outcome, self.host.clock() - started, load)
