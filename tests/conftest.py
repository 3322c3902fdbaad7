"""Groups tests that must not run in parallel, makes hypothesis draw the same examples in each run, and lets
an exception in a finalizer fail the test that left the object."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest
from closing_loop import ClosingLoopPolicy, FinalizerCheck
from hypothesis import settings

settings.register_profile("slipbay", deadline=None, derandomize=True, database=None)
settings.load_profile("slipbay")
asyncio.set_event_loop_policy(ClosingLoopPolicy())

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
    "test_client_crowds": "processes 3",
    "test_departed_clients": "processes 3",
    "test_bad_input": "processes 3",
}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.stem in WORKER_GROUPS:
            item.add_marker(pytest.mark.xdist_group(WORKER_GROUPS[item.path.stem]))


@pytest.fixture(autouse=True)
def _finalizers_run_within_their_test() -> Iterator[None]:
    check = FinalizerCheck()
    yield
    check.finish()
