"""Limits the memory of what clients have sent and the router has not handled yet.

A connection may buffer ``FREE_BYTES`` of an incomplete message. To buffer more it needs a reservation for the
longest message, so that each message that is begun can be completed; while there is none, its further bytes
stay in the kernel, and the client has to wait. Reservations of clients that have stopped sending are taken
back when others wait for them. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from slipbay.core.timers import Timer, Timers
from slipbay.log import log

FREE_BYTES = 8 * 1024
STALLED_US = 250_000  # without a byte of an incomplete message
MAX_RESERVED_US = 2_000_000  # for one message, while others wait
RECLAIM_US = 50_000
SMALL_RECEIVE_BYTES = 16 * 1024
LARGE_RECEIVE_BYTES = 64 * 1024
LARGE_RECEIVE_CAPACITY_BYTES = 16 * 1024 * 1024  # from this capacity on large pieces are received


class InputHolder(Protocol):
    """A connection whose input is limited."""

    @property
    def unparsed(self) -> int:
        """Received bytes that are not handled yet."""

    @property
    def max_message_bytes(self) -> int:
        """Size of the longest message."""

    @property
    def last_received_us(self) -> int:
        """When the last bytes were received."""

    @property
    def is_reclaimable(self) -> bool:
        """Whether the connection has neither an open request nor bytes that the router has not read."""

    def room_granted(self) -> None:
        """The connection may buffer its message."""

    def reclaim_input(self) -> None:
        """Drop the incomplete message and close the connection."""


@dataclass(slots=True)
class Reservation:
    """Room for the longest message of a connection."""

    size_bytes: int
    since_us: int


class InputBudget:
    """The memory of all connections' input: half of it for reservations, half for complete messages that wait
    for their turn."""

    def __init__(self, capacity_bytes: int, timers: Timers, now: Callable[[], int]) -> None:
        self._capacity_bytes = capacity_bytes
        self._timers = timers
        self._now = now
        self._reserved: dict[InputHolder, Reservation] = {}
        self._reserved_bytes = 0
        self._waiting: dict[InputHolder, None] = {}  # in the order in which they get room
        self._buffered: dict[InputHolder, int] = {}
        self._buffered_bytes = 0
        self._timer: Timer | None = None
        is_large = capacity_bytes >= LARGE_RECEIVE_CAPACITY_BYTES
        self.receive_bytes = LARGE_RECEIVE_BYTES if is_large else SMALL_RECEIVE_BYTES

    def has_room_to_read_ahead(self) -> bool:
        """Whether a connection may buffer a further piece beyond what one read returns."""
        return self._buffered_bytes + self.receive_bytes <= self._capacity_bytes // 2

    def update(self, connection: InputHolder) -> None:
        """Note how much a connection has buffered now."""
        size_bytes = connection.unparsed
        self._buffered_bytes += size_bytes - self._buffered.get(connection, 0)
        if size_bytes:
            self._buffered[connection] = size_bytes
        else:
            self._buffered.pop(connection, None)

    def admit(self, connection: InputHolder) -> bool:
        """Whether a connection may receive more of its incomplete message; if not, it gets room later."""
        if connection.unparsed <= FREE_BYTES:
            self.release(connection)
            return True
        if connection in self._reserved:
            return True
        if not self._waiting and self._reserve(connection):
            return True
        self._waiting[connection] = None
        if self._timer is None:
            self._timer = self._timers.after(RECLAIM_US, self._reclaim)
        return False

    def _reserve(self, connection: InputHolder) -> bool:
        size_bytes = connection.max_message_bytes + self.receive_bytes
        if self._reserved and self._reserved_bytes + size_bytes > self._capacity_bytes // 2:
            return False
        self._reserved[connection] = Reservation(size_bytes, self._now())
        self._reserved_bytes += size_bytes
        return True

    def release(self, connection: InputHolder) -> None:
        """Return the reservation of a connection whose message is complete or which has ended."""
        self._waiting.pop(connection, None)
        reservation = self._reserved.pop(connection, None)
        if reservation is not None:
            self._reserved_bytes -= reservation.size_bytes
            self._grant()

    def remove(self, connection: InputHolder) -> None:
        """Forget a connection that has ended."""
        self._buffered_bytes -= self._buffered.pop(connection, 0)
        self.release(connection)

    def _grant(self) -> None:
        while self._waiting:
            connection = next(iter(self._waiting))
            if not self._reserve(connection):
                break
            del self._waiting[connection]
            connection.room_granted()

    def _reclaim(self) -> None:
        """Close connections that hold a reservation and have stopped sending, the largest first, at most one
        for each that waits."""
        self._timer = None
        if not self._waiting:
            return
        self._timer = self._timers.after(RECLAIM_US, self._reclaim)
        now_us = self._now()
        overdue = [
            connection
            for connection, reservation in self._reserved.items()
            if now_us - connection.last_received_us >= STALLED_US
            or now_us - reservation.since_us >= MAX_RESERVED_US
        ]
        overdue.sort(key=lambda connection: connection.unparsed, reverse=True)
        for connection in overdue[: len(self._waiting)]:
            if connection.is_reclaimable:
                log("client", "memory is short; a connection with an incomplete message is closed")
                connection.reclaim_input()
