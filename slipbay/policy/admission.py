"""Admits a query if its cost plus the queued cost of its class fits within the bound (``queue_bounds.py``).

Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from slipbay.policy.connection_pacer import ConnectionPacer
from slipbay.policy.engine_table import EngineTable
from slipbay.policy.events import QueryArrived
from slipbay.policy.open_queries import OpenQueries
from slipbay.policy.outbox import Outbox
from slipbay.policy.pressure import Pressure
from slipbay.policy.priority import Priorities
from slipbay.policy.queue_bounds import QueueBounds
from slipbay.policy.records import ClassState
from slipbay.policy.settings import Settings
from slipbay.policy.statistics import SAMPLE_DECAY
from slipbay.policy.timing import SECOND, Uptime

# time after the start during which the drain rates are still unreliable: three sampling periods
LEARNING_PERIOD_US = 3 * SECOND
LAST_ANSWER_TICKS = 2  # timer ticks before the deadline at which a query gets its final answer


class Admission:
    """Admits or rejects queries on arrival."""

    def __init__(
        self,
        settings: Settings,
        classes: Sequence[ClassState],
        bounds: QueueBounds,
        engines: EngineTable,
        queries: OpenQueries,
        pressure: Pressure,
        priorities: Priorities,
        pacer: ConnectionPacer,
        outbox: Outbox,
        uptime: Uptime,
    ) -> None:
        self.settings = settings
        self.classes = classes
        self.engines = engines
        self.queries = queries
        self.bounds = bounds
        self.pressure = pressure
        self.priorities = priorities
        self.pacer = pacer
        self.outbox = outbox
        self.uptime = uptime

    def process_arrival(self, event: QueryArrived, now_us: int) -> None:
        """Reject a new query, or queue it for an engine."""
        query = self.queries.register(event, now_us)
        class_state = query.class_state
        class_state.estimated_costs.add(query.estimated_cost, 1.0, SAMPLE_DECAY)
        answer_by_us = query.deadline_us - LAST_ANSWER_TICKS * self.settings.tick_us
        query.deadline_timer = self.outbox.set_timer(answer_by_us, partial(self.queries.answer, query))
        if not class_state.drain_rate:
            self.bounds.seed(class_state, query.cost, now_us)
        is_heavy = query.cost > class_state.cost_limit and self._admits_light_only(class_state, now_us)
        fits = query.cost + class_state.queued_cost <= class_state.bound
        if (is_heavy or not fits) and not self._may_bypass_bound(class_state, now_us):
            if not is_heavy:
                class_state.rejected_light += 1
            self.queries.answer(query, now_us)
            return
        self.queries.queue_query(query, now_us)

    def _admits_light_only(self, class_state: ClassState, now_us: int) -> bool:
        """Whether the class admits only light queries, because threads are scarce.

        Light queries yield more utility per thread, as all answers of a class have the same utility.
        """
        engines = self.engines
        is_full = self.pressure.is_on(now_us) and engines.threads_in_flight >= engines.thread_share
        return is_full and class_state is not self.priorities.highest_class()

    def _may_bypass_bound(self, class_state: ClassState, now_us: int) -> bool:
        """Whether a query may be admitted beyond the bound.

        A query may if it is the only open query of its class, because the class then uses none of its share.
        Any query may if threads are free, no query waits, and the drain rates are still unreliable: the first
        query of a class sets its rate, and a light query sets it far too low.
        """
        if self.pressure.is_on(now_us):
            return False
        if len(class_state.open_queries) == 1:
            return True
        if self.uptime.age_us(now_us) >= LEARNING_PERIOD_US:
            return False
        engines = self.engines
        has_held_queries = not self.pacer.is_limited and any(c.queue for c in self.classes)
        has_room = engines.threads_in_flight + class_state.spec.threads <= engines.thread_share
        return has_room and not has_held_queries
