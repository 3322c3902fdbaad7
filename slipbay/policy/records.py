"""Records of engines, queries, attempts and service classes. They only count; other modules decide."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from slipbay.policy.affinity import MAX_WARM_GROUPS
from slipbay.policy.events import EngineEntry, EngineState
from slipbay.policy.gossip_codec import digest_of
from slipbay.policy.settings import ServiceClass, Settings
from slipbay.policy.statistics import DecayingRatio, SlidingWindow


@dataclass(slots=True, frozen=True)
class ClassErrors:
    """Errors of an engine on one class: running error share, and end of the ejection for that class."""

    share: float = 0.0
    ejected_until_us: int = 0


@dataclass(slots=True, eq=False)
class Engine:
    """Local state of an engine: its list entry, the attempts in flight on it, and signs of failure."""

    entry: EngineEntry
    order: int = 0  # position in the local order of engines
    # in flight, by query id and attempt number
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    charges: SlidingWindow = field(default_factory=SlidingWindow)  # work sent (us)
    # groups locked by loads, with the latest time at which the lock ends
    locked_groups: dict[float, int] = field(default_factory=dict)
    # groups of the latest queries sent to it
    recent_groups: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_WARM_GROUPS))
    # thread time of answers divided by their work
    pace_ratio: DecayingRatio = field(default_factory=DecayingRatio)
    threads: int = 0  # threads in use by attempts of this router
    last_activity_us: int = 0  # time of its latest reply or note
    connection_error_share: float = 0.0  # running share of attempts with connection errors
    is_unhealthy: bool = False
    class_errors: dict[ClassState, ClassErrors] = field(default_factory=dict)
    # time of the latest failure to connect to it; 0 again once the list has a new process of the engine
    down_since_us: int = 0

    digest: int = 0  # engine id in messages between routers
    cores: float = 1.0
    peer_threads: int = 0  # threads in use by other routers, from the latest report
    threads_at_report: int = 0  # threads in use by this router at the time of that report
    peak_attempts: int = 0  # highest number of concurrent attempts of this router, each on its own connection
    lottery_draw: float = 0.0  # random number, redrawn at each report

    def __post_init__(self) -> None:
        self.digest = digest_of(self.entry.engine)

    def add_attempt(self, attempt: Attempt) -> bool:
        """Record an attempt as in flight; returns whether it probably needs a new connection."""
        query = attempt.query
        needs_connection = not self.has_idle_connection
        query.in_flight[attempt.number] = attempt
        self.attempts[query.id, attempt.number] = attempt
        self.threads += query.class_state.spec.threads
        self.peak_attempts = max(self.peak_attempts, len(self.attempts))
        self.recent_groups.append(query.group)
        if query.class_state.spec.is_load:
            self.locked_groups[query.group] = query.deadline_us
        return needs_connection

    def remove_attempt(self, attempt: Attempt, broken: bool) -> None:
        """Remove an attempt; unlock the group of a load if no other load of this router locks it.

        If the connection is ``broken``, the other idle connections are assumed to be broken too.
        """
        query = attempt.query
        del self.attempts[query.id, attempt.number]
        if broken:
            self.peak_attempts = len(self.attempts)
        self.threads -= query.class_state.spec.threads
        if query.class_state.spec.is_load and not self.loads_of(query.group):
            self.locked_groups.pop(query.group, None)

    @property
    def has_idle_connection(self) -> bool:
        """Whether this router probably has an idle connection to it."""
        return len(self.attempts) < self.peak_attempts

    def is_ejected_for(self, class_state: ClassState, now_us: int) -> bool:
        """Whether it is ejected for the class because of errors, though it may run other classes well."""
        errors = self.class_errors.get(class_state)
        return errors is not None and now_us < errors.ejected_until_us

    def is_locked(self, group: float, now_us: int) -> bool:
        """Whether a load is known to lock the group on this engine."""
        return self.locked_groups.get(group, 0) > now_us

    def loads_of(self, group: float) -> int:
        """Number of loads of this router on the engine that lock the group or wait for it."""
        return sum(
            a.query.class_state.spec.is_load and a.query.group == group for a in self.attempts.values()
        )

    def capacity(self, now_us: int, settings: Settings) -> float:
        """Fraction of its full capacity; assumed to grow linearly after the start (the curve is unknown)."""
        start_us = max(self.entry.ready_at_us, self.down_since_us)
        if not start_us or now_us - start_us >= settings.ramp_us:
            return 1.0
        min_share = settings.cold_share
        return min_share + (1 - min_share) * max(0, now_us - start_us) / settings.ramp_us

    def distance(self, zone: int) -> tuple[bool, int]:
        """Sort key: local zone first, then an order specific to this router, so that routers spread out."""
        return self.entry.zone != zone, self.order

    def mark_removed(self) -> None:
        """Mark the engine as not listed; the record stays because its attempts and charges still count."""
        self.entry = replace(self.entry, state=EngineState.GONE)

    def update_entry(self, entry: EngineEntry, cores: float) -> None:
        """Set its list entry; a new process starts without the errors and warm groups of the old one."""
        if entry.ready_at_us != self.entry.ready_at_us:
            self.connection_error_share = 0.0
            self.pace_ratio = DecayingRatio()
            self.is_unhealthy = False
            self.down_since_us = 0
            self.peak_attempts = 0
            self.recent_groups.clear()
            self.locked_groups.clear()
            self.class_errors.clear()
        self.entry = entry
        self.cores = cores


@dataclass(slots=True, eq=False)
class Query:
    """A query from its arrival until it is answered and all its attempts have ended."""

    id: int
    class_state: ClassState
    arrived_us: int
    deadline_us: int
    estimated_cost: float  # us of work, as estimated by the client
    cost: float  # the estimate, corrected by the measured work of answers of its class
    group: float
    key: int  # 0 if its class is not ordered
    min_run_us: float = 0.0  # lower limit of its run time; 0 if the client estimated no cost
    attempts_sent: int = 0
    is_queued: bool = False  # its cost is included in the queued cost of its class
    is_answered: bool = False
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # attempts by number
    may_have_run_since_us: int | None = None  # send time of the first attempt that may have run
    ran_on: Engine | None = None  # engine of that attempt
    last_engine: Engine | None = None
    # first engine that returned an error; the cause may be the engine or the query
    failed_on: Engine | None = None
    deadline_timer: int | None = None  # token of the timer that gives the final answer


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a query, in flight on an engine."""

    query: Query
    number: int
    engine: Engine
    sent_us: int
    remaining: float = 1.0  # fraction of its work that remains, according to its notes
    is_cancelled: bool = False
    waited_for_load: bool = False  # a load locked its group
    is_migrating: bool = False  # cancelled so that the query can restart on another engine
    stuck_timer: int | None = None  # token of the timer that migrates it if it makes no progress


class ClassState:
    """One service class: its queue, its bound and its learned estimates. Costs are in us of work."""

    def __init__(self, spec: ServiceClass) -> None:
        self.spec = spec
        self.queue: deque[Query] = deque()
        self.open_queries: dict[int, Query] = {}
        self.queued_cost = 0.0
        self.drain_rate = 0.0  # 1 / rho of the paper: cost drained per second; 0 until seeded
        self.correction = 0.0  # cost that the PI controller adds to the bound; b_delta of the paper
        # target of the mean delay minus the mean delay, in the last period with answers
        self.last_error_s = 0.0
        self.bound = 0.0  # highest total cost of queued queries
        self.largest_cost = 0.0  # of a query so far
        self.cost_limit = float("inf")  # highest cost of a query that is admitted under pressure
        self.estimated_costs = DecayingRatio()
        self.measured_work = DecayingRatio()
        self.cost_bias = DecayingRatio()  # measured work divided by estimated cost
        self.start_period()

    def start_period(self) -> None:
        """Reset the counters for a new sampling period."""
        self.finished_cost = 0.0
        self.waiting_us = 0.0
        self.answers = 0
        self.rejected_light = 0  # queries rejected although their cost is within the limit

    def add_queued_cost(self, query: Query) -> None:
        """Add a query's cost to the queued cost."""
        query.is_queued = True
        self.queued_cost += query.cost

    def dequeue(self, query: Query) -> None:
        """Remove a query from the queue and its cost from the queued cost, if present."""
        if query.is_queued:
            self.queued_cost -= query.cost
            query.is_queued = False
        if query in self.queue:
            self.queue.remove(query)

    @property
    def mean_cost(self) -> float:
        """Mean cost of its queries, corrected by the measured work of answers."""
        return self.estimated_costs.value() * self.cost_bias.value(1.0)

    @property
    def charged_work(self) -> float:
        """Work (us) charged for one of its queries: the higher of the two estimates, to be safe."""
        return max(self.measured_work.value(), self.mean_cost)

    def latency_objective(self, cost: float) -> float:
        """Latency objective (us) of a query with the given cost."""
        return self.spec.latency_objective_us + self.spec.latency_objective_stretch * self.run_time(cost)

    def run_time(self, cost: float) -> float:
        """Run time (us) of the given cost on the threads of the class."""
        return cost / self.spec.threads
