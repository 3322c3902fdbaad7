"""Datagrams between routers about the fleet: at most 256 bytes, told apart from the decisions' own by byte 4.

Little-endian. The head: 3 bytes ``slb``, version (1), kind with its top bit set, build, zone, sender's
number (u16), incarnation (u32) and life (u16), digest of its table (u32), token (u32). Then what the kind
carries, then news: number (u16), state in two bits and zone in six, incarnation (u32), life (u16), and for
a suspect who accuses it (u16). With a key, 8 bytes of BLAKE2s over all before them follow, else 4 of
CRC-32. The decisions' messages have 0 or 1 in byte 4.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2s
from struct import Struct, error
from zlib import crc32

MOST_BYTES = 256
VERSION = 1
MAGIC, FLAG = b"slb", 0x80
HEAD, ITEM, NUMBER, HASH = Struct("<3sBBBBHIHII"), Struct("<HBIH"), Struct("<H"), Struct("<I")
SUM = HASH
DIGEST_BYTES, SUM_BYTES = 8, 4  # of the seal with a key, and without
MOST_ZONES = 64


class State(IntEnum):
    """What is held of a life. At one incarnation a higher state outweighs a lower one."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Kind(IntEnum):
    PING = 1  # wants an ACK
    ACK = 2
    ASK = 3  # wants the receiver to ping a third router, whose number follows
    NEWS = 4  # wants nothing
    TABLE = 5  # hashes of the sender's buckets follow; wants NEWS of those that differ
    STATUS = 6  # from a command on this machine; answered with a page of text
    PAGE = 7


@dataclass(slots=True, frozen=True)
class News:
    """One claim. Claims of one number are ordered by ``key``; the greatest one holds."""

    number: int
    state: State
    incarnation: int
    life: int
    zone: int = 0
    by: int = 0  # who accuses a suspect

    @property
    def key(self) -> tuple[int, int, int]:
        return self.incarnation, self.state, self.life


@dataclass(slots=True, frozen=True)
class Message:
    kind: Kind
    sender: int
    incarnation: int
    life: int
    digest: int  # of the sender's table
    token: int = 0
    build: int = 0
    zone: int = 0
    target: int = 0  # of an ASK
    hashes: tuple[int, ...] = ()  # of a TABLE
    news: tuple[News, ...] = ()


class Garbled(Exception):
    """Not a message of ours, or not whole."""


def is_ours(data: bytes) -> bool:
    """Whether a datagram is about the fleet; all others are the decisions'."""
    return len(data) >= 5 and bool(data[4] & FLAG) and data[:3] == MAGIC


def bare(fixed: int, keyed: bool) -> int:
    """Bytes of a message without news, of which ``fixed`` are its kind's own."""
    return 1 + HEAD.size + fixed + (DIGEST_BYTES if keyed else SUM_BYTES)


def size(news: News) -> int:
    """Bytes that a claim takes."""
    return ITEM.size + NUMBER.size * (news.state is State.SUSPECT)


def encode(message: Message, key: bytes = b"") -> bytes:
    parts = [HEAD.pack(MAGIC, VERSION, FLAG | message.kind, message.build, message.zone, message.sender,
                       message.incarnation, message.life, message.digest, message.token)]
    if message.kind is Kind.ASK:
        parts.append(NUMBER.pack(message.target))
    elif message.kind is Kind.TABLE:
        parts.append(bytes([len(message.hashes)]))
        parts += [HASH.pack(value) for value in message.hashes]
    for item in message.news:
        parts.append(ITEM.pack(item.number, item.state | item.zone << 2, item.incarnation, item.life))
        if item.state is State.SUSPECT:
            parts.append(NUMBER.pack(item.by))
    data = b"".join(parts)
    if (len(data) + (DIGEST_BYTES if key else SUM_BYTES) - 5) % 3 == 0:
        data += b"\xff"  # the length of no message of the decisions: routers of before skip it
    return data + _seal(data, key)


def decode(data: bytes, keys: Sequence[bytes] = ()) -> Message | None:
    """The message; ``None`` for one of a later version or kind, which is skipped. ``keys``: any may have
    signed."""
    if not is_ours(data) or len(data) > MOST_BYTES:
        raise Garbled("not a message about the fleet")
    length = DIGEST_BYTES if keys else SUM_BYTES
    data, seal = data[:-length], data[-length:]
    if not any(hmac.compare_digest(seal, _seal(data, key)) for key in keys or (b"",)):
        raise Garbled("its seal is of no key here, or it is not whole")
    try:
        _, version, kind, build, zone, sender, incarnation, life, digest, token = HEAD.unpack_from(data)
        kind &= ~FLAG
        if version != VERSION or kind not in Kind._value2member_map_:
            return None
        at, target, hashes = HEAD.size, 0, tuple[int, ...]()
        if kind == Kind.ASK:
            (target,), at = NUMBER.unpack_from(data, at), at + NUMBER.size
        elif kind == Kind.TABLE:
            count, at = data[at], at + 1
            hashes = tuple(value for (value,) in HASH.iter_unpack(data[at:at + HASH.size * count]))
            if len(hashes) != count:
                raise Garbled("hashes are missing")
            at += HASH.size * count
        return Message(Kind(kind), sender, incarnation, life, digest, token, build, zone, target,
                       hashes, tuple(_news(data, at)))
    except (error, IndexError):
        raise Garbled("it is cut off") from None


def _news(data: bytes, at: int) -> Iterable[News]:
    while len(data) - at > 1:  # a single byte behind them is padding
        number, flags, incarnation, life = ITEM.unpack_from(data, at)
        at += ITEM.size
        state, by = State(flags & 3), 0
        if state is State.SUSPECT:
            (by,), at = NUMBER.unpack_from(data, at), at + NUMBER.size
        yield News(number, state, incarnation, life, flags >> 2, by)


def _seal(data: bytes, key: bytes) -> bytes:
    """Without a key a sum that finds what is cut or changed by chance, but keeps nobody out."""
    if not key:
        return SUM.pack(crc32(data))
    return blake2s(data, key=key, digest_size=DIGEST_BYTES).digest()
