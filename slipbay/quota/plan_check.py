"""Checks whether a plan is valid, and whether it may replace another plan."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from slipbay.config.validation import ConfigError
from slipbay.quota.plan import Quota, QuotaPlan, key_of

MAX_VERSION = 2**16 - 1  # u16 in messages
MIN_LEASE_MS = 200
MAX_LEASE_MS = 30_000
MIN_RESERVE = 0.01
MAX_GRANTERS = 64
MIN_BYTES_PER_S = 100
MAX_BYTES_PER_S = 1_000
MAX_NAME_LENGTH = 64
MAX_RATE = 1e6  # requests a second
MAX_BURST = 1e6  # requests
MAX_SOFT = 100  # multiple of the quota
ROUNDING_TOLERANCE = 1e-9  # the sum of parts may exceed 1 by this


def _require(is_valid: bool, key: str, text: str) -> None:
    if not is_valid:
        raise ConfigError(text, key)


def check(plan: QuotaPlan, tenants: Sequence[str], classes: Sequence[str]) -> QuotaPlan:
    """Return the plan. Raises ``ConfigError`` with key and reason if it is not valid."""
    _check_sharing(plan)
    names: dict[int, str] = {}
    for position, quota in enumerate(plan.quotas):
        path = f"quotas[{position}]"
        _require(
            0 < len(quota.name) <= MAX_NAME_LENGTH, f"{path}.name", f"want 1 to {MAX_NAME_LENGTH} characters"
        )
        other = names.get(key_of(quota.name))
        _require(other is None, f"{path}.name", f"{quota.name!r} has the same key as {other!r}")
        names[key_of(quota.name)] = quota.name
        _check_amounts(path, quota)
        _check_names(f"{path}.tenants", quota.tenants, tenants)
        _check_names(f"{path}.classes", quota.classes, classes)
        _check_parts(f"{path}.parts", quota.parts, tenants, classes)
    return plan


def _check_sharing(plan: QuotaPlan) -> None:
    """Check the settings that apply to all quotas."""
    _require(0 <= plan.version <= MAX_VERSION, "version", f"want 0 to {MAX_VERSION}; got {plan.version}")
    _require(
        MIN_LEASE_MS <= plan.term_ms <= MAX_LEASE_MS,
        "term_ms",
        f"want {MIN_LEASE_MS} to {MAX_LEASE_MS}; got {plan.term_ms}",
    )
    _require(
        plan.term_ms <= plan.longest_ms <= MAX_LEASE_MS,
        "longest_ms",
        f"want term_ms ({plan.term_ms}) to {MAX_LEASE_MS}, the time that a router waits after a start until "
        f"shares lent before have ended; got {plan.longest_ms}",
    )
    _require(
        MIN_RESERVE <= plan.reserve <= 1,
        "reserve",
        f"want {MIN_RESERVE} to 1, a fraction of each quota; got {plan.reserve:g}",
    )
    _require(plan.holders >= 1, "holders", f"want 1 or more; got {plan.holders}")
    _require(0 <= plan.wardens <= MAX_GRANTERS, "wardens", f"want 0 to {MAX_GRANTERS}; got {plan.wardens}")
    _require(
        MIN_BYTES_PER_S <= plan.bytes_per_s <= MAX_BYTES_PER_S,
        "bytes_per_s",
        f"want {MIN_BYTES_PER_S} to {MAX_BYTES_PER_S}; got {plan.bytes_per_s}",
    )


def _check_amounts(path: str, quota: Quota) -> None:
    _require(0 < quota.rate <= MAX_RATE, f"{path}.rate", f"want above 0, at most 1e6; got {quota.rate:g}")
    _require(1 <= quota.burst <= MAX_BURST, f"{path}.burst", f"want 1 to 1e6; got {quota.burst:g}")
    _require(1 <= quota.soft <= MAX_SOFT, f"{path}.soft", f"want 1 to {MAX_SOFT}; got {quota.soft:g}")
    _require(quota.open >= 0, f"{path}.open", f"want 0 or more; got {quota.open}")


def _check_names(path: str, names: Sequence[str], known_names: Sequence[str]) -> None:
    for name in names:
        _require(name in known_names, path, f"{name!r} is none of {', '.join(known_names)}")


def _check_parts(
    path: str, parts: dict[str, float], tenants: Collection[str], classes: Collection[str]
) -> None:
    for name, fraction in parts.items():
        is_known = (name in classes) != (name in tenants)
        _require(is_known, f"{path}.{name}", "want the name of a class or of a tenant")
        _require(0 < fraction <= 1, f"{path}.{name}", f"want above 0, at most 1; got {fraction:g}")
    are_classes = {name in classes for name in parts}
    _require(len(are_classes) <= 1, path, "want names of classes or of tenants, not of both")
    total = sum(parts.values())
    _require(total <= 1 + ROUNDING_TOLERANCE, path, f"want at most 1 together; got {total:g}")


def check_change(old: QuotaPlan, new: QuotaPlan) -> QuotaPlan:
    """Return the new plan. Raises ``ConfigError`` if a running router may not change to it."""
    if new != old and new.version <= old.version:
        raise ConfigError(f"want above {old.version}, which is in use; got {new.version}", "version")
    for key in ("reserve", "holders", "wardens"):
        if getattr(new, key) != getattr(old, key):
            raise ConfigError(
                f"want {getattr(old, key):g} as long as any router runs with it, as shares of "
                f"different divisions may sum to more than the quota; got {getattr(new, key):g}",
                key,
            )
    if new.longest_ms < old.term_ms:
        raise ConfigError(
            f"want at least {old.term_ms}, the time for which shares are lent now; got {new.longest_ms}",
            "longest_ms",
        )
    return new
