"""Estimates the rate of requests: a mean over several seconds that restarts at a sudden change."""

from __future__ import annotations

from collections import deque
from math import sqrt

SECOND = 1_000_000
MAX_MEAN_US = 3 * SECOND  # period of the mean while the rate is steady
MAX_COUNTS = 8  # number of recent counts that are searched for a change
CHANGE_THRESHOLD = 4.0  # a change is a deviation of more than this many standard deviations
IDLE_FRACTION = 1e-3  # a demand below this fraction of an even share counts as 0


class DemandMeter:
    """Counts requests and estimates their rate; ``update`` is called every few hundred ms."""

    def __init__(self, now: int) -> None:
        self.rate = 0.0  # requests per second
        self.mean_us = MAX_MEAN_US  # current period of the mean
        self.count = 0  # requests since the last update; the caller adds to it
        self._updated_at_us = now
        self._recent_counts: deque[tuple[int, int]] = deque(maxlen=MAX_COUNTS)  # (count, period)
        self._mean_rate = 0.0  # mean requests per us before the recent counts

    def update(self, now: int, even_rate: float) -> None:
        """Process the count since the last call. ``even_rate`` is an even share in requests per second."""
        period_us = now - self._updated_at_us
        if period_us <= 0:
            return
        self._updated_at_us = now
        if not self.count and not self.rate:
            self._recent_counts.clear()
            self._mean_rate = 0.0
            self.mean_us = MAX_MEAN_US
            return
        self._add_count(period_us)
        count, recent_us = self._find_change()
        self.rate = (self._mean_rate * self.mean_us + count) * SECOND / (self.mean_us + recent_us)
        if self.rate < IDLE_FRACTION * even_rate:
            self.rate = 0.0

    def _add_count(self, period_us: int) -> None:
        """Add the current count to the recent ones, and move the oldest of them into the mean."""
        recent_counts = self._recent_counts
        if len(recent_counts) == MAX_COUNTS:
            count, count_us = recent_counts.popleft()
            self.mean_us = min(MAX_MEAN_US, self.mean_us + count_us)
            weight_us = self.mean_us
            self._mean_rate = max(
                0.0, self._mean_rate + (count / count_us - self._mean_rate) * count_us / weight_us
            )
        recent_counts.append((self.count, period_us))
        self.count = 0

    def _find_change(self) -> tuple[int, int]:
        """Restart the mean from the latest counts if they deviate significantly from it; of the possible
        numbers of latest counts use the one with the largest deviation.

        Returns the sum of recent counts that are not in the mean, and their period in us.
        """
        count = 0
        recent_us = 0
        max_deviation = CHANGE_THRESHOLD
        restarted_mean = self._mean_rate, self.mean_us
        for recent_count, count_us in reversed(self._recent_counts):
            count += recent_count
            recent_us += count_us
            expected = self._mean_rate * recent_us
            # Anscombe's transform: the standard deviation of these roots is 0.5 for counts of any size.
            roots = sqrt(count + 0.375) - sqrt(expected + 0.375)
            deviation = 2 * abs(roots) / sqrt(1 + recent_us / self.mean_us)
            if deviation > max_deviation:
                max_deviation = deviation
                restarted_mean = count / recent_us, recent_us
        if max_deviation > CHANGE_THRESHOLD:
            self._recent_counts.clear()
            self._mean_rate, self.mean_us = restarted_mean
            return 0, 0
        return count, recent_us
