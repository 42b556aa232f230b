"""Reports between the fronts and the decision module: which are read, how much of each, and what counts.

The fronts offer reports as they arrive. Of each proxy the newest report waits, and replaces an older one that
was not read yet, because it describes the present. The host reads waiting reports one at a time, between
other work: zones take turns, and within a zone the proxy that has waited longest is next, so that a zone with
many proxies takes nothing from one with few. What was read is checked, bounded and added to the sums for the
module's rounds (`sums`). No I/O.
"""

from collections import OrderedDict
from zlib import crc32

from foxstep.intake.pace import Pace
from foxstep.intake.sums import Sums

MINUTE_US = 60_000_000
MAX_WINDOW_US = 10 * MINUTE_US  # a report that covers a longer time says nothing about the present
MAX_OPS_PER_LINE = 10_000_000  # a greater number in a line is not a valid count
MAX_SHARE_OF_OTHERS = 1 / 3  # of what all others report, that one proxy's report may count for
MIN_REPORTING_PROXIES = 8  # from which on MAX_SHARE_OF_OTHERS applies
HELD_CYCLES = 120  # for which a proxy may still report on a server that left its tables
MAX_WAITING_REPORTS = 20_000  # of all proxies; a report that arrives beyond this is dropped


class ReportingProxy:
    """What is known of one proxy that sends reports."""

    __slots__ = ("zone", "rates", "held_at", "first_seen")

    def __init__(self, zone, now):
        self.zone = zone
        self.first_seen = now
        self.rates = [0.0, 0.0]  # tries and ops a microsecond, by its newest reports
        self.held_at = {}  # server -> when it was last in the proxy's tables


class Intake:
    """Reads, checks and bounds proxies' reports.

    `site`: the plain settings. `known_server(server)`: whether the list has ever contained it.
    `held_servers(proxy)`: the servers of the proxy's tables as last written to it, or None.
    `cpu_share`: share of one core that reading may take.
    """

    def __init__(self, site, known_server, held_servers=lambda proxy: None, cpu_share=0.4, seed=0):
        self.cycle = site["cycle"]
        self.seed = seed
        self.known_server = known_server
        self.held_servers = held_servers
        self.pace = Pace(self.cycle, cpu_share)
        self.sums = Sums(self.cycle, round(site["intake_per_s"] * self.cycle / 1_000_000))
        longest = max((o["op_timeout"] for o in site["op_types"]), default=0)
        # An op that began under an earlier table is reported once it has ended and its report has arrived.
        self.held_retention = longest + HELD_CYCLES * self.cycle + site.get("transit_most", 0)
        self.waiting = {}  # zone -> (proxy, kind) -> (received at, report, lines, lost), in order
        self.zones = []
        self.proxies = {}
        self.read_count = 0
        self.total_rates = [0.0, 0.0]  # tries and ops a microsecond of all proxies, by their newest reports
        self.reporting_counts = [0, 0]  # number of proxies with tries and with ops in their newest reports
        self.accepted_lines = 0
        self.refused = {}  # reason -> lines that were refused
        # Reports replaced by newer ones, reports scaled down, lines not read because of sampling.
        self.overtaken = self.scaled_down = self.skipped_lines = 0
        self.last_round_at = None
        self.servers_with_load = {}  # servers whose own load report has arrived since the last round

    def refuse(self, reason, lines=1):
        self.refused[reason] = self.refused.get(reason, 0) + lines

    # -- waiting reports

    def offer(self, now, proxy, zone, kind, report, lines):
        """Queues a report of about `lines` lines; it replaces the proxy's waiting one of the same `kind`."""
        self.pace.report_arrived(lines)
        queue = self.waiting.get(zone)
        if queue is None:
            queue = self.waiting[zone] = OrderedDict()
            self.zones.append(zone)
        key = (proxy, kind)
        if key in queue:
            self.overtaken += 1
            # It keeps the queue position of the report that it replaces, and stands for it.
            queue[key] = (now, report, lines, queue[key][3] + 1)
        elif sum(map(len, self.waiting.values())) >= MAX_WAITING_REPORTS:
            self.refuse("too many wait", lines)
        else:
            queue[key] = (now, report, lines, 0)

    def next_report(self):
        """Returns the report to read now, or None.

        It is (received at, proxy, kind, report, lines, step, first, lost). Every `step`-th of its lines is
        read, beginning with `first`, and counts for `step` lines; the report stands for `lost` earlier ones.
        """
        for _ in range(len(self.zones)):
            zone = self.zones.pop(0)
            self.zones.append(zone)
            if queue := self.waiting[zone]:
                (proxy, kind), (received_at, report, lines, lost) = queue.popitem(last=False)
                # A report of a few lines is read whole, because sampling it would save little.
                step = min(self.pace.sampling_step(), max(1, lines // 4))
                self.read_count += 1
                first = crc32(f"{self.seed} {self.read_count}".encode()) % step
                self.skipped_lines += lines - len(range(first, lines, step))
                return received_at, proxy, kind, report, lines, step, first, lost
        return None

    def remove_proxy(self, proxy, zone):
        """Removes a proxy whose streams are down."""
        queue = self.waiting.get(zone, {})
        for key in [key for key in queue if key[0] == proxy]:
            del queue[key]
        removed = self.proxies.pop(proxy, None)
        if removed:
            for k in (0, 1):
                self.total_rates[k] = max(0.0, self.total_rates[k] - removed.rates[k])
                self.reporting_counts[k] -= removed.rates[k] > 0
        self.sums.clear_last_reports(proxy)

    # -- reports that were read

    def reporting_proxy(self, now, proxy, zone):
        found = self.proxies.get(proxy)
        if found is None:
            found = self.proxies[proxy] = ReportingProxy(zone, now)
        return found

    def is_valid(self, counts, window):
        """Whether the counts and the window (microseconds) are in range; if not, counts a refused line."""
        if not 0 < window <= MAX_WINDOW_US:
            self.refuse("window")
        elif any(not 0 <= n <= MAX_OPS_PER_LINE for n in counts):
            self.refuse("count")
        else:
            return True
        return False

    def add_tries(self, now, proxy, zone, lines, window, lost=0):
        """Adds a proxy's report of its tries.

        Returns the factor by which the report's time counts (see `sums.Account`); 0 if no line was accepted.
        `lines`: (server, tries, aborted, latency, load, weight) in any order. `latency` is the mean of the
        acked tries in microseconds, or None if unknown; it is then left out of the mean, not counted as zero.
        `load`: the server's own load report or None. `weight`: the number of lines that this one stands for.
        """
        reporter, sums, loads, total = self.reporting_proxy(now, proxy, zone), {}, {}, 0
        allowed = self.reportable_servers(now, proxy, reporter)
        self.accepted_lines += len(lines)
        known, valid = self.known_server, self.is_valid((), window)
        for server, tries, aborted, latency, load, weight in lines if valid else ():
            if not known(server):
                self.refuse("server")
            elif allowed is not None and server not in allowed:
                self.refuse("not held")
            elif not 0 <= aborted <= tries <= MAX_OPS_PER_LINE:
                self.refuse("count")
            elif tries:
                weighted_tries = tries * weight
                timed = (tries - aborted) * weight if latency is not None else 0
                found = sums.get(server)
                if found is None:
                    sums[server] = [
                        weighted_tries,
                        aborted * weight,
                        timed,
                        latency * timed if timed else 0.0,
                    ]
                else:
                    found[0] += weighted_tries
                    found[1] += aborted * weight
                    if timed:
                        found[2] += timed
                        found[3] += latency * timed
                total += weighted_tries
                if load:
                    loads[server] = load
        if not sums:
            return 0.0
        factor = self.bounding_factor(reporter, 0, total / max(window, self.cycle / 4))
        if factor < 1:
            sums = {server: [value * factor for value in values] for server, values in sums.items()}
        return self.sums.add_tries(now, proxy, zone, sums, loads, window, lost)

    def reportable_servers(self, now, proxy, reporter):
        """Returns the servers on which a proxy may report, or None for any.

        These are the servers of its tables, and of those it held when the ops that it now reports began. Any
        server is allowed while it is unknown what the proxy held when it was first seen.
        """
        held = self.held_servers(proxy)
        if held is None:
            return None
        for server in held:
            reporter.held_at[server] = now
        if now - reporter.first_seen <= self.held_retention:
            return None
        for server in [s for s, at in reporter.held_at.items() if now - at > self.held_retention]:
            del reporter.held_at[server]
        return reporter.held_at

    def add_usage(self, now, proxy, zone, lines, window, lost=0):
        """Adds a proxy's report of the ops it received: (op type, ops, unanswered)."""
        reporter, usage, total = self.reporting_proxy(now, proxy, zone), {}, 0
        for op_type, ops, unanswered in lines:
            self.accepted_lines += 1
            if self.is_valid((ops, unanswered), window):
                usage[op_type] = (ops, min(unanswered, ops))
                total += ops
        if usage:
            factor = self.bounding_factor(reporter, 1, total / max(window, self.cycle / 4))
            if factor < 1:
                usage = {
                    op_type: (ops * factor, unanswered * factor)
                    for op_type, (ops, unanswered) in usage.items()
                }
            self.sums.add_usage(now, proxy, usage, window, lost)

    def bounding_factor(self, reporter, which, rate):
        """Returns the factor by which a proxy's report is scaled; `which`: 0 for tries, 1 for ops.

        Guards against a proxy that reports far more than there is: it counts for at most a third of what all
        others report. Drawback: a proxy that really has more is counted as having that much.
        """
        others = max(0.0, self.total_rates[which] - reporter.rates[which])
        reporting = self.reporting_counts[which] - (reporter.rates[which] > 0)
        # Compares with the others' rates as reported: scaling one proxy down must not scale down the next.
        counted = min(rate, MAX_SHARE_OF_OTHERS * others) if reporting >= MIN_REPORTING_PROXIES else rate
        self.total_rates[which], self.reporting_counts[which] = others + rate, reporting + (rate > 0)
        reporter.rates[which] = rate
        self.scaled_down += counted < rate
        return counted / rate if rate > 0 else 1.0

    # -- rounds

    def round(self, controller, now, evidence):
        """Passes one round to the module, and its tries to the evidence; returns its number of lines."""
        duration = self.cycle if self.last_round_at is None else max(now - self.last_round_at, 1)
        self.last_round_at = now
        self.servers_with_load = {}
        self.pace.round(now, duration)
        self.sums.interval = self.pace.requested_interval
        self.sums.start_round(now)
        lines = 0
        for verb, *fields in self.sums.next_lines():
            lines += 1
            if verb == "heard":
                server, zone, tries, aborted, latency, window, load = fields
                controller.heard(now, server, zone, tries, aborted, latency, window, load)
                evidence.record_tries(now, tries, aborted, latency * (tries - aborted))
            else:
                controller.used(now, *fields)
        return lines

    def view(self):
        """Returns plain values for an operator."""
        return {
            "asked_ms": self.pace.requested_interval // 1000,
            "use": round(self.pace.utilization(), 3),
            "cost_us": round(self.pace.line_cost_us, 1),
            "step": self.pace.sampling_step(),
            "waiting": sum(map(len, self.waiting.values())),
            "overtaken": self.overtaken,
            "cut": self.scaled_down,
            "skipped_lines": self.skipped_lines,
            "refused": dict(self.refused),
            "taken": self.accepted_lines,
            "proxies": len(self.proxies),
        }
