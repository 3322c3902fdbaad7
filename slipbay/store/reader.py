"""Reads the records of a store from its segments."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeAlias

from slipbay.store import frame
from slipbay.store.disk import Disk
from slipbay.store.errors import DamagedStoreError
from slipbay.store.frame import Record
from slipbay.store.index import Index, location_of, unpack_location
from slipbay.store.manifest import Segment, segment_name

LiveFrame: TypeAlias = tuple[bytes, int, bytes]
"""A live record: its key, its location in the index, its frame as written. A plain tuple, because one is
created for each record that compaction copies."""


class FrameReader:
    """Reads frames; caches the last log bytes and the last block read, as adjacent frames are often next."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        # cached bytes of a log, and their segment and offset
        self._log_bytes = b""
        self._log_position = (-1, -1)
        # cached frames of a block, and its segment and offset
        self._block_frames = b""
        self._block_position = (-1, -1)

    def frame(self, location: int) -> bytes:
        """Read the frame at a location of the index. Raises ``DamagedStoreError`` if it is corrupt."""
        segment, offset, inner_offset, length = unpack_location(location)
        if inner_offset < 0:
            return self._read_from_log(segment, offset, length)
        if self._block_position != (segment, offset):
            self._block_frames = self._read_block(segment, offset)
            self._block_position = (segment, offset)
        return self._block_frames[inner_offset : inner_offset + length]

    def _read_from_log(self, segment: int, offset: int, length: int) -> bytes:
        start = offset - self._log_position[1]
        if self._log_position[0] != segment or start < 0 or start + length > len(self._log_bytes):
            self._log_bytes = self._disk.read(segment_name(segment), offset, max(length, frame.BLOCK_BYTES))
            self._log_position = (segment, offset)
            start = 0
        found = self._log_bytes[start : start + length]
        if len(found) < length or frame.checksum(found[frame.CRC_BYTES :]) != frame.CRC.unpack_from(found)[0]:
            raise DamagedStoreError(f"the frame at byte {offset} is corrupt", segment_name(segment))
        return found

    def _read_block(self, segment: int, offset: int) -> bytes:
        name = segment_name(segment)
        head = self._disk.read(name, offset, frame.FRAME_BYTES)
        if len(head) < frame.FRAME_BYTES:
            raise DamagedStoreError(f"the block at byte {offset} is truncated", name)
        crc, size, *_ = frame.FRAME.unpack(head)
        payload = self._disk.read(name, offset + frame.FRAME_BYTES, min(size, frame.MAX_BLOCK_BYTES))
        if frame.checksum(head[frame.CRC_BYTES :] + payload) != crc:
            raise DamagedStoreError(f"the block at byte {offset} is corrupt", name)
        return frame.decompress_block(payload)


def live_frames(
    disk: Disk, index: Index, segments: tuple[Segment, ...], batch_size: int
) -> Iterator[list[LiveFrame]]:
    """Read the live records of segments in order.

    Each list holds the live records among at least ``batch_size`` consecutive records. Raises
    ``DamagedStoreError`` and ``OSError``.
    """
    for segment in segments:
        last_sequence = segment.base_sequence
        reader = FrameReader(disk)
        data = disk.read(segment.name, 0, segment.valid_bytes)
        offset = frame.HEAD_BYTES
        while offset < segment.valid_bytes:
            scan = frame.scan(
                data, offset, segment.valid_bytes, last_sequence, not segment.compacted, batch_size
            )
            if scan.fault:
                raise DamagedStoreError(f"byte {scan.end}: {scan.fault}", segment.name)
            offset = scan.end
            last_sequence = scan.last_sequence
            yield _live_of(index, segment.number, scan.records, data, reader)


def _live_of(
    index: Index, segment: int, records: list[Record], data: bytes, reader: FrameReader
) -> list[LiveFrame]:
    """Select the live records of a segment; ``data`` are the segment's bytes."""
    find = index.find
    found = []
    for record in records:
        location = location_of(segment, record)
        if find(record.key) == location:
            is_in_log = record.inner_offset < 0
            frame_bytes = (
                data[record.offset : record.offset + record.length] if is_in_log else reader.frame(location)
            )
            found.append((record.key, location, frame_bytes))
    return found
