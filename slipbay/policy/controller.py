"""The routing policy: takes events and returns actions. Times are in microseconds.

Normal path: the policy admits a query if its cost plus the queued cost of its class fits within the bound of
the class, and rejects it otherwise. The bound is recomputed each second (``queue_bounds.py``).
Queued queries are sent in first-in, first-out order to the engine with the fewest threads in use. All other
rules are exceptions or safeguards (docs/design.md). Each decision has its own module and its own state; the
controller passes the events to these modules and runs the periodic work.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from slipbay.policy import estimates
from slipbay.policy.actions import Action, FetchList, WatchList
from slipbay.policy.admission import Admission
from slipbay.policy.affinity import AffinityRing
from slipbay.policy.attempts import AttemptTracker
from slipbay.policy.connection_pacer import ConnectionPacer
from slipbay.policy.engine_table import EngineHealth, EngineTable
from slipbay.policy.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    EngineId,
    EngineList,
    EstimatesRestored,
    Event,
    FleetSize,
    ListKind,
    PeerMessage,
    QueryArrived,
    RetryBudgetRestored,
    ShutdownDeadline,
    StreamBegun,
    TimerFired,
    WarmupChanged,
)
from slipbay.policy.gossip import LoadGossip
from slipbay.policy.key_queues import KeyQueues
from slipbay.policy.open_queries import OpenQueries
from slipbay.policy.outbox import Outbox
from slipbay.policy.outlier_detection import OutlierDetector
from slipbay.policy.pressure import Pressure
from slipbay.policy.priority import Priorities
from slipbay.policy.queue_bounds import QueueBounds
from slipbay.policy.records import ClassState
from slipbay.policy.release import QueueRelease
from slipbay.policy.retries import RetryPolicy
from slipbay.policy.selection import EngineSelector
from slipbay.policy.settings import Settings
from slipbay.policy.slow_start import SlowStart
from slipbay.policy.timing import CHECK_PERIOD_US, SECOND, Uptime

EVENT_ORDER: dict[type, int] = {EngineList: -1, TimerFired: 1}
"""Engine lists are processed first and timers last: after a pause, a batch has both old and new events."""


def _processing_order(event: Event) -> int:
    return EVENT_ORDER.get(type(event), 0)


class Controller:
    """Makes the decisions of one router.

    It shares no state with other controllers and receives the time with the events.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.classes = [ClassState(spec) for spec in settings.classes]
        self.next_check_us = 0
        self.period_end_us = 0
        self.uptime = Uptime()
        self.outbox = Outbox()
        self.pressure = Pressure()
        self.pacer = ConnectionPacer()
        self.priorities = Priorities(settings, self.classes)
        random = Random(seed)
        self._make_engines(random)
        self._make_queries()
        self._make_attempts(random)
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            QueryArrived: self._on_arrival,
            AttemptEnded: self._on_attempt_end,
            AttemptNote: self._on_note,
            EngineList: self._on_engine_list,
            ClientDisconnected: self._on_disconnect,
            PeerMessage: self._on_peer_message,
            StreamBegun: self._on_stream,
            RetryBudgetRestored: self._on_retry_budget,
            EstimatesRestored: self._on_estimates,
            WarmupChanged: self._on_warmup,
            ShutdownDeadline: self._on_shutdown,
            FleetSize: self._on_fleet_size,
            TimerFired: self._on_timer,
        }

    def _make_engines(self, random: Random) -> None:
        """Create the objects that track engines and the load that all routers put on them."""
        settings = self.settings
        self.engines = EngineTable(settings)
        self.affinity = AffinityRing()
        self.outliers = OutlierDetector(settings, self.pressure)
        self.gossip = LoadGossip(
            settings.router_number, settings.router_count, self.engines, random, self.pressure
        )
        self.slow_start = SlowStart(settings, self.classes, self.engines, self.gossip, self.uptime)

    def _make_queries(self) -> None:
        """Create the objects that store queries and decide whether to admit them."""
        settings = self.settings
        classes = self.classes
        self.key_queues = KeyQueues(self.outbox)
        self.retries = RetryPolicy(settings, classes, self.outbox)
        self.queries = OpenQueries(settings, classes, self.key_queues, self.retries, self.outbox)
        self.bounds = QueueBounds(classes, self.engines, self.gossip, self.pressure)
        self.admission = Admission(
            settings,
            classes,
            self.bounds,
            self.engines,
            self.queries,
            self.pressure,
            self.priorities,
            self.pacer,
            self.outbox,
            self.uptime,
        )

    def _make_attempts(self, random: Random) -> None:
        """Create the objects that send queries to engines."""
        self.selector = EngineSelector(
            self.settings,
            self.engines,
            self.affinity,
            self.slow_start,
            self.gossip,
            self.outliers,
            self.pressure,
            self.priorities,
            self.pacer,
            random,
        )
        self.attempts = AttemptTracker(
            self.settings,
            self.engines,
            self.queries,
            self.key_queues,
            self.retries,
            self.outliers,
            self.pressure,
            self.priorities,
            self.pacer,
            self.outbox,
        )
        self.queue_release = QueueRelease(
            self.classes, self.queries, self.retries, self.selector, self.attempts, self.pressure
        )

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Process all events since the last call; returns the actions for the host to execute in order."""
        actions: list[Action] = []
        self.outbox.actions = actions
        if self.uptime.started_us is None:
            self._start(now_us)
        for event in sorted(events, key=_processing_order) if len(events) > 1 else events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event, now_us)
        self.queue_release.release(now_us)
        return actions

    def on_timer_cancelled(self, callback: Callable[[int], None]) -> None:
        """Set the function that is called with the token of each timer that is not needed any more."""
        self.outbox.timer_cancelled = callback

    # Periodic work

    def _start(self, now_us: int) -> None:
        """Start the periodic work; called with the first events."""
        self.uptime.started_us = now_us
        self.next_check_us = now_us
        self.period_end_us = now_us + SECOND
        self._run_periodic_checks(now_us)

    def _run_periodic_checks(self, now_us: int) -> None:
        """Find unresponsive engines, end the sampling period if it is due, and send gossip."""
        engines = self.engines.by_id.values()
        for attempt in self.outliers.find_unresponsive(engines, now_us, self.next_check_us):
            self.retries.migrate(attempt, now_us)
        if now_us >= self.period_end_us:
            self.period_end_us = max(self.period_end_us + SECOND, now_us)
            self.end_sampling_period(now_us)
            if self.settings.list_on_request:
                self.outbox.add(WatchList())
        if self.settings.may_gossip and self.settings.router_count > 1:
            self.gossip.step(now_us, self.outbox)
        self.next_check_us = now_us + CHECK_PERIOD_US
        self.outbox.set_timer(self.next_check_us, self._run_periodic_checks)

    def end_sampling_period(self, now_us: int) -> None:
        """End a sampling period: remove expired records, then recompute the thread share and the bounds."""
        self.engines.prune(now_us, now_us - self.settings.cold_window_us - CHECK_PERIOD_US)
        self.key_queues.prune(now_us)
        self.affinity.prune()
        self.update_thread_share(now_us)
        self.bounds.update_bounds(now_us)

    def update_thread_share(self, now_us: int) -> None:
        """Recompute the local share of engine threads and the affinity arcs over the local zone's engines."""
        zone_engines = self.engines.update_thread_share(now_us)
        self.affinity.rebuild(engine.entry.engine for engine in zone_engines)

    # Events

    def _on_arrival(self, event: QueryArrived, now_us: int) -> None:
        if event.query not in self.queries.by_id and event.service_class < len(self.classes):
            self.retries.record_request(now_us)
            self.affinity.count_query(event.group)
            self.admission.process_arrival(event, now_us)

    def _on_attempt_end(self, event: AttemptEnded, now_us: int) -> None:
        query = self.queries.by_id.get(event.query)
        if query is not None and event.attempt in query.in_flight:
            self.attempts.record_end(query, event, now_us)

    def _on_note(self, event: AttemptNote, now_us: int) -> None:
        query = self.queries.by_id.get(event.query)
        if query is not None and event.attempt in query.in_flight:
            self.attempts.record_note(query, event, now_us)

    def _on_engine_list(self, event: EngineList, now_us: int) -> None:
        if event.kind is ListKind.FAILED:
            self.outbox.add(FetchList())
        self.engines.apply_list(event)
        self.update_thread_share(now_us)

    def _on_disconnect(self, event: ClientDisconnected, now_us: int) -> None:
        query = self.queries.by_id.get(event.query)
        if query is not None:
            self.queries.close(query, now_us)

    def _on_stream(self, event: StreamBegun, now_us: int) -> None:
        query = self.queries.by_id.get(event.query)
        if query is not None:
            self.queries.close(query, now_us, keep_attempt=event.attempt)

    def _on_peer_message(self, event: PeerMessage, now_us: int) -> None:
        if self.settings.may_gossip:
            self.gossip.step(now_us, self.outbox, event.body)

    def _on_retry_budget(self, event: RetryBudgetRestored, _now_us: int) -> None:
        self.retries.restore(event)

    def _on_estimates(self, event: EstimatesRestored, _now_us: int) -> None:
        estimates.restore(event, self.engines, self.classes, self.affinity)

    def _on_warmup(self, event: WarmupChanged, now_us: int) -> None:
        self.pacer.update(now_us, event)

    def _on_shutdown(self, event: ShutdownDeadline, _now_us: int) -> None:
        self.queries.limit_deadlines(event.by_us)
        self.outbox.set_timer(event.by_us, self.queries.answer_all)

    def _on_fleet_size(self, event: FleetSize, _now_us: int) -> None:
        # thread shares count live routers only; time slots count all configured routers
        self.engines.router_count = event.routers

    def _on_timer(self, event: TimerFired, now_us: int) -> None:
        self.outbox.fire(event.token, now_us)

    # Accessors for the host

    def retry_budget(self) -> RetryBudgetRestored:
        """State of the retry budget, for the next process of this router to continue with."""
        return self.retries.budget()

    def estimates(self, now_us: int, groups: int) -> EstimatesRestored:
        """Learned estimates for a starting router, at most ``groups`` groups. Does not change any state."""
        return estimates.collect(self.engines, self.classes, self.affinity, now_us, groups)

    def engine_condition(self, engine: EngineId, now_us: int) -> EngineHealth:
        """Known capacity, health and pace of an engine. Does not change any state."""
        return self.engines.condition(engine, now_us)

    def queued_count(self) -> int:
        """Number of queries that wait for an engine."""
        return sum(len(class_state.queue) for class_state in self.classes)
