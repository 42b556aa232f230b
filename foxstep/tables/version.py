"""Version numbers: an epoch, which grows with every start of any controller, and a count within the epoch."""

import re
from typing import NamedTuple

VERSION_PATTERN = re.compile(r"(\d{1,19})\.(\d{1,19})")


class Version(NamedTuple):
    """Ordered by epoch, then by count. Python integers have no bound, so neither of them wraps."""

    epoch: int
    count: int

    def __str__(self):
        return f"{self.epoch}.{self.count}"

    @classmethod
    def parse(cls, text):
        """The version in `text`. Raises ValueError if there is none.

        What follows a "/" (how often it was written) or "@" (the version it was rolled back to) is ignored.
        """
        found = VERSION_PATTERN.fullmatch(text.partition("/")[0].partition("@")[0])
        if not found:
            raise ValueError(f'expected a version such as "12.345", got {text[:60]!r}')
        return cls(int(found[1]), int(found[2]))


MAX_CONTROLLERS = 64  # controllers of one site whose epochs never coincide


def epoch_after(seen, me):
    """The lowest epoch above `seen` that belongs to controller `me` and to no other controller.

    Without this, a controller whose store was lost or whose wall clock stepped back would start below the
    versions that proxies hold, and two controllers that start within one second would use the same epoch.
    """
    return (seen // MAX_CONTROLLERS + 1) * MAX_CONTROLLERS + me % MAX_CONTROLLERS
