"""Compaction: copies the live records of the oldest segments into a new segment, in small steps."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from slipbay.store import frame, plan
from slipbay.store.disk import Disk, Handle
from slipbay.store.index import INNER_SHIFT, Index, Move, pack_location
from slipbay.store.manifest import Segment, segment_name
from slipbay.store.reader import LiveFrame, live_frames
from slipbay.store.segment_log import SegmentLog
from slipbay.store.totals import Totals

MOVES_PER_STEP = 1000  # index entries that one step moves
SYNC_BYTES = 1024 * 1024  # bytes written to the new segment between two syncs


class Compaction:
    """Merges the oldest ``count`` segments into one.

    Each step handles a few frames, so that commits between steps are not delayed for long. Raises
    ``DamagedStoreError`` and ``OSError``; the store is then unchanged.
    """

    def __init__(
        self, disk: Disk, log: SegmentLog, index: Index, bounds: plan.Bounds, totals: Totals, count: int
    ) -> None:
        self._disk = disk
        self._log = log
        self._index = index
        self._bounds = bounds
        self._totals = totals
        self._count = count
        self._merged = log.manifest.segments[:count]
        self._number = 0
        self._end = frame.HEAD_BYTES  # size of the new segment in bytes
        self._uncompressed_bytes = 0  # of its frames
        self._moves: list[Move] = []
        self._steps = self._run()
        self.is_switched = False  # the new manifest is valid, but the index refers to the old segments

    def step(self) -> bool:
        """Run one step; False if the compaction was complete before."""
        return next(self._steps, self) is not self

    def abandon(self) -> None:
        """Stop the compaction, or complete it if only the index is left to move."""
        while self.is_switched and self.step():
            pass
        self._steps.close()

    def _run(self) -> Generator[None, None, None]:
        self._number = self._log.allocate_number()
        handle = self._disk.create(segment_name(self._number))
        try:
            yield from self._copy(handle)
            handle.sync()
            yield
            self._disk.sync_folder()
        finally:
            handle.close()
        base_sequence = self._merged[0].base_sequence
        last_sequence = self._merged[-1].last_sequence
        into = Segment(
            self._number, base_sequence, self._end, last_sequence, self._uncompressed_bytes, compacted=True
        )
        self._index.add_segment(self._number)
        self._log.switch(self._log.manifest.with_merged(self._count, into if self._moves else None))
        # from here on the compaction must be completed: the index refers to files that are no longer valid
        self.is_switched = True
        yield from self._move_index()
        self.is_switched = False
        dropped = self._merged if self._moves else (*self._merged, into)
        for segment in dropped:
            self._index.drop_segment(segment.number)
        self._log.remove(segment.name for segment in dropped)
        self._totals.compactions += 1

    def _copy(self, handle: Handle) -> Iterator[None]:
        handle.append(frame.encode_head(self._number, self._merged[0].base_sequence))
        unsynced = 0
        batch_size = plan.records_per_step(self._log.used_bytes, self._bounds)
        for frames in live_frames(self._disk, self._index, self._merged, batch_size):
            if frames:
                unsynced += self._copy_block(handle, frames)
            if unsynced >= SYNC_BYTES:  # a single sync at the end would delay the syncs of commits
                handle.sync()
                unsynced = 0
            yield

    def _copy_block(self, handle: Handle, frames: list[LiveFrame]) -> int:
        """Write one block; returns its size in bytes."""
        data = frame.encode_block(b"".join(item for _, _, item in frames))
        block = pack_location(self._number, self._end, 0, 0)
        moves = self._moves
        inner_offset = 0
        for key, old, item in frames:
            length = len(item)
            moves.append((key, old, block + (inner_offset << INNER_SHIFT) + length))
            inner_offset += length
        handle.append(data)
        self._end += len(data)
        self._uncompressed_bytes += inner_offset
        self._totals.bytes_copied += len(data)
        return len(data)

    def _move_index(self) -> Iterator[None]:
        for start in range(0, len(self._moves), MOVES_PER_STEP):
            batch = self._moves[start : start + MOVES_PER_STEP]
            self._index.move(batch)
            if len(batch) == MOVES_PER_STEP:
                yield
