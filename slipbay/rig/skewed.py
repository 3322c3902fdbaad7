"""Runs a program whose clocks are wrong: ``python -m slipbay.rig.skewed MS -m MODULE`` or ``MS SCRIPT``.

Its wall clock has a constant offset of MS. Where the variable ``RIG_JUMP`` names a file, its monotonic clock
jumps to the offset in the file (ns in 8 bytes) when that changes: a larger offset moves the clock ahead, a
smaller one lets it stand still until true time has caught up, as it never moves backwards. The program itself
is unchanged.
"""

from __future__ import annotations

import mmap
import os
import runpy
import sys
import time
from collections.abc import Callable
from pathlib import Path

OFFSET_BYTES = 8  # size of the offset file in bytes


def write_jump(path: Path, ms: float) -> None:
    """Set the offset of the clock that reads ``path`` to ``ms``."""
    with open(path, "r+b" if path.exists() else "wb") as file:
        os.pwrite(file.fileno(), int(ms * 1e6).to_bytes(OFFSET_BYTES, "little", signed=True), 0)


def jumping_clock(real_time: Callable[[], int], path: str) -> Callable[[], int]:
    """Return a monotonic clock in ns that applies the offset in the file."""
    with open(path, "rb") as file:
        offset = mmap.mmap(file.fileno(), OFFSET_BYTES, access=mmap.ACCESS_READ)
        last = 0

    def read() -> int:
        nonlocal last
        last = max(last, real_time() + int.from_bytes(offset[:], "little", signed=True))
        return last

    return read


def main() -> None:
    """Run the program that the command line names, with changed clocks."""
    offset_ns = int(float(sys.argv[1]) * 1e6)
    program = sys.argv[2:]
    real_time = time.time_ns
    time.time_ns = lambda: real_time() + offset_ns
    time.time = lambda: (real_time() + offset_ns) / 1e9
    if path := os.environ.get("RIG_JUMP"):
        time.monotonic_ns = monotonic = jumping_clock(time.monotonic_ns, path)
        time.monotonic = lambda: monotonic() / 1e9
    if program[0] == "-m":
        sys.argv = program[1:]
        runpy.run_module(program[1], run_name="__main__", alter_sys=True)
    else:
        sys.argv = program
        runpy.run_path(program[0], run_name="__main__")


if __name__ == "__main__":
    main()
