"""Byte budget of the peer socket: one send rate for all kinds of messages, with a guaranteed share for each
kind."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from slipbay.peer_channel.interfaces import FrameKind

WINDOW_US = 1_050_000  # one second, plus the delay of datagrams within one turn of the event loop
# Priority by kind, 0 first. LIVES messages are sent only when a router starts or stops; DECISIONS messages
# can be truncated.
PRIORITIES: Mapping[int, int] = {
    FrameKind.VIEW: 0,
    FrameKind.LIVES: 0,
    FrameKind.QUOTA: 1,
    FrameKind.COMEBACK: 2,
    FrameKind.GATHER: 3,
    FrameKind.DECISIONS: 4,
}
LOWEST_PRIORITY = 5  # of all kinds that are not listed
PRIORITY_FRACTION = 0.125  # of the rate without a guarantee, left unused for each priority before its own


class ByteBudget:
    """A rate limit over a sliding window, with a guaranteed share for each kind of message.

    The budget records each message sent within the last window. A kind may always send within its share. It
    may send more than its share as long as the shares of all other kinds, and what those sent beyond them,
    leave room: ``sum(max(sent, share)) <= rate`` holds after each message. No term of the sum grows when a
    message leaves the window. So the condition holds at any time, and with it ``sum(sent) <= rate``, for any
    order of requests.

    A message that finds no room leaves a claim. The rate without a guarantee is reserved for the oldest claim
    until its kind sends a message of at least that size, or does not request one for two windows. So a kind
    can also send messages that are longer than its share (docs/channel.md).
    """

    def __init__(self, rate: float, shares: Mapping[int, float], now: int) -> None:
        """``rate``: bytes in any window. ``shares``: guaranteed fraction of the rate by kind; their sum is at
        most 1."""
        if sum(shares.values()) > 1.0 + 1e-9 or min(shares.values(), default=0.0) < 0:
            raise ValueError("parts: want at most 1 together, and none below 0")
        self.rate = rate
        self.guaranteed_bytes = {kind: rate * share for kind, share in shares.items()}  # in a window
        self._sent = {kind: 0 for kind in shares}
        self._sends: deque[tuple[int, int, int]] = deque()  # time (us), kind, bytes; oldest first
        # by kind: bytes, time of the last request; oldest first
        self._claims: dict[int, tuple[int, int]] = {}
        self._now = now

    def guarantee_share(self, kind: int, share: float) -> None:
        """Guarantee a kind a fraction of the rate, in effect after one window."""
        self.guaranteed_bytes[kind] = self.rate * share
        self._sent.setdefault(kind, 0)
        if sum(self.guaranteed_bytes.values()) > self.rate * (1 + 1e-9):
            raise ValueError("parts: want at most 1 together")

    def available_bytes(self, now: int, kind: int) -> int:
        """Bytes that a kind may send at ``now`` (us)."""
        self._expire(now)
        oldest = next(iter(self._claims), None)
        guaranteed = self.guaranteed_bytes.get(kind, 0.0)
        sent = self._sent.get(kind, 0)
        free = self.rate - sum(
            max(count, self.guaranteed_bytes.get(other, 0.0))
            for other, count in self._sent.items()
            if other not in (kind, oldest)
        )
        if oldest != kind:
            free -= (
                (self.rate - sum(self.guaranteed_bytes.values()))
                * PRIORITY_FRACTION
                * PRIORITIES.get(kind, LOWEST_PRIORITY)
            )
            if oldest is not None:
                free -= max(
                    self._sent.get(oldest, 0) + self._claims[oldest][0],
                    self.guaranteed_bytes.get(oldest, 0.0),
                )
        limit = min(max(free, guaranteed) - sent, self.rate - sum(self._sent.values()))
        return max(0, int(limit + 1e-6))

    def try_spend(self, now: int, kind: int, size: int) -> bool:
        """Whether ``size`` bytes of a kind may be sent now. If so, they count as sent."""
        claimed = self._claims.get(kind, (0, 0))[0]
        if self.available_bytes(now, kind) < size:
            self._claims[kind] = max(claimed, size), self._now
            return False
        self._sent[kind] = self._sent.get(kind, 0) + size
        self._sends.append((self._now, kind, size))
        if size >= claimed:
            self._claims.pop(kind, None)
        return True

    def sent_bytes(self, now: int) -> dict[int, int]:
        """Bytes sent within the last window, by kind."""
        self._expire(now)
        return dict(self._sent)

    def _expire(self, now: int) -> None:
        self._now = max(self._now, now)  # a clock that jumps back frees no bytes
        while self._sends and self._sends[0][0] <= self._now - WINDOW_US:
            _, kind, size = self._sends.popleft()
            self._sent[kind] -= size
        if self._claims:
            self._claims = {
                kind: claim for kind, claim in self._claims.items() if claim[1] > self._now - 2 * WINDOW_US
            }
