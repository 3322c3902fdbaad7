"""Opens the store: queries the witnesses, determines the store's status and identity, and loads its records.

If there are witnesses, ``StoreOpening`` waits until their answers are decided, up to a time-out, before it
opens the store. The store's thread then determines the store's status and makes the new incarnation durable
before it does anything else.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from slipbay.clock import Clock
from slipbay.config.model import LossConfig, StoreConfig
from slipbay.core.timers import Timer, Timers
from slipbay.idempotency import store_generation
from slipbay.idempotency.errors import UnreadableRecordError
from slipbay.idempotency.key_record import REQUEST, RETRY_BUDGET, SNAPSHOT, KeyRecord
from slipbay.idempotency.ledger import Ledger, RetentionLimits
from slipbay.idempotency.store_generation import IDENTITY_KEY, StoreIdentity, StoreStatus, StoreWitness
from slipbay.log import log
from slipbay.store import plan
from slipbay.store.commit_queue import Grouping
from slipbay.store.disk import Folder
from slipbay.store.engine import Store
from slipbay.store.errors import DamagedStoreError
from slipbay.store.marker import Marker
from slipbay.store.writer import THREAD_SWITCH_S, Writer

if TYPE_CHECKING:
    from slipbay.idempotency.witnesses import StoreWitnesses
    from slipbay.peer_channel.interfaces import Send

WITNESS_TIMEOUT_US = 3_000_000  # for the witnesses' answers; without them the store is uncertain for hours


def retention_limits(config: StoreConfig) -> RetentionLimits:
    """The ledger's limits, from the configuration."""
    return RetentionLimits(config.retention_us, config.most_answer_bytes, config.most_keys)


def open_writer(config: StoreConfig, loop: asyncio.AbstractEventLoop) -> Writer:
    """Create the store's thread, which calls back in the event loop; its ``start`` opens the store."""

    def post(call: Callable[[], None]) -> None:
        loop.call_soon_threadsafe(call)

    sys.setswitchinterval(THREAD_SWITCH_S)  # the event loop must not wait long for the store's thread
    bounds = plan.Bounds(config.segment_bytes, config.most_bytes)
    grouping = Grouping(config.group_records, config.group_bytes, config.group_wait_us, config.retry_us)
    return Writer(lambda: Store.open(Folder(config.folder), bounds), grouping, post)


class Incarnation(NamedTuple):
    """A new incarnation that has opened a store."""

    status: StoreStatus  # of the store when it was opened
    identity: StoreIdentity
    marker_damage: str  # why the marker could not be read; empty if it could be


@dataclass(slots=True, frozen=True)
class StoreContents:
    """The contents of the store when it was opened, read in its thread."""

    ledger: Ledger
    open_records: list[KeyRecord]  # records whose outcome is unknown
    retry_budget: bytes | None
    snapshots: dict[bytes, bytes]  # by owner
    incarnation: Incarnation | None  # None: detection of store loss is disabled


def begin_incarnation(
    store: Store, loss: LossConfig, writer: Writer, witness: StoreWitness | None
) -> Incarnation:
    """Determine the store's status and make the new incarnation durable, in the store and in the marker.

    Runs in the store's thread, before anything else. ``witness`` is the state that other routers recorded; a
    configured marker replaces it. Raises ``DamagedStoreError`` if the store's identity cannot be decoded, and
    ``OSError`` if the marker cannot be read or written.
    """
    value = store.get(IDENTITY_KEY)
    try:
        found = store_generation.decode(value) if value is not None else None
    except UnreadableRecordError as error:
        raise DamagedStoreError(str(error)) from None
    marker = Marker(loss.marker) if loss.marker is not None else None
    marker_damage = ""
    if marker is not None:
        try:
            witness = marker.read()
        except DamagedStoreError as error:
            marker_damage = str(error)
    status = store_generation.determine_status(found, store.sequence, witness)
    new_id = secrets.token_bytes(store_generation.ID_BYTES)
    identity = store_generation.next_identity(found, status, loss.window_us, new_id)
    store.commit([(IDENTITY_KEY, store_generation.encode(identity))], use_reserve=True)
    if marker is not None:
        _attach_marker(store, marker, identity, writer)
    return Incarnation(status, identity, marker_damage)


def _attach_marker(store: Store, marker: Marker, identity: StoreIdentity, writer: Writer) -> None:
    """Write the marker now, and after each commit that contains an intent."""

    def write_witness(store: Store) -> None:
        marker.write(StoreWitness(identity.store_id, identity.generation, store.sequence))

    write_witness(store)
    writer.after_commit = write_witness


class StoreOpening:
    """Opens the store in its thread, after the witnesses were queried."""

    def __init__(
        self,
        config: StoreConfig,
        clock: Clock,
        timers: Timers,
        writer: Writer,
        witnesses: StoreWitnesses | None,
        publish: Callable[[list[Send]], None],
    ) -> None:
        """``witnesses``: what other routers record about the store; ``publish`` sends messages to them."""
        self.config = config
        self._clock = clock
        self._timers = timers
        self._writer = writer
        self._witnesses = witnesses
        self._publish = publish
        self._started_us = clock.now()
        self._is_acknowledged = False  # a majority of the witnesses records this incarnation as open
        self._timeout: Timer | None = None  # set while the witnesses' answers are awaited
        self._snapshot_owners: Collection[bytes] = ()
        self._opened: Callable[[object, str], None] = lambda _contents, _error: None

    def start(self, snapshot_owners: Collection[bytes], opened: Callable[[object, str], None]) -> None:
        """Open the store; ``opened`` gets a ``StoreContents``, or None and the error."""
        self._snapshot_owners = snapshot_owners
        self._opened = opened
        if self._witnesses is not None:
            self._witnesses.on_change = self._witnesses_changed
            self._timeout = self._timers.after(WITNESS_TIMEOUT_US, self._open)
        else:
            self._open()

    @property
    def permits_client_keys(self) -> bool:
        """Whether requests with a client's key may run: enough witnesses, if any, record this incarnation."""
        return self._witnesses is None or self._witnesses.is_open

    def announce(self, identity: StoreIdentity) -> None:
        """Request the witnesses to record this incarnation as open."""
        if self._witnesses is not None:
            self._publish(self._witnesses.begin(identity.store_id, identity.generation))

    def close(self) -> None:
        """Close the store, and request the witnesses to record that it was closed properly."""
        if self._timeout is not None:  # the store was never opened
            self._timeout.cancel()
            return
        self._writer.close()
        if self._witnesses is not None and self._writer.ended:
            self._publish(self._witnesses.close(self._writer.health.sequence))

    def _witnesses_changed(self) -> None:
        if self._witnesses is None:
            return
        if self._witnesses.is_decided and self._timeout is not None:
            self._open()
        if self._witnesses.is_open and not self._is_acknowledged:
            self._is_acknowledged = True
            elapsed_s = (self._clock.now() - self._started_us) / 1e6
            log(
                "store",
                "this incarnation is acknowledged by other routers; requests with a client's key may run",
                seconds=round(elapsed_s, 1),
            )

    def _open(self) -> None:
        """Open the store with the answers that the witnesses have sent so far."""
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        loss = self.config.loss
        limits = retention_limits(self.config)
        witness = self._witnesses.last_recorded() if self._witnesses is not None else None

        def load(store: Store) -> StoreContents:
            incarnation = None
            if loss is not None:
                incarnation = begin_incarnation(store, loss, self._writer, witness)
            ledger = Ledger(limits)
            open_records = ledger.load(store.items(lambda key: key[:1] == REQUEST))
            snapshots = {
                owner: value
                for owner in self._snapshot_owners
                if (value := store.get(SNAPSHOT + owner)) is not None
            }
            return StoreContents(ledger, open_records, store.get(RETRY_BUDGET), snapshots, incarnation)

        self._writer.start(load, self._opened)
