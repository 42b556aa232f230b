"""Settings of small deployments, in the form of the configuration file."""

import copy

# The example of the operators' wire page: one controller of two, 10 to 14 servers, about 10 proxies.
ROSTERS = {
    "balancers": 2,
    "me": 0,
    "az": "kariakoo",
    "areas": ["kariakoo", "mikocheni"],
    "kinds": ["std"],
    "step": 4.0,
    "discovery": "subscribe",
    "weights": "none",
    "worthBy": "request",
    "serviceType": "control",
    "allowed": {
        "connectTimeout": 250.0,
        "cpuUsPerS": 535519,
        "keepalive": 15000.0,
        "peers": True,
        "probes": True,
        "streamsPerConn": 32,
    },
    "report": {"fields": ["cpu", "waiting"], "via": "probe"},
    "guarantees": {
        "askWithin": 10000.0,
        "coldShare": 0.19,
        "drainGrace": 2400.0,
        "fall": 1500.0,
        "fallMultiple": 2.5,
        "rampTime": 18000.0,
    },
    "goal": {"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
    "penalties": {"crossZone": 0.01, "handshake": 0.02, "lateFail": 0.03, "probe": 0.02, "waste": 0.08},
    "familyInfo": {
        "agents": 10,
        "backlog": 2000.0,
        "classOwnZone": [False, False, False],
        "classWrites": [False, True, True],
        "connsLeast": 219.0,
        "cycle": 500.0,
        "defaultRetry": 1,
        "egressPerS": 1300.0,
        "emptyFor": 2500.0,
        "failsToEject": 3,
        "head": 4.0,
        "homedByZone": True,
        "intakePerS": 200.0,
        "lbMethod": "rotate",
        "levelKind": "per_second",
        "lineFee": 0.02,
        "messagesMost": 0,
        "park": 300.0,
        "pushDelay": 237.0,
        "shards": 0,
        "soleOwner": False,
        "standing": 6,
        "transitMax": 592.5,
        "tryAims": 0.8,
        "updateWindow": 10000.0,
        "warmKeys": False,
        "writeLife": 2520.0,
    },
    "services": [
        {
            "name": "roster-read",
            "worth": 2.0,
            "objective": 2000.0,
            "deadline": 5000.0,
            "effect": "read_like",
            "dedupScope": "all",
            "keyTtl": 5000.0,
            "lateWorth": 0.2,
        },
        {
            "name": "visit-checkin",
            "worth": 2.0,
            "objective": 1000.0,
            "deadline": 2500.0,
            "effect": "idempotency_key",
            "dedupScope": "all",
            "keyTtl": 2500.0,
            "lateWorth": 0.2,
        },
        {
            "name": "allowance-pay",
            "worth": 6.0,
            "objective": 1000.0,
            "deadline": 2500.0,
            "effect": "non_idempotent",
            "dedupScope": "all",
            "keyTtl": 5000.0,
            "lateWorth": 0.1,
        },
    ],
}


def changed(settings, **groups):
    """A copy of the settings in which single values, or values of a group, are replaced."""
    settings = copy.deepcopy(settings)
    for name, value in groups.items():
        if isinstance(value, dict):
            settings[name].update(value)
        else:
            settings[name] = value
    return settings
