"""Crossings on clients' connections, forced on real sockets: what comes in the instant of a close, requests
in pieces on the way out, clients that read nothing and cancel or leave."""

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

BIG_PAGE = b"1\t2\t3\n" * 990  # of 5,940 bytes; a page holds 6,000


def line(id: int, method: str = "lookup", **params: object) -> bytes:
    """A message as a client writes it."""
    statement = base64.b64encode(b"SELECT 1").decode()
    if method in ("lookup", "ticket-load"):
        params = {"txn": f"{id:016x}", "limit": 2000, "cpu": 80.0, "data": statement, **params}
    return json.dumps({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).encode() + b"\n"


async def connect(net: Loopback) -> socket.socket:
    """A client's bare socket, and the router's connection for it is up."""
    loop = asyncio.get_running_loop()
    before = set(net.router.server.connections)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # so that one who reads nothing is noticed
    client.setblocking(False)
    await loop.sock_connect(client, (HOST, net.port()))
    await until(lambda: any(c.transport for c in net.router.server.connections - before))
    return client


async def read_to_end(client: socket.socket) -> bytes:
    """All that comes until the router ends its side; a reset raises."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(client, 65536):
        received += data
    return received


def at_the_close(monkeypatch: pytest.MonkeyPatch, action: Callable[[], None]) -> None:
    """Call ``action`` once, when the router has looked for unread bytes and is about to close."""
    original = Stream.half_close

    def half_close(self: Stream) -> None:
        monkeypatch.setattr(Stream, "half_close", original)
        action()
        original(self)

    monkeypatch.setattr(Stream, "half_close", half_close)


def test_a_request_in_the_instant_of_the_last_close_does_not_reset_the_answer_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a close over unread bytes: it resets the connection, and what the system has not sent
    yet is lost with it. The request that crossed is not sent on, as its client sends it once more."""

    answer = asyncio.Event()

    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        await answer.wait()
        return await big_then_hanging(call, writer)

    async def test() -> None:
        engine = StandInEngine(script)
        async with Loopback(engine) as net:
            client = await connect(net)
            at_the_close(monkeypatch, lambda: client.sendall(line(2)))
            client.sendall(line(1))
            await until(lambda: bool(engine.calls))
            net.router.server.drain(20_000_000)
            (connection,) = net.router.server.connections
            answer.set()
            await until(lambda: connection.half_closed and not connection.unsent)
            await asyncio.sleep(0)  # the turn in which a transport that is to close does so
            result = json.loads(await read_to_end(client))["result"]
            assert base64.b64decode(result["data"]) == BIG_PAGE * 8
            assert len(engine.named("POST")) == 1
            client.close()
            await until(lambda: not net.router.server.connections)

    run(test)


def test_a_request_in_the_instant_in_which_an_idle_connection_is_closed_gets_an_end_and_no_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine) as net:
            client = await connect(net)
            client.sendall(line(1, "alive"))
            await until(lambda: all(c.has_sent_message for c in net.router.server.connections))
            at_the_close(monkeypatch, lambda: client.sendall(line(2)))
            net.router.server.evict_idle()
            assert json.loads(await read_to_end(client))["result"] == {"well": True}
            client.close()
            await until(lambda: not net.router.server.connections)
            assert not engine.calls

    run(test)


def test_a_client_that_never_ends_its_side_holds_up_neither_the_end_nor_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(front_server, "LINGER_US", 1000)

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            stubborn = await connect(net)
            net.router.shutdown.begin()
            await net.router.shutdown.done.wait()
            assert await read_to_end(stubborn) == b""
            stubborn.close()

    run(test)


def test_connections_that_linger_take_up_no_room_for_clients() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            stubborn = await connect(net)
            (connection,) = net.router.server.connections
            connection.close_gracefully()
            assert net.router.server.connections
            assert net.router.server.lingering
            most = net.router.config.limits.client_sockets
            others: list[Any] = [object() for _ in range(most - 1)]
            net.router.server.connections.update(others)
            assert net.router.server.has_room
            net.router.server.connections.difference_update(others)
            stubborn.close()
            await until(lambda: not net.router.server.lingering)

    run(test)


def test_a_request_in_pieces_is_answered_though_the_router_ends_between_them() -> None:
    """Guards against a close in the middle of a slow writer's request: it has been sent to a connection that
    the router took, so an answer is owed."""

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


def test_a_connection_that_comes_up_after_the_router_began_to_leave_is_ended_too() -> None:
    """It was taken from the system in the listener's last turn, and its transport is made a turn later."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            client = socket.create_connection((HOST, net.port()))  # it waits with the system
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
    """Have a client that reads nothing be owed more than the system and the transport's usual bound take."""
    (connection,) = net.router.server.connections
    assert connection.sock is not None
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    dispatcher = net.router.dispatcher
    for id in range(1, 16):
        client.sendall(line(id))
        await until(lambda sent=id: dispatcher._next_id == sent and not dispatcher.requests)  # type: ignore[misc]
    assert connection.unsent > 2 * 65536


async def big_then_hanging(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers with pages of 48,000 bytes, but for a query that runs on."""
    if call.method == "DELETE":
        return http_answer(204)
    if call.path.endswith(f"/{TXN}/0") or call.headers.get("x-hop-id") == TXN:
        return http_answer(202)
    number = int(call.path.rpartition("/")[2]) if call.method == "GET" else 0
    return http_answer(200, BIG_PAGE, **({"X_Sheet": str(number)} if number else {"X_Sheets": "8"}))


@pytest.mark.parametrize("leaves", [False, True])
def test_a_client_that_reads_nothing_may_still_cancel_or_leave(leaves: bool) -> None:
    """Guards against a request that is sent on, or runs on, for a client that has gone: its connection was
    not read while it owed the client more than the system takes, nor ended before all of that was sent."""

    async def test() -> None:
        engine = StandInEngine(big_then_hanging)
        async with Loopback(engine) as net:
            client = await connect(net)
            await fill(net, client)
            client.sendall(line(17, "ticket-load", txn=TXN, limit=20_000))
            await until(lambda: any(call.headers.get("x-hop-id") == TXN for call in engine.calls))
            if leaves:
                client.shutdown(socket.SHUT_WR)
            else:
                client.sendall(line(18, "cancelRequest", txn=TXN))
            await until(lambda: any(call.path == f"/obj/{TXN}" for call in engine.named("DELETE")))
            await until(lambda: not net.router.dispatcher.requests)
            client.close()
            await until(lambda: not net.router.server.connections)

    run(test)


def test_small_writes_are_not_held_back() -> None:
    """The system must not keep a short answer until the one before it is acknowledged."""

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


class Busy:
    """Stands in for a connection with an open request."""

    busy = True
    closes_next_turn = False


def test_a_client_that_lingers_does_not_keep_others_from_being_evicted() -> None:
    """Guards against a crowd of idle clients that gives way slowly, as each takes time to end its side."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            stubborn = await connect(net)
            (first,) = net.router.server.connections
            first.close_gracefully()
            idle = await connect(net)
            most = net.router.config.limits.client_sockets
            others: list[Any] = [Busy() for _ in range(most)]
            net.router.server.connections.update(others)
            net.router.server._check_room()
            net.router.server.connections.difference_update(others)
            assert len(net.router.server.lingering) == 2
            stubborn.close()
            idle.close()
            await until(lambda: not net.router.server.connections)

    run(test)
