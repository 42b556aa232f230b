"""A controller is killed and started again while a server is cold; the list states the servers' sizes."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import Case, Server, http_answer, read_request, settings_with

ZONES = ["kita", "minami", "higashi", "nishi"]
CORES = {"g6": 3, "g3": 2}
SIZE_OF_CORE = 10.0  # in the list's figures, which have no unit
COLD_SHARE, RAMP_S = 0.2, 13.0
FALL_MULTIPLE, FALL_S = 2.5, 2.0
CHANCE = 1.2  # factor on the limit, for chance
LOAD = 0.6  # of the capacity of all servers
PROXIES, OPS_PER_S, SERVERS = 12, 12.0, 15

settings = settings_with(
    balancers=1,
    az="kita",
    areas=ZONES,
    kinds=list(CORES),
    weights="nominal",
    report={"fields": ["active", "cpu"], "via": "probe"},
    guarantees={
        "coldShare": COLD_SHARE,
        "rampTime": RAMP_S * 1000,
        "drainGrace": 3200.0,
        "fallMultiple": FALL_MULTIPLE,
        "fall": FALL_S * 1000,
    },
    familyInfo={
        "agents": PROXIES,
        "backlog": 6900.0,
        "egressPerS": 4600.0,
        "head": 3.0,
        "cycle": 1000.0,
        "standing": 10,
        "defaultRetry": 0,
        "failsToEject": 5,
        "homedByZone": False,
    },
)


class SizedServer(Server):
    """A server with a capacity by its cores: cold after its start, at the stated share and then rising evenly
    over the stated time. Once it has been sent too much while cold it falls over and stays down."""

    def __init__(self, case, name, zone, kind):
        super().__init__(case.record, name, zone, 0)
        self.kind = kind
        total = PROXIES * OPS_PER_S
        cores = SERVERS * sum(CORES.values()) / len(CORES)
        self.full_capacity = CORES[kind] * total / LOAD / cores  # ops a second
        self.started_at = None  # in the record's seconds; None: long ago
        self.arrivals = []  # times of the ops that count, within the last FALL_S
        self.recent = []  # times of all ops within the last second
        self.fallen = False

    def listing(self, since_ms=0.0):
        size = CORES[self.kind] * SIZE_OF_CORE
        return {**super().listing(since_ms), "type": self.kind, "weight": size}

    def capacity(self, at):
        """Ops a second that it can do at a time."""
        if self.started_at is None:
            return self.full_capacity
        age = min(max(at - self.started_at, 0.0) / RAMP_S, 1.0)
        return self.full_capacity * (COLD_SHARE + (1 - COLD_SHARE) * age)

    async def serve(self, reader, writer):
        try:
            while (path := await read_request(reader)) is not None:
                if self.fallen:
                    writer.transport.abort()
                    return
                now = self.record.now()
                self.recent = [t for t in self.recent if t > now - 1]
                if path.startswith("/op"):
                    self.recent.append(now)
                    self.record.write("run", self.name, path)
                    self.active += 1
                    await asyncio.sleep(0.03)
                    self.active -= 1
                    writer.write(http_answer(b""))
                else:
                    util = min(len(self.recent) / self.capacity(now), 1.0)
                    writer.write(http_answer(b"inflight=%d,util=%.2f" % (self.active, util)))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class ColdCase(Case):
    """Judges rule 4 as well: what proxies send a cold server whose last message knew of its start."""

    made = 0
    killed_at = None

    def make_server(self, name, zone):
        self.made += 1
        return SizedServer(self, name, zone, list(CORES)[self.made % len(CORES)])

    def sent(self, proxy, name):
        super().sent(proxy, name)
        server, now = self.servers[name], self.record.now()
        if server.started_at is None or server.fallen or not self.counts_as_joined(proxy):
            return
        # The controller knows of the start: at least `drainGrace` has passed since it was told.
        if now < max(server.told_start_at, self.answered_at) + 3.2:
            return
        server.arrivals = [t for t in server.arrivals if t > now - FALL_S] + [now]
        limit = CHANCE * FALL_MULTIPLE * FALL_S * server.capacity(now)
        if now - server.started_at < RAMP_S and len(server.arrivals) > limit:
            server.fallen = True
            self.breaks.append((proxy.name, name, len(server.arrivals) / limit))
            self.record.write(
                "RULE 4 BROKEN",
                name,
                f"{now - server.started_at:.1f} s after its start",
                f"is sent {len(server.arrivals)} ops in {FALL_S} s;",
                f"it can do {server.capacity(now):.1f} a second, and falls over",
            )

    async def kill_and_start_again(self):
        self.record.write("controller is killed")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(1.0)
        self.start_controller(self.directory)
        await self.wait_until_ready()


async def scenario(case):
    await asyncio.sleep(5)
    for _ in range(3):
        name = await case.add_server(case.random.choice(ZONES), since_ms=time.time() * 1000)
        server = case.servers[name]
        server.started_at = server.told_start_at = case.record.now()
        await asyncio.sleep(1.5)
        if case.trouble:
            await case.kill_and_start_again()
        await asyncio.sleep(18)
        if case.breaks:
            return


limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
case = ColdCase(Path(__file__).parent, settings, limits, PROXIES, SERVERS, OPS_PER_S)
case.run(scenario)
