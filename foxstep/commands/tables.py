"""`foxstep tables`: shows which proxies hold which versions of tables, and orders rollbacks."""

import time

import anyio
import click
import grpc

from foxstep.operate.service import TABLE_METHODS, call_controller
from foxstep.site import InputError

PROGRESS_INTERVAL_S = 0.2


def call(address, verb, **fields):
    """The response of the operator service to the tables request `verb`. Raises InputError."""
    try:
        return anyio.run(call_controller, address, TABLE_METHODS[verb], fields)
    except grpc.RpcError as error:
        raise InputError(f"{address}: {error.details()}") from None


def show_list(address, max_versions):
    """Prints the newest versions and the rollbacks."""
    response = call(address, "list", most=max_versions)
    for entry in response["versions"]:
        age = (response["now"] - entry["at"]) / 1e6
        marks = " ".join(
            word
            for word in (
                "kept" if entry["kept"] else "",
                entry["judged"],
                "<- last good" if entry["version"] == response["last_good"] else "",
            )
            if word
        )
        click.echo(
            f"{entry['version']:>20}  {age:8.1f} s ago  {entry['changed']:4} of {entry['proxies']:4} "
            f"proxies  {marks:24} {entry['cause'][:60]}"
        )
    show_rollbacks(response["rollbacks"])


def show_rollbacks(rollbacks):
    for rollback in rollbacks:
        click.echo(
            f"rollback {rollback['number']}: {rollback['scope']} to {rollback['version']}: "
            f"{rollback['state']} {rollback['why']}".rstrip()
            + f"; {rollback['settled']} of {rollback['covered']} proxies hold it, "
            f"{rollback['reached']} ordered"
        )
        for proxy, reason in rollback["failed"].items():
            click.echo(f"    {proxy}: {reason}")


def show_table(address, proxy, version):
    """Prints what each proxy holds, or the table of `proxy`, as of `version` if that is given."""
    response = call(address, "show", proxy=proxy or "", version=version or "")
    if proxy:
        click.echo(f"{proxy} {response['version']} {response['hash']}")
        for server, weight in sorted(response["lines"].items()):
            click.echo(f"  {server:24} {weight:g}")
        return
    for ident, holder in sorted(response["holders"].items()):
        origin = f" of {holder['rolled_back_to']}" if holder["rolled_back_to"] else ""
        refused = f" REFUSED {holder['refused']}" if holder["refused"] else ""
        click.echo(
            f"{ident:20} {'joined' if holder['joined'] else 'away':7} holds "
            f"{holder['holds'] or '?':16} target {holder['meant']:16}{origin}{refused}"
        )
    click.echo(f"{len(response['behind'])} joined proxies do not hold their target table")


def show_diff(address, old, new):
    """Prints the weights that differ between two versions, one proxy per line."""
    for proxy, changes in call(address, "diff", old=old, new=new)["changes"].items():
        text = ", ".join(f"{server} {a:g} to {b:g}" for server, (a, b) in changes.items())
        click.echo(f"{proxy}: {text}")


def order(address, verb, scope, version=None, lines=None, wait=True):
    """Orders a rollback, pin or table, and with `wait` prints its progress until it ends.

    Returns whether all proxies in the scope hold it; without `wait` True. Stops waiting after 10 s or 20
    times the rollback's bound, whichever is longer. Raises InputError.
    """
    fields = {"scope": scope, "version": version, "lines": lines}
    rollback = call(address, verb, **fields)
    click.echo(
        f"rollback {rollback['number']}: {rollback['scope']} to {rollback['version']}, within "
        f"{rollback['bound_ms'] / 1000:.2f} s if nothing fails"
    )
    started_at = time.monotonic()
    last_text = ""
    timeout_s = max(10.0, 20 * rollback["bound_ms"] / 1000)
    while wait and time.monotonic() - started_at < timeout_s:
        found = [r for r in call(address, "progress")["rollbacks"] if r["number"] == rollback["number"]][0]
        text = f"{found['settled']} of {found['covered']} hold it, {found['state']} {found['why']}".rstrip()
        if text != last_text:
            click.echo(f"  {time.monotonic() - started_at:6.2f} s  {text}")
            last_text = text
        if found["state"] in ("stopped", "replaced"):
            return False
        if found["state"] == "done" and found["settled"] >= found["covered"]:
            return True
        time.sleep(PROGRESS_INTERVAL_S)
    return not wait
