"""Generations of a store without I/O: under any history of loads, deaths, losses and copies, what may have
run
never runs again within the window, and what proves new runs."""

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
    """One router with a marker. Clients of one front mark their repeats, those of the other don't; each key
    is repeated within the window of its first sending only."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.ids = 0
        self.sent = dict[bytes, int]()
        self.runs: Counter[bytes] = Counter()
        self.identity: StoreIdentity | None = store_generation.adopt(A, "a first start")
        # of the store
        self.held = set[bytes]()
        self.sequence = 1
        self.witness: StoreWitness | None = None
        self.copies = [self.state()]
        self.uncertainty: UncertaintyWindow | None = None

    def state(self) -> tuple[StoreIdentity | None, set[bytes], int]:
        return copy.deepcopy((self.identity, self.held, self.sequence))

    @precondition(lambda self: self.uncertainty is None)
    @rule(witness_lost=st.booleans())
    def start(self, witness_lost: bool) -> None:
        """A death between the two writes of a start is one that comes before the witness was written."""
        status = store_generation.determine_status(self.identity, self.sequence, self.witness)
        self.ids += 1
        self.identity = store_generation.begin(self.identity, status, WINDOW, self.ids.to_bytes(16, "big"))
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
    def ask(self, front: bytes, number: int, torn: bool, more: bool) -> None:
        """``torn``: the death comes after the intent was committed and before the witness was written."""
        assert self.uncertainty is not None
        key = front + b":%d" % number
        repeats = key in self.sent
        self.sent.setdefault(key, self.now)
        if key in self.held:
            return
        new = self.uncertainty.is_new(key, True, repeats, self.now)
        if (front == b"marked" and not repeats) or not self.uncertainty.remaining_us(self.now):
            assert new
        if new:
            self.held.add(key)
            self.sequence += 1
            if torn:
                self.die()
                return
            self.write_witness()
            self.runs[key] += 1
            assert self.runs[key] == 1
        elif more:
            self.sequence += 1  # another change, of which no witness is written

    @precondition(lambda self: self.uncertainty is not None)
    @rule()
    def die(self) -> None:
        self.uncertainty = None

    @rule()
    def copy(self) -> None:
        self.copies = [*self.copies[-3:], self.state()]

    @precondition(lambda self: self.uncertainty is None)
    @rule(which=st.integers(0, 9))
    def put_back(self, which: int) -> None:
        self.identity, self.held, self.sequence = copy.deepcopy(self.copies[which % len(self.copies)])

    @precondition(lambda self: self.uncertainty is None)
    @rule()
    def lose(self) -> None:
        self.identity = None
        self.held = set()
        self.sequence = 0

    @precondition(lambda self: self.uncertainty is None)
    @rule()
    def lose_witness(self) -> None:
        self.witness = None

    @rule(us=st.sampled_from([1, WINDOW // 3, WINDOW]))
    def wait(self, us: int) -> None:
        self.now += us
        for key, at in list(self.sent.items()):
            if self.now - at > WINDOW:  # no client comes back under it: the name is another load's now
                del self.sent[key]
                self.runs[key] = 0
                self.held.discard(key)
                for _, held, _ in self.copies:
                    held.discard(key)
        if self.uncertainty is not None:
            told = self.uncertainty.identity_to_store(self.now)
            if told is not None:
                self.identity = told
                self.sequence = self.sequence + 1


class WitnessedAtStartOnly(Stores):
    """Is witnessed at its start alone, so the loads after a copy of the same incarnation show nowhere."""

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


def copied_within_an_incarnation(play: Stores) -> None:
    play.start(False)
    play.copy()
    play.ask(b"bare", 0, False, False)
    play.die()
    play.put_back(len(play.copies) - 1)
    play.start(False)
    play.ask(b"bare", 0, False, False)


def lost_and_started_twice(play: Stores) -> None:
    play.start(False)
    play.ask(b"bare", 0, False, False)
    for _ in range(2):
        play.die()
        if not play.identity or (play.identity.generation == 1 and play.held):
            play.lose()
        play.start(False)
    play.ask(b"bare", 0, False, False)


@pytest.mark.parametrize(
    "broken, history",
    [(WitnessedAtStartOnly, copied_within_an_incarnation), (ForgetsUncertainty, lost_and_started_twice)],
)
def test_histories_in_which_a_load_runs_twice_where_a_part_is_left_out(
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
def test_a_store_is_judged_by_its_identity_and_its_witness(
    found: StoreIdentity | None, sequence: int, witness: StoreWitness | None, status: StoreStatus
) -> None:
    assert store_generation.determine_status(found, sequence, witness) is status


def test_a_key_that_proved_new_may_come_back_and_one_without_a_mark_waits_the_window_out() -> None:
    uncertainty = UncertaintyWindow(
        ClientRepeatRules(WINDOW, (b"json",), repeat_anywhere=True), StoreIdentity(A, 1, WINDOW), 0
    )
    assert not uncertainty.is_new(b"json:1", True, True, 0)
    assert uncertainty.is_new(b"json:1", True, False, 0)
    assert uncertainty.is_new(b"json:1", True, True, 1)
    assert not uncertainty.is_new(b"mysql::1", True, False, WINDOW - 1)
    assert uncertainty.is_new(b"mysql::1", False, False, 0)
    assert uncertainty.is_new(b"mysql::1", True, False, WINDOW)
    assert not uncertainty.is_new(b"json:2", True, True, 2 * WINDOW)  # it may have run at another router


@given(st.lists(st.integers(1, 3_000_000), max_size=30))
def test_the_stored_uncertainty_is_never_shorter_than_what_remains(waits: list[int]) -> None:
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


def test_a_marker_cut_at_any_byte_of_a_write_holds_one_of_the_two_witnesses(tmp_path: Path) -> None:
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
        again = Marker(path)
        assert again.read() in (StoreWitness(A, 1, 2), StoreWitness(A, 2, 3))
        again.write(StoreWitness(B, 1, 1))
        again.close()
        assert Marker(path).read() == StoreWitness(B, 1, 1)
    path.write_bytes(b"x" * 100)
    with pytest.raises(DamagedStoreError):
        Marker(path).read()
