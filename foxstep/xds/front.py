"""The gRPC front: aggregated discovery, load reporting and quotas on one port, for one host."""

import asyncio
from contextlib import suppress
from hashlib import blake2b
from zlib import crc32

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from envoy.type.v3 import ratelimit_strategy_pb2

from foxstep.intake.pace import StreamRateLimiter
from foxstep.xds import load_reports, resources
from foxstep.xds.cancellation import with_timeout
from foxstep.xds.delta import DeltaSession
from foxstep.xds.session import Session, TooManyNames

SECOND_US = 1_000_000
HANDSHAKE_TIMEOUT_S = 10.0  # from the start of a stream to its first request
WRITE_TIMEOUT_S = 30.0  # after which the stream of a client that reads nothing is ended
MAX_REPORT_BYTES = 4 * 1024 * 1024
ANSWERS_TIMEOUT_FRACTION = 0.1  # of the grace: until a redirected client has answered all responses
UNLIMITED_RATE = 1_000_000  # ops a second: a rate level from here on rejects nothing
QUOTAS_FEATURE = "foxstep.quotas"  # client feature: rate levels reach it as quota assignments
HOME_FEATURE = "foxstep.home"  # client feature: it dials the controller that the stream's end names
HOME_METADATA_KEY = "foxstep-home"  # trailing metadata: address of the controller to dial
TABLES_FEATURE = "foxstep.tables"  # client feature: it checks the base and result hashes of a change
# Order of preference of the type whose response carries the marks.
MARK_CARRIER_ORDER = [
    resources.ENDPOINT_TYPE,
    resources.ASSIGNMENT_TYPE,
    resources.ROUTES_TYPE,
    resources.CLUSTER_TYPE,
]
MAX_NODE_ID_LENGTH = 64
# Kinds of reports.
TRIES = "tries"
USAGE = "usage"


class StreamEnded(Exception):
    """This side ends the stream; the text is the reason."""


class DiscoveryStream:
    """One proxy's discovery stream, which the host writes to as a `live.host.ProxyStream`."""

    def __init__(self, front, node, incremental):
        metadata = node.metadata.fields
        reported_rate = metadata["rate"].number_value if "rate" in metadata else 0.0
        self.front = front
        self.ident = node.id
        self.zone = node.locality.zone
        self.rate = min(max(reported_rate, 0.0), UNLIMITED_RATE)
        self.supports_quotas = QUOTAS_FEATURE in node.client_features
        self.held_version = metadata["holds"].string_value if "holds" in metadata else ""
        self.incremental = incremental
        self.accepts_redirect = HOME_FEATURE in node.client_features
        self.redirect_address = ""
        epoch = front.host.epoch
        if incremental:
            self.session = DeltaSession(
                self.render_versioned, self.weights, epoch, TABLES_FEATURE in node.client_features
            )
        else:
            self.session = Session(self.render, epoch, self.table_version)
        self.holding = None
        self.end_reason = ""
        self.wakeup = anyio.Event()
        self.reported_rates = {}  # index of an op type -> ops a second, as last reported

    # -- as a stream of the host

    def deliver(self, holding, message):
        type_urls = []
        lines = (
            message.lines
            or message.withdrawn
            or message.tables
            or message.emptied
            or message.whole
            or message.target_table
        )
        levels = self.levels_as_drops() and message.levels
        if message.tables and not self.supports_quotas:
            type_urls.append(resources.CLUSTER_TYPE)
        if (lines and not self.incremental) or levels:
            type_urls.append(resources.ASSIGNMENT_TYPE)
        if lines and self.incremental:
            type_urls.append(resources.ENDPOINT_TYPE)
        if message.levels or message.whole:
            type_urls.append(resources.ROUTES_TYPE)
        if message.levels or message.whole or self.holding is not holding:
            self.front.levels_changed(self.ident)
        self.holding = holding
        # A mark requires an ACK, so the table is written for it even if only rates have changed.
        if message.marks and not type_urls:
            type_urls.append(resources.ENDPOINT_TYPE if self.incremental else resources.ASSIGNMENT_TYPE)
        type_urls.sort(key=MARK_CARRIER_ORDER.index)
        stamp = (message.first_ordered_at, message.cost)
        if self.incremental:
            self.session.schedule(type_urls, message.marks, stamp, message.whole)
        else:
            self.session.schedule(type_urls, message.marks, stamp)
        self.wakeup.set()

    def end(self, reason):
        self.end_reason = self.end_reason or reason
        self.wakeup.set()

    def redirect(self, address):
        """Ends the stream and redirects the client to the controller at `address`.

        Only for clients with the feature `HOME_FEATURE`.
        """
        self.redirect_address = address
        self.end("its home is another controller")

    # -- as resources

    def levels_as_drops(self):
        """Whether levels are written as drops: shares always, rates if the client doesn't support quotas."""
        kind = self.front.site["level"]
        return kind == "share" or (kind == "rate" and not self.supports_quotas)

    def assignment_name(self, index):
        """Returns the name of the assignment that an op type's cluster refers to."""
        one_table = self.holding is None or len(set(self.holding.tables)) == 1
        op_types = self.front.op_types
        return (
            resources.SHARED_ASSIGNMENT
            if one_table and not self.levels_as_drops()
            else op_types[index]["name"]
        )

    def admitted_share(self, index):
        """Returns the fraction of an op type's ops to admit, or None if its level isn't written as drops."""
        level = self.levels_as_drops() and self.holding.level_of(index)
        if not level:
            return None
        if self.front.site["level"] == "share":
            return level[0]
        reported_rate = self.reported_rates.get(index, 0.0)
        return min(1.0, level[0] / reported_rate) if reported_rate else None

    def tries(self, index):
        """Returns the retry setting of an op type, a key of `resources.RETRY_POLICIES`."""
        level = self.holding and self.holding.level_of(index)
        usual = self.front.site["usual_tries"] if level is None else level[1]
        return self.front.host.allowed_tries(index, usual)

    def table_version(self, type_url):
        table = self.holding.target_table if type_url == resources.ASSIGNMENT_TYPE and self.holding else None
        return table.name() if table else None

    def weights(self):
        """Returns (server -> weight, table's name) that the client is to hold.

        Only meaningful if all op types share one table.
        """
        if self.holding is None or self.holding.target_table is None:
            return {}, None
        return self.holding.lines_of(0) or {}, self.holding.target_table.name()

    def render_versioned(self, type_url, names):
        """Returns name -> (version, message), for an incremental session."""
        if type_url == resources.ENDPOINT_TYPE:
            pattern = resources.collection_name(self.front.site_name, resources.SHARED_ASSIGNMENT)
            weights = self.weights()[0]
            if pattern not in names or self.holding is None or not weights:
                return None
            return {
                resources.endpoint_name(pattern, s): (
                    str(resources.thousandths(w)),
                    resources.endpoint_of(s, w),
                )
                for s, w in weights.items()
            }
        messages = self.render(type_url, names)
        if type_url == resources.ASSIGNMENT_TYPE:
            messages = {
                name: resources.with_collection(message, self.front.site_name)
                for name, message in messages.items()
            }
        return {
            name: (blake2b(message.SerializeToString(deterministic=True), digest_size=8).hexdigest(), message)
            for name, message in messages.items()
        }

    def render(self, type_url, names):
        """Returns name -> message of the resources of a type among `names`."""
        front, site_name = self.front, self.front.site_name
        if type_url == resources.LISTENER_TYPE:
            return {site_name: resources.listener(site_name)} if site_name in names else {}
        if type_url == resources.ROUTES_TYPE:
            routes = resources.routes(site_name, front.op_types, self.tries)
            return {site_name: routes} if site_name in names else {}
        if type_url == resources.CLUSTER_TYPE:
            return {
                o["name"]: resources.cluster(o["name"], self.assignment_name(k))
                for k, o in enumerate(front.op_types)
                if "*" in names or o["name"] in names
            }
        assignments = {}
        for index, op_type in enumerate(front.op_types):
            for name in (op_type["name"], resources.SHARED_ASSIGNMENT):
                weights = self.holding and name in names and self.holding.lines_of(index)
                if weights is not None and weights is not False and name not in assignments:
                    share = self.admitted_share(index) if name != resources.SHARED_ASSIGNMENT else None
                    assignments[name] = resources.assignment_of(
                        name, weights, front.zone_of, site_name, share
                    )
        return assignments

    async def write_all(self, context):
        """Writes responses as they become due. Raises StreamEnded once the stream is ended."""
        while not self.end_reason:
            while (response := self.session.next_response()) is not None:
                await with_timeout(WRITE_TIMEOUT_S, context.write(response))
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                await self.wakeup.wait()
            self.wakeup = anyio.Event()
        if self.redirect_address:
            await self.wait_for_answers()
        raise StreamEnded(self.end_reason)

    async def wait_for_answers(self):
        """Waits until the client has answered all responses, for a small part of the grace at most.

        A client whose answer crosses the end of the stream can lose the stream's status, and the redirect
        with it: grpcio replaces the status by INTERNAL when a write fails.
        """
        with anyio.move_on_after(ANSWERS_TIMEOUT_FRACTION * self.front.site["grace"] / SECOND_US):
            while any(subscription.unanswered for subscription in self.session.subscriptions.values()):
                await self.wakeup.wait()
                self.wakeup = anyio.Event()


class ReportStream:
    """One proxy's load report stream: requests reports, and again whenever their interval changes."""

    def __init__(self, front, ident):
        self.front = front
        self.wakeup = anyio.Event()
        self.requested_interval = None
        self.jitter = crc32(ident.encode()) / 2**32

    async def write_all(self, context):
        while True:
            interval = self.front.host.intake.pace.proxy_interval(self.jitter)
            if interval != self.requested_interval:
                self.requested_interval = interval
                response = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                response.load_reporting_interval.FromMicroseconds(interval)
                await with_timeout(WRITE_TIMEOUT_S, context.write(response))
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                await self.wakeup.wait()
            self.wakeup = anyio.Event()


class QuotaStream:
    """One proxy's quota stream: levels as quota assignments."""

    def __init__(self, front):
        self.front = front
        self.ident = None
        self.op_types = {}  # names of the op types that the proxy has buckets for, as an ordered set
        self.sent = {}  # op type -> quota as last written; None: unlimited
        self.wakeup = anyio.Event()

    def response(self):
        """Returns the assignments that differ from those sent, or None if there are none.

        A proxy may still hold levels of a previous controller. On a new stream every assignment is therefore
        sent, also those that admit everything.
        """
        stream = self.front.streams.get(self.ident)
        response = rlqs_pb2.RateLimitQuotaResponse()
        if stream is None or stream.holding is None:
            return None  # this controller has not written to the proxy yet: its assignments stay in force
        for op_type in self.op_types:
            index = self.front.op_type_index[op_type]
            level = stream.holding.level_of(index)
            quota = None if level is None or level[0] >= UNLIMITED_RATE else level[0]
            if op_type in self.sent and self.sent[op_type] == quota:
                continue
            self.sent[op_type] = quota
            action = response.bucket_action.add()
            action.bucket_id.bucket.update({"proxy": self.ident, "op_type": op_type})
            strategy = action.quota_assignment_action.rate_limit_strategy
            if quota is None:
                strategy.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL
            elif quota <= 0:
                strategy.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.DENY_ALL
            else:
                # One op every 1 / quota seconds, with a burst of what one second admits.
                strategy.token_bucket.max_tokens = max(1, round(quota))
                strategy.token_bucket.tokens_per_fill.value = 1
                strategy.token_bucket.fill_interval.FromNanoseconds(round(1e9 / quota))
        return response if response.bucket_action else None

    async def write_all(self, context):
        while True:
            while self.ident and (response := self.response()) is not None:
                await with_timeout(WRITE_TIMEOUT_S, context.write(response))
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                await self.wakeup.wait()
            self.wakeup = anyio.Event()


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
