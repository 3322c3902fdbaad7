"""The bodies that routers exchange about shares and leases, of at most 236 bytes.

Little-endian. The head: message type (u8), version of the sender's plan (u16), its layout (u8), tag of the
request (u32; a reply has that of its request), and the lease's length in ms (u16; 0 in borrow requests). Then
one entry for each quota: its key (u16), two amounts (u16), and of the sender its demand and its share (16-bit
floats; 1 is the quota divided by the number of routers). In a borrow request the amounts are what is kept
from now on of what the other lent, and what is wanted of it, where more than the whole says that nothing is
wanted, and how much the sender can spare. In a reply they are what is lent, and 1 + the number of another
holder with a surplus, or 0. Amounts are whole parts of the quota, so both ends hold the very same number.

Messages about leases have the same head and entries of three numbers (u16): a base share, by its owner's
number; a router, or in a grant whether the owner asks for its base share; and a span in ms. The head's length
is that for which base shares are granted.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from struct import Struct
from typing import NamedTuple

from slipbay.peer_channel.interfaces import MAX_BODY_BYTES

HEAD = Struct("<BHBIH")
BORROW_ENTRY = Struct("<HHHee")
LEASE_ENTRY = Struct("<HHH")
MAX_BORROW_ENTRIES = (MAX_BODY_BYTES - HEAD.size) // BORROW_ENTRY.size
MAX_LEASE_ENTRIES = (MAX_BODY_BYTES - HEAD.size) // LEASE_ENTRY.size
MAX_FLOAT = 60_000.0  # in even shares: below the largest 16-bit float
MAX_SPAN_MS = 2**16 - 1


class MessageType(IntEnum):
    """The first byte of a body."""

    BORROW_REQUEST = 1
    BORROW_REPLY = 2
    LEASE_REQUEST = 3  # asks a granter for base shares
    LEASE_RELEASE = 4  # gives them back
    LEASE_GRANT = 5  # a granter's reply
    LEASE_LOCATION = 6  # which router has base shares, and for how long yet
    LOCATION_QUERY = 7  # asks for that
    LEASE_SHORTEN = 8  # counts on grants for no longer than a span from now
    RECALL = 9  # asks for everything that was lent
    FLEET_START = 10  # an incarnation, and for which incarnations it stated that it held nothing


BORROW_TYPES = (MessageType.BORROW_REQUEST, MessageType.BORROW_REPLY)
KNOWN_TYPES = frozenset(MessageType)


class BorrowEntry(NamedTuple):
    """One quota in a borrow request or reply."""

    key: int
    amount: int  # kept, or lent
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
    """One base share in a message about leases."""

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
    """The body of a message; spans and floats beyond what fits are cut."""
    head = HEAD.pack(*message[:5])
    if isinstance(message, LeaseMessage):
        return head + b"".join(
            LEASE_ENTRY.pack(owner, router, min(span_ms, MAX_SPAN_MS))
            for owner, router, span_ms in message.entries
        )
    return head + b"".join(
        BORROW_ENTRY.pack(key, amount, want, min(demand, MAX_FLOAT), min(share, MAX_FLOAT))
        for key, amount, want, demand, share in message.entries
    )


def decode(body: bytes) -> BorrowMessage | LeaseMessage | None:
    """The message of a body; None for what is no message of this protocol."""
    if len(body) < HEAD.size or body[0] not in KNOWN_TYPES:
        return None
    number, version, layout, tag, lease_ms = HEAD.unpack_from(body)
    message_type = MessageType(number)
    borrows = message_type in BORROW_TYPES
    entry = BORROW_ENTRY if borrows else LEASE_ENTRY
    if (len(body) - HEAD.size) % entry.size:
        return None
    fields = entry.iter_unpack(body[HEAD.size :])
    if not borrows:
        leases = [LeaseEntry(*found) for found in fields]
        return LeaseMessage(message_type, version, layout, tag, lease_ms, leases)
    entries = [BorrowEntry(*found) for found in fields]
    if not all(0.0 <= entry.demand <= MAX_FLOAT and 0.0 <= entry.share <= MAX_FLOAT for entry in entries):
        return None
    return BorrowMessage(message_type, version, layout, tag, lease_ms, entries)
