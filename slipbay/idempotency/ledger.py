"""The ledger of all idempotency keys of a router: decides how a request under a key is handled.

When a request is accepted, its key becomes *pending*. A pending key is only in memory; it may be lost,
because no attempt has been sent yet. An *intent* is made durable before the first byte of an attempt is sent.
If an attempt may have run, a key that the client gave is kept until ``retention_us`` after the end of the
request. If no attempt has run, the key is freed.

Times are whole microseconds of the Unix clock; the ledger's own time never goes backwards. The ledger does no
I/O and reads no clock: methods that change durable state return the changes for the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from slipbay.idempotency.errors import KeyStateError
from slipbay.idempotency.key_record import (
    ANSWER,
    REQUEST,
    Change,
    Intent,
    KeyOutcome,
    KeyPhase,
    KeyRecord,
    decode_record,
    encode_record,
)

MAX_EXPIRED_AT_ONCE = 256  # per sweep; expiring many keys in one sweep would block the event loop


class KeyDecision(Enum):
    """How a request under a key is handled."""

    NEW = "new"  # the request may run
    ATTACH = "attach"  # a request with the same key is running: wait for its end
    REPLAY = "again"  # the earlier request was served: return the stored answer
    ANSWER_NOT_STORED = "answer gone"  # served, but the answer was too long or was not written
    MAY_HAVE_RUN = "may have run"  # the earlier request ended without an answer; it is not run again
    CONFLICT = "conflict"  # the key belongs to another statement or tenant
    NO_ROOM = "no room"  # the ledger holds the maximum number of keys


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """Limits on the stored keys and answers, from the configuration."""

    retention_us: int = 24 * 3600 * 1_000_000  # time for which a key is kept after its request's end
    max_answer_bytes: int = (
        64 * 1024
    )  # longer answers are not stored, so a repeated request cannot receive them
    max_keys: int = 1_000_000


class Ledger:
    """The records of all keys, in memory."""

    def __init__(self, limits: RetentionLimits | None = None) -> None:
        self.limits = limits or RetentionLimits()
        self.records: dict[bytes, KeyRecord] = {}
        self._ended: dict[bytes, int] = {}  # end time (us) by key, oldest first, so expiry needs no search
        self._now = 0

    def advance_clock(self, now: int) -> int:
        """Advance the ledger's time to ``now`` (us) and return it; an earlier ``now`` does not change it."""
        self._now = max(self._now, now)
        return self._now

    def decide(self, key: bytes, digest: bytes, has_client_key: bool, now: int) -> KeyDecision:
        """Decide how a request under ``key`` is handled; with ``NEW`` the key is pending afterwards."""
        record = self.records.get(key)
        if record is None:
            if len(self.records) >= self.limits.max_keys:
                return KeyDecision.NO_ROOM
            self.records[key] = KeyRecord(key, digest, has_client_key, changed_us=self.advance_clock(now))
            return KeyDecision.NEW
        if record.digest != digest:
            return KeyDecision.CONFLICT
        if record.phase is not KeyPhase.ENDED:
            return KeyDecision.ATTACH
        if record.outcome is KeyOutcome.FAILED:
            return KeyDecision.MAY_HAVE_RUN
        return KeyDecision.REPLAY if record.answer_bytes >= 0 else KeyDecision.ANSWER_NOT_STORED

    def record_intent(self, record: KeyRecord, intent: Intent, now: int) -> list[Change]:
        """Record an attempt that is about to be sent.

        The attempt may be sent once the returned changes are durable and ``permit_send`` returns True.
        Raises ``KeyStateError`` if an earlier attempt may still run or the request has ended.
        """
        if record.phase is KeyPhase.ENDED or record.may_have_been_sent:
            raise KeyStateError(record.key, "an attempt may still run, or the request has ended")
        record.phase = KeyPhase.RUNNING
        record.intent = intent
        record.is_stored = True
        record.changed_us = self.advance_clock(now)
        return [encode_record(record)]

    def permit_send(self, record: KeyRecord, attempt: int) -> bool:
        """Whether an attempt whose intent is durable may be sent now; False if it was abandoned."""
        allowed = (
            record.phase is KeyPhase.RUNNING
            and record.intent is not None
            and record.intent.attempt == attempt
            and self.records.get(record.key) is record
        )
        record.may_have_been_sent = record.may_have_been_sent or allowed
        return allowed

    def mark_not_run(self, record: KeyRecord, attempt: int) -> None:
        """Record that an attempt did not run: its outcome shows that, or it was not sent."""
        if (
            record.phase is KeyPhase.RUNNING
            and record.intent is not None
            and record.intent.attempt == attempt
        ):
            record.may_have_been_sent = False

    def record_served(
        self, record: KeyRecord, answer: bytes, client_notified: bool, now: int
    ) -> list[Change]:
        """Record that the request was served.

        This also replaces an earlier record that the request may have run. The key is freed if the client did
        not give it.
        """
        if not self._end(record, KeyOutcome.SERVED, client_notified, now):
            return []
        if not record.has_client_key:
            return self.forget(record)
        if len(answer) > self.limits.max_answer_bytes:
            record.answer_bytes = -1
            return [encode_record(record)]
        record.answer_bytes = len(answer)
        return [(ANSWER + record.key, answer), encode_record(record)]

    def record_failed(self, record: KeyRecord, client_notified: bool, now: int) -> list[Change]:
        """Record the end without an answer.

        The key is kept if the client gave it and an attempt may have been sent; otherwise it is freed.
        """
        if record.phase is KeyPhase.ENDED:
            return []
        if not record.may_have_been_sent or not record.has_client_key:
            return self.forget(record)
        self._end(record, KeyOutcome.FAILED, client_notified, now)
        return [encode_record(record)]

    def record_rejected(self, record: KeyRecord) -> list[Change]:
        """Record that the request was rejected because no attempt has run; its key is freed.

        Raises ``KeyStateError`` if an attempt may have run: such a request is never rejected.
        """
        if record.may_have_been_sent:
            raise KeyStateError(record.key, "a request that may have run is never rejected")
        return [] if record.phase is KeyPhase.ENDED else self.forget(record)

    def mark_client_notified(self, record: KeyRecord) -> list[Change]:
        """Record that a client that repeated the key has received the outcome."""
        if record.client_notified or record.phase is not KeyPhase.ENDED:
            return []
        record.client_notified = True
        return [encode_record(record)]

    def forget(self, record: KeyRecord) -> list[Change]:
        """Delete a record and free its key."""
        if self.records.get(record.key) is not record:
            return []
        del self.records[record.key]
        self._ended.pop(record.key, None)
        record.phase = KeyPhase.ENDED
        if not record.is_stored:
            return []
        changes: list[Change] = [(REQUEST + record.key, None)]
        if record.answer_bytes >= 0:
            changes.append((ANSWER + record.key, None))
        return changes

    def expire(self, now: int, max_keys: int = MAX_EXPIRED_AT_ONCE) -> list[Change]:
        """Delete records whose retention period has passed, at most ``max_keys`` of them."""
        latest_expired_us = self.advance_clock(now) - self.limits.retention_us
        changes = list[Change]()
        expired = list[bytes]()
        for key, ended_us in self._ended.items():
            if ended_us > latest_expired_us or len(expired) >= max_keys:
                break
            expired.append(key)
        for key in expired:
            changes += self.forget(self.records[key])
        return changes

    def rewrite(self, stored_keys: Iterable[bytes]) -> list[Change]:
        """Return the changes that write the present state of keys whose earlier changes were not written.

        Answers are not kept in memory, so an answer that was not written is lost. A repeat of its request is
        answered that it has run and that the answer is not stored.
        """
        changes = list[Change]()
        for stored_key in sorted(stored_keys):  # answers first: a lost answer changes its request's record
            record = self.records.get(stored_key[1:])
            if record is not None and stored_key[:1] == ANSWER:
                record.answer_bytes = -1
            if record is not None and record.is_stored and stored_key[:1] == REQUEST:
                changes.append(encode_record(record))
            else:
                changes.append((stored_key, None))
        return changes

    def load(self, stored: Iterable[tuple[bytes, bytes]]) -> list[KeyRecord]:
        """Load the records that earlier incarnations have stored.

        Returns the records whose outcome is unknown, oldest first.
        """
        found = [decode_record(key, value) for key, value in stored if key[:1] == REQUEST]
        found.sort(key=lambda record: record.changed_us)
        for record in found:
            self.records[record.key] = record
            self.advance_clock(record.changed_us)
            if record.phase is KeyPhase.ENDED:
                self._ended[record.key] = record.changed_us
            else:
                record.may_have_been_sent = True  # unknown, as the earlier incarnation has crashed
        return [record for record in found if record.phase is not KeyPhase.ENDED]

    def _end(self, record: KeyRecord, outcome: KeyOutcome, client_notified: bool, now: int) -> bool:
        """Set the outcome; False if it is set already, the request was served, or its key was freed."""
        if self.records.get(record.key) is not record or record.outcome in (outcome, KeyOutcome.SERVED):
            return False
        record.phase = KeyPhase.ENDED
        record.outcome = outcome
        record.client_notified = record.client_notified or client_notified
        record.is_stored = True
        record.changed_us = self.advance_clock(now)
        self._ended.pop(record.key, None)
        self._ended[record.key] = record.changed_us
        return True
