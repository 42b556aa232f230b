"""Pins, and rollbacks by stages. No I/O, no clock.

A pin holds the proxies of a scope to a version. A rollback sets its pin in waves, each twice the one before,
the next when all of a wave hold their table; it stops where too many refuse, or do not answer in time.
"""

FIRST_WAVE = 1
GROWTH = 2
FAILED_PART = 0.1  # of a wave that may refuse or stay silent before a rollback stops
RUNNING, DONE, STOPPED, REPLACED = "running", "done", "stopped", "replaced"


class Rollback:
    """One order to hold a scope to a version. Scope: "fleet", "zone NAME" or "proxy ID"."""

    def __init__(self, number, scope, version, ordered_at, wait, state=RUNNING, reached=()):
        self.number, self.scope, self.version = number, scope, version
        self.ordered_at, self.wait = ordered_at, wait  # microseconds that a wave has for its answers
        self.state, self.why, self.heir = state, "", None  # the rollback that replaced it
        self.reached = dict.fromkeys(reached)  # proxies that are held to it, in order
        self.wave, self.wave_at, self.wave_size = [], None, FIRST_WAVE
        self.failed = {}  # proxy -> why
        self.told = None  # the state last handed to the store
        self.done = state == DONE  # it reached all: later joiners too

    def covers(self, proxy, zone):
        kind, _, name = self.scope.partition(" ")
        return kind == "fleet" or (kind == "zone" and zone == name) or (kind == "proxy" and proxy == name)

    def weight(self):
        """The narrower scope counts, then the newer order."""
        return {"fleet": 0, "zone": 1, "proxy": 2}[self.scope.partition(" ")[0]], self.number


class Rollbacks:
    """`settled(proxy, rollback)` answers "yes", "no" or why it failed; `joined` is proxy -> zone, in
    order."""

    def __init__(self):
        self.all, self.count = [], 0

    def order(self, now, scope, version, wait, at_once=False):
        """A new rollback (`at_once`: a pin, without waves). An older one of the same scope is replaced: it
        sets no more proxies, and those that it has set follow the newer one."""
        replaced = []
        for other in self.active():
            if other.scope == scope:
                other.state, other.why = REPLACED, f"by {self.count + 1}"
                replaced.append(other)
        self.count += 1
        made = Rollback(self.count, scope, version, now, wait)
        for other in replaced:
            other.heir = made
        if at_once:
            made.wave_size = 1 << 30
        self.all.append(made)
        return made

    def release(self, scope):
        """Unpins a scope; answers the rollbacks that ended by it."""
        ended = [r for r in self.active() if r.scope == scope or scope == "fleet"]
        for rollback in ended:
            rollback.state, rollback.why = REPLACED, "unpinned"
        return ended

    def active(self):
        return [r for r in self.all if r.state != REPLACED]

    def of(self, proxy, zone):
        """The rollback that holds a proxy now, or None. One that has not reached it yet leaves it to what
        held it before."""
        held = [
            r for r in self.all if self.alive(r) and r.covers(proxy, zone) and (proxy in r.reached or r.done)
        ]
        return max(held, key=Rollback.weight, default=None)

    def alive(self, rollback):
        """Whether it still holds proxies: its heir may not have reached them yet."""
        while rollback.state == REPLACED:
            if rollback.heir is None:
                return False
            rollback = rollback.heir
        return True

    def advance(self, now, joined, settled):
        """Moves running rollbacks on; answers the proxies that are newly held, in order."""
        fresh = []
        for rollback in self.active():
            if rollback.state == RUNNING:
                fresh += self.step(now, rollback, joined, settled)
        return fresh

    def step(self, now, rollback, joined, settled):
        waiting = []
        for proxy in rollback.wave:
            if proxy not in joined:
                continue  # it left: what it is to hold meets it when it joins again
            answer = settled(proxy, rollback)
            if answer == "no" and now - rollback.wave_at < rollback.wait:
                waiting.append(proxy)
            elif answer != "yes":
                rollback.failed[proxy] = "no answer" if answer == "no" else answer
        if len(rollback.failed) > FAILED_PART * max(len(rollback.reached), 1):
            rollback.state = STOPPED
            proxy, why = next(iter(rollback.failed.items()))
            rollback.why = f"{len(rollback.failed)} failed, the first {proxy}: {why}"
            return []
        if waiting:
            rollback.wave = waiting
            return []
        left = [p for p, zone in joined.items() if rollback.covers(p, zone) and p not in rollback.reached]
        if not left:
            rollback.state, rollback.wave, rollback.done = DONE, [], True
            return []
        rollback.wave, rollback.wave_at = left[: rollback.wave_size], now
        rollback.wave_size *= GROWTH
        rollback.reached.update(dict.fromkeys(rollback.wave))
        return rollback.wave


def bound(proxies, lines, head, lines_per_s, transit, slack):
    """Microseconds within which all joined proxies hold a rolled-back table, if none fails: the waves' ways
    there and back, and what the channel takes for whole tables of so many lines."""
    waves, size, left = 0, FIRST_WAVE, proxies
    while left > 0:
        waves, left, size = waves + 1, left - size, size * GROWTH
    sending = proxies * (lines + head + 1) / lines_per_s * 1_000_000
    return round(waves * (2 * transit + slack) + sending)
