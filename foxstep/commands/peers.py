"""`foxstep peers`: the controllers that share a fleet, as one of them sees it."""

import sys

import anyio
import click
import grpc

from foxstep.operate.service import PEERS, ask


def run(address, drain, move):
    question = {} if drain is None else {"drain": drain}
    question.update({"proxy": move[0], "to": move[1]} if move else {})
    try:
        seen = anyio.run(ask, address, PEERS, question)
    except grpc.RpcError as error:
        click.echo(f"foxstep: {address}: {error.details()}", err=True)
        sys.exit(1)
    click.echo(
        f"controller {seen['me']}, epoch {seen['epoch']}, serves {len(seen['proxies'])} proxies"
        + (", sends them away" if seen["draining"] else "")
    )
    for number, peer in seen["peers"].items():
        heard = "never heard" if peer["heard_ms_ago"] is None else f"heard {peer['heard_ms_ago']} ms ago"
        click.echo(
            f"  {number:>3} {peer['state']:9} {peer['proxies']:5} proxies  {heard}, "
            f"{peer['address']}, incarnation {peer['incarnation']}"
        )
        facts = seen["facts"][number]
        lag = facts["confirmed_ms_ago"]
        click.echo(
            f"      known of it: {facts['servers']} servers, {facts['proxies']} proxies, "
            + ("not confirmed yet" if lag is None else f"as of {lag} ms ago")
        )
    for proxy, home in seen["away"].items():
        click.echo(f"  {proxy} is not at home, which is controller {home}")
    click.echo(f"after a split all are home within {seen['heals_within_ms'] / 1000:.1f} s if no note is lost")
    click.echo(
        f"notes: {seen['notes']['sent']} sent, {seen['notes']['heard']} heard, "
        f"{seen['notes']['bytes']} bytes; facts {seen['notes']['facts_bytes']} bytes, "
        f"{seen['notes']['odd']} odd ones dropped"
    )
