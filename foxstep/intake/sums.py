"""What proxies met at servers and what came to them, summed up for the module's rounds.

A report counts for the time that it tells of, but no proxy for more time than has passed: each has an account
of time that fills as the clock goes, to a little more than one of its intervals. So a report that is doubled,
that comes in a burst after a pause, or that covers a long pause counts at most for the last interval; what is
older is not read as present. One that is overdue is made up for by its proxy's last word, for some intervals.
Where proxies are asked for long intervals, what a report counts for goes into the rounds of one interval
evenly, in a ring of them: the module hears a flow and no lumps.

No I/O, no clock; times are whole microseconds. What is told is whole numbers: parts are carried over to the
next round, so that sums stay right. What waits longest is told first, and what came adds up until then.
"""

from collections import OrderedDict

ACCOUNT = 2.0  # intervals of time that an account holds at most, and that a new one holds
OVERDUE = 1.5  # intervals after which the last word stands in for a report that did not come,
STALE = 4.0  # and after which it no longer does
SHORTEST = 0.25  # of a cycle: a report that tells of less time counts as of so much
RING = 32  # rounds ahead that a report can be spread over, at most


class Account:
    """Time of one proxy's reports of one kind."""

    __slots__ = ("credit", "at", "came", "window", "word", "least")

    def __init__(self, now, asked, least):
        self.credit, self.at, self.least = ACCOUNT * asked, now, least
        self.came, self.window, self.word = now, asked, None  # its last report

    def fill(self, now, asked):
        if now > self.at:
            self.credit = min(self.credit + now - self.at, ACCOUNT * asked)
            self.at = now

    def take(self, now, asked, window, lost=0):
        """The part of a report of so much time that counts: 0 to 1, more where it stands for so many `lost`
        before it."""
        self.fill(now, asked)
        window = max(window, self.least)
        used = min(window * (1 + lost), self.credit)
        self.credit -= used
        return used / window

    def overdue(self, now, asked):
        """The part of its last word that stands in for what did not come, as of now."""
        self.fill(now, asked)
        late = now - self.came
        if self.word is None or not OVERDUE * asked < late <= STALE * asked:
            return 0.0
        # What is left in the account may belong to a report that is only late: it keeps its interval.
        used = max(0.0, self.credit - asked)
        self.credit -= used
        return used / max(self.window, self.least)


class Sums:
    """`share`: lines that a round may tell; `asked`: microseconds between two reports of a proxy."""

    def __init__(self, cycle, share):
        self.cycle, self.share, self.asked = cycle, max(2, share), cycle
        self.met = OrderedDict()  # (server, zone) -> [tries, aborted, timed, total, load], oldest first
        self.came = OrderedDict()  # (proxy, op type) -> [ops, unanswered, window], oldest first
        self.accounts = {}  # (proxy, whether of tries) -> Account, while it is joined or overdue
        self.turn, self.later = 0, [[] for _ in range(RING)]  # what later rounds add: (add, its words)

    def account(self, now, proxy, of_tries):
        found = self.accounts.get((proxy, of_tries))
        if found is None:
            found = self.accounts[proxy, of_tries] = Account(now, self.asked, SHORTEST * self.cycle)
        return found

    # -- what comes in

    def tried(self, now, proxy, zone, lines, loads, window, lost=0):
        """A proxy's report of its tries: `lines`: server -> [tries, aborted, acked ones whose time is known,
        their total time], `loads`: server -> load report among the answers; `lost`: reports of its
        before this that were not read."""
        account = self.account(now, proxy, True)
        part = account.take(now, self.asked, window, lost)
        account.came, account.window, account.word = now, window, (zone, lines)
        self.spread(self.add, (zone, lines), part)
        for server, load in loads.items():
            sums = self.met.get((server, zone))
            if sums is not None:
                sums[4] = {**(sums[4] or {}), **load}
        return part

    def add(self, zone, lines, part):
        if not part:
            return
        met = self.met
        for server, (tries, aborted, timed, total) in lines.items():
            sums = met.get((server, zone))
            if sums is None:
                met[server, zone] = [tries * part, aborted * part, timed * part, total * part, None]
            else:
                sums[0] += tries * part
                sums[1] += aborted * part
                sums[2] += timed * part
                sums[3] += total * part

    def used(self, now, proxy, usage, window, lost=0):
        """A proxy's report of what came to it: op type -> (ops, unanswered)."""
        account = self.account(now, proxy, False)
        part = account.take(now, self.asked, window, lost)
        account.came, account.window, account.word = now, window, usage
        self.spread(self.add_usage, (proxy, usage, window), part)

    def spread(self, add, words, part):
        """Adds a part now, or evenly over the rounds of an interval."""
        rounds = min(max(1, round(self.asked / self.cycle)), RING - 2)
        add(*words, part / rounds)
        for k in range(1, rounds if part else 1):
            self.later[(self.turn + 1 + k) % RING].append((add, words, part / rounds))

    def add_usage(self, proxy, usage, window, part):
        if not part:
            return
        for op_type, (ops, unanswered) in usage.items():
            sums = self.came.get((proxy, op_type))
            if sums is None:
                if not ops:
                    continue  # nothing to tell, and nothing waits
                sums = self.came[proxy, op_type] = [0.0, 0.0, 0.0]
            sums[0] += ops * part
            sums[1] += unanswered * part
            sums[2] += window * part

    def left(self, proxy):
        """Its streams are down: its last word no longer stands in for what does not come. Its account stays
        for as long as it is not full: who breaks streams gets no more time by it."""
        for of_tries in (True, False):
            account = self.accounts.get((proxy, of_tries))
            if account:
                account.word = None

    def make_up(self, now):
        """Begins a round: adds what was spread into it, lets last words stand in for what is overdue, forgets
        accounts that hold nothing."""
        self.turn, gone = self.turn + 1, []
        place = self.turn % RING
        due, self.later[place] = self.later[place], []
        for add, words, part in due:
            add(*words, part)
        for (proxy, of_tries), account in self.accounts.items():
            if account.word is None:
                account.fill(now, self.asked)
                if now - account.came > STALE * self.asked and account.credit >= ACCOUNT * self.asked:
                    gone.append((proxy, of_tries))
                continue
            if now - account.came <= OVERDUE * self.asked:
                continue
            part = account.overdue(now, self.asked)
            if not part:
                account.word = None if now - account.came > STALE * self.asked else account.word
            elif of_tries:
                self.spread(self.add, account.word, part)
            else:
                self.spread(self.add_usage, (proxy, account.word, account.window), part)
        for key in gone:
            del self.accounts[key]

    # -- what is told

    def parts(self):
        """Lines of a round for servers and for proxies: each its part by how many wait, neither nothing."""
        met, came = len(self.met), len(self.came)
        if met + came <= self.share:
            return met, came
        for_met = min(max(round(self.share * met / (met + came)), 1), self.share - 1)
        return for_met, self.share - for_met

    def next_lines(self):
        """One round: ("heard", server, zone, tries, aborted, latency, window, load) and ("used", proxy, op
        type, ops, unanswered, window)."""
        for_met, for_came = self.parts()
        told = 0
        for key in list(self.met)[:for_met]:
            line = self.heard(key)
            if line:
                told += 1
                yield line
        for key in list(self.came)[: max(for_came, self.share - told)]:
            line = self.usage(key)
            if line:
                yield line

    def heard(self, key):
        tries, aborted, timed, total, load = sums = self.met[key]
        whole = int(tries + 1e-9)
        if not whole:
            self.met.move_to_end(key)  # a part of one: it waits for more
            if tries < 1e-6:
                del self.met[key]
            return None
        out = min(int(aborted + 1e-9), whole)
        latency = round(total / timed) if timed > 1e-9 else 0
        left = 1 - whole / tries
        if left * tries < 1e-6:
            del self.met[key]
        else:  # of times the part that goes with what is left
            sums[:] = [tries - whole, max(0.0, aborted - out), timed * left, total * left, None]
            self.met.move_to_end(key)
        return ("heard", key[0], key[1], whole, out, latency, self.cycle, load)

    def usage(self, key):
        ops, unanswered, window = sums = self.came[key]
        whole = int(ops + 1e-9)
        if ops - whole < 1e-6:
            del self.came[key]
            return (
                ("used", key[0], key[1], whole, min(round(unanswered), whole), round(window))
                if (whole or window >= self.cycle)
                else None
            )
        out = min(int(unanswered + 1e-9), whole)
        self.came.move_to_end(key)
        if not whole:
            return None
        left = 1 - whole / ops
        sums[:] = [ops - whole, max(0.0, unanswered - out), window * left]
        return ("used", key[0], key[1], whole, out, round(window * (1 - left)))
