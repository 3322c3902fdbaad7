"""Store generations: determine whether an opened store holds all requests that earlier incarnations ran.

A store has a random id, which is assigned when the store is created, and a generation, which increases with
each opening. Both are durable before the first request of an incarnation is sent. A *witness* is the last
state of the store that was recorded outside of it, for example in the file of ``slipbay.store.marker``.
Without a matching witness the store may be empty, truncated, or an old copy. Then an *uncertainty window*
begins. During the window, a request under a key that the store does not hold may have run before, unless the
request proves that it is new. The window is as long as clients may repeat a request (docs/store-loss.md).

This module does no I/O, reads no clock and draws no random numbers. Times are whole microseconds. Only
durations are kept beyond an incarnation, never points in time, so clocks may be wrong after a restart.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

import msgpack

from slipbay.idempotency.errors import MissingReasonError, UnreadableRecordError

IDENTITY_KEY = b"g"  # the key under which a store holds its identity
ID_BYTES = 16  # length of a store's id
MAX_PROVED_KEYS = 8192  # keys proved to be new, remembered in case they are repeated after a rejection
WINDOW_STEPS = 64  # steps of the window; the remaining time is written once per step
MIN_STEP_US = 1_000_000  # minimum length of a step


@dataclass(frozen=True, slots=True)
class StoreIdentity:
    """The identity that is recorded in a store."""

    store_id: bytes
    generation: int  # number of incarnations so far; 0: adopted, and not opened since
    uncertainty_us: int = 0  # remaining uncertainty window when the identity was written
    adoption_reason: str = ""  # the operator's reason for the last adoption


@dataclass(frozen=True, slots=True)
class StoreWitness:
    """The last state of a store that was recorded outside of it.

    All changes of ``generation`` up to ``sequence`` were durable in the store before the requests that they
    record were sent. If ``sequence`` is None, the store was open at the last report and may have changed
    since.
    """

    store_id: bytes  # the id, or its first bytes
    generation: int
    sequence: int | None


class StoreStatus(Enum):
    """The assessment of a store when it is opened."""

    CURRENT = "it holds all that earlier incarnations ran"
    ADOPTED = "an operator vouches for it"
    EMPTY = "it is empty: a first start, or the store was lost"
    UNIDENTIFIED = "it was written without [loss]"
    OTHER = "another store was in its place before, or it was lost"
    BEHIND = "it is an older state of this store: a copy, or its end was lost"
    UNKNOWN = "nobody outside of it can tell whether it is the newest"

    @property
    def is_trusted(self) -> bool:
        """Whether the store holds all requests that earlier incarnations ran."""
        return self in (StoreStatus.CURRENT, StoreStatus.ADOPTED)


def determine_status(found: StoreIdentity | None, sequence: int, witness: StoreWitness | None) -> StoreStatus:
    """Determine the status of a store with identity ``found`` whose last change is ``sequence``.

    The witness is updated before the first request of an incarnation is sent, and before each attempt is
    sent. A witness of an earlier generation than the store's therefore proves that no later incarnation ran
    any request.
    """
    if found is None:
        if witness is not None:
            return StoreStatus.OTHER
        return StoreStatus.UNIDENTIFIED if sequence else StoreStatus.EMPTY
    is_witnessed = witness is not None and found.store_id.startswith(witness.store_id)
    if found.generation == 0 and not is_witnessed:  # a witness of it would prove a later incarnation
        return StoreStatus.ADOPTED
    if witness is None:
        return StoreStatus.UNKNOWN
    if not is_witnessed:
        return StoreStatus.OTHER
    return _determine_witnessed_status(found, sequence, witness)


def _determine_witnessed_status(found: StoreIdentity, sequence: int, witness: StoreWitness) -> StoreStatus:
    if witness.generation > found.generation:
        return StoreStatus.BEHIND
    if witness.sequence is None:
        return StoreStatus.UNKNOWN
    return StoreStatus.BEHIND if witness.sequence > sequence else StoreStatus.CURRENT


def next_identity(
    found: StoreIdentity | None, status: StoreStatus, window_us: int, new_id: bytes
) -> StoreIdentity:
    """The identity of the store in the incarnation that begins.

    A store that is not trusted gets ``new_id``, a random id, so that two different histories never share an
    id and a generation. Its uncertainty window is then ``window_us`` long.
    """
    if found is None or not status.is_trusted:
        return StoreIdentity(new_id, 1, window_us, found.adoption_reason if found is not None else "")
    return replace(found, generation=found.generation + 1)


def adopt(new_id: bytes, reason: str) -> StoreIdentity:
    """The identity of a store that an operator adopts.

    The id is new, so that the adoption is valid for one opening only. Raises ``MissingReasonError`` if
    ``reason`` is blank.
    """
    if not reason.strip():
        raise MissingReasonError
    return StoreIdentity(new_id, 0, 0, reason)


def encode(identity: StoreIdentity) -> bytes:
    """Encode an identity as the value of its record in the store."""
    body: bytes = msgpack.packb(
        [identity.store_id, identity.generation, identity.uncertainty_us, identity.adoption_reason]
    )
    return body


def decode(value: bytes) -> StoreIdentity:
    """Decode an identity. Raises ``UnreadableRecordError`` if this program did not write the value."""
    try:
        store_id, generation, uncertainty_us, reason = msgpack.unpackb(value)
        is_valid = len(store_id) == ID_BYTES and min(generation, uncertainty_us) >= 0
        identity = StoreIdentity(bytes(store_id), int(generation), int(uncertainty_us), str(reason))
    except (ValueError, TypeError) as error:
        raise UnreadableRecordError("the record of the store's identity", error) from None
    if not is_valid:
        raise UnreadableRecordError("the record of the store's identity", "a value is out of range")
    return identity


@dataclass(frozen=True, slots=True)
class ClientRepeatRules:
    """How clients repeat requests, from the configuration."""

    window_us: int  # maximum time between the first sending of a key and its last repeat
    marking_frontends: Collection[bytes] = ()  # key prefixes of frontends whose clients mark each repeat
    repeat_anywhere: bool = False  # clients of these frontends may send a repeat to another router


class UncertaintyWindow:
    """Decides, during one incarnation, whether a key that the store does not hold is new."""

    def __init__(self, rules: ClientRepeatRules, identity: StoreIdentity, now: int) -> None:
        self._rules = rules
        self._identity = identity
        self._window_end_us = now + identity.uncertainty_us
        self._step_us = max(MIN_STEP_US, rules.window_us // WINDOW_STEPS)
        self._proved: dict[bytes, None] = {}  # keys, oldest first

    def remaining_us(self, now: int) -> int:
        """The remaining time of the window."""
        return max(0, self._window_end_us - now)

    def is_new(self, key: bytes, has_client_key: bool, is_resent: bool, now: int) -> bool:
        """Whether a request may run; False if it may have run before, on this router or another one.

        ``has_client_key``: the client may repeat the key. ``is_resent``: the client has marked the request as
        a repeat. A key that was proved to be new stays new in this incarnation, because the ledger records
        what runs under it from then on.
        """
        if not has_client_key or key in self._proved:
            return True
        is_marked = key.partition(b":")[0] in self._rules.marking_frontends
        if is_marked and not is_resent:
            if self._rules.repeat_anywhere or self.remaining_us(now):
                self._remember(key)
            return True
        return not self.remaining_us(now) and not (is_marked and self._rules.repeat_anywhere)

    def identity_to_store(self, now: int) -> StoreIdentity | None:
        """The identity to write to the store now; None if the remaining window has changed too little."""
        remaining_us = self.remaining_us(now)
        is_small_change = self._identity.uncertainty_us - remaining_us < self._step_us
        if is_small_change and (remaining_us or not self._identity.uncertainty_us):
            return None
        self._identity = replace(self._identity, uncertainty_us=remaining_us)
        return self._identity

    def _remember(self, key: bytes) -> None:
        self._proved[key] = None
        if len(self._proved) > MAX_PROVED_KEYS:
            del self._proved[next(iter(self._proved))]
