"""Probes of servers: each reports one outcome to the host. Their duration and number are limited."""

import anyio

from foxstep.node.config import ConfigError, parse_address
from foxstep.node.http import HttpConnectionError, connect
from foxstep.simhost.names import parse_load

SECOND = 1_000_000  # microseconds
PROBE_TIMEOUT_S = 0.5  # a probe without an answer by then has the outcome "silent"
MAX_CONCURRENT_PROBES = 16  # further probes wait


class Prober:
    """Runs the probes that the host orders, at most one at a time for each server."""

    def __init__(self, host, discovery):
        self.host = host
        self.discovery = discovery
        self.group = None
        self.semaphore = anyio.Semaphore(MAX_CONCURRENT_PROBES)
        self.path = "/load" if host.site.get("reports") else "/healthz"
        self.repeat_requested = {}  # server with a probe under way -> whether to probe it once more
        host.probe = self.probe

    def probe(self, server):
        """Starts a probe. If one is under way, it is repeated before its outcome is reported: the server's
        process may have restarted since, so the outcome under way says nothing about the new process."""
        if server in self.repeat_requested:
            self.repeat_requested[server] = True
        else:
            self.repeat_requested[server] = False
            self.group.start_soon(self.run_probe, server)

    async def run_probe(self, server):
        """Probes a server until no repetition is requested, then reports the last outcome to the host."""
        repeat = True
        while repeat:
            outcome, load, self.repeat_requested[server] = "silent", None, False
            async with self.semaphore:
                started_at = self.host.clock()
                with anyio.move_on_after(PROBE_TIMEOUT_S):
                    outcome, load = await self.outcome(server)
            repeat = self.repeat_requested[server]
        del self.repeat_requested[server]
        self.host.probed(server, outcome, self.host.clock() - started_at, load)

    async def outcome(self, server):
        """(outcome, load) of one probe; the load is None unless the outcome is "acked"."""
        connection = None
        try:
            address = self.discovery.addresses.get(server)
            if address is None:
                return "unreachable", None
            try:
                connection = await connect(parse_address(address, "server address"))
            except (OSError, ConfigError):
                return "unreachable", None
            status, body = await connection.get(self.path, address)
            if status == 503:
                return "rejected", None
            if status != 200:
                return "aborted", None
            return "acked", parse_load(body.decode("utf-8", "replace"))
        except HttpConnectionError:
            return "broken", None
        finally:
            if connection:
                connection.close()

    async def run(self):
        """Keeps the task group of the probes until cancelled."""
        async with anyio.create_task_group() as self.group:
            await anyio.sleep_forever()
