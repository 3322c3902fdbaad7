"""Finds out, after a crash of the router, the outcomes of requests that its earlier incarnation has sent."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from slipbay.clock import Clock
from slipbay.core.model import Answer, Backend, Endpoint, OutcomeQuery, Request
from slipbay.core.timers import Timers
from slipbay.idempotency import recovery
from slipbay.idempotency.answer_codec import pack
from slipbay.idempotency.key_record import Intent, KeyRecord
from slipbay.idempotency.recovery import ListedEngine, RecoveredOutcome, RecoveryMethod, RecoveryProgress
from slipbay.log import log
from slipbay.policy.events import EngineState, ListKind, Outcome

MAX_OUTCOME_QUERIES = 32  # in progress at once; more would delay new requests on the engines

Resolve = Callable[[KeyRecord, RecoveredOutcome, bytes], None]
"""Called with a record, its outcome and, if the request was served, the encoded answer (else empty)."""


class DetachedClient:
    """Replaces a disconnected client of a request that continues, as the client may repeat the request."""

    def answered(self, request: Request, answer: Answer) -> None:
        """Ignore the answer: no client is connected."""


DETACHED_CLIENT = DetachedClient()


class OutcomeQueryBackend(Backend, Protocol):
    """A backend that can query the outcome of an attempt that an earlier incarnation has sent."""

    wire: str

    def query_outcome(self, query: OutcomeQuery, until_us: int) -> None:
        """Query the engine; the query ends once, with ``RESET`` if no outcome is received by ``until_us``."""


class RecoveryRunner:
    """Tracks the listed engines and queries them for the outcomes of open records, a few at a time."""

    def __init__(self, clock: Clock, timers: Timers, resolve: Resolve) -> None:
        self._clock = clock
        self._timers = timers
        self._resolve = resolve
        self._backends: dict[str, OutcomeQueryBackend] = {}  # by wire
        self._engines: dict[bytes, ListedEngine] = {}
        self._progress: RecoveryProgress | None = None  # None before recovery starts and after it is complete

    @property
    def is_running(self) -> bool:
        """Whether some records have no outcome yet."""
        return self._progress is not None

    def set_backends(self, backends: Sequence[OutcomeQueryBackend]) -> None:
        """Set the backends that send the outcome queries."""
        self._backends = {backend.wire: backend for backend in backends}

    def endpoints_changed(self, kind: ListKind, hosts: list[Endpoint]) -> None:
        """Receive the endpoint list, or the entries of it that have changed."""
        if kind is not ListKind.DELTA:
            self._engines.clear()
        for host in hosts:
            if host.entry.state is EngineState.GONE:
                self._engines.pop(host.entry.engine, None)
            else:
                self._engines[host.entry.engine] = ListedEngine(host.entry.ready_at_us)

    def engine_started_us(self, engine: bytes) -> int:
        """Start time of an engine's process from the endpoint list, in us; 0 if the engine is not listed."""
        listed = self._engines.get(engine)
        return listed.started_us if listed else 0

    def start(self, records: list[KeyRecord], until_us: int) -> None:
        """Set the open records that the store holds; those unresolved at ``until_us`` may have run."""
        self._progress = RecoveryProgress(records, until_us)

    def advance(self) -> None:
        """Query more records, until all have their outcome or the time for recovery has passed."""
        progress = self._progress
        now = self._clock.now()
        if progress is None:
            return
        for record in progress.abandoned(now):
            self._resolve(record, RecoveredOutcome.MAY_HAVE_RUN, b"")
        for record in progress.next_batch(now, MAX_OUTCOME_QUERIES):
            self._query_outcome(record, progress)
        if progress.is_complete:
            self._progress = None
            if progress.records:
                log(
                    "store",
                    "recovery of requests with unknown outcome is complete",
                    requests=len(progress.records),
                )

    def _query_outcome(self, record: KeyRecord, progress: RecoveryProgress) -> None:
        is_done = False

        def done(outcome: Outcome, result: object) -> None:
            nonlocal is_done
            if is_done:
                return
            is_done = True
            timeout.cancel()
            recovered = recovery.classify_outcome(outcome)
            self._resolve(record, recovered, pack(result) if recovered is RecoveredOutcome.SERVED else b"")
            progress.resolved()
            self.advance()

        timeout = self._timers.at(progress.until_us, lambda: done(Outcome.RESET, None))
        intent = record.intent
        backend = self._backends.get(intent.wire) if intent is not None else None
        method = recovery.choose_method(intent, self._engines)
        if intent is None or backend is None or method is RecoveryMethod.NONE:
            self._timers.after(0, lambda: done(Outcome.RESET, None))
        else:
            backend.query_outcome(_outcome_query(intent, backend, done), progress.until_us)


def _outcome_query(
    intent: Intent, backend: OutcomeQueryBackend, done: Callable[[Outcome, object], None]
) -> OutcomeQuery:
    request = Request(
        intent.request_name, 0, 0, None, DETACHED_CLIENT, backend, deadline_us=intent.deadline_us
    )
    return OutcomeQuery(
        request,
        intent.attempt,
        intent.engine,
        intent.sent_us,
        intent.engine_started_us,
        intent.thread,
        done,
    )
