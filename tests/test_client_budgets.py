"""Limits on results that are received and on answers that are not read, without sockets."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from slipbay.backends.result_budget import ResultBudget, ResultReservation
from slipbay.frontends.output_budget import CHECK_US, FREE_BYTES, MAX_UNSENT_BYTES, OutputBudget

CAPACITY_BYTES = 100_000


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 2 * CAPACITY_BYTES)), max_size=60))
def test_results_are_granted_in_order_within_the_capacity_and_all_in_the_end(
    steps: list[tuple[bool, int]],
) -> None:
    """Each step reserves room for a result of a size, or returns that of one reservation."""
    budget = ResultBudget(CAPACITY_BYTES)
    reservations: list[ResultReservation] = []
    granted_later: list[int] = []
    for reserves, number in steps:
        if reserves:
            granted = partial(granted_later.append, len(reservations))
            reservations.append(budget.reserve(number, granted))
        elif reservations:
            reservations[number % len(reservations)].release()
        held = [one.size_bytes for one in reservations if one.is_granted]
        assert sum(held) <= CAPACITY_BYTES or len(held) == 1
    assert granted_later == sorted(granted_later)
    while any(one.is_granted for one in reservations):
        next(one for one in reservations if one.is_granted).release()
    assert not budget._waiting


@dataclass(eq=False)
class Reader:
    """A connection with unsent answers."""

    unsent: int = 0
    max_unsent: int = MAX_UNSENT_BYTES

    def limit_unsent(self, max_bytes: int) -> None:
        self.max_unsent = max_bytes


def test_while_too_much_is_unsent_clients_that_read_nothing_are_not_read() -> None:
    now_us = 0
    enforced: list[int] = []
    readers = [Reader() for _ in range(4)]
    budget = OutputBudget(CAPACITY_BYTES, readers, lambda: now_us, lambda: enforced.append(now_us))
    readers[0].unsent = CAPACITY_BYTES
    now_us += CHECK_US
    budget.check()
    assert not enforced
    readers[1].unsent = 1
    budget.check()  # too soon after the last check
    assert not enforced
    now_us += CHECK_US
    budget.check()
    assert enforced == [now_us]
    assert {reader.max_unsent for reader in readers} == {FREE_BYTES}
    readers[0].unsent = CAPACITY_BYTES // 4
    now_us += CHECK_US
    budget.check()
    assert {reader.max_unsent for reader in readers} == {MAX_UNSENT_BYTES}
