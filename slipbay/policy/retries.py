"""Decides whether a query may be retried, and cancels attempts to migrate queries. Times are in us."""

from __future__ import annotations

from collections.abc import Sequence

from slipbay.policy.actions import Cancel
from slipbay.policy.events import RetryBudgetRestored
from slipbay.policy.outbox import Outbox
from slipbay.policy.records import Attempt, ClassState, Query
from slipbay.policy.settings import Effect, Settings
from slipbay.policy.statistics import SlidingWindow
from slipbay.policy.timing import CHECK_PERIOD_US

# timer ticks before the deadline when retries end; LAST_ANSWER_TICKS, for the final answer, is smaller
LAST_ATTEMPT_TICKS = 4
# part of the deduplication window reserved for the retry to reach the engine
DEDUP_MARGIN_US = 2 * CHECK_PERIOD_US


class RetryPolicy:
    """The retry budget, and the rules of the deployment for retries."""

    def __init__(self, settings: Settings, classes: Sequence[ClassState], outbox: Outbox) -> None:
        self.settings = settings
        self.classes = classes
        self.outbox = outbox
        self.requests = SlidingWindow()  # queries received
        self.retries = SlidingWindow()  # retries sent
        self.migrating_count = 0  # attempts cancelled so that their queries restart on another engine

    def restore(self, event: RetryBudgetRestored) -> None:
        """Continue with the budget of an earlier process of this router."""
        self.requests.restore(event.requests)
        self.retries.restore(event.retries)

    def budget(self) -> RetryBudgetRestored:
        """State of the budget, for the next process of this router to continue with."""
        return RetryBudgetRestored(tuple(self.requests.items), tuple(self.retries.items))

    def record_request(self, now_us: int) -> None:
        """Count a received query, which adds a fraction of a retry to the budget."""
        self.requests.add(now_us)

    def record_retry(self, now_us: int) -> None:
        """Count a retry that was sent."""
        self.retries.add(now_us)

    def record_end(self, attempt: Attempt) -> None:
        """Process the end of an attempt; a migration no longer reserves a retry."""
        if attempt.is_migrating:
            self.migrating_count -= 1

    def reserved(self) -> int:
        """Number of retries that are permitted but not sent yet."""
        return self.migrating_count + sum(q.attempts_sent > 0 for c in self.classes for q in c.queue)

    def may_retry(self, query: Query, now_us: int, may_have_run_since_us: int | None, reserved: int) -> bool:
        """Whether the effect, the deduplication window, the budget and the remaining time permit a retry.

        The check runs again before the send with ``reserved`` 0, as the retry then uses its own reservation.
        """
        if may_have_run_since_us is not None and not self._may_repeat(query, now_us - may_have_run_since_us):
            return False
        settings = self.settings
        window_start_us = now_us - settings.retry_window_us
        available = settings.free_retries or 0.0
        available += (
            settings.retry_share * self.requests.since(window_start_us)
            - self.retries.since(window_start_us)
            - reserved
        )
        return (
            query.attempts_sent < settings.max_attempts
            and now_us < query.deadline_us - LAST_ATTEMPT_TICKS * settings.tick_us
            and (settings.free_retries is None or available >= 1)
        )

    def _may_repeat(self, query: Query, age_us: int) -> bool:
        """Whether a query that may have run ``age_us`` ago can safely run again."""
        spec = query.class_state.spec
        if spec.effect is Effect.UNSAFE:
            return False
        return spec.effect is not Effect.KEYED or age_us <= spec.dedup_window_us - DEDUP_MARGIN_US

    def migrate(self, attempt: Attempt, now_us: int) -> None:
        """Cancel an attempt so that its query restarts on another engine, if a retry is permitted."""
        query = attempt.query
        if not self.settings.may_cancel or attempt.is_cancelled or query.is_answered:
            return
        since_us = query.may_have_run_since_us or attempt.sent_us
        if self.may_retry(query, now_us, since_us, self.reserved()):
            attempt.is_migrating = True
            self.migrating_count += 1
            self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt on its engine, at most once."""
        if self.settings.may_cancel and not attempt.is_cancelled:
            attempt.is_cancelled = True
            self.outbox.add(Cancel(attempt.query.id, attempt.number))
