"""The bound on the queued cost of each class.

Source: "A Predictive-Reactive Method for Improving the Robustness of Real-Time Data Services" (the paper).
Each second, the bound is set to the queued cost for which the mean delay is predicted to meet its target
(Eq. 8 of the paper), plus the correction of a PI controller. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence

from slipbay.policy.engine_table import CORE_WORK, THREADS_PER_CORE, EngineTable
from slipbay.policy.gossip import LoadGossip
from slipbay.policy.pressure import Pressure
from slipbay.policy.records import ClassState
from slipbay.policy.statistics import SAMPLE_WEIGHT
from slipbay.policy.timing import SECOND

PROPORTIONAL_GAIN = 4.93  # the paper's K_P
INTEGRAL_GAIN = 5.36  # the paper's K_I
# s of delay per unit of backlog in steady state (Eq. 10 of the paper), in the units of this module
PLANT_GAIN = 0.0142
# target for the mean delay, as a share of the objective; at 1, half the answers are late
OBJECTIVE_SHARE = 0.7
MAX_QUEUED_QUERIES = 64  # queries; the paper's max-data is this number times the largest cost
COST_LIMIT_DECREASE = 0.6  # factor of the cost limit at a reset after rejections of light queries
COST_LIMIT_INCREASE = 1.15  # factor of the cost limit at other resets
COST_LIMIT_DIVISOR = 4.0  # the cost limit is never below the mean cost of the class divided by this


class QueueBounds:
    """Learns the drain rate of each class and sets the bound from it."""

    def __init__(
        self, classes: Sequence[ClassState], engines: EngineTable, gossip: LoadGossip, pressure: Pressure
    ) -> None:
        self.classes = classes
        self.engines = engines
        self.gossip = gossip
        self.pressure = pressure

    def seed(self, class_state: ClassState, cost: float, now_us: int) -> None:
        """Set the first rate: rho is the objective over the first cost, divided by the ready engines."""
        objective_us = class_state.latency_objective(cost)
        class_state.drain_rate = cost * max(1, self.engines.ready_count) / objective_us * SECOND
        self.predict(class_state, now_us)

    def predict(self, class_state: ClassState, now_us: int) -> None:
        """Set the bound by Eq. 8 of the paper plus b_delta.

        Exceptions: the running sum excludes work on unhealthy engines, work that notes report as done, and
        work that does not fit into the horizon; t1 and tN are the arrival times of queued queries, as a
        single long query is no backlog.
        """
        spec = class_state.spec
        queue = class_state.queue
        age_us = now_us - (queue[0].arrived_us + queue[-1].arrived_us) / 2 if queue else 0.0
        mean_delay_us = OBJECTIVE_SHARE * spec.latency_objective_us
        horizon_us = 2 * (mean_delay_us + class_state.run_time(class_state.mean_cost) - age_us)
        max_remaining = max(0.0, horizon_us) * spec.threads
        running = sum(
            min(query.cost * attempt.remaining, max_remaining)
            for query in class_state.open_queries.values()
            for attempt in query.in_flight.values()
            if not attempt.engine.is_unhealthy
        )
        prediction = class_state.drain_rate / SECOND * horizon_us - running
        max_bound = MAX_QUEUED_QUERIES * class_state.largest_cost
        class_state.bound = min(max(prediction + class_state.correction, 0.0), max_bound)

    def update_bounds(self, now_us: int) -> None:
        """End a sampling period: learn rho, apply the PI controller, and predict."""
        potential_rate = self._potential_drain_rate(now_us)
        for class_state in self.classes:
            self._update_drain_rate(class_state, potential_rate)
            self._update_correction(class_state)
            self._update_cost_limit(class_state)
            class_state.start_period()
            self.predict(class_state, now_us)

    def _potential_drain_rate(self, now_us: int) -> float:
        """Cost per second that the local share of the engines can drain.

        Without pressure, it is at least the cost that the threads in use drain. If the threads of peers are
        known, it includes free threads beyond the local share.
        """
        engines = self.engines
        is_under_pressure = self.pressure.is_on(now_us)
        free_threads = 0.0
        if self.gossip.is_recent(now_us) and not is_under_pressure:
            threads_in_use = sum(e.threads + e.peer_threads for e in engines.by_id.values())
            free_threads = engines.thread_share * engines.router_count - threads_in_use
        threads = max(engines.thread_share, engines.threads_in_flight + free_threads)
        # each thread has nearly a whole core
        min_cores = 0 if is_under_pressure else engines.threads_in_flight
        cores = max(threads / THREADS_PER_CORE * CORE_WORK, min_cores)
        return cores * SECOND / max(1.0, engines.pace_ratio.value())

    def _update_drain_rate(self, class_state: ClassState, potential_rate: float) -> None:
        """Update the drain rate.

        The finished cost shows the rate only while queries are queued; otherwise the potential rate is used.
        """
        if not class_state.drain_rate:
            return
        current_rate = class_state.finished_cost if class_state.queue else potential_rate
        rate = class_state.drain_rate + SAMPLE_WEIGHT * (current_rate - class_state.drain_rate)
        class_state.drain_rate = max(rate, class_state.mean_cost)

    def _update_correction(self, class_state: ClassState) -> None:
        """Apply the paper's PI controller to the mean delay, within limits.

        Without answers, the correction does not change; without queued queries and late answers, it is reset.
        """
        if class_state.answers:
            objective_us = OBJECTIVE_SHARE * class_state.spec.latency_objective_us
            error_s = (objective_us - class_state.waiting_us / class_state.answers) / SECOND
            if class_state.queue or error_s < 0:
                gain = PROPORTIONAL_GAIN * ((INTEGRAL_GAIN + 1) * error_s - class_state.last_error_s)
                limit = self._correction_limit(class_state)
                correction = class_state.correction + gain * PLANT_GAIN * class_state.drain_rate
                class_state.correction = min(max(correction, -limit), limit)
            class_state.last_error_s = error_s
        is_late = class_state.answers and class_state.last_error_s <= 0
        if not class_state.queue and not is_late:
            class_state.correction = 0.0

    def _correction_limit(self, class_state: ClassState) -> float:
        objective_us = class_state.latency_objective(class_state.mean_cost)
        drained_cost = class_state.drain_rate / SECOND * objective_us
        return min(MAX_QUEUED_QUERIES * class_state.largest_cost, drained_cost)

    def _update_cost_limit(self, class_state: ClassState) -> None:
        """Lower the cost limit while light queries are rejected; a single rejection is not evidence."""
        step = COST_LIMIT_DECREASE if class_state.rejected_light > 1 else COST_LIMIT_INCREASE
        min_limit = class_state.mean_cost / COST_LIMIT_DIVISOR
        class_state.cost_limit = min(max(class_state.cost_limit * step, min_limit), class_state.largest_cost)
