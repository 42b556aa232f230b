"""The controller is cut off from discovery for six seconds, in which two servers drain."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from settings import ROSTERS, changed  # noqa: E402
from world import Proxy, Server, World, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTINGS = changed(ROSTERS, guarantees={"drainGrace": 1500.0})
SERVERS, DRAINED, PROXIES, RATE = 12, 2, 10, 9.0
CUT_AFTER_S, CUT_S = 2.0, 6.0  # after a watch was called
DRAIN_AFTER_S, DRAIN_S = 2.0, 4.5  # after the cut; time until the server is gone
SLACK_S = 0.3  # by which the rule's limit is longer on sockets


class Check:
    """The third rule: nothing is sent to a draining server once the grace has passed since that was told."""

    def __init__(self, world, ready_at):
        self.world, self.ready_at = world, ready_at
        self.limit = SETTINGS["guarantees"]["drainGrace"] / 1000 + SLACK_S
        self.told_at = {}  # server -> when the controller was told, or counts as told
        self.late, self.latest = 0, 0.0
        world.on_told, world.on_send = self.on_told, self.on_send

    def on_told(self, answer, at):
        for entry in answer["endpoints"]:
            if entry["status"] != "active":
                self.told_at[entry["name"]] = min(self.told_at.get(entry["name"], at), at)

    def on_send(self, proxy, server):
        now = time.monotonic()
        if proxy.joined_at is None or server not in self.told_at:
            return
        since = max(self.told_at[server], proxy.joined_at, self.ready_at + 1.0)
        if now - since > self.limit:
            self.late += 1
            self.latest = max(self.latest, now - since)
            self.world.record("broken", proxy=proxy.number, sent_to=server, after_s=f"{now - since:.2f}")


async def main(temporary):
    classes = {"roster-read": 0.38, "visit-checkin": 0.35, "allowance-pay": 0.27}
    work = {"roster-read": 0.25, "visit-checkin": 0.18, "allowance-pay": 0.18}
    world = World(FOLDER, temporary, SETTINGS, classes, work)
    zones = SETTINGS["areas"]
    for k in range(SERVERS):
        world.servers[f"s-{k}"] = Server(world, f"s-{k}", zones[k % 2], cores=3)
    await world.start()
    try:
        world.start_controller()
        if not await world.controller_ready():
            return None
        check = Check(world, time.monotonic())
        for k in range(PROXIES):
            proxy = Proxy(world, k, zones[k % 2], RATE, k)
            near = [s for s in world.servers.values() if s.zone == proxy.zone]
            proxy.hold(proxy.random.sample(near, SETTINGS["familyInfo"]["standing"]))
            world.start_proxy(proxy)
        guard = asyncio.create_task(world.guard_controller())
        await asyncio.sleep(8.0)
        called_at = world.discovery.watch_called_at
        while world.discovery.watch_called_at == called_at:
            await asyncio.sleep(0.01)
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            world.record("trouble", what="cut-off-from-discovery")
            world.discovery.cut_off()
        world.spawn(drain(world, [world.servers[f"s-{k}"] for k in range(DRAINED)]))
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            world.record("trouble-ends")
            world.discovery.heal()
        await asyncio.sleep(10.0)
        crashed = guard.done()
        guard.cancel()
        joined = sum(proxy.joined_at is not None for proxy in world.proxies)
        world.record(
            "end", joined=joined, late=check.late, latest_s=f"{check.latest:.2f}", limit_s=check.limit
        )
        if crashed or joined < PROXIES or len(check.told_at) < DRAINED:
            return None
        return not check.late
    finally:
        await world.stop()


async def drain(world, servers):
    """Drains the servers; some seconds later they are gone."""
    await asyncio.sleep(DRAIN_AFTER_S)
    for server in servers:
        server.status = "leaving"
    world.discovery.change(*servers)
    await asyncio.sleep(DRAIN_S)
    for server in servers:
        server.status = "left"
        server.end()
    world.discovery.change(*servers)


play(main)
