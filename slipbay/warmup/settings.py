"""``deploy/comeback.toml``: whether a new life finds its way back by evidence, and within which bounds.
Mistakes name file, key and reason."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from slipbay.config.model import Config
from slipbay.config.validation import DEPLOY_FOLDER, ConfigError, convert, read_if_enabled
from slipbay.peer_channel.settings import ChannelConfig, need_channel

if TYPE_CHECKING:
    from slipbay.warmup.plan import WarmupPlan

COMEBACK_FILE = DEPLOY_FOLDER / "comeback.toml"


def load_comeback(
    config: Config, environment: Mapping[str, str], channel: ChannelConfig | None
) -> WarmupPlan | None:
    """None if the file is absent or says ``enabled = false``; then nothing is imported for it. A fleet of one
    needs no channel. Raises ``ConfigError``."""
    path = Path(environment.get("SLIPBAY_COMEBACK") or COMEBACK_FILE)
    if (data := read_if_enabled(path)) is None:
        return None
    if config.settings.router_count > 1:
        need_channel(channel, path.name)
    try:
        from slipbay.warmup.config_schema import WarmupFile
    except ImportError as problem:
        raise ConfigError(f"{path.name}: want the extra packages of slipbay[fleet]: {problem}") from None
    return convert(data, WarmupFile, path.name).plan(config.settings.retry_window_us)
