"""LEB128 encoding of unsigned integers: 7 bits per byte, lowest first, top bit set in all but the last
byte."""

from __future__ import annotations

from slipbay.peer_channel.frame import CorruptFrameError

LOW_BITS = 0x7F  # bits of a byte that hold the number
MORE_FLAG = 0x80  # more bytes follow
MAX_SHIFT = 28  # bits before the last byte; numbers have up to five bytes


def encode_varint(value: int) -> bytes:
    """The encoding of a number that is not negative."""
    parts = bytearray()
    while value > LOW_BITS:
        parts.append(value & LOW_BITS | MORE_FLAG)
        value >>= 7
    parts.append(value)
    return bytes(parts)


def varint_bytes(value: int) -> int:
    """Length of the encoding of a number."""
    return max(1, -(-value.bit_length() // 7))


def decode_varint(data: bytes, offset: int) -> tuple[int, int]:
    """The number that starts at ``offset``, and the offset of its end. Raises ``CorruptFrameError`` if it is
    too long, and ``IndexError`` if it is truncated."""
    value = 0
    shift = 0
    while data[offset] & MORE_FLAG:
        value |= (data[offset] & LOW_BITS) << shift
        shift += 7
        offset += 1
        if shift > MAX_SHIFT:
            raise CorruptFrameError("a varint is too long")
    return value | data[offset] << shift, offset + 1
