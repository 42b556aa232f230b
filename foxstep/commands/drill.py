"""`foxstep drill`: runs a drill, checks the rules against its record, and prints a table."""

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

# The guard of the program that keeps each rule; `--break` disables it.
GUARD_OF_RULE = {"1": "bare", "2": "twice", "3": "drain", "4": "cold", "5": "queue"}
RULE_TITLES = {
    1: "no proxy without servers",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold server overloaded",
    5: "message queue within limits",
}


def play(name, seconds, folder, disabled_guards, decider, seed):
    """Runs the drill with its record in `folder`, scaled to `seconds`; returns the Audit of the record."""
    day = read_day(name, seconds)
    path = os.path.join(EXAMPLES, day.site)
    site = read_site(path, **day.outside)
    click.echo(
        f"{name}, {day.seconds:.0f} s, decisions by {decider}"
        + (f", without the guard {', '.join(disabled_guards)}" if disabled_guards else "")
    )
    anyio.run(Player(day, site, path, folder, disabled_guards, decider, seed).run)
    return Audit(read(folder), site.settings_map())


def show(audit, max_error, baseline=None):
    """Prints the results of an audit, with the service of the `baseline` audit for comparison.

    Returns whether all rules and bounds hold and no estimate is off by more than `max_error`, a ratio.
    """
    passed = True
    for verdict in audit.verdicts():
        passed &= not verdict.violations
        click.echo(
            f"  rule {verdict.rule} {RULE_TITLES[verdict.rule]:27} "
            f"{'BROKEN' if verdict.violations else 'kept':7} {verdict.summary}"
        )
        for at, text in verdict.violations[:3]:
            click.echo(
                f"         {at - audit.begin:6.1f} s: {text}"
                + (f" (and {len(verdict.violations) - 3} more)" if text == verdict.violations[2:3] else "")
            )
    chi_square, degrees, bound = audit.pick_statistics()
    if degrees:
        passed &= chi_square <= bound
        click.echo(
            f"  picks against weights: chi-square {chi_square:.0f} on {degrees} degrees (bound {bound:.0f})"
        )
    for at, version, bound, absence, took, holders, missing in audit.rollback_convergence():
        passed &= not missing
        click.echo(
            f"  rollback at {at - audit.begin:.1f} s to {version}: {holders} proxies hold it after "
            f"{took:.2f} s ({'bound' if took <= bound else 'LATER than the bound'} {bound:.2f} s, "
            f"{absence:.2f} s of it the controller's absence), {len(missing)} do not"
            + (f": {', '.join(missing[:3])}" if missing else "")
        )
    owner_gaps = audit.ownership_gaps()
    if owner_gaps:
        event, longest, proxies, bound = max(owner_gaps, key=lambda gap: gap[1] - gap[3])
        within = sum(gap[1] <= gap[3] for gap in owner_gaps)
        click.echo(
            f"  without an owner, after {len(owner_gaps)} kills and stops: {within} within their bound; "
            f"worst {longest:.2f} s, {proxies} proxies, {event} (bound {bound:.2f} s)"
        )
    accepted, stale = audit.epoch_violations()
    passed &= not stale
    for at, text in stale[:3]:
        click.echo(f"  FENCE {at - audit.begin:.1f} s: {text}")
    recoveries = audit.zone_recoveries()
    if recoveries:
        passed &= all(took <= bound and not never for took, _, bound, never in recoveries)
        click.echo(f"  {accepted} tables accepted, none of a superseded epoch" if not stale else "")
    for took, away, bound, never in recoveries:
        click.echo(
            f"  at home again after notes arrive: {away} proxies were elsewhere, the last "
            f"{took:.2f} s later (bound {bound:.2f} s)" + (f", {never} NEVER" if never else "")
        )
    for quantity, errors in audit.estimate_errors().items():
        if errors:
            worst, at = max((error, t) for t, error in errors)
            p99 = sorted(error for _, error in errors)[int(0.99 * len(errors))]
            passed &= worst <= max_error
            click.echo(
                f"  {quantity:8} off by {p99:.1%} (p99), {worst:.1%} (max), at "
                f"{at - audit.begin:.1f} s ({'within' if worst <= max_error else 'MORE than'} the stated "
                f"{max_error:.0%})"
            )
    service, baseline_service = audit.earnings_ratios(), baseline.earnings_ratios() if baseline else {}
    intervals = sorted({interval for _, interval in service if interval != "all"})
    click.echo(f"  service{'':16}" + "".join(f"{f'{10 * k} s':>7}" for k in intervals) + f"{'all':>7}")
    for op_type in sorted({name for name, _ in service}, key=lambda k: (k.startswith("all"), k)):
        for label, ratios in ((op_type, service), ("  even baseline", baseline_service)):
            if ratios:
                row = "".join(f"{ratios.get((op_type, k), 1.0):7.3f}" for k in [*intervals, "all"])
                click.echo(f"    {label:19} {row}")
    click.echo(
        f"  outcomes: {dict(audit.outcome_counts().most_common())}; "
        f"refused tables: {len(audit.refused_answers())}"
    )
    return passed


def run(name, seconds, folder, break_rule, baseline, seed):
    """Runs the drill and prints its results; exits with 0 only if they are as they should be."""
    logs.set_up("people", "error")  # warnings of the drill's own proxies are expected and are in the record
    folder = folder or tempfile.mkdtemp(prefix="foxstep-drill-")
    disabled_guards = [GUARD_OF_RULE[break_rule]] if break_rule else []
    audit = play(name, seconds, folder, disabled_guards, "balance", seed)
    baseline_audit = None
    if baseline:
        baseline_audit = play(name, seconds, os.path.join(folder, "even"), [], "even", seed)
        click.echo("the even baseline:")
        show(baseline_audit, read_day(name, seconds).stated)
        click.echo(f"{name}:")
    passed = show(audit, read_day(name, seconds).stated, baseline_audit)
    click.echo(f"  record: {folder}")
    sys.exit(0 if passed else 1)
