"""A router with few descriptors or little processor time answers all requests that clients have sent."""

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

SOCKETS = 128  # of which 51 are for clients; a third, 42, is guaranteed


def request_line(number: int) -> bytes:
    """Returns a complete request, whose deadline is longer than any wait of these tests."""
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


def test_a_router_that_was_stopped_answers_all_clients_that_still_wait(tmp_path: Path) -> None:
    """Guards against closing a connection with an unread request when the connection limit is reached.

    While the router is stopped, 10 clients send a request and wait; 32 others send one, disconnect, connect
    again and so on.
    """
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
        clients[-1].sendall(request_line(number))
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
    _, log = process.communicate(timeout=60)
    assert answers == len(clients) and process.returncode == 0, log


def test_idle_clients_are_evicted_when_no_descriptor_is_left(tmp_path: Path) -> None:
    """Guards against waiting for descriptors that are never freed: 32 clients send a request one after
    another and stay connected."""
    process = start(tmp_path, limits={"sockets": SOCKETS})
    assert process.stderr is not None
    port = int(next(line for line in process.stderr if "listens at" in line).rpartition(":")[2])
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (24, 24))
    clients = []
    for _ in range(32):
        clients.append(socket.create_connection((HOST, port), 5))  # time-out shorter than the idle timeout
        clients[-1].sendall(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
        assert b"well" in clients[-1].recv(100)
    for client in clients:
        client.close()
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=60)
    assert "no connection can be accepted reason=Too many open files" in log
    assert process.returncode == 0


@pytest.mark.parametrize(
    "close",
    [
        lambda server: server.evict_idle(),
        lambda server: server._sweep(),
        lambda server: server.drain(10_000_000),
    ],
)
def test_an_unread_request_is_answered_on_a_connection_that_is_about_to_be_closed(
    close: Callable[[Server], None],
) -> None:
    """Guards against closing a connection as idle although a request has arrived while the loop was busy.

    One connection is established, the other waits in the listener's backlog.
    """

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            established = await net.client()
            established.send("alive")
            await established.answer()
            with socket.create_connection((HOST, net.port())) as new:
                for connection in net.router.server.connections:
                    connection.last_active_us = 0
                assert (raw := established.writer.get_extra_info("socket")) is not None
                for number, fileno in enumerate((raw.fileno(), new.fileno())):
                    with socket.socket(fileno=os.dup(fileno)) as client:
                        client.sendall(request_line(number))
                close(net.router.server)
                assert (await established.answer())["id"] == 9
                new.setblocking(False)
                assert b'"id":9' in await asyncio.get_running_loop().sock_recv(new, 1000)

    run(test)


def test_an_evicted_client_receives_the_end_of_the_connection_at_once() -> None:
    """Guards against a request that arrives between the check for unread data and a close one turn later."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            established = await net.client()
            established.send("alive")
            await established.answer()
            assert (raw := established.writer.get_extra_info("socket")) is not None
            net.router.server.evict_idle()
            with socket.socket(fileno=os.dup(raw.fileno())) as client:
                client.setblocking(False)
                assert client.recv(1) == b""

    run(test)


def test_connections_that_are_established_together_can_be_used_together() -> None:
    """Guards against making transports one after another, which takes some turns of the loop for each.

    In a process with little processor time, a connection that was established at once was counted as one
    that was not established within 250 ms.
    """
    turns = 0

    class RecordingStream(Stream):
        opened_in_turn = 0

        def opened(self) -> None:
            self.opened_in_turn = turns

    async def test() -> None:
        nonlocal turns
        loop = asyncio.get_running_loop()
        connector = Connector(loop, Timers(loop, Clock(loop)))
        streams = [RecordingStream() for _ in range(40)]
        with socket.create_server((HOST, 0), backlog=64) as server:
            for stream in streams:
                connector.connect(server.getsockname(), stream, 10_000_000, lambda error: None)
            aborted = streams.pop()
            aborted.abort()  # before it is established
            while not (all(stream.opened_in_turn for stream in streams) and aborted.lost):
                turns += 1
                await asyncio.sleep(0)
            assert max(s.opened_in_turn for s in streams) - min(s.opened_in_turn for s in streams) < 10
            assert not aborted.opened_in_turn
            assert aborted.sock is not None
            assert aborted.sock.fileno() == -1
            for stream in streams:
                stream.abort()

    run(test)
