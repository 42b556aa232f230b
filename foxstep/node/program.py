"""`foxstep node`: runs one controller of the platform in the foreground until SIGTERM.

It is configured by the file that the environment variable ROUTER_CONFIG names, which is read again on SIGHUP.
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
from foxstep.node.peer_transport import PeerTransport
from foxstep.node.probes import MAX_CONCURRENT_PROBES, Prober
from foxstep.node.streams import Acceptor, listen
from foxstep.simhost.names import SERVER_LOAD_FIELDS, load_from_pairs

# For probes, discovery, the peers' socket, the event loop, logs, and connections that are closing.
RESERVED_DESCRIPTORS = MAX_CONCURRENT_PROBES + 24
MAX_LINES_PER_EVENT_PER_S = 20  # lines of one log event


class LogRateLimiter:
    """Limits the lines of each log event per second, so that what others send can't flood the log.

    The next line after that second carries the number of lines that were dropped as `left_out`; their content
    is lost."""

    def __init__(self):
        self.second = 0
        self.counts = {}

    def __call__(self, logger, method, event):
        second = time.monotonic_ns() // 10**9
        if second != self.second:
            self.second, before = second, self.counts
            self.counts = {}
            left_out = {
                name: n - MAX_LINES_PER_EVENT_PER_S
                for name, n in before.items()
                if n > MAX_LINES_PER_EVENT_PER_S
            }
            if left_out:
                event["left_out"] = left_out
        name = event["event"]
        self.counts[name] = self.counts.get(name, 0) + 1
        if self.counts[name] > MAX_LINES_PER_EVENT_PER_S:
            raise structlog.DropEvent
        return event


def configure_logging(stream, level):
    """Writes log lines in logfmt to the stream, from this numeric level on."""
    structlog.configure(
        processors=[
            LogRateLimiter(),
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
    """One controller with its connections, discovery client, probes and peers."""

    def __init__(self, path, config, site):
        self.path = path
        self.config = config
        self.log = structlog.get_logger("foxstep.node")
        self.host = Host(site, config.seed, clock, wall)
        self.discovery = DiscoveryClient(self.host, config.discovery)
        self.discovery.load_known(config.known)
        reported = {
            name: ours for name, ours in SERVER_LOAD_FIELDS.items() if ours in site.get("reports", [])
        }
        self.acceptor = Acceptor(
            self.host, *self.connection_limits(), lambda metrics: load_from_pairs(metrics.items(), reported)
        )
        self.prober = Prober(self.host, self.discovery)
        self.peer_transport = PeerTransport(self.host, *self.peer_addresses())

    def connection_limits(self):
        """(descriptors, bytes of memory) for the acceptor."""
        limits = self.config.limits
        return max(limits.sockets - RESERVED_DESCRIPTORS, 8), limits.memory_mb * 2**20

    def peer_addresses(self):
        """(addresses of the controllers by number, address of all of them or None)."""
        config = self.config
        return (
            [configs.parse_address(peer, "peer address") for peer in config.peers],
            configs.parse_address(config.peers_all, "peers_all") if config.peers_all else None,
        )

    def reload(self):
        """Handles SIGHUP: a valid configuration takes effect at once, an invalid one changes nothing."""
        try:
            config, site = configs.read_config(self.path)
        except configs.ConfigError as error:
            self.log.warning("not taken", why=str(error))
            return
        if site != self.host.site or config.listen != self.config.listen:
            self.log.warning("changed settings or listen address take effect only after a restart")
        self.config = config
        self.acceptor.set_limits(*self.connection_limits())
        self.peer_transport.set_addresses(*self.peer_addresses())
        self.discovery.set_address(config.discovery)
        self.log.info("read again", discovery=config.discovery)

    async def handle_signals(self, signals, scope):
        """Reloads the configuration on SIGHUP; ends the program on SIGTERM and SIGINT."""
        async for number in signals:
            if number == signal.SIGHUP:
                self.reload()
            else:
                self.log.info("stopped", signal=signal.Signals(number).name, orders=self.host.order_count)
                scope.cancel()
                return

    async def run(self, listener):
        """Serves connections of the listening socket until a signal ends the program."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals, listener:
            async with anyio.create_task_group() as group:
                group.start_soon(self.handle_signals, signals, group.cancel_scope)
                if self.config.peer_listen and self.host.site["peers"]:
                    await self.listen_for_peers()
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

    async def listen_for_peers(self):
        """Opens the UDP socket for the other controllers. Raises OSError."""
        address = configs.parse_address(self.config.peer_listen, "peer_listen")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self.peer_transport, local_addr=address
        )


def main():
    """Runs the program; returns its exit status: 2 for an invalid configuration, 1 if it can't listen."""
    path = os.environ.get("ROUTER_CONFIG")
    try:
        if not path:
            raise configs.ConfigError("the environment variable ROUTER_CONFIG is not set or empty")
        config, site = configs.read_config(path)
        config.name = os.environ.get("ROUTER_NAME", config.name)
        configure_logging(sys.stderr, 20)
        node = Node(path, config, site)
        listener = listen(configs.parse_address(config.listen, "listen"))
    except configs.ConfigError as error:
        print(f"foxstep: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"foxstep: cannot listen on {config.listen}: {error.strerror}", file=sys.stderr)
        return 1
    anyio.run(node.run, listener)
    return 0
