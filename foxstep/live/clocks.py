"""The clocks of a running controller, in whole microseconds."""

import time


def clock():
    return time.monotonic_ns() // 1000


def wall():
    return time.time_ns() // 1000
