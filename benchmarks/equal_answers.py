"""Throughput where engines' answers are equal to each other, compared with distinct ones.

``python benchmarks/equal_answers.py`` runs one router in front of engines that answer each call immediately,
with clients that keep a number of requests open. Equal answers can't be told from late duplicates of each
other, so the router verifies them if they arrive soon after each other on one connection (``docs/races.md``).

``--against FOLDER`` runs the router of another release in turn with this one. Engines and clients run in this
process and share the machine with the router, so only ratios of runs side by side mean something.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from base64 import b64encode
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from statistics import quantiles
from typing import Any

from slipbay.rig.platform import settings
from slipbay.rig.process import RouterProcess
from slipbay.rig.standins import HOST, event, host

ENGINES = 8
DEADLINE_MS = 2500
REQUESTS_PER_CONNECTION = 8  # open at once
STATEMENT = b64encode(b"SELECT 1 FROM sales_1.orders").decode()
PERCENTILES = 100


@dataclass
class Engine:
    """Answers each POST and poll at once with one page; ``body`` returns its content."""

    body: Callable[[], bytes]
    port: int = 0
    connections: int = 0
    calls: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                if b"content-length: " in head:
                    await reader.readexactly(int(head.partition(b"content-length: ")[2].split(b"\r\n")[0]))
                self.calls += 1
                if head.startswith((b"put", b"delete")):
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                body = self.body()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Sheets: 1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )
        writer.close()


@dataclass
class Figures:
    """What the clients of one run saw."""

    latencies_ms: list[float] = field(default_factory=list)
    failed: int = 0
    connections: int = 0
    calls: int = 0
    cpu_s: float = 0.0  # of the router

    def line(self, seconds: float) -> str:
        """The figures as a line of text."""
        served = len(self.latencies_ms)
        if served < 2:
            return f"{served} served, {self.failed} failed"
        cuts = quantiles(self.latencies_ms, n=PERCENTILES)
        return (
            f"{served / seconds:6.0f} a second, p50 {cuts[49]:6.1f} ms, p99 {cuts[98]:6.1f} ms, "
            f"{self.connections:4d} connections, {self.calls / served:.2f} calls and "
            f"{1e6 * self.cpu_s / (served + self.failed):4.0f} us of CPU a request, {self.failed} failed"
        )


async def run_client(
    port: int, open_requests: int, until_s: float, figures: Figures, txns: count[int]
) -> None:
    """Keep ``open_requests`` open on one connection until ``until_s``."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
    sent_s: dict[int, float] = {}

    def send(id: int) -> None:
        params = {"txn": f"{next(txns):016x}", "limit": DEADLINE_MS, "data": STATEMENT, "cpu": 1, "ram": 1}
        message = {"jsonrpc": "2.0", "id": id, "method": "lookup", "params": params}
        sent_s[id] = time.perf_counter()
        writer.write(json.dumps(message).encode() + b"\n")

    for id in range(1, open_requests + 1):
        send(id)
    next_id = open_requests
    while sent_s:
        answer = json.loads(await reader.readline())
        latency_ms = 1e3 * (time.perf_counter() - sent_s.pop(answer["id"]))
        if "result" in answer:
            figures.latencies_ms.append(latency_ms)
        else:
            figures.failed += 1
        if time.perf_counter() < until_s:
            next_id += 1
            send(next_id)
    writer.close()


async def run(release: Path, body: Callable[[], bytes], open_requests: int, seconds: float) -> Figures:
    """Run the router of a release under load."""
    engines = [Engine(body) for _ in range(ENGINES)]
    for engine in engines:
        await engine.start()
    journal = await asyncio.start_server(lambda _reader, _writer: None, HOST, 0)
    hosts = [host(f"s-{number}", engine.port) for number, engine in enumerate(engines)]

    def config(_slot: int) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"{HOST}:0",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 512},
            "journal": f"{HOST}:{journal.sockets[0].getsockname()[1]}",
            "settings": settings(0, 1, 1, ["a"]),
            "known": {"pos": 1, "entries": [event(1, *hosts, whole=True)]},
        }

    figures = Figures()
    with tempfile.TemporaryDirectory() as folder:
        router = RouterProcess(0, config, Path(folder), {}, lambda _incarnation: None)
        router.source_directory = release
        incarnation = await router.spawn()
        await incarnation.ready_or_ended.wait()
        clients = max(1, open_requests // REQUESTS_PER_CONNECTION)
        until_s = time.perf_counter() + seconds
        txns = count(1)
        await asyncio.gather(
            *(
                run_client(incarnation.port, open_requests // clients, until_s, figures, txns)
                for _ in range(clients)
            )
        )
        assert incarnation.process is not None
        schedstat = Path(f"/proc/{incarnation.process.pid}/schedstat").read_text()
        figures.cpu_s = int(schedstat.split()[0]) / 1e9
        incarnation.process.terminate()
        await incarnation.wait_until_ended()
    figures.connections = sum(engine.connections for engine in engines)
    figures.calls = sum(engine.calls for engine in engines)
    journal.close()
    return figures


def main() -> None:
    """Run all numbers of open requests, with equal and with distinct answers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--open", type=int, nargs="*", default=[1, 16, 128, 1024])
    parser.add_argument("--bytes", type=int, nargs="*", default=[0, 6, 4000], help="size of an answer's page")
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--against", type=Path, help="folder of another release")
    options = parser.parse_args()
    releases = {"this": Path(__file__).parent.parent}
    if options.against is not None:
        releases["other"] = options.against.resolve()
    numbers = count(1)
    for size in options.bytes:
        equal = (b"1" * (size - 1) + b"\n")[:size]
        bodies: dict[str, Callable[[], bytes]] = {"equal": lambda equal=equal: equal}  # type: ignore[misc]
        if size:
            bodies["distinct"] = lambda size=size: b"%0*d\n" % (size - 1, next(numbers))  # type: ignore[misc]
        for open_requests in options.open:
            for name, release in releases.items():
                for kind, body in bodies.items():
                    figures = asyncio.run(run(release, body, open_requests, options.seconds))
                    print(
                        f"{name:5} {size:4d} bytes, {open_requests:4d} open, {kind:8}: "
                        f"{figures.line(options.seconds)}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
