"""Quantiles of the latencies that proxies report, by op type and server, over about the last minute. No I/O.

A proxy reports the mean time of its acked ops at a server in one report. The quantiles are over these means,
each weighted by its number of ops. There are two generations of sketches: new values go into the current one,
and both are read.
"""

from ddsketch import DDSketch

RELATIVE_ACCURACY = 0.02  # of any quantile
SAMPLE_EVERY = 4  # lines; adding to a sketch costs more than reading a line
GENERATION_CYCLES = 60
MAX_SLOWEST_SERVERS = 5  # listed for an operator


class Latencies:
    """`cycle`: microseconds between two reports."""

    def __init__(self, cycle):
        self.generation_us = GENERATION_CYCLES * cycle
        self.generation_ends = None
        self.line_count = 0  # modulo SAMPLE_EVERY
        self.current, self.previous = {}, {}  # (op type, server) -> sketch

    def record(self, op_type, server, latency, acked):
        """Adds `acked` ops with a mean time of `latency` microseconds.

        Only every `SAMPLE_EVERY`-th call counts, with a weight of as many calls.
        """
        self.line_count = (self.line_count + 1) % SAMPLE_EVERY
        if self.line_count:
            return
        key = (op_type, server)
        sketch = self.current.get(key)
        if sketch is None:
            sketch = self.current[key] = DDSketch(RELATIVE_ACCURACY)
        sketch.add(latency, acked * SAMPLE_EVERY)

    def rotate(self, now):
        """Begins a new generation of sketches if the current one has ended."""
        if self.generation_ends is None:
            self.generation_ends = now + self.generation_us
        elif now >= self.generation_ends:
            self.previous, self.current, self.generation_ends = self.current, {}, now + self.generation_us

    def view(self):
        """Returns op type -> {"ops", "p50_ms", "p90_ms", "p99_ms", "slowest": [(server, p90 in ms)]}."""
        by_op_type, by_server = {}, {}
        for generation in (self.previous, self.current):
            for (op_type, server), sketch in generation.items():
                by_op_type.setdefault(op_type, DDSketch(RELATIVE_ACCURACY)).merge(sketch)
                by_server.setdefault(op_type, {}).setdefault(server, []).append(sketch)
        out = {}
        for op_type, sketch in by_op_type.items():
            # The higher p90 of the two generations: a server that has become slow is listed at once.
            p90_by_server = {
                server: max(one.get_quantile_value(0.9) for one in sketches)
                for server, sketches in by_server[op_type].items()
            }
            slowest = sorted(p90_by_server.items(), key=lambda item: (-item[1], item[0]))[
                :MAX_SLOWEST_SERVERS
            ]
            out[op_type] = {
                "ops": round(sketch.count),
                **{
                    f"p{round(100 * q)}_ms": round(sketch.get_quantile_value(q) / 1000, 1)
                    for q in (0.5, 0.9, 0.99)
                },
                "slowest": [(s, round(p90 / 1000, 1)) for s, p90 in slowest],
            }
        return out
