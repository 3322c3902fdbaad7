"""One router's share of one quota: its own base share, less what it lent, and what it borrowed.

This is all that the bound stands on (docs/quota.md has the proof): at every moment what a borrower uses of a
borrowed share is no more than what its lender counts as lent. Amounts are whole parts of the quota, ``WHOLE``
being all of it; times are us of this router's own clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from slipbay.peer_channel.leases import ClockBounds, GrantedLease, HeldLease, startup_wait_us

WHOLE = 60_000
FOREVER = 2**62
SELF = -1  # in place of a router's number: what is this router's own for good
NO_LEASE = HeldLease(0, 0)
UNANSWERED_US = 2_000_000  # a reply that takes longer is not taken


@dataclass(slots=True)
class BorrowedShare:
    """What one lender lent to this router. Only the reply to the latest request counts."""

    tag: int = 0  # of the latest request
    requested_at: int = 0
    pending: bool = False  # its reply has not come
    amount: int = 0
    lease: HeldLease = NO_LEASE


@dataclass(slots=True)
class LentShare:
    """What one incarnation of a borrower may hold: the most of all replies whose leases are not over, as any
    of them may be the one that it received.
    """

    tag: int
    grants: list[tuple[int, GrantedLease]] = field(default_factory=list)

    def amount_out(self, now: int, clocks: ClockBounds) -> int:
        """The most that the borrower may use now."""
        return max(
            (amount for amount, granted in self.grants if not granted.has_ended(now, clocks)), default=0
        )


def base_shares(size: int, holders: int, reserve: float, first: int) -> list[int]:
    """What each router has of a quota.

    All have the same standing reserve; the rest is held, to use or lend, by some routers that lie evenly
    between all, from ``first`` on. Together they never have more than the whole.
    """
    count = min(size, holders)
    least = int(WHOLE * reserve / size)
    found = [least] * size
    for number in range(count):
        found[(first + number * size // count) % size] += (WHOLE - least * size) // count
    return found


class BaseShare(NamedTuple):
    """Of one router's base share, what this router may use and lend."""

    amount: int
    begins: int
    ends: int  # by then what is lent of it has surely ended


class Shares:
    """What is lent and borrowed of one quota. Every method is given the time; none goes back."""

    def __init__(self, clocks: ClockBounds, started: int, longest_us: int, base: int, reserve: int) -> None:
        """``longest_us``: the longest lease that any incarnation of this router may have granted. ``base``:
        what this router has for good; ``reserve``: of it, what no incarnation ever lends, so that a new one
        may use it at once.
        """
        self.clocks = clocks
        self.base = base
        self.reserve = reserve
        self.waits_until = started + startup_wait_us(longest_us, clocks)
        self.bases: dict[int, BaseShare] = {}  # by owner
        if base > reserve:
            self.bases[SELF] = BaseShare(base - reserve, self.waits_until, FOREVER)
        self.usable_from = started  # no base share is used or lent before
        self.borrowed: dict[int, BorrowedShare] = {}  # by lender
        self.lent: dict[tuple[int, int], LentShare] = {}  # by borrower and its incarnation

    def start_wait_over(self, now: int) -> bool:
        """Whether all that an earlier incarnation lent has come back."""
        return now >= self.waits_until

    def end_start_wait(self, now: int) -> None:
        """Nothing that an earlier incarnation lent is held any more."""
        self.waits_until = min(self.waits_until, now)
        self.bases = {
            owner: base._replace(begins=min(base.begins, now)) for owner, base in self.bases.items()
        }

    def set_bases(self, now: int, bases: Mapping[int, BaseShare]) -> None:
        """Base shares that are leased to this router, by owner; none is taken away before it ends."""
        self.bases = {
            owner: base._replace(begins=max(base.begins, self.usable_from)) for owner, base in bases.items()
        }
        self.base = self.reserve + sum(base.amount for base in bases.values())
        if bases:  # whatever earlier incarnations lent of any of them has ended
            self.waits_until = min(self.waits_until, max(now, self.usable_from))

    def lent_out(self, now: int, beside: tuple[int, int] | None = None) -> int:
        """What is lent, but for one borrower."""
        return sum(lent.amount_out(now, self.clocks) for who, lent in self.lent.items() if who != beside)

    def borrowers(self, now: int) -> set[int]:
        """Routers that may use something of what is lent."""
        return {who for (who, _), lent in self.lent.items() if lent.amount_out(now, self.clocks)}

    def usable(self, now: int) -> tuple[int, int]:
        """What may be used now, and the next moment at which that changes by itself."""
        own = self.reserve
        until = FOREVER if self.start_wait_over(now) else self.waits_until
        for base in self.bases.values():
            if base.begins <= now < base.ends:
                own += base.amount
            if now < base.ends:
                until = min(until, base.begins if now < base.begins else base.ends)
        if self.lent:
            until = min(until, self._drop_ended_grants(now))
            own = max(0, own - self.lent_out(now))
        for loan in self.borrowed.values():
            if loan.amount and loan.lease.is_valid(now):
                own += loan.amount
                until = min(until, loan.lease.ends_us)
        return own, until

    def _drop_ended_grants(self, now: int) -> int:
        """Returns when the next of those that are left ends."""
        until = FOREVER
        for lent in self.lent.values():
            lent.grants = [grant for grant in lent.grants if not grant[1].has_ended(now, self.clocks)]
            for _, granted in lent.grants:
                until = min(until, granted.granted_us + self.clocks.safe_wait_us(granted.length_us))
        return until

    # As a borrower

    def request(self, now: int, lender: int, tag: int, keep: int) -> int:
        """A request is about to leave; from now on no more than ``keep`` is used of what the lender lent.

        Returns what the request may say is kept.
        """
        loan = self.borrowed.setdefault(lender, BorrowedShare())
        loan.amount = min(loan.amount, keep) if loan.lease.is_valid(now) else 0
        loan.tag = tag
        loan.requested_at = now
        loan.pending = True
        return loan.amount

    def take_reply(self, _now: int, lender: int, tag: int, amount: int, length: int) -> bool:
        """The lender's reply; one to any other request than the latest changes nothing.

        ``_now`` is not needed, as the lease counts from the request; each event is given the time.
        """
        loan = self.borrowed.get(lender)
        if loan is None or not loan.pending or loan.tag != tag or amount > WHOLE:
            return False
        loan.pending = False
        loan.amount = amount
        loan.lease = HeldLease(loan.requested_at, length)
        return True

    # As a lender

    def take_request(self, now: int, borrower: tuple[int, int], tag: int, keep: int) -> bool:
        """A borrower's request says what it keeps. False for one that came late or twice."""
        lent = self.lent.get(borrower)
        if lent is None:
            lent = self.lent[borrower] = LentShare(tag)
        elif not later(tag, lent.tag):
            return False
        lent.tag = tag
        lent.grants = [
            (min(amount, keep), granted)
            for amount, granted in lent.grants
            if not granted.has_ended(now, self.clocks)
        ]
        return True

    def lend(self, now: int, borrower: tuple[int, int], amount: int, length: int) -> None:
        """The reply to a request that was just taken. The caller keeps to ``lendable``."""
        self.lent[borrower].grants.append((amount, GrantedLease(now, length)))

    def lendable(self, now: int, borrower: tuple[int, int], length: int) -> int:
        """What may be lent to a borrower in all for ``length`` us: of base shares that are leased to this
        router until that has surely ended, and of none before all is back that an earlier incarnation lent.
        """
        end = now + self.clocks.safe_wait_us(length)
        lasting = sum(base.amount for base in self.bases.values() if base.begins <= now and end <= base.ends)
        return max(0, lasting - self.lent_out(now, borrower))

    def all_back_at(self, now: int) -> int:
        """When all that is lent has surely ended."""
        return max(
            (
                granted.granted_us + self.clocks.safe_wait_us(granted.length_us)
                for lent in self.lent.values()
                for amount, granted in lent.grants
                if amount
            ),
            default=now,
        )

    def prune(self, now: int) -> None:
        """Drop what has ended, on both sides.

        Requests older than a lease say nothing new: one that comes so late is granted anew, and its reply is
        not taken.
        """
        for who, lent in list(self.lent.items()):
            if all(granted.has_ended(now, self.clocks) for _, granted in lent.grants):
                del self.lent[who]
        for lender, loan in list(self.borrowed.items()):
            if not loan.lease.is_valid(now) and now - loan.requested_at > UNANSWERED_US:
                del self.borrowed[lender]


def later(tag: int, than: int) -> bool:
    """Which of two request tags, which wrap at 32 bits, is later."""
    return 0 < (tag - than) % 2**32 < 2**31
