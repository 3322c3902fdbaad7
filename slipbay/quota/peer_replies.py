"""Detects unresponsive routers by the replies that they owe."""

from __future__ import annotations

SECOND = 1_000_000
MISSED_AFTER_US = SECOND  # a router that owes replies for longer counts as unresponsive


class PeerReplies:
    """Counts the requests to each router since its latest message arrived. Times are in us."""

    def __init__(self) -> None:
        self._owed: dict[int, tuple[int, int]] = {}  # by router: since when, and number of replies owed
        self.missed: dict[int, int] = {}  # by unresponsive router, the number of replies that it owes

    def record_request(self, now: int, router: int) -> None:
        """Record that a request was sent that wants a reply."""
        since, count = self._owed.get(router, (now, 0))
        self._owed[router] = since, count + 1

    def record_received(self, router: int) -> None:
        """Record a message of a router, or a report of another router that it runs."""
        self._owed.pop(router, None)
        self.missed.pop(router, None)

    def update(self, now: int) -> None:
        """Determine which routers are unresponsive now."""
        self.missed = {
            router: count
            for router, (since, count) in self._owed.items()
            if count > 1 and now - since > MISSED_AFTER_US
        }
