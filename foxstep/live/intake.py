"""Gathers what proxies report into rounds of at most so many lines, the oldest first. No I/O, no clock.

The module expects reports by the cycle: what joined proxies of a zone met at each server, and what came to
each proxy. Lines beyond the round's share stay and add up with what comes later.
"""

MINUTE = 60_000_000
LONGEST = 10 * MINUTE       # a report about a longer stretch says nothing of now
MOST = 10_000_000           # ops in one report line beyond which it is no count


class Intake:
    def __init__(self, cycle, lines_per_s, known_server):
        self.share = max(1, round(lines_per_s * cycle / 1_000_000))
        self.known_server = known_server
        self.met, self.came = {}, {}   # (server, zone) and (proxy, op type) -> sums, oldest first
        self.taken, self.refused = 0, {}  # lines that were; reason -> lines that were not taken

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def sound(self, counts, window):
        if not 0 < window <= LONGEST:
            self.refuse("window")
        elif any(not 0 <= n <= MOST for n in counts):
            self.refuse("count")
        else:
            return True
        return False

    def tried(self, server, zone, tries, aborted, latency, window, load=None):
        """Tries of one proxy at a server; `latency` is the mean of the acked ones in microseconds, or None
        where that is not known: then it is left out of the mean, not taken as zero."""
        self.taken += 1
        if not self.known_server(server):
            return self.refuse("server")
        if not self.sound((tries, aborted), window):
            return None
        if aborted > tries:
            return self.refuse("count")
        sums = self.met.setdefault((server, zone), [0, 0, 0, 0.0, 0, None])
        sums[0] += tries
        sums[1] += aborted
        if latency is not None and tries > aborted:
            sums[2] += tries - aborted
            sums[3] += latency * (tries - aborted)
        sums[4] = max(sums[4], window)
        if load:
            sums[5] = {**(sums[5] or {}), **load}
        return None

    def used(self, proxy, op_type, ops, unanswered, window):
        self.taken += 1
        if self.sound((ops, unanswered), window):
            sums = self.came.setdefault((proxy, op_type), [0, 0, 0])
            for k, amount in enumerate((ops, unanswered, window)):
                sums[k] += amount

    def round(self, controller, now, evidence):
        """Hands the module one round, and its tries to the evidence; answers how many lines it was."""
        left = self.share
        for key in list(self.met)[:left]:
            (server, zone), (tries, aborted, timed, total, window, load) = key, self.met.pop(key)
            if tries:
                controller.heard(now, server, zone, tries, aborted, round(total / timed) if timed else 0,
                                 window, load)
                evidence.met(now, tries, aborted, total / timed * (tries - aborted) if timed else 0.0)
                left -= 1
        for key in list(self.came)[:left]:
            ops, unanswered, window = self.came.pop(key)
            controller.used(now, *key, ops, unanswered, window)
            left -= 1
        return self.share - left
