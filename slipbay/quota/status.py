"""What a router holds of each quota, as ``slipbay quota status --json`` prints it.

Operators' scripts read the keys, so they stay as they are. Times are in s, shares are parts of the quota.
"""

from __future__ import annotations

from slipbay.quota.account import QuotaAccount
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.leases.granter import NOBODY
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.shares import WHOLE

SECOND = 1e6


def status_of(machine: BorrowingStateMachine, name: str, now: int) -> dict[str, object]:
    """``name``: of the router. ``now``: in us of its clock."""
    return {
        "name": name,
        "number": machine.me,
        "configured": machine.size,
        "version": machine.plan.version,
        "versions": sorted(set(machine.peer_versions.values())),
        "quotas": {account.quota.name: _account(account, now) for account in machine.accounts.values()},
        "tenure": _leases(machine.leases, now) if machine.leases is not None else None,
        "counts": dict(machine.counts),
    }


def _account(account: QuotaAccount, now: int) -> dict[str, object]:
    account.settle(now)
    shares = account.shares
    return {
        "rate": account.quota.rate,
        "burst": account.quota.burst,
        "asked": round(account.demand, 2),
        "share": _part(account.share),
        "home": _part(shares.base),
        "tokens": round(account.bucket.tokens, 2),
        "open": account.open,
        "awake": shares.start_wait_over(now),
        "counts": dict(account.counts),
        "lent": {
            str(borrower): _part(amount)
            for (borrower, _), lent in shares.lent.items()
            if (amount := lent.amount_out(now, shares.clocks))
        },
        "borrowed": {
            str(lender): [_part(loan.amount), round((now - loan.requested_at) / SECOND, 2)]
            for lender, loan in shares.borrowed.items()
            if loan.amount and loan.lease.is_valid(now)
        },
    }


def _leases(leases: LeaseManager, now: int) -> dict[str, object]:
    held = leases.held(now)
    granter = leases.granter
    return {
        "wardens": leases.group,
        "waits": now < granter.waits_until,
        "homes": {str(owner): round((ends - now) / SECOND, 2) for owner, ends in held.items()},
        "wanted": sorted(set(leases.wanted) - set(held)),
        "promised": {
            str(owner): holder
            for owner in granter.records
            if (holder := granter.remaining(now, owner)[0]) != NOBODY
        },
        "counts": dict(leases.messages.counts),
    }


def _part(amount: int) -> float:
    return round(amount / WHOLE, 4)
