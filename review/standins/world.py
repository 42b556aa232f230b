"""Stand-ins for the platform around one controller: discovery, servers, proxies and collectors.

They speak the operators' protocol on loopback sockets and use the real clock. The controller is the command
`run` of the deploy file, started as a process of its own. All that is sent, answered and run is recorded.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class Record:
    """The record of a run, one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115 - closed with the run
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def read_request(reader):
    """The path of one HTTP request, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    while (await reader.readline()).strip():
        pass
    return line.split()[1].decode()


def respond(writer, status, body=b""):
    reason = {200: "OK", 503: "Service Unavailable"}[status]
    writer.write(
        b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%b" % (status, reason.encode(), len(body), body)
    )


class Server:
    """A backend: serves ops on its cores, and probes beside the queue.

    `handshake` is the time in seconds that the first answer on a new connection takes longer. A cold server
    reaches its full speed `ramp` seconds after its start.
    """

    def __init__(self, world, name, zone, cores=2, started=0.0, ramp=0.0, cold=1.0):
        self.world, self.name, self.zone, self.cores = world, name, zone, cores
        self.started, self.ramp, self.cold = started, ramp, cold  # `started`: Unix time, 0 for long ago
        self.status = "active"
        self.slots = asyncio.Semaphore(cores)
        self.waiting = self.running = 0
        self.busy_time, self.busy_since = 0.0, 0.0
        self.busy_total = 0.0
        self.service_ms = 0.0  # recent service time without waiting
        self.reports = []  # (time, busy core-seconds so far)
        self.handshake = 0.0
        self.answering = asyncio.Event()  # unset while the machine is silent
        self.answering.set()
        self.ops = {}  # op type -> ops run
        self.writers = set()  # of the open connections

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def end(self):
        """The process ends: open connections are reset, new ones refused."""
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    def entry(self):
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "std",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": round(self.started * 1000),
        }

    def speed(self):
        age = time.time() - self.started
        return 1.0 if not self.started or age >= self.ramp else self.cold + (1 - self.cold) * age / self.ramp

    def account(self):
        now = time.monotonic()
        self.busy_total += self.running * (now - self.busy_since) if self.busy_since else 0.0
        self.busy_since = now

    def load(self):
        """The load report: busy fraction of the cores over about the last second, and waiting ops."""
        self.account()
        now = time.monotonic()
        self.reports.append((now, self.busy_total))
        while len(self.reports) > 2 and now - self.reports[1][0] > 1.0:
            self.reports.pop(0)
        (since, before), (until, after) = self.reports[0], self.reports[-1]
        util = (after - before) / max(until - since, 0.001) / self.cores if until > since else 0.0
        load = {
            "util": f"{min(util, 1.0):.2f}",
            "queue": self.waiting,
            "latency_ms": f"{self.service_ms:.0f}",
        }
        return ",".join(f"{name}={load[name]}" for name in self.world.load_names).encode()

    async def serve(self, reader, writer):
        lock = asyncio.Lock()
        fresh = bool(self.handshake)  # whether the connection was dialled while that takes long
        self.writers.add(writer)
        try:
            while path := await read_request(reader):
                if fresh and self.handshake:
                    await asyncio.sleep(self.handshake)
                fresh = False
                async with lock:
                    await self.answering.wait()
                    status, body = await self.answer(path)
                    await self.answering.wait()
                respond(writer, status, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled at the end of the run
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path):
        if path.startswith("/op/"):
            op_type = path.split("/")[2]
            self.waiting += 1
            async with self.slots:
                self.waiting -= 1
                self.account()
                self.running += 1
                seconds = self.world.work[op_type] / self.speed()
                await asyncio.sleep(seconds)
                self.service_ms += (seconds * 1000 - self.service_ms) / 8
                self.account()
                self.running -= 1
            self.ops[op_type] = self.ops.get(op_type, 0) + 1
            return 200, b"done"
        self.world.record("probe", server=self.name, path=path)
        return 200, self.load() if path == "/load" else b""


class Discovery:
    """The list of servers: whole, or what has changed after a version, with a watch that waits."""

    def __init__(self, world):
        self.world, self.index, self.changed_in = world, 1, {}
        self.heals = None  # set while the service is cut off: the event that ends it
        self.watch_called_at = self.watch_wait = None  # of the newest watch
        self.changed = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def whole(self):
        servers = [s.entry() for s in self.world.servers.values() if s.status != "left"]
        return {"index": self.index, "snapshot": True, "endpoints": servers}

    def change(self, *servers):
        """Publishes the present state of these servers as the next version."""
        self.index += 1
        self.changed_in.update((s.name, self.index) for s in servers)
        self.world.record("list", index=self.index, changed=",".join(f"{s.name}:{s.status}" for s in servers))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_off(self):
        """From now on nothing passes between the controller and this service; no connection notices."""
        self.heals = asyncio.Event()

    def heal(self):
        """Ends that: connections that were dialled meanwhile are reset, older ones stay silent."""
        self.heals.set()
        self.heals = None

    async def serve(self, reader, writer):
        try:
            if heals := self.heals:
                self.world.record("list-dialled", while_cut=True)
                await heals.wait()
                writer.transport.abort()
                return
            while path := await read_request(reader):
                called_at = time.monotonic()
                answer, wait = self.whole(), 0.0
                if "after=" in path:
                    query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
                    after, wait = int(query["after"]), min(float(query.get("wait_ms", 0)), 60_000) / 1000
                    self.watch_called_at, self.watch_wait = called_at, wait
                    if after == self.index:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), wait)
                    names = [name for name, index in self.changed_in.items() if index > after]
                    if after <= self.index:
                        entries = [self.world.servers[name].entry() for name in names]
                        answer = {"index": self.index, "snapshot": False, "endpoints": entries}
                entries = ",".join(e["name"] + ":" + e["status"] for e in answer["endpoints"]) or "-"
                if self.heals:
                    # What is lost on the way counts as told some time after the call all the same.
                    counts_at = called_at + (wait + 2.0 if wait else 6.0)
                    self.world.record("list-lost", index=answer["index"], entries=entries)
                    self.world.on_told(answer, counts_at)
                    await asyncio.sleep(3600)
                respond(writer, 200, json.dumps(answer).encode())
                await writer.drain()
                self.world.record("told", index=answer["index"], whole=answer["snapshot"], entries=entries)
                self.world.on_told(answer, time.monotonic())
        except (ConnectionError, asyncio.CancelledError):
            pass  # cancelled at the end of the run
        finally:
            writer.close()


class Proxy:
    """A plain proxy: follows its table, picks evenly by weight, keeps connections, reports its usage.

    A class in `own_zone` may go only to servers of the proxy's zone.
    """

    def __init__(self, world, number, zone, rate, seed):
        self.world, self.number, self.zone, self.rate = world, number, zone, rate
        self.random = random.Random(seed)
        self.tables = {name: {} for name in world.classes}  # class -> server -> weight
        self.levels = {}
        self.out = set()
        self.credit = {name: {} for name in world.classes}  # for the even pick by weight
        self.failures, self.shunned_until = {}, {}
        self.connections = {}  # server -> idle connections
        self.joined_at = None  # of the stream that is up
        self.ordered = False  # whether it holds a table that was ordered
        self.usage = {}
        self.counts = {"sent": 0, "acked": 0, "failed": 0, "refused": 0}
        self.tasks = set()

    def hold(self, servers):
        """Gives it its standing table."""
        for table in self.tables.values():
            table.update((s.name, 1.0) for s in servers)

    async def open_connections(self, servers, number):
        """Opens connections ahead. One of this stand-in carries a single op at a time, where the settings let
        `streamsPerConn` of them share one."""
        for server in servers:
            host, _, port = server.address.partition(":")
            idle = self.connections.setdefault(server.name, [])
            for _ in range(number):
                idle.append(await asyncio.open_connection(host, int(port)))

    def lines(self, op_type):
        """The lines that it may pick for an op type."""
        own = op_type in self.world.own_zone
        return {
            name: weight
            for name, weight in self.tables[op_type].items()
            if name not in self.out and not (own and self.world.servers[name].zone != self.zone)
        }

    def pick(self, op_type):
        lines = self.lines(op_type)
        now = time.monotonic()
        lines = {n: w for n, w in lines.items() if self.shunned_until.get(n, 0) < now} or lines
        if not lines:
            return None
        credit = self.credit[op_type]
        for name, weight in lines.items():
            credit[name] = credit.get(name, self.random.random()) + weight
        best = max(lines, key=lambda name: credit[name])
        credit[best] -= sum(lines.values())
        return best

    def rate_of(self, op_type):
        return self.rate * self.world.classes[op_type]

    # -- ops

    async def traffic(self):
        names = list(self.world.classes)
        shares = [self.world.classes[name] for name in names]
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate))
            task = asyncio.create_task(self.op(self.random.choices(names, shares)[0]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def op(self, op_type):
        usage = self.usage.setdefault(op_type, [0, 0])
        usage[0] += 1
        level = self.levels.get(op_type)
        if level is not None and self.random.random() > level / self.rate_of(op_type):
            self.counts["refused"] += 1
            return
        name = self.pick(op_type)
        if name is None:
            self.counts["refused"] += 1
            self.world.record("no-line", proxy=self.number, op_type=op_type)
            return
        self.counts["sent"] += 1
        began = time.monotonic()
        try:
            async with asyncio.timeout(self.world.op_timeout):
                await self.send(name, op_type)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.counts["failed"] += 1
            why = type(error).__name__
            self.world.record("failed", proxy=self.number, op_type=op_type, sent_to=name, why=why)
            usage[1] += 1
            self.failures[name] = self.failures.get(name, 0) + 1
            if self.failures[name] >= self.world.fails_to_shun:
                self.failures[name] = 0
                self.shunned_until[name] = time.monotonic() + self.random.uniform(2.1, 5.8)
            self.world.heard(self.zone, name, None)
            return
        self.counts["acked"] += 1
        self.failures[name] = 0
        self.world.heard(self.zone, name, time.monotonic() - began)

    async def send(self, name, op_type):
        """Sends one op on an idle connection, or on a new one."""
        self.world.on_send(self, name)
        server = self.world.servers[name]
        idle = self.connections.setdefault(name, [])
        if idle:
            reader, writer = idle.pop()
        else:
            # The set-up of a connection, which on a loopback address is part of the first answer, may take
            # as long as the settings say.
            if server.handshake > self.world.connect_timeout:
                await asyncio.sleep(self.world.connect_timeout)
                raise TimeoutError
            host, _, port = server.address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b"GET /op/%b HTTP/1.1\r\nHost: x\r\n\r\n" % op_type.encode())
            await writer.drain()
            status = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            await reader.readexactly(4)
            if status != b"200":
                raise ValueError(status)
        except BaseException:
            writer.close()
            raise
        idle.append((reader, writer))

    # -- the stream

    async def stream(self):
        """Keeps a stream to the controller, and dials again after a break."""
        host, _, port = self.world.listen.partition(":")
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 21)
                self.writer = writer
                self.write(
                    {
                        "@type": "joined",
                        "node": self.number,
                        "locality": self.zone,
                        "w": self.rate,
                        "cold": not self.ordered,
                    }
                )
                self.joined_at = time.monotonic()
                self.world.record("joined", proxy=self.number, zone=self.zone)
                parts = []
                while line := await reader.readline():
                    message = json.loads(line)
                    parts.append(message)
                    if not message.get("more"):
                        await asyncio.sleep(self.world.push_delay)
                        self.apply(parts)
                        parts = []
            except OSError:
                pass
            finally:
                if self.joined_at is not None:
                    self.world.record("left", proxy=self.number)
                self.joined_at = None
                if writer:
                    writer.close()
            await asyncio.sleep(self.random.uniform(0.6, 2.1))

    def write(self, message):
        self.writer.write(json.dumps(message).encode() + b"\n")

    def apply(self, parts):
        began = time.monotonic()
        for part in parts:
            classes = part.get("classes", list(self.tables))
            for op_type in classes:
                table = self.tables[op_type]
                if part.get("whole"):
                    table.clear()
                    self.levels.pop(op_type, None)
                for name, weight in part.get("lines", []):
                    if weight:
                        table[name] = weight
                    else:
                        table.pop(name, None)
                if "level" in part:
                    self.levels[op_type] = part["level"]
            self.out |= set(part.get("out", []))
            self.out -= set(part.get("back", []))
            if "ticket" in part:
                latency = (self.world.push_delay + time.monotonic() - began) * 1000
                self.write(
                    {
                        "@type": "applied",
                        "node": self.number,
                        "nonce": part["ticket"],
                        "latency": latency,
                    }
                )
        self.ordered = True
        held = set().union(*self.tables.values())
        for name in [n for n in self.connections if n not in held]:
            for _, writer in self.connections.pop(name):
                writer.close()
        lines = [line for part in parts for line in part.get("lines", [])]
        self.world.record(
            "applied",
            proxy=self.number,
            whole=any(p.get("whole") for p in parts),
            lines=",".join(f"{n}:{w}" for n, w in lines) or "-",
        )

    async def report(self):
        while True:
            await asyncio.sleep(self.world.cycle)
            usage, self.usage = self.usage, {}
            if self.joined_at is not None:
                for op_type, (total, errors) in usage.items():
                    self.write(
                        {
                            "@type": "usage",
                            "node": self.number,
                            "route": op_type,
                            "total": total,
                            "errors": errors,
                            "interval": self.world.cycle * 1000,
                        }
                    )


class World:
    """One controller and all that it talks to."""

    def __init__(self, folder, temporary, settings, classes, work):
        """`classes`: op type -> share of the ops; `work`: op type -> seconds on a core."""
        self.record = Record(folder / "record.txt")
        self.temporary, self.settings = Path(temporary), settings
        self.classes, self.work = classes, work
        info = settings["familyInfo"]
        names = [service["name"] for service in settings["services"]]
        self.own_zone = {n for n, own in zip(names, info["classOwnZone"], strict=True) if own}
        self.cycle = info["cycle"] / 1000
        words = {
            "cpu": "util",
            "waiting": "queue",
            "avg_ms": "latency_ms",
        }  # the platform's for the simulator's
        self.load_names = [words[field] for field in settings["report"]["fields"]]
        self.push_delay = info["pushDelay"] / 1000
        self.fails_to_shun = info["failsToEject"]
        self.connect_timeout = settings["allowed"]["connectTimeout"] / 1000
        self.op_timeout = min(service["deadline"] for service in settings["services"]) / 1000
        self.servers, self.proxies, self.tasks = {}, [], set()
        self.sums = {}  # (zone, server) -> [tries, errors, total time]
        self.spoil = lambda message: message  # changes a collector's report before it is sent
        self.controller = None
        self.crashed = None
        self.on_told = lambda answer, at: None  # what the controller was told, and from when that counts
        self.on_send = lambda proxy, server: None  # a proxy sends an op
        self.discovery = Discovery(self)
        self.listen = f"127.0.0.1:{free_port()}"

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heard(self, zone, server, seconds):
        """Counts one try; `seconds` is None if it failed."""
        sums = self.sums.setdefault((zone, server), [0, 0, 0.0])
        sums[0] += 1
        if seconds is None:
            sums[1] += 1
        else:
            sums[2] += seconds

    async def collector(self, zone, delay):
        """Forwards each cycle what the proxies of a zone met; connects after `delay` seconds."""
        await asyncio.sleep(delay)
        host, _, port = self.listen.partition(":")
        while True:
            writer = None
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(json.dumps({"@type": "collector", "locality": zone}).encode() + b"\n")
                for key in [key for key in self.sums if key[0] == zone]:
                    del self.sums[key]  # of the time before the first interval
                while not writer.is_closing():
                    await asyncio.sleep(self.cycle)
                    for key in [key for key in self.sums if key[0] == zone]:
                        total, errors, seconds = self.sums.pop(key)
                        message = {
                            "@type": "heard",
                            "locality": zone,
                            "endpoint": key[1],
                            "total": total,
                            "errors": errors,
                            "rtt": round(seconds / max(total - errors, 1) * 1000, 1),
                            "interval": self.cycle * 1000,
                        }
                        message = self.spoil(message)
                        writer.write(json.dumps(message).encode() + b"\n")
                    await writer.drain()
            except OSError:
                pass
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(0.5)

    # -- the controller

    def start_controller(self):
        """Starts the program with `run` of the deploy file, with the present list as its known one."""
        host, _, port = self.listen.partition(":")
        config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "peers_all": "",
            "known": self.discovery.whole(),
            "settings": self.settings,
        }
        path = self.temporary / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with open(self.temporary / "controller.log", "ab") as log:
            self.controller = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "ROUTER_NAME": "n0",
                    "ROUTER_LISTEN": self.listen,
                    "ROUTER_DISCOVERY": self.discovery.address,
                    "ROUTER_CONFIG": str(path),
                    "TMPDIR": str(self.temporary),
                },
            )
        self.record("controller-started", pid=self.controller.pid)

    async def controller_ready(self, within=15.0):
        """Waits until the controller answers `ping`. Returns whether it did."""
        host, _, port = self.listen.partition(":")
        until = time.monotonic() + within
        while time.monotonic() < until and self.controller.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'{"@type":"ping"}\n')
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b"pong" in answer:
                    self.record("controller-ready")
                    return True
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
        return False

    async def guard_controller(self):
        """Notes when the controller ends although nobody ended it."""
        controller = self.controller
        while controller.poll() is None:
            await asyncio.sleep(0.05)
        if self.controller is controller:
            self.crashed = controller.returncode
            log = (self.temporary / "controller.log").read_text(errors="replace").splitlines()
            self.record("controller-ended", status=controller.returncode)
            for line in log[-12:]:
                self.record("controller-log", text=line.strip().replace(str(ROOT) + "/", ""))

    def stop_controller(self, number=signal.SIGTERM):
        controller, self.controller = self.controller, None
        if controller and controller.poll() is None:
            controller.send_signal(number)
            try:
                controller.wait(3)
            except subprocess.TimeoutExpired:
                controller.kill()
                controller.wait()

    # -- the run

    async def start(self):
        for server in self.servers.values():
            await server.start()
        await self.discovery.start()
        for number, zone in enumerate(self.settings["areas"]):
            self.spawn(self.collector(zone, 0.3 * number))

    def start_proxy(self, proxy):
        self.proxies.append(proxy)
        for coroutine in (proxy.traffic(), proxy.stream(), proxy.report()):
            self.spawn(coroutine)

    async def stop(self):
        totals = {}
        for proxy in self.proxies:
            for name, number in proxy.counts.items():
                totals[name] = totals.get(name, 0) + number
        self.record("ops", **totals, run=sum(sum(s.ops.values()) for s in self.servers.values()))
        self.stop_controller()
        pending = [*self.tasks, *(task for proxy in self.proxies for task in proxy.tasks)]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)


def play(main):
    """Runs `main(temporary folder)`, which returns True if the rule held, False if it was broken and None if
    the case could not run; ends the program with the status that `run.sh` passes on."""
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(main(temporary))
    except Exception:  # a fault of the case itself must not count as a broken rule
        traceback.print_exc()
        held = None
    print({True: "held", False: "broken", None: "could not run"}[held])
    sys.exit({True: 0, False: 10, None: 2}[held])
