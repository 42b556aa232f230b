"""Picks servers in proportion to their weights, and ejects those that keep failing. No I/O, no clock.

Earliest deadline first: a line is due again 1 / weight after it was picked, and the line with the earliest
deadline is picked. Each line's number of picks stays within one of its share for any weights, at O(log n) a
pick.
"""

import heapq
from zlib import crc32


class Line:
    """An entry of the weight table: a server, its weight and its next deadline (`due`, in virtual time).

    `held`: it is the table's current entry. `turn` breaks ties in the heap.
    """

    __slots__ = ("server", "weight", "due", "turn", "held")

    def __init__(self, server, weight, due, turn):
        self.server = server
        self.weight = weight
        self.due = due
        self.turn = turn
        self.held = True


class Picker:
    """Weighted picker with ejection.

    `eject_after` failed tries in a row (0: never) eject a server for `eject_for` microseconds. `now`
    is in microseconds.
    """

    def __init__(self, seed=0, eject_after=0, eject_for=0):
        self.seed = seed
        self.eject_after = eject_after
        self.eject_for = eject_for
        self.lines = {}
        self.heap = []
        self.turn = 0
        self.virtual_time = 0.0  # the latest deadline that was picked
        self.consecutive_failures = {}
        self.ejected = {}
        self.entries = 0

    def set(self, lines):
        """Replaces the table (server -> weight; weights at or below 0 are left out).

        A line that stays keeps its position: the remainder of its wait is scaled to the new weight, so that
        picks follow the weights even if tables change often.
        """
        lines = {s: w for s, w in lines.items() if w > 0}
        for server in [s for s in self.lines if s not in lines]:
            self.lines.pop(server).held = False
        for server, weight in lines.items():
            line = self.lines.get(server)
            if line is None:
                # The start within its first round is pseudo-random: otherwise all proxies would begin with
                # the same server, and a line that comes and goes would always get the same part of a round.
                self.entries += 1
                phase = (crc32(f"{self.seed} {server} {self.entries}".encode()) + 1) / 2**32
                line = self.lines[server] = Line(server, weight, self.virtual_time + phase / weight, 0)
                self.push(line)
            elif line.weight != weight:
                moved = Line(
                    server,
                    weight,
                    self.virtual_time + max(line.due - self.virtual_time, 0) * line.weight / weight,
                    0,
                )
                line.held = False
                self.lines[server] = moved
                self.push(moved)
        for known in (self.consecutive_failures, self.ejected):
            for server in [s for s in known if s not in lines]:
                del known[server]

    def push(self, line):
        self.turn += 1
        line.turn = self.turn
        heapq.heappush(self.heap, (line.due, line.turn, line))

    def pick(self, now, exclude=()):
        """The server with the earliest deadline that is neither in `exclude` nor ejected.

        If only ejected servers are left, one of these; None if there is no line.
        """
        server = self.pick_due(lambda s: s not in exclude and self.ejected.get(s, 0) <= now)
        return server or self.pick_due(lambda s: s not in exclude)

    def pick_due(self, is_eligible):
        """Picks the line with the earliest deadline whose server is eligible, or returns None."""
        skipped = []
        found = None
        while self.heap:
            due, _, line = heapq.heappop(self.heap)
            if not line.held:
                continue  # replaced or removed
            if is_eligible(line.server):
                found = line
                break
            skipped.append(line)
        for line in skipped:
            # A skipped line gets no credit, or it would receive all picks that it missed once it is eligible.
            if found is not None:
                line.due = max(line.due, found.due)
            self.push(line)
        if found is None:
            return None
        self.virtual_time = max(self.virtual_time, found.due)
        found.due = self.virtual_time + 1 / found.weight
        self.push(found)
        return found.server

    def acked(self, server):
        """Resets the server's count of consecutive failures after a successful try."""
        self.consecutive_failures.pop(server, None)

    def failed(self, now, server):
        """Counts a failed try; returns whether the server is ejected from now on."""
        if not self.eject_after or server not in self.lines:
            return False
        failures = self.consecutive_failures[server] = self.consecutive_failures.get(server, 0) + 1
        if failures < self.eject_after:
            return False
        del self.consecutive_failures[server]
        self.ejected[server] = now + self.eject_for
        return True
