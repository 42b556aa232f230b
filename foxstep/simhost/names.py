"""Maps the names and units of the simulator's protocol to those of the decision module.

Times are milliseconds on the protocol and whole microseconds in the module.
"""


def micros(text):
    """Microseconds from text in milliseconds."""
    return round(float(text) * 1000)


def parse_bool(text):
    return text in ("true", "1")


def parse_list(text):
    """The items of a comma-separated list."""
    return text.split(",") if text else []


def parse_bools(text):
    return [parse_bool(item) for item in parse_list(text)]


# Protocol value -> the module's value.
EFFECTS = {"read_like": "retryable", "idempotency_key": "deduplicated", "non_idempotent": "once-only"}
LEVELS = {"fraction": "share", "per_second": "rate", "none": "none"}
LOAD_FIELDS = {
    "cpu": "busy",
    "waiting": "waiting",
    "active": "holding",
    "avg_ms": "service",
    "rps": "acked_rate",
    "err_rps": "aborted_rate",
}
STATES = {"in_service": "open", "terminating": "draining", "terminated": "gone"}
LISTS = {"Partial": "changes", "Complete": "whole", "Persisted": "remembered", "Error": "failed"}
OUTCOMES = {
    "success": "acked",
    "failure": "aborted",
    "overloaded": "rejected",
    "timed_out": "silent",
    "unreachable": "unreachable",
    "broken": "broken",
}

# Protocol field -> (name in the module's map of settings, function that reads its text)
SITE_FIELDS = {
    "balancers": ("controllers", int),
    "me": ("me", int),
    "az": ("zone", str),
    "areas": ("zones", parse_list),
    "kinds": ("kinds", parse_list),
    "discovery": ("list_asked", lambda text: text == "subscribe"),
    "weights": ("listed_weights", str),
    "step": ("step", micros),
    "allowed.keepalive": ("keepalive", micros),
    "allowed.probes": ("probes", parse_bool),
    "allowed.peers": ("peers", parse_bool),
    "report.fields": ("reports", lambda text: [LOAD_FIELDS.get(word, word) for word in parse_list(text)]),
    "report.via": ("reports_by", str),
    "goal.whole": ("goal_whole", float),
    "goal.worstClass": ("goal_worst_op_type", float),
    "goal.worstWindow": ("goal_worst_window", float),
    "penalties.crossZone": ("price_cross_zone", float),
    "penalties.probe": ("price_probe", float),
    "penalties.waste": ("price_waste", float),
    "penalties.lateFail": ("price_late", float),
    "penalties.peer": ("price_peer", float),
    "penalties.handshake": ("price_connect", float),
    "guarantees.askWithin": ("ask_within", micros),
    "guarantees.coldShare": ("cold_share", float),
    "guarantees.rampTime": ("ramp", micros),
    "guarantees.drainGrace": ("grace", micros),
    "guarantees.fallMultiple": ("fall_multiple", float),
    "guarantees.fall": ("fall", micros),
    "guarantees.droppedStayOpen": ("dropped_stay_open", parse_bool),
    "familyInfo.levelKind": ("level", lambda text: LEVELS.get(text, "none")),
    "familyInfo.backlog": ("backlog", float),
    "familyInfo.emptyFor": ("bare", micros),
    "familyInfo.classOwnZone": ("own_zone", parse_bools),
    "familyInfo.head": ("head", float),
    "familyInfo.intakePerS": ("intake_per_s", float),
    "familyInfo.transitMax": ("transit_most", micros),
    "familyInfo.pushDelay": ("transit", micros),
    "familyInfo.egressPerS": ("lines_per_s", float),
    "familyInfo.messagesMost": ("messages_most", int),
    "familyInfo.updateWindow": ("messages_window", micros),
    "familyInfo.lineFee": ("price_order", float),
    "familyInfo.cycle": ("cycle", micros),
    "familyInfo.agents": ("proxies", int),
    "familyInfo.shards": ("slices", int),
    "familyInfo.standing": ("standing", int),
    "familyInfo.tryAims": ("try_aims", float),
    "familyInfo.defaultRetry": ("usual_tries", int),
    "familyInfo.failsToEject": ("fails_to_shun", int),
    "familyInfo.warmKeys": ("warm_keys", parse_bool),
}
OP_TYPE_FIELDS = {
    "name": ("name", str),
    "worth": ("earnings", float),
    "objective": ("target_latency", micros),
    "deadline": ("op_timeout", micros),
    "effect": ("effect", lambda text: EFFECTS.get(text, "once-only")),
    "dedupScope": ("scope", str),
    "keyTtl": ("window", micros),
    "lateWorth": ("late_part", float),
}

# Field of a server's load report, as named in the settings or by the protocol -> the module's name.
SERVER_LOAD_FIELDS = {
    **LOAD_FIELDS,
    "util": "busy",
    "queue": "waiting",
    "inflight": "holding",
    "latency_ms": "service",
    "qps": "acked_rate",
    "eps": "aborted_rate",
}


def load_from_pairs(pairs, known):
    """A load report from (name, value) pairs, with the names that `known` maps them to; None if it is empty.

    Unknown names are left out, and so are values that are not numbers from 0 to below 1e9. Milliseconds of
    "service" become microseconds."""
    load = {}
    for name, value in pairs:
        try:
            number = float(value)
        except (TypeError, ValueError):
            continue
        if name in known and 0 <= number < 1e9:
            load[known[name]] = number * (1000 if known[name] == "service" else 1)
    return load or None


def parse_load(text):
    """A load report from a server's own text, such as "inflight=7,util=0.61", or None."""
    return load_from_pairs(
        (pair.split("=", 1) for pair in text.strip().split(",") if "=" in pair), SERVER_LOAD_FIELDS
    )


def parse_site(fields):
    """The module's map of settings from the protocol's fields; unknown fields are skipped."""
    site = {"op_types": [{} for _ in range(int(fields.get("services.count", 0)))]}
    for path, text in fields.items():
        if path.startswith("services."):
            index, _, field = path.removeprefix("services.").partition(".")
            if field in OP_TYPE_FIELDS and int(index) < len(site["op_types"]):
                name, read = OP_TYPE_FIELDS[field]
                site["op_types"][int(index)][name] = read(text)
        elif path in SITE_FIELDS:
            name, read = SITE_FIELDS[path]
            site[name] = read(text)
    return site
