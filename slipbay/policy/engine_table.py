"""The engines that a router knows, and its share of their threads."""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from slipbay.policy.events import EngineId, EngineList, EngineState, ListKind
from slipbay.policy.records import Engine
from slipbay.policy.settings import Settings
from slipbay.policy.statistics import SAMPLE_DECAY, DecayingRatio

# threads per core under pressure; the throughput of an engine falls if it runs more than one to two
THREADS_PER_CORE = 1.6
CORE_WORK = 0.85  # fraction of the time of an engine's cores that counts as its full capacity
SLOWDOWN_FACTOR = 2.0  # engines count as slowed if their pace exceeds the best pace by this factor


class EngineHealth(NamedTuple):
    """Capacity, health and speed of an engine, as measured by this router."""

    capacity: float  # fraction of its full capacity
    is_unhealthy: bool
    relative_pace: float  # pace of the engine divided by that of all engines; above 1 is slower


class EngineTable:
    """Engines by id, the threads in use by this router, and its share of all threads."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.by_id: dict[EngineId, Engine] = {}
        self.router_count = settings.router_count  # live routers that share the engines
        self.threads_in_flight = 0
        self.thread_share = 0.0  # threads that this router may use under pressure
        self.ready_count = 0  # engines that the list reports as ready
        self.pace_ratio = DecayingRatio()  # thread time of all answers divided by their work
        self.best_pace = 0.0

    def record_send(self, threads: int) -> None:
        """Add the threads of an attempt that was sent."""
        self.threads_in_flight += threads

    def record_end(self, threads: int) -> None:
        """Subtract the threads of an attempt that has ended."""
        self.threads_in_flight -= threads

    def record_pace(self, engine: Engine, thread_us: float, work_us: float) -> None:
        """Update the pace of the engine and of all engines with an answer's thread time and work."""
        engine.pace_ratio.add(thread_us, work_us, SAMPLE_DECAY)
        self.pace_ratio.add(thread_us, work_us, SAMPLE_DECAY)

    def seed_best_pace(self, best_pace: float) -> None:
        """Set the best pace from another router if it is better or the local one is unknown."""
        self.best_pace = min(self.best_pace or best_pace, best_pace or self.best_pace)

    def is_slowed(self) -> bool:
        """Whether answers take far longer for their work than at the best pace; updates the best pace."""
        pace = self.pace_ratio.value()
        self.best_pace = min(pace, self.best_pace or pace)
        return pace > SLOWDOWN_FACTOR * self.best_pace

    def apply_list(self, event: EngineList) -> None:
        """Apply an engine list.

        An engine that is missing from a full list gets no queries; its record stays because its charges still
        count.
        """
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            for name in self.by_id.keys() - {entry.engine for entry in event.entries}:
                self.by_id[name].mark_removed()
        kind_cores = self.settings.kind_cores
        salt = self.settings.router_number + 1
        for entry in event.entries:
            engine = self.by_id.get(entry.engine)
            if engine is None:
                engine = Engine(entry, crc32(entry.engine, salt))
                self.by_id[entry.engine] = engine
            engine.update_entry(entry, kind_cores[entry.kind] if entry.kind < len(kind_cores) else 1.0)

    def update_thread_share(self, now_us: int) -> list[Engine]:
        """Recompute the local share of threads; returns the ready engines of the local zone, or else all."""
        ready = [e for e in self.by_id.values() if e.entry.state is EngineState.READY]
        cores = sum(e.cores * e.capacity(now_us, self.settings) for e in ready if not e.is_unhealthy)
        self.thread_share = THREADS_PER_CORE * cores / self.router_count
        self.ready_count = len(ready)
        return [e for e in ready if e.entry.zone == self.settings.zone] or ready

    def prune(self, now_us: int, charges_since_us: int) -> None:
        """Remove old charges, expired locks, and unlisted engines without attempts or charges."""
        for name, engine in list(self.by_id.items()):
            engine.locked_groups = {
                group: until for group, until in engine.locked_groups.items() if until > now_us
            }
            recent_charges = engine.charges.since(charges_since_us)  # also removes older charges
            if engine.entry.state is EngineState.GONE and not engine.attempts and not recent_charges:
                del self.by_id[name]

    def condition(self, engine_id: EngineId, now_us: int) -> EngineHealth:
        """State of an engine; an unknown engine counts as healthy and of average pace."""
        engine = self.by_id.get(engine_id)
        pace = self.pace_ratio.value()
        if engine is None:
            return EngineHealth(1.0, False, 1.0)
        relative_pace = engine.pace_ratio.value(pace) / pace if pace else 1.0
        return EngineHealth(engine.capacity(now_us, self.settings), engine.is_unhealthy, relative_pace)
