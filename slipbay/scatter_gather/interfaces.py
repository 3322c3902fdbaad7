"""Interface between the scatterer, which sends the parts of scattered queries, and the stopping rules, which
decide when each query is answered.

A *scattered query* is one request of a declared class, sent as one part for each table group.
``StoppingRules`` is shared by all scattered queries of a router; ``StoppingRule`` is the state machine of one
query. Both do no I/O, read no clock and draw no random numbers: the caller reports each event with its time,
in whole us of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol, TypeAlias

Curve: TypeAlias = tuple[tuple[float, float], ...]
"""Utility of an answer by its completeness: pairs of a fraction of the parts and a utility, both rising to
(1, 1), with linear interpolation between them. Below the first fraction the utility is 0."""


@dataclass(slots=True, frozen=True)
class ScatteredClass:
    """How one class is scattered, as ``deploy/gather.toml`` declares it; checked when the file is read."""

    service_class: str
    part_class: str  # the class of each part; its requests are safe to repeat
    groups: tuple[int, ...]  # one part each, in the order of the rows in the answer
    placeholder: str  # text in the statement that is replaced by the number of the group
    curve: Curve  # its first fraction is the smallest that is ever answered
    price_per_s: float  # utility that each second of waiting costs, where a complete answer has utility 1
    latest_us: int  # maximum time from receipt to answer; the query's own deadline may be sooner
    is_charged_once: bool = False  # a quota charges one token for the query, not one for each part


class EngineCondition(IntEnum):
    """This router's view of an engine at the time when a part was sent to it."""

    USUAL = 0
    COLD = 1  # in slow start
    SLOW = 2  # slow or unhealthy


class PartOutcome(IntEnum):
    """How a part ended."""

    COMPLETE = 0  # all of its rows have been received
    FAILED = 1  # rejected or failed: no rows will be received


@dataclass(slots=True, frozen=True)
class WaitUntil:
    """Wait; call ``evaluate`` at ``until`` (us) unless a part ends before."""

    until: int


@dataclass(slots=True, frozen=True)
class AnswerNow:
    """Answer now with the parts that are complete, and abandon the others."""


@dataclass(slots=True, frozen=True)
class Abort:
    """No useful answer is possible: reject the query if nothing of it ran, else let it fail."""


StoppingDecision: TypeAlias = WaitUntil | AnswerNow | Abort


class StoppingRule(Protocol):
    """Decides when one scattered query is answered.

    ``position`` is a part's index in ``ScatteredClass.groups``. After ``AnswerNow`` or ``Abort`` no more
    events are reported, and the caller calls ``finish`` once.
    """

    def part_sent(self, now: int, position: int, engine: str, condition: EngineCondition) -> None:
        """An attempt of a part is sent to an engine; it replaces an earlier attempt of the same part."""

    def part_ended(self, now: int, position: int, outcome: PartOutcome) -> StoppingDecision:
        """A part ends; this is reported once for each part."""

    def evaluate(self, now: int) -> StoppingDecision:
        """Decide at the present time, without a new event."""
        ...

    def finish(self, now: int) -> None:
        """The query is answered, or its client has left.

        Parts that are still out are cancelled and count as censored observations.
        """


class StoppingRules(Protocol):
    """Makes the stopping rules of one router's scattered queries."""

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> StoppingRule:
        """A query is admitted; its parts are sent now or soon. ``deadline`` (us): when its client gives
        up."""
