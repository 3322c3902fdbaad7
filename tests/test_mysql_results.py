"""The memory of one MySQL result is limited by what is held, not by its payloads alone."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from fakes import FakeLoop, FakeTransport

from slipbay.backends.mysql_connection import MAX_RESULT_BYTES, MysqlConnection
from slipbay.backends.pool import Pool, SocketBudget
from slipbay.stream import Connector
from slipbay.wire import mysql

HOST = "127.0.0.1"
PACKETS_AT_ONCE = 8_000
MAX_HELD_BYTES = 3 * MAX_RESULT_BYTES  # with what Python's objects add


@pytest.mark.parametrize("row", [b"", b"\x01", b"\x01a", b"\x03abc" * 4])
def test_an_endless_result_of_short_rows_ends_its_connection_within_its_memory(row: bytes) -> None:
    """Guards against rows that take no place in a limit on the bytes of their payloads."""
    loop = FakeLoop()
    connector = Connector(asyncio.new_event_loop(), loop.timers)
    pool: Pool[MysqlConnection] = Pool(
        b"s-0",
        (HOST, 1),
        lambda pool: MysqlConnection(pool, None),  # type: ignore[arg-type]
        connector,
        loop.timers,
        SocketBudget(1),
        loop.now,
        250_000,
        30_000_000,
    )
    connection = MysqlConnection(pool, None)  # type: ignore[arg-type]
    transport = FakeTransport(loop, connection, lambda _transport, _data: None)
    connection.connection_made(transport)
    connection._handle_packet = connection._handle_answer
    reader = mysql.ResultReader()
    interrupted: list[bool] = []
    connection.call([b"\x03SELECT 1"], reader, lambda: None, lambda: interrupted.append(True))
    head, sequence = mysql.packets([b"\x01", b"a column", b"\xfe\x00\x00\x02\x00"], 1)
    rows, _ = mysql.packets([row] * PACKETS_AT_ONCE, sequence)
    tracemalloc.start()
    try:
        connection.received(head)
        while not transport.closing and tracemalloc.get_traced_memory()[0] < MAX_HELD_BYTES:
            connection.received(rows)
        assert tracemalloc.get_traced_memory()[0] < MAX_HELD_BYTES
    finally:
        tracemalloc.stop()
        connector.loop.close()
    loop.settle()
    assert interrupted
