"""A journal service that keeps its events.

A router that connects again receives the events that it lacks, and a heartbeat line each second.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from slipbay.rig.report import EventRecorder
from slipbay.rig.standins import event, quietly, serve

HEARTBEAT_INTERVAL_S = 1.0


class EndpointListServer:
    """Serves the endpoint list; each router has a port of its own, as addresses of engines may differ
    between routers.
    """

    def __init__(self, recorder: EventRecorder, routers: int) -> None:
        self._recorder = recorder
        self._routers = routers
        self._events: list[Callable[[int], list[dict[str, Any]]]] = []
        self._writers: set[tuple[int, asyncio.StreamWriter]] = set()
        self._servers: list[asyncio.Server] = []
        self.ports: list[int] = []

    @property
    def position(self) -> int:
        """Number of the last event."""
        return len(self._events)

    async def start(self) -> None:
        """Start to accept connections and to send heartbeats."""
        for number in range(self._routers):
            server, port = await serve(
                lambda reader, writer, n=number: quietly(self._serve(n, reader, writer))  # type: ignore[misc]
            )
            self._servers.append(server)
            self.ports.append(port)
        self._heartbeat_task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def publish(self, hosts: Callable[[int], list[dict[str, Any]]]) -> None:
        """Publish a change of the list; ``hosts`` returns the entries that each router receives."""
        self._events.append(hosts)
        for number, writer in self._writers:
            writer.write(self._line(self.position, number))

    def close(self) -> None:
        """Stop the server and abort its connections."""
        self._heartbeat_task.cancel()
        for server in self._servers:
            server.close()
        for _, writer in self._writers:
            writer.transport.abort()

    def _line(self, position: int, number: int) -> bytes:
        return json.dumps(event(position, *self._events[position - 1](number))).encode() + b"\n"

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for _, writer in self._writers:
                writer.write(b'{"pos":%d}\n' % self.position)

    async def _serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._recorder.add("list_calls", asyncio.get_running_loop().time())
        request_words = (await reader.readline()).split()
        if len(request_words) < 2:
            return writer.transport.abort()  # the router ended before it sent its request
        last_position = int(request_words[1])
        for position in range(last_position + 1, self.position + 1):
            writer.write(self._line(position, number))
        self._writers.add((number, writer))
        try:
            while await reader.read(100):
                pass
        finally:
            self._writers.discard((number, writer))
            writer.transport.abort()
