"""`foxstep drill`: runs a drill, checks the rules against its record, and prints a table."""

import os
import sys
import tempfile

import anyio
import click

from foxstep.commands import logs
from foxstep.commands.drill_report import show_results
from foxstep.drills.audit import Audit
from foxstep.drills.notation import read_day
from foxstep.drills.player import Player
from foxstep.drills.record import read
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES

# The guard of the program that keeps each rule; `--break` disables it.
GUARD_OF_RULE = {"1": "bare", "2": "twice", "3": "drain", "4": "cold", "5": "queue"}


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
        show_results(baseline_audit, read_day(name, seconds).stated)
        click.echo(f"{name}:")
    passed = show_results(audit, read_day(name, seconds).stated, baseline_audit)
    click.echo(f"  record: {folder}")
    sys.exit(0 if passed else 1)
