"""Selects the engine for a query. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from slipbay.policy.affinity import AffinityRing
from slipbay.policy.connection_pacer import ConnectionPacer
from slipbay.policy.engine_table import THREADS_PER_CORE, EngineTable
from slipbay.policy.events import EngineId, EngineState
from slipbay.policy.gossip import LoadGossip
from slipbay.policy.outlier_detection import OutlierDetector
from slipbay.policy.pressure import Pressure
from slipbay.policy.priority import HIGH_PRIORITY_THREAD_FACTOR, Priorities
from slipbay.policy.records import Engine, Query
from slipbay.policy.settings import Effect, Scope, Settings
from slipbay.policy.slow_start import SlowStart

# Threads subtracted from the load of an engine that has the group in memory. Reading data is only part of a
# query's work, so a warm group must not outweigh a much higher load.
WARM_GROUP_BONUS = 4.0
# threads subtracted for an engine on the group's arc that does not have the group in memory yet
GROUP_ARC_BONUS = WARM_GROUP_BONUS / 2
# threads added to the load of an engine in another zone; cross-zone queries cost more
CROSS_ZONE_PENALTY = 1.5
# engines that a router samples from without pressure; each additional engine needs a connection of its own
MAX_NEAREST_ENGINES = 8
SAMPLE_SIZE = 2  # engines sampled when peers report their loads, in addition to the engine on the group's arc

Rank: TypeAlias = tuple[int, bool, int, float, float]
"""Sort key of an engine for a query, lowest first: load conflicts, last used, health, threads, random."""


@dataclass(slots=True)
class _ChoiceContext:
    """Conditions that apply to one selection."""

    now_us: int
    has_peer_loads: bool  # whether peers have recently reported the threads that they use
    is_under_pressure: bool
    arc_engine: EngineId | None = None  # an engine on the arc of the query's group

    def threads_on(self, engine: Engine) -> int:
        """Known number of threads in use on an engine."""
        return engine.threads + engine.peer_threads if self.has_peer_loads else engine.threads


class EngineSelector:
    """Selects engines by placement rules, health, threads in use, warm groups and zone."""

    def __init__(
        self,
        settings: Settings,
        engines: EngineTable,
        affinity: AffinityRing,
        slow_start: SlowStart,
        gossip: LoadGossip,
        outliers: OutlierDetector,
        pressure: Pressure,
        priorities: Priorities,
        pacer: ConnectionPacer,
        random: Random,
    ) -> None:
        self.settings = settings
        self.engines = engines
        self.affinity = affinity
        self.slow_start = slow_start
        self.gossip = gossip
        self.outliers = outliers
        self.pressure = pressure
        self.priorities = priorities
        self.pacer = pacer
        self.random = random

    def choose(self, query: Query, now_us: int) -> Engine | None:
        """Select the best engine for a query's next attempt; ``None`` if the query must wait."""
        context = _ChoiceContext(now_us, self.gossip.is_recent(now_us), self.pressure.is_on(now_us))
        if context.is_under_pressure and not context.has_peer_loads and self._has_used_thread_share(query):
            return None
        allowed = [e for e in self.engines.by_id.values() if self.is_allowed(query, e, now_us)]
        unhealthy = {e for e in allowed if e.is_unhealthy or e.is_ejected_for(query.class_state, now_us)}
        are_all_unhealthy = len(unhealthy) == len(allowed)  # then the local health data is probably wrong
        if not query.class_state.spec.is_load:
            context.arc_engine = self.affinity.draw_engine(query.group, self.random)
        # new connections are paced while many routers warm up together
        may_open = self.pacer.may_open(now_us)
        connected: list[Engine] = []
        if self.pacer.is_limited:
            connected = self._find_connected([e for e in allowed if e not in unhealthy], may_open, context)
        if not (connected or may_open):
            return None
        candidates = connected or allowed
        if context.has_peer_loads and not connected:
            candidates = self._limit_candidates(query, allowed, unhealthy, context)
        return self._select_best(query, candidates, unhealthy, are_all_unhealthy, context)

    def _select_best(
        self,
        query: Query,
        candidates: list[Engine],
        unhealthy: set[Engine],
        are_all_unhealthy: bool,
        context: _ChoiceContext,
    ) -> Engine | None:
        """The best-ranked engine with room; an unhealthy one only as a probe or if all are unhealthy."""
        best_rank: Rank | None = None
        best: Engine | None = None
        for engine in candidates:
            is_unhealthy = engine in unhealthy
            is_probe = is_unhealthy and self.outliers.may_probe(engine, query.class_state)
            if is_unhealthy and not (is_probe or are_all_unhealthy):
                continue
            if context.is_under_pressure and self._is_at_capacity(query, engine, context):
                continue
            rank = self._rank(query, engine, is_unhealthy - 2 * is_probe, context)
            if best_rank is None or rank < best_rank:
                best_rank = rank
                best = engine
        return best

    def _has_used_thread_share(self, query: Query) -> bool:
        """Whether the local share of threads is used up; only the highest-priority class may exceed it."""
        engines = self.engines
        if engines.threads_in_flight < engines.thread_share:
            return False
        return query.class_state is not self.priorities.highest_class()

    def _find_connected(self, healthy: list[Engine], may_open: bool, context: _ChoiceContext) -> list[Engine]:
        """Engines with an idle connection; if a new one may be opened, only those that also have room."""
        connected = [e for e in healthy if e.has_idle_connection]
        if not may_open:
            return connected
        if context.is_under_pressure:  # the caller then selects among all allowed engines
            return []
        return [
            e
            for e in connected
            if context.threads_on(e) < THREADS_PER_CORE * e.cores * e.capacity(context.now_us, self.settings)
        ]

    def _limit_candidates(
        self, query: Query, allowed: list[Engine], unhealthy: set[Engine], context: _ChoiceContext
    ) -> list[Engine]:
        """A subset of the engines: with the same load reports, all routers would select the same engine."""
        sampled = self._sample_engines(query, allowed, context.is_under_pressure)
        # capacity below 1: only a few routers may use a cold engine, so it stays a candidate
        return [
            e
            for e in allowed
            if e in unhealthy
            or e.entry.engine == context.arc_engine
            or e in sampled
            or e.capacity(context.now_us, self.settings) < 1
        ]

    def _sample_engines(self, query: Query, allowed: list[Engine], is_under_pressure: bool) -> list[Engine]:
        """Random engines: from the nearest ones without pressure, otherwise from all."""
        candidates = allowed
        if not is_under_pressure:
            candidates = sorted(allowed, key=lambda e: e.distance(self.settings.zone))[:MAX_NEAREST_ENGINES]
        elif query.class_state is not self.priorities.highest_class():
            return candidates  # the lottery limits these classes
        return self.random.sample(candidates, min(SAMPLE_SIZE, len(candidates)))

    def is_allowed(self, query: Query, engine: Engine, now_us: int) -> bool:
        """Whether the rules permit the engine: list state, placement, deduplication and cold budget."""
        spec = query.class_state.spec
        entry = engine.entry
        if (
            entry.state is not EngineState.READY
            or (spec.zones is not None and entry.zone not in spec.zones)
            or (spec.kinds is not None and entry.kind not in spec.kinds)
            or (query.ran_on is not None and not self._is_deduplicated(query, query.ran_on, engine))
        ):
            return False
        if engine.capacity(now_us, self.settings) == 1.0:
            return True
        return self.slow_start.has_room(query.class_state, engine, now_us)

    def _is_deduplicated(self, query: Query, ran_on: Engine, engine: Engine) -> bool:
        """Whether a query that may have run on one engine can safely run on another."""
        spec = query.class_state.spec
        if spec.effect is not Effect.KEYED or spec.dedup_scope is Scope.ALL:
            return True
        if ran_on.entry.zone != engine.entry.zone:
            return False
        return spec.dedup_scope is not Scope.CELL or ran_on.entry.cell == engine.entry.cell

    def _relative_speed(self, engine: Engine, capacity: float) -> float:
        """Fraction of full speed of an engine: below 1 while it is cold or slower than the average engine."""
        return capacity / max(1.0, engine.pace_ratio.value() / (self.engines.pace_ratio.value() or 1.0))

    def _is_at_capacity(self, query: Query, engine: Engine, context: _ChoiceContext) -> bool:
        """Whether an engine has no room for a query under pressure.

        All routers learn of the same free threads at the same time. Each router takes its share of them, by
        lottery if the share is too small for a query.
        """
        spec = query.class_state.spec
        router_count = self.engines.router_count
        # below 1: the engine is cold, and its slow start has room (see ``is_allowed``)
        capacity = engine.capacity(context.now_us, self.settings)
        threads = context.threads_on(engine)
        max_threads = THREADS_PER_CORE * engine.cores * self._relative_speed(engine, capacity)
        if not context.has_peer_loads:
            max_threads /= router_count
        is_at_capacity = threads >= max_threads
        # slow start limits cold engines already
        if not is_at_capacity and context.has_peer_loads and capacity == 1:
            added_threads = engine.threads - engine.threads_at_report + spec.threads
            free_share = (max_threads - engine.peer_threads - engine.threads_at_report) / router_count
            is_at_capacity = added_threads > free_share + engine.lottery_draw * spec.threads
        if not is_at_capacity:
            return False
        may_exceed = self.priorities.may_exceed_bound and threads < HIGH_PRIORITY_THREAD_FACTOR * max_threads
        return not (
            (context.has_peer_loads or may_exceed) and query.class_state is self.priorities.highest_class()
        )

    def _rank(self, query: Query, engine: Engine, health: int, context: _ChoiceContext) -> Rank:
        """Sort key; ``health`` is -1 for a probe request, 0 for a healthy engine, 1 for an unhealthy one."""
        spec = query.class_state.spec
        capacity = engine.capacity(context.now_us, self.settings)
        load_conflicts = 0
        if (spec.is_load or spec.waits_for_loads) and engine.is_locked(query.group, context.now_us):
            # prefer the shortest queue if all engines have one
            load_conflicts = max(1, engine.loads_of(query.group))
        bonus = 0.0
        if capacity < 1 or query.group in engine.recent_groups:
            bonus = WARM_GROUP_BONUS
        elif engine.entry.engine == context.arc_engine:
            bonus = GROUP_ARC_BONUS
        zone_penalty = CROSS_ZONE_PENALTY if engine.entry.zone != self.settings.zone else 0.0
        threads = context.threads_on(engine) + spec.threads
        effective_threads = (threads - bonus + zone_penalty) / self._relative_speed(engine, capacity)
        return (load_conflicts, engine is query.last_engine, health, effective_threads, self.random.random())
