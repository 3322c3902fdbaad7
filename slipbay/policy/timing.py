"""Periods that several decisions use, in microseconds."""

from __future__ import annotations

SECOND = 1_000_000  # microseconds; also the sampling period of the admission paper
# checks for unresponsive engines and queued queries; well below the shortest objective
CHECK_PERIOD_US = 100_000


class Uptime:
    """Start time of the router; learned rates and the charges of cold engines cover the time since then."""

    __slots__ = ("started_us",)

    def __init__(self) -> None:
        self.started_us: int | None = None  # None until the first events

    def age_us(self, now_us: int) -> int:
        """Time since the first events, us."""
        return 0 if self.started_us is None else now_us - self.started_us
