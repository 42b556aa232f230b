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
from foxstep.node import told as telling
from foxstep.node.listing import Listing
from foxstep.node.notes import Notes
from foxstep.node.probes import AT_ONCE, Prober
from foxstep.node.streams import Door, listen
from foxstep.simhost.names import PROBED, report_of

KEPT_BACK = AT_ONCE + 24      # descriptors for probes, discovery, notes, the loop, logs and what is closing
LOGGED = 20                   # lines of one event in the log, a second


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
        processors=[Rate(), structlog.processors.add_log_level,
                    structlog.processors.TimeStamper(fmt="%H:%M:%S.%f", utc=True),
                    structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"],
                                                        bool_as_flag=False)],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream), cache_logger_on_first_use=True)


class Node:
    def __init__(self, path, told, site):
        self.path, self.told = path, told
        self.log = structlog.get_logger("foxstep.node")
        self.host = Host(site, told.seed, clock, wall)
        self.listing = Listing(self.host, told.discovery)
        self.listing.remember(told.known)
        known = {name: ours for name, ours in PROBED.items() if ours in site.get("reports", [])}
        self.door = Door(self.host, *self.room(), lambda metrics: report_of(metrics.items(), known))
        self.prober = Prober(self.host, self.listing)
        self.notes = Notes(self.host, *self.peers())

    def room(self):
        limits = self.told.limits
        return max(limits.sockets - KEPT_BACK, 8), limits.memory_mb * 2**20

    def peers(self):
        told = self.told
        return ([telling.address(peer, "a peer") for peer in told.peers],
                telling.address(told.peers_all, "all peers") if told.peers_all else None)

    def read_again(self):
        """SIGHUP: what is sound takes effect at once, what is not leaves all as it was."""
        try:
            told, site = telling.read(self.path)
        except telling.Unsound as unsound:
            self.log.warning("not taken", why=str(unsound))
            return
        if site != self.host.site or told.listen != self.told.listen:
            self.log.warning("settings and the own address change with the next start only")
        self.told = told
        self.door.limit(*self.room())
        self.notes.move(*self.peers())
        self.listing.move(told.discovery)
        self.log.info("read again", discovery=told.discovery)

    async def heed_signals(self, signals, scope):
        async for number in signals:
            if number == signal.SIGHUP:
                self.read_again()
            else:
                self.log.info("stopped", signal=signal.Signals(number).name, orders=self.host.orders)
                scope.cancel()
                return

    async def run(self, listener):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals, listener:
            async with anyio.create_task_group() as group:
                group.start_soon(self.heed_signals, signals, group.cancel_scope)
                if self.told.peer_listen and self.host.site["peers"]:
                    await self.hear_notes()
                group.start_soon(self.prober.run)
                group.start_soon(self.listing.run)
                group.start_soon(self.host.run)
                group.start_soon(self.door.run, listener)
                gc.collect()
                gc.freeze()
                self.log.info("ready", name=self.told.name, listen=self.told.listen, pid=os.getpid(),
                              limits=str(self.told.limits))

    async def hear_notes(self):
        at = telling.address(self.told.peer_listen, "peer_listen")
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self.notes, local_addr=at)


def main():
    path = os.environ.get("ROUTER_CONFIG")
    try:
        if not path:
            raise telling.Unsound("ROUTER_CONFIG names no file")
        told, site = telling.read(path)
        told.name = os.environ.get("ROUTER_NAME", told.name)
        log_to(sys.stderr, 20)
        node = Node(path, told, site)
        listener = listen(telling.address(told.listen, "listen"))
    except telling.Unsound as unsound:
        print(f"foxstep: {unsound}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"foxstep: listening on {told.listen}: {error.strerror}", file=sys.stderr)
        return 1
    anyio.run(node.run, listener)
    return 0
