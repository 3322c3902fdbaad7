"""A router in its own process, which tests can kill and restart, on free loopback ports."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from loopback import HOST, SETTINGS, StandInEndpointList, event, host

ROOT = Path(__file__).parent.parent


def store_file(folder: Path, **more: str) -> Path:
    """Writes a store.toml that enables the store, with its data in a folder beside the file."""
    file = folder / "store.toml"
    tables = {key: value for key, value in more.items() if value.startswith("{")}
    plain = {key: value for key, value in more.items() if key not in tables}
    file.write_text(
        "\n".join(
            (
                "enabled = true",
                'folder = "data"',
                *(f"{key} = {value}" for key, value in plain.items()),
                *(f"{key} = {value}" for key, value in tables.items()),
            )
        )
        + "\n"
    )
    return file


class RouterProcess:
    """Starts, kills and restarts a router with the same name, store and engines."""

    def __init__(
        self,
        folder: Path,
        engines: dict[str, int],
        mysql: Path | None = None,
        settings: dict[str, Any] | None = None,
        **more: Any,
    ) -> None:
        """``more`` are further keys of the configuration. A channel.toml in the folder is read if present."""
        self._folder = folder
        self._mysql = mysql
        self._more = more
        self._hosts = [host(name, port) for name, port in engines.items()]
        self._settings = settings or SETTINGS
        self.journal = StandInEndpointList()
        self.process: asyncio.subprocess.Process | None = None
        self.lines: list[str] = []
        self.ports: list[int] = []
        self.listening = asyncio.Event()  # the router listens
        self.store_read = asyncio.Event()  # the router has read its store, or cannot open it
        self._line_read = asyncio.Event()  # a line was read from standard error
        self._reading_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        if not hasattr(self.journal, "server"):
            await self.journal.start()
        config = self._folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:0",
                    "seed": "1",
                    "journal": f"{HOST}:{self.journal.port}",
                    "known": {"pos": 1, "entries": [event(1, *self._hosts, whole=True)]},
                    "settings": self._settings,
                    **self._more,
                }
            )
        )
        environment = {
            **os.environ,
            "GW_CONFIG": str(config),
            "SLIPBAY_STORE": str(self._folder / "store.toml"),
            "SLIPBAY_CHANNEL": str(self._folder / "channel.toml"),
            **({"SLIPBAY_MYSQL": str(self._mysql)} if self._mysql else {}),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "slipbay", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._reading_task = asyncio.get_running_loop().create_task(self._read(self.process))
        await self.listening.wait()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode():
            self.lines.append(line)
            self._line_read.set()
            if "listens at" in line:
                ports = line.partition("listens at ")[2].replace(",", " ").split()
                self.ports = [int(word.rpartition(":")[2]) for word in ports if word.startswith(HOST)]
                self.listening.set()
            elif "store: read" in line or "cannot be opened" in line:
                self.store_read.set()

    async def wait_for_lines(self, *texts: str) -> None:
        """Waits until each text is in a line of the log.

        The router writes its lines one by one, so a later line may still be missing when an earlier one is
        there.
        """
        missing = list(texts)
        try:
            async with asyncio.timeout(45):
                while missing := [text for text in texts if not any(text in line for line in self.lines)]:
                    self._line_read.clear()
                    await self._line_read.wait()
        except TimeoutError:
            raise AssertionError(f"want {missing} in {self.lines}") from None

    async def _wait_for_end(self) -> int:
        assert self.process is not None
        assert self._reading_task is not None
        self.listening.clear()
        self.store_read.clear()
        code = await self.process.wait()
        await self._reading_task
        return code

    async def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its end."""
        assert self.process is not None
        self.process.kill()
        await self._wait_for_end()

    async def end(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        code = await self._wait_for_end()
        self.journal.server.close()
        return code
