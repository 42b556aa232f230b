"""The list of servers, as a client of an endpoint discovery service (EDS, state of the world).

Each endpoint's health says open or draining; metadata under `foxstep` gives kind, cell, size and start.
"""

import asyncio

import anyio
import grpc
import structlog
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc

from foxstep.xds import resources
from foxstep.xds.waits import stray, within

MOST_SERVERS = 20_000
SECOND = 1_000_000
OUT = (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY)


class Unsound(ValueError):
    """A list that cannot be taken, and why."""


def read_list(response, cluster, wall_offset):
    """Lines as `interface.Listed` from a DiscoveryResponse, starts on the host's clock. Raises Unsound: a
    list is taken whole or not at all, and one without any server is read as a call that failed."""
    found = None
    for resource in response.resources:
        made = endpoint_pb2.ClusterLoadAssignment()
        if not resource.Unpack(made):
            raise Unsound(f"not an assignment but {resource.type_url[:100]}")
        if made.cluster_name == cluster:
            found = made
    if found is None:
        raise Unsound(f"no assignment named {cluster}")
    lines = {}
    for group in found.endpoints:
        for endpoint in group.lb_endpoints:
            address = endpoint.endpoint.address.socket_address
            if not address.address or not 0 < address.port_value < 65536:
                raise Unsound(f"entry {len(lines)} without an address")
            host = f"[{address.address}]" if ":" in address.address else address.address
            ident = f"{host}:{address.port_value}"
            if ident in lines:
                raise Unsound(f"{ident} listed twice")
            facts = endpoint.metadata.filter_metadata.get("foxstep")
            facts = {} if facts is None else dict(facts)
            try:
                cell, started = int(facts.get("cell", 0)), float(facts.get("started", 0))
                size = float(facts.get("size", 1))
                begun = max(round(started * SECOND) - wall_offset, 1) if started else 0
            except (TypeError, ValueError, OverflowError):
                raise Unsound(f"{ident}: cell, size and started are numbers") from None
            state = "draining" if endpoint.health_status in OUT else "open"
            lines[ident] = (ident, group.locality.zone, str(facts.get("kind", "")), cell, state, size, begun)
            if len(lines) > MOST_SERVERS:
                raise Unsound(f"over {MOST_SERVERS} servers")
    if not lines:
        raise Unsound("no server at all")
    return list(lines.values())


class ListClient:
    """Follows the list while the host wishes it. A failure is told to the host, which asks again."""

    def __init__(self, host, address, cluster, me):
        self.host, self.address, self.cluster = host, address, cluster
        self.node = resources.node(me, host.site["zone"])
        self.wanted, self.log = anyio.Event(), structlog.get_logger("foxstep.list")
        host.watch, host.fetch = self.watch, self.fetch

    def watch(self, on):
        if on:
            self.wanted.set()

    def fetch(self):
        self.wanted.set()

    async def run(self):
        options = [
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.max_receive_message_length", 16 * 2**20),
            ("grpc.max_reconnect_backoff_ms", 1000),
        ]
        async with grpc.aio.insecure_channel(self.address, options=options) as channel:
            while True:
                await self.wanted.wait()
                self.wanted = anyio.Event()
                try:
                    reason = await self.follow(channel)
                except (grpc.RpcError, asyncio.InvalidStateError, Unsound, TimeoutError) as error:
                    told = error.details() if isinstance(error, grpc.RpcError) else str(error)
                    reason = told or "no answer"
                except asyncio.CancelledError:
                    if not stray():
                        raise
                    reason = "the call was cancelled"
                self.log.warning("list failed", reason=reason)
                self.host.listed("failed", [])

    async def follow(self, channel):
        """One subscription, until it fails."""
        stub = eds_pb2_grpc.EndpointDiscoveryServiceStub(channel)
        call = stub.StreamEndpoints()
        request = discovery_pb2.DiscoveryRequest(
            node=self.node, resource_names=[self.cluster], type_url=resources.LINES
        )
        try:
            limit = self.host.site["ask_within"] / SECOND / 2
            await within(limit, call.write(request))
            response = await within(limit, call.read())
            while response is not grpc.aio.EOF:
                request = discovery_pb2.DiscoveryRequest(
                    resource_names=[self.cluster], type_url=resources.LINES, response_nonce=response.nonce
                )
                try:
                    lines = read_list(response, self.cluster, self.host.wall_offset)
                    request.version_info = response.version_info
                    self.host.listed("whole", lines)
                except Unsound as error:
                    request.error_detail.message = str(error)
                    self.log.warning("list refused", reason=str(error))
                await call.write(request)
                response = await call.read()
            return "ended by the service"
        finally:
            call.cancel()
