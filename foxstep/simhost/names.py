"""The wire's names and units beside ours. Times on the wire are milliseconds, ours are whole microseconds."""


def micros(text):
    return round(float(text) * 1000)


def yes(text):
    return text in ("true", "1")


def words(text):
    return text.split(",") if text else []


def flags(text):
    return [yes(part) for part in words(text)]


EFFECTS = {"read_like": "retryable", "idempotency_key": "deduplicated", "non_idempotent": "once-only"}
LEVELS = {"fraction": "share", "per_second": "rate", "none": "none"}
LOADS = {
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

# wire path -> our name in the map of what is told at the start, and how its text is read
SITE = {
    "balancers": ("controllers", int),
    "me": ("me", int),
    "az": ("zone", str),
    "areas": ("zones", words),
    "kinds": ("kinds", words),
    "discovery": ("list_asked", lambda text: text == "subscribe"),
    "weights": ("listed_weights", str),
    "step": ("step", micros),
    "allowed.keepalive": ("keepalive", micros),
    "allowed.probes": ("probes", yes),
    "allowed.peers": ("peers", yes),
    "report.fields": ("reports", lambda text: [LOADS.get(word, word) for word in words(text)]),
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
    "guarantees.droppedStayOpen": ("dropped_stay_open", yes),
    "familyInfo.levelKind": ("level", lambda text: LEVELS.get(text, "none")),
    "familyInfo.backlog": ("backlog", float),
    "familyInfo.emptyFor": ("bare", micros),
    "familyInfo.classOwnZone": ("own_zone", flags),
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
    "familyInfo.warmKeys": ("warm_keys", yes),
}
OP_TYPE = {
    "name": ("name", str),
    "worth": ("earnings", float),
    "objective": ("target_latency", micros),
    "deadline": ("op_timeout", micros),
    "effect": ("effect", lambda text: EFFECTS.get(text, "once-only")),
    "dedupScope": ("scope", str),
    "keyTtl": ("window", micros),
    "lateWorth": ("late_part", float),
}


# What servers write of themselves, in the words of the settings or of the protocol's page -> our names.
PROBED = {
    **LOADS,
    "util": "busy",
    "queue": "waiting",
    "inflight": "holding",
    "latency_ms": "service",
    "qps": "acked_rate",
    "eps": "aborted_rate",
}


def report_of(pairs, known):
    """A load report by our names, from (name, value) pairs; what we have no name for, or is no number of
    this world, is left out. None where nothing is left."""
    load = {}
    for name, value in pairs:
        try:
            number = float(value)
        except (TypeError, ValueError):
            continue
        if name in known and 0 <= number < 1e9:
            load[known[name]] = number * (1000 if known[name] == "service" else 1)
    return load or None


def load_of(text):
    """The same from a server's own text, as in "inflight=7,util=0.61"."""
    return report_of((pair.split("=", 1) for pair in text.strip().split(",") if "=" in pair), PROBED)


def site_of(pairs):
    """The map that the module gets, from the wire's pairs; pairs that we have no name for are skipped."""
    site = {"op_types": [{} for _ in range(int(pairs.get("services.count", 0)))]}
    for path, text in pairs.items():
        if path.startswith("services."):
            place, _, field = path.removeprefix("services.").partition(".")
            if field in OP_TYPE and int(place) < len(site["op_types"]):
                name, read = OP_TYPE[field]
                site["op_types"][int(place)][name] = read(text)
        elif path in SITE:
            name, read = SITE[path]
            site[name] = read(text)
    return site
