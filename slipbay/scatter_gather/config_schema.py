"""The keys of ``deploy/gather.toml`` with their bounds; imported only if scattered queries are enabled."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise
from typing import Annotated

from msgspec import Meta, Struct, field

from slipbay.config.model import Config
from slipbay.config.validation import ConfigError
from slipbay.policy.settings import Effect
from slipbay.scatter_gather.interfaces import ScatteredClass

MAX_GROUPS = 64

Group = Annotated[int, Meta(ge=0, lt=10**9)]
Share = Annotated[float, Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class ScatterGatherPlan:
    """Which classes a router scatters, and the limits on open scattered queries."""

    scattered: tuple[ScatteredClass, ...]
    max_open: int  # scattered queries open at the same time
    max_bytes: int  # of buffered rows of all open scattered queries


class ScatterTable(Struct, forbid_unknown_fields=True, frozen=True):
    """The keys of a ``[[scatter]]`` table: how one class is scattered."""

    service_class: str = field(name="class")
    parts: str
    groups: Annotated[tuple[Group, ...], Meta(min_length=2, max_length=MAX_GROUPS)]
    mark: Annotated[str, Meta(min_length=2, max_length=64)] = "{group}"
    curve: tuple[tuple[Share, Share], ...] = ((1.0, 1.0),)
    price_per_s: Annotated[float, Meta(ge=0, le=1_000)] = 0.1
    latest_ms: Annotated[float, Meta(ge=1, le=600_000)] = 2_000
    cost: Annotated[str, Meta(pattern="^(parts|one)$")] = "parts"


class ScatterGatherFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The keys of the file."""

    scatter: tuple[ScatterTable, ...] = ()
    most_open: Annotated[int, Meta(ge=1, le=4096)] = 256
    most_mb: Annotated[float, Meta(gt=0, le=1024)] = 16

    def plan(self, config: Config) -> ScatterGatherPlan:
        """Check the values against the router's configuration. Raises ``ConfigError``."""
        max_bytes = int(self.most_mb * 1024 * 1024)
        _check(
            max_bytes <= config.limits.request_bytes,
            "most_mb",
            f"at most a quarter of limits.memory_mb ({config.limits.memory_mb})",
        )
        _check(bool(self.scatter), "scatter", "at least one class")
        declared: set[str] = set()
        for number, item in enumerate(self.scatter):
            _check(item.service_class not in declared, f"scatter[{number}].class", "each class once")
            declared.add(item.service_class)
        return ScatterGatherPlan(
            tuple(_scattered(config, item, f"scatter[{number}]") for number, item in enumerate(self.scatter)),
            self.most_open,
            max_bytes,
        )


def _scattered(config: Config, item: ScatterTable, path: str) -> ScatteredClass:
    effects = {name: spec.effect for name, spec in zip(config.classes, config.settings.classes, strict=True)}
    for key, name in (("class", item.service_class), ("parts", item.parts)):
        _check(name in effects, f"{path}.{key}", f"one of {', '.join(effects)}; got {name!r}")
    _check(
        effects[item.service_class] is not Effect.UNSAFE,
        f"{path}.class",
        f"a class whose effect is safe or keyed; {item.service_class!r} is unsafe",
    )
    _check(
        effects[item.parts] is Effect.SAFE,
        f"{path}.parts",
        f"a class that is safe to repeat; {item.parts!r} is not",
    )
    _check(len(set(item.groups)) == len(item.groups), f"{path}.groups", "each group once")
    _check(
        len(item.groups) <= config.max_open,
        f"{path}.groups",
        f"at most as many as requests may be open ({config.max_open})",
    )
    _check(
        not item.mark.isalnum(),
        f"{path}.mark",
        f"a mark with a character other than letters and digits, as {{group}}; got {item.mark!r}",
    )
    curve = item.curve
    _check(
        bool(curve) and curve[0][0] > 0 and curve[-1] == (1.0, 1.0),
        f"{path}.curve",
        "pairs of share and utility, the first share above 0, the last pair [1, 1]",
    )
    _check(
        all(a[0] < b[0] and a[1] <= b[1] for a, b in pairwise(curve)),
        f"{path}.curve",
        "shares that rise and utilities that do not fall",
    )
    return ScatteredClass(
        item.service_class,
        item.parts,
        item.groups,
        item.mark,
        curve,
        item.price_per_s,
        int(item.latest_ms * 1000),
        item.cost == "one",
    )


def _check(is_valid: bool, key: str, expected: str) -> None:
    if not is_valid:
        raise ConfigError(f"{key}: want {expected}")
