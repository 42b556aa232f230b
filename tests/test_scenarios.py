"""Runs every scenario of tests/scenarios/*.txt against the decision module: scripted reports in, orders out.

A scenario is a list of statements, one a line or separated by `;`; `#` starts a comment. Times are seconds,
levels ops a second. The rules that scenarios name: 1 a joined proxy always has a line to use, 3 a server that
drains or is gone gets no more work, 4 a cold server gets no more than it can do, 5 the channel's limits hold.

    site NAME=VALUE ...                 changes settings from `default_site()` (before anything else)
    list HOW SERVER:ZONE[:STATE[:AGE[:WEIGHT[:KIND]]]]
                                        the list of servers (HOW: whole, changes, remembered, failed)
    join PROXY ZONE   leave PROXY       a proxy's stream opens or ends
    ops TYPE RATE [PROXY]               from now on each proxy, or one, receives ops of a type at this rate
    met SERVER|* NAME=VALUE ...         from now on tries at a server have these results: aborted=FRACTION
                                        latency=MS busy=FRACTION waiting=N probe=OUTCOME zone=ZONE
                                        quiet=1 (nothing is reported of it)
                                        unreported=1 (its reports carry no load report)
    wait SECONDS                        time passes; reports arrive every cycle
    learnt SERVER WEIGHT [withdrawn]    what another controller knows of a server
    inherited OPS                       capacity moves here with another controller's proxies (below 0: away)
    late                                the next round of reports arrives a cycle late, within the one after
    applied SECONDS                     a proxy answers the last mark after this time
    expect [no] line PROXY SERVER       the proxy holds such a line
    expect size PROXY <|> N             number of lines that the proxy holds
    expect weight PROXY SERVER <|> X    the line's weight relative to the mean of the proxy's other lines
    expect level PROXY TYPE <|> RATE    what the proxy admits; `expect [no] capped TYPE`: some proxy is capped
    expect tries PROXY TYPE N           the further tries that the proxy was ordered
    expect count VERB [ARG] <|> N       orders of this verb since the last such check
    expect messages PROXY < N           maximum of messages to the proxy within the settings' window
    expect burst < N                    maximum of lines given to the channel at one time
"""

import operator
import re
from collections import Counter
from pathlib import Path

import pytest

from foxstep.balance import Controller

SECOND = 1_000_000  # microseconds
SCENARIOS = Path(__file__).parent / "scenarios"
COMPARISONS = {"<": operator.lt, ">": operator.gt, "=": operator.eq}


class Runner:
    """Runs a controller: keeps what the proxies hold as ordered and sends reports as a scenario says."""

    def __init__(self, site):
        self.now = 50 * SECOND
        self.site = site
        self.started = False
        self.tables = {}  # table -> {server: weight}
        self.levels = {}  # (table, op type) -> (level, tries)
        self.bound = {}  # proxy -> table
        self.zones = {}  # proxy -> zone, of the joined ones
        self.rates = {}  # op type -> ops a second of each proxy
        self.proxy_rates = {}  # (proxy, op type) -> ops a second, where it differs
        self.conditions = {}  # server or "*" -> what tries meet there
        self.listed = {}  # server -> (zone, state)
        self.orders = Counter()  # by verb, and by verb and argument
        self.wakes = []  # times of wake-ups as ordered
        self.probes = []  # servers to be probed
        self.max_lines = 0  # given to the channel at one time
        self.next_report = None
        self.sent = {}  # table -> times of messages
        self.late_rounds = 0  # rounds of reports that are still to be late
        self.delay = 0  # microseconds that the next round covers in addition

    def start(self):
        if not self.started:
            self.controller, self.started = Controller(self.now, self.site, 7), True

    def condition(self, server):
        """What tries at a server meet now."""
        defaults = {"aborted": 0.0, "latency": 200.0, "busy": 0.5, "waiting": 0.0, "probe": "acked"}
        return {**defaults, **self.conditions.get("*", {}), **self.conditions.get(server, {})}

    def pull(self):
        """Pulls all orders and applies them."""
        touched = Counter()
        while (order := self.controller.next_order(self.now)) is not None:
            verb, *args = order
            self.orders[verb] += 1
            self.orders[verb, str(args[-1] if verb == "watch" else args[0] if args else "")] += 1
            if verb == "wake":
                self.wakes.append(args[0])
            elif verb == "probe":
                self.probes.append(args[0])
            elif verb == "weigh":
                table, server, weight = args
                assert server in self.listed and weight >= 0
                self.tables.setdefault(table, {})[server] = weight
                if not weight:
                    del self.tables[table][server]
                touched[table] += 1
            elif verb == "admit":
                for index, op_type in enumerate(self.site["op_types"]):
                    if not args[1] or args[1] >> index & 1:
                        self.levels[args[0], op_type["name"]] = tuple(args[2:])
                touched[args[0]] += 1
            elif verb == "bind":
                assert args[0] in self.zones, "bound a proxy that has not joined"
                self.bound[args[0]] = args[1]
        for table in touched:
            self.sent.setdefault(table, []).append(self.now)
        self.max_lines = max(self.max_lines, sum(touched.values()) + self.site["head"] * len(touched))

    def report(self):
        """Sends one round of reports of all joined proxies."""
        cycle = self.site["cycle"]
        if self.late_rounds:
            self.late_rounds -= 1
            self.delay = cycle
            return
        cycle = cycle + self.delay
        self.delay = 0
        joined = list(self.zones)
        total = sum(self.rate(p, t["name"]) for p in joined for t in self.site["op_types"]) * cycle / SECOND
        in_use = [
            s
            for s, (_, state) in self.listed.items()
            if any(s in self.tables.get(self.bound.get(p), {}) for p in joined)
        ]
        for server in in_use:
            condition = self.condition(server)
            if condition.get("quiet"):
                continue
            tries = max(1, round(total / len(in_use)))
            aborted = round(tries * condition["aborted"])
            load = (
                None
                if condition.get("unreported")
                else {"busy": condition["busy"], "waiting": condition["waiting"]}
            )
            self.controller.heard(
                self.now,
                server,
                condition.get("zone", "east"),
                tries,
                aborted,
                round(condition["latency"] * 1000),
                cycle,
                load,
            )
        for proxy in joined:
            for op_type in self.site["op_types"]:
                ops = round(self.rate(proxy, op_type["name"]) * cycle / SECOND)
                if ops:
                    self.controller.used(self.now, proxy, op_type["name"], ops, 0, cycle)

    def rate(self, proxy, op_type):
        return self.proxy_rates.get((proxy, op_type), self.rates.get(op_type, 0.0))

    def wait(self, seconds):
        """Lets time pass: probes are answered, wake-ups and reports happen when they are due."""
        end = self.now + round(seconds * SECOND)
        self.next_report = self.next_report or self.now + self.site["cycle"]
        while self.now < end:
            self.now = min([end, self.next_report, *(w for w in self.wakes if w > self.now)])
            for server in self.probes[:]:
                self.probes.remove(server)
                condition = self.condition(server)
                load = (
                    {"busy": condition["busy"], "waiting": condition["waiting"]}
                    if condition["probe"] == "acked"
                    else None
                )
                self.controller.probed(self.now, server, condition["probe"], 1000, load)
            for _ in [w for w in self.wakes if w <= self.now]:
                self.controller.woken(self.now, "period")
            self.wakes = [w for w in self.wakes if w > self.now]
            if self.now == self.next_report:
                self.next_report += self.site["cycle"]
                self.report()
            self.pull()

    def list(self, how, *entries):
        """Sends a list of servers, each as SERVER:ZONE[:STATE[:AGE[:WEIGHT[:KIND]]]]; AGE may be empty."""
        lines = []
        for entry in entries:
            fields = entry.split(":")
            defaults = ["", "", "open", "", "1.0", "std"]
            server, zone, state, age, weight, kind = fields + defaults[len(fields) :]
            self.listed[server] = (zone, state)
            started = self.now - round(float(age) * SECOND) if age else 0
            lines.append((server, zone, kind, 0, state, float(weight), started))
        self.controller.listed(self.now, how, lines)

    def expect(self, *words):
        """Checks one `expect` statement."""
        wanted = words[0] != "no"
        what, *args = words if wanted else words[1:]
        if what == "line":
            assert (args[1] in self.tables.get(self.bound.get(int(args[0])), {})) is wanted
        elif what == "weight":
            table = dict(self.tables[self.bound[int(args[0])]])
            own = table.pop(args[1])
            assert COMPARISONS[args[2]](own * len(table) / sum(table.values()), float(args[3]))
        elif what == "size":
            held = self.tables.get(self.bound.get(int(args[0])), {})
            assert COMPARISONS[args[1]](len(held), int(args[2])), held
        elif what == "level":
            level = self.levels.get((self.bound[int(args[0])], args[1]), (float("inf"),))[0]
            assert COMPARISONS[args[2]](level, float(args[3])), level
        elif what == "capped":
            levels = [level for (_, name), (level, _) in self.levels.items() if name == args[0]]
            unlimited = 1.0 if self.site["level"] == "share" else 1000
            assert any(level < unlimited for level in levels) is wanted, levels
        elif what == "tries":
            tries = self.levels.get((self.bound[int(args[0])], args[1]), (0, "-"))[1]
            assert str(tries) == args[2]
        elif what == "count":
            *key, sign, number = args
            found = self.orders[key[0] if len(key) == 1 else tuple(key)]
            assert COMPARISONS[sign](found, int(number)), found
            self.orders.clear()
        elif what == "messages":
            sent, window = self.sent[self.bound[int(args[0])]], self.site["messages_window"]
            max_messages = max(sum(t - window < other <= t for other in sent) for t in sent)
            assert COMPARISONS[args[1]](max_messages, int(args[2])), max_messages
        elif what == "burst":
            assert COMPARISONS[args[0]](self.max_lines, int(args[1])), self.max_lines
        else:
            raise ValueError(f"unknown check: {what}")


def default_site():
    def op_type(name, earnings, effect):
        return {
            "name": name,
            "earnings": earnings,
            "target_latency": SECOND,
            "op_timeout": 2_500_000,
            "effect": effect,
            "window": 2_500_000,
        }

    return {
        "op_types": [
            op_type("read", 1.0, "retryable"),
            op_type("put", 1.0, "deduplicated"),
            op_type("pay", 4.0, "once-only"),
        ],
        "controllers": 1,
        "zone": "east",
        "zones": ["east", "west"],
        "list_asked": True,
        "probes": True,
        "ask_within": 10 * SECOND,
        "cold_share": 0.2,
        "ramp": 10 * SECOND,
        "grace": 2 * SECOND,
        "fall_multiple": 2.5,
        "fall": 2 * SECOND,
        "level": "rate",
        "backlog": 2000.0,
        "bare": 2 * SECOND,
        "head": 4.0,
        "transit_most": 500_000,
        "transit": 200_000,
        "lines_per_s": 2000.0,
        "messages_most": 0,
        "messages_window": 10 * SECOND,
        "cycle": SECOND,
        "proxies": 3,
        "usual_tries": 1,
        "standing": 6,
        "keepalive": 15 * SECOND,
        "try_aims": 1.0,
        "reports": ["busy", "waiting"],
        "reports_by": "answers",
        "price_cross_zone": 0.0,
    }


@pytest.fixture
def runner():
    return Runner(default_site())


def run_scenario(runner, text):
    for line in re.split(r"#.*\n|[;\n]", text):
        verb, *words = line.split() or [""]
        try:
            if verb == "site":
                for name, _, value in (word.partition("=") for word in words):
                    kind = type(runner.site[name])
                    runner.site[name] = value == "yes" if kind is bool else kind(value)
                continue
            runner.start()
            if verb == "join":
                runner.zones[int(words[0])] = words[1]
                runner.bound.pop(int(words[0]), None)
                runner.controller.joined(runner.now, int(words[0]), words[1], 10.0, True)
                runner.pull()
            elif verb == "leave":
                del runner.zones[int(words[0])]
                runner.controller.left(runner.now, int(words[0]))
                runner.pull()
            elif verb == "list":
                runner.list(*words)
                runner.pull()
            elif verb == "ops":
                if len(words) > 2:
                    runner.proxy_rates[int(words[2]), words[0]] = float(words[1])
                else:
                    runner.rates[words[0]] = float(words[1])
            elif verb == "met":
                pairs = dict(word.split("=") for word in words[1:])
                runner.conditions.setdefault(words[0], {}).update(
                    {k: v if k in ("probe", "zone") else float(v) for k, v in pairs.items()}
                )
            elif verb == "applied":
                runner.controller.applied(runner.now, 1, 0, round(float(words[0]) * SECOND))
            elif verb == "learnt":
                runner.controller.learnt(runner.now, words[0], float(words[1]), "withdrawn" in words)
                runner.pull()
            elif verb == "inherited":
                runner.controller.inherited(runner.now, float(words[0]))
            elif verb == "late":
                runner.late_rounds += 1
            elif verb == "wait":
                runner.wait(float(words[0]))
            elif verb == "expect":
                runner.expect(*words)
            elif verb:
                raise ValueError(f"unknown statement: {verb}")
        except AssertionError as error:
            raise AssertionError(f"{line.strip()} ({error})") from error


@pytest.mark.parametrize("name", sorted(path.stem for path in SCENARIOS.glob("*.txt")))
def test_scenario(runner, name):
    run_scenario(runner, (SCENARIOS / f"{name}.txt").read_text())
