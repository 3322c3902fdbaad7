"""Encoding of membership messages: datagrams of at most 256 bytes.

Integers are little-endian. The header is: 3 bytes ``slb``, version (2), kind with its top bit set, build,
zone, number of the sender (u16), start id (u16), token (u16), incarnation (u32), digest of its table (u32).
The fields of the kind follow, then updates in groups with the same state and incarnation. A group is: a tag
(state in two bits, plus 4 for a bitmap), the incarnation (LEB128), and either a list or a bitmap. A list is
the count (u8) and the difference of each number from the one before (LEB128; for suspects each followed by
the accuser, u16). A bitmap is the index of its first byte (LEB128), the count of bytes (u8), and one bit for
each number. The checksum ends the datagram: with a key 8 bytes of keyed BLAKE2s over all bytes before it,
without a key 4 bytes of CRC-32. Gossip messages of the routing policy differ: they have 0 or 1 in byte 4.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct, error
from typing import NamedTuple

from slipbay.membership.varint import decode_varint, encode_varint, varint_bytes
from slipbay.peer_channel.frame import (
    CRC_BYTES,
    DIGEST_BYTES,
    FLAG,
    MAGIC,
    MAX_BYTES,
    VERSION,
    CorruptFrameError,
    checksum,
    is_peer_message,
    remove_checksum,
)

HEAD = Struct("<3sBBBBHHHII")
NUMBER = Struct("<H")
MAX_ZONES = 64
BITMAP = 4  # flag in the tag of a group of updates
PADDING = 0xFF  # tag after the last group
MAX_COUNT = 255  # largest value of a byte: bytes of a bitmap


class MemberState(IntEnum):
    """State of a router. Of two states at the same incarnation the higher one takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class MessageType(IntEnum):
    """Type of a message."""

    PING = 1  # requests an ACK
    ACK = 2
    PING_REQUEST = 3  # requests that the receiver pings a third router, whose number follows
    UPDATES = 4  # requests no reply
    TABLE_HASHES = 5  # hashes of the sender's buckets follow; requests UPDATES of those that differ
    STATUS = 6  # status request of a command on this host; answered with PAGE messages
    PAGE = 7


KINDS = {kind.value: kind for kind in MessageType}
STATES = tuple(MemberState)


class Update(NamedTuple):
    """An update about a router. Of all updates about a number, the greatest by incarnation, then state, is
    valid."""

    number: int
    state: MemberState
    incarnation: int
    accuser: int = 0  # of a suspect


class Message(NamedTuple):
    """A membership message. ``start_id``: a number that is new with each start of the sender. ``digest``: of
    its set of live members."""

    kind: MessageType
    sender: int
    incarnation: int
    start_id: int
    digest: int
    token: int = 0
    build: int = 0
    zone: int = 0
    target: int = 0  # of a PING_REQUEST
    hashes: tuple[int, ...] = ()  # of TABLE_HASHES: 16 bits each, salted with the token
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageKeys:
    """The key that signs messages, and the previous one, also accepted during a change of keys. Empty: no
    key."""

    current: bytes = b""
    previous: bytes = b""

    @property
    def accepted(self) -> tuple[bytes, ...]:
        """Keys of which any may have signed a message; empty if messages are not signed."""
        return tuple(key for key in (self.current, self.previous) if key)


def base_bytes(fixed: int, keyed: bool) -> int:
    """Length of a message without updates. ``fixed``: bytes of the fields of its kind."""
    return 1 + HEAD.size + fixed + (DIGEST_BYTES if keyed else CRC_BYTES)


class _GroupSize(NamedTuple):
    """Size of a group of updates: smallest and greatest number, bytes as a list, bytes of the chosen
    encoding."""

    low: int
    high: int
    listed: int
    encoded: int


def fit_updates(updates: Iterable[Update], space: int) -> tuple[list[Update], int]:
    """The longest prefix of ``updates`` that takes at most ``space`` bytes in any case, and an upper bound of
    its bytes."""
    taken: list[Update] = []
    groups: dict[tuple[MemberState, int], _GroupSize] = {}
    used = 0
    for update in updates:
        number, state, incarnation, _ = update
        group = state, incarnation
        low, high, listed, before = groups.get(group) or (number, number, 0, 0)
        low = min(low, number)
        high = max(high, number)
        listed += varint_bytes(number)
        content = listed
        if state is MemberState.SUSPECT:
            listed += NUMBER.size
            content = listed
        elif (high >> 3) - (low >> 3) < MAX_COUNT:
            content = min(listed, varint_bytes(low >> 3) + (high >> 3) - (low >> 3) + 1)
        after = 2 + varint_bytes(incarnation) + content
        if used + after - before > space:
            break
        groups[group] = _GroupSize(low, high, listed, after)
        used += after - before
        taken.append(update)
    return taken, used


def encode(message: Message, key: bytes = b"") -> bytes:
    """The datagram of a message, signed if there is a key."""
    data = HEAD.pack(
        MAGIC,
        VERSION,
        FLAG | message.kind,
        message.build,
        message.zone,
        message.sender,
        message.start_id,
        message.token,
        message.incarnation,
        message.digest,
    )
    if message.kind is MessageType.PING_REQUEST:
        data += NUMBER.pack(message.target)
    elif message.kind is MessageType.TABLE_HASHES:
        data += bytes([len(message.hashes)]) + b"".join(map(NUMBER.pack, message.hashes))
    if message.updates:
        data += b"".join(_encode_groups(message.updates))
    if (len(data) + (DIGEST_BYTES if key else CRC_BYTES) - 5) % 3 == 0:
        data += bytes([PADDING])  # avoids the lengths of policy gossip; earlier releases skip it
    return data + checksum(data, key)


def decode(data: bytes, keys: Sequence[bytes] = ()) -> Message | None:
    """The message; ``None`` if it has another version or an unknown kind.

    ``keys``: any of them may have signed it. Raises ``CorruptFrameError``.
    """
    if not is_peer_message(data) or len(data) > MAX_BYTES:
        raise CorruptFrameError("not a membership message")
    data = remove_checksum(data, keys)
    if data[3] != VERSION or data[4] & ~FLAG not in KINDS:
        return None
    try:
        return _decode_message(data)
    except (error, IndexError):
        raise CorruptFrameError("the message is truncated") from None


def _decode_message(data: bytes) -> Message:
    _, _, number, build, zone, sender, start_id, token, incarnation, digest = HEAD.unpack_from(data)
    kind = KINDS[number & ~FLAG]
    offset = HEAD.size
    target = 0
    hashes: tuple[int, ...] = ()
    if kind is MessageType.PING_REQUEST:
        (target,) = NUMBER.unpack_from(data, offset)
        offset += NUMBER.size
    elif kind is MessageType.TABLE_HASHES:
        hashes, offset = _decode_hashes(data, offset)
    updates = tuple(_decode_updates(data, offset)) if offset < len(data) else ()
    return Message(kind, sender, incarnation, start_id, digest, token, build, zone, target, hashes, updates)


def _decode_hashes(data: bytes, offset: int) -> tuple[tuple[int, ...], int]:
    count = data[offset]
    end = offset + 1 + NUMBER.size * count
    hashes = tuple(value for (value,) in NUMBER.iter_unpack(data[offset + 1 : end]))
    if len(hashes) != count:
        raise CorruptFrameError("hashes are missing")
    return hashes, end


def _encode_groups(updates: Iterable[Update]) -> Iterator[bytes]:
    by_group: dict[tuple[MemberState, int], list[Update]] = {}
    for update in updates:
        by_group.setdefault((update.state, update.incarnation), []).append(update)
    for (state, incarnation), members in sorted(by_group.items()):
        members.sort()
        listed = _encode_list(members)
        first = members[0].number >> 3
        span = (members[-1].number >> 3) - first + 1
        start = encode_varint(first)
        if state is MemberState.SUSPECT or span > MAX_COUNT or len(listed) <= len(start) + span:
            yield bytes([state]) + encode_varint(incarnation) + bytes([len(members)]) + listed
        else:
            bits = sum(1 << update.number - 8 * first for update in members)
            head = bytes([state | BITMAP]) + encode_varint(incarnation)
            yield head + start + bytes([span]) + bits.to_bytes(span, "little")


def _encode_list(updates: Iterable[Update]) -> bytes:
    parts = []
    last = 0
    for update in updates:
        parts.append(encode_varint(update.number - last))
        last = update.number
        if update.state is MemberState.SUSPECT:
            parts.append(NUMBER.pack(update.accuser))
    return b"".join(parts)


def _decode_updates(data: bytes, offset: int) -> Iterator[Update]:
    while offset < len(data) and data[offset] < 2 * BITMAP:
        tag = data[offset]
        state = STATES[tag % BITMAP]
        incarnation, offset = decode_varint(data, offset + 1)
        if tag >= BITMAP:
            numbers, offset = _decode_bitmap(data, offset)
            for number in numbers:
                yield Update(number, state, incarnation)
            continue
        count = data[offset]
        offset += 1
        number = 0
        for _ in range(count):
            step, offset = decode_varint(data, offset)
            number += step
            accuser = 0
            if state is MemberState.SUSPECT:
                (accuser,) = NUMBER.unpack_from(data, offset)
                offset += NUMBER.size
            yield Update(number, state, incarnation, accuser)


def _decode_bitmap(data: bytes, offset: int) -> tuple[list[int], int]:
    first, offset = decode_varint(data, offset)
    span = data[offset]
    end = offset + 1 + span
    if len(data) < end:
        raise CorruptFrameError("a bitmap is truncated")
    bits = int.from_bytes(data[offset + 1 : end], "little")
    numbers = []
    number = 8 * first
    while bits:
        if bits & 1:
            numbers.append(number)
        bits >>= 1
        number += 1
    return numbers, end
