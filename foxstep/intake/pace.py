"""How often proxies are asked to report, and how much of their reports is read. No I/O, no clock.

The host measures what reading a line costs; the budget for it is a share of one core. While more lines arrive
than fit into the budget, they are sampled at once, and each line that is read stands for several. After two
such rounds, proxies are asked to report half as often: a report that covers twice the time costs no more to
read. The same is done when rounds are late, because then receiving the reports is too costly in itself,
however few of their lines are read. Once reports at half the interval would have fitted for a long time, the
interval is halved again. Each time that this turns out to be too much, the next attempt waits twice as long.
"""

MAX_INTERVAL_CYCLES = 8  # between two reports of a proxy
LENGTHEN_AFTER_ROUNDS = 2  # consecutive overloaded rounds
SHORTEN_AFTER_ROUNDS = 12  # consecutive rounds with low load, times the current patience
MAX_PATIENCE = 16  # factor on SHORTEN_AFTER_ROUNDS, after shorter intervals were too much
LATE_ROUND_CYCLES = 1.25  # between two rounds, above which the round is late
SHORTEN_BELOW_LOAD = 0.6  # of the budget: load that a shorter interval may come to
COST_SMOOTHING = 0.1  # share of a new measurement in the average cost of a line
INITIAL_LINE_COST_US = 12.0  # cost of reading a line, before any was measured
MESSAGE_LINES = 32  # cost of receiving a report, in lines, however few of its lines are read
INTERVAL_JITTER = 0.1  # of the interval: proxies' intervals differ, so that they don't all report at once


SHARED_BURST_US = 50_000  # reading time of the reports that may be taken from all streams at once
STREAM_BURST_REPORTS = 64  # that one stream may deliver at once, such as after a pause
STREAM_REPORTS_PER_INTERVAL = 4  # sustained rate of one stream; above it, reports are left in its buffers


class StreamRateLimiter:
    """Rate limit (token bucket) on receiving the reports of one stream.

    Bounds the cost of a stream that sends without end. Drawback: its reports are read late.
    """

    def __init__(self, now):
        self.tokens = float(STREAM_BURST_REPORTS)
        self.updated_at = now

    def delay_after_report(self, now, interval):
        """Counts a received report; returns the microseconds until the next one may be received."""
        self.tokens = (
            min(
                STREAM_BURST_REPORTS,
                self.tokens + (now - self.updated_at) / interval * STREAM_REPORTS_PER_INTERVAL,
            )
            - 1
        )
        self.updated_at = now
        return 0 if self.tokens >= 0 else round(-self.tokens * interval / STREAM_REPORTS_PER_INTERVAL)


class SharedRateLimiter:
    """Rate limit (token bucket) on receiving the reports of all streams together.

    Receiving costs no more than its share of a core, so that a wave of old reports delays no order. Streams
    that have to wait are served in order. Drawback: reading the wave takes longer.
    """

    def __init__(self, now):
        self.budget_us = 0.0  # microseconds of work
        self.updated_at = now

    def delay_after_report(self, now, cpu_share, cost):
        """Counts a received report that costs `cost` microseconds of work.

        Returns the microseconds until the next one may be received.
        """
        self.budget_us = min(SHARED_BURST_US, self.budget_us + (now - self.updated_at) * cpu_share) - cost
        self.updated_at = now
        return 0 if self.budget_us >= 0 else round(-self.budget_us / cpu_share)


class Pace:
    """Chooses the interval between reports and the sampling of their lines.

    `cycle`: the shortest interval, in microseconds. `cpu_share`: share of one core that reading may take.
    """

    def __init__(self, cycle, cpu_share):
        self.cycle = cycle
        self.cpu_share = cpu_share
        self.line_cost_us = INITIAL_LINE_COST_US
        self.requested_interval = cycle
        self.overloaded_rounds = self.low_load_rounds = 0
        self.patience = 1
        self.was_shortened = False  # the last change of the interval was to a shorter one
        self.shared_limiter = None
        # Lines that arrived in this round; load of the recent rounds as a ratio to the budget.
        self.lines = self.load = 0.0
        self.settled_at = 0  # until then, reports still arrive at the former interval

    def report_arrived(self, lines):
        """Counts a report with that many lines as arrived."""
        self.lines += lines + MESSAGE_LINES

    def delay_after_report(self, now, stream_limiter):
        """Returns the microseconds for which a stream waits after a report before its next is received."""
        self.shared_limiter = self.shared_limiter or SharedRateLimiter(now)
        return max(
            stream_limiter.delay_after_report(now, self.requested_interval),
            self.shared_limiter.delay_after_report(now, self.cpu_share, MESSAGE_LINES * self.line_cost_us),
        )

    def record_cost(self, lines, duration):
        """Records that reading `lines` lines took `duration` microseconds."""
        if lines >= 16:
            self.line_cost_us += COST_SMOOTHING * (duration / lines - self.line_cost_us)

    def line_budget(self, duration):
        """Returns the number of lines that may be read in `duration` microseconds."""
        return max(1.0, self.cpu_share * duration / max(self.line_cost_us, 0.01))

    def utilization(self):
        """Returns the load of the recent rounds as a ratio to the budget."""
        return self.load

    def sampling_step(self):
        """Returns n where one line of n is read and stands for all of them: 1 while all lines fit."""
        return max(1, -(-int(self.load * 1000) // 1000)) if self.load > 1 else 1

    def round(self, now, duration):
        """Closes a round of `duration` microseconds. Returns whether the requested interval has changed."""
        arrived, self.lines = self.lines, 0.0
        # Averages with the load so far, because reports don't arrive evenly over the rounds.
        self.load = (self.load + arrived / self.line_budget(duration)) / 2
        if now < self.settled_at:
            return False
        # At a low load, rounds are late for another reason, and longer intervals would only lose information.
        late = duration > LATE_ROUND_CYCLES * self.cycle and self.load > SHORTEN_BELOW_LOAD / 2
        self.overloaded_rounds = self.overloaded_rounds + 1 if self.load > 1 or late else 0
        self.low_load_rounds = (
            self.low_load_rounds + 1 if 2 * self.load < SHORTEN_BELOW_LOAD and not late else 0
        )
        before = self.requested_interval
        if self.overloaded_rounds >= LENGTHEN_AFTER_ROUNDS:
            self.requested_interval = min(self.requested_interval * 2, MAX_INTERVAL_CYCLES * self.cycle)
            self.patience = min(self.patience * 2, MAX_PATIENCE) if self.was_shortened else self.patience
            self.was_shortened = False
        elif (
            self.low_load_rounds >= SHORTEN_AFTER_ROUNDS * self.patience
            and self.requested_interval > self.cycle
        ):
            self.requested_interval = max(self.requested_interval // 2, self.cycle)
            self.was_shortened = True
        if self.requested_interval != before:
            self.overloaded_rounds = self.low_load_rounds = 0
            self.settled_at = now + 2 * max(self.requested_interval, before)
        return self.requested_interval != before

    def proxy_interval(self, jitter):
        """Returns the interval for one proxy; `jitter`: a number from 0 to 1 that is fixed for the proxy."""
        if self.requested_interval <= self.cycle:
            return self.cycle
        return round(self.requested_interval * (1 + INTERVAL_JITTER * (2 * jitter - 1)))
