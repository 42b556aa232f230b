"""The types a site file is checked into, and the plain map of it that the module gets.

Times are written with a unit ("2.5s", "800ms", "15m") and kept in whole microseconds.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=0)]
Some = Annotated[int, Meta(ge=1)]
Part = Annotated[float, Meta(gt=0, le=1)]
Amount = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$", max_length=64)]
Address = Annotated[str, Meta(pattern=r"^(127\.\d+\.\d+\.\d+|\[::1\]|localhost):\d{1,5}$")]

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
WRITTEN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m)")


class Time(int):
    """A stretch of time in whole microseconds, written as a number and a unit."""

    @classmethod
    def read(cls, written):
        found = WRITTEN.fullmatch(written) if isinstance(written, str) else None
        if found is None:
            raise ValueError(f'Expected a time with its unit such as "2.5s" or "800ms", got {written!r}')
        return cls(round(float(found[1]) * UNITS[found[2]]))


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A part of a site file: a key it does not know is refused."""


class Controllers(Strict, kw_only=True):
    count: Some = 1
    me: Count = 0
    step: Time = Time(4_000)  # the shortest gap between two batches of decisions
    peers: bool = False
    exchange: Positive = 16_000.0  # bytes a second of what each tells the others beside who is alive


class ServerList(Strict, kw_only=True):
    cluster: Name = "servers"  # the resource that the list service knows the fleet by
    asked: bool = True  # it answers only when asked
    ask_within: Time = Time(10_000_000)
    weights: Literal["none", "nominal", "rough", "live"] = "none"


class OpKind(Strict, kw_only=True):
    name: Name
    method: str = ""  # gRPC method path; "": any method whose last part is the name
    earnings: Positive = 1.0
    target_latency: Time
    op_timeout: Time
    effect: Literal["retryable", "deduplicated", "once-only"]
    scope: Literal["all", "zone", "cell"] = "all"
    window: Time = Time(0)  # deduplicated: how long a repeat is dropped
    late_part: Annotated[float, Meta(ge=0, le=1)] = 0.0
    own_zone: bool = False


class Proxies(Strict, kw_only=True):
    count: Some
    standing: Some = 6
    usual_tries: Annotated[int, Meta(ge=0, le=3)] = 1
    try_aims: Positive = 1.0
    fails_to_shun: Count = 0
    keepalive: Time = Time(15_000_000)
    level: Literal["rate", "share", "none"] = "none"


class Channel(Strict, kw_only=True):
    lines_per_s: Positive
    backlog: Positive  # lines that may wait
    head: Count = 4  # lines a message costs beside its own
    messages_most: Count = 0  # to one proxy within `messages_window`; 0: no such limit
    messages_window: Time = Time(10_000_000)
    transit: Time = Time(5_000)  # mean way of a message
    transit_most: Time = Time(100_000)


class Reports(Strict, kw_only=True):
    cycle: Time = Time(1_000_000)
    intake_per_s: Positive = 200.0  # lines that the decisions get
    cpu_part: Part = 0.4  # of one core, for reading reports; proxies are asked for fewer beyond
    fields: list[Literal["busy", "waiting", "holding", "service", "acked_rate", "aborted_rate"]] = []
    by: Literal["answers", "probe", "none"] = "none"
    probes: bool = False


class Rules(Strict, kw_only=True):
    bare: Time
    grace: Time
    cold_share: Part
    ramp: Time
    fall_multiple: Positive
    fall: Time
    dropped_stay_open: bool = False


class Advice(Strict, kw_only=True):
    """What balancers that ask for advice can make a controller hold."""

    balancers: Some = 64
    groups: Some = 64  # of one balancer
    members: Some = 20_000  # of all
    message: Annotated[int, Meta(ge=1_000, le=64 << 20)] = 1 << 20  # bytes
    keep: Time = Time(300_000_000)  # for so long a balancer that is away keeps what it registered


class Goal(Strict, kw_only=True):
    whole: Amount = 0.7
    worst_op_type: Amount = 0.1
    worst_window: Amount = 0.2


class Prices(Strict, kw_only=True):
    cross_zone: Amount = 0.0
    probe: Amount = 0.0
    waste: Amount = 0.0
    late: Amount = 0.0
    peer: Amount = 0.0
    connect: Amount = 0.0
    order: Amount = 0.0


class Site(Strict, kw_only=True):
    name: Name
    zone: Name
    zones: Annotated[list[Name], Meta(min_length=1)]
    kinds: list[Name] = []
    controllers: Controllers = Controllers()
    server_list: ServerList = ServerList()
    op_types: Annotated[list[OpKind], Meta(min_length=1, max_length=30)]
    proxies: Proxies
    channel: Channel
    reports: Reports = Reports()
    rules: Rules
    advice: Advice = Advice()
    goal: Goal = Goal()
    prices: Prices = Prices()

    def __post_init__(self):
        named = [o.name for o in self.op_types]
        if len(set(named)) < len(named):
            raise ValueError("Expected each of op_types to have a name of its own")
        if self.zone not in self.zones:
            raise ValueError(f"Expected zone to be one of zones {self.zones}, got {self.zone!r}")
        for kind in self.op_types:
            if kind.op_timeout < kind.target_latency:
                raise ValueError(f"Expected op_timeout of {kind.name} to be no less than its target_latency")
            if kind.effect == "deduplicated" and not kind.window:
                raise ValueError(f"Expected a window for {kind.name}, which is deduplicated")
        least = self.channel.head + 2 + self.proxies.standing
        if self.channel.backlog < least:
            raise ValueError(f"Expected channel.backlog to take one whole table ({least} lines or more)")

    def plain(self):
        """The map of names to values that the module gets; the names are those of simhost/names.py."""
        kinds = [
            {
                "name": o.name,
                "earnings": o.earnings,
                "target_latency": int(o.target_latency),
                "op_timeout": int(o.op_timeout),
                "effect": o.effect,
                "scope": o.scope,
                "window": int(o.window),
                "late_part": o.late_part,
            }
            for o in self.op_types
        ]
        channel, rules, reports, proxies = self.channel, self.rules, self.reports, self.proxies
        return {
            "op_types": kinds,
            "own_zone": [o.own_zone for o in self.op_types],
            "controllers": self.controllers.count,
            "me": self.controllers.me,
            "peers": self.controllers.peers,
            "step": int(self.controllers.step),
            "zone": self.zone,
            "zones": [*self.zones],
            "kinds": [*self.kinds],
            "list_asked": self.server_list.asked,
            "listed_weights": self.server_list.weights,
            "ask_within": int(self.server_list.ask_within),
            "keepalive": int(proxies.keepalive),
            "probes": reports.probes,
            "reports": [*reports.fields],
            "reports_by": reports.by,
            "cycle": int(reports.cycle),
            "intake_per_s": reports.intake_per_s,
            "goal_whole": self.goal.whole,
            "goal_worst_op_type": self.goal.worst_op_type,
            "goal_worst_window": self.goal.worst_window,
            **{f"price_{name}": getattr(self.prices, name) for name in Prices.__struct_fields__},
            "cold_share": rules.cold_share,
            "ramp": int(rules.ramp),
            "grace": int(rules.grace),
            "fall_multiple": rules.fall_multiple,
            "fall": int(rules.fall),
            "bare": int(rules.bare),
            "dropped_stay_open": rules.dropped_stay_open,
            "level": proxies.level,
            "backlog": channel.backlog,
            "head": float(channel.head),
            "lines_per_s": channel.lines_per_s,
            "messages_most": channel.messages_most,
            "messages_window": int(channel.messages_window),
            "transit": int(channel.transit),
            "transit_most": int(channel.transit_most),
            "proxies": proxies.count,
            "slices": 0,
            "standing": proxies.standing,
            "usual_tries": proxies.usual_tries,
            "try_aims": proxies.try_aims,
            "fails_to_shun": proxies.fails_to_shun,
            "warm_keys": False,
        }
