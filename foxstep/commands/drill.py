"""`foxstep drill`: plays a bad day, judges it from the record, prints a table."""

import os
import sys
import tempfile

import anyio
import click

from foxstep.commands import logs
from foxstep.drills.audit import Audit
from foxstep.drills.notation import read_day
from foxstep.drills.player import Player
from foxstep.drills.record import read
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES

GUARDS = {"1": "bare", "2": "twice", "3": "drain", "4": "cold", "5": "queue"}
RULES = {
    1: "nobody bare",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold server pushed over",
    5: "a short queue",
}


def play(name, seconds, folder, off, decider, seed):
    day = read_day(name, seconds)
    path = os.path.join(EXAMPLES, day.site)
    site = read_site(path, **day.outside)
    click.echo(
        f"{name}, {day.seconds:.0f} s, decisions by {decider}"
        + (f", without the guard {', '.join(off)}" if off else "")
    )
    anyio.run(Player(day, site, path, folder, off, decider, seed).run)
    return Audit(read(folder), site.plain())


def show(audit, stated, other=None):
    """The table of rules and service; answers whether all rules hold, and estimates are as `stated`."""
    held = True
    for verdict in audit.verdicts():
        held &= not verdict.breaks
        click.echo(
            f"  rule {verdict.rule} {RULES[verdict.rule]:27} "
            f"{'BROKEN' if verdict.breaks else 'kept':7} {verdict.looked_at}"
        )
        for at, text in verdict.breaks[:3]:
            click.echo(
                f"         {at - audit.begin:6.1f} s: {text}"
                + (f" (and {len(verdict.breaks) - 3} more)" if text == verdict.breaks[2:3] else "")
            )
    chi, degrees, bound = audit.picks()
    if degrees:
        held &= chi <= bound
        click.echo(f"  picks against weights: chi-square {chi:.0f} on {degrees} degrees (bound {bound:.0f})")
    for at, version, bound, away, took, there, missing in audit.convergence():
        held &= not missing
        click.echo(
            f"  rollback at {at - audit.begin:.1f} s to {version}: {there} proxies hold it after "
            f"{took:.2f} s ({'bound' if took <= bound else 'LATER than the bound'} {bound:.2f} s, "
            f"{away:.2f} s of it the controller's absence), {len(missing)} do not"
            + (f": {', '.join(missing[:3])}" if missing else "")
        )
    owners = audit.ownerless()
    if owners:
        what, longest, proxies, bound = max(owners, key=lambda one: one[1] - one[3])
        within = sum(one[1] <= one[3] for one in owners)
        click.echo(
            f"  without an owner, after {len(owners)} kills and stops: {within} within their bound; "
            f"at the worst {longest:.2f} s, {proxies} proxies, {what} (bound {bound:.2f} s)"
        )
    taken, older = audit.fenced()
    held &= not older
    for at, text in older[:3]:
        click.echo(f"  FENCE {at - audit.begin:.1f} s: {text}")
    heals = audit.heals()
    if heals:
        held &= all(took <= bound and not never for took, _, bound, never in heals)
        click.echo(f"  {taken} tables taken, none of an epoch that was over" if not older else "")
    for took, away, bound, never in heals:
        click.echo(
            f"  at home again after notes arrive: {away} proxies were elsewhere, the last "
            f"{took:.2f} s later (bound {bound:.2f} s)" + (f", {never} NEVER" if never else "")
        )
    for what, errors in audit.estimates().items():
        if errors:
            worst, at = max((off, t) for t, off in errors)
            p99 = sorted(off for _, off in errors)[int(0.99 * len(errors))]
            held &= worst <= stated
            click.echo(
                f"  {what:8} off by {p99:.1%} (p99), {worst:.1%} at the worst, at "
                f"{at - audit.begin:.1f} s ({'within' if worst <= stated else 'MORE than'} the stated "
                f"{stated:.0%})"
            )
    service, base = audit.service(), other.service() if other else {}
    stretches = sorted({part for _, part in service if part != "all"})
    click.echo(f"  service{'':16}" + "".join(f"{f'{10 * p} s':>7}" for p in stretches) + f"{'all':>7}")
    for op_type in sorted({kind for kind, _ in service}, key=lambda k: (k.startswith("all"), k)):
        for label, figures in ((op_type, service), ("  even baseline", base)):
            if figures:
                row = "".join(f"{figures.get((op_type, p), 1.0):7.3f}" for p in [*stretches, "all"])
                click.echo(f"    {label:19} {row}")
    click.echo(f"  outcomes: {dict(audit.outcomes().most_common())}; refused tables: {len(audit.refusals())}")
    return held


def run(name, seconds, folder, break_rule, baseline, seed):
    logs.set_up("people", "error")  # what its proxies log of the bad day is in the record
    folder = folder or tempfile.mkdtemp(prefix="foxstep-drill-")
    off = [GUARDS[break_rule]] if break_rule else []
    audit = play(name, seconds, folder, off, "balance", seed)
    other = None
    if baseline:
        other = play(name, seconds, os.path.join(folder, "even"), [], "even", seed)
        click.echo("the even baseline:")
        show(other, read_day(name, seconds).stated)
        click.echo(f"{name}:")
    held = show(audit, read_day(name, seconds).stated, other)
    click.echo(f"  record: {folder}")
    sys.exit(0 if held else 1)
