"""Races on connections to engines, forced on real sockets: duplicate answers, half lines, clients that
disconnect while a connection is opened, repeats whose deadline passes meanwhile."""

from __future__ import annotations

import asyncio
import base64
import copy
import socket
from collections.abc import Callable
from typing import Any

import pytest
from exchange_models import ENGINE, Attempt, HttpModel
from fakes import FakeConnector, FakeLoop
from loopback import HOST, SETTINGS, HttpCall, JsonClient, Loopback, StandInEngine, http_answer, run, until

from slipbay.backends import answer_guard
from slipbay.backends.http_connection import HttpConnection
from slipbay.backends.http_exchange import HttpExchange
from slipbay.backends.pool import MAX_EVICTED_PER_TURN, ConnectFailure, Pool, SocketBudget
from slipbay.policy.events import Outcome
from slipbay.stream import Connector, Stream

FIRST = b"first\tx\ty\n"
SECOND = b"second\tx\ty\n"


async def served(client: JsonClient, sql: str) -> bytes:
    client.query(sql=sql)
    return base64.b64decode((await client.answer())["result"]["data"])


def when_a_connection_opens(monkeypatch: pytest.MonkeyPatch, action: Callable[[], None]) -> None:
    """Call ``action`` once, after a connection is established and before it is used."""
    original = HttpConnection.opened

    def opened(self: HttpConnection) -> None:
        monkeypatch.setattr(HttpConnection, "opened", original)
        action()
        original(self)

    monkeypatch.setattr(HttpConnection, "opened", opened)


@pytest.mark.parametrize(
    "late",
    [
        http_answer(200, FIRST, X_Sheets="1"),
        http_answer(500),
        http_answer(503, X_No_Effect="1"),
        http_answer(504, X_No_Effect="1"),
    ],
)
def test_a_late_duplicate_answer_is_not_taken_for_the_answer_to_the_next_query(
    late: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a query served with the rows of another one, and against a false proof that a query did
    not run: a duplicate arrives before the answer to the next call on its connection."""
    # Long enough for any delay of the machine between the two queries
    monkeypatch.setattr(answer_guard, "DUPLICATE_WINDOW_US", 60_000_000)

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method == "GET" or call.body != b"SELECT 2":
            return http_answer(200, SECOND if call.method == "GET" else FIRST, X_Sheets="1")
        writer.write(late)
        return http_answer(200, SECOND, X_Sheets="1")

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            assert await served(client, "SELECT 1") == FIRST
            assert await served(client, "SELECT 2") == SECOND
            assert len(engine.named("POST")) == 2

    run(test)


def test_a_rejection_soon_after_another_answer_is_still_a_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a load that fails instead of being retried, as the rejection arrived quickly."""
    monkeypatch.setattr(answer_guard, "DUPLICATE_WINDOW_US", 300_000)
    turned_away: list[str] = []

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method == "POST" and call.body.startswith(b"INSERT") and not turned_away:
            turned_away.append(call.headers["x-hop-id"])
            return http_answer(503, X_No_Effect="1")
        if call.method == "GET" and turned_away:
            return http_answer(500)
        page = SECOND if call.body.startswith(b"INSERT") else FIRST
        return http_answer(200, page, X_Sheets="1")

    async def test() -> None:
        engines = [StandInEngine(script), StandInEngine(script)]
        async with Loopback(*engines) as net:
            client = await net.client()
            group = 0
            while not all(engine.calls for engine in engines):  # then each has a connection with an answer
                group += 1
                assert await served(client, f"SELECT 1 FROM sales_{group}.orders") == FIRST
            client.query("ticket-load", "INSERT INTO sales_1.tickets VALUES (1)", limit=20_000)
            assert "result" in await client.answer()
            posts = [call for engine in engines for call in engine.named("POST")]
            assert sum(call.headers["x-hop-id"] == turned_away[0] for call in posts) == 2

    run(test)


def test_a_late_duplicate_of_a_first_page_is_not_served_to_the_next_query(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rows of another query: between the page and its duplicate came the second page."""
    monkeypatch.setattr(answer_guard, "DUPLICATE_WINDOW_US", 60_000_000)
    first_page = http_answer(200, FIRST, X_Sheets="2")

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.body == b"SELECT 1":
            return first_page
        if call.path.endswith("/1"):
            return http_answer(200, SECOND, X_Sheet="1")
        if call.method == "POST":
            writer.write(first_page)
            await asyncio.sleep(0.02)
        return http_answer(200, SECOND, X_Sheets="1")

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            assert await served(client, "SELECT 1") == FIRST + SECOND
            assert await served(client, "SELECT 2") == SECOND

    run(test)


def test_a_load_that_failed_after_a_late_duplicate_of_a_rejection_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a load that runs twice: its own error was taken for a proof of the rejection."""
    monkeypatch.setattr(answer_guard, "DUPLICATE_WINDOW_US", 60_000_000)

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.body.startswith(b"INSERT"):
            writer.write(http_answer(503, X_No_Effect="1"))
            await asyncio.sleep(0.02)
            return http_answer(500)
        return http_answer(500) if call.method == "GET" else http_answer(200, FIRST, X_Sheets="1")

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            assert await served(client, "SELECT 1") == FIRST
            client.query("ticket-load", "INSERT INTO sales_1.tickets VALUES (1)", limit=20_000)
            assert "error" in await client.answer()
            assert len([call for call in engine.named("POST") if call.body.startswith(b"INSERT")]) == 1

    run(test)


def test_a_duplicate_answer_is_not_taken_for_the_answer_to_a_delete() -> None:
    """Guards against an attempt that is taken for ended while it runs, so that another overlaps with it."""
    writers: list[asyncio.StreamWriter] = []

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method != "DELETE":
            return http_answer(202)
        writer.write(http_answer(202))
        writers.append(writer)
        await asyncio.Event().wait()  # the test sends the answer to the DELETE
        return None

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            client.query("report", limit=20_000)
            await until(lambda: bool(engine.named("GET")))
            client.cancel(1)
            await until(lambda: bool(writers))
            client.send("alive")
            await client.answer()  # the duplicate has been read, as it was written before
            assert net.router.dispatcher.requests
            writers[0].write(http_answer(204))
            await until(lambda: not net.router.dispatcher.requests)

    run(test)


def test_half_a_line_from_an_engine_closes_an_idle_connection() -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client = await net.client()
            await served(client, "SELECT 1")
            (pool,) = net.router.http_backend._pools.values()
            await until(lambda: bool(pool.idle))
            engine.writers[0].write(b"HTTP/1.1 2")
            await until(lambda: not pool.idle)
            await served(client, "SELECT 2")
            assert len(engine.writers) == 2
            assert len(engine.named("POST")) == 2

    run(test)


def test_a_query_is_not_sent_if_its_client_disconnects_while_a_connection_opens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the client is read after the connect has started and before the policy receives it."""

    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client = await net.client()

            def disconnect() -> None:
                (connection,) = net.router.server.connections
                connection.eof_received()

            when_a_connection_opens(monkeypatch, disconnect)
            client.query()
            await until(lambda: bool(engine.writers))
            await until(lambda: not net.router.dispatcher.requests)
            other = await net.client()
            other.send("alive")
            await other.answer()
            assert not engine.calls

    run(test)


def test_a_repeat_is_not_sent_after_the_window_in_which_engines_drop_repeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second run: the window counts from the first byte of the first attempt to the first of
    the repeat, and the connection for the repeat opened late."""
    settings = copy.deepcopy(SETTINGS)
    settings["profiles"][2] |= {"effect": "dedup", "windowUs": 2_000_000, "keyScope": "all"}

    async def fail(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        return http_answer(500)

    async def test() -> None:
        engines = [StandInEngine(fail), StandInEngine(fail)]
        net = Loopback(*engines)
        net.settings = settings
        async with net:
            client = await net.client()

            def stop_clock() -> None:
                net.router.clock._offset += 2_000_000
                net.router.clock._now = None

            def before_the_repeat() -> None:
                when_a_connection_opens(monkeypatch, stop_clock)

            when_a_connection_opens(monkeypatch, before_the_repeat)
            client.query("ticket-load", limit=20_000)
            answer = await client.answer()
            assert answer["error"]["code"] in (-32000, -32002)
            assert sum(len(engine.named("POST")) for engine in engines) == 1

    run(test)


def test_a_connection_that_opens_in_the_turn_of_its_timeout_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a timeout reported for an engine by a process that got no CPU time to see it."""
    original = Connector.hand_over

    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:

            def hand_over(self: Connector, stream: Stream, sock: socket.socket) -> None:
                original(self, stream, sock)
                if isinstance(stream, HttpConnection):
                    monkeypatch.setattr(Connector, "hand_over", original)
                    net.router.clock._offset += net.router.config.connect_timeout_us
                    net.router.clock._now = None
                    net.router.timers._run_due()

            await until(lambda: bool(net.journal.writers))
            monkeypatch.setattr(Connector, "hand_over", hand_over)
            assert await served(await net.client(), "SELECT 1") == b"a\tb\tc\n"
            assert len(engine.writers) == 1

    run(test)


def test_idle_connections_are_evicted_a_few_at_a_time() -> None:
    """Guards against a burst that runs out of descriptors: an evicted connection is closed a turn later."""
    loop = FakeLoop()
    connector: Any = FakeConnector(loop, lambda transport, data: None)
    sockets = SocketBudget(20)
    full, wanted = (
        Pool(name, (HOST, 1), HttpConnection, connector, loop.timers, sockets, loop.now, 250_000, 30_000_000)
        for name in (b"s-0", b"s-1")
    )
    failures: list[ConnectFailure] = []
    for _ in range(20):
        full.acquire(lambda stream: None, failures.append)
    while connector.waiting:
        connector.accept(0)
    for stream in list(full._streams):
        stream.release()
    for _ in range(20):
        wanted.acquire(lambda stream: None, failures.append)
    assert sockets.used == 20 + MAX_EVICTED_PER_TURN
    loop.advance(0)
    assert failures == [ConnectFailure.NO_SOCKETS] * (20 - MAX_EVICTED_PER_TURN)
    assert sockets.used == 20


@pytest.mark.parametrize("answers", [False, True])
def test_a_slow_connect_proves_nothing_about_an_engine_that_answers_on_other_connections(
    answers: bool,
) -> None:
    """Guards against an engine that is taken for restarted and cold, as one connection opens slowly."""
    model = HttpModel()
    model.connect()
    model.arrive(0)
    second = Attempt(model.loop.us, b"SELECT 2")
    pool = model.backend._pools[ENGINE]
    HttpExchange(model.backend, second, pool)  # type: ignore[arg-type]
    model.loop.advance(100_000)
    if answers:
        model.answer(0, "nothing")
    model.loop.advance(model.backend._config.connect_timeout_us)
    assert second.ends == [(Outcome.MOOT if answers else Outcome.CONNECT_FAILED, None)]
