"""Decides whom to ask for more, to whom to give back, and when to report."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TypeAlias

from slipbay.peer_channel.interfaces import Send
from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.codec import (
    BORROW_ENTRY,
    HEAD,
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
from slipbay.quota.shares import WHOLE, BorrowedShare

SECOND = 1_000_000
MAX_LENDERS = 7  # that are asked at once, beside the first
MIN_LOAN = 0.02  # of an even share: less is not asked for again by itself
RENEW_PART = 0.7  # of a lease, after which a borrowed share is asked for anew
NO_BORROWER = (-1, 0)
AVOID_LENDER_US = SECOND  # a lender that shuts down is not asked for so long
# What is lacked must exceed this part of an even share, and this part of what is wanted, to be asked for.
LACK_LEAST = 0.02
LACK_PART = 0.03
URGENT_LACK = 0.5  # of an even share: is asked for as soon as replies may have come
LARGE_LACK_PART = 0.2  # of what is wanted: is asked for four times as often as less
# Of a surplus, what is kept until the lease is due anyway, and what is given back before.
SURPLUS_KEPT_PART = 0.05
GIVE_BACK_LEAST = 0.05
GIVE_BACK_PART = 0.02

Requests: TypeAlias = dict[int, dict[int, BorrowEntry]]
"""Entries by lender and key of the quota."""


class Borrower:
    """Borrows for demand above this router's share, and gives back what is no longer wanted. Times are us."""

    def __init__(
        self,
        quotas: QuotaAccounts,
        demand: DemandPool,
        lender: Lender,
        replies: PeerReplies,
        budget: SendBudget,
        random: Random,
        counts: Counter[str],
        report_us: int,
        holder_report_us: int,
    ) -> None:
        """``report_us`` and ``holder_report_us``: between two reports of a router that is no holder, and of
        one that is.
        """
        self._quotas = quotas
        self._demand = demand
        self._lender = lender
        self._replies = replies
        self._budget = budget
        self._choice = LenderChoice(quotas, demand, replies, random)
        self._counts = counts
        self._report_us = report_us
        self._holder_report_us = holder_report_us
        # lenders to ask for an even share that is lacked: twice a holder's part of it, as half have little
        self._lenders_per_even = 2 * min(quotas.size, quotas.plan.holders) / quotas.size
        self._tag = 0
        self._report_turn: dict[int, int] = {}  # by key: to whom a holder reports next
        self._reported: dict[int, int] = {}  # by key, when a report last left
        self._asked_more: dict[int, int] = {}  # by key, when more was last asked for

    # What to ask for

    def plan(self, now: int, key: int, account: QuotaAccount, requests: Requests) -> None:
        """Add what is to be asked of a quota now: less, the same again, more, or a report."""
        share = self._demand.own(account)[1]
        wanted = self._demand.wanted(account)
        noise = min(wanted, self._demand.noise(account))
        lacking = int((LACK_LEAST + LACK_PART * wanted + noise / 2) * self._quotas.even)
        bearable = int((SURPLUS_KEPT_PART * wanted + noise) * self._quotas.even)
        surplus = int((share - wanted) * self._quotas.even)
        surplus = self._plan_renewals(now, key, account, requests, surplus, bearable, lacking)
        lack = wanted - share if surplus < 0 else 0.0
        if not self._quotas.holders[key]:
            return
        loans = account.shares.borrowed.values()
        waiting = sum(1 for loan in loans if loan.pending and now - loan.requested_at < RETRY_US)
        if account.demand:
            self._demand.mark_active(now, key)
        if self._demand.is_active(now, key):
            self._report(now, key, account, requests)
        if lack * self._quotas.even <= lacking or not account.demand or waiting > MAX_LENDERS:
            return
        if now - self._asked_more.get(key, 0) < self._pause(lack, wanted):
            return
        self._asked_more[key] = now
        count = 1 + min(MAX_LENDERS, int(lack * self._lenders_per_even))
        for lender in self._choice.candidates(now, key, account, count):
            self._ask_more(now, key, account, lender, lack, requests)

    def _pause(self, lack: float, wanted: float) -> int:
        """Between two requests for more, by how much is lacked."""
        if lack > URGENT_LACK:
            return RETRY_US
        return self._report_us // (4 if lack > LARGE_LACK_PART * wanted else 1)

    def _plan_renewals(
        self,
        now: int,
        key: int,
        account: QuotaAccount,
        requests: Requests,
        surplus: int,
        bearable: int,
        lacking: int,
    ) -> int:
        """Ask anew for what is due, and give back what is too much.

        ``surplus``, ``bearable`` (kept of it until a lease is due anyway) and ``lacking`` (less is not asked
        for) are in parts of the whole. Returns what is left of the surplus; below zero more is wanted.
        """
        even = self._quotas.even
        share = self._demand.own(account)[1]
        for lender, loan in account.shares.borrowed.items():
            if loan.amount < MIN_LOAN * even or not loan.lease.is_valid(now):
                continue
            age = now - loan.requested_at
            due = now >= loan.requested_at + loan.lease.length_us * RENEW_PART and age > RETRY_US
            back = min(loan.amount, max(0, surplus if due else surplus - bearable))
            if due or back > GIVE_BACK_LEAST * even + GIVE_BACK_PART * share * even:
                surplus -= back
                keep = loan.amount - back
                more = max(0, -surplus) if due and -surplus > lacking else 0
                surplus += more
                want = min(WHOLE, keep + more)
                requests.setdefault(lender, {})[key] = BorrowEntry(key, keep, want, 0.0, 0.0)
        return surplus

    def _ask_more(
        self, now: int, key: int, account: QuotaAccount, lender: int, lack: float, requests: Requests
    ) -> None:
        keep = _kept(now, account.shares.borrowed.get(lender))
        want = max(1, min(WHOLE, keep + int(lack * self._quotas.even)))
        requests.setdefault(lender, {})[key] = BorrowEntry(key, keep, want, 0.0, 0.0)

    def _follow_suggestion(self, now: int, key: int, lender: int, requests: Requests) -> None:
        """A holder lent less than was wanted, and names another."""
        account = self._quotas.accounts[key]
        wanted = self._demand.wanted(account)
        lack = wanted - self._demand.own(account)[1]
        if lack <= LACK_LEAST + LACK_PART * wanted:
            return
        if lender in self._choice.candidates(now, key, account, self._quotas.size):
            self._ask_more(now, key, account, lender, lack, requests)

    def _report(self, now: int, key: int, account: QuotaAccount, requests: Requests) -> None:
        """Holders report to the others in turn, which wants no reply; others ask their contact how all stand,
        unless they had to ask it anyway.
        """
        since = now - self._reported.get(key, 0)
        holds = self._quotas.is_holder(key)
        if since < (self._holder_report_us if holds else self._report_us):
            return
        if holds and self._budget.available(now) < BURST_BYTES // 4:
            return
        to = self._next_holder(key) if holds else self._demand.contact(key)
        self._reported[key] = now
        if to is None:
            return
        loan = account.shares.borrowed.get(to)
        if holds and loan is not None and (loan.pending or loan.amount):
            return
        keep = _kept(now, loan)
        want = max(keep, REPORT_ONLY)
        if holds:
            surplus = min(self._lender.surplus(now, account, NO_BORROWER, self._quotas.plan.term_ms))
            want = WHOLE + surplus // SURPLUS_STEP
        requests.setdefault(to, {}).setdefault(key, BorrowEntry(key, keep, want, 0.0, 0.0))

    def _next_holder(self, key: int) -> int | None:
        """To whom of the other holders to report next."""
        others = self._quotas.holders[key]
        if not others:
            return None
        self._report_turn[key] = self._report_turn.get(key, self._quotas.me) + 1
        return others[self._report_turn[key] % len(others)]

    # Replies

    def receive_reply(self, now: int, sender: int, message: BorrowMessage) -> tuple[list[Send], bool]:
        """Returns what is to be sent, and whether anything was lent."""
        lent = False
        requests: Requests = {sender: {}}  # what is given back goes before what is asked for
        for entry in message.entries:
            taken, less = self._take_reply(now, sender, message, entry)
            lent |= taken and entry.amount > 0
            if less:  # its lender wants to hear that the rest is given back
                release = BorrowEntry(entry.key, entry.amount, 0, 0.0, 0.0)
                requests[sender][entry.key] = release
        for entry in message.entries:
            if 0 < entry.want <= self._quotas.size and entry.key in self._quotas.accounts:
                self._follow_suggestion(now, entry.key, entry.want - 1, requests)
        return self.send(now, {to: entries for to, entries in requests.items() if entries}), lent

    def _take_reply(
        self, now: int, sender: int, message: BorrowMessage, entry: BorrowEntry
    ) -> tuple[bool, bool]:
        """Whether the reply counts, and whether less is lent than was."""
        account = self._quotas.accounts.get(entry.key)
        if account is None:
            return False, False
        self._demand.receive(now, sender, entry)
        account.settle(now)
        loan = account.shares.borrowed.get(sender)
        before = loan.amount if loan is not None else 0
        if not account.shares.take_reply(now, sender, message.tag, entry.amount, message.lease_ms * 1000):
            return False, False
        account.changed(now)
        if not entry.amount or self._demand.own(account)[1] < self._demand.wanted(account):
            self._choice.avoid(entry.key, sender, now + min(SECOND, self._report_us))
        return True, entry.amount < before

    # Giving back

    def receive_recall(self, now: int, lender: int) -> list[Send]:
        """A lender shuts down: what it lent is given back, and it is not asked for a while."""
        requests: Requests = {}
        for key, account in self._quotas.accounts.items():
            account.settle(now)
            loan = account.shares.borrowed.get(lender)
            # even if nothing is left: a message may be lost
            if loan is not None and loan.lease.is_valid(now):
                self._choice.avoid(key, lender, now + AVOID_LENDER_US)
                self._asked_more.pop(key, None)
                requests.setdefault(lender, {})[key] = BorrowEntry(key, 0, 0, 0.0, 0.0)
        return self.send(now, requests, LEASE_OVERDRAFT_BYTES)

    def give_back_all(self, now: int) -> Requests:
        """What is to be sent so that every lender has back what it lent."""
        requests: Requests = {}
        for key, account in self._quotas.accounts.items():
            for lender, loan in account.shares.borrowed.items():
                if loan.amount and loan.lease.is_valid(now):
                    requests.setdefault(lender, {})[key] = BorrowEntry(key, 0, 0, 0.0, 0.0)
        return requests

    # Sending

    def send(self, now: int, requests: Requests, least: int = 0) -> list[Send]:
        """Those with the most to keep first; what there is no budget for waits."""
        sends: list[Send] = []
        order = sorted(requests, key=lambda n: -sum(map(_priority, requests[n].values())))
        for lender in order:
            entries = sorted(requests[lender].values(), key=_priority, reverse=True)[:MAX_BORROW_ENTRIES]
            if not self._budget.spend(now, HEAD.size + BORROW_ENTRY.size * len(entries), least):
                self._counts["no leave to ask"] += 1
                break
            sends.append((lender, self._request(now, lender, entries)))
        self._choice.prune(now)
        return sends

    def _request(self, now: int, lender: int, entries: list[BorrowEntry]) -> bytes:
        """A request as it leaves: from now on no more is used of each quota than it says is kept."""
        self._tag = next_tag(self._tag, now)
        stated = []
        for entry in entries:
            account = self._quotas.accounts[entry.key]
            amount = account.shares.request(now, lender, self._tag, entry.amount)
            account.shares.borrowed[lender].pending = _wants_reply(entry)
            if not self._quotas.is_holder(entry.key) and lender == self._demand.contact(entry.key):
                self._reported[entry.key] = now
            account.changed(now)
            demand, share = self._demand.report_to(entry.key, account, lender)
            stated.append(entry._replace(amount=amount, demand=demand, share=share))
        if any(map(_wants_reply, stated)):
            self._replies.requested(now, lender)
        version = self._quotas.plan.version
        layout = self._quotas.layout
        return encode(BorrowMessage(MessageType.BORROW_REQUEST, version, layout, self._tag, 0, stated))


def _wants_reply(entry: BorrowEntry) -> bool:
    return 0 < entry.want <= WHOLE


def _priority(entry: BorrowEntry) -> int:
    """What is sent first: what is kept, and what is wanted."""
    return max(entry.amount, entry.want // 4 if entry.want <= WHOLE else 0)


def _kept(now: int, loan: BorrowedShare | None) -> int:
    return loan.amount if loan is not None and loan.lease.is_valid(now) else 0
