"""One proxy put together: its door, its forwarder, its streams to the controllers."""

from zlib import crc32

import anyio

from foxstep.proxy.control import Control
from foxstep.proxy.door import Door
from foxstep.proxy.forward import Forwarder
from foxstep.proxy.levels import Levels
from foxstep.proxy.pick import Picker
from foxstep.proxy.reports import Reports
from foxstep.proxy.table import Table
from foxstep.proxy.tries import Tries

LOOK_EVERY = 1.0
NOTICES = 8  # of a controller that stands still, in a grace: its successor is to have time left for drains


class Proxy:
    """`site`: the plain settings; `op_types` with their gRPC methods. `standing`: servers to begin with."""

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
        shun_for=4.0,
        stall=0.0,
        redial=(0.2, 1.0),
        note=lambda *_, **__: None,
    ):
        seed = crc32(ident.encode())
        kinds = [
            {**told, "op_timeout": kind["op_timeout"]}
            for told, kind in zip(op_types, site["op_types"], strict=True)
        ]
        effects = {o["name"]: (o["effect"], o["window"], o["scope"]) for o in site["op_types"]}
        self.table = Table(standing)
        self.reports = Reports()
        self.forwarder = Forwarder(
            kinds,
            Picker(seed, site["fails_to_shun"], round(shun_for * 1e6)),
            Tries(effects, site["usual_tries"]),
            Levels(seed, site["cycle"]),
            self.reports,
            clock,
            keepalive=site["keepalive"] / 1e6,
            note=note,
        )
        self.forwarder.table(self.table.lines)
        self.door = Door(self.forwarder.handle)
        self.control = Control(
            ident,
            zone,
            rate,
            site_name,
            kinds,
            controllers,
            self.table,
            self.forwarder,
            clock,
            seed,
            redial,
            stall,
            max(50, site["grace"] // NOTICES // 1000),
        )

    async def run(self, host="127.0.0.1", port=0, drain=2.0, started=lambda port: None):
        """Until cancelled; then no more ops are taken, and those under way get `drain` seconds."""
        await self.door.open(host, port)
        started(self.door.port)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.control.run)
                while True:
                    await anyio.sleep(LOOK_EVERY)
                    self.forwarder.close_idle()
        finally:
            with anyio.CancelScope(shield=True):
                await self.door.close(drain)
                for pool in self.forwarder.pools.values():
                    pool.close()
