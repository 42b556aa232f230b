"""Every decision of foxstep: which lines the proxies hold, what they let in, when they try again.

How it is called: `Controller(now, site, seed)`, then the inputs (`listed`, `probed`, `joined`, `heard`, ...),
which only update what is known; after each batch the host pulls `next_order(now)` until it answers None. The
contract and the orders stand in `foxstep/interface.py`, plain state in `foxstep/fleet.py`, the reasons in
`docs/design.md`. `site` is a plain map of what was told at the start; times are microseconds.

Order of the day: follow the list; once a period judge the servers, step the weights, fill the caps; then
bring the tables up to date, rule-bound changes first, within what the channel takes.
"""

from itertools import count
from zlib import crc32

from foxstep.fleet import OpType, Proxy, Ring, Server

SECOND = 1_000_000
OPEN = 1_000_000               # a level no proxy reaches: nothing is turned away

# The design's values (docs/design.md); those marked * are open to tuning.
PERIOD = SECOND                # about 1 s, in whole cycles of reports
HEADROOM = 0.1                 # * part of C kept free
DRAIN_MOST = 0.6               # * most headroom added to work off what waits
RHO = 0.2                      # * what a cap leaves above heard demand
KNEE = 1.3                     # C over the acked rate when trouble shows as longer waits
TROUBLE_PERIODS = 3
ERRORS_UP, LATENCY_UP = 2.0, 1.5
GROWTH = 1.05
FAST_GROWTH = 1.25             # ours: most a period, while caps bind and cores idle
ACT_AT = 0.8                   # levels act while use is above this part of C
LEAST_CAP = 0.05               # of H / op types
EARNINGS_POWER = 3             # * class weights: demand x (earnings / best earnings) to this power
STEP = 0.1                     # * the weight step's power, per period
OFF_BY = 0.1                   # * a line is sent when this far off
# Ours.
CALM_ERRORS = 0.03             # errors under this part are calm
BUSY = 0.75                    # busy part of the cores from which on trouble is the pool's
FULL = 0.35                    # mean latency over this part of the mean target: rooms are full
BAD = 0.5                      # aborted part at which a server is bad where the fleet is not
BAD_TRIES = 4
SOFT_PART = 0.3                # most of the fleet withdrawn on tries alone
PACE = 0.5                     # part of the channel's stated speed that is counted on
ROOM = 0.4                     # part of the backlog for what can wait; rule-bound changes may use 0.9
COLD_CAUTION = 0.8             # a cold server gets this part of what it surely can do,
COLD_ENTRY = 0.25              # nothing below this part of its usual work,
COLD_FAILING = 0.3             # and nothing where this part of all tries fails


class Controller:
    def __init__(self, now, site, seed):
        self.now, self.site, self.seed = now, site, seed
        self.counter = count()
        self.op_types = [OpType(place, facts) for place, facts in enumerate(site["op_types"])]
        self.target = sum(o.target_latency for o in self.op_types) / max(len(self.op_types), 1)  # the mean
        self.by_name = {op_type.name: op_type for op_type in self.op_types}
        self.cycle = max(site.get("cycle", PERIOD), 1)
        self.period = max(1, round(PERIOD / self.cycle)) * self.cycle
        self.servers, self.proxies = {}, {}      # by id, for the door only
        self.deciding = None
        self.due, self.decided_at, self.reported = now, now - self.period, False
        self.span = max(2, -(-2 * SECOND // self.cycle))  # buckets that make up what counts as recent
        self.failing = 0.0                       # aborted part of all recent tries
        self.shift = None                        # puts the reports' arrival into the middle of a bucket
        self.pressing = True                     # something cannot wait for the period
        self.ask_again, self.list_fails = now, 0
        self.capacity = None                     # C, in ops a second of this controller's own proxies
        self.trouble = 0                         # periods of it in a row
        self.calm_latency = min((o.target_latency for o in self.op_types), default=SECOND) / 3
        self.binding = False
        self.caps = [None] * len(self.op_types)  # ops a second let in; None: all
        self.waiting, self.waiting_at = 0.0, now  # lines thought to wait in the channel
        self.pace, self.marked = PACE, 0.0       # part of its stated speed, lines waiting at the last mark
        self.kinds = {}                          # kind -> mean weight learnt

    def chance(self):
        """The next number in [0, 1) from this instance's seed."""
        return crc32(b"%d:%d" % (self.seed, next(self.counter))) / 2**32

    # -- what comes in: only what is known changes ---------------------------------------------------

    def listed(self, now, how, lines):
        if how == "failed":
            self.list_fails += 1
            wait = min(self.site.get("ask_within", 8 * SECOND) / 2, SECOND / 2 * 2 ** min(self.list_fails, 6))
            self.ask_again = now + int(wait * (0.5 + self.chance()))
            return
        if how != "remembered":
            self.list_fails = 0
        named = {}
        for ident, zone, kind, cell, state, weight, started in lines:
            server = self.servers.get(ident)
            if server is None:
                server = self.servers[ident] = Server(ident)
                server.tries = Ring(self.cycle, 8, 4)
                server.loads = Ring(self.cycle, 8, 3)
            if state == "open" and (server.state != "open" or started > server.started):
                self.begin(server, now, started)
            server.zone, server.kind, server.cell = zone, kind, cell
            server.state, server.listed_weight = state, weight
            named[ident] = True
        if how != "changes":
            for ident, server in self.servers.items():
                if ident not in named:
                    server.state = "gone"
        self.pressing = True

    def begin(self, server, now, started):
        """A process that has just been listed (or again): what its forerunner did says nothing of it."""
        server.started, server.trust, server.trust_since = started, 1.0, now
        server.strikes = server.probes_good = server.probes_bad = server.probe_out = 0

    def woken(self, now, mark):
        pass

    def bucket_time(self, now):
        """Time for the rings: reports come all at once, and each round gets a bucket of its own."""
        return now + (self.shift or 0)

    def report_came(self, now):
        if self.shift is None:
            self.shift = self.cycle // 2 - now % self.cycle
        self.reported = True
        return self.bucket_time(now)

    def probed(self, now, ident, outcome, took, load):
        server = self.servers[ident]
        server.probe_out = 0
        if outcome in ("acked", "rejected"):
            server.probes_good, server.probes_bad = server.probes_good + 1, 0
        else:
            server.probes_good, server.probes_bad = 0, server.probes_bad + 1
        self.note_load(server, now, load)

    def note_load(self, server, now, load):
        if load:
            held = load.get("waiting", load.get("holding", 0.0))
            server.loads.add(self.bucket_time(now), 1, load.get("busy", 0.0), held)

    def told(self, now, peer, payload):
        pass

    def joined(self, now, ident, zone, rate, fresh):
        proxy = self.proxies.get(ident)
        if proxy is None:
            proxy = self.proxies[ident] = Proxy(ident)
            proxy.usage = [Ring(self.cycle, 8, 3) for _ in self.op_types]
            proxy.levels = [None] * len(self.op_types)
        elif self.capacity and not proxy.joined:
            self.capacity *= 1 + self.usage_part(proxy, rate)
        proxy.messages = Ring(max(self.site.get("messages_window", 0) // 10, SECOND), 11, 1)
        proxy.zone, proxy.rate, proxy.joined, proxy.bound = zone, rate, True, False
        self.pressing = True

    def left(self, now, ident):
        proxy = self.proxies.get(ident)
        if proxy and proxy.joined:
            if self.capacity:
                self.capacity /= 1 + self.usage_part(proxy, proxy.rate)
            proxy.joined = False

    def usage_part(self, proxy, rate):
        """What a proxy adds to the others' listed rate."""
        others = sum(p.rate for p in self.proxies.values() if p.joined and p is not proxy)
        return rate / others if others else 0.0

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
            self.now = now
            self.deciding = self.decide()
        order = next(self.deciding, None)
        if order is None:
            self.deciding = None
        return order

    def decide(self):
        yield from self.follow_list()
        # A period ends with the reports, so that they are acted on at once; without any, by the timer.
        whole = self.now - self.decided_at >= self.period - self.cycle // 2
        tick = self.now >= self.due or (self.reported and whole)
        if tick or self.pressing:
            self.place_servers()
        if tick:
            self.recent = self.bucket_time(self.now)
            self.due, self.decided_at = self.now + self.period * 3 // 2, self.now
            yield ("wake", self.due, "period")
            self.judge_servers()
            if self.reported:
                self.reported = False
                self.step_weights()
                yield from self.set_caps()
            yield from self.probe()
        if (tick or self.pressing) and not self.site.get("slices"):  # slices are in no deployment yet
            self.pressing = False
            yield from self.update_proxies(tick)

    def follow_list(self):
        """One subscription, asked for again after a failure, spread and backed off."""
        if self.site.get("list_asked") and self.ask_again is not None and self.now >= self.ask_again:
            self.ask_again = None
            yield ("watch", True)

    def seconds(self):
        """The stretch that recent usage tells of: by the reports' own windows, weighted by ops.

        Guards against reports that come late, get lost or are doubled in a later line, and against the part
        stretch after a restart or a mass return: all of these would read as a rate that drops or jumps.
        """
        rows = [ring.sums(self.recent, self.span) for p in self.joined_proxies() for ring in p.usage]
        ops = sum(row[0] for row in rows)
        if not ops:
            return self.span * self.cycle / SECOND
        return max(sum(row[0] * row[2] for row in rows) / ops, self.cycle / 4) / SECOND

    def usage_totals(self):
        """Recent ops of each op type, over all joined proxies."""
        return [sum(p.usage[o.place].sums(self.recent, self.span)[0] for p in self.joined_proxies())
                for o in self.op_types]

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
        once, none goes. Harm: a server that one op type alone fails on is lost to the others too.
        """
        candidates = self.open_servers()
        parts = []
        for server in candidates:
            tries, aborted, _, _ = server.tries.sums(
                self.recent, self.span, self.bucket_time(server.trust_since))
            server.aborted_part = aborted / tries if tries >= BAD_TRIES else None
            if server.aborted_part is not None and server.trust > 0:
                parts.append(server.aborted_part)
        usual = sorted(parts)[(len(parts) - 1) // 2] if parts else 0.0
        out = sum(1 for s in candidates if s.trust == 0)
        for server in candidates:
            unreachable = server.probes_bad >= 2
            part = server.aborted_part
            failing = part is not None and part > BAD + (0 if unreachable else BAD * usual)
            if server.trust > 0:
                soft = out < SOFT_PART * len(candidates) - 1
                if (unreachable and (failing or part is None)) or (failing and soft):
                    server.trust, server.trust_since = 0.0, self.now
                    server.strikes += 1
                    out += 1
                    self.pressing = True
                elif server.trust < 1 and self.now - server.trust_since >= 2 * self.period:
                    server.trust, server.trust_since = min(1.0, server.trust * 2), self.now
            elif (server.probes_good >= 2
                  and self.now - server.trust_since >= self.period * 2 ** server.strikes):
                # The trial is graded like a cold start, since it may be one that the list does not tell yet;
                # each strike doubles the wait, against flapping and servers that fail fast yet answer probes.
                server.trust, server.trust_since = self.site.get("cold_share", 0.2), self.now

    # Weights: one vector for all proxies

    def place_servers(self):
        """A server not yet placed starts at its kind's learnt weight, by the list's word of its size."""
        for server in self.servers.values():
            if server.weight is None and server.state == "open":
                server.weight = self.kinds.get(server.kind, 1.0) * max(server.listed_weight, 0.01)

    def load(self, server, seconds):
        """Busy cores, and the wait of what is held as a part of the mean target latency; None: unknown."""
        reports, busy, held = server.loads.sums(self.recent, self.span)
        if not reports:
            return None
        _, _, acked, latency = server.tries.sums(self.recent, self.span)
        part = len(self.joined_proxies()) / max(self.site.get("proxies", 1), 1)
        rate = acked / seconds / max(part, 0.05)
        wait = held / reports / max(rate, 0.5)
        return max(busy / reports + wait * SECOND / self.target, 0.05)

    def step_weights(self):
        """The design's small step, weight x (mean load / load)^STEP, on servers that are warm and trusted."""
        trusted, seconds = [s for s in self.open_servers() if s.trust == 1], self.seconds()
        loads = [(s, self.load(s, seconds)) for s in trusted if self.warmth(s) == 1]
        loads = [(s, load) for s, load in loads if load is not None]
        if len(loads) < 2:
            return
        mean = sum(load for _, load in loads) / len(loads)
        for server, load in loads:
            server.weight *= min(max((mean / load) ** STEP, 0.8), 1.25)
        scale = len(loads) / sum(s.weight for s, _ in loads)
        grouped = {}
        for server, _ in loads:
            server.weight = min(max(server.weight * scale, 0.1), 4.0)
            grouped.setdefault(server.kind, []).append(server.weight / max(server.listed_weight, 0.01))
        for kind, weights in grouped.items():
            self.kinds[kind] = sum(weights) / len(weights)

    # Capacity and caps

    def fleet_state(self):
        """Median latency and aborted part over servers (one failing moves none), rates acked and tried."""
        latencies, errors, rate, tried, failed = [], [], 0.0, 0.0, 0.0
        for server in self.open_servers():
            tries, aborted, acked, latency = server.tries.sums(self.recent, self.span)
            rate, failed, tried = rate + acked, failed + aborted, tried + tries
            if tries >= BAD_TRIES and server.trust > 0:
                errors.append(aborted / tries)
                if acked:
                    latencies.append(latency / acked)
        self.failing = failed / tried if tried else 0.0
        middle = [sorted(values)[len(values) // 2] if values else 0.0 for values in (latencies, errors)]
        return (*middle, rate / self.seconds(), tried / self.seconds())

    def busy(self):
        """Median and mean part of the cores that is busy, over servers that report it; None: none does."""
        parts = []
        for server in self.open_servers():
            reports, busy, _ = server.loads.sums(self.recent, self.span)
            if reports and server.trust > 0:
                parts.append(busy / reports)
        if not parts or "busy" not in self.site.get("reports", []):
            return None, None
        return sorted(parts)[len(parts) // 2], sum(parts) / len(parts)

    def set_caps(self):
        """C from trouble and calm, then the caps by water filling while use is near C."""
        latency, errors, acked, tried = self.fleet_state()
        if latency and errors <= CALM_ERRORS:
            self.calm_latency = min(self.calm_latency, latency)
        full = latency > FULL * self.target
        slow = latency > LATENCY_UP * self.calm_latency
        # Trouble while cores idle (or, unreported, use is far from C) has another cause than the pool.
        busy, mean_busy = self.busy()
        shown = acked / max(mean_busy, 0.2) if busy is not None else None  # what reports say of capacity
        near = tried > ACT_AT * (self.capacity or 0) if busy is None else busy > BUSY
        if (slow or errors > ERRORS_UP * CALM_ERRORS) and near:
            self.trouble += 1 if self.trouble < 0 or not full else TROUBLE_PERIODS
            if self.trouble >= TROUBLE_PERIODS:
                # Longer waits show the knee, at about 1 / KNEE of capacity; full rooms show capacity itself.
                found = acked if full else min(KNEE * acked, shown or KNEE * acked)
                if self.capacity is None or found < self.capacity:
                    self.capacity = found
                    # What was let in before has to be worked off before waits say anything of the new C.
                    lag = self.site.get("transit_most", 0) + max(o.target_latency for o in self.op_types)
                    self.trouble = -round(lag / self.period)
        else:
            self.trouble = max(self.trouble + 1, 0) if self.trouble < 0 else 0
            if self.capacity and not (slow and near) and not full:
                # Where reports tell busy cores, they show how far C may grow, and how fast after a collapse
                # that set it too low. Harm: cores busy with other things than ops read as capacity.
                faster = self.binding and shown and shown > self.capacity
                if shown is None or self.capacity < KNEE * shown:
                    self.capacity = max(GROWTH * self.capacity,
                                        min(FAST_GROWTH * self.capacity, shown) if faster else 0.0)
        heard = [ops / self.seconds() for ops in self.usage_totals()]
        # What waits above the calm has to be worked off beside what comes in, within about an op timeout.
        timeout = max(o.op_timeout for o in self.op_types)
        excess = min(max(latency - LATENCY_UP * self.calm_latency, 0) / timeout, DRAIN_MOST)
        self.binding = bool(self.capacity) and sum(heard) > ACT_AT * self.capacity
        self.caps = self.fill(heard, excess) if self.binding else [None] * len(heard)
        yield ("note", f"C {self.capacity and round(self.capacity)} heard {[round(h) for h in heard]} acked "
               f"{acked:.0f} lat {latency / 1000:.0f} calm {self.calm_latency / 1000:.0f} err {errors:.2f} "
               f"caps {self.caps}")

    def fill(self, heard, excess):
        """Weighted water filling: what one op type cannot use passes to the others by weight, in turn."""
        budget = (1 - HEADROOM - excess) * self.capacity
        best = max(o.earnings for o in self.op_types)
        weights = [max(d, 0.1) * (o.earnings / best) ** EARNINGS_POWER
                   for o, d in zip(self.op_types, heard, strict=True)]
        least = LEAST_CAP * budget / len(heard)
        caps, left = [0.0] * len(heard), list(range(len(heard)))
        while left:
            total = sum(weights[k] for k in left)
            level = budget / total
            sated = [k for k in left if heard[k] * (1 + RHO) <= level * weights[k]]
            if not sated:
                for k in left:
                    caps[k] = max(level * weights[k], least)
                break
            for k in sated:
                caps[k] = None
                budget = max(budget - heard[k] * (1 + RHO), 0.0)
                left.remove(k)
        return caps

    def levels_for(self, proxy, totals):
        """Quota and further tries for each op type at one proxy."""
        kind, usual = self.site.get("level", "none"), self.site.get("usual_tries", 0)
        tries = 0 if self.binding else usual
        levels = []
        for op_type, cap in zip(self.op_types, self.caps, strict=True):
            if cap is None or kind == "none":
                quota = OPEN if kind == "rate" else 1.0
            else:
                total = totals[op_type.place]
                own = proxy.usage[op_type.place].sums(self.recent, self.span)[0]
                if kind == "rate":
                    quota = cap * (own + 0.5) / (total + 0.5 * len(self.joined_proxies()))
                else:
                    quota = min(1.0, cap / max(total / self.seconds(), 0.1))
            levels.append((quota, tries))
        return levels

    # Tables and the channel

    def lines(self):
        """The weight of every server that may be picked; without a warm one among them, none is distrusted:
        all of a proxy's load on a cold server would push it over."""
        candidates = self.open_servers()
        lines = {s: s.weight * self.cold_part(s) * s.trust for s in candidates}
        lines = {s: weight for s, weight in lines.items() if weight > 0}
        warm = any(self.warmth(s) == 1 for s in lines)
        return lines if warm else {s: s.weight * self.warmth(s) for s in candidates}

    def cold_part(self, server):
        """What of its weight a server gets for its warmth, in steps that grow.

        Guards against pushing a cold server over: not before its first burst fits, and less or nothing while
        tries fail across the fleet, when proxies shun other lines and what is left of a table gets it all.
        Harm: after a crash of many servers the rest carry the load some seconds longer.
        """
        warmth = self.warmth(server)
        if warmth == 1:
            return 1.0
        part = warmth * max(0.0, 1 - self.failing / COLD_FAILING)
        return part if part >= COLD_ENTRY else 0.0

    def room(self, lines, part):
        """Whether the channel takes so many more lines, if it runs at `pace` of its stated speed."""
        sent = (self.now - self.waiting_at) / SECOND * self.site.get("lines_per_s", 1000) * self.pace
        self.waiting, self.waiting_at = max(0.0, self.waiting - sent), self.now
        return self.waiting + lines <= part * self.site.get("backlog", 1000)

    def may_write(self, proxy, part):
        most = self.site.get("messages_most", 0)
        return not most or proxy.messages.sums(self.now)[0] + 1 <= part * most

    def update_proxies(self, tick):
        """Brings each proxy's own table up to the one shared vector; changes only, one message a proxy."""
        want, joined = self.lines(), self.joined_proxies()
        head = self.site.get("head", 0)
        totals = self.usage_totals() if self.binding else []
        work = []
        for proxy in joined:
            changed = [(server, 0) for server in proxy.lines if server not in want]
            urgent = bool(changed) or not proxy.bound
            stale = [s for s, w in want.items() if s not in proxy.lines
                     or abs(proxy.lines[s] / w - 1) > OFF_BY]
            if any(s in proxy.lines and self.warmth(s) < 1 and proxy.lines[s] > 1.5 * want[s] for s in stale):
                urgent = True
            if stale:
                changed += [(s, w) for s, w in want.items() if s not in proxy.lines
                            or abs(proxy.lines[s] / w - 1) > OFF_BY / 2]
            levels = self.level_changes(proxy, totals) if tick or urgent else []
            if changed or levels or not proxy.bound:
                work.append((not urgent, len(work), proxy, changed, levels))
        for calm, _, proxy, changed, levels in sorted(work, key=lambda item: item[:2]):
            if calm and not tick:
                continue
            cost = head + len(changed) + len(levels)
            if not proxy.bound:
                cost = head + 2 + len(want) + 2 * len(self.op_types)
            if not self.room(cost, ROOM if calm else 0.9) or not self.may_write(proxy, 0.6 if calm else 0.95):
                self.pressing = self.pressing or not calm
                continue
            self.waiting += cost
            proxy.messages.add(self.now, 1)
            for server, weight in changed:
                yield ("weigh", proxy.ident, server.ident, round(weight, 4))
                if weight:
                    proxy.lines[server] = weight
                else:
                    del proxy.lines[server]
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

    def level_changes(self, proxy, totals):
        """Levels that differ enough from those ordered, op types with equal ones in one line."""
        if not self.binding and all(level is None for level in proxy.levels):
            return []
        grouped = {}
        for place, (quota, tries) in enumerate(self.levels_for(proxy, totals)):
            ordered = proxy.levels[place]
            if ordered is None or ordered[1] != tries or abs(ordered[0] - quota) > OFF_BY * ordered[0]:
                grouped.setdefault((quota, tries), []).append(place)
        return [(sum(1 << place for place in places), quota, tries, places)
                for (quota, tries), places in grouped.items()]
