"""Reads ``deploy/fleet.toml``: whether this router takes part in membership, and with which settings. Errors
name the file and the key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from slipbay.config.model import Config
from slipbay.config.validation import (
    DEPLOY_FOLDER,
    ConfigError,
    convert,
    read_if_enabled,
    read_key,
    require_msgspec,
)

if TYPE_CHECKING:
    from slipbay.membership.timing import Timing

FLEET_FILE = DEPLOY_FOLDER / "fleet.toml"
MIN_RATE = 300  # bytes per second that probes and answers need
MIN_BURST = 256  # bytes of the longest message


@dataclass(frozen=True)
class MembershipConfig:
    """Settings of the membership protocol of a router."""

    timing: Timing
    build: int
    key: bytes  # empty: senders are identified by their source address only
    old_key: bytes  # also accepted, during a change of keys
    status: bool  # whether status requests from this host are answered
    shares: bool  # whether the limits are divided by the number of live routers


def load_membership(config: Config, environment: Mapping[str, str]) -> MembershipConfig | None:
    """The settings, or ``None`` if the file is absent or has ``enabled = false``. Raises ``ConfigError``."""
    path = Path(environment.get("SLIPBAY_FLEET") or FLEET_FILE)
    data = read_if_enabled(path)
    if data is None:
        return None
    require_msgspec(path.name)
    from slipbay.membership.config_schema import MembershipFile, TimingTable, timing

    table = convert(data, MembershipFile, path.name)
    parsed_timing = timing(convert(table.timing, TimingTable, path.name, "timing"))
    key = _key(path, "key_file", table.key_file)
    old_key = _key(path, "old_key_file", table.old_key_file)
    try:
        check_peers(config)
        _check_timing(parsed_timing)
    except ConfigError as problem:
        raise problem.in_file(path.name) from None
    return MembershipConfig(parsed_timing, table.build, key, old_key, table.status, table.shares)


def _key(path: Path, name: str, file: str | None) -> bytes:
    if file is None:
        return b""
    return read_key(path.parent / file, f"{path.name}: {name}")


def _check_timing(timing: Timing) -> None:
    if timing.answer_us * 2 > timing.probe_us * 4:
        raise ConfigError("want at most twice probe_ms", "timing.answer_ms")
    if timing.rate < MIN_RATE or timing.burst < MIN_BURST:
        raise ConfigError(
            "want at least 300, and a burst of at least 256, for probes and answers", "timing.rate"
        )


def check_peers(config: Config) -> None:
    """Raise ``ConfigError`` if routers cannot send each other messages with this configuration."""
    if config.peer_listen is None or not config.settings.may_gossip:
        raise ConfigError(
            "the configuration has no peer_listen, or its settings allow no messages", "enabled"
        )
    if not config.settings.router_number < len(config.peers):
        raise ConfigError(
            f"peers has {len(config.peers)} addresses, this router is number {config.settings.router_number}",
            "enabled",
        )
