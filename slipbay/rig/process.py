"""Routers as processes; one router may run several processes, one after another or two at a time."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

from slipbay.rig.skewed import write_jump

START_S = 60.0  # s within which a router must listen, also on a busy host


class RouterIncarnation:
    """One process of a router."""

    def __init__(self, router: RouterProcess, number: int, slot: int) -> None:
        self.router = router
        self.number = number
        self.slot = slot
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.ready = False  # it listens, and is neither ended nor stopped by the rig
        self._end_requested = False  # the rig has sent SIGKILL or SIGTERM
        self._stopped_spans: list[
            list[float]
        ] = []  # spans in which it was stopped; s of the event loop's clock
        self.ready_or_ended = asyncio.Event()  # set when it listens, or has ended before that
        self._read_task: asyncio.Task[None] | None = None

    async def start(self, command: list[str], environment: dict[str, str]) -> None:
        """Start the process, and read its log lines."""
        self.process = await asyncio.create_subprocess_exec(
            *command, stderr=asyncio.subprocess.PIPE, env={**os.environ, **environment}
        )
        self._read_task = asyncio.get_running_loop().create_task(self._read_log(self.process))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode():
            self.router.lines.append(line.rstrip())
            if "listens at" in line:
                self.port = int(line.split("listens at ")[1].split()[0].rpartition(":")[2].rstrip(","))
                # the line may be older than the signal
                self.ready = not self._end_requested and not self.is_stopped
                self.router.on_ready(self)
                self.ready_or_ended.set()
        self.ready = False
        self.ready_or_ended.set()

    @property
    def alive(self) -> bool:
        """Whether the process runs, also while it is stopped."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, and record what it does to its state."""
        self._end_requested = self._end_requested or number in (signal.SIGKILL, signal.SIGTERM)
        if self._end_requested or number == signal.SIGSTOP:
            self.ready = False
        now = asyncio.get_running_loop().time()
        if number == signal.SIGSTOP and not self.is_stopped:
            self._stopped_spans.append([now, inf])
        if number == signal.SIGCONT and self.is_stopped:
            self._stopped_spans[-1][1] = now
            self.ready = self.alive and bool(self.port) and not self._end_requested
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def is_stopped(self) -> bool:
        """Whether the process is stopped by SIGSTOP now."""
        return bool(self._stopped_spans) and self._stopped_spans[-1][1] == inf

    def stopped_s(self, since: float) -> float:
        """Return for how many seconds the process was stopped since a time of the event loop's clock.

        Its answers may be late by this time.
        """
        now = asyncio.get_running_loop().time()
        return sum(
            max(0.0, min(now, until) - max(since, stopped_at)) for stopped_at, until in self._stopped_spans
        )

    def pause(self) -> None:
        """Stop the process briefly, without recording it as stopped: clients do not notice."""
        if self.process is not None:
            os.kill(self.process.pid, signal.SIGSTOP)
            state = ""
            while state not in ("T", "Z", "X"):  # the signal takes effect after a short delay
                state = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0]

    def resume(self) -> None:
        """Continue the process after ``pause``."""
        if self.process is not None:
            os.kill(self.process.pid, signal.SIGCONT)

    async def wait_until_ended(self) -> int:
        """Wait until the process ends and return its exit code."""
        assert self.process is not None
        code = await self.process.wait()
        if self._read_task is not None:
            await self._read_task
        return code


class RouterProcess:
    """One router, by its number, with all processes that ran for it."""

    program: tuple[str, ...] = ("-m", "slipbay")  # arguments of the Python interpreter

    def __init__(
        self,
        number: int,
        config: Callable[[int], dict[str, Any]],
        folder: Path,
        files: dict[str, str],
        on_ready: Callable[[RouterIncarnation], None],
    ) -> None:
        """Create a router that does not run yet.

        ``files`` holds the texts of operator files by name. ``{own}`` in a text is replaced by a directory of
        this router that outlives its processes. A second process that runs beside the first has seat 1 and
        its own files.
        """
        self.number = number
        self._config = config
        self._folder = folder
        self._files = files
        self.incarnations: list[RouterIncarnation] = []
        self.lines: list[str] = []
        self.on_ready = on_ready
        self.clock_offset_ms = 0.0  # offset of the wall clock of its next processes
        self.clock_may_jump = False  # whether its clock can jump
        # directory of the ``slipbay`` package of its next processes; None: the rig's own
        self.source_directory: Path | None = None
        self._jump_offset_ms = 0.0
        self.lock = asyncio.Lock()  # actions on the router run one after another

    async def spawn(self, slot: int = 0) -> RouterIncarnation:
        """Start another process, which does not listen yet."""
        file = self._folder / f"n{self._file_tag(slot)}.json"
        file.write_text(json.dumps(self._config(slot)))
        if not (key := self._folder / "key").exists():  # other routers may be reading the file
            key.write_text("a key of this play\n")
        paths = {name: self._write(name, slot) for name in self._files}
        incarnation = RouterIncarnation(self, len(self.incarnations), slot)
        self.incarnations.append(incarnation)
        skewed = self.clock_offset_ms or self.clock_may_jump
        clock = ("-m", "slipbay.rig.skewed", str(self.clock_offset_ms)) if skewed else ()
        if self.clock_may_jump:
            self.jump(0.0)
        await incarnation.start(
            [sys.executable, *self._safe_path, *clock, *self.program],
            {
                **({"PYTHONPATH": str(self.source_directory)} if self.source_directory is not None else {}),
                "GW_CONFIG": str(file),
                "SLIPBAY_LOG": "console",
                **({"RIG_JUMP": str(self._jump_file)} if self.clock_may_jump else {}),
                **{f"SLIPBAY_{name.upper()}": str(path) for name, path in paths.items()},
            },
        )
        return incarnation

    @property
    def _safe_path(self) -> tuple[str, ...]:
        """Interpreter option for a router with its own source, so that it imports nothing from the working
        directory.
        """
        return ("-P",) if self.source_directory is not None else ()

    @property
    def _jump_file(self) -> Path:
        return self._folder / f"jump{self.number}"

    def jump(self, ms: float) -> None:
        """Let the monotonic clock of its processes jump ahead or stand still; needs ``clock_may_jump``."""
        self._jump_offset_ms += ms
        write_jump(self._jump_file, self._jump_offset_ms)

    def _file_tag(self, slot: int) -> str:
        return f"{self.number}{'b' * slot}"

    @property
    def state_directory(self) -> Path:
        """Directory of its store and other state."""
        return self._folder / f"own{self.number}"

    def _copy_path(self, name: str) -> Path:
        return self._folder / f"{name}-of{self.number}"

    def copy_store(self, name: str) -> None:
        """Copy its state directory, while its processes are stopped, so that the copy is consistent."""
        shutil.rmtree(self._copy_path(name), ignore_errors=True)
        running = [
            incarnation for incarnation in self.incarnations if incarnation.alive and incarnation.ready
        ]
        for incarnation in running:
            incarnation.pause()
        try:
            if self.state_directory.exists():
                shutil.copytree(self.state_directory, self._copy_path(name))
        finally:
            for incarnation in running:
                incarnation.resume()

    def replace_store(self, name: str | None) -> None:
        """Empty its state directory (None), or restore it from a copy."""
        shutil.rmtree(self.state_directory, ignore_errors=True)
        if name is not None and self._copy_path(name).exists():
            shutil.copytree(self._copy_path(name), self.state_directory)

    def write(self, name: str, text: str) -> Path:
        """Replace an operator file of this router; a running process reads it at SIGHUP."""
        self._files[name] = text
        for slot in {incarnation.slot for incarnation in self.incarnations}:
            self._write(name, slot)
        return self._write(name, 0)

    def _write(self, name: str, slot: int) -> Path:
        path = self._folder / f"{name}{self._file_tag(slot)}.toml"
        own_directory = f"{self.state_directory}{'b' * slot}"
        path.write_text(self._files[name].replace("{own}", own_directory) or "enabled = false\n")
        return path

    @property
    def alive(self) -> bool:
        """Whether any of its processes runs."""
        return any(incarnation.alive for incarnation in self.incarnations)

    @property
    def ready(self) -> list[RouterIncarnation]:
        """Those of its processes that accept requests."""
        return [incarnation for incarnation in self.incarnations if incarnation.ready]

    def signal(self, number: signal.Signals, which: str = "all") -> list[RouterIncarnation]:
        """Send a signal to ``all`` of its processes, to the ``new`` one that started last, or to the ``old``
        ones.

        Returns the processes that received it.
        """
        candidates = {"all": self.incarnations, "new": self.incarnations[-1:], "old": self.incarnations[:-1]}[
            which
        ]
        running = [incarnation for incarnation in candidates if incarnation.alive]
        for incarnation in running:
            incarnation.signal(number)
        return running
