"""Store generations, without I/O.

In any history of requests, crashes, losses and copies of the store, a request that may have run never runs
again within the uncertainty window, and a request that is proved to be new runs.
"""

from __future__ import annotations

import copy
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from slipbay.idempotency import store_generation
from slipbay.idempotency.store_generation import (
    ClientRepeatRules,
    StoreIdentity,
    StoreStatus,
    StoreWitness,
    UncertaintyWindow,
)
from slipbay.store.errors import DamagedStoreError
from slipbay.store.marker import SLOT_BYTES, Marker

WINDOW = 10_000_000
A = b"a" * 16
B = b"b" * 16
NUMBERS = st.integers(0, 1)


class Stores(RuleBasedStateMachine):
    """Histories of one router with a marker.

    Clients of one frontend mark their repeats, those of the other do not. A key is repeated only within the
    window after its first sending.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.ids = 0
        self.sent = dict[bytes, int]()
        self.runs: Counter[bytes] = Counter()
        self.identity: StoreIdentity | None = store_generation.adopt(A, "a first start")
        # contents of the store
        self.stored = set[bytes]()
        self.sequence = 1
        self.witness: StoreWitness | None = None
        self.copies = [self.state()]
        self.uncertainty: UncertaintyWindow | None = None

    def state(self) -> tuple[StoreIdentity | None, set[bytes], int]:
        return copy.deepcopy((self.identity, self.stored, self.sequence))

    @precondition(lambda self: self.uncertainty is None)
    @rule(witness_lost=st.booleans())
    def start(self, witness_lost: bool) -> None:
        """Start the router. ``witness_lost``: it crashes after the store, before the marker is written."""
        status = store_generation.determine_status(self.identity, self.sequence, self.witness)
        self.ids += 1
        self.identity = store_generation.next_identity(
            self.identity, status, WINDOW, self.ids.to_bytes(16, "big")
        )
        self.sequence += 1
        if not witness_lost:
            self.write_witness()
            self.uncertainty = UncertaintyWindow(
                ClientRepeatRules(WINDOW, (b"marked",)), self.identity, self.now
            )

    def write_witness(self) -> None:
        assert self.identity is not None
        self.witness = StoreWitness(self.identity.store_id, self.identity.generation, self.sequence)

    @precondition(lambda self: self.uncertainty is not None)
    @rule(front=st.sampled_from([b"marked", b"bare"]), number=NUMBERS, torn=st.booleans(), more=st.booleans())
    def send_request(self, front: bytes, number: int, torn: bool, more: bool) -> None:
        """Send a request. ``torn``: the router crashes after the intent, before the marker is written."""
        assert self.uncertainty is not None
        key = front + b":%d" % number
        is_repeat = key in self.sent
        self.sent.setdefault(key, self.now)
        if key in self.stored:
            return
        may_run = self.uncertainty.is_new(key, True, is_repeat, self.now)
        if (front == b"marked" and not is_repeat) or not self.uncertainty.remaining_us(self.now):
            assert may_run
        if may_run:
            self.stored.add(key)
            self.sequence += 1
            if torn:
                self.crash()
                return
            self.write_witness()
            self.runs[key] += 1
            assert self.runs[key] == 1
        elif more:
            self.sequence += 1  # another change, which is not written to the marker

    @precondition(lambda self: self.uncertainty is not None)
    @rule()
    def crash(self) -> None:
        self.uncertainty = None

    @rule()
    def take_copy(self) -> None:
        self.copies = [*self.copies[-3:], self.state()]

    @precondition(lambda self: self.uncertainty is None)
    @rule(which=st.integers(0, 9))
    def restore_copy(self, which: int) -> None:
        self.identity, self.stored, self.sequence = copy.deepcopy(self.copies[which % len(self.copies)])

    @precondition(lambda self: self.uncertainty is None)
    @rule()
    def lose_store(self) -> None:
        self.identity = None
        self.stored = set()
        self.sequence = 0

    @precondition(lambda self: self.uncertainty is None)
    @rule()
    def lose_witness(self) -> None:
        self.witness = None

    @rule(us=st.sampled_from([1, WINDOW // 3, WINDOW]))
    def wait(self, us: int) -> None:
        self.now += us
        for key, at in list(self.sent.items()):
            # after the window no client repeats the key; from then on it identifies another request
            if self.now - at > WINDOW:
                del self.sent[key]
                self.runs[key] = 0
                self.stored.discard(key)
                for _, stored, _ in self.copies:
                    stored.discard(key)
        if self.uncertainty is not None:
            changed = self.uncertainty.identity_to_store(self.now)
            if changed is not None:
                self.identity = changed
                self.sequence = self.sequence + 1


class MarkerWrittenAtStartOnly(Stores):
    """Writes the marker only at the start, so requests after a copy in the same incarnation go unnoticed."""

    def write_witness(self) -> None:
        if self.uncertainty is None:
            super().write_witness()


class ForgetsUncertainty(Stores):
    """A restart ends the uncertainty window."""

    def start(self, witness_lost: bool) -> None:
        super().start(witness_lost)
        assert self.identity is not None
        if self.identity.generation > 1:
            self.identity = StoreIdentity(self.identity.store_id, self.identity.generation)
            self.uncertainty = self.uncertainty and UncertaintyWindow(
                ClientRepeatRules(WINDOW, (b"marked",)), self.identity, self.now
            )

    start = precondition(lambda self: self.uncertainty is None)(rule(witness_lost=st.booleans())(start))


Stores.TestCase.settings = hypothesis_settings(max_examples=250, stateful_step_count=30, deadline=None)
TestStores = Stores.TestCase


def copied_within_an_incarnation(stores: Stores) -> None:
    stores.start(False)
    stores.take_copy()
    stores.send_request(b"bare", 0, False, False)
    stores.crash()
    stores.restore_copy(len(stores.copies) - 1)
    stores.start(False)
    stores.send_request(b"bare", 0, False, False)


def lost_and_started_twice(stores: Stores) -> None:
    stores.start(False)
    stores.send_request(b"bare", 0, False, False)
    for _ in range(2):
        stores.crash()
        if not stores.identity or (stores.identity.generation == 1 and stores.stored):
            stores.lose_store()
        stores.start(False)
    stores.send_request(b"bare", 0, False, False)


@pytest.mark.parametrize(
    "broken, history",
    [(MarkerWrittenAtStartOnly, copied_within_an_incarnation), (ForgetsUncertainty, lost_and_started_twice)],
)
def test_incomplete_implementations_run_a_request_twice(
    broken: type[Stores], history: Callable[[Stores], None]
) -> None:
    history(Stores())
    with pytest.raises(AssertionError):
        history(broken())


@pytest.mark.parametrize(
    "found, sequence, witness, status",
    [
        (None, 0, None, StoreStatus.EMPTY),
        (None, 5, None, StoreStatus.UNIDENTIFIED),
        (None, 0, StoreWitness(A, 1, 1), StoreStatus.OTHER),
        (StoreIdentity(A, 2), 9, None, StoreStatus.UNKNOWN),
        (StoreIdentity(A, 2), 9, StoreWitness(B, 2, 9), StoreStatus.OTHER),
        (StoreIdentity(A, 2), 9, StoreWitness(A, 3, 9), StoreStatus.BEHIND),
        (StoreIdentity(A, 2), 9, StoreWitness(A, 2, 10), StoreStatus.BEHIND),
        (StoreIdentity(A, 2), 9, StoreWitness(A, 2, 9), StoreStatus.CURRENT),
        (StoreIdentity(A, 2), 9, StoreWitness(A, 1, 7), StoreStatus.CURRENT),
        (StoreIdentity(A, 0), 9, StoreWitness(B, 2, 20), StoreStatus.ADOPTED),
        (StoreIdentity(A, 0), 9, None, StoreStatus.ADOPTED),
        (StoreIdentity(A, 0), 9, StoreWitness(A, 1, 10), StoreStatus.BEHIND),
    ],
)
def test_the_status_of_a_store_follows_from_its_identity_and_its_witness(
    found: StoreIdentity | None, sequence: int, witness: StoreWitness | None, status: StoreStatus
) -> None:
    assert store_generation.determine_status(found, sequence, witness) is status


def test_a_key_proved_to_be_new_may_be_repeated_and_other_keys_wait_for_the_end_of_the_window() -> None:
    uncertainty = UncertaintyWindow(
        ClientRepeatRules(WINDOW, (b"json",), repeat_anywhere=True), StoreIdentity(A, 1, WINDOW), 0
    )
    assert not uncertainty.is_new(b"json:1", True, True, 0)
    assert uncertainty.is_new(b"json:1", True, False, 0)
    assert uncertainty.is_new(b"json:1", True, True, 1)
    assert not uncertainty.is_new(b"mysql::1", True, False, WINDOW - 1)
    assert uncertainty.is_new(b"mysql::1", False, False, 0)
    assert uncertainty.is_new(b"mysql::1", True, False, WINDOW)
    assert not uncertainty.is_new(b"json:2", True, True, 2 * WINDOW)  # it may have run on another router


@given(st.lists(st.integers(1, 3_000_000), max_size=30))
def test_the_stored_uncertainty_is_never_shorter_than_the_remaining_window(waits: list[int]) -> None:
    written = StoreIdentity(A, 1, WINDOW)
    now = 0
    uncertainty = UncertaintyWindow(ClientRepeatRules(WINDOW), written, 0)
    for wait in waits:
        now += wait
        written = uncertainty.identity_to_store(now) or written
        assert (
            written.uncertainty_us
            >= uncertainty.remaining_us(now)
            >= written.uncertainty_us - store_generation.MIN_STEP_US
        )
        assert store_generation.decode(store_generation.encode(written)) == written


def test_a_marker_write_interrupted_at_any_byte_leaves_one_of_the_two_witnesses(tmp_path: Path) -> None:
    path = tmp_path / "marker"
    assert Marker(path).read() is None
    marker = Marker(path)
    marker.write(StoreWitness(A, 1, 1))
    marker.write(StoreWitness(A, 1, 2))
    before = path.read_bytes()
    marker.write(StoreWitness(A, 2, 3))
    after = path.read_bytes()
    marker.close()
    at = next(n for n, (x, y) in enumerate(zip(before, after, strict=False)) if x != y)
    at -= at % SLOT_BYTES
    for cut in range(at, at + SLOT_BYTES + 1):
        path.write_bytes(after[:cut] + before[cut:])
        reopened = Marker(path)
        assert reopened.read() in (StoreWitness(A, 1, 2), StoreWitness(A, 2, 3))
        reopened.write(StoreWitness(B, 1, 1))
        reopened.close()
        assert Marker(path).read() == StoreWitness(B, 1, 1)
    path.write_bytes(b"x" * 100)
    with pytest.raises(DamagedStoreError):
        Marker(path).read()
