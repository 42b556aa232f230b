"""The base of the proxy's client and server connections: an `h2` state machine over a transport."""

import asyncio


class Http2Protocol(asyncio.Protocol):
    """`http2` is the connection's `h2.connection.H2Connection`."""

    def __init__(self, http2):
        self.http2 = http2
        self.transport = None
        self.closed = self.flushing = False

    def flush(self):
        """Schedules one write at the end of this event loop iteration, for headers and body together."""
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self.write_out)

    def write_out(self):
        """Writes the pending bytes at once."""
        self.flushing = False
        data = self.http2.data_to_send()
        if data and not self.closed:
            self.transport.write(data)
