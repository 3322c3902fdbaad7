"""Loads ``deploy/quota.toml``, which enables and defines the quotas of the fleet.

If quotas are disabled, no other module of this package is imported.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from slipbay.config.model import Config
from slipbay.config.validation import (
    DEPLOY_FOLDER,
    ConfigError,
    convert,
    read_if_enabled,
    read_toml,
    require_msgspec,
)

if TYPE_CHECKING:
    from slipbay.quota.plan import QuotaPlan

QUOTA_FILE = DEPLOY_FOLDER / "quota.toml"


def load_quota(
    config: Config, environment: Mapping[str, str], old: QuotaPlan | None = None, always: bool = False
) -> QuotaPlan | None:
    """Return the plan; None if the file is absent or has ``enabled = false``.

    ``old`` is the plan that a running router uses. With ``always`` the plan is loaded even if it is disabled,
    and for any number of routers. Raises ``ConfigError`` with file, key and reason.
    """
    path = Path(environment.get("SLIPBAY_QUOTA") or QUOTA_FILE)
    data = read_if_enabled(path)
    if data is None and always:
        if (data := read_toml(path)) is None:
            raise ConfigError("there is no such file", file=path.name)
        data.pop("enabled", None)
    if data is None:
        return None
    require_msgspec(path.name)
    from slipbay.quota.plan import QuotaPlan
    from slipbay.quota.plan_check import check, check_change

    plan = convert(data, QuotaPlan, path.name)
    try:
        if not always:
            _check_fleet(config)
        check(plan, config.tenants, config.classes)
        return check_change(old, plan) if old is not None else plan
    except ConfigError as problem:
        raise problem.in_file(path.name) from None


def _check_fleet(config: Config) -> None:
    number = config.settings.router_number
    if number >= len(config.peers):
        raise ConfigError(
            f"peers has {len(config.peers)} addresses, this router is number {number}", "enabled"
        )
