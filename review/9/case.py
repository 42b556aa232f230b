"""Discovery is busy: each answer waits 1.9 s for its turn, while servers are replaced two at a time."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import SETTINGS, Case

ANSWER_DELAY_S = 1.9
STEP_S = (9.4, 9.9)  # between two batches of the rolling deploy
DRAIN_S = 3.2
BATCHES = 8


async def scenario(case):
    if case.trouble:
        case.discovery.answer_delay = ANSWER_DELAY_S
        case.record.write("discovery is busy: each answer waits", ANSWER_DELAY_S, "s")
    for _ in range(BATCHES):
        draining = case.random.sample(case.active_servers(), 2)
        for name in draining:
            case.discovery.put(name, "leaving")
        await asyncio.sleep(DRAIN_S)
        for name in draining:
            case.discovery.put(name, "left")
        for name in draining:
            await case.add_server(case.servers[name].zone, since_ms=time.time() * 1000)
        await asyncio.sleep(case.random.uniform(*STEP_S) - DRAIN_S)
        if case.breaks:
            return


limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
Case(Path(__file__).parent, SETTINGS, limits, proxies=10, servers=12, ops_per_s=8.0).run(scenario)
