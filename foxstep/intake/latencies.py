"""Quantiles of the times that proxies tell, by op type and server, of the last minute or so. No I/O.

What a proxy tells is the mean of its acked ops at a server in one report: quantiles are over those means,
each counted for as many ops. Two generations are kept, the newer one is written; both are read.
"""

from ddsketch import DDSketch

ACCURACY = 0.02  # relative, of any quantile
NOTED = 4  # a sketch costs more to add to than a line costs to read
GENERATION = 60  # cycles of reports
SLOWEST = 5  # servers that are named to an operator


class Latencies:
    def __init__(self, cycle):
        self.span, self.ends = GENERATION * cycle, None
        self.turns = 0
        self.now, self.before = {}, {}  # (op type, server) -> sketch

    def note(self, op_type, server, latency, acked):
        """`acked` ops of which the mean took `latency` microseconds. One in so many counts, for as many."""
        self.turns = (self.turns + 1) % NOTED
        if self.turns:
            return
        key = (op_type, server)
        sketch = self.now.get(key)
        if sketch is None:
            sketch = self.now[key] = DDSketch(ACCURACY)
        sketch.add(latency, acked * NOTED)

    def turn(self, now):
        if self.ends is None:
            self.ends = now + self.span
        elif now >= self.ends:
            self.before, self.now, self.ends = self.now, {}, now + self.span

    def view(self):
        """Op type -> {"ops", "p50_ms", "p90_ms", "p99_ms", "slowest": [(server, p90 in ms)]}."""
        whole, by_server = {}, {}
        for known in (self.before, self.now):
            for (op_type, server), sketch in known.items():
                whole.setdefault(op_type, DDSketch(ACCURACY)).merge(sketch)
                by_server.setdefault(op_type, {}).setdefault(server, []).append(sketch)
        out = {}
        for op_type, sketch in whole.items():
            # The worse of two generations: a server that has become slow shows at once.
            slow = {
                server: max(one.get_quantile_value(0.9) for one in both)
                for server, both in by_server[op_type].items()
            }
            slowest = sorted(slow.items(), key=lambda one: (-one[1], one[0]))[:SLOWEST]
            out[op_type] = {
                "ops": round(sketch.count),
                **{
                    f"p{round(100 * q)}_ms": round(sketch.get_quantile_value(q) / 1000, 1)
                    for q in (0.5, 0.9, 0.99)
                },
                "slowest": [(s, round(took / 1000, 1)) for s, took in slowest],
            }
        return out
