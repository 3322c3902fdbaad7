"""Tracks attempts from send to end: counts them, learns estimates from them and migrates slow ones.

Times are in microseconds.
"""

from __future__ import annotations

from functools import partial

from slipbay.policy.actions import Dispatch, UpdateAttempt
from slipbay.policy.connection_pacer import ConnectionPacer
from slipbay.policy.engine_table import EngineTable
from slipbay.policy.events import WAITS_FOR_LOAD, AttemptEnded, AttemptNote, NoteKind, Outcome
from slipbay.policy.key_queues import KeyQueues
from slipbay.policy.open_queries import OpenQueries
from slipbay.policy.outbox import Outbox
from slipbay.policy.outlier_detection import CONNECTION_ERRORS, OutlierDetector
from slipbay.policy.pressure import Pressure
from slipbay.policy.priority import Priorities
from slipbay.policy.records import Attempt, Engine, Query
from slipbay.policy.retries import RetryPolicy
from slipbay.policy.settings import Effect, Settings
from slipbay.policy.statistics import SAMPLE_DECAY

# An attempt is overdue if its remaining time exceeds OVERDUE_FACTOR times the run time of a new attempt
# by more than MIN_MIGRATION_SAVING_US.
OVERDUE_FACTOR = 2.0
MIN_MIGRATION_SAVING_US = 500_000  # a migration that saves less time is not made
# An attempt without any note is migrated after STUCK_FACTOR times its usual run time plus STUCK_MARGIN_US.
STUCK_FACTOR = 4.0
STUCK_MARGIN_US = 75_000  # covers network delay and random variation

UNKNOWN_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
"""Outcomes after which the attempt may still be running, or may have run."""


class AttemptTracker:
    """Sends attempts and processes their progress notes and outcomes."""

    def __init__(
        self,
        settings: Settings,
        engines: EngineTable,
        queries: OpenQueries,
        key_queues: KeyQueues,
        retries: RetryPolicy,
        outliers: OutlierDetector,
        pressure: Pressure,
        priorities: Priorities,
        pacer: ConnectionPacer,
        outbox: Outbox,
    ) -> None:
        self.settings = settings
        self.engines = engines
        self.queries = queries
        self.key_queues = key_queues
        self.retries = retries
        self.outliers = outliers
        self.pressure = pressure
        self.priorities = priorities
        self.pacer = pacer
        self.outbox = outbox

    def send(self, query: Query, engine: Engine, now_us: int) -> None:
        """Send the query's next attempt to an engine."""
        attempt = Attempt(query, query.attempts_sent, engine, now_us)
        class_state = query.class_state
        if query.attempts_sent:
            self.retries.record_retry(now_us)
        elif self.settings.supports_priority:
            self.outbox.add(UpdateAttempt(query.id, self.priorities.priority_of(class_state)))
        self.outliers.record_send(engine)
        query.attempts_sent += 1
        query.last_engine = engine
        self.pacer.record_send(engine.add_attempt(attempt))
        self.engines.record_send(class_state.spec.threads)
        engine.charges.add(now_us, class_state.charged_work)
        self.outbox.add(Dispatch(query.id, engine.entry.engine))
        if attempt.number == 0 and self.settings.may_cancel and class_state.spec.effect is Effect.SAFE:
            stuck_after_us = STUCK_FACTOR * self._usual_run_time_us(query) + STUCK_MARGIN_US
            if now_us + 2 * stuck_after_us < query.deadline_us:
                attempt.stuck_timer = self.outbox.set_timer(
                    now_us + int(stuck_after_us), partial(self._migrate_if_stuck, attempt)
                )

    def _usual_run_time_us(self, query: Query) -> float:
        """Time (us) that a new attempt of the query takes at the average pace of all engines."""
        return query.class_state.run_time(query.cost) * max(1.0, self.engines.pace_ratio.value())

    def _migrate_if_stuck(self, attempt: Attempt, now_us: int) -> None:
        """Migrate an attempt that has sent neither a note nor an answer, because the engine may never run it.

        If the queries of a class usually take less than the interval between notes, only the elapsed time can
        show this. The check runs for the first attempt only: the query may simply be heavy.
        """
        if attempt.number not in attempt.query.in_flight or attempt.remaining < 1.0:
            return
        if self.pressure.is_on(now_us):  # all attempts are slow; this one may still be running
            attempt.stuck_timer = self.outbox.set_timer(
                2 * now_us - attempt.sent_us, partial(self._migrate_if_stuck, attempt)
            )
        else:
            self.retries.migrate(attempt, now_us)

    def record_end(self, query: Query, event: AttemptEnded, now_us: int) -> None:
        """Process the outcome of an attempt: close the query, queue it for another attempt or answer it."""
        attempt = query.in_flight.pop(event.attempt)
        self.outbox.cancel_timer(attempt.stuck_timer)
        engine = attempt.engine
        outcome = event.outcome
        engine.remove_attempt(attempt, outcome in CONNECTION_ERRORS)
        self.retries.record_end(attempt)
        self.engines.record_end(query.class_state.spec.threads)
        if query.may_have_run_since_us is None and not outcome.proves_not_run:
            query.may_have_run_since_us = attempt.sent_us
            query.ran_on = engine
        if query.key and outcome in UNKNOWN_OUTCOMES:
            self.key_queues.block(query.key, now_us + self.settings.key_rest_us)
        may_retry = not query.in_flight and self.retries.may_retry(
            query, now_us, query.may_have_run_since_us, self.retries.reserved()
        )
        is_retry_futile = self.outliers.record_end(query, engine, outcome, may_retry, now_us)
        if outcome is Outcome.OK:
            self._update_estimates(query, attempt, event, now_us)
        self._finish(query, event, may_retry and not is_retry_futile, now_us)

    def _finish(self, query: Query, event: AttemptEnded, should_retry: bool, now_us: int) -> None:
        if event.complete:
            self.queries.close(query, now_us)
        elif not query.is_answered and not query.in_flight:
            if should_retry:
                query.class_state.add_queued_cost(query)
                query.class_state.queue.appendleft(query)
            else:
                self.queries.answer(query, now_us)
        self.queries.remove_if_ended(query, now_us)

    def _update_estimates(self, query: Query, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        """Update costs, waiting times and paces after a successful answer."""
        class_state = query.class_state
        work = float(event.work_us or query.cost)
        class_state.finished_cost += query.cost
        if not query.is_answered:
            class_state.answers += 1
            class_state.waiting_us += max(0.0, now_us - query.arrived_us - class_state.run_time(work))
        if event.work_us:
            class_state.measured_work.add(work, 1.0, SAMPLE_DECAY)
            class_state.cost_bias.add(work, query.estimated_cost, SAMPLE_DECAY)
        if not attempt.waited_for_load:  # otherwise the time is mostly that of the load
            thread_us = (now_us - attempt.sent_us) * class_state.spec.threads
            self.engines.record_pace(attempt.engine, thread_us, work)
        if self.engines.is_slowed():
            self.pressure.report(now_us)

    def record_note(self, query: Query, event: AttemptNote, now_us: int) -> None:
        """Process a progress note and migrate an attempt that is overdue.

        An attempt is overdue because of a bad query plan, a slow engine or a load that blocks it.
        """
        attempt = query.in_flight[event.attempt]
        engine = attempt.engine
        self.outliers.record_note(engine, now_us)
        remaining_us = self._remaining_time_us(attempt, event, now_us)
        if attempt.waited_for_load and attempt.remaining == 1.0:
            # the lock expires when two notes are missed or a load of this router ends
            until_us = now_us + 2 * self.settings.progress_us
            engine.locked_groups[query.group] = max(engine.locked_groups.get(query.group, 0), until_us)
        restart_us = self._usual_run_time_us(query)
        is_overdue = remaining_us > OVERDUE_FACTOR * restart_us + MIN_MIGRATION_SAVING_US
        if is_overdue and query.deadline_us - now_us > restart_us:
            self.retries.migrate(attempt, now_us)

    def _remaining_time_us(self, attempt: Attempt, event: AttemptNote, now_us: int) -> float:
        """Remaining time (us) of an attempt according to its note; 0 if the note has no information on it."""
        if event.kind is NoteKind.SHARE_DONE and event.value > 0:
            attempt.remaining = max(0.0, 1 - event.value)
            return (now_us - attempt.sent_us) * attempt.remaining / event.value
        if event.kind is NoteKind.WAITS and event.value == WAITS_FOR_LOAD:
            attempt.waited_for_load = True
            return attempt.query.deadline_us - now_us  # a restart loses no work
        return 0.0
