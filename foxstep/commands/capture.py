"""`foxstep capture` and `foxstep replay`: print a summary of a capture, or replay it."""

import sys
from collections import Counter
from contextlib import ExitStack

import click

from foxstep.balance import Controller
from foxstep.capture.replay import Replay
from foxstep.capture.storage import LOST, InvalidCapture, read_rows, read_start


def show(folder):
    """Prints the settings, the duration and the number of rows of each verb."""
    try:
        start = read_start(folder)
        verbs = Counter()
        first = None
        last = None
        lost_rows = 0
        for at, verb, _, payload in read_rows(folder):
            verbs[verb] += 1
            first, last = at if first is None else first, at
            lost_rows += payload if verb == LOST else 0
    except InvalidCapture as error:
        raise click.ClickException(str(error)) from None
    site = start["site"]
    click.echo(
        f"seed {start['seed']}, {len(site['op_types'])} op types, controller {site['me']} of "
        f"{site['controllers']}"
    )
    click.echo(
        f"{sum(verbs.values())} rows over {((last or 0) - (first or 0)) / 1e6:.1f} s"
        + (f", {lost_rows} LOST" if lost_rows else "")
    )
    for verb, count in verbs.most_common():
        click.echo(f"  {verb:10} {count:9}")


def replay(folder, orders_path, continue_after_difference):
    """Replays the capture; exits with 0 only if it is complete and every order is the same."""
    try:
        replayed = Replay(read_start(folder), read_rows(folder), Controller)
        with ExitStack() as stack:
            write = None
            if orders_path:
                file = stack.enter_context(open(orders_path, "w"))
                write = lambda line: file.write(line + "\n")  # noqa: E731
            replayed.run(write, continue_after_difference)
    except (InvalidCapture, OSError) as error:
        raise click.ClickException(str(error)) from None
    duration_s = ((replayed.last or 0) - (replayed.first or 0)) / 1e6
    input_count = sum(replayed.inputs.values())
    order_count = sum(replayed.orders.values())
    click.echo(f"{input_count} inputs over {duration_s:.1f} s, {order_count} orders")
    if replayed.incomplete:
        click.echo(f"the capture is incomplete: {replayed.incomplete}")
    if replayed.difference is None:
        click.echo("all orders are the same as captured")
        sys.exit(1 if replayed.incomplete else 0)
    difference = replayed.difference
    click.echo(f"first difference at row {difference.row}, {(difference.at - replayed.first) / 1e6:.3f} s")
    click.echo(f"  captured: {difference.captured or 'no further order'}")
    click.echo(f"  replayed: {difference.replayed or 'no further order'}")
    click.echo("  the inputs before it:")
    for line in difference.inputs:
        click.echo(f"    {line}")
    sys.exit(1)
