"""What each version did while it was in force, and which was last good. No I/O, no clock.

Reports are added up by the version that was newest when they came, shifted by the time that a table takes to
reach proxies and their reports to come back. Versions change each second or so; evidence is of stretches of
versions that together met enough tries to say something.
"""

ENOUGH = 200  # tries that make a stretch of versions tell
ERRORS_UP = 2.0  # a stretch is good up to so many times the calm aborted part,
CALM_ERRORS = 0.03  # which counts as this much at least,
LATENCY_UP = 1.5  # and up to so many times the calm latency
REFUSED_PART = 0.1  # and while fewer of its tables were refused
CALM_PART = 4  # calm is the best of so many parts of the stretches


class Stretch:
    """Versions in a row and what was met meanwhile."""

    def __init__(self, first):
        self.first = self.last = first
        self.tries = self.aborted = self.acked = 0
        self.latency = 0.0
        self.tables = self.refused = self.broken = 0

    def errors(self):
        return self.aborted / self.tries if self.tries else 0.0

    def wait(self):
        return self.latency / self.acked if self.acked else 0.0


class Evidence:
    """`lag`: microseconds from an order to the first reports that tell of it."""

    def __init__(self, lag, keep=256):
        self.lag, self.keep = lag, keep
        self.stretches, self.ordered = [], []  # oldest first; (at, version) not yet told of

    def ordered_now(self, now, version):
        self.ordered.append((now, version))

    def current(self, now):
        """The stretch that reports of now tell of, or None before the first version."""
        while self.ordered and self.ordered[0][0] + self.lag <= now:
            _, version = self.ordered.pop(0)
            last = self.stretches[-1] if self.stretches else None
            if last is None or last.tries >= ENOUGH:
                self.stretches.append(Stretch(version))
                del self.stretches[: -self.keep]
            else:
                last.last = version
        return self.stretches[-1] if self.stretches else None

    def met(self, now, tries, aborted, latency):
        """One report line: `latency` the total of the acked tries' times."""
        stretch = self.current(now)
        if stretch:
            stretch.tries += tries
            stretch.aborted += aborted
            stretch.acked += tries - aborted
            stretch.latency += latency

    def answered(self, now, refused):
        stretch = self.current(now)
        if stretch:
            stretch.tables += 1
            stretch.refused += refused

    def rule_broken(self, now):
        """The host saw a rule in danger (a proxy without a line, the channel over its limit)."""
        stretch = self.current(now)
        if stretch:
            stretch.broken += 1

    def judged(self):
        """[(stretch, "good" or why not)], oldest first; stretches with too little to say left out."""
        telling = [s for s in self.stretches if s.tries >= ENOUGH]
        if not telling:
            return []
        best = max(1, len(telling) // CALM_PART)
        calm_errors = max(sorted(s.errors() for s in telling)[best - 1], CALM_ERRORS)
        calm_wait = sorted(s.wait() for s in telling)[best - 1]
        return [(s, self.judge(s, calm_errors, calm_wait)) for s in telling]

    def judge(self, stretch, calm_errors, calm_wait):
        if stretch.broken:
            return "a rule was in danger"
        if stretch.errors() > ERRORS_UP * calm_errors:
            return f"aborted {stretch.errors():.2f}"
        if calm_wait and stretch.wait() > LATENCY_UP * calm_wait:
            return f"latency {stretch.wait() / 1000:.0f} ms"
        if stretch.refused > REFUSED_PART * stretch.tables:
            return f"{stretch.refused} tables refused"
        return "good"

    def last_good(self, known):
        """The newest version of the newest good stretch that is still in the history, or None."""
        for stretch, verdict in reversed(self.judged()):
            if verdict == "good" and stretch.last in known:
                return stretch.last
        return None
