"""Sums of the tries at servers and the ops at proxies, for the decision module's rounds.

A report counts for the time that it covers, but no proxy counts for more time than has passed. Each proxy
has an account of time that fills as the clock advances, up to `ACCOUNT_INTERVALS` of its intervals. So a
report that is duplicated, that arrives in a burst after a pause, or that covers a long pause counts for the
last intervals at most: older data is not taken for present data. In place of an overdue report, the proxy's
last one counts again, for a few intervals. Where proxies report at long intervals, a report is spread evenly
over the rounds of one interval, through a ring of rounds, so that the module sees a steady flow.

No I/O, no clock; times are whole microseconds. The module gets whole numbers: fractions are carried over to
the next round, so that the sums stay exact. What waits longest is passed on first and adds up until then.
"""

from collections import OrderedDict

ACCOUNT_INTERVALS = 2.0  # capacity of an account, and the content of a new one
OVERDUE_INTERVALS = 1.5  # without a report, after which the last one counts in place of the missing one
STALE_INTERVALS = 4.0  # without a report, after which the last one no longer counts
MIN_WINDOW_CYCLES = 0.25  # a report that covers less time is counted as covering this much
RING_ROUNDS = 32  # ahead, over which a report can be spread


class Account:
    """Account of time for one proxy's reports of one kind."""

    __slots__ = ("credit", "filled_at", "received_at", "window", "last_report", "min_window")

    def __init__(self, now, interval, min_window):
        self.credit = ACCOUNT_INTERVALS * interval
        self.filled_at = now
        self.min_window = min_window
        self.received_at = now
        self.window = interval
        self.last_report = None  # content, counted again if the next report is overdue

    def fill(self, now, interval):
        if now > self.filled_at:
            self.credit = min(self.credit + now - self.filled_at, ACCOUNT_INTERVALS * interval)
            self.filled_at = now

    def spend(self, now, interval, window, lost=0):
        """Returns the factor by which a report that covers `window` counts.

        0 to 1, or more if the report stands for `lost` earlier ones too.
        """
        self.fill(now, interval)
        window = max(window, self.min_window)
        used = min(window * (1 + lost), self.credit)
        self.credit -= used
        return used / window

    def spend_overdue(self, now, interval):
        """Returns the factor by which the last report counts in place of a missing one at this time."""
        self.fill(now, interval)
        late = now - self.received_at
        if self.last_report is None or not OVERDUE_INTERVALS * interval < late <= STALE_INTERVALS * interval:
            return 0.0
        # One interval stays in the account, for a report that is only late.
        used = max(0.0, self.credit - interval)
        self.credit -= used
        return used / max(self.window, self.min_window)


class Sums:
    """`max_lines`: that a round may pass on; `interval`: microseconds between two reports of a proxy."""

    def __init__(self, cycle, max_lines):
        self.cycle = cycle
        self.max_lines = max(2, max_lines)
        self.interval = cycle
        # (server, zone) -> [tries, aborted, timed, total, load], oldest first
        self.server_sums = OrderedDict()
        # (proxy, op type) -> [ops, unanswered, window], oldest first
        self.proxy_sums = OrderedDict()
        self.accounts = {}  # (proxy, whether of tries) -> Account, while it is joined or overdue
        self.round_number = 0
        self.ring = [[] for _ in range(RING_ROUNDS)]  # what later rounds add: (add, arguments, factor)

    def account(self, now, proxy, of_tries):
        account = self.accounts.get((proxy, of_tries))
        if account is None:
            account = self.accounts[proxy, of_tries] = Account(
                now, self.interval, MIN_WINDOW_CYCLES * self.cycle
            )
        return account

    # -- reports

    def add_tries(self, now, proxy, zone, lines, loads, window, lost=0):
        """Adds a proxy's report of its tries and returns the factor by which it counts.

        `lines`: server -> [tries, aborted, acked tries with a known time, their total time].
        `loads`: server -> its own load report. `lost`: number of the proxy's earlier reports that were not
        read.
        """
        account = self.account(now, proxy, True)
        factor = account.spend(now, self.interval, window, lost)
        account.received_at, account.window, account.last_report = now, window, (zone, lines)
        self.spread(self.accumulate_tries, (zone, lines), factor)
        for server, load in loads.items():
            sums = self.server_sums.get((server, zone))
            if sums is not None:
                sums[4] = {**(sums[4] or {}), **load}
        return factor

    def accumulate_tries(self, zone, lines, factor):
        if not factor:
            return
        server_sums = self.server_sums
        for server, (tries, aborted, timed, total) in lines.items():
            sums = server_sums.get((server, zone))
            if sums is None:
                server_sums[server, zone] = [
                    tries * factor,
                    aborted * factor,
                    timed * factor,
                    total * factor,
                    None,
                ]
            else:
                sums[0] += tries * factor
                sums[1] += aborted * factor
                sums[2] += timed * factor
                sums[3] += total * factor

    def add_usage(self, now, proxy, usage, window, lost=0):
        """Adds a proxy's report of the ops it received: op type -> (ops, unanswered)."""
        account = self.account(now, proxy, False)
        factor = account.spend(now, self.interval, window, lost)
        account.received_at, account.window, account.last_report = now, window, usage
        self.spread(self.accumulate_usage, (proxy, usage, window), factor)

    def spread(self, add, arguments, factor):
        """Adds a report times `factor`, at once or evenly over the rounds of an interval."""
        rounds = min(max(1, round(self.interval / self.cycle)), RING_ROUNDS - 2)
        add(*arguments, factor / rounds)
        for k in range(1, rounds if factor else 1):
            self.ring[(self.round_number + 1 + k) % RING_ROUNDS].append((add, arguments, factor / rounds))

    def accumulate_usage(self, proxy, usage, window, factor):
        if not factor:
            return
        for op_type, (ops, unanswered) in usage.items():
            sums = self.proxy_sums.get((proxy, op_type))
            if sums is None:
                if not ops:
                    continue  # nothing to pass on, and nothing waits
                sums = self.proxy_sums[proxy, op_type] = [0.0, 0.0, 0.0]
            sums[0] += ops * factor
            sums[1] += unanswered * factor
            sums[2] += window * factor

    def clear_last_reports(self, proxy):
        """The proxy's streams are down: its last reports no longer count in place of missing ones.

        Its accounts remain until they are full, so that breaking streams gains a proxy no time.
        """
        for of_tries in (True, False):
            account = self.accounts.get((proxy, of_tries))
            if account:
                account.last_report = None

    def start_round(self, now):
        """Begins a round.

        Adds what was spread into it, counts last reports in place of overdue ones, and removes accounts that
        are full again and unused.
        """
        self.round_number, unused = self.round_number + 1, []
        index = self.round_number % RING_ROUNDS
        due, self.ring[index] = self.ring[index], []
        for add, arguments, factor in due:
            add(*arguments, factor)
        for (proxy, of_tries), account in self.accounts.items():
            if account.last_report is None:
                account.fill(now, self.interval)
                if (
                    now - account.received_at > STALE_INTERVALS * self.interval
                    and account.credit >= ACCOUNT_INTERVALS * self.interval
                ):
                    unused.append((proxy, of_tries))
                continue
            if now - account.received_at <= OVERDUE_INTERVALS * self.interval:
                continue
            factor = account.spend_overdue(now, self.interval)
            if not factor:
                account.last_report = (
                    None
                    if now - account.received_at > STALE_INTERVALS * self.interval
                    else account.last_report
                )
            elif of_tries:
                self.spread(self.accumulate_tries, account.last_report, factor)
            else:
                self.spread(self.accumulate_usage, (proxy, account.last_report, account.window), factor)
        for key in unused:
            del self.accounts[key]

    # -- lines for the module

    def line_shares(self):
        """Returns the lines of a round for servers and for proxies: in proportion to how many wait, at least
        one each."""
        servers, proxies = len(self.server_sums), len(self.proxy_sums)
        if servers + proxies <= self.max_lines:
            return servers, proxies
        for_servers = min(max(round(self.max_lines * servers / (servers + proxies)), 1), self.max_lines - 1)
        return for_servers, self.max_lines - for_servers

    def next_lines(self):
        """Yields the lines of one round.

        They are ("heard", server, zone, tries, aborted, latency, window, load) and ("used", proxy, op type,
        ops, unanswered, window).
        """
        for_servers, for_proxies = self.line_shares()
        count = 0
        for key in list(self.server_sums)[:for_servers]:
            line = self.server_line(key)
            if line:
                count += 1
                yield line
        for key in list(self.proxy_sums)[: max(for_proxies, self.max_lines - count)]:
            line = self.proxy_line(key)
            if line:
                yield line

    def server_line(self, key):
        tries, aborted, timed, total, load = sums = self.server_sums[key]
        whole_tries = int(tries + 1e-9)
        if not whole_tries:
            self.server_sums.move_to_end(key)  # less than one try: it waits for more
            if tries < 1e-6:
                del self.server_sums[key]
            return None
        whole_aborted = min(int(aborted + 1e-9), whole_tries)
        latency = round(total / timed) if timed > 1e-9 else 0
        remainder = 1 - whole_tries / tries
        if remainder * tries < 1e-6:
            del self.server_sums[key]
        else:  # the times are split in proportion to the tries that remain
            sums[:] = [
                tries - whole_tries,
                max(0.0, aborted - whole_aborted),
                timed * remainder,
                total * remainder,
                None,
            ]
            self.server_sums.move_to_end(key)
        return ("heard", key[0], key[1], whole_tries, whole_aborted, latency, self.cycle, load)

    def proxy_line(self, key):
        ops, unanswered, window = sums = self.proxy_sums[key]
        whole_ops = int(ops + 1e-9)
        if ops - whole_ops < 1e-6:
            del self.proxy_sums[key]
            return (
                ("used", key[0], key[1], whole_ops, min(round(unanswered), whole_ops), round(window))
                if (whole_ops or window >= self.cycle)
                else None
            )
        whole_unanswered = min(int(unanswered + 1e-9), whole_ops)
        self.proxy_sums.move_to_end(key)
        if not whole_ops:
            return None
        remainder = 1 - whole_ops / ops
        sums[:] = [ops - whole_ops, max(0.0, unanswered - whole_unanswered), window * remainder]
        return ("used", key[0], key[1], whole_ops, whole_unanswered, round(window * (1 - remainder)))
