"""The simulator's adapter replies to the same input with the same bytes as at commit 5d63481.

``data/simulator.bin.xz`` has three input streams with 718 batches in total: four instances that report their
threads to each other, two with priorities and lists on request, and one with neither. ``simulated_input.py``
created them with the adapter of that commit. Engines break connections, fail, hang, are slow, reject, drain,
leave and restart cold; there are an overload, a pause, and an instance that restarts.

``data/replies.json`` has hashes of the replies: of the full output of each stream and of prefixes, so that a
failure shows in which batches the first difference is.
"""

from __future__ import annotations

import hashlib
import io
import json
import lzma
import sys
from pathlib import Path
from typing import Any

import pytest

from slipbay.simhost import host

DATA = Path(__file__).parent / "data"
TRACES = Path(__file__).parent.parent / "data" / "traces.json"
VERSION = f"{sys.version_info.major}.{sys.version_info.minor}"
PREFIXES = 20  # number of hashed prefixes of each stream
LENGTH_BYTES = 4  # bytes of the length field of a stream, a batch or a reply


def serve(data: bytes) -> bytes:
    """Replies of the adapter to a stream of batches."""
    sink = io.BytesIO()
    host.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def reply_ends(output: bytes) -> list[int]:
    """End of each reply: its header has 12 bytes, the first four are the length of the rest of the reply."""
    ends: list[int] = []
    position = 0
    while position < len(output):
        position += 12 + int.from_bytes(output[position : position + LENGTH_BYTES], "little")
        ends.append(position)
    return ends


def hashes(stream: bytes) -> dict[str, Any]:
    """Hashes of the full output, and of prefixes by their number of replies."""
    output = serve(stream)
    ends = reply_ends(output)
    prefixes: list[list[Any]] = []
    for number in range(1, PREFIXES + 1):
        count = len(ends) * number // PREFIXES
        prefixes.append([count, hashlib.sha256(output[: ends[count - 1]]).hexdigest()])
    return {"replies": len(ends), "whole": hashlib.sha256(output).hexdigest(), "prefixes": prefixes}


def streams() -> list[bytes]:
    """The recorded input streams."""
    packed = lzma.decompress((DATA / "simulator.bin.xz").read_bytes())
    found: list[bytes] = []
    position = 0
    while position < len(packed):
        start = position + LENGTH_BYTES
        position = start + int.from_bytes(packed[position:start], "little")
        found.append(packed[start:position])
    return found


def recorded() -> dict[str, Any]:
    found: dict[str, Any] = json.loads((DATA / "replies.json").read_text())
    return found


def first_difference(expected: dict[str, Any], found: dict[str, Any]) -> str:
    """Replies between which the first difference is; empty if there is none."""
    equal_count = 0
    for wanted, got in zip(expected["prefixes"], found["prefixes"], strict=True):
        if wanted != got:
            return f"replies differ between number {equal_count} and {wanted[0]} of {expected['replies']}"
        equal_count = wanted[0]
    return "" if expected == found else "the number of replies or the whole output differs"


@pytest.mark.skipif(VERSION not in recorded()["streams"], reason="sums of floats differ between Pythons")
@pytest.mark.parametrize("number", range(3))
def test_the_adapter_replies_as_recorded(number: int) -> None:
    difference = first_difference(recorded()["streams"][VERSION][number], hashes(streams()[number]))
    assert not difference, difference


def test_recorded_input_causes_every_type_of_action() -> None:
    """Dispatch, reject, fail, cancel, timer, message to peers, watch list, fetch list, attempt update."""
    assert {"65", "66", "67", "68", "69", "72", "75", "76", "77"} <= set(recorded()["actions"])
    assert len(streams()) == 3


def test_recorded_traces_of_decisions_are_unchanged() -> None:
    assert hashlib.sha256(TRACES.read_bytes()).hexdigest() == recorded()["traces"]
