"""A model of an engine with shared cores and a slow start, and the event queue of simulated time."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

SECOND = 1_000_000  # in us
KNEE = 1.8  # threads per core up to which the engine keeps its full rate; deployments configure 1.5 to 2.2
THRASH = 0.68  # fraction of its rate that an engine keeps far beyond the knee; deployments have 0.55 to 0.81
WEIGHTS = (1.0, 4.0, 8.0, 16.0)  # CPU weights of the priorities 0 to 3 while cores are scarce
CAPACITY = 0.85  # utilization of the cores that counts as full capacity


@dataclass(slots=True, frozen=True)
class ColdRule:
    """Slow start of an engine.

    The engine starts with ``share`` of its capacity, which grows linearly to all of it over ``ramp_us``.
    The engine fails when it receives more than ``multiple`` times its current capacity within any
    ``window_us``.
    """

    share: float = 0.31
    ramp_us: int = 13 * SECOND
    multiple: float = 3.0
    window_us: int = 3 * SECOND


@dataclass(slots=True)
class Run:
    """One attempt that runs on an engine. ``remaining_us`` is the work that each of its threads still has."""

    threads: int
    weight: float
    remaining_us: float
    on_complete: Callable[[], None]


class EngineModel:
    """An engine whose threads share the cores by weight; no thread runs faster than one core.

    Times are integers in us and never decrease.
    """

    def __init__(self, cores: int, born: int, rule: ColdRule) -> None:
        self.cores = cores
        self.born = born
        self.rule = rule
        self.runs: dict[int, Run] = {}
        self.updated_us = 0
        self.count = 0
        self.threads = 0
        self.max_threads = 0
        self.alive = True
        self.recent_starts: deque[tuple[int, float]] = deque()
        self.window_work_us = 0.0  # work in us received within the window
        self.worst_push = 0.0  # largest fraction of the slow-start budget that any window used
        self.wanted = 0  # number of the last change; events scheduled for earlier changes are ignored

    def share(self, now: int) -> float:
        """Return the fraction of its full rate that the engine has now."""
        if not self.born:
            return 1.0
        return min(1.0, self.rule.share + (1 - self.rule.share) * (now - self.born) / self.rule.ramp_us)

    def start(self, now: int, run: Run, usual: float) -> int:
        """Start an attempt and return its number.

        ``usual`` is the mean work in us of a query of its class. The slow-start budget counts this mean and
        not the work of the query itself.
        """
        self.advance(now)
        self.count += 1
        self.runs[self.count] = run
        self.threads += run.threads
        self.max_threads = max(self.max_threads, self.threads)
        share = self.share(now)
        if share < 1:
            self.recent_starts.append((now, usual))
            self.window_work_us += usual
            while self.recent_starts[0][0] <= now - self.rule.window_us:
                self.window_work_us -= self.recent_starts.popleft()[1]
            budget = self.rule.multiple * share * self.cores * CAPACITY * self.rule.window_us
            self.worst_push = max(self.worst_push, self.window_work_us / budget)
        return self.count

    def stop(self, now: int, number: int) -> None:
        """Cancel an attempt and discard its work."""
        self.advance(now)
        if run := self.runs.pop(number, None):
            self.threads -= run.threads

    def core_shares(self, now: int) -> tuple[float, float]:
        """Return the core share of a thread of weight 1, and the maximum share of any thread."""
        share = self.share(now)
        weights = sum(run.threads * run.weight for run in self.runs.values())
        excess = max(0.0, self.threads / self.cores - KNEE)
        rate = self.cores * share * (1 - (1 - THRASH) * min(1.0, excess / KNEE))
        return rate / max(weights, 1e-9), min(1.0, rate / self.cores)

    def advance(self, now: int) -> None:
        """Advance all attempts to ``now`` at the rate of the last change.

        The growing capacity of a slow start takes effect only at changes.
        """
        unit_rate, thread_limit = self.core_shares(self.updated_us)
        span_us = now - self.updated_us
        self.updated_us = now
        for run in self.runs.values():
            run.remaining_us -= span_us * min(thread_limit, unit_rate * run.weight)

    def next_end(self, now: int) -> int | None:
        """Return when the next attempt ends if nothing changes.

        The result is at most one second ahead, because the rate of an engine in slow start grows.
        """
        unit_rate, thread_limit = self.core_shares(now)
        ends = [run.remaining_us / min(thread_limit, unit_rate * run.weight) for run in self.runs.values()]
        return now + min(SECOND, max(0, int(min(ends)) + 1)) if ends else None

    def ended(self, now: int) -> list[Run]:
        """Remove and return the attempts that have completed by ``now``."""
        self.advance(now)
        completed = [number for number, run in self.runs.items() if run.remaining_us <= 0]
        for number in completed:
            self.threads -= self.runs[number].threads
        return [self.runs.pop(number) for number in completed]


class EventQueue:
    """Scheduled actions in simulated time. Actions of equal times run in the order of their scheduling."""

    def __init__(self, start: int) -> None:
        self.now = start
        self._count = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Schedule ``action`` for the time ``when``, or for now if that time has passed."""
        self._count += 1
        heapq.heappush(self._due, (max(when, self.now), self._count, action))

    def until(self, when: int) -> None:
        """Run all actions that are due up to ``when`` and set the time to it."""
        while self._due and self._due[0][0] <= when:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = when
