"""The holding side of leases on base shares: what a majority granted (docs/quota.md has the proof)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from slipbay.peer_channel.leases import HeldLease
from slipbay.quota.leases import groups


@dataclass(slots=True)
class PendingLeaseRequest:
    """The latest request to one granter; no reply to any other counts."""

    tag: int
    sent_at: int  # read before it left


class LeaseHolder:
    """What granters granted to this incarnation. Times are us of its own clock."""

    def __init__(self, group: Sequence[int]) -> None:
        self.group = group
        self.pending: dict[int, PendingLeaseRequest] = {}  # by granter, until its reply has come
        self.leases: dict[int, dict[int, HeldLease]] = {}  # by owner and granter

    def requested(self, now: int, granter: int, tag: int) -> None:
        """A request is about to leave."""
        self.pending[granter] = PendingLeaseRequest(tag, now)

    def granted(self, granter: int, tag: int, owners: Iterable[int], length: int) -> bool:
        """A reply grants base shares for ``length`` us. False if it replies to no pending request."""
        pending = self.pending.get(granter)
        if pending is None or pending.tag != tag:
            return False
        del self.pending[granter]
        for owner in owners:
            held = HeldLease(pending.sent_at, length)
            leases = self.leases.setdefault(owner, {})
            if granter not in leases or held.ends_us > leases[granter].ends_us:
                leases[granter] = held
        return True

    def release(self, owner: int) -> list[int]:
        """From now on this base share is not held, whatever was granted or is on its way from those who did.

        Returns the granters to notify, with a later tag than any before.
        """
        granters = list(self.leases.pop(owner, ()))
        for granter in granters:
            self.pending.pop(granter, None)
        return granters

    def shorten(self, owner: int, until: int) -> None:
        """From now on no lease on this base share counts beyond ``until``, nor any that is on its way from
        those who did grant. All granters are notified, with a later tag than any before.
        """
        leases = self.leases.get(owner, {})
        for granter, held in leases.items():
            self.pending.pop(granter, None)
            leases[granter] = HeldLease(
                held.requested_us, max(0, min(held.length_us, until - held.requested_us))
            )

    def ends_at(self, owner: int) -> int:
        """When the leases of a majority end; 0 if there never was one."""
        count = 0
        leases = self.leases.get(owner, {})
        for granter, held in sorted(leases.items(), key=lambda lease: -lease[1].ends_us):
            count += groups.votes(owner, granter, self.group)
            if count >= groups.majority(self.group):
                return held.ends_us
        return 0

    def requested_at(self, owner: int, granter: int) -> int:
        """When the request left that a granter granted; 0 if it never did."""
        held = self.leases.get(owner, {}).get(granter)
        return held.requested_us if held is not None else 0
