"""The clock of the router: monotonic time in whole microseconds, read once per turn of the event loop."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """A monotonic clock that is set to Unix time once, when it is created.

    The policies of several routers number time slots by dividing the time. Plain monotonic clocks start at
    the boot of each machine, so routers on different machines would give one slot different numbers and
    could not use each other's messages.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._now: int | None = None
        self._offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Returns the time of this turn of the event loop; the first call of a turn reads the clock."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000 + self._offset
            self._loop.call_soon(self._clear_turn_time)
        return self._now

    def fresh(self) -> int:
        """Reads the system clock again and returns the time, which becomes the time of this turn.

        Checks of leases need it, as the process may have been stopped since the turn began.
        """
        self._now = None
        return self.now()

    def exact(self) -> int:
        """Returns the current time without changing the time of this turn."""
        return time.monotonic_ns() // 1000 + self._offset

    def _clear_turn_time(self) -> None:
        self._now = None

    def to_loop_time(self, time_us: int) -> float:
        """Converts a time of this clock to the event loop's clock: monotonic seconds."""
        return (time_us - self._offset) / 1e6
