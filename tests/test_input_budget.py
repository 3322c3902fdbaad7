"""Reservations of memory for incomplete messages, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field

from fakes import FakeLoop
from hypothesis import given
from hypothesis import strategies as st

from slipbay.frontends.input_budget import (
    FREE_BYTES,
    MAX_RESERVED_US,
    RECLAIM_US,
    STALLED_US,
    InputBudget,
)

MESSAGE_BYTES = 100_000
CAPACITY_BYTES = 1_000_000  # of which half holds four reservations


@dataclass(eq=False)
class Holder:
    """A connection with an incomplete message."""

    budget: InputBudget
    max_message_bytes: int = MESSAGE_BYTES
    unparsed: int = 0
    last_received_us: int = 0
    is_reclaimable: bool = True
    is_waiting: bool = False
    is_closed: bool = False
    granted: list[int] = field(default_factory=list)

    def receive(self, size_bytes: int, now_us: int) -> None:
        self.unparsed += size_bytes
        self.last_received_us = now_us
        self.budget.update(self)
        self.is_waiting = not self.budget.admit(self)

    def room_granted(self) -> None:
        self.is_waiting = False

    def reclaim_input(self) -> None:
        self.is_closed = True
        self.unparsed = 0
        self.budget.remove(self)


def make(count: int) -> tuple[FakeLoop, InputBudget, list[Holder]]:
    loop = FakeLoop()
    budget = InputBudget(CAPACITY_BYTES, loop.timers, loop.now)
    return loop, budget, [Holder(budget) for _ in range(count)]


def test_small_incomplete_messages_need_no_reservation() -> None:
    loop, _, holders = make(100)
    for holder in holders:
        holder.receive(FREE_BYTES, loop.us)
    assert not any(holder.is_waiting for holder in holders)


def test_clients_that_have_stopped_make_room_for_those_that_wait_the_largest_first() -> None:
    loop, _, holders = make(6)
    for number, holder in enumerate(holders):
        holder.receive(FREE_BYTES + 1 + number, loop.us)
    assert [holder.is_waiting for holder in holders] == [False] * 4 + [True] * 2
    loop.advance(STALLED_US + RECLAIM_US)
    assert [holder.is_closed for holder in holders] == [False, False, True, True, False, False]
    assert not any(holder.is_waiting for holder in holders)


def test_a_client_that_writes_slowly_keeps_its_room_only_for_a_time_while_others_wait() -> None:
    loop, _, holders = make(5)
    for holder in holders:
        holder.receive(FREE_BYTES + 1, loop.us)
    for _ in range(2 * MAX_RESERVED_US // RECLAIM_US):
        loop.advance(RECLAIM_US)
        for holder in holders[:4]:
            if not holder.is_closed:
                holder.receive(1, loop.us)
    assert sum(holder.is_closed for holder in holders) == 1
    assert not holders[4].is_waiting


def test_a_client_with_unread_bytes_or_an_open_request_is_not_closed() -> None:
    loop, _, holders = make(5)
    for holder in holders:
        holder.is_reclaimable = False
        holder.receive(FREE_BYTES + 1, loop.us)
    loop.advance(10 * MAX_RESERVED_US)
    assert not any(holder.is_closed for holder in holders)


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 3 * FREE_BYTES), st.integers(0, 100_000)), max_size=80
    )
)
def test_reservations_stay_within_the_capacity_and_everyone_who_waits_gets_room(
    steps: list[tuple[int, int, int]],
) -> None:
    """Each step sends bytes on a connection, or completes its message, and lets time pass."""
    loop, budget, holders = make(10)
    for number, size_bytes, pause_us in steps:
        holder = holders[number]
        if size_bytes and not (holder.is_waiting or holder.is_closed):
            holder.receive(size_bytes, loop.us)
        elif not size_bytes:
            holder.unparsed = 0
            budget.update(holder)
            budget.release(holder)
            holder.is_waiting = False
        assert budget._reserved_bytes <= CAPACITY_BYTES // 2
        assert budget._buffered_bytes == sum(one.unparsed for one in holders)
        loop.advance(pause_us)
    loop.advance(10 * MAX_RESERVED_US)
    assert not any(one.is_waiting for one in holders)
