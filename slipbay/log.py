"""Log lines to standard error. Each kind of line is limited, so that a storm of trouble stays readable."""

from __future__ import annotations

import sys
import time

BURST = 5  # lines of a kind in a period
PERIOD = 1.0  # s

_kinds: dict[str, tuple[float, int]] = {}


def log(kind: str, text: str) -> None:
    """Print one line; of each kind at most ``BURST`` in a period, the rest are counted and told later."""
    now = time.monotonic()
    began, count = _kinds.get(kind, (now, 0))
    if now - began >= PERIOD:
        if count > BURST:
            _print(kind, f"{count - BURST} more lines were left out")
        began, count = now, 0
    _kinds[kind] = began, count + 1
    if count < BURST:
        _print(kind, text)


def _print(kind: str, text: str) -> None:
    try:
        print(f"slipbay: {kind}: {text}", file=sys.stderr, flush=True)
    except OSError:  # nobody reads our log any more: no reason to stop serving
        pass
