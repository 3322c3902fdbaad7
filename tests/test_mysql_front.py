"""End-to-end tests of the MySQL path: a stand-in client, the router and stand-in engines."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from loopback import Loopback, StandInEngine, run, until
from mysql_standins import Cut, MysqlClient, MysqlEngine, MysqlError, mysql_file

ROW = b"d" + b"x" * 100


@asynccontextmanager
async def network(
    folder: Path, *engines: MysqlEngine, extra: str = "", deadlines: str = ""
) -> AsyncIterator[Loopback]:
    for engine in engines:
        await engine.start()
    async with Loopback(
        *(StandInEngine() for _ in engines),
        mysql_file=mysql_file(folder, *engines, extra=extra, deadlines=deadlines),
    ) as net:
        yield net
    for engine in engines:
        engine.server.close()


async def connect_client(net: Loopback) -> MysqlClient:
    return await MysqlClient.connect(net.port(1))


def test_statements_run_as_text_and_prepared(tmp_path: Path) -> None:
    async def test() -> None:
        engine = MysqlEngine()
        async with network(tmp_path, engine) as net:
            client = await connect_client(net)
            client.command(0x0E)
            assert (await client.answer())[0] == 0
            assert await client.query("SELECT a FROM sales_1.orders") == [ROW]
            statement = await client.prepare("SELECT a FROM sales_1.orders WHERE b = ?")
            assert await client.execute(statement, "1") == [ROW]
            assert await client.execute(statement, "2", bind=False) == [ROW]  # with the parameter types above
            assert len(engine.prepared) == 1
            assert sum(engine.executed.values()) == 3
            assert all(b"\1\xfd\0" in run_command for run_command in engine.executed if b"|" in run_command)

    run(test)


def test_long_data_is_sent_with_the_execution(tmp_path: Path) -> None:
    async def test() -> None:
        engine = MysqlEngine()
        async with network(tmp_path, engine) as net:
            client = await connect_client(net)
            statement = await client.prepare("INSERT INTO sales_1.tickets VALUES (?)")
            for part in (b"half ", b"and half"):
                client.command(0x18, statement.to_bytes(4, "little") + b"\0\0" + part)
            client.command(0x17, statement.to_bytes(4, "little") + b"\0\1\0\0\0" + b"\0\1\xfb\0")
            assert await client.result() == [ROW]
            assert engine.commands[-2][7:] == b"half and half"
            client.command(0x18, statement.to_bytes(4, "little") + b"\0\0" + b"forgotten")
            client.command(0x1A, statement.to_bytes(4, "little"))
            assert (await client.answer())[0] == 0
            assert await client.execute(statement, "short") == [ROW]
            assert not any(b"forgotten" in command for command in engine.commands)

    run(test)


async def cpu_s_of_long_data(client: MysqlClient, parameters: int) -> float:
    """CPU time in which client and router pass a chunk for each parameter, the least of three runs."""
    statement = await client.prepare(f"INSERT INTO sales_1.t VALUES ({','.join('?' * parameters)})")
    number = statement.to_bytes(4, "little")
    times_s = []
    for _ in range(3):
        started_s = time.thread_time()
        for position in range(parameters):
            client.command(0x18, number + position.to_bytes(2, "little") + b"x")
        client.command(0x1A, number)
        assert (await client.answer())[0] == 0
        times_s.append(time.thread_time() - started_s)
    return min(times_s)


def test_the_time_to_receive_long_parameters_grows_no_faster_than_their_number(tmp_path: Path) -> None:
    # Each chunk counted all parameters received before it, so one client could stop the router for seconds
    async def test() -> None:
        async with network(tmp_path, MysqlEngine()) as net:
            client = await connect_client(net)
            few_s = await cpu_s_of_long_data(client, 2000)
            many_s = await cpu_s_of_long_data(client, 16_000)
            assert many_s / few_s < 24  # 8 if it follows the number, 64 if its square

    run(test)


@pytest.mark.parametrize(
    "statement, code",
    [
        ("BEGIN", 1235),
        ("SET autocommit=0", 1235),
        ("USE other", 1235),
        ("SELECT @x", 1235),
        ("COMMIT", 1235),
        ("SELECT GET_LOCK('a', 1)", 1235),
        ("/*!50000 SET x = 1 */", 1235),
        ("CREATE TEMPORARY TABLE t (a INT)", 1235),
        ("SELECT broken FROM sales_1.orders", 1064),
    ],
)
def test_unsupported_statements_get_an_error_and_the_connection_stays_open(
    tmp_path: Path, statement: str, code: int
) -> None:
    async def test() -> None:
        async with network(tmp_path, MysqlEngine()) as net:
            client = await connect_client(net)
            with pytest.raises(MysqlError) as raised:
                await client.query(statement)
            assert (raised.value.code, raised.value.state) == (code, "42000")
            await client.query("SET NAMES utf8mb4")
            assert await client.query("SELECT 1") == [ROW]

    run(test)


def test_unsupported_commands_and_unknown_statements_get_errors(tmp_path: Path) -> None:
    async def test() -> None:
        async with network(tmp_path, MysqlEngine()) as net:
            client = await connect_client(net)
            for code, rest, expected in (
                (0x1C, b"\1\0\0\0\1\0\0\0", 1235),
                (0x02, b"x", 1235),
                (0x11, b"", 1047),
                (0x63, b"", 1047),
                (0x17, b"\x63\0\0\0\0\1\0\0\0", 1243),
                (0x1A, b"\x63\0\0\0", 1243),
            ):
                client.command(code, rest)
                with pytest.raises(MysqlError) as raised:
                    await client.answer()
                assert raised.value.code == expected
            statement = await client.prepare("SELECT a FROM sales_1.orders WHERE b = ?")
            with pytest.raises(MysqlError) as raised:
                await client.execute(statement, "1", cursor=1)
            assert raised.value.code == 1235
            with pytest.raises(MysqlError) as raised:
                await client.execute(statement, "1", bind=False)
            assert raised.value.code == 1210

    run(test)


def test_an_oversized_packet_is_answered_with_an_error_and_closes_the_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with network(tmp_path, MysqlEngine()) as net:
            client = await connect_client(net)
            client.command(0x03, b"SELECT '" + b"x" * 70_000)
            with pytest.raises(MysqlError) as raised:
                await client.answer()
            assert (raised.value.code, raised.value.state) == (1153, "08S01")

    run(test)


@pytest.mark.parametrize(
    "how, code",
    [
        ({"password": b"wrong"}, 1045),
        ({"user": "nobody"}, 1045),
        ({"database": "other"}, 1049),
        ({"charset": 8}, 1115),
    ],
)
def test_invalid_logins_are_rejected(tmp_path: Path, how: dict[str, object], code: int) -> None:
    async def test() -> None:
        async with network(tmp_path, MysqlEngine()) as net:
            with pytest.raises(MysqlError) as raised:
                await MysqlClient.connect(net.port(1), **how)  # type: ignore[arg-type]
            assert raised.value.code == code

    run(test)


def test_rejection_deadline_and_failure_have_different_error_codes(tmp_path: Path) -> None:
    async def test() -> None:
        async with network(tmp_path) as net:  # without engines, every request is rejected
            with pytest.raises(MysqlError) as raised:
                await (await connect_client(net)).query("/* slipbay: cpu_ms=480 */ SELECT 1")
            assert (raised.value.code, raised.value.state) == (9503, "53000")
            assert "retry after 250 ms" in raised.value.text
        engine = MysqlEngine()
        engine.hold = asyncio.Event()
        async with network(tmp_path, engine) as net:
            with pytest.raises(MysqlError) as raised:
                client = await connect_client(net)
                await client.query("/* slipbay: deadline_ms=200 */ INSERT INTO sales_1.t VALUES (1)")
            assert (raised.value.code, raised.value.state) == (3024, "HY000")
            await until(lambda: bool(engine.killed))
            with pytest.raises(MysqlError) as raised:
                await client.query("/* slipbay: deadline_ms=200 */ SELECT 1")
            assert raised.value.code == 3024
            assert "retry after" in raised.value.text

        async def cut(point: str) -> None:
            if point == "executed":
                raise Cut

        async with network(tmp_path, MysqlEngine(cut)) as net:
            with pytest.raises(MysqlError) as raised:
                await (await connect_client(net)).query("INSERT INTO sales_1.t VALUES (1)")
            assert (raised.value.code, raised.value.state) == (9500, "58000")

    run(test)


def test_the_statement_of_a_client_that_disconnects_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        engine = MysqlEngine()
        engine.hold = asyncio.Event()
        async with network(tmp_path, engine) as net:
            client = await connect_client(net)
            client.command(0x03, b"SELECT 1")
            await until(lambda: bool(engine.running))
            client.writer.transport.abort()
            await until(lambda: bool(engine.killed))
            await until(lambda: not net.router.dispatcher.requests)
            assert not engine.running

    run(test)


@pytest.mark.parametrize("seed", range(4))
def test_no_load_runs_twice_and_no_query_runs_twice_concurrently(tmp_path: Path, seed: int) -> None:
    """Engines cut connections at random points of a command's execution, also in the middle of an answer."""

    async def test() -> None:
        random_source = random.Random(seed)

        async def fault(point: str) -> None:
            if random_source.random() < 0.12:
                raise Cut
            active = [command for engine in engines for command in engine.running.values()]
            assert len(active) == len(set(active))  # one attempt of a request at a time

        engines = [MysqlEngine(fault, 1 + 1000 * n) for n in range(3)]
        served: list[str] = []
        failed: list[str] = []

        async def run_client(net: Loopback, name: int) -> None:
            client = await connect_client(net)
            for verb in ("INSERT INTO sales_{}.t VALUES (?)", "SELECT a FROM sales_{}.t WHERE b = ?"):
                try:
                    statement = await client.prepare(verb.format(name))
                except MysqlError:
                    continue
                for number in range(5):
                    value = f"{verb[:6]}-{name}-{number}"
                    try:
                        assert await client.execute(statement, value) == [ROW]
                        served.append(value)
                    except MysqlError as problem:
                        assert problem.code in (9500, 9503, 3024)  # 3024: unknown outcome at the deadline
                        failed.append(value)

        async with network(tmp_path, *engines, deadlines="lookup = 400\nticket-load = 400") as net:
            await asyncio.gather(*(run_client(net, name) for name in range(8)))
        counts = {
            value: sum(
                count
                for engine in engines
                for command, count in engine.executed.items()
                if command.endswith(value.encode())
            )
            for value in served + failed
        }
        assert served
        assert failed
        for value, count in counts.items():
            assert count <= 1 or value.startswith("SELECT")
            assert count >= 1 or value not in served

    run(test)
