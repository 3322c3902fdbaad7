"""A router's share of a quota: its base share minus the lent shares plus the borrowed shares.

The quota's upper bound depends on this module (docs/quota.md has the proof): at any time a borrower uses no
more of a borrowed share than its lender counts as lent. Amounts are integers in share units; a quota has
``SHARE_UNITS`` of them. Times are in us of the local router's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from slipbay.peer_channel.leases import ClockBounds, GrantedLease, HeldLease, startup_wait_us

SHARE_UNITS = 60_000  # share units in a quota
FOREVER = 2**62
SELF = -1  # in place of a router's number: the base share that the local router owns without a lease
NO_LEASE = HeldLease(0, 0)
REPLY_TIMEOUT_US = 2_000_000  # later replies are ignored


@dataclass(slots=True)
class BorrowedShare:
    """A share that one lender lent to this router. Replies to earlier requests are ignored."""

    tag: int = 0  # tag of the latest request
    requested_at: int = 0
    pending: bool = False  # whether its reply has not arrived yet
    amount: int = 0
    lease: HeldLease = NO_LEASE


@dataclass(slots=True)
class LentShare:
    """A share that is lent to one incarnation of a borrower.

    It counts as the maximum of all grants whose leases have not ended, as the borrower may have received any
    of these replies.
    """

    tag: int
    grants: list[tuple[int, GrantedLease]] = field(default_factory=list)

    def outstanding(self, now: int, clocks: ClockBounds) -> int:
        """Return the maximum amount that the borrower may use now."""
        return max(
            (amount for amount, granted in self.grants if not granted.has_ended(now, clocks)), default=0
        )


def base_shares(router_count: int, holders: int, reserve: float, first: int) -> list[int]:
    """Return each router's base share of a quota, in share units.

    Each router has the same reserve. The rest is divided among ``holders`` routers, which may use and lend
    it; they are evenly spaced, beginning with router ``first``. The sum never exceeds ``SHARE_UNITS``.
    """
    count = min(router_count, holders)
    reserve_units = int(SHARE_UNITS * reserve / router_count)
    amounts = [reserve_units] * router_count
    for position in range(count):
        amounts[(first + position * router_count // count) % router_count] += (
            SHARE_UNITS - reserve_units * router_count
        ) // count
    return amounts


class BaseShare(NamedTuple):
    """A base share that the local router may use and lend, without the reserve of its owner."""

    amount: int
    starts_us: int
    ends_us: int  # by then the shares lent from it have surely ended


class Shares:
    """Lent and borrowed shares of one quota. The caller passes the time, which never decreases."""

    def __init__(
        self, clocks: ClockBounds, started_us: int, max_lease_us: int, base: int, reserve: int
    ) -> None:
        """``max_lease_us`` is the longest lease that any incarnation of this router may have granted.

        ``base`` is the share that this router has without a lease. ``reserve`` is the fraction of it, in
        share units, that no incarnation ever lends, so that a new incarnation may use it at once.
        """
        self.clocks = clocks
        self.base = base
        self.reserve = reserve
        self.waits_until_us = started_us + startup_wait_us(max_lease_us, clocks)
        self.bases: dict[int, BaseShare] = {}  # by owner
        if base > reserve:
            self.bases[SELF] = BaseShare(base - reserve, self.waits_until_us, FOREVER)
        self.usable_from_us = started_us  # no base share is used or lent before this time
        self.borrowed: dict[int, BorrowedShare] = {}  # by lender
        self.lent: dict[tuple[int, int], LentShare] = {}  # by borrower and its incarnation

    def is_start_wait_over(self, now: int) -> bool:
        """Return whether all shares that an earlier incarnation lent have ended."""
        return now >= self.waits_until_us

    def end_start_wait(self, now: int) -> None:
        """End the wait after the start: no share that an earlier incarnation lent is held any more."""
        self.waits_until_us = min(self.waits_until_us, now)
        self.bases = {
            owner: base._replace(starts_us=min(base.starts_us, now)) for owner, base in self.bases.items()
        }

    def set_bases(self, now: int, bases: Mapping[int, BaseShare]) -> None:
        """Set the base shares that are leased to this router, by owner; a share is only removed after its
        end.
        """
        self.bases = {
            owner: base._replace(starts_us=max(base.starts_us, self.usable_from_us))
            for owner, base in bases.items()
        }
        self.base = self.reserve + sum(base.amount for base in bases.values())
        if bases:  # shares that earlier incarnations lent from any of them have ended
            self.waits_until_us = min(self.waits_until_us, max(now, self.usable_from_us))

    def lent_out(self, now: int, except_borrower: tuple[int, int] | None = None) -> int:
        """Return the amount that is lent to all borrowers except ``except_borrower``."""
        return sum(
            lent.outstanding(now, self.clocks)
            for borrower, lent in self.lent.items()
            if borrower != except_borrower
        )

    def borrowers(self, now: int) -> set[int]:
        """Return the routers that may still use a lent share."""
        return {borrower for (borrower, _), lent in self.lent.items() if lent.outstanding(now, self.clocks)}

    def usable(self, now: int) -> tuple[int, int]:
        """Return the amount that this router may use now, and the next time when it changes by itself."""
        usable_units = self.reserve
        until_us = FOREVER if self.is_start_wait_over(now) else self.waits_until_us
        for base in self.bases.values():
            if base.starts_us <= now < base.ends_us:
                usable_units += base.amount
            if now < base.ends_us:
                until_us = min(until_us, base.starts_us if now < base.starts_us else base.ends_us)
        if self.lent:
            until_us = min(until_us, self._drop_ended_grants(now))
            usable_units = max(0, usable_units - self.lent_out(now))
        for borrowed_share in self.borrowed.values():
            if borrowed_share.amount and borrowed_share.lease.is_valid(now):
                usable_units += borrowed_share.amount
                until_us = min(until_us, borrowed_share.lease.ends_us)
        return usable_units, until_us

    def _drop_ended_grants(self, now: int) -> int:
        """Drop grants that have ended. Return when the next of the remaining grants ends."""
        until_us = FOREVER
        for lent in self.lent.values():
            lent.grants = [grant for grant in lent.grants if not grant[1].has_ended(now, self.clocks)]
            for _, granted in lent.grants:
                until_us = min(until_us, granted.granted_us + self.clocks.safe_wait_us(granted.length_us))
        return until_us

    # As a borrower

    def record_borrow_request(self, now: int, lender: int, tag: int, kept: int) -> int:
        """Record a request before it is sent. From now on this router uses no more than ``kept`` of the
        lender's share.

        Returns the amount that the request may report as kept.
        """
        borrowed_share = self.borrowed.setdefault(lender, BorrowedShare())
        borrowed_share.amount = min(borrowed_share.amount, kept) if borrowed_share.lease.is_valid(now) else 0
        borrowed_share.tag = tag
        borrowed_share.requested_at = now
        borrowed_share.pending = True
        return borrowed_share.amount

    def accept_reply(self, _now: int, lender: int, tag: int, amount: int, lease_us: int) -> bool:
        """Process a lender's reply. Return False, and change nothing, if it is not to the latest request.

        The lease counts from the request, so ``_now`` is unused; it is a parameter as in all event methods.
        """
        borrowed_share = self.borrowed.get(lender)
        if (
            borrowed_share is None
            or not borrowed_share.pending
            or borrowed_share.tag != tag
            or amount > SHARE_UNITS
        ):
            return False
        borrowed_share.pending = False
        borrowed_share.amount = amount
        borrowed_share.lease = HeldLease(borrowed_share.requested_at, lease_us)
        return True

    # As a lender

    def accept_request(self, now: int, borrower: tuple[int, int], tag: int, kept: int) -> bool:
        """Process the amount that a borrower keeps. Return False if the request is late or a duplicate."""
        lent = self.lent.get(borrower)
        if lent is None:
            lent = self.lent[borrower] = LentShare(tag)
        elif not is_later_tag(tag, lent.tag):
            return False
        lent.tag = tag
        lent.grants = [
            (min(amount, kept), granted)
            for amount, granted in lent.grants
            if not granted.has_ended(now, self.clocks)
        ]
        return True

    def lend(self, now: int, borrower: tuple[int, int], amount: int, lease_us: int) -> None:
        """Record the grant in the reply to an accepted request; ``amount`` must not exceed ``lendable``."""
        self.lent[borrower].grants.append((amount, GrantedLease(now, lease_us)))

    def lendable(self, now: int, borrower: tuple[int, int], lease_us: int) -> int:
        """Return the total amount that may be lent to a borrower for ``lease_us`` us.

        Only base shares count that are leased to this router until the borrower's lease has surely ended, and
        none before all shares that an earlier incarnation lent have ended.
        """
        end = now + self.clocks.safe_wait_us(lease_us)
        lasting = sum(
            base.amount for base in self.bases.values() if base.starts_us <= now and end <= base.ends_us
        )
        return max(0, lasting - self.lent_out(now, borrower))

    def all_returned_at(self, now: int) -> int:
        """Return when all lent shares have surely ended."""
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
        """Drop lent and borrowed shares that have ended.

        This also forgets the tags of the latest requests. A duplicate that arrives so late is granted as a
        new request, and its borrower ignores the reply.
        """
        for borrower, lent in list(self.lent.items()):
            if all(granted.has_ended(now, self.clocks) for _, granted in lent.grants):
                del self.lent[borrower]
        for lender, borrowed_share in list(self.borrowed.items()):
            if (
                not borrowed_share.lease.is_valid(now)
                and now - borrowed_share.requested_at > REPLY_TIMEOUT_US
            ):
                del self.borrowed[lender]


def is_later_tag(tag: int, than: int) -> bool:
    """Return whether a request tag is later than another; tags wrap at 32 bits."""
    return 0 < (tag - than) % 2**32 < 2**31
