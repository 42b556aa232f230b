"""A gRPC relay between proxies and a controller: passes on streams, records messages and injects faults.

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
REDIRECT_METADATA = "foxstep-home"  # trailing metadata that redirects a proxy
STREAM_ERRORS = (grpc.RpcError, grpc.aio.UsageError, grpc.aio.InternalError, asyncio.InvalidStateError)


REQUEST_TYPES = {ADS: discovery_pb2.DiscoveryRequest, DELTA: discovery_pb2.DeltaDiscoveryRequest}


class StreamRelay(grpc.GenericRpcHandler):
    """Relays all streams to the controller at `target`.

    Faults by proxy: `cut` (its streams fail), `late` (seconds by which its reports are delayed), `mute` (its
    ACKs and NACKs are dropped), `poison` (its answers become NACKs). `number` separates the stream numbers of
    several relays. `keepalive_ms`: HTTP/2 keepalive interval towards the controller.
    """

    def __init__(self, record, target, number=0, keepalive_ms=1_000):
        self.record = record
        self.target = target
        self.keepalive_ms = keepalive_ms
        self.first_stream = number * 10_000_000
        self.cut = set()
        self.late = {}
        self.mute = set()
        self.poison = set()
        self.server = None
        self.port = 0
        self.upstream = None
        self.streams = self.first_stream
        self.last_error = ""  # why the last stream broke
        self.disconnects = {}  # proxy -> events that disconnect its streams

    async def start(self):
        """Listens on a free port and opens the channel to the controller."""
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
                ("grpc.keepalive_time_ms", self.keepalive_ms),
                ("grpc.keepalive_timeout_ms", 2 * self.keepalive_ms),
                ("grpc.http2.ping_timeout_ms", 2 * self.keepalive_ms),
                ("grpc.http2.max_pings_without_data", 0),
            ],
        )

    def cut_off(self, proxy):
        """Ends a proxy's streams and refuses new ones."""
        self.cut.add(proxy)
        for event in self.disconnects.get(proxy, ()):
            event.set()

    def service(self, details):
        """gRPC's lookup of the handler of a method."""
        if details.method not in (ADS, DELTA, LRS, RLQS):
            return None

        async def handle(requests, context):
            await self.relay(details.method, requests, context)

        return grpc.stream_stream_rpc_method_handler(handle)

    async def relay(self, method, requests, context):
        """Relays one stream until either side ends it or the proxy is cut off."""
        requests = aiter(requests)
        first = await anext(requests, None)
        if first is None:
            return
        proxy = self.proxy_of(method, first)
        if proxy in self.cut:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut off")
        self.streams += 1
        stream = self.streams
        lost = anyio.Event()
        self.disconnects.setdefault(proxy, []).append(lost)
        call = self.upstream.stream_stream(method)()
        if method in (ADS, DELTA):
            self.record("joined", proxy=proxy, stream=stream)
        lines = {}  # incremental stream: the table that the client has if it accepts everything
        if method == DELTA:
            held = discovery_pb2.DeltaDiscoveryRequest.FromString(first).initial_resource_versions
            lines.update({name.rpartition("/")[2]: float(weight) for name, weight in held.items()})

        async def forward_requests(scope):
            request = first
            while request is not None:
                if method in (ADS, DELTA):
                    request = self.record_request(proxy, stream, request, REQUEST_TYPES[method])
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

        async def forward_responses(scope):
            while (answer := await call.read()) is not grpc.aio.EOF:
                if method == DELTA:
                    self.record_change(proxy, stream, answer, lines)
                else:
                    self.record_response(method, proxy, stream, answer)
                await context.write(answer)
            scope.cancel()

        async def wait_for_disconnect(scope):
            await lost.wait()
            scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                for task in (forward_requests, forward_responses, wait_for_disconnect):
                    group.start_soon(task, group.cancel_scope)
        except* STREAM_ERRORS as broken:
            self.last_error = repr(broken.exceptions[0])
            for end in broken.exceptions:
                if isinstance(end, grpc.aio.AioRpcError):
                    context.set_trailing_metadata(
                        [
                            (name, value)
                            for name, value in end.trailing_metadata() or ()
                            if name == REDIRECT_METADATA
                        ]
                    )
        finally:
            call.cancel()
            self.disconnects[proxy].remove(lost)
            if method in (ADS, DELTA):
                self.record("parted", proxy=proxy, stream=stream)
        await context.abort(grpc.StatusCode.UNAVAILABLE, "the stream broke")

    def proxy_of(self, method, first):
        """The proxy's name in the first message of a stream."""
        if method in REQUEST_TYPES:
            return REQUEST_TYPES[method].FromString(first).node.id
        if method == LRS:
            return lrs_pb2.LoadStatsRequest.FromString(first).node.id
        report = rlqs_pb2.RateLimitQuotaUsageReports.FromString(first)
        return next((u.bucket_id.bucket.get("proxy", "") for u in report.bucket_quota_usages), "")

    def record_request(self, proxy, stream, data, request_type):
        """Records an ACK or NACK and returns the bytes to pass on: none if `mute`, a NACK if `poison`."""
        request = request_type.FromString(data)
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

    def record_change(self, proxy, stream, data, lines):
        """Records an incremental response and the table that it leads to."""
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
                self.record_retry_policies(proxy, resource.resource)
        if kind != "LbEndpoint":
            return
        if rest.startswith("- "):
            lines.clear()
        for resource in response.resources:
            line = endpoint_components_pb2.LbEndpoint()
            resource.resource.Unpack(line)
            lines[resource.name.rpartition("/")[2]] = float(line.load_balancing_weight.value)
        for removed in response.removed_resources:
            lines.pop(removed.rpartition("/")[2], None)
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

    def record_retry_policies(self, proxy, resource):
        """Records the retry policy of each route."""
        routes = route_pb2.RouteConfiguration()
        if resource.Unpack(routes):
            for route in routes.virtual_hosts[0].routes:
                policy = route.route.retry_policy
                self.record(
                    "way",
                    proxy=proxy,
                    op_type=route.name,
                    retry_on=policy.retry_on,
                    retries=policy.num_retries.value,
                )

    def record_response(self, method, proxy, stream, data):
        """Records quota assignments and state-of-the-world responses with their tables."""
        if method == RLQS:
            for action in rlqs_pb2.RateLimitQuotaResponse.FromString(data).bucket_action:
                strategy = action.quota_assignment_action.rate_limit_strategy
                fill = strategy.token_bucket.fill_interval
                fill_interval_s = fill.seconds + fill.nanos / 1e9
                self.record(
                    "quota",
                    proxy=proxy,
                    op_type=action.bucket_id.bucket.get("op_type", ""),
                    rate=1 / fill_interval_s if fill_interval_s else -1.0,
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
            assignment = endpoint_pb2.ClusterLoadAssignment()
            if resource.Unpack(assignment):
                dropped = sum(d.drop_percentage.numerator for d in assignment.policy.drop_overloads)
                self.record(
                    "table",
                    proxy=proxy,
                    stream=stream,
                    nonce=response.nonce,
                    name=assignment.cluster_name,
                    servers=[e.locality.sub_zone for e in assignment.endpoints],
                    weights=[float(e.load_balancing_weight.value) for e in assignment.endpoints],
                    dropped=float(dropped),
                )
            else:
                self.record_retry_policies(proxy, resource)
