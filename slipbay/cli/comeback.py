"""``slipbay comeback``: the warm-up of a router after a start (docs/operate-comeback.md)."""

from __future__ import annotations

import sys
from typing import Any

import click

from slipbay.cli.queries import (
    add_metrics_command,
    echo_json,
    json_option,
    seconds_option,
    status_query_by_kind,
    target_argument,
)

query_status = status_query_by_kind("COMEBACK")

WARMING_UP = 3
"""Exit code while the router is warming up."""


@click.group()
def comeback() -> None:
    """Show how a router warms up after a start (docs/operate-comeback.md)."""


add_metrics_command(comeback, query_status, "slipbay.warmup.metrics", "The status")


@comeback.command("status")
@target_argument
@json_option("Print the whole status as one JSON object.")
@seconds_option
def comeback_status(target: str, as_json: bool, seconds: float) -> None:
    """Show the warm-up phase of the router with this peers' ADDRESS, the reason for it, and the present
    limits.

    Also shows where the estimates that it started with are from.

    Exit code 0 in full service; 1 without an answer; 3 during the warm-up.
    """
    status = query_status(target, seconds)
    if as_json:
        echo_json(status)
    else:
        for line in _table(status):
            click.echo(line)
    sys.exit(0 if status["phase"] == "full" else WARMING_UP)


def _table(status: dict[str, Any]) -> list[str]:
    return [
        f"router     {status['name']} (number {status['number']} of {status['configured']}), "
        f"{status['life_s']:.1f} s old",
        f"phase      {status['phase']} for {status['since_s']:.1f} s: {status['evidence']}",
        f"fleet      {status['newcomers']} come back, {status['rivals']} of them are up, "
        f"{status['sharers']} live; {status['heard']} heard of {status['asked']} asked",
        f"held back  {status['held']:.0%} of threads; refused {status['refused']}, "
        f"waiting {status['waiting']}; {_limits(status)}",
        f"news       {_estimates(status['news'])}",
    ]


def _limits(status: dict[str, Any]) -> str:
    if status["opens"] is None:
        return "no bound on connections"
    return f"{status['threads']} of {status['bound']:g} threads, {status['opens']:g} connections a second"


def _estimates(news: dict[str, Any] | None) -> str:
    """Describe the source and the age of the estimates that the router started with."""
    if news is None:
        return "none"
    return (
        f"{news['source']}, now {news['age_s']:.1f} s old; used {', '.join(news['used']) or 'nothing'}; "
        f"dropped {', '.join(news['dropped']) or 'nothing'}"
    )
