"""Decodes the events of the journal service: changes of the list of engines, and heartbeats with the last
position.

A line may be corrupt, and an entry may have an unknown form. Such a line or entry is skipped alone: the other
entries of its event are used, and an engine that is listed already keeps its last entry.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from math import isfinite
from typing import Any, TypeAlias

from slipbay.config.fields import address
from slipbay.config.validation import ConfigError
from slipbay.core.model import Endpoint
from slipbay.errors import SlipbayError
from slipbay.log import log
from slipbay.policy.events import EngineEntry, EngineId, EngineState

ENGINE_STATES = {
    "SERVING": EngineState.READY,
    "DRAINING": EngineState.DRAINING,
    "DELETED": EngineState.GONE,
}
DECODE_ERRORS = (ConfigError, KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)
MAX_POSITION = 2**63 - 1
MAX_START_TIME_MS = 2**53  # the largest integer that a JSON number holds exactly, far beyond any date
NO_ADDRESS = "0.0.0.0:0"  # of a removed engine


class UnreadableEventError(SlipbayError):
    """A line or event cannot be used; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The position of the last event; sent each second."""

    pos: int


@dataclass(frozen=True, slots=True)
class ListChange:
    """The full list of engines, or the entries that have changed."""

    pos: int
    is_full_list: bool
    endpoints: tuple[Endpoint, ...]


Event: TypeAlias = Heartbeat | ListChange


def _checked_position(pos: int) -> int:
    if not 0 <= pos <= MAX_POSITION:
        raise ValueError(f"pos: want 0 to {MAX_POSITION}; got {pos}")
    return pos


class EndpointListReader:
    """Decodes events, and stores the last entry of each listed engine."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}
        self._listed: dict[EngineId, Endpoint] = {}

    @property
    def endpoints(self) -> list[Endpoint]:
        """The entries of all listed engines."""
        return list(self._listed.values())

    def apply(self, change: ListChange) -> None:
        """Store the entries of an event."""
        if change.is_full_list:
            self._listed.clear()
        for endpoint in change.endpoints:
            if endpoint.entry.state is EngineState.GONE:
                self._listed.pop(endpoint.entry.engine, None)
            else:
                self._listed[endpoint.entry.engine] = endpoint

    def read_line(self, line: bytes) -> Event:
        """Decode a line: an event, or a heartbeat as an object or as the bare position.

        Raises ``UnreadableEventError``.
        """
        try:
            value = json.loads(line)
            if type(value) is int:
                return Heartbeat(_checked_position(value))
            return self.read(value)
        except DECODE_ERRORS as problem:
            raise UnreadableEventError(f"{type(problem).__name__}: {problem}") from None

    def read(self, event: Any) -> Event:
        """Decode an event from its JSON value. Raises ``UnreadableEventError``."""
        try:
            pos = _checked_position(int(event["pos"]))
            if "hosts" not in event:
                return Heartbeat(pos)
            change = event["hosts"]
            is_full_list = bool(change.get("whole"))
            items = list(change["hosts"])
            endpoints = tuple(self._read_entries(items))
        except DECODE_ERRORS as problem:
            raise UnreadableEventError(f"{type(problem).__name__}: {problem}") from None
        if is_full_list and items and not endpoints:  # an empty list would remove all engines
            raise UnreadableEventError(f"event {pos} is a full list without a readable entry")
        return ListChange(pos, is_full_list, endpoints)

    def _read_entries(self, items: Iterable[Any]) -> Iterable[Endpoint]:
        for item in items:
            try:
                yield self._read_endpoint(item)
            except DECODE_ERRORS as problem:
                log("journal", "unreadable entry of the list", error=type(problem).__name__, reason=problem)
                if (endpoint := self._last_known(item)) is not None:
                    yield endpoint

    def _read_endpoint(self, item: dict[str, Any]) -> Endpoint:
        started_ms = int(item.get("born_ms") or 0)
        size = float(item.get("share") or 1.0)
        state = item["health"]
        if started_ms > MAX_START_TIME_MS:
            raise ValueError(f"born_ms: want at most {MAX_START_TIME_MS}; got {started_ms}")
        if not isfinite(size) or size <= 0:
            raise ValueError(f"share: want a finite number above 0; got {size}")
        if not isinstance(item["host"], str):
            raise TypeError(f"host: want a string; got {item['host']!r}")
        return Endpoint(
            EngineEntry(
                engine=item["host"].encode(),
                zone=self._zones.get(item.get("site", ""), 0),
                kind=self._kinds.get(item.get("class", ""), 0),
                cell=int(item.get("block") or 0),
                state=ENGINE_STATES[state],
                size=size,
                ready_at_us=started_ms * 1000 if started_ms > 0 else 0,
            ),
            address(item.get("dial") or (NO_ADDRESS if state == "DELETED" else None), "dial"),
        )

    def _last_known(self, item: Any) -> Endpoint | None:
        """Return the stored entry of the engine of an unreadable entry, with its new state if the engine
        leaves."""
        if not isinstance(item, dict) or not isinstance(item.get("host"), str):
            return None
        known = self._listed.get(item["host"].encode(errors="replace"))
        leaving_states = {
            name: state for name, state in ENGINE_STATES.items() if state is not EngineState.READY
        }
        state = leaving_states.get(str(item.get("health")))
        if known is None or state is None:
            return known
        return replace(known, entry=replace(known.entry, state=state))
