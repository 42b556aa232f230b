"""The proxy's client of its controllers: tables by incremental xDS, load reports by LRS, quotas by RLQS.

When a stream breaks, the proxy keeps its table and reconnects, to the next controller if there are several.
"""

import asyncio
from contextlib import suppress
from zlib import crc32

import anyio
import grpc
import structlog
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from google.protobuf.message import DecodeError

from foxstep.proxy.retries import NEVER, ONCE, PROVEN, TWICE
from foxstep.proxy.table import ChangeRejected, StaleEpoch

TYPE_PREFIX = "type.googleapis.com/envoy.config."
ASSIGNMENT_TYPE = TYPE_PREFIX + "endpoint.v3.ClusterLoadAssignment"  # only its drop overloads are read
ROUTES_TYPE = TYPE_PREFIX + "route.v3.RouteConfiguration"
ENDPOINT_TYPE = TYPE_PREFIX + "endpoint.v3.LbEndpoint"
CLIENT_FEATURES = ["foxstep.quotas", "foxstep.tables", "foxstep.home"]
REDIRECT_METADATA = "foxstep-home"  # trailing metadata that names the controller to connect to next
US_PER_SECOND = 1_000_000
STREAM_ERRORS = (
    grpc.RpcError,
    grpc.aio.UsageError,
    grpc.aio.InternalError,
    asyncio.InvalidStateError,
    EOFError,
    TimeoutError,
)
CONNECT_TIMEOUT_S = 3.0
DEFAULT_REPORT_INTERVAL_S = 0.5  # until the controller has asked for an interval
MAX_REPORT_INTERVAL_S = 60.0
MAX_UNSENT_REQUESTS = 16  # on the stream of tables; beyond them no further response is read
DENY_ALL = 1


def retry_mode_of(policy):
    """The retry mode of a route's retry policy; unknown `retry_on` conditions are ignored."""
    words = set(policy.retry_on.split(","))
    proven = {"connect-failure", "refused-stream"}
    failure = {"reset", "unavailable"}
    if not policy.num_retries.value or not words & (proven | failure):
        return NEVER
    if not words & failure:
        return PROVEN
    return TWICE if policy.num_retries.value > 1 else ONCE


def admitted_share(policy):
    """The fraction of ops that is left after a policy's drop overloads, applied one after the other."""
    share = 1.0
    for overload in policy.drop_overloads:
        whole = (100, 10_000, 1_000_000)[min(overload.drop_percentage.denominator, 2)]
        share *= 1 - min(overload.drop_percentage.numerator / whole, 1.0)
    return share


def leaf_errors(group):
    """The errors in an exception group and in the groups that it contains."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from leaf_errors(error)
        else:
            yield error


class ControllerClient:
    """Connects to one controller at a time and applies its tables, retry modes and levels to `forwarder`.

    `rate`: ops per second of this proxy, which it sends to the controller. `clock` returns seconds.
    `redial_delay`: (min, max) seconds before connecting again. `stall_per_line`: seconds that the proxy
    forwards nothing for each table line that it receives. `keepalive_ms`: HTTP/2 keepalive interval; an
    unresponsive controller is noticed after three of them.
    """

    def __init__(
        self,
        ident,
        zone,
        rate,
        site_name,
        op_types,
        controllers,
        table,
        forwarder,
        clock,
        seed=0,
        redial_delay=(0.2, 1.0),
        stall_per_line=0.0,
        keepalive_ms=1_000,
    ):
        self.ident = ident
        self.zone = zone
        self.rate = rate
        self.site_name = site_name
        self.op_types = op_types
        self.controllers = controllers
        self.table = table
        self.forwarder = forwarder
        self.clock = clock
        self.seed = seed
        self.redial_delay = redial_delay
        self.stall_per_line = stall_per_line
        self.keepalive_ms = keepalive_ms
        self.pattern = f"xdstp:///envoy.config.endpoint.v3.LbEndpoint/{site_name}/every-op-type/*"
        self.dials = 0
        self.joined = False
        self.refusals = 0
        self.channels = {}
        self.avoid_until = {}  # controller -> time until which others are preferred
        self.failed_dials = 0  # consecutive connections on which no response came
        self.redirect_to = ""  # the controller that the last one redirected this proxy to
        self.report_interval = DEFAULT_REPORT_INTERVAL_S  # seconds, as the controller asked for
        self.interval_changed = anyio.Event()
        self.first_response = None  # set when the current controller has sent its first response
        self.log = structlog.get_logger("foxstep.proxy").bind(proxy=ident)

    def node(self):
        """The xDS node of this proxy, with its rate and the name of the table that it holds."""
        node = base_pb2.Node(id=self.ident, user_agent_name="foxstep-proxy", client_features=CLIENT_FEATURES)
        node.locality.zone = self.zone
        node.metadata["rate"] = self.rate
        if self.table.name:
            node.metadata["holds"] = self.table.name
        return node

    def channel(self, address):
        """The channel to a controller. Kept, so that a new dial opens three streams and no connection."""
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(
                address,
                options=[
                    ("grpc.keepalive_time_ms", self.keepalive_ms),
                    ("grpc.keepalive_timeout_ms", 2 * self.keepalive_ms),
                    ("grpc.http2.ping_timeout_ms", 2 * self.keepalive_ms),
                    ("grpc.http2.max_pings_without_data", 0),
                    ("grpc.use_local_subchannel_pool", 1),
                    ("grpc.enable_retries", 0),
                    ("grpc.initial_reconnect_backoff_ms", 200),
                    ("grpc.max_reconnect_backoff_ms", 1_000),
                ],
            )
        return self.channels[address]

    async def run(self):
        """Connects and reconnects until cancelled."""
        try:
            while True:
                address = self.redirect_to
                self.redirect_to = ""
                address = address or self.next_controller()
                await self.dial(address)
                was_joined = self.joined
                self.joined = False
                self.failed_dials = 0 if was_joined else self.failed_dials + 1
                self.avoid_until[address] = self.clock() + 8 * self.keepalive_ms / 1000
                if self.redirect_to:
                    continue  # redirected by a healthy controller: no need to back off
                self.dials += 1
                # Jitter, so that fifty proxies that lost one controller don't all reconnect at once.
                fraction = crc32(f"{self.seed} {self.ident} {self.dials}".encode()) / 2**32
                min_delay, max_delay = self.redial_delay
                if was_joined and len(self.controllers) > 1:  # the next controller is probably up
                    min_delay, max_delay = 0.0, min_delay
                await anyio.sleep(min_delay + fraction * (max_delay - min_delay))
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                for channel in self.channels.values():
                    await channel.close()

    def next_controller(self):
        """The next controller in round-robin order that was not lost a moment ago, if there is one."""
        first = self.dials % len(self.controllers)
        candidates = [*self.controllers[first:], *self.controllers[:first]]
        return next((a for a in candidates if self.avoid_until.get(a, 0) <= self.clock()), candidates[0])

    async def dial(self, address):
        """Runs the streams to one controller until any of them breaks."""
        channel = self.channel(address)
        try:
            timeout = CONNECT_TIMEOUT_S if len(self.controllers) == 1 else 4 * self.keepalive_ms / 1000
            await asyncio.wait_for(channel.channel_ready(), timeout)
            self.first_response = anyio.Event()
            async with anyio.create_task_group() as group:
                group.start_soon(self.follow_tables, channel)
                # Gives up a controller that accepts connections but does not respond. One that has many
                # proxies to serve at once would be left too soon, so the timeout doubles with each failure.
                if len(self.controllers) > 1:
                    with anyio.fail_after(4 * self.keepalive_ms / 1000 * 2 ** min(self.failed_dials, 4)):
                        await self.first_response.wait()
                # Reports wait for the first response: a controller that is down, or has just restarted with
                # hundreds of proxies connecting, has to serve one stream for each and not three.
                await self.first_response.wait()
                group.start_soon(self.report_load, channel)
                group.start_soon(self.report_usage, channel)
        except* STREAM_ERRORS as broken:
            errors = list(leaf_errors(broken))
            self.read_redirect(errors)
            self.log.info("stream broke", controller=address, why=str(errors[0])[:120])

    def read_redirect(self, ends):
        """Reads from the stream's trailing metadata which known controller to connect to next, if any."""
        for end in ends:
            if isinstance(end, grpc.aio.AioRpcError):
                for name, value in end.trailing_metadata() or ():
                    if name == REDIRECT_METADATA and value in self.controllers:
                        self.redirect_to = value

    # -- tables

    async def follow_tables(self, channel):
        """Subscribes to tables, routes and levels, and answers each response with an ACK or a NACK."""
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
        unsent, requests = anyio.create_memory_object_stream(MAX_UNSENT_REQUESTS)
        for subscription in self.subscriptions():
            unsent.send_nowait(subscription)
        async with anyio.create_task_group() as group:
            group.start_soon(self.write_requests, call, requests)
            async with unsent:  # once it is closed, the writer ends after the last request
                reason = await self.read_responses(call, unsent)
        raise EOFError(reason)

    def subscriptions(self):
        """The first requests of a stream: for tables, with the held one, for routes and for levels."""
        versions = {self.pattern[:-1] + server: str(weight) for server, weight in self.table.held().items()}
        return [
            discovery_pb2.DeltaDiscoveryRequest(
                node=self.node(),
                type_url=ENDPOINT_TYPE,
                resource_names_subscribe=[self.pattern],
                initial_resource_versions=versions,
            ),
            discovery_pb2.DeltaDiscoveryRequest(
                type_url=ROUTES_TYPE, resource_names_subscribe=[self.site_name]
            ),
            discovery_pb2.DeltaDiscoveryRequest(
                type_url=ASSIGNMENT_TYPE, resource_names_subscribe=[o["name"] for o in self.op_types]
            ),
        ]

    async def write_requests(self, call, requests):
        """Writes requests until there are none to come.

        A write that fails does not end the stream here: only the reader is told why it has ended. From the
        write, grpcio raises an error without the controller's status, and so without a redirect.
        """
        async for request in requests:
            with suppress(*STREAM_ERRORS):
                await call.write(request)

    async def read_responses(self, call, unsent):
        """Applies responses and queues an answer to each; returns why the stream is to end.

        A read is always pending while requests are written, so that the status of the stream is received.
        """
        while (response := await call.read()) is not grpc.aio.EOF:
            self.joined = True
            self.first_response.set()
            answer = discovery_pb2.DeltaDiscoveryRequest(
                type_url=response.type_url, response_nonce=response.nonce
            )
            stale = False
            try:
                lines = self.apply_response(response)
                if lines and self.stall_per_line:
                    self.forwarder.stall(lines * self.stall_per_line)
            except ChangeRejected as refused:
                self.refusals = self.refusals + 1
                stale = isinstance(refused, StaleEpoch)
                answer.error_detail.code = 3
                answer.error_detail.message = str(refused)
                self.log.warning("table refused", why=str(refused))
            await unsent.send(answer)
            if stale:  # the sender learns what this proxy holds when it joins again
                return "the controller has an old epoch"
        return "the controller ended the stream"

    def apply_response(self, response):
        """Applies a response as a whole and returns its number of table lines. Raises ChangeRejected."""
        try:
            return self.apply_parsed(response)
        except DecodeError as error:
            raise ChangeRejected(f"not to be read: {error}"[:200]) from None

    def apply_parsed(self, response):
        """Does the work of `apply_response`; also raises DecodeError for an unreadable resource."""
        if response.type_url == ENDPOINT_TYPE:
            changed = {}
            for resource in response.resources:
                line = endpoint_components_pb2.LbEndpoint()
                if not resource.resource.Unpack(line):
                    raise ChangeRejected(f"not a line but {resource.resource.type_url[:80]}")
                address = line.endpoint.address.socket_address
                server = resource.name.rpartition("/")[2]
                host = f"[{address.address}]" if ":" in address.address else address.address
                if server != f"{host}:{address.port_value}":
                    raise ChangeRejected(f"a line named {server[:60]} for {host[:60]}:{address.port_value}")
                changed[server] = line.load_balancing_weight.value
            removed = [name.rpartition("/")[2] for name in response.removed_resources]
            lines = self.table.apply(response.system_version_info, changed, removed)
            self.forwarder.set_table(self.table.lines)
            return lines
        if response.type_url == ASSIGNMENT_TYPE:
            shares = {}
            for resource in response.resources:
                message = endpoint_pb2.ClusterLoadAssignment()
                if resource.resource.Unpack(message) and message.cluster_name in {
                    o["name"] for o in self.op_types
                }:
                    shares[message.cluster_name] = admitted_share(message.policy)
            for op_type, share in shares.items():
                self.forwarder.levels.set_share(op_type, share)
            return 0
        for resource in response.resources:
            routes = route_pb2.RouteConfiguration()
            if resource.resource.Unpack(routes) and routes.virtual_hosts:
                known = {o["name"] for o in self.op_types}
                for route in routes.virtual_hosts[0].routes:
                    if route.name in known:
                        policy = route.route.retry_policy
                        self.forwarder.retry_policy.modes[route.name] = retry_mode_of(policy)
                        try_timeout = policy.per_try_timeout.ToNanoseconds() / 1e9
                        self.forwarder.try_timeouts[route.name] = try_timeout or None
        return 0

    # -- reports

    async def report_load(self, channel):
        """Opens the load report stream and sends reports at the interval that the controller asks for."""
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        await call.write(lrs_pb2.LoadStatsRequest(node=self.node()))
        answer = await call.read()
        if answer is grpc.aio.EOF:
            raise EOFError("the controller closed the load report stream")
        self.set_interval(answer)
        self.forwarder.reports.forget()
        async with anyio.create_task_group() as group:
            group.start_soon(self.read_intervals, call)
            group.start_soon(self.send_load_reports, call)

    def set_interval(self, answer):
        """Takes over the report interval from a response, and wakes the tasks that wait for the old one."""
        self.report_interval = min(
            max(answer.load_reporting_interval.ToNanoseconds() / 1e9, 0.05), MAX_REPORT_INTERVAL_S
        )
        self.interval_changed.set()
        self.interval_changed = anyio.Event()

    async def read_intervals(self, call):
        while (answer := await call.read()) is not grpc.aio.EOF:
            self.set_interval(answer)
        raise EOFError("the controller ended the stream")

    async def wait_interval(self, began):
        """Waits until a report interval has passed since `began`, even if the interval changes meanwhile."""
        while (remaining := began + self.report_interval - self.clock()) > 0:
            with anyio.move_on_after(remaining):
                await self.interval_changed.wait()

    async def send_load_reports(self, call):
        """Sends the sums of tries by server and op type once an interval."""
        began = self.clock()
        while True:
            await self.wait_interval(began)
            now = self.clock()
            request = lrs_pb2.LoadStatsRequest(node=self.node())
            clusters = {}
            for (server, op_type), (
                succeeded,
                failed,
                seconds,
                load,
            ) in self.forwarder.reports.take().items():
                stats = clusters.get(op_type)
                if stats is None:
                    stats = clusters[op_type] = request.cluster_stats.add(cluster_name=op_type)
                    stats.load_report_interval.FromNanoseconds(round((now - began) * 1e9))
                server_stats = stats.upstream_locality_stats.add(
                    total_successful_requests=succeeded,
                    total_error_requests=failed,
                    total_issued_requests=succeeded + failed,
                )
                server_stats.locality.zone = self.zone
                server_stats.locality.sub_zone = server
                if succeeded:
                    server_stats.load_metric_stats.add(
                        metric_name="foxstep.latency_us",
                        total_metric_value=seconds * 1e6,
                        num_requests_finished_with_metric=succeeded,
                    )
                for name, (count, total) in load.items():
                    server_stats.load_metric_stats.add(
                        metric_name=name, num_requests_finished_with_metric=count, total_metric_value=total
                    )
            began = now
            await call.write(request)

    async def report_usage(self, channel):
        """Reports quota usage and applies quota assignments."""
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()

        async def send_usage():
            began = self.clock()
            first = True
            self.forwarder.levels.take_counts()
            while True:
                now = self.clock()
                counts = self.forwarder.levels.take_counts()
                report = rlqs_pb2.RateLimitQuotaUsageReports(domain=self.site_name if first else "")
                for op_type in self.op_types:
                    usage = report.bucket_quota_usages.add()
                    usage.bucket_id.bucket.update({"proxy": self.ident, "op_type": op_type["name"]})
                    usage.num_requests_allowed, usage.num_requests_denied = counts.get(
                        op_type["name"], (0, 0)
                    )
                    if not first:
                        usage.time_elapsed.FromNanoseconds(max(1, round((now - began) * 1e9)))
                began = now
                first = False
                await call.write(report)
                await self.wait_interval(began)

        async with anyio.create_task_group() as group:
            group.start_soon(send_usage)
            while (answer := await call.read()) is not grpc.aio.EOF:
                for action in answer.bucket_action:
                    self.apply_quota(action)
            raise EOFError("the controller ended the stream")

    def apply_quota(self, action):
        """Applies one quota action of the controller to the admission levels."""
        name = action.bucket_id.bucket.get("op_type", "")
        now = round(self.clock() * US_PER_SECOND)
        if name not in {o["name"] for o in self.op_types}:
            return
        if not action.HasField("quota_assignment_action"):
            self.forwarder.levels.set_rate(now, name, None, 0)  # abandon action: as if never assigned
            return
        assignment = action.quota_assignment_action
        ttl = assignment.assignment_time_to_live.ToNanoseconds() // 1000
        strategy = assignment.rate_limit_strategy
        kind = strategy.WhichOneof("strategy")
        if kind == "token_bucket":
            bucket = strategy.token_bucket
            fill_interval_s = bucket.fill_interval.ToNanoseconds() / 1e9
            fill = bucket.tokens_per_fill.value or 1
            if fill_interval_s > 0:
                self.forwarder.levels.set_rate(
                    now, name, fill / fill_interval_s, max(bucket.max_tokens, 1), ttl
                )
        elif kind == "requests_per_time_unit":
            unit = {1: 1, 2: 60, 3: 3600, 4: 86400}.get(strategy.requests_per_time_unit.time_unit, 1)
            rate = strategy.requests_per_time_unit.requests_per_time_unit / unit
            self.forwarder.levels.set_rate(now, name, rate, max(1, round(rate)), ttl)
        elif kind == "blanket_rule" and strategy.blanket_rule == DENY_ALL:
            self.forwarder.levels.set_rate(now, name, 0.0, 1, ttl)
        else:
            self.forwarder.levels.set_rate(now, name, None, 0, ttl)
