"""Reads ``deploy/comeback.toml``: whether warm-up is enabled, and its parameters. Errors name file, key and
reason."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from slipbay.config.model import Config
from slipbay.config.validation import DEPLOY_FOLDER, ConfigError, convert, read_if_enabled
from slipbay.peer_channel.settings import ChannelConfig, require_channel

if TYPE_CHECKING:
    from slipbay.warmup.plan import WarmupPlan

WARMUP_FILE = DEPLOY_FOLDER / "comeback.toml"


def load_warmup(
    config: Config, environment: Mapping[str, str], channel: ChannelConfig | None
) -> WarmupPlan | None:
    """The plan, or None if the file is absent or has ``enabled = false``; then no module is imported for it.

    A fleet of one needs no channel. Raises ``ConfigError``.
    """
    path = Path(environment.get("SLIPBAY_COMEBACK") or WARMUP_FILE)
    if (data := read_if_enabled(path)) is None:
        return None
    if config.settings.router_count > 1:
        require_channel(channel, path.name)
    try:
        from slipbay.warmup.config_schema import WarmupFile
    except ImportError as problem:
        raise ConfigError(f"{path.name}: want the extra packages of slipbay[fleet]: {problem}") from None
    return convert(data, WarmupFile, path.name).plan(config.settings.retry_window_us)
