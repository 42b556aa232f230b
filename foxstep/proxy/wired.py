"""What both ends of the proxy have in common: an HTTP/2 state machine over a transport."""

import asyncio


class Wired(asyncio.Protocol):
    def __init__(self, wire):
        self.wire = wire
        self.transport = None
        self.gone = self.flushing = False

    def flush(self):
        """Writes what is to be written once this turn of the loop is over: headers and body in one piece."""
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self.write_out)

    def write_out(self):
        self.flushing = False
        data = self.wire.data_to_send()
        if data and not self.gone:
            self.transport.write(data)
