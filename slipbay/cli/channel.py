"""``slipbay channel``: traffic of a running router on the peer channel (docs/channel.md)."""

from __future__ import annotations

import click

from slipbay.cli.queries import (
    CHANNEL_TOPIC,
    add_metrics_command,
    echo_json,
    json_option,
    seconds_option,
    status_query_by_topic,
    target_argument,
)

query_status = status_query_by_topic(CHANNEL_TOPIC)


@click.group()
def channel() -> None:
    """Show what a running router sends and receives on the peer channel (docs/channel.md)."""


add_metrics_command(channel, query_status, "slipbay.peer_channel.metrics", "The counters")


@channel.command("status")
@target_argument
@json_option("All counters as one JSON object.")
@seconds_option
def channel_status(target: str, as_json: bool, seconds: float) -> None:
    """Show counts of messages by kind at the router with this peers' ADDRESS. Run it on the router's machine.

    Exit code 0; 1 without an answer.
    """
    status = query_status(target, seconds)
    if as_json:
        echo_json(status)
        return
    click.echo(
        f"router     {status['name']}, at most {status['rate']:g} bytes a second\n"
        f"dropped    {status['skipped']} of unknown kinds, {status['garbled']} garbled, "
        f"{status['foreign']} foreign"
    )
    for kind, counts in status["kinds"].items():
        click.echo(
            f"{kind:<10} {counts['part']:.0%} surely; sent {counts['sent']} ({counts['bytes']} bytes), "
            f"{counts['over_budget']} over budget; received {counts['received']}"
        )
