"""For 3 s the reports on one server arrive spoilt: `rtt` is 0 although tries were good."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import SETTINGS, Case

SPOILT_S = 3.0


async def scenario(case):
    """The proxies are of the controller's own zone, as `homedByZone` says."""
    collector = case.collectors["kariakoo"]
    await asyncio.sleep(5)
    if case.trouble:
        collector.spoilt.add(case.random.choice(case.active_servers()))
    await asyncio.sleep(SPOILT_S)
    collector.spoilt.clear()
    await asyncio.sleep(7)


limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
Case(
    Path(__file__).parent,
    SETTINGS,
    limits,
    proxies=10,
    servers=12,
    ops_per_s=8.0,
    proxy_zones=["kariakoo"],
).run(scenario)
