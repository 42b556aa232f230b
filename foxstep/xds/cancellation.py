"""Timeouts on gRPC calls, and detection of cancellations that were not requested.

grpcio awaits internal tasks of its own. When such a wait is cut short, or a call ends while it is being read,
a bare CancelledError is raised. A task group would take it for its own cancellation and end all its tasks.
"""

import asyncio


async def with_timeout(seconds, awaitable):
    """Returns the awaitable's result. Raises TimeoutError after `seconds`, whatever gRPC raises by itself."""
    return await asyncio.wait_for(awaitable, seconds)


def is_stray_cancellation():
    """Whether the CancelledError that is being handled was not requested; the task then continues."""
    return asyncio.current_task().cancelling() == 0
