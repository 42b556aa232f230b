"""The command line: one module for each command or group of commands."""

import sys

import click

from foxstep.site import InputError


class CommandError(Exception):
    """A command cannot be carried out, though its input is valid. The message is one line."""


class ErrorReportingGroup(click.Group):
    """A command group that reports invalid input as one line on standard error and exits with 2; with 1 for
    a CommandError."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except InputError as error:
            click.echo(f"foxstep: {error}", err=True)
            sys.exit(2)
        except CommandError as error:
            click.echo(f"foxstep: {error}", err=True)
            sys.exit(1)
