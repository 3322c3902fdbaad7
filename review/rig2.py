"""Stand-ins and helpers of the cases 6 to 10: engines, the journal service, clients and a router's process.

The stand-ins follow the operators' protocol page: HTTP/1.1 engines, a journal service with numbered events,
and clients that speak JSON-RPC with one message a line.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONG_POLL_S = 0.25  # a call for news waits for so long
UNASKED_S = 2.0  # a query ends when nobody asked for it for so long
NOTE_INTERVAL_S = 1.0  # between notes of progress
PAGE_BYTES = 6_000
USUAL_ROWS_BYTES = 60  # of a result for which the statement names no size
STEP_S = 0.01  # of the simulated work
WORK_PATTERN = re.compile(rb"work (\d+) ms")
ROWS_PATTERN = re.compile(rb"rows (\d+) bytes")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_CASE_S = 105  # a script may take 120 s


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The record of what was sent, answered and run: the file ``record.txt`` of a case."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._started_s = time.time()

    def add(self, what: str, **fields: object) -> None:
        """Write a line with the seconds since the start of the case."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.time() - self._started_s:8.3f} {what} {text}\n")
        self._file.flush()

    def add_at(self, at_s: float, what: str, **fields: object) -> None:
        """Write a line for something that happened at a Unix time."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s - self._started_s:8.3f} {what} {text}\n")
        self._file.flush()


# Engines


@dataclass(slots=True)
class Query:
    """One execution of a statement on an engine."""

    name: str
    work_s: float
    rows: bytes
    started_s: float
    asked_s: float
    open_calls: int = 0
    noted_s: float = 0.0
    done_s: float = 0.0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    answer: bytes | None = None  # None: deleted or dropped


Report = Callable[[dict[str, Any]], None]


def make_rows(name: str, size: int) -> bytes:
    """Rows of three text columns, at most ``size`` bytes together, at least one row."""
    rows = bytearray()
    number = 0
    while number == 0 or len(rows) + 60 <= size:
        rows += f"{name}\t{number:08d}\t{'x' * 24}\n".encode()
        number += 1
    return bytes(rows)


def pages_of(rows: bytes) -> list[bytes]:
    """Whole rows in pages of at most ``PAGE_BYTES``."""
    pages: list[bytes] = []
    page = b""
    for row in rows.splitlines(keepends=True):
        if len(page) + len(row) > PAGE_BYTES:
            pages.append(page)
            page = b""
        page += row
    return [*pages, page]


class Engine:
    """An engine that runs each statement for the time that the statement names.

    A query belongs to no connection: it runs until it ends, until it is deleted, or until two seconds pass
    without its being asked for.
    """

    def __init__(self, report: Report) -> None:
        self._report = report
        self.queries: dict[str, Query] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen, and run queries from now on."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self._work = asyncio.get_running_loop().create_task(self._run_queries())

    def _end(self, query: Query, how: str, answer: bytes | None) -> None:
        if not query.ended.is_set():
            query.answer = answer
            query.ended.set()
            self._report({"at": time.time(), "event": how, "query": query.name})

    async def _run_queries(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now_s = time.monotonic()
            for query in list(self.queries.values()):
                if query.ended.is_set():
                    continue
                # What nobody asked for in time has ended, also where this process stood still meanwhile
                if not query.open_calls and now_s - query.asked_s > UNASKED_S:
                    self._end(query, "dropped", None)
                elif now_s - query.started_s >= query.work_s:
                    self._end(query, "ended", query.rows)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._answer(method, path, headers, body)
                writer.write(answer)
                self.answered(writer, answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answered(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """An answer was written; for engines that then do something wrong."""

    async def _answer(self, method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
        if path in ("/ping", "/stats"):
            return http_answer(200)
        if method == "POST":
            return await self._start_query(headers, body)
        name, _, number = path.removeprefix("/obj/").partition("/")
        query = self.queries.get(name)
        if method == "PUT":
            return http_answer(204)
        if method == "DELETE":
            if query is not None:
                self._end(query, "deleted", None)
            return http_answer(204)
        if query is None:
            return http_answer(500)
        return await self._news(query) if number == "0" else self._page(query, int(number))

    async def _start_query(self, headers: dict[str, str], body: bytes) -> bytes:
        now_s = time.monotonic()
        work = WORK_PATTERN.search(body)
        size = ROWS_PATTERN.search(body)
        name = headers["x-hop-id"]
        rows = make_rows(name, int(size[1]) if size else USUAL_ROWS_BYTES)
        query = Query(name, int(work[1]) / 1000 if work else 0.05, rows, now_s, now_s)
        self.queries[name] = query
        self._report({"at": time.time(), "event": "started", "query": name, "class": headers["x-sort"]})
        return await self._news(query)

    async def _news(self, query: Query) -> bytes:
        query.open_calls += 1
        try:
            await asyncio.wait_for(query.ended.wait(), LONG_POLL_S)
        except TimeoutError:
            return self._note(query)
        finally:
            query.open_calls -= 1
            query.asked_s = time.monotonic()
        return http_answer(500) if query.answer is None else self._page(query, 0)

    @staticmethod
    def _note(query: Query) -> bytes:
        now_s = time.monotonic()
        if now_s - max(query.noted_s, query.started_s) < NOTE_INTERVAL_S:
            return http_answer(202)
        query.noted_s = now_s
        done = (now_s - query.started_s) / query.work_s
        return http_answer(202, headers={"X-Tell": "done", "X-Val": f"{min(done, 0.99):.3f}"})

    @staticmethod
    def _page(query: Query, number: int) -> bytes:
        if query.answer is None:
            return http_answer(500)
        pages = pages_of(query.answer)
        if number >= len(pages):
            return http_answer(500)
        header = {"X-Sheet": str(number)} if number else {"X-Sheets": str(len(pages))}
        return http_answer(200, pages[number], header)


def http_answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode an answer of an engine."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def spans(events: list[dict[str, Any]], query: str, until_s: float) -> list[tuple[float, float, str]]:
    """When an engine ran a query: start, end and how it ended."""
    found: list[tuple[float, float, str]] = []
    started_s: float | None = None
    for event in events:
        if event["query"] != query:
            continue
        if event["event"] == "started":
            started_s = event["at"]
        elif started_s is not None:
            found.append((started_s, event["at"], event["event"]))
            started_s = None
    if started_s is not None:
        found.append((started_s, until_s, "running"))
    return found


# A link that can be cut


RTO_S = 0.2  # of TCP after a first byte without an acknowledgement; it doubles with each repeat


def _delivered_s(written_s: float, healed_s: float) -> float:
    """When TCP repeats bytes, written in a cut, for the first time after its end."""
    after_s = RTO_S
    while written_s + after_s < healed_s:
        after_s = 2 * after_s + RTO_S
    return written_s + after_s


class Link:
    """A proxy before an engine. In a cut nothing is said: open connections stay open and silent, and new
    ones never come up. What either side writes comes once TCP repeats it after the end of the cut, also where
    the writer has closed meanwhile; a writer that has reset its connection has taken it back."""

    def __init__(self, port: int, record: Record) -> None:
        self._engine_port = port
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._listener = socket.create_server((HOST, 0), backlog=128)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        self._fillers: list[socket.socket] = []
        self._is_cut = False
        self._healed = asyncio.Event()
        self._healed.set()
        self._healed_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop.add_reader(self._listener, self._accept)

    def cut(self) -> None:
        """Cut the link."""
        self._is_cut = True
        self._healed.clear()
        self._loop.remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(4):  # fill the queue of connections that the system accepts
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)

    def heal(self) -> None:
        """End the cut."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(128)
        self._loop.add_reader(self._listener, self._accept)
        self._is_cut = False
        self._healed_s = time.monotonic()
        self._healed.set()

    def close(self) -> None:
        """End the proxy."""
        self._loop.remove_reader(self._listener)
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._spawn(self._relay(sock))

    async def _relay(self, near: socket.socket) -> None:
        far = socket.socket()
        far.setblocking(False)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self._loop.sock_connect(far, (HOST, self._engine_port))
            await asyncio.gather(self._pump(near, far), self._pump(far, near))
        except OSError:
            pass
        finally:
            near.close()
            far.close()

    async def _pump(self, source: socket.socket, target: socket.socket) -> None:
        """Pass bytes and their end on; raises ``OSError`` where the source has reset its connection."""
        while True:
            data = await self._loop.sock_recv(source, 65536)
            if self._is_cut:
                data, has_ended = await self._hold(source, data)
                if data and has_ended:
                    what = bytes(data.split(b" HTTP/1.1", 1)[0]).decode("latin-1")
                    self._record.add("written in the cut, comes now; its writer has closed", begins=what)
            else:
                has_ended = not data
            if data:
                await self._loop.sock_sendall(target, data)
            if has_ended:
                target.shutdown(socket.SHUT_WR)
                return

    async def _hold(self, source: socket.socket, data: bytes) -> tuple[bytes, bool]:
        """Hold what is written in the cut until TCP repeats it."""
        written_s = time.monotonic()
        held = bytearray(data)
        has_ended = not data
        while self._is_cut or time.monotonic() < _delivered_s(written_s, self._healed_s):
            if has_ended:
                await asyncio.sleep(0.01)
                continue
            try:
                more = await asyncio.wait_for(self._loop.sock_recv(source, 65536), 0.02)
            except TimeoutError:
                continue
            held += more
            has_ended = not more
        return bytes(held), has_ended


# The journal service


class Journal:
    """A journal service: numbered events, and a line with the last number each second."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.events = [self._event(1, True, hosts)]
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @staticmethod
    def _event(pos: int, whole: bool, hosts: list[dict[str, Any]]) -> dict[str, Any]:
        return {"pos": pos, "hosts": {"seq": pos, "whole": whole, "hosts": hosts}}

    @property
    def known(self) -> dict[str, Any]:
        """The events up to now, as a configuration holds them."""
        return {"pos": len(self.events), "entries": list(self.events)}

    async def start(self) -> None:
        """Listen, and send the last number each second."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server
        self._beat = asyncio.get_running_loop().create_task(self._send_numbers())

    def publish(self, hosts: list[dict[str, Any]]) -> None:
        """Tell a change."""
        self.events.append(self._event(len(self.events) + 1, False, hosts))
        for writer in self._writers:
            writer.write(json.dumps(self.events[-1]).encode() + b"\n")

    async def _send_numbers(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in self._writers:
                writer.write(b'{"pos":%d}\n' % len(self.events))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            words = (await reader.readline()).split()
            if len(words) == 2 and words[0] == b"tail":
                for event in self.events[int(words[1]) :]:
                    writer.write(json.dumps(event).encode() + b"\n")
                self._writers.add(writer)
                await reader.read()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def host_entry(name: str, port: int, site: str = "room-a", health: str = "SERVING") -> dict[str, Any]:
    """An entry of the engine list."""
    return {
        "host": name,
        "dial": f"{HOST}:{port}",
        "site": site,
        "class": "std-8",
        "block": 0,
        "health": health,
        "share": 1,
        "born_ms": 0,
    }


# Routers


def settings(number: int = 0, routers: int = 1) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of ``sapporo-main``."""
    return {
        "balancers": routers,
        "me": number,
        "zone": 0,
        "dcs": ["room-a", "room-b"],
        "kinds": ["std-8"],
        "domainType": "queries",
        "membershipMode": "pushed",
        "weights": "off",
        "countedBy": "request",
        "overShareWorth": 0.2,
        "clients": {"marksRetry": True},
        "tickUs": 5000,
        "tier": 0,
        "tiers": ["query-fleet"],
        "reporting": {"fields": [], "how": "off"},
        "familyInfo": {
            "blockedByLoads": [False, False, False],
            "cpuOfKind": [8],
            "ramOfKindMb": [16384.0],
            "grantCap": 0.4,
            "isLoad": [False, False, True],
            "lanesCount": True,
            "memoryHeeded": True,
            "memoryShort": "trim",
            "progressUs": 1_000_000,
            "tellsCost": False,
            "threadsByClass": [1, 2, 2],
        },
        "policyLimits": {
            "attemptsCap": 4,
            "connIdleUs": 30_000_000,
            "connectTimeoutUs": 250_000,
            "cpuUsPerS": 400_000,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 500_000,
            "mayCancel": True,
            "mayDuplicate": False,
            "mayTell": True,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 32,
        },
        "profiles": [
            profile("lookup", "retryable", 500_000, 2_500_000, 1.0, 1.5, 0.0),
            profile("report", "retryable", 2_000_000, 20_000_000, 15.0, 2.5, 0.4),
            profile("ticket-load", "fragile", 4_000_000, 25_000_000, 15.0, 2.5, 0.5),
        ],
        "realms": [
            {"fraction": 0.8, "name": "ishikari-fuel", "quotaRps": 79.0},
            {"fraction": 0.2, "name": "tokachi-oil", "quotaRps": 20.0},
        ],
        "rules": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "coldShare": 0.31,
            "countedOverUs": 10_000_000,
            "drainGraceUs": 1_000_000,
            "extraFree": 5.0,
            "fallMultiple": 3.0,
            "fallUs": 3_000_000,
            "rampTimeUs": 13_000_000,
            "repeatRatio": 0.2,
        },
    }


def profile(
    name: str, effect: str, promise_us: int, give_up_us: int, gain: float, stretch: float, late: float
) -> dict[str, Any]:
    """A class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "promiseUs": promise_us,
        "giveUpUs": give_up_us,
        "gain": gain,
        "aimStretch": stretch,
        "lateWorth": late,
        "keyScope": "all",
        "stream": False,
        "windowUs": 5_000_000,
    }


def run_command() -> str:
    """The command of the deploy file that starts a router."""
    import tomllib

    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Router:
    """A router's process, started by the command of the deploy file from the root of the repository."""

    def __init__(
        self, folder: Path, record: Record, journal: Journal, name: str = "n0", cores: float = 1.0
    ) -> None:
        self.folder = folder
        self.name = name
        self.cores = cores
        self.port = free_port()
        self._record = record
        self._journal = journal
        self.files: dict[str, str] = {}  # operator files by the variable that names them
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []

    async def start(self) -> None:
        """Start it, and wait until it answers that it is well."""
        temporary = Path(tempfile.mkdtemp(dir=self.folder))
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": self.cores, "memory_mb": 192, "sockets": 1024},
            "journal": f"{HOST}:{self._journal.port}",
            "known": self._journal.known,
            "settings": settings(),
        }
        path = temporary / "config.json"
        path.write_text(json.dumps(config))
        kept = {name: value for name, value in os.environ.items() if not name.startswith(("GW_", "SLIPBAY_"))}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run_command(),
            cwd=ROOT,
            env={
                **kept,
                "GW_NAME": self.name,
                "GW_LISTEN": f"{HOST}:{self.port}",
                "GW_CONFIG": str(path),
                "TMPDIR": str(temporary),
                **self.files,
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.get_running_loop().create_task(self._read_log(self.process))
        end_s = time.monotonic() + 30
        while not await self._is_well():
            if time.monotonic() > end_s or self.process.returncode is not None:
                raise CaseError("the router did not become ready: " + " | ".join(self.log[-3:]))
            await asyncio.sleep(0.05)
        self._record.add("router is ready", pid=self.process.pid)

    async def _is_well(self) -> bool:
        try:
            client = await Client.connect(self.port)
        except OSError:
            return False
        try:
            answer = await asyncio.wait_for(client.call("alive", {}), 1)
        except (TimeoutError, ConnectionError):
            return False
        finally:
            client.close()
        return bool(answer.get("result", {}).get("well"))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            text = line.decode(errors="replace").rstrip()
            self.log.append(text)
            self._record.add("router's log:", text=text)

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, and record that."""
        self._record.add("router gets a signal", signal=number.name)
        self.signal_quietly(number)

    def signal_quietly(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether its process has ended."""
        return self.process is None or self.process.returncode is not None

    async def end(self) -> None:
        """Kill it, if it still runs."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            await self._reading


# Clients


class Client:
    """A client's connection with any number of open requests, up to 32 at a time by the protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.last_id = 0
        self._answers: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self._reading = asyncio.get_running_loop().create_task(self._read())

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to a router."""
        return cls(*await asyncio.open_connection(HOST, port, limit=1 << 20))

    async def _read(self) -> None:
        try:
            while line := await self.reader.readline():
                answer = json.loads(line)
                future = self._answers.pop(answer["id"], None)
                if future is not None and not future.done():
                    future.set_result(answer)
        except ConnectionError:
            pass
        for future in self._answers.values():
            if not future.done():
                future.set_exception(ConnectionResetError("the connection ended without an answer"))
        self._answers.clear()

    def send(self, method: str, params: dict[str, Any]) -> asyncio.Future[dict[str, Any]]:
        """Send a request; the result is its answer, or an error if the connection ends without it."""
        self.last_id += 1
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        if self._reading.done():
            future.set_exception(ConnectionResetError("the connection has ended"))
            return future
        self._answers[self.last_id] = future
        self.writer.write(message(self.last_id, method, params))
        return future

    async def call(self, method: str, params: dict[str, Any]) -> dict[str, Any]:
        """Send a request and wait for its answer."""
        return await self.send(method, params)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def message(id: int, method: str, params: dict[str, Any]) -> bytes:
    """Encode a request."""
    return json.dumps({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).encode() + b"\n"


def query_params(
    txn: str, limit_ms: int, work_ms: int, cpu_ms: float, rows_bytes: int = USUAL_ROWS_BYTES, ram_mb: int = 96
) -> dict[str, Any]:
    """The parameters of a query whose statement tells the engine how long it runs and what it returns."""
    statement = f"SELECT a, b, c FROM sales_17.orders /* work {work_ms} ms, rows {rows_bytes} bytes */"
    return {
        "txn": txn,
        "limit": limit_ms,
        "team": "ishikari-fuel",
        "cpu": cpu_ms,
        "ram": ram_mb,
        "data": base64.b64encode(statement.encode()).decode(),
    }


def new_txn() -> str:
    """A txn that no other request has."""
    return os.urandom(8).hex()


def outcome_of(answer: dict[str, Any]) -> str:
    """Served, refused or failed."""
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == -32002 else f"failed ({answer['error']['message']})"


# Helpers


def free_port() -> int:
    """A port that nobody uses now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


async def wait_until(is_true: Callable[[], bool], timeout_s: float, problem: str) -> None:
    """Wait for a condition; raises ``CaseError`` if it does not come true in time."""
    end_s = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() > end_s:
            raise CaseError(problem)
        await asyncio.sleep(0.02)


Case = Callable[[Path, Record], Awaitable[bool]]


async def _run_until_ended(case: Case, folder: Path, record: Record) -> bool:
    """Run a case; SIGTERM and SIGINT cancel it, so that it ends what it started."""
    task = asyncio.ensure_future(case(folder, record))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, MAX_CASE_S)


def run_case(record_file: Path, case: Case) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    ``case`` gets a temporary folder and the record, which is written to ``record_file``, and returns whether
    the rule held.
    """
    record = Record(record_file)
    record.add("case begins", trouble=TROUBLE)
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(_run_until_ended(case, Path(folder), record))
    except (Exception, asyncio.CancelledError) as problem:  # a fault of the case is no broken rule
        record.add("the case could not run", problem=f"{type(problem).__name__}: {problem}")
        print(f"could not run: {type(problem).__name__}: {problem}")
        sys.exit(COULD_NOT_RUN)
    verdict = "the rule held" if held else "the rule was broken"
    record.add(verdict)
    print(verdict)
    sys.exit(HELD if held else BROKEN)
