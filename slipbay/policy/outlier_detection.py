"""Detects unhealthy engines from their symptoms, whatever the cause. Times are in microseconds."""

from __future__ import annotations

from collections.abc import Iterable

from slipbay.policy.events import Outcome
from slipbay.policy.pressure import Pressure
from slipbay.policy.records import Attempt, ClassErrors, ClassState, Engine, Query
from slipbay.policy.settings import Effect, Settings
from slipbay.policy.statistics import SAMPLE_WEIGHT
from slipbay.policy.timing import CHECK_PERIOD_US, SECOND

# progress periods without a note or reply after which an engine with attempts counts as unresponsive; if the
# engines send no notes, latency objectives take the place of progress periods
UNRESPONSIVE_PERIODS = 2.5
MIN_PAUSE_US = 3 * CHECK_PERIOD_US  # a timer delay of this length shows that this process was paused
# an unhealthy engine stays so while its running share of connection errors is at least this
MAX_CONNECTION_ERROR_SHARE = 0.19
# running share of errors above which an engine is ejected for a class; three consecutive errors exceed it
MAX_CLASS_ERROR_SHARE = 0.45
CLASS_EJECTION_US = 5 * SECOND  # time for which an ejected engine gets no queries of the class
# fraction of sends that may probe unhealthy engines; a probe may make its query miss the latency objective
PROBE_FRACTION = 0.05

NO_ERRORS = ClassErrors()
CONNECTION_ERRORS = (Outcome.CONNECT_FAILED, Outcome.RESET)


class OutlierDetector:
    """Detects unhealthy engines by outcomes, notes and missing replies, and limits probe requests."""

    def __init__(self, settings: Settings, pressure: Pressure) -> None:
        self.settings = settings
        self.pressure = pressure
        self.probe_tokens = 1.0

    def may_probe(self, engine: Engine, class_state: ClassState) -> bool:
        """Whether a query of the class may be sent to an unhealthy engine as a probe request."""
        return engine.is_unhealthy and self.probe_tokens >= 1 and class_state.spec.effect is Effect.SAFE

    def record_send(self, engine: Engine) -> None:
        """Count a send: it adds a fraction of a probe token; to an unhealthy engine, it uses one token."""
        self.probe_tokens = min(1.0, self.probe_tokens + PROBE_FRACTION) - engine.is_unhealthy

    def record_note(self, engine: Engine, now_us: int) -> None:
        """Record a progress note, which shows that the engine responds."""
        engine.last_activity_us = now_us
        engine.is_unhealthy = (
            engine.is_unhealthy and engine.connection_error_share >= MAX_CONNECTION_ERROR_SHARE
        )

    def record_end(
        self, query: Query, engine: Engine, outcome: Outcome, may_retry: bool, now_us: int
    ) -> bool:
        """Update the engine's health after an attempt; returns true if a retry would be futile.

        An error counts against the engine only after another engine has answered the query, because a query
        that no engine can run fails on all of them. After errors on two engines that can run the class, a
        third attempt is futile.
        """
        if outcome is Outcome.ERROR:
            return self._record_error(query, engine, may_retry, now_us)
        self._record_symptoms(engine, outcome, now_us)
        if outcome is Outcome.OK:
            self._record_class_error(engine, query.class_state, False, now_us)
            if query.failed_on:
                self._record_class_error(query.failed_on, query.class_state, True, now_us)
        return False

    def _record_error(self, query: Query, engine: Engine, may_retry: bool, now_us: int) -> bool:
        is_ejected = engine.is_ejected_for(query.class_state, now_us)
        engine.last_activity_us = now_us
        if query.failed_on not in (None, engine) and not is_ejected:
            return True
        if may_retry and not is_ejected and query.failed_on is None:
            query.failed_on = engine
        else:
            self._record_class_error(engine, query.class_state, True, now_us)
        return False

    def _record_class_error(
        self, engine: Engine, class_state: ClassState, is_error: bool, now_us: int
    ) -> None:
        """Update the errors of the class only, as an engine may fail on one class and run others well."""
        errors = engine.class_errors.get(class_state, NO_ERRORS)
        share = errors.share
        share += SAMPLE_WEIGHT * (is_error - share)
        until_us = errors.ejected_until_us
        if is_error and share > MAX_CLASS_ERROR_SHARE:
            until_us = now_us + CLASS_EJECTION_US
        engine.class_errors[class_state] = ClassErrors(share, until_us)

    def _record_symptoms(self, engine: Engine, outcome: Outcome, now_us: int) -> None:
        is_connection_error = outcome in CONNECTION_ERRORS
        # a full engine has far more than any useful load, or hangs and therefore rejects all queries
        if outcome is Outcome.FULL:
            self.pressure.report(now_us)
            engine.is_unhealthy = True
        if is_connection_error or outcome is Outcome.OK:
            engine.last_activity_us = now_us
            engine.connection_error_share += SAMPLE_WEIGHT * (
                is_connection_error - engine.connection_error_share
            )
        if outcome is Outcome.CONNECT_FAILED:
            engine.down_since_us = now_us  # it may be restarted, and cold, before the list reports that
        if is_connection_error:
            engine.is_unhealthy = True
        if outcome is Outcome.OK and engine.is_unhealthy:
            engine.is_unhealthy = engine.connection_error_share >= MAX_CONNECTION_ERROR_SHARE
            if engine.is_unhealthy:  # the probe request succeeded: permit the next one
                self.probe_tokens = 1.0

    def find_unresponsive(self, engines: Iterable[Engine], now_us: int, scheduled_us: int) -> list[Attempt]:
        """Mark unresponsive engines as unhealthy; returns their attempts, which may be lost.

        ``scheduled_us`` is the planned time of this check. If the check runs far too late, this process was
        paused: no engine is marked because of the pause, and pressure is reported so that the bounds limit
        the release of queries. An engine that still works but cannot be reached is marked as well.
        """
        was_paused = now_us - scheduled_us > MIN_PAUSE_US
        if was_paused:
            self.pressure.report(now_us)
        attempts: list[Attempt] = []
        for engine in engines:
            if not engine.attempts:
                continue
            if was_paused:
                engine.last_activity_us = now_us
            if self._is_unresponsive(engine, now_us):
                engine.is_unhealthy = True
                attempts += engine.attempts.values()
        return attempts

    def _is_unresponsive(self, engine: Engine, now_us: int) -> bool:
        oldest = next(iter(engine.attempts.values()))
        query = oldest.query
        period = self.settings.progress_us or query.class_state.latency_objective(query.cost)
        return now_us - max(oldest.sent_us, engine.last_activity_us) > UNRESPONSIVE_PERIODS * period
