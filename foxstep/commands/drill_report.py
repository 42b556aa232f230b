"""Prints the results of a drill: the rules, bounds and estimates that its audit checks, and the service.

Each function prints one part; all but `show_service` return whether what they show is as it should be.
"""

import click

RULE_TITLES = {
    1: "no proxy without servers",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold server overloaded",
    5: "message queue within limits",
}
MAX_SHOWN = 3  # violations of a rule, or proxies, that are named one by one


def show_results(audit, max_error, baseline=None):
    """Prints the results of an audit, with the service of the `baseline` audit for comparison.

    Returns whether all rules and bounds hold and no estimate is off by more than `max_error`, a ratio.
    """
    accepted, stale = audit.epoch_violations()
    results = [
        show_verdicts(audit),
        show_picks(audit),
        show_rollbacks(audit),
        show_ownership_gaps(audit),
        show_stale_tables(audit, stale),
        show_zone_recoveries(audit, accepted, stale),
        show_estimates(audit, max_error),
    ]
    show_service(audit, baseline)
    return all(results)


def show_verdicts(audit):
    """Shows for each rule whether it was kept, and its first violations."""
    passed = True
    for verdict in audit.verdicts():
        passed &= not verdict.violations
        click.echo(
            f"  rule {verdict.rule} {RULE_TITLES[verdict.rule]:27} "
            f"{'BROKEN' if verdict.violations else 'kept':7} {verdict.summary}"
        )
        for at, text in verdict.violations[:MAX_SHOWN]:
            click.echo(f"         {at - audit.begin:6.1f} s: {text}")
        if len(verdict.violations) > MAX_SHOWN:
            click.echo(f"         (and {len(verdict.violations) - MAX_SHOWN} more)")
    return passed


def show_picks(audit):
    """Shows how well the proxies' picks fit their weights; nothing without picks."""
    chi_square, degrees, bound = audit.pick_statistics()
    if not degrees:
        return True
    click.echo(
        f"  picks against weights: chi-square {chi_square:.0f} on {degrees} degrees (bound {bound:.0f})"
    )
    return chi_square <= bound


def show_rollbacks(audit):
    """Shows how long each rollback took to reach the proxies that should hold it."""
    passed = True
    for at, version, bound, absence, took, holders, missing in audit.rollback_convergence():
        passed &= not missing
        click.echo(
            f"  rollback at {at - audit.begin:.1f} s to {version}: {holders} proxies hold it after "
            f"{took:.2f} s ({'bound' if took <= bound else 'LATER than the bound'} {bound:.2f} s, "
            f"{absence:.2f} s of it the controller's absence), {len(missing)} do not"
            + (f": {', '.join(missing[:MAX_SHOWN])}" if missing else "")
        )
    return passed


def show_ownership_gaps(audit):
    """Shows the worst gap; gaps have no verdict."""
    gaps = audit.ownership_gaps()
    if gaps:
        event, longest, proxies, bound = max(gaps, key=lambda gap: gap[1] - gap[3])
        within = sum(gap[1] <= gap[3] for gap in gaps)
        click.echo(
            f"  without an owner, after {len(gaps)} kills and stops: {within} within their bound; "
            f"worst {longest:.2f} s, {proxies} proxies, {event} (bound {bound:.2f} s)"
        )
    return True


def show_stale_tables(audit, stale):
    """Shows tables of a superseded epoch that were accepted; there must be none."""
    for at, text in stale[:MAX_SHOWN]:
        click.echo(f"  FENCE {at - audit.begin:.1f} s: {text}")
    return not stale


def show_zone_recoveries(audit, accepted, stale):
    """Shows how long proxies took to return to their zone, and the number of accepted tables."""
    recoveries = audit.zone_recoveries()
    if not recoveries:
        return True
    click.echo(f"  {accepted} tables accepted, none of a superseded epoch" if not stale else "")
    for took, away, bound, never in recoveries:
        click.echo(
            f"  at home again after notes arrive: {away} proxies were elsewhere, the last "
            f"{took:.2f} s later (bound {bound:.2f} s)" + (f", {never} NEVER" if never else "")
        )
    return all(took <= bound and not never for took, _, bound, never in recoveries)


def show_estimates(audit, max_error):
    """Shows the error of each estimated quantity against the stated one."""
    passed = True
    for quantity, errors in audit.estimate_errors().items():
        if not errors:
            continue
        worst, at = max((error, t) for t, error in errors)
        p99 = sorted(error for _, error in errors)[int(0.99 * len(errors))]
        passed &= worst <= max_error
        click.echo(
            f"  {quantity:8} off by {p99:.1%} (p99), {worst:.1%} (max), at "
            f"{at - audit.begin:.1f} s ({'within' if worst <= max_error else 'MORE than'} the stated "
            f"{max_error:.0%})"
        )
    return passed


def show_service(audit, baseline):
    """Shows what each op type earned of what it could, by time, and the outcomes; it has no verdict."""
    service = audit.earnings_ratios()
    baseline_service = baseline.earnings_ratios() if baseline else {}
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
