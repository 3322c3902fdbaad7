"""Calls that an engine has not received when the router lets go of them: they must not arrive later.

The engine does not read and has a small receive buffer, so that the router's system holds most of the call.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, JsonClient, Loopback, StandInEngine, host, run, until
from mysql_standins import MysqlClient, MysqlEngine, mysql_file
from routers import RouterProcess

from slipbay.config.model import Config

RECEIVE_BUFFER_BYTES = 4096  # of the engine's system
STATEMENT = "SELECT '" + "x" * 40_000 + "'"


class UnreadEngine:
    """An engine that accepts connections and reads nothing until ``read_all``."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._listener.bind((HOST, 0))
        self._listener.listen(16)
        self._listener.setblocking(False)
        self.port: int = self._listener.getsockname()[1]

    async def call_arrived(self) -> None:
        """Wait until the first bytes of a call have arrived."""
        loop = asyncio.get_running_loop()
        self._sock, _ = await loop.sock_accept(self._listener)
        readable = asyncio.Event()
        loop.add_reader(self._sock, readable.set)
        await readable.wait()
        loop.remove_reader(self._sock)

    async def read_all(self) -> tuple[bytes, bool]:
        """Everything that arrives on the connection, and whether the router has reset it."""
        data = b""
        loop = asyncio.get_running_loop()
        try:
            while part := await loop.sock_recv(self._sock, 65_536):
                data += part
        except ConnectionResetError:
            return data, True
        return data, False

    def close(self) -> None:
        self._listener.close()
        self._sock.close()


class UnreadLoopback(Loopback):
    """A router before an engine that reads nothing."""

    def __init__(self, engine: UnreadEngine) -> None:
        super().__init__()
        self._unread = engine

    def config(self, hosts: list[dict[str, Any]]) -> Config:
        return super().config([host("s-0", self._unread.port)])


async def assert_taken_back(engine: UnreadEngine) -> None:
    data, was_reset = await engine.read_all()
    assert was_reset
    assert len(data) < len(STATEMENT)


@pytest.mark.parametrize("how", ["cancelled", "closed", "deadline"])
def test_a_query_that_has_not_arrived_does_not_arrive_after_its_client_has_gone(how: str) -> None:
    """Guards against queries that ran up to 6 s after their clients had cancelled or closed, or after their
    final answer: the router closed its connection, and its system went on sending the POST."""

    async def test() -> None:
        engine = UnreadEngine()
        async with UnreadLoopback(engine) as net:
            client = await net.client()
            txn = client.query("report", STATEMENT, limit=400 if how == "deadline" else 20_000)
            await engine.call_arrived()
            if how == "cancelled":
                client.cancel(txn)
            elif how == "closed":
                client.writer.close()
            else:
                assert "error" in await client.answer()
            await asyncio.sleep(0.1)
            await assert_taken_back(engine)
        engine.close()

    run(test)


@pytest.mark.parametrize("signal_name", ["SIGKILL", "SIGTERM"])
def test_a_query_that_has_not_arrived_does_not_arrive_after_the_end_of_the_process(
    signal_name: str, tmp_path: Path
) -> None:
    """Guards against queries that began after their router had ended: the system goes on sending what a
    process has written."""

    async def test() -> None:
        engine = UnreadEngine()
        router = RouterProcess(tmp_path, {"s-0": engine.port})
        await router.start()
        client = JsonClient(*await asyncio.open_connection(HOST, router.ports[0]))
        client.query("report", STATEMENT, limit=20_000)
        await engine.call_arrived()
        if signal_name == "SIGKILL":
            await router.kill()
        else:
            client.writer.close()
            await router.end()
        await assert_taken_back(engine)
        engine.close()

    run(test)


def test_a_statement_does_not_stay_in_transit_after_its_mysql_client_has_gone(tmp_path: Path) -> None:
    """Guards against MySQL statements that begin long after their clients have gone: the connection stayed
    open until the thread was proved to have ended."""

    async def test() -> None:
        points: list[str] = []

        async def hang(point: str) -> None:
            points.append(point)
            if point == "execute":
                await asyncio.Event().wait()

        engine = MysqlEngine(hang)
        await engine.start()
        async with Loopback(StandInEngine(), mysql_file=mysql_file(tmp_path, engine)) as net:
            client = await MysqlClient.connect(net.port(1))
            client.command(0x03, b"INSERT INTO sales_1.tickets VALUES (1)")
            await until(lambda: "execute" in points)
            thread, writer = next(iter(engine.threads.items()))
            engine.server.close()  # no KILL can be sent
            client.writer.close()
            await until(writer.transport.is_closing)
            assert thread not in engine.killed

    run(test)


def test_an_idle_connection_ends_in_order() -> None:
    """Guards against a reset for each connection that is closed with nothing open on it."""
    ends: list[str] = []

    class WatchedEngine(StandInEngine):
        async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await super()._serve(reader, writer)
            except (OSError, EOFError) as end:
                ends.append(type(end).__name__)

    async def test() -> None:
        engine = WatchedEngine()
        async with Loopback(engine) as net:
            client = await net.client()
            client.query()
            assert "result" in await client.answer()
            net.router.dispatcher.backends[0].close_idle(b"s-0")
            await until(lambda: bool(ends))
        assert ends == ["IncompleteReadError"]  # the end of the data, and no reset

    run(test)
