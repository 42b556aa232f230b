"""Results of each version while it was in force, and the last good version. No I/O, no clock.

Reports count for the version that was newest when they arrived, less the time that a table takes to reach the
proxies and their reports to come back. Versions change about every second, so they are judged in intervals of
consecutive versions that together have enough tries.
"""

MIN_TRIES = 200  # tries that an interval needs before it is judged
MAX_ERROR_RATIO = 2.0  # of a good interval's aborted fraction to the baseline
MIN_BASELINE_ERRORS = 0.03  # lower limit of the baseline's aborted fraction
MAX_LATENCY_RATIO = 1.5  # of a good interval's mean latency to the baseline
MAX_REFUSED_FRACTION = 0.1  # of the tables of a good interval
BASELINE_DIVISOR = 4  # the baseline is what the best quarter of the intervals stays within


class Interval:
    """Consecutive versions and the results while they were in force."""

    def __init__(self, first):
        self.first = self.last = first
        self.tries = self.aborted = self.acked = 0
        self.latency = 0.0
        self.tables = self.refused = self.violations = 0

    def aborted_fraction(self):
        return self.aborted / self.tries if self.tries else 0.0

    def mean_latency(self):
        return self.latency / self.acked if self.acked else 0.0


class Evidence:
    """`lag`: microseconds from an order to the first reports of its effect. `keep`: intervals remembered."""

    def __init__(self, lag, keep=256):
        self.lag, self.keep = lag, keep
        self.intervals, self.pending = [], []  # oldest first; (at, version) without reports so far

    def record_version(self, now, version):
        self.pending.append((now, version))

    def current(self, now):
        """The interval to which reports that arrive now belong, or None before the first version."""
        while self.pending and self.pending[0][0] + self.lag <= now:
            _, version = self.pending.pop(0)
            last = self.intervals[-1] if self.intervals else None
            if last is None or last.tries >= MIN_TRIES:
                self.intervals.append(Interval(version))
                del self.intervals[: -self.keep]
            else:
                last.last = version
        return self.intervals[-1] if self.intervals else None

    def record_tries(self, now, tries, aborted, latency):
        """Adds the results in one report. `latency`: total latency of the acked tries, microseconds."""
        interval = self.current(now)
        if interval:
            interval.tries += tries
            interval.aborted += aborted
            interval.acked += tries - aborted
            interval.latency += latency

    def record_answer(self, now, refused):
        """Adds the answer of a proxy to a table."""
        interval = self.current(now)
        if interval:
            interval.tables += 1
            interval.refused += refused

    def record_rule_violation(self, now):
        """The host saw a rule at risk: a proxy without a line, or the channel over its limit."""
        interval = self.current(now)
        if interval:
            interval.violations += 1

    def verdicts(self):
        """[(interval, "good" or the reason why not)], oldest first, without intervals with too few tries."""
        judged = [i for i in self.intervals if i.tries >= MIN_TRIES]
        if not judged:
            return []
        best = max(1, len(judged) // BASELINE_DIVISOR)
        baseline_errors = max(sorted(i.aborted_fraction() for i in judged)[best - 1], MIN_BASELINE_ERRORS)
        baseline_latency = sorted(i.mean_latency() for i in judged)[best - 1]
        return [(i, self.verdict(i, baseline_errors, baseline_latency)) for i in judged]

    def verdict(self, interval, baseline_errors, baseline_latency):
        if interval.violations:
            return "a rule was in danger"
        if interval.aborted_fraction() > MAX_ERROR_RATIO * baseline_errors:
            return f"aborted {interval.aborted_fraction():.2f}"
        if baseline_latency and interval.mean_latency() > MAX_LATENCY_RATIO * baseline_latency:
            return f"latency {interval.mean_latency() / 1000:.0f} ms"
        if interval.refused > MAX_REFUSED_FRACTION * interval.tables:
            return f"{interval.refused} tables refused"
        return "good"

    def last_good(self, known):
        """The newest version of the newest good interval that is still in the history, or None."""
        for interval, verdict in reversed(self.verdicts()):
            if verdict == "good" and interval.last in known:
                return interval.last
        return None
