"""Stand-ins for the services that a router connects to, on loopback: the journal service, and engines with
HTTP.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"


async def serve(
    handler: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int = 0
) -> tuple[asyncio.Server, int]:
    """Start a TCP server on loopback and return it with its port."""
    server = await asyncio.start_server(handler, HOST, port)
    return server, server.sockets[0].getsockname()[1]


async def quietly(work: Awaitable[None]) -> None:
    """Run a connection handler and ignore errors of its connection, as stand-ins end with their
    connections.
    """
    try:
        await work
    except (OSError, EOFError, asyncio.CancelledError):
        pass


def host(name: str, port: int, state: str = "SERVING", born_ms: int = 0) -> dict[str, Any]:
    """Return an entry of the endpoint list."""
    return {
        "host": name,
        "dial": f"{HOST}:{port}",
        "site": "room-a",
        "class": "std-8",
        "block": 0,
        "health": state,
        "share": 1,
        "born_ms": born_ms,
    }


def event(position: int, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    """Return a watch event of the endpoint list; ``whole``: it replaces the complete list."""
    return {"pos": position, "hosts": {"seq": position, "whole": whole, "hosts": list(hosts)}}


class StandInEndpointList:
    """A journal service that sends given lines to the router that follows it, and keeps the requests it
    received.
    """

    def __init__(self) -> None:
        self.asked: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Start to accept connections."""
        self.server, self.port = await serve(self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.append(await reader.readline())
        self.writers.append(writer)

    def tell(self, line: dict[str, Any]) -> None:
        """Send a line on the latest connection."""
        self.writers[-1].write(json.dumps(line).encode() + b"\n")

    def cut(self) -> None:
        """Abort the latest connection."""
        self.writers.pop().transport.abort()


class HttpCall:
    """An HTTP request that a stand-in engine received."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


def http_answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of an HTTP response; underscores in header names become hyphens."""
    lines = [
        f"HTTP/1.1 {status} x",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join((*lines, "", "")).encode() + body


Script = Callable[[HttpCall, asyncio.StreamWriter], Awaitable[bytes | None]]


async def one_page(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    """Answer every query at once with one page."""
    if call.method in ("DELETE", "PUT"):
        return http_answer(204)
    return http_answer(200, b"a\tb\tc\n", X_Sheets="1")


class StandInEngine:
    """An HTTP server that answers as its script returns: an answer, or None to abort the connection.

    A change of priority is answered without the script.
    """

    def __init__(self, script: Script = one_page) -> None:
        self.script = script
        self.calls: list[HttpCall] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Start to accept connections."""
        self.server, self.port = await serve(lambda r, w: quietly(self._serve(r, w)))

    def named(self, method: str) -> list[HttpCall]:
        """Return the calls received with this HTTP method."""
        return [call for call in self.calls if call.method == method]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while head := await reader.readuntil(b"\r\n\r\n"):
            first, *lines = head.decode().rstrip().split("\r\n")
            headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
            method, path, _ = first.split(" ")
            call = HttpCall(
                method, path, headers, await reader.readexactly(int(headers.get("content-length", 0)))
            )
            self.calls.append(call)
            answer = http_answer(204) if call.method == "PUT" else await self.script(call, writer)
            if answer is None:
                writer.transport.abort()
                return
            writer.write(answer)
