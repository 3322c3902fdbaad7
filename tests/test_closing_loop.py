"""What tests leave open is closed before their loop; an error in a finalizer fails the test that left it."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

from loopback import HOST, serve

ROOT = Path(__file__).parent.parent
LEAVES_A_FAULTY_OBJECT = """
import asyncio

class Faulty:
    def __init__(self):
        self.itself = self

    def __del__(self):
        raise OSError("a finalizer failed")

async def leave_it():
    Faulty()

def test_that_leaves_it():
    asyncio.run(leave_it())

def test_that_leaves_nothing():
    pass
"""


def test_connections_that_are_left_open_are_closed_before_their_loop() -> None:
    """Guards against finalizers of connections that run, and fail, in the middle of other tests."""
    writers: list[asyncio.StreamWriter] = []

    async def leave_open() -> None:
        async def keep(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)

        _, port = await serve(keep)
        writers.append((await asyncio.open_connection(HOST, port))[1])
        while len(writers) < 2:
            await asyncio.sleep(0)

    asyncio.run(leave_open())
    assert all(writer.transport.is_closing() for writer in writers)


def test_an_error_in_a_finalizer_fails_the_test_that_left_its_object(tmp_path: Path) -> None:
    (tmp_path / "test_left.py").write_text(LEAVES_A_FAULTY_OBJECT)
    finished = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-n", "0", "-p", "conftest", "-p", "no:cacheprovider"]
        + ["-c", str(ROOT / "pyproject.toml"), f"--rootdir={tmp_path}", str(tmp_path / "test_left.py")],
        capture_output=True,
        text=True,
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT / "tests")},
    )
    assert "2 passed, 1 error" in finished.stdout, finished.stdout
    assert "ERROR test_left.py::test_that_leaves_it" in finished.stdout, finished.stdout
