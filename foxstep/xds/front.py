"""The gRPC front: aggregated discovery, load reporting and quotas on one port, for one host."""

import asyncio
from contextlib import suppress

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2_grpc

from foxstep.intake.pace import StreamRateLimiter
from foxstep.xds import load_reports, resources
from foxstep.xds.cancellation import with_timeout
from foxstep.xds.discovery_stream import DiscoveryStream, StreamEnded
from foxstep.xds.protocol import HOME_METADATA_KEY
from foxstep.xds.quota_stream import QuotaStream
from foxstep.xds.report_stream import ReportStream
from foxstep.xds.response_stream import WRITE_TIMEOUT_S
from foxstep.xds.session import TooManyNames

SECOND_US = 1_000_000
HANDSHAKE_TIMEOUT_S = 10.0  # from the start of a stream to its first request
MAX_REPORT_BYTES = 4 * 1024 * 1024
MAX_NODE_ID_LENGTH = 64
# Kinds of reports.
TRIES = "tries"
USAGE = "usage"


class Front(
    ads_pb2_grpc.AggregatedDiscoveryServiceServicer,
    lrs_pb2_grpc.LoadReportingServiceServicer,
    rlqs_pb2_grpc.RateLimitQuotaServiceServicer,
):
    """The servicer of all three services.

    `op_types`: plain maps with `name` and, where set, the gRPC `method` and `try_wait`.
    """

    def __init__(self, host, site_name, op_types):
        self.host = host
        self.site = host.site
        self.site_name = site_name
        self.op_types = op_types
        self.op_type_index = {o["name"]: k for k, o in enumerate(op_types)}
        self.streams, self.quota_streams, self.report_streams = {}, {}, {}
        host.reader.handlers.update({TRIES: self.read_tries, USAGE: self.read_usage})
        host.on_report_interval_changed = self.report_interval_changed

    def zone_of(self, server):
        line = self.host.listed_lines.get(server)
        return line[1] if line else ""

    def levels_changed(self, ident):
        """Makes a proxy's quota stream write its changed levels."""
        quotas = self.quota_streams.get(ident)
        if quotas:
            quotas.wakeup.set()

    def add_to(self, server):
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        lrs_pb2_grpc.add_LoadReportingServiceServicer_to_server(self, server)
        rlqs_pb2_grpc.add_RateLimitQuotaServiceServicer_to_server(self, server)

    async def read_first_request(self, requests, context):
        """Returns a new stream's first request; None if the stream ended. Aborts it after the timeout."""
        with suppress(TimeoutError):
            return await with_timeout(HANDSHAKE_TIMEOUT_S, anext(requests, None))
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "nothing said on this stream")

    async def run_until_either_ends(self, reading, writing, context):
        """Reads and writes until either ends, then cancels the other. Returns why the stream ends."""
        reason = "closed by the client"

        async def read(scope):
            await reading
            scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(read, group.cancel_scope)
                group.start_soon(writing, context)
        except* StreamEnded as ended:
            reason = str(ended.exceptions[0])
        except* TimeoutError:
            reason = f"took nothing for {WRITE_TIMEOUT_S:.0f} s"
        except* TooManyNames as too_many:
            reason = str(too_many.exceptions[0])
        except* (grpc.aio.UsageError, grpc.aio.InternalError, grpc.RpcError, asyncio.InvalidStateError):
            reason = "broken"
        return reason

    # -- discovery

    async def StreamAggregatedResources(self, request_iterator, context):
        await self.discover(request_iterator, context, incremental=False)

    async def DeltaAggregatedResources(self, request_iterator, context):
        await self.discover(request_iterator, context, incremental=True)

    async def discover(self, request_iterator, context, incremental):
        requests = aiter(request_iterator)
        first = await self.read_first_request(requests, context)
        if first is None:
            return
        if not 0 < len(first.node.id) <= MAX_NODE_ID_LENGTH:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f"node.id of 1 to {MAX_NODE_ID_LENGTH} bytes wanted, got {len(first.node.id)}",
            )
        ident, stream = first.node.id, DiscoveryStream(self, first.node, incremental)
        self.streams[ident] = stream
        if incremental:
            held_version, fresh = stream.held_version, not first.initial_resource_versions
        else:
            held_version = first.version_info if first.type_url == resources.ASSIGNMENT_TYPE else ""
            fresh = not first.version_info
        self.host.joined(ident, stream.zone, stream.rate, fresh, stream, held_version)
        reason = "cancelled"
        try:
            self.handle_request(stream, first)
            reason = await self.run_until_either_ends(
                self.read_requests(stream, requests), stream.write_all, context
            )
        finally:
            self.host.left(ident, stream, reason)
            if self.streams.get(ident) is stream:
                del self.streams[ident]
        if reason not in ("closed by the client", "broken"):
            if stream.redirect_address:
                context.set_trailing_metadata(((HOME_METADATA_KEY, stream.redirect_address),))
            await context.abort(grpc.StatusCode.ABORTED, reason)

    async def read_requests(self, stream, requests):
        async for request in requests:
            self.handle_request(stream, request)

    def handle_request(self, stream, request):
        answer = stream.session.handle_request(request)
        if answer and answer[0] == "refused":
            self.host.refused(stream.ident, stream, *answer[1:])
        elif answer:
            self.host.applied(stream.ident, stream, *answer[1:])
        stream.wakeup.set()

    # -- load reports

    async def StreamLoadStats(self, request_iterator, context):
        requests = aiter(request_iterator)
        first = await self.read_first_request(requests, context)
        if first is None:
            return
        report_stream = ReportStream(self, first.node.id)
        self.report_streams[report_stream] = None
        try:
            await self.run_until_either_ends(
                self.receive_reports(first, requests), report_stream.write_all, context
            )
        finally:
            del self.report_streams[report_stream]

    async def receive_reports(self, first, requests):
        ident, zone, request = first.node.id, first.node.locality.zone, first
        limiter = StreamRateLimiter(self.host.clock())
        while request is not None:
            stream = self.streams.get(ident)
            # Only reports of joined proxies are read: other proxies report to another controller.
            if stream and request.cluster_stats:
                self.host.reader.offer(
                    self.host.clock(), ident, zone, TRIES, (stream, request), load_reports.line_count(request)
                )
            if delay := self.host.intake.pace.delay_after_report(self.host.clock(), limiter):
                await anyio.sleep(delay / SECOND_US)
            request = await anext(requests, None)

    def read_tries(self, received_at, ident, report, step, first, lost):
        stream, request = report
        if self.streams.get(ident) is not stream:
            return
        usage_by_quotas = ident in self.quota_streams
        load_reports.read_tries(
            self.host.intake,
            received_at,
            ident,
            stream.zone,
            request,
            self.op_type_index,
            usage_by_quotas,
            step,
            first,
            lost,
            self.host.latencies.record,
        )
        if not stream.supports_quotas:
            for stats in request.cluster_stats:
                self.record_rate(stream, stats)

    def record_rate(self, stream, stats):
        window = load_reports.duration_us(stats.load_report_interval)
        if stats.cluster_name in self.op_type_index and window > 0:
            issued = sum(s.total_issued_requests for s in stats.upstream_locality_stats)
            stream.reported_rates[self.op_type_index[stats.cluster_name]] = (
                (issued + stats.total_dropped_requests) * SECOND_US / window
            )

    def read_usage(self, received_at, ident, report, step, first, lost):
        stream = self.streams.get(ident)
        if stream:
            load_reports.read_usage(
                self.host.intake, received_at, ident, stream.zone, report, self.op_type_index, lost
            )

    def report_interval_changed(self):
        for report_stream in self.report_streams:
            report_stream.wakeup.set()

    # -- quotas

    async def StreamRateLimitQuotas(self, request_iterator, context):
        requests, quotas = aiter(request_iterator), QuotaStream(self)
        first = await self.read_first_request(requests, context)
        if first is None:
            return

        def handle_report(report):
            for usage in report.bucket_quota_usages:
                ident = usage.bucket_id.bucket.get("proxy", "")
                if quotas.ident is None and ident:
                    quotas.ident = ident
                    self.quota_streams[ident] = quotas
            if quotas.ident:
                quotas.op_types.update(
                    dict.fromkeys(load_reports.bucket_op_types(report, self.op_type_index))
                )
                quotas.wakeup.set()
                stream = self.streams.get(quotas.ident)
                if stream:
                    self.host.reader.offer(
                        self.host.clock(),
                        quotas.ident,
                        stream.zone,
                        USAGE,
                        report,
                        len(report.bucket_quota_usages),
                    )

        async def read():
            limiter = StreamRateLimiter(self.host.clock())
            async for report in requests:
                handle_report(report)
                if delay := self.host.intake.pace.delay_after_report(self.host.clock(), limiter):
                    await anyio.sleep(delay / SECOND_US)

        handle_report(first)
        try:
            await self.run_until_either_ends(read(), quotas.write_all, context)
        finally:
            if quotas.ident and self.quota_streams.get(quotas.ident) is quotas:
                del self.quota_streams[quotas.ident]
