"""``slipbay gather``: scattered queries of a running router (docs/operate-gather.md)."""

from __future__ import annotations

import click

from slipbay.cli.queries import (
    add_metrics_command,
    echo_json,
    json_option,
    seconds_option,
    status_query_by_kind,
    target_argument,
)

query_status = status_query_by_kind("GATHER")


@click.group()
def gather() -> None:
    """Show the scattered queries of a running router (docs/operate-gather.md)."""


add_metrics_command(gather, query_status, "slipbay.scatter_gather.metrics", "The status")


@gather.command("status")
@target_argument
@json_option("Print the whole status as one JSON object.")
@seconds_option
def gather_status(target: str, as_json: bool, seconds: float) -> None:
    """Show the outcomes of scattered queries by class, at the router with this peers' ADDRESS.

    Exit code 0; 1 without an answer.
    """
    status = query_status(target, seconds)
    if as_json:
        echo_json(status)
        return
    reports = ", ".join(f"{count} {what}" for what, count in status["words"].items())
    click.echo(
        f"router     {status['name']}: {status['open']} open, {status['bytes']} bytes of rows wait; "
        f"words of part times: {reports}"
    )
    for name, counts in status["classes"].items():
        part_count = counts["parts_present"] + counts["parts_missing"]
        click.echo(
            f"{name}: {counts['whole']} whole, {counts['partial']} partial, "
            f"{counts['failed']} failed, {counts['refused']} refused, {counts['left']} called off; "
            f"of {part_count} parts of those served {counts['parts_missing']} are missing"
        )
