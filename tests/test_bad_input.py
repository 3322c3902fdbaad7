"""Short plays of the soak with bad clients (``bad_input_soak.py``); the long run is started by hand."""

from __future__ import annotations

from pathlib import Path

import pytest
from bad_input_soak import play_seed
from loopback import run

PLAY_S = 4.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_bad_clients_break_no_rule(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        assert await play_seed(seed, tmp_path, PLAY_S) == []

    run(test)


@pytest.mark.parametrize("seed", [0, 5])
def test_a_crowd_of_bad_clients_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        assert await play_seed(seed, tmp_path, PLAY_S) == []

    run(test)
