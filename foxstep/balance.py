"""Every decision of foxstep: which lines the proxies hold, what they let in, when they try again.

How it is called: `Controller(now, site, seed)`, then the inputs (`listed`, `probed`, `joined`, `heard`, ...),
which only update what is known; after each batch the host pulls `next_order(now)` until it answers None. The
contract and the orders stand in `foxstep/interface.py`, plain state in `foxstep/fleet.py`, the reasons in
`docs/design.md`. `site` is a plain map of what was told at the start; times are microseconds.

Order of the day: once a period judge the servers, step the weights, fill the caps; then bring the tables up
to date, rule-bound changes first, within what the channel takes.
"""

from heapq import heapify, heappop, heappush, nsmallest
from itertools import count
from math import ceil
from statistics import fmean, median_high, median_low
from zlib import crc32

from foxstep.fleet import OpType, Proxy, Ring, Server

SECOND = 1_000_000
OPEN = 1_000_000  # a level no proxy reaches: nothing is turned away

# The design's values (docs/design.md); those marked * are open to tuning.
PERIOD = SECOND  # about 1 s, in whole cycles of reports
HEADROOM = 0.05  # * part of C kept free
RHO = 0.2  # * what a cap leaves above heard demand
STEADY = 0.25  # part of a period's latency in the steady one, whose least is the calm one
KNEE, SHOWN = 1.1, 0.9  # C over the acked rate at longer waits; over what cores show in full rooms
TROUBLE_PERIODS = 3
ERRORS_UP, LATENCY_UP = 2.0, 1.5
GROWTH, FAST_GROWTH = 1.05, 1.25  # of C a calm period; ours: at most, while caps bind and cores idle
ACT_AT = 0.8  # levels act while use is above this part of C
LEAST_CAP = 0.05  # of H / op types
EARNINGS_POWER = 3  # * class weights: demand x earnings to this power
STEP = 0.1  # * the weight step's power, per period
OFF_BY = 0.1  # * a line is sent when this far off
# Ours.
CALM_ERRORS = 0.03  # errors under this part are calm
BUSY, FULL = 0.75, 0.35  # busy cores from which trouble is the pool's; wait / mean target: rooms full
FIT = 2  # a reported load is believed within this factor of what the waits show
BAD, BAD_TRIES = 0.5, 4  # aborted part, of so many tries, of a server bad where the fleet is not
SOFT_PART = 0.15  # most of the fleet withdrawn on tries alone
PACE = 0.5  # part of the channel's stated speed that is counted on
ROOM = 0.4  # part of the backlog for what can wait; rule-bound changes may use 0.9
TABLES = 0.12  # part of the backlog up to which all joined proxies' tables may grow
SPREAD = 2  # one proxy brings a server less than one part in so many of its even load
KEPT = 0.7  # a line is picked about so many times while an idle connection lasts, or more
CROSSING = 1.25  # a server of another zone counts as so much more crowded
NARROWER, LEAST_BREADTH = 0.7, 0.2  # a proxy's lines, a period, while tries fail and cores idle
CROWDED = 1.5  # a line goes to a server this much less crowded
THIN = 2  # ops that a proxy is thought to have had beside those that came
MANY = 16  # ops or tries from which on a short stretch says enough
COLD_CAUTION = 0.8  # a cold server gets this part of what it surely can do,
COLD_ENTRY = 0.25  # nothing below this part of its usual work,
COLD_FAILING = 0.3  # and nothing where this part of all tries fails


class Controller:
    def __init__(self, now, site, seed):
        self.now, self.site, self.seed, self.counter = now, site, seed, count()
        self.op_types = [OpType(place, facts) for place, facts in enumerate(site["op_types"])]
        self.target = fmean([o.target_latency for o in self.op_types] or [SECOND])
        self.by_name = {op_type.name: op_type for op_type in self.op_types}
        self.cycle = max(site.get("cycle", PERIOD), 1)
        self.period = max(1, round(PERIOD / self.cycle)) * self.cycle
        self.span = max(2, -(-2 * SECOND // self.cycle))  # buckets that make up what counts as recent
        self.servers, self.proxies = {}, {}  # by id, for the door only
        self.want, self.urgent = {}, {}  # the shared table; the proxies that cannot wait, in order
        self.deciding, self.pressing = None, True  # the orders under way; something cannot wait
        self.breadth, self.place_at = 1.0, now + 3 * self.period  # part of lines held; kinds are measured at
        self.due, self.decided_at, self.reported = now, now - self.period, False
        self.shift = None  # puts the reports' arrival into the middle of a bucket
        self.ask_again, self.ask_wake, self.list_fails = now, None, 0
        self.capacity = None  # C, in ops a second of this controller's own proxies
        self.rates = 0.0  # what those usually get, as C was last brought up to it
        self.power = self.usual_power = 0.0  # usual work that the servers surely can do now; and lately
        self.per_power = None  # C for each part of it, as busy cores show while it is calm
        self.trouble = 0  # periods of it in a row; below 0: of waiting after a cut
        self.calm_latency = self.lately = self.target / 3
        self.binding = False
        self.caps = [None] * len(self.op_types)  # ops a second let in; None: all
        self.quotas = self.caps  # what proxies' quotas sum up to, for that to be let in
        self.waiting, self.waiting_at = 0.0, now  # lines thought to wait in the channel
        self.pace, self.marked = PACE, 0.0  # part of its stated speed, lines waiting at the last mark

    # -- what comes in: only what is known changes ---------------------------------------------------

    def listed(self, now, how, lines):
        if how == "failed":
            self.list_fails += 1
            chance = crc32(b"%d:%d" % (self.seed, next(self.counter))) / 2**32
            wait = min(self.site.get("ask_within", 8 * SECOND) / 2, SECOND / 2 * 2 ** min(self.list_fails, 6))
            self.ask_again = now + int(wait * (0.5 + chance))
            return
        self.list_fails *= how == "remembered"
        named = {line[0] for line in lines}
        for ident, zone, kind, cell, state, weight, started in lines:
            server = self.servers.get(ident)
            if server is None:
                server = self.servers[ident] = Server(ident)
                server.tries = Ring(self.cycle, 8, 4)
                server.loads = Ring(self.cycle, 8, 3)
            if state == "open" and (server.state != "open" or started > server.started):
                self.begin(server, now, started)
            server.zone, server.kind, server.cell = zone, kind, cell
            server.gone_at = (server.gone_at or now) if state == "gone" else None
            server.state, server.size = state, max(weight, 0.01)
        if how != "changes":
            for ident, server in self.servers.items():
                if ident not in named:
                    server.state, server.gone_at = "gone", server.gone_at or now
        self.pressing = True

    def begin(self, server, now, started):
        """A process that has just been listed (or again): what its forerunner did says nothing of it."""
        self.urgent.update(server.holders)
        server.started, server.trust, server.trust_since = started, 1.0, now
        server.strikes = server.probes_good = server.probes_bad = server.probe_out = 0

    def woken(self, now, mark): ...

    def bucket_time(self, now):
        """Time for the rings: reports come all at once, and each round gets a bucket of its own."""
        return now + (self.shift or 0)

    def report_came(self, now):
        self.reported = True
        self.shift = self.cycle // 2 - now % self.cycle if self.shift is None else self.shift
        return self.bucket_time(now)

    def probed(self, now, ident, outcome, took, load):
        server = self.servers.get(ident)
        if server is None or not server.probe_out:  # or of a process that another has replaced since
            return
        server.probe_out, good = 0, outcome in ("acked", "rejected")
        server.probes_good = server.probes_good + 1 if good else 0
        server.probes_bad = 0 if good else server.probes_bad + 1
        self.note_load(server, now, load)

    def note_load(self, server, now, load):
        if load:
            held = load.get("waiting", load.get("holding", 0.0))
            server.loads.add(self.bucket_time(now), 1, load.get("busy", 0.0), held)

    def told(self, now, peer, payload): ...

    def learnt(self, now, ident, weight, withdrawn):
        """Another controller's word, or a former life's: it counts where this one has nothing of its own.

        Guards against a successor that learns weights and failing servers anew. Harm: a word that is wrong
        stands until tries or probes of its own say otherwise; withdrawals by it stay a small part."""
        server = self.servers.get(ident)
        if server is None or server.state != "open" or self.knows(now, server):
            return
        server.weight, self.place_at = min(max(weight, 0.1), 4.0), float("inf")  # kinds need no measure then
        out, known = sum(s.trust == 0 for s in self.open_servers()), len(self.open_servers())
        if withdrawn and server.trust == 1 and out < SOFT_PART * (known - 1):
            server.trust, server.trust_since, server.strikes = 0.0, now, server.strikes + 1
            self.urgent.update(server.holders)
        self.pressing = True

    def knows(self, now, server):
        return server.tries.sums(self.bucket_time(now))[0] >= MANY

    def weighed(self, now):
        """The usual weight of each server that tries of its own speak of."""
        return {s.ident: s.weight for s in self.open_servers() if s.weight and self.knows(now, s)}

    def inherited(self, now, part):
        """C of proxies that another controller served until now; below 0: of those that it now serves."""
        self.capacity, self.rates = max((self.capacity or 0.0) + part, 0.0) or None, 0.0

    def joined(self, now, ident, zone, rate, fresh):
        proxy = self.proxies.get(ident)
        if proxy is None:
            proxy = self.proxies[ident] = Proxy(ident, [Ring(self.cycle, 8, 3) for _ in self.op_types])
            proxy.levels, proxy.ops = [None] * len(self.op_types), [0.0] * len(self.op_types)
        proxy.messages = Ring(max(self.site.get("messages_window", 0) // 10, SECOND), 11, 1)
        proxy.zone, proxy.rate, proxy.joined, proxy.bound = zone, rate, True, False
        proxy.total, proxy.since = rate, now
        self.urgent[proxy], self.pressing = None, True

    def left(self, now, ident):
        if ident in self.proxies:
            self.proxies[ident].joined = False

    def heard(self, now, ident, zone, tries, aborted, latency, window, load):
        server = self.servers.get(ident)
        if server:
            acked = tries - aborted
            server.tries.add(self.report_came(now), tries, aborted, acked, latency * acked)
            self.note_load(server, now, load)

    def used(self, now, ident, op_type, ops, unanswered, window):
        proxy = self.proxies.get(ident)
        if proxy:
            proxy.usage[self.by_name[op_type].place].add(self.report_came(now), ops, unanswered, window)

    def applied(self, now, ident, number, took):
        """Guards against a channel slower than stated; a slow way reads as one too, and only delays."""
        over = (took - self.site.get("transit_most", 0)) / SECOND
        sent = self.marked / self.site.get("lines_per_s", 1000)
        self.pace = min(PACE, max(sent / over, PACE / 10)) if over > 0 else PACE

    # -- what is decided -------------------------------------------------------------------------------------

    def next_order(self, now):
        if self.deciding is None:
            self.now, self.deciding = now, self.decide()
        order = next(self.deciding, None)
        self.deciding = self.deciding if order else None
        return order

    def decide(self):
        if self.site.get("list_asked") and self.ask_again is not None:
            # One subscription, asked for again after a failure, spread and backed off, when that is due.
            if self.now >= self.ask_again:
                self.ask_again = None
                yield ("watch", True)
            elif self.ask_again != self.ask_wake:
                self.ask_wake = self.ask_again
                yield ("wake", self.ask_wake, "list")
        # A period ends with the reports, so that they are acted on at once; without any, by the timer.
        due = self.decided_at + self.period - self.cycle // 2
        tick = self.now >= (due if self.reported else self.due)
        if tick:
            self.due, self.decided_at = self.now + self.period * 3 // 2, self.now
            yield ("wake", self.due, "period")
            self.take_stock()
            self.judge_servers()
            if self.reported:
                self.reported = False
                self.step_weights()
                yield from self.set_caps()
            yield from self.probe()
            yield from self.let_go()
        if (tick or self.pressing) and not self.site.get("slices"):  # slices are in no deployment yet
            self.pressing = False
            self.want, self.crew = self.shared_table(), self.joined_proxies()
            self.crew_total = sum(p.total for p in self.crew)
            self.rank_servers()
            yield from self.update_proxies(tick)

    def take_stock(self):
        """Sums up what was heard, once a period: what is recent, and longer where that is a handful.

        `seconds` is the stretch that recent usage tells of, by the reports' windows. Guards against reports
        late, thin or doubled in a later line, and the part stretch after a restart or a mass return."""
        self.recent, ring_time = self.bucket_time(self.now), 8 * self.cycle
        # C is of the joined proxies: it grows and shrinks with what they usually get.
        joined = self.joined_proxies()
        rates = sum(p.rate for p in joined)
        if self.capacity and self.rates:
            self.capacity = self.capacity * rates / self.rates or None
        self.rates = rates
        # And of the servers: with those that the list takes away, and starts cold, it is less at once.
        power = sum(s.size * self.warmth(s) for s in self.open_servers())
        if self.capacity and self.power and power:
            self.capacity *= power / self.power
        part = min(self.period / max(self.site.get("ramp", 0), 1), 1.0) if self.usual_power else 1.0
        self.power, self.usual_power = power, self.usual_power + (power - self.usual_power) * part
        told, covered, recent = 0.0, 0.0, [0.0] * len(self.op_types)
        for server in self.open_servers():
            server.tried = server.tries.sums(self.recent, self.span)
            server.loaded = server.loads.sums(self.recent, self.span)
            server.cover = 0.0
        for proxy in joined:
            ever = max(min(self.now - proxy.since, ring_time), self.cycle)
            for place, ring in enumerate(proxy.usage):
                ops, _, window = ring.sums(self.recent, self.span)
                long = ring.sums(self.recent)[0] / ever
                recent[place], told, covered = recent[place] + ops, told + long, covered + long * window
                proxy.ops[place] = (long if ops < MANY else ops / max(window, self.cycle)) * SECOND
            # What it usually gets stands in for what has not been heard yet.
            proxy.total = max(sum(proxy.ops), proxy.rate * (1 - ever / ring_time))
            ops = proxy.total / max(sum(proxy.lines.values()), 0.01)
            for server, weight in proxy.lines.items():
                server.cover += ops * weight
        self.seconds = max(covered / told if told else self.span * self.cycle, self.cycle / 4) / SECOND
        self.demand = [ops / self.seconds for ops in recent]
        # The median over servers is moved neither by one failing server nor by a few.
        trusted = [s for s in self.open_servers() if s.trust > 0]
        known = [s.tried for s in trusted if s.tried[0] >= BAD_TRIES]
        self.errors = median_high([aborted / tries for tries, aborted, _, _ in known] or [0.0])
        # The middle half of the servers, by all their tries together: of a handful each, a single one's mean,
        # and so the median of those that have enough, says next to nothing.
        waits = sorted((s.tried[3] / s.tried[2], *s.tried[2:]) for s in trusted if s.tried[2])
        middle = waits[len(waits) // 4 : len(waits) - len(waits) // 4]
        self.latency = sum(total for *_, total in middle) / max(sum(acked for _, acked, _ in middle), 1)
        if self.latency:  # from the first calm one on: at a start only what was quick has been answered
            self.lately += (self.latency - self.lately) * STEADY
        tries, aborted, acked = (sum(s.tried[k] for s in self.open_servers()) for k in range(3))
        self.tried, self.acked = tries / self.seconds, acked / self.seconds
        self.failing = aborted / max(tries, 1)
        for server in self.open_servers():
            _, _, acked, latency = server.tried
            server.slower = latency / acked / self.latency if acked >= BAD_TRIES and self.latency else 1.0
        reporting = trusted if "busy" in self.site.get("reports", []) else []
        busy = {s: s.loaded[1] / s.loaded[0] for s in reporting if s.loaded[0]}
        mean = fmean(busy.values() or [0.0])
        self.busy = [part for s, part in busy.items() if part * FIT >= mean * s.slower]

    def open_servers(self):
        return [s for s in self.servers.values() if s.state == "open"]

    def joined_proxies(self):
        return [p for p in self.proxies.values() if p.joined]

    def warmth(self, server):
        """What a server surely can do of its usual work: its ramp is never slower than even."""
        ramp, cold = self.site.get("ramp", 0), self.site.get("cold_share", 1.0)
        age = self.now - server.started
        if not server.started or age >= ramp:
            return 1.0
        return (cold + (1 - cold) * max(age, 0) / ramp) * COLD_CAUTION

    def let_go(self):
        """Guards against a list of ever new names: a server long gone that no joined proxy holds goes,
        also in tables of those that left. Harm: one that is back after all is learnt anew."""
        before = self.now - self.site.get("ramp", 0) - 8 * self.cycle
        for ident, server in list(self.servers.items()):
            long_gone = server.gone_at is not None and server.gone_at < before
            if long_gone and not any(p.joined for p in server.holders):
                for proxy in server.holders:
                    del proxy.lines[server]
                    yield ("weigh", proxy.ident, ident, 0)
                del self.servers[ident]

    # Health

    def probe(self):
        """Load reports where answers carry none, and word of whether the process runs."""
        if not self.site.get("probes"):
            return
        for server in self.open_servers():
            if not server.probe_out or self.now - server.probe_out > 5 * self.period:
                server.probe_out = self.now
                yield ("probe", server.ident)

    def judge_servers(self):
        """Withdraws a server that fails where the fleet does not, and takes one back by a graded trial.

        Guards against one server down, silent or failing fast, and a zone out of reach. Where all are bad at
        once, none goes. Harm: a server that one op type alone fails on is lost to the others too."""
        candidates = self.open_servers()
        for server in candidates:
            since = self.bucket_time(server.trust_since)
            tries, aborted, *_ = server.tries.sums(self.recent, self.span, since)
            if 0 < tries < BAD_TRIES:
                tries, aborted, *_ = server.tries.sums(self.recent, 0, since)
            server.aborted_part = aborted / tries if tries >= BAD_TRIES else None
        parts = [s.aborted_part for s in candidates if s.aborted_part is not None and s.trust > 0]
        usual = median_low(parts or [0.0])
        out = sum(1 for s in candidates if s.trust == 0)
        # Probes that most of those do not answer whose tries are acked speak of this controller's own way.
        mute = [server.probes_bad >= 2 for server in candidates if server.tried[2]]
        believed = 2 * sum(mute) <= len(mute)
        for server in candidates:
            unreachable, part = believed and server.probes_bad >= 2, server.aborted_part
            working = server.loaded[1] > BUSY * server.loaded[0] > 0 and not unreachable
            failing = part is not None and part > BAD + (0 if unreachable else BAD * usual) and not working
            if server.trust > 0:
                soft = out < SOFT_PART * (len(candidates) - 1)
                if (unreachable and (failing or part is None)) or (failing and soft):
                    server.trust, server.trust_since = 0.0, self.now
                    server.strikes += 1
                    out += 1
                elif server.trust < 1 and self.now - server.trust_since >= 2 * self.period:
                    server.trust, server.trust_since = min(1.0, server.trust * 2), self.now
            elif (server.probes_good > 1 or not believed) and (
                self.now - server.trust_since >= self.period * 2**server.strikes
            ):
                # The trial is graded like a cold start, since it may be one that the list does not tell yet;
                # each strike doubles the wait, against flapping and servers that fail fast yet answer probes.
                server.trust, server.trust_since = self.site.get("cold_share", 0.2), self.now

    # Weights: one vector for all proxies

    def step_weights(self):
        """The design's small step, weight x (mean load / load)^STEP, on servers that are warm and trusted.

        Load is busy cores, and the wait of what is held as a part of the mean target latency."""
        trusted = [s for s in self.want if s.trust == 1 and self.warmth(s) == 1]
        part = len(self.joined_proxies()) / max(self.site.get("proxies", 1), 1)
        acked = sum(s.tried[2] for s in trusted) / self.seconds / max(part, 0.05)  # by all proxies
        rate = acked / max(sum(s.weight for s in trusted), 0.1)
        loads = []
        for server in trusted:
            reports, busy, held = server.loaded
            if reports:
                wait = held / reports / max(rate * server.weight, 0.5) * SECOND
                loads.append((server, max(busy / reports + wait / self.target, 0.05)))
        if not loads and self.now >= self.place_at:
            # Nobody has reported: waits alone tell. Harm: a slow server gets less than it could do.
            loads = [(s, s.slower) for s in trusted if s.tried[2] >= BAD_TRIES]
        if len(loads) < 2:
            return
        if sum(self.busy) and self.now >= self.place_at:
            # Kinds start at what a busy core of theirs does: the step alone would take the best of a minute.
            self.place_at = float("inf")
            per_core = self.acked * self.seconds / sum(self.busy)
            for kind in dict.fromkeys(s.kind for s, _ in loads):
                alike = [s for s, _ in loads if s.kind == kind]
                cores = sum(s.loaded[1] / s.loaded[0] for s in alike)
                done = (sum(s.tried[2] for s in alike) + 1) / (cores * per_core + 1)
                for server in alike:
                    server.weight *= done
        # Guards against reports that show less or more than there is, or are stuck. Harm: a server far slower
        # or faster than its kind's others is stepped by its waits rather than by its cores.
        fit = median_high(load for _, load in loads) / FIT
        loads = [(s, min(max(load, fit * s.slower), fit * s.slower * FIT**2)) for s, load in loads]
        mean = fmean(load for _, load in loads)
        for server, load in loads:
            server.weight *= min(max((mean / load) ** STEP, 0.8), 1.25)
        scale = len(loads) / sum(s.weight for s, _ in loads)
        for server, _ in loads:
            server.weight = min(max(server.weight * scale, 0.1), 4.0)

    # Capacity and caps

    def set_caps(self):
        """C from trouble and calm, then the caps by water filling while use is near C."""
        if self.latency and self.errors <= CALM_ERRORS:
            self.calm_latency = min(self.calm_latency, self.lately)
        full, slow = self.latency > FULL * self.target, self.latency > LATENCY_UP * self.calm_latency
        shown = self.acked / max(fmean(self.busy), 0.2) if self.busy else None  # what reports say of capacity
        # Trouble while cores idle (or, unreported, use is far from C) has another cause than the pool.
        near = median_high(self.busy) > BUSY if self.busy else self.tried > ACT_AT * (self.capacity or 0)
        failing = self.errors > ERRORS_UP * CALM_ERRORS
        enough = self.acked * self.seconds >= 2 * MANY  # the first few answers of a start say nothing of C
        # Guards against connections refused or dear: where tries fail and cores idle, fewer lines need fewer.
        # Harm: where they fail for another cause, a proxy's ops fall on fewer servers.
        step = NARROWER if failing and self.busy and not near else GROWTH
        self.breadth = min(max(self.breadth * step, LEAST_BREADTH), 1.0)
        if (slow or failing) and near and enough:
            self.trouble += 1 if self.trouble < 0 or not full else TROUBLE_PERIODS
            if self.trouble >= TROUBLE_PERIODS:
                # Longer waits show the knee, at about 1 / KNEE of capacity; full rooms show capacity itself.
                knee = KNEE * self.acked
                found = max(self.acked, SHOWN * (shown or 0)) if full else min(knee, shown or knee)
                if found < (self.capacity or found + 1):
                    self.capacity = found
                    # What was let in before has to be worked off before waits say anything of the new C.
                    lag = self.site.get("transit_most", 0) + max(o.target_latency for o in self.op_types)
                    self.trouble = -round(lag / self.period)
        else:
            self.trouble = max(self.trouble + 1, 0) if self.trouble < 0 else 0
            calm = not full and not (slow and near)
            if self.capacity and calm and self.capacity < KNEE * (shown or self.capacity):
                # Where reports tell busy cores, they show how far C may grow, and how fast after a collapse
                # that set it too low. Harm: cores busy with other things than ops read as capacity.
                faster = min(FAST_GROWTH * self.capacity, shown) if self.binding and shown else 0.0
                self.capacity = max(GROWTH * self.capacity, faster)
        self.capacity = self.capacity and max(self.capacity, self.acked)  # what is done can be done
        # Guards against a pool that the list has just made much smaller: waits and errors would show it only
        # when rooms are full and cold servers get nothing. Harm: cores busy with other things than ops.
        steady = abs(self.power - self.usual_power) <= OFF_BY * self.usual_power
        if shown and steady and enough and not (slow or near or failing):
            found = shown / max(self.power, 0.1)
            self.per_power = (
                found if self.per_power is None else (self.per_power + (found - self.per_power) * STEADY)
            )
        fallen = self.per_power and self.power < ACT_AT * self.usual_power
        left = fallen and SHOWN * self.per_power * self.power
        limit = min(filter(None, (self.capacity, left)), default=None)
        self.binding = bool(limit) and sum(self.demand) > ACT_AT * limit
        self.caps = self.fill(self.demand, limit) if self.binding else [None] * len(self.demand)
        proxies = len(self.joined_proxies())
        self.quotas = [
            cap and cap * self.stretch(cap, heard, proxies)
            for cap, heard in zip(self.caps, self.demand, strict=True)
        ]
        yield (
            "note",
            f"C {self.capacity or 0:.0f} heard {[round(h) for h in self.demand]} "
            f"tried {self.tried:.0f} acked {self.acked:.0f} "
            f"lat {self.latency / 1000:.0f} calm {self.calm_latency / 1000:.0f} "
            f"err {self.errors:.2f} caps {[cap and round(cap) for cap in self.caps]}",
        )

    def fill(self, heard, capacity):
        """Weighted water filling: what one op type cannot use passes to the others by weight, in turn."""
        budget = (1 - HEADROOM) * capacity
        weights = [
            max(d, 0.1) * o.earnings**EARNINGS_POWER for o, d in zip(self.op_types, heard, strict=True)
        ]
        least, left = LEAST_CAP * budget / len(heard), list(range(len(heard)))
        while left:
            level = budget / sum(weights[k] for k in left)
            sated = [k for k in left if heard[k] * (1 + RHO) <= level * weights[k]]
            if not sated:
                break
            budget = max(budget - sum(heard[k] for k in sated) * (1 + RHO), 0.0)
            left = [k for k in left if k not in sated]
        return [max(level * weights[k], least) if k in left else None for k in range(len(heard))]

    def stretch(self, cap, heard, proxies):
        """Quotas against what they let in. A quota is taken as a bucket that holds what it renews in a cycle,
        and one op at least, to which ops come by chance: what finds it empty is turned away, also where the
        quota is all that comes, so that a proxy with an op now and then would turn half of them away. Harm:
        proxies that save more let in more than the cap."""
        let_in, ops = min(cap / max(heard, 0.1), 0.95), heard / max(proxies, 1)
        low, high = 0.0, 64.0  # what comes against what the quota renews
        for _ in range(16):
            load = (low + high) / 2
            holds = min(max(1.0, ops / load * self.cycle / SECOND), 100.0)
            part = (1 - load**holds) / (1 - load ** (holds + 1)) if load != 1 else holds / (holds + 1)
            low, high = (load, high) if part > let_in else (low, load)
        return 1 / (let_in * high)

    # Tables and the channel

    def shared_table(self):
        """The weight of every server that may be picked; at first its kind's, by the list's word of its size.

        A cold one gets what it surely can do: none before its first burst fits, and less or none while tries
        fail across the fleet, when proxies shun other lines and what is left of a table gets all. Without a
        warm one none is distrusted: all of a proxy's load would push a cold one over. Harm: after a crash of
        many servers the rest carry the load some seconds longer."""
        candidates, table = self.open_servers(), {}
        for server in candidates:
            if server.weight is None:
                like = [s for s in self.servers.values() if s.weight and s.kind == server.kind]
                server.weight = fmean([s.weight / s.size for s in like] or [1.0]) * server.size
            warmth = self.warmth(server)
            part = warmth if warmth == 1 else warmth * (1 - self.failing / COLD_FAILING)
            if part >= COLD_ENTRY and server.trust:
                table[server] = server.weight * part * server.trust
        warm = any(self.warmth(s) == 1 for s in table)
        return table if warm else {s: s.weight * self.warmth(s) for s in candidates}

    def standing(self):
        """What advice goes by: (weight in the shared table, its usual one, what it surely can do of that)."""
        known = self.open_servers()
        return {s.ident: (self.want.get(s, 0.0), s.weight or s.size, self.warmth(s)) for s in known}

    def room(self, proxy, lines, calm):
        """Whether the limits on messages and waiting lines take so many more, the channel being at `pace`."""
        sent = (self.now - self.waiting_at) / SECOND * self.site.get("lines_per_s", 1000) * self.pace
        self.waiting, self.waiting_at = max(0.0, self.waiting - sent), self.now
        most = self.site.get("messages_most", 0)
        return self.waiting + lines <= (ROOM if calm else 0.9) * self.site.get("backlog", 1000) and (
            not most or proxy.messages.sums(self.now)[0] + 1 <= (0.6 if calm else 0.95) * most
        )

    def table_size(self, proxy):
        """How many lines of the shared table a proxy holds: all on a small fleet. On a large one the site's
        own number, or by its part of the ops so many that no server gets its whole burst, more as the channel
        takes them, none that its ops do not keep connected. Harm: a proxy that turns hot waits for lines."""
        part, head = proxy.total / max(self.crew_total, 0.1), self.site.get("head", 0)
        least = max(self.site.get("standing", 6), SPREAD * part * len(self.want))
        spare = TABLES * self.site.get("backlog", 1000) / max(len(self.crew), 1) - head - least
        kept = KEPT * proxy.total * self.site.get("keepalive", 15 * SECOND) / SECOND
        return min(len(self.want), max(ceil(self.breadth * max(min(kept, least + spare), least)), 2))

    def crowd(self, server):
        return (server.cover + 0.01) / self.want[server]

    def rank_servers(self):
        """The servers of each zone as a heap, the least crowded first: what one proxy's table takes is found
        without a look at all of them. An entry that has become untrue is put right as it comes up."""
        self.ranks, self.turns = {}, count()  # a turn of its own for each entry: servers have no order
        for server in self.want:
            self.ranks.setdefault(server.zone, []).append((self.crowd(server), next(self.turns), server))
        for heap in self.ranks.values():
            heapify(heap)

    def least_crowded(self, proxy, number):
        """So many servers that a proxy holds no line of, near ones before those of other zones."""
        found = []
        for zone, heap in self.ranks.items():
            seen, left = {}, number
            while heap and left > 0:
                crowd, turn, server = heappop(heap)
                if crowd != self.crowd(server):
                    heappush(heap, (self.crowd(server), turn, server))
                elif server not in seen:
                    seen[server] = crowd, turn, server
                    if server not in proxy.lines:
                        left -= 1
                        found.append((crowd * (1 if zone == proxy.zone else CROSSING), turn, server))
            for entry in seen.values():
                heappush(heap, entry)
        return [server for *_, server in nsmallest(number, found)]

    def line_changes(self, proxy, tick):
        """What brings a proxy's part of the shared table up to date: 0 removes a line. Its servers are those
        that the tables bring the fewest ops against their weight, near ones before those of other zones."""

        def crowded(server):
            return self.crowd(server) * (1 if server.zone == proxy.zone else CROSSING)

        want, size = self.want, self.table_size(proxy)
        changed = {s: 0 for s in proxy.lines if s not in want}
        held = [s for s in proxy.lines if s in want]
        off = [s for s in held if abs(proxy.lines[s] / want[s] - 1) > OFF_BY]
        if off and (tick or any(proxy.lines[s] > 1.5 * want[s] and self.warmth(s) < 1 for s in off)):
            changed.update((s, want[s]) for s in held if abs(proxy.lines[s] / want[s] - 1) > OFF_BY / 2)
        grow = len(held) < size / CROWDED or changed or not proxy.bound
        added = self.least_crowded(proxy, size - len(held)) if grow else []
        if tick and len(held) > size * CROWDED:
            changed.update((s, 0) for s in sorted(held, key=crowded)[size:])
        elif tick and held and not added and (others := self.least_crowded(proxy, 1)):
            worst = max(held, key=crowded)
            if crowded(worst) > CROWDED * crowded(others[0]):
                changed[worst], added = 0, others
        changed.update((s, want[s]) for s in added)
        ops = proxy.total / max(sum(proxy.lines.values()) + sum(want[s] for s in added), 0.01)
        for server, weight in changed.items():
            server.cover += ops * (weight - proxy.lines.get(server, 0.0))
            if weight < proxy.lines.get(server, 0.0) and server in want:  # less crowded than its entry says
                heappush(self.ranks[server.zone], (self.crowd(server), next(self.turns), server))
        return changed

    def update_proxies(self, tick):
        """Brings the proxies' tables up to the shared one; changes only, one message a proxy.

        Rule-bound changes and joiners go at once; the rest once a period, as the channel has room, what moves
        most ops first, counted again for each period that it has waited."""
        head, work = self.site.get("head", 0), []
        for server in self.servers.values():
            if server not in self.want:
                self.urgent.update(server.holders)
        for proxy in self.crew if tick else [p for p in self.urgent if p.joined]:
            changed, levels = self.line_changes(proxy, tick), self.level_changes(proxy)
            calm = proxy not in self.urgent
            if changed or levels or not proxy.bound:
                moved = sum(abs(weight - proxy.lines.get(s, 0)) for s, weight in changed.items())
                moved = moved / max(sum(proxy.lines.values()), 0.01) + len(levels)
                worth = proxy.total * moved * (1 + proxy.waited)
                work.append((calm, -worth, len(work), proxy, changed, levels))
            else:
                self.urgent.pop(proxy, None)
        for calm, _, _, proxy, changed, levels in sorted(work, key=lambda item: item[:3]):
            cost = head + len(changed) + len(levels)
            if not calm and proxy.bound and not self.room(proxy, cost, True):
                # The channel is short: no more than the rules demand, the rest when it can wait its turn.
                less = {s: weight for s, weight in changed.items() if weight < proxy.lines.get(s, 0)}
                if any(less.get(s, 1) for s in proxy.lines):
                    changed, levels, cost = less, [], head + len(less)
            if not proxy.bound:
                cost = head + 2 + len(proxy.lines) + len(changed) + 2 * len(self.op_types)
            if not self.room(proxy, cost, calm):
                proxy.waited += 1
                self.pressing = self.pressing or not calm
                continue
            self.waiting, proxy.waited = self.waiting + cost, 0
            self.urgent.pop(proxy, None)
            proxy.messages.add(self.now, 1)
            for server, weight in changed.items():
                yield ("weigh", proxy.ident, server.ident, round(weight, 4))
                if weight:
                    proxy.lines[server] = weight
                    server.holders[proxy] = None
                else:
                    del proxy.lines[server], server.holders[proxy]
            for mask, quota, tries, places in levels:
                yield ("admit", proxy.ident, mask, round(quota, 3), tries)
                for place in places:
                    proxy.levels[place] = (quota, tries)
            if not proxy.bound:
                proxy.bound = True
                yield ("bind", proxy.ident, proxy.ident, 0)  # a proxy's own table bears its number
        if work and tick:
            self.marked = self.waiting
            yield ("mark", next(self.counter) % 65536, False)

    def part(self, own, usual, total):
        """A proxy's part of an op type's ops, by those of the last while, as so many more would be that came
        as they usually do. Guards against quotas that follow chance where ops are few a proxy: the next comes
        where none was. Harm: a proxy that turns hot is let in less for as long as its ops are that few."""
        seen = own * 8 * self.cycle / SECOND
        expected = max(usual * total, 0.01)
        return (THIN + seen) / (THIN / expected + 8 * self.cycle / SECOND) / max(total, 0.01)

    def level_changes(self, proxy):
        """Quota and further tries that differ enough from those ordered, equal ones in one line."""
        if not self.binding and all(level is None for level in proxy.levels):
            return []
        kind, tries = self.site.get("level", "none"), 0 if self.binding else self.site.get("usual_tries", 0)
        usual, grouped = proxy.rate / max(self.rates, 0.1), {}
        told = zip(proxy.ops, self.demand, self.caps, self.quotas, strict=True)
        for place, (own, total, cap, quotas) in enumerate(told):
            quota = OPEN if kind == "rate" else 1.0
            if cap is not None and kind == "rate":
                quota = quotas * self.part(own, usual, total)
            elif cap is not None and kind == "share":
                quota = min(1.0, cap / max(total, 0.1))
            ordered = proxy.levels[place]
            if ordered is None or ordered[1] != tries or abs(ordered[0] - quota) > OFF_BY * ordered[0]:
                grouped.setdefault((quota, tries), []).append(place)
        return [
            (sum(1 << place for place in places), quota, tries, places)
            for (quota, tries), places in grouped.items()
        ]
