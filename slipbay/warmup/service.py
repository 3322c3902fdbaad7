"""Warm-up of a running router: connects the state machine to admission, the policy, the log and the
status.
"""

from __future__ import annotations

from collections.abc import Callable

from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Endpoint, Request
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.policy.events import EngineId, EngineState, EstimatesRestored, ListKind, RetryBudgetRestored
from slipbay.policy.settings import Settings
from slipbay.warmup import snapshot
from slipbay.warmup.peer_estimates import MergedEstimates
from slipbay.warmup.plan import Phase, WarmupPlan
from slipbay.warmup.state_machine import WarmupStateMachine

LOG_KIND = "comeback"
GROUPS = 20  # upper bound of the query groups that fit in a message
SNAPSHOT_US = 5_000_000  # between snapshots
LIMIT_UPDATE_US = 25_000  # between updates of connection limits; may delay a queued query by this time


class WarmupService:
    """An admission gate until full service; after that it only replies to routers in warm-up."""

    def __init__(
        self,
        plan: WarmupPlan,
        settings: Settings,
        seed: int,
        dispatcher: Dispatcher,
        timers: Timers,
        now: Callable[[], int],
        own_estimates: Callable[[], tuple[EstimatesRestored, int]],
        waiting: Callable[[], int],
    ) -> None:
        """``own_estimates``: returns the estimates of the policy and the retries that it counts. ``waiting``:
        returns the number of queries that wait in the policy.
        """
        self._settings = settings
        self._dispatcher = dispatcher
        self._timers = timers
        self._now = now
        self._own_estimates = own_estimates
        self._waiting = waiting
        self.machine = WarmupStateMachine(
            settings.router_number,
            settings.router_count,
            seed,
            now(),
            lambda _now: own_estimates(),
            plan,
            settings.free_retries or 0.0,
        )
        self.machine.collector.on_estimates = self._use_estimates
        self.machine.on_phase_change = self._log_phase
        self._admitted: dict[int, int] = {}  # threads by request
        self._threads = 0
        self._cores: dict[EngineId, float] = {}
        dispatcher.admission_gates.append(self)
        self._update_limits()

    def status(self) -> dict[str, object]:
        """Status of the state machine, with the threads of admitted requests, their limit, and the queries
        that wait in the policy.
        """
        now = self._now()
        machine = self.machine
        threads = machine.limits.threads(now, self._all_cores())
        return {
            "number": machine.local_number,
            "configured": machine.size,
            **machine.status(now),
            "threads": self._threads,
            "bound": None if machine.phase is Phase.FULL else round(threads, 1),
            "waiting": self._waiting(),
        }

    def start(self) -> None:
        """Call ``tick`` of the state machine in a fleet of one, which has no channel that does so."""
        now = self._now()
        if self.machine.size == 1 and self.machine.phase is not Phase.FULL:
            self.machine.tick(now)
            self._timers.at(max(now + 1, self.machine.next_tick()), self.start)

    def endpoints_changed(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Update the cores of ready engines from an endpoint list or a watch event."""
        if kind is ListKind.FAILED:
            return
        if kind is not ListKind.DELTA:
            self._cores.clear()
        kinds = self._settings.kind_cores
        for endpoint in endpoints:
            entry = endpoint.entry
            if entry.state is EngineState.READY:
                self._cores[entry.engine] = kinds[entry.kind] if entry.kind < len(kinds) else 1.0
            else:
                self._cores.pop(entry.engine, None)
        self.machine.set_engine_count(max(1, len(self._cores)))

    def _all_cores(self) -> float:
        return sum(self._cores.values())

    # The admission gate

    def admit(self, request: Request) -> int | None:
        """None if the request is admitted, else the Retry-After in us."""
        machine = self.machine
        if machine.phase is Phase.FULL:
            return None
        now = self._now()
        service_class = self._settings.classes[request.service_class]
        threads = service_class.threads
        if self._threads + threads > machine.limits.threads(now, self._all_cores()):
            retry_after_us = machine.limits.retry_after(now, service_class.latency_objective_us)
            if retry_after_us is not None:
                # 0: the rejection has no Retry-After
                return min(retry_after_us, self._settings.max_retry_after_us)
        self._admitted[request.id] = threads
        self._threads += threads
        return None

    def release(self, request: Request) -> None:
        """Release the threads of a request that has ended."""
        self._threads -= self._admitted.pop(request.id, 0)

    def _update_limits(self) -> None:
        """Notify the policy of the connection limits, repeatedly while there are limits."""
        limits = self.machine.limits.connection_limits(self._now())
        self._dispatcher.notify(limits)
        if limits.limit_connections:
            self._timers.after(LIMIT_UPDATE_US, self._update_limits)

    # From the state machine

    def _use_estimates(self, merged: MergedEstimates) -> None:
        now = self._now()
        self._dispatcher.notify(merged.estimates)
        if merged.retries:
            self._dispatcher.notify(RetryBudgetRestored((), ((now, float(merged.retries)),)))
        log(
            LOG_KIND,
            f"{self.machine.collector.source()}: {', '.join(merged.used) or 'nothing'} used",
            dropped=", ".join(merged.dropped) or "none",
        )

    def _log_phase(self, phase: Phase, evidence: str) -> None:
        machine = self.machine
        after_s = (self._now() - machine.started_us) / 1e6
        log(LOG_KIND, f"{phase.name.lower()}: {evidence}", after_s=f"{after_s:.3f}")
        if phase is not Phase.FULL:
            return
        # the gate does not count the end of requests that are still open
        self._dispatcher.admission_gates.remove(self)
        full_after_s = (machine.full_service_us - machine.started_us) / 1e6
        summary = machine.collector.summary()
        log(
            LOG_KIND,
            f"full service after {full_after_s:.1f} s ({summary})",
            refused=machine.limits.rejections,
        )

    # Snapshots

    def keep_snapshots(self, write: Callable[[bytes], None]) -> None:
        """Store a snapshot with ``write`` periodically while in full service."""

        def write_snapshot() -> None:
            if self.machine.phase is Phase.FULL:
                estimates, retries = self._own_estimates()
                write(snapshot.write(estimates, retries, self._now()))
            self._timers.after(SNAPSHOT_US, write_snapshot)

        self._timers.after(SNAPSHOT_US, write_snapshot)

    def restore_snapshot(self, value: bytes) -> None:
        """Restore the last snapshot that an earlier incarnation of this router stored."""
        now = self._now()
        try:
            self.machine.restore_snapshot(now, snapshot.read(value, now))
        except snapshot.SnapshotError as problem:
            log(LOG_KIND, f"snapshot not used: {problem.reason}")
