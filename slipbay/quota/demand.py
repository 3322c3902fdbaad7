"""Who wants how much of a quota, and who can spare some, as far as this router knows."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from random import Random

from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.codec import BorrowEntry
from slipbay.quota.peer_replies import PeerReplies
from slipbay.quota.plan import key_of
from slipbay.quota.shares import WHOLE

SECOND = 1_000_000
MAX_SHARE_PER_DEMAND = 1.15  # times its demand that a router wants, where there is enough
SURPLUS_STEP = 12  # parts of the whole, in which holders report their surplus
MAX_MISSED_REPLIES = 5  # that a contact owes; beyond, the next takes its place
MAX_REPORTED_DEMAND = 50_000.0  # even shares: fits a 16-bit float
NO_SUGGESTION = -1


@dataclass(slots=True)
class DemandReport:
    """What a router said of itself, in even shares."""

    demand: float
    share: float
    at: int
    surplus: int = 0  # parts of the whole that a holder can do without


class DemandPool:
    """Reports of other routers on each quota. Demands and shares are in even shares, times in us.

    Routers that are no holders report to one contact, a holder; holders report their sums to each other. So
    no
    router counts twice.
    """

    def __init__(
        self, quotas: QuotaAccounts, replies: PeerReplies, random: Random, report_age_us: int
    ) -> None:
        """``report_age_us``: for so long a report counts."""
        self._quotas = quotas
        self._replies = replies
        self._random = random
        self._report_age_us = report_age_us
        self._clients: dict[int, dict[int, DemandReport]] = {}  # by key and router
        self._holders: dict[int, dict[int, DemandReport]] = {}  # what holders said
        self._active: dict[int, int] = {}  # by key, when something was last asked for, here or elsewhere
        self.reports = False  # whether this router reports: it lends and borrows as usual
        self.base_expected = quotas.leases is not None  # its base share is not leased to it yet, but soon

    def update(self, now: int, reports: bool) -> None:
        """``reports``: whether this router reports from now on."""
        self.reports = reports
        leases = self._quotas.leases
        if leases is not None:
            held = self._quotas.me in self._quotas.held
            self.base_expected &= not held and now < leases.granter.waits_until + leases.lease_us

    def prune(self, now: int, key: int) -> None:
        """Drop reports on a quota that are too old."""
        for table in (self._clients.get(key), self._holders.get(key)):
            if table:
                for number in [n for n, one in table.items() if now - one.at > self._report_age_us]:
                    del table[number]

    def mark_active(self, now: int, key: int) -> None:
        """Something is asked for of a quota."""
        self._active[key] = now

    def is_active(self, now: int, key: int) -> bool:
        """Whether something was asked for of a quota of late, here or elsewhere."""
        return now - self._active.get(key, 0) < self._report_age_us

    def receive(self, now: int, sender: int, entry: BorrowEntry) -> None:
        """Take in the report that comes with a borrow request or reply."""
        if entry.demand:
            self._active[entry.key] = now  # who is asked for nothing reports its share, too
        table = self._holders if sender in self._quotas.holders[entry.key] else self._clients
        if not entry.share:
            table.get(entry.key, {}).pop(sender, None)  # it counts elsewhere
            return
        surplus = max(0, entry.want - WHOLE) * SURPLUS_STEP
        table.setdefault(entry.key, {})[sender] = DemandReport(entry.demand, entry.share, now, surplus)

    def own(self, account: QuotaAccount) -> tuple[float, float]:
        """This router's demand and share."""
        demand = min(account.demand / account.even_rate, MAX_REPORTED_DEMAND)
        return demand, account.share / self._quotas.even

    def _sums(self, key: int, account: QuotaAccount) -> tuple[float, float]:
        """Demand and share of this holder, and of those who report to it."""
        clients = self._clients.get(key, {}).values()
        base = account.shares.base
        if self.base_expected:  # else all go by what all lacked, until they have heard of each anew
            base = account.shares.reserve + self._quotas.bases[key][self._quotas.me]
        return (
            self.own(account)[0] + sum(one.demand for one in clients),
            base / self._quotas.even + sum(one.share for one in clients),
        )

    def _pooled(self, key: int, account: QuotaAccount) -> tuple[float, float]:
        """Demand and share of the fleet, as far as they are known."""
        holders = self._holders.get(key, {}).values()
        demand, share = self._sums(key, account) if self._quotas.is_holder(key) else (0.0, 0.0)
        idle = sum(one.surplus for one in holders) / self._quotas.even
        return demand + sum(one.demand for one in holders), share + sum(one.share for one in holders) + idle

    def ratio(self, account: QuotaAccount) -> float:
        """Share for demand over the fleet, which each router should have."""
        demand, share = self._pooled(key_of(account.quota.name), account)
        return share / demand if demand > 0 and share > 0 else MAX_SHARE_PER_DEMAND

    def wanted(self, account: QuotaAccount) -> float:
        """The share that is due to this router's demand."""
        return min(MAX_SHARE_PER_DEMAND, self.ratio(account)) * self.own(account)[0]

    def noise(self, account: QuotaAccount) -> float:
        """How far chance moves this router's demand."""
        return sqrt(account.demand * SECOND / account.meter.memory_us / 2) / account.even_rate

    def report_to(self, key: int, account: QuotaAccount, to: int) -> tuple[float, float]:
        """Demand and share as reported to another router.

        A holder reports its sums to other holders, and to others all that it knows; others report to their
        contact alone.
        """
        if not self.reports:
            return 0.0, 0.0
        if self._quotas.is_holder(key):
            return self._sums(key, account) if to in self._quotas.holders[key] else self._pooled(key, account)
        if to != self.contact(key):
            return 0.0, 0.0
        return self.own(account)[0], account.shares.base / self._quotas.even

    def contact(self, key: int) -> int | None:
        """The holder that this router reports to, and turns to first."""
        contacts = self._quotas.contacts[key]
        missed = self._replies.missed
        first = contacts[0] if contacts else None
        return next((n for n in contacts if missed.get(n, 0) <= MAX_MISSED_REPLIES), first)

    def surpluses(self, key: int) -> dict[int, int]:
        """What holders reported that they can do without, in parts of the whole."""
        return {
            n: one.surplus
            for n, one in self._holders.get(key, {}).items()
            if one.surplus and n not in self._replies.missed
        }

    def suggest_lender(self, key: int, borrower: int, lack: int) -> int:
        """Another holder that is likely to have a surplus; ``NO_SUGGESTION`` if none is known."""
        surpluses = self.surpluses(key)
        surpluses.pop(borrower, None)
        if not surpluses:
            return NO_SUGGESTION
        found = self._random.choices(list(surpluses), list(surpluses.values()))[0]
        self._holders[key][found].surplus = max(0, surpluses[found] - lack)
        return found
