"""`foxstep advise`: a balancer that registers servers with a controller and prints the weights it is told."""

import time

import anyio
import click

from foxstep.commands import logs
from foxstep.sasp.balancer import Balancer
from foxstep.sasp.wire import Flag


def shown(weight, flags):
    notes = [] if flags & Flag.CONTACT else ["no contact"]
    notes += ["quiesced"] if flags & Flag.QUIESCE else []
    notes += [] if flags & Flag.CONFIDENCE else ["unsure"] if weight else []
    return f"{weight}" + (f" ({', '.join(notes)})" if notes else "")


def run(address, ident, groups, push, seconds):
    logs.set_up("people", "info")
    began = time.monotonic()

    def show(group):
        lines = "  ".join(f"{s}={shown(*told)}" for s, told in balancer.weights[group].items())
        click.echo(f"{time.monotonic() - began:8.2f} s  {group}: {lines}")

    balancer = Balancer(ident, address, groups, push, on_weights=show)

    async def follow():
        with anyio.move_on_after(seconds):
            await balancer.run()

    try:
        anyio.run(follow)
    except KeyboardInterrupt:
        pass
