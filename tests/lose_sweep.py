"""Kills two routers with stores repeatedly, and loses, truncates or restores their stores meanwhile.

JSON-RPC clients mark their repeats and send them to either router. MySQL clients do not mark repeats, send
them to the router of the first sending, and stop within the window. No load may run twice.

``python tests/lose_sweep.py --restarts 300 --seed 1`` runs a long sweep. ``--off`` disables the detection of
store loss and loses each store; it must find loads that ran twice. CI runs a short sweep of each
(test_store_losses.py).
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

from click.testing import CliRunner
from kill_sweep import CLIENTS, Result, Sweep
from mysql_standins import mysql_file
from routers import RouterProcess, store_file

from slipbay.cli import main
from slipbay.store import manifest
from slipbay.store.frame import HEAD_BYTES

WINDOW_S = 12.0
REPEAT_TIME_S = 3.0
LOSS_DETECTION = (
    f'{{ enabled = true, repeat_window_s = {WINDOW_S}, marked = ["jsonrpc"], anywhere = true, '
    'marker = "marker" }'
)
FAULTS = ("kept", "lost", "put back", "cut")
WEIGHTS = (4, 2, 2, 2)


def active(folder: Path) -> Path:
    """The file of a store's active segment."""
    return folder / manifest.decode((folder / manifest.NAME).read_bytes()).active.name


class LoseSweep(Sweep):
    marks_repeats = True
    repeat_time_s = REPEAT_TIME_S
    pause_s = 0.05

    def __init__(self, folder: Path, kills: int, seed: int, detects_loss: bool) -> None:
        super().__init__(folder, kills, seed)
        self.fault_random = Random(seed)  # separate, as the engines use ``random`` in no fixed order
        self.detects_loss = detects_loss
        self.fault_counts = Counter[str]()
        self.routers: list[RouterProcess] = []

    def choose(self, name: str, tries: int) -> RouterProcess:
        if name[0] == "a" and self.detects_loss:
            return self.random.choice(self.routers)
        return self.routers[int(name[7]) % 2]

    async def run(self) -> Result:
        await self.http.start()
        await self.mysql.start()
        for number in range(2):
            folder = self._folder / str(number)
            folder.mkdir()
            store_file(
                folder,
                segment_mb="0.02",
                most_mb="1",
                keep="{ answer_kb = 1 }",
                recovery="{ most_s = 5 }",
                later_ms="10",
                **({"loss": LOSS_DETECTION} if self.detects_loss else {}),
            )
            if self.detects_loss:  # an operator adopts the store before the first start
                (folder / "data").mkdir()
                adopted = CliRunner().invoke(
                    main, ["store", "adopt", str(folder / "data"), "--because", "a first start"]
                )
                assert adopted.exit_code == 0, adopted.output
            self.routers.append(
                RouterProcess(folder, {"s-0": self.http.port}, mysql_file(folder, self.mysql))
            )
        await asyncio.gather(*(router.start() for router in self.routers))
        clients = [
            asyncio.create_task(self._client(send, number))
            for send in (self._send_json, self._send_mysql)
            for number in range(CLIENTS)
        ]
        while self.result.kills < self.kills and (self.detects_loss or self.max_runs() < 2):
            at = self.fault_random.randrange(2)
            self.router = self.routers[at]
            if self.fault_random.random() < 0.5:
                self._copy(at)  # the store is in use, so the copy may have a torn end
            await self._wait_for_random_point()
            await self.router.kill()
            self.result.kills += 1
            self._damage(at)
            await self.router.start()
        self._is_over = True
        await asyncio.gather(*clients)
        for router in self.routers:
            if await router.end() != 0:
                self.result.faults.append("a router did not end with 0")
        self.result.faults += [
            f"{name!r}: ran {runs} times"
            for ran in (self.http.runs, self.mysql.executed)
            for name, runs in ran.items()
            if runs > 1
        ]
        self.http.server.close()
        self.mysql.server.close()
        return self.result

    def max_runs(self) -> int:
        """The largest number of runs of a load."""
        return max([*self.http.runs.values(), *self.mysql.executed.values()], default=0)

    def _copy(self, at: int) -> None:
        shutil.rmtree(self._copied(at), ignore_errors=True)
        try:
            shutil.copytree(self._data(at), self._copied(at))
        except (OSError, shutil.Error):  # the store changed during the copy
            shutil.rmtree(self._copied(at), ignore_errors=True)

    def _damage(self, at: int) -> None:
        """Apply a random fault to a store while its router is down."""
        fault = self.fault_random.choices(FAULTS, WEIGHTS if self.detects_loss else (0, 1, 0, 0))[0]
        if any("cannot be opened" in line for line in self.routers[at].lines):
            fault = "lost"  # operators remove a damaged store
        self.routers[at].lines.clear()
        if fault == "put back" and not self._copied(at).exists():
            fault = "lost"
        self.fault_counts[fault] += 1
        if fault in ("lost", "put back"):
            shutil.rmtree(self._data(at))
        if fault == "put back":
            shutil.copytree(self._copied(at), self._data(at))
        if fault == "cut" and (self._data(at) / manifest.NAME).exists():
            file = active(self._data(at))
            content_bytes = file.stat().st_size - HEAD_BYTES
            os.truncate(file, HEAD_BYTES + int(content_bytes * self.fault_random.random()))
        if self.fault_random.random() < 0.3:
            self._copy(at)

    def _data(self, at: int) -> Path:
        return self._folder / str(at) / "data"

    def _copied(self, at: int) -> Path:
        return self._folder / str(at) / "copy"


def sweep(kills: int, seed: int, limit_s: float, detects_loss: bool = True) -> tuple[Result, Counter[str]]:
    """Run one sweep in a temporary directory; without ``detects_loss`` it ends with the first fault."""

    async def limited(folder: Path) -> tuple[Result, Counter[str]]:
        started = LoseSweep(folder, kills, seed, detects_loss)
        try:
            return await asyncio.wait_for(started.run(), limit_s), started.fault_counts
        finally:
            for router in started.routers:
                if router.process is not None and router.process.returncode is None:
                    router.process.kill()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(limited(Path(folder)))


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--restarts", type=int, default=300)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--off", action="store_true")
    chosen = options.parse_args()
    found, fault_counts = sweep(chosen.restarts, chosen.seed, chosen.restarts * 10, not chosen.off)
    print(found, dict(fault_counts))
    for fault in found.faults:
        print(fault)
    raise SystemExit(bool(found.faults))
