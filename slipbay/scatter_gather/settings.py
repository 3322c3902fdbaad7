"""Loads ``deploy/gather.toml``: which classes are scattered, and how.

Errors name the file, the key and the reason. If scattered queries are not enabled, their modules are not
imported.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from slipbay.config.model import Config
from slipbay.config.validation import DEPLOY_FOLDER, ConfigError, convert, read_if_enabled, require_msgspec

if TYPE_CHECKING:
    from slipbay.scatter_gather.config_schema import ScatterGatherPlan

GATHER_FILE = DEPLOY_FOLDER / "gather.toml"


def load_gather(config: Config, environment: Mapping[str, str]) -> ScatterGatherPlan | None:
    """Return the plan; None if the file is absent or has ``enabled = false``. Raises ``ConfigError``."""
    path = Path(environment.get("SLIPBAY_GATHER") or GATHER_FILE)
    if (data := read_if_enabled(path)) is None:
        return None
    require_msgspec(path.name, "gather")
    from slipbay.scatter_gather.config_schema import ScatterGatherFile

    file = convert(data, ScatterGatherFile, path.name)
    try:
        return file.plan(config)
    except ConfigError as problem:
        raise ConfigError(f"{path.name}: {problem}") from None
