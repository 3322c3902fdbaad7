"""Connects the components that prevent requests from running twice, even if the router crashes.

The ledger decides, the store's thread makes the ledger's changes durable, and ``RequestGuard`` answers the
dispatcher. The coordinator controls the store from opening to closing: it passes the loaded ledger to the
guard, starts the recovery of unknown outcomes and sweeps periodically. Only ``close`` blocks; results arrive
by callback.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from slipbay.clock import Clock
from slipbay.config.model import StoreConfig
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Endpoint, Failed, Rejected, Served
from slipbay.core.timers import Timers
from slipbay.idempotency import retry_budget, store_generation
from slipbay.idempotency.answer_codec import unpack
from slipbay.idempotency.errors import UnreadableRecordError
from slipbay.idempotency.key_record import SNAPSHOT, KeyRecord
from slipbay.idempotency.ledger import Ledger
from slipbay.idempotency.ledger_writer import LedgerWriter
from slipbay.idempotency.recovery import RecoveredOutcome
from slipbay.idempotency.recovery_runner import OutcomeQueryBackend, RecoveryRunner
from slipbay.idempotency.request_guard import MAY_HAVE_RUN, RequestGuard
from slipbay.idempotency.retry_budget import RetryBudgetWriter
from slipbay.idempotency.store_generation import (
    IDENTITY_KEY,
    ClientRepeatRules,
    StoreStatus,
    UncertaintyWindow,
)
from slipbay.idempotency.store_opening import Incarnation, StoreContents, StoreOpening, retention_limits
from slipbay.idempotency.waiting_requests import WaitingRequests
from slipbay.log import log
from slipbay.policy.events import ListKind, RetryBudgetRestored
from slipbay.store.writer import Writer

if TYPE_CHECKING:
    from slipbay.idempotency.witnesses import StoreWitnesses
    from slipbay.peer_channel.interfaces import Send

SWEEP_US = 1_000_000  # between sweeps, which expire keys, retry writes and store the uncertainty window


class IdempotencyCoordinator:
    """Owns the components that a router with a store has in addition to its dispatcher."""

    def __init__(
        self,
        config: StoreConfig,
        dispatcher: Dispatcher,
        clock: Clock,
        timers: Timers,
        writer: Writer,
        budget: Callable[[], RetryBudgetRestored],
        stop: Callable[[], None],
        witnesses: StoreWitnesses | None = None,
        publish: Callable[[list[Send]], None] = lambda _sends: None,
    ) -> None:
        """``writer`` runs the store's thread; ``budget`` reads the policy's retry budget.

        ``stop`` stops the router; it is called when the store cannot write, if the configuration requires it.
        ``witnesses`` holds what other routers record about the store; ``publish`` sends messages to them.
        """
        self.config = config
        self._dispatcher = dispatcher
        self._clock = clock
        self._timers = timers
        self._writer = writer
        self._stop = stop
        self._opening = StoreOpening(config, clock, timers, writer, witnesses, publish)
        self._recovery = RecoveryRunner(clock, timers, self._resolve)
        self._ledger_writer = LedgerWriter(timers, writer, self._write_failed)
        self._waiting = WaitingRequests(timers, dispatcher.max_open, dispatcher.max_bytes)
        self._ledger: Ledger | None = None  # None until the store is loaded
        self._uncertainty: UncertaintyWindow | None = None  # None: an opened store is assumed to be current
        self.guard = self._make_guard(RetryBudgetWriter(timers, writer, budget))
        self.snapshot_receivers: dict[bytes, Callable[[bytes], None]] = {}
        """By owner: called with the owner's stored snapshot, if there is one. To be set before ``start``."""

    def _make_guard(self, budget_writer: RetryBudgetWriter) -> RequestGuard:
        return RequestGuard(
            self.config,
            self._dispatcher,
            self._clock,
            self._timers,
            self._writer,
            self._opening,
            self._recovery,
            self._waiting,
            self._ledger_writer,
            budget_writer,
        )

    # Start and end

    def start(self, backends: Sequence[OutcomeQueryBackend]) -> None:
        """Open the store in its thread; requests with a key wait until the store is open."""
        self._recovery.set_backends(backends)
        self._opening.start(self.snapshot_receivers, self._opened)
        self._timers.after(SWEEP_US, self._sweep)

    @property
    def is_ready(self) -> bool:
        """Whether requests under new keys are accepted."""
        return self._ledger is not None and not self._recovery.is_running and not self._writer.health.problem

    def reload(self, config: StoreConfig) -> None:
        """Apply the settings that can change while the router runs."""
        self.config = config
        self._opening.config = config
        self.guard.config = config
        if self._ledger is not None:
            self._ledger.limits = retention_limits(config)

    def close(self) -> None:
        """Write all queued changes and close the store; blocks until then, or for some seconds at most."""
        self._opening.close()

    def endpoints_changed(self, kind: ListKind, hosts: list[Endpoint]) -> None:
        """Receive the endpoint list, or the entries of it that have changed."""
        self._recovery.endpoints_changed(kind, hosts)

    def store_snapshot(self, value: bytes, owner: bytes = b"") -> None:
        """Store a snapshot of ``owner`` for the next incarnation; losing it does no harm."""
        self._writer.append([(SNAPSHOT + owner, value)], lambda _error: None)

    def _opened(self, contents: object, error: str) -> None:
        if not isinstance(contents, StoreContents):
            log("store", "cannot be opened; requests that must not run twice are not accepted", reason=error)
            self.guard.opening_failed(error)
            self._write_failed()
            return
        now = self._clock.now()
        self._ledger = contents.ledger
        if contents.retry_budget is not None:
            self._restore_budget(contents.retry_budget, now)
        for owner, snapshot in contents.snapshots.items():
            self.snapshot_receivers[owner](snapshot)
        log(
            "store",
            "read",
            keys=len(contents.ledger.records),
            unknown_outcomes=len(contents.open_records),
        )
        if contents.incarnation is not None:
            self._report_incarnation(contents.incarnation, now)
        self.guard.opened(contents.ledger, self._uncertainty)
        self._recovery.start(contents.open_records, now + self.config.recovery_us)
        self._waiting.resubmit_all(self._dispatcher.resubmit)
        self._recovery.advance()

    def _restore_budget(self, value: bytes, now: int) -> None:
        try:
            self._dispatcher.notify(retry_budget.decode(value, now))
        except UnreadableRecordError as error:
            log("store", "the stored retry budget cannot be read and is reset", reason=error.reason)

    def _report_incarnation(self, incarnation: Incarnation, now: int) -> None:
        loss = self.config.loss
        if loss is None:
            return
        identity = incarnation.identity
        status = incarnation.status
        if incarnation.marker_damage:
            log("store", "the marker is damaged and is rewritten", reason=incarnation.marker_damage)
        self._opening.announce(identity)
        rules = ClientRepeatRules(loss.window_us, loss.marked, loss.anywhere)
        self._uncertainty = UncertaintyWindow(rules, identity, now)
        log(
            "store",
            "opened",
            store=identity.store_id.hex()[:8],
            generation=identity.generation,
            status=status.value,
            **({"adoption_reason": identity.adoption_reason} if status is StoreStatus.ADOPTED else {}),
        )
        if identity.uncertainty_us:
            log(
                "store",
                "uncertainty window begins",  # a request under a key without a record runs only if proved new
                seconds=round(identity.uncertainty_us / 1e6, 1),
            )

    # Requests of earlier incarnations

    def _resolve(self, record: KeyRecord, outcome: RecoveredOutcome, answer: bytes) -> None:
        """Record the recovered outcome of a request that an earlier incarnation has sent."""
        ledger = self._ledger
        if ledger is None:
            return
        now = self._clock.now()
        key = record.key
        has_client = self._waiting.has(key)
        match outcome:
            case RecoveredOutcome.SERVED:
                self._ledger_writer.write(ledger.record_served(record, answer, has_client, now))
                self._waiting.answer(key, Served(unpack(answer)))
            case RecoveredOutcome.MAY_HAVE_RUN:
                self._ledger_writer.write(ledger.record_failed(record, has_client, now))
                self._waiting.answer(key, Failed(MAY_HAVE_RUN))
            case RecoveredOutcome.NOT_RUN:
                record.may_have_been_sent = False
                self._ledger_writer.write(ledger.record_rejected(record))
                self._waiting.answer(key, Rejected(self.config.later_us))

    # The store

    def _write_failed(self) -> None:
        if self.config.stop_on_failure:
            log("store", "cannot write; the router stops, as configured in store.toml")
            self._stop()

    def _sweep(self) -> None:
        if self._ledger is not None:
            self._ledger_writer.write(self._ledger.expire(self._clock.now()))
            self._ledger_writer.rewrite_failed(self._ledger)
        if self._uncertainty is not None:
            self._write_uncertainty(self._uncertainty)
        self._timers.after(SWEEP_US, self._sweep)

    def _write_uncertainty(self, uncertainty: UncertaintyWindow) -> None:
        identity = uncertainty.identity_to_store(self._clock.now())
        if identity is None:
            return
        value = store_generation.encode(identity)
        self._writer.append([(IDENTITY_KEY, value)], lambda _error: None, use_reserve=True)
        if not identity.uncertainty_us:
            log("store", "uncertainty window ends; clients no longer repeat requests sent before it")
