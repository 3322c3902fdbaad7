"""Processes borrow requests of other routers and replies to them."""

from __future__ import annotations

from collections import Counter

from slipbay.peer_channel.interfaces import Send
from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.codec import BORROW_ENTRY, HEADER, BorrowEntry, BorrowMessage, MessageType, encode
from slipbay.quota.demand import NO_SUGGESTION, DemandPool
from slipbay.quota.send_budget import BURST_BYTES, SendBudget
from slipbay.quota.shares import SHARE_UNITS
from slipbay.quota.shutdown import Shutdown

REPORT_ONLY = 1  # wanted amount in a request whose sender only wants a report
STEADY_FRACTION = 0.85  # a lender renews a share in full while its surplus exceeds this fraction of the share
RESERVED_BYTES = BURST_BYTES // 4  # budget reserved for replies to renewals and to large requests


class Lender:
    """Lends the surplus of this router's share for the duration of a lease."""

    def __init__(
        self,
        quotas: QuotaAccounts,
        demand: DemandPool,
        budget: SendBudget,
        shutdown: Shutdown,
        counts: Counter[str],
    ) -> None:
        self._quotas = quotas
        self._demand = demand
        self._budget = budget
        self._shutdown = shutdown
        self._counts = counts

    def receive(self, now: int, borrower: tuple[int, int], message: BorrowMessage) -> list[Send]:
        """Process a borrow request of a router and its incarnation; return the reply, if there is one."""
        wants = [entry.want for entry in message.entries if 0 < entry.want <= SHARE_UNITS]
        is_renewal = any(entry.amount for entry in message.entries)
        is_small = wants and max(wants) < self._quotas.even_share and not is_renewal
        size_bytes = HEADER.size + BORROW_ENTRY.size * len(wants)
        may_reply = bool(wants) and self._budget.spend(now, size_bytes, RESERVED_BYTES if is_small else 0)
        self._counts["no leave to answer"] += bool(wants) and not may_reply
        lease_ms = self._lease_ms(now)
        replies = []
        for entry in message.entries:
            reply = self._process_entry(now, borrower, message.tag, entry, may_reply, lease_ms)
            if reply is not None:
                replies.append(reply)
        if not replies:
            return []
        quotas = self._quotas
        reply_type = MessageType.BORROW_REPLY
        version = quotas.plan.version
        body = encode(BorrowMessage(reply_type, version, quotas.layout, message.tag, lease_ms, replies))
        return [(borrower[0], body)]

    def _lease_ms(self, now: int) -> int:
        lease_ms = self._quotas.plan.term_ms
        if self._quotas.leases is None:
            return lease_ms
        return self._quotas.leases.lendable_us(now, lease_ms * 1000) // 1000

    def _process_entry(
        self,
        now: int,
        borrower: tuple[int, int],
        tag: int,
        entry: BorrowEntry,
        may_reply: bool,
        lease_ms: int,
    ) -> BorrowEntry | None:
        """Process one entry of a request and return the reply's entry, if any.

        ``may_reply`` tells whether the budget allows a reply.
        """
        account = self._quotas.accounts.get(entry.key)
        if account is None:
            return None
        self._demand.receive(now, borrower[0], entry)
        account.advance(now)
        shares = account.shares
        if not shares.accept_request(now, borrower, tag, entry.amount):
            self._counts["late or double"] += 1
            return None
        amount = 0
        must_reply = may_reply and 0 < entry.want <= SHARE_UNITS
        if must_reply and shares.is_start_wait_over(now) and not self._shutdown.is_recalling(now):
            amount = self._lent_amount(now, account, borrower, entry, lease_ms)
            shares.lend(now, borrower, amount, lease_ms * 1000)
        account.update_share(now)
        if not must_reply:
            return None
        if not shares.is_start_wait_over(now) and entry.amount:
            return None  # the share that an earlier incarnation lent to it ends with its lease
        suggestion = NO_SUGGESTION
        if amount < entry.want and entry.want > REPORT_ONLY:
            suggestion = self._demand.suggest_lender(entry.key, borrower[0], entry.want - amount)
        demand, share = self._demand.report_for(entry.key, account, borrower[0])
        return BorrowEntry(entry.key, amount, suggestion + 1, demand, share)

    def _lent_amount(
        self, now: int, account: QuotaAccount, borrower: tuple[int, int], entry: BorrowEntry, lease_ms: int
    ) -> int:
        surplus, lendable = self.surplus(now, account, borrower, lease_ms)
        if STEADY_FRACTION * entry.amount < surplus < entry.amount:
            surplus = entry.amount  # lent shares do not follow small changes of the surplus
        return min(entry.want, surplus, lendable) if entry.want > REPORT_ONLY else 0

    def surplus(
        self, now: int, account: QuotaAccount, borrower: tuple[int, int], lease_ms: int
    ) -> tuple[int, int]:
        """Return this router's surplus, and the amount that it may lend to a borrower, in share units."""
        shares = account.shares
        lendable = shares.lendable(now, borrower, lease_ms * 1000)
        usable_units, _ = shares.usable(now)
        available = usable_units + shares.lent_out(now) - shares.lent_out(now, borrower)
        return max(0, available - int(self._demand.wanted_share(account) * self._quotas.even_share)), lendable
