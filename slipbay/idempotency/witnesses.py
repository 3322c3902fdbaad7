"""Store witnesses: each router records in memory the incarnations of other routers' stores.

Each router has up to three *witnesses*: the routers with the next numbers. Before an incarnation runs any
request, a majority of its witnesses records it as *open*. When it shuts down properly, it sends its last
sequence to the witnesses, which record it as *closed*. The next incarnation queries them first. If a majority
records the same closed incarnation, no later incarnation has run a request, because its opening would have
reached at least one of these witnesses. An incarnation that was killed leaves no closed record, and a
restarted witness has no records: then the state of the store is unknown (docs/store-loss.md).

Messages identify the incarnations of sender and receiver by random numbers, so a delayed or duplicated
message has no effect on any other incarnation. A witness never replaces a record by one of an earlier
generation, or by one of a store that another store has replaced. The protocol does not depend on clocks.

Message format, little-endian: type u8, incarnation of the owner u32, incarnation of the witness u32. A
message that names a store adds 8s (the first bytes of its id) and generation u32; if the store was closed,
also its last sequence, i64. With head and checksum a message has 24, 36 or 43 bytes (4 more with a key). A
start costs its router 180 bytes and each of its witnesses 48 to 67 bytes, a proper shutdown 129 bytes. A
message that exceeds the channel's budget is kept and sent at a later tick.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum
from struct import Struct
from typing import NamedTuple

from slipbay.idempotency.store_generation import StoreWitness
from slipbay.peer_channel.interfaces import Send

HEAD = Struct("<BII")  # type, incarnation of the owner, incarnation of the witness
NAMED = Struct("<8sI")  # first bytes of the store's id, generation
SEQUENCE = Struct("<q")  # last sequence of a closed store
BARE_BYTES = HEAD.size
OPEN_BYTES = BARE_BYTES + NAMED.size
CLOSED_BYTES = OPEN_BYTES + SEQUENCE.size
MAX_WITNESSES = 3  # per router
MAX_REPLACED_STORES = 8  # ids of replaced stores that a witness remembers for each router
RESEND_US = 1_000_000  # until an unanswered message is resent; a shorter time would exceed the start's budget
RETRY_UNSENT_US = 50_000  # until a message that exceeded the channel's budget is sent again
REFRESH_US = 5_000_000  # between queries that detect restarted witnesses
ID_BYTES = 8  # leading bytes of a store's id that messages contain
NO_WITNESS = StoreWitness(bytes(ID_BYTES), 0, None)


class WitnessMessage(IntEnum):
    """Types of messages between a store's owner and its witnesses."""

    QUERY = 1  # from the owner: requests the record of the witness
    RECORD = 2  # from the witness: its record, in answer to QUERY
    OPEN = 3  # from the owner: an incarnation has begun
    OPENED = 4  # from the witness: it records the incarnation as open
    CLOSED = 5  # from the owner: the store was closed properly


SIZES = {
    WitnessMessage.QUERY: (BARE_BYTES,),
    WitnessMessage.RECORD: (BARE_BYTES, OPEN_BYTES, CLOSED_BYTES),
    WitnessMessage.OPEN: (OPEN_BYTES,),
    WitnessMessage.OPENED: (BARE_BYTES,),
    WitnessMessage.CLOSED: (CLOSED_BYTES,),
}
"""Valid lengths of each message type, in bytes."""


class DecodedMessage(NamedTuple):
    """A received message."""

    kind: WitnessMessage
    owner_incarnation: int
    witness_incarnation: int
    store: StoreWitness


def encode(kind: WitnessMessage, owner: int, witness: int, store: StoreWitness) -> bytes:
    """Encode a message; ``owner`` and ``witness`` are the incarnations of the two routers."""
    body = HEAD.pack(kind, owner, witness)
    if kind not in (WitnessMessage.QUERY, WitnessMessage.OPENED) and store != NO_WITNESS:
        body += NAMED.pack(store.store_id, store.generation)
        if store.sequence is not None:
            body += SEQUENCE.pack(store.sequence)
    return body


def decode(body: bytes) -> DecodedMessage | None:
    """Decode a message; None if it is invalid."""
    if len(body) not in (BARE_BYTES, OPEN_BYTES, CLOSED_BYTES):
        return None
    number, owner, witness = HEAD.unpack_from(body)
    if number not in SIZES or len(body) not in SIZES[number]:
        return None
    store = NO_WITNESS
    if len(body) > BARE_BYTES:
        store_id, generation = NAMED.unpack_from(body, BARE_BYTES)
        sequence = SEQUENCE.unpack_from(body, OPEN_BYTES)[0] if len(body) > OPEN_BYTES else None
        store = StoreWitness(store_id, generation, sequence)
    return DecodedMessage(WitnessMessage(number), owner, witness, store)


@dataclass(slots=True)
class WitnessRecord:
    """The record that a witness holds about another router's store."""

    witness: StoreWitness
    replaced_stores: tuple[bytes, ...] = ()  # ids

    def open(self, store: StoreWitness) -> bool:
        """Record an opening; False if a later one is recorded already."""
        recorded = self.witness
        if store.store_id in self.replaced_stores:
            return False
        if recorded.store_id == store.store_id:
            if store.generation < recorded.generation:
                return False
            if store.generation == recorded.generation and recorded.sequence is not None:
                return False
        else:
            self.replaced_stores = (*self.replaced_stores, recorded.store_id)[-MAX_REPLACED_STORES:]
        self.witness = store
        return True


class StoreWitnesses:
    """The ``ChannelEndpoint`` of one router: owner of its own store, and witness of other routers' stores."""

    def __init__(self, router: int, fleet_size: int, incarnation: int, now: int) -> None:
        """``fleet_size`` counts routers; ``incarnation`` is a 32-bit random number, new with each start."""
        self.router = router
        self._incarnation = incarnation
        self._now = now
        self._due = now
        self._unsent: dict[tuple[int, int], bytes] = {}  # messages over budget, by receiver and type
        self.witnesses = tuple(
            (router + step) % fleet_size for step in range(1, min(MAX_WITNESSES, fleet_size - 1) + 1)
        )
        self.majority = len(self.witnesses) // 2 + 1
        self.records: dict[int, WitnessRecord] = {}  # of other routers' stores, by router
        self._answers: dict[int, StoreWitness] = {}  # records that witnesses sent to this incarnation
        self._witness_incarnations: dict[int, int] = {}
        self._own: StoreWitness | None = None  # this router's store, once it is open
        self._acknowledged: set[int] = set()  # witnesses that record this router's store as open
        self._was_opened = False
        self._is_closed = False
        self._has_queried = False
        self.on_change: Callable[[], None] = lambda: None
        """Called when ``is_decided`` or ``is_open`` may have changed; must not send or receive messages."""

    @property
    def is_decided(self) -> bool:
        """Whether a majority has answered, and further answers cannot change ``last_recorded``."""
        closed = Counter(store for store in self._answers.values() if store.sequence is not None)
        max_count = max(closed.values(), default=0)
        missing = len(self.witnesses) - len(self._answers)
        return len(self._answers) >= self.majority and not max_count < self.majority <= max_count + missing

    @property
    def is_open(self) -> bool:
        """Whether this incarnation may run requests."""
        return self._was_opened and not self._is_closed

    def last_recorded(self) -> StoreWitness | None:
        """The last state of the store before this incarnation, from the answers received so far."""
        recorded = Counter(store for store in self._answers.values() if store != NO_WITNESS)
        for store, count in recorded.items():
            if count >= self.majority and store.sequence is not None:
                return store
        newest = max(recorded, key=lambda store: (store.generation, store.store_id), default=None)
        return replace(newest, sequence=None) if newest is not None else None

    def begin(self, store_id: bytes, generation: int) -> list[Send]:
        """Begin the incarnation; returns the messages that request the witnesses to record it as open."""
        self._own = StoreWitness(store_id[:ID_BYTES], generation, None)
        return [
            self._open_message(to, self._own) for to in self.witnesses if to in self._witness_incarnations
        ]

    def close(self, sequence: int) -> list[Send]:
        """The store was closed properly; returns the last messages of this incarnation."""
        if self._own is None or not self.is_open:
            return []
        self._is_closed = True
        self._own = replace(self._own, sequence=sequence)
        return [
            (
                to,
                encode(WitnessMessage.CLOSED, self._incarnation, self._witness_incarnations[to], self._own),
            )
            for to in self._acknowledged
        ]

    def unsent(self, _now: int, to: int, body: bytes) -> None:
        """Keep a message that exceeded the channel's budget, to send it again at a later tick."""
        self._unsent[to, body[0]] = body

    def tick(self, now: int) -> list[Send]:
        """Send the messages that exceeded the budget before, and resend those that were not answered."""
        self._now = now
        unsent = self._unsent
        self._unsent = {}
        sends = [(to, body) for (to, _), body in unsent.items()]
        if now >= self._due:
            sends += self._send_round(now)
        return sends

    def next_tick(self) -> int:
        """When ``tick`` is due, in us."""
        return min(self._due, self._now + RETRY_UNSENT_US) if self._unsent else self._due

    def receive(self, now: int, sender: int, _sender_incarnation: int, body: bytes) -> list[Send]:
        """Handle a message of another router; returns the answers."""
        self._now = now
        message = decode(body)
        if message is None:
            return []
        if message.kind in (WitnessMessage.RECORD, WitnessMessage.OPENED):
            return self._receive_answer(now, sender, message)
        return self._answer_owner(sender, message)

    def _answer_owner(self, sender: int, message: DecodedMessage) -> list[Send]:
        """Answer a message as a witness."""
        owner = message.owner_incarnation
        store = message.store
        record = self.records.get(sender)
        if message.kind is WitnessMessage.QUERY or message.witness_incarnation != self._incarnation:
            recorded = NO_WITNESS if record is None else record.witness
            return [(sender, encode(WitnessMessage.RECORD, owner, self._incarnation, recorded))]
        if message.kind is WitnessMessage.CLOSED:
            if record is not None and record.witness == replace(store, sequence=None):
                record.witness = store
            return []
        if record is None:
            self.records[sender] = WitnessRecord(store)
        elif not record.open(store):
            return []
        return [(sender, encode(WitnessMessage.OPENED, owner, self._incarnation, store))]

    def _receive_answer(self, now: int, sender: int, message: DecodedMessage) -> list[Send]:
        """Handle a witness's answer as the owner of a store."""
        if message.owner_incarnation != self._incarnation or sender not in self.witnesses or self._is_closed:
            return []
        sends: list[Send] = []
        if self._witness_incarnations.get(sender) != message.witness_incarnation:
            # the witness was restarted and has no record of this router's store
            self._witness_incarnations[sender] = message.witness_incarnation
            self._acknowledged.discard(sender)
            if self._own is not None:
                sends = [self._open_message(sender, self._own)]
        if message.kind is WitnessMessage.RECORD and self._own is None:
            self._answers[sender] = message.store
        elif message.kind is WitnessMessage.OPENED and self._own is not None:
            self._acknowledge(now, sender)
        self.on_change()
        return sends

    def _acknowledge(self, now: int, witness: int) -> None:
        self._acknowledged.add(witness)
        if not self._was_opened and len(self._acknowledged) >= self.majority:
            self._was_opened = True
            self._due = now + REFRESH_US  # leaves the channel's budget to other routers that start now

    def _send_round(self, now: int) -> list[Send]:
        is_quiet = len(self._acknowledged) == len(self.witnesses) or self._is_closed
        self._due = now + (REFRESH_US if is_quiet else RESEND_US)
        if self._is_closed:
            return []
        # the first round queries only a majority; later rounds query the other witnesses too
        needs_majority_only = not self._was_opened and (self.is_decided or not self._has_queried)
        queried = self.witnesses[: self.majority] if needs_majority_only else self.witnesses
        query = encode(WitnessMessage.QUERY, self._incarnation, 0, NO_WITNESS)
        sends = [(to, query) for to in queried if is_quiet or to not in self._witness_incarnations]
        self._has_queried = True
        if self._own is not None:
            sends += [
                self._open_message(to, self._own)
                for to in self.witnesses
                if to in self._witness_incarnations and to not in self._acknowledged
            ]
        return sends

    def _open_message(self, to: int, own: StoreWitness) -> Send:
        return to, encode(WitnessMessage.OPEN, self._incarnation, self._witness_incarnations[to], own)
