"""Limits the bytes that a router's messages about quotas take on the peer channel."""

from __future__ import annotations

from collections.abc import Callable

SECOND = 1_000_000
FRAME_BYTES = 24  # overhead of a signed datagram beside the body
BURST_BYTES = 900
LEASE_ROOM_BYTES = 120  # channel room that borrow messages leave to lease messages
LEASE_OVERDRAFT_BYTES = -400  # overdraft of lease messages, as without leases no share can be lent


class SendBudget:
    """A token bucket of bytes that fills at the plan's rate, limited by the room that the channel reports."""

    def __init__(self, bytes_per_s: int, now: int) -> None:
        self.bytes_per_s = bytes_per_s
        self.channel_room: Callable[[int], int] | None = None  # returns the channel's room in bytes
        self._available_bytes = float(BURST_BYTES)
        self._filled_at_us = now
        self._room_bytes = 0

    def update_room(self, now: int) -> None:
        """Query the channel for its room; called once per event."""
        if self.channel_room is not None:
            self._room_bytes = self.channel_room(now)

    def spend(self, now: int, body_bytes: int, min_left_bytes: int = 0) -> bool:
        """Spend the bytes of a message and return True if at least ``min_left_bytes`` are left afterwards.

        A negative ``min_left_bytes`` allows an overdraft.
        """
        size_bytes = body_bytes + FRAME_BYTES
        if self.available(now) < size_bytes + min_left_bytes:
            return False
        if (
            self.channel_room is not None
            and self._room_bytes < size_bytes + LEASE_ROOM_BYTES
            and min_left_bytes >= 0
        ):
            return False
        self._available_bytes -= size_bytes
        self._room_bytes -= size_bytes
        return True

    def available(self, now: int) -> float:
        """Return the bytes that may be sent now; negative after an overdraft."""
        available_bytes = self._available_bytes + (now - self._filled_at_us) * self.bytes_per_s / SECOND
        self._available_bytes = min(float(BURST_BYTES), available_bytes)
        self._filled_at_us = max(self._filled_at_us, now)
        return self._available_bytes

    def refund(self, body_bytes: int) -> None:
        """Return the bytes of a message that the channel did not send."""
        self._available_bytes = min(float(BURST_BYTES), self._available_bytes + body_bytes + FRAME_BYTES)
