"""Detects unresponsive routers by requests that they do not reply to."""

from __future__ import annotations

SECOND = 1_000_000
UNRESPONSIVE_AFTER_US = SECOND  # a router that does not reply for longer counts as unresponsive


class PeerReplies:
    """Counts the requests to each router since its latest message arrived. Times are in us."""

    def __init__(self) -> None:
        self._unanswered: dict[int, tuple[int, int]] = {}  # by router: time of the first, and count
        self.unresponsive: dict[int, int] = {}  # by router, the number of requests without a reply

    def record_request(self, now: int, router: int) -> None:
        """Record that a request was sent that wants a reply."""
        since, count = self._unanswered.get(router, (now, 0))
        self._unanswered[router] = since, count + 1

    def record_received(self, router: int) -> None:
        """Record a message of a router, or a report of another router that it runs."""
        self._unanswered.pop(router, None)
        self.unresponsive.pop(router, None)

    def update(self, now: int) -> None:
        """Determine which routers are unresponsive now."""
        self.unresponsive = {
            router: count
            for router, (since, count) in self._unanswered.items()
            if count > 1 and now - since > UNRESPONSIVE_AFTER_US
        }
