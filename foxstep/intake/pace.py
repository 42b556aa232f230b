"""How often proxies are asked to report, and how much of what they report is read. No I/O, no clock.

What reading costs is measured by the host; the budget is a part of one core. While more comes than fits,
lines are sampled at once, each that is read standing for so many, and after two such rounds proxies are asked
for reports half as often: a report of twice the time costs as much to read as one. The same where rounds come
late, since then all that a report costs is too much, whatever is read of it. When half the time between
reports would long have fitted, they are asked for that again; each time that it then did not, it has to fit
for twice as long.
"""

LONGEST = 8  # cycles between two reports, at most
UP_AFTER = 2  # rounds of too much after which longer intervals are asked for,
DOWN_AFTER = 12  # and of little after which shorter ones are
MOST_PATIENCE = 16  # times so many, where shorter ones have turned out to be too much
LATE = 1.25  # cycles between two rounds from which on they come late
DOWN_BELOW = 0.6  # of the budget, by what shorter intervals would bring
LEARN = 0.1  # part of a new measure of the cost in the known one
USUAL_COST = 12.0  # microseconds a line, before any was measured
MESSAGE = 32  # lines that taking a report off its stream costs, whatever is read of it
SPREAD = 0.1  # part by which proxies' intervals differ, so that they do not all report at once


AT_ONCE = 50_000  # microseconds' worth of reports that may be taken off all streams at one time
BURST = 64  # reports that a stream may bring at one time, as after a pause,
AHEAD = 4  # and in an interval from then on; beyond, it is left to wait on its way


class Turnstile:
    """How soon the next report of one stream is taken, as far as that stream goes. Guards against one that
    sends without an end: what it costs is bounded, whatever it sends. Harm: what it sends comes late."""

    def __init__(self, now):
        self.left, self.at = float(BURST), now

    def wait(self, now, asked):
        """Microseconds until the next may be taken, one having come."""
        self.left = min(BURST, self.left + (now - self.at) / asked * AHEAD) - 1
        self.at = now
        return 0 if self.left >= 0 else round(-self.left * asked / AHEAD)


class Gate:
    """The same for all streams together: what is taken off them costs no more than its part of a core, so
    that a wave of old reports delays no order. Those that have to wait come in turn. Harm: the wave is read
    the longer."""

    def __init__(self, now):
        self.left, self.at = 0.0, now  # microseconds of work

    def wait(self, now, part, cost):
        """Microseconds until the next may be taken, one having come that costs so many."""
        self.left = min(AT_ONCE, self.left + (now - self.at) * part) - cost
        self.at = now
        return 0 if self.left >= 0 else round(-self.left / part)


class Pace:
    """`part`: of one core that reading may take. Lines are those of reports, whatever they cost."""

    def __init__(self, cycle, part):
        self.cycle, self.part, self.cost = cycle, part, USUAL_COST
        self.asked = cycle
        self.over = self.under = 0
        self.patience, self.lowered = 1, False
        self.gate = None
        self.lines = self.steps = 0.0  # lines that came in this round; what they came to in the last
        self.settled_at = 0  # until then what comes is still by the former interval

    def offered(self, lines):
        """A report of so many lines has come."""
        self.lines += lines + MESSAGE

    def take(self, now, turnstile):
        """Microseconds for which a stream, of which a report was just taken, waits before the next."""
        self.gate = self.gate or Gate(now)
        return max(turnstile.wait(now, self.asked), self.gate.wait(now, self.part, MESSAGE * self.cost))

    def read(self, lines, took):
        """So many lines took so many microseconds to read."""
        if lines >= 16:
            self.cost += LEARN * (took / lines - self.cost)

    def budget(self, span):
        """Lines that may be read in so many microseconds."""
        return max(1.0, self.part * span / max(self.cost, 0.01))

    def use(self):
        """What came in the last round as a part of the budget."""
        return self.steps

    def step(self):
        """Of so many lines one is read, and stands for all: 1 while they fit."""
        return max(1, -(-int(self.steps * 1000) // 1000)) if self.steps > 1 else 1

    def round(self, now, span):
        """Closes a round of so many microseconds; answers whether another interval is to be asked for."""
        came, self.lines = self.lines, 0.0
        # A round's lumps are not the pace: half of what was known stays.
        self.steps = (self.steps + came / self.budget(span)) / 2
        if now < self.settled_at:
            return False
        # Where little is reported, rounds are late for another cause, and longer intervals only blind.
        late = span > LATE * self.cycle and self.steps > DOWN_BELOW / 2
        self.over = self.over + 1 if self.steps > 1 or late else 0
        self.under = self.under + 1 if 2 * self.steps < DOWN_BELOW and not late else 0
        before = self.asked
        if self.over >= UP_AFTER:
            self.asked = min(self.asked * 2, LONGEST * self.cycle)
            self.patience = min(self.patience * 2, MOST_PATIENCE) if self.lowered else self.patience
            self.lowered = False
        elif self.under >= DOWN_AFTER * self.patience and self.asked > self.cycle:
            self.asked = max(self.asked // 2, self.cycle)
            self.lowered = True
        if self.asked != before:
            self.over = self.under = 0
            self.settled_at = now + 2 * max(self.asked, before)
        return self.asked != before

    def interval(self, chance):
        """The interval for one proxy; `chance`: 0 to 1, its own, always the same."""
        if self.asked <= self.cycle:
            return self.cycle
        return round(self.asked * (1 + SPREAD * (2 * chance - 1)))
