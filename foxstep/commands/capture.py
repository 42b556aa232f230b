"""`foxstep capture` and `foxstep replay`: what a capture holds, and its orders once more."""

import sys
from collections import Counter
from contextlib import ExitStack

import click

from foxstep.balance import Controller
from foxstep.capture.replay import Replay
from foxstep.capture.tape import LOST, Unsound, read_rows, read_start


def show(folder):
    """What it was captured with, how long, how much of what."""
    try:
        start, verbs, first, last, lost = read_start(folder), Counter(), None, None, 0
        for at, verb, _, told in read_rows(folder):
            verbs[verb] += 1
            first, last = at if first is None else first, at
            lost += told if verb == LOST else 0
    except Unsound as error:
        raise click.ClickException(str(error)) from None
    site = start["site"]
    click.echo(
        f"seed {start['seed']}, {len(site['op_types'])} op types, controller {site['me']} of "
        f"{site['controllers']}"
    )
    click.echo(
        f"{sum(verbs.values())} rows over {((last or 0) - (first or 0)) / 1e6:.1f} s"
        + (f", {lost} LOST" if lost else "")
    )
    for verb, count in verbs.most_common():
        click.echo(f"  {verb:10} {count:9}")


def replay(folder, orders, on):
    """Plays it; exits 0 only if every order is as it was."""
    try:
        played = Replay(read_start(folder), read_rows(folder), Controller)
        with ExitStack() as stack:
            write = None
            if orders:
                file = stack.enter_context(open(orders, "w"))
                write = lambda line: file.write(line + "\n")  # noqa: E731
            played.play(write, on)
    except (Unsound, OSError) as error:
        raise click.ClickException(str(error)) from None
    span = ((played.last or 0) - (played.first or 0)) / 1e6
    inputs, made = sum(played.inputs.values()), sum(played.orders.values())
    click.echo(f"{inputs} inputs over {span:.1f} s, {made} orders")
    if played.ended:
        click.echo(f"the capture is not whole: {played.ended}")
    if played.difference is None:
        click.echo("every order is as it was")
        sys.exit(1 if played.ended else 0)
    d = played.difference
    click.echo(f"first difference at row {d.row}, {(d.at - played.first) / 1e6:.3f} s")
    click.echo(f"  captured: {d.taped or 'no further order'}")
    click.echo(f"  now:      {d.now or 'no further order'}")
    click.echo("  the inputs before it:")
    for line in d.inputs:
        click.echo(f"    {line}")
    sys.exit(1)
