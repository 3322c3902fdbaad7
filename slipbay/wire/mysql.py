"""The MySQL client/server protocol, client and server side: packets, handshake, authentication, results.

Connections to clients and to engines use the same capabilities, ``CAPABILITIES``, even if the other side has
more, so that the packets of an engine's answer are passed to a client unchanged.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from struct import Struct, error

from slipbay.errors import SlipbayError

# Capability flags
LONG_PASSWORD = 1 << 0
CONNECT_WITH_DB = 1 << 3
PROTOCOL_41 = 1 << 9
SSL = 1 << 11
TRANSACTIONS = 1 << 13
SECURE_CONNECTION = 1 << 15
PLUGIN_AUTH = 1 << 19
CONNECT_ATTRS = 1 << 20
PLUGIN_AUTH_LENENC = 1 << 21
CAPABILITIES = (
    LONG_PASSWORD
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | PLUGIN_AUTH
    | CONNECT_ATTRS
    | PLUGIN_AUTH_LENENC
)
REQUIRED_CAPABILITIES = PROTOCOL_41 | SECURE_CONNECTION

# Commands
COM_QUIT = 0x01
COM_INIT_DB = 0x02
COM_QUERY = 0x03
COM_PING = 0x0E
COM_STMT_PREPARE = 0x16
COM_STMT_EXECUTE = 0x17
COM_STMT_SEND_LONG_DATA = 0x18
COM_STMT_CLOSE = 0x19
COM_STMT_RESET = 0x1A
COM_STMT_FETCH = 0x1C
COM_RESET_CONNECTION = 0x1F

# Errors of the server, and their SQLSTATEs
ER_CON_COUNT = 1040
ER_HANDSHAKE = 1043
ER_ACCESS_DENIED = 1045
ER_UNKNOWN_COM = 1047
ER_BAD_DB = 1049
ER_SERVER_SHUTDOWN = 1053
ER_NO_SUCH_THREAD = 1094
ER_UNKNOWN_CHARSET = 1115
ER_PACKET_TOO_LARGE = 1153
ER_TOO_MANY_USER_CONNECTIONS = 1203
ER_WRONG_ARGUMENTS = 1210
ER_USER_LIMIT = 1226
ER_NOT_SUPPORTED = 1235
ER_UNKNOWN_STMT = 1243
ER_QUERY_INTERRUPTED = 1317
ER_MAX_PREPARED = 1461
ER_MALFORMED_PACKET = 1835
ER_QUERY_TIMEOUT = 3024
ER_SECURE_TRANSPORT = 3159
# Errors of the router itself, outside of the numbers that servers use
ER_FAILED = 9500
ER_REJECTED = 9503
SQLSTATES = {
    ER_CON_COUNT: "08004",
    ER_HANDSHAKE: "08S01",
    ER_ACCESS_DENIED: "28000",
    ER_UNKNOWN_COM: "08S01",
    ER_BAD_DB: "42000",
    ER_SERVER_SHUTDOWN: "08S01",
    ER_UNKNOWN_CHARSET: "42000",
    ER_PACKET_TOO_LARGE: "08S01",
    ER_TOO_MANY_USER_CONNECTIONS: "42000",
    ER_USER_LIMIT: "42000",
    ER_NOT_SUPPORTED: "42000",
    ER_QUERY_INTERRUPTED: "70100",
    ER_MAX_PREPARED: "42000",
    ER_FAILED: "58000",
    ER_REJECTED: "53000",
}

NATIVE = "mysql_native_password"
CACHING_SHA2 = "caching_sha2_password"
UTF8MB4 = 45  # utf8mb4_general_ci; all servers since 5.5 have it
STATUS_AUTOCOMMIT = 2
MAX_PACKET_PAYLOAD_BYTES = 0xFFFFFF
PACKET_HEAD_BYTES = 4
PROTOCOL_VERSION = 10
MAX_EOF_BYTES = 8  # a row with the same first byte is longer
NULL = 0xFB  # in place of a length; smaller numbers are encoded as one byte
OK = 0x00
EOF = 0xFE
ERR = 0xFF
LOCAL_INFILE = 0xFB
MORE_DATA = 0x01
AUTH_SWITCH = 0xFE
FAST_AUTH_OK = 0x03

_U16 = Struct("<H")
_U32 = Struct("<I")
_HANDSHAKE_HEAD = Struct("<IIB23x")  # capabilities, longest packet, character set
_EXECUTE_HEAD = Struct("<IBI")  # statement, cursor type, iterations
_PREPARE_HEAD = Struct("<BIHHxH")  # status, statement, columns, parameters, warnings


class MalformedPacketError(SlipbayError):
    """A packet violates the protocol."""


class PacketTooLargeError(SlipbayError):
    """A payload exceeds the limit; the input can't be parsed any further."""


class Packets:
    """Parses bytes, split in any way, into payloads with the sequence number of their last packet."""

    def __init__(self, max_payload_bytes: int) -> None:
        self.max_payload_bytes = max_payload_bytes
        self._data = bytearray()
        self._payload = bytearray()  # packets received so far of a payload in several packets

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Complete payloads in order. Payloads not taken from this iterator are returned by the next call."""
        self.append(data)
        return iter(self.next_payload, None)

    def append(self, data: bytes) -> None:
        """Buffer received bytes."""
        self._data += data

    def next_payload(self) -> tuple[int, bytes] | None:
        """Remove and return the next complete payload; None if there is none.

        Raises:
            PacketTooLargeError: if the payload exceeds the limit, complete or not.
        """
        while len(self._data) >= PACKET_HEAD_BYTES:
            size = int.from_bytes(self._data[:3], "little")
            sequence = self._data[3]
            if len(self._payload) + size > self.max_payload_bytes:
                raise PacketTooLargeError
            if len(self._data) < PACKET_HEAD_BYTES + size:
                return None
            self._payload += self._data[PACKET_HEAD_BYTES : PACKET_HEAD_BYTES + size]
            del self._data[: PACKET_HEAD_BYTES + size]
            if size < MAX_PACKET_PAYLOAD_BYTES:
                payload = bytes(self._payload)
                self._payload.clear()
                return sequence, payload
        return None

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that are not returned yet."""
        return len(self._data) + len(self._payload)

    def clear(self) -> None:
        """Drop all buffered bytes."""
        self._data = bytearray()
        self._payload = bytearray()

    def rest(self) -> bytes:
        """Remove and return the unparsed bytes, as the connection switches to another protocol."""
        rest = bytes(self._data)
        self._data.clear()
        return rest


def packets(payloads: Iterable[bytes], sequence: int) -> tuple[bytes, int]:
    """Encode payloads as packets, numbered from ``sequence`` on; also returns the number after the last."""
    encoded: list[bytes] = []
    for payload in payloads:
        start = 0
        while True:
            chunk = payload[start : start + MAX_PACKET_PAYLOAD_BYTES]
            encoded += [len(chunk).to_bytes(3, "little"), bytes([sequence % 256]), chunk]
            sequence += 1
            start += MAX_PACKET_PAYLOAD_BYTES
            if len(chunk) < MAX_PACKET_PAYLOAD_BYTES:
                break
    return b"".join(encoded), sequence % 256


class Reader:
    """Reads the fields of a payload in order."""

    def __init__(self, payload: bytes, position: int = 0) -> None:
        self.payload = payload
        self.position = position

    def take(self, size: int) -> bytes:
        """The next ``size`` bytes.

        Raises:
            MalformedPacketError: if fewer bytes are left.
        """
        if size < 0 or self.position + size > len(self.payload):
            raise MalformedPacketError("a packet ends inside a field")
        self.position += size
        return self.payload[self.position - size : self.position]

    def number(self, size: int) -> int:
        """The next little-endian number of ``size`` bytes."""
        return int.from_bytes(self.take(size), "little")

    def lenenc(self) -> int:
        """The next length-encoded integer.

        Raises:
            MalformedPacketError: if a NULL or an error is in its place.
        """
        first = self.number(1)
        if first < NULL:
            return first
        if first in (NULL, ERR):
            raise MalformedPacketError("no length stands where one is wanted")
        return self.number({0xFC: 2, 0xFD: 3, 0xFE: 8}[first])

    def null_terminated(self) -> bytes:
        """The next NUL-terminated string, without the NUL."""
        end = self.payload.find(b"\0", self.position)
        if end < 0:
            raise MalformedPacketError("a string does not end")
        text = self.payload[self.position : end]
        self.position = end + 1
        return text

    def lenenc_bytes(self) -> bytes:
        """The next length-encoded string."""
        return self.take(self.lenenc())

    def rest(self) -> bytes:
        """All remaining bytes."""
        return self.take(len(self.payload) - self.position)

    @property
    def left(self) -> int:
        """Number of remaining bytes."""
        return len(self.payload) - self.position


def lenenc(value: int) -> bytes:
    """Encode a length-encoded integer."""
    if value < NULL:
        return bytes([value])
    for prefix, size in ((0xFC, 2), (0xFD, 3)):
        if value < 1 << (8 * size):
            return bytes([prefix]) + value.to_bytes(size, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def lenenc_bytes(value: bytes) -> bytes:
    """Encode a length-encoded string."""
    return lenenc(len(value)) + value


# Answers of a server


def ok(affected_rows: int = 0, status: int = STATUS_AUTOCOMMIT) -> bytes:
    """Encode an OK packet; ``affected_rows``: their number."""
    return b"\0" + lenenc(affected_rows) + b"\0" + _U16.pack(status) + b"\0\0"


def eof(status: int = STATUS_AUTOCOMMIT) -> bytes:
    """Encode an EOF packet, which ends a sequence of definitions or rows."""
    return bytes([EOF]) + b"\0\0" + _U16.pack(status)


@dataclass(slots=True, frozen=True)
class ErrorPacket:
    """Fields of an error packet."""

    code: int
    sqlstate: str
    message: str


def err(code: int, message: str) -> bytes:
    """Encode an error packet with the SQLSTATE of its code."""
    return (
        bytes([ERR]) + _U16.pack(code) + b"#" + SQLSTATES.get(code, "HY000").encode() + message.encode()[:512]
    )


def read_err(payload: bytes) -> ErrorPacket:
    """Parse an error packet with or without a SQLSTATE."""
    reader = Reader(payload, 1)
    code = reader.number(2)
    rest = reader.rest()
    state, message = (rest[1:6], rest[6:]) if rest[:1] == b"#" else (b"HY000", rest)
    return ErrorPacket(code, state.decode("ascii", "replace"), message.decode("utf-8", "replace"))


def is_eof(payload: bytes) -> bool:
    """Whether a payload is an EOF packet, and not a row with the same first byte."""
    return payload[:1] == b"\xfe" and len(payload) <= MAX_EOF_BYTES


# Handshake


@dataclass(slots=True, frozen=True)
class Greeting:
    """A server's first packet."""

    connection: int
    challenge: bytes  # 20 bytes
    plugin: str
    capabilities: int = CAPABILITIES
    version: str = "8.0.36-slipbay"


def greeting(fields: Greeting) -> bytes:
    """Encode a greeting."""
    return b"".join(
        (
            b"\x0a",
            fields.version.encode(),
            b"\0",
            _U32.pack(fields.connection),
            fields.challenge[:8],
            b"\0",
            _U16.pack(fields.capabilities & 0xFFFF),
            bytes([UTF8MB4]),
            _U16.pack(STATUS_AUTOCOMMIT),
            _U16.pack(fields.capabilities >> 16),
            bytes([len(fields.challenge) + 1]),
            bytes(10),
            fields.challenge[8:],
            b"\0",
            fields.plugin.encode(),
            b"\0",
        )
    )


def read_greeting(payload: bytes) -> Greeting:
    """Parse a server's greeting.

    Raises:
        MalformedPacketError: if it is truncated, of another protocol version, or from too old a server.
    """
    reader = Reader(payload)
    if reader.number(1) != PROTOCOL_VERSION:
        raise MalformedPacketError("the server's handshake is not of version 10")
    version = reader.null_terminated()
    connection = reader.number(4)
    challenge = reader.take(8)
    reader.take(1)
    capabilities = reader.number(2)
    reader.take(3)
    capabilities |= reader.number(2) << 16
    size = reader.number(1)
    reader.take(10)
    if capabilities & REQUIRED_CAPABILITIES != REQUIRED_CAPABILITIES:
        raise MalformedPacketError("the server is too old")
    challenge += reader.take(max(13, size - 8))[:12]
    plugin = reader.null_terminated().decode("ascii", "replace") if capabilities & PLUGIN_AUTH else NATIVE
    return Greeting(connection, challenge, plugin, capabilities, version.decode("latin-1"))


@dataclass(slots=True, frozen=True)
class Login:
    """A client's handshake response, or if ``user`` is None the TLS request that precedes it."""

    capabilities: int
    charset: int
    user: str | None = None
    auth_response: bytes = b""
    database: str = ""
    plugin: str = NATIVE


def login(fields: Login) -> bytes:
    """Encode a client's handshake response.

    Raises:
        ValueError: if it has no user.
    """
    if fields.user is None:
        raise ValueError("want a user")
    return b"".join(
        (
            _HANDSHAKE_HEAD.pack(fields.capabilities, MAX_PACKET_PAYLOAD_BYTES, fields.charset),
            fields.user.encode(),
            b"\0",
            lenenc_bytes(fields.auth_response),
            fields.database.encode() + b"\0" if fields.capabilities & CONNECT_WITH_DB else b"",
            fields.plugin.encode(),
            b"\0",
        )
    )


def read_login(payload: bytes) -> Login:
    """Parse a client's handshake response or TLS request.

    Raises:
        MalformedPacketError: if it is truncated, or from a client that is too old.
    """
    if len(payload) < _HANDSHAKE_HEAD.size:
        raise MalformedPacketError("the client's answer is too short")
    capabilities, _, charset = _HANDSHAKE_HEAD.unpack_from(payload)
    if capabilities & REQUIRED_CAPABILITIES != REQUIRED_CAPABILITIES:
        raise MalformedPacketError("the client is too old")
    if len(payload) == _HANDSHAKE_HEAD.size and capabilities & SSL:
        return Login(capabilities, charset)
    reader = Reader(payload, _HANDSHAKE_HEAD.size)
    user = reader.null_terminated()
    auth_response = (
        reader.lenenc_bytes() if capabilities & PLUGIN_AUTH_LENENC else reader.take(reader.number(1))
    )
    database = reader.null_terminated() if capabilities & CONNECT_WITH_DB and reader.left else b""
    plugin = NATIVE
    if capabilities & PLUGIN_AUTH and reader.left:
        plugin = reader.null_terminated().decode("ascii", "replace")
    return Login(
        capabilities,
        charset,
        user.decode("utf-8", "replace"),
        auth_response,
        database.decode("utf-8", "replace"),
        plugin,
    )


def tls_request(capabilities: int, charset: int) -> bytes:
    """Encode a client's TLS request."""
    return _HANDSHAKE_HEAD.pack(capabilities | SSL, MAX_PACKET_PAYLOAD_BYTES, charset)


def compute_auth_response(plugin: str, password: bytes, challenge: bytes) -> bytes | None:
    """A client's answer to an authentication challenge, from the password; None if the plugin is unknown."""
    if plugin not in (NATIVE, CACHING_SHA2):
        return None
    if not password:
        return b""
    digest = hashlib.sha1 if plugin == NATIVE else hashlib.sha256
    password_digest = digest(password).digest()
    double_digest = digest(password_digest).digest()
    mask = digest(challenge + double_digest if plugin == NATIVE else double_digest + challenge).digest()
    return bytes(a ^ b for a, b in zip(password_digest, mask, strict=True))


def auth_switch(plugin: str, challenge: bytes) -> bytes:
    """Encode the request that a client authenticates with another plugin."""
    return bytes([AUTH_SWITCH]) + plugin.encode() + b"\0" + challenge + b"\0"


def read_auth_switch(payload: bytes) -> tuple[str, bytes]:
    """Plugin and challenge of a server's request for another plugin."""
    reader = Reader(payload, 1)
    return reader.null_terminated().decode("ascii", "replace"), reader.rest()[:20]


# Prepared statements


@dataclass(slots=True, frozen=True)
class Prepared:
    """An engine's description of a prepared statement; the definitions are passed to the client unchanged."""

    columns: int
    parameters: int
    definitions: tuple[bytes, ...]  # of parameters, then of columns, each sequence with its EOF
    warnings: int = 0


def prepared(statement: int, description: Prepared) -> list[bytes]:
    """Encode the answer to a prepare, with a statement number."""
    head = _PREPARE_HEAD.pack(0, statement, description.columns, description.parameters, description.warnings)
    return [head, *description.definitions]


def statement_of(payload: bytes) -> int:
    """The statement number of a command, which follows the command's byte."""
    return Reader(payload, 1).number(4)


@dataclass(slots=True)
class Execution:
    """An execution that can be sent to any engine, as it always includes the types."""

    nulls: bytes
    types: bytes
    values: bytes
    long_data: dict[int, bytes] = field(default_factory=dict)


def read_execute(payload: bytes, parameters: int, types: bytes, long_data: dict[int, bytes]) -> Execution:
    """Parse an execution; ``types``: those of an earlier execution, used if this one has none."""
    try:
        _, cursor, _ = _EXECUTE_HEAD.unpack_from(payload, 1)
    except error:
        raise MalformedPacketError("an execution is too short") from None
    if cursor:
        raise NotImplementedError("cursors")
    if not parameters:
        return Execution(b"", b"", b"")
    reader = Reader(payload, 1 + _EXECUTE_HEAD.size)
    nulls = reader.take((parameters + 7) // 8)
    if reader.number(1):
        types = reader.take(2 * parameters)
    if len(types) != 2 * parameters:
        raise MalformedPacketError("an execution tells no types for its parameters")
    return Execution(nulls, types, reader.rest(), long_data)


def execute(statement: int, run: Execution) -> bytes:
    """Encode the execution of a prepared statement."""
    head = bytes([COM_STMT_EXECUTE]) + _EXECUTE_HEAD.pack(statement, 0, 1)
    return head + (run.nulls + b"\x01" + run.types + run.values if run.types else b"")


def long_data(statement: int, parameter: int, data: bytes) -> bytes:
    """Encode a chunk of a long parameter."""
    return bytes([COM_STMT_SEND_LONG_DATA]) + _U32.pack(statement) + _U16.pack(parameter) + data


def read_long_data(payload: bytes) -> tuple[int, int, bytes]:
    """Statement, parameter and data of a chunk of a long parameter."""
    reader = Reader(payload, 1)
    return reader.number(4), reader.number(2), reader.rest()


def close_statement(statement: int) -> bytes:
    """Encode the command that closes a statement; it has no answer."""
    return bytes([COM_STMT_CLOSE]) + _U32.pack(statement)


@dataclass(slots=True, frozen=True)
class Work:
    """A client's request for an engine: a statement to run as text, to prepare, or to prepare and run."""

    sql: bytes
    run: Execution | None = None
    prepare: bool = False

    @property
    def size(self) -> int:
        """Size of the statement and its parameters, bytes."""
        values = len(self.run.values) + sum(map(len, self.run.long_data.values())) if self.run else 0
        return len(self.sql) + values


class ResultReader:
    """Reads the packets of one answer up to its end: OK, an error, or rows."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self._remaining_eofs = -1  # EOF packets until the end of the answer; -1 before the first packet

    def feed(self, payload: bytes) -> bool:
        """Add a payload; true if the answer is complete."""
        self.payloads.append(payload)
        first = payload[0] if payload else LOCAL_INFILE
        if first == LOCAL_INFILE and self._remaining_eofs < 0:
            raise MalformedPacketError("an answer that can't be passed to the client")
        if first == ERR:
            return True
        if self._remaining_eofs < 0:
            self._remaining_eofs = 2
            return first == OK
        self._remaining_eofs -= is_eof(payload)
        return not self._remaining_eofs


def read_uptime(payloads: list[bytes]) -> int | None:
    """Seconds since the start of the server, from its answer to ``SHOW GLOBAL STATUS LIKE 'Uptime'``; None if
    the answer has no uptime."""
    for payload in payloads[1:]:
        name, _, value = payload[1:].partition(b"Uptime")
        if not name and payload[:1] == b"\x06" and value[1:].isdigit():
            return int(value[1:])
    return None


class PrepareReader:
    """Reads the packets of the answer to a prepare."""

    def __init__(self) -> None:
        self.error: bytes | None = None
        self.statement = 0
        self._head: tuple[int, int, int] | None = None
        self._definitions: list[bytes] = []
        self._remaining_eofs = 0

    def feed(self, payload: bytes) -> bool:
        """Add a payload; true if the answer is complete."""
        if self._head is None:
            if payload[:1] == b"\xff":
                self.error = payload
                return True
            if len(payload) < _PREPARE_HEAD.size or payload[0]:
                raise MalformedPacketError("invalid answer to a prepare")
            _, self.statement, columns, parameters, warnings = _PREPARE_HEAD.unpack_from(payload)
            self._head = columns, parameters, warnings
            self._remaining_eofs = bool(columns) + bool(parameters)
            return not self._remaining_eofs
        self._definitions.append(payload)
        self._remaining_eofs -= is_eof(payload)
        return not self._remaining_eofs

    @property
    def description(self) -> Prepared:
        """The engine's description of the statement.

        Raises:
            MalformedPacketError: if the answer is an error, or has not arrived.
        """
        if self._head is None:
            raise MalformedPacketError("no answer to a prepare")
        columns, parameters, warnings = self._head
        return Prepared(columns, parameters, tuple(self._definitions), warnings)
