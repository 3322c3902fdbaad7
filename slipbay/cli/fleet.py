"""``slipbay fleet``: the membership view of a running router (docs/operate-fleet.md)."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from slipbay.cli.queries import (
    add_metrics_command,
    echo_json,
    json_option,
    query_view,
    seconds_option,
    target_argument,
)

SUSPECTS_ISOLATION = 3
"""Exit code if the router considers itself cut off from the others."""


@click.group()
def fleet() -> None:
    """Show the fleet as a running router sees it (docs/operate-fleet.md)."""


add_metrics_command(fleet, query_view, "slipbay.membership.metrics", "The view and its counters")


def _table(view: dict[str, Any]) -> str:
    zones = ", ".join(f"{name} {count}" for name, count in sorted(view["zones"].items()))
    numbers = "".join(
        f"\n{name:<10} {', '.join(map(str, view[name]))}"
        for name in ("suspect", "gone", "left", "cut_off")
        if view[name]
    )
    odd = ", ODD ONE OUT" if view["odd_one_out"] else ""
    return (
        f"router     {view['name']} (number {view['number']}), view {view['version']}, "
        f"health {view['health']}{odd}\n"
        f"living     {view['living']} of {view['configured']}, by zone: {zones}\n"
        f"shares of  {view['shares_of']}\nbuilds     {', '.join(map(str, view['builds']))}{numbers}"
    )


@fleet.command("status")
@target_argument
@json_option("Print the whole view with its counters as one JSON object.")
@seconds_option
def fleet_status(target: str, as_json: bool, seconds: float) -> None:
    """Show the view of the router with this peers' ADDRESS, as 127.0.0.4:7946. Run it on the router's
    machine.

    Exit code 0; 1 without an answer; 3 if the router considers itself cut off from the others.
    """
    view = query_view(target, seconds)
    if as_json:
        echo_json(view)
    else:
        click.echo(_table(view))
    sys.exit(SUSPECTS_ISOLATION if view["odd_one_out"] else 0)


@fleet.command("watch")
@target_argument
@click.option("--every", default=1.0, show_default=True, help="Seconds between two queries.")
@click.option("--count", default=0, help="Number of queries; 0: until interrupted.")
def fleet_watch(target: str, every: float, count: int) -> None:
    """Print a line for each change of a router's view."""
    previous = None
    queries = 0
    while not count or queries < count:
        queries += 1
        view = query_view(target, every)
        shown = {key: view[key] for key in ("living", "suspect", "gone", "left", "odd_one_out")}
        if shown != previous:
            values = " ".join(f"{key}={value}" for key, value in shown.items())
            click.echo(f"view {view['version']}: {values}")
        previous = shown
        time.sleep(every)
