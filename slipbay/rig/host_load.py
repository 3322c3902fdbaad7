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

SAMPLE_INTERVAL_S = 0.1
RETENTION_S = 60.0
TIMESTAMP = Struct("<d")


def cpu_wait_s(pid: int) -> float:
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
        self._lateness_s = 0.0
        self._next_sample_s = inf
        # send times of datagrams to the rig itself that have not arrived
        self._in_flight: deque[float] = deque()
        self._samples: deque[tuple[float, float, dict[int, float]]] = deque(
            maxlen=int(RETENTION_S / SAMPLE_INTERVAL_S)
        )

    async def watch(self) -> None:
        """Take samples until cancelled."""
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe_socket:
            probe_socket.bind(("127.0.0.1", 0))
            probe_socket.connect(probe_socket.getsockname())
            loop.add_reader(probe_socket, self._receive, probe_socket)
            try:
                await self._sample(loop, probe_socket)
            finally:
                loop.remove_reader(probe_socket)

    def _receive(self, probe_socket: socket.socket) -> None:
        """Count the delay of a datagram in the system's network stack like a delay of the event loop."""
        (sent_s,) = TIMESTAMP.unpack(probe_socket.recv(TIMESTAMP.size))
        self._lateness_s += max(0.0, asyncio.get_running_loop().time() - sent_s - 0.01)
        while self._in_flight and self._in_flight[0] <= sent_s:
            self._in_flight.popleft()

    def _network_delay_s(self) -> float:
        return (
            max(0.0, asyncio.get_running_loop().time() - self._in_flight[0] - 0.01)
            if self._in_flight
            else 0.0
        )

    async def _sample(self, loop: asyncio.AbstractEventLoop, probe_socket: socket.socket) -> None:
        while True:
            self._in_flight.append(loop.time())
            probe_socket.send(TIMESTAMP.pack(self._in_flight[-1]))
            self._samples.append(
                (loop.time(), self._own_delay_s(), {pid: cpu_wait_s(pid) for pid in self._pids()})
            )
            self._next_sample_s = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self._lateness_s += self._loop_delay_s()

    def _loop_delay_s(self) -> float:
        return max(0.0, asyncio.get_running_loop().time() - self._next_sample_s - 0.01)

    def _own_delay_s(self) -> float:
        return cpu_wait_s(os.getpid()) + self._lateness_s

    def host_delay_s(self, since: float) -> float:
        """Return the seconds of delay since a time of the event loop's clock.

        The result is the delay of the rig, plus that of the router that waited longest. Delay that the event
        loop has not yet noticed is included.
        """
        for at, own_delay_s, routers in reversed(self._samples):
            if at <= since:
                max_wait_s = max(
                    (cpu_wait_s(pid) - earlier_s for pid, earlier_s in routers.items()), default=0.0
                )
                return (
                    self._own_delay_s()
                    + max(self._loop_delay_s(), self._network_delay_s())
                    - own_delay_s
                    + max(0.0, max_wait_s)
                )
        return 0.0
