"""The decision module: weights of servers, proxies' subsets of servers, admission levels and retries.

Usage: `Controller(now, site, seed)`, then the inputs (`listed`, `probed`, `joined`, `heard`, ...), which only
update the module's state; after each batch of inputs the host calls `next_order(now)` until it returns None.
The contract and the orders are described in `foxstep/interface.py`, the plain state in `foxstep/fleet.py`,
and the reasons of the design in `docs/design.md`. `site` is a plain map of the settings known at the start.
Times are whole microseconds unless a name says otherwise.

Once a period the module evaluates the servers' health, adjusts the weights and updates the caps. Then it
brings the proxies' tables up to date as far as the channel to the proxies has room: changes that a rule of
the site requires (a server that drains, is gone or is cold, a proxy that joined) are sent first and without
waiting for the period to end.
"""

from heapq import heapify, heappop, heappush, nsmallest
from itertools import count
from math import ceil
from statistics import fmean, median_high, median_low
from zlib import crc32

from foxstep.fleet import OpType, Proxy, Server, SlidingWindow
from foxstep.list_subscription import ListSubscription

SECOND = 1_000_000  # microseconds
UNLIMITED_RATE = 1_000_000  # ops a second; no proxy reaches this level, so it admits everything

PERIOD_US = SECOND  # rounded to whole cycles of reports

# Capacity and caps.
HEADROOM_FRACTION = 0.05  # of the capacity, kept free by the caps
CAP_MARGIN = 0.2  # fraction by which an op type's cap may exceed its measured demand
SMOOTHING_FACTOR = 0.25  # weight of a period's value in an exponential moving average
KNEE_CAPACITY_RATIO = 1.1  # capacity over the acked rate at which latency begins to rise
BUSY_CAPACITY_RATIO = 0.9  # capacity over its estimate from busy cores, while servers are saturated
OVERLOAD_PERIODS = 3  # consecutive periods of overload after which the capacity is lowered
ERROR_INCREASE_RATIO = 2.0  # over NORMAL_ERROR_FRACTION, taken as a sign of overload
LATENCY_INCREASE_RATIO = 1.5  # over the baseline latency, taken as a sign of overload
CAPACITY_GROWTH = 1.05  # factor for a period without overload
MAX_CAPACITY_GROWTH = 1.25  # factor for a period without overload, while caps are active and cores are idle
ACTIVATION_FRACTION = 0.8  # of the capacity; caps are active while the demand is above it
MIN_CAP_FRACTION = 0.05  # of the capacity without headroom, divided by the number of op types
EARNINGS_EXPONENT = 3  # the weight of an op type's cap is its demand times its earnings to this power

# Updates of weights.
# The weights of the open servers have a mean of 1, whatever unit the list's weights have.
MIN_WEIGHT = 0.1  # of servers whose load is known
MAX_WEIGHT = 4.0
MIN_INITIAL_WEIGHT = 0.01  # lines of a cold server must not round to 0, which would remove them
WEIGHT_STEP_EXPONENT = 0.1  # a weight is multiplied by (mean load / load) to this power each period
UPDATE_THRESHOLD = 0.1  # relative difference from which a line or a level is sent

# Signs of overload, and the health of servers.
NORMAL_ERROR_FRACTION = 0.03  # of tries that abort without overload
BUSY_THRESHOLD = 0.75  # fraction of busy cores above which the servers may be the cause of overload
SATURATED_LATENCY_RATIO = 0.35  # of the mean target latency; above it, servers' concurrency limits are full
MAX_LOAD_DEVIATION = 2  # factor between a load report and the load shown by latency, beyond which it is cut
BAD_ABORTED_FRACTION = 0.5  # a server that aborts more of its tries is bad, unless the whole fleet does
MIN_JUDGED_TRIES = 4  # tries needed to judge a server
MAX_WITHDRAWN_FRACTION = 0.15  # of the servers, withdrawn on the evidence of tries alone

# The channel to the proxies, and the subset of servers in each proxy's table.
CHANNEL_SPEED_FRACTION = 0.5  # of the channel's stated speed, that is counted on
DEFERRABLE_BACKLOG_FRACTION = 0.4  # of the channel's backlog, for changes that can wait; urgent ones use 0.9
TABLES_BACKLOG_FRACTION = 0.12  # of the backlog, up to which the tables of all joined proxies may grow
SPREAD_FACTOR = 2  # one proxy brings a server less than 1 / SPREAD_FACTOR of the server's even load
LINES_PER_KEEPALIVE_OP = 0.7  # lines per op within the keepalive time; with more, idle connections close
CROSS_ZONE_FACTOR = 1.25  # the relative load of a server in another zone is taken as so much higher
TABLE_SHRINK_FACTOR = 0.7  # of proxies' numbers of lines, each period while tries fail and cores are idle
MIN_TABLE_FRACTION = 0.2  # of a proxy's usual number of lines
IMBALANCE_RATIO = 1.5  # a line is moved to a server whose relative load is lower by this factor

# Significance of measured values.
PRIOR_OPS = 2  # ops at its usual rate that are added to a proxy's measured ones, against random variation
ENOUGH_SAMPLES = 16  # ops or tries from which on a short interval is significant

# Servers that are still cold after a start.
COLD_SAFETY_FACTOR = 0.8  # of the work that a cold server is known to be able to do
MIN_COLD_FRACTION = 0.25  # of its usual work; a cold server that can do less gets none
COLD_STOP_ABORTED_FRACTION = 0.3  # of all tries; from here on cold servers get no work


class Controller:
    """Takes all decisions for one instance, as `foxstep.interface.DecisionModule` describes it.

    The same inputs and `seed` give the same orders: random delays are derived from the seed.
    """

    def __init__(self, now, site, seed):
        self.now = now
        self.site = site
        self.seed = seed
        self.counter = count()
        self.op_types = [OpType(index, fields) for index, fields in enumerate(site["op_types"])]
        self.mean_target_latency = fmean([o.target_latency for o in self.op_types] or [SECOND])
        self.op_types_by_name = {op_type.name: op_type for op_type in self.op_types}
        self.cycle = max(site.get("cycle", PERIOD_US), 1)
        self.period = max(1, round(PERIOD_US / self.cycle)) * self.cycle
        self.recent_buckets = max(2, -(-2 * SECOND // self.cycle))  # how many buckets count as recent
        self.servers = {}  # by the id that the host uses
        self.proxies = {}  # by the id that the host uses
        self.shared_table = {}  # Server -> weight, for the servers that may be picked
        self.urgent_proxies = {}  # whose changes cannot wait for the end of the period, as an ordered set
        self.order_generator = None  # of the orders that are being pulled
        self.has_urgent_changes = True
        self.table_fraction = 1.0  # of its usual number of lines that a proxy holds
        self.measure_kinds_at = now + 3 * self.period  # when weights of server kinds are measured
        self.timer_due = now  # when the period ends if no reports arrive
        self.period_started_at = now - self.period
        self.reports_arrived = False  # in this period
        self.bucket_shift = None  # microseconds that put the reports' arrival into the middle of a bucket
        self.list_subscription = ListSubscription(now, site, self.random_fraction)
        self.capacity = None  # ops a second that the servers can do for its proxies; None: not known
        self.usual_rate = 0.0  # ops a second that those proxies usually get, when capacity was last scaled
        self.warm_weight = 0.0  # sum of the open servers' listed weights times their warm fractions
        self.usual_warm_weight = 0.0  # its moving average
        self.capacity_per_warm_weight = None  # as busy cores show while there is no overload
        self.overload_periods = 0  # in a row; negative: periods to wait after the capacity was lowered
        self.baseline_latency = self.smoothed_latency = self.mean_target_latency / 3
        self.caps_active = False
        self.caps = [None] * len(self.op_types)  # admitted ops a second of each op type; None: all
        self.quota_totals = self.caps  # sums of the proxies' quotas with which the caps are admitted
        self.channel_lines = 0.0  # estimated number of lines that wait in the channel
        self.channel_updated_at = now  # when this number was estimated
        self.channel_speed_factor = CHANNEL_SPEED_FRACTION  # of its stated speed, as last estimated
        self.channel_lines_at_mark = 0.0  # lines that waited when the last mark was ordered

    def random_fraction(self):
        """A pseudo-random number from 0 to below 1, derived from the seed and a counter."""
        return crc32(b"%d:%d" % (self.seed, next(self.counter))) / 2**32

    # -- inputs: they only update the state ------------------------------------------------------------------

    def listed(self, now, how, lines):
        if how == "failed":
            self.list_subscription.failed(now)
            return
        if how == "lost":
            self.list_subscription.lost(now)
            return
        if how != "remembered":
            self.list_subscription.received()
        named = {line[0] for line in lines}
        for ident, zone, kind, cell, state, weight, started in lines:
            server = self.servers.get(ident)
            if server is None:
                server = self.servers[ident] = Server(ident)
                server.tries = SlidingWindow(self.cycle, 8, 5)
                server.loads = SlidingWindow(self.cycle, 8, 3)
            if state == "open" and (server.state != "open" or started > server.started):
                self.reset_server(server, now, started)
            server.zone = zone
            server.kind = kind
            server.cell = cell
            server.gone_at = (server.gone_at or now) if state == "gone" else None
            server.state = state
            server.listed_weight = max(weight, 0.01)
        if how != "changes":
            for ident, server in self.servers.items():
                if ident not in named:
                    server.state, server.gone_at = "gone", server.gone_at or now
        self.has_urgent_changes = True

    def reset_server(self, server, now, started):
        """Resets the health of a server whose process is new: that of the previous process says nothing."""
        self.urgent_proxies.update(server.holders)
        server.started = started
        server.health_factor = 1.0
        server.health_changed_at = now
        server.withdrawals = server.probe_successes = server.probe_failures = server.probe_sent_at = 0

    def woken(self, now, mark): ...  # nothing to update: the host asks for orders after this input

    def bucket_time(self, now):
        """Time to be used with sliding windows: it puts each round of reports into a bucket of its own, since
        the reports of a round arrive at about the same time."""
        return now + (self.bucket_shift or 0)

    def record_arrival(self, now):
        """Notes that reports have arrived; returns the time of their bucket."""
        self.reports_arrived = True
        self.bucket_shift = (
            self.cycle // 2 - now % self.cycle if self.bucket_shift is None else self.bucket_shift
        )
        return self.bucket_time(now)

    def probed(self, now, ident, outcome, took, load):
        server = self.servers.get(ident)
        # Without a probe under way, this is an answer of a previous process of the server.
        if server is None or not server.probe_sent_at:
            return
        server.probe_sent_at = 0
        success = outcome in ("acked", "rejected")
        server.probe_successes = server.probe_successes + 1 if success else 0
        server.probe_failures = 0 if success else server.probe_failures + 1
        self.record_load(server, now, load)

    def record_load(self, server, now, load):
        if load:
            in_progress = load.get("waiting", load.get("holding", 0.0))
            server.loads.add(self.bucket_time(now), 1, load.get("busy", 0.0), in_progress)

    def told(self, now, peer, payload): ...  # this module sends and reads no messages between controllers

    def learnt(self, now, ident, weight, withdrawn):
        """Takes a weight and a withdrawal from another controller, or from this one before a restart. They
        are used only while this controller has no tries of its own at the server.

        Guards against a successor that has to learn the weights and the failing servers again. Drawback: a
        wrong value stays until own tries or probes correct it; only a small part of the servers is withdrawn
        this way.
        """
        server = self.servers.get(ident)
        if server is None or server.state != "open" or self.has_enough_tries(now, server):
            return
        server.weight = min(max(weight, MIN_WEIGHT), MAX_WEIGHT)
        self.measure_kinds_at = float("inf")  # learnt weights replace the measurement of server kinds
        withdrawn_count = sum(s.health_factor == 0 for s in self.open_servers())
        open_count = len(self.open_servers())
        if (
            withdrawn
            and server.health_factor == 1
            and withdrawn_count < MAX_WITHDRAWN_FRACTION * (open_count - 1)
        ):
            server.health_factor = 0.0
            server.health_changed_at = now
            server.withdrawals = server.withdrawals + 1
            self.urgent_proxies.update(server.holders)
        self.has_urgent_changes = True

    def has_enough_tries(self, now, server):
        return server.tries.sums(self.bucket_time(now))[0] >= ENOUGH_SAMPLES

    def measured_weights(self, now):
        """The usual weight of each open server that this controller has enough tries of its own for."""
        return {s.ident: s.weight for s in self.open_servers() if s.weight and self.has_enough_tries(now, s)}

    def inherited(self, now, capacity_change):
        """Adds capacity, in ops a second, of proxies that moved here from another controller; below 0: of
        those that moved from here to another one."""
        self.capacity = max((self.capacity or 0.0) + capacity_change, 0.0) or None
        self.usual_rate = 0.0

    def joined(self, now, ident, zone, rate, fresh):
        proxy = self.proxies.get(ident)
        if proxy is None:
            proxy = self.proxies[ident] = Proxy(
                ident, [SlidingWindow(self.cycle, 8, 3) for _ in self.op_types]
            )
            proxy.levels = [None] * len(self.op_types)
            proxy.op_rates = [0.0] * len(self.op_types)
        proxy.messages = SlidingWindow(max(self.site.get("messages_window", 0) // 10, SECOND), 11, 1)
        proxy.zone = zone
        proxy.stated_rate = rate
        proxy.joined = True
        proxy.bound = False
        proxy.total_rate = rate
        proxy.joined_at = now
        self.urgent_proxies[proxy] = None
        self.has_urgent_changes = True

    def left(self, now, ident):
        if ident in self.proxies:
            self.proxies[ident].joined = False

    def heard(self, now, ident, zone, tries, aborted, latency, window, load):
        server = self.servers.get(ident)
        if server:
            acked = tries - aborted
            timed = acked if latency > 0 else 0
            server.tries.add(self.record_arrival(now), tries, aborted, acked, timed, latency * timed)
            self.record_load(server, now, load)

    def used(self, now, ident, op_type, ops, unanswered, window):
        proxy = self.proxies.get(ident)
        if proxy:
            proxy.usage[self.op_types_by_name[op_type].index].add(
                self.record_arrival(now), ops, unanswered, window
            )

    def applied(self, now, ident, number, took):
        """Estimates the channel's speed from the time until a mark is answered. Guards against a channel that
        is slower than stated. A slow network path looks the same, which only delays changes."""
        excess = (took - self.site.get("transit_most", 0)) / SECOND
        sent = self.channel_lines_at_mark / self.site.get("lines_per_s", 1000)
        self.channel_speed_factor = (
            min(CHANNEL_SPEED_FRACTION, max(sent / excess, CHANNEL_SPEED_FRACTION / 10))
            if excess > 0
            else CHANNEL_SPEED_FRACTION
        )

    # -- decisions -------------------------------------------------------------------------------------------

    def next_order(self, now):
        """The next order, or None once there is nothing more to order now."""
        if self.order_generator is None:
            self.now = now
            self.order_generator = self.decide()
        order = next(self.order_generator, None)
        self.order_generator = self.order_generator if order else None
        return order

    def decide(self):
        """Yields all orders that are due at the time `now`."""
        yield from self.list_subscription.orders(self.now)
        # A period ends when reports arrive, so that they are acted on at once; without reports, by a timer.
        reports_due = self.period_started_at + self.period - self.cycle // 2
        period_ended = self.now >= (reports_due if self.reports_arrived else self.timer_due)
        if period_ended:
            self.timer_due = self.now + self.period * 3 // 2
            self.period_started_at = self.now
            yield ("wake", self.timer_due, "period")
            self.summarize_reports()
            self.evaluate_health()
            if self.reports_arrived:
                self.reports_arrived = False
                self.adjust_weights()
                yield from self.update_caps()
            yield from self.send_probes()
            yield from self.remove_gone_servers()
        if (period_ended or self.has_urgent_changes) and not self.site.get("slices"):  # not supported yet
            self.has_urgent_changes = False
            self.shared_table = self.compute_shared_table()
            self.active_proxies = self.joined_proxies()
            self.active_rate = sum(p.total_rate for p in self.active_proxies)
            self.rank_servers()
            yield from self.update_proxies(period_ended)

    def summarize_reports(self):
        """Sums up the reports, once a period: those of recent time, and of a longer time where ops are few.

        `recent_seconds` is the duration that the recent reports of usage cover by their own windows. Guards
        against reports that are late, sparse or merged into a later one, and against windows that are only
        partly covered after a restart or after many proxies return at once."""
        self.recent_time = self.bucket_time(self.now)
        window_duration = 8 * self.cycle  # 8 buckets of a cycle each
        # The capacity is that for the joined proxies: it grows and shrinks with their usual rate.
        joined = self.joined_proxies()
        usual_rate = sum(p.stated_rate for p in joined)
        if self.capacity and self.usual_rate:
            self.capacity = self.capacity * usual_rate / self.usual_rate or None
        self.usual_rate = usual_rate
        # It also follows the servers: when the list removes some or some start cold, it is lowered at once.
        warm_weight = sum(s.listed_weight * self.warm_fraction(s) for s in self.open_servers())
        if self.capacity and self.warm_weight and warm_weight:
            self.capacity *= warm_weight / self.warm_weight
        smoothing = (
            min(self.period / max(self.site.get("ramp", 0), 1), 1.0) if self.usual_warm_weight else 1.0
        )
        self.warm_weight = warm_weight
        self.usual_warm_weight = self.usual_warm_weight + (warm_weight - self.usual_warm_weight) * smoothing
        rate_sum = 0.0
        covered = 0.0
        recent_ops = [0.0] * len(self.op_types)
        for server in self.open_servers():
            server.recent_tries = server.tries.sums(self.recent_time, self.recent_buckets)
            server.recent_loads = server.loads.sums(self.recent_time, self.recent_buckets)
            server.assigned_rate = 0.0
        for proxy in joined:
            connected = max(min(self.now - proxy.joined_at, window_duration), self.cycle)
            for index, usage in enumerate(proxy.usage):
                ops, _, window = usage.sums(self.recent_time, self.recent_buckets)
                long_rate = usage.sums(self.recent_time)[0] / connected
                recent_ops[index] = recent_ops[index] + ops
                rate_sum = rate_sum + long_rate
                covered = covered + long_rate * window
                proxy.op_rates[index] = (
                    long_rate if ops < ENOUGH_SAMPLES else ops / max(window, self.cycle)
                ) * SECOND
            # The stated rate stands in for the part of the window before the proxy joined.
            proxy.total_rate = max(sum(proxy.op_rates), proxy.stated_rate * (1 - connected / window_duration))
            ops = proxy.total_rate / max(sum(proxy.lines.values()), 0.01)
            for server, weight in proxy.lines.items():
                server.assigned_rate += ops * weight
        self.recent_seconds = (
            max(covered / rate_sum if rate_sum else self.recent_buckets * self.cycle, self.cycle / 4) / SECOND
        )
        self.demand = [ops / self.recent_seconds for ops in recent_ops]
        # The median over the servers is not moved by a few failing ones.
        healthy = [s for s in self.open_servers() if s.health_factor > 0]
        judged = [s.recent_tries for s in healthy if s.recent_tries[0] >= MIN_JUDGED_TRIES]
        self.error_fraction = median_high([aborted / tries for tries, aborted, *_ in judged] or [0.0])
        # The mean over all tries of the middle half of the servers. With only a few tries for each server,
        # the mean latency of a single one is too noisy, and so is the median of the servers that have enough.
        latencies = sorted(
            (s.recent_tries[4] / s.recent_tries[3], *s.recent_tries[3:]) for s in healthy if s.recent_tries[3]
        )
        middle = latencies[len(latencies) // 4 : len(latencies) - len(latencies) // 4]
        self.latency = sum(total for *_, total in middle) / max(sum(timed for _, timed, _ in middle), 1)
        # The average begins with its initial value, since only fast tries are answered soon after a start.
        if self.latency:
            self.smoothed_latency += (self.latency - self.smoothed_latency) * SMOOTHING_FACTOR
        tries, aborted, acked = (sum(s.recent_tries[k] for s in self.open_servers()) for k in range(3))
        self.tried_rate = tries / self.recent_seconds
        self.acked = acked / self.recent_seconds  # tries a second
        self.fleet_aborted_fraction = aborted / max(tries, 1)
        for server in self.open_servers():
            *_, timed, latency = server.recent_tries
            server.latency_ratio = (
                latency / timed / self.latency if timed >= MIN_JUDGED_TRIES and self.latency else 1.0
            )
        reporting = healthy if "busy" in self.site.get("reports", []) else []
        busy = {s: s.recent_loads[1] / s.recent_loads[0] for s in reporting if s.recent_loads[0]}
        mean = fmean(busy.values() or [0.0])
        self.busy_fractions = [
            fraction
            for s, fraction in busy.items()
            if fraction * MAX_LOAD_DEVIATION >= mean * s.latency_ratio
        ]

    def open_servers(self):
        return [s for s in self.servers.values() if s.state == "open"]

    def joined_proxies(self):
        return [p for p in self.proxies.values() if p.joined]

    def warm_fraction(self, server):
        """The fraction of its usual work that a server can safely do after its start: 1 once it is warm. The
        ramp from the cold fraction to 1 is taken to be linear, since no server's is slower."""
        ramp = self.site.get("ramp", 0)
        cold = self.site.get("cold_share", 1.0)
        age = self.now - server.started
        if not server.started or age >= ramp:
            return 1.0
        return (cold + (1 - cold) * max(age, 0) / ramp) * COLD_SAFETY_FACTOR

    def remove_gone_servers(self):
        """Forgets servers that have been gone for long and that no joined proxy holds, and removes their
        lines from the tables of proxies that left. Guards against a list whose names change all the time.
        Drawback: the weight of a server that returns after all has to be learnt again."""
        gone_before = self.now - self.site.get("ramp", 0) - 8 * self.cycle
        for ident, server in list(self.servers.items()):
            long_gone = server.gone_at is not None and server.gone_at < gone_before
            if long_gone and not any(p.joined for p in server.holders):
                for proxy in server.holders:
                    del proxy.lines[server]
                    yield ("weigh", proxy.ident, ident, 0)
                del self.servers[ident]

    # Health

    def send_probes(self):
        """Probes servers for whether they respond, and for load reports where answers to tries carry none."""
        if not self.site.get("probes"):
            return
        for server in self.open_servers():
            if not server.probe_sent_at or self.now - server.probe_sent_at > 5 * self.period:
                server.probe_sent_at = self.now
                yield ("probe", server.ident)

    def evaluate_health(self):
        """Withdraws a server that fails where the fleet does not, and restores it in steps, as a trial.

        Guards against a server that is down, does not respond or fails fast, and against a zone that is not
        reachable. If all servers are bad at once, none is withdrawn. Drawback: a server on which a single op
        type fails is lost to the other op types, too."""
        candidates = self.open_servers()
        for server in candidates:
            since = self.bucket_time(server.health_changed_at)
            tries, aborted, *_ = server.tries.sums(self.recent_time, self.recent_buckets, since)
            if 0 < tries < MIN_JUDGED_TRIES:
                tries, aborted, *_ = server.tries.sums(self.recent_time, 0, since)
            server.aborted_fraction = aborted / tries if tries >= MIN_JUDGED_TRIES else None
        fractions = [
            s.aborted_fraction for s in candidates if s.aborted_fraction is not None and s.health_factor > 0
        ]
        usual = median_low(fractions or [0.0])
        withdrawn_count = sum(1 for s in candidates if s.health_factor == 0)
        # If most of the servers whose tries are acked do not answer probes, the fault is on this controller's
        # own network path, and probes are not taken as evidence.
        unanswered = [server.probe_failures >= 2 for server in candidates if server.recent_tries[2]]
        probes_credible = 2 * sum(unanswered) <= len(unanswered)
        for server in candidates:
            unreachable = probes_credible and server.probe_failures >= 2
            fraction = server.aborted_fraction
            # A server with busy cores is overloaded rather than bad.
            working = server.recent_loads[1] > BUSY_THRESHOLD * server.recent_loads[0] > 0 and not unreachable
            failing = (
                fraction is not None
                and fraction > BAD_ABORTED_FRACTION + (0 if unreachable else BAD_ABORTED_FRACTION * usual)
                and not working
            )
            if server.health_factor > 0:
                may_withdraw = withdrawn_count < MAX_WITHDRAWN_FRACTION * (len(candidates) - 1)
                if (unreachable and (failing or fraction is None)) or (failing and may_withdraw):
                    server.health_factor = 0.0
                    server.health_changed_at = self.now
                    server.withdrawals += 1
                    withdrawn_count += 1
                elif server.health_factor < 1 and self.now - server.health_changed_at >= 2 * self.period:
                    server.health_factor = min(1.0, server.health_factor * 2)
                    server.health_changed_at = self.now
            elif (server.probe_successes > 1 or not probes_credible) and (
                self.now - server.health_changed_at >= self.period * 2**server.withdrawals
            ):
                # The trial starts like a cold start, since the server may have restarted without the list
                # showing it yet. Each withdrawal doubles the wait, against flapping and against servers that
                # fail fast but answer probes.
                server.health_factor = self.site.get("cold_share", 0.2)
                server.health_changed_at = self.now

    # Weights: the same for all proxies

    def adjust_weights(self):
        """Takes one small step per period, weight x (mean load / load)^WEIGHT_STEP_EXPONENT, for servers that
        are warm and healthy.

        A server's load is its fraction of busy cores plus the wait of the ops that it holds, as a fraction of
        the mean target latency."""
        healthy = [s for s in self.shared_table if s.health_factor == 1 and self.warm_fraction(s) == 1]
        proxies_fraction = len(self.joined_proxies()) / max(self.site.get("proxies", 1), 1)
        # Acked tries a second of all proxies, those of other controllers included.
        acked = sum(s.recent_tries[2] for s in healthy) / self.recent_seconds / max(proxies_fraction, 0.05)
        rate_per_weight = acked / max(sum(s.weight for s in healthy), 0.1)
        loads = []
        for server in healthy:
            reports, busy, in_progress = server.recent_loads
            if reports:
                wait = in_progress / reports / max(rate_per_weight * server.weight, 0.5) * SECOND
                loads.append((server, max(busy / reports + wait / self.mean_target_latency, 0.05)))
        are_reported = bool(loads)
        if not are_reported and self.now >= self.measure_kinds_at:
            # Without load reports, only latency shows the load. Drawback: a slow server gets less work than
            # it could do.
            loads = [(s, s.latency_ratio) for s in healthy if s.recent_tries[3] >= MIN_JUDGED_TRIES]
        if len(loads) < 2:
            return
        if are_reported and sum(self.busy_fractions) and self.now >= self.measure_kinds_at:
            # The initial weight of each server kind is what one of its busy cores does: with steps alone, the
            # weights would take most of a minute to get there.
            self.measure_kinds_at = float("inf")
            acked_per_core = self.acked * self.recent_seconds / sum(self.busy_fractions)
            for kind in dict.fromkeys(s.kind for s, _ in loads):
                same_kind = [s for s, _ in loads if s.kind == kind]
                busy = sum(s.recent_loads[1] / s.recent_loads[0] for s in same_kind)
                relative_speed = (sum(s.recent_tries[2] for s in same_kind) + 1) / (busy * acked_per_core + 1)
                # Those of the kind that are cold, withdrawn or without a report have the same speed.
                for server in self.weighted_servers():
                    if server.kind == kind:
                        server.weight *= relative_speed
        # Loads are cut to a range around the one that latency shows. Guards against load reports that are too
        # high, too low or stuck. Drawback: a server that is far slower or faster than others of its kind is
        # adjusted by its latency rather than by its cores.
        lowest = median_high(load for _, load in loads) / MAX_LOAD_DEVIATION
        loads = [
            (
                s,
                min(
                    max(load, lowest * s.latency_ratio),
                    lowest * s.latency_ratio * MAX_LOAD_DEVIATION**2,
                ),
            )
            for s, load in loads
        ]
        mean = fmean(load for _, load in loads)
        sum_before = sum(s.weight for s, _ in loads)
        for server, load in loads:
            server.weight *= min(max((mean / load) ** WEIGHT_STEP_EXPONENT, 0.8), 1.25)
        # The steps move weight between these servers, and none from or to the others.
        scale = sum_before / sum(s.weight for s, _ in loads)
        for server, _ in loads:
            server.weight *= scale
        self.normalize_weights()
        for server, _ in loads:
            server.weight = min(max(server.weight, MIN_WEIGHT), MAX_WEIGHT)

    def weighted_servers(self):
        """All servers that have a weight, those that drain or are gone included."""
        return [s for s in self.servers.values() if s.weight]

    def normalize_weights(self):
        """Scales all weights so that those of the open servers have a mean of 1.

        Servers that are cold, withdrawn or without a load report are scaled, too: if their weights kept the
        earlier unit, they would get many times their part, or next to nothing."""
        weights = [s.weight for s in self.open_servers() if s.weight]
        scale = len(weights) / sum(weights)
        for server in self.weighted_servers():
            server.weight *= scale

    def initial_weight(self, server):
        """The weight of an open server that has none yet: its listed weight in the unit of the other weights,
        as the servers of its kind show it, or all servers if there is none of its kind."""
        weighted = self.weighted_servers()
        same_kind = [s for s in weighted if s.kind == server.kind]
        ratios = [s.weight / s.listed_weight for s in same_kind or weighted]
        unit = fmean(ratios) if ratios else 1 / fmean(s.listed_weight for s in self.open_servers())
        return max(unit * server.listed_weight, MIN_INITIAL_WEIGHT)

    # Capacity and caps

    def update_caps(self):
        """Lowers the capacity on overload and raises it otherwise; then sets the caps by weighted water
        filling while the demand is near the capacity."""
        if self.latency and self.error_fraction <= NORMAL_ERROR_FRACTION:
            self.baseline_latency = min(self.baseline_latency, self.smoothed_latency)
        saturated = self.latency > SATURATED_LATENCY_RATIO * self.mean_target_latency
        slow = self.latency > LATENCY_INCREASE_RATIO * self.baseline_latency
        # The acked rate at which all cores would be busy, by the load reports.
        full_rate = self.acked / max(fmean(self.busy_fractions), 0.2) if self.busy_fractions else None
        # Latency or errors while cores are idle (or, without load reports, while the rate of tries is far
        # below the capacity) have another cause than the servers' capacity.
        near_capacity = (
            median_high(self.busy_fractions) > BUSY_THRESHOLD
            if self.busy_fractions
            else self.tried_rate > ACTIVATION_FRACTION * (self.capacity or 0)
        )
        failing = self.error_fraction > ERROR_INCREASE_RATIO * NORMAL_ERROR_FRACTION
        # The first few answers after a start are not significant for the capacity.
        enough = self.acked * self.recent_seconds >= 2 * ENOUGH_SAMPLES
        # Guards against connections that are refused or expensive: where tries fail while cores are idle,
        # fewer lines for each proxy need fewer connections. Drawback: where tries fail for another reason, a
        # proxy's ops are spread over fewer servers.
        factor = (
            TABLE_SHRINK_FACTOR if failing and self.busy_fractions and not near_capacity else CAPACITY_GROWTH
        )
        self.table_fraction = min(max(self.table_fraction * factor, MIN_TABLE_FRACTION), 1.0)
        if (slow or failing) and near_capacity and enough:
            self.overload_periods += 1 if self.overload_periods < 0 or not saturated else OVERLOAD_PERIODS
            if self.overload_periods >= OVERLOAD_PERIODS:
                # An increased latency shows the knee of the latency curve, at about 1 / KNEE_CAPACITY_RATIO
                # of the capacity; saturated servers show the capacity itself.
                knee = KNEE_CAPACITY_RATIO * self.acked
                found = (
                    max(self.acked, BUSY_CAPACITY_RATIO * (full_rate or 0))
                    if saturated
                    else min(knee, full_rate or knee)
                )
                if found < (self.capacity or found + 1):
                    self.capacity = found
                    # The ops that were admitted before have to be completed before latency shows anything
                    # about the new capacity.
                    lag = self.site.get("transit_most", 0) + max(o.target_latency for o in self.op_types)
                    self.overload_periods = -round(lag / self.period)
        else:
            self.overload_periods = max(self.overload_periods + 1, 0) if self.overload_periods < 0 else 0
            no_overload = not saturated and not (slow and near_capacity)
            if (
                self.capacity
                and no_overload
                and self.capacity < KNEE_CAPACITY_RATIO * (full_rate or self.capacity)
            ):
                # Where busy cores are reported, they show how far the capacity may grow, and how fast after a
                # collapse during which it was set too low. Drawback: cores that are busy with other work than
                # ops are counted as capacity.
                fast = (
                    min(MAX_CAPACITY_GROWTH * self.capacity, full_rate)
                    if self.caps_active and full_rate
                    else 0.0
                )
                self.capacity = max(CAPACITY_GROWTH * self.capacity, fast)
        self.capacity = self.capacity and max(self.capacity, self.acked)  # not less than what is done now
        # Guards against a fleet that the list has just made much smaller: latency and errors would show it
        # only once the servers are saturated and cold ones get no work. Drawback: cores that are busy with
        # other work than ops are counted as capacity.
        steady = abs(self.warm_weight - self.usual_warm_weight) <= UPDATE_THRESHOLD * self.usual_warm_weight
        if full_rate and steady and enough and not (slow or near_capacity or failing):
            found = full_rate / max(self.warm_weight, 0.1)
            self.capacity_per_warm_weight = (
                found
                if self.capacity_per_warm_weight is None
                else (
                    self.capacity_per_warm_weight + (found - self.capacity_per_warm_weight) * SMOOTHING_FACTOR
                )
            )
        shrunk = (
            self.capacity_per_warm_weight and self.warm_weight < ACTIVATION_FRACTION * self.usual_warm_weight
        )
        remaining = shrunk and BUSY_CAPACITY_RATIO * self.capacity_per_warm_weight * self.warm_weight
        limit = min(filter(None, (self.capacity, remaining)), default=None)
        self.caps_active = bool(limit) and sum(self.demand) > ACTIVATION_FRACTION * limit
        self.caps = self.fill_caps(self.demand, limit) if self.caps_active else [None] * len(self.demand)
        proxies = len(self.joined_proxies())
        self.quota_totals = [
            cap and cap * self.quota_ratio(cap, demand, proxies)
            for cap, demand in zip(self.caps, self.demand, strict=True)
        ]
        yield (
            "note",
            f"C {self.capacity or 0:.0f} heard {[round(demand) for demand in self.demand]} "
            f"tried {self.tried_rate:.0f} acked {self.acked:.0f} "
            f"lat {self.latency / 1000:.0f} calm {self.baseline_latency / 1000:.0f} "
            f"err {self.error_fraction:.2f} caps {[cap and round(cap) for cap in self.caps]}",
        )

    def fill_caps(self, demand, capacity):
        """The cap of each op type, None where it needs none, by weighted water filling: the part of the
        budget that one op type can't use is passed to the others by weight, repeatedly."""
        budget = (1 - HEADROOM_FRACTION) * capacity
        weights = [
            max(d, 0.1) * o.earnings**EARNINGS_EXPONENT for o, d in zip(self.op_types, demand, strict=True)
        ]
        min_cap = MIN_CAP_FRACTION * budget / len(demand)
        unfilled = list(range(len(demand)))
        while unfilled:
            water_level = budget / sum(weights[k] for k in unfilled)
            filled = [k for k in unfilled if demand[k] * (1 + CAP_MARGIN) <= water_level * weights[k]]
            if not filled:
                break
            budget = max(budget - sum(demand[k] for k in filled) * (1 + CAP_MARGIN), 0.0)
            unfilled = [k for k in unfilled if k not in filled]
        return [max(water_level * weights[k], min_cap) if k in unfilled else None for k in range(len(demand))]

    def quota_ratio(self, cap, demand, proxies):
        """The ratio of an op type's quotas to its cap, so that the quotas admit as many ops as the cap says.

        A proxy enforces its quota by a token bucket that holds what is renewed in a cycle of reports, at
        least one op. As ops arrive at random, some find the bucket empty and are rejected even where the
        quota equals the arrival rate: a proxy with few ops would reject half of them. The ratio is found by
        bisection. Drawback: where proxies have larger buckets, more than the cap is admitted."""
        admitted = min(cap / max(demand, 0.1), 0.95)  # wanted fraction of the ops
        ops = demand / max(proxies, 1)
        low = 0.0  # range of the arrival rate over the rate of renewal
        high = 64.0
        for _ in range(16):
            load = (low + high) / 2
            bucket_size = min(max(1.0, ops / load * self.cycle / SECOND), 100.0)
            # Fraction of random arrivals that a queue of this size accepts.
            accepted = (
                (1 - load**bucket_size) / (1 - load ** (bucket_size + 1))
                if load != 1
                else bucket_size / (bucket_size + 1)
            )
            low, high = (load, high) if accepted > admitted else (low, load)
        return 1 / (admitted * high)

    # Tables and the channel

    def compute_shared_table(self):
        """The weight of every server that may be picked.

        A cold server gets what it can safely do: nothing until it can take a first burst of ops, and less or
        nothing while tries fail across the fleet, since proxies then eject other lines and all ops go to the
        remaining ones. If no server is warm, none is withdrawn: the whole load of a proxy would overload a
        cold one. Drawback: after many servers crash, the others carry the load a few seconds longer."""
        candidates = self.open_servers()
        table = {}
        for server in candidates:
            if server.weight is None:
                server.weight = self.initial_weight(server)
            warm_fraction = self.warm_fraction(server)
            fraction = (
                warm_fraction
                if warm_fraction == 1
                else warm_fraction * (1 - self.fleet_aborted_fraction / COLD_STOP_ABORTED_FRACTION)
            )
            if fraction >= MIN_COLD_FRACTION and server.health_factor:
                table[server] = server.weight * fraction * server.health_factor
        any_warm = any(self.warm_fraction(s) == 1 for s in table)
        return table if any_warm else {s: s.weight * self.warm_fraction(s) for s in candidates}

    def server_weights(self):
        """For each open server: (weight in the shared table, usual weight, fraction of it that it can safely
        do). Weight advice is computed from this."""
        open_servers = self.open_servers()
        return {
            s.ident: (
                self.shared_table.get(s, 0.0),
                s.weight or self.initial_weight(s),
                self.warm_fraction(s),
            )
            for s in open_servers
        }

    def channel_has_room(self, proxy, lines, can_wait):
        """Whether the limits on waiting lines and on messages to the proxy allow so many more lines, by the
        estimated speed of the channel."""
        sent = (
            (self.now - self.channel_updated_at)
            / SECOND
            * self.site.get("lines_per_s", 1000)
            * self.channel_speed_factor
        )
        self.channel_lines = max(0.0, self.channel_lines - sent)
        self.channel_updated_at = self.now
        max_messages = self.site.get("messages_most", 0)
        return self.channel_lines + lines <= (
            DEFERRABLE_BACKLOG_FRACTION if can_wait else 0.9
        ) * self.site.get("backlog", 1000) and (
            not max_messages
            or proxy.messages.sums(self.now)[0] + 1 <= (0.6 if can_wait else 0.95) * max_messages
        )

    def table_size(self, proxy):
        """How many lines of the shared table a proxy holds: all on a small fleet.

        On a large fleet it is at least the site's number, and by the proxy's fraction of all ops so many that
        no single server gets a whole burst of its ops; more as far as the channel allows, but none that its
        ops are too few to keep connected. Drawback: a proxy whose rate rises suddenly has to wait for
        lines."""
        proxy_fraction = proxy.total_rate / max(self.active_rate, 0.1)
        head = self.site.get("head", 0)
        min_lines = max(self.site.get("standing", 6), SPREAD_FACTOR * proxy_fraction * len(self.shared_table))
        spare = (
            TABLES_BACKLOG_FRACTION * self.site.get("backlog", 1000) / max(len(self.active_proxies), 1)
            - head
            - min_lines
        )
        connected = (
            LINES_PER_KEEPALIVE_OP * proxy.total_rate * self.site.get("keepalive", 15 * SECOND) / SECOND
        )
        return min(
            len(self.shared_table),
            max(ceil(self.table_fraction * max(min(connected, min_lines + spare), min_lines)), 2),
        )

    def relative_load(self, server):
        """Ops that the tables send to a server, relative to its weight."""
        return (server.assigned_rate + 0.01) / self.shared_table[server]

    def rank_servers(self):
        """Makes a heap of each zone's servers, the lowest relative load first, so that the servers for a
        proxy's table are found without a look at all of them. An outdated entry is corrected when it is
        popped."""
        self.heaps = {}
        self.tie_breakers = count()  # a number for each entry, since servers can't be compared
        for server in self.shared_table:
            self.heaps.setdefault(server.zone, []).append(
                (self.relative_load(server), next(self.tie_breakers), server)
            )
        for heap in self.heaps.values():
            heapify(heap)

    def least_loaded(self, proxy, number):
        """Up to `number` servers that a proxy holds no line of, the lowest relative load first; that of
        servers in other zones is counted as higher."""
        found = []
        for zone, heap in self.heaps.items():
            seen = {}
            needed = number
            while heap and needed > 0:
                load, tie_breaker, server = heappop(heap)
                if load != self.relative_load(server):
                    heappush(heap, (self.relative_load(server), tie_breaker, server))
                elif server not in seen:
                    seen[server] = load, tie_breaker, server
                    if server not in proxy.lines:
                        needed -= 1
                        found.append(
                            (load * (1 if zone == proxy.zone else CROSS_ZONE_FACTOR), tie_breaker, server)
                        )
            for entry in seen.values():
                heappush(heap, entry)
        return [server for *_, server in nsmallest(number, found)]

    def line_changes(self, proxy, period_ended):
        """Server -> new weight (0: remove the line) that brings a proxy's table up to date with its part of
        the shared table. Servers with the lowest relative load are chosen, and those of its own zone
        preferred."""

        def load_for_proxy(server):
            return self.relative_load(server) * (1 if server.zone == proxy.zone else CROSS_ZONE_FACTOR)

        weights = self.shared_table
        size = self.table_size(proxy)
        changed = {s: 0 for s in proxy.lines if s not in weights}
        held = [s for s in proxy.lines if s in weights]
        outdated = [s for s in held if abs(proxy.lines[s] / weights[s] - 1) > UPDATE_THRESHOLD]
        if outdated and (
            period_ended
            or any(proxy.lines[s] > 1.5 * weights[s] and self.warm_fraction(s) < 1 for s in outdated)
        ):
            changed.update(
                (s, weights[s]) for s in held if abs(proxy.lines[s] / weights[s] - 1) > UPDATE_THRESHOLD / 2
            )
        may_add = len(held) < size / IMBALANCE_RATIO or changed or not proxy.bound
        added = self.least_loaded(proxy, size - len(held)) if may_add else []
        if period_ended and len(held) > size * IMBALANCE_RATIO:
            changed.update((s, 0) for s in sorted(held, key=load_for_proxy)[size:])
        elif period_ended and held and not added and (others := self.least_loaded(proxy, 1)):
            most_loaded = max(held, key=load_for_proxy)
            if load_for_proxy(most_loaded) > IMBALANCE_RATIO * load_for_proxy(others[0]):
                changed[most_loaded] = 0
                added = others
        changed.update((s, weights[s]) for s in added)
        ops = proxy.total_rate / max(sum(proxy.lines.values()) + sum(weights[s] for s in added), 0.01)
        for server, weight in changed.items():
            server.assigned_rate += ops * (weight - proxy.lines.get(server, 0.0))
            if weight < proxy.lines.get(server, 0.0) and server in weights:
                # Its load is now lower than that of its entry in the heap.
                heappush(
                    self.heaps[server.zone], (self.relative_load(server), next(self.tie_breakers), server)
                )
        return changed

    def update_proxies(self, period_ended):
        """Brings the proxies' tables up to the shared one, by changes only and with one message for a proxy.

        Changes that a rule requires and joining proxies are sent at once. The rest is sent once a period as
        far as the channel has room, the changes that move most ops first; their priority rises with each
        period for which they were deferred."""
        head = self.site.get("head", 0)
        work = []
        for server in self.servers.values():
            if server not in self.shared_table:
                self.urgent_proxies.update(server.holders)
        for proxy in self.active_proxies if period_ended else [p for p in self.urgent_proxies if p.joined]:
            changed = self.line_changes(proxy, period_ended)
            levels = self.level_changes(proxy)
            can_wait = proxy not in self.urgent_proxies
            if changed or levels or not proxy.bound:
                moved = sum(abs(weight - proxy.lines.get(s, 0)) for s, weight in changed.items())
                moved = moved / max(sum(proxy.lines.values()), 0.01) + len(levels)
                priority = proxy.total_rate * moved * (1 + proxy.periods_deferred)
                work.append((can_wait, -priority, len(work), proxy, changed, levels))
            else:
                self.urgent_proxies.pop(proxy, None)
        for can_wait, _, _, proxy, changed, levels in sorted(work, key=lambda item: item[:3]):
            cost = head + len(changed) + len(levels)
            if not can_wait and proxy.bound and not self.channel_has_room(proxy, cost, True):
                # The channel is short of room: only what the rules require is sent now, the rest later.
                required = {s: weight for s, weight in changed.items() if weight < proxy.lines.get(s, 0)}
                if any(required.get(s, 1) for s in proxy.lines):
                    changed = required
                    levels = []
                    cost = head + len(required)
            if not proxy.bound:
                cost = head + 2 + len(proxy.lines) + len(changed) + 2 * len(self.op_types)
            if not self.channel_has_room(proxy, cost, can_wait):
                proxy.periods_deferred += 1
                self.has_urgent_changes = self.has_urgent_changes or not can_wait
                continue
            self.channel_lines = self.channel_lines + cost
            proxy.periods_deferred = 0
            self.urgent_proxies.pop(proxy, None)
            proxy.messages.add(self.now, 1)
            for server, weight in changed.items():
                yield ("weigh", proxy.ident, server.ident, round(weight, 4))
                if weight:
                    proxy.lines[server] = weight
                    server.holders[proxy] = None
                else:
                    del proxy.lines[server], server.holders[proxy]
            for mask, quota, tries, indexes in levels:
                yield ("admit", proxy.ident, mask, round(quota, 3), tries)
                for index in indexes:
                    proxy.levels[index] = (quota, tries)
            if not proxy.bound:
                proxy.bound = True
                yield ("bind", proxy.ident, proxy.ident, 0)  # a proxy's own table has the id of the proxy
        if work and period_ended:
            self.channel_lines_at_mark = self.channel_lines
            yield ("mark", next(self.counter) % 65536, False)

    def proxy_share(self, proxy_rate, usual_share, demand):
        """A proxy's share of an op type's ops: by its recent ops, with PRIOR_OPS ops at its usual rate added.
        Guards against quotas that follow random variation where a proxy has few ops, as the next op then
        comes to a proxy that had none. Drawback: a proxy whose rate rises suddenly admits less for a
        while."""
        recent_ops = proxy_rate * 8 * self.cycle / SECOND
        expected = max(usual_share * demand, 0.01)
        return (PRIOR_OPS + recent_ops) / (PRIOR_OPS / expected + 8 * self.cycle / SECOND) / max(demand, 0.01)

    def level_changes(self, proxy):
        """(mask, quota, tries, indexes of op types) for each level that differs enough from the ordered one;
        op types with equal quotas and tries are one entry."""
        if not self.caps_active and all(level is None for level in proxy.levels):
            return []
        level_kind = self.site.get("level", "none")
        tries = 0 if self.caps_active else self.site.get("usual_tries", 0)
        usual_share = proxy.stated_rate / max(self.usual_rate, 0.1)
        grouped = {}
        rates = zip(proxy.op_rates, self.demand, self.caps, self.quota_totals, strict=True)
        for index, (proxy_rate, demand, cap, quota_total) in enumerate(rates):
            quota = UNLIMITED_RATE if level_kind == "rate" else 1.0
            if cap is not None and level_kind == "rate":
                quota = quota_total * self.proxy_share(proxy_rate, usual_share, demand)
            elif cap is not None and level_kind == "share":
                quota = min(1.0, cap / max(demand, 0.1))
            ordered = proxy.levels[index]
            if (
                ordered is None
                or ordered[1] != tries
                or abs(ordered[0] - quota) > UPDATE_THRESHOLD * ordered[0]
            ):
                grouped.setdefault((quota, tries), []).append(index)
        return [
            (sum(1 << index for index in indexes), quota, tries, indexes)
            for (quota, tries), indexes in grouped.items()
        ]
