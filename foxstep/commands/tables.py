"""`foxstep tables`: who holds what, and back to an earlier version."""

import time

import anyio
import click
import grpc

from foxstep.operate.service import TABLES, ask
from foxstep.site import Trouble

LOOK_EVERY = 0.2


def question(address, verb, **fields):
    try:
        return anyio.run(ask, address, TABLES[verb], fields)
    except grpc.RpcError as error:
        raise Trouble(f"{address}: {error.details()}") from None


def show_list(address, most):
    answer = question(address, "list", most=most)
    for entry in answer["versions"]:
        age = (answer["now"] - entry["at"]) / 1e6
        marks = " ".join(
            word
            for word in (
                "kept" if entry["kept"] else "",
                entry["judged"],
                "<- last good" if entry["version"] == answer["last_good"] else "",
            )
            if word
        )
        click.echo(
            f"{entry['version']:>20}  {age:8.1f} s ago  {entry['changed']:4} of {entry['proxies']:4} "
            f"proxies  {marks:24} {entry['cause'][:60]}"
        )
    show_rollbacks(answer["rollbacks"])


def show_rollbacks(rollbacks):
    for r in rollbacks:
        click.echo(
            f"rollback {r['number']}: {r['scope']} to {r['version']}: {r['state']} {r['why']}".rstrip()
            + f"; {r['settled']} of {r['covered']} proxies hold it, {r['reached']} ordered"
        )
        for proxy, why in r["failed"].items():
            click.echo(f"    {proxy}: {why}")


def show_table(address, proxy, version):
    answer = question(address, "show", proxy=proxy or "", version=version or "")
    if proxy:
        click.echo(f"{proxy} {answer['version']} {answer['hash']}")
        for server, weight in sorted(answer["lines"].items()):
            click.echo(f"  {server:24} {weight:g}")
        return
    for ident, holder in sorted(answer["holders"].items()):
        back = f" of {holder['rolled_back_to']}" if holder["rolled_back_to"] else ""
        refused = f" REFUSED {holder['refused']}" if holder["refused"] else ""
        click.echo(
            f"{ident:20} {'joined' if holder['joined'] else 'away':7} holds "
            f"{holder['holds'] or '?':16} meant {holder['meant']:16}{back}{refused}"
        )
    click.echo(f"{len(answer['behind'])} joined proxies do not hold what they are meant to")


def show_diff(address, old, new):
    for proxy, changes in question(address, "diff", old=old, new=new)["changes"].items():
        told = ", ".join(f"{server} {a:g} to {b:g}" for server, (a, b) in changes.items())
        click.echo(f"{proxy}: {told}")


def order(address, verb, scope, version=None, lines=None, wait=True):
    """Orders, and follows the progress until it has ended. Answers whether all that are covered hold it."""
    fields = {"scope": scope, "version": version, "lines": lines}
    made = question(address, verb, **fields)
    click.echo(
        f"rollback {made['number']}: {made['scope']} to {made['version']}, within "
        f"{made['bound_ms'] / 1000:.2f} s if nothing fails"
    )
    began, last = time.monotonic(), ""
    limit = max(10.0, 20 * made["bound_ms"] / 1000)
    while wait and time.monotonic() - began < limit:
        found = [r for r in question(address, "progress")["rollbacks"] if r["number"] == made["number"]][0]
        told = f"{found['settled']} of {found['covered']} hold it, {found['state']} {found['why']}".rstrip()
        if told != last:
            click.echo(f"  {time.monotonic() - began:6.2f} s  {told}")
            last = told
        if found["state"] in ("stopped", "replaced"):
            return False
        if found["state"] == "done" and found["settled"] >= found["covered"]:
            return True
        time.sleep(LOOK_EVERY)
    return not wait
