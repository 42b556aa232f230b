"""The addresses on which a controller listens: gRPC, SASP, and datagrams of the other controllers."""

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
import grpc

from foxstep.commands import CommandError
from foxstep.xds.front import MAX_REPORT_BYTES

SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_REPORT_BYTES),
    ("grpc.max_concurrent_streams", 10_000),
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.ping_timeout_ms", 2_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Proxies ping often, also between two streams; gRPC must not close their connections for it.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 50),
    ("grpc.http2.max_ping_strikes", 0),
]


class ListenError(CommandError):
    """An address cannot be listened on. The message is one line that names the option and the address."""


@dataclass(frozen=True, slots=True)
class Listeners:
    """`address` and `sasp_address` have the ports that were bound, also where any free one was asked for."""

    server: grpc.aio.Server  # bound, and not started
    address: str
    notes: Any = None  # anyio UDP socket
    sasp: Any = None  # anyio TCP listener
    sasp_address: str = ""


def split_address(address):
    """(host, port) of an address such as 127.0.0.1:0."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def bind_server(listen):
    """A gRPC server on the address `listen`, and its address. Raises ListenError."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    try:
        port = server.add_insecure_port(listen)
    except RuntimeError:
        raise ListenError(f"--listen {listen}: the address cannot be used, or is in use") from None
    return server, f"{split_address(listen)[0]}:{port}"


async def bind(option, address, create_socket):
    """The socket that `create_socket` makes for an address. Raises ListenError."""
    host, port = split_address(address)
    try:
        return await create_socket(local_host=host, local_port=port)
    except OSError as error:
        raise ListenError(f"{option} {address}: {error.strerror}") from None


@asynccontextmanager
async def open_listeners(listen, notes="", sasp=""):
    """The Listeners on these addresses; "" for none. Raises ListenError.

    The sockets are closed at the end. The gRPC server is the caller's to start and to stop.
    """
    async with AsyncExitStack() as stack:
        notes_socket = None
        if notes:
            notes_socket = await stack.enter_async_context(
                await bind("--notes", notes, anyio.create_udp_socket)
            )
        sasp_listener = None
        sasp_address = ""
        if sasp:
            sasp_listener = await stack.enter_async_context(
                await bind("--sasp", sasp, anyio.create_tcp_listener)
            )
            sasp_port = sasp_listener.extra(anyio.abc.SocketAttribute.local_port)
            sasp_address = f"{split_address(sasp)[0]}:{sasp_port}"
        server, address = bind_server(listen)
        yield Listeners(server, address, notes_socket, sasp_listener, sasp_address)
