"""Requests, attempts and answers, which frontends, the dispatcher and backends exchange.

A request refers to its client, its backend and its observer, and each of these is called with the request or
with one of its attempts. Their protocols are therefore defined in this module. The protocols that the
dispatcher alone consults are in ``slipbay.core.ports``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from slipbay.clock import Clock
from slipbay.core.timers import Timer
from slipbay.policy.events import AttemptNote, EngineEntry, EngineId, Event, ListKind, NoteKind, Outcome

QUERY_FAILED = "the query failed"  # reason given to the client if the policy gives none


@dataclass(slots=True, frozen=True)
class ScatteredParts:
    """The parts of a scattered query, as table groups in the order in which the client requested them."""

    requested: tuple[int, ...]
    present: tuple[int, ...]  # complete in the result, which holds them in this order
    missing: tuple[int, ...]  # not in the result


@dataclass(slots=True, frozen=True)
class Served:
    """The request ran. Only its backend and its frontend interpret ``result``."""

    result: object
    parts: ScatteredParts | None = None  # None: not a scattered query


@dataclass(slots=True, frozen=True)
class Rejected:
    """The request did not run, so the client may safely retry it, preferably after ``retry_after_us``."""

    retry_after_us: int = 0
    deadline_passed: bool = False


@dataclass(slots=True, frozen=True)
class Failed:
    """The request failed; whether it had an effect is unknown."""

    reason: str
    deadline_passed: bool = False
    is_client_error: bool = False  # the client sent an invalid request


Answer: TypeAlias = Served | Rejected | Failed


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An engine and the address (host, port) on which it listens."""

    entry: EngineEntry
    address: tuple[str, int]


class Client(Protocol):
    """The sender of a request."""

    def answered(self, request: Request, answer: Answer) -> None:
        """Receive the only, final answer."""


class AttemptObserver(Protocol):
    """Receives the start and the end of each attempt of a request."""

    def attempt_sent(self, attempt: Attempt) -> None:
        """The dispatcher is about to hand an attempt to its backend."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt has ended; called once per attempt, before the request is answered."""


class Exchange(Protocol):
    """The exchange with an engine for one attempt."""

    def stop(self, outcome: Outcome) -> None:
        """Abandon the attempt; it ends with ``outcome`` once the engine can no longer run it."""

    def set_priority(self, priority: int) -> None:
        """Change the priority (0 to 3) at which the engine runs the query."""


class Backend(Protocol):
    """The connections to all engines that use one protocol."""

    def start(self, attempt: Attempt) -> Exchange | None:
        """Start an attempt; None if it has ended within this call."""

    def probe(self, engine: EngineId, done: Callable[[Outcome], None]) -> None:
        """Send a health check to an engine and call ``done`` with its outcome."""

    def close_idle(self, engine: EngineId) -> None:
        """Close the idle connections to an engine."""

    def endpoints_changed(self, kind: ListKind, hosts: list[Endpoint]) -> None:
        """Receive the endpoint list, or the entries of it that have changed."""


class AttemptOwner(Protocol):
    """The interface that the dispatcher offers to its attempts."""

    @property
    def clock(self) -> Clock:
        """The clock that deadlines refer to."""

    def latest_send_us(self, request: Request) -> int:
        """The time until which an attempt of the request may be sent, in us."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: object) -> None:
        """An attempt has ended; called once per attempt."""

    def request_permission(self, attempt: Attempt, wire: str, thread: int, send: Callable[[], None]) -> None:
        """Call ``send`` once the attempt may be sent."""

    def notify(self, event: Event) -> None:
        """Queue an event for the policy."""


@dataclass(slots=True, eq=False)
class Request:
    """A client's request. ``payload`` is opaque to the dispatcher, which passes it to the backend."""

    name: str
    service_class: int
    expires_in_us: int
    payload: object
    client: Client
    backend: Backend
    cost_us: int | None = None
    memory_mb: float = 0.0
    group: int = 0
    tenant: int = 0
    is_repeat: bool = False
    is_write: bool = False
    client_handle: int = 0  # the number that the client has given to the request
    size_bytes: int = 0  # of the payload
    replay_key: str = ""  # the client's key, by which engines drop repeats; forwarded unchanged
    idempotency_key: bytes = b""  # the request runs at most once under it; empty if it may run again
    statement_digest: bytes = b""  # distinguishes statements sent under the same key
    has_client_key: bool = False  # the client chose the key and may repeat the request under it
    is_resent: bool = False  # the client has marked the request as a repeat
    quota_tokens: int = 1  # must be available; one of them is taken (0: another request takes it)
    observer: AttemptObserver | None = None  # set only for parts of scattered queries

    id: int = 0
    deadline_us: int = 0
    priority: int = 1
    grant_mb: float = 0.0
    finished: bool = False
    admitted: bool = False  # all admission gates have admitted the request
    attempt_count: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by attempt number
    deadline_timer: Timer | None = None
    may_have_run_since_us: int | None = None  # when the first attempt that may have run was sent


class Attempt:
    """One attempt to run a request on one engine; the backend reports its progress and its end."""

    def __init__(
        self, owner: AttemptOwner, request: Request, number: int, engine: EngineId, sent_us: int
    ) -> None:
        self._owner = owner
        self.request = request
        self.number = number
        self.engine = engine
        self.sent_us = sent_us
        self.exchange: Exchange | None = None
        self.time_limit: Timer | None = None
        self.finished = False
        self.send_deadline_us = owner.latest_send_us(request)

    def may_send(self) -> bool:
        """Whether the first byte of the attempt may still be sent.

        Backends check this once a connection is open: by then the client may have disconnected, or the time
        for a retry may have passed.
        """
        return not self.request.finished and self._owner.clock.now() < self.send_deadline_us

    def finish(self, outcome: Outcome, result: object = None) -> None:
        """Report the end of the attempt, once; the backend ensures that no engine runs it any longer."""
        if not self.finished:
            self.finished = True
            self._owner.attempt_ended(self, outcome, result)

    def request_permission(self, wire: str, thread: int, send: Callable[[], None]) -> None:
        """Request permission to send the first byte; ``send`` is called at once, later, or never.

        ``wire`` names the protocol. ``thread`` is the MySQL server's connection number, 0 for HTTP.
        """
        self._owner.request_permission(self, wire, thread, send)

    def report_progress(self, kind: NoteKind, value: float) -> None:
        """Pass to the policy what the engine has reported about the attempt."""
        if not self.finished:
            self._owner.notify(AttemptNote(self.request.id, self.number, self.engine, kind, value))


class OutcomeQuery(Attempt):
    """An attempt that an earlier incarnation of this router sent and whose outcome is queried.

    It belongs to no dispatcher: its end is passed to ``done``, and its progress is not reported.
    """

    def __init__(
        self,
        request: Request,
        number: int,
        engine: EngineId,
        sent_us: int,
        engine_started_us: int,
        thread: int,
        done: Callable[[Outcome, object], None],
    ) -> None:
        self.request = request
        self.number = number
        self.engine = engine
        self.sent_us = sent_us
        self.engine_started_us = engine_started_us
        self.thread = thread
        self._done = done
        self.exchange = None
        self.time_limit = None
        self.finished = False

    def finish(self, outcome: Outcome, result: object = None) -> None:
        """Report the outcome, once."""
        if not self.finished:
            self.finished = True
            self._done(outcome, result)

    def report_progress(self, kind: NoteKind, value: float) -> None:
        """Ignore progress: the outcome alone is queried."""
