"""Limits on waits for gRPC, and cancellations that are nobody's.

grpcio awaits tasks of its own: when a wait for one is cut short, or a call ends under a reader, what comes up
is a bare CancelledError that a task group would take for its own cancellation, and end all beside it.
"""

import asyncio


async def within(seconds, awaitable):
    """The awaitable's result. Raises TimeoutError after so many seconds, whatever gRPC makes of it."""
    return await asyncio.wait_for(awaitable, seconds)


def stray():
    """Whether the CancelledError being handled was asked for by nobody: then the task goes on."""
    return asyncio.current_task().cancelling() == 0
