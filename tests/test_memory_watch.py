"""The router says what it holds before the platform kills it for its memory."""

from __future__ import annotations

import pytest
from fakes import FakeLoop

from slipbay import log
from slipbay.memory_watch import CHECK_US, MIB, MemoryWatch, resident_bytes


def test_what_is_held_is_logged_near_the_limit_and_not_below(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log, "_kinds", {})
    loop = FakeLoop()
    resident_mb = 47
    MemoryWatch(loop.timers, 64, lambda: {"clients": 340}, lambda: resident_mb * MIB)
    loop.advance(CHECK_US)
    assert "memory" not in capsys.readouterr().err
    resident_mb = 48
    loop.advance(CHECK_US)
    line = capsys.readouterr().err
    assert "resident memory is near the limit resident_mb=48 limit_mb=64 clients=340" in line


def test_the_resident_memory_of_this_process_is_known() -> None:
    assert 10 * MIB < resident_bytes() < 10_000 * MIB
