"""The command line for operators: ``slipbay COMMAND``. The help of each command describes its output."""

from __future__ import annotations

import sys

import click

from slipbay.cli.channel import channel
from slipbay.cli.check import check
from slipbay.cli.comeback import comeback
from slipbay.cli.fleet import fleet
from slipbay.cli.gather import gather
from slipbay.cli.quota import quota
from slipbay.cli.rig import rig
from slipbay.cli.store import store


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="slipbay")
def main() -> None:
    """A query router between clients on poor links and a fleet of engines."""


@main.command()
def serve() -> None:
    """Run a router, as `python -m slipbay` does. GW_CONFIG names its configuration file."""
    from slipbay.process import serve_until_end

    sys.exit(serve_until_end())


for command in (check, store, fleet, channel, quota, comeback, gather, rig):
    main.add_command(command)
