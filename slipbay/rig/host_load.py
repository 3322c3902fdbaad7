"""Measures how much the host delays a run, so that a busy host is not taken for a fault of the program."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from pathlib import Path
from struct import Struct

EVERY_S = 0.1
KEPT_S = 60.0
TIME = Struct("<d")


def waited_s(pid: int) -> float:
    """Return for how many seconds a process was runnable without a core since its start.

    Returns 0 where the system does not provide it.
    """
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


class HostLoad:
    """Samples how long the rig and the routers waited for a core, and how late the rig's event loop ran."""

    def __init__(self, pids: Callable[[], Iterable[int]]) -> None:
        self._pids = pids
        # delay of the event loop so far, and time of its next sample
        self._late = 0.0
        self._due = inf
        # send times of datagrams to the rig itself that have not arrived
        self._flying: deque[float] = deque()
        self._samples: deque[tuple[float, float, dict[int, float]]] = deque(maxlen=int(KEPT_S / EVERY_S))

    async def watch(self) -> None:
        """Take samples until cancelled."""
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as itself:
            itself.bind(("127.0.0.1", 0))
            itself.connect(itself.getsockname())
            loop.add_reader(itself, self._came, itself)
            try:
                await self._sample(loop, itself)
            finally:
                loop.remove_reader(itself)

    def _came(self, itself: socket.socket) -> None:
        """Count the delay of a datagram in the system's network stack like a delay of the event loop."""
        (left,) = TIME.unpack(itself.recv(TIME.size))
        self._late += max(0.0, asyncio.get_running_loop().time() - left - 0.01)
        while self._flying and self._flying[0] <= left:
            self._flying.popleft()

    def _held_back(self) -> float:
        return max(0.0, asyncio.get_running_loop().time() - self._flying[0] - 0.01) if self._flying else 0.0

    async def _sample(self, loop: asyncio.AbstractEventLoop, itself: socket.socket) -> None:
        while True:
            self._flying.append(loop.time())
            itself.send(TIME.pack(self._flying[-1]))
            self._samples.append((loop.time(), self._own(), {pid: waited_s(pid) for pid in self._pids()}))
            self._due = loop.time() + EVERY_S
            await asyncio.sleep(EVERY_S)
            self._late += self._behind()

    def _behind(self) -> float:
        return max(0.0, asyncio.get_running_loop().time() - self._due - 0.01)

    def _own(self) -> float:
        return waited_s(os.getpid()) + self._late

    def held_up(self, since: float) -> float:
        """Return the seconds of delay since a time of the event loop's clock.

        The result is the delay of the rig, plus that of the router that waited longest. Delay that the event
        loop has not yet noticed is included.
        """
        for at, own, routers in reversed(self._samples):
            if at <= since:
                most = max((waited_s(pid) - before for pid, before in routers.items()), default=0.0)
                return self._own() + max(self._behind(), self._held_back()) - own + max(0.0, most)
        return 0.0
