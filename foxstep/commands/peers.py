"""`foxstep peers`: prints the controllers that share a fleet, as one of them sees the others."""

import sys

import anyio
import click
import grpc

from foxstep.operate.service import PEERS_METHOD, call_controller


def run(address, drain, move):
    """Prints the view of the controller at `address`.

    `drain` True or False first starts or stops its drain, None leaves it as it is; `move` is a pair of a
    proxy and the number of the controller to redirect it to, or None.
    """
    request = {} if drain is None else {"drain": drain}
    request.update({"proxy": move[0], "to": move[1]} if move else {})
    try:
        view = anyio.run(call_controller, address, PEERS_METHOD, request)
    except grpc.RpcError as error:
        click.echo(f"foxstep: {address}: {error.details()}", err=True)
        sys.exit(1)
    click.echo(
        f"controller {view['me']}, epoch {view['epoch']}, serves {len(view['proxies'])} proxies"
        + (", redirects them to others" if view["draining"] else "")
    )
    for number, peer in view["peers"].items():
        heard = "never heard" if peer["heard_ms_ago"] is None else f"heard {peer['heard_ms_ago']} ms ago"
        click.echo(
            f"  {number:>3} {peer['state']:9} {peer['proxies']:5} proxies  {heard}, "
            f"{peer['address']}, incarnation {peer['incarnation']}"
        )
        facts = view["facts"][number]
        lag_ms = facts["confirmed_ms_ago"]
        click.echo(
            f"      known of it: {facts['servers']} servers, {facts['proxies']} proxies, "
            + ("not confirmed yet" if lag_ms is None else f"as of {lag_ms} ms ago")
        )
    for proxy, home in view["away"].items():
        click.echo(f"  {proxy} is not at its home, controller {home}")
    click.echo(
        f"after a partition all proxies are home within {view['heals_within_ms'] / 1000:.1f} s "
        "if no note is lost"
    )
    click.echo(
        f"notes: {view['notes']['sent']} sent, {view['notes']['heard']} heard, "
        f"{view['notes']['bytes']} bytes; facts {view['notes']['facts_bytes']} bytes, "
        f"{view['notes']['odd']} invalid ones dropped"
    )
