"""A router process with the least memory that the platform gives, before engines that answer at once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from loopback import HOST, StandInEndpointList, StandInEngine, event, host, one_page
from test_process import ROOT, configure

from slipbay.rig.standins import Script

MEMORY_MB = 64
ENGINES = 8
HEARTBEAT_S = 0.7


@dataclass
class RouterUnderTest:
    """A running router process."""

    port: int
    process: asyncio.subprocess.Process
    engines: list[StandInEngine]
    log: bytearray

    @property
    def memory_peak_mb(self) -> float:
        """The peak of the resident memory."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has no memory")


@contextlib.asynccontextmanager
async def router_process(
    folder: Path, sockets: int, script: Script = one_page
) -> AsyncIterator[RouterUnderTest]:
    """Runs a router process with engines that answer at once."""
    engines = [StandInEngine(script) for _ in range(ENGINES)]
    for engine in engines:
        await engine.start()
    journal = StandInEndpointList()
    await journal.start()
    hosts = [host(f"s-{number}", engine.port) for number, engine in enumerate(engines)]
    config = configure(
        folder,
        journal=f"{HOST}:{journal.port}",
        limits={"cores": 1, "memory_mb": MEMORY_MB, "sockets": sockets},
        known={"pos": 1, "entries": [event(1, *hosts, whole=True)]},
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "slipbay",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(config)},
    )
    assert process.stderr is not None
    while "listens at" not in (line := (await process.stderr.readline()).decode()):
        assert line, "the router did not start"
    log = bytearray()
    tasks = [asyncio.create_task(send_heartbeats(journal)), asyncio.create_task(keep(process.stderr, log))]
    try:
        yield RouterUnderTest(int(line.rpartition(":")[2]), process, engines, log)
        assert process.returncode is None, "the router has ended"
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for task in tasks:
            task.cancel()


async def keep(reader: asyncio.StreamReader, log: bytearray) -> None:
    while data := await reader.read(65536):
        log += data


async def send_heartbeats(journal: StandInEndpointList) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for writer in journal.writers:
            writer.write(b'{"pos":1}\n')
