"""Rate limit on new connections, for a router that restarts at the same time as many others."""

from __future__ import annotations

from slipbay.policy.events import WarmupChanged
from slipbay.policy.timing import SECOND

MAX_BURST = 2.0  # connections that may be opened at once; with 1, each would wait for the next refill


class ConnectionPacer:
    """Token bucket for new engine connections; the warm-up changes its rate."""

    def __init__(self) -> None:
        self.is_limited = False
        self.rate_per_s = float("inf")
        self.filled_at_us = 0
        self.tokens = 1.0

    def update(self, now_us: int, event: WarmupChanged) -> None:
        """Apply the limit requested by the warm-up."""
        self._fill(now_us)
        self.is_limited = event.limit_connections
        self.rate_per_s = event.connections_per_s

    def _fill(self, now_us: int) -> None:
        if self.is_limited and self.rate_per_s < float("inf"):
            new_tokens = self.rate_per_s * (now_us - self.filled_at_us) / SECOND
            self.tokens = min(MAX_BURST, self.tokens + new_tokens)
        self.filled_at_us = now_us

    def may_open(self, now_us: int) -> bool:
        """Whether a connection may be opened now."""
        if not self.is_limited or self.rate_per_s == float("inf"):
            return True
        self._fill(now_us)
        return self.tokens >= 1.0

    def record_send(self, needs_connection: bool) -> None:
        """Count a sent attempt, which uses a token if it needs a new connection."""
        self.tokens -= needs_connection and self.is_limited
