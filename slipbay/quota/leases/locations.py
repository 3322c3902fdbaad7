"""Tracks which routers hold which base shares, and queries granters for it."""

from __future__ import annotations

from slipbay.peer_channel.interfaces import Send
from slipbay.quota.codec import LeaseEntry, MessageType
from slipbay.quota.leases.granter import NO_ROUTER
from slipbay.quota.leases.groups import granter_group
from slipbay.quota.leases.messages import LeaseMessageWriter


class LeaseLocations:
    """Caches the locations that granters reported. Times are in us."""

    def __init__(self, local_router: int, router_count: int, min_granters: int) -> None:
        """``min_granters`` is the minimum number of granters of a base share."""
        self._local_router = local_router
        self._router_count = router_count
        self._min_granters = min_granters
        self._known: dict[int, tuple[int, int]] = {}  # by owner: the holder, and when the entry expires
        self._query_count = local_router

    def record(self, owner: int, router: int, until_us: int) -> None:
        """Record that ``router``, or ``NO_ROUTER``, holds a base share until ``until_us``."""
        self._known[owner] = router, until_us

    def is_known(self, owner: int) -> bool:
        """Return whether any reply reported the holder of a base share."""
        return owner in self._known

    def holder_of(self, owner: int) -> int:
        """Return the last known holder of a base share; ``NO_ROUTER`` if there is none."""
        return self._known.get(owner, (NO_ROUTER, 0))[0]

    def current(self, now: int, owner: int) -> tuple[int, int]:
        """Return the holder of a base share, or ``NO_ROUTER``, and in how many us the entry expires."""
        router, until_us = self._known.get(owner, (NO_ROUTER, 0))
        return (router, until_us - now) if until_us > now else (NO_ROUTER, 0)

    def query_next_granter(self, now: int, owner: int, messages: LeaseMessageWriter) -> list[Send]:
        """Query one granter of a base share for its holder, unless the holder is known; each call chooses the
        next granter.
        """
        group = granter_group(owner, self._router_count, self._min_granters)
        granters = [n for n in group if n not in (owner, self._local_router)]
        if not granters or self.current(now, owner)[1] > 0:
            return []
        self._query_count += 1
        return [location_query(now, granters[self._query_count % len(granters)], owner, messages)]


def location_query(now: int, router: int, owner: int, messages: LeaseMessageWriter) -> Send:
    """Return a message that queries a router for the holder of a base share."""
    tag = messages.next_tag(now)
    return router, messages.write_body(MessageType.LOCATION_QUERY, tag, [LeaseEntry(owner, 0, 0)])
