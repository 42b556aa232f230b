"""`foxstep advise`: a SASP balancer that registers servers with a controller and prints their weights."""

import time

import anyio
import click

from foxstep.commands import logs
from foxstep.sasp.balancer import BalancerClient
from foxstep.sasp.wire import Flag


def format_weight(weight, flags):
    notes = [] if flags & Flag.CONTACT else ["no contact"]
    notes += ["quiesced"] if flags & Flag.QUIESCE else []
    notes += [] if flags & Flag.CONFIDENCE else ["unsure"] if weight else []
    return f"{weight}" + (f" ({', '.join(notes)})" if notes else "")


def run(address, ident, groups, push, seconds):
    """Runs the balancer `ident` until ctrl-C, or for `seconds` if that is not None.

    `groups` maps names to servers; with `push` the controller sends weights, otherwise the balancer polls.
    """
    logs.set_up("people", "info")
    started_at = time.monotonic()

    def show(group):
        lines = "  ".join(f"{s}={format_weight(*weight)}" for s, weight in balancer.weights[group].items())
        click.echo(f"{time.monotonic() - started_at:8.2f} s  {group}: {lines}")

    balancer = BalancerClient(ident, address, groups, push, on_weights=show)

    async def run_balancer():
        with anyio.move_on_after(seconds):
            await balancer.run()

    try:
        anyio.run(run_balancer)
    except KeyboardInterrupt:
        pass
