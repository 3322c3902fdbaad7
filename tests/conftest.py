"""Groups tests that must not run in parallel, and makes hypothesis draw the same examples in each run."""

from __future__ import annotations

import pytest
from hypothesis import settings

settings.register_profile("slipbay", deadline=None, derandomize=True, database=None)
settings.load_profile("slipbay")

WORKER_GROUPS = {  # files whose tests start many processes; a group runs one after another in one worker
    "test_rig": "processes 1",
    "test_channel_processes": "processes 1",
    "test_quota_processes": "processes 1",
    "test_witnesses": "processes 1",
    "test_gather_processes": "processes 1",
    "test_mixed_versions": "processes 1",
    "test_kills": "processes 2",
    "test_comeback": "processes 2",
    "test_store_losses": "processes 2",
    "test_together": "processes 2",
}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.stem in WORKER_GROUPS:
            item.add_marker(pytest.mark.xdist_group(WORKER_GROUPS[item.path.stem]))
