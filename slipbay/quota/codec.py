"""Encodes and decodes message bodies about shares and leases, of at most 236 bytes.

All fields are little-endian. The header has the message type (u8), the version of the sender's plan (u16),
its layout (u8), the tag of the request (u32; a reply repeats it) and the duration of the lease in ms (u16; 0
in borrow requests).

In borrow messages one entry for each quota follows: its key (u16), two amounts (u16), and the sender's demand
and share (16-bit floats in even shares; an even share is the quota divided by the number of routers). In a
request the first amount is the part of the receiver's lent share that the sender keeps from now on. The
second is the amount that the sender wants to borrow; a value above the full quota means that it wants nothing
and tells its surplus. In a reply the first amount is the lent share; the second is 1 + the number of another
holder with a surplus, or 0. Amounts are integers in share units, so both ends have the same value.

Lease messages have the same header, with the duration of leases on base shares, and entries of three numbers
(u16): the owner of a base share; a router, or in a grant whether the owner requests its base share; and a
duration in ms.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from struct import Struct
from typing import NamedTuple

from slipbay.peer_channel.interfaces import MAX_BODY_BYTES

HEADER = Struct("<BHBIH")
BORROW_ENTRY = Struct("<HHHee")
LEASE_ENTRY = Struct("<HHH")
MAX_BORROW_ENTRIES = (MAX_BODY_BYTES - HEADER.size) // BORROW_ENTRY.size
MAX_LEASE_ENTRIES = (MAX_BODY_BYTES - HEADER.size) // LEASE_ENTRY.size
MAX_FLOAT = 60_000.0  # in even shares; below the largest 16-bit float
MAX_SPAN_MS = 2**16 - 1


class MessageType(IntEnum):
    """The first byte of a body."""

    BORROW_REQUEST = 1
    BORROW_REPLY = 2
    LEASE_REQUEST = 3  # requests base shares from a granter
    LEASE_RELEASE = 4  # releases base shares
    LEASE_GRANT = 5  # a granter's reply that grants base shares
    LEASE_LOCATION = 6  # the holders of base shares, and the remaining times of their leases
    LOCATION_QUERY = 7  # queries a router for the holders of base shares
    LEASE_SHORTEN = 8  # shortens leases to a duration from now on
    RECALL = 9  # requests the return of all lent shares
    FLEET_START = 10  # the sender's incarnation, and the incarnations for which it stated it held nothing


BORROW_TYPES = (MessageType.BORROW_REQUEST, MessageType.BORROW_REPLY)
KNOWN_TYPES = frozenset(MessageType)


class BorrowEntry(NamedTuple):
    """One quota in a borrow request or reply."""

    key: int
    amount: int  # the amount kept (request) or lent (reply)
    want: int
    demand: float
    share: float


class BorrowMessage(NamedTuple):
    """A borrow request or reply."""

    message_type: MessageType
    version: int
    layout: int
    tag: int
    lease_ms: int
    entries: Sequence[BorrowEntry]


class LeaseEntry(NamedTuple):
    """One base share in a lease message."""

    owner: int
    router: int
    span_ms: int


class LeaseMessage(NamedTuple):
    """Any message that is neither a borrow request nor a reply."""

    message_type: MessageType
    version: int
    layout: int
    tag: int
    lease_ms: int
    entries: Sequence[LeaseEntry]


def encode(message: BorrowMessage | LeaseMessage) -> bytes:
    """Encode a message; durations and floats above the maximum are limited to it."""
    header = HEADER.pack(*message[:5])
    if isinstance(message, LeaseMessage):
        return header + b"".join(
            LEASE_ENTRY.pack(owner, router, min(span_ms, MAX_SPAN_MS))
            for owner, router, span_ms in message.entries
        )
    return header + b"".join(
        BORROW_ENTRY.pack(key, amount, want, min(demand, MAX_FLOAT), min(share, MAX_FLOAT))
        for key, amount, want, demand, share in message.entries
    )


def decode(body: bytes) -> BorrowMessage | LeaseMessage | None:
    """Decode a body; return None if it is not a valid message."""
    if len(body) < HEADER.size or body[0] not in KNOWN_TYPES:
        return None
    number, version, layout, tag, lease_ms = HEADER.unpack_from(body)
    message_type = MessageType(number)
    is_borrow_message = message_type in BORROW_TYPES
    entry = BORROW_ENTRY if is_borrow_message else LEASE_ENTRY
    if (len(body) - HEADER.size) % entry.size:
        return None
    fields = entry.iter_unpack(body[HEADER.size :])
    if not is_borrow_message:
        leases = [LeaseEntry(*found) for found in fields]
        return LeaseMessage(message_type, version, layout, tag, lease_ms, leases)
    entries = [BorrowEntry(*found) for found in fields]
    if not all(0.0 <= entry.demand <= MAX_FLOAT and 0.0 <= entry.share <= MAX_FLOAT for entry in entries):
        return None
    return BorrowMessage(message_type, version, layout, tag, lease_ms, entries)
