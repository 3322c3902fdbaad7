"""Limits of a router in warm-up: threads, new connections and calls of the endpoint list."""

from __future__ import annotations

from math import sqrt

from slipbay.policy.events import WarmupChanged
from slipbay.warmup.fleet_survey import FleetSurvey
from slipbay.warmup.plan import SECOND, Phase, WarmupPlan

GOLDEN_SECTION = 0.6180339887  # consecutive multiples of it, modulo 1, are far apart
MIN_THREADS = 2.0
MIN_RETRY_US = SECOND // 10
MIN_RETRY_SPAN_US = SECOND // 2  # minimum time over which retries of rejected clients are spread


class WarmupLimits:
    """Computes the limits from the plan, the time since the start and the survey. Times are in us of one
    clock."""

    def __init__(
        self, local_number: int, size: int, started_us: int, plan: WarmupPlan, survey: FleetSurvey
    ) -> None:
        self._local_number = local_number
        self._size = size
        self._started_us = started_us
        self._plan = plan
        self._survey = survey
        self.engine_count = 1  # engines in the endpoint list; set by the caller
        self.rejections = 0

    def leftover(self, now: int) -> float:
        """Fraction of all threads that queries of earlier incarnations may still hold."""
        if self.leftover_ended(now):
            return 0.0
        return self._plan.leftover_share * self._survey.restarted_count / self._size

    def leftover_ended(self, now: int) -> bool:
        """Whether all queries of earlier incarnations have ended."""
        return now - self._started_us >= self._plan.leftover_us

    def threads(self, now: int, cores: float) -> float:
        """Threads that the requests of this router may hold. ``cores``: of all engines together."""
        share = self._plan.threads_per_core * cores * (1 - self.leftover(now)) / self._survey.running_count
        return max(MIN_THREADS, share + self._plan.slack * sqrt(share))

    def connections_per_s(self) -> float:
        """Connections per second to engines that this router may open, including those of probe requests;
        infinite in full service."""
        if self._survey.phase is Phase.FULL:
            return float("inf")
        plan = self._plan
        shared = plan.connections_per_s * max(1, self.engine_count) / self._survey.warming_up_count
        return max(plan.min_connections_per_s, shared)

    def list_slot(self) -> int:
        """Delay in us from the start to the first call of the endpoint list; it spreads the calls of a
        fleet."""
        if self._size == 1:
            return 0
        span = min(self._plan.max_slot_us, int(self._size / self._plan.list_calls_per_s * SECOND))
        return span * self._local_number // self._size

    def connection_limits(self, now: int) -> WarmupChanged:
        """The limits for the policy until the next update: the rate of new connections, and whether queries
        need an idle connection. The routers of a fleet stop needing one at different times.
        """
        offset = self._local_number * GOLDEN_SECTION % 1.0
        limited_until = self._started_us + self._plan.leftover_us + int(offset * self._plan.limit_spread_us)
        return WarmupChanged(now < limited_until, self.connections_per_s())

    def retry_after(self, now: int, objective_us: int) -> int | None:
        """Retry-After in us for a request above the ``threads`` limit. Retries are spread over the remaining
        time. None if that is too late for the latency objective: the request is admitted then.
        """
        span = max(MIN_RETRY_SPAN_US, self._started_us + self._plan.leftover_us - now)
        delay = MIN_RETRY_US + int(span * ((self.rejections + 1) * GOLDEN_SECTION % 1.0))
        if delay > objective_us // 2:
            return None
        self.rejections += 1
        return delay
