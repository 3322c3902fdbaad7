"""Decides which lenders get borrow requests, which borrowed shares to return, and when to send reports."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TypeAlias

from slipbay.peer_channel.interfaces import Send
from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.codec import (
    BORROW_ENTRY,
    HEADER,
    MAX_BORROW_ENTRIES,
    BorrowEntry,
    BorrowMessage,
    MessageType,
    encode,
)
from slipbay.quota.demand import SURPLUS_STEP, DemandPool
from slipbay.quota.leases.messages import next_tag
from slipbay.quota.lender_choice import RETRY_US, LenderChoice
from slipbay.quota.lending import REPORT_ONLY, Lender
from slipbay.quota.peer_replies import PeerReplies
from slipbay.quota.send_budget import BURST_BYTES, LEASE_OVERDRAFT_BYTES, SendBudget
from slipbay.quota.shares import SHARE_UNITS, BorrowedShare

SECOND = 1_000_000
MAX_LENDERS = 7  # further lenders that are requested at the same time as the first one
MIN_BORROWED_FRACTION = 0.02  # fraction of an even share; smaller borrowed shares are not renewed
RENEWAL_FRACTION = 0.7  # fraction of a lease after which a borrowed share is renewed
NO_BORROWER = (-1, 0)
AVOID_LENDER_US = SECOND  # time without requests to a lender that shuts down
# A router borrows only if it lacks more than this fraction of an even share plus this fraction of the share
# that it wants.
MIN_LACK_FRACTION = 0.02
MIN_LACK_OF_WANTED = 0.03
URGENT_LACK_FRACTION = 0.5  # fraction of an even share; a router that lacks more sends requests each RETRY_US
LARGE_LACK_OF_WANTED = 0.2  # fraction of the wanted share; routers that lack more request 4 times as often
# Fraction of the wanted share that a router keeps as a surplus until the lease is due for renewal.
KEPT_SURPLUS_FRACTION = 0.05
# A router returns a surplus before that if it exceeds this fraction of an even share plus this fraction of
# its own share.
MIN_RETURN_FRACTION = 0.05
MIN_RETURN_OF_SHARE = 0.02

Requests: TypeAlias = dict[int, dict[int, BorrowEntry]]
"""Entries by lender and key of the quota."""


class Borrower:
    """Borrows shares for demand above this router's share, and returns what it no longer wants.

    Times are in us.
    """

    def __init__(
        self,
        quotas: QuotaAccounts,
        demand: DemandPool,
        lender: Lender,
        replies: PeerReplies,
        budget: SendBudget,
        random: Random,
        counts: Counter[str],
        report_interval_us: int,
        holder_report_interval_us: int,
    ) -> None:
        """``report_interval_us`` is the interval between reports of a router that holds no base share of a
        quota, ``holder_report_interval_us`` that of a holder.
        """
        self._quotas = quotas
        self._demand = demand
        self._lender = lender
        self._replies = replies
        self._budget = budget
        self._choice = LenderChoice(quotas, demand, replies, random)
        self._counts = counts
        self._report_interval_us = report_interval_us
        self._holder_report_interval_us = holder_report_interval_us
        # Lenders to request per even share that is lacked. It is twice the number of holders per router, as
        # about half of the holders have little to lend.
        self._lenders_per_even_share = 2 * min(quotas.router_count, quotas.plan.holders) / quotas.router_count
        self._tag = 0
        self._report_count: dict[int, int] = {}  # by key, counter that selects the next holder to report to
        self._reported_at_us: dict[int, int] = {}  # by key, when the last report was sent
        self._requested_more_at_us: dict[int, int] = {}  # by key, when a larger share was last requested

    # Planning requests

    def plan(self, now: int, key: int, account: QuotaAccount, requests: Requests) -> None:
        """Add the requests that are due for a quota: returns, renewals, larger shares and reports."""
        share = self._demand.local_report(account)[1]
        wanted = self._demand.wanted_share(account)
        noise = min(wanted, self._demand.demand_noise(account))
        min_lack = int(
            (MIN_LACK_FRACTION + MIN_LACK_OF_WANTED * wanted + noise / 2) * self._quotas.even_share
        )
        kept_surplus = int((KEPT_SURPLUS_FRACTION * wanted + noise) * self._quotas.even_share)
        surplus = int((share - wanted) * self._quotas.even_share)
        surplus = self._plan_renewals(now, key, account, requests, surplus, kept_surplus, min_lack)
        lack = wanted - share if surplus < 0 else 0.0
        if not self._quotas.holders[key]:
            return
        borrowed_shares = account.shares.borrowed.values()
        pending_count = sum(
            1
            for borrowed_share in borrowed_shares
            if borrowed_share.pending and now - borrowed_share.requested_at < RETRY_US
        )
        if account.demand:
            self._demand.mark_active(now, key)
        if self._demand.is_active(now, key):
            self._report(now, key, account, requests)
        if lack * self._quotas.even_share <= min_lack or not account.demand or pending_count > MAX_LENDERS:
            return
        if now - self._requested_more_at_us.get(key, 0) < self._request_interval(lack, wanted):
            return
        self._requested_more_at_us[key] = now
        count = 1 + min(MAX_LENDERS, int(lack * self._lenders_per_even_share))
        for lender in self._choice.candidates(now, key, account, count):
            self._request_more(now, key, account, lender, lack, requests)

    def _request_interval(self, lack: float, wanted: float) -> int:
        """Return the interval in us between requests for a larger share, by how much is lacked."""
        if lack > URGENT_LACK_FRACTION:
            return RETRY_US
        return self._report_interval_us // (4 if lack > LARGE_LACK_OF_WANTED * wanted else 1)

    def _plan_renewals(
        self,
        now: int,
        key: int,
        account: QuotaAccount,
        requests: Requests,
        surplus: int,
        kept_surplus: int,
        min_lack: int,
    ) -> int:
        """Renew borrowed shares that are due, and return the surplus.

        All amounts are in share units. ``kept_surplus`` is the surplus to keep until a lease is due for
        renewal. A router that lacks no more than ``min_lack`` requests no larger share. Returns the remaining
        surplus; it is negative if this router wants a larger share.
        """
        even_share = self._quotas.even_share
        share = self._demand.local_report(account)[1]
        for lender, held in account.shares.borrowed.items():
            if held.amount < MIN_BORROWED_FRACTION * even_share or not held.lease.is_valid(now):
                continue
            age = now - held.requested_at
            is_due = now >= held.requested_at + held.lease.length_us * RENEWAL_FRACTION and age > RETRY_US
            returned = min(held.amount, max(0, surplus if is_due else surplus - kept_surplus))
            if (
                is_due
                or returned > MIN_RETURN_FRACTION * even_share + MIN_RETURN_OF_SHARE * share * even_share
            ):
                surplus -= returned
                keep = held.amount - returned
                added = max(0, -surplus) if is_due and -surplus > min_lack else 0
                surplus += added
                want = min(SHARE_UNITS, keep + added)
                requests.setdefault(lender, {})[key] = BorrowEntry(key, keep, want, 0.0, 0.0)
        return surplus

    def _request_more(
        self, now: int, key: int, account: QuotaAccount, lender: int, lack: float, requests: Requests
    ) -> None:
        keep = _kept_units(now, account.shares.borrowed.get(lender))
        want = max(1, min(SHARE_UNITS, keep + int(lack * self._quotas.even_share)))
        requests.setdefault(lender, {})[key] = BorrowEntry(key, keep, want, 0.0, 0.0)

    def _follow_suggestion(self, now: int, key: int, lender: int, requests: Requests) -> None:
        """Request a share from another lender, which a holder suggested as it lent less than requested."""
        account = self._quotas.accounts[key]
        wanted = self._demand.wanted_share(account)
        lack = wanted - self._demand.local_report(account)[1]
        if lack <= MIN_LACK_FRACTION + MIN_LACK_OF_WANTED * wanted:
            return
        if lender in self._choice.candidates(now, key, account, self._quotas.router_count):
            self._request_more(now, key, account, lender, lack, requests)

    def _report(self, now: int, key: int, account: QuotaAccount, requests: Requests) -> None:
        """Add a report if one is due. A holder reports to the other holders in turn and wants no reply; other
        routers request a report from their contact, unless another request to it is planned anyway.
        """
        since = now - self._reported_at_us.get(key, 0)
        is_local_holder = self._quotas.is_holder(key)
        if since < (self._holder_report_interval_us if is_local_holder else self._report_interval_us):
            return
        if is_local_holder and self._budget.available(now) < BURST_BYTES // 4:
            return
        to = self._next_holder(key) if is_local_holder else self._demand.contact(key)
        self._reported_at_us[key] = now
        if to is None:
            return
        borrowed_share = account.shares.borrowed.get(to)
        if (
            is_local_holder
            and borrowed_share is not None
            and (borrowed_share.pending or borrowed_share.amount)
        ):
            return
        keep = _kept_units(now, borrowed_share)
        want = max(keep, REPORT_ONLY)
        if is_local_holder:
            surplus = min(self._lender.surplus(now, account, NO_BORROWER, self._quotas.plan.term_ms))
            want = SHARE_UNITS + surplus // SURPLUS_STEP
        requests.setdefault(to, {}).setdefault(key, BorrowEntry(key, keep, want, 0.0, 0.0))

    def _next_holder(self, key: int) -> int | None:
        """Return the holder to report to next; None if there is no other holder."""
        others = self._quotas.holders[key]
        if not others:
            return None
        self._report_count[key] = self._report_count.get(key, self._quotas.local_router) + 1
        return others[self._report_count[key] % len(others)]

    # Replies

    def receive_reply(self, now: int, sender: int, message: BorrowMessage) -> tuple[list[Send], bool]:
        """Process a reply. Return the messages to send, and whether the sender lent anything."""
        lent = False
        requests: Requests = {sender: {}}  # the first entry, so that returns are sent before requests
        for entry in message.entries:
            is_accepted, is_reduced = self._process_reply_entry(now, sender, message, entry)
            lent |= is_accepted and entry.amount > 0
            if is_reduced:  # notify the lender that the rest is returned
                release = BorrowEntry(entry.key, entry.amount, 0, 0.0, 0.0)
                requests[sender][entry.key] = release
        for entry in message.entries:
            if 0 < entry.want <= self._quotas.router_count and entry.key in self._quotas.accounts:
                self._follow_suggestion(now, entry.key, entry.want - 1, requests)
        return self.send(now, {to: entries for to, entries in requests.items() if entries}), lent

    def _process_reply_entry(
        self, now: int, sender: int, message: BorrowMessage, entry: BorrowEntry
    ) -> tuple[bool, bool]:
        """Process one entry of a reply. Return whether it was accepted, and whether the lender lends less
        than before.
        """
        account = self._quotas.accounts.get(entry.key)
        if account is None:
            return False, False
        self._demand.receive(now, sender, entry)
        account.advance(now)
        borrowed_share = account.shares.borrowed.get(sender)
        before = borrowed_share.amount if borrowed_share is not None else 0
        if not account.shares.accept_reply(now, sender, message.tag, entry.amount, message.lease_ms * 1000):
            return False, False
        account.update_share(now)
        if not entry.amount or self._demand.local_report(account)[1] < self._demand.wanted_share(account):
            self._choice.avoid(entry.key, sender, now + min(SECOND, self._report_interval_us))
        return True, entry.amount < before

    # Returning shares

    def receive_recall(self, now: int, lender: int) -> list[Send]:
        """Return all shares to a lender that shuts down, and send it no requests for a while."""
        requests: Requests = {}
        for key, account in self._quotas.accounts.items():
            account.advance(now)
            borrowed_share = account.shares.borrowed.get(lender)
            # An amount of 0 is returned again, as an earlier message may be lost.
            if borrowed_share is not None and borrowed_share.lease.is_valid(now):
                self._choice.avoid(key, lender, now + AVOID_LENDER_US)
                self._requested_more_at_us.pop(key, None)
                requests.setdefault(lender, {})[key] = BorrowEntry(key, 0, 0, 0.0, 0.0)
        return self.send(now, requests, LEASE_OVERDRAFT_BYTES)

    def return_all(self, now: int) -> Requests:
        """Return the requests that return every borrowed share to its lender."""
        requests: Requests = {}
        for key, account in self._quotas.accounts.items():
            for lender, borrowed_share in account.shares.borrowed.items():
                if borrowed_share.amount and borrowed_share.lease.is_valid(now):
                    requests.setdefault(lender, {})[key] = BorrowEntry(key, 0, 0, 0.0, 0.0)
        return requests

    # Sending

    def send(self, now: int, requests: Requests, min_left_bytes: int = 0) -> list[Send]:
        """Encode the requests that the budget allows, those with the largest amounts first."""
        sends: list[Send] = []
        lenders = sorted(requests, key=lambda n: -sum(map(_priority, requests[n].values())))
        for lender in lenders:
            entries = sorted(requests[lender].values(), key=_priority, reverse=True)[:MAX_BORROW_ENTRIES]
            if not self._budget.spend(now, HEADER.size + BORROW_ENTRY.size * len(entries), min_left_bytes):
                self._counts["no leave to ask"] += 1
                break
            sends.append((lender, self._request(now, lender, entries)))
        self._choice.prune(now)
        return sends

    def _request(self, now: int, lender: int, entries: list[BorrowEntry]) -> bytes:
        """Encode a request. From now on this router uses no more of each borrowed share than it keeps."""
        self._tag = next_tag(self._tag, now)
        sent_entries = []
        for entry in entries:
            account = self._quotas.accounts[entry.key]
            amount = account.shares.record_borrow_request(now, lender, self._tag, entry.amount)
            account.shares.borrowed[lender].pending = _wants_reply(entry)
            if not self._quotas.is_holder(entry.key) and lender == self._demand.contact(entry.key):
                self._reported_at_us[entry.key] = now
            account.update_share(now)
            demand, share = self._demand.report_for(entry.key, account, lender)
            sent_entries.append(entry._replace(amount=amount, demand=demand, share=share))
        if any(map(_wants_reply, sent_entries)):
            self._replies.record_request(now, lender)
        version = self._quotas.plan.version
        layout = self._quotas.layout
        return encode(BorrowMessage(MessageType.BORROW_REQUEST, version, layout, self._tag, 0, sent_entries))


def _wants_reply(entry: BorrowEntry) -> bool:
    return 0 < entry.want <= SHARE_UNITS


def _priority(entry: BorrowEntry) -> int:
    """Return the priority of an entry, from the amounts kept and wanted."""
    return max(entry.amount, entry.want // 4 if entry.want <= SHARE_UNITS else 0)


def _kept_units(now: int, borrowed_share: BorrowedShare | None) -> int:
    return borrowed_share.amount if borrowed_share is not None and borrowed_share.lease.is_valid(now) else 0
