"""A test double of the list service: endpoint discovery (EDS) that lists processes with a delay."""

import time

import anyio
import grpc
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc

ASSIGNMENT_TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"


class ListService(eds_pb2_grpc.EndpointDiscoveryServiceServicer):
    """`entries`: ident -> (zone, kind, state, start time or 0). Changes show `lag` seconds after `set`."""

    def __init__(self, record, clock, lag):
        self.record = record
        self.clock = clock
        self.lag = lag
        self.entries = {}
        self.shown = {}
        self.version = 0
        self.changed = anyio.Event()
        self.broken = False
        self.server = None
        self.port = 0
        self.pending = []

    async def start(self):
        """Starts the gRPC server on the same port as before, or a free one the first time."""
        self.server = grpc.aio.server(
            options=[
                ("grpc.so_reuseport", 0),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 50),
                ("grpc.http2.max_ping_strikes", 0),
            ]
        )
        eds_pb2_grpc.add_EndpointDiscoveryServiceServicer_to_server(self, self.server)
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()

    def set(self, ident, zone, kind, state, started=0.0, at_once=False):
        """Sets a server's entry; `state`: open, draining or gone. `at_once` leaves out the delay."""
        entries = dict(self.entries)
        if state == "gone":
            entries.pop(ident, None)
        else:
            entries[ident] = (zone, kind, state, started)
        self.entries = entries
        self.pending.append((self.clock() + (0 if at_once else self.lag), entries))

    async def run(self):
        """Publishes changes once their delay is over."""
        while True:
            now = self.clock()
            due = [entries for at, entries in self.pending if at <= now]
            if due:
                self.pending = [(at, entries) for at, entries in self.pending if at > now]
                self.shown = due[-1]
                self.version = self.version + 1
                self.changed.set()
                self.changed = anyio.Event()
            await anyio.sleep(0.05)

    def response(self):
        """The EDS response with the entries that are shown now."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name="servers")
        groups = {}
        offset = time.time() - self.clock()
        for ident, (zone, kind, state, started) in self.shown.items():
            if zone not in groups:
                groups[zone] = assignment.endpoints.add()
                groups[zone].locality.zone = zone
            endpoint = groups[zone].lb_endpoints.add()
            endpoint.health_status = (
                health_check_pb2.DRAINING if state == "draining" else health_check_pb2.HEALTHY
            )
            address = endpoint.endpoint.address.socket_address
            address.address, port = ident.rsplit(":", 1)
            address.port_value = int(port)
            facts = endpoint.metadata.filter_metadata["foxstep"]
            facts.update({"kind": kind, "started": started + offset if started else 0})
        response = discovery_pb2.DiscoveryResponse(
            version_info=str(self.version), type_url=ASSIGNMENT_TYPE, nonce=str(self.version)
        )
        response.resources.add().Pack(assignment)
        return response

    async def StreamEndpoints(self, request_iterator, context):
        """Sends and records the list on connect and after each change; fails while `broken` is set."""
        first = await anext(aiter(request_iterator))
        while True:
            if self.broken:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "out of order")
            for ident, (zone, _, state, started) in self.shown.items():
                self.record(
                    "told",
                    controller=first.node.id,
                    server=ident,
                    zone=zone,
                    state=state,
                    began=started,
                    version=self.version,
                )
            await context.write(self.response())
            version = self.version
            while version == self.version and not self.broken:
                with anyio.move_on_after(1):
                    await self.changed.wait()
