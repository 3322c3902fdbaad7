"""Stand-ins for MySQL clients and servers; their packets are written from the public protocol description,
without the code under test."""

from __future__ import annotations

import asyncio
import hashlib
import ssl
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from loopback import HOST, quietly, serve

SECRET = b"oil"


def scramble(password: bytes, challenge: bytes) -> bytes:
    """caching_sha2_password: XOR(SHA256(p), SHA256(SHA256(SHA256(p)), challenge))."""
    password_digest = hashlib.sha256(password).digest()
    mask = hashlib.sha256(hashlib.sha256(password_digest).digest() + challenge).digest()
    return bytes(a ^ b for a, b in zip(password_digest, mask, strict=True))


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readexactly(4)
    return head[3], await reader.readexactly(int.from_bytes(head[:3], "little"))


def packet(sequence: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3, "little") + bytes([sequence % 256]) + payload


def packets(first: int, *payloads: bytes) -> bytes:
    return b"".join(packet(first + n, payload) for n, payload in enumerate(payloads))


OK = b"\0\0\0\2\0\0\0"
EOF = b"\xfe\0\0\2\0"


def text(value: str) -> bytes:
    return bytes([len(value)]) + value.encode()


def column(name: str) -> bytes:
    return b"\3def\0\0\0" + text(name) + b"\0\x0c\x2d\0\xff\0\0\0\xfd\0\0\0\0\0"


def error(code: int, state: str, message: str) -> bytes:
    return b"\xff" + struct.pack("<H", code) + b"#" + state.encode() + message.encode()


class Cut(Exception):
    """The engine aborts the connection at this point."""


Fault = Callable[[str], Awaitable[None]]


async def no_fault(point: str) -> None:
    pass


class MysqlEngine:
    """A server that counts executed statements. ``fault`` is called at each step of a command."""

    def __init__(self, fault: Fault = no_fault, first_thread: int = 1) -> None:
        self.fault = fault
        self._next_thread = first_thread
        self.threads: dict[int, asyncio.StreamWriter] = {}
        self.running: dict[int, bytes] = {}  # statement text or parameters in execution, by thread
        self.executed: Counter[bytes] = Counter()
        self.prepared: list[bytes] = []
        self.killed: list[int] = []
        self.commands: list[bytes] = []
        self.uptime_s = 10_000
        self.hold: asyncio.Event | None = None  # if set, executions wait for this event

    async def start(self) -> None:
        self.server, self.port = await serve(lambda r, w: quietly(self._serve(r, w)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        thread = self._next_thread
        self._next_thread = self._next_thread + 1
        self.threads[thread] = writer
        try:
            await self.fault("accepted")
            challenge = b"abcdefghijklmnopqrst"
            writer.write(
                packet(
                    0,
                    b"\x0a8.0.36\0"
                    + struct.pack("<I", thread)
                    + challenge[:8]
                    + b"\0"
                    + b"\x08\x82\x2d\2\0\x08\0\x15"
                    + bytes(10)
                    + challenge[8:]
                    + b"\0"
                    + b"caching_sha2_password\0",
                )
            )
            sequence, login = await read_packet(reader)
            assert scramble(SECRET, challenge) in login
            writer.write(packets(sequence + 1, b"\1\3", OK))
            await self._commands(reader, writer, thread)
        except Cut:
            writer.transport.abort()
        finally:
            if thread not in self.running:  # else the statement runs on without a client until it is killed
                self.threads.pop(thread, None)

    async def _commands(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, thread: int
    ) -> None:
        statements: dict[int, bytes] = {}
        while True:
            _, command = await read_packet(reader)
            code = command[0]
            rest = command[1:]
            self.commands.append(command)
            if code == 0x0E:
                writer.write(packet(1, OK))
            elif code == 0x16:
                await self.fault("prepare")
                number = len(statements) + 10 * thread  # numbers differ by engine and by connection
                statements[number] = rest
                self.prepared.append(rest)
                count = rest.count(b"?")
                writer.write(
                    packets(
                        1,
                        b"\0" + struct.pack("<IHHxH", number, 0, count, 0),
                        *([column("?")] * count),
                        *([EOF] if count else []),
                    )
                )
            elif code == 0x17:
                await self.fault("execute")
                statement = statements[struct.unpack("<I", rest[:4])[0]]
                await self._run(writer, thread, statement + b"|" + rest[9:])
            elif code == 0x03 and rest.startswith(b"KILL "):
                self._kill(writer, int(rest[5:]))
            elif code == 0x03 and b"'Uptime'" in rest:
                writer.write(
                    packets(
                        1,
                        b"\2",
                        column("Variable_name"),
                        column("Value"),
                        EOF,
                        text("Uptime") + text(str(self.uptime_s)),
                        EOF,
                    )
                )
            elif code == 0x03:
                await self.fault("execute")
                await self._run(writer, thread, rest)

    def _kill(self, writer: asyncio.StreamWriter, thread: int) -> None:
        if thread in self.threads:
            self.killed.append(thread)
            self.threads[thread].transport.abort()
            self.running.pop(thread, None)
            del self.threads[thread]
            writer.write(packet(1, OK))
        else:
            writer.write(packet(1, error(1094, "HY000", "Unknown thread id")))

    async def _run(self, writer: asyncio.StreamWriter, thread: int, execution: bytes) -> None:
        self.executed[execution] += 1
        self.running[thread] = execution
        if self.hold is not None:
            await self.hold.wait()
        await self.fault("executed")
        if self.running.pop(thread, None) is None:
            raise Cut  # killed meanwhile
        if b"broken" in execution:
            writer.write(packet(1, error(1064, "42000", "You have an error in your SQL syntax")))
            return
        answer = packets(1, b"\1", column("a"), EOF, text("x" * 100), EOF)
        writer.write(answer[:40])
        await self.fault("answering")
        writer.write(answer[40:])


class MysqlError(Exception):
    def __init__(self, payload: bytes) -> None:
        self.code = struct.unpack("<H", payload[1:3])[0]
        self.state, self.text = payload[4:9].decode(), payload[9:].decode()
        super().__init__(self.code, self.state, self.text)


class MysqlClient:
    """A MySQL client of an office application."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(
        cls,
        port: int,
        user: str = "office",
        password: bytes = SECRET,
        database: str = "",
        tls: ssl.SSLContext | None = None,
        charset: int = 45,
    ) -> MysqlClient:
        reader, writer = await asyncio.open_connection(HOST, port)
        client = cls(reader, writer)
        _, greeting = await read_packet(reader)
        version_end = greeting.index(b"\0", 1) + 1
        challenge = (
            greeting[version_end + 4 : version_end + 12] + greeting[version_end + 31 : version_end + 43]
        )
        flags = 0x00288201 | (0x800 if tls else 0) | (8 if database else 0)
        sequence = 1
        if tls is not None:
            writer.write(packet(1, struct.pack("<IIB23x", flags, 1 << 24, charset)))
            await writer.start_tls(tls)
            sequence = 2
        auth_response = scramble(password, challenge)
        writer.write(
            packet(
                sequence,
                struct.pack("<IIB23x", flags, 1 << 24, charset)
                + user.encode()
                + b"\0"
                + bytes([len(auth_response)])
                + auth_response
                + (database.encode() + b"\0" if database else b"")
                + b"caching_sha2_password\0",
            )
        )
        while True:
            _, payload = await read_packet(reader)
            if payload[0] == 0xFF:
                raise MysqlError(payload)
            if payload[0] == 0:
                return client

    def command(self, code: int, rest: bytes = b"") -> None:
        self.writer.write(packet(0, bytes([code]) + rest))

    async def answer(self) -> bytes:
        sequence, payload = await read_packet(self.reader)
        assert sequence == 1
        if payload[0] == 0xFF:
            raise MysqlError(payload)
        return payload

    async def result(self) -> list[bytes]:
        """The rows of an answer, or none for OK."""
        payload = await self.answer()
        rows: list[bytes] = []
        if payload[0]:
            remaining_eofs = 2
            while remaining_eofs:
                _, payload = await read_packet(self.reader)
                if payload[0] == 0xFE:
                    remaining_eofs -= 1
                elif remaining_eofs == 1:
                    rows.append(payload)
        return rows

    async def query(self, statement: str) -> list[bytes]:
        self.command(0x03, statement.encode())
        return await self.result()

    async def prepare(self, statement: str) -> int:
        self.command(0x16, statement.encode())
        payload = await self.answer()
        number, columns, parameters = struct.unpack("<IHH", payload[1:9])
        for count in (parameters, columns):
            for _ in range(count + bool(count)):
                await read_packet(self.reader)
        return int(number)

    def send_execute(self, statement: int, *values: str, bind: bool = True, cursor: int = 0) -> None:
        nulls = bytes((len(values) + 7) // 8)
        self.command(
            0x17,
            struct.pack("<IBI", statement, cursor, 1)
            + (
                nulls + (b"\1" + b"\xfd\0" * len(values) if bind else b"\0") + b"".join(map(text, values))
                if values
                else b""
            ),
        )

    async def execute(self, statement: int, *values: str, **options: Any) -> list[bytes]:
        self.send_execute(statement, *values, **options)
        return await self.result()


def mysql_file(folder: Path, *engines: MysqlEngine, extra: str = "", deadlines: str = "") -> Path:
    """A configuration file; ports are free ones."""
    (folder / "secret").write_bytes(SECRET + b"\n")
    addresses = "\n".join(f's-{number} = "{HOST}:{engine.port}"' for number, engine in enumerate(engines))
    file = folder / "mysql.toml"
    file.write_text(f"""
        enabled = true
        listen = "{HOST}:0"
        max_packet_bytes = 65536
        [classes]
        read = "lookup"
        write = "ticket-load"
        prepare = "lookup"
        rules = [{{ pattern = 'group by', class = "report" }}]
        [deadline_ms]
        report = 15000
        {deadlines}
        [users.office]
        tenant = "ishikari-fuel"
        password_file = "secret"
        [engine_login]
        user = "slipbay"
        password_file = "secret"
        [engines]
        {addresses}
        {extra}""")
    return file
