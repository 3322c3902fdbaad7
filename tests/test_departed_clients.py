"""Requests of a client that has closed its connection are not sent to an engine."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import struct
from pathlib import Path

import pytest
from crowds import QUERY_FORM, behave_well
from limited_router import router_process
from loopback import HOST, run, until

FIRST_TXN = 1 << 60
REQUESTS = 4_000
STOPPED_S = 0.3  # longer than an attempt may begin after its client has closed


@pytest.mark.parametrize("is_connected_before", [True, False])
@pytest.mark.parametrize("resets", [True, False])
def test_unread_requests_of_a_client_that_has_closed_are_not_sent(
    tmp_path: Path, is_connected_before: bool, resets: bool
) -> None:
    """The router does not run while the client sends and closes, so that all is unread then."""

    async def test() -> None:
        async with router_process(tmp_path, 1024) as router:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * 1024 * 1024)
            if is_connected_before:
                client.connect((HOST, router.port))
                client.sendall(QUERY_FORM % (1, b"lookup", FIRST_TXN))
                await until(lambda: any(engine.named("POST") for engine in router.engines))
                await asyncio.get_running_loop().run_in_executor(None, client.recv, 4096)
            router.process.send_signal(signal.SIGSTOP)
            if not is_connected_before:
                client.connect((HOST, router.port))
            client.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                client.send(
                    b"".join(QUERY_FORM % (2 + n, b"lookup", FIRST_TXN + 1 + n) for n in range(REQUESTS))
                )
            if resets:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
            await asyncio.sleep(STOPPED_S)
            before = sum(len(engine.named("POST")) for engine in router.engines)
            router.process.send_signal(signal.SIGCONT)
            other = await behave_well(router.port, 1.0)
            posts = sum(len(engine.named("POST")) for engine in router.engines)
            assert posts - before == other.served, f"{posts - before} queries sent, {other}"
            assert other.served, str(other)
            assert other.ended == other.unanswered == other.failed == 0, str(other)  # refusals follow a pause

    run(test)
