"""Stand-ins that speak the MySQL protocol, written from its public description: an engine and a client."""

from __future__ import annotations

import asyncio
import hashlib
import re
import struct
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from support import HOST, Record

PASSWORD = b"oil"
CHALLENGE = b"abcdefghijklmnopqrst"
OK = b"\0\0\0\2\0\0\0"
EOF = b"\xfe\0\0\2\0"
UNKNOWN_THREAD = b"\xff" + struct.pack("<H", 1094) + b"#HY000Unknown thread id"
COM_QUIT, COM_QUERY, COM_PING = 1, 3, 14
COM_STMT_PREPARE, COM_STMT_EXECUTE, COM_STMT_CLOSE = 0x16, 0x17, 0x19
STRING_TYPE = b"\xfd\0"
TAG = re.compile(rb"tag-[a-z0-9-]+")  # in each statement or its values: the request that it belongs to
# protocol 4.1, transactions, secure connection, plugin authentication; a schema may be named
CLIENT_FLAGS = 0x00288201
REFUSED = 9503  # the router's refusal
ROWS_AT_ONCE = 36 * 256  # so that the sequence numbers of each block are the same


def packet(sequence: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3, "little") + bytes([sequence % 256]) + payload


def packets(first: int, *payloads: bytes) -> bytes:
    return b"".join(packet(first + number, payload) for number, payload in enumerate(payloads))


def text(value: bytes) -> bytes:
    return bytes([len(value)]) + value


def column(name: bytes) -> bytes:
    return b"\3def\0\0\0" + text(name) + b"\0\x0c\x2d\0\xff\0\0\0\xfd\0\0\0\0\0"


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readexactly(4)
    return head[3], await reader.readexactly(int.from_bytes(head[:3], "little"))


def greeting(thread: int) -> bytes:
    return (
        b"\x0a8.0.36\0"
        + struct.pack("<I", thread)
        + CHALLENGE[:8]
        + b"\0"
        + b"\x08\x82\x2d\2\0\x08\0\x15"
        + bytes(10)
        + CHALLENGE[8:]
        + b"\0"
        + b"caching_sha2_password\0"
    )


def proof_of(password: bytes, challenge: bytes) -> bytes:
    """The answer of caching_sha2_password to a challenge."""
    digest = hashlib.sha256(password).digest()
    mask = hashlib.sha256(hashlib.sha256(digest).digest() + challenge).digest()
    return bytes(a ^ b for a, b in zip(digest, mask, strict=True))


class MysqlEngine:
    """A server whose statements take ``work_s``; the answers to those that ``is_spoilt`` picks never end."""

    def __init__(self, name: str, record: Record, work_s: float, is_spoilt: Callable[[bytes], bool]) -> None:
        self.name = name
        self._record = record
        self._work_s = work_s
        self._is_spoilt = is_spoilt
        self.is_cut: Callable[[bytes], bool] = lambda _tag: False  # whether a reply breaks off
        self.executed: Counter[bytes] = Counter()  # by tag: how often its statement ran to its end
        self._threads: dict[int, asyncio.StreamWriter] = {}
        self._last_thread = 0
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Its entry in the list of engines."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "room-a",
            "class": "std-8",
            "block": 0,
            "health": "SERVING",
            "share": 1,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._last_thread += 1
        thread = self._last_thread
        self._threads[thread] = writer
        statements: dict[int, bytes] = {}
        with suppress(OSError, asyncio.IncompleteReadError):
            writer.write(packet(0, greeting(thread)))
            sequence, _ = await read_packet(reader)
            writer.write(packet(sequence + 1, OK))
            while True:
                _, command = await read_packet(reader)
                if command[0] == COM_QUIT:
                    break
                await self._command(command, writer, statements)
        self._threads.pop(thread, None)
        writer.transport.abort()

    async def _command(
        self, command: bytes, writer: asyncio.StreamWriter, statements: dict[int, bytes]
    ) -> None:
        if command[0] == COM_PING:
            writer.write(packet(1, OK))
        elif command[1:].startswith(b"KILL "):
            victim = self._threads.pop(int(command[6:]), None)
            if victim is not None:
                victim.transport.abort()
            writer.write(packet(1, UNKNOWN_THREAD if victim is None else OK))
        elif command[0] == COM_QUERY:
            await self._run(command[1:], writer)
        elif command[0] == COM_STMT_PREPARE:
            number = len(statements) + 1
            statements[number] = command[1:]
            count = command.count(b"?")
            head = b"\0" + struct.pack("<IHHxH", number, 0, count, 0)
            writer.write(packets(1, head, *[column(b"?")] * count, *[EOF] * bool(count)))
        elif command[0] == COM_STMT_EXECUTE:
            statement = statements[struct.unpack("<I", command[1:5])[0]]
            await self._execute(statement, command[10:], writer)
        elif command[0] != COM_STMT_CLOSE:
            raise OSError("a command that no client here sends")

    async def _execute(self, statement: bytes, values: bytes, writer: asyncio.StreamWriter) -> None:
        """Run a prepared statement that writes; its reply may break off after a few bytes."""
        found = TAG.search(values)
        if found is None:
            raise OSError("an execution without its tag")
        tag = found[0]
        await asyncio.sleep(self._work_s)
        self.executed[tag] += 1
        self._record.add(f"engine {self.name}: has run {tag.decode()}: {statement.decode()}")
        reply = packet(1, b"\0\1\0\2\0\0\0")
        if self.is_cut(tag):
            self._record.add(f"engine {self.name}: its connection drops in the reply to {tag.decode()}")
            writer.write(reply[:6])
            raise OSError("the connection drops")
        writer.write(reply)

    async def _run(self, statement: bytes, writer: asyncio.StreamWriter) -> None:
        self._record.add(f"engine {self.name}: runs {statement.decode()}")
        is_spoilt = self._is_spoilt(statement)
        await asyncio.sleep(self._work_s)
        head = (b"\3", column(b"a"), column(b"b"), column(b"c"), EOF)
        if not is_spoilt:
            writer.write(packets(1, *head, text(statement[-20:]) + text(b"done") + text(b"1"), EOF))
            return
        self._record.add(f"engine {self.name}: its answer to {statement.decode()} is spoilt and does not end")
        writer.write(packets(1, *head))
        block = packets(len(head) + 1, *[text(b"") * 3] * ROWS_AT_ONCE)
        while not writer.transport.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(0)


class MysqlClient:
    """A sound client: one statement after another, each answered before the next."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record

    async def connect(self, port: int, user: bytes) -> None:
        self._reader, self._writer = await asyncio.open_connection(HOST, port)
        _, payload = await read_packet(self._reader)
        start = payload.index(b"\0", 1) + 5
        proof = proof_of(PASSWORD, payload[start : start + 8] + payload[start + 27 : start + 39])
        login = struct.pack("<IIB23x", CLIENT_FLAGS, 1 << 24, 45) + user + b"\0" + text(proof)
        self._writer.write(packet(1, login + b"caching_sha2_password\0"))
        while True:
            _, payload = await read_packet(self._reader)
            if payload[0] == 0xFF:
                raise OSError(f"the login failed: {payload!r}")
            if payload[0] == 0:
                return

    async def query(self, statement: bytes) -> str:
        """``served``, ``error CODE``, or ``cut`` if the connection ends first."""
        self._record.add(f"client {self.name}: sends {statement.decode()}")
        self._writer.write(packet(0, bytes([COM_QUERY]) + statement))
        try:
            answer = await self._answer()
        except (OSError, asyncio.IncompleteReadError):
            answer = "cut"
        self._record.add(f"client {self.name}: gets for {statement.decode()}: {answer}", time.time())
        return answer

    async def prepare(self, statement: bytes) -> int:
        """The number of a prepared statement."""
        while True:
            self._writer.write(packet(0, bytes([COM_STMT_PREPARE]) + statement))
            _, payload = await read_packet(self._reader)
            if payload[0] != 0xFF or struct.unpack("<H", payload[1:3])[0] != REFUSED:
                break
            await asyncio.sleep(0.3)
        if payload[0] == 0xFF:
            raise OSError(f"a statement can't be prepared: {payload!r}")
        number, columns, parameters = struct.unpack("<IHH", payload[1:9])
        for count in (parameters, columns):
            for _ in range(count + bool(count)):
                await read_packet(self._reader)
        return int(number)

    async def execute(self, number: int, tag: bytes) -> str:
        """Run a prepared statement with one value; ``served``, ``error CODE`` or ``cut``."""
        self._record.add(f"client {self.name}: executes {tag.decode()}")
        values = struct.pack("<IBI", number, 0, 1) + b"\0\1" + STRING_TYPE + text(tag)
        self._writer.write(packet(0, bytes([COM_STMT_EXECUTE]) + values))
        try:
            answer = await self._answer()
        except (OSError, asyncio.IncompleteReadError):
            answer = "cut"
        self._record.add(f"client {self.name}: gets for {tag.decode()}: {answer}", time.time())
        return answer

    async def _answer(self) -> str:
        _, payload = await read_packet(self._reader)
        if payload[0] == 0xFF:
            return f"error {struct.unpack('<H', payload[1:3])[0]}"
        ends = 2 if payload[0] else 0
        while ends:
            _, payload = await read_packet(self._reader)
            ends -= payload[0] == 0xFE and len(payload) < 9
        return "served"


def operator_file(folder: Path, listen_port: int, engines: list[MysqlEngine]) -> Path:
    """The operator file of the MySQL front."""
    (folder / "secret").write_bytes(PASSWORD + b"\n")
    addresses = "\n".join(f'{engine.name} = "{HOST}:{engine.port}"' for engine in engines)
    file = folder / "mysql.toml"
    file.write_text(
        f"""enabled = true
listen = "{HOST}:{listen_port}"
[classes]
read = "lookup"
write = "ticket-load"
prepare = "lookup"
rules = [{{ pattern = "group by", class = "report" }}]
[users.office]
tenant = "ishikari-fuel"
password_file = "secret"
[engine_login]
user = "slipbay"
password_file = "secret"
[engines]
{addresses}
"""
    )
    return file
