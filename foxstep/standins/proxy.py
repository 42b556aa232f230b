"""A scripted proxy for what the stock client cannot do: standing table, further tries, shunning, quotas.

It speaks ADS (state of the world), LRS and RLQS as any client would. The proxy of our own comes later.
"""

import asyncio
import json
import random
from hashlib import blake2b

import anyio
import grpc
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc

PREFIX = "type.googleapis.com/envoy.config."
ROUTES, LINES = PREFIX + "route.v3.RouteConfiguration", PREFIX + "endpoint.v3.ClusterLoadAssignment"
LINE = PREFIX + "endpoint.v3.LbEndpoint"
COLLECTION = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/"
EVERY = "every-op-type"
EMPTY_HASH = blake2b(digest_size=16).hexdigest()
MOST_OUT = 400
BROKEN = (grpc.RpcError, grpc.aio.UsageError, asyncio.InvalidStateError, EOFError)
AGAIN_AFTER = "2"  # seconds, told to a client whose op is not let in


class Proxy:
    """`site` as the drill's site file has it (plain); `standing` servers until a table comes."""

    def __init__(self, ident, zone, rate, site, site_name, controller, standing, record, clock, seed):
        self.ident, self.zone, self.rate, self.site, self.site_name = ident, zone, rate, site, site_name
        self.controller, self.record, self.clock = controller, record, clock
        self.chance = random.Random(seed)
        self.names = [o["name"] for o in site["op_types"]]
        self.timeouts = {o["name"]: o["op_timeout"] / 1e6 for o in site["op_types"]}
        self.lines, self.way = dict.fromkeys(standing, 1.0), {}
        self.credit, self.fails, self.shunned = {}, {}, {}
        self.quota, self.bucket = {}, {}
        self.channels, self.met, self.came, self.out, self.count = {}, {}, {}, 0, 0
        self.versions, self.holds, self.incremental = {}, "", False

    def node(self):
        node = base_pb2.Node(id=self.ident, user_agent_name="scripted",
                             client_features=["foxstep.quotas"])
        node.locality.zone = self.zone
        node.metadata["rate"] = self.rate
        return node

    # -- to and from the controller

    async def run(self):
        """Dials, follows, redials, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                async with grpc.aio.insecure_channel(self.controller, options=[
                        ("grpc.max_reconnect_backoff_ms", 500)]) as channel:
                    try:
                        async with anyio.create_task_group() as streams:
                            follow = self.follow_changes if self.incremental else self.follow
                            for stream in (follow, self.report, self.ask_quotas):
                                streams.start_soon(stream, channel)
                    except* BROKEN:
                        pass
                await anyio.sleep(self.chance.uniform(0.2, 1.0))
            group.cancel_scope.cancel()

    async def follow(self, channel):
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
        for kind, names in ((LINES, [EVERY]), (ROUTES, [self.site_name])):
            await call.write(discovery_pb2.DiscoveryRequest(
                node=self.node(), type_url=kind, resource_names=names,
                version_info=self.versions.get(kind, "")))
        while (response := await call.read()) is not grpc.aio.EOF:
            for resource in response.resources:
                table, routes = endpoint_pb2.ClusterLoadAssignment(), route_pb2.RouteConfiguration()
                if resource.Unpack(table):
                    self.lines = {e.locality.sub_zone: float(e.load_balancing_weight.value)
                                  for e in table.endpoints}
                    self.credit = {s: c for s, c in self.credit.items() if s in self.lines}
                elif resource.Unpack(routes):
                    self.take_routes(routes)
            self.versions[response.type_url] = response.version_info
            await call.write(discovery_pb2.DiscoveryRequest(
                type_url=response.type_url, version_info=response.version_info, response_nonce=response.nonce,
                resource_names=[EVERY] if response.type_url == LINES else [self.site_name]))
        raise EOFError

    def weights_hash(self):
        made = blake2b(digest_size=16)
        for server in sorted(self.lines):
            made.update(f"{server} {round(self.lines[server])}\n".encode())
        return made.hexdigest()

    async def follow_changes(self, channel):
        """The incremental form: lines as resources, each change checked by what it builds on and comes to."""
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
        node = self.node()
        node.client_features.append("foxstep.tables")
        node.metadata["holds"] = self.holds
        pattern = f"{COLLECTION}{self.site_name}/{EVERY}/*"
        told = {pattern[:-1] + s: str(round(w)) for s, w in self.lines.items()} if self.holds else {}
        await call.write(discovery_pb2.DeltaDiscoveryRequest(
            node=node, type_url=LINE, resource_names_subscribe=[pattern], initial_resource_versions=told))
        await call.write(discovery_pb2.DeltaDiscoveryRequest(
            type_url=ROUTES, resource_names_subscribe=[self.site_name]))
        while (response := await call.read()) is not grpc.aio.EOF:
            answer = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url,
                                                         response_nonce=response.nonce)
            if response.type_url == LINE:
                answer.error_detail.message = self.take_change(response)
                if not answer.error_detail.message:
                    answer.ClearField("error_detail")
            else:
                for resource in response.resources:
                    routes = route_pb2.RouteConfiguration()
                    if resource.resource.Unpack(routes):
                        self.take_routes(routes)
            await call.write(answer)
        raise EOFError

    def take_change(self, response):
        """Applies a change whole or not at all; answers why not."""
        name, base, result = response.system_version_info.split(" ")
        before = self.lines
        if base != "-" and base != self.weights_hash() and (self.holds or base != EMPTY_HASH):
            return f"builds on {base}, what is held is {self.weights_hash()} ({self.holds})"
        lines = dict(before) if base != "-" and self.holds else {}
        for resource in response.resources:
            line = endpoint_components_pb2.LbEndpoint()
            resource.resource.Unpack(line)
            lines[resource.name.rpartition("/")[2]] = float(line.load_balancing_weight.value)
        for gone in response.removed_resources:
            lines.pop(gone.rpartition("/")[2], None)
        self.lines = lines
        if self.weights_hash() != result:
            self.lines = before
            return f"comes to another content than {result}"
        self.holds = name
        self.credit = {s: c for s, c in self.credit.items() if s in lines}
        return ""

    def take_routes(self, routes):
        for route in routes.virtual_hosts[0].routes:
            again = route.route.retry_policy
            self.way[route.name] = (again.retry_on.split(","), again.num_retries.value,
                                    again.per_try_timeout.ToNanoseconds() / 1e9)

    async def report(self, channel):
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        await call.write(lrs_pb2.LoadStatsRequest(node=self.node()))
        answer = await call.read()
        if answer is grpc.aio.EOF:
            raise EOFError
        every = answer.load_reporting_interval
        every = every.seconds + every.nanos / 1e9
        began, self.met = self.clock(), {}  # what was met without a stream is not told as of now
        while True:
            await anyio.sleep(every)
            now, met, self.met = self.clock(), self.met, {}
            request = lrs_pb2.LoadStatsRequest(node=self.node())
            for name in self.names:
                stats = request.cluster_stats.add(cluster_name=name)
                stats.load_report_interval.FromNanoseconds(round((now - began) * 1e9))
                for (server, op_type), (good, bad, took, load) in met.items():
                    if op_type != name:
                        continue
                    locality = stats.upstream_locality_stats.add(
                        total_successful_requests=good, total_error_requests=bad,
                        total_issued_requests=good + bad)
                    locality.locality.zone, locality.locality.sub_zone = self.zone, server
                    if good:
                        locality.load_metric_stats.add(
                            metric_name="foxstep.latency_us", num_requests_finished_with_metric=good,
                            total_metric_value=took * 1e6)
                    for metric, (times, total) in load.items():
                        locality.load_metric_stats.add(
                            metric_name=metric, num_requests_finished_with_metric=times,
                            total_metric_value=total)
            began = now
            await call.write(request)

    async def ask_quotas(self, channel):
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()

        async def tell():
            began, first = self.clock(), True
            while True:
                now, came, self.came = self.clock(), self.came, {}
                report = rlqs_pb2.RateLimitQuotaUsageReports(domain=self.site_name if first else "")
                for name in self.names:
                    usage = report.bucket_quota_usages.add()
                    usage.bucket_id.bucket.update({"proxy": self.ident, "op_type": name})
                    usage.num_requests_allowed, usage.num_requests_denied = came.get(name, (0, 0))
                    if not first:
                        usage.time_elapsed.FromNanoseconds(round((now - began) * 1e9))
                began, first = now, False
                await call.write(report)
                await anyio.sleep(self.site["cycle"] / 1e6)

        async with anyio.create_task_group() as group:
            group.start_soon(tell)
            while (answer := await call.read()) is not grpc.aio.EOF:
                for action in answer.bucket_action:
                    name = action.bucket_id.bucket.get("op_type", "")
                    strategy = action.quota_assignment_action.rate_limit_strategy
                    every = strategy.token_bucket.fill_interval.ToNanoseconds() / 1e9
                    deny = strategy.HasField("blanket_rule") and strategy.blanket_rule == 1
                    self.quota[name] = 0.0 if deny else 1 / every if every else None
                    self.bucket[name] = (strategy.token_bucket.max_tokens, self.clock())
            raise EOFError

    # -- ops

    def let_in(self, op_type):
        rate = self.quota.get(op_type)
        allowed = True
        if rate is not None:
            most, now = max(1.0, rate), self.clock()
            tokens, since = self.bucket[op_type]
            tokens = min(most, tokens + (now - since) * rate)
            allowed = tokens >= 1
            self.bucket[op_type] = (tokens - allowed, now)
        good, bad = self.came.get(op_type, (0, 0))
        self.came[op_type] = (good + allowed, bad + (not allowed))
        return allowed

    def pick(self, but=()):
        """Even by weight: each line earns its part a pick, the richest pays for it."""
        now = self.clock()
        lines = {s: w for s, w in self.lines.items() if s not in but}
        fit = {s: w for s, w in lines.items() if self.shunned.get(s, 0) <= now} or lines
        if not fit:
            return None
        total = sum(fit.values())
        for server, weight in fit.items():
            self.credit[server] = self.credit.get(server, self.chance.random()) + weight / total
        best = max(fit, key=lambda s: self.credit[s])
        self.credit[best] -= 1
        return best

    def channel(self, server):
        if server not in self.channels:
            self.channels[server] = grpc.aio.insecure_channel(server, options=[
                ("grpc.enable_retries", 0), ("grpc.initial_reconnect_backoff_ms", 200),
                ("grpc.max_reconnect_backoff_ms", 500)])
        return self.channels[server]

    def connected(self, server):
        return self.channel(server).get_state(try_to_connect=True) == grpc.ChannelConnectivity.READY

    async def once(self, server, op_type, ident, turn, left):
        """One try: (outcome, whether it is proven that it never ran)."""
        began, proof = self.clock(), False
        # Proof is that no connection was up and none came up in time: then nothing was sent.
        with anyio.move_on_after(0.25):
            channel = self.channel(server)
            while (state := channel.get_state(try_to_connect=True)) != grpc.ChannelConnectivity.READY:
                if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                    break
                await channel.wait_for_state_change(state)
        if not self.connected(server):
            outcome, proof = "connect-failure", True
        else:
            self.record("sent", proxy=self.ident, server=server, op=ident, op_type=op_type, turn=turn)
            call = self.channel(server).unary_unary(f"/foxstep.Ops/{op_type}")(
                json.dumps({"id": ident, "proxy": self.ident}).encode(), timeout=max(left, 0.05))
            try:
                await call
                trailing = await call.trailing_metadata()
                outcome = "acked"
            except grpc.RpcError as error:
                code = error.code().name.lower().replace("_", "-")
                outcome = code
                proof = code == "resource-exhausted"  # refused at the door, before any work
        took = self.clock() - began
        good, bad, total, load = self.met.get((server, op_type), (0, 0, 0.0, {}))
        if outcome == "acked":
            self.met[server, op_type] = (good + 1, bad, total + took, self.heed_load(load, trailing))
            self.fails[server] = 0
        else:
            self.met[server, op_type] = (good, bad + 1, total, load)
            self.fails[server] = self.fails.get(server, 0) + 1
            if self.site["fails_to_shun"] and self.fails[server] >= self.site["fails_to_shun"]:
                self.shunned[server], self.fails[server] = self.clock() + self.chance.uniform(2, 5), 0
        return outcome, proof

    def heed_load(self, load, trailing):
        from xds.data.orca.v3 import orca_load_report_pb2
        for key, value in trailing or ():
            if key == "endpoint-load-metrics-bin":
                report = orca_load_report_pb2.OrcaLoadReport.FromString(value)
                values = {"busy": report.cpu_utilization,
                          **{k: v for k, v in report.named_metrics.items() if k == "waiting"}}
                load = {k: (load.get(k, (0, 0))[0] + 1, load.get(k, (0, 0))[1] + v)
                        for k, v in values.items()}
        return load

    async def op(self, op_type):
        """One op from its asking to its final answer."""
        self.count += 1
        ident, began = f"{self.ident}-{self.count}", self.clock()
        retry_on, further, wait = self.way.get(op_type, (["connect-failure", "refused-stream"], 1, 0.0))
        outcome, tried = "rejected", []
        self.out += 1
        try:
            if self.let_in(op_type):
                for turn in range(1 + further):
                    server = self.pick(but=tried)
                    left = self.timeouts[op_type] - (self.clock() - began)
                    if server is None or left <= 0:
                        outcome = outcome if tried else "no-line"
                        break
                    wait = wait if turn < further else 0.0
                    outcome, proof = await self.once(server, op_type, ident, turn, min(left, wait or left))
                    tried.append(server)
                    if outcome == "acked" or not (proof or outcome in retry_on):
                        break
        finally:
            self.out -= 1
            self.record("op", proxy=self.ident, op=ident, op_type=op_type, began=began, outcome=outcome,
                        took=self.clock() - began, tries=len(tried),
                        again=AGAIN_AFTER if outcome == "rejected" else "")

    async def drive(self, mix, rate_now):
        """Ops by chance at `rate_now(self)` a second, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self.chance.expovariate(max(rate_now(self), 0.01)))
                if self.out < MOST_OUT:
                    op_type = self.chance.choices(list(mix), list(mix.values()))[0]
                    group.start_soon(self.op, op_type)
