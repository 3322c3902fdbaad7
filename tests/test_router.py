"""A router in this process, tested through its sockets with stand-in engines and JSON-RPC clients."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import socket
import time
from types import SimpleNamespace

import pytest
from fakes import FakeLoop, FakeTransport
from loopback import TXN, HttpCall, Loopback, StandInEngine, event, host, http_answer, one_page, run, until

from slipbay.config.model import Limits
from slipbay.frontends.jsonrpc import JsonRpcConnection, JsonRpcFrontend
from slipbay.frontends.request_ids import RequestIds
from slipbay.frontends.server import Server
from slipbay.policy.actions import Action
from slipbay.stream import Stream

SQL = "SELECT * FROM sales_17.orders"


def test_a_query_is_forwarded_unchanged_and_all_its_pages_are_returned() -> None:
    pages = [b"1\t2\t3\n" * 800, b"4\t5\t6\n" * 800, b"7\t8\t9\n"]

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes:
        number = int(call.path.rpartition("/")[2]) if call.method == "GET" else 0
        return http_answer(200, pages[number], **({"X_Sheet": str(number)} if number else {"X_Sheets": "3"}))

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            id = client.query("report", SQL, ram=96, txn=TXN)
            answer = await client.answer()
            assert answer["id"] == id
            assert base64.b64decode(answer["result"]["data"]) == b"".join(pages)
            post, *rest = engine.calls
            assert (post.headers["x-hop-id"], post.headers["x-sort"]) == (TXN, "report")
            assert post.body == SQL.encode()
            assert 1900 <= int(post.headers["x-budget"]) <= 2000
            assert post.headers["x-urgency"] in "0123"
            assert [call.path for call in rest] == [f"/obj/{TXN}/1", f"/obj/{TXN}/2"]

    run(test)


def test_the_client_key_for_deduplication_by_engines_is_forwarded_unchanged() -> None:
    """Guards against requests that reach an engine without the key by which the engine drops repeats."""

    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client = await net.client()
            client.query("lookup", unique="A/7+x=")
            assert "result" in await client.answer()
            client.query("lookup")
            assert "result" in await client.answer()
            posts = engine.named("POST")
            assert [call.headers.get("x-replay-key") for call in posts] == ["A/7+x=", None]
            client.query("lookup", unique="two\r\nX-Sort: report")
            assert (await client.answer())["error"]["code"] == -32602
            assert len(engine.named("POST")) == 2

    run(test)


def test_a_cut_connection_does_not_end_a_query() -> None:
    """Guards against treating a reset connection as the end of the query.

    The query continues to run, and the router requests its result on a new connection.
    """

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        return None if call.method == "POST" else await one_page(call, writer)

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            client.query("ticket-load", "INSERT INTO sales_1.tickets VALUES (1)")
            assert "result" in await client.answer()
            assert [call.method for call in engine.calls] == ["POST", "GET"]

    run(test)


@pytest.mark.parametrize("service_class, posts", [("lookup", 2), ("ticket-load", 1)])
def test_only_requests_that_may_run_twice_are_retried_after_an_error(service_class: str, posts: int) -> None:
    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        return http_answer(500)

    async def test() -> None:
        engines = [StandInEngine(script) for _ in range(3)]
        async with Loopback(*engines) as net:
            client = await net.client()
            client.query(service_class)
            code = (await client.answer())["error"]["code"]
            assert sum(len(engine.named("POST")) for engine in engines) == posts
            assert code == (-32002 if service_class == "lookup" else -32000)

    run(test)


def test_a_cancelled_request_is_deleted_and_gets_no_answer() -> None:
    posted = asyncio.Event()

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method == "GET":
            posted.set()
        return http_answer(204) if call.method == "DELETE" else http_answer(202)

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await net.client()
            client.cancel(client.query())  # the router may not have sent the query to the engine yet
            client.query()
            client.cancel(client.txn)
            id = client.query()
            await posted.wait()
            client.cancel(id)
            await until(lambda: bool(engine.named("DELETE")))
            await until(lambda: not net.router.dispatcher.requests)
            last = client.send("alive")
            assert (await client.answer()) == {"jsonrpc": "2.0", "id": last, "result": {"well": True}}

    run(test)


def test_a_rejection_has_a_retry_time_and_is_sent_at_once() -> None:
    async def test() -> None:
        async with Loopback() as net:  # without engines
            client = await net.client()
            client.query(limit=120)
            error = (await client.answer())["error"]
            assert error["code"] == -32002
            assert error["data"]["later"] == 250

    run(test)


@pytest.mark.parametrize(
    "line, code, id",
    [
        (b"{", -32700, None),
        (b"[1]", -32600, None),
        (b"7", -32600, None),
        (b'{"id":0}', -32600, None),
        (b'{"id":true,"jsonrpc":"2.0","method":"alive"}', -32600, None),
        (b'{"jsonrpc":"2.0","method":"lookup","params":{}}', -32600, None),
        (b'{"id":7}', -32600, 7),
        (b'{"jsonrpc":"2.0","id":7,"method":"dance"}', -32601, 7),
        (b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":[]}', -32602, 7),
        (b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":{"txn":"x","limit":9,"data":""}}', -32602, 7),
        (
            b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","data":"QQ=="}}',
            -32602,
            7,
        ),
        (
            b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","limit":9,"data":"?"}}',
            -32602,
            7,
        ),
        (
            b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","limit":NaN,"data":"QQ=="}}',
            -32602,
            7,
        ),
        (
            b'{"jsonrpc":"2.0","id":7,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","limit":9,"team":"no",'
            b'"data":"QQ=="}}',
            -32602,
            7,
        ),
        (b"[" * 100_000, -32700, None),
        (b"\xff\xfe", -32700, None),
    ],
)
def test_bad_input_gets_an_error_and_the_connection_stays_open(
    line: bytes, code: int, id: int | None
) -> None:
    async def test() -> None:
        async with Loopback() as net:
            client = await net.client()
            client.raw(line)
            answer = await client.answer()
            assert (answer["error"]["code"], answer["id"]) == (code, id)
            client.send("alive", id=9)
            assert (await client.answer())["id"] == 9

    run(test)


def test_a_reused_id_is_an_error_and_a_line_over_the_limit_closes_the_connection() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            client = await net.client()
            client.query()
            assert "result" in await client.answer()
            client.send("alive", id=1)
            assert (await client.answer())["error"]["code"] == -32600
            client.raw(b"x" * 400_000)
            with contextlib.suppress(ConnectionResetError):  # the router closes with unread data
                assert await client.reader.read() == b""

    run(test)


def test_the_txn_of_another_request_is_rejected() -> None:
    """Guards against serving the answer to another client's statement.

    If the answer to a POST is lost, the router requests the result by the txn alone.
    """

    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client, other = await net.client(), await net.client()
            client.query(txn=TXN)
            assert "result" in await client.answer()
            other.query(sql="SELECT 2", txn=TXN.upper())
            assert (await other.answer())["error"]["code"] == -32602
            assert len(engine.calls) == 1

    run(test)


def test_the_endpoint_list_is_followed_after_its_connection_is_cut() -> None:
    async def test() -> None:
        old = StandInEngine()
        new = StandInEngine()
        await new.start()
        async with Loopback(old) as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.tell(event(2, host("s-1", new.port)))
            net.journal.tell({"pos": 2})
            await until(lambda: net.router.endpoint_watch.pos == 2)
            net.journal.cut()
            await until(lambda: len(net.journal.asked) == 2)
            assert net.journal.asked == [b"tail 1\n", b"tail 2\n"]
            net.journal.tell(event(3, host("s-0", old.port, "DELETED")))
            net.journal.tell(event(2, host("s-0", old.port)))  # a repeated event, without effect
            net.journal.tell(event(4))
            await until(lambda: net.router.endpoint_watch.pos == 4)
            client = await net.client()
            for _ in range(4):
                client.query()
                assert "result" in await client.answer()
            assert not old.calls
            assert len(new.named("POST")) == 4
        new.server.close()

    run(test)


def test_requests_go_to_the_new_engine_at_an_address_that_another_engine_had() -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            await until(lambda: bool(net.journal.writers))
            client = await net.client()
            client.query()
            assert "result" in await client.answer()
            net.journal.tell(event(2, host("s-0", engine.port, "DELETED"), host("s-9", engine.port)))
            await until(lambda: net.router.endpoint_watch.pos == 2)
            client.query()
            assert "result" in await client.answer()
            assert len(engine.writers) == 2  # the old engine's connection was not used for the new one

    run(test)


def test_after_sigterm_requests_are_accepted_for_a_time_and_all_are_answered() -> None:
    may_answer = asyncio.Event()

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        await may_answer.wait()
        return await one_page(call, writer)

    async def test() -> None:
        async with Loopback(StandInEngine(script)) as net:
            client = await net.client()
            client.query()
            net.router.shutdown.begin()
            late = await net.client()
            late.send("alive")
            assert (await late.answer())["result"] == {"well": False}
            late.query()
            await until(lambda: net.router.server.draining)
            assert not net.router.shutdown.done.is_set()
            may_answer.set()
            assert "result" in await client.answer()
            assert "result" in await late.answer()
            await net.router.shutdown.done.wait()

    run(test)


class FailingPolicy:
    """A policy that never returns a decision."""

    def handle(self, now_us: int, events: object) -> list[Action]:
        raise RuntimeError("stuck")


def test_a_client_is_answered_by_the_deadline_although_the_policy_fails() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            net.router.dispatcher.policy = FailingPolicy()
            client = await net.client()
            client.query(limit=60)
            started = time.monotonic()
            assert (await client.answer())["error"]["code"] == -32000
            assert time.monotonic() - started >= 0.06
            assert not net.router.dispatcher.requests

    run(test)


def test_an_idle_connection_that_the_engine_closed_is_detected_before_it_is_used() -> None:
    """Guards against a POST on a connection whose end has been received but not read: it would be lost."""
    ours, theirs = socket.socketpair()
    stream = Stream()
    stream.sock = ours
    stream.transport = FakeTransport(FakeLoop(), stream, lambda transport, data: None)
    assert not stream.is_stale()
    theirs.close()
    assert stream.is_stale()
    ours.close()


def test_silent_clients_are_disconnected_and_do_not_displace_active_ones() -> None:
    """Guards against hundreds of silent connections that leave no descriptors for active clients."""
    loop = FakeLoop()
    server = Server(loop.timers, Limits(1.0, 192, 64), loop.now)  # 25 connections of clients
    ids = RequestIds(loop.now, 0, 100)
    frontend = JsonRpcFrontend(SimpleNamespace(classes=(), tenants=()), None, None, lambda: True, ids)  # type: ignore[arg-type]

    def connect() -> tuple[JsonRpcConnection, FakeTransport]:
        while not server.has_room:
            server.evict_idle()
            loop.advance(10_000)
        connection = JsonRpcConnection(server, frontend)
        transport = FakeTransport(loop, connection, lambda transport, data: None)
        connection.connection_made(transport)
        return connection, transport

    active_connection, active = connect()
    active_connection.received(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
    silent = []
    for _ in range(100):
        loop.advance(10_000)
        silent.append(connect()[1])
    slow_sender, transport = connect()
    assert not active.closing
    assert len(server.connections) <= 25
    assert all(one.closing for one in silent[:76])
    for _ in range(5):
        loop.advance(500_000)
        if not transport.closing:
            slow_sender.received(b"x")
    assert transport.closing
    assert all(one.closing for one in silent)
    assert not active.closing
    loop.advance(5_000_000)
    assert active.closing  # by the idle timeout, as the client does not close its connection


def test_at_the_connection_limit_connections_with_the_lowest_cost_are_closed_first() -> None:
    """Guards against closing a connection with half a request to make room for clients that send one request
    and stay connected."""
    loop = FakeLoop()
    server = Server(loop.timers, Limits(1.0, 192, 64), loop.now)
    ids = RequestIds(loop.now, 0, 100)
    frontend = JsonRpcFrontend(SimpleNamespace(classes=(), tenants=()), None, None, lambda: True, ids)  # type: ignore[arg-type]
    alive = b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n'

    def connect(sent: bytes) -> FakeTransport:
        loop.advance(1)
        connection = JsonRpcConnection(server, frontend)
        transport = FakeTransport(loop, connection, lambda transport, data: None)
        connection.connection_made(transport)
        connection.received(sent)
        return transport

    overdue = connect(alive)
    loop.advance(4_000_000)
    partial = connect(alive[:20])
    idle = connect(alive)
    silent = connect(b"")
    second = connect(alive + alive[:20])
    for evictions in range(1, 6):
        server.evict_idle()
        loop.settle()
        are_closed = [one.closing for one in (overdue, silent, idle, partial, second)]
        assert are_closed == [evictions > 0, evictions > 0, evictions > 1, evictions > 2, evictions > 3]


def test_memory_buffered_for_clients_is_limited() -> None:
    """The connection with the largest buffers is closed first: unsent answers or a partial line."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            net.router.server._limits = Limits(1.0, 1, 1024)  # a quarter of 1 MB for connections
            small, *large = [await net.client() for _ in range(4)]
            small.writer.write(b"x" * 1000)
            for client in large:
                client.writer.write(b"x" * 100_000)
            await until(lambda: sum(c.unparsed for c in net.router.server.connections) == 301_000)
            net.router.server.bound_memory()
            await until(lambda: len(net.router.server.connections) == 3)
            small.raw(b"")
            small.send("alive")
            assert (await small.answer())["error"]["code"] == -32700
            assert (await small.answer())["result"] == {"well": True}

    run(test)


def test_requests_over_the_limit_are_rejected() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            net.router.dispatcher.max_bytes = 10
            client = await net.client()
            client.query(sql="SELECT 1234567890")
            assert (await client.answer())["error"] == {
                "code": -32002,
                "message": "refused for now",
                "data": {"later": 250},
            }
            client.query(sql="SELECT 1")
            assert "result" in await client.answer()

    run(test)
