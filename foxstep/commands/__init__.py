"""The command line: one file a command."""

import sys

import click

from foxstep.site import Trouble


class Refusing(click.Group):
    """Bad input is one line on standard error and exit 2."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except Trouble as trouble:
            click.echo(f"foxstep: {trouble}", err=True)
            sys.exit(2)
