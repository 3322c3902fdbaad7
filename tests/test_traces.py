"""Without the optional modules, the policy and the core do exactly what they did at commit b8aa84e.

The only exception is the bound of admission, which was fixed after that commit (docs/fleet.md).
"""

from __future__ import annotations

import json

import pytest
import traces

from slipbay.policy import controller

RECORDED = json.loads(traces.RECORDED.read_text())
HINT = (
    "; if the change is intended, give the reason and the measurement in the commit, and record again:"
    " python tests/traces.py record tests/data/traces.json"
)


@pytest.mark.skipif(traces.VERSION not in RECORDED, reason=f"recorded for Python {', '.join(RECORDED)} only")
@pytest.mark.parametrize("name", traces.SCENARIOS)
def test_scenario_matches_the_recorded_trace(name: str) -> None:
    difference = traces.compare(name, RECORDED[traces.VERSION][name], traces.record(name))
    assert not difference, difference + HINT


@pytest.mark.skipif(traces.VERSION not in RECORDED, reason=f"recorded for Python {', '.join(RECORDED)} only")
def test_a_changed_decision_or_answer_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a recorder that misses events."""
    recorded = RECORDED[traces.VERSION]["core"]
    original = controller.Controller.handle

    def delayed_handle(self: controller.Controller, now: int, events: object) -> object:
        return original(self, now + (now > 1_005_000_000), events)  # type: ignore[arg-type]

    monkeypatch.setattr(controller.Controller, "handle", delayed_handle)
    assert "second 100" in traces.compare("core", recorded, traces.record("core"))


def test_equal_values_give_equal_traces_and_different_values_do_not() -> None:
    hashes = [traces.SecondHashes() for _ in range(3)]
    for recorder, values in zip(hashes, ((1, b"x"), (1, b"x"), (1, b"y")), strict=True):
        recorder.note(*values)
    first, same, other = (recorder.trace() for recorder in hashes)
    assert first == same != other
