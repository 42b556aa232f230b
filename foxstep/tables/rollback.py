"""Pins and staged rollbacks. No I/O, no clock.

A pin holds the proxies of a scope to a version. A rollback applies its pin in waves, each twice as large as
the one before. The next wave starts when all proxies of the last one hold their table; the rollback stops if
too many refuse it or do not answer in time.
"""

FIRST_WAVE_SIZE = 1  # proxies
WAVE_GROWTH = 2
MAX_FAILED_FRACTION = 0.1  # of the proxies reached; a rollback stops if more refuse or do not answer
RUNNING = "running"
DONE = "done"
STOPPED = "stopped"
REPLACED = "replaced"


class Rollback:
    """One order to hold a scope to a version.

    `scope`: "fleet", "zone NAME" or "proxy ID". `wave_timeout`: microseconds that a wave has for its answers.
    """

    def __init__(self, number, scope, version, ordered_at, wave_timeout, state=RUNNING, reached=()):
        self.number, self.scope, self.version = number, scope, version
        self.ordered_at, self.wave_timeout = ordered_at, wave_timeout
        self.state, self.reason, self.successor = state, "", None  # the successor is what replaced it
        self.reached = dict.fromkeys(reached)  # proxies that are held to the version, in order
        self.wave, self.wave_at, self.wave_size = [], None, FIRST_WAVE_SIZE
        self.failed = {}  # proxy -> reason
        self.stored_state = None  # the state last passed to the store
        self.done = state == DONE  # it reached all proxies, so it covers those that join later too

    def covers(self, proxy, zone):
        kind, _, name = self.scope.partition(" ")
        return kind == "fleet" or (kind == "zone" and zone == name) or (kind == "proxy" and proxy == name)

    def precedence(self):
        """Sort key: the narrower scope wins, then the newer order."""
        return {"fleet": 0, "zone": 1, "proxy": 2}[self.scope.partition(" ")[0]], self.number


class Rollbacks:
    """All rollbacks, oldest first.

    Arguments of the methods: `settled(proxy, rollback)` returns "yes", "no" or why the proxy failed;
    `joined` is proxy -> zone, in order.
    """

    def __init__(self):
        self.all, self.count = [], 0

    def order(self, now, scope, version, wave_timeout, at_once=False):
        """Adds a rollback (`at_once`: a pin, without waves).

        An older one of the same scope is replaced: it reaches no more proxies, and those that it reached
        follow the newer one once that reaches them.
        """
        replaced = []
        for other in self.active():
            if other.scope == scope:
                other.state, other.reason = REPLACED, f"by {self.count + 1}"
                replaced.append(other)
        self.count += 1
        rollback = Rollback(self.count, scope, version, now, wave_timeout)
        for other in replaced:
            other.successor = rollback
        if at_once:
            rollback.wave_size = 1 << 30
        self.all.append(rollback)
        return rollback

    def release(self, scope):
        """Unpins a scope; returns the rollbacks that ended."""
        ended = [r for r in self.active() if r.scope == scope or scope == "fleet"]
        for rollback in ended:
            rollback.state, rollback.reason = REPLACED, "unpinned"
        return ended

    def active(self):
        return [r for r in self.all if r.state != REPLACED]

    def rollback_of(self, proxy, zone):
        """The rollback that holds a proxy now, or None.

        Until a rollback reaches the proxy, the one that held it before goes on holding it.
        """
        holding = [
            r
            for r in self.all
            if self.is_effective(r) and r.covers(proxy, zone) and (proxy in r.reached or r.done)
        ]
        return max(holding, key=Rollback.precedence, default=None)

    def is_effective(self, rollback):
        """Whether it still holds proxies: its successor may not have reached all of them yet."""
        while rollback.state == REPLACED:
            if rollback.successor is None:
                return False
            rollback = rollback.successor
        return True

    def advance(self, now, joined, settled):
        """Advances all running rollbacks; returns the proxies that they reached, in order."""
        reached = []
        for rollback in self.active():
            if rollback.state == RUNNING:
                reached += self.advance_one(now, rollback, joined, settled)
        return reached

    def advance_one(self, now, rollback, joined, settled):
        waiting = []
        for proxy in rollback.wave:
            if proxy not in joined:
                continue  # it left, and is sent its table when it joins again
            answer = settled(proxy, rollback)
            if answer == "no" and now - rollback.wave_at < rollback.wave_timeout:
                waiting.append(proxy)
            elif answer != "yes":
                rollback.failed[proxy] = "no answer" if answer == "no" else answer
        if len(rollback.failed) > MAX_FAILED_FRACTION * max(len(rollback.reached), 1):
            rollback.state = STOPPED
            proxy, reason = next(iter(rollback.failed.items()))
            rollback.reason = f"{len(rollback.failed)} failed, the first {proxy}: {reason}"
            return []
        if waiting:
            rollback.wave = waiting
            return []
        remaining = [
            p for p, zone in joined.items() if rollback.covers(p, zone) and p not in rollback.reached
        ]
        if not remaining:
            rollback.state, rollback.wave, rollback.done = DONE, [], True
            return []
        rollback.wave, rollback.wave_at = remaining[: rollback.wave_size], now
        rollback.wave_size *= WAVE_GROWTH
        rollback.reached.update(dict.fromkeys(rollback.wave))
        return rollback.wave


def convergence_bound(proxies, lines, head, lines_per_s, transit, slack):
    """Microseconds within which all joined proxies hold a rolled-back table, if none fails.

    The sum of a round trip for each wave (`transit` one way, and `slack`) and the time that the channel needs
    for a full table of so many lines for each proxy.
    """
    waves, size, remaining = 0, FIRST_WAVE_SIZE, proxies
    while remaining > 0:
        waves, remaining, size = waves + 1, remaining - size, size * WAVE_GROWTH
    sending = proxies * (lines + head + 1) / lines_per_s * 1_000_000
    return round(waves * (2 * transit + slack) + sending)
