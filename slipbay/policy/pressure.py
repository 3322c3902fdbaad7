"""Tracks whether there is more work than the engines can do in time, by signals that expire."""

from __future__ import annotations

from slipbay.policy.timing import SECOND

PRESSURE_HOLD_US = 2 * SECOND  # time for which a signal of pressure is valid; two sampling periods


class Pressure:
    """Signals of overload: a full engine, slow answers, reports of peers, and pauses of this process."""

    __slots__ = ("until_us",)

    def __init__(self) -> None:
        self.until_us = 0

    def is_on(self, now_us: int) -> bool:
        """Whether the latest signal is still valid."""
        return now_us < self.until_us

    def report(self, now_us: int) -> None:
        """Record a signal at ``now_us``."""
        self.until_us = now_us + PRESSURE_HOLD_US

    def extend(self, until_us: int) -> None:
        """Keep the pressure on at least until ``until_us``."""
        self.until_us = max(self.until_us, until_us)
