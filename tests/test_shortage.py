"""Clients of a router that is short of descriptors, or of processor time: what they sent is answered."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import resource
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from loopback import HOST, Loopback, StandInEngine, run
from test_process import start

from slipbay.clock import Clock
from slipbay.core.timers import Timers
from slipbay.frontends.server import Server
from slipbay.stream import Connector, Stream

SOCKETS = 128  # 51 for clients; they are promised a third, which is 42


def ask(number: int) -> bytes:
    """A whole request; it lasts longer than any wait of these tests."""
    return (
        json.dumps(
            {
                "jsonrpc": "2.0",
                "id": 9,
                "method": "lookup",
                "params": {
                    "txn": f"{number:016x}",
                    "limit": 2000,
                    "cpu": 80.0,
                    "data": base64.b64encode(b"SELECT 1").decode(),
                },
            }
        ).encode()
        + b"\n"
    )


def test_a_router_that_stood_still_answers_all_who_still_wait(tmp_path: Path) -> None:
    """Guards against letting go a client whose request has come and was not read yet: while the router got no
    time, ten asked and wait, and 32 others gave up, came back, and gave up again."""
    process = start(tmp_path, limits={"sockets": SOCKETS})
    assert process.stderr is not None
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    port = int(next(line for line in process.stderr if "listens at" in line).rpartition(":")[2])
    process.send_signal(signal.SIGSTOP)
    clients: list[socket.socket] = []
    for number in range(10 + 3 * 32):
        if len(clients) == 42:
            clients.pop(10).close()
        clients.append(socket.create_connection((HOST, port)))
        clients[-1].sendall(ask(number))
    process.send_signal(signal.SIGCONT)
    answers = 0
    for client in clients:
        client.settimeout(10)
        with client, client.makefile("rb") as lines:
            try:
                answers += json.loads(lines.readline() or b"{}").get("id") == 9
            except ConnectionResetError:
                pass
    process.send_signal(signal.SIGTERM)
    _, told = process.communicate(timeout=60)
    assert answers == len(clients) and process.returncode == 0, told


def test_without_a_descriptor_left_idle_clients_make_room(tmp_path: Path) -> None:
    """Guards against a wait for descriptors that nobody frees: 32 ask, one after another, and stay."""
    process = start(tmp_path, limits={"sockets": SOCKETS})
    assert process.stderr is not None
    port = int(next(line for line in process.stderr if "listens at" in line).rpartition(":")[2])
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (24, 24))
    clients = []
    for _ in range(32):
        clients.append(socket.create_connection((HOST, port), 5))  # less than idle clients may stay
        clients[-1].sendall(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
        assert b"well" in clients[-1].recv(100)
    for client in clients:
        client.close()
    process.send_signal(signal.SIGTERM)
    _, told = process.communicate(timeout=60)
    assert "no connection can be accepted reason=Too many open files" in told
    assert process.returncode == 0


@pytest.mark.parametrize(
    "close",
    [
        lambda server: server.evict_idle(),
        lambda server: server._sweep(),
        lambda server: server.drain(10_000_000),
    ],
)
def test_a_request_that_has_come_is_answered_on_a_connection_about_to_be_closed(
    close: Callable[[Server], None],
) -> None:
    """Guards against requests that come while the loop is busy, and are not read before their connection is
    thought idle: on one that is known, and on one that waits to be taken."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            known = await net.client()
            known.send("alive")
            await known.answer()
            with socket.create_connection((HOST, net.port())) as new:
                for connection in net.router.server.connections:
                    connection.touched = 0
                assert (raw := known.writer.get_extra_info("socket")) is not None
                for number, fileno in enumerate((raw.fileno(), new.fileno())):
                    with socket.socket(fileno=os.dup(fileno)) as client:
                        client.sendall(ask(number))
                close(net.router.server)
                assert (await known.answer())["id"] == 9
                new.setblocking(False)
                assert b'"id":9' in await asyncio.get_running_loop().sock_recv(new, 1000)

    run(test)


def test_a_client_that_is_let_go_sees_it_at_once() -> None:
    """Guards against a request that comes between the look for what is unread and the close a turn later."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            known = await net.client()
            known.send("alive")
            await known.answer()
            assert (raw := known.writer.get_extra_info("socket")) is not None
            net.router.server.evict_idle()
            with socket.socket(fileno=os.dup(raw.fileno())) as client:
                client.setblocking(False)
                assert client.recv(1) == b""

    run(test)


def test_connections_that_come_up_together_can_be_used_together() -> None:
    """Guards against one that waits for all before it, some turns each: in a process that gets little time, a
    connection that came up at once was taken for one that did not in 250 ms."""
    turns = 0

    class Counted(Stream):
        opened_in = 0

        def opened(self) -> None:
            self.opened_in = turns

    async def test() -> None:
        nonlocal turns
        loop = asyncio.get_running_loop()
        connector = Connector(loop, Timers(loop, Clock(loop)))
        streams = [Counted() for _ in range(40)]
        with socket.create_server((HOST, 0), backlog=64) as server:
            for stream in streams:
                connector.connect(server.getsockname(), stream, 10_000_000, lambda error: None)
            given_up = streams.pop()
            given_up.abort()  # before it came up
            while not (all(stream.opened_in for stream in streams) and given_up.lost):
                turns += 1
                await asyncio.sleep(0)
            assert max(s.opened_in for s in streams) - min(s.opened_in for s in streams) < 10
            assert not given_up.opened_in
            assert given_up.sock is not None
            assert given_up.sock.fileno() == -1
            for stream in streams:
                stream.abort()

    run(test)
