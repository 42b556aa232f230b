"""Runs a node in this process or as a process of its own, with minimal stand-ins for its peers."""

import asyncio
import json
import os
import subprocess
import sys
from contextlib import asynccontextmanager
from functools import partial

import anyio
import live

from foxstep.node import config as configs
from foxstep.node.program import Node
from foxstep.node.streams import listen
from foxstep.standins.ports import free_ports

SETTINGS = {
    "balancers": 2,
    "me": 0,
    "az": "east",
    "areas": ["east", "west"],
    "kinds": ["std"],
    "step": 1.0,
    "discovery": "subscribe",
    "weights": "none",
    "allowed": {"keepalive": 15000.0, "probes": False, "peers": True},
    "report": {"fields": ["cpu", "waiting"], "via": "probe"},
    "guarantees": {
        "askWithin": 4000.0,
        "coldShare": 0.2,
        "rampTime": 10000.0,
        "drainGrace": 2000.0,
        "fallMultiple": 2.5,
        "fall": 1500.0,
    },
    "familyInfo": {
        "levelKind": "per_second",
        "backlog": 2000.0,
        "emptyFor": 2500.0,
        "head": 4.0,
        "transitMax": 500.0,
        "egressPerS": 2000.0,
        "messagesMost": 0,
        "updateWindow": 10000.0,
        "cycle": 200.0,
        "agents": 40,
        "shards": 0,
        "standing": 6,
        "tryAims": 0.8,
        "defaultRetry": 1,
        "failsToEject": 3,
        "classOwnZone": [False, False],
        "intakePerS": 200.0,
    },
    "services": [
        {"name": name, "worth": worth, "objective": 1000.0, "deadline": 2500.0, "effect": effect}
        for name, worth, effect in (("read", 1.0, "read_like"), ("pay", 4.0, "non_idempotent"))
    ],
}


def endpoint(name, status="active", address="127.0.0.1:1", since_ms=0):
    return {
        "name": name,
        "address": address,
        "zone": "east",
        "type": "std",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class FakeDiscovery:
    """Answers calls with `endpoints`, or fails as `failure` says: "503", "reset", "cut" in the middle of the
    answer, "silent", or the bytes of a body to answer with. `fail_once` limits the failure to one call. While
    it is cut off, nothing is answered, as on a network that is cut."""

    def __init__(self, *names):
        self.index = 5
        self.endpoints = {n: endpoint(n) for n in names}
        self.failure = None
        self.paths = []
        self.fail_once = False
        self.delay = 0.0  # seconds by which each answer is late
        self.healed = None  # the event that ends a cut of the network
        self.cut_connections = 0  # opened while the network was cut
        self.changed = asyncio.Event()
        self.last_change = {}

    def change(self, *endpoints):
        """Adds or changes these endpoints and answers waiting watches with them."""
        self.index += 1
        self.last_change = {e["name"]: e for e in endpoints}
        self.endpoints.update(self.last_change)
        self.notify()

    def replace(self, index, *endpoints):
        """Replaces the list; a waiting watch is answered without changes and calls again."""
        self.index = index
        self.endpoints = {e["name"]: e for e in endpoints}
        self.last_change = {}
        self.notify()

    def cut_off(self):
        """Cuts the network: open connections stay silent for good, and no connection notices."""
        self.healed = asyncio.Event()

    def heal(self):
        """Ends the cut: connections that were opened meanwhile are reset."""
        self.healed.set()
        self.healed = None

    def notify(self):
        """Ends the wait of the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            if self.healed:
                self.cut_connections += 1
                await self.healed.wait()
                return writer.transport.abort()
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path = line.split()[1].decode()
                self.paths.append(path)
                failure, self.failure = self.failure, None if self.fail_once else self.failure
                if failure == "silent":
                    await asyncio.sleep(60)
                if failure == "cut":
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"index":99,"snapshot":true')
                    await writer.drain()
                    return writer.close()
                if failure == "reset":
                    return writer.transport.abort()
                if failure == "503":
                    writer.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
                    continue
                if failure:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(failure), failure))
                    continue
                answer = self.endpoints
                if f"after={self.index}&" in path:
                    wait = float(path.rpartition("=")[2]) / 1000
                    answer = {}
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                        answer = self.last_change
                    except TimeoutError:
                        pass
                # In one step, so that the index and the list of an answer are of the same moment.
                body = json.dumps(
                    {
                        "index": self.index,
                        "snapshot": answer is self.endpoints,
                        "endpoints": list(answer.values()),
                    }
                ).encode()
                if self.healed:
                    await asyncio.sleep(60)
                await asyncio.sleep(self.delay)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                for part in (head[:9], head[9:], body):  # in several pieces, as TCP may deliver them
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.001)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """A connection to a controller that sends what a test asks for.

    `weights` are the weights by server that the updates so far have set."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.weights = {}
        self.levels = {}

    async def send(self, *messages):
        """Sends messages: bytes as they are, anything else as a line of JSON."""
        for message in messages:
            self.writer.write(message if isinstance(message, bytes) else json.dumps(message).encode() + b"\n")
        await self.writer.drain()

    async def receive(self, within=3.0):
        """The next message, or None if the connection has ended."""
        with anyio.fail_after(within):
            try:
                line = await self.reader.readline()
            except ConnectionError:
                return None
        return json.loads(line) if line else None

    async def receive_update(self, within=3.0):
        """Reads all parts of one update into `weights` and returns them."""
        parts = []
        while not parts or parts[-1].get("more"):
            part = await self.receive(within)
            assert part and part["@type"] == "update", part
            parts.append(part)
            if part.get("whole"):
                self.weights = {}
            for server, weight in part.get("lines", []):
                self.weights[server] = weight
                if not weight:
                    del self.weights[server]
        return parts

    def join(self, node, zone="east", cold=True):
        return self.send({"@type": "joined", "node": node, "locality": zone, "w": 2.0, "cold": cold})

    def close(self):
        self.writer.close()


def write_config(directory, port, discovery_port, known=(), sockets=1024, **changes):
    """Writes a configuration file, replacing the old one atomically; returns its path."""
    path = os.path.join(directory, "config.json")
    with open(path + ".new", "w") as file:
        json.dump(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery_port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 0.5, "memory_mb": 32, "sockets": sockets},
                "settings": SETTINGS,
                "known": {"index": 1, "snapshot": True, "endpoints": [endpoint(n) for n in known]},
                **changes,
            },
            file,
        )
    os.replace(path + ".new", path)
    return path


class RunningNode:
    """A node in this process: `node` with its `host` and `acceptor`."""

    def __init__(self, directory, port, known, sockets):
        self.directory = directory
        self.port = port
        self.known = known
        self.sockets = sockets

    async def connect(self):
        """Opens a connection to the node."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def run_node(directory, discovery, known=(), sockets=1024, **changes):
    """Runs a node and its discovery in this process."""
    port, discovery_port = free_ports(2)
    async with await asyncio.start_server(discovery.serve, "127.0.0.1", discovery_port):
        config, site = configs.read_config(
            write_config(directory, port, discovery_port, known, sockets, **changes)
        )
        running = RunningNode(directory, port, known, sockets)
        running.node = Node(os.path.join(directory, "config.json"), config, site)
        running.host = running.node.host
        running.acceptor = running.node.acceptor
        async with anyio.create_task_group() as group:
            group.start_soon(running.node.run, listen(("127.0.0.1", port)))
            yield running
            group.cancel_scope.cancel()


@asynccontextmanager
async def run_process(directory, path):
    """Runs `python -m foxstep node` as a process; its log goes to the file `log` in the directory."""
    with open(os.path.join(directory, "log"), "ab") as log:
        running = subprocess.Popen(
            [sys.executable, "-m", "foxstep", "node"],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "ROUTER_CONFIG": str(path)},
        )
    try:
        yield running
    finally:
        running.kill()
        running.wait()


until = partial(live.until, within=5.0)
