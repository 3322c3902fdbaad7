"""The holder's side of leases on base shares: leases that a majority granted (proof in docs/quota.md)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from slipbay.peer_channel.leases import HeldLease
from slipbay.quota.leases import groups


@dataclass(slots=True)
class PendingLeaseRequest:
    """The latest request to one granter; replies to earlier requests are ignored."""

    tag: int
    sent_at_us: int  # read from the clock before the request was sent


class LeaseHolder:
    """Leases that granters granted to this incarnation. Times are in us of the local router's clock."""

    def __init__(self, group: Sequence[int]) -> None:
        self.group = group
        self.pending: dict[int, PendingLeaseRequest] = {}  # by granter, until its reply arrives
        self.leases: dict[int, dict[int, HeldLease]] = {}  # by owner and granter

    def record_request(self, now: int, granter: int, tag: int) -> None:
        """Record a request before it is sent."""
        self.pending[granter] = PendingLeaseRequest(tag, now)

    def record_grants(self, granter: int, tag: int, owners: Iterable[int], lease_us: int) -> bool:
        """Record a reply that grants base shares for ``lease_us`` us. Return False if it matches no pending
        request.
        """
        pending = self.pending.get(granter)
        if pending is None or pending.tag != tag:
            return False
        del self.pending[granter]
        for owner in owners:
            held = HeldLease(pending.sent_at_us, lease_us)
            leases = self.leases.setdefault(owner, {})
            if granter not in leases or held.ends_us > leases[granter].ends_us:
                leases[granter] = held
        return True

    def release(self, owner: int) -> list[int]:
        """Stop holding a base share, and ignore replies that are still on their way from its granters.

        Returns the granters to notify; the message must have a later tag than all earlier ones.
        """
        granters = list(self.leases.pop(owner, ()))
        for granter in granters:
            self.pending.pop(granter, None)
        return granters

    def shorten(self, owner: int, until_us: int) -> None:
        """End all leases on a base share at ``until_us`` at the latest, and ignore replies that are still on
        their way from its granters. The caller notifies all granters with a later tag than all earlier ones.
        """
        leases = self.leases.get(owner, {})
        for granter, held in leases.items():
            self.pending.pop(granter, None)
            leases[granter] = HeldLease(
                held.requested_us, max(0, min(held.length_us, until_us - held.requested_us))
            )

    def ends_at(self, owner: int) -> int:
        """Return when the leases of a majority end; 0 if no majority ever granted the base share."""
        count = 0
        leases = self.leases.get(owner, {})
        for granter, held in sorted(leases.items(), key=lambda lease: -lease[1].ends_us):
            count += groups.votes_of(owner, granter, self.group)
            if count >= groups.majority_votes(self.group):
                return held.ends_us
        return 0

    def requested_at(self, owner: int, granter: int) -> int:
        """Return when the request was sent that a granter granted; 0 if it granted none."""
        held = self.leases.get(owner, {}).get(granter)
        return held.requested_us if held is not None else 0
