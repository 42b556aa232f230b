"""Sums the outcomes of tries at servers until they are reported. Bounded: one entry for each server and op
type. No I/O."""

MAX_ENTRIES = 20_000  # new pairs beyond that are left out and counted in `uncounted`


class Reports:
    """(server, op type) -> [succeeded, failed, seconds of the succeeded, {metric: (count, total)}]."""

    def __init__(self):
        self.sums = {}
        self.uncounted = 0

    def record_try(self, server, op_type, succeeded, seconds, load):
        """Adds one try: its duration in seconds, and the server's ORCA report or None as `load`."""
        key = server, op_type
        if key not in self.sums:
            if len(self.sums) >= MAX_ENTRIES:
                self.uncounted += 1
                return
            self.sums[key] = [0, 0, 0.0, {}]
        sums = self.sums[key]
        sums[0 if succeeded else 1] += 1
        if succeeded:
            sums[2] += seconds
        if load is not None:
            for name, value in (("busy", load.cpu_utilization), *load.named_metrics.items()):
                if name in ("busy", "waiting", "holding"):
                    count, total = sums[3].get(name, (0, 0.0))
                    sums[3][name] = count + 1, total + value

    def take(self):
        """Returns and resets the sums."""
        unsent = self.sums
        self.sums = {}
        return unsent

    def forget(self):
        """Drops sums from before a stream opened: they would be reported as if they were recent."""
        self.sums = {}
