"""The proxy's listening side: accepts HTTP/2 connections of clients and limits what they hold together."""

import asyncio

import h2.connection

from foxstep.proxy.client_connection import ClientConnection
from foxstep.proxy.status import UNAVAILABLE

READ_BUFFER_BYTES = 16_384  # that one client may send before the others are served again
MAX_CLIENTS = 1_000
MAX_HELD_BYTES = 32 * 2**20  # of the bodies of all ops
HELD_FRACTION_AFTER_LIMIT = 0.9


class Listener:
    """Listens for clients. `handle(op)` is an async function that answers an op."""

    def __init__(self, handle):
        self.handle = handle
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # shared: it is emptied at once
        self.clients = {}  # as a set in the order of acceptance
        self.held_bytes = 0  # of the bodies of all ops
        self.draining = False
        self.server = None
        self.port = 0

    async def open(self, host, port):
        """Starts to listen; port 0 picks a free one."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self), host, port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def add_client(self, client):
        """Adds a client. If there are too many, the oldest without an op is closed, or this one."""
        self.clients[client] = None
        if len(self.clients) > MAX_CLIENTS:
            next((c for c in self.clients if not c.ops), client).transport.abort()

    def limit_held_bytes(self):
        """Ends the ops with the longest bodies if all bodies together take too much memory.

        It goes on until a tenth of the memory is free, since choosing the ops takes a look at all of them."""
        if self.held_bytes <= MAX_HELD_BYTES:
            return
        ops = [op for client in self.clients for op in client.ops.values()]
        for op in sorted(ops, key=lambda op: -op.held_bytes):
            op.client.shed_op(op)
            if self.held_bytes <= HELD_FRACTION_AFTER_LIMIT * MAX_HELD_BYTES:
                return

    async def run(self, op):
        try:
            await self.handle(op)
        except asyncio.CancelledError:
            if not op.cancelled:
                op.fail(UNAVAILABLE, "the proxy stops")
            raise

    async def close(self, timeout):
        """Drains: refuses new ops and gives those in flight `timeout` seconds to finish."""
        self.draining = True
        if self.server:
            self.server.close()
        for client in self.clients:
            # Sends GOAWAY. h2 then refuses to send on the connection, so its state is reset for the open ops.
            client.http2.close_connection(last_stream_id=client.http2.highest_inbound_stream_id)
            client.http2.state_machine.state = h2.connection.ConnectionState.SERVER_OPEN
            client.flush()
        deadline = asyncio.get_running_loop().time() + timeout
        while any(c.ops for c in self.clients) and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
        for client in list(self.clients):
            for op in list(client.ops.values()):
                op.task.cancel()
            await asyncio.sleep(0)
            client.write_out()
            client.transport.close()  # after the last answers are written
