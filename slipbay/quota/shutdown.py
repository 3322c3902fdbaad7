"""Schedule of a graceful shutdown: when a router recalls lent shares and releases its base shares."""

from __future__ import annotations

from slipbay.quota.shares import FOREVER

RECALL_US = 400_000  # time before the end at which the router stops lending and recalls lent shares
RELEASE_US = 200_000  # time before the end at which base shares are released, even if shares are still lent


class Shutdown:
    """A graceful shutdown: requests are accepted until ``ends_us``. Times are in us."""

    def __init__(self) -> None:
        self.ends_us = FOREVER
        self.announced_us = 0  # when all lent shares end, as announced to the granters; 0: not announced

    def start(self, deadline_us: int) -> None:
        """Start the shutdown: requests are accepted until ``deadline_us``."""
        self.ends_us = min(self.ends_us, deadline_us)

    def is_recalling(self, now: int) -> bool:
        """Return whether the router lends no more and recalls lent shares."""
        return now >= self.ends_us - RECALL_US

    def is_releasing(self, now: int) -> bool:
        """Return whether the router releases its base shares."""
        return now >= self.ends_us - RELEASE_US
