"""How commands ask a running router on this machine, shared by every group of commands.

A router answers on its peers' address with pages of text (``slipbay.peer_channel.status_pages``); a part
answers under its topic, the kind of its frames.
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
Ask = Callable[[str, float], dict[str, Any]]
"""Asks the router with a peers' address, waiting so many seconds; ends the command without an answer."""

CHANNEL_TOPIC = 0


def target_argument(command: Command) -> Command:
    """The peers' address of the router to ask, as ``127.0.0.4:7946``."""
    return click.argument("target", metavar="ADDRESS")(command)


def seconds_option(command: Command) -> Command:
    """How long to wait for the answer."""
    option = click.option(
        "--seconds", default=1.0, show_default=True, help="How long to wait for the answer."
    )
    return option(command)


def json_option(help_text: str) -> Callable[[Command], Command]:
    """The flag that prints the answer as JSON."""
    return click.option("--json", "as_json", is_flag=True, help=help_text)


def ask_view(target: str, seconds: float) -> dict[str, Any]:
    """The membership view of a running router."""
    from slipbay.membership.status_client import request_status
    from slipbay.peer_channel.status_pages import NoAnswerError

    try:
        return request_status(address(target, "ADDRESS"), seconds)
    except (ConfigError, NoAnswerError, OSError) as problem:
        fail(str(problem), NO_ANSWER)


def ask_topic(topic: int) -> Ask:
    """Asks for the status of a part: ``topic`` is the kind of its frames, or ``CHANNEL_TOPIC``."""

    def ask_status(target: str, seconds: float) -> dict[str, Any]:
        from slipbay.peer_channel.status_pages import NoAnswerError, encode_request, request_status

        try:
            return request_status(address(target, "ADDRESS"), encode_request(topic), seconds)
        except (ConfigError, NoAnswerError, OSError) as problem:
            fail(str(problem), NO_ANSWER)

    return ask_status


def ask_part(name: str) -> Ask:
    """Asks for the status of the part whose frames are of the kind ``name``; loads the channel when
    called."""

    def ask_status(target: str, seconds: float) -> dict[str, Any]:
        from slipbay.peer_channel.interfaces import FrameKind

        return ask_topic(FrameKind[name])(target, seconds)

    return ask_status


def echo_json(found: dict[str, Any]) -> None:
    """Print an answer as one JSON object."""
    click.echo(json.dumps(found))


def add_metrics_command(group: click.Group, ask: Ask, module: str, about: str) -> None:
    """Add ``metrics`` to a group: the answer in the Prometheus text format.

    Args:
        group: of commands, to which it is added.
        ask: how the router is asked.
        module: the name of the module whose ``exposition`` makes the text of the answer.
        about: what is shown, for the first line of the help.
    """

    def metrics(target: str, seconds: float) -> None:
        try:
            exposition = import_module(module).exposition
        except ImportError as problem:
            fail(f"slipbay[fleet] is not installed: {problem}", NO_ANSWER)
        click.echo(exposition(ask(target, seconds)), nl=False)

    metrics.__doc__ = f"""{about} in the Prometheus text format, for a collector of files.

    Needs slipbay[fleet]. Exit code 0; 1 without an answer or without the library.
    """
    group.command("metrics")(target_argument(seconds_option(metrics)))
