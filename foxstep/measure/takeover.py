"""`foxstep measure-takeover`: how long proxies have no owner when their controller dies or is suspended.

A pair of controllers is compared with a single controller that is restarted at once.
"""

import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import anyio
import click

from foxstep.commands import logs
from foxstep.measure.fleet import process_usage
from foxstep.proxy.program import Proxy
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES
from foxstep.standins.list_service import ListService
from foxstep.standins.ports import free_ports

clock = time.monotonic
SITE = os.path.join(EXAMPLES, "crowd.jsonnet")
PROXIES_PER_PROCESS = 50
SERVERS = 40


async def run_proxies(settings):
    """Runs the streams of many proxies in this process.

    Prints a line of JSON, [index, time, epoch], each time that a proxy holds a table of another epoch.
    """
    site = read_site(SITE, proxies=settings["proxies"])
    op_types = [{"name": o.name, "method": o.method} for o in site.op_types]
    async with anyio.create_task_group() as group:
        proxies = {}
        for k in range(settings["first"], settings["first"] + settings["count"]):
            zone = site.zones[k % len(site.zones)]
            addresses = (
                settings["controllers"][k % len(site.zones) :]
                + settings["controllers"][: k % len(site.zones)]
            )
            proxies[k] = Proxy(
                f"proxy-{k}",
                zone,
                site.settings_map(),
                site.name,
                op_types,
                addresses,
                settings["standing"],
                clock,
                5.0,
            )
            group.start_soon(proxies[k].control.run)
        epochs = dict.fromkeys(proxies, 0)
        while True:
            for k, proxy in proxies.items():
                if proxy.table.epoch != epochs[k]:
                    epochs[k] = proxy.table.epoch
                    print(json.dumps([k, clock(), epochs[k]]), flush=True)
            await anyio.sleep(0.01)


class TakeoverRun:
    """One measurement with a `pair` of controllers or a single one, which fails by a signal.

    `how` is "kill" or "stop" (suspend). `held` maps each proxy to the [(time, epoch)] of its tables.
    """

    def __init__(self, proxies, pair, how):
        self.proxies = proxies
        self.pair = pair
        self.how = how
        self.site = read_site(SITE, proxies=proxies)
        self.held = {}
        self.processes = []

    async def read_epochs(self, process):
        partial_line = b""
        async for chunk in process.stdout:
            *lines, partial_line = (partial_line + chunk).split(b"\n")
            for line in lines:
                k, at, epoch = json.loads(line)
                self.held.setdefault(k, []).append((at, epoch))

    def start_controller(self, k):
        command = [
            sys.executable,
            "-m",
            "foxstep",
            "--log",
            "json",
            "--level",
            "warning",
            "serve",
            SITE,
            "--outside",
            f"proxies={self.proxies}",
            "--listen",
            f"127.0.0.1:{self.ports[k]}",
            "--list",
            f"127.0.0.1:{self.lists.port}",
            "--me",
            str(k),
            "--zone",
            self.site.zones[k],
            "--state",
            os.path.join(self.folder, str(k)),
        ]
        if self.pair:
            other = 1 - k
            command += [
                "--notes",
                f"127.0.0.1:{self.notes[k]}",
                "--peer",
                f"{other}=127.0.0.1:{self.notes[other]},127.0.0.1:{self.ports[other]},"
                f"{self.site.zones[other]}",
            ]
        return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=self.log)

    async def run(self):
        """Starts the fleet, ends the first controller and returns the figures."""
        self.lists = ListService(lambda *_, **__: None, clock, 0.0)
        await self.lists.start()
        idents = [f"127.0.1.1:{7000 + k}" for k in range(SERVERS)]
        for k, ident in enumerate(idents):
            self.lists.set(ident, self.site.zones[k % 2], "plain", "open", at_once=True)
        self.ports = free_ports(2)
        self.notes = free_ports(2, socket.SOCK_DGRAM)
        with tempfile.TemporaryDirectory() as self.folder, tempfile.TemporaryFile() as self.log:
            controllers = [self.start_controller(k) for k in range(1 + self.pair)]
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.lists.run)
                    await anyio.sleep(2.0)
                    await self.start_proxies(group, idents)
                    with anyio.fail_after(120):
                        while len(self.held) < self.proxies:
                            await anyio.sleep(0.05)
                    # Until proxies are with their preferred controllers, and these know all tables.
                    await anyio.sleep(8.0)
                    figures = await self.measure_gaps(controllers)
                    group.cancel_scope.cancel()
            finally:
                with anyio.CancelScope(shield=True):
                    for controller in controllers:
                        controller.send_signal(signal.SIGCONT)
                        controller.kill()
                        controller.wait()
                    for process in self.processes:
                        process.kill()
                        await process.wait()
                    await self.lists.server.stop(None)
        return figures

    async def start_proxies(self, group, idents):
        addresses = [f"127.0.0.1:{port}" for port in self.ports[: 1 + self.pair]]
        for first in range(0, self.proxies, PROXIES_PER_PROCESS):
            process = await anyio.open_process(
                [sys.executable, "-m", "foxstep.measure.takeover"], stderr=subprocess.DEVNULL
            )
            self.processes.append(process)
            settings = {
                "first": first,
                "count": min(PROXIES_PER_PROCESS, self.proxies - first),
                "proxies": self.proxies,
                "controllers": addresses,
                "standing": idents[: self.site.proxies.standing],
            }
            await process.stdin.send(json.dumps(settings).encode() + b"\n")
            group.start_soon(self.read_epochs, process)

    async def measure_gaps(self, controllers):
        """Ends the first controller and waits until each of its proxies has a table of another epoch."""
        orphaned = [k for k, held in self.held.items() if held[-1][1] % 64 == 0]
        at = clock()
        cpu, _ = process_usage(controllers[-1].pid)
        controllers[0].send_signal(signal.SIGKILL if self.how == "kill" else signal.SIGSTOP)
        if not self.pair:
            controllers[0].wait()
            controllers[0] = self.start_controller(0)

        def gap(k):
            return next((t - at for t, _ in self.held[k] if t > at), None)

        with anyio.move_on_after(60):
            while any(gap(k) is None for k in orphaned):
                await anyio.sleep(0.02)
        gaps = sorted(60.0 if gap(k) is None else gap(k) for k in orphaned)
        grace = self.site.rules.grace / 1e6
        lines = self.site.proxies.standing + self.site.channel.head + 1
        # The same bound as `Audit.owner_bound`: silence, one failed dial, the next dial, then whole tables.
        bound = 7 / 8 * grace + 0.4 + len(orphaned) * lines / self.site.channel.lines_per_s
        return {
            "moved": len(orphaned),
            "p50": statistics.median(gaps),
            "p99": gaps[int(len(gaps) * 0.99)],
            "last": gaps[-1],
            "bound": bound if self.pair else float("nan"),
            "cpu": process_usage(controllers[-1].pid)[0] - (cpu if self.pair else 0.0),
        }


def run(sizes):
    """Prints a line for each number of proxies and kind of failure."""
    click.echo("| proxies | controllers | failure | moved | p50 s | p99 s | last s | bound s | CPU s |")
    click.echo("|" + " --- |" * 9)
    for size in sizes:
        for pair, how in ((True, "kill"), (True, "stop"), (False, "kill")):
            f = anyio.run(TakeoverRun(size, pair, how).run)
            click.echo(
                f"| {size} | {1 + pair} | {how} | {f['moved']} | {f['p50']:.2f} | {f['p99']:.2f} | "
                f"{f['last']:.2f} | {f['bound']:.2f} | {f['cpu']:.2f} |"
            )


if __name__ == "__main__":
    logs.set_up("json", "error")
    anyio.run(run_proxies, json.loads(sys.stdin.readline()))
