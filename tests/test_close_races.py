"""Races on client connections, forced on real sockets.

Data arrives while the router closes a connection, requests arrive in pieces during a drain, and clients that
read no answers cancel or disconnect.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
from collections.abc import Callable
from typing import Any

import pytest
from loopback import HOST, TXN, HttpCall, Loopback, StandInEngine, http_answer, one_page, run, until

from slipbay.frontends import server as front_server
from slipbay.stream import Stream

BIG_PAGE = b"1\t2\t3\n" * 990  # 5,940 bytes; a page has at most 6,000


def line(id: int, method: str = "lookup", **params: object) -> bytes:
    """Returns an encoded JSON-RPC message."""
    statement = base64.b64encode(b"SELECT 1").decode()
    if method in ("lookup", "ticket-load"):
        params = {"txn": f"{id:016x}", "limit": 2000, "cpu": 80.0, "data": statement, **params}
    return json.dumps({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).encode() + b"\n"


async def connect(net: Loopback, segment_bytes: int | None = None) -> socket.socket:
    """Connects a client socket and waits until the router has accepted it."""
    loop = asyncio.get_running_loop()
    before = set(net.router.server.connections)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # so that unread answers stay in the router
    if segment_bytes is not None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    client.setblocking(False)
    await loop.sock_connect(client, (HOST, net.port()))
    await until(lambda: any(c.transport for c in net.router.server.connections - before))
    return client


async def read_to_end(client: socket.socket) -> bytes:
    """Returns all bytes until the router closes its side; raises if the connection is reset."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(client, 65536):
        received += data
    return received


def before_the_close(monkeypatch: pytest.MonkeyPatch, action: Callable[[], None]) -> None:
    """Calls ``action`` once, after the router has checked for unread bytes and before it closes."""
    original = Stream.half_close

    def half_close(self: Stream) -> None:
        monkeypatch.setattr(Stream, "half_close", original)
        action()
        original(self)

    monkeypatch.setattr(Stream, "half_close", half_close)


def test_a_request_that_arrives_during_the_close_does_not_reset_the_answer_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a socket with unread bytes, which resets the connection and drops unsent data.

    The request that arrives during the close is not forwarded; its client sends it again.
    """

    answer = asyncio.Event()

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        await answer.wait()
        return await answer_big_pages(call, writer)

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await connect(net)
            before_the_close(monkeypatch, lambda: client.sendall(line(2)))
            client.sendall(line(1))
            await until(lambda: bool(engine.calls))
            net.router.server.drain(20_000_000)
            (connection,) = net.router.server.connections
            answer.set()
            await until(lambda: connection.half_closed and not connection.unsent)
            await asyncio.sleep(0)  # a closing transport closes in this turn of the event loop
            result = json.loads(await read_to_end(client))["result"]
            assert base64.b64decode(result["data"]) == BIG_PAGE * 8
            assert len(engine.named("POST")) == 1
            client.close()
            await until(lambda: not net.router.server.connections)

    run(test)


def test_a_request_that_arrives_while_an_idle_connection_is_closed_causes_no_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client = await connect(net)
            client.sendall(line(1, "alive"))
            await until(lambda: all(c.has_sent_message for c in net.router.server.connections))
            before_the_close(monkeypatch, lambda: client.sendall(line(2)))
            net.router.server.evict_idle()
            assert json.loads(await read_to_end(client))["result"] == {"well": True}
            client.close()
            await until(lambda: not net.router.server.connections)
            assert not engine.calls

    run(test)


def test_a_client_that_never_closes_its_side_does_not_delay_the_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(front_server, "LINGER_US", 1000)

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            lingering = await connect(net)
            net.router.shutdown.begin()
            await net.router.shutdown.done.wait()
            assert await read_to_end(lingering) == b""
            lingering.close()

    run(test)


def test_lingering_connections_do_not_count_towards_the_limit_of_clients() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            lingering_client = await connect(net)
            (connection,) = net.router.server.connections
            connection.close_gracefully()
            assert net.router.server.connections
            assert net.router.server.lingering
            max_clients = net.router.config.limits.client_sockets
            others: list[Any] = [object() for _ in range(max_clients - 1)]
            net.router.server.connections.update(others)
            assert net.router.server.has_room
            net.router.server.connections.difference_update(others)
            lingering_client.close()
            await until(lambda: not net.router.server.lingering)

    run(test)


def test_a_request_in_pieces_is_answered_although_the_router_starts_to_drain_between_them() -> None:
    """Guards against closing a connection in the middle of a request that a client sends slowly.

    The router has accepted the connection, so it must answer the request.
    """

    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client = await connect(net)
            request = line(1)
            client.sendall(request[:50])
            await until(lambda: all(c.mid_message for c in net.router.server.connections))
            net.router.server.drain(20_000_000)
            client.sendall(request[50:])
            error = json.loads(await read_to_end(client))["error"]
            assert error["code"] == -32002
            assert not engine.calls
            client.close()
            await until(lambda: not net.router.server.connections)

    run(test)


def test_a_connection_whose_transport_is_made_after_the_start_of_a_drain_is_closed_too() -> None:
    """Such a connection is accepted in the listener's last turn, and its transport is made one turn later."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            client = socket.create_connection((HOST, net.port()))  # waits in the listener's backlog
            client.setblocking(False)
            net.router.server.drain(20_000_000)
            (connection,) = net.router.server.connections
            assert connection.transport is None
            await until(lambda: connection.transport is not None)
            assert connection.half_closed  # at once, not by the sweep
            assert await read_to_end(client) == b""
            client.close()
            await until(lambda: not net.router.server.connections)

    run(test)


async def fill(net: Loopback, client: socket.socket) -> None:
    """Makes the router buffer more for a client that reads nothing than the kernel's buffers and the
    transport's default limit hold."""
    (connection,) = net.router.server.connections
    assert connection.sock is not None
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    dispatcher = net.router.dispatcher
    for id in range(1, 16):
        client.sendall(line(id))
        await until(lambda sent=id: dispatcher._next_id == sent and not dispatcher.requests)  # type: ignore[misc]
    assert connection.unsent > 2 * 65536


async def answer_big_pages(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers queries with pages of 48,000 bytes in total, except the query TXN, which continues to run."""
    if call.method == "DELETE":
        return http_answer(204)
    if call.path.endswith(f"/{TXN}/0") or call.headers.get("x-hop-id") == TXN:
        return http_answer(202)
    number = int(call.path.rpartition("/")[2]) if call.method == "GET" else 0
    return http_answer(200, BIG_PAGE, **({"X_Sheet": str(number)} if number else {"X_Sheets": "8"}))


@pytest.mark.parametrize("disconnects", [False, True])
def test_a_client_that_reads_nothing_can_cancel_or_disconnect(disconnects: bool) -> None:
    """Guards against a request that continues to run, or is retried, for a client that has disconnected.

    This happens if the router does not read a connection, and so does not detect its end, while it still
    has answers to send on it.
    """

    async def test() -> None:
        engine = StandInEngine(answer_big_pages)
        async with Loopback(engine) as net:
            client = await connect(net)
            await fill(net, client)
            client.sendall(line(17, "ticket-load", txn=TXN, limit=20_000))
            await until(lambda: any(call.headers.get("x-hop-id") == TXN for call in engine.calls))
            if disconnects:
                client.shutdown(socket.SHUT_WR)
            else:
                client.sendall(line(18, "cancelRequest", txn=TXN))
            await until(lambda: any(call.path == f"/obj/{TXN}" for call in engine.named("DELETE")))
            await until(lambda: not net.router.dispatcher.requests)
            client.close()
            await until(lambda: not net.router.server.connections)

    run(test)


def test_small_writes_are_not_delayed() -> None:
    """The kernel must not delay a short answer until the previous one is acknowledged (Nagle's algorithm)."""

    async def test() -> None:
        engine = StandInEngine(one_page)
        async with Loopback(engine) as net:
            client = await connect(net)
            client.sendall(line(1))
            await asyncio.get_running_loop().sock_recv(client, 1)
            pools = net.router.http_backend._pools.values()
            streams: list[Stream] = [
                *net.router.server.connections,
                *(s for pool in pools for s in pool.idle),
            ]
            assert len(streams) == 2
            for stream in streams:
                assert stream.sock is not None
                assert stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            client.close()

    run(test)


class BusyConnection:
    """A stand-in for a connection with an open request."""

    busy = True
    is_newcomer = False
    closes_next_turn = False


def test_a_lingering_connection_does_not_prevent_further_evictions() -> None:
    """Guards against evicting idle clients one after another, as each takes time to close its side."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            lingering_client = await connect(net)
            (first,) = net.router.server.connections
            first.close_gracefully()
            idle = await connect(net)
            max_clients = net.router.config.limits.client_sockets
            others: list[Any] = [BusyConnection() for _ in range(max_clients)]
            net.router.server.connections.update(others)
            net.router.server._check_room()
            net.router.server.connections.difference_update(others)
            assert len(net.router.server.lingering) == 2
            lingering_client.close()
            idle.close()
            await until(lambda: not net.router.server.connections)

    run(test)


async def forwarded(engine: StandInEngine, queries: int) -> None:
    """Waits until the engine has received so many queries."""
    await until(lambda: len(engine.named("POST")) == queries)


LINE_BYTES_PER_S = 100_000  # of a client on a poor line


def test_answers_that_a_client_reads_slowly_come_whole() -> None:
    """Guards against answers that are cut off: a connection whose client took bytes all the time counted as
    idle 6 s after its last answer."""
    answers = 20
    rows = b"".join(b"%d\tx\t%s\n" % (number, b"y" * 100) for number in range(400))
    page = http_answer(200, rows, X_Sheets="1")

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        return page

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await connect(net, segment_bytes=1400)  # so that the system takes little at once
            loop = asyncio.get_running_loop()
            for number in range(1, answers + 1):
                await loop.sock_sendall(client, line(number))
                await forwarded(engine, number)
            received = b""
            while received.count(b"\n") < answers:
                data = await loop.sock_recv(client, 2000)
                assert data, f"cut off after {received.count(10)} answers"
                received += data
                await asyncio.sleep(len(data) / LINE_BYTES_PER_S)
            assert all("result" in json.loads(answer) for answer in received.splitlines())
            client.close()

    run(test)


def test_a_request_that_comes_in_pieces_over_more_than_two_seconds_is_answered() -> None:
    """Guards against requests on new connections that are never answered: pieces came all the time, but no
    whole message within 2 s. Single bytes now and then do not hold a connection."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            slow, dripping = await connect(net), await connect(net)
            loop = asyncio.get_running_loop()
            request = line(1)
            pieces = [request[begin : begin + 10] for begin in range(0, len(request), 10)]
            assert len(pieces) * 0.25 > 3
            ended = loop.create_task(read_to_end(dripping))
            for piece in pieces:
                await loop.sock_sendall(slow, piece)
                if not ended.done():
                    await loop.sock_sendall(dripping, b"{")
                await asyncio.sleep(0.25)
            assert "result" in json.loads(await loop.sock_recv(slow, 65_536))
            assert ended.done()
            slow.close()
            dripping.close()

    run(test)
