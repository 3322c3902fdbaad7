"""The manifest: lists the segments of a store in order, with the number of valid bytes in each. No I/O.

It is a single file. A new manifest is written to a temporary file, which is then renamed, so that a crash
leaves either the old or the new manifest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from struct import Struct

import msgpack

from slipbay.store.errors import DamagedStoreError, NewerFormatError
from slipbay.store.frame import FORMAT, checksum

NAME = "MANIFEST"
UNFINISHED_NAME = "MANIFEST.new"  # name of a new manifest until it is renamed
NUMBER_DIGITS = 8  # of a segment's number in its file name
MAGIC = b"slipman\0"
HEAD = Struct("<8sHII")  # magic, format, length of the body, CRC32C of the body


@dataclass(slots=True, frozen=True)
class Segment:
    """A segment of the store."""

    number: int
    base_sequence: int  # sequence before the first record
    valid_bytes: int = 0  # 0 for the active segment
    last_sequence: int = 0  # sequence of the last record; 0 for the active segment
    uncompressed_bytes: int = 0  # bytes of the frames before compression
    compacted: bool = False  # contains blocks instead of a log

    @property
    def name(self) -> str:
        """The name of the segment's file."""
        return segment_name(self.number)


@dataclass(slots=True, frozen=True)
class Manifest:
    """The information needed to open a store. The last segment is active: commits are appended to it."""

    generation: int = 0  # number of manifest switches so far
    next_number: int = 1  # of the next segment; numbers are never reused
    segments: tuple[Segment, ...] = ()

    @property
    def active(self) -> Segment:
        """The segment that commits are appended to."""
        return self.segments[-1]

    def with_new_segment(self, number: int, sequence: int, valid_bytes: int) -> Manifest:
        """The manifest with a new active segment.

        The previous active segment is sealed with ``valid_bytes`` and the last sequence ``sequence``, or
        dropped if it holds no record.
        """
        sealed = self.segments
        if sealed:
            sealed = (
                *sealed[:-1],
                replace(
                    sealed[-1],
                    valid_bytes=valid_bytes,
                    last_sequence=sequence,
                    uncompressed_bytes=valid_bytes,
                ),
            )
        if sealed and sealed[-1].last_sequence == sealed[-1].base_sequence:
            sealed = sealed[:-1]
        return Manifest(self.generation + 1, number + 1, (*sealed, Segment(number, sequence)))

    def with_merged(self, count: int, into: Segment | None) -> Manifest:
        """The manifest with the first ``count`` segments replaced by ``into``; None: by no segment."""
        first = () if into is None else (into,)
        return Manifest(self.generation + 1, self.next_number, (*first, *self.segments[count:]))


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"{number:0{NUMBER_DIGITS}d}.seg"


def is_store_file(name: str) -> bool:
    """Whether a file name is that of a segment or of an unfinished manifest."""
    stem, dot, ending = name.partition(".")
    return name == UNFINISHED_NAME or (
        dot == "." and ending == "seg" and len(stem) == NUMBER_DIGITS and stem.isdigit()
    )


def encode(manifest: Manifest) -> bytes:
    """Encode a manifest as the contents of its file."""
    body: bytes = msgpack.packb(
        [
            manifest.generation,
            manifest.next_number,
            [
                [
                    item.number,
                    item.base_sequence,
                    item.valid_bytes,
                    item.last_sequence,
                    item.uncompressed_bytes,
                    item.compacted,
                ]
                for item in manifest.segments
            ],
        ]
    )
    return HEAD.pack(MAGIC, FORMAT, len(body), checksum(body)) + body


def decode(data: bytes) -> Manifest:
    """Decode the contents of a manifest file.

    Raises ``DamagedStoreError`` if they are invalid, and ``NewerFormatError`` if their format is newer.
    """
    if len(data) < HEAD.size or data[: len(MAGIC)] != MAGIC:
        raise DamagedStoreError("the file is not a manifest of a store", NAME)
    _, version, length, crc = HEAD.unpack_from(data)
    if version > FORMAT:
        raise NewerFormatError(NAME, version, FORMAT)
    body = data[HEAD.size :]
    if len(body) != length or checksum(body) != crc:
        raise DamagedStoreError("the file is truncated or corrupt", NAME)
    try:
        generation, next_number, segments = msgpack.unpackb(body)
        found = Manifest(
            int(generation),
            int(next_number),
            tuple(
                Segment(
                    int(number),
                    int(base_sequence),
                    int(valid_bytes),
                    int(last_sequence),
                    int(raw_bytes),
                    bool(compacted),
                )
                for number, base_sequence, valid_bytes, last_sequence, raw_bytes, compacted in segments
            ),
        )
    except (ValueError, TypeError) as problem:
        raise DamagedStoreError(str(problem), NAME) from None
    if not found.segments:
        raise DamagedStoreError("the manifest names no segment", NAME)
    return found
