"""The granter's side of leases on base shares: one holder at a time (docs/quota.md has the proof)."""

from __future__ import annotations

from dataclasses import dataclass

from slipbay.peer_channel.leases import ClockBounds, GrantedLease, startup_wait_us
from slipbay.quota.shares import is_later_tag

NO_ROUTER = 2**16 - 1


@dataclass(slots=True)
class LeaseRecord:
    """The latest lease on one base share, with the router and incarnation that it was granted to."""

    holder: tuple[int, int]
    tag: int  # tag of the latest request that was processed
    grant: GrantedLease


class LeaseGranter:
    """Grants each base share to one incarnation of one router at a time.

    Times are in us of the local router's clock.
    """

    def __init__(self, clocks: ClockBounds, started_us: int, max_lease_us: int) -> None:
        """``max_lease_us`` is the longest lease that any incarnation of this router may have granted."""
        self.clocks = clocks
        self.waits_until_us = started_us + startup_wait_us(max_lease_us, clocks)
        self.records: dict[int, LeaseRecord] = {}

    def grant(self, now: int, owner: int, holder: tuple[int, int], tag: int, lease_us: int) -> bool:
        """Grant the base share to ``holder`` for ``lease_us`` us from now on, or until its current lease ends
        if that is later. Return whether it is granted.
        """
        record = self.records.get(owner)
        if now < self.waits_until_us:
            return False
        if record is not None and record.holder == holder and not is_later_tag(tag, record.tag):
            return False
        grant = GrantedLease(now, lease_us)
        if record is not None and not record.grant.has_ended(now, self.clocks):
            if record.holder != holder:
                return False
            grant = max(record.grant, grant, key=self._ends_us)
        self.records[owner] = LeaseRecord(holder, tag, grant)
        return True

    def _ends_us(self, grant: GrantedLease) -> int:
        return grant.granted_us + self.clocks.safe_wait_us(grant.length_us)

    def release(self, owner: int, holder: tuple[int, int], tag: int) -> None:
        """Drop a lease that its holder released. A message older than the holder's latest request is
        ignored.
        """
        record = self.records.get(owner)
        if record is not None and record.holder == holder and is_later_tag(tag, record.tag):
            del self.records[owner]

    def shorten(self, now: int, owner: int, holder: tuple[int, int], tag: int, lease_us: int) -> None:
        """Shorten a lease: its holder uses it for no more than ``lease_us`` us after it sent the message."""
        record = self.records.get(owner)
        if record is not None and record.holder == holder and is_later_tag(tag, record.tag):
            grant = min(record.grant, GrantedLease(now, lease_us), key=self._ends_us)
            self.records[owner] = LeaseRecord(holder, tag, grant)

    def remaining(self, now: int, owner: int) -> tuple[int, int]:
        """Return the router to which a base share is granted, or ``NO_ROUTER``, and the remaining us."""
        if now < self.waits_until_us:
            return NO_ROUTER, self.waits_until_us - now
        record = self.records.get(owner)
        if record is None or record.grant.has_ended(now, self.clocks):
            return NO_ROUTER, 0
        return record.holder[0], self._ends_us(record.grant) - now
