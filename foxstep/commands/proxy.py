"""`foxstep proxy`: runs one data-plane proxy until SIGTERM or ctrl-C."""

import time

import anyio
import structlog

from foxstep.commands.serve import wait_for_signal
from foxstep.proxy.program import Proxy


async def serve(site, ident, zone, listen, controllers, standing, print_address):
    """Runs the proxy `ident` of `site` on the address `listen`, until a signal ends it.

    `controllers` are addresses; `standing` are the servers it uses until a controller sends a table. With
    `print_address` it prints its address on standard output once it serves.
    """
    host, _, port = listen.rpartition(":")
    op_types = [{"name": o.name, "method": o.method} for o in site.op_types]
    proxy = Proxy(
        ident, zone, site.settings_map(), site.name, op_types, controllers, standing, time.monotonic
    )
    log = structlog.get_logger("foxstep.proxy")

    def started(port):
        log.info("ready", address=f"{host}:{port}", proxy=ident, controllers=controllers)
        if print_address:
            print(f"{host}:{port}", flush=True)

    async with anyio.create_task_group() as group:
        group.start_soon(wait_for_signal, group.cancel_scope)
        await proxy.run(host.strip("[]"), int(port), started=started)
    log.info("stopped", proxy=ident)


def run(*args):
    """Runs `serve` with these arguments."""
    anyio.run(serve, *args)
