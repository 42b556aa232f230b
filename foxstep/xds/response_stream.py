"""What the streams of the gRPC front have in common: they write responses whenever they are woken."""

import anyio

from foxstep.xds.cancellation import with_timeout

WRITE_TIMEOUT_S = 30.0  # after which the stream of a client that reads nothing is ended


class ResponseStream:
    """The writing side of one stream. Set `wakeup` when there may be something to write."""

    def __init__(self):
        self.wakeup = anyio.Event()

    async def write(self, context, response):
        """Writes a response. Raises TimeoutError if the client does not read."""
        await with_timeout(WRITE_TIMEOUT_S, context.write(response))

    async def wait_for_wakeup(self):
        """Waits until the stream is woken, or for `WRITE_TIMEOUT_S`."""
        with anyio.move_on_after(WRITE_TIMEOUT_S):
            await self.wakeup.wait()
        self.wakeup = anyio.Event()
