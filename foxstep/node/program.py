"""`foxstep node`: one controller on the platform, in the foreground, until SIGTERM.

What it is told stands in the environment and in the file that ROUTER_CONFIG names; SIGHUP has it read again.
"""

import asyncio
import gc
import os
import signal
import sys
import time

import anyio
import structlog

from foxstep.live.clocks import clock, wall
from foxstep.live.host import Host
from foxstep.node import config as configs
from foxstep.node.discovery import DiscoveryClient
from foxstep.node.notes import Notes
from foxstep.node.probes import MAX_CONCURRENT, Prober
from foxstep.node.streams import Acceptor, listen
from foxstep.simhost.names import PROBED, report_of

RESERVED_DESCRIPTORS = MAX_CONCURRENT + 24  # for probes, discovery, notes, the loop, logs, what is closing
LOGGED = 20  # lines of one event in the log, a second


class Rate:
    """Guards against a log that grows with what others send: so many lines of one event a second, and then
    how many were left out. Harm: what was in those."""

    def __init__(self):
        self.second, self.counts = 0, {}

    def __call__(self, logger, method, event):
        second = time.monotonic_ns() // 10**9
        if second != self.second:
            self.second, before = second, self.counts
            self.counts = {}
            left_out = {name: n - LOGGED for name, n in before.items() if n > LOGGED}
            if left_out:
                event["left_out"] = left_out
        name = event["event"]
        self.counts[name] = self.counts.get(name, 0) + 1
        if self.counts[name] > LOGGED:
            raise structlog.DropEvent
        return event


def log_to(stream, level):
    structlog.configure(
        processors=[
            Rate(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="%H:%M:%S.%f", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )


class Node:
    def __init__(self, path, config, site):
        self.path, self.config = path, config
        self.log = structlog.get_logger("foxstep.node")
        self.host = Host(site, config.seed, clock, wall)
        self.discovery = DiscoveryClient(self.host, config.discovery)
        self.discovery.remember(config.known)
        known = {name: ours for name, ours in PROBED.items() if ours in site.get("reports", [])}
        self.acceptor = Acceptor(self.host, *self.room(), lambda metrics: report_of(metrics.items(), known))
        self.prober = Prober(self.host, self.discovery)
        self.notes = Notes(self.host, *self.peers())

    def room(self):
        limits = self.config.limits
        return max(limits.sockets - RESERVED_DESCRIPTORS, 8), limits.memory_mb * 2**20

    def peers(self):
        config = self.config
        return (
            [configs.parse_address(peer, "a peer") for peer in config.peers],
            configs.parse_address(config.peers_all, "all peers") if config.peers_all else None,
        )

    def reload(self):
        """SIGHUP: what is sound takes effect at once, what is not leaves all as it was."""
        try:
            config, site = configs.read(self.path)
        except configs.ConfigError as unsound:
            self.log.warning("not taken", why=str(unsound))
            return
        if site != self.host.site or config.listen != self.config.listen:
            self.log.warning("settings and the own address change with the next start only")
        self.config = config
        self.acceptor.limit(*self.room())
        self.notes.move(*self.peers())
        self.discovery.move(config.discovery)
        self.log.info("read again", discovery=config.discovery)

    async def handle_signals(self, signals, scope):
        async for number in signals:
            if number == signal.SIGHUP:
                self.reload()
            else:
                self.log.info("stopped", signal=signal.Signals(number).name, orders=self.host.orders)
                scope.cancel()
                return

    async def run(self, listener):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals, listener:
            async with anyio.create_task_group() as group:
                group.start_soon(self.handle_signals, signals, group.cancel_scope)
                if self.config.peer_listen and self.host.site["peers"]:
                    await self.listen_for_notes()
                group.start_soon(self.prober.run)
                group.start_soon(self.discovery.run)
                group.start_soon(self.host.run)
                group.start_soon(self.acceptor.run, listener)
                gc.collect()
                gc.freeze()
                self.log.info(
                    "ready",
                    name=self.config.name,
                    listen=self.config.listen,
                    pid=os.getpid(),
                    limits=str(self.config.limits),
                )

    async def listen_for_notes(self):
        at = configs.parse_address(self.config.peer_listen, "peer_listen")
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self.notes, local_addr=at)


def main():
    path = os.environ.get("ROUTER_CONFIG")
    try:
        if not path:
            raise configs.ConfigError("ROUTER_CONFIG names no file")
        config, site = configs.read(path)
        config.name = os.environ.get("ROUTER_NAME", config.name)
        log_to(sys.stderr, 20)
        node = Node(path, config, site)
        listener = listen(configs.parse_address(config.listen, "listen"))
    except configs.ConfigError as unsound:
        print(f"foxstep: {unsound}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"foxstep: listening on {config.listen}: {error.strerror}", file=sys.stderr)
        return 1
    anyio.run(node.run, listener)
    return 0
