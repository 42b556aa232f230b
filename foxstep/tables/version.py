"""Names of versions: an epoch, which grows with every start of any controller, and a count within it."""

import re
from typing import NamedTuple

WRITTEN = re.compile(r"(\d{1,19})\.(\d{1,19})")


class Version(NamedTuple):
    """Ordered by epoch, then count; whole numbers without a bound, so that none wraps."""

    epoch: int
    count: int

    def __str__(self):
        return f"{self.epoch}.{self.count}"

    @classmethod
    def read(cls, text):
        """Raises ValueError. What follows a "/" or "@" (how often it was written, and what it was rolled back
        to) is no part of the version."""
        found = WRITTEN.fullmatch(text.partition("/")[0].partition("@")[0])
        if not found:
            raise ValueError(f'expected a version such as "12.345", got {text[:60]!r}')
        return cls(int(found[1]), int(found[2]))


CONTROLLERS = 64  # controllers of one site that can tell their epochs apart


def epoch_after(seen, me):
    """The first epoch of controller `me` above `seen`, and of no other controller. Guards against a store
    that was lost and a wall clock that stepped back, either of which would start a controller below what
    proxies hold, and against two controllers that start within one second."""
    return (seen // CONTROLLERS + 1) * CONTROLLERS + me % CONTROLLERS
