"""Reads ``deploy/channel.toml``: whether this router uses the channel, and the guaranteed fraction of the
rate for each kind of message. Errors name the file and the key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from slipbay.config.model import Config
from slipbay.config.validation import (
    DEPLOY_FOLDER,
    ConfigError,
    convert,
    read_if_enabled,
    read_key,
    require_msgspec,
)
from slipbay.membership.settings import MembershipConfig, check_peers
from slipbay.peer_channel.frame import MAX_BYTES

CHANNEL_FILE = DEPLOY_FOLDER / "channel.toml"


@dataclass(frozen=True)
class ChannelConfig:
    """Settings of the channel of a router."""

    key: bytes  # empty: senders are identified by their source address only
    old_key: bytes  # also accepted, during a change of keys
    rate: float  # bytes in any second, for all kinds together
    shares: Mapping[str, float]  # guaranteed fraction of the rate by kind, named in lower case
    status: bool  # whether status requests from this host are answered
    key_source: str  # name of the file that names the keys; empty: there are no keys

    def limit_membership(self, membership: MembershipConfig) -> MembershipConfig:
        """Membership settings whose rate is at most the fraction of membership messages plus the rate without
        a guarantee."""
        rate = min(
            membership.timing.rate, int(self.rate * (1 - sum(self.shares.values()) + self.shares["view"]))
        )
        return replace(membership, timing=replace(membership.timing, rate=rate))


def load_channel(
    config: Config, environment: Mapping[str, str], membership: MembershipConfig | None = None
) -> ChannelConfig | None:
    """The settings, or None if the file is absent or has ``enabled = false``. Raises ``ConfigError``.

    If channel.toml names no keys, the channel signs with the keys of ``membership``: a fleet that
    authenticates its membership messages authenticates all messages between routers.
    """
    path = Path(environment.get("SLIPBAY_CHANNEL") or CHANNEL_FILE)
    if (data := read_if_enabled(path)) is None:
        return None
    require_msgspec(path.name)
    from slipbay.peer_channel.config_schema import ChannelFile

    table = convert(data, ChannelFile, path.name)
    try:
        check_peers(config)
    except ConfigError as problem:
        raise ConfigError(f"{path.name}: {problem}") from None
    shares = {name: getattr(table.parts, name) for name in table.parts.__struct_fields__}
    max_sum = 1 - MAX_BYTES / table.rate
    if sum(shares.values()) > max_sum:
        raise ConfigError(
            f"{path.name}: parts: want at most {max_sum:.3f} together, so that the longest "
            f"message always finds room; got {sum(shares.values()):g}"
        )
    if table.old_key_file is not None and table.key_file is None:
        raise ConfigError(f"{path.name}: old_key_file: want key_file too")
    if table.key_file is None:
        keys = (membership.key, membership.old_key) if membership is not None else (b"", b"")
        return ChannelConfig(*keys, table.rate, shares, table.status, "fleet.toml" if keys[0] else "")
    key = read_key(path.parent / table.key_file, f"{path.name}: key_file")
    old = (
        read_key(path.parent / table.old_key_file, f"{path.name}: old_key_file")
        if table.old_key_file is not None
        else b""
    )
    return ChannelConfig(key, old, table.rate, shares, table.status, path.name)


def require_channel(channel: ChannelConfig | None, file: str) -> ChannelConfig:
    """The channel, for a feature that needs it. ``file``: the file that enables the feature. Raises
    ``ConfigError`` if the channel is off."""
    if channel is None:
        raise ConfigError(
            f"{file}: enabled: this feature uses the channel, which is off; set enabled = "
            "true in channel.toml"
        )
    return channel
