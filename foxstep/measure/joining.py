"""`foxstep measure-joining`: CPU of a controller of the platform's to which most of a fleet comes at once.

Bytes go through the node's own connections, host and module; only the sockets are left out, and the clock
moves by the CPU time used, divided by the controller's part of a core, as on a small machine.
"""

import json
import time
from collections import defaultdict
from contextlib import contextmanager

import click

from foxstep.commands import logs
from foxstep.live.host import Host
from foxstep.node import config, messages, streams
from foxstep.node.streams import Acceptor, Connection

SECOND = 1_000_000
ZONES = ("east", "west")
SETTINGS = {
    "balancers": 5,
    "me": 0,
    "az": "east",
    "areas": list(ZONES),
    "kinds": ["large", "small"],
    "step": 4.0,
    "discovery": "subscribe",
    "weights": "none",
    "allowed": {"keepalive": 15000.0, "probes": False},
    "report": {"fields": ["cpu", "waiting"], "via": "probe"},
    "guarantees": {"askWithin": 6000.0, "coldShare": 0.2, "rampTime": 10000.0, "drainGrace": 1500.0},
    "familyInfo": {
        "levelKind": "per_second",
        "emptyFor": 2500.0,
        "head": 4.0,
        "transitMax": 500.0,
        "messagesMost": 0,
        "updateWindow": 10000.0,
        "cycle": 500.0,
        "shards": 0,
        "standing": 6,
        "defaultRetry": 1,
    },
    "services": [
        {"name": name, "worth": worth, "objective": 1000.0, "deadline": 2500.0, "effect": effect}
        for name, worth, effect in (
            ("read", 1.0, "read_like"),
            ("tell", 2.0, "idempotency_key"),
            ("pay", 4.0, "non_idempotent"),
        )
    ],
}


class Sink:
    """A transport whose reader takes all."""

    def __init__(self):
        self.bytes = self.writes = 0

    def set_write_buffer_limits(self, high):
        pass

    def write(self, data):
        self.bytes += len(data)
        self.writes += 1


class Counted:
    """CPU by what it went to; the inner of two is taken from the outer."""

    def __init__(self):
        self.spent, self.inner = defaultdict(float), [0.0]

    @contextmanager
    def of(self, name):
        self.inner.append(0.0)
        started = time.process_time()
        yield
        used = time.process_time() - started
        self.spent[name] += used - self.inner.pop()
        self.inner[-1] += used

    def wrap(self, name, call):
        def wrapped(*args):
            with self.of(name):
                return call(*args)

        return wrapped


class Clock:
    """Microseconds: what was skipped, and the CPU used, divided by the part of a core."""

    def __init__(self, part):
        self.part, self.skipped, self.started = part, SECOND, time.process_time()

    def __call__(self):
        return self.skipped + round((time.process_time() - self.started) * SECOND / self.part)


def site_for(proxies):
    family = {
        **SETTINGS["familyInfo"],
        "agents": proxies,
        "backlog": 22.0 * proxies,
        "egressPerS": 5.4 * proxies,
    }
    return config.site_from_settings({**SETTINGS, "familyInfo": family})


def run(proxies, servers, part, seconds=10):
    """One size: all proxies join within a second, then report for `seconds`. Figures as a plain map."""
    clock, counted = Clock(part), Counted()
    site = site_for(proxies)
    host = Host(site, 1, clock, clock)
    host.controller.next_order = counted.wrap("deciding", host.controller.next_order)
    host.book.close_batch = counted.wrap("composing", host.book.close_batch)
    host.channel.take = counted.wrap("channel", host.channel.take)
    host.channel.offer = counted.wrap("channel", host.channel.offer)
    host.channel.next_at = counted.wrap("channel", host.channel.next_at)
    acceptor = Acceptor(host, 2 * proxies, 192 << 20, lambda metrics: metrics)
    written, streams.messages.encode_update = (
        messages.encode_update,
        counted.wrap("encoding", messages.encode_update),
    )
    started, longest, last_at, tables = clock(), 0.0, 0, 0
    connections = [Connection(acceptor) for _ in range(proxies)]

    def say(connection, message):
        data = json.dumps(message).encode() + b"\n"
        acceptor.buffer[: len(data)] = data
        with counted.of("reading"):
            connection.buffer_updated(len(data))

    def turn():
        nonlocal longest
        began = time.process_time()
        with counted.of("turning"):
            host.turn()
        longest = max(longest, time.process_time() - began)

    try:
        host.listed(
            "whole", [(f"s-{k:04d}", ZONES[k % 2], "large", k // 8, "open", 1.0, 0) for k in range(servers)]
        )
        for node, connection in enumerate(connections):
            connection.transport = Sink()
            acceptor.connections[connection] = None
            say(
                connection,
                {"@type": "joined", "node": node, "locality": ZONES[node % 2], "w": 3.0, "cold": True},
            )
            if clock() - last_at > site["step"]:
                turn()
                last_at = clock()
        while not all(c.transport.writes for c in connections):
            turn()
            clock.skipped += min(max(host.next_at(clock()) - clock(), 500), site["step"])
        tables = (clock() - started) / SECOND
        joining, counted.spent = dict(counted.spent), defaultdict(float)
        joining_longest, longest = longest, 0.0
        began, until = time.process_time(), clock() + seconds * SECOND
        while clock() < until:
            for node, connection in enumerate(connections):
                for service in SETTINGS["services"]:
                    say(
                        connection,
                        {
                            "@type": "usage",
                            "node": node,
                            "route": service["name"],
                            "total": 1,
                            "errors": 0,
                            "interval": 500.0,
                        },
                    )
                if node % 64 == 0:
                    turn()
            clock.skipped += max(0, 500_000 - (clock() - started) % 500_000)
            turn()
        reports = time.process_time() - began
    finally:
        streams.messages.encode_update = written
    total = sum(joining.values())
    return {
        "proxies": proxies,
        "servers": servers,
        "cpu_a_proxy_ms": round(1000 * total / proxies, 3),
        "seconds_until_all_hold_a_table": round(tables, 2),
        "longest_turn_ms": round(1000 * joining_longest, 1),
        "joining_ms": {name: round(1000 * spent) for name, spent in joining.items()},
        "cpu_s_later": round(reports, 2),
        "longest_turn_later_ms": round(1000 * longest, 1),
        "later_ms": {name: round(1000 * spent) for name, spent in counted.spent.items()},
    }


def main(sizes, servers, part):
    logs.set_up("json", "error")
    for proxies in sizes:
        click.echo(json.dumps(run(proxies, servers, part)))
