"""`foxstep inspect`: prints the state of a controller."""

import json

import anyio
import click
import grpc

from foxstep.operate.service import INSPECT_METHOD, call_controller
from foxstep.site import InputError


def run(address, raw):
    """Prints the controller's view, or with `raw` the JSON of it. Raises InputError if it's unreachable."""
    try:
        view = anyio.run(call_controller, address, INSPECT_METHOD)
    except grpc.RpcError as error:
        raise InputError(f"{address}: no controller answers there: {error.details()}") from None
    if raw:
        click.echo(json.dumps(view, indent=1))
        return
    channel, capacity = view["channel"], view["capacity"]
    click.echo(
        f"epoch {view['epoch']}  capacity {'unset' if capacity is None else f'{capacity:.1f} ops/s'}  "
        f"channel {channel['waiting']:.0f} of {channel['backlog']:.0f} lines "
        f"(max {channel['most_waiting']:.0f}, owed {channel['owed']})"
    )
    for op_type, cap in view["caps"].items():
        click.echo(f"  cap {op_type}: {'none' if cap is None else f'{cap:.1f} ops/s'}")
    for server, state in sorted(view["servers"].items()):
        click.echo(f"  server {server} {state}")
    for ident, proxy in sorted(view["proxies"].items()):
        click.echo(
            f"  proxy {ident} {proxy['zone']} delivered {proxy['delivered']} accepted "
            f"{proxy['accepted']} refused {proxy['refused']} {proxy['last_refusal']}"
        )
        for op_type, lines in proxy["lines"].items():
            weights = " ".join(f"{s}={w:g}" for s, w in (lines or {}).items())
            level = proxy["levels"][op_type]
            click.echo(
                f"    {op_type}: {weights or 'no table from this controller'}"
                + (f"  level {level[0]:g} tries {level[1]}" if level else "")
            )
