"""The proxy's streams to its controller: tables by incremental discovery, load reports, quotas.

Whatever breaks, the proxy goes on with what it holds, and dials again, the next controller if need be.
"""

import asyncio
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

from foxstep.proxy.table import Over, Refused
from foxstep.proxy.tries import NEVER, ONCE, PROVEN, TWICE

PREFIX = "type.googleapis.com/envoy.config."
LEVELS = PREFIX + "endpoint.v3.ClusterLoadAssignment"  # of an assignment only its drops are read
ROUTES = PREFIX + "route.v3.RouteConfiguration"
LINE = PREFIX + "endpoint.v3.LbEndpoint"
FEATURES = ["foxstep.quotas", "foxstep.tables", "foxstep.home"]
HOME = "foxstep-home"  # trailing metadata of a stream's end: the controller to dial next
MICRO = 1_000_000
BROKEN = (
    grpc.RpcError,
    grpc.aio.UsageError,
    grpc.aio.InternalError,
    asyncio.InvalidStateError,
    EOFError,
    TimeoutError,
)
CONNECT_WITHIN = 3.0
USAGE_EVERY = 0.5  # seconds between reports until the controller has asked for an interval,
LONGEST_INTERVAL = 60.0  # which is no longer than this
DENY_ALL = 1


def way_of(policy):
    """A way of trying again from a retry policy: words that are not known are skipped."""
    words = set(policy.retry_on.split(","))
    proven = {"connect-failure", "refused-stream"}
    failure = {"reset", "unavailable"}
    if not policy.num_retries.value or not words & (proven | failure):
        return NEVER
    if not words & failure:
        return PROVEN
    return TWICE if policy.num_retries.value > 1 else ONCE


def share_of(policy):
    """What a policy's drops let in, one after the other."""
    share = 1.0
    for overload in policy.drop_overloads:
        whole = (100, 10_000, 1_000_000)[min(overload.drop_percentage.denominator, 2)]
        share *= 1 - min(overload.drop_percentage.numerator / whole, 1.0)
    return share


class Control:
    """`redial`: (least, most) seconds before dialling again. `stall`: seconds that the proxy stands still
    for each line that it is sent. `notice`: milliseconds, of which a controller that stands still is noticed
    in three. `forwarder` gets what its tables, ways and levels say."""

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
        redial=(0.2, 1.0),
        stall=0.0,
        notice=1_000,
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
        self.redial = redial
        self.stall = stall
        self.notice = notice
        self.pattern = f"xdstp:///envoy.config.endpoint.v3.LbEndpoint/{site_name}/every-op-type/*"
        self.dials = 0
        self.joined = False
        self.refusals = 0
        self.channels = {}
        self.avoided = {}
        self.in_vain = 0  # controller -> until when; dials in a row that brought nothing
        self.next_home = ""  # where the last controller has sent it
        self.every = USAGE_EVERY
        self.heard_interval = anyio.Event()  # seconds between reports, as asked for
        self.taken = None  # set when the streams' controller has sent something
        self.log = structlog.get_logger("foxstep.proxy").bind(proxy=ident)

    def node(self):
        node = base_pb2.Node(id=self.ident, user_agent_name="foxstep-proxy", client_features=FEATURES)
        node.locality.zone = self.zone
        node.metadata["rate"] = self.rate
        if self.table.name:
            node.metadata["holds"] = self.table.name
        return node

    def channel(self, address):
        """One a controller, kept: a dial is then three streams, not a connection and all that it costs."""
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(
                address,
                options=[
                    ("grpc.keepalive_time_ms", self.notice),
                    ("grpc.keepalive_timeout_ms", 2 * self.notice),
                    ("grpc.http2.ping_timeout_ms", 2 * self.notice),
                    ("grpc.http2.max_pings_without_data", 0),
                    ("grpc.use_local_subchannel_pool", 1),
                    ("grpc.enable_retries", 0),
                    ("grpc.initial_reconnect_backoff_ms", 200),
                    ("grpc.max_reconnect_backoff_ms", 1_000),
                ],
            )
        return self.channels[address]

    async def run(self):
        try:
            while True:
                address = self.next_home
                self.next_home = ""
                address = address or self.next_controller()
                await self.dial(address)
                was_joined = self.joined
                self.joined = False
                self.in_vain = 0 if was_joined else self.in_vain + 1
                self.avoided[address] = self.clock() + 8 * self.notice / 1000
                if self.next_home:
                    continue  # sent on by a controller that is well: there is nothing to wait for
                self.dials += 1
                # Spread by chance: fifty proxies that lost one controller do not all come back at once.
                chance = crc32(f"{self.seed} {self.ident} {self.dials}".encode()) / 2**32
                least, most = self.redial
                if was_joined and len(self.controllers) > 1:  # the next one may well be up
                    least, most = 0.0, least
                await anyio.sleep(least + chance * (most - least))
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                for channel in self.channels.values():
                    await channel.close()

    def next_controller(self):
        """In turn, but for those that have just been lost, where there are others."""
        first = self.dials % len(self.controllers)
        turn = [*self.controllers[first:], *self.controllers[:first]]
        return next((a for a in turn if self.avoided.get(a, 0) <= self.clock()), turn[0])

    async def dial(self, address):
        """The streams to one controller, until any of them breaks."""
        channel = self.channel(address)
        try:
            within = CONNECT_WITHIN if len(self.controllers) == 1 else 4 * self.notice / 1000
            await asyncio.wait_for(channel.channel_ready(), within)
            self.taken = anyio.Event()
            async with anyio.create_task_group() as group:
                group.start_soon(self.follow, channel)
                # Guards against a controller that takes connections and stands still. Harm: one that has
                # many to serve at once is left too soon; so each dial in vain waits twice as long.
                if len(self.controllers) > 1:
                    with anyio.fail_after(4 * self.notice / 1000 * 2 ** min(self.in_vain, 4)):
                        await self.taken.wait()
                # Reports wait for the first table: a controller that is away, or just back with hundreds
                # dialling, is asked for one stream a proxy and not three.
                await self.taken.wait()
                group.start_soon(self.report, channel)
                group.start_soon(self.tell_usage, channel)
        except* BROKEN as broken:
            self.heed_home(broken.exceptions)
            self.log.info("stream broke", controller=address, why=str(broken.exceptions[0])[:120])

    def heed_home(self, ends):
        """A stream's end may say where this proxy is at home; that is dialled next if it is one it knows."""
        for end in ends:
            if isinstance(end, grpc.aio.AioRpcError):
                for name, value in end.trailing_metadata() or ():
                    if name == HOME and value in self.controllers:
                        self.next_home = value

    # -- tables

    async def follow(self, channel):
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
        held = {self.pattern[:-1] + server: str(weight) for server, weight in self.table.held().items()}
        await call.write(
            discovery_pb2.DeltaDiscoveryRequest(
                node=self.node(),
                type_url=LINE,
                resource_names_subscribe=[self.pattern],
                initial_resource_versions=held,
            )
        )
        await call.write(
            discovery_pb2.DeltaDiscoveryRequest(type_url=ROUTES, resource_names_subscribe=[self.site_name])
        )
        await call.write(
            discovery_pb2.DeltaDiscoveryRequest(
                type_url=LEVELS, resource_names_subscribe=[o["name"] for o in self.op_types]
            )
        )
        while (response := await call.read()) is not grpc.aio.EOF:
            self.joined = True
            self.taken.set()
            answer = discovery_pb2.DeltaDiscoveryRequest(
                type_url=response.type_url, response_nonce=response.nonce
            )
            over = False
            try:
                lines = self.take(response)
                if lines and self.stall:
                    self.forwarder.stand_still(lines * self.stall)
            except Refused as refused:
                self.refusals = self.refusals + 1
                over = isinstance(refused, Over)
                answer.error_detail.code = 3
                answer.error_detail.message = str(refused)
                self.log.warning("table refused", why=str(refused))
            await call.write(answer)
            if over:  # whoever sent it learns what is held when this proxy joins anew
                raise EOFError("the controller's epoch is over")
        raise EOFError("the controller ended the stream")

    def take(self, response):
        """Takes a response in; answers how many lines it was. Raises Refused: then nothing has changed."""
        try:
            return self.take_sound(response)
        except DecodeError as error:
            raise Refused(f"not to be read: {error}"[:200]) from None

    def take_sound(self, response):
        if response.type_url == LINE:
            changed = {}
            for resource in response.resources:
                line = endpoint_components_pb2.LbEndpoint()
                if not resource.resource.Unpack(line):
                    raise Refused(f"not a line but {resource.resource.type_url[:80]}")
                address = line.endpoint.address.socket_address
                server = resource.name.rpartition("/")[2]
                host = f"[{address.address}]" if ":" in address.address else address.address
                if server != f"{host}:{address.port_value}":
                    raise Refused(f"a line named {server[:60]} for {host[:60]}:{address.port_value}")
                changed[server] = line.load_balancing_weight.value
            removed = [name.rpartition("/")[2] for name in response.removed_resources]
            lines = self.table.take(response.system_version_info, changed, removed)
            self.forwarder.table(self.table.lines)
            return lines
        if response.type_url == LEVELS:
            shares = {}
            for resource in response.resources:
                made = endpoint_pb2.ClusterLoadAssignment()
                if resource.resource.Unpack(made) and made.cluster_name in {o["name"] for o in self.op_types}:
                    shares[made.cluster_name] = share_of(made.policy)
            for op_type, share in shares.items():
                self.forwarder.levels.share(op_type, share)
            return 0
        for resource in response.resources:
            routes = route_pb2.RouteConfiguration()
            if resource.resource.Unpack(routes) and routes.virtual_hosts:
                known = {o["name"] for o in self.op_types}
                for route in routes.virtual_hosts[0].routes:
                    if route.name in known:
                        policy = route.route.retry_policy
                        self.forwarder.tries.ways[route.name] = way_of(policy)
                        wait = policy.per_try_timeout.ToNanoseconds() / 1e9
                        self.forwarder.try_wait[route.name] = wait or None
        return 0

    # -- reports

    async def report(self, channel):
        """Load reports at the asked interval."""
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        await call.write(lrs_pb2.LoadStatsRequest(node=self.node()))
        answer = await call.read()
        if answer is grpc.aio.EOF:
            raise EOFError("no load reports wanted")
        self.heed_interval(answer)
        self.forwarder.reports.forget()
        async with anyio.create_task_group() as group:
            group.start_soon(self.hear_intervals, call)
            group.start_soon(self.tell_tries, call)

    def heed_interval(self, answer):
        self.every = min(max(answer.load_reporting_interval.ToNanoseconds() / 1e9, 0.05), LONGEST_INTERVAL)
        self.heard_interval.set()
        self.heard_interval = anyio.Event()

    async def hear_intervals(self, call):
        while (answer := await call.read()) is not grpc.aio.EOF:
            self.heed_interval(answer)
        raise EOFError("the controller ended the stream")

    async def pause(self, began):
        """Until an interval has passed since then, as it is asked for by now."""
        while (left := began + self.every - self.clock()) > 0:
            with anyio.move_on_after(left):
                await self.heard_interval.wait()

    async def tell_tries(self, call):
        began = self.clock()
        while True:
            await self.pause(began)
            now = self.clock()
            request = lrs_pb2.LoadStatsRequest(node=self.node())
            clusters = {}
            for (server, op_type), (good, bad, took, load) in self.forwarder.reports.told().items():
                stats = clusters.get(op_type)
                if stats is None:
                    stats = clusters[op_type] = request.cluster_stats.add(cluster_name=op_type)
                    stats.load_report_interval.FromNanoseconds(round((now - began) * 1e9))
                met = stats.upstream_locality_stats.add(
                    total_successful_requests=good, total_error_requests=bad, total_issued_requests=good + bad
                )
                met.locality.zone = self.zone
                met.locality.sub_zone = server
                if good:
                    met.load_metric_stats.add(
                        metric_name="foxstep.latency_us",
                        total_metric_value=took * 1e6,
                        num_requests_finished_with_metric=good,
                    )
                for name, (times, total) in load.items():
                    met.load_metric_stats.add(
                        metric_name=name, num_requests_finished_with_metric=times, total_metric_value=total
                    )
            began = now
            await call.write(request)

    async def tell_usage(self, channel):
        """Quota usage up, quota assignments down."""
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()

        async def tell():
            began = self.clock()
            first = True
            self.forwarder.levels.told()
            while True:
                now = self.clock()
                came = self.forwarder.levels.told()
                report = rlqs_pb2.RateLimitQuotaUsageReports(domain=self.site_name if first else "")
                for op_type in self.op_types:
                    usage = report.bucket_quota_usages.add()
                    usage.bucket_id.bucket.update({"proxy": self.ident, "op_type": op_type["name"]})
                    usage.num_requests_allowed, usage.num_requests_denied = came.get(op_type["name"], (0, 0))
                    if not first:
                        usage.time_elapsed.FromNanoseconds(max(1, round((now - began) * 1e9)))
                began = now
                first = False
                await call.write(report)
                await self.pause(began)

        async with anyio.create_task_group() as group:
            group.start_soon(tell)
            while (answer := await call.read()) is not grpc.aio.EOF:
                for action in answer.bucket_action:
                    self.assign(action)
            raise EOFError("the controller ended the stream")

    def assign(self, action):
        name = action.bucket_id.bucket.get("op_type", "")
        now = round(self.clock() * MICRO)
        if name not in {o["name"] for o in self.op_types}:
            return
        if not action.HasField("quota_assignment_action"):
            self.forwarder.levels.rate(now, name, None, 0)  # abandoned: as if it had never been assigned
            return
        made = action.quota_assignment_action
        lasts = made.assignment_time_to_live.ToNanoseconds() // 1000
        strategy = made.rate_limit_strategy
        kind = strategy.WhichOneof("strategy")
        if kind == "token_bucket":
            bucket = strategy.token_bucket
            every = bucket.fill_interval.ToNanoseconds() / 1e9
            fill = bucket.tokens_per_fill.value or 1
            if every > 0:
                self.forwarder.levels.rate(now, name, fill / every, max(bucket.max_tokens, 1), lasts)
        elif kind == "requests_per_time_unit":
            unit = {1: 1, 2: 60, 3: 3600, 4: 86400}.get(strategy.requests_per_time_unit.time_unit, 1)
            rate = strategy.requests_per_time_unit.requests_per_time_unit / unit
            self.forwarder.levels.rate(now, name, rate, max(1, round(rate)), lasts)
        elif kind == "blanket_rule" and strategy.blanket_rule == DENY_ALL:
            self.forwarder.levels.rate(now, name, 0.0, 1, lasts)
        else:
            self.forwarder.levels.rate(now, name, None, 0, lasts)
