"""`foxstep measure-sasp`: the codec, push latency, request rate and memory of the SASP service."""

import os
import subprocess
import sys
import tempfile
import time

import anyio
import click
from hdrh.histogram import HdrHistogram

from foxstep.measure.fleet import process_usage
from foxstep.sasp import wire
from foxstep.sasp.balancer import BalancerClient, member_of
from foxstep.sasp.wire import Group, Message, MessageType, Weight
from foxstep.site.load import EXAMPLES
from foxstep.standins.list_service import ListService
from foxstep.standins.ports import free_ports
from foxstep.standins.sasp_layout import MESSAGE

clock = time.monotonic


def time_per_call(function, *args, min_duration=0.3):
    """Microseconds per call, over calls that last at least `min_duration` seconds together."""
    count, began = 0, clock()
    while clock() - began < min_duration:
        function(*args)
        count += 1
    return (clock() - began) / count * 1e6


def measure_codec():
    """Prints the time to encode and decode messages of several sizes."""
    click.echo("codec, us a message (members):      10      100    1,000")
    rows = {"written": [], "read": [], "read by construct": []}
    for size in (10, 100, 1000):
        members = [member_of(f"10.0.{k >> 8}.{k & 255}:80") for k in range(size)]
        message = Message(
            MessageType.SEND_WEIGHTS,
            1,
            ((Group(b"lb", b"web"), tuple(Weight(member, 0, 9, 1000) for member in members)),),
        )
        data = wire.encode(message)
        rows["written"].append(time_per_call(wire.encode, message))
        rows["read"].append(time_per_call(wire.decode, data))
        rows["read by construct"].append(time_per_call(MESSAGE.parse, data))
    for name, figures in rows.items():
        click.echo(f"  {name:30}" + "".join(f"{figure:9,.0f}" for figure in figures))


class MeasuredBalancer(BalancerClient):
    """A balancer that records when it receives that the first server is withdrawn or back.

    `wanted` is the awaited state, True for back; `heard` is set when it arrives, at the time `at`.
    """

    def __init__(self, ident, address, servers):
        self.heard = anyio.Event()
        self.wanted = None
        self.server = servers[0]
        super().__init__(ident, address, {"web": servers}, on_weights=self.check_weight)

    def check_weight(self, group):
        weight, _ = self.weights[group].get(self.server, (None, 0))
        if self.wanted is not None and weight is not None and bool(weight) == self.wanted:
            self.at = clock()
            self.heard.set()


async def measure_size(balancers, members, rounds=10):
    """Measures push latency from a change of the list to each balancer, and the cost of a session.

    Returns one row of the printed table.
    """
    lists = ListService(lambda *_, **__: None, clock, 0)
    await lists.start()
    servers = [f"127.1.{k >> 8}.{k & 255}:80" for k in range(members)]
    for server in servers:
        lists.set(server, "east", "plain", "open", at_once=True)
    sasp = f"127.0.0.1:{free_ports(1)[0]}"
    with tempfile.TemporaryDirectory() as folder:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "foxstep",
                "--level",
                "error",
                "serve",
                os.path.join(EXAMPLES, "measured.jsonnet"),
                "--outside",
                "proxies=10",
                "--list",
                f"127.0.0.1:{lists.port}",
                "--sasp",
                sasp,
                "--state",
                folder,
            ],
            stdin=subprocess.DEVNULL,
        )
        try:
            return await measure_sessions(process, lists, sasp, servers, balancers, rounds)
        finally:
            process.terminate()
            process.wait()
            await lists.server.stop(None)


async def measure_sessions(process, lists, sasp, servers, balancers, rounds):
    drain_latency = HdrHistogram(1, 60_000_000, 3)
    return_latency = HdrHistogram(1, 60_000_000, 3)
    clients = []
    async with anyio.create_task_group() as group:
        group.start_soon(lists.run)
        await anyio.sleep(3)
        _, before = process_usage(process.pid)
        for k in range(balancers):
            clients.append(MeasuredBalancer(f"balancer-{k}", sasp, servers))
            group.start_soon(clients[-1].run)
        with anyio.fail_after(60):
            while not all(any(w for w, _ in b.weights.get("web", {}).values()) for b in clients):
                await anyio.sleep(0.1)
        _, after = process_usage(process.pid)
        for k in range(rounds):
            await anyio.sleep(1.2)
            for client in clients:
                client.heard = anyio.Event()
                client.wanted = bool(k % 2)
            lists.set(servers[0], "east", "plain", "open" if k % 2 else "draining", at_once=True)
            began = clock()
            with anyio.fail_after(30):
                for client in clients:
                    await client.heard.wait()
            for client in clients:
                (return_latency if k % 2 else drain_latency).record_value(
                    max(1, int((client.at - began) * 1e6))
                )
        cpu, _ = process_usage(process.pid)
        requests = 0
        began = clock()
        until = clock() + 2

        async def request_weights(client):
            nonlocal requests
            while clock() < until:
                await client.get_weights()
                requests += 1

        async with anyio.create_task_group() as requesting:
            for client in clients[:8]:
                requesting.start_soon(request_weights, client)
        took = clock() - began
        cpu_used = process_usage(process.pid)[0] - cpu
        group.cancel_scope.cancel()
    return (
        balancers,
        len(servers),
        *(drain_latency.get_value_at_percentile(p) / 1000 for p in (50, 99, 100)),
        return_latency.get_value_at_percentile(99) / 1000,
        (after - before) * 1024 / balancers,
        requests / took,
        requests / cpu_used if cpu_used else 0.0,
    )


def run(sizes):
    """Prints the codec's times, then one line per pair (balancers, members)."""
    measure_codec()
    click.echo(
        "balancers  members  drain push ms: p50     p99     max  back: p99  KiB a session"
        "   requests/s  per CPU s"
    )
    for balancers, members in sizes:
        figures = anyio.run(measure_size, balancers, members)
        template = "{:9d} {:8d} {:18.1f} {:7.1f} {:7.1f} {:10.1f} {:14.0f} {:12,.0f} {:8,.0f}"
        click.echo(template.format(*figures))
