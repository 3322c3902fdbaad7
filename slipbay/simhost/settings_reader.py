"""Reads settings of the policy from the JSON object that the simulator and the platform provide."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from slipbay.policy.settings import Effect, InvalidSettingsError, Scope, ServiceClass, Settings
from slipbay.simhost.frames import MalformedInputError

EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
CONVERSION_ERRORS = (ValueError, TypeError, OverflowError, KeyError, AttributeError)
"""Exceptions that conversions raise for values of a wrong type."""

T = TypeVar("T")
D = TypeVar("D")


class SettingsError(MalformedInputError):
    """Settings that cannot be read; has the key and the reason."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key


class _JsonObject:
    """One JSON object of the settings; errors in a value are reported with its key."""

    def __init__(self, data: object, path: str = "settings") -> None:
        if not isinstance(data, dict):
            raise SettingsError(path, f"cannot be read: want an object; got {data!r}")
        self.data = data
        self.path = path

    def part(self, key: str) -> _JsonObject:
        """A nested object; empty if it is absent or null."""
        return _JsonObject(self.data.get(key) or {}, f"{self.path}.{key}")

    def read(self, key: str, kind: Callable[[Any], T], default: D) -> T | D:
        """An optional value; the default if it is absent or null."""
        return default if self.data.get(key) is None else self.read_required(key, kind)

    def read_required(self, key: str, kind: Callable[[Any], T]) -> T:
        """A required value."""
        if key not in self.data:
            raise SettingsError(f"{self.path}.{key}", "missing")
        value = self.data[key]
        try:
            return kind(value)
        except CONVERSION_ERRORS as problem:
            reason = f"cannot be read: {type(problem).__name__}: {problem}; got {value!r}"
            raise SettingsError(f"{self.path}.{key}", reason) from None


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError("want a list")
    return value


def _integers(value: Any) -> tuple[int, ...]:
    return tuple(int(item) for item in _list(value))


def _floats(value: Any) -> tuple[float, ...]:
    return tuple(float(item) for item in _list(value))


def _strings(value: Any) -> tuple[str, ...]:
    return tuple(str(item) for item in _list(value))


def _classes(info: _JsonObject) -> Iterator[ServiceClass]:
    family = info.part("familyInfo")
    threads = family.read("threadsByClass", _integers, ())
    loads = family.read("isLoad", _list, [])
    blocked = family.read("blockedByLoads", _list, [])
    for number, data in enumerate(info.read_required("profiles", _list)):
        profile = _JsonObject(data, f"settings.profiles[{number}]")
        yield ServiceClass(
            latency_objective_us=profile.read_required("promiseUs", int),
            deadline_us=profile.read_required("giveUpUs", int),
            effect=profile.read_required("effect", lambda name: EFFECTS[name]),
            utility=profile.read("gain", float, 1.0),
            late_utility=profile.read("lateWorth", float, 0.0),
            latency_objective_stretch=profile.read("aimStretch", float, 0.0),
            threads=threads[number] if number < len(threads) else 1,
            is_load=number < len(loads) and bool(loads[number]),
            waits_for_loads=number < len(blocked) and bool(blocked[number]),
            dedup_scope=profile.read("keyScope", lambda name: Scope(name or "all"), Scope("all")),
            dedup_window_us=profile.read("windowUs", int, 0),
            in_order=profile.read("byArrival", bool, False),
            zones=profile.read("staysIn", _integers, None),
            kinds=profile.read("boundTo", _integers, None),
            stream=profile.read("stream", bool, False),
        )


def _limits(info: _JsonObject) -> dict[str, Any]:
    """Actions that the policy is permitted to take, and their limits."""
    limits = info.part("policyLimits")
    max_retry_after_us = limits.read("maxRetryAfterUs", int, 0)
    return {
        "max_attempts": limits.read("attemptsCap", int, 1),
        "may_cancel": limits.read("mayCancel", bool, False),
        "may_duplicate": limits.read("mayDuplicate", bool, False),
        "may_probe": limits.read("probes", bool, False),
        "may_gossip": limits.read("mayTell", bool, False),
        "max_retry_after_us": max_retry_after_us if limits.read("retryAfter", bool, False) else 0,
    }


def _rules(info: _JsonObject) -> dict[str, Any]:
    """Rules that all routers follow."""
    rules = info.part("rules")
    return {
        "answer_slack_us": rules.read("answerSlackUs", int, 0),
        "ask_within_us": rules.read("askWithinUs", int, 0),
        "drain_grace_us": rules.read("drainGraceUs", int, 0),
        "cold_share": rules.read("coldShare", float, 1.0),
        "cold_multiple": rules.read("fallMultiple", float, 1.0),
        "cold_window_us": rules.read("fallUs", int, 0),
        "ramp_us": rules.read("rampTimeUs", int, 0),
        "key_rest_us": rules.read("keyRestUs", int, 0),
        "free_retries": rules.read("extraFree", float, None),
        "retry_share": rules.read("repeatRatio", float, 0.0),
        "retry_window_us": rules.read("countedOverUs", int, 0),
    }


def read_settings(text: bytes) -> Settings:
    """Read the settings; unknown keys are ignored, optional keys may be absent.

    Raises ``SettingsError``.
    """
    try:
        info = _JsonObject(json.loads(text))
    except (ValueError, RecursionError) as problem:
        raise SettingsError("settings", f"cannot be read: {type(problem).__name__}: {problem}") from None
    family = info.part("familyInfo")
    try:
        return Settings(
            classes=tuple(_classes(info)),
            router_count=info.read("balancers", int, 1),
            router_number=info.read("me", int, 0),
            zone=info.read("zone", int, 0),
            kind_cores=family.read("cpuOfKind", _floats, ()),
            tick_us=info.read("tickUs", int, 1000),
            supports_priority=family.read("lanesCount", bool, False),
            list_on_request=info.data.get("membershipMode") == "on_request",
            progress_us=family.read("progressUs", int, 0),
            report_fields=info.part("reporting").read("fields", _strings, ()),
            **_limits(info),
            **_rules(info),
        )
    except InvalidSettingsError as problem:
        raise SettingsError("settings", str(problem)) from None
