"""``slipbay quota``: fleet-wide quotas of tenants (docs/operate-quota.md)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import click

from slipbay.cli.output import NO_ANSWER, fail
from slipbay.cli.queries import (
    add_metrics_command,
    echo_json,
    json_option,
    seconds_option,
    status_query_by_kind,
    target_argument,
)
from slipbay.config.router import load
from slipbay.config.validation import ConfigError
from slipbay.quota.settings import load_quota

query_status = status_query_by_kind("QUOTA")


@click.group()
def quota() -> None:
    """Show the fleet-wide quotas of tenants (docs/operate-quota.md)."""


add_metrics_command(quota, query_status, "slipbay.quota.metrics", "The status")


def _base_shares(shares: dict[str, Any], unit: str = "") -> str:
    """Return base shares by number, each with its remaining lease time in ``unit``, else with its holder."""
    return ", ".join(
        f"{number} ({detail} {unit})" if unit else f"{number} to {detail}"
        for number, detail in shares.items()
    )


@quota.command("status")
@target_argument
@json_option("Print the whole status as one JSON object.")
@seconds_option
def quota_status(target: str, as_json: bool, seconds: float) -> None:
    """Show the part of each quota that the router with this peers' ADDRESS has: requested and admitted rates,
    its share, lent and borrowed shares with their age, and rejections by cause.

    Exit code 0; 1 without an answer.
    """
    status = query_status(target, seconds)
    if as_json:
        echo_json(status)
        return
    click.echo(
        f"router     {status['name']} (number {status['number']} of {status['configured']}), "
        f"plan {status['version']}"
    )
    if status["tenure"]:
        _echo_leases(status["tenure"])
    for name, share in status["quotas"].items():
        _echo_quota(name, share)


def _echo_leases(leases: dict[str, Any]) -> None:
    wanted = leases["wanted"]
    missing = f"; asked for in vain: {', '.join(map(str, wanted))}" if wanted else ""
    click.echo(f"homes      {_base_shares(leases['homes'], 's left') or 'none'}{missing}")
    granted = "nothing yet, after a start" if leases["waits"] else _base_shares(leases["promised"]) or "none"
    click.echo(f"wardens    {', '.join(map(str, leases['wardens']))}; promised here: {granted}")


def _echo_quota(name: str, share: dict[str, Any]) -> None:
    counts = ", ".join(f"{event} {count}" for event, count in sorted(share["counts"].items())) or "unused"
    waiting = "" if share["awake"] else ", waits"
    click.echo(
        f"{name}: {share['rate']:g}/s, burst {share['burst']:g}; asked {share['asked']:g}/s; share "
        f"{share['share']:.1%} of home {share['home']:.1%}{waiting}; {counts}"
    )
    for borrower, fraction in share["lent"].items():
        click.echo(f"  lent to {borrower}: {fraction:.2%}")
    for lender, (fraction, age_s) in share["borrowed"].items():
        click.echo(f"  borrowed of {lender}: {fraction:.2%}, asked {age_s:.1f} s ago")


@quota.command("explain")
@click.option(
    "--file",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="A quota.toml in place of SLIPBAY_QUOTA, enabled or not.",
)
@click.option("--routers", type=click.IntRange(1), help="Number of routers, in place of that in GW_CONFIG.")
def quota_explain(path: Path | None, routers: int | None) -> None:
    """Show what a plan guarantees: for each quota the most that the fleet admits in any window of t seconds.

    Exit code 0; 2 with the file and key at fault.
    """
    environment = dict(os.environ)
    try:
        from slipbay.quota.guarantees import explain

        config = load(environment)
        if path is not None:
            environment["SLIPBAY_QUOTA"] = str(path)
        plan = load_quota(config, environment, always=True)
    except ImportError as problem:
        fail(f"slipbay[fleet] is not installed: {problem}", NO_ANSWER)
    except ConfigError as problem:
        fail(f"bad configuration: {problem}")
    assert plan is not None
    click.echo(explain(plan, routers or max(1, len(config.peers))))
