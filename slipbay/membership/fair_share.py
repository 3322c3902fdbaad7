"""Number of routers that share the limits of the fleet: a share shrinks at once and grows after a delay."""

from __future__ import annotations

from collections import deque

MIN_HOLD_US = 1_000_000  # longer than updates need to reach all routers: some tenths of a second


class FairShare:
    """The count by which a router divides the limits that all routers share.

    While updates spread, the tables of routers differ. A router that sees others join divides by more at
    once. A router that sees others leave divides by fewer only ``hold_us`` later: by then the window over
    which limits count no longer contains what the removed routers sent, and all running routers have seen
    the change. So as long as tables agree within ``hold_us``, the shares of all running routers never add up
    to more than the limit.
    """

    def __init__(self, configured: int, hold_us: int) -> None:
        self._hold_us = max(hold_us, MIN_HOLD_US)
        self._configured = configured
        # (time in us, count), counts descending
        self._counts: deque[tuple[int, int]] = deque([(0, configured)])

    def count(self, now_us: int, live_count: int) -> int:
        """The greatest number of live routers within ``hold_us``, between 1 and the configured number."""
        live_count = max(1, min(live_count, self._configured))
        while self._counts and self._counts[-1][1] < live_count:
            self._counts.pop()
        if not self._counts or self._counts[-1][1] > live_count:
            self._counts.append((now_us, live_count))
        while len(self._counts) > 1 and self._counts[1][0] <= now_us - self._hold_us:
            self._counts.popleft()
        return self._counts[0][1]
