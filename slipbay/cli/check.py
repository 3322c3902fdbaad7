"""``slipbay check``: reads and checks all configuration files without starting a router."""

from __future__ import annotations

import os
from pathlib import Path

import click

from slipbay.cli.output import fail
from slipbay.config.model import MysqlConfig
from slipbay.config.router import load
from slipbay.config.validation import ConfigError
from slipbay.membership.settings import MembershipConfig, load_membership
from slipbay.peer_channel.settings import ChannelConfig, load_channel, require_channel
from slipbay.quota.settings import load_quota
from slipbay.scatter_gather.config_schema import ScatterGatherPlan
from slipbay.scatter_gather.settings import load_gather
from slipbay.warmup.plan import WarmupPlan
from slipbay.warmup.settings import load_warmup

FILES = {
    "config": "GW_CONFIG",
    "mysql": "SLIPBAY_MYSQL",
    "store": "SLIPBAY_STORE",
    "fleet": "SLIPBAY_FLEET",
    "channel": "SLIPBAY_CHANNEL",
    "comeback": "SLIPBAY_COMEBACK",
    "quota": "SLIPBAY_QUOTA",
    "gather": "SLIPBAY_GATHER",
}
"""Options of the command, and the environment variables that they override."""


def _file_options(command: click.Command) -> click.Command:
    for option, variable in reversed(FILES.items()):
        command = click.option(
            f"--{option}", type=click.Path(path_type=Path), help=f"File to check in place of {variable}."
        )(command)
    return command


@click.command()
@_file_options  # type: ignore[arg-type]
def check(**paths: Path | None) -> None:
    """Read and check all configuration files. Nothing is started or written.

    Exit code 0 if a router would start with them; 2 with the file and key at fault.
    """
    environment = _environment(paths)
    try:
        lines = _summary(environment)
    except ConfigError as problem:
        fail(f"bad configuration: {problem}")
    for line in lines:
        click.echo(line)


def _environment(paths: dict[str, Path | None]) -> dict[str, str]:
    """Return the environment with the files that the options name."""
    environment = dict(os.environ)
    for option, path in paths.items():
        if path is None:
            continue
        environment[FILES[option]] = str(path)
        if option != "config" and not path.exists():
            fail(f"bad configuration: {path}: there is no such file")
    return environment


def _summary(environment: dict[str, str]) -> list[str]:
    """Return a line about each part. Raises ``ConfigError`` for the first error in any file."""
    config = load(environment)
    membership = load_membership(config, environment)
    channel = load_channel(config, environment, membership)
    warmup = load_warmup(config, environment, channel)
    quotas = load_quota(config, environment)
    scatter_gather = load_gather(config, environment)
    if quotas is not None:
        require_channel(channel, "quota.toml")
    return [
        f"{environment['GW_CONFIG']}: good; {config.name} listens at {config.listen[0]}:{config.listen[1]}",
        "the MySQL front is " + _mysql(config.mysql),
        "the durable store is " + (f"on, in {config.store.folder}" if config.store else "off"),
        "the view of the fleet is " + _membership(membership),
        "the channel between routers is " + _channel(channel),
        "coming back by evidence is " + _warmup(warmup),
        "quotas over the fleet are "
        + (f"on, plan {quotas.version} with {len(quotas.quotas)} quotas" if quotas else "off"),
        "scattered queries are " + _scatter_gather(scatter_gather),
    ]


def _mysql(mysql: MysqlConfig | None) -> str:
    return f"on, at {mysql.listen[0]}:{mysql.listen[1]}" if mysql else "off"


def _membership(membership: MembershipConfig | None) -> str:
    if membership is None:
        return "off"
    return f"on, {'signed' if membership.key else 'unsigned'}, build {membership.build}"


def _channel(channel: ChannelConfig | None) -> str:
    if channel is None:
        return "off"
    signed = f"signed with the keys of {channel.key_source}" if channel.key_source else "unsigned"
    return f"on, {channel.rate:g} bytes a second, {signed}"


def _warmup(plan: WarmupPlan | None) -> str:
    if plan is None:
        return "off"
    return f"on, {plan.connections_per_s:g} connections a second and engine for all newcomers"


def _scatter_gather(plan: ScatterGatherPlan | None) -> str:
    if plan is None:
        return "off"
    return "on: " + ", ".join(f"{item.service_class} in {len(item.groups)} parts" for item in plan.scattered)
