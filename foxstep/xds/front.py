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

from foxstep.intake.pace import Turnstile
from foxstep.xds import loads, resources
from foxstep.xds.delta import DeltaSession
from foxstep.xds.session import Session, TooMany
from foxstep.xds.waits import within

SECOND = 1_000_000
FIRST_WORD = 10.0  # seconds within which a new stream has to say who it is
WRITE_WITHIN = 30.0  # seconds after which a reader that takes nothing is let go
MOST_REPORT = 4 * 1024 * 1024
OPEN_RATE = 1_000_000  # a rate that turns nothing away
QUOTAS = "foxstep.quotas"  # client feature: levels reach it by quota assignments
HOMES = "foxstep.home"  # client feature: it dials where a stream's end sends it
HOME = "foxstep-home"  # trailing metadata that says where
TABLES = "foxstep.tables"  # client feature: it checks what a change builds on and comes to
FIRST = [resources.LINE, resources.LINES, resources.ROUTES, resources.CLUSTER]  # which carries a mark
NODE_MOST = 64
TRIES, USAGE = "tries", "usage"  # kinds of reports


class Ended(Exception):
    """A stream that this side ends, and why."""


class Stream:
    """One proxy's discovery stream: the host's outlet for it."""

    def __init__(self, front, node, incremental):
        facts = node.metadata.fields
        told = facts["rate"].number_value if "rate" in facts else 0.0
        self.front, self.ident, self.zone = front, node.id, node.locality.zone
        self.rate, self.quotas = min(max(told, 0.0), OPEN_RATE), QUOTAS in node.client_features
        self.holds = facts["holds"].string_value if "holds" in facts else ""
        self.incremental, self.goes_home, self.home = incremental, HOMES in node.client_features, ""
        epoch = front.host.epoch
        if incremental:
            self.session = DeltaSession(self.render_each, self.weights, epoch, TABLES in node.client_features)
        else:
            self.session = Session(self.render, epoch, self.version_of)
        self.holding, self.ended, self.stirred = None, "", anyio.Event()
        self.came = {}  # op type's place -> ops a second, as last reported

    # -- as an outlet of the host

    def deliver(self, holding, message):
        kinds = []
        lines = (
            message.lines
            or message.shut
            or message.tables
            or message.emptied
            or message.whole
            or message.meant
        )
        levels = self.levels_in_lines() and message.levels
        if message.tables and not self.quotas:
            kinds.append(resources.CLUSTER)
        if (lines and not self.incremental) or levels:
            kinds.append(resources.LINES)
        if lines and self.incremental:
            kinds.append(resources.LINE)
        if message.levels or message.whole:
            kinds.append(resources.ROUTES)
        if message.levels or message.whole or self.holding is not holding:
            self.front.levels_changed(self.ident)
        self.holding = holding
        # A mark asks for an answer: the table is written for it even where only rates have changed.
        if message.marks and not kinds:
            kinds.append(resources.LINE if self.incremental else resources.LINES)
        kinds.sort(key=FIRST.index)
        stamp = (message.first_at, message.cost)
        if self.incremental:
            self.session.due(kinds, message.marks, stamp, message.whole)
        else:
            self.session.due(kinds, message.marks, stamp)
        self.stirred.set()

    def end(self, reason):
        self.ended = self.ended or reason
        self.stirred.set()

    def send_home(self, address):
        """Ends the stream and says which controller to dial; only for clients that know of homes."""
        self.home = address
        self.end("its home is another controller")

    # -- as resources

    def levels_in_lines(self):
        """Whether levels go out as drops: always as shares, as rates where the client speaks no quotas."""
        kind = self.front.site["level"]
        return kind == "share" or (kind == "rate" and not self.quotas)

    def assignment(self, place):
        """The name of the assignment that an op type's cluster points to."""
        one_table = self.holding is None or len(set(self.holding.tables)) == 1
        names = self.front.op_types
        return resources.EVERY if one_table and not self.levels_in_lines() else names[place]["name"]

    def share(self, place):
        level = self.levels_in_lines() and self.holding.level_of(place)
        if not level:
            return None
        if self.front.site["level"] == "share":
            return level[0]
        came = self.came.get(place, 0.0)
        return min(1.0, level[0] / came) if came else None

    def tries(self, place):
        level = self.holding and self.holding.level_of(place)
        usual = self.front.site["usual_tries"] if level is None else level[1]
        return self.front.host.allowed_tries(place, usual)

    def version_of(self, kind):
        meant = self.holding.meant if kind == resources.LINES and self.holding else None
        return meant.name() if meant else None

    def weights(self):
        """(server -> weight, name of the table) that the client is to hold, where all op types share one."""
        if self.holding is None or self.holding.meant is None:
            return {}, None
        return self.holding.lines_of(0) or {}, self.holding.meant.name()

    def render_each(self, kind, names):
        """For an incremental session: name -> (version, message)."""
        if kind == resources.LINE:
            pattern = resources.collection(self.front.site_name, resources.EVERY)
            weights = self.weights()[0]
            if pattern not in names or self.holding is None or not weights:
                return None
            return {
                resources.line_name(pattern, s): (str(resources.thousandths(w)), resources.line(s, w))
                for s, w in weights.items()
            }
        made = self.render(kind, names)
        if kind == resources.LINES:
            made = {name: resources.levels_only(one, self.front.site_name) for name, one in made.items()}
        return {
            name: (blake2b(message.SerializeToString(deterministic=True), digest_size=8).hexdigest(), message)
            for name, message in made.items()
        }

    def render(self, kind, names):
        front, site_name = self.front, self.front.site_name
        if kind == resources.LISTENER:
            return {site_name: resources.listener(site_name)} if site_name in names else {}
        if kind == resources.ROUTES:
            made = resources.routes(site_name, front.op_types, self.tries)
            return {site_name: made} if site_name in names else {}
        if kind == resources.CLUSTER:
            return {
                o["name"]: resources.cluster(o["name"], self.assignment(k))
                for k, o in enumerate(front.op_types)
                if "*" in names or o["name"] in names
            }
        made = {}
        for place, op_type in enumerate(front.op_types):
            for name in (op_type["name"], resources.EVERY):
                weights = self.holding and name in names and self.holding.lines_of(place)
                if weights is not None and weights is not False and name not in made:
                    share = self.share(place) if name != resources.EVERY else None
                    made[name] = resources.lines(name, weights, front.zone_of, site_name, share)
        return made

    async def write_all(self, context):
        """Writes responses as they become due, until the stream is ended."""
        while not self.ended:
            while (response := self.session.next_response()) is not None:
                await within(WRITE_WITHIN, context.write(response))
            with anyio.move_on_after(WRITE_WITHIN):
                await self.stirred.wait()
            self.stirred = anyio.Event()
        raise Ended(self.ended)


class ReportStream:
    """One proxy's load reports: asks for them, and anew when they are wanted more or less often."""

    def __init__(self, front, ident):
        self.front, self.stirred, self.asked = front, anyio.Event(), None
        self.chance = crc32(ident.encode()) / 2**32

    async def write_all(self, context):
        while True:
            every = self.front.host.intake.pace.interval(self.chance)
            if every != self.asked:
                self.asked = every
                answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                answer.load_reporting_interval.FromMicroseconds(every)
                await within(WRITE_WITHIN, context.write(answer))
            with anyio.move_on_after(WRITE_WITHIN):
                await self.stirred.wait()
            self.stirred = anyio.Event()


class QuotaStream:
    """One proxy's quota stream: levels as assignments."""

    def __init__(self, front):
        self.front, self.ident = front, None
        self.op_types, self.sent, self.stirred = {}, {}, anyio.Event()

    def response(self):
        """Assignments that differ from those sent, or None. Guards against levels of a former controller's
        that the proxy still holds: on a new stream all is said anew, also that all is let in."""
        stream = self.front.streams.get(self.ident)
        made = rlqs_pb2.RateLimitQuotaResponse()
        if stream is None or stream.holding is None:
            return None  # nothing of ours has reached it yet: what it holds stands
        for op_type in self.op_types:
            place = self.front.place_of[op_type]
            level = stream.holding.level_of(place)
            quota = None if level is None or level[0] >= OPEN_RATE else level[0]
            if op_type in self.sent and self.sent[op_type] == quota:
                continue
            self.sent[op_type] = quota
            action = made.bucket_action.add()
            action.bucket_id.bucket.update({"proxy": self.ident, "op_type": op_type})
            strategy = action.quota_assignment_action.rate_limit_strategy
            if quota is None:
                strategy.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL
            elif quota <= 0:
                strategy.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.DENY_ALL
            else:
                # One op each 1 / quota seconds, and what one second lets in at a time.
                strategy.token_bucket.max_tokens = max(1, round(quota))
                strategy.token_bucket.tokens_per_fill.value = 1
                strategy.token_bucket.fill_interval.FromNanoseconds(round(1e9 / quota))
        return made if made.bucket_action else None

    async def write_all(self, context):
        while True:
            while self.ident and (response := self.response()) is not None:
                await within(WRITE_WITHIN, context.write(response))
            with anyio.move_on_after(WRITE_WITHIN):
                await self.stirred.wait()
            self.stirred = anyio.Event()


class Front(
    ads_pb2_grpc.AggregatedDiscoveryServiceServicer,
    lrs_pb2_grpc.LoadReportingServiceServicer,
    rlqs_pb2_grpc.RateLimitQuotaServiceServicer,
):
    """`op_types`: plain maps with `name` and, where stated, the gRPC `method` and `try_wait`."""

    def __init__(self, host, site_name, op_types):
        self.host, self.site, self.site_name, self.op_types = host, host.site, site_name, op_types
        self.place_of = {o["name"]: k for k, o in enumerate(op_types)}
        self.streams, self.quota_streams, self.report_streams = {}, {}, {}
        host.reader.read.update({TRIES: self.read_tries, USAGE: self.read_usage})
        host.asked_anew = self.asked_anew

    def zone_of(self, server):
        line = self.host.listed_lines.get(server)
        return line[1] if line else ""

    def levels_changed(self, ident):
        quotas = self.quota_streams.get(ident)
        if quotas:
            quotas.stirred.set()

    def add_to(self, server):
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        lrs_pb2_grpc.add_LoadReportingServiceServicer_to_server(self, server)
        rlqs_pb2_grpc.add_RateLimitQuotaServiceServicer_to_server(self, server)

    async def first_word(self, requests, context):
        with suppress(TimeoutError):
            return await within(FIRST_WORD, anext(requests, None))
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "nothing said on this stream")

    async def both(self, reading, writing, context):
        """Reads and writes until either ends; what is left of the other is cancelled."""
        reason = "closed by the client"

        async def read(scope):
            await reading
            scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(read, group.cancel_scope)
                group.start_soon(writing, context)
        except* Ended as ended:
            reason = str(ended.exceptions[0])
        except* TimeoutError:
            reason = f"took nothing for {WRITE_WITHIN:.0f} s"
        except* TooMany as many:
            reason = str(many.exceptions[0])
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
        first = await self.first_word(requests, context)
        if first is None:
            return
        if not 0 < len(first.node.id) <= NODE_MOST:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f"node.id of 1 to {NODE_MOST} bytes wanted, got {len(first.node.id)}",
            )
        ident, stream = first.node.id, Stream(self, first.node, incremental)
        self.streams[ident] = stream
        if incremental:
            told, fresh = stream.holds, not first.initial_resource_versions
        else:
            told = first.version_info if first.type_url == resources.LINES else ""
            fresh = not first.version_info
        self.host.joined(ident, stream.zone, stream.rate, fresh, stream, told)
        reason = "cancelled"
        try:
            self.heed(stream, first)
            reason = await self.both(self.read_requests(stream, requests), stream.write_all, context)
        finally:
            self.host.left(ident, stream, reason)
            if self.streams.get(ident) is stream:
                del self.streams[ident]
        if reason not in ("closed by the client", "broken"):
            if stream.home:
                context.set_trailing_metadata(((HOME, stream.home),))
            await context.abort(grpc.StatusCode.ABORTED, reason)

    async def read_requests(self, stream, requests):
        async for request in requests:
            self.heed(stream, request)

    def heed(self, stream, request):
        answer = stream.session.ask(request)
        if answer and answer[0] == "refused":
            self.host.refused(stream.ident, stream, *answer[1:])
        elif answer:
            self.host.applied(stream.ident, stream, *answer[1:])
        stream.stirred.set()

    # -- load reports

    async def StreamLoadStats(self, request_iterator, context):
        requests = aiter(request_iterator)
        first = await self.first_word(requests, context)
        if first is None:
            return
        asking = ReportStream(self, first.node.id)
        self.report_streams[asking] = None
        try:
            await self.both(self.take_reports(first, requests), asking.write_all, context)
        finally:
            del self.report_streams[asking]

    async def take_reports(self, first, requests):
        ident, zone, request = first.node.id, first.node.locality.zone, first
        turnstile = Turnstile(self.host.clock())
        while request is not None:
            stream = self.streams.get(ident)
            if stream and request.cluster_stats:  # of joined ones only: others are another controller's
                self.host.reader.offer(
                    self.host.clock(), ident, zone, TRIES, (stream, request), loads.size(request)
                )
            if wait := self.host.intake.pace.take(self.host.clock(), turnstile):
                await anyio.sleep(wait / SECOND)
            request = await anext(requests, None)

    def read_tries(self, came, ident, told, step, first, lost):
        stream, request = told
        if self.streams.get(ident) is not stream:
            return
        quotas_told = ident in self.quota_streams
        loads.read_tries(
            self.host.intake,
            came,
            ident,
            stream.zone,
            request,
            self.place_of,
            quotas_told,
            step,
            first,
            lost,
            self.host.latencies.note,
        )
        if not stream.quotas:
            for stats in request.cluster_stats:
                self.note_rate(stream, stats)

    def note_rate(self, stream, stats):
        window = loads.micros(stats.load_report_interval)
        if stats.cluster_name in self.place_of and window > 0:
            issued = sum(s.total_issued_requests for s in stats.upstream_locality_stats)
            stream.came[self.place_of[stats.cluster_name]] = (
                (issued + stats.total_dropped_requests) * SECOND / window
            )

    def read_usage(self, came, ident, told, step, first, lost):
        stream = self.streams.get(ident)
        if stream:
            loads.read_usage(self.host.intake, came, ident, stream.zone, told, self.place_of, lost)

    def asked_anew(self):
        for asking in self.report_streams:
            asking.stirred.set()

    # -- quotas

    async def StreamRateLimitQuotas(self, request_iterator, context):
        requests, quotas = aiter(request_iterator), QuotaStream(self)
        first = await self.first_word(requests, context)
        if first is None:
            return

        def heed(report):
            for usage in report.bucket_quota_usages:
                ident = usage.bucket_id.bucket.get("proxy", "")
                if quotas.ident is None and ident:
                    quotas.ident = ident
                    self.quota_streams[ident] = quotas
            if quotas.ident:
                quotas.op_types.update(dict.fromkeys(loads.buckets(report, self.place_of)))
                quotas.stirred.set()
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
            turnstile = Turnstile(self.host.clock())
            async for report in requests:
                heed(report)
                if wait := self.host.intake.pace.take(self.host.clock(), turnstile):
                    await anyio.sleep(wait / SECOND)

        heed(first)
        try:
            await self.both(read(), quotas.write_all, context)
        finally:
            if quotas.ident and self.quota_streams.get(quotas.ident) is quotas:
                del self.quota_streams[quotas.ident]
