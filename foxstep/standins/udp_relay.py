"""A UDP relay between controllers: a socket for each ordered pair, each of which can be cut."""

from contextlib import AsyncExitStack

import anyio


class UdpRelay:
    """`ports`: the UDP port of each controller. `sockets`: (from, to) -> relay socket."""

    def __init__(self, ports):
        self.ports = ports
        self.sockets = {}
        self.cut = set()  # pairs (from, to) whose datagrams are dropped

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Opens all sockets and relays until cancelled."""
        async with AsyncExitStack() as stack, anyio.create_task_group() as group:
            for a in range(len(self.ports)):
                for b in range(len(self.ports)):
                    if a != b:
                        relay_socket = await stack.enter_async_context(
                            await anyio.create_udp_socket(local_host="127.0.0.1")
                        )
                        self.sockets[a, b] = relay_socket
                        group.start_soon(self.relay, relay_socket, a, b)
            task_status.started()

    async def relay(self, relay_socket, a, b):
        async for data, _ in relay_socket:
            if (a, b) not in self.cut:
                await relay_socket.sendto(data, "127.0.0.1", self.ports[b])

    def address(self, a, b):
        """The address to which controller `a` sends datagrams for controller `b`."""
        return f"127.0.0.1:{self.sockets[a, b].extra(anyio.abc.SocketAttribute.local_port)}"
