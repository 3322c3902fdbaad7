"""What the cases of the review share: the router as a process, and stand-ins for what it talks to.

Standard library only; every address is on loopback, and the clock is the system's.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
SLACK_S = 0.05  # by which each time limit is longer on sockets
LATE_ANSWER_S = 0.5  # after a client's time an answer only earns nothing; later the request is lost
START_S = 30.0  # a router has so long to become ready
LONG_POLL_S = 0.25  # an engine holds a call for this time
PAGE_BYTES = 6000  # a page of a result has at most so many
UNASKED_S = 2.0  # an engine drops a query that nobody asks for in this time


class CaseError(Exception):
    """The case could not be played."""


def has_trouble() -> bool:
    """Whether the disruption is played (``TROUBLE=0``: it is not)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with Unix times."""

    def __init__(self) -> None:
        self.started_s = time.time()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at_s: float | None = None) -> None:
        self._lines.append((time.time() if at_s is None else at_s, text))

    def write(self, path: Path) -> None:
        ordered = sorted(self._lines, key=lambda line: line[0])
        path.write_text("".join(f"{at_s - self.started_s:9.3f} s  {text}\n" for at_s, text in ordered))


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# Settings


def service_class(name: str, effect: str, promise_ms: int, give_up_ms: int, gain: float) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "keyScope": "all",
        "promiseUs": promise_ms * 1000,
        "giveUpUs": give_up_ms * 1000,
        "aimStretch": 2.5,
        "gain": gain,
        "lateWorth": 0.4,
        "windowUs": 5_000_000,
        "stream": False,
    }


def settings(classes: list[dict[str, Any]], load: str, priorities: bool = True) -> dict[str, Any]:
    """Settings of one router before a few engines of eight cores; ``load`` names the class of loads."""
    return {
        "balancers": 1,
        "me": 0,
        "zone": 0,
        "dcs": ["room-a"],
        "kinds": ["std-8"],
        "profiles": classes,
        "realms": [
            {"name": "ishikari-fuel", "fraction": 0.8, "quotaRps": 79.0},
            {"name": "tokachi-oil", "fraction": 0.2, "quotaRps": 20.0},
        ],
        "membershipMode": "pushed",
        "tickUs": 5000,
        "policyLimits": {
            "attemptsCap": 4,
            "connIdleUs": 30_000_000,
            "connectTimeoutUs": 250_000,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 500_000,
            "mayCancel": True,
            "mayDuplicate": False,
            "mayTell": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 32,
        },
        "familyInfo": {
            "cpuOfKind": [8],
            "ramOfKindMb": [16384.0],
            "threadsByClass": [1 if entry["name"] == "lookup" else 2 for entry in classes],
            "isLoad": [entry["name"] == load for entry in classes],
            "blockedByLoads": [False for _ in classes],
            "memoryHeeded": True,
            "lanesCount": priorities,
            "progressUs": 1_000_000,
            "grantCap": 0.4,
        },
        "reporting": {"how": "off", "fields": []},
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


# The journal service


class Journal:
    """The journal service: numbered events, sent from the one that a router lacks, and heartbeats."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._events: list[dict[str, Any]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._beats())

    @property
    def position(self) -> int:
        return len(self._events)

    def append(self, hosts: list[dict[str, Any]], whole: bool = False) -> None:
        """A new event: from now on it counts as being in the journal."""
        number = self.position + 1
        self._events.append({"pos": number, "hosts": {"seq": number, "whole": whole, "hosts": hosts}})
        states = ", ".join(f"{host['host']} {host['health']}" for host in hosts)
        self._record.add(f"journal: event {number} is in the journal: {states}")
        for writer in self._writers:
            writer.write(json.dumps(self._events[-1]).encode() + b"\n")

    @property
    def known(self) -> dict[str, Any]:
        return {"pos": self.position, "entries": list(self._events)}

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in self._writers:
                writer.write(b'{"pos":%d}\n' % self.position)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            words = (await reader.readline()).split()
            if len(words) == 2 and words[0] == b"tail":
                self._record.add(f"journal: a router asks: {b' '.join(words).decode()}")
                for entry in self._events[int(words[1]) :]:
                    writer.write(json.dumps(entry).encode() + b"\n")
                writer.write(b'{"pos":%d}\n' % self.position)
                self._writers.add(writer)
                while await reader.read(1000):
                    pass
        self._writers.discard(writer)
        writer.transport.abort()


class DelayingProxy:
    """Passes connections on; what the server sends arrives ``delay_s`` later, whole and in order."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.delay_s = 0.0
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            there_reader, there_writer = await asyncio.open_connection(HOST, self._target_port)
            back = asyncio.create_task(self._pass_late(there_reader, writer))
            with suppress(OSError):
                while data := await reader.read(4096):
                    there_writer.write(data)
            back.cancel()
            there_writer.transport.abort()
        writer.transport.abort()

    async def _pass_late(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting: deque[tuple[float, bytes]] = deque()
        arrived = asyncio.Event()

        async def deliver() -> None:
            while True:
                await arrived.wait()
                while waiting:
                    due_s, data = waiting[0]
                    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                    waiting.popleft()
                    writer.write(data)
                arrived.clear()

        delivery = asyncio.create_task(deliver())
        try:
            with suppress(OSError):
                while data := await reader.read(65536):
                    waiting.append((time.monotonic() + self.delay_s, data))
                    arrived.set()
        finally:
            delivery.cancel()


# Engines


@dataclass
class Execution:
    """A query on an engine."""

    ends_s: float
    asked_s: float
    rows: bytes
    fails: bool = False
    is_over: bool = False


class HttpEngine:
    """A sound engine that speaks HTTP: a query takes the time of its class, then its rows can be had."""

    def __init__(self, name: str, record: Record, work_s: dict[str, float]) -> None:
        """``work_s``: the time of a query, by class."""
        self.name = name
        self._record = record
        self._work_s = work_s
        # s after which an answer, known by its head, comes a second time; 0: it does not
        self.copy_after_s: Callable[[bytes], float] = lambda _answer: 0.0
        # whether it is full for a POST, as others use its sessions; and whether a query ends with an error
        self.is_full: Callable[[], bool] = lambda: False
        self.ends_with_error: Callable[[str], bool] = lambda _class: False
        self.executed: Counter[str] = Counter()  # by id: how often it was taken up
        self.rows_by_class: dict[str, int] = {}  # 1 where a class is not named
        self._writers: set[asyncio.StreamWriter] = set()
        self.posts: list[tuple[float, str, str]] = []  # Unix time of the first byte seen, id, class
        self._queries: dict[str, Execution] = {}
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """The process ends: its connections are reset, and what it ran is lost."""
        running = [txn for txn, query in self._queries.items() if query.ends_s > time.monotonic()]
        self._record.add(
            f"engine {self.name}: its process ends, under {len(running)} queries: {' '.join(running)}"
        )
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, state: str = "SERVING") -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "room-a",
            "class": "std-8",
            "block": 0,
            "health": state,
            "share": 1,
            "born_ms": 0,
        }

    @staticmethod
    def rows_of(txn: str, rows: int = 1) -> bytes:
        """The rows that every engine makes for a request."""
        return b"".join(f"{txn}\tdone\t{number}\n".encode() for number in range(rows))

    @staticmethod
    def _pages_of(result: bytes) -> list[bytes]:
        """A result as pages of whole rows."""
        pages = [b""]
        for row in result.splitlines(keepends=True):
            if len(pages[-1]) + len(row) > PAGE_BYTES:
                pages.append(b"")
            pages[-1] += row
        return pages

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the case ends
            while True:
                first_byte = await reader.readexactly(1)
                began_s = time.time()
                head = first_byte + await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").rstrip().split("\r\n")
                method, path, _ = first.split(" ")
                headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
                await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._answer(method, path, headers, began_s)
                writer.write(answer)
                if copy_after_s := self.copy_after_s(answer):
                    txn = headers.get("x-hop-id") or path.split("/")[2]
                    loop = asyncio.get_running_loop()
                    loop.call_later(copy_after_s, self._send_copy, writer, answer, txn)
        self._writers.discard(writer)
        writer.transport.abort()

    def _send_copy(self, writer: asyncio.StreamWriter, answer: bytes, txn: str) -> None:
        if not writer.transport.is_closing():
            self._record.add(f"engine {self.name}: an answer to {txn} comes a second time: {answer[:12]!r}")
            writer.write(answer)

    async def _answer(self, method: str, path: str, headers: dict[str, str], began_s: float) -> bytes:
        if path in ("/ping", "/stats"):
            return _http(200)
        if method == "POST" and self.is_full():
            self._record.add(
                f"engine {self.name}: full for {headers['x-hop-id']} {headers['x-sort']}", began_s
            )
            return _http(503, b"", "X-No-Effect: 1")
        if method == "POST":
            txn = headers["x-hop-id"]
            self.executed[txn] += 1
            self.posts.append((began_s, txn, headers["x-sort"]))
            self._record.add(f"engine {self.name}: POST {txn} {headers['x-sort']}", began_s)
            now = time.monotonic()
            rows = self.rows_of(txn, self.rows_by_class.get(headers["x-sort"], 1))
            self._queries[txn] = Execution(
                now + self._work_s[headers["x-sort"]], now, rows, self.ends_with_error(headers["x-sort"])
            )
        else:
            txn = path.split("/")[2]
        query = self._queries.get(txn)
        if method == "PUT":
            return _http(204)
        if method == "DELETE":
            self._queries.pop(txn, None)
            return _http(204)
        if query is None or time.monotonic() - query.asked_s > UNASKED_S + LONG_POLL_S:
            return _http(500)
        query.asked_s = time.monotonic()
        wait_s = query.ends_s - query.asked_s
        await asyncio.sleep(min(max(wait_s, 0.0), LONG_POLL_S))
        query.asked_s = time.monotonic()
        if query.asked_s < query.ends_s:
            return _http(202)
        if not query.is_over:
            query.is_over = True
            how = "and ends with an error" if query.fails else "to its end"
            self._record.add(f"engine {self.name}: {txn} ran {how}")
        if query.fails:
            return _http(500)
        pages = self._pages_of(query.rows)
        number = int(path.split("/")[3]) if method == "GET" else 0
        if number >= len(pages):
            return _http(500)
        return _http(200, pages[number], f"X-Sheet: {number}" if number else f"X-Sheets: {len(pages)}")


def _http(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join((*lines, "", "")).encode() + body


# Clients


@dataclass
class Sent:
    """A request of a client, and all that was answered to it."""

    txn: str
    method: str
    limit_ms: int
    rows: int = 1  # that engines make for it
    sent_s: float = 0.0
    answers: list[tuple[float, dict[str, Any]]] = field(default_factory=list)
    is_cut: bool = False  # its connection ended
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def foreign_rows(self) -> str:
        """What the rows of its answer are."""
        if not self.answers or "result" not in self.answers[0][1]:
            return "no rows"
        rows = base64.b64decode(self.answers[0][1]["result"]["data"]).decode().splitlines()
        counts = Counter(row.split("\t")[0] for row in rows)
        return "its rows are of " + ", ".join(f"{txn} ({count})" for txn, count in counts.items())

    def verdict(self, now_s: float) -> str:
        """``served``, ``refused`` or ``failed``; or why it is lost; empty while its time is not over."""
        deadline_s = self.sent_s + self.limit_ms / 1000 + LATE_ANSWER_S + SLACK_S
        if len(self.answers) > 1:
            return "lost: a second answer"
        if self.answers and self.answers[0][0] <= deadline_s:
            answer = self.answers[0][1]
            if "result" in answer:
                rows = base64.b64decode(answer["result"]["data"])
                return (
                    "served"
                    if rows == HttpEngine.rows_of(self.txn, self.rows)
                    else "lost: rows that no engine made for it"
                )
            return "refused" if answer["error"]["code"] == -32002 else "failed"
        if self.answers:
            return f"lost: answered {self.answers[0][0] - self.sent_s:.2f} s after it was sent"
        if self.is_cut:
            return "lost: its connection ended without an answer"
        return "lost: no answer in its time" if now_s > deadline_s else ""


class JsonClient:
    """A sound client: one connection with several open requests, each under a new txn."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._last_id = 0
        self._open: dict[int, Sent] = {}
        self.requests: list[Sent] = []

    async def connect(self, port: int) -> None:
        self._reader, self._writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        self._reading = asyncio.create_task(self._read())

    def send(self, method: str, limit_ms: int, statement: bytes, **params: Any) -> Sent:
        self._last_id += 1
        sent = Sent(secrets.token_hex(8), method, limit_ms)
        data = base64.b64encode(statement).decode()
        body = {"txn": sent.txn, "limit": limit_ms, "data": data, **params}
        line = json.dumps({"jsonrpc": "2.0", "id": self._last_id, "method": method, "params": body})
        self._open[self._last_id] = sent
        self.requests.append(sent)
        self._writer.write(line.encode() + b"\n")
        sent.sent_s = time.time()
        self._record.add(
            f"client {self.name}: sends {sent.txn} {method}, limit {limit_ms} ms, {len(line)} bytes"
        )
        return sent

    def close(self) -> None:
        self._writer.transport.abort()

    async def _read(self) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while line := await self._reader.readline():
                now_s = time.time()
                answer = json.loads(line)
                sent = self._open.get(answer.get("id") or 0)
                if sent is None:
                    self._record.add(f"client {self.name}: an answer to no request: {line[:200]!r}")
                    continue
                sent.answers.append((now_s, answer))
                what = "result" if "result" in answer else f"error {answer['error']['code']}"
                self._record.add(f"client {self.name}: gets for {sent.txn}: {what}", now_s)
                sent.done.set()
        for sent in self._open.values():
            if not sent.answers:
                sent.is_cut = True
                sent.done.set()


async def is_well(port: int) -> bool:
    """Whether a router answers ``alive`` with ``"well":true``."""
    with suppress(OSError, ValueError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
            answer = json.loads(await reader.readline())
            writer.close()
            return bool(answer["result"]["well"])
    return False


# The router


class Router:
    """One router, started with the command of the deploy file in an environment of its own."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], **environment: str) -> None:
        self._record = record
        self._folder = folder
        self.port = free_port()
        self._config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self._environment = environment
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it and wait until the front would take it in."""
        file = self._folder / "config.json"
        file.write_text(json.dumps(self._config))
        scratch = self._folder / "scratch"
        scratch.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        off = self._folder / "off.toml"
        off.write_text("enabled = false\n")
        parts = ("MYSQL", "STORE", "FLEET", "CHANNEL", "COMEBACK", "QUOTA", "GATHER")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={
                **os.environ,
                **{f"SLIPBAY_{part}": str(off) for part in parts},
                "GW_CONFIG": str(file),
                "GW_NAME": "n0",
                "GW_LISTEN": f"{HOST}:{self.port}",
                "TMPDIR": str(scratch),
                **self._environment,
            },
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._log = asyncio.create_task(self._read_log())
        until_s = time.monotonic() + START_S
        while not await is_well(self.port):
            if time.monotonic() > until_s or self.process.returncode is not None:
                raise CaseError("the router did not become ready")
            await asyncio.sleep(0.1)
        self._record.add(f"router: ready, process {self.process.pid}")

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        with suppress(ValueError):
            while line := await self.process.stderr.readline():
                self._record.add(f"router log: {line.decode(errors='replace').rstrip()[:300]}")

    @property
    def has_ended(self) -> bool:
        return self.process is None or self.process.returncode is not None

    @property
    def resident_mb(self) -> float:
        """Its resident memory."""
        assert self.process is not None
        with suppress(OSError, IndexError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(
                    self.process.pid, signal.SIGKILL
                )  # send_signal would take the end from the loop's watcher

    async def end(self) -> None:
        """End the process, whatever it does."""
        if self.process is None:
            return
        self.kill()
        code = await self.process.wait()
        self._record.add(f"router: process {self.process.pid} has ended with {code}")


# A case


Play = Callable[[Record, Path], Awaitable[int]]


def run_case(play: Play, record_file: Path) -> None:
    """Play a case, write its record to ``record_file``, however it ends, and exit with its code."""
    record = Record()
    record.add("the disruption is played" if has_trouble() else "TROUBLE=0: without the disruption")
    code = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(COULD_NOT_RUN))  # then all is ended below
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(play(record, Path(temporary)))
    except Exception as problem:  # a fault of the case is no broken rule
        record.add(f"the case could not run: {type(problem).__name__}: {problem}")
        print(f"could not run: {type(problem).__name__}: {problem}", file=sys.stderr)
    finally:
        record.add(f"exit code {code}")
        record.write(record_file)
    sys.exit(code)
