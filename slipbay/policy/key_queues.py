"""Serializes queries with the same order key: one at a time, in order of arrival."""

from __future__ import annotations

from collections import deque
from functools import partial

from slipbay.policy.outbox import Outbox
from slipbay.policy.records import Query


class KeyQueues:
    """Queries of each order key in order of arrival, and the times (us) until which keys are blocked."""

    def __init__(self, outbox: Outbox) -> None:
        self.outbox = outbox
        self.queues: dict[int, deque[Query]] = {}
        self.blocked_until_us: dict[int, int] = {}

    def enqueue(self, query: Query, now_us: int) -> None:
        """Append a query; it becomes ready when all queries before it have ended."""
        self.queues.setdefault(query.key, deque()).append(query)
        self.release_next(query.key, now_us)

    def finish(self, query: Query, now_us: int) -> None:
        """Remove an ended query, if it is in a queue, and release the next one of its key."""
        queue = self.queues.get(query.key)
        if queue is None or query not in queue:
            return
        queue.remove(query)
        if not queue:
            del self.queues[query.key]
        self.release_next(query.key, now_us)

    def block(self, key: int, until_us: int) -> None:
        """Block a key until ``until_us``, because the outcome of an attempt is unknown."""
        self.blocked_until_us[key] = until_us

    def release_next(self, key: int, now_us: int) -> None:
        """Move the first query of a key to the queue of its class, once the key is not blocked."""
        queue = self.queues.get(key)
        if not queue:
            return
        first = queue[0]
        unblock_us = self.blocked_until_us.get(key, 0)
        if unblock_us > now_us:
            self.outbox.set_timer(unblock_us, partial(self.release_next, key))
        elif first.is_queued and not first.attempts_sent and first not in first.class_state.queue:
            first.class_state.queue.append(first)

    def prune(self, now_us: int) -> None:
        """Remove expired blocks."""
        self.blocked_until_us = {
            key: until_us for key, until_us in self.blocked_until_us.items() if until_us > now_us
        }
