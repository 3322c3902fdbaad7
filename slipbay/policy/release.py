"""Sends queued queries to engines, most urgent class first. Times are in microseconds."""

from __future__ import annotations

from collections.abc import Sequence

from slipbay.policy.attempts import AttemptTracker
from slipbay.policy.gossip import GOSSIP_PERIOD_US
from slipbay.policy.open_queries import OpenQueries
from slipbay.policy.pressure import Pressure
from slipbay.policy.records import ClassState, Query
from slipbay.policy.retries import RetryPolicy
from slipbay.policy.selection import EngineSelector


class QueueRelease:
    """Sends queued queries while engines have room, and answers those that cannot be served in time."""

    def __init__(
        self,
        classes: Sequence[ClassState],
        queries: OpenQueries,
        retries: RetryPolicy,
        selector: EngineSelector,
        attempts: AttemptTracker,
        pressure: Pressure,
    ) -> None:
        self.classes = classes
        self.queries = queries
        self.retries = retries
        self.selector = selector
        self.attempts = attempts
        self.pressure = pressure

    def release(self, now_us: int) -> None:
        """Send queued queries while engines have room, in order of arrival within a class."""
        queued_classes = [class_state for class_state in self.classes if class_state.queue]
        # first the class whose oldest query has waited the largest share of its objective
        if len(queued_classes) > 1:
            queued_classes.sort(
                key=lambda c: (c.queue[0].arrived_us - now_us) / c.latency_objective(c.queue[0].cost)
            )
        for class_state in queued_classes:
            self._release_class(class_state, now_us)

    def _release_class(self, class_state: ClassState, now_us: int) -> None:
        queue = class_state.queue
        while queue:
            query = queue[0]
            if self._is_unservable(query, now_us):
                self.queries.answer(query, now_us)
                continue
            engine = self.selector.choose(query, now_us)
            if engine is None:
                if self.pressure.is_on(now_us):
                    # extend while queries are queued; otherwise all routers would release them at once
                    self.pressure.extend(now_us + GOSSIP_PERIOD_US)
                return
            class_state.dequeue(query)
            self.attempts.send(query, engine, now_us)

    def _is_unservable(self, query: Query, now_us: int) -> bool:
        """Whether a query can no longer be answered in time, or its retry is no longer permitted."""
        if query.attempts_sent:
            return not self.retries.may_retry(query, now_us, query.may_have_run_since_us, reserved=0)
        if now_us + query.min_run_us > query.deadline_us:
            return True
        class_state = query.class_state
        if class_state.spec.late_utility and not self.pressure.is_on(now_us):
            return False
        objective_us = class_state.latency_objective(query.cost)
        return now_us + class_state.run_time(query.cost) > query.arrived_us + objective_us
