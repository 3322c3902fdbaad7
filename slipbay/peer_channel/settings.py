"""``deploy/channel.toml``: whether this router talks over the channel, and what each kind surely gets of its
rate. Mistakes name the file and the key."""

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
from slipbay.peer_channel.frame import MOST_BYTES

CHANNEL_FILE = DEPLOY_FOLDER / "channel.toml"


@dataclass(frozen=True)
class ChannelConfig:
    """What a router needs to talk over the channel."""

    key: bytes  # empty: messages are told by their source address alone
    old_key: bytes  # accepted too, while keys change
    rate: float  # bytes in any second, of all kinds together
    parts: Mapping[str, float]  # of the rate, what each kind surely gets, by its name in lower case
    status: bool  # whether a command on this machine is answered
    keys_of: str  # the file whose keys these are; empty: there are none

    def within(self, view: MembershipConfig) -> MembershipConfig:
        """The view's settings with no more than its part of the rate and what is in none."""
        rate = min(view.timing.rate, int(self.rate * (1 - sum(self.parts.values()) + self.parts["view"])))
        return replace(view, timing=replace(view.timing, rate=rate))


def load_channel(
    config: Config, environment: Mapping[str, str], view: MembershipConfig | None = None
) -> ChannelConfig | None:
    """None if the file is absent or says ``enabled = false``. The keys of ``view`` seal the channel too where
    channel.toml names none: a fleet that keeps strangers out of its view keeps them out of all. Raises
    ``ConfigError``."""
    path = Path(environment.get("SLIPBAY_CHANNEL") or CHANNEL_FILE)
    if (data := read_if_enabled(path)) is None:
        return None
    require_msgspec(path.name)
    from slipbay.peer_channel.config_schema import ChannelFile

    form = convert(data, ChannelFile, path.name)
    try:
        check_peers(config)
    except ConfigError as problem:
        raise ConfigError(f"{path.name}: {problem}") from None
    parts = {name: getattr(form.parts, name) for name in form.parts.__struct_fields__}
    most = 1 - MOST_BYTES / form.rate
    if sum(parts.values()) > most:
        raise ConfigError(
            f"{path.name}: parts: want at most {most:.3f} together, so that the longest "
            f"message always finds room; got {sum(parts.values()):g}"
        )
    if form.old_key_file is not None and form.key_file is None:
        raise ConfigError(f"{path.name}: old_key_file: want key_file too")
    if form.key_file is None:
        keys = (view.key, view.old_key) if view is not None else (b"", b"")
        return ChannelConfig(*keys, form.rate, parts, form.status, "fleet.toml" if keys[0] else "")
    key = read_key(path.parent / form.key_file, f"{path.name}: key_file")
    old = (
        read_key(path.parent / form.old_key_file, f"{path.name}: old_key_file")
        if form.old_key_file is not None
        else b""
    )
    return ChannelConfig(key, old, form.rate, parts, form.status, path.name)


def need_channel(channel: ChannelConfig | None, file: str) -> ChannelConfig:
    """For a part that is on. ``file``: the one that switched it on. Raises ``ConfigError`` where the channel
    is off."""
    if channel is None:
        raise ConfigError(
            f"{file}: enabled: this part talks over the channel, which is off; set enabled = "
            "true in channel.toml"
        )
    return channel
