"""``slipbay rig``: several routers as processes, with faults between them (docs/rig.md)."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from slipbay.cli.output import fail
from slipbay.config.validation import ConfigError

STARVED = (
    0.05  # share of the time that the machine kept the rig from running, above which figures mean little
)


@click.group()
def rig() -> None:
    """Several routers as processes, with faults between them (docs/rig.md)."""


@rig.command("run")
@click.argument("script", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", type=click.Path(path_type=Path), help="Write the whole report there too.")
def rig_run(script: Path, as_json: Path | None) -> None:
    """Play SCRIPT, a TOML file; print what was done, what clients got, and the verdict. Service is the worth
    that was served within its class's aim, of all that was asked for; peaks are the most in any 100 ms.

    Exit code 0 where all rules were kept, 1 where one was broken, 2 for a faulty script.
    """
    from slipbay.rig.report import table
    from slipbay.rig.runner import play
    from slipbay.rig.scenario import read

    try:
        verdict = play(read(script))
    except ConfigError as problem:
        fail(str(problem))
    for line in verdict.timeline:
        click.echo(line)
    for what, count in sorted(verdict.outcomes.items()):
        click.echo(f"{what:<24} {count}")
    for line in table(verdict.stretches):
        click.echo(line)
    click.echo(f"most threads on an engine {verdict.max_threads}, further attempts {verdict.extra_attempts}")
    if verdict.starved > STARVED:
        click.echo(
            f"the machine kept the rig from running for {verdict.starved:.0%} of the time; "
            "figures of service mean little"
        )
    for fault in verdict.faults:
        click.echo(f"FAULT  {fault}")
    click.echo("all rules kept" if verdict.good else f"{len(verdict.faults)} faults")
    if as_json is not None:
        as_json.write_text(json.dumps(verdict.as_json(), indent=1) + "\n")
    sys.exit(0 if verdict.good else 1)
