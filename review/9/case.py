"""Collectors' streams fall silent and are dialled again; then a proxy's, which is no longer taken."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import Case, settings_with

SOCKETS = 256
PROXIES = 206
ZONES = ["sentrum", "lade", "heimdal"]
SILENCES = 9  # of collectors, one zone after the other
BETWEEN_S = 6.0

settings = settings_with(
    balancers=1,
    az="sentrum",
    areas=ZONES,
    allowed={"peers": False},
    guarantees={"drainGrace": 3000.0, "coldShare": 0.16, "rampTime": 17000.0, "fall": 2000.0},
    familyInfo={
        "agents": PROXIES,
        "backlog": 9000.0,
        "egressPerS": 6000.0,
        "head": 6.0,
        "messagesMost": 20,
        "cycle": 1000.0,
        "standing": 6,
        "defaultRetry": 0,
        "failsToEject": 5,
        "homedByZone": True,
    },
)


async def scenario(case):
    collectors = list(case.collectors.values())
    for number in range(SILENCES if case.trouble else 0):
        collectors[number % len(collectors)].go_silent()
        await asyncio.sleep(BETWEEN_S)
    proxy = case.proxies[0]
    if case.trouble:
        proxy.go_silent()
    await asyncio.sleep(4)  # it dials again after 0.6 to 2.1 s
    for _ in range(3):
        held = [name for name in proxy.table if name in case.active_servers()]
        if not held:
            break
        case.discovery.put(held[0], "leaving")
        await asyncio.sleep(5)


limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
Case(Path(__file__).parent, settings, limits, proxies=PROXIES, servers=30, ops_per_s=0.7).run(scenario)
