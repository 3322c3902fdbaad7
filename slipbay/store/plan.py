"""Decides which segments to compact and how much may still be written. Pure functions, no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_DEAD_SHARE = 0.5  # of sealed bytes; from this share on, a merge writes no more bytes than it frees
MAX_SEALED = 64  # segments; if there are more, all are merged, because each one slows down the start
RECORDS_PER_STEP = 24  # in a compaction step; more would raise the p99 latency of concurrent commits
HALF_FULL = 0.5  # share of the store's maximum size from which on steps are longer
THREE_QUARTERS_FULL = 0.75  # share from which on steps are longest
RESERVE_SHARE = 0.125  # of the maximum size, reserved for ends and deletions of records, which free space


@dataclass(slots=True, frozen=True)
class SegmentSizes:
    """A sealed segment: bytes of its frames before compression, in total and of live records."""

    total: int
    live: int


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits of a store, from its configuration."""

    segment_bytes: int = 8 * 1024 * 1024
    max_bytes: int = 512 * 1024 * 1024


def choose_merge_count(sealed: Sequence[SegmentSizes], used_bytes: int, bounds: Bounds) -> int:
    """How many of the oldest sealed segments to merge into one; 0 for none.

    A merge always starts with the oldest segment, because a deletion may be dropped only if no older record
    of its key remains. The function chooses the number of segments with the largest share of dead bytes, and
    the larger number if shares are equal.
    """
    if not sealed:
        return 0
    best = 0
    best_share = 0.0
    total = 0
    dead = 0
    for count, sizes in enumerate(sealed, 1):
        total += sizes.total
        dead += max(0, sizes.total - sizes.live)
        share = dead / total if total else 1.0
        if share >= best_share:
            best = count
            best_share = share
    is_nearly_full = used_bytes > bounds.max_bytes * (1 - 2 * RESERVE_SHARE)
    if best_share >= MIN_DEAD_SHARE or (is_nearly_full and best_share > RESERVE_SHARE):
        return best
    return len(sealed) if len(sealed) > MAX_SEALED else 0


def records_per_step(used_bytes: int, bounds: Bounds) -> int:
    """Records per compaction step: few, because commits wait for a step, but more as space runs out."""
    used_share = used_bytes / bounds.max_bytes
    if used_share < HALF_FULL:
        return RECORDS_PER_STEP
    return 4 * RECORDS_PER_STEP if used_share < THREE_QUARTERS_FULL else 16 * RECORDS_PER_STEP


def has_room(used_bytes: int, added_bytes: int, use_reserve: bool, bounds: Bounds) -> bool:
    """Whether ``added_bytes`` may be written; only with ``use_reserve`` may they use the reserved space."""
    return used_bytes + added_bytes <= bounds.max_bytes * (1 if use_reserve else 1 - RESERVE_SHARE)
