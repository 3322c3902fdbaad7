"""Running statistics that the decisions learn from."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

# weight of a new sample in running means of errors and rates; a memory of about five samples
SAMPLE_WEIGHT = 0.2
SAMPLE_DECAY = 0.03  # fraction that old samples lose at each new sample; a memory of about thirty samples


class DecayingRatio:
    """Running ratio of two sums, so that heavy queries have a higher weight; old samples decay."""

    __slots__ = ("denominator", "numerator")

    def __init__(self) -> None:
        self.numerator = 0.0
        self.denominator = 0.0

    def add(self, numerator: float, denominator: float, decay: float) -> None:
        """Add a sample; all older samples lose the fraction ``decay`` of their weight."""
        self.numerator += numerator - decay * self.numerator
        self.denominator += denominator - decay * self.denominator

    def value(self, default: float = 0.0) -> float:
        """The ratio, or ``default`` before the first sample."""
        return self.numerator / self.denominator if self.denominator else default

    def seed(self, value: float, weight: float) -> None:
        """Set the initial ratio from another router; ignored if there are local samples."""
        if not self.denominator and value > 0:
            self.numerator = value * weight
            self.denominator = weight


class SlidingWindow:
    """Amounts by time (us), with their sum over a window that ends now."""

    __slots__ = ("items", "total")

    def __init__(self) -> None:
        self.items: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, at_us: int, amount: float = 1.0) -> None:
        """Add an amount; times must not decrease."""
        self.items.append((at_us, amount))
        self.total += amount

    def restore(self, items: Iterable[tuple[int, float]]) -> None:
        """Add amounts of earlier times."""
        self.items = deque(sorted([*items, *self.items]))
        self.total = sum(amount for _, amount in self.items)

    def since(self, start_us: int) -> float:
        """Sum of the amounts after ``start_us``; removes older amounts."""
        while self.items and self.items[0][0] <= start_us:
            self.total -= self.items.popleft()[1]
        return self.total if self.items else 0.0
