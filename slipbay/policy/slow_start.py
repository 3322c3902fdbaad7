"""Limits the queries that all routers together send to an engine that has just started.

The settings limit the total work of all routers in a window of ``cold_window_us``. With hundreds of routers,
an equal share for each would be less than one query, so only a few routers, those with a time slot in this
window, share the budget. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from slipbay.policy.engine_table import CORE_WORK, THREADS_PER_CORE, EngineTable
from slipbay.policy.gossip import GOSSIP_PERIOD_US, LoadGossip
from slipbay.policy.records import ClassState, Engine
from slipbay.policy.settings import Settings
from slipbay.policy.timing import CHECK_PERIOD_US, Uptime

# share of the cold budget that is used, because parts of two consecutive slots may fall into one window
COLD_BUDGET_SHARE = 0.5
# share that is used if there is also a lottery, because two slots and the lottery may fall into one window
COLD_LOTTERY_BUDGET_SHARE = 1 / 3
MAX_COLD_SLOTS = 8  # routers with a slot on a cold engine in a window, if each share has room for any query
MIN_SLOT_QUERIES = 1.5  # heaviest queries that a slot's share must have room for; light ones use some of it


class SlowStart:
    """Budgets of cold engines: time slots, and a lottery if peers report their threads."""

    def __init__(
        self,
        settings: Settings,
        classes: Sequence[ClassState],
        engines: EngineTable,
        gossip: LoadGossip,
        uptime: Uptime,
    ) -> None:
        self.settings = settings
        self.classes = classes
        self.engines = engines
        self.gossip = gossip
        self.router_count = settings.router_count  # routers that take time slots, live or not
        self.uptime = uptime

    def has_room(self, class_state: ClassState, engine: Engine, now_us: int) -> bool:
        """Whether this router may send one more query of the class to a cold engine.

        The heavier the queries are, the fewer routers get a slot, and always the first ones in the order for
        the engine, so routers need no agreement. A router does not use its first window, because its earlier
        process may have spent that budget. Low traffic leaves slots idle: if thread sums are reported, each
        router without a slot takes its share of the engine's free threads, by lottery if the share is less
        than a query. On average, these shares together use no more than one slot.
        """
        settings = self.settings
        window_us = settings.cold_window_us
        capacity = engine.capacity(now_us, settings)
        budget = settings.cold_multiple * capacity * engine.cores * CORE_WORK * window_us
        max_slots = min(self.router_count, MAX_COLD_SLOTS)
        slots = self._slot_count(max_slots, budget)
        uses_lottery = slots < self.router_count and self.gossip.is_recent(now_us)
        budget *= COLD_LOTTERY_BUDGET_SHARE if uses_lottery else COLD_BUDGET_SHARE
        if self._slot_position(engine, max_slots, now_us) < slots and self.uptime.age_us(now_us) >= window_us:
            spent_work = engine.charges.since(now_us - window_us - CHECK_PERIOD_US)
            return spent_work + class_state.charged_work <= budget / slots
        return uses_lottery and self._wins_lottery(class_state, engine, capacity, budget)

    def _slot_count(self, slots: int, budget: float) -> int:
        """Number of routers that share the budget; lower for heavier queries."""
        while slots > 1 and COLD_BUDGET_SHARE * budget < slots * MIN_SLOT_QUERIES * max(
            c.charged_work for c in self.classes
        ):
            slots //= 2
        return slots

    def _slot_position(self, engine: Engine, max_slots: int, now_us: int) -> int:
        """Position of this router in the order for the engine; the order rotates with each window."""
        window = now_us // max(self.settings.cold_window_us, 1)
        step = max_slots % self.router_count or 1
        return (crc32(engine.entry.engine) + self.settings.router_number + window * step) % self.router_count

    def _wins_lottery(self, class_state: ClassState, engine: Engine, capacity: float, budget: float) -> bool:
        window_us = max(self.settings.cold_window_us, 1)
        free_threads = (
            THREADS_PER_CORE * engine.cores * capacity - engine.peer_threads - engine.threads_at_report
        )
        work = class_state.charged_work
        free_work = free_threads / class_state.spec.threads * work
        router_share = min(free_work, budget * GOSSIP_PERIOD_US / window_us) / self.engines.router_count
        sent_work = sum(charge for at_us, charge in engine.charges.items if at_us >= self.gossip.sums_at_us)
        return sent_work + work <= router_share + engine.lottery_draw * work
