"""Runs a drill day against the live program and records what crosses the sockets.

Stand-in servers, the list service, the recording relays and the scripted proxies run in this process.
Controllers, stock clients and reporters are processes of their own.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress

import anyio
import click
import grpc

from foxstep.drills.record import Record
from foxstep.operate.service import INSPECT_METHOD, TABLE_METHODS, call_controller
from foxstep.proxy.program import Proxy
from foxstep.standins.balancer import AdvisedClient
from foxstep.standins.client import ProxyClient
from foxstep.standins.list_service import ListService
from foxstep.standins.ports import free_ports, wait_until_listening
from foxstep.standins.sasp_relay import SaspRelay
from foxstep.standins.server import Server
from foxstep.standins.stream_relay import StreamRelay
from foxstep.standins.udp_relay import UdpRelay

clock = time.monotonic
KEEPALIVES_PER_GRACE = 8  # how often a relay probes its controller, to notice one that is suspended
REPORTERS_PER_PROCESS = 50
CONTROLLER_START_TIMEOUT_S = 30.0
SETTLE_TIME_S = 3.0  # time that controllers and clients get before the day begins
STOP_TIMEOUT_S = 2.0


class Player:
    """One run of a day.

    `disabled_guards` names the guards that are switched off in the program, `decider` its decision module:
    "balance", or "even" for the baseline. `folder` gets the record and the logs; `echo` prints a line of
    progress.
    """

    def __init__(
        self, day, site, site_path, folder, disabled_guards=(), decider="balance", seed=1, echo=click.echo
    ):
        self.day = day
        self.site = site.settings_map()
        self.site_path = site_path
        self.folder = folder
        # The proxy itself also never repeats a once-only op, so without the guard its settings make all ops
        # retryable.
        override = {"effect": "retryable"} if "twice" in disabled_guards else {}
        self.proxy_site = {**self.site, "op_types": [{**o, **override} for o in self.site["op_types"]]}
        self.op_types = [{"name": o.name, "method": o.method} for o in site.op_types]
        self.site_name = site.name
        self.disabled_guards = disabled_guards
        self.decider = decider
        self.echo = echo
        self.random = random.Random(seed)
        self.seed = seed
        self.record = Record(clock)
        rules = site.rules
        self.cold_start = (rules.cold_share, rules.ramp / 1e6, rules.fall_multiple, rules.fall / 1e6)
        self.zones = [*site.zones]
        self.kind = (site.kinds or [""])[0]
        self.servers = []
        self.selection_turn = 0
        self.created_servers = 0
        self.proxies = []
        self.stock_processes = {}
        self.traffic_factor = 1.0
        self.client_factors = {}
        self.zone_of_client = {f"proxy-{k}": self.zones[k % len(self.zones)] for k in range(day.proxies)}
        self.zone_of_client |= {f"stock-{k}": self.zones[k % len(self.zones)] for k in range(day.stock)}
        self.balancers = []
        self.group = None
        self.reporter_processes = []
        self.reporter_totals = {}
        self.sasp_port, *self.ports = free_ports(1 + day.controllers)
        self.note_ports = free_ports(day.controllers, socket.SOCK_DGRAM)
        self.note_relay = UdpRelay(self.note_ports)
        self.controllers = [None] * day.controllers
        self.relays = []
        self.controller_log = None
        self.controller_failures = 0

    # -- servers, controllers and stock clients

    async def new_server(self, zone, cold=True):
        self.created_servers += 1
        work = dict.fromkeys((o["name"] for o in self.site["op_types"]), self.day.work)
        server = Server(
            f"s{self.created_servers}",
            zone,
            self.day.cores,
            work,
            self.cold_start,
            self.record,
            clock,
            self.seed * 1000 + self.created_servers,
            self.day.queue,
        )
        # The list service knows which processes run: a server that crashes under overload leaves the list and
        # isn't restarted.
        server.on_fall = lambda crashed: self.lists.set(crashed.ident, crashed.zone, self.kind, "gone")
        await server.start(cold)
        self.servers.append(server)
        return server

    def list_open(self, server, at_once=False):
        """Lists a server as open and adds it to the groups of balancers that do not have it."""
        self.lists.set(server.ident, server.zone, self.kind, "open", server.started, at_once)
        for balancer in self.balancers:
            if server.ident not in balancer.balancer.groups[self.op_types[0]["name"]]:
                self.group.start_soon(balancer.balancer.add, server.ident)

    def start_controller(self, k=0):
        command = [
            sys.executable,
            "-m",
            "foxstep",
            "--log",
            "json",
            "--level",
            os.environ.get("FOXSTEP_DRILL_LEVEL", "info"),
            "serve",
            self.site_path,
            "--listen",
            f"127.0.0.1:{self.ports[k]}",
            "--list",
            f"127.0.0.1:{self.lists.port}",
            "--state",
            self.state_folder(k),
            "--seed",
            str(self.seed + k),
            "--decider",
            self.decider,
        ]
        if k == 0:
            command += ["--sasp", f"127.0.0.1:{self.sasp_port}"]
        for name, value in self.day.outside.items():
            command += ["--outside", f"{name}={value}"]
        for guard in self.disabled_guards:
            command += ["--off", guard]
        if len(self.ports) > 1:
            command += [
                "--me",
                str(k),
                "--zone",
                self.zone_of(k),
                "--lose",
                str(self.day.lose),
                "--notes",
                f"127.0.0.1:{self.note_ports[k]}",
            ]
            for other, relay in enumerate(self.relays):
                if other != k:
                    command += [
                        "--peer",
                        f"{other}={self.note_relay.address(k, other)},127.0.0.1:{relay.port},"
                        f"{self.zone_of(other)}",
                    ]
        self.controllers[k] = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=self.controller_log
        )

    def zone_of(self, k):
        return self.zones[k % len(self.zones)]

    def stock_settings(self, k):
        return {
            "controller": f"127.0.0.1:{self.relays[k % len(self.relays)].port}",
            "node": f"stock-{k}",
            "zone": self.zones[k % len(self.zones)],
            "rate": self.day.stock_rate,
            "seed": self.seed * 100 + k,
            "mix": self.day.mix,
            "target": self.site_name,
            "service": "foxstep.Ops",
            "seconds": self.day.seconds + SETTLE_TIME_S + 60,
            "timeouts": {o["name"]: o["op_timeout"] / 1e6 for o in self.site["op_types"]},
        }

    async def run_stock_client(self, k):
        """Runs one stock client in a process of its own, and records the outcomes that it prints."""
        settings = self.stock_settings(k)
        with open(os.path.join(self.folder, f"stock-{k}.log"), "w") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "foxstep.standins.stock_client"], stderr=errors
            )
            self.stock_processes[settings["node"]] = process
            try:
                await process.stdin.send(json.dumps(settings).encode() + b"\n")
                partial_line = b""
                async for chunk in process.stdout:
                    *lines, partial_line = (partial_line + chunk).split(b"\n")
                    for line in lines:
                        result = json.loads(line)
                        outcome = "rejected" if "configured drop" in result["outcome"] else result["outcome"]
                        self.record(
                            "op",
                            proxy=settings["node"],
                            op=result["op"],
                            op_type=result["op_type"],
                            began=result["t"],
                            outcome=outcome,
                            took=result["took"],
                            tries=-1,
                            again="",
                        )
            finally:
                with suppress(ProcessLookupError):
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.wait()

    async def send_stock_rates(self):
        for ident, process in self.stock_processes.items():
            rate = self.day.stock_rate * self.traffic_factor * self.client_factors.get(ident, 1.0)
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await process.stdin.send(json.dumps({"rate": rate}).encode() + b"\n")

    # -- reporters

    async def run_reporters(self, k):
        """Runs one process of reporters and keeps the newest of the totals that it prints."""
        count = min(REPORTERS_PER_PROCESS, self.day.reporters - k * REPORTERS_PER_PROCESS)
        settings = {
            "first": k * REPORTERS_PER_PROCESS,
            "count": count,
            "site": self.site_name,
            "zones": self.zones,
            "mix": self.day.mix,
            "rate": self.day.reporter_rate,
            "tables": f"127.0.0.1:{self.relays[0].port}",
            "reports": f"127.0.0.1:{self.ports[0]}",
        }
        with open(os.path.join(self.folder, f"reporters-{k}.log"), "w") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "foxstep.standins.reporter"], stderr=errors
            )
            self.reporter_processes.append(process)
            try:
                await process.stdin.send(json.dumps(settings).encode() + b"\n")
                partial_line = b""
                async for chunk in process.stdout:
                    *lines, partial_line = (partial_line + chunk).split(b"\n")
                    if lines:
                        self.reporter_totals[k] = json.loads(lines[-1])
            finally:
                with suppress(ProcessLookupError):
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.wait()

    async def configure_reporters(self, **changes):
        for process in self.reporter_processes:
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await process.stdin.send(json.dumps(changes).encode() + b"\n")

    async def record_estimates(self):
        """Records twice a second what the reporters did so far and what the controller estimates."""
        while True:
            await anyio.sleep(0.5)
            all_totals = list(self.reporter_totals.values())
            sums = Counter(), Counter()
            for totals in all_totals:
                for server, (acked, took) in totals["servers"].items():
                    sums[0][server] += acked
                    sums[1][server] += took
            self.record(
                "truth",
                ops=float(sum(totals["ops"] for totals in all_totals)),
                acked=float(sum(totals["acked"] for totals in all_totals)),
                servers=list(sums[0]),
                counts=[float(n) for n in sums[0].values()],
                times=[sums[1][s] for s in sums[0]],
            )
            with suppress(grpc.RpcError):
                state = await call_controller(
                    f"127.0.0.1:{self.ports[0]}", INSPECT_METHOD, {"brief": True}, timeout_s=2.0
                )
                estimates = state["estimates"]
                intake = state["intake"]
                self.record(
                    "estimate",
                    demand=sum(estimates["demand"].values()),
                    acked=estimates["acked"],
                    latency=estimates["latency_ms"] / 1000,
                    capacity=state["capacity"] or 0.0,
                    asked=intake["asked_ms"] / 1000,
                    use=intake["use"],
                    step=intake["step"],
                    lag=state["lag_ms"],
                )

    async def do_pause(self, seconds):
        await self.configure_reporters(paused=True)
        await anyio.sleep(seconds)
        await self.configure_reporters(paused=False)
        self.record("event", what="reports arrive again")

    async def do_flood(self, factor, seconds):
        await self.configure_reporters(flood=factor)
        await anyio.sleep(seconds)
        await self.configure_reporters(flood=1)

    def rate_now(self, proxy):
        base_rate = self.day.balancer_rate if proxy in self.balancers else self.day.proxy_rate
        return base_rate * self.traffic_factor * self.client_factors.get(proxy.ident, 1.0)

    def select_servers(self, n):
        """Returns up to `n` servers that are up and listed as open; each call begins with the next one."""
        listed = {ident for ident, (_, _, state, _) in self.lists.entries.items() if state == "open"}
        up = [s for s in self.servers if s.state == "up" and not s.silent and s.ident in listed]
        n = min(int(n), len(up))
        selected = [up[(self.selection_turn + k * max(1, len(up) // max(n, 1))) % len(up)] for k in range(n)]
        self.selection_turn += 1
        return list(dict.fromkeys(selected))

    def select_clients(self, n):
        """Returns the names of `n` clients, spread evenly over proxies, balancers and stock clients."""
        clients = [*(p.ident for p in [*self.proxies, *self.balancers]), *self.stock_processes]
        step = max(1, len(clients) // max(int(n), 1))
        return clients[::step][: int(n)]

    # -- the run

    async def run(self):
        """Runs the day and writes the record to the folder."""
        os.makedirs(self.folder, exist_ok=True)
        with suppress(FileNotFoundError):
            os.remove(os.path.join(self.folder, "controller.log"))
        for k in range(self.day.controllers):
            for old_file in ("tables.db", "tables.db-wal", "tables.db-shm", "tables.db.former"):
                with suppress(FileNotFoundError):
                    os.remove(os.path.join(self.state_folder(k), old_file))
        self.lists = ListService(self.record, clock, self.day.lag)
        await self.lists.start()
        for k, port in enumerate(self.ports):
            # The relay must notice a suspended controller as early as the proxies would.
            self.relays.append(
                StreamRelay(
                    self.record, f"127.0.0.1:{port}", k, self.site["grace"] // KEEPALIVES_PER_GRACE // 1000
                )
            )
            await self.relays[k].start()
        for k in range(self.day.servers):
            self.list_open(await self.new_server(self.zones[k % len(self.zones)], cold=False), at_once=True)
        self.controller_log = open(os.path.join(self.folder, "controller.log"), "ab")
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                self.sasp_relay = SaspRelay(self.record, self.sasp_port)
                group.start_soon(self.lists.run)
                await group.start(self.sasp_relay.run)
                await group.start(self.note_relay.run)
                for k in range(self.day.controllers):
                    self.start_controller(k)
                await anyio.sleep(SETTLE_TIME_S / 2)
                await self.wait_for_controllers()
                await self.start_clients(group)
                await anyio.sleep(SETTLE_TIME_S)
                if any(c.poll() is not None for c in self.controllers):
                    self.report_failed_start()
                self.record_places()
                self.began = clock()
                self.record("event", what="the day begins")
                for at, verb, arguments in self.day.events:
                    await anyio.sleep(max(0.0, self.began + at - clock()))
                    text = " ".join(f"{a:g}" if isinstance(a, float) else a for a in arguments)
                    self.record("event", what=f"{verb} {text}")
                    self.echo(f"  {at:6.1f} s  {verb} {text}")
                    group.start_soon(getattr(self, f"do_{verb}"), *arguments)
                await anyio.sleep(max(0.0, self.began + self.day.seconds - clock()))
                self.record("event", what="the day ends")
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.stop()
        self.record.write(self.folder)

    async def wait_for_controllers(self):
        """Waits until all controllers accept connections: clients that come earlier go to another one."""
        try:
            for port in self.ports:
                await wait_until_listening(port, CONTROLLER_START_TIMEOUT_S)
        except TimeoutError:
            self.report_failed_start()

    def report_failed_start(self):
        """Raises a ClickException that names the controllers' log."""
        raise click.ClickException(f"a controller did not start: {self.folder}/controller.log")

    def record_places(self):
        """Records the zones of controllers and clients, and copies the controllers' stores for `do_old`."""
        for k in range(len(self.ports)):
            self.record("place", what="controller", name=str(k), zone=self.zone_of(k))
            state = self.state_folder(k)
            shutil.copytree(state, f"{state}-old", dirs_exist_ok=True)
        for ident, zone in self.zone_of_client.items():
            self.record(
                "place", what="stock" if ident in self.stock_processes else "proxy", name=ident, zone=zone
            )
        self.record("event", what=f"lose {self.day.lose:g}")

    def state_folder(self, k):
        return os.path.join(self.folder, f"state-{k}")

    def try_recorder(self, ident):
        """Returns a callback for a proxy that records each of its tries."""

        def record_try(kind, server, op, op_type):
            self.record(kind, proxy=ident, server=server, op=str(op.stream_id), op_type=op_type, turn=0)

        return record_try

    async def run_proxy(self, proxy, client, *, task_status):
        def started(port):
            client.dial(f"127.0.0.1:{port}")
            task_status.started()

        await proxy.run(started=started, drain=0.2)

    def controller_addresses(self, zone):
        """The controllers' addresses in the order of a proxy's preference: those of its own zone first."""
        order = sorted(range(len(self.relays)), key=lambda k: self.zone_of(k) != zone)
        return [f"127.0.0.1:{self.relays[k].port}" for k in order]

    async def start_clients(self, group):
        timeouts = {o["name"]: o["op_timeout"] / 1e6 for o in self.site["op_types"]}
        for k in range(self.day.proxies):
            zone = self.zones[k % len(self.zones)]
            zone_servers = [s.ident for s in self.servers if s.zone == zone]
            standing = self.random.sample(zone_servers, min(self.site["standing"], len(zone_servers)))
            ident = f"proxy-{k}"
            proxy = Proxy(
                ident,
                zone,
                self.proxy_site,
                self.site_name,
                self.op_types,
                self.controller_addresses(zone),
                standing,
                clock,
                self.day.proxy_rate,
                note=self.try_recorder(ident),
            )
            client = ProxyClient(ident, timeouts, self.record, clock, self.seed * 10_000 + k)
            self.proxies.append(client)
            self.record("standing", proxy=ident, servers=standing)
            await group.start(self.run_proxy, proxy, client)
            group.start_soon(client.drive, self.day.mix, self.rate_now)
        for k in range(-(-self.day.reporters // REPORTERS_PER_PROCESS)):
            group.start_soon(self.run_reporters, k)
            await anyio.sleep(SETTLE_TIME_S / 5)  # the processes start one after the other
        if self.day.reporters:
            group.start_soon(self.record_estimates)
        for k in range(self.day.stock):
            group.start_soon(self.run_stock_client, k)
        members = {o["name"]: [s.ident for s in self.servers] for o in self.site["op_types"]}
        for k in range(self.day.balancers):
            balancer = AdvisedClient(
                f"balancer-{k}",
                f"127.0.0.1:{self.sasp_relay.port}",
                members,
                timeouts,
                self.record,
                clock,
                self.seed * 20_000 + k,
            )
            self.balancers.append(balancer)
            self.record("standing", proxy=balancer.ident, servers=members[self.op_types[0]["name"]])
            group.start_soon(balancer.balancer.run)
            group.start_soon(balancer.drive, self.day.mix, self.rate_now)

    async def stop(self):
        running = [c for c in self.controllers if c]
        for controller in running:
            controller.send_signal(signal.SIGCONT)
            controller.terminate()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while any(c.poll() is None for c in running):
                await anyio.sleep(0.05)
        for controller in running:
            if controller.poll() is None:
                controller.kill()
                controller.wait()
        self.controller_log.close()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            for client in [*self.proxies, *self.balancers]:
                await client.close()
            for server in [
                self.lists.server,
                *(relay.server for relay in self.relays),
                *(s.server for s in self.servers),
            ]:
                await server.stop(None)
            for relay in self.relays:
                await relay.upstream.close()

    # -- events: a method `do_VERB` for each verb of `notation.EVENTS`, except the two of reporters above

    async def do_burst(self, factor, seconds):
        self.traffic_factor = factor
        await self.send_stock_rates()
        await self.configure_reporters(factor=factor)
        await anyio.sleep(seconds)
        self.traffic_factor = 1.0
        await self.send_stock_rates()
        await self.configure_reporters(factor=1.0)

    async def do_hot(self, factor, seconds):
        ident = self.select_clients(1)[0]
        self.client_factors[ident] = factor
        await self.send_stock_rates()
        await anyio.sleep(seconds)
        del self.client_factors[ident]
        await self.send_stock_rates()

    async def restart_server(self, server):
        await server.start()
        self.list_open(server)

    async def do_crash(self, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            await server.crash()
            self.lists.set(server.ident, server.zone, self.kind, "gone")
        await anyio.sleep(seconds)
        for server in affected:
            await self.restart_server(server)

    async def do_silence(self, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            server.silent = anyio.Event()
        await anyio.sleep(seconds)
        for server in affected:
            await server.crash()
            await self.restart_server(server)

    async def do_drain(self, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            self.lists.set(server.ident, server.zone, self.kind, "draining")
        await anyio.sleep(seconds)
        for server in affected:
            await server.crash()
            self.lists.set(server.ident, server.zone, self.kind, "gone")
        await anyio.sleep(1)
        for server in affected:
            await self.restart_server(server)

    async def do_deploy(self, n, batch, seconds):
        waiting = self.select_servers(n)
        while waiting:
            replaced, waiting = waiting[: int(batch)], waiting[int(batch) :]
            for server in replaced:
                self.lists.set(server.ident, server.zone, self.kind, "draining")
            successors = [await self.new_server(server.zone) for server in replaced]
            for server in successors:
                self.list_open(server)
            await anyio.sleep(seconds)
            for server in replaced:
                await server.crash()
                self.lists.set(server.ident, server.zone, self.kind, "gone")

    async def do_lag(self, lag, seconds):
        usual_lag, self.lists.lag = self.lists.lag, lag
        await anyio.sleep(seconds)
        self.lists.lag = usual_lag

    async def do_slow(self, factor, seconds):
        affected = list(self.servers)
        for server in affected:
            server.slowdown = factor
        await anyio.sleep(seconds)
        for server in affected:
            server.slowdown = 1.0

    async def do_cut(self, n, seconds):
        affected = self.select_clients(n)
        for ident in affected:
            for relay in self.relays:
                relay.cut_off(ident)
        await anyio.sleep(seconds)
        for relay in self.relays:
            relay.cut -= set(affected)

    async def do_rejoin(self, n):
        for ident in self.select_clients(n):
            for relay in self.relays:
                for stream_lost in relay.disconnects.get(ident, ()):
                    stream_lost.set()

    async def ask_operator(self, verb, **request):
        """Asks the operator service of the first controller, and retries while that is unavailable."""
        while True:
            try:
                return await call_controller(f"127.0.0.1:{self.ports[0]}", TABLE_METHODS[verb], request)
            except grpc.RpcError as error:
                if error.code() not in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
                    raise
                await anyio.sleep(0.2)

    def record_order(self, verb, answer):
        version = answer.get("version", "")
        bound = answer.get("bound_ms", 0) / 1000
        self.record("ordered", verb=verb, version=version, bound=bound)
        within = f", within {bound:.2f} s if nothing fails" if bound else ""
        self.echo(f"           {verb} {version}{within}")

    async def do_remember(self):
        versions = (await self.ask_operator("list", most=1))["versions"]
        self.remembered_version = versions[-1]["version"]
        self.record_order("remember", {"version": self.remembered_version})

    async def do_bad(self, n):
        lines = {s.ident: 1.0 for s in self.select_servers(n)}
        self.record_order("bad", await self.ask_operator("put", scope="fleet", lines=lines))

    async def do_rollback(self):
        self.record_order(
            "rollback", await self.ask_operator("rollback", scope="fleet", version=self.remembered_version)
        )

    async def do_unpin(self):
        self.record_order("unpin", await self.ask_operator("unpin", scope="fleet"))

    async def do_kill(self, seconds):
        k = self.next_controller()
        self.controllers[k].kill()
        self.controllers[k].wait()
        await anyio.sleep(seconds)
        self.start_controller(k)

    async def do_stop(self, seconds):
        k = self.next_controller()
        stopped = self.controllers[k]
        self.record("event", what=f"controller {k} stands still {seconds:g}")
        stopped.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        stopped.send_signal(signal.SIGCONT)

    async def do_old(self, seconds):
        k = self.next_controller()
        self.controllers[k].kill()
        self.controllers[k].wait()
        shutil.rmtree(self.state_folder(k))
        shutil.copytree(f"{self.state_folder(k)}-old", self.state_folder(k))
        await anyio.sleep(seconds)
        self.start_controller(k)

    async def cut_notes(self, directions, seconds):
        self.note_relay.cut |= directions
        await anyio.sleep(seconds)
        self.note_relay.cut -= directions
        self.record("event", what="notes arrive again")

    async def do_hush(self, seconds):
        await self.cut_notes(set(self.note_relay.sockets), seconds)

    async def do_deaf(self, n, seconds):
        await self.cut_notes({(a, b) for a, b in self.note_relay.sockets if b == int(n)}, seconds)

    async def do_isolate(self, zone, seconds):
        def is_separated(one, other):
            return (one == zone) != (other == zone)

        cut = [
            (relay, ident)
            for k, relay in enumerate(self.relays)
            for ident, client_zone in self.zone_of_client.items()
            if is_separated(self.zone_of(k), client_zone)
        ]
        for relay, ident in cut:
            relay.cut_off(ident)
        directions = {
            (a, b) for a, b in self.note_relay.sockets if is_separated(self.zone_of(a), self.zone_of(b))
        }
        await self.cut_notes(directions, seconds)
        for relay, ident in cut:
            relay.cut.discard(ident)

    def next_controller(self):
        self.controller_failures += 1
        return (self.controller_failures - 1) % len(self.controllers)

    async def do_fail(self, op_type, fraction, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            server.error_rates[op_type] = fraction
        await anyio.sleep(seconds)
        for server in affected:
            server.error_rates.pop(op_type, None)

    async def do_lose(self, fraction, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            server.answer_loss = fraction
        await anyio.sleep(seconds)
        for server in affected:
            server.answer_loss = 0.0

    async def do_refuse(self, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            server.relay.refuse_connections()
        await anyio.sleep(seconds)
        for server in affected:
            if server.state == "up":
                await server.relay.start(server.relay.inner_port)

    async def do_dear(self, delay, n, seconds):
        affected = self.select_servers(n)
        for server in affected:
            server.relay.accept_delay = delay
            # Resets open connections, so that they are opened again.
            for task in list(server.relay.connections):
                task.cancel()
        await anyio.sleep(seconds)
        for server in affected:
            server.relay.accept_delay = 0.0

    async def do_list(self, seconds):
        self.lists.broken = True
        self.lists.changed.set()
        self.lists.changed = anyio.Event()
        await anyio.sleep(seconds)
        self.lists.broken = False

    async def do_late(self, delay, seconds):
        affected = self.select_clients(10_000)
        for relay in self.relays:
            relay.late.update(dict.fromkeys(affected, delay))
        await anyio.sleep(seconds)
        for relay in self.relays:
            relay.late.clear()

    async def add_clients_for(self, client_sets, n, seconds):
        """Adds `n` clients to each of the sets, and removes them after `seconds`."""
        affected = set(self.select_clients(n))
        for clients in client_sets:
            clients |= affected
        await anyio.sleep(seconds)
        for clients in client_sets:
            clients -= affected

    async def do_mute(self, n, seconds):
        await self.add_clients_for([relay.mute for relay in self.relays], n, seconds)

    async def do_poison(self, n, seconds):
        await self.add_clients_for([relay.poison for relay in self.relays], n, seconds)
