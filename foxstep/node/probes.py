"""Probes of servers: each ends in one outcome under our names, in bounded time and number."""

import anyio

from foxstep.node.config import ConfigError, parse_address
from foxstep.node.http import Broken, connect
from foxstep.simhost.names import load_of

SECOND = 1_000_000
WITHIN = 0.5  # seconds until a probe counts as silent
MAX_CONCURRENT = 16  # probes under way; the next ones wait


class Prober:
    def __init__(self, host, discovery):
        self.host, self.discovery = host, discovery
        self.group, self.limit = None, anyio.Semaphore(MAX_CONCURRENT)
        self.path = "/load" if host.site.get("reports") else "/healthz"
        self.waiting = {}  # server with a probe under way -> whether it is to be asked again
        host.probe = self.probe

    def probe(self, server):
        """One that is ordered while another is under way is meant for a process that has started since: what
        the one under way comes to says nothing of it, and it is asked anew."""
        if server in self.waiting:
            self.waiting[server] = True
        else:
            self.waiting[server] = False
            self.group.start_soon(self.ask, server)

    async def ask(self, server):
        again = True
        while again:
            outcome, load, self.waiting[server] = "silent", None, False
            async with self.limit:
                started = self.host.clock()
                with anyio.move_on_after(WITHIN):
                    outcome, load = await self.outcome(server)
            again = self.waiting[server]
        del self.waiting[server]
        self.host.probed(server, outcome, self.host.clock() - started, load)

    async def outcome(self, server):
        caller = None
        try:
            at = self.discovery.addresses.get(server)
            if at is None:
                return "unreachable", None
            try:
                caller = await connect(parse_address(at, "a server"))
            except (OSError, ConfigError):
                return "unreachable", None
            status, body = await caller.get(self.path, at)
            if status == 503:
                return "rejected", None
            if status != 200:
                return "aborted", None
            return "acked", load_of(body.decode("utf-8", "replace"))
        except Broken:
            return "broken", None
        finally:
            if caller:
                caller.close()

    async def run(self):
        async with anyio.create_task_group() as self.group:
            await anyio.sleep_forever()
