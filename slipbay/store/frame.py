"""Encoding and decoding of segments and frames; no I/O.

A segment is a head followed by frames. A frame is

    crc32c u32 | length u32 | sequence u64 | key length u16 | kind u8 | key | value

in little-endian order. The CRC (Castagnoli polynomial, as in RFC 3720) covers all bytes that follow it; the
length is that of key and value together. Sequence numbers count single changes since the store was created.
There are three kinds: ``PUT``, ``DELETE``, and ``BLOCK``, which contains frames of a compacted segment,
compressed with zstd (RFC 8878). The first frame of each commit has the flag ``FIRST``. A commit begins only
after the previous one is durable. A valid ``FIRST`` frame after a corrupt frame therefore proves damage,
whereas a corrupt end alone proves only that the last commit was interrupted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct, error
from typing import NamedTuple

import google_crc32c
import zstandard

from slipbay.store.errors import DamagedStoreError, NewerFormatError

FORMAT = 1  # version of segments and manifest; a newer version raises ``NewerFormatError``
MAGIC = b"slipseg\0"
HEAD = Struct("<8sHQQ")  # magic, format, segment number, sequence before the segment's first record
CRC = Struct("<I")
CRC_BYTES = CRC.size
HEAD_BYTES = HEAD.size + CRC.size
FRAME = Struct("<IIQHB")  # crc32c, length, sequence, key length, kind
FRAME_BYTES = FRAME.size
PUT = 0
DELETE = 1
BLOCK = 2
FIRST = 0x80  # flag in the kind of the first frame of a commit
MAX_KEY_BYTES = 1024
MAX_VALUE_BYTES = 4 * 1024 * 1024
MAX_SEQUENCES = 2**32  # in one segment
BLOCK_BYTES = 16 * 1024  # approximate size of a block's frames; a single frame may be longer
MAX_BLOCK_BYTES = BLOCK_BYTES + FRAME_BYTES + MAX_KEY_BYTES + MAX_VALUE_BYTES
MAX_CONTENT_BYTES = MAX_KEY_BYTES + MAX_BLOCK_BYTES  # key and value of a frame

_checksum = google_crc32c.value
_compressor = zstandard.ZstdCompressor(level=1)
_decompressor = zstandard.ZstdDecompressor()


def checksum(data: bytes) -> int:
    """The CRC32C of ``data`` as an unsigned 32-bit number."""
    return int(_checksum(data))


def encode_head(number: int, base_sequence: int) -> bytes:
    """Encode the head of segment ``number``, whose first record has the sequence ``base + 1``."""
    body = HEAD.pack(MAGIC, FORMAT, number, base_sequence)
    return body + CRC.pack(checksum(body))


def decode_head(data: bytes, name: str) -> tuple[int, int]:
    """Decode the number and the base of the segment in file ``name``.

    Raises ``DamagedStoreError`` if the head is invalid, and ``NewerFormatError`` if its format is newer.
    """
    if len(data) < HEAD_BYTES:
        raise DamagedStoreError("the segment head is truncated", name)
    magic, version, number, base_sequence = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise DamagedStoreError("the file is not a segment of a store", name)
    if version > FORMAT:
        raise NewerFormatError(name, version, FORMAT)
    if CRC.unpack_from(data, HEAD.size)[0] != checksum(data[: HEAD.size]):
        raise DamagedStoreError("the segment head has a wrong checksum", name)
    return number, base_sequence


def encode_frame(sequence: int, key: bytes, value: bytes, kind: int = PUT) -> bytes:
    """Encode one frame. Raises ``ValueError`` if key or value exceeds its maximum length."""
    if len(key) > MAX_KEY_BYTES or len(value) > MAX_BLOCK_BYTES:
        raise ValueError(
            f"want keys of at most {MAX_KEY_BYTES} and values of at most {MAX_VALUE_BYTES} bytes"
        )
    body = FRAME.pack(0, len(key) + len(value), sequence, len(key), kind)[CRC.size :] + key + value
    return CRC.pack(checksum(body)) + body


class Record(NamedTuple):
    """A change and the position of its frame."""

    sequence: int
    key: bytes
    value: bytes | None  # None: the key was deleted
    offset: int  # of the frame in its segment, or of the block that contains it
    inner_offset: int  # of the frame in its block; -1 if it is not in a block
    length: int  # of the frame, in bytes


@dataclass(slots=True, frozen=True)
class Scan:
    """The result of scanning a range of frames."""

    records: list[Record]
    end: int  # offset of the end of the last valid frame
    last_sequence: int  # sequence of that frame
    fault: str  # why the next frame is invalid; empty if there is none
    has_more: bool = False  # the scan stopped because it had enough records


def scan(
    data: bytes, offset: int, end: int, last_sequence: int, consecutive: bool, max_records: int = 2**62
) -> Scan:
    """Read frames of ``data`` from ``offset`` until ``end`` or until a frame is corrupt.

    The scan stops at the first frame after which it has ``max_records`` records. ``last_sequence`` is the
    sequence before the first frame. If ``consecutive``, each sequence is the previous plus 1, as in a log; if
    not, sequences only increase, as after compaction.
    """
    records: list[Record] = []
    fault = ""
    # local names, as the loop runs for every record
    unpack = FRAME.unpack_from
    append_record = records.append
    make_record = Record._make
    while offset < end and len(records) < max_records:
        if end - offset < FRAME_BYTES:
            fault = "a frame is truncated"
            break
        crc, length, sequence, key_length, kind = unpack(data, offset)
        key_start = offset + FRAME_BYTES
        frame_end = key_start + length
        if length > MAX_CONTENT_BYTES or key_length > length or frame_end > end:
            fault = "a frame is truncated or its length is invalid"
            break
        if _checksum(data[offset + CRC_BYTES : frame_end]) != crc:
            fault = "a frame has a wrong checksum"
            break
        kind &= ~FIRST
        if kind == BLOCK:
            last_sequence, fault = _add_block(records, data[key_start:frame_end], offset, last_sequence)
        else:
            fault = (
                _order_fault(sequence, last_sequence, consecutive, kind)
                if sequence != last_sequence + 1 or kind
                else ""
            )
            if not fault:
                key_end = key_start + key_length
                value = None if kind else data[key_end:frame_end]
                append_record(
                    make_record((sequence, data[key_start:key_end], value, offset, -1, frame_end - offset))
                )
                last_sequence = sequence
        if fault:
            break
        offset = frame_end
    return Scan(records, offset, last_sequence, fault, has_more=not fault and offset < end)


def _order_fault(sequence: int, last_sequence: int, consecutive: bool, kind: int) -> str:
    """Describe what is wrong with a record's sequence or kind; empty if nothing is."""
    if sequence != last_sequence + 1 if consecutive else sequence <= last_sequence:
        return f"sequence {sequence} follows {last_sequence}"
    return f"frame kind {kind} is unknown" if kind > DELETE else ""


def _add_block(records: list[Record], payload: bytes, offset: int, last_sequence: int) -> tuple[int, str]:
    """Add the records of a block; returns the last sequence and what is wrong with the block, if anything."""
    try:
        for record in block_records(payload, offset, last_sequence):
            records.append(record)
            last_sequence = record.sequence
    except DamagedStoreError as problem:
        return last_sequence, problem.reason
    return last_sequence, ""


def encode_block(frames: bytes) -> bytes:
    """Encode frames as a compressed ``BLOCK`` frame."""
    return encode_frame(0, b"", _compressor.compress(frames), BLOCK)


def decompress_block(payload: bytes) -> bytes:
    """Decompress the frames in a block's payload. Raises ``DamagedStoreError``."""
    try:
        return _decompressor.decompress(payload, max_output_size=MAX_BLOCK_BYTES)
    except zstandard.ZstdError as problem:
        raise DamagedStoreError(f"a block cannot be decompressed: {problem}") from None


def block_records(payload: bytes, offset: int, last_sequence: int) -> Iterator[Record]:
    """The records of the block at ``offset``.

    The checksum of the block covers its records, so their own checksums are not checked. Raises
    ``DamagedStoreError``.
    """
    frames = decompress_block(payload)
    inner_offset = 0
    end = len(frames)
    try:
        while inner_offset < end:
            _, length, sequence, key_length, kind = FRAME.unpack_from(frames, inner_offset)
            key_start = inner_offset + FRAME_BYTES
            frame_end = inner_offset + FRAME_BYTES + length
            if frame_end > end or sequence <= last_sequence:
                raise DamagedStoreError("a block holds invalid frames")
            key_end = key_start + key_length
            yield Record(
                sequence,
                frames[key_start:key_end],
                None if kind & DELETE else frames[key_end:frame_end],
                offset,
                inner_offset,
                frame_end - inner_offset,
            )
            last_sequence = sequence
            inner_offset = frame_end
    except error:
        raise DamagedStoreError("a block holds invalid frames") from None


def value_of(frame: bytes) -> bytes:
    """Extract the value from the bytes of one frame."""
    key_length: int = FRAME.unpack_from(frame)[3]
    return frame[FRAME_BYTES + key_length :]


def find_later_commit(data: bytes, corrupt_offset: int, end: int, last_sequence: int) -> int:
    """Offset of a valid first frame of a commit after the corrupt frame; -1 if there is none.

    Such a frame proves that all data before it was durable, so the corrupt frame is damage.
    """
    for offset in range(corrupt_offset + 1, end - FRAME_BYTES + 1):
        crc, length, sequence, key_length, kind = FRAME.unpack_from(data, offset)
        frame_end = offset + FRAME_BYTES + length
        if (
            kind & FIRST
            and frame_end <= end
            and key_length <= length
            and last_sequence < sequence < last_sequence + MAX_SEQUENCES
            and _checksum(data[offset + CRC_BYTES : frame_end]) == crc
        ):
            return offset
    return -1
