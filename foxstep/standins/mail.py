"""The way of notes between controllers: a datagram relay for each pair; any can be cut, one way too."""

from contextlib import AsyncExitStack

import anyio


class Mail:
    """`ports`: where each controller hears its notes. `address(a, b)`: where a sends what is for b."""

    def __init__(self, ports):
        self.ports = ports
        self.ways = {}
        self.cut = set()  # cut: (from, to)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        async with AsyncExitStack() as stack, anyio.create_task_group() as group:
            for a in range(len(self.ports)):
                for b in range(len(self.ports)):
                    if a != b:
                        way = await stack.enter_async_context(
                            await anyio.create_udp_socket(local_host="127.0.0.1")
                        )
                        self.ways[a, b] = way
                        group.start_soon(self.relay, way, a, b)
            task_status.started()

    async def relay(self, way, a, b):
        async for data, _ in way:
            if (a, b) not in self.cut:
                await way.sendto(data, "127.0.0.1", self.ports[b])

    def address(self, a, b):
        return f"127.0.0.1:{self.ways[a, b].extra(anyio.abc.SocketAttribute.local_port)}"
