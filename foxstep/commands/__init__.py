"""The command line: one module for each command or group of commands."""

import sys

import click

from foxstep.site import InputError


class ErrorReportingGroup(click.Group):
    """A command group that reports invalid input as one line on standard error and exits with 2."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except InputError as error:
            click.echo(f"foxstep: {error}", err=True)
            sys.exit(2)
