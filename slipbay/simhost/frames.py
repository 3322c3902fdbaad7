"""Layout of the simulator's protocol.

Frames are little-endian and have fixed-size records and a tail. Each record has one ``Struct``. The names of
the records are those of the protocol's specification.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct

from slipbay.errors import SlipbayError

BATCH_HEADER = Struct("<IIQI")  # bytes, number of records, time in us, turn
REPLY_HEADER = Struct("<III")  # bytes, number of records, turn
EVENT_SIZE = 48  # size of a record in a batch, bytes


class EventCode(IntEnum):
    """Types of the records in a batch; the first byte of a record."""

    PROBED = 1
    PEERS_KNOWN = 2
    TIMEOUT_FIRED = 3
    DROPPED = 4
    UPDATE_OF = 5
    REGISTER = 6
    TEARDOWN = 7
    WHISPER = 8
    REPORT_BACK = 9
    START = 10
    SUBMIT = 11
    BEGUN = 12


START = Struct("<BIQII27x")
TEARDOWN = Struct("<BI43x")
REGISTER = Struct("<BIII35x")
PEERS_KNOWN = Struct("<BIBQI30x")
SUBMIT = Struct("<BIIHIQIIffB8x")
BEGUN = Struct("<BIIB6sI28x")
UPDATE_OF = Struct("<BII6sfBB27x")
REPORT_BACK = Struct("<BIIB6sHIBIB4f4x")
DROPPED = Struct("<BII39x")
TIMEOUT_FIRED = Struct("<BII39x")
PROBED = Struct("<BII6sHB4f14x")
WHISPER = Struct("<BIHII33x")
ENTRY = Struct("<6sBHHBfQ")  # entry of an engine list, in the tail


class ActionCode(IntEnum):
    """Types of the records in a reply; the first byte of a record."""

    DISPATCH = 65
    OVERLOAD_REPLY = 66
    FAIL = 67
    RETRACT = 68
    REMIND = 69
    HEALTH_CHECK = 70
    LET_GO = 71
    SIGNAL = 72
    NOTE_DOWN = 73
    INTERNAL_ERROR = 74
    KEEP_INFORMED = 75
    QUERY_ALL = 76
    ASSIGN_TERMS = 77


DISPATCH = Struct("<BII6sI5x")
RETRACT = Struct("<BIIB14x")
OVERLOAD_REPLY = Struct("<BIII11x")
FAIL = Struct("<BII15x")
REMIND = Struct("<BIIQ7x")
HEALTH_CHECK = Struct("<BI6s13x")
LET_GO = Struct("<BI6s13x")
SIGNAL = Struct("<BIHII9x")
TEXT = Struct("<BIII11x")
KEEP_INFORMED = Struct("<BIB18x")
QUERY_ALL = Struct("<BI19x")
ASSIGN_TERMS = Struct("<BIIfB10x")

ALL_PEERS = 0xFFFF  # receiver number that addresses all other instances

# flags of a submitted query
COST_VALID = 1
CLIENT_REPEAT = 2
WRITE = 4


class MalformedInputError(SlipbayError):
    """The input violates the protocol; the message is a plain sentence.

    ``code`` is the first byte of the malformed record, if there is one.
    """

    def __init__(self, reason: str, code: int | None = None) -> None:
        super().__init__(reason if code is None else f"record with code {code}: {reason}")
        self.reason = reason
        self.code = code
