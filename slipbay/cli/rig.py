"""``slipbay rig``: runs several routers as processes and injects faults (docs/rig.md)."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from slipbay.cli.output import fail
from slipbay.config.validation import ConfigError

# Above this fraction of the time in which the machine did not run the rig, its figures are not reliable
MAX_STARVED_FRACTION = 0.05


@click.group()
def rig() -> None:
    """Run several routers as processes and inject faults (docs/rig.md)."""


@rig.command("run")
@click.argument("script", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--json", "as_json", type=click.Path(path_type=Path), help="Also write the whole report to this file."
)
def rig_run(script: Path, as_json: Path | None) -> None:
    """Run SCRIPT, a TOML file; print the actions, the outcomes at clients, and the result of the checks.

    Service is the utility of the requests served within their class's latency objective, as a fraction of
    that of all requests; peaks are the maxima in any 100 ms.

    Exit code 0 if no rule was broken, 1 if one was, 2 for an error in the script.
    """
    from slipbay.rig.report import table
    from slipbay.rig.runner import run_scenario
    from slipbay.rig.scenario import read

    try:
        report = run_scenario(read(script))
    except ConfigError as problem:
        fail(str(problem))
    for line in report.timeline:
        click.echo(line)
    for what, count in sorted(report.outcomes.items()):
        click.echo(f"{what:<24} {count}")
    for line in table(report.intervals):
        click.echo(line)
    click.echo(f"most threads on an engine {report.max_threads}, further attempts {report.extra_attempts}")
    if report.starved > MAX_STARVED_FRACTION:
        click.echo(
            f"the machine kept the rig from running for {report.starved:.0%} of the time; "
            "figures of service mean little"
        )
    for fault in report.faults:
        click.echo(f"FAULT  {fault}")
    click.echo("all rules kept" if report.good else f"{len(report.faults)} faults")
    if as_json is not None:
        as_json.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    sys.exit(0 if report.good else 1)
