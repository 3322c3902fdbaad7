"""A store for use by a single thread: opening with repair, commits, compaction in steps, and reads.

The properties P1 to P7 (docs/store.md) hold if power or the process fails at any point between or within the
store's calls on the disk. They depend on the order of those calls (see ``segment_log``) and on one rule: a
commit is reported as durable only after its frames were synced in a segment that a durable manifest names.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import TypeAlias

from slipbay.store import frame, manifest, plan
from slipbay.store.compaction import Compaction
from slipbay.store.disk import Disk
from slipbay.store.errors import StoreFullError, StoreWriteError, disk_error_text
from slipbay.store.frame import Record
from slipbay.store.index import Index
from slipbay.store.manifest import Segment
from slipbay.store.opening import RECORDS_PER_CHUNK, expect_no_records, scan_segments
from slipbay.store.reader import FrameReader, live_frames
from slipbay.store.segment_log import SegmentLog
from slipbay.store.totals import Totals

Change: TypeAlias = tuple[bytes, bytes | None]
"""A key and its new value; ``None`` deletes the key."""


class StoreState(Enum):
    """Whether a store accepts commits."""

    WRITABLE = "writable"
    READ_ONLY = "read-only"  # a write failed; ``Store.heal`` tries again
    CLOSED = "closed"


class Store:
    """A durable map from bytes to bytes. Created by ``Store.open``; used by one thread at a time."""

    def __init__(self, disk: Disk, bounds: plan.Bounds) -> None:
        self._disk = disk
        self._log = SegmentLog(disk)
        self._index = Index()
        self._compaction: Compaction | None = None
        self.bounds = bounds
        self.state = StoreState.WRITABLE
        self.problem = ""  # why the store is not writable; empty if it is
        self.totals = Totals()
        self.sequence = 0  # sequence number of the last change

    # Opening

    @classmethod
    def open(cls, disk: Disk, bounds: plan.Bounds | None = None) -> Store:
        """Lock, read and repair a store.

        An incomplete end is cut off: it belongs to a commit that was never reported as durable.

        Raises:
            StoreInUseError: if another process has the store open.
            DamagedStoreError: if data that was durable is missing or corrupt.
            NewerFormatError: if a later version of this program wrote the store.
            OSError: if the disk fails.
        """
        store = cls(disk, bounds or plan.Bounds())
        disk.lock()
        try:
            store._read(disk.names())
            store._begin_segment()
            store._log.remove_orphans()
        except BaseException:
            store._log.close()
            disk.unlock()
            raise
        return store

    def _read(self, names: list[str]) -> None:
        if manifest.NAME not in names:
            expect_no_records(self._disk, names)
            return
        found = manifest.decode(self._disk.read(manifest.NAME))
        end = 0
        for chunk in scan_segments(self._disk, found, names):
            self._index.apply(chunk.segment.number, chunk.scan.records)
            if not chunk.scan.has_more:
                self.sequence = chunk.scan.last_sequence
                end = chunk.scan.end
        self._log.load(found, end)

    # Writing

    def commit(self, changes: list[Change], use_reserve: bool = False) -> None:
        """Make changes durable, all or none of them; returns once they are durable.

        ``use_reserve``: the changes end or delete a record, and may use the reserved space.

        Raises:
            StoreFullError: if there is not enough space; no change was accepted.
            StoreWriteError: if the disk fails; no change was accepted.
        """
        if self.state is not StoreState.WRITABLE:
            raise StoreWriteError(self.problem or f"the store is {self.state.value}")
        frames = self._encode(changes)
        data = b"".join(frames)
        if not plan.has_room(self.used_bytes, len(data), use_reserve, self.bounds):
            raise StoreFullError(self.used_bytes, self.bounds.max_bytes)
        try:
            offset = self._append(data)
        except OSError as problem:
            raise StoreWriteError(self._handle_write_failure(problem), problem) from None
        self._apply_committed(changes, frames, offset)
        self.totals.bytes_appended += len(data)

    def _encode(self, changes: list[Change]) -> list[bytes]:
        frames = []
        flag = frame.FIRST
        for sequence, (key, value) in enumerate(changes, self.sequence + 1):
            kind = frame.DELETE if value is None else frame.PUT
            frames.append(frame.encode_frame(sequence, key, value or b"", kind | flag))
            flag = 0
        return frames

    def _append(self, data: bytes) -> int:
        is_full = self._log.size + len(data) > self.bounds.segment_bytes
        if is_full and self._log.size > frame.HEAD_BYTES:
            self._begin_segment()
        return self._log.append(data)

    def _apply_committed(self, changes: list[Change], frames: list[bytes], offset: int) -> None:
        """Count durable changes, whose frames start at ``offset``, and add them to the index."""
        records = []
        for (key, value), data in zip(changes, frames, strict=True):
            self.sequence += 1
            records.append(Record(self.sequence, key, value, offset, -1, len(data)))
            offset += len(data)
        self._index.apply(self._log.manifest.active.number, records)
        self.totals.commits += 1
        self.totals.changes += len(changes)

    def _handle_write_failure(self, problem: OSError) -> str:
        """Seal the active segment: after a failed write its end is undefined. Returns the error text."""
        self.totals.failures += 1
        self._abandon_compaction()
        text = f"writing failed: {disk_error_text(problem)}"
        self.heal(text)
        return text

    def heal(self, reason: str = "") -> bool:
        """Begin a new segment after a failure; the old segment is valid up to its last commit.

        Returns whether the store is writable. If it is not, ``reason`` is set as ``problem``.
        """
        if self.state is StoreState.CLOSED:
            return False
        try:
            self._begin_segment()
        except OSError as problem:
            self.state = StoreState.READ_ONLY
            self.problem = reason or f"writing failed: {disk_error_text(problem)}"
            return False
        self.state = StoreState.WRITABLE
        self.problem = ""
        return True

    def _begin_segment(self) -> None:
        dropped = self._log.begin_segment(self.sequence)
        self._index.add_segment(self._log.manifest.active.number)
        for segment in dropped:
            self._index.drop_segment(segment.number)

    # Compaction

    def compact_step(self, force: bool = False) -> bool:
        """Run one step of a compaction that is due; returns whether one was due.

        ``force``: merge all sealed segments, however little space that frees. Raises ``StoreWriteError`` if
        the disk fails; the stored data is then unchanged.
        """
        if self.state is not StoreState.WRITABLE:
            return False
        if self._compaction is None:
            count = len(self._log.sealed) if force else self._merge_count()
            if not count:
                return False
            self._compaction = Compaction(self._disk, self._log, self._index, self.bounds, self.totals, count)
        try:
            has_more = self._compaction.step()
        except OSError as problem:
            self._abandon_compaction()
            self.totals.failures += 1
            raise StoreWriteError(f"compaction failed: {disk_error_text(problem)}", problem) from None
        if not has_more:
            self._compaction = None
        return True

    @property
    def compacting(self) -> bool:
        """Whether a compaction is in progress."""
        return self._compaction is not None

    def _merge_count(self) -> int:
        sizes = [
            plan.SegmentSizes(segment.uncompressed_bytes, self._index.live_bytes_of(segment.number))
            for segment in self._log.sealed
        ]
        return plan.choose_merge_count(sizes, self.used_bytes, self.bounds)

    def _abandon_compaction(self) -> None:
        if self._compaction is not None:
            self._compaction.abandon()
            self._compaction = None

    # Reading

    def __len__(self) -> int:
        return len(self._index)

    def __contains__(self, key: bytes) -> bool:
        return self._index.find(key) is not None

    def get(self, key: bytes) -> bytes | None:
        """The value of a key, read from the disk; ``None`` if the key has no value.

        Raises ``DamagedStoreError`` or ``OSError`` if the value cannot be read.
        """
        location = self._index.find(key)
        return None if location is None else frame.value_of(FrameReader(self._disk).frame(location))

    def items(self, is_wanted: Callable[[bytes], bool] = lambda _: True) -> Iterator[tuple[bytes, bytes]]:
        """The keys for which ``is_wanted`` is true and their values, in their order on the disk.

        Raises ``DamagedStoreError`` or ``OSError`` if a record cannot be read.
        """
        if self._compaction is not None and self._compaction.is_switched:
            self._abandon_compaction()
        for frames in live_frames(self._disk, self._index, self._log.readable, RECORDS_PER_CHUNK):
            for key, _, data in frames:
                if is_wanted(key):
                    yield key, frame.value_of(data)

    @property
    def used_bytes(self) -> int:
        """Bytes of all segments that the manifest names."""
        return self._log.used_bytes

    @property
    def live_bytes(self) -> int:
        """Bytes of the frames of live records, before compression."""
        return self._index.live_bytes

    @property
    def segments(self) -> tuple[Segment, ...]:
        """All segments in order; the last one is active, which means that commits are appended to it."""
        return self._log.manifest.segments

    def close(self) -> None:
        """Close the files and release the lock; a second call does nothing."""
        if self.state is not StoreState.CLOSED:
            self._abandon_compaction()
            self.state = StoreState.CLOSED
            self._log.close()
            self._disk.unlock()
