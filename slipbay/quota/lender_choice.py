"""Chooses the holders that a router requests shares of a quota from, and their order."""

from __future__ import annotations

from random import Random

from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.demand import DemandPool
from slipbay.quota.leases.granter import NO_ROUTER
from slipbay.quota.peer_replies import PeerReplies

SECOND = 1_000_000
RETRY_US = 300_000  # time without a reply until a request is sent again
UNRESPONSIVE_RETRY_US = SECOND  # the same for an unresponsive router


class LenderChoice:
    """Orders the lenders, and keeps those that get no requests for a while. Times are in us."""

    def __init__(
        self, quotas: QuotaAccounts, demand: DemandPool, replies: PeerReplies, random: Random
    ) -> None:
        self._quotas = quotas
        self._demand = demand
        self._replies = replies
        self._random = random
        self._avoided_until_us: dict[tuple[int, int], int] = {}  # by key and lender

    def avoid(self, key: int, lender: int, until_us: int) -> None:
        """Send a lender no request for a quota before ``until_us``."""
        self._avoided_until_us[key, lender] = until_us

    def prune(self, now: int) -> None:
        """Drop expired entries, if there are many entries."""
        if len(self._avoided_until_us) > 4 * self._quotas.router_count:
            self._avoided_until_us = {
                entry: until_us for entry, until_us in self._avoided_until_us.items() if until_us > now
            }

    def candidates(self, now: int, key: int, account: QuotaAccount, count: int) -> list[int]:
        """Return up to ``count`` lenders to send requests to. A client requests from its contact first, a
        holder from the holders with the largest reported surplus.
        """
        lenders = [n for n in self._lenders(key) if self._may_request(now, key, account, n)]
        self._random.shuffle(lenders)
        unresponsive = self._replies.unresponsive
        if self._quotas.is_holder(key):
            surpluses = self._demand.surpluses(key)
            lenders.sort(key=lambda n: (n in unresponsive, -surpluses.get(n, 0)))
        else:
            contact = self._demand.contact(key)
            lenders.sort(key=lambda n: (n in unresponsive, n != contact))
        return lenders[:count]

    def _may_request(self, now: int, key: int, account: QuotaAccount, lender: int) -> bool:
        if now < self._avoided_until_us.get((key, lender), 0):
            return False
        borrowed_share = account.shares.borrowed.get(lender)
        retry_us = UNRESPONSIVE_RETRY_US if lender in self._replies.unresponsive else RETRY_US
        return (
            borrowed_share is None
            or not borrowed_share.pending
            or now - borrowed_share.requested_at >= retry_us
        )

    def _lenders(self, key: int) -> list[int]:
        """Return the holders, and the routers that took over base shares of unresponsive holders."""
        holders = self._quotas.holders[key]
        leases = self._quotas.leases
        if leases is None or not self._replies.unresponsive:
            return holders
        takeover_routers = {
            leases.locations.holder_of(owner)
            for owner in self._replies.unresponsive
            if leases.locations.is_known(owner) and self._quotas.bases[key][owner]
        }
        return [*holders, *(takeover_routers - {self._quotas.local_router, NO_ROUTER, *holders})]
