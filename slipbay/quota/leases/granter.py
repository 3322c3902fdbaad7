"""The granting side of leases on base shares: one holder at a time (docs/quota.md has the proof)."""

from __future__ import annotations

from dataclasses import dataclass

from slipbay.peer_channel.leases import ClockBounds, GrantedLease, startup_wait_us
from slipbay.quota.shares import later

NOBODY = 2**16 - 1


@dataclass(slots=True)
class LeaseRecord:
    """To which router and incarnation one base share is granted."""

    holder: tuple[int, int]
    tag: int  # of the latest request that was taken
    grant: GrantedLease


class LeaseGranter:
    """Grants each base share to one incarnation of one router at a time. Times are us of its own clock."""

    def __init__(self, clocks: ClockBounds, started: int, longest_us: int) -> None:
        """``longest_us``: the longest lease that any incarnation of this router may have granted."""
        self.clocks = clocks
        self.waits_until = started + startup_wait_us(longest_us, clocks)
        self.records: dict[int, LeaseRecord] = {}

    def grant(self, now: int, owner: int, holder: tuple[int, int], tag: int, length: int) -> bool:
        """Whether the base share is granted to ``holder`` from now on for ``length`` us, or longer if it
        was.
        """
        record = self.records.get(owner)
        if now < self.waits_until:
            return False
        if record is not None and record.holder == holder and not later(tag, record.tag):
            return False
        grant = GrantedLease(now, length)
        if record is not None and not record.grant.has_ended(now, self.clocks):
            if record.holder != holder:
                return False
            grant = max(record.grant, grant, key=self._ends)
        self.records[owner] = LeaseRecord(holder, tag, grant)
        return True

    def _ends(self, grant: GrantedLease) -> int:
        return grant.granted_us + self.clocks.safe_wait_us(grant.length_us)

    def release(self, owner: int, holder: tuple[int, int], tag: int) -> None:
        """A holder gave its lease back. What it sent before its latest request changes nothing."""
        record = self.records.get(owner)
        if record is not None and record.holder == holder and later(tag, record.tag):
            del self.records[owner]

    def shorten(self, now: int, owner: int, holder: tuple[int, int], tag: int, length: int) -> None:
        """A holder counts on its lease for no more than ``length`` us from when it sent this."""
        record = self.records.get(owner)
        if record is not None and record.holder == holder and later(tag, record.tag):
            grant = min(record.grant, GrantedLease(now, length), key=self._ends)
            self.records[owner] = LeaseRecord(holder, tag, grant)

    def remaining(self, now: int, owner: int) -> tuple[int, int]:
        """The router to which a base share is granted, or ``NOBODY``, and for how many us yet."""
        if now < self.waits_until:
            return NOBODY, self.waits_until - now
        record = self.records.get(owner)
        if record is None or record.grant.has_ended(now, self.clocks):
            return NOBODY, 0
        return record.holder[0], self._ends(record.grant) - now
