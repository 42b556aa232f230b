"""Server probes: one out-of-band load report requested from a server (ORCA, `OpenRcaService`).

Source: xds.service.orca.v3.OpenRcaService.
"""

import asyncio

import anyio
import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

from foxstep.xds.cancellation import is_stray_cancellation

METHOD = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"
SECOND_US = 1_000_000
MAX_CONCURRENT_PROBES = 64
OUTCOME_BY_STATUS = {
    grpc.StatusCode.RESOURCE_EXHAUSTED: "rejected",
    grpc.StatusCode.DEADLINE_EXCEEDED: "silent",
    grpc.StatusCode.UNAVAILABLE: "unreachable",
    grpc.StatusCode.CANCELLED: "broken",
}


def load_of(report):
    """Returns an ORCA report under the names of the decision module, or None if it has no known field.

    A field that the report leaves out is unknown, not zero. Unset fields of this message read as zero, so a
    `cpu_utilization` of zero is used only if the report has another known metric.
    """
    load = {name: value for name, value in report.named_metrics.items() if name in ("waiting", "holding")}
    if report.cpu_utilization or load:
        load["busy"] = report.cpu_utilization
    return load or None


class Prober:
    """Carries out the host's probes, `MAX_CONCURRENT_PROBES` at a time, each with a timeout in seconds."""

    def __init__(self, host, timeout_s=1.0):
        self.host = host
        self.timeout_s = timeout_s
        self.send, self.receive = anyio.create_memory_object_stream(max_buffer_size=1024)
        self.channels = {}
        host.probe = self.probe

    def probe(self, server):
        """Queues a probe; if the queue is full, its outcome is "aborted" at once."""
        try:
            self.send.send_nowait(server)
        except anyio.WouldBlock:
            self.host.probed(server, "aborted", 0, None)

    async def run(self):
        limit = anyio.Semaphore(MAX_CONCURRENT_PROBES)
        try:
            async with anyio.create_task_group() as group:
                async for server in self.receive:
                    await limit.acquire()
                    group.start_soon(self.probe_once, server, limit)
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.3):
                for channel in self.channels.values():
                    await channel.close()

    def channel(self, server):
        if server not in self.channels:
            options = [("grpc.initial_reconnect_backoff_ms", 200), ("grpc.max_reconnect_backoff_ms", 1000)]
            self.channels[server] = grpc.aio.insecure_channel(server, options=options)
        return self.channels[server]

    async def probe_once(self, server, limit):
        started = self.host.clock()
        load = None
        try:
            call = self.channel(server).unary_stream(
                METHOD,
                request_serializer=orca_pb2.OrcaLoadReportRequest.SerializeToString,
                response_deserializer=orca_load_report_pb2.OrcaLoadReport.FromString,
            )(orca_pb2.OrcaLoadReportRequest(), timeout=self.timeout_s)
            report = await call.read()
            call.cancel()
            outcome = "aborted" if report is grpc.aio.EOF else "acked"
            load = load_of(report) if outcome == "acked" else None
        except grpc.RpcError as error:
            outcome = OUTCOME_BY_STATUS.get(error.code(), "aborted")
        except asyncio.InvalidStateError:
            outcome = "broken"
        except asyncio.CancelledError:
            if not is_stray_cancellation():
                raise
            outcome = "broken"
        finally:
            limit.release()
        line = self.host.listed_lines.get(server)
        if line is None or line[4] == "gone":
            unused_channel = self.channels.pop(server, None)
            if unused_channel:
                await unused_channel.close()
        self.host.probed(server, outcome, self.host.clock() - started, load)
