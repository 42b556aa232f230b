"""Reports between fronts and module: which are read, how much of each, and what of them counts. No I/O.

The fronts offer reports as they come; of each proxy the newest waits, an older one that was not read yet is
dropped: the newer tells of now. The host has them read one at a time, between other things, zones in turn
and in each the proxy that waits longest: a crowded zone takes nothing from a thin one. What was read goes,
checked and bounded, into sums for the module's rounds (`sums`).
"""

from collections import OrderedDict
from zlib import crc32

from foxstep.intake.pace import Pace
from foxstep.intake.sums import Sums

MINUTE = 60_000_000
LONGEST = 10 * MINUTE  # a report about a longer stretch says nothing of now
MOST = 10_000_000  # ops in one report line beyond which it is no count
PART = 1 / 3  # of what all others tell that one proxy's word may come to,
MANY = 8  # where at least so many report
HELD = 120  # cycles for which a server that left a proxy's tables may still be told of
WAITING_MOST = 20_000  # reports that wait, of all proxies; beyond, one that comes is dropped


class Talker:
    """What is known of one proxy that reports."""

    __slots__ = ("zone", "rates", "held", "since")

    def __init__(self, zone, now):
        self.zone, self.since = zone, now
        self.rates = [0.0, 0.0]  # tries and ops a microsecond, by its newest word
        self.held = {}  # server -> when it was last in its tables


class Intake:
    """`site`: the plain settings; `part`: of one core that reading may take. `known_server(server)`: whether
    the list has ever named it; `holds(proxy)`: servers of its tables as written to it now, or None."""

    def __init__(self, site, known_server, holds=lambda proxy: None, part=0.4, seed=0):
        self.cycle, self.seed, self.known_server, self.holds = site["cycle"], seed, known_server, holds
        self.pace = Pace(self.cycle, part)
        self.sums = Sums(self.cycle, round(site["intake_per_s"] * self.cycle / 1_000_000))
        longest = max((o["op_timeout"] for o in site["op_types"]), default=0)
        # What was begun under an earlier table is told when it has ended and its report has come.
        self.keep = longest + HELD * self.cycle + site.get("transit_most", 0)
        self.waiting = {}  # zone -> (proxy, kind) -> (came at, report, lines, lost), in order
        self.zones, self.talkers, self.count = [], {}, 0
        self.told = [0.0, 0.0]  # tries and ops a microsecond of all, by their newest words,
        self.telling = [0, 0]  # and how many have told of any
        self.taken, self.refused = 0, {}  # lines that were; reason -> lines that were not taken
        # Reports dropped for newer ones, reports bounded, lines that others stood for.
        self.overtaken = self.cut = self.skipped = 0
        self.rounded_at = None
        self.loaded = {}  # servers whose own report has come since the last round

    def refuse(self, reason, lines=1):
        self.refused[reason] = self.refused.get(reason, 0) + lines

    # -- reports wait

    def offer(self, now, proxy, zone, kind, report, lines):
        """A report of about so many lines has come. Those of one `kind` replace each other."""
        self.pace.offered(lines)
        queue = self.waiting.get(zone)
        if queue is None:
            queue = self.waiting[zone] = OrderedDict()
            self.zones.append(zone)
        key = (proxy, kind)
        if key in queue:
            self.overtaken += 1
            # It keeps its place in turn, and stands for what it replaces.
            queue[key] = (now, report, lines, queue[key][3] + 1)
        elif sum(map(len, self.waiting.values())) >= WAITING_MOST:
            self.refuse("too many wait", lines)
        else:
            queue[key] = (now, report, lines, 0)

    def next_report(self):
        """(came at, proxy, kind, report, lines, step, first, lost): the one to be read now, of whose lines
        every `step`-th counts from `first` on, for so many, and which stands for so many lost; or None."""
        for _ in range(len(self.zones)):
            zone = self.zones.pop(0)
            self.zones.append(zone)
            if queue := self.waiting[zone]:
                (proxy, kind), (came, report, lines, lost) = queue.popitem(last=False)
                # One of a few lines is read whole: there is little to save.
                step = min(self.pace.step(), max(1, lines // 4))
                self.count += 1
                first = crc32(f"{self.seed} {self.count}".encode()) % step
                self.skipped += lines - len(range(first, lines, step))
                return came, proxy, kind, report, lines, step, first, lost
        return None

    def left(self, proxy, zone):
        """Its streams are down."""
        queue = self.waiting.get(zone, {})
        for key in [key for key in queue if key[0] == proxy]:
            del queue[key]
        talker = self.talkers.pop(proxy, None)
        if talker:
            for k in (0, 1):
                self.told[k] = max(0.0, self.told[k] - talker.rates[k])
                self.telling[k] -= talker.rates[k] > 0
        self.sums.left(proxy)

    # -- what was read

    def talker(self, now, proxy, zone):
        found = self.talkers.get(proxy)
        if found is None:
            found = self.talkers[proxy] = Talker(zone, now)
        return found

    def sound(self, counts, window):
        if not 0 < window <= LONGEST:
            self.refuse("window")
        elif any(not 0 <= n <= MOST for n in counts):
            self.refuse("count")
        else:
            return True
        return False

    def tried(self, now, proxy, zone, lines, window, lost=0):
        """What a proxy told of its tries: (server, tries, aborted, latency, load, weight) in any order.
        `latency` is the mean of the acked ones in microseconds, or None where that is not known: then it is
        left out of the mean, not taken as zero; `load` the server's own report or None; `weight`: for how
        many lines this one stands. Answers the part of it that counted, 0 to 1."""
        talker, sums, loads, total = self.talker(now, proxy, zone), {}, {}, 0
        usual = self.servers_of(now, proxy, talker)
        self.taken += len(lines)
        known, sound = self.known_server, self.sound((), window)
        for server, tries, aborted, latency, load, weight in lines if sound else ():
            if not known(server):
                self.refuse("server")
            elif usual is not None and server not in usual:
                self.refuse("not held")
            elif not 0 <= aborted <= tries <= MOST:
                self.refuse("count")
            elif tries:
                many = tries * weight
                timed = (tries - aborted) * weight if latency is not None else 0
                found = sums.get(server)
                if found is None:
                    sums[server] = [many, aborted * weight, timed, latency * timed if timed else 0.0]
                else:
                    found[0] += many
                    found[1] += aborted * weight
                    if timed:
                        found[2] += timed
                        found[3] += latency * timed
                total += many
                if load:
                    loads[server] = load
        if not sums:
            return 0.0
        factor = self.bounded(talker, 0, total / max(window, self.cycle / 4))
        if factor < 1:
            sums = {server: [value * factor for value in values] for server, values in sums.items()}
        return self.sums.tried(now, proxy, zone, sums, loads, window, lost)

    def servers_of(self, now, proxy, talker):
        """Servers that a proxy may tell of: those of its tables, and of those that it had when what it now
        tells was begun; None: any, since what it began with is not known."""
        held = self.holds(proxy)
        if held is None:
            return None
        for server in held:
            talker.held[server] = now
        if now - talker.since <= self.keep:
            return None
        for server in [s for s, at in talker.held.items() if now - at > self.keep]:
            del talker.held[server]
        return talker.held

    def used(self, now, proxy, zone, lines, window, lost=0):
        """What came to a proxy: (op type, ops, unanswered)."""
        talker, usage, total = self.talker(now, proxy, zone), {}, 0
        for op_type, ops, unanswered in lines:
            self.taken += 1
            if self.sound((ops, unanswered), window):
                usage[op_type] = (ops, min(unanswered, ops))
                total += ops
        if usage:
            factor = self.bounded(talker, 1, total / max(window, self.cycle / 4))
            if factor < 1:
                usage = {op_type: (ops * factor, out * factor) for op_type, (ops, out) in usage.items()}
            self.sums.used(now, proxy, usage, window, lost)

    def bounded(self, talker, which, rate):
        """By what a proxy's word is scaled. Guards against one that tells far more than there is: it counts
        for a third of what all others tell, at most. Harm: one that truly has more is read as having that."""
        others = max(0.0, self.told[which] - talker.rates[which])
        telling = self.telling[which] - (talker.rates[which] > 0)
        # By the others' own words: what was cut of them before must not cut the next one.
        counts = min(rate, PART * others) if telling >= MANY else rate
        self.told[which], self.telling[which] = others + rate, telling + (rate > 0)
        talker.rates[which] = rate
        self.cut += counts < rate
        return counts / rate if rate > 0 else 1.0

    # -- rounds

    def round(self, controller, now, evidence):
        """Hands the module one round, and its tries to the evidence; answers how many lines it was."""
        span = self.cycle if self.rounded_at is None else max(now - self.rounded_at, 1)
        self.rounded_at, self.loaded = now, {}
        self.pace.round(now, span)
        self.sums.asked = self.pace.asked
        self.sums.make_up(now)
        lines = 0
        for verb, *told in self.sums.next_lines():
            lines += 1
            if verb == "heard":
                server, zone, tries, aborted, latency, window, load = told
                controller.heard(now, server, zone, tries, aborted, latency, window, load)
                evidence.met(now, tries, aborted, latency * (tries - aborted))
            else:
                controller.used(now, *told)
        return lines

    def view(self):
        """For an operator: plain values."""
        return {
            "asked_ms": self.pace.asked // 1000,
            "use": round(self.pace.use(), 3),
            "cost_us": round(self.pace.cost, 1),
            "step": self.pace.step(),
            "waiting": sum(map(len, self.waiting.values())),
            "overtaken": self.overtaken,
            "cut": self.cut,
            "skipped_lines": self.skipped,
            "refused": dict(self.refused),
            "taken": self.taken,
            "proxies": len(self.talkers),
        }
