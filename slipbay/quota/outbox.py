"""Sends messages about leases, and sends those again that found no room."""

from __future__ import annotations

from collections import Counter

from slipbay.peer_channel.interfaces import Send
from slipbay.quota.codec import MessageType
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.send_budget import BURST_BYTES, LEASE_OVERDRAFT_BYTES, SendBudget
from slipbay.quota.shutdown import Shutdown

RESEND_FOR_US = 600_000  # for so long messages that found no room are tried again


class LeaseOutbox:
    """Keeps the latest message of each type to each router that found no room.

    Sending it later is no other than its coming late; whoever wanted to borrow asks for it anew.
    """

    def __init__(
        self, leases: LeaseManager | None, budget: SendBudget, shutdown: Shutdown, counts: Counter[str]
    ) -> None:
        self._leases = leases
        self._budget = budget
        self._shutdown = shutdown
        self._counts = counts
        self._unsent: dict[tuple[int, int], tuple[int, bytes]] = {}  # by router and type: since when
        self._resent: dict[tuple[int, int], int] = {}  # of them, those that are tried again now

    def send(self, now: int, messages: list[Send]) -> list[Send]:
        """Those that may leave now; others are kept."""
        sends = []
        least = -BURST_BYTES if self._shutdown.recalls(now) else LEASE_OVERDRAFT_BYTES
        for to, body in messages:
            if self._budget.spend(now, len(body), least):
                sends.append((to, body))
            else:
                self.keep(now, to, body)
        return sends

    def keep(self, now: int, to: int, body: bytes) -> None:
        """A message found no room."""
        if self._leases is not None and self._leases.handle_unsent(now, to, body):
            key = to, body[0]
            self._unsent[key] = self._resent.pop(key, now), body
            self._counts["no room at first"] += 1

    def resend(self, now: int) -> list[Send]:
        """Messages that found no room, the oldest first, as long as they still say something."""
        if self._leases is None or (not self._unsent and not self._resent):
            return []
        tried = self._unsent
        self._unsent = {}
        self._resent = {
            key: since
            for key, (since, body) in tried.items()
            if now - since < RESEND_FOR_US and self._leases.handle_unsent(now, key[0], body)
        }
        requests = {to for to, kind in self._resent if kind == MessageType.LEASE_REQUEST}
        self._leases.renewal.unsent = requests
        order = sorted(self._resent, key=self._resent.__getitem__)
        return self.send(now, [(key[0], tried[key][1]) for key in order])
