"""Limits the memory of results that are being received from engines.

An exchange reserves room for its whole result before it requests the second page. Until there is room it
waits, in order; exchanges that have room always end and return it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


class ResultReservation:
    """Room for one result, granted at once or later."""

    def __init__(self, budget: ResultBudget, size_bytes: int, granted: Callable[[], None]) -> None:
        self._budget = budget
        self.size_bytes = size_bytes
        self.granted = granted
        self.is_granted = False

    def release(self) -> None:
        """Return the room, or stop waiting for it."""
        self._budget.release(self)


class ResultBudget:
    """The memory of all results that are being received."""

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._reserved_bytes = 0
        self._waiting: deque[ResultReservation] = deque()

    def reserve(self, size_bytes: int, granted: Callable[[], None]) -> ResultReservation:
        """Reserve room; ``granted`` is called later if the reservation is not granted within this call."""
        reservation = ResultReservation(self, size_bytes, granted)
        if not self._waiting and self._fits(reservation):
            self._grant(reservation)
        else:
            self._waiting.append(reservation)
        return reservation

    def _fits(self, reservation: ResultReservation) -> bool:
        is_first = not self._reserved_bytes  # a result larger than the capacity is received alone
        return is_first or self._reserved_bytes + reservation.size_bytes <= self._capacity_bytes

    def _grant(self, reservation: ResultReservation) -> None:
        reservation.is_granted = True
        self._reserved_bytes += reservation.size_bytes

    def release(self, reservation: ResultReservation) -> None:
        """Return the room of a reservation, or remove it from those that wait."""
        if not reservation.is_granted:
            if reservation in self._waiting:
                self._waiting.remove(reservation)
            return
        reservation.is_granted = False
        self._reserved_bytes -= reservation.size_bytes
        while self._waiting and self._fits(self._waiting[0]):
            next_reservation = self._waiting.popleft()
            self._grant(next_reservation)
            next_reservation.granted()
