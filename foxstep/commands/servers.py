"""`foxstep servers`: prints the list of servers that a list service (EDS) gives."""

import time

import anyio
import click
import grpc
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc

from foxstep.site import InputError
from foxstep.xds import resources
from foxstep.xds.listing import InvalidList, read_list


async def fetch(address, cluster, within=5.0):
    """The list as `interface.ListedServer` entries, with start times in wall-clock microseconds.

    `within` is the timeout in seconds. Raises grpc.RpcError, or InvalidList for an invalid list.
    """
    async with grpc.aio.insecure_channel(address) as channel:
        call = eds_pb2_grpc.EndpointDiscoveryServiceStub(channel).StreamEndpoints(timeout=within)
        await call.write(
            discovery_pb2.DiscoveryRequest(
                node=resources.node("foxstep-servers", ""),
                resource_names=[cluster],
                type_url=resources.ASSIGNMENT_TYPE,
            )
        )
        response = await call.read()
        call.cancel()
        if response is grpc.aio.EOF:
            raise InvalidList("the service ended the stream without a response")
        return read_list(response, cluster, 0)


def run(address, cluster):
    """Prints one server per line.

    Raises InputError if the service can't be reached or its list is invalid.
    """
    try:
        servers = anyio.run(fetch, address, cluster)
    except grpc.RpcError as error:
        raise InputError(f"{address}: no list service answers there: {error.details()}") from None
    except InvalidList as error:
        raise InputError(f"{address}: {error}") from None
    for ident, zone, kind, _, state, size, started in sorted(servers):
        uptime = f"up {time.time() - started / 1e6:.0f} s" if started else "up for a long time"
        click.echo(f"{ident:24} {zone:12} {kind:12} {state:10} size {size:g}  {uptime}")
