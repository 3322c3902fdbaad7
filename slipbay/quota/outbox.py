"""Sends lease messages, and resends those that the channel had no room for."""

from __future__ import annotations

from collections import Counter

from slipbay.peer_channel.interfaces import Send
from slipbay.quota.codec import MessageType
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.send_budget import BURST_BYTES, LEASE_OVERDRAFT_BYTES, SendBudget
from slipbay.quota.shutdown import Shutdown

RESEND_FOR_US = 600_000  # time for which unsent messages are retried


class LeaseOutbox:
    """Keeps the latest unsent lease message of each type to each router.

    Sending it later has the same effect as a delay in the network. Borrow messages are not kept, as borrowers
    send new requests.
    """

    def __init__(
        self, leases: LeaseManager | None, budget: SendBudget, shutdown: Shutdown, counts: Counter[str]
    ) -> None:
        self._leases = leases
        self._budget = budget
        self._shutdown = shutdown
        self._counts = counts
        self._unsent: dict[tuple[int, int], tuple[int, bytes]] = {}  # by router and type: since when, body
        self._resent_since: dict[tuple[int, int], int] = {}  # resent messages, since when they are unsent

    def send(self, now: int, messages: list[Send]) -> list[Send]:
        """Return the messages that the budget allows now, and keep the others."""
        sends = []
        min_left_bytes = -BURST_BYTES if self._shutdown.is_recalling(now) else LEASE_OVERDRAFT_BYTES
        for to, body in messages:
            if self._budget.spend(now, len(body), min_left_bytes):
                sends.append((to, body))
            else:
                self.keep(now, to, body)
        return sends

    def keep(self, now: int, to: int, body: bytes) -> None:
        """Keep a message that was not sent, if it is still needed."""
        if self._leases is not None and self._leases.handle_unsent(now, to, body):
            key = to, body[0]
            self._unsent[key] = self._resent_since.pop(key, now), body
            self._counts["no room at first"] += 1

    def resend(self, now: int) -> list[Send]:
        """Return the unsent messages that are still needed, the oldest first."""
        if self._leases is None or (not self._unsent and not self._resent_since):
            return []
        earlier_unsent = self._unsent
        self._unsent = {}
        self._resent_since = {
            key: since
            for key, (since, body) in earlier_unsent.items()
            if now - since < RESEND_FOR_US and self._leases.handle_unsent(now, key[0], body)
        }
        routers_with_requests = {
            to for to, message_type in self._resent_since if message_type == MessageType.LEASE_REQUEST
        }
        self._leases.renewal.unsent = routers_with_requests
        order = sorted(self._resent_since, key=self._resent_since.__getitem__)
        return self.send(now, [(key[0], earlier_unsent[key][1]) for key in order])
