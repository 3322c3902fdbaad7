"""Which holders to ask for more of a quota, and in which order."""

from __future__ import annotations

from random import Random

from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.demand import DemandPool
from slipbay.quota.leases.granter import NO_ROUTER
from slipbay.quota.peer_replies import PeerReplies

SECOND = 1_000_000
RETRY_US = 300_000  # a reply that has not come by then is asked for again
SILENT_RETRY_US = SECOND  # and of a router that is silent


class LenderChoice:
    """Knows which lenders are to be left alone for a while. Times are us."""

    def __init__(
        self, quotas: QuotaAccounts, demand: DemandPool, replies: PeerReplies, random: Random
    ) -> None:
        self._quotas = quotas
        self._demand = demand
        self._replies = replies
        self._random = random
        self._avoided: dict[tuple[int, int], int] = {}  # by key and lender: not asked before

    def avoid(self, key: int, lender: int, until: int) -> None:
        """Do not ask a lender for a quota before ``until``."""
        self._avoided[key, lender] = until

    def prune(self, now: int) -> None:
        """Drop what is over, once there is much."""
        if len(self._avoided) > 4 * self._quotas.size:
            self._avoided = {what: until for what, until in self._avoided.items() if until > now}

    def candidates(self, now: int, key: int, account: QuotaAccount, count: int) -> list[int]:
        """Holders to ask next: the contact first, or those that are likely to have a surplus."""
        able = [n for n in self._lenders(key) if self._may_ask(now, key, account, n)]
        self._random.shuffle(able)
        missed = self._replies.missed
        if self._quotas.is_holder(key):
            surpluses = self._demand.surpluses(key)
            able.sort(key=lambda n: (n in missed, -surpluses.get(n, 0)))
        else:
            contact = self._demand.contact(key)
            able.sort(key=lambda n: (n in missed, n != contact))
        return able[:count]

    def _may_ask(self, now: int, key: int, account: QuotaAccount, lender: int) -> bool:
        if now < self._avoided.get((key, lender), 0):
            return False
        loan = account.shares.borrowed.get(lender)
        pause = SILENT_RETRY_US if lender in self._replies.missed else RETRY_US
        return loan is None or not loan.pending or now - loan.requested_at >= pause

    def _lenders(self, key: int) -> list[int]:
        """Holders to ask, and those who have base shares of holders that did not reply."""
        holders = self._quotas.holders[key]
        leases = self._quotas.leases
        if leases is None or not self._replies.missed:
            return holders
        others = {
            leases.locations.holder_of(owner)
            for owner in self._replies.missed
            if leases.locations.is_known(owner) and self._quotas.bases[key][owner]
        }
        return [*holders, *(others - {self._quotas.me, NO_ROUTER, *holders})]
