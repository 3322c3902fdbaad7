"""TCP proxies between each router and each engine, and the journal, that can be cut, stalled and delayed.

Each pair has an address of its own, so the endpoint lists that the routers receive differ only in ``dial``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from slipbay.address import Address

DIRECTIONS = ("there", "back")  # there: from the router; back: to the router
MAX_CHUNKS = 64  # chunks in flight in one direction of a connection; more wait at their sender
PORT = 8443


class ProxiedConnection:
    """All connections of one router to one service.

    ``target`` is called at each new connection.
    """

    def __init__(self, address: Address, target: Callable[[], Address]) -> None:
        self.address = address
        self._target = target
        self.is_cut = False
        self.delay_s = dict.fromkeys(DIRECTIONS, 0.0)
        self._may_forward = {direction: asyncio.Event() for direction in DIRECTIONS}
        self._not_cut = asyncio.Event()
        self._not_cut.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.end_stall()

    @property
    def is_intact(self) -> bool:
        """Whether connections are neither cut nor stalled."""
        return not self.is_cut and all(event.is_set() for event in self._may_forward.values())

    async def open(self) -> None:
        """Start to accept connections; port 0 is replaced by a free one."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop the proxy and abort its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self) -> None:
        """Reset all connections; new connections are accepted and receive nothing.

        No connection is refused, because in the platform's protocol a refused connection proves that the
        service's process has ended.
        """
        self.is_cut = True
        self._not_cut.clear()
        for writer in list(self._writers):
            writer.transport.abort()

    def stall(self, directions: tuple[str, ...]) -> None:
        """Hold back bytes and ends of connections; no connection is closed, and new ones are accepted.

        As with TCP, what is held back still arrives after its sender has closed, but not after a reset.
        """
        for direction in directions:
            self._may_forward[direction].clear()

    def end_stall(self) -> None:
        """Forward again what was held back."""
        for event in self._may_forward.values():
            event.set()

    async def heal(self) -> None:
        """Remove all faults; what was held back is forwarded."""
        self.delay_s = dict.fromkeys(DIRECTIONS, 0.0)
        self.end_stall()
        self.is_cut = False
        self._not_cut.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        service_writer: asyncio.StreamWriter | None = None
        try:
            if self.is_cut:
                await self._not_cut.wait()
                return writer.transport.abort()
            await self._may_forward["there"].wait()
            service_reader, service_writer = await asyncio.open_connection(*self._target())
            self._writers.add(service_writer)
            if self.is_cut:
                return None
            async with asyncio.TaskGroup() as group:
                for direction, source, sink in (
                    ("there", reader, service_writer),
                    ("back", service_reader, writer),
                ):
                    queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS)
                    group.create_task(self._receive(direction, source, queue))
                    group.create_task(self._forward(direction, queue, sink))
        except* (OSError, _ConnectionOverError):
            pass
        finally:
            for each_writer in (writer, service_writer):
                if each_writer is not None:
                    each_writer.close()
                    self._writers.discard(each_writer)

    async def _receive(
        self, direction: str, source: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        data = b"-"
        while data:
            try:
                data = await source.read(65_536)
            except OSError as reset:  # what the sender had written and is held back never arrives
                raise _ConnectionOverError from reset
            await queue.put((asyncio.get_running_loop().time() + self.delay_s[direction], data))

    async def _forward(
        self, direction: str, queue: asyncio.Queue[tuple[float, bytes]], sink: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            await self._may_forward[direction].wait()
            if not data:
                raise _ConnectionOverError  # ends both directions
            sink.write(data)
            await sink.drain()


class _ConnectionOverError(Exception):
    """One side of the connection has ended it."""


class TcpProxy:
    """All proxied connections, by router and engine; None stands for the journal."""

    def __init__(
        self,
        net: int,
        routers: int,
        engines: int,
        engine: Callable[[int], Address],
        journal: Callable[[int], Address],
    ) -> None:
        """Create the proxies; ``engine`` and ``journal`` return the real addresses by engine and by
        router.
        """
        self._connections: dict[tuple[int, int | None], ProxiedConnection] = {}
        for router in range(routers):
            for n in range(engines):
                self._connections[router, n] = ProxiedConnection(
                    (f"127.{net}.{64 + router}.{n + 1}", PORT), partial(engine, n)
                )
            self._connections[router, None] = ProxiedConnection(
                (f"127.{net}.{64 + router}.254", PORT), partial(journal, router)
            )

    def __getitem__(self, pair: tuple[int, int | None]) -> ProxiedConnection:
        return self._connections[pair]

    async def open(self) -> None:
        """Start all proxies."""
        for connection in self._connections.values():
            await connection.open()

    def close(self) -> None:
        """Stop all proxies."""
        for connection in self._connections.values():
            connection.close()

    @property
    def is_journal_intact(self) -> bool:
        """Whether every router's connection to the journal is neither cut nor stalled."""
        return all(
            connection.is_intact for (_, engine), connection in self._connections.items() if engine is None
        )
