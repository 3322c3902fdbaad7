"""Collects reports of the routers' demand for each quota, and of the surplus that they can lend."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from random import Random

from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.codec import BorrowEntry
from slipbay.quota.peer_replies import PeerReplies
from slipbay.quota.plan import key_of
from slipbay.quota.shares import SHARE_UNITS

SECOND = 1_000_000
MAX_SHARE_PER_DEMAND = 1.15  # a router wants at most this multiple of its demand
SURPLUS_STEP = 12  # holders report their surplus as a multiple of this many share units
MAX_MISSED_REPLIES = 5  # with more missed replies a contact is replaced by the next one
MAX_REPORTED_DEMAND = 50_000.0  # in even shares; fits a 16-bit float
NO_SUGGESTION = -1


@dataclass(slots=True)
class DemandReport:
    """Demand and share that a router reported, in even shares."""

    demand: float
    share: float
    at_us: int
    surplus: int = 0  # share units that a holder can lend


class DemandPool:
    """Reports of other routers on each quota. Demands and shares are in even shares, times in us.

    A router that holds no base share of a quota (a client) reports to one holder, its contact. Holders report
    the sums of their clients and themselves to each other. So each router counts once.
    """

    def __init__(
        self, quotas: QuotaAccounts, replies: PeerReplies, random: Random, max_report_age_us: int
    ) -> None:
        """Reports expire after ``max_report_age_us``."""
        self._quotas = quotas
        self._replies = replies
        self._random = random
        self._max_report_age_us = max_report_age_us
        self._client_reports: dict[int, dict[int, DemandReport]] = {}  # by key and router
        self._holder_reports: dict[int, dict[int, DemandReport]] = {}  # by key and holder
        self._active_at_us: dict[int, int] = {}  # by key, when any router last had demand
        self.sends_reports = False  # whether this router sends reports, as it lends and borrows as usual
        self.is_base_expected = quotas.leases is not None  # whether its base share will soon be leased to it

    def update(self, now: int, sends_reports: bool) -> None:
        """Update the state at a tick. ``sends_reports`` tells whether this router sends reports now."""
        self.sends_reports = sends_reports
        leases = self._quotas.leases
        if leases is not None:
            held = self._quotas.local_router in self._quotas.held
            self.is_base_expected &= not held and now < leases.granter.waits_until_us + leases.lease_us

    def prune(self, now: int, key: int) -> None:
        """Drop expired reports on a quota."""
        for reports in (self._client_reports.get(key), self._holder_reports.get(key)):
            if reports:
                for router in [n for n, one in reports.items() if now - one.at_us > self._max_report_age_us]:
                    del reports[router]

    def mark_active(self, now: int, key: int) -> None:
        """Record that there is demand for a quota."""
        self._active_at_us[key] = now

    def is_active(self, now: int, key: int) -> bool:
        """Return whether any router recently had demand for a quota."""
        return now - self._active_at_us.get(key, 0) < self._max_report_age_us

    def receive(self, now: int, sender: int, entry: BorrowEntry) -> None:
        """Record the report in a borrow request or reply."""
        if entry.demand:
            self._active_at_us[entry.key] = now  # not for a report of a share without demand
        reports = self._holder_reports if sender in self._quotas.holders[entry.key] else self._client_reports
        if not entry.share:
            reports.get(entry.key, {}).pop(sender, None)  # the sender reports to another holder
            return
        surplus = max(0, entry.want - SHARE_UNITS) * SURPLUS_STEP
        reports.setdefault(entry.key, {})[sender] = DemandReport(entry.demand, entry.share, now, surplus)

    def local_report(self, account: QuotaAccount) -> tuple[float, float]:
        """Return this router's demand and share."""
        demand = min(account.demand / account.even_rate, MAX_REPORTED_DEMAND)
        return demand, account.share_units / self._quotas.even_share

    def _local_sums(self, key: int, account: QuotaAccount) -> tuple[float, float]:
        """Return the sums of demand and share over this holder and its clients."""
        clients = self._client_reports.get(key, {}).values()
        base = account.shares.base
        # Count the base share before it is leased. Otherwise all routers would compute with a smaller total
        # until they receive new reports of every router.
        if self.is_base_expected:
            base = account.shares.reserve + self._quotas.bases[key][self._quotas.local_router]
        return (
            self.local_report(account)[0] + sum(one.demand for one in clients),
            base / self._quotas.even_share + sum(one.share for one in clients),
        )

    def _fleet_sums(self, key: int, account: QuotaAccount) -> tuple[float, float]:
        """Return the known demand and share of the fleet."""
        holders = self._holder_reports.get(key, {}).values()
        demand, share = self._local_sums(key, account) if self._quotas.is_holder(key) else (0.0, 0.0)
        spare = sum(one.surplus for one in holders) / self._quotas.even_share
        return demand + sum(one.demand for one in holders), share + sum(one.share for one in holders) + spare

    def share_per_demand(self, account: QuotaAccount) -> float:
        """Return the fleet's share per demand, which each router should have."""
        demand, share = self._fleet_sums(key_of(account.quota.name), account)
        return share / demand if demand > 0 and share > 0 else MAX_SHARE_PER_DEMAND

    def wanted_share(self, account: QuotaAccount) -> float:
        """Return the share that this router should have for its demand."""
        return min(MAX_SHARE_PER_DEMAND, self.share_per_demand(account)) * self.local_report(account)[0]

    def demand_noise(self, account: QuotaAccount) -> float:
        """Return the standard deviation of this router's measured demand."""
        return sqrt(account.demand * SECOND / account.meter.mean_us / 2) / account.even_rate

    def report_for(self, key: int, account: QuotaAccount, to: int) -> tuple[float, float]:
        """Return the demand and share to report to another router.

        A holder reports its sums to other holders, and the known totals of the fleet to clients. A client
        reports to its contact alone.
        """
        if not self.sends_reports:
            return 0.0, 0.0
        if self._quotas.is_holder(key):
            return (
                self._local_sums(key, account)
                if to in self._quotas.holders[key]
                else self._fleet_sums(key, account)
            )
        if to != self.contact(key):
            return 0.0, 0.0
        return self.local_report(account)[0], account.shares.base / self._quotas.even_share

    def contact(self, key: int) -> int | None:
        """Return the holder that this router reports to and requests shares from first."""
        contacts = self._quotas.contacts[key]
        unresponsive = self._replies.unresponsive
        preferred = contacts[0] if contacts else None
        return next((n for n in contacts if unresponsive.get(n, 0) <= MAX_MISSED_REPLIES), preferred)

    def surpluses(self, key: int) -> dict[int, int]:
        """Return the surplus that each responsive holder reported, in share units."""
        return {
            n: one.surplus
            for n, one in self._holder_reports.get(key, {}).items()
            if one.surplus and n not in self._replies.unresponsive
        }

    def suggest_lender(self, key: int, borrower: int, lack: int) -> int:
        """Return another holder that probably has a surplus; ``NO_SUGGESTION`` if none is known."""
        surpluses = self.surpluses(key)
        surpluses.pop(borrower, None)
        if not surpluses:
            return NO_SUGGESTION
        lender = self._random.choices(list(surpluses), list(surpluses.values()))[0]
        self._holder_reports[key][lender].surplus = max(0, surpluses[lender] - lack)
        return lender
