"""One MySQL connection to an engine: login, then one command at a time."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from slipbay.backends.pool import ConnectFailure, Pool, PooledStream
from slipbay.config.model import MysqlConfig
from slipbay.log import log
from slipbay.wire import mysql

MAX_RESULT_BYTES = 4 * 1024 * 1024
PAYLOAD_OVERHEAD_BYTES = 64  # held for each payload beside its bytes
CONNECTION_LIMIT_ERRORS = (mysql.ER_CON_COUNT, mysql.ER_TOO_MANY_USER_CONNECTIONS, mysql.ER_USER_LIMIT)


class AnswerReader(Protocol):
    """Reads the packets of one answer."""

    def feed(self, payload: bytes) -> bool:
        """Add a payload; true if the answer is complete."""


class MysqlConnection(PooledStream):
    """A connection to an engine: logs in, then carries one command at a time."""

    def __init__(self, pool: Pool[PooledStream], config: MysqlConfig) -> None:
        super().__init__(pool)
        self._config = config
        self._packets = mysql.Packets(MAX_RESULT_BYTES)
        self._handle_packet: Callable[[int, bytes], None] = self._handle_greeting
        self._challenge = b""
        self._reader: AnswerReader | None = None
        self._on_done: Callable[[], None] | None = None
        self._on_interrupted: Callable[[], None] | None = None
        self._answer_bytes = 0  # held for the answer so far
        self.thread = 0  # MySQL's thread id of this connection, for KILL
        # By SQL text: the statement id and its description; the least recently used statement is first
        self.statements: OrderedDict[bytes, tuple[int, mysql.Prepared]] = OrderedDict()

    def received(self, data: bytes) -> None:
        """Parse received bytes; a malformed, unexpected or too large packet closes the connection."""
        try:
            for sequence, payload in self._packets.feed(data):
                self._handle_packet(sequence, payload)
                if self.lost:
                    return
        except (mysql.MalformedPacketError, mysql.PacketTooLargeError) as problem:
            log(
                "engine",
                f"{type(problem).__name__}: {problem}; connection closed",
                engine=self.pool.engine,
            )
            self.abort()

    def send(self, payload: bytes, sequence: int = 0) -> None:
        """Send one payload."""
        self.write(mysql.packets([payload], sequence)[0])

    # Login

    def _handle_greeting(self, sequence: int, payload: bytes) -> None:
        if payload[:1] == b"\xff":
            self._login_failed(payload)
            return
        greeting = mysql.read_greeting(payload)
        self.thread = greeting.connection
        self._challenge = greeting.challenge
        plugin = (
            greeting.plugin if greeting.plugin in (mysql.NATIVE, mysql.CACHING_SHA2) else mysql.CACHING_SHA2
        )
        auth_response = mysql.compute_auth_response(plugin, self._config.engine_password, greeting.challenge)
        self._handle_packet = self._handle_auth
        capabilities = mysql.CAPABILITIES & ~mysql.CONNECT_ATTRS & greeting.capabilities
        if not self._config.schema:
            capabilities &= ~mysql.CONNECT_WITH_DB
        self.send(
            mysql.login(
                mysql.Login(
                    capabilities,
                    mysql.UTF8MB4,
                    self._config.engine_user,
                    auth_response or b"",
                    self._config.schema,
                    plugin,
                )
            ),
            sequence + 1,
        )

    def _handle_auth(self, sequence: int, payload: bytes) -> None:
        match payload[0] if payload else None:
            case mysql.OK:
                self._handle_packet = self._handle_answer
                self.on_usable()
            case mysql.AUTH_SWITCH:
                plugin, challenge = mysql.read_auth_switch(payload)
                auth_response = mysql.compute_auth_response(plugin, self._config.engine_password, challenge)
                if auth_response is None:
                    raise mysql.MalformedPacketError(f"the engine requires the unknown plugin {plugin}")
                self.send(auth_response, sequence + 1)
            case mysql.MORE_DATA if payload[1:2] == bytes([mysql.FAST_AUTH_OK]):
                pass  # OK follows
            case mysql.MORE_DATA:
                # An engine that has not cached the digest of the password requests the plain password.
                raise mysql.MalformedPacketError(
                    "the engine has not cached the password's digest; the password is not sent unencrypted"
                )
            case mysql.ERR:
                self._login_failed(payload)
            case _:
                raise mysql.MalformedPacketError("unknown packet during the login")

    def _login_failed(self, payload: bytes) -> None:
        error = mysql.read_err(payload)
        log("engine", "login failed", code=error.code, reason=error.message, engine=self.pool.engine)
        if error.code in CONNECTION_LIMIT_ERRORS:
            self.failure = ConnectFailure.FULL
        self.abort()

    # Commands

    @property
    def has_open_call(self) -> bool:
        """Whether a command was written that the engine has not answered."""
        return self._reader is not None

    def call(
        self,
        payloads: list[bytes],
        reader: AnswerReader,
        done: Callable[[], None],
        interrupted: Callable[[], None],
        deadline_us: int = 0,
    ) -> None:
        """Send commands of which only the last one has an answer."""
        self._reader = reader
        self._on_done = done
        self._on_interrupted = interrupted
        self._answer_bytes = 0
        self.deadline_us = deadline_us
        self.write(b"".join(mysql.packets([payload], 0)[0] for payload in payloads))

    def _handle_answer(self, _sequence: int, payload: bytes) -> None:
        self._answer_bytes += len(payload) + PAYLOAD_OVERHEAD_BYTES
        if self._reader is None:
            raise mysql.MalformedPacketError("a packet without a command")
        if self._answer_bytes > MAX_RESULT_BYTES:
            raise mysql.PacketTooLargeError
        if self._reader.feed(payload):
            done = self._on_done
            self._reader = None
            self._on_done = None
            self._on_interrupted = None
            if done is not None:
                done()

    def abandon(self) -> None:
        """Close the connection without a notification to the command."""
        self._on_interrupted = None
        self.abort()

    def ended(self) -> None:
        """Notify the current command of the end of the connection."""
        interrupted = self._on_interrupted
        self._on_interrupted = None
        super().ended()
        if interrupted is not None:
            interrupted()
