"""When a proxy that refused its table is to be given a whole one. No I/O, no clock.

A refusal leaves the old table standing, so what the module believes of that proxy is no longer so. It is told
that the proxy joined anew and binds it again. Guards against a table that can never be taken: each refusal in
a row doubles the wait. Harm: a proxy that could take the next table at once waits for it.
"""


class Repairs:
    def __init__(self, wait, most_doublings=6):
        self.wait, self.most_doublings = wait, most_doublings
        self.refusals, self.due = {}, {}

    def refused(self, now, proxy):
        """Notes a refusal; answers when the repair is due."""
        row = self.refusals[proxy] = self.refusals.get(proxy, 0) + 1
        if proxy not in self.due:
            self.due[proxy] = now + self.wait * 2 ** min(row - 1, self.most_doublings)
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
        """A proxy whose repair is due, or None."""
        for proxy, at in self.due.items():
            if at <= now:
                del self.due[proxy]
                return proxy
        return None
