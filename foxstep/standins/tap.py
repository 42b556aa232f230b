"""A tap between proxies and a controller: relays their gRPC streams, records each message, can cut them.

It parses the public messages itself and shares no code with the controller.
"""

import asyncio

import anyio
import grpc
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
DELTA = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
RLQS = "/envoy.service.rate_limit_quota.v3.RateLimitQuotaService/StreamRateLimitQuotas"
HOME = "foxstep-home"  # where a stream's end sends a proxy
BROKEN = (grpc.RpcError, grpc.aio.UsageError, grpc.aio.InternalError, asyncio.InvalidStateError)


FORMS = {ADS: discovery_pb2.DiscoveryRequest, DELTA: discovery_pb2.DeltaDiscoveryRequest}


class Tap(grpc.GenericRpcHandler):
    """Every stream to `target` goes here. `cut` proxies reach nothing; `late` proxies' reports wait."""

    def __init__(self, record, target, number=0, notice=1_000):
        self.record = record
        self.target = target
        self.notice = notice
        self.first_stream = number * 10_000_000
        self.cut = set()
        self.late = {}
        self.mute = set()
        self.poison = set()
        self.server = None
        self.port = 0
        self.upstream = None
        self.streams = self.first_stream
        self.why = ""  # the last stream's break
        self.lost = {}  # proxy -> events that end its streams

    async def start(self):
        self.server = grpc.aio.server(
            options=[
                ("grpc.so_reuseport", 0),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 50),
                ("grpc.http2.max_ping_strikes", 0),
            ]
        )
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        self.upstream = grpc.aio.insecure_channel(
            self.target,
            options=[
                ("grpc.initial_reconnect_backoff_ms", 200),
                ("grpc.max_reconnect_backoff_ms", 500),
                ("grpc.keepalive_time_ms", self.notice),
                ("grpc.keepalive_timeout_ms", 2 * self.notice),
                ("grpc.http2.ping_timeout_ms", 2 * self.notice),
                ("grpc.http2.max_pings_without_data", 0),
            ],
        )

    def cut_off(self, proxy):
        self.cut.add(proxy)
        for event in self.lost.get(proxy, ()):
            event.set()

    def service(self, details):
        if details.method not in (ADS, DELTA, LRS, RLQS):
            return None

        async def handle(requests, context):
            await self.relay(details.method, requests, context)

        return grpc.stream_stream_rpc_method_handler(handle)

    async def relay(self, method, requests, context):
        requests = aiter(requests)
        first = await anext(requests, None)
        if first is None:
            return
        proxy = self.name_of(method, first)
        if proxy in self.cut:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut off")
        self.streams += 1
        stream = self.streams
        lost = anyio.Event()
        self.lost.setdefault(proxy, []).append(lost)
        call = self.upstream.stream_stream(method)()
        if method in (ADS, DELTA):
            self.record("joined", proxy=proxy, stream=stream)
        lines = {}  # of an incremental stream, as the client holds them if it takes all
        if method == DELTA:
            held = discovery_pb2.DeltaDiscoveryRequest.FromString(first).initial_resource_versions
            lines.update({name.rpartition("/")[2]: float(weight) for name, weight in held.items()})

        async def up(scope):
            request = first
            while request is not None:
                if method in (ADS, DELTA):
                    request = self.note_request(proxy, stream, request, FORMS[method])
                elif method == LRS:
                    self.record(
                        "report",
                        proxy=proxy,
                        size=len(request),
                        lines=len(lrs_pb2.LoadStatsRequest.FromString(request).cluster_stats),
                    )
                if method in (LRS, RLQS) and proxy in self.late:
                    await anyio.sleep(self.late[proxy])
                if request:
                    await call.write(request)
                request = await anext(requests, None)
            await call.done_writing()
            scope.cancel()

        async def down(scope):
            while (answer := await call.read()) is not grpc.aio.EOF:
                if method == DELTA:
                    self.note_change(proxy, stream, answer, lines)
                else:
                    self.note_answer(method, proxy, stream, answer)
                await context.write(answer)
            scope.cancel()

        async def listen(scope):
            await lost.wait()
            scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                for task in (up, down, listen):
                    group.start_soon(task, group.cancel_scope)
        except* BROKEN as broken:
            self.why = repr(broken.exceptions[0])
            for end in broken.exceptions:
                if isinstance(end, grpc.aio.AioRpcError):
                    context.set_trailing_metadata(
                        [(name, value) for name, value in end.trailing_metadata() or () if name == HOME]
                    )
        finally:
            call.cancel()
            self.lost[proxy].remove(lost)
            if method in (ADS, DELTA):
                self.record("parted", proxy=proxy, stream=stream)
        await context.abort(grpc.StatusCode.UNAVAILABLE, "the stream broke")

    def name_of(self, method, first):
        if method in FORMS:
            return FORMS[method].FromString(first).node.id
        if method == LRS:
            return lrs_pb2.LoadStatsRequest.FromString(first).node.id
        report = rlqs_pb2.RateLimitQuotaUsageReports.FromString(first)
        return next((u.bucket_id.bucket.get("proxy", "") for u in report.bucket_quota_usages), "")

    def note_request(self, proxy, stream, data, form):
        """Records an answer to a response. A muted proxy's never arrives, a poisoned one's is a refusal."""
        request = form.FromString(data)
        if not request.response_nonce:
            return data
        if proxy in self.mute:
            return b""
        if proxy in self.poison:
            request.error_detail.message = "refused on purpose"
            data = request.SerializeToString()
        self.record(
            "answer",
            proxy=proxy,
            stream=stream,
            kind=request.type_url.rpartition(".")[2],
            nonce=request.response_nonce,
            refusal=request.error_detail.message,
        )
        return data

    def note_change(self, proxy, stream, data, lines):
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        kind = response.type_url.rpartition(".")[2]
        name, _, rest = response.system_version_info.partition(" ")
        self.record(
            "written",
            proxy=proxy,
            stream=stream,
            kind=kind,
            nonce=response.nonce,
            version=name,
            size=len(data),
        )
        if kind == "RouteConfiguration":
            for resource in response.resources:
                self.note_ways(proxy, resource.resource)
        if kind != "LbEndpoint":
            return
        if rest.startswith("- "):
            lines.clear()
        for resource in response.resources:
            line = endpoint_components_pb2.LbEndpoint()
            resource.resource.Unpack(line)
            lines[resource.name.rpartition("/")[2]] = float(line.load_balancing_weight.value)
        for gone in response.removed_resources:
            lines.pop(gone.rpartition("/")[2], None)
        self.record(
            "table",
            proxy=proxy,
            stream=stream,
            nonce=response.nonce,
            name="every-op-type",
            servers=list(lines),
            weights=list(lines.values()),
            dropped=0.0,
        )

    def note_ways(self, proxy, resource):
        tries = route_pb2.RouteConfiguration()
        if resource.Unpack(tries):
            for route in tries.virtual_hosts[0].routes:
                again = route.route.retry_policy
                self.record(
                    "way",
                    proxy=proxy,
                    op_type=route.name,
                    retry_on=again.retry_on,
                    retries=again.num_retries.value,
                )

    def note_answer(self, method, proxy, stream, data):
        if method == RLQS:
            for action in rlqs_pb2.RateLimitQuotaResponse.FromString(data).bucket_action:
                strategy = action.quota_assignment_action.rate_limit_strategy
                fill = strategy.token_bucket.fill_interval
                every = fill.seconds + fill.nanos / 1e9
                self.record(
                    "quota",
                    proxy=proxy,
                    op_type=action.bucket_id.bucket.get("op_type", ""),
                    rate=1 / every if every else -1.0,
                    blanket=strategy.blanket_rule,
                )
            return
        if method != ADS:
            return
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        kind = response.type_url.rpartition(".")[2]
        self.record(
            "written",
            proxy=proxy,
            stream=stream,
            kind=kind,
            nonce=response.nonce,
            version=response.version_info,
            size=len(data),
        )
        for resource in response.resources:
            table = endpoint_pb2.ClusterLoadAssignment()
            if resource.Unpack(table):
                dropped = sum(d.drop_percentage.numerator for d in table.policy.drop_overloads)
                self.record(
                    "table",
                    proxy=proxy,
                    stream=stream,
                    nonce=response.nonce,
                    name=table.cluster_name,
                    servers=[e.locality.sub_zone for e in table.endpoints],
                    weights=[float(e.load_balancing_weight.value) for e in table.endpoints],
                    dropped=float(dropped),
                )
            else:
                self.note_ways(proxy, resource)
