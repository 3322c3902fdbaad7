"""The in-memory index of a store: the location of each key's live record on the disk. No I/O.

A location is packed into one int to save memory, as every live record has one. It consists of the segment,
the offset of the frame or of the block that contains it, the offset in the block + 1 (0: not in a block), and
the length of the frame.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from slipbay.store.frame import Record

LENGTH_BITS = 24
INNER_BITS = 24
OFFSET_BITS = 40
INNER_SHIFT = LENGTH_BITS
OFFSET_SHIFT = INNER_SHIFT + INNER_BITS
SEGMENT_SHIFT = OFFSET_SHIFT + OFFSET_BITS
LENGTH_MASK = 2**LENGTH_BITS - 1
INNER_MASK = 2**INNER_BITS - 1
OFFSET_MASK = 2**OFFSET_BITS - 1

TABLE_COUNT = 64  # hash tables in the index; a power of two


Move: TypeAlias = tuple[bytes, int, int]
"""A copied record: its key, its old and its new location. A plain tuple, because there is one for each live
record and the garbage collector does not track such tuples."""


class Location(NamedTuple):
    """An unpacked location. ``inner_offset`` is -1 if the frame is not in a block."""

    segment: int
    offset: int
    inner_offset: int
    length: int


def pack_location(segment: int, offset: int, inner_offset: int, length: int) -> int:
    """Pack a location into the int that the index holds."""
    return segment << SEGMENT_SHIFT | offset << OFFSET_SHIFT | inner_offset + 1 << INNER_SHIFT | length


def unpack_location(location: int) -> Location:
    """Unpack a location of the index."""
    return Location(
        location >> SEGMENT_SHIFT,
        location >> OFFSET_SHIFT & OFFSET_MASK,
        (location >> INNER_SHIFT & INNER_MASK) - 1,
        location & LENGTH_MASK,
    )


def location_of(segment: int, record: Record) -> int:
    """The packed location of a record of a segment."""
    return (
        segment << SEGMENT_SHIFT
        | record.offset << OFFSET_SHIFT
        | record.inner_offset + 1 << INNER_SHIFT
        | record.length
    )


class Index:
    """Locations by key, and the bytes of live records by segment."""

    def __init__(self) -> None:
        # Several tables, because a growing table is copied, which blocks all other threads
        self._tables: list[dict[bytes, int]] = [{} for _ in range(TABLE_COUNT)]
        self._live_bytes: dict[int, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._tables))

    def find(self, key: bytes) -> int | None:
        """The location of a key's live record; ``None`` if there is none."""
        return self._tables[hash(key) & TABLE_COUNT - 1].get(key)

    def apply(self, segment: int, records: Iterable[Record]) -> None:
        """Add records of a segment in order; a later record of a key replaces an earlier one."""
        tables = self._tables
        live_bytes = self._live_bytes
        location = segment << SEGMENT_SHIFT
        added_bytes = 0
        for _, key, value, offset, inner_offset, length in records:  # runs for every record: no calls
            table = tables[hash(key) & TABLE_COUNT - 1]
            if value is None:
                old = table.pop(key, 0)
            else:
                old = table.get(key, 0)
                table[key] = location | offset << OFFSET_SHIFT | inner_offset + 1 << INNER_SHIFT | length
                added_bytes += length
            if old:
                if old >> SEGMENT_SHIFT == segment:
                    added_bytes -= old & LENGTH_MASK
                else:
                    live_bytes[old >> SEGMENT_SHIFT] -= old & LENGTH_MASK
        live_bytes[segment] = live_bytes.get(segment, 0) + added_bytes

    def move(self, moves: Iterable[Move]) -> None:
        """Update the locations of copied records, except of keys that were written or deleted meanwhile."""
        tables = self._tables
        live_bytes = self._live_bytes
        for key, old, new in moves:
            table = tables[hash(key) & TABLE_COUNT - 1]
            if table.get(key) == old:
                table[key] = new
                live_bytes[old >> SEGMENT_SHIFT] -= old & LENGTH_MASK
                live_bytes[new >> SEGMENT_SHIFT] += new & LENGTH_MASK

    def add_segment(self, segment: int) -> None:
        """Start counting the live bytes of a segment."""
        self._live_bytes.setdefault(segment, 0)

    def drop_segment(self, segment: int) -> None:
        """Stop counting the live bytes of a segment; it must hold no live record."""
        self._live_bytes.pop(segment, None)

    def live_bytes_of(self, segment: int) -> int:
        """Bytes of the frames of a segment's live records, before compression."""
        return self._live_bytes[segment]

    @property
    def live_bytes(self) -> int:
        """Bytes of the frames of all live records, before compression."""
        return sum(self._live_bytes.values())
