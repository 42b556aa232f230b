"""Schedules the full table for a proxy that refused an update. No I/O, no clock.

A proxy that refuses keeps its old table, so the decision module's view of it is wrong. It is reported to the
module as joined again, and the module binds it again. Each refusal in a row doubles the delay, which limits
the cost of a table that the proxy can never accept. The drawback: a proxy that could accept the next table at
once waits too.
"""


class Repairs:
    """`delay`: microseconds before the first repair."""

    def __init__(self, delay, max_doublings=6):
        self.delay, self.max_doublings = delay, max_doublings
        self.refusals, self.due = {}, {}

    def refused(self, now, proxy):
        """Records a refusal; returns when the repair is due."""
        in_a_row = self.refusals[proxy] = self.refusals.get(proxy, 0) + 1
        if proxy not in self.due:
            self.due[proxy] = now + self.delay * 2 ** min(in_a_row - 1, self.max_doublings)
        return self.due[proxy]

    def accepted(self, proxy):
        if proxy not in self.due:
            self.refusals.pop(proxy, None)

    def forget(self, proxy):
        self.refusals.pop(proxy, None)
        self.due.pop(proxy, None)

    def next_at(self):
        return min(self.due.values(), default=None)

    def next_due(self, now):
        """Removes and returns a proxy whose repair is due, or None."""
        for proxy, at in self.due.items():
            if at <= now:
                del self.due[proxy]
                return proxy
        return None
