"""Actions that a routing policy returns; the host executes them in order. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from slipbay.policy.events import EngineId


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Start the query's next attempt; numbers start at 0. ``limit_us`` 0: until the client's deadline."""

    query: int
    engine: EngineId
    limit_us: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop an attempt; its end is still reported as an event."""

    query: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected, and the client may safely retry. ``retry_after_us`` is advice, 0 for none."""

    query: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; whether the query took effect is unknown."""

    query: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send ``TimerFired`` with the token at ``at_us``."""

    token: int
    at_us: int


@dataclass(slots=True, frozen=True)
class UpdateAttempt:
    """Set the priority (0 to 3) of all attempts, and the memory of later ones (0: the engine decides)."""

    query: int
    priority: int = 1
    memory_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check to an engine."""

    engine: EngineId


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to an engine."""

    engine: EngineId


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a message of at most 256 bytes to the router with number ``to``, or to all if it is ``None``."""

    body: bytes
    to: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str = field(default="")


@dataclass(slots=True, frozen=True)
class WatchList:
    """Subscribe to changes of the engine list, or unsubscribe."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the full engine list."""


Action: TypeAlias = (
    Dispatch
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | UpdateAttempt
    | Probe
    | CloseIdle
    | SendGossip
    | Log
    | WatchList
    | FetchList
)
