"""Crowds of clients that misbehave towards one router process, beside a client that behaves well.

Each crowd client opens raw connections one after another, so that the crowd itself needs little memory, and
connects again when the router closes its connection.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from loopback import HOST, JsonClient

SEND_PIECE_BYTES = 64 * 1024
RECONNECT_PAUSE_S = 0.05
LARGE_REQUEST_BYTES = 86_000

CrowdClient = Callable[[socket.socket], Awaitable[None]]
"""Plays one connection of a crowd until it has nothing more to do."""


def query_line(
    number: int, txn: int, sql: str = "SELECT 1", method: str = "lookup", limit: int = 2000
) -> bytes:
    """Returns a complete request."""
    params = {
        "txn": f"{txn:016x}",
        "limit": limit,
        "cpu": 1.0,
        "data": base64.b64encode(sql.encode()).decode(),
    }
    message = {"jsonrpc": "2.0", "id": number, "method": method, "params": params}
    return json.dumps(message).encode() + b"\n"


def half_request(size_bytes: int = LARGE_REQUEST_BYTES) -> bytes:
    """Returns the first part of a request with a large statement."""
    head = query_line(1, 1)[:-5]
    return head + b"A" * (size_bytes - len(head))


async def crowd(port: int, clients: int, play: CrowdClient) -> None:
    """Plays a crowd until it is cancelled."""
    async with asyncio.TaskGroup() as group:
        for _ in range(clients):
            group.create_task(_connect_again_and_again(port, play))


async def _connect_again_and_again(port: int, play: CrowdClient) -> None:
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as connection, suppress(OSError):
            connection.setblocking(False)
            await loop.sock_connect(connection, (HOST, port))
            await play(connection)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def until_closed(connection: socket.socket) -> None:
    """Reads a connection until the router closes it."""
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(connection, 4096):
        pass


async def stop_half_way(connection: socket.socket) -> None:
    """Sends a part of a large request and no more."""
    await asyncio.get_running_loop().sock_sendall(connection, half_request())
    await until_closed(connection)


async def write_slowly(connection: socket.socket) -> None:
    """Sends a large request in small pieces with pauses."""
    loop = asyncio.get_running_loop()
    data = half_request()
    for start in range(0, len(data), 4000):
        await loop.sock_sendall(connection, data[start : start + 4000])
        await asyncio.sleep(0.05)
    await until_closed(connection)


async def send_many_fields(connection: socket.socket) -> None:
    """Sends one request after another with very many short fields."""
    loop = asyncio.get_running_loop()
    fields = ",".join(f'"{number:x}":{{}}' for number in range(9000))
    number = 0
    while True:
        number += 1
        head = f'{{"jsonrpc":"2.0","id":{number},"method":"lookup","params":{{'
        await loop.sock_sendall(connection, f"{head}{fields}}}}}\n".encode())
        await asyncio.sleep(0.05)


async def read_nothing(connection: socket.socket) -> None:
    """Sends queries at full speed, each with a new id, and reads no answer."""
    loop = asyncio.get_running_loop()
    number = 0
    while True:
        lines = [new_query(number + offset) for offset in range(1, 201)]
        number += len(lines)
        await loop.sock_sendall(connection, b"".join(lines))


@dataclass
class Observed:
    """What a client that behaves well has seen."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    ended: int = 0  # requests whose connection ended before the answer
    unanswered: int = 0  # not answered within half a second after their time
    latencies_s: list[float] = field(default_factory=list)

    @property
    def sent(self) -> int:
        return self.served + self.refused + self.failed + self.ended + self.unanswered

    def latency(self, share: float) -> float:
        """Returns a quantile of the time to an answer."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("inf")

    def __str__(self) -> str:
        return (
            f"sent {self.sent} served {self.served} refused {self.refused} failed {self.failed} "
            f"ended {self.ended} unanswered {self.unanswered} "
            f"p50 {self.latency(0.5) * 1000:.0f} ms p99 {self.latency(0.99) * 1000:.0f} ms"
        )


async def behave_well(port: int, seconds: float, pause_s: float = 0.1) -> Observed:
    """Sends one request after another on one connection, and connects again only if it ends."""
    seen = Observed()
    end_s = time.monotonic() + seconds
    client: JsonClient | None = None
    while time.monotonic() < end_s:
        began_s = time.monotonic()
        try:
            async with asyncio.timeout(2.5):
                if client is None:
                    client = JsonClient(*await asyncio.open_connection(HOST, port))
                client.query()
                line = await client.reader.readline()
        except TimeoutError:
            seen.unanswered += 1
            if client is not None:
                client.writer.close()
            client = None
            continue
        except OSError:
            line = b""
        if not line:
            seen.ended += 1
            if client is not None:
                client.writer.close()
            client = None
            continue
        seen.latencies_s.append(time.monotonic() - began_s)
        answer = json.loads(line)
        if "result" in answer:
            seen.served += 1
        elif answer["error"]["code"] == -32002:
            seen.refused += 1
        else:
            seen.failed += 1
        await asyncio.sleep(pause_s)
    if client is not None:
        client.writer.close()
    return seen


def flood(make_line: Callable[[int], bytes], lines_at_once: int = 50) -> CrowdClient:
    """Returns a client that sends lines at full speed and reads what it gets."""

    async def play(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reading = loop.create_task(until_closed(connection))
        number = 0
        try:
            while not reading.done():
                lines = [make_line(number + offset) for offset in range(1, lines_at_once + 1)]
                number += lines_at_once
                await loop.sock_sendall(connection, b"".join(lines))
                await asyncio.sleep(0)
        finally:
            reading.cancel()

    return play


QUERY_FORM = (
    b'{"jsonrpc":"2.0","id":%d,"method":"%s","params":'
    b'{"txn":"%016x","limit":2000,"cpu":1.0,"data":"U0VMRUNUIDE="}}\n'
)


def new_query(number: int) -> bytes:
    """Returns a query with an id that no other has."""
    return QUERY_FORM % (number, b"lookup", time.monotonic_ns())


def unsound_line(number: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"method":"name-%d"}\n' % (number, time.monotonic_ns())


async def ask_and_read_nothing(connection: socket.socket) -> None:
    """Sends as many queries as may be open, some at a time, and reads no answer."""
    loop = asyncio.get_running_loop()
    for first in range(1, 1000, 8):
        lines = [new_query(first + offset) for offset in range(8)]
        await loop.sock_sendall(connection, b"".join(lines))
        await asyncio.sleep(0.2)


PLAYS: dict[str, CrowdClient] = {
    "stop_half_way": stop_half_way,
    "write_slowly": write_slowly,
    "send_many_fields": send_many_fields,
    "read_nothing": read_nothing,
    "ask_and_read_nothing": ask_and_read_nothing,
    "flood_queries": flood(new_query),
    "flood_unsound": flood(unsound_line),
}


@contextlib.asynccontextmanager
async def crowd_process(port: int, clients: int, play: str) -> AsyncIterator[None]:
    """Plays a crowd in a process of its own, so that it takes no processor time from the test."""
    process = await asyncio.create_subprocess_exec(sys.executable, __file__, str(port), str(clients), play)
    try:
        yield
    finally:
        process.kill()
        await process.wait()


if __name__ == "__main__":
    _, port_text, clients_text, play_name = sys.argv
    asyncio.run(crowd(int(port_text), int(clients_text), PLAYS[play_name]))
