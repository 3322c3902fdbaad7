"""Decides when the local router takes over a base share that no router holds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from slipbay.quota.leases.granter import LeaseGranter
from slipbay.quota.leases.renewal import RETRY_US

TAKEOVER_STEP_US = 400_000  # delay between the attempts of a group's routers to take over a base share
MAX_QUERIES = 2  # location queries per tick
OWNER_SILENCE_LEASES = 3  # lease durations until an owner without a grant from here counts as silent


class TakeoverWatch:
    """Watches the owners of the base shares of the local router's group. Times are in us."""

    def __init__(
        self,
        local_router: int,
        group: Sequence[int],
        last_received_us: Mapping[int, int],
        takeover_from_us: int,
        started_us: int,
    ) -> None:
        """``last_received_us`` holds, by router, when its latest message arrived; the caller updates it.
        No base share is taken over before ``takeover_from_us``.
        """
        self._local_router = local_router
        self._group = group
        self._last_received_us = last_received_us
        self._takeover_from_us = dict.fromkeys(group, takeover_from_us)
        self._requested_at: dict[int, int] = {}  # by owner, when it last requested its base share
        self._queried_at: dict[int, int] = {}  # by owner, when it was queried for the share's holder
        # Before this time a full channel may be the cause of an owner's silence.
        self._silence_counts_from_us = started_us

    def postpone(self, owner: int, until_us: int) -> None:
        """Take a base share over no earlier than ``until_us``: a router holds it, or will hold it soon."""
        if owner in self._takeover_from_us:
            self._takeover_from_us[owner] = max(self._takeover_from_us[owner], until_us)

    def record_owner_request(self, now: int, owner: int, lease_us: int) -> None:
        """Record that an owner requested its base share from this router."""
        self._requested_at[owner] = now
        self.postpone(owner, now + lease_us)

    def has_recent_request(self, now: int, owner: int, lease_us: int) -> bool:
        """Return whether an owner requested its base share within the last ``lease_us`` us."""
        return now - self._requested_at.get(owner, -lease_us) < lease_us

    def record_grant(self, owner: int, until_us: int) -> None:
        """Record that this router granted a base share; by ``until_us`` the lease has surely ended."""
        self._takeover_from_us[owner] = until_us

    def record_location(self, owner: int) -> None:
        """Record that a reply reported the location of a base share."""
        self._queried_at.pop(owner, None)

    def record_unsent(self, now: int, lease_us: int) -> None:
        """Record that the channel had no room for a message: for a while silence is no sign of a failure."""
        self._silence_counts_from_us = now + 2 * lease_us

    def next_steps(
        self, now: int, candidates: Iterable[int], granter: LeaseGranter, lease_us: int
    ) -> tuple[list[int], list[int]]:
        """Return the owners whose base shares to take over now, and the owners to query first.

        A granter that granted the latest lease on a base share has a record that it ended, and takes the
        share over at once. Other granters first query the owner, and take the share over if no reply arrives.
        """
        taken: list[int] = []
        queried: list[int] = []
        silence_counts = now >= self._silence_counts_from_us
        timeout_us = RETRY_US if silence_counts else lease_us // 4
        for owner in candidates:
            if not self._is_free(now, owner, granter, lease_us):
                continue
            if (owner in granter.records and silence_counts) or now - self._queried_at.get(
                owner, now
            ) > timeout_us:
                self._queried_at.pop(owner, None)
                taken.append(owner)
            elif owner not in self._queried_at and len(queried) < MAX_QUERIES:
                self._queried_at[owner] = now
                queried.append(owner)
        return taken, queried

    def _is_free(self, now: int, owner: int, granter: LeaseGranter, lease_us: int) -> bool:
        """Return whether this router may take over a base share: no known router holds it, its owner is
        silent, and this router's delay by its position in the group has passed.
        """
        group = self._group
        delay_us = (group.index(self._local_router) - group.index(owner)) % len(group) * TAKEOVER_STEP_US
        if now < self._takeover_from_us[owner] + delay_us:
            return False
        record = granter.records.get(owner)
        if record is not None and not record.grant.has_ended(now, granter.clocks):
            return False
        silence_us = OWNER_SILENCE_LEASES * lease_us if record is None else lease_us // 4
        return now - self._last_received_us.get(owner, -silence_us) >= silence_us
