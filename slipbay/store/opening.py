"""Reads all segments of a store in order, and distinguishes a torn end from damage.

A torn end is an incomplete commit at the end of the active segment, left by an interrupted write.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from slipbay.store import frame, manifest
from slipbay.store.disk import Disk
from slipbay.store.errors import DamagedStoreError
from slipbay.store.manifest import Manifest, Segment

RECORDS_PER_CHUNK = 2000  # records read before other threads may run


@dataclass(slots=True, frozen=True)
class SegmentChunk:
    """Consecutive records of a segment."""

    segment: Segment
    scan: frame.Scan
    torn_bytes: int = 0  # in the last chunk of a segment: bytes after its last complete commit


def scan_segments(disk: Disk, found: Manifest, names: list[str]) -> Iterator[SegmentChunk]:
    """Read the segments in order, in chunks of records.

    Raises ``DamagedStoreError`` if data that was durable is missing or corrupt.
    """
    last_sequence = found.segments[0].base_sequence
    for segment in found.segments:
        if segment.name not in names:
            raise DamagedStoreError("the segment is missing, but the manifest names it", segment.name)
        data = disk.read(segment.name)
        _check_head(data, segment, last_sequence)
        sealed = segment is not found.active
        end = segment.valid_bytes if sealed else len(data)
        if len(data) < end:
            raise DamagedStoreError(f"{end} bytes were durable, but only {len(data)} exist", segment.name)
        scan = frame.Scan([], frame.HEAD_BYTES, last_sequence, "", has_more=True)
        while scan.has_more:
            scan = frame.scan(
                data, scan.end, end, scan.last_sequence, not segment.compacted, RECORDS_PER_CHUNK
            )
            if scan.has_more:
                yield SegmentChunk(segment, scan)
        _check_end(data, segment, scan, end, sealed)
        if segment.compacted:
            # compaction may have dropped the last records
            scan = replace(scan, last_sequence=segment.last_sequence)
        last_sequence = scan.last_sequence
        yield SegmentChunk(segment, scan, end - scan.end)


def _check_head(data: bytes, segment: Segment, last_sequence: int) -> None:
    number, base_sequence = frame.decode_head(data, segment.name)
    if (number, base_sequence) != (segment.number, segment.base_sequence) or base_sequence != last_sequence:
        raise DamagedStoreError("the file has the head of another segment", segment.name)


def _check_end(data: bytes, segment: Segment, scan: frame.Scan, end: int, sealed: bool) -> None:
    """Check that a sealed segment is complete, and that the active one has no commit after a torn end."""
    if sealed and not segment.compacted and not scan.fault and scan.last_sequence != segment.last_sequence:
        raise DamagedStoreError(
            f"the segment ends with record {scan.last_sequence} instead of {segment.last_sequence}",
            segment.name,
        )
    if scan.fault and (sealed or frame.find_later_commit(data, scan.end, end, scan.last_sequence) >= 0):
        raise DamagedStoreError(f"byte {scan.end}: {scan.fault}, and later data follows it", segment.name)


def expect_no_records(disk: Disk, names: list[str]) -> None:
    """Check a directory without a manifest: it may hold a new, empty segment, but none with records.

    Raises ``DamagedStoreError`` if a segment holds records.
    """
    for name in names:
        if not manifest.is_store_file(name) or name == manifest.UNFINISHED_NAME:
            continue
        data = disk.read(name)
        if frame.scan(data, frame.HEAD_BYTES, len(data), 0, False).records:
            raise DamagedStoreError(f"the manifest is missing, but {name} holds records", manifest.NAME)
