"""Requests that wait for the end of another request with the same key, or until the store is loaded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from slipbay.core.model import Answer, Failed, Request
from slipbay.core.timers import Timer, Timers


@dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request and the timer of its deadline."""

    request: Request
    deadline_timer: Timer


class WaitingRequests:
    """Holds waiting requests by key; each is answered once, at its deadline at the latest."""

    def __init__(self, timers: Timers, max_requests: int, max_bytes: int) -> None:
        """``max_requests`` limits the number of requests, ``max_bytes`` the total size of their payloads."""
        self._timers = timers
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._count = 0
        self._bytes = 0
        self.by_key: dict[bytes, list[Waiter]] = {}

    def has(self, key: bytes) -> bool:
        """Whether a request waits under a key."""
        return bool(self.by_key.get(key))

    def add(self, request: Request) -> bool:
        """Add a waiting request; False if a limit does not allow it."""
        if self._count >= self._max_requests or self._bytes + request.size_bytes > self._max_bytes:
            return False
        self._count += 1
        self._bytes += request.size_bytes
        timer = self._timers.at(request.deadline_us, lambda: self._deadline_passed(request))
        self.by_key.setdefault(request.idempotency_key, []).append(Waiter(request, timer))
        return True

    def remove(self, request: Request) -> None:
        """Remove a request; has no effect if it does not wait."""
        waiters = self.by_key.get(request.idempotency_key, [])
        for waiter in waiters:
            if waiter.request is request:
                self._release(waiter)
                waiters.remove(waiter)
                if not waiters:
                    del self.by_key[request.idempotency_key]
                return

    def answer(self, key: bytes, answer: Answer) -> None:
        """Answer all requests that wait under a key."""
        for waiter in self.by_key.pop(key, []):
            self._release(waiter)
            waiter.request.finished = True
            waiter.request.client.answered(waiter.request, answer)

    def answer_all(self, answer: Answer) -> None:
        """Answer all waiting requests."""
        for key in list(self.by_key):
            self.answer(key, answer)

    def resubmit_all(self, resubmit: Callable[[Request], None]) -> None:
        """Remove all requests and pass each of them to ``resubmit``, which may add it again."""
        waiting = self.by_key
        self.by_key = {}
        for waiter in [waiter for waiters in waiting.values() for waiter in waiters]:
            self._release(waiter)
            resubmit(waiter.request)

    def _release(self, waiter: Waiter) -> None:
        waiter.deadline_timer.cancel()
        self._count -= 1
        self._bytes -= waiter.request.size_bytes

    def _deadline_passed(self, request: Request) -> None:
        """Answer a request whose deadline has passed; the request that it waits for continues."""
        self.remove(request)
        if not request.finished:
            request.finished = True
            request.client.answered(
                request, Failed("the deadline has passed; it may have run", deadline_passed=True)
            )
