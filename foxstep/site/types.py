"""The types that a site file is validated against, and the flat map of settings made from them.

Field names are the keys of a site file. Durations are written with a unit ("2.5s", "800ms", "15m") and are
held in whole microseconds.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
Fraction = Annotated[float, Meta(gt=0, le=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$", max_length=64)]
Address = Annotated[str, Meta(pattern=r"^(127\.\d+\.\d+\.\d+|\[::1\]|localhost):\d{1,5}$")]

UNIT_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m)")


class Duration(int):
    """A duration in whole microseconds, written in a site file as a number and a unit."""

    @classmethod
    def parse(cls, text):
        match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f'Expected a time with its unit such as "2.5s" or "800ms", got {text!r}')
        return cls(round(float(match[1]) * UNIT_US[match[2]]))


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base class of the sections of a site file; unknown keys are rejected."""


class Controllers(Settings, kw_only=True):
    """The group of controllers that share a fleet."""

    count: PositiveInt = 1
    me: NonNegativeInt = 0  # number of this controller
    step: Duration = Duration(4_000)  # shortest interval between two batches of decisions
    peers: bool = False
    # Bytes/s of facts (see `peers/facts.py`) that each sends to the others, besides membership.
    exchange: PositiveFloat = 16_000.0


class ServerList(Settings, kw_only=True):
    """The list service that gives the servers of the fleet."""

    cluster: Name = "servers"  # resource name of the fleet in the list service
    asked: bool = True  # the service answers only on request
    ask_within: Duration = Duration(10_000_000)
    weights: Literal["none", "nominal", "rough", "live"] = "none"


class OpType(Settings, kw_only=True):
    """A type of operation that proxies forward to servers."""

    name: Name
    method: str = ""  # gRPC method path; "": any method whose last path segment is the name
    earnings: PositiveFloat = 1.0
    target_latency: Duration
    op_timeout: Duration
    effect: Literal["retryable", "deduplicated", "once-only"]
    scope: Literal["all", "zone", "cell"] = "all"
    window: Duration = Duration(0)  # for deduplicated ops: how long servers drop a repeat
    late_part: Annotated[float, Meta(ge=0, le=1)] = 0.0  # fraction of the earnings if acked too late
    own_zone: bool = False


class Proxies(Settings, kw_only=True):
    """The proxies of the fleet."""

    count: PositiveInt
    standing: PositiveInt = 6  # servers in a proxy's static table, used until a controller sends one
    # Default retries: 0 none, 1 one if the try provably never ran, 2 one after any failure
    # that is safe to repeat, 3 two of these.
    usual_tries: Annotated[int, Meta(ge=0, le=3)] = 1
    try_aims: PositiveFloat = 1.0  # timeout of a try that may be repeated, in target latencies
    fails_to_shun: NonNegativeInt = 0  # consecutive failures after which a proxy ejects a server; 0: never
    keepalive: Duration = Duration(15_000_000)  # how long an idle connection to a server stays open
    level: Literal["rate", "share", "none"] = "none"


class Channel(Settings, kw_only=True):
    """The channel that carries a controller's messages to its proxies.

    Its load is counted in lines; a line is one entry of a proxy's weight table.
    """

    lines_per_s: PositiveFloat
    backlog: PositiveFloat  # lines that may be queued
    head: NonNegativeInt = 4  # lines that a message costs in addition to its own
    messages_most: NonNegativeInt = 0  # maximum to one proxy within `messages_window`; 0: unlimited
    messages_window: Duration = Duration(10_000_000)
    transit: Duration = Duration(5_000)  # mean delivery time of a message
    transit_most: Duration = Duration(100_000)  # maximum delivery time of a message


class Reports(Settings, kw_only=True):
    """The load reports of proxies and servers."""

    cycle: Duration = Duration(1_000_000)
    intake_per_s: PositiveFloat = 200.0  # lines passed to the decision module
    cpu_part: Fraction = 0.4  # of one core, for reading; above it proxies are asked to report less often
    fields: list[Literal["busy", "waiting", "holding", "service", "acked_rate", "aborted_rate"]] = []
    by: Literal["answers", "probe", "none"] = "none"
    probes: bool = False


class Rules(Settings, kw_only=True):
    """The limits that the guards of the program keep."""

    bare: Duration  # longest time that a joined proxy may have no line for an op type
    grace: Duration  # longest time that a draining or departed server may still get ops
    cold_share: Fraction  # speed of a server at its start, as a fraction of its warm speed
    ramp: Duration  # time in which a server warms up
    # A cold server crashes if it gets more work within `fall` than this multiple of what it can do by then.
    fall_multiple: PositiveFloat
    fall: Duration
    dropped_stay_open: bool = False


class Advice(Settings, kw_only=True):
    """Limits on what SASP balancers may register with a controller."""

    balancers: PositiveInt = 64
    groups: PositiveInt = 64  # per balancer
    members: PositiveInt = 20_000  # of all balancers together
    message: Annotated[int, Meta(ge=1_000, le=64 << 20)] = 1 << 20  # size limit in bytes
    keep: Duration = Duration(300_000_000)  # how long a disconnected balancer's registrations are kept


class Goal(Settings, kw_only=True):
    """Weights of the parts of the goal that the decisions pursue."""

    whole: NonNegativeFloat = 0.7
    worst_op_type: NonNegativeFloat = 0.1
    worst_window: NonNegativeFloat = 0.2


class Prices(Settings, kw_only=True):
    """Costs of events, counted against the earnings."""

    cross_zone: NonNegativeFloat = 0.0
    probe: NonNegativeFloat = 0.0
    waste: NonNegativeFloat = 0.0
    late: NonNegativeFloat = 0.0
    peer: NonNegativeFloat = 0.0
    connect: NonNegativeFloat = 0.0
    order: NonNegativeFloat = 0.0


class Site(Settings, kw_only=True):
    """A whole site file."""

    name: Name
    zone: Name
    zones: Annotated[list[Name], Meta(min_length=1)]
    kinds: list[Name] = []
    controllers: Controllers = Controllers()
    server_list: ServerList = ServerList()
    op_types: Annotated[list[OpType], Meta(min_length=1, max_length=30)]
    proxies: Proxies
    channel: Channel
    reports: Reports = Reports()
    rules: Rules
    advice: Advice = Advice()
    goal: Goal = Goal()
    prices: Prices = Prices()

    def __post_init__(self):
        names = [o.name for o in self.op_types]
        if len(set(names)) < len(names):
            raise ValueError("Expected the names of op_types to be unique")
        if self.zone not in self.zones:
            raise ValueError(f"Expected zone to be one of zones {self.zones}, got {self.zone!r}")
        for op_type in self.op_types:
            if op_type.op_timeout < op_type.target_latency:
                raise ValueError(
                    f"Expected op_timeout of {op_type.name} to be no less than its target_latency"
                )
            if op_type.effect == "deduplicated" and not op_type.window:
                raise ValueError(f"Expected a window for {op_type.name}, which is deduplicated")
        min_lines = self.channel.head + 2 + self.proxies.standing
        if self.channel.backlog < min_lines:
            raise ValueError(f"Expected channel.backlog to take one whole table ({min_lines} lines or more)")

    def settings_map(self):
        """The settings that the decision module gets, as a flat map with the names of `simhost/names.py`.

        Durations are in microseconds.
        """
        op_types = [
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
            "op_types": op_types,
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
