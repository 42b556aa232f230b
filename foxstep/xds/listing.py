"""Client of the server list, by the endpoint discovery service (EDS, state of the world).

An endpoint's health status says whether the server is open or draining; its metadata under `foxstep` holds
kind, cell, size and start time.
"""

import asyncio
from dataclasses import dataclass

import anyio
import grpc
import structlog
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc

from foxstep.xds import resources
from foxstep.xds.cancellation import is_stray_cancellation, with_timeout

MAX_SERVERS = 20_000
MAX_LIST_BYTES = 16 * 2**20
MILLISECOND_US = 1_000
SECOND_US = 1_000_000
# Of `ask_within`, after which a change counts as known: the time without data until the connection is probed,
# and again until a probe that gets no answer ends it.
KEEPALIVE_FRACTION = 0.25
MIN_KEEPALIVE_MS = 100
DRAINING_STATUSES = (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY)


class InvalidList(ValueError):
    """A server list that is invalid; the text says why."""


def find_assignment(response, cluster):
    """The assignment of that cluster in a DiscoveryResponse. Raises InvalidList if there is none, or another
    kind of resource."""
    assignment = None
    for resource in response.resources:
        message = endpoint_pb2.ClusterLoadAssignment()
        if not resource.Unpack(message):
            raise InvalidList(f"not an assignment but {resource.type_url[:100]}")
        if message.cluster_name == cluster:
            assignment = message
    if assignment is None:
        raise InvalidList(f"no assignment named {cluster}")
    return assignment


def read_address(endpoint):
    """The server's id, its address with the port, or None if there is no valid one."""
    address = endpoint.endpoint.address.socket_address
    if not address.address or not 0 < address.port_value < 65536:
        return None
    host = f"[{address.address}]" if ":" in address.address else address.address
    return f"{host}:{address.port_value}"


@dataclass(frozen=True, slots=True)
class Metadata:
    """What an endpoint's metadata says of its server. `started_at`: on the host's clock, 0 for long ago."""

    kind: str
    cell: int
    size: float
    started_at: int


def read_metadata(endpoint, ident, wall_offset):
    """The Metadata of an endpoint. Raises InvalidList."""
    metadata = endpoint.metadata.filter_metadata.get("foxstep")
    metadata = {} if metadata is None else dict(metadata)
    try:
        cell = int(metadata.get("cell", 0))
        started = float(metadata.get("started", 0))
        size = float(metadata.get("size", 1))
        started_at = max(round(started * SECOND_US) - wall_offset, 1) if started else 0
    except (TypeError, ValueError, OverflowError):
        raise InvalidList(f"{ident}: cell, size and started are numbers") from None
    return Metadata(str(metadata.get("kind", "")), cell, size, started_at)


def read_list(response, cluster, wall_offset):
    """Returns the list in a DiscoveryResponse as `interface.ListedServer` entries, start times on the host's
    clock.

    `wall_offset`: wall clock minus host clock, in microseconds. Raises InvalidList for an invalid list:
    a list is used whole or not at all, and one without any server is handled like a failed call.
    """
    entries = {}
    for group in find_assignment(response, cluster).endpoints:
        for endpoint in group.lb_endpoints:
            ident = read_address(endpoint)
            if ident is None:
                raise InvalidList(f"entry {len(entries)} without an address")
            if ident in entries:
                raise InvalidList(f"{ident} listed twice")
            metadata = read_metadata(endpoint, ident, wall_offset)
            entries[ident] = (
                ident,
                group.locality.zone,
                metadata.kind,
                metadata.cell,
                "draining" if endpoint.health_status in DRAINING_STATUSES else "open",
                metadata.size,
                metadata.started_at,
            )
            if len(entries) > MAX_SERVERS:
                raise InvalidList(f"over {MAX_SERVERS} servers")
    if not entries:
        raise InvalidList("no server at all")
    return list(entries.values())


class ListClient:
    """Follows the server list while the host requests it. Reports a failure to the host, which retries."""

    def __init__(self, host, address, cluster, me):
        self.host = host
        self.address = address
        self.cluster = cluster
        self.node = resources.node(me, host.site["zone"])
        self.requested = anyio.Event()
        # Whether a subscription that had delivered a list has ended since the last accepted list: changes
        # that the service sent in it may be lost.
        self.changes_lost = False
        self.log = structlog.get_logger("foxstep.list")
        host.watch, host.fetch = self.watch, self.fetch

    def watch(self, on):
        """Starts the subscription if `on`; otherwise nothing changes, and a subscription continues."""
        if on:
            self.requested.set()

    def fetch(self):
        self.requested.set()

    def channel_options(self):
        """gRPC's options: a service that has gone silent is noticed within half of `ask_within`, or 200 ms.

        A service that does not allow so many keepalive pings ends the connection with "too many pings"; gRPC
        then doubles the interval.
        """
        ask_within_ms = self.host.site["ask_within"] / MILLISECOND_US
        keepalive_ms = max(round(KEEPALIVE_FRACTION * ask_within_ms), MIN_KEEPALIVE_MS)
        return [
            ("grpc.keepalive_time_ms", keepalive_ms),
            ("grpc.keepalive_timeout_ms", keepalive_ms),
            ("grpc.http2.ping_timeout_ms", keepalive_ms),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.max_receive_message_length", MAX_LIST_BYTES),
            ("grpc.max_reconnect_backoff_ms", 1000),
        ]

    async def run(self):
        """Runs the requested subscriptions until cancelled."""
        async with grpc.aio.insecure_channel(self.address, options=self.channel_options()) as channel:
            while True:
                await self.requested.wait()
                self.requested = anyio.Event()
                try:
                    reason = await self.follow(channel)
                except (grpc.RpcError, asyncio.InvalidStateError, InvalidList, TimeoutError) as error:
                    details = error.details() if isinstance(error, grpc.RpcError) else str(error)
                    reason = details or "no response"
                except asyncio.CancelledError:
                    if not is_stray_cancellation():
                        raise
                    reason = "the call was cancelled"
                self.log.warning("list failed", reason=reason, changes_lost=self.changes_lost)
                self.host.listed("lost" if self.changes_lost else "failed", [])

    async def follow(self, channel):
        """Runs one subscription until it fails; returns or raises the reason."""
        stub = eds_pb2_grpc.EndpointDiscoveryServiceStub(channel)
        call = stub.StreamEndpoints()
        request = discovery_pb2.DiscoveryRequest(
            node=self.node, resource_names=[self.cluster], type_url=resources.ASSIGNMENT_TYPE
        )
        accepted = False
        try:
            timeout_s = self.host.site["ask_within"] / SECOND_US / 2
            await with_timeout(timeout_s, call.write(request))
            response = await with_timeout(timeout_s, call.read())
            while response is not grpc.aio.EOF:
                request = discovery_pb2.DiscoveryRequest(
                    resource_names=[self.cluster],
                    type_url=resources.ASSIGNMENT_TYPE,
                    response_nonce=response.nonce,
                )
                try:
                    entries = read_list(response, self.cluster, self.host.wall_offset)
                    request.version_info = response.version_info
                    self.host.listed("whole", entries)
                    accepted = True
                    self.changes_lost = False
                except InvalidList as error:
                    request.error_detail.message = str(error)
                    self.log.warning("list refused", reason=str(error))
                await call.write(request)
                response = await call.read()
            return "ended by the service"
        finally:
            self.changes_lost = self.changes_lost or accepted
            call.cancel()
