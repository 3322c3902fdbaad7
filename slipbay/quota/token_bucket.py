"""Token bucket of one quota at one router, divided into parts that may use each other's tokens."""

from __future__ import annotations

from collections.abc import Sequence


class TokenBucket:
    """A token bucket with a credit for each part of the quota.

    A part is a fraction of the quota that is reserved for a class or a tenant. An idle part keeps its credit
    in the bucket, where other parts cannot take it, up to its fraction of the cap; requests of all parts may
    take the other tokens.
    """

    def __init__(self, parts: Sequence[float]) -> None:
        """``parts`` has the fraction of the rate of each part; empty: nothing is reserved."""
        self.tokens = 0.0
        self._parts = list(parts)
        self.credits = [0.0] * len(parts)

    def fill(self, added: float, cap: float) -> None:
        """Add tokens; those above the cap are dropped."""
        self.tokens = min(cap, self.tokens + added)
        if self._parts:
            max_credit_sum = max(0.0, cap - 1)
            credits = self.credits
            for index, part in enumerate(self._parts):  # a plain loop, as this runs for each request
                credit = credits[index] + added * part
                max_credit = max_credit_sum * part
                credits[index] = credit if credit < max_credit else max_credit

    def needs(self, part: int | None) -> float:
        """Return the tokens that the bucket must have for a request of a part, or of no part (None)."""
        if not self._parts or (part is not None and self.credits[part] > 0):
            return 1.0
        return 1.0 + sum(max(0.0, credit) for index, credit in enumerate(self.credits) if index != part)

    def take(self, part: int | None) -> None:
        """Take the token of one admitted request."""
        self.tokens -= 1
        if part is not None and self.credits[part] > 0:
            self.credits[part] -= 1
