"""Checks the five safety rules and the quality of service of a drill from its record alone.

The checks share no code with the program under test: they read the rows that the stand-ins and the recording
proxies wrote, and the settings of the site file.
"""

from bisect import bisect_right
from collections import Counter, defaultdict

US_TO_S = 1e-6
STREAMS_PER_CONTROLLER = 10_000_000  # the streams of controller k are numbered from k times this
ESTIMATE_WARM_UP_S = 12.0  # estimates are not judged during the first seconds of a day
# An estimate is compared with what was true within this many seconds and two report intervals before it.
ESTIMATE_WINDOW_S = 6.0
# A proxy's longest delay before it dials again, and a connection's before it is retried.
MAX_REDIAL_DELAY_S = 2.0


class Verdict:
    """The result of one rule: its number, a summary of what was examined, and the violations found."""

    def __init__(self, rule, summary):
        self.rule = rule
        self.summary = summary
        self.violations = []

    def add_violation(self, at, text):
        self.violations.append((at, text))


class Audit:
    """Judges one drill.

    `rows` is what `drills.record.read` returns, `site` the plain map of the site file. Times of rows are in
    seconds, times of the site in microseconds.
    """

    def __init__(self, rows, site):
        self.rows = rows
        self.site = site
        self.begin = next((r["t"] for r in rows["event"] if r["what"] == "the day begins"), 0.0)
        self.end = next((r["t"] for r in rows["event"] if r["what"] == "the day ends"), self.begin)
        self.once_only = {o["name"] for o in site["op_types"] if o["effect"] == "once-only"}
        self.stream_spans = self.find_stream_spans()
        self.server_lists = self.find_server_lists()

    def find_stream_spans(self):
        """Maps each proxy to the (start, end, stream) of its discovery streams.

        The streams of a proxy may overlap.
        """
        closed = {(r["proxy"], r["stream"]): r["t"] for r in self.rows["parted"]}
        spans, suspensions = defaultdict(list), defaultdict(list)
        for row in self.rows["event"]:
            if row["what"].startswith("controller "):
                _, k, _, _, seconds = row["what"].split()
                suspensions[int(k)].append((row["t"], row["t"] + float(seconds)))
        # A stock client knows a single controller, so it has none while that controller is suspended.
        single_controller = {row["name"] for row in self.rows["place"] if row["what"] == "stock"}
        for row in self.rows["joined"]:
            since, until = row["t"], closed.get((row["proxy"], row["stream"]), self.end)
            for begin, end in (
                suspensions[row["stream"] // STREAMS_PER_CONTROLLER]
                if row["proxy"] in single_controller
                else ()
            ):
                if since < end and until > begin:
                    if since < begin:
                        spans[row["proxy"]].append((since, begin, row["stream"]))
                    since = min(end, until)
            spans[row["proxy"]].append((since, until, row["stream"]))
        return spans

    def find_server_lists(self):
        """Lists that the list service wrote to controllers, in order: (time, {server: (state, began)})."""
        lists, version = [], None
        for row in self.rows["told"]:
            if (row["version"], row["controller"]) != version or row["t"] > lists[-1][0] + 0.2:
                lists.append((row["t"], {}))
                version = (row["version"], row["controller"])
            lists[-1][1][row["server"]] = (row["state"], row["began"])
        return lists

    def joined_since(self, proxy, at):
        """When the stream began that the proxy has open at a time, or None if it has none."""
        return next((start for start, until, _ in self.stream_spans[proxy] if start <= at <= until), None)

    # -- rule 1: no joined proxy is without servers for an op type

    def check_no_empty_tables(self):
        verdict = Verdict(1, f"{len(self.rows['table'])} tables written, {len(self.rows['joined'])} streams")
        ramp, limit = self.site["ramp"] * US_TO_S, self.site["bare"] * US_TO_S
        warm_servers = [
            (
                at,
                [
                    server
                    for server, (state, began) in listed.items()
                    if state == "open" and (not began or at - began >= ramp)
                ],
            )
            for at, listed in self.server_lists
        ]
        first_warm = next((at for at, servers in warm_servers if servers), None)
        if first_warm is None:
            return verdict
        standing = {r["proxy"]: bool(r["servers"]) for r in self.rows["standing"]}
        tables = defaultdict(list)
        for row in self.rows["table"]:
            tables[row["proxy"], row["stream"]].append((row["t"], row["name"], bool(row["servers"])))
        names = [o["name"] for o in self.site["op_types"]]
        for proxy, spans in self.stream_spans.items():
            has_lines = dict.fromkeys(names, standing.get(proxy, False))
            for start, until, stream in spans:
                empty_since = {n: None if has_lines[n] else max(start, first_warm) for n in names}
                for at, name, lines in [*tables[proxy, stream], (until, None, True)]:
                    for op_type in names:
                        if name not in (None, op_type) and name in names:
                            continue
                        since = empty_since[op_type]
                        if since is not None and at - since > limit and (lines or name is None):
                            verdict.add_violation(
                                since, f"{proxy} had no line for {op_type} for {at - since:.1f} s"
                            )
                        if name is not None:
                            has_lines[op_type] = lines
                            empty_since[op_type] = None if lines else at if since is None else since
        return verdict

    # -- rule 2: no once-only op takes effect twice

    def check_single_effects(self):
        effects = Counter((r["op"], r["op_type"]) for r in self.rows["effect"])
        once_only_effects = [(op, n) for (op, op_type), n in effects.items() if op_type in self.once_only]
        verdict = Verdict(2, f"{len(once_only_effects)} once-only ops with an effect")
        for op, n in once_only_effects:
            if n > 1:
                at = [r["t"] for r in self.rows["effect"] if r["op"] == op]
                verdict.add_violation(at[1], f"{op} took effect {n} times")
        rejected = Counter(r["op"] for r in self.rows["turned"])
        received = Counter(r["op"] for r in self.rows["received"] if r["op_type"] in self.once_only)
        for op, n in received.items():
            if n - rejected[op] > 1:
                verdict.add_violation(0.0, f"{op} was sent again after a try that might have run")
        return verdict

    # -- rule 3: a draining or departed server gets no ops after the grace

    def check_drains(self):
        grace = self.site["grace"] * US_TO_S
        closures, closed_at = defaultdict(list), {}  # server -> [(closed, reopened or None)]
        for at, listed in self.server_lists:
            for server in {*listed, *closed_at}:
                closed = listed.get(server, ("gone", 0))[0] != "open"
                if closed and closed_at.get(server) is None:
                    closures[server].append([at, None])
                    closed_at[server] = at
                elif not closed:
                    if closed_at.get(server) is not None:
                        closures[server][-1][1] = at
                    closed_at[server] = None
        verdict = Verdict(3, f"{sum(map(len, closures.values()))} drains and departures listed")
        for row in self.rows["received"]:
            for closed_since, reopened in closures.get(row["server"], ()):
                if closed_since + grace < row["t"] and (reopened is None or row["t"] < reopened):
                    since = self.joined_since(row["proxy"], row["t"])
                    if since is not None and row["t"] > max(closed_since, since) + grace:
                        verdict.add_violation(
                            row["t"],
                            f"{row['proxy']} sent to {row['server']} "
                            f"{row['t'] - closed_since:.1f} s after it was listed as draining or gone",
                        )
        return verdict

    # -- rule 4: a cold server isn't overloaded while it warms up

    def check_cold_starts(self):
        site = self.site
        share, ramp = site["cold_share"], site["ramp"] * US_TO_S
        window_length = site["fall"] * US_TO_S
        multiple = site["fall_multiple"]
        grace = site["grace"] * US_TO_S
        received, stops = defaultdict(list), defaultdict(list)
        for row in self.rows["received"]:
            received[row["server"]].append(row)
        for row in self.rows["stopped"]:
            stops[row["server"]].append(row["t"])
        starts = [r for r in self.rows["started"] if r["cold"]]
        verdict = Verdict(4, f"{len(starts)} cold starts")
        table_times = defaultdict(list)
        for row in self.rows["table"]:
            table_times[row["proxy"]].append(row["t"])
        for start in starts:
            began, server = start["t"], start["server"]
            end = min([t for t in stops[server] if t > began] + [began + ramp])
            listed_at = next(
                (
                    at
                    for at, listed in self.server_lists
                    if abs(listed.get(server, ("", 0))[1] - began) < 0.5 and at >= began
                ),
                None,
            )
            window = []
            for row in received[server]:
                if not began <= row["t"] <= end:
                    continue
                window = [r for r in window if r["t"] > row["t"] - window_length] + [row]
                warmth = share + (1 - share) * (row["t"] - began) / ramp
                # A core does one second of work per second. Two ops more are allowed, since picks are random.
                allowed = multiple * warmth * start["cores"] * window_length
                if sum(r["work"] for r in window) <= allowed + 2 * max(r["work"] for r in window):
                    continue
                informed_work = sum(
                    r["work"] for r in window if self.was_informed(r, listed_at, table_times, grace)
                )
                if informed_work >= sum(r["work"] for r in window) * 2 / 3:
                    work = sum(r["work"] for r in window)
                    verdict.add_violation(
                        row["t"],
                        f"{server} got {work:.1f} s of work in {window_length:.1f} s, "
                        f"{row['t'] - began:.1f} s after its start",
                    )
                    break
        return verdict

    def was_informed(self, row, listed_at, table_times, grace):
        """Whether the proxy of a received op could know of the server's start from its controller.

        It could if it is joined and either the grace since the listing is over or a table was written to it
        after the listing.
        """
        if listed_at is None or row["t"] < listed_at or self.joined_since(row["proxy"], row["t"]) is None:
            return False
        times = table_times[row["proxy"]]
        last = bisect_right(times, row["t"])
        return row["t"] > listed_at + grace or (last > 0 and times[last - 1] >= listed_at)

    # -- rule 5: the backlog of the channel and the messages to each proxy stay bounded

    def check_backlog(self):
        """Replays when messages were ordered and written.

        Each response's nonce tells when it was ordered, and how many lines the channel counted for it.
        """
        changes, messages = [], 0
        for row in self.rows["written"]:
            _, _, ordered, lines = (int(part) for part in row["nonce"].split("."))
            if ordered:
                messages += 1
                changes += [(ordered * US_TO_S, lines), (row["t"], -lines)]
        for row in self.rows["advised"]:
            # A pushed message's number is the time of its order in milliseconds, modulo four bytes.
            waited = (round(row["t"] * 1000) - row["number"]) % (1 << 32) / 1000
            if row["pushed"]:
                messages = messages + 1
                lines = row["weights"] + self.site["head"]
                changes += [(row["t"] - waited, lines), (row["t"], -lines)]
        verdict = Verdict(5, f"{messages} messages")
        waiting = max_waiting = 0
        for at, lines in sorted(changes):
            waiting += lines
            if waiting > max_waiting:
                max_waiting = waiting
                if waiting > self.site["backlog"]:
                    verdict.add_violation(
                        at, f"{waiting} lines wait, but the backlog may hold {self.site['backlog']:.0f}"
                    )
        verdict.summary += f", at most {max_waiting} lines waiting"
        allowed, window = self.site["messages_most"], self.site["messages_window"] * US_TO_S
        if allowed:
            times = defaultdict(list)
            for row in self.rows["written"]:
                if row["kind"] in ("ClusterLoadAssignment", "LbEndpoint"):
                    times[row["proxy"], row["stream"]].append(row["t"])
            for row in self.rows["advised"]:
                if row["pushed"]:
                    times[row["proxy"], row["stream"]].append(row["t"])
            for (proxy, _), written in times.items():
                for k, at in enumerate(written):
                    if k >= allowed and at - written[k - allowed] < window:
                        verdict.add_violation(at, f"{proxy} got over {allowed} messages in {window:.0f} s")
        return verdict

    def verdicts(self):
        """One result per rule. All rules count as broken if the record shows no tables, effects or lists."""
        results = [
            self.check_no_empty_tables(),
            self.check_single_effects(),
            self.check_drains(),
            self.check_cold_starts(),
            self.check_backlog(),
        ]
        for verdict in results:
            if not (self.rows["table"] and self.rows["effect"] and self.rows["told"]):
                verdict.add_violation(
                    self.begin, "nothing to judge: the record has no tables, no effects or no server list"
                )
        return results

    # -- picks

    def pick_statistics(self):
        """Tests with chi-square whether proxies pick servers in proportion to their weights.

        Returns (chi-square, degrees of freedom, bound at a significance of one in a thousand), over the
        periods in which a proxy's table was unchanged, before the first event of the day, and with at least
        one expected pick for each server.
        """
        first_event = min([r["t"] for r in self.rows["event"] if r["t"] > self.begin], default=self.end)
        tables = defaultdict(list)
        for row in self.rows["table"]:
            tables[row["proxy"]].append((row["t"], dict(zip(row["servers"], row["weights"], strict=True))))
        sent = defaultdict(list)
        for row in self.rows["sent"]:
            sent[row["proxy"]].append((row["t"], row["server"]))
        chi, degrees = 0.0, 0
        for proxy, rows in sent.items():
            proxy_tables = tables[proxy]
            for k, (at, weights) in enumerate(proxy_tables):
                until = min(first_event, proxy_tables[k + 1][0] if k + 1 < len(proxy_tables) else first_event)
                counts = Counter(server for t, server in rows if at + 0.05 <= t < until)
                n, total = sum(counts.values()), sum(weights.values())
                if len(weights) < 2 or any(n * w / total < 1 for w in weights.values()):
                    continue
                chi += sum((counts[s] - n * w / total) ** 2 / (n * w / total) for s, w in weights.items())
                degrees += len(weights) - 1
        # Wilson and Hilferty: the cube root of chi-square over degrees is nearly normal.
        spread = 2 / (9 * degrees) if degrees else 0.0
        return chi, degrees, degrees * (1 - spread + 3.09 * spread**0.5) ** 3

    # -- rollbacks

    def rollback_convergence(self):
        """How each rollback spread, judged from the versions written and the answers to them.

        A list of (time of the order, version, bound, part of the bound for absences of the controller,
        seconds until all joined proxies had accepted a table of that version, how many did, names of those
        that did not).
        """
        out, orders = [], [r for r in self.rows["ordered"] if r["verb"] in ("rollback", "unpin", "bad")]
        for k, order in enumerate(orders):
            if order["verb"] != "rollback":
                continue
            until = orders[k + 1]["t"] if k + 1 < len(orders) else self.end
            accepted = self.accepted_version(order["t"], until, f"@{order['version']}")
            absence = self.absence_allowance(order["t"], until)
            out.append((order["t"], order["version"], order["bound"] + absence, absence, *accepted))
        return out

    def absence_allowance(self, begin, until):
        """Seconds that kills of the controller between two times add to a bound.

        For each kill: until the controller's first response after it, and the longest delay until a proxy
        dials and is answered again.
        """
        allowance = 0.0
        for row in self.rows["event"]:
            if row["what"].startswith("kill ") and begin <= row["t"] < until:
                back = min((w["t"] for w in self.rows["written"] if w["t"] > row["t"] + 0.2), default=until)
                allowance += back - row["t"] + MAX_REDIAL_DELAY_S
        return allowance

    def accepted_version(self, begin, until, ending):
        """Which of the proxies that are joined at `until` hold a table whose version ends with `ending`.

        Returns (seconds from `begin` to the last acceptance, number that hold it, names of the others).
        """
        version_of = {
            (r["proxy"], r["nonce"]): r["version"].partition("/")[0]
            for r in self.rows["written"]
            if r["kind"] in ("LbEndpoint", "ClusterLoadAssignment")
        }
        held, since = {}, {}
        for row in self.rows["answer"]:
            name = version_of.get((row["proxy"], row["nonce"]))
            if not name or row["refusal"] or row["t"] > until:
                continue  # not a table: a level's assignment to an incremental client has no version name
            matches = name.endswith(ending)
            if matches and not held.get(row["proxy"]):
                since[row["proxy"]] = row["t"]
            held[row["proxy"]] = matches
        joined = [p for p in self.stream_spans if self.joined_since(p, until - 0.01) is not None]
        converged = [p for p in joined if held.get(p)]
        last = max((since[p] for p in converged), default=begin)
        return max(0.0, last - begin), len(converged), [p for p in joined if not held.get(p)]

    # -- owners

    def ownership_gaps(self):
        """How long proxies had no owner after each kill or suspension of a controller.

        A list of (event, seconds until the last of its proxies had a table from another process or
        controller, number of its proxies, bound). The numbers of streams tell the controller.
        """
        controller_count = 1 + max(
            (r["stream"] // STREAMS_PER_CONTROLLER for r in self.rows["joined"]), default=0
        )
        if controller_count < 2:
            return []
        known = {r["proxy"] for r in self.rows["written"] if r["kind"] == "LbEndpoint"}
        tables, out, failures = defaultdict(list), [], 0
        for row in self.rows["table"]:
            tables[row["proxy"]].append((row["t"], row["stream"]))
        for event in self.rows["event"]:
            if not event["what"].startswith(("kill ", "stop ", "old ")):
                continue
            at, controller, gaps = event["t"], failures % controller_count, []
            failures += 1
            for proxy in known:
                stream = next(
                    (s for start, until, s in self.stream_spans[proxy] if start <= at <= until), None
                )
                if stream is None or stream // STREAMS_PER_CONTROLLER != controller:
                    continue
                after = next((t for t, other in tables[proxy] if t > at and other != stream), None)
                gaps.append((self.end if after is None else after) - at)
            if gaps:
                out.append((event["what"], max(gaps), len(gaps), self.owner_bound(len(gaps))))
        return out

    def owner_bound(self, proxies):
        """Seconds within which this many proxies must have another owner.

        A proxy notices silence after three eighths of the grace, one failed dial takes four eighths, and the
        next begins within a fifth of a second. Then the channel writes whole tables for all proxies that
        come.
        """
        grace, lines = self.site["grace"] * US_TO_S, self.site["standing"] + self.site["head"] + 1
        return 7 / 8 * grace + 2 * 0.2 + proxies * lines / self.site["lines_per_s"]

    def epoch_violations(self):
        """Checks that no proxy accepts a table of a lower epoch than one that it accepted before.

        Returns (number of accepted tables, [(time, text)] of those with a lower epoch). The epoch is the
        first part of a table's version.
        """
        version_of = {
            (r["proxy"], r["nonce"]): r["version"] for r in self.rows["written"] if r["kind"] == "LbEndpoint"
        }
        highest, accepted, older = {}, 0, []
        for row in self.rows["answer"]:
            name = version_of.get((row["proxy"], row["nonce"]))
            if name and not row["refusal"]:
                epoch = int(name.partition(".")[0])
                accepted = accepted + 1
                before = highest.get(row["proxy"], 0)
                if epoch < before:
                    older.append((row["t"], f"{row['proxy']} accepted {name} after epoch {before}"))
                highest[row["proxy"]] = max(epoch, before)
        return accepted, older

    def zone_recoveries(self):
        """How proxies return to a controller of their own zone after each partition between controllers.

        A list of (seconds until the last proxy was back for good, number of proxies that were elsewhere,
        bound, number that never came back), one for each time that notes arrive again, until the next failure
        of controllers.
        """
        controllers_of_zone, zones = defaultdict(set), {}
        for row in self.rows["place"]:
            if row["what"] == "controller":
                controllers_of_zone[row["zone"]].add(int(row["name"]))
            elif row["what"] == "proxy":
                zones[row["name"]] = row["zone"]
        incremental = {r["proxy"] for r in self.rows["written"] if r["kind"] == "LbEndpoint"}
        failure_verbs = ("kill ", "stop ", "old ", "hush ", "deaf ", "isolate ")
        out = []
        for event in self.rows["event"]:
            if event["what"] != "notes arrive again":
                continue
            at = event["t"]
            until = min(
                [r["t"] for r in self.rows["event"] if r["t"] > at and r["what"].startswith(failure_verbs)],
                default=self.end,
            )
            took, away, never = 0.0, 0, 0
            for proxy in incremental & zones.keys():
                spans = [s for s in self.stream_spans[proxy] if s[1] > at and s[0] < until]
                wrong = [
                    end
                    for start, end, stream in spans
                    if stream // STREAMS_PER_CONTROLLER not in controllers_of_zone[zones[proxy]]
                ]
                away += bool(wrong)
                never += bool(wrong) and max(wrong) >= until
                took = max([took, *(min(end, until) - at for end in wrong)])
            out.append((took, away, self.zone_recovery_bound(away, len(self.controllers())), never))
        return out

    def controllers(self):
        return [r for r in self.rows["place"] if r["what"] == "controller"]

    def zone_recovery_bound(self, away, controllers):
        """Seconds within which the proxies that were elsewhere must be back after a partition.

        Each controller pings its peers in turn, one every eighth of the grace, or up to five times as slowly
        while its own pings fail. The bound covers as many pings as make the chance that all are lost one in
        a thousand at most, fourteen more periods to confirm that the peer is back, one dial, and the tables
        of the proxies that move, written within a quarter of the channel's rate.
        """
        events = [r["what"].split() for r in self.rows["event"]]
        lost = next((float(words[1]) for words in events if words[0] == "lose" and len(words) == 2), 0.0)
        period = self.site["grace"] * US_TO_S / 8
        failure_chance = 1 - (1 - lost) ** 2
        tries = 1
        while failure_chance**tries > 1e-3:
            tries += 1
        lines = self.site["head"] + 1 + self.site["standing"]
        return (
            (tries * (controllers - 1) * 5 + 14) * period
            + 1.0
            + away * lines / (0.25 * self.site["lines_per_s"])
        )

    # -- estimates

    def estimate_errors(self):
        """Errors of the controller's estimates against what reporters and clients did.

        Maps "demand", "acked" and "latency" to [(time, error)]. An error is how far the estimate lies outside
        the range of the true values in the last seconds, as a fraction of the lowest. Estimates are not
        judged in the first seconds of a day and while no reports arrive. After a pause of reports, for as
        long as it lasted, only estimates that are too high count as errors, since the controller has to read
        the delayed reports together with the new ones.
        """
        truth, times = self.rows["truth"], [r["t"] for r in self.rows["truth"]]
        if not truth:
            return {}
        pauses, catch_ups, begin = [], [], None
        for row in self.rows["event"]:
            begin = row["t"] if row["what"].startswith("pause ") else begin
            if row["what"] == "reports arrive again":
                pauses.append((begin, row["t"]))
                catch_ups.append((row["t"], 2 * row["t"] - begin))
        began, acked = [], []
        for row in self.rows["op"]:
            began.append(row["began"])
            if row["outcome"] == "acked":
                acked.append(row["t"])
        began.sort()
        acked.sort()
        true_values = [self.true_rates(truth, k, began, acked) for k in range(len(truth))]
        out = {"demand": [], "acked": [], "latency": []}
        for row in self.rows["estimate"]:
            if (
                row["t"] < self.begin + ESTIMATE_WARM_UP_S
                or row["t"] > self.end
                or any(a <= row["t"] <= b for a, b in pauses)
            ):
                continue
            since = row["t"] - ESTIMATE_WINDOW_S - 2 * row["asked"]
            window = true_values[bisect_right(times, since) : bisect_right(times, row["t"])]
            low_counts = not any(a <= row["t"] <= b for a, b in catch_ups)
            window = [values for values in window if values]
            for k, quantity in enumerate(out):
                if window:
                    lowest, highest = min(values[k] for values in window), max(values[k] for values in window)
                    error = max((lowest - row[quantity]) * low_counts, row[quantity] - highest, 0.0)
                    out[quantity].append((row["t"], error / max(lowest, 1e-9)))
        return out

    def true_rates(self, truth, k, began, acked):
        """What was true in the two seconds before sample `k`, or None if the record begins later.

        Returns (ops per second, acked ops per second, median over servers of the mean latency in seconds).
        """
        since = next((j for j in range(k - 1, -1, -1) if truth[k]["t"] - truth[j]["t"] >= 2.0), None)
        if since is None:
            return None
        old, new = truth[since], truth[k]
        took = new["t"] - old["t"]

        def count_between(times):
            return bisect_right(times, new["t"]) - bisect_right(times, old["t"])

        old_sums = dict(zip(old["servers"], zip(old["counts"], old["times"], strict=True), strict=True))
        means = []
        for server, count, total_time in zip(new["servers"], new["counts"], new["times"], strict=True):
            old_count, old_time = old_sums.get(server, (0.0, 0.0))
            if count - old_count >= 4:
                means.append((total_time - old_time) / (count - old_count))
        means.sort()
        ops = new["ops"] - old["ops"] + count_between(began)
        acked_ops = new["acked"] - old["acked"] + count_between(acked)
        return ops / took, acked_ops / took, means[len(means) // 2] if means else 0.0

    # -- quality of service

    def advised_balancers(self):
        """Names of the balancers that got advice over SASP, in order of their first message."""
        return list(dict.fromkeys(row["proxy"] for row in self.rows["advised"]))

    def earnings_ratios(self, interval_s=10.0):
        """Earnings of ops as a fraction of the earnings they could bring.

        An op earns fully if acked within its target latency, and partly if acked later. Keys are (op type,
        "all" or "all advised"; number of the interval of `interval_s` seconds, or "all").
        """
        possible, earned, advised = Counter(), Counter(), set(self.advised_balancers())
        settings = {o["name"]: o for o in self.site["op_types"]}
        for row in self.rows["op"]:
            if not self.begin <= row["began"] <= self.end - 1.0:
                continue
            op_type, interval = settings[row["op_type"]], int((row["began"] - self.begin) // interval_s)
            in_time = row["outcome"] == "acked" and row["took"] <= op_type["target_latency"] * US_TO_S
            late = row["outcome"] == "acked" and not in_time
            earnings = op_type["earnings"] * (in_time + late * op_type.get("late_part", 0.0))
            keys = [(name, k) for name in (row["op_type"], "all") for k in (interval, "all")]
            if row["proxy"] in advised:
                keys += [("all advised", interval), ("all advised", "all")]
            for key in keys:
                possible[key] += op_type["earnings"]
                earned[key] += earnings
        return {key: earned[key] / possible[key] for key in possible}

    def outcome_counts(self):
        """How many ops of the day ended in which outcome."""
        return Counter(
            row["outcome"].split(":")[0] for row in self.rows["op"] if self.begin <= row["began"] <= self.end
        )

    def refused_answers(self):
        """The answers of proxies that refuse a response."""
        return [row for row in self.rows["answer"] if row["refusal"]]
