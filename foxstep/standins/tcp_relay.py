"""What stands in front of a stand-in server's port: connections that are slow to open, refused, or reset."""

import asyncio
import socket
import struct

CHUNK = 65536


class Door:
    """Relays TCP from `port` to an inner port. `slow` seconds pass before a new connection is let through."""

    def __init__(self):
        self.port = 0
        self.inner = 0
        self.slow = 0.0
        self.server = None
        self.open = set()

    async def start(self, inner):
        self.inner = inner
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", self.port, limit=CHUNK)
        self.port = self.server.sockets[0].getsockname()[1]

    async def relay(self, reader, writer):
        task = asyncio.current_task()
        self.open.add(task)
        onward = None
        try:
            await asyncio.sleep(self.slow)
            inner_reader, onward = await asyncio.open_connection("127.0.0.1", self.inner, limit=CHUNK)
            ends = [
                asyncio.ensure_future(self.pump(*pair)) for pair in ((reader, onward), (inner_reader, writer))
            ]
            try:
                await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for end in ends:
                    end.cancel()
        except (OSError, asyncio.CancelledError):
            self.reset(writer)
        finally:
            self.open.discard(task)
            for end in (writer, onward):
                if end:
                    end.close()

    def reset(self, writer):
        """The peer meets a reset, not an orderly end."""
        taken = writer.get_extra_info("socket")
        if taken and taken.fileno() >= 0:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(CHUNK):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def shut(self):
        """Refuses new connections and resets those that are open; `start` opens it again."""
        if self.server:
            self.server.close()
        for task in list(self.open):
            task.cancel()
