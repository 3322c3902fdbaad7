"""A router process is killed at random points: no request runs twice, and answers agree with what ran."""

from __future__ import annotations

import pytest
from kill_sweep import sweep


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_runs_twice_if_the_router_is_killed_repeatedly(seed: int) -> None:
    result = sweep(kills=15, seed=seed, limit_s=120)
    print(result)
    assert result.faults == []
    assert result.kills == 15
    assert result.served >= result.loads / 4
    assert result.tries > result.loads
