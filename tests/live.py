"""Runs a controller in the test process on real sockets, and a minimal discovery client for it."""

import gc
from contextlib import asynccontextmanager

import anyio
import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc

from foxstep.balance import Controller
from foxstep.live.clocks import clock, wall
from foxstep.live.serving import ServingHost
from foxstep.operate.service import OperatorService
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES
from foxstep.xds import resources
from foxstep.xds.front import Front
from foxstep.xds.protocol import QUOTAS_FEATURE

SITE = f"{EXAMPLES}/loopback.jsonnet"
FAILED_KINDS = {"failed", "lost"}  # of server lists that are reported to a host


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
async def collect_garbage():
    """Collects gRPC objects of a test while its event loop still runs, which their finalizers need."""
    yield
    gc.collect()
    await anyio.sleep(0.2)


def open_lines(*servers, state="open"):
    return [(s, "east", "plain", 0, state, 1.0, 0) for s in servers]


SERVERS = [f"127.0.0.1:{7000 + k}" for k in range(6)]


@asynccontextmanager
async def serve_grpc(server):
    """The port of a grpc.aio server that runs in this context.

    It is stopped also when the test fails: a server that is never stopped makes grpcio wait without end when
    it frees its last object, in whichever test comes next.
    """
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    try:
        yield port
    finally:
        with anyio.CancelScope(shield=True):
            await server.stop(None)


@asynccontextmanager
async def controller(port=0, directory=None, make=Controller, reading=0.4, **changes):
    """(host, address) of a running controller; `changes` override the example site's settings."""
    site = read_site(SITE)
    host = ServingHost(
        {**site.settings_map(), "list_asked": False, "probes": False, **changes},
        1,
        clock,
        wall,
        directory,
        make=make,
        reading=reading,
    )
    front = Front(host, site.name, [{"name": o.name, "method": ""} for o in site.op_types])
    server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
    front.add_to(server)
    host.operator = OperatorService(host)
    server.add_generic_rpc_handlers((host.operator,))
    port = server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    host.front = front
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(host.run)
            yield host, f"127.0.0.1:{port}"
            group.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await server.stop(0)
            host.store.close()


class Client:
    """A minimal ADS client that sends only what a test asks for."""

    def __init__(self, channel, ident, zone="east", quotas=True):
        self.node, self.channel = resources.node(ident, zone), channel
        if quotas:
            self.node.client_features.append(QUOTAS_FEATURE)
        self.name = resources.SHARED_ASSIGNMENT if quotas else "look-up"
        self.call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()

    async def ask(self, kind=resources.ASSIGNMENT_TYPE, names=None, **fields):
        await self.call.write(
            discovery_pb2.DiscoveryRequest(
                node=self.node, type_url=kind, resource_names=names or [self.name], **fields
            )
        )

    async def response(self, timeout_s=3.0):
        with anyio.fail_after(timeout_s):
            return await self.call.read()

    async def table(self, timeout_s=3.0):
        """(response, server -> weight) of the next assignment."""
        while True:
            response = await self.response(timeout_s)
            assert response is not grpc.aio.EOF, "the stream has ended"
            if response.type_url == resources.ASSIGNMENT_TYPE:
                assignment = endpoint_pb2.ClusterLoadAssignment()
                response.resources[0].Unpack(assignment)
                return response, {
                    e.locality.sub_zone: e.load_balancing_weight.value for e in assignment.endpoints
                }

    async def accept(self, response):
        await self.ask(response.type_url, version_info=response.version_info, response_nonce=response.nonce)

    async def refuse(self, response, reason):
        request = discovery_pb2.DiscoveryRequest(
            type_url=response.type_url, resource_names=[self.name], response_nonce=response.nonce
        )
        request.error_detail.message = reason
        await self.call.write(request)

    async def report(self, *stats):
        """Sends load reports on a stream of their own, and waits until the controller has read them."""
        call = lrs_pb2_grpc.LoadReportingServiceStub(self.channel).StreamLoadStats()
        await call.write(lrs_pb2.LoadStatsRequest(node=self.node))
        await call.read()
        await call.write(lrs_pb2.LoadStatsRequest(node=self.node, cluster_stats=stats))
        await call.done_writing()
        await call.read()


async def until(condition, within=3.0):
    """Waits until the condition is true; fails after `within` seconds."""
    with anyio.fail_after(within):
        while not condition():
            await anyio.sleep(0.01)


def record_list_kinds(host):
    """Records the kind of each list that is reported to the host; returns the list of kinds."""
    kinds, listed = [], host.listed
    host.listed = lambda kind, lines: (kinds.append(kind), listed(kind, lines))
    return kinds


def record_retry_delays(host):
    """Records by how much the next request for the server list is to follow each failed one, in microseconds;
    returns the list of delays. They are the decision module's, however late the event loop is."""
    delays, controller, listed = [], host.controller, host.controller.listed

    def record_failure(now, kind, lines):
        listed(now, kind, lines)
        if kind in FAILED_KINDS:
            delays.append(controller.list_subscription.due_at - now)

    controller.listed = record_failure
    return delays
