"""The guard of requests with an idempotency key; the dispatcher consults it at each step of such requests."""

from __future__ import annotations

from collections.abc import Callable

from slipbay.clock import Clock
from slipbay.config.model import StoreConfig
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Answer, Attempt, Failed, Rejected, Request, Served
from slipbay.core.timers import Timers
from slipbay.idempotency.answer_codec import pack, unpack
from slipbay.idempotency.key_record import ANSWER, Intent, KeyPhase
from slipbay.idempotency.ledger import KeyDecision, Ledger
from slipbay.idempotency.ledger_writer import LedgerWriter
from slipbay.idempotency.recovery_runner import DETACHED_CLIENT, RecoveryRunner
from slipbay.idempotency.retry_budget import RetryBudgetWriter
from slipbay.idempotency.store_generation import UncertaintyWindow
from slipbay.idempotency.store_opening import StoreOpening
from slipbay.idempotency.waiting_requests import WaitingRequests
from slipbay.log import log
from slipbay.policy.events import Outcome
from slipbay.policy.settings import Effect
from slipbay.store.errors import StoreError
from slipbay.store.writer import Writer

# Reasons that are sent to clients
MAY_HAVE_RUN = "it may have run, and is never run again"
UNKNOWN = "the durable store cannot be read, so it is not known whether it has run"
NOT_KEPT = "it has run; its answer is not kept"
EARLIER = "it may have run before this router's store was lost, or elsewhere, and is never run again"
OTHER_STATEMENT = "this key belongs to another statement"
TOO_MANY_WAIT = "too many requests wait here; it may have run"
CANCELLED = "called off"


class RequestGuard:
    """The ``IdempotencyGuard`` of a router that has a store."""

    def __init__(
        self,
        config: StoreConfig,
        dispatcher: Dispatcher,
        clock: Clock,
        timers: Timers,
        writer: Writer,
        opening: StoreOpening,
        recovery: RecoveryRunner,
        waiting: WaitingRequests,
        ledger_writer: LedgerWriter,
        budget_writer: RetryBudgetWriter,
    ) -> None:
        """``writer`` runs the store's thread, which makes intents durable and reads stored answers."""
        self.config = config
        self._dispatcher = dispatcher
        self._clock = clock
        self._timers = timers
        self._writer = writer
        self._opening = opening
        self._recovery = recovery
        self._waiting = waiting
        self._ledger_writer = ledger_writer
        self._budget_writer = budget_writer
        self._running: dict[bytes, Request] = {}  # running requests by key; others with the key wait for them
        self._ledger: Ledger | None = None  # None until the store is loaded
        self._uncertainty: UncertaintyWindow | None = None  # None: an opened store is assumed to be current
        self._open_error = ""  # why the store could not be opened

    def opened(self, ledger: Ledger, uncertainty: UncertaintyWindow | None) -> None:
        """The store was loaded: requests under its keys can be answered from now on."""
        self._ledger = ledger
        self._uncertainty = uncertainty

    def opening_failed(self, error: str) -> None:
        """The store could not be opened: waiting and later requests fail."""
        self._open_error = error
        self._waiting.answer_all(Failed(UNKNOWN))

    def requires_key(self, service_class: int) -> bool:
        """Whether requests of a class must never run twice, so that their keys are recorded."""
        return self._dispatcher.settings.classes[service_class].effect is Effect.UNSAFE

    def has_key(self, key: bytes) -> bool:
        """Whether the ledger has a record of a key."""
        return self._ledger is not None and key in self._ledger.records

    def admit(self, request: Request) -> bool:
        """Whether the dispatcher should run a request; if not, the guard answers it."""
        ledger = self._ledger
        if ledger is None:  # the request may repeat one that has run, so it must not be rejected
            if self._open_error:
                log(
                    "unsafe",
                    "request failed, as the store cannot be read",
                    reason=self._open_error,
                    request=request.name,
                )
                self._schedule_answer(request, Failed(UNKNOWN))
            else:
                self._add_waiting(request)
            return False
        if request.idempotency_key not in ledger.records:
            rejection = self._check_new_key(request)
            if rejection is not None:
                self._schedule_answer(request, rejection)
                return False
        return self._handle_request(ledger, request)

    def _check_new_key(self, request: Request) -> Answer | None:
        """None if a request under a key without a record may run now, else the answer to the request."""
        if self._uncertainty is not None and not self._uncertainty.is_new(
            request.idempotency_key, request.has_client_key, request.is_resent, self._clock.now()
        ):
            log(
                "unsafe",
                "request failed, as it may have run in an earlier incarnation or on another router",
                request=request.name,
            )
            return Failed(EARLIER)
        if request.has_client_key and not self._opening.permits_client_keys:
            log(
                "unsafe",
                "request rejected; the client may retry",
                reason="too few routers have acknowledged this incarnation",
                request=request.name,
            )
            return Rejected(self.config.later_us)
        if self._recovery.is_running or self._writer.health.problem:
            reason = self._writer.health.problem or "recovery of unknown outcomes is in progress"
            log("unsafe", "request rejected; the client may retry", reason=reason, request=request.name)
            return Rejected(self.config.later_us)
        return None

    def _handle_request(self, ledger: Ledger, request: Request) -> bool:
        key = request.idempotency_key
        decision = ledger.decide(key, request.statement_digest, request.has_client_key, self._clock.now())
        match decision:
            case KeyDecision.NEW:
                self._running[key] = request
                return True
            case KeyDecision.ATTACH:
                self._add_waiting(request)
            case KeyDecision.REPLAY:
                self._writer.get(ANSWER + key, lambda value: self._replay_answer(ledger, request, value))
            case KeyDecision.ANSWER_NOT_STORED:
                self._schedule_answer(request, Failed(NOT_KEPT))
            case KeyDecision.MAY_HAVE_RUN:
                self._ledger_writer.write(ledger.mark_client_notified(ledger.records[key]))
                self._schedule_answer(request, Failed(MAY_HAVE_RUN))
            case KeyDecision.CONFLICT:
                self._schedule_answer(request, Failed(OTHER_STATEMENT, is_client_error=True))
            case KeyDecision.NO_ROOM:
                log("unsafe", "the number of keys has reached the limit in store.toml; new keys are rejected")
                self._schedule_answer(request, Rejected(self.config.later_us))
        return False

    def _add_waiting(self, request: Request) -> None:
        if not self._waiting.add(request):
            self._schedule_answer(request, Failed(TOO_MANY_WAIT))

    def _schedule_answer(self, request: Request, answer: Answer) -> None:
        request.finished = True
        self._timers.after(0, lambda: request.client.answered(request, answer))

    def _replay_answer(self, ledger: Ledger, request: Request, value: bytes | None) -> None:
        """Answer a repeated request with the stored answer, if there is one."""
        record = ledger.records.get(request.idempotency_key)
        if record is not None:
            self._ledger_writer.write(ledger.mark_client_notified(record))
        if not request.finished:
            request.finished = True
            request.client.answered(request, Failed(NOT_KEPT) if value is None else Served(unpack(value)))

    def client_disconnected(self, request: Request, cancelled: bool) -> None:
        """A client has disconnected or, if ``cancelled``, has cancelled its request.

        After a disconnect the request continues if its client may repeat the key, or if other requests wait
        for its end. After a cancellation it continues only if other requests wait for its end.
        """
        key = request.idempotency_key
        running = self._running.get(key)
        if running is not request:
            request.finished = True
            self._waiting.remove(request)
        elif (request.has_client_key and not cancelled) or self._waiting.has(key):
            request.client = DETACHED_CLIENT
        else:
            running.client = DETACHED_CLIENT
        if (
            running is not None
            and running.client is DETACHED_CLIENT
            and not self._waiting.has(key)
            and (cancelled or not running.has_client_key)
        ):
            self._dispatcher.abandon(running)  # no client waits for it
            self.answered(running, Failed(CANCELLED))

    # Attempts

    def request_permission(self, attempt: Attempt, wire: str, thread: int, send: Callable[[], None]) -> None:
        """Make the intent durable, then call ``send``; ``send`` is not called if the request was abandoned.

        The exchange of an abandoned request was stopped, or is stopped at the request's deadline.
        """
        ledger = self._ledger
        request = attempt.request
        key = request.idempotency_key
        record = ledger.records.get(key) if ledger is not None else None
        if (
            ledger is None
            or record is None
            or record.may_have_been_sent
            or self._running.get(key) is not request
        ):
            return
        now = self._clock.now()
        intent = Intent(
            attempt.number,
            attempt.engine,
            self._recovery.engine_started_us(attempt.engine),
            wire,
            request.name,
            thread,
            now,
            request.deadline_us,
        )

        def on_durable(error: StoreError | None) -> None:
            if error is not None:
                ledger.mark_not_run(record, attempt.number)
                self._reject_unsent(attempt, error)
            elif not attempt.finished and ledger.permit_send(record, attempt.number):
                send()

        self._writer.append(ledger.record_intent(record, intent, now), on_durable)

    def _reject_unsent(self, attempt: Attempt, error: StoreError) -> None:
        log(
            "unsafe",
            "an attempt was not sent, as its intent could not be written",
            reason=error,
            request=attempt.request.name,
            engine=attempt.engine,
        )
        self._dispatcher.reject_unsent(attempt, self.config.later_us)
        self._ledger_writer.report_failure()

    def dispatched(self, attempt: Attempt) -> None:
        """Have the retry budget written if the attempt is a retry, so that a restart does not reset it."""
        if attempt.number and self._ledger is not None:
            self._budget_writer.retry_sent()

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: object) -> None:
        """Record the end of an attempt, before its request is answered."""
        ledger = self._ledger
        request = attempt.request
        key = request.idempotency_key
        record = ledger.records.get(key) if ledger is not None else None
        if ledger is None or record is None:
            return
        if outcome is Outcome.OK and (self._running.get(key) is request or request.finished):
            # also if the client was notified of a failure before: a repeat gets the real outcome
            has_client = not request.finished and request.client is not DETACHED_CLIENT
            is_notified = has_client or self._waiting.has(key)
            self._ledger_writer.write(
                ledger.record_served(record, pack(result), is_notified, self._clock.now())
            )
        elif outcome.proves_not_run:
            ledger.mark_not_run(record, attempt.number)

    def answered(self, request: Request, answer: Answer) -> None:
        """Record the only answer of a request, just before its client gets it."""
        ledger = self._ledger
        key = request.idempotency_key
        if ledger is None or self._running.get(key) is not request:
            return
        del self._running[key]
        record = ledger.records.get(key)
        is_notified = request.client is not DETACHED_CLIENT or self._waiting.has(key)
        if record is not None and record.phase is not KeyPhase.ENDED:
            if isinstance(answer, Rejected) and not record.may_have_been_sent:
                self._ledger_writer.write(ledger.record_rejected(record))
            else:
                self._ledger_writer.write(ledger.record_failed(record, is_notified, self._clock.now()))
        self._waiting.answer(key, answer)
