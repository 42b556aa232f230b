"""The clocks of a running controller, in whole microseconds."""

import time


def clock():
    """Monotonic time."""
    return time.monotonic_ns() // 1000


def wall():
    """Wall-clock time since the Unix epoch."""
    return time.time_ns() // 1000
