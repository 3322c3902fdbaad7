"""The calls of an attempt that an engine may not have received yet, and until when the last one may arrive.

What is written to a connection may arrive until it is answered or taken back. The end of a query that nobody
polls counts from then, not from when the call was written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from slipbay.backends.http_connection import HttpConnection

# Bound on the network delays of a call and its answer, and on delays in the engine. A call that was taken
# back may have been in transit, and arrives within this time.
TRANSIT_US = 100_000


@dataclass(slots=True, eq=False)
class SentCall:
    """A POST or poll that was written on a connection, which may carry another call by now."""

    connection: HttpConnection
    number: int
    """The number of the call on its connection."""
    written_us: int

    @property
    def is_open(self) -> bool:
        """Whether the call has no answer, so that it may not have arrived yet."""
        return self.connection.call_count == self.number and self.connection.has_open_call


class SentCalls:
    """The POST and the polls of one attempt. Times are in microseconds."""

    def __init__(self, now: Callable[[], int], on_taken_back: Callable[[SentCall], None]) -> None:
        """``on_taken_back`` is called with each call that is taken back, before its connection is closed."""
        self._now = now
        self._on_taken_back = on_taken_back
        self._calls: list[SentCall] = []  # all that may be open
        self._post: SentCall | None = None
        self._post_taken_back_us = -TRANSIT_US
        self._previous_arrival_us = 0
        self.last_arrival_us = 0
        """Time until which the last call may have arrived."""
        self.may_arrive_later = False
        """Whether a call could not be taken back, so that no time bounds its arrival."""

    def add(self, connection: HttpConnection, written_us: int, is_post: bool = False) -> None:
        """Add the call that was just written on a connection."""
        call = SentCall(connection, connection.call_count, written_us)
        self._calls = [other for other in self._calls if other.is_open]
        self._calls.append(call)
        if is_post:
            self._post = call
        self._previous_arrival_us = self.last_arrival_us
        self.last_arrival_us = written_us

    def record_arrival(self) -> None:
        """Record that a call has arrived, at the latest now."""
        self.last_arrival_us = self._now()

    def forget_last_arrival(self) -> None:
        """Ignore the last call: its answer shows that it changed nothing at the engine."""
        self.last_arrival_us = self._previous_arrival_us

    @property
    def has_open_call(self) -> bool:
        """Whether any call is open."""
        return any(call.is_open for call in self._calls)

    @property
    def is_post_partly_sent(self) -> bool:
        """Whether a part of the POST is still in this process: taken back, it never arrives."""
        return self._post is not None and self._post.is_open and bool(self._post.connection.unsent)

    def is_post_on(self, connection: HttpConnection) -> bool:
        """Whether the POST was sent on this connection."""
        return self._post is not None and self._post.connection is connection

    @property
    def may_post_arrive(self) -> bool:
        """Whether the POST may arrive after a call that is written now."""
        is_open = self._post is not None and self._post.is_open
        return is_open or self._now() - self._post_taken_back_us < TRANSIT_US

    def take_back_last(self) -> None:
        """Take back the call that was written last."""
        self._take_back(self._calls[-1])

    def take_back(self, written_by_us: int | None = None) -> None:
        """Take back all open calls, or those written by a time for which no answer is about to be read."""
        for call in self._calls:
            is_spared = written_by_us is not None and (
                call.written_us > written_by_us or call.connection.has_unread_data()
            )
            if call.is_open and not is_spared:
                self._take_back(call)

    def _take_back(self, call: SentCall) -> None:
        """Close the connection of an open call so that the call can't arrive any more, if it has not yet."""
        now_us = self._now()
        if call is self._post:
            self._post_taken_back_us = now_us
        self._on_taken_back(call)
        call.connection.abandon(now_us)
        if call.connection.take_back():
            self.last_arrival_us = max(self.last_arrival_us, now_us)
        else:
            self.may_arrive_later = True

    def clear(self) -> None:
        """Forget all calls, as the attempt has ended."""
        self._calls.clear()
        self._post = None
