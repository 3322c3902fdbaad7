"""Assigns each table group to a few engines, so that these keep its tables in memory."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from zlib import crc32

from slipbay.policy.events import EngineId

# An engine is assumed to have the groups of its latest queries in memory, for this number of queries. With a
# larger number, most engines would be assumed to have most groups.
MAX_WARM_GROUPS = 4
MAX_COUNTED_GROUPS = 512  # groups with counts and arcs; limited because clients may send any number of groups


class AffinityRing:
    """Arcs of groups on a ring of the engines of the local zone.

    The length of a group's arc is the group's share of the received queries. All routers of a zone therefore
    send a group to the same few engines, which keep it in memory, and each engine gets an equal load.
    """

    def __init__(self) -> None:
        self.ring: list[EngineId] = []  # ordered by checksum, so identical on all routers of a zone
        self.query_counts: dict[float, int] = {}  # received queries by group
        # start and length of the arc, as fractions of the ring, by group
        self.arcs: dict[float, tuple[float, float]] = {}

    def count_query(self, group: float) -> None:
        """Count a query of the group."""
        self.query_counts[group] = self.query_counts.get(group, 0) + 1

    def draw_engine(self, group: float, random: Random) -> EngineId | None:
        """A random engine on the group's arc; ``None`` if the group has no arc yet."""
        start, length = self.arcs.get(group, (0.0, 0.0))
        position = int((start + length * random.random()) * len(self.ring))
        return self.ring[position % len(self.ring)] if length and self.ring else None

    def prune(self) -> None:
        """Remove the less frequent groups if there are too many."""
        if len(self.query_counts) > MAX_COUNTED_GROUPS:
            by_count = sorted(self.query_counts.items(), key=lambda item: -item[1])
            self.query_counts = dict(by_count[: MAX_COUNTED_GROUPS // 2])
            self.arcs = {}

    def rebuild(self, engines: Iterable[EngineId]) -> None:
        """Recompute the arcs over the engines of the local zone."""
        self.ring = sorted(engines, key=crc32)
        start = 0.0
        total = sum(self.query_counts.values())
        for group, count in sorted(self.query_counts.items()):
            self.arcs[group] = start, count / total
            start += count / total

    def most_frequent(self, count: int) -> list[tuple[float, int]]:
        """The most frequent groups with their numbers of queries, at most ``count`` groups."""
        return sorted(self.query_counts.items(), key=lambda item: (-item[1], item[0]))[:count]

    def seed(self, group: float, queries: int) -> None:
        """Set the initial count of a group from another router; a local count takes precedence."""
        self.query_counts.setdefault(group, queries)
