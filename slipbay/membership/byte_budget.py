"""Rate limit for the membership messages of this router."""

from __future__ import annotations

from enum import IntEnum
from math import inf

from slipbay.membership.timing import SECOND

UPDATE_RATE_SHARE = 0.4  # fraction of the rate for updates and tables; the rest is for probes and answers
UPDATE_BURST_SHARE = 0.4  # fraction of the burst


class Share(IntEnum):
    """Shares of the budget. Each has a fraction of the rate, and also what the other share leaves unused. So
    many failures do not block updates, and many updates do not block probes."""

    PROBES = 0
    UPDATES = 1


class ByteBudget:
    """Two token buckets that overflow into each other. ``rate``: bytes per second; ``burst``: bytes at
    once."""

    def __init__(self, rate: int, burst: int, now_us: int) -> None:
        self._rate = rate
        self.capacity = burst * (1 - UPDATE_BURST_SHARE), burst * UPDATE_BURST_SHARE
        self.available = list(self.capacity)
        self.host_limit: float = inf  # bytes; a host with its own limit sets it before each call
        self._filled_us = now_us

    def free_bytes(self, share: Share) -> float:
        """Bytes that may be sent from one share now."""
        return min(self.available[share], self.host_limit)

    def spend(self, probe_bytes: int, update_bytes: int) -> None:
        """Subtract a sent message. The arguments are its bytes from each share."""
        self.available[Share.PROBES] -= probe_bytes
        self.available[Share.UPDATES] -= update_bytes
        self.host_limit -= probe_bytes + update_bytes

    def refill(self, now_us: int) -> None:
        """Add the bytes for the time since the last call."""
        if now_us <= self._filled_us:
            return
        added = self._rate * (now_us - self._filled_us) / SECOND
        self._filled_us = now_us
        probes, updates = self.available
        max_probes, max_updates = self.capacity
        probes = probes + added * (1 - UPDATE_RATE_SHARE)
        updates = updates + added * UPDATE_RATE_SHARE
        if updates > max_updates:
            probes = probes + updates - max_updates
            updates = max_updates
        if probes > max_probes:
            updates = min(max_updates, updates + probes - max_probes)
            probes = max_probes
        self.available = [probes, updates]
