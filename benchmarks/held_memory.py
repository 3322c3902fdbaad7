"""Measures the memory that a router holds for clients and requests: ``python benchmarks/held_memory.py``.

The figures are those of Python's allocator (tracemalloc) in a router in this process; clients are plain
sockets, so that their side takes no memory of Python's here.
"""

from __future__ import annotations

import asyncio
import gc
import socket
import sys
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from crowds import QUERY_FORM, half_request  # noqa: E402
from loopback import HOST, Loopback, StandInEngine, one_page, until  # noqa: E402

CLIENTS = 200
OPEN_REQUESTS = 30  # of a client
PARTIAL_BYTES = 8_000
FIRST_TXN = 1 << 60
ALIVE = b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n'


def connect(net: Loopback, count: int) -> list[socket.socket]:
    """Opens plain connections to the router."""
    clients = [socket.create_connection((HOST, net.port())) for _ in range(count)]
    for client in clients:
        client.setblocking(False)
    return clients


async def receive(client: socket.socket, lines: int) -> None:
    """Receives a number of answers."""
    received = 0
    while received < lines:
        received += (await asyncio.get_running_loop().sock_recv(client, 65_536)).count(b"\n")


async def growth(work: Callable[[], Awaitable[None]]) -> int:
    """Returns the growth of the traced memory, in bytes, by some work."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    await work()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


def report(what: str, size_bytes: int, count: int) -> None:
    """Prints a row."""
    print(f"{what:<44} {size_bytes / count:8.0f} bytes each, {count} of them")


async def measure_clients() -> None:
    """Measures idle clients and incomplete messages."""
    async with Loopback(StandInEngine()) as net:
        clients: list[socket.socket] = []

        async def come() -> None:
            clients.extend(connect(net, CLIENTS))
            for client in clients:
                client.send(ALIVE)
            for client in clients:
                await receive(client, 1)

        async def begin_a_message() -> None:
            for client in clients:
                client.send(half_request(PARTIAL_BYTES))
            await until(
                lambda: sum(c.unparsed for c in net.router.server.connections) == CLIENTS * PARTIAL_BYTES
            )

        report("idle client", await growth(come), CLIENTS)
        report(f"incomplete message of {PARTIAL_BYTES} bytes", await growth(begin_a_message), CLIENTS)
        for client in clients:
            client.close()


async def measure_finished_requests() -> None:
    """Measures what is left of requests that have been answered, their ids among it."""
    async with Loopback(*(StandInEngine(one_page) for _ in range(4))) as net:
        (client,) = connect(net, 1)
        rounds = 100

        async def serve(first_id: int) -> None:
            for number in range(rounds):
                ids = range(first_id + number * OPEN_REQUESTS, first_id + (number + 1) * OPEN_REQUESTS)
                lines = [QUERY_FORM % (id, b"report", FIRST_TXN + id) for id in ids]
                client.send(b"".join(lines).replace(b'"limit":2000', b'"limit":20000'))
                await receive(client, OPEN_REQUESTS)
            for engine in net.engines:
                engine.calls.clear()

        await serve(1)
        size_bytes = await growth(lambda: serve(1 + rounds * OPEN_REQUESTS))
        report("answered request, until its id expires", size_bytes, rounds * OPEN_REQUESTS)
        client.close()


def main() -> None:
    """Prints the table."""
    tracemalloc.start()
    for measure in (measure_clients, measure_finished_requests):
        asyncio.run(measure())


if __name__ == "__main__":
    main()
