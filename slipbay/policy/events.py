"""Events that a host passes to a routing policy. Times are in microseconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias

EngineId: TypeAlias = bytes
"""Opaque id of an engine, identical on all routers."""


class EngineState(IntEnum):
    """State of an engine in the engine list."""

    GONE = 0  # removed from the list
    DRAINING = 1  # gets no new attempts
    READY = 2


class ListKind(IntEnum):
    """Type of an engine list event."""

    DELTA = 0  # has the changed entries only
    FULL = 1  # has all entries
    CACHED = 2  # has all entries known at the start; may be out of date
    FAILED = 3  # the list could not be read


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the engine answered with an error
    FULL = "full"  # the engine rejected the attempt because it has no room
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke during the attempt
    CANCELLED = "cancelled"
    MOOT = "moot"  # the attempt ended before it started on an engine

    @property
    def proves_not_run(self) -> bool:
        """Whether the outcome proves that the attempt did not run, so that a retry is safe."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class NoteKind(IntEnum):
    """Type of a progress note."""

    SHARE_DONE = 1  # the value is the fraction of the work that is done
    SPILLS = 2  # the attempt writes intermediate results to disk
    WAITS = 3  # the attempt waits; the value is the reason


WAITS_FOR_LOAD = 2.0
"""Value of a ``WAITS`` note when a load locks the group (1: the attempt waits for memory)."""


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One entry of the engine list."""

    engine: EngineId
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: EngineState = EngineState.READY
    size: float = 1.0
    ready_at_us: int = 0


@dataclass(slots=True, frozen=True)
class EngineList:
    """A change of the engine list, or the full list; a ``FAILED`` event is empty and changes nothing."""

    kind: ListKind
    entries: tuple[EngineEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A query from a client; the router must give one final answer within ``expires_in_us``."""

    query: int
    service_class: int
    expires_in_us: int
    estimated_cost_us: int | None = None
    memory_mb: float = 0.0
    group: float = 0.0
    order_key: int = 0
    tenant: int = 0
    is_repeat: bool = False
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load values that an engine reports, in the order of ``Settings.report_fields``."""

    values: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class StreamBegun:
    """The answer has started to stream to the client; the policy no longer controls the attempt."""

    query: int
    attempt: int
    engine: EngineId


@dataclass(slots=True, frozen=True)
class AttemptNote:
    """A progress note on a running attempt."""

    query: int
    attempt: int
    engine: EngineId
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The single outcome of an attempt. ``complete``: the query needs no answer from the policy any more."""

    query: int
    attempt: int
    engine: EngineId
    outcome: Outcome
    duration_us: int = 0
    complete: bool = False
    work_us: int | None = None
    memory_mb: float = 0.0
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; the query needs no answer any more."""

    query: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by the policy has fired."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The single outcome of a health check."""

    engine: EngineId
    outcome: Outcome
    duration_us: int = 0
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another router, by its number."""

    sender: int
    body: bytes


@dataclass(slots=True, frozen=True)
class RetryBudgetRestored:
    """Queries and retries of an earlier process of this router, as (time in us, amount), oldest first."""

    requests: tuple[tuple[int, float], ...] = ()  # queries received
    retries: tuple[tuple[int, float], ...] = ()  # retries sent


@dataclass(slots=True, frozen=True)
class FleetSize:
    """Number of live routers that share the engines, if the host has a newer count than the settings."""

    routers: int


@dataclass(slots=True, frozen=True)
class EstimatesRestored:
    """Learned estimates that are also valid for another controller; 0 or absent means unknown.

    A new controller receives them as an event; ``Controller.estimates`` returns them.
    """

    pace: float = 0.0  # thread time of answers divided by their work
    best_pace: float = 0.0
    classes: tuple[tuple[float, float, float], ...] = ()  # estimated cost, work (us), correction of estimates
    unhealthy: tuple[tuple[int, int], ...] = ()  # engine digest, us since the engine's latest activity
    groups: tuple[tuple[float, float], ...] = ()  # group, number of its queries; most frequent first


@dataclass(slots=True, frozen=True)
class WarmupChanged:
    """Limit on new engine connections while this router warms up at the same time as many others.

    With ``limit_connections``, a query is sent to an engine with an idle connection. Without one, the query
    waits until a connection becomes idle or a new one may be opened. The first may be opened immediately,
    others at a rate of ``connections_per_s``.
    """

    limit_connections: bool
    connections_per_s: float = float("inf")


@dataclass(slots=True, frozen=True)
class ShutdownDeadline:
    """The process may be killed soon after ``by_us``; all open queries must be answered by then."""

    by_us: int


Event: TypeAlias = (
    EngineList
    | QueryArrived
    | StreamBegun
    | AttemptNote
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | RetryBudgetRestored
    | FleetSize
    | EstimatesRestored
    | WarmupChanged
    | ShutdownDeadline
)
