"""The record of an idempotency key, and its stored form.

A record's value is a msgpack list. Its key in the store is one byte for the record type, followed by the
idempotency key. Times are whole microseconds of the Unix clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import msgpack

from slipbay.idempotency.errors import UnreadableRecordError

Change: TypeAlias = tuple[bytes, bytes | None]
"""A key of the store and its new value; None deletes the key."""

# First byte of a key of the store: the record type
REQUEST = b"r"
ANSWER = b"a"
RETRY_BUDGET = b"t"
SNAPSHOT = b"c"


class KeyPhase(Enum):
    """The progress of the request under a key."""

    PENDING = "taken"  # no attempt may have been sent
    RUNNING = "running"  # an intent is durable or is being written
    ENDED = "ended"


class KeyOutcome(Enum):
    """The end of a request that may have run."""

    SERVED = "served"
    FAILED = "may have run"


@dataclass(frozen=True, slots=True)
class Intent:
    """An attempt that is about to be sent; it may be sent once this record is durable."""

    attempt: int  # number, from 0
    engine: bytes
    engine_started_us: int  # from the endpoint list; 0 for the engine's first process
    wire: str  # protocol: "http" or "mysql"
    request_name: str  # the id of the query on an HTTP engine
    thread: int  # the MySQL server's connection number; 0 for HTTP
    sent_us: int
    deadline_us: int


@dataclass(slots=True, eq=False)
class KeyRecord:
    """The state of an idempotency key and its request."""

    key: bytes
    digest: bytes
    has_client_key: bool  # a client may repeat the key; if not, the record is deleted when the request ends
    phase: KeyPhase = KeyPhase.PENDING
    intent: Intent | None = None
    is_stored: bool = False  # the store holds this record, or a write of it is queued
    may_have_been_sent: bool = False  # an attempt may have been sent and is not proved not to have run
    outcome: KeyOutcome | None = None
    answer_bytes: int = -1  # size of the stored answer; -1: no answer is stored
    client_notified: bool = False  # a client was connected when the request ended, or has repeated it since
    changed_us: int = 0  # time of the last change


def encode_record(record: KeyRecord) -> Change:
    """Encode a record as the change that stores it."""
    intent = record.intent
    value: bytes = msgpack.packb(
        [
            record.digest,
            record.has_client_key,
            record.phase.value,
            record.outcome and record.outcome.value,
            record.answer_bytes,
            record.client_notified,
            record.changed_us,
            intent
            and [
                intent.attempt,
                intent.engine,
                intent.engine_started_us,
                intent.wire,
                intent.request_name,
                intent.thread,
                intent.sent_us,
                intent.deadline_us,
            ],
        ]
    )
    return REQUEST + record.key, value


def decode_record(stored_key: bytes, value: bytes) -> KeyRecord:
    """Decode a stored record. Raises ``UnreadableRecordError`` if this program did not write it."""
    try:
        digest, has_client_key, phase, outcome, answer_bytes, notified, changed_us, fields = msgpack.unpackb(
            value
        )
        return KeyRecord(
            stored_key[1:],
            digest,
            has_client_key,
            phase=KeyPhase(phase),
            intent=None if fields is None else Intent(*fields),
            is_stored=True,
            may_have_been_sent=False,
            outcome=outcome and KeyOutcome(outcome),
            answer_bytes=answer_bytes,
            client_notified=notified,
            changed_us=changed_us,
        )
    except (ValueError, TypeError) as error:
        raise UnreadableRecordError(f"the record of {stored_key!r}", error) from None
