"""Builds the status of a router's quotas that ``slipbay quota status --json`` prints.

Operators' scripts read the keys, so they must not change. Times are in s, shares are fractions of the quota.
"""

from __future__ import annotations

from slipbay.quota.account import QuotaAccount
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.leases.granter import NO_ROUTER
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.shares import SHARE_UNITS

SECOND = 1e6


def build_status(machine: BorrowingStateMachine, name: str, now: int) -> dict[str, object]:
    """Return the status; ``name`` is the router's name, ``now`` the time in us of its clock."""
    return {
        "name": name,
        "number": machine.local_router,
        "configured": machine.router_count,
        "version": machine.plan.version,
        "versions": sorted(set(machine.peer_versions.values())),
        "quotas": {account.quota.name: _account(account, now) for account in machine.accounts.values()},
        "tenure": _leases(machine.leases, now) if machine.leases is not None else None,
        "counts": dict(machine.counts),
    }


def _account(account: QuotaAccount, now: int) -> dict[str, object]:
    account.advance(now)
    shares = account.shares
    return {
        "rate": account.quota.rate,
        "burst": account.quota.burst,
        "asked": round(account.demand, 2),
        "share": _quota_fraction(account.share_units),
        "home": _quota_fraction(shares.base),
        "tokens": round(account.bucket.tokens, 2),
        "open": account.open,
        "awake": shares.is_start_wait_over(now),
        "counts": dict(account.counts),
        "lent": {
            str(borrower): _quota_fraction(amount)
            for (borrower, _), lent in shares.lent.items()
            if (amount := lent.outstanding(now, shares.clocks))
        },
        "borrowed": {
            str(lender): [
                _quota_fraction(borrowed_share.amount),
                round((now - borrowed_share.requested_at) / SECOND, 2),
            ]
            for lender, borrowed_share in shares.borrowed.items()
            if borrowed_share.amount and borrowed_share.lease.is_valid(now)
        },
    }


def _leases(leases: LeaseManager, now: int) -> dict[str, object]:
    held = leases.held(now)
    granter = leases.granter
    return {
        "wardens": leases.group,
        "waits": now < granter.waits_until_us,
        "homes": {str(owner): round((ends - now) / SECOND, 2) for owner, ends in held.items()},
        "wanted": sorted(set(leases.wanted) - set(held)),
        "promised": {
            str(owner): holder
            for owner in granter.records
            if (holder := granter.remaining(now, owner)[0]) != NO_ROUTER
        },
        "counts": dict(leases.messages.counts),
    }


def _quota_fraction(amount: int) -> float:
    return round(amount / SHARE_UNITS, 4)
