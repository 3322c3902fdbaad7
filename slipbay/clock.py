"""The router's one clock: whole microseconds of the monotonic clock, read once a turn of the loop."""

from __future__ import annotations

import asyncio
import time


class Clock:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._now: int | None = None
        self._unix_offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """The time of this turn of the loop; the first caller in a turn reads the system's clock."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000
            self._loop.call_soon(self._forget)
        return self._now

    def _forget(self) -> None:
        self._now = None

    def from_unix_ms(self, moment: int) -> int:
        """A Unix millisecond on this clock; a moment before the clock's zero counts as its first tick."""
        return max(1, moment * 1000 - self._unix_offset)
