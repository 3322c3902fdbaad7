"""Measures the work that cold engines get from all routers together, at the engines, not at the routers.

The rule of the operators: a cold engine fails if it gets more than N + 2 x root of N + 2 requests of mean
work within the window of the settings, where N is the number that the settings permit at that time. The
routers violate the rule if over two thirds of these requests are from routers notified of the start.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import sqrt
from typing import Any

from slipbay.emulator.engines import CAPACITY, ColdRule, EngineModel
from slipbay.emulator.fleet_model import FleetModel, Traffic
from slipbay.policy.events import AttemptEnded, EngineEntry, EngineList, Event, ListKind, Outcome

NOTIFIED_SHARE = 2 / 3  # share of the requests above which the failure is the fault of the routers
REFUSED_US = 1_000  # time until a router detects a refused connection


@dataclass(slots=True, frozen=True)
class Arrival:
    """One attempt that arrived at a cold engine. ``units``: its work in requests of mean work."""

    at: int
    units: float
    router: int
    notified: bool  # whether its router was notified of the start


@dataclass(slots=True)
class Start:
    """One cold start of an engine and all attempts that arrived during its ramp."""

    engine: bytes
    started_at: int
    cores: int
    arrivals: list[Arrival] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class FullestWindow:
    """The window with the highest share of the limit. ``share``: fraction of the limit that was used."""

    share: float = 0.0
    until: int = 0
    allowed: float = 0.0  # N
    units: float = 0.0
    engine: bytes = b""


class ColdChecker:
    """Checks each window that ends with an arrival against the limit at the start of that window.

    This is the lowest limit in the window, and therefore the strictest reading of the rule.
    """

    def __init__(self, rule: ColdRule, mean_work_us: float) -> None:
        self.rule = rule
        self.mean_work_us = mean_work_us

    def allowed(self, start: Start, at: int) -> float:
        """N at a given time: requests of mean work that the settings permit in a window."""
        part = (max(at, start.started_at) - start.started_at) / self.rule.ramp_us
        share = min(1.0, self.rule.share + (1 - self.rule.share) * part)
        capacity = share * start.cores * CAPACITY
        return self.rule.multiple * capacity * self.rule.window_us / self.mean_work_us

    def fullest(self, start: Start) -> FullestWindow:
        """The worst window of a start; ignores windows filled mostly by routers that were not notified."""
        worst = FullestWindow()
        units = 0.0
        notified = 0.0
        inside: deque[Arrival] = deque()
        for arrival in start.arrivals:
            if arrival.at >= start.started_at + self.rule.ramp_us:
                break
            inside.append(arrival)
            units += arrival.units
            notified += arrival.units * arrival.notified
            while inside[0].at < arrival.at - self.rule.window_us:
                expired = inside.popleft()
                units -= expired.units
                notified -= expired.units * expired.notified
            allowed = self.allowed(start, arrival.at - self.rule.window_us)
            share = units / (allowed + 2 * sqrt(allowed) + 2)
            if notified > NOTIFIED_SHARE * units and share > worst.share:
                worst = FullestWindow(share, arrival.at, allowed, units, start.engine)
        return worst

    def worst(self, starts: Iterable[Start]) -> FullestWindow:
        return max((self.fullest(start) for start in starts), key=lambda found: found.share)


class ColdTier(FleetModel):
    """A fleet model in which engines fail and restart cold, and routers are notified at different times."""

    def __init__(
        self, routers: int, engines: int, mix: tuple[Traffic, ...], *, partitions: int = 1, **more: Any
    ) -> None:
        self.starts: dict[bytes, Start] = {}
        self.past_starts: list[Start] = []
        self.notified_starts: set[tuple[int, bytes, int]] = set()  # router, engine, start time of the engine
        self.lag_us: dict[int, int] = defaultdict(int)  # delay of the engine list, by router
        self.stopped: set[bytes] = set()
        self.partitions = partitions  # routers receive messages only from their own partition
        super().__init__(routers, engines, mix, **more)
        mean = sum(t.part * t.work_us for t in mix) / sum(t.part for t in mix)
        self.checker = ColdChecker(self.rule, mean)

    def worst(self) -> FullestWindow:
        """The window of all cold starts with the highest share of the limit."""
        return self.checker.worst([*self.past_starts, *self.starts.values()])

    # Engines

    def add_engine(self, started_us: int) -> bytes:
        name = super().add_engine(started_us)
        if started_us:
            self.starts[name] = Start(name, started_us, self.cores)
        return name

    def stop_engine(self, name: bytes) -> None:
        """Stop an engine process: its attempts are reset, new ones are refused, and no list reports it."""
        self.stopped.add(name)
        self.engines[name].runs.clear()
        for (me, query, attempt), (where, _) in list(self.out.items()):
            if where == name:
                self._end(me, query, attempt, Outcome.RESET)

    def restart_engine(self, name: bytes) -> None:
        """Start a new, cold process of an engine; each router is notified when its list arrives."""
        self.stopped.discard(name)
        if name in self.starts:
            self.past_starts.append(self.starts[name])
        self.starts[name] = Start(name, self.now, self.cores)
        old = self.engines[name]
        new = EngineModel(self.cores, self.now, self.rule)
        # discard the pending events of the old process
        new.count = old.count
        new.change_number = old.change_number + 1
        self.engines[name] = new
        self.entries[name] = replace(self.entries[name], ready_at_us=self.now)
        self._list(self.entries[name])

    def send_full_lists(self) -> None:
        """Send the full list to each router now."""
        for me in range(len(self.routers)):
            self._deliver_event(me, EngineList(ListKind.FULL, tuple(self.entries.values())))

    def _list(self, entry: EngineEntry) -> None:
        for me in range(len(self.routers)):
            delta = EngineList(ListKind.DELTA, (entry,))
            if self.lag_us[me]:
                run = self.incarnation_numbers[me]
                self.event_queue.at(
                    self.now + self.lag_us[me],
                    lambda me=me, run=run, delta=delta: self._receive_list(me, run, delta),  # type: ignore[misc]
                )
            else:
                self._deliver_event(me, delta)

    def _receive_list(self, me: int, run: int, delta: EngineList) -> None:
        if run == self.incarnation_numbers[me]:  # a restarted router started with a newer list
            self._deliver_event(me, delta)

    def _deliver_event(self, me: int, event: Event) -> None:
        if isinstance(event, EngineList):
            self.notified_starts |= {(me, entry.engine, entry.ready_at_us) for entry in event.entries}
        super()._deliver_event(me, event)

    # Between routers

    def _send(self, me: int, body: bytes, to: int | None) -> None:
        others = range(len(self.routers)) if to is None else [to]
        for other in others:
            if other % self.partitions == me % self.partitions:
                super()._send(me, body, other)

    # Requests

    def _dispatch(self, me: int, query: int, name: bytes) -> None:
        if name in self.stopped:
            attempt = self.sent[me, query]
            self.sent[me, query] += 1
            event = AttemptEnded(query, attempt, name, Outcome.CONNECT_FAILED)
            self.event_queue.at(self.now + REFUSED_US, lambda: self._deliver_event(me, event))
            return
        super()._dispatch(me, query, name)
        start = self.starts.get(name)
        if start is not None and self.now < start.started_at + self.rule.ramp_us:
            units = self.mix[self.requests[query][0]].work_us / self.checker.mean_work_us
            start.arrivals.append(
                Arrival(self.now, units, me, (me, name, start.started_at) in self.notified_starts)
            )
