"""`foxstep measure-joining`: CPU of a node of the operators' platform when most of a fleet joins at once.

The bytes pass through the node's own connections, host and decision module; only the sockets are replaced.
The clock advances by the CPU time used, divided by the controller's fraction of a core, as it would on a
small machine.
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

SECOND_US = 1_000_000
ZONES = ("east", "west")
# The settings of the node; `site_for` adds those that depend on the number of proxies.
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


class DiscardingTransport:
    """A transport that counts what is written and discards it."""

    def __init__(self):
        self.bytes = self.writes = 0

    def set_write_buffer_limits(self, high):
        pass

    def write(self, data):
        self.bytes += len(data)
        self.writes += 1


class CpuMeter:
    """CPU seconds by activity. The time of a nested activity does not count for the outer one."""

    def __init__(self):
        self.spent = defaultdict(float)
        self.nested = [0.0]

    @contextmanager
    def measure(self, name):
        self.nested.append(0.0)
        started = time.process_time()
        yield
        used = time.process_time() - started
        self.spent[name] += used - self.nested.pop()
        self.nested[-1] += used

    def wrap(self, name, call):
        def wrapped(*args):
            with self.measure(name):
                return call(*args)

        return wrapped


class Clock:
    """A clock in microseconds: skipped idle time, plus CPU time divided by the fraction of a core."""

    def __init__(self, core_fraction):
        self.core_fraction = core_fraction
        self.skipped = SECOND_US
        self.started = time.process_time()

    def __call__(self):
        return self.skipped + round((time.process_time() - self.started) * SECOND_US / self.core_fraction)


def site_for(proxies):
    """Returns the site for a fleet of `proxies` proxies."""
    family = {
        **SETTINGS["familyInfo"],
        "agents": proxies,
        "backlog": 22.0 * proxies,
        "egressPerS": 5.4 * proxies,
    }
    return config.site_from_settings({**SETTINGS, "familyInfo": family})


def run(proxies, servers, core_fraction, seconds=10):
    """Measures one size: all proxies join within a second, then report for `seconds`.

    Returns the figures as a plain map.
    """
    clock = Clock(core_fraction)
    meter = CpuMeter()
    site = site_for(proxies)
    host = Host(site, 1, clock, clock)
    host.controller.next_order = meter.wrap("deciding", host.controller.next_order)
    host.desired_state.close_batch = meter.wrap("composing", host.desired_state.close_batch)
    host.channel.take = meter.wrap("channel", host.channel.take)
    host.channel.offer = meter.wrap("channel", host.channel.offer)
    host.channel.next_at = meter.wrap("channel", host.channel.next_at)
    acceptor = Acceptor(host, 2 * proxies, 192 << 20, lambda metrics: metrics)
    original_encoder = messages.encode_update
    streams.messages.encode_update = meter.wrap("encoding", messages.encode_update)
    started = clock()
    longest_turn = 0.0
    last_turn_at = 0
    seconds_to_tables = 0
    connections = [Connection(acceptor) for _ in range(proxies)]

    def deliver(connection, message):
        data = json.dumps(message).encode() + b"\n"
        acceptor.buffer[: len(data)] = data
        with meter.measure("reading"):
            connection.buffer_updated(len(data))

    def run_turn():
        nonlocal longest_turn
        began = time.process_time()
        with meter.measure("turning"):
            host.turn()
        longest_turn = max(longest_turn, time.process_time() - began)

    try:
        host.listed(
            "whole", [(f"s-{k:04d}", ZONES[k % 2], "large", k // 8, "open", 1.0, 0) for k in range(servers)]
        )
        for node, connection in enumerate(connections):
            connection.transport = DiscardingTransport()
            acceptor.connections[connection] = None
            deliver(
                connection,
                {"@type": "joined", "node": node, "locality": ZONES[node % 2], "w": 3.0, "cold": True},
            )
            if clock() - last_turn_at > site["step"]:
                run_turn()
                last_turn_at = clock()
        while not all(c.transport.writes for c in connections):
            run_turn()
            clock.skipped += min(max(host.next_at(clock()) - clock(), 500), site["step"])
        seconds_to_tables = (clock() - started) / SECOND_US
        joining_spent = dict(meter.spent)
        meter.spent = defaultdict(float)
        joining_longest_turn, longest_turn = longest_turn, 0.0
        began = time.process_time()
        until = clock() + seconds * SECOND_US
        while clock() < until:
            for node, connection in enumerate(connections):
                for service in SETTINGS["services"]:
                    deliver(
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
                    run_turn()
            clock.skipped += max(0, 500_000 - (clock() - started) % 500_000)
            run_turn()
        reports_cpu = time.process_time() - began
    finally:
        streams.messages.encode_update = original_encoder
    total = sum(joining_spent.values())
    return {
        "proxies": proxies,
        "servers": servers,
        "cpu_a_proxy_ms": round(1000 * total / proxies, 3),
        "seconds_until_all_hold_a_table": round(seconds_to_tables, 2),
        "longest_turn_ms": round(1000 * joining_longest_turn, 1),
        "joining_ms": {name: round(1000 * spent) for name, spent in joining_spent.items()},
        "cpu_s_later": round(reports_cpu, 2),
        "longest_turn_later_ms": round(1000 * longest_turn, 1),
        "later_ms": {name: round(1000 * spent) for name, spent in meter.spent.items()},
    }


def main(sizes, servers, core_fraction):
    """Prints the figures of each number of proxies as a line of JSON."""
    logs.set_up("json", "error")
    for proxies in sizes:
        click.echo(json.dumps(run(proxies, servers, core_fraction)))
