"""Datagram format of the channel: a header, the body of one endpoint and a checksum, in at most 256 bytes.

Integers are little-endian. The header is: 3 bytes ``slb``, version (2, as in membership messages), kind with
its top bit set, number of the sender (u16), incarnation of the sender (u16), and a byte that is 1 if there is
padding. The body follows, then one byte of padding if the datagram would otherwise have a length that a
gossip message of the routing policy can have. The checksum ends it: with a key 8 bytes of keyed BLAKE2s over
all bytes before it, without a key 4 bytes of CRC-32. Routers that only support membership messages do not
know the kind and skip the datagram.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from hashlib import blake2s
from struct import Struct
from typing import NamedTuple
from zlib import crc32

from slipbay.errors import SlipbayError

MAX_BYTES = 256
VERSION = 2
MAGIC = b"slb"
FLAG = 0x80  # top bit of the kind byte; gossip of the routing policy does not have it
HEAD = Struct("<3sBBHHB")
CRC = Struct("<I")
# length of the checksum with a key, and without
DIGEST_BYTES = 8
CRC_BYTES = 4
FIRST_KIND = 16  # lower kinds are membership messages
MIN_BYTES = 5  # up to and including the kind


class CorruptFrameError(SlipbayError):
    """A datagram that is in no known format, is truncated or has a wrong checksum."""


class Frame(NamedTuple):
    """A message of an endpoint with the kind, number and incarnation of its sender."""

    kind: int
    sender: int
    life: int  # incarnation of the sender
    body: bytes


def is_peer_message(data: bytes) -> bool:
    """Whether a datagram is a channel frame or a membership message; all others are gossip of the policy."""
    return len(data) >= MIN_BYTES and bool(data[4] & FLAG) and data[:3] == MAGIC


def is_framed(data: bytes) -> bool:
    """Whether a datagram is a channel frame; if not, and ``is_peer_message``, it is a membership message."""
    return is_peer_message(data) and data[4] & ~FLAG >= FIRST_KIND


def encode(frame: Frame, key: bytes = b"") -> bytes:
    """The datagram of a frame. Raises ``ValueError`` for a body that is too long."""
    kind, sender, life, body = frame
    checksum_bytes = DIGEST_BYTES if key else CRC_BYTES
    # gossip of the routing policy has a length of 5 + 3n bytes
    padded = (HEAD.size + len(body) + checksum_bytes - 5) % 3 == 0
    data = HEAD.pack(MAGIC, VERSION, FLAG | kind, sender, life, padded) + body + bytes(padded)
    if len(data) + checksum_bytes > MAX_BYTES:
        raise ValueError(f"a body of {len(body)} bytes is too long")
    return data + checksum(data, key)


def decode(data: bytes, keys: Sequence[bytes] = ()) -> Frame | None:
    """The frame, or ``None`` if it has another version.

    ``keys``: any of them may have signed it; none: it has a CRC-32. Raises ``CorruptFrameError``.
    """
    if not is_framed(data) or len(data) > MAX_BYTES:
        raise CorruptFrameError("not a frame of the channel")
    data = remove_checksum(data, keys)
    if data[3] != VERSION:
        return None
    if len(data) < HEAD.size:
        raise CorruptFrameError("the header is truncated")
    _, _, kind, sender, life, padded = HEAD.unpack_from(data)
    if padded > 1 or len(data) < HEAD.size + padded:
        raise CorruptFrameError("the padding is truncated")
    return Frame(kind & ~FLAG, sender, life, data[HEAD.size : len(data) - padded])


def remove_checksum(data: bytes, keys: Sequence[bytes]) -> bytes:
    """The bytes before a valid checksum. Raises ``CorruptFrameError``."""
    if keys:
        found = data[-DIGEST_BYTES:]
        data = data[:-DIGEST_BYTES]
        is_valid = any(hmac.compare_digest(found, checksum(data, key)) for key in keys)
    else:
        found = data[-CRC_BYTES:]
        data = data[:-CRC_BYTES]
        is_valid = found == CRC.pack(crc32(data))
    if not is_valid:
        raise CorruptFrameError("the checksum matches none of the keys, or the datagram is damaged")
    return data


def checksum(data: bytes, key: bytes) -> bytes:
    """The checksum. Without a key it detects accidental damage but does not authenticate the sender."""
    if not key:
        return CRC.pack(crc32(data))
    return blake2s(data, key=key, digest_size=DIGEST_BYTES).digest()
