"""A TCP relay in front of a test server that delays, refuses or resets connections."""

import asyncio
import socket
import struct

CHUNK_BYTES = 65536


class TcpRelay:
    """Relays TCP from `port` to the port `inner_port`.

    `accept_delay`: seconds by which a new connection is delayed. `connections`: the open connections' tasks.
    """

    def __init__(self):
        self.port = 0
        self.inner_port = 0
        self.accept_delay = 0.0
        self.server = None
        self.connections = set()

    async def start(self, inner_port):
        """Listens on the same port as before, or a free one the first time."""
        self.inner_port = inner_port
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", self.port, limit=CHUNK_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def relay(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        inner_writer = None
        try:
            await asyncio.sleep(self.accept_delay)
            inner_reader, inner_writer = await asyncio.open_connection(
                "127.0.0.1", self.inner_port, limit=CHUNK_BYTES
            )
            ends = [
                asyncio.ensure_future(self.copy(*pair))
                for pair in ((reader, inner_writer), (inner_reader, writer))
            ]
            try:
                await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for end in ends:
                    end.cancel()
        except (OSError, asyncio.CancelledError):
            self.reset(writer)
        finally:
            self.connections.discard(task)
            for end in (writer, inner_writer):
                if end:
                    end.close()

    def reset(self, writer):
        """Makes the next close of this connection send a TCP reset instead of an orderly end."""
        connection = writer.get_extra_info("socket")
        if connection and connection.fileno() >= 0:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def refuse_connections(self):
        """Refuses new connections and resets open ones, until `start` is called again."""
        if self.server:
            self.server.close()
        for task in list(self.connections):
            task.cancel()
