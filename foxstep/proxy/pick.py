"""Picks lines evenly by weight, and shuns servers that keep failing this proxy. No I/O, no clock.

Earliest deadline first: each line is due again 1 / weight after it was picked, the line that is due first is
picked. Shares follow the weights within one pick a line, whatever the weights, at O(log n) a pick.
"""

import heapq
from zlib import crc32


class Line:
    __slots__ = ("server", "weight", "due", "turn", "held")

    def __init__(self, server, weight, due, turn):
        self.server = server
        self.weight = weight
        self.due = due
        self.turn = turn
        self.held = True


class Picker:
    """`shun_after`: so many failed tries in a row (0: never) keep a server out for `shun_for`
    microseconds."""

    def __init__(self, seed=0, shun_after=0, shun_for=0):
        self.seed = seed
        self.shun_after = shun_after
        self.shun_for = shun_for
        self.lines = {}
        self.heap = []
        self.turn = 0
        self.at = 0.0  # `at`: the deadline picked last
        self.failed_row = {}
        self.shunned = {}
        self.entries = 0

    def set(self, lines):
        """Replaces the table (server -> weight; none at or below 0). A line that stays keeps its place: the
        part of its wait that is left is scaled, so that tables that change often still come to their
        weights."""
        lines = {s: w for s, w in lines.items() if w > 0}
        for server in [s for s in self.lines if s not in lines]:
            self.lines.pop(server).held = False
        for server, weight in lines.items():
            line = self.lines.get(server)
            if line is None:
                # Where in its first round it begins is by chance: proxies would all begin alike, and a line
                # that comes and goes would get the same part of each of its rounds.
                self.entries += 1
                phase = (crc32(f"{self.seed} {server} {self.entries}".encode()) + 1) / 2**32
                line = self.lines[server] = Line(server, weight, self.at + phase / weight, 0)
                self.push(line)
            elif line.weight != weight:
                moved = Line(server, weight, self.at + max(line.due - self.at, 0) * line.weight / weight, 0)
                line.held = False
                self.lines[server] = moved
                self.push(moved)
        for known in (self.failed_row, self.shunned):
            for server in [s for s in known if s not in lines]:
                del known[server]

    def push(self, line):
        self.turn += 1
        line.turn = self.turn
        heapq.heappush(self.heap, (line.due, line.turn, line))

    def pick(self, now, but=()):
        """The server of the line that is due first, those in `but` and the shunned left out; if only shunned
        ones are left, one of these; None if there is no line."""
        server = self.due_first(lambda s: s not in but and self.shunned.get(s, 0) <= now)
        return server or self.due_first(lambda s: s not in but)

    def due_first(self, fits):
        passed = []
        found = None
        while self.heap:
            due, _, line = heapq.heappop(self.heap)
            if not line.held:
                continue  # replaced or gone
            if fits(line.server):
                found = line
                break
            passed.append(line)
        for line in passed:
            # What was passed over is not owed: it would be brought all that it missed when it is back.
            if found is not None:
                line.due = max(line.due, found.due)
            self.push(line)
        if found is None:
            return None
        self.at = max(self.at, found.due)
        found.due = self.at + 1 / found.weight
        self.push(found)
        return found.server

    def acked(self, server):
        self.failed_row.pop(server, None)

    def failed(self, now, server):
        """Notes a failed try; answers whether the server is shunned from now."""
        if not self.shun_after or server not in self.lines:
            return False
        row = self.failed_row[server] = self.failed_row.get(server, 0) + 1
        if row < self.shun_after:
            return False
        del self.failed_row[server]
        self.shunned[server] = now + self.shun_for
        return True
