"""The rates below which a client holds no connection."""

from __future__ import annotations

import pytest

from slipbay.frontends.progress import MIN_RECEIVED_BYTES_PER_S, MIN_TAKEN_BYTES_PER_S, Progress

SWEEP_US = 500_000


@pytest.mark.parametrize(
    "received_per_s, taken_per_s, moves",
    [
        (0, 0, False),
        (1, 0, False),  # single bytes now and then
        (0, 100, False),
        (MIN_RECEIVED_BYTES_PER_S - 2, MIN_TAKEN_BYTES_PER_S - 2, False),
        (MIN_RECEIVED_BYTES_PER_S, 0, True),
        (0, MIN_TAKEN_BYTES_PER_S, True),
    ],
)
def test_a_connection_gets_on_only_at_the_minimum_rate(
    received_per_s: int, taken_per_s: int, moves: bool
) -> None:
    """Guards against clients that hold connections and memory by single bytes."""
    progress = Progress(0)
    results = {
        progress.has_moved(number * received_per_s // 2, number * taken_per_s // 2, number * SWEEP_US)
        for number in range(1, 40)
    }
    assert results == {moves}


def test_bytes_that_come_in_large_pieces_count_for_the_time_before() -> None:
    """Guards against readers that are cut off, as their system acknowledges 64 KiB at once."""
    progress = Progress(0)
    assert not progress.has_moved(0, 0, 5_000_000)
    assert progress.has_moved(0, 65_536, 5_500_000)
    assert not progress.has_moved(0, 65_536, 6_000_000)
