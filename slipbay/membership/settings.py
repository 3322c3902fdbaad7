"""``deploy/fleet.toml``: whether membership of the fleet is kept, and how. Errors name the file and the
key."""

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
LEAST_RATE = 300  # bytes a second that probes and answers need
LEAST_BURST = 256  # bytes: one message of the greatest length


@dataclass(frozen=True)
class MembershipConfig:
    """What a router needs to take part in membership."""

    timing: Timing
    build: int
    key: bytes  # empty: senders are known by their source address alone
    old_key: bytes  # accepted too, while keys change
    status: bool  # whether a command on this machine is answered
    shares: bool  # whether the decisions' shares follow the living


def load_fleet(config: Config, environment: Mapping[str, str]) -> MembershipConfig | None:
    """What the file says; ``None`` if it is absent or says ``enabled = false``. Raises ``ConfigError``."""
    path = Path(environment.get("SLIPBAY_FLEET") or FLEET_FILE)
    data = read_if_enabled(path)
    if data is None:
        return None
    require_msgspec(path.name)
    from slipbay.membership.config_schema import MembershipFile, TimingTable, timing

    form = convert(data, MembershipFile, path.name)
    times = timing(convert(form.timing, TimingTable, path.name, "timing"))
    key = _key(path, "key_file", form.key_file)
    old_key = _key(path, "old_key_file", form.old_key_file)
    try:
        check_peers(config)
        _check_timing(times)
    except ConfigError as problem:
        raise problem.in_file(path.name) from None
    return MembershipConfig(times, form.build, key, old_key, form.status, form.shares)


def _key(path: Path, name: str, file: str | None) -> bytes:
    if file is None:
        return b""
    return read_key(path.parent / file, f"{path.name}: {name}")


def _check_timing(timing: Timing) -> None:
    if timing.answer_us * 2 > timing.probe_us * 4:
        raise ConfigError("want at most twice probe_ms", "timing.answer_ms")
    if timing.rate < LEAST_RATE or timing.burst < LEAST_BURST:
        raise ConfigError("want 300 with a burst of 256: probes and answers need room", "timing.rate")


def check_peers(config: Config) -> None:
    """Whether routers can send each other messages at all. Raises ``ConfigError``."""
    if config.peer_listen is None or not config.settings.may_gossip:
        raise ConfigError(
            "the configuration has no peer_listen, or its settings allow no messages", "enabled"
        )
    if not config.settings.router_number < len(config.peers):
        raise ConfigError(
            f"peers has {len(config.peers)} addresses, ours is number {config.settings.router_number}",
            "enabled",
        )
