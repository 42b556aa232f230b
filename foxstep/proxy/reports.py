"""What the proxy met at servers, added up until it is told. Bounded: one line a server and op type. No
I/O."""

MOST = 20_000  # lines; beyond that what is new is not counted, and that is told


class Reports:
    def __init__(self):
        self.met = {}
        self.uncounted = 0

    def tried(self, server, op_type, good, took, load):
        """One try: `took` in seconds, `load` the server's ORCA report or None."""
        key = server, op_type
        if key not in self.met:
            if len(self.met) >= MOST:
                self.uncounted += 1
                return
            self.met[key] = [0, 0, 0.0, {}]
        sums = self.met[key]
        sums[0 if good else 1] += 1
        if good:
            sums[2] += took
        if load is not None:
            for name, value in (("busy", load.cpu_utilization), *load.named_metrics.items()):
                if name in ("busy", "waiting", "holding"):
                    times, total = sums[3].get(name, (0, 0.0))
                    sums[3][name] = times + 1, total + value

    def told(self):
        """(server, op type) -> [good, bad, seconds of the good, {metric: (times, total)}] since last
        asked."""
        met = self.met
        self.met = {}
        return met

    def forget(self):
        """What was met without a stream is not told as of now."""
        self.met = {}
