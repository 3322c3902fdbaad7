"""All timers of the router: one heap, and at most one event-loop timer, for the earliest entry."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

from slipbay.clock import Clock

MIN_COMPACTED_ENTRIES = 256  # a smaller heap is not compacted


class Timer:
    """The action of a heap entry. A cancelled entry has no effect when it is due."""

    __slots__ = ("_timers", "action")

    def __init__(self, timers: Timers, action: Callable[[], None]) -> None:
        self._timers: Timers | None = timers
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Drop the action; has no effect once the action has run."""
        self.action = None
        if self._timers is not None:
            self._timers.entry_cancelled()
            self._timers = None

    def take(self) -> Callable[[], None] | None:
        """Return the action of an entry that has left the heap; None if it was cancelled."""
        self._timers = None
        return self.action


class Timers:
    """Runs actions at times of the router's clock; equal times run in the order in which they were set."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._loop = loop
        self._clock = clock
        self._heap: list[tuple[int, int, Timer]] = []  # (time in us, unique number, timer)
        self._count = 0
        self._cancelled_entries = 0  # in the heap
        self._loop_timer: asyncio.TimerHandle | None = None

    def at(self, when_us: int, action: Callable[[], None]) -> Timer:
        """Run ``action`` at a time of the router's clock, or as soon as possible if that time has passed."""
        self._count += 1
        timer = Timer(self, action)
        heapq.heappush(self._heap, (when_us, self._count, timer))
        if self._heap[0][2] is timer:
            self._schedule_first()
        return timer

    def after(self, delay_us: int, action: Callable[[], None]) -> Timer:
        """Run ``action`` after a delay, never within this call."""
        return self.at(self._clock.now() + delay_us, action)

    def soon(self, action: Callable[[], None]) -> None:
        """Run ``action`` in the next iteration of the event loop, after its received data."""
        self._loop.call_soon(action)

    def entry_cancelled(self) -> None:
        """Count a cancelled entry, and rebuild the heap once most of its entries are cancelled."""
        self._cancelled_entries += 1
        if MIN_COMPACTED_ENTRIES <= len(self._heap) < 2 * self._cancelled_entries:
            self._heap = [entry for entry in self._heap if entry[2].action is not None]
            heapq.heapify(self._heap)
            self._cancelled_entries = 0

    def _schedule_first(self) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer = self._loop.call_at(self._clock.to_loop_time(self._heap[0][0]), self._run_due)

    def _run_due(self) -> None:
        self._loop_timer = None
        now_us = self._clock.now()
        try:
            while self._heap and (self._heap[0][0] <= now_us or self._heap[0][2].action is None):
                action = heapq.heappop(self._heap)[2].take()
                if action is not None:
                    action()
                elif self._cancelled_entries:
                    self._cancelled_entries -= 1
        finally:  # if one action fails, the remaining ones must still run
            if self._heap:
                self._schedule_first()
