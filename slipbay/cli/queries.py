"""Queries to a running router on this machine, shared by all groups of commands.

A router answers status queries on its peers' address (``slipbay.peer_channel.status_pages``). Each part of
the router has a topic of its own, which is the kind of its frames.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from importlib import import_module
from typing import Any, TypeVar

import click

from slipbay.cli.output import NO_ANSWER, fail
from slipbay.config.fields import address
from slipbay.config.validation import ConfigError

Command = TypeVar("Command", bound=Callable[..., Any])
StatusQuery = Callable[[str, float], dict[str, Any]]
"""Queries the router with a peers' address, with a time-out in seconds; without an answer the command
ends."""

CHANNEL_TOPIC = 0


def target_argument(command: Command) -> Command:
    """Add the peers' address of the router to query, as ``127.0.0.4:7946``."""
    return click.argument("target", metavar="ADDRESS")(command)


def seconds_option(command: Command) -> Command:
    """Add the option for the time-out of the query."""
    option = click.option("--seconds", default=1.0, show_default=True, help="Seconds to wait for the answer.")
    return option(command)


def json_option(help_text: str) -> Callable[[Command], Command]:
    """Return a decorator for the flag that prints the answer as JSON."""
    return click.option("--json", "as_json", is_flag=True, help=help_text)


def query_view(target: str, seconds: float) -> dict[str, Any]:
    """Return the membership view of a running router."""
    from slipbay.membership.status_client import request_status
    from slipbay.peer_channel.status_pages import NoAnswerError

    try:
        return request_status(address(target, "ADDRESS"), seconds)
    except (ConfigError, NoAnswerError, OSError) as problem:
        fail(str(problem), NO_ANSWER)


def status_query_by_topic(topic: int) -> StatusQuery:
    """Return a query for the status of a part; ``topic`` is the kind of its frames, or ``CHANNEL_TOPIC``."""

    def query_status(target: str, seconds: float) -> dict[str, Any]:
        from slipbay.peer_channel.status_pages import NoAnswerError, encode_request, request_status

        try:
            return request_status(address(target, "ADDRESS"), encode_request(topic), seconds)
        except (ConfigError, NoAnswerError, OSError) as problem:
            fail(str(problem), NO_ANSWER)

    return query_status


def status_query_by_kind(name: str) -> StatusQuery:
    """Return a query for the status of the part whose frames have the kind ``name``.

    The modules of the peer channel are imported only when the query is called.
    """

    def query_status(target: str, seconds: float) -> dict[str, Any]:
        from slipbay.peer_channel.interfaces import FrameKind

        return status_query_by_topic(FrameKind[name])(target, seconds)

    return query_status


def echo_json(status: dict[str, Any]) -> None:
    """Print an answer as one JSON object."""
    click.echo(json.dumps(status))


def add_metrics_command(group: click.Group, query: StatusQuery, module: str, subject: str) -> None:
    """Add the command ``metrics`` to a group: the answer in the Prometheus text format.

    Args:
        group: the group of commands.
        query: the query to the router.
        module: the name of the module whose ``exposition`` formats the answer.
        subject: what the command shows, for the first line of its help.
    """

    def metrics(target: str, seconds: float) -> None:
        try:
            exposition = import_module(module).exposition
        except ImportError as problem:
            fail(f"slipbay[fleet] is not installed: {problem}", NO_ANSWER)
        click.echo(exposition(query(target, seconds)), nl=False)

    metrics.__doc__ = f"""{subject} in the Prometheus text format, for a collector that reads files.

    Needs slipbay[fleet]. Exit code 0; 1 without an answer or without the library.
    """
    group.command("metrics")(target_argument(seconds_option(metrics)))
