"""Assembles a proxy from its listener, its forwarder and its controller client."""

from zlib import crc32

import anyio

from foxstep.proxy.control import ControllerClient
from foxstep.proxy.forward import Forwarder
from foxstep.proxy.levels import Levels
from foxstep.proxy.listener import Listener
from foxstep.proxy.pick import Picker
from foxstep.proxy.reports import Reports
from foxstep.proxy.retries import RetryPolicy
from foxstep.proxy.table import Table

IDLE_CHECK_INTERVAL_S = 1.0
# Keepalive intervals per grace, the time within which a drain must take effect. A stalled controller is thus
# noticed early enough for its successor to finish drains within the grace.
KEEPALIVES_PER_GRACE = 8


class Proxy:
    """One proxy.

    `site`: the settings as a dict. `op_types`: dicts with name and gRPC method. `standing`: the servers of
    the static table. `eject_for`, `stall_per_line`, `redial_delay` are in seconds, `rate` in ops a second.
    """

    def __init__(
        self,
        ident,
        zone,
        site,
        site_name,
        op_types,
        controllers,
        standing,
        clock,
        rate=0.0,
        eject_for=4.0,
        stall_per_line=0.0,
        redial_delay=(0.2, 1.0),
        note=lambda *_, **__: None,
    ):
        seed = crc32(ident.encode())
        proxy_op_types = [
            {**op_type, "op_timeout": settings["op_timeout"]}
            for op_type, settings in zip(op_types, site["op_types"], strict=True)
        ]
        effects = {o["name"]: (o["effect"], o["window"], o["scope"]) for o in site["op_types"]}
        self.table = Table(standing)
        self.reports = Reports()
        self.forwarder = Forwarder(
            proxy_op_types,
            Picker(seed, site["fails_to_shun"], round(eject_for * 1e6)),
            RetryPolicy(effects, site["usual_tries"]),
            Levels(seed, site["cycle"]),
            self.reports,
            clock,
            keepalive=site["keepalive"] / 1e6,
            note=note,
        )
        self.forwarder.set_table(self.table.lines)
        self.listener = Listener(self.forwarder.handle)
        self.control = ControllerClient(
            ident,
            zone,
            rate,
            site_name,
            proxy_op_types,
            controllers,
            self.table,
            self.forwarder,
            clock,
            seed,
            redial_delay,
            stall_per_line,
            max(50, site["grace"] // KEEPALIVES_PER_GRACE // 1000),
        )

    async def run(self, host="127.0.0.1", port=0, drain=2.0, started=lambda port: None):
        """Runs until cancelled, then gives ops in flight `drain` seconds. Calls `started(port)` first."""
        await self.listener.open(host, port)
        started(self.listener.port)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.control.run)
                while True:
                    await anyio.sleep(IDLE_CHECK_INTERVAL_S)
                    self.forwarder.close_idle()
        finally:
            with anyio.CancelScope(shield=True):
                await self.listener.close(drain)
                for pool in self.forwarder.pools.values():
                    pool.close()
