"""The MySQL front: clients that speak the MySQL protocol, with prepared statements, under the same rules.

A client sees a server without sessions: every statement goes where the decisions send it. So whatever lives
in a session (transactions, variables, cursors, temporary tables, locks) is answered with an error.
"""

from __future__ import annotations

import hmac
import secrets
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from slipbay.config.model import Config, MysqlConfig
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import QUERY_FAILED, Answer, Backend, Failed, Rejected, Request, Served
from slipbay.frontends.identity import Identity
from slipbay.frontends.server import ClientConnection, Server
from slipbay.idempotency.digest import digest
from slipbay.log import log
from slipbay.policy.settings import Effect
from slipbay.wire import mysql, sql
from slipbay.wire.spiffe import TlsServer

LOGIN_US = 10_000_000  # for a client to log in
MOST_STATEMENTS = 256  # prepared on one connection
MOST_WAITING = 16  # commands that came while one is being answered; the protocol has no such clients
MOST_LOGIN_BYTES = 16 * 1024
MOST_KEY_BYTES = 200  # of a key that a client gives a statement
MOST_FIGURE = 1e9  # below which a number in a hint is heeded
UTF8_CHARSETS = frozenset((33, 45, 46, 76, 83, 192, *range(193, 216), *range(223, 248), *range(255, 324)))
SESSION_VERBS = frozenset(
    (
        "begin",
        "start",
        "commit",
        "rollback",
        "savepoint",
        "release",
        "lock",
        "unlock",
        "use",
        "xa",
        "prepare",
        "execute",
        "deallocate",
        "handler",
        "set",
        "reset",
        "kill",
        "shutdown",
        "change",
        "purge",
        "flush",
        "load",
        "call",
        "do",
        "declare",
    )
)
SESSION_WORDS = frozenset(
    (
        "temporary",
        "get_lock",
        "release_lock",
        "release_all_locks",
        "is_free_lock",
        "is_used_lock",
        "last_insert_id",
        "found_rows",
        "row_count",
        "connection_id",
        "sql_calc_found_rows",
    )
)
HARMLESS_SETS = frozenset(
    (
        "set names utf8",
        "set names utf8mb3",
        "set names utf8mb4",
        "set autocommit=1",
        "set autocommit = 1",
        "set autocommit=on",
        "set autocommit = on",
    )
)


@dataclass(slots=True, eq=False)
class Statement:
    """A statement prepared for a client, under a number of ours: each engine connection has its own."""

    sql: bytes
    parameters: int
    types: bytes = b""
    long_data: dict[int, bytes] = field(default_factory=dict)


class MysqlFrontend:
    """What the connections of this front share."""

    def __init__(self, config: Config, mysql_config: MysqlConfig, core: Dispatcher, back: Backend) -> None:
        self.config = config
        self.mysql = mysql_config
        self.core = core
        self.back = back
        self.identity = Identity(mysql_config.spiffe) if mysql_config.spiffe else None
        self._connections = 0

    def next_number(self) -> int:
        """The number of a connection, as its greeting tells it."""
        self._connections = self._connections % 0xFFFFFFFF + 1
        return self._connections

    def request(
        self, work: mysql.Work, outline: sql.Outline, tenant: int, client: MysqlConnection
    ) -> Request:
        """A request with its class, deadline and estimates as the file and the statement's hints say."""
        settings = self.mysql
        text = work.sql.decode("utf-8", "replace")
        told = sql.hints(text, settings.hint)
        number = settings.prepare_class if work.prepare else self._class_of(text, outline, told)
        deadline = settings.deadlines_us[number]
        estimate = settings.estimates[number]
        if not work.prepare:
            deadline = min(deadline, int(_figure(told, "deadline_ms", deadline / 1000) * 1000))
        cost = _figure(told, "cpu_ms", -1.0)
        request = Request(
            secrets.token_hex(8),
            number,
            deadline,
            work,
            client,
            self.back,
            int(cost * 1000) if cost >= 0 else estimate.cost_us,
            _figure(told, "ram_mb", estimate.memory_mb),
            sql.table_group(text),
            tenant,
            is_write=not (work.prepare or outline.is_read_only),
            size_bytes=work.size,
        )
        if (
            not work.prepare
            and self.core.idempotency_guard is not None
            and self.core.idempotency_guard.requires_key(number)
        ):
            self._hold(request, work, told)
        return request

    def _hold(self, request: Request, work: mysql.Work, told: dict[str, str]) -> None:
        """A key for a request that must not run twice: the client's, if its hint names one.

        A repeat that its hint marks is the same statement as the first, which bears no mark.
        """
        named = told.get("key")
        request.is_resent = told.get("second") == "1"
        statement = work.sql.replace(b" second=1", b"", 1) if request.is_resent else work.sql
        tenant = self.config.tenants[request.tenant] if self.config.tenants else ""
        request.has_client_key = named is not None
        request.idempotency_key = f"mysql:{tenant}:{request.name if named is None else named}".encode()
        run = work.run
        parameters = (
            []
            if run is None
            else [
                run.nulls,
                run.types,
                run.values,
                *(b"%d:" % n + run.long_data[n] for n in sorted(run.long_data)),
            ]
        )
        request.statement_digest = digest(statement, *parameters)

    def _class_of(self, text: str, outline: sql.Outline, told: dict[str, str]) -> int:
        """Hints and rules choose, but what is not plainly a read stays in a class that is never run twice."""
        settings = self.mysql
        classes = self.config.classes
        number = settings.read_class if outline.is_read_only else settings.write_class
        if told.get("class") in classes:
            number = classes.index(told["class"])
        else:
            fitting = (rule.service_class for rule in settings.rules if rule.pattern.search(text))
            number = next(fitting, number)
        safe = self.config.settings.classes[number].effect is not Effect.UNSAFE
        return settings.write_class if safe and not outline.is_read_only else number


def _figure(told: dict[str, str], name: str, default: float) -> float:
    try:
        value = float(told[name])
    except (KeyError, ValueError):
        return default
    return value if 0 <= value < MOST_FIGURE else default


class MysqlConnection(ClientConnection):
    """One client's connection: login, then one command at a time."""

    def __init__(self, server: Server, front: MysqlFrontend) -> None:
        super().__init__(server)
        self.idle_us = LOGIN_US
        self._front = front
        self._packets = mysql.Packets(MOST_LOGIN_BYTES)
        self._take: Callable[[int, bytes], None] = self._login
        self._challenge = bytes(secrets.choice(range(1, 128)) for _ in range(20))  # it holds no zero
        self._tls: TlsServer | None = None
        self._told: mysql.Login | None = None
        self._tenant = 0
        self._request: Request | None = None
        self._waiting: deque[tuple[int, bytes]] = deque()
        self._statements: dict[int, Statement] = {}
        self._last_statement = 0

    @property
    def busy(self) -> bool:
        """Whether a request is open on it, or commands wait for their turn."""
        return self._request is not None or bool(self._waiting)

    @property
    def unparsed(self) -> int:
        """Bytes that came and were not served yet."""
        return self._packets.buffered_bytes + sum(
            len(data) for statement in self._statements.values() for data in statement.long_data.values()
        )

    @property
    def mid_message(self) -> bool:
        """Whether a packet has come in part."""
        return bool(self._packets.buffered_bytes)

    # Bytes

    def opened(self) -> None:
        """Greet the client."""
        super().opened()
        capabilities = mysql.CAPABILITIES | (mysql.SSL if self._front.identity else 0)
        self._send(
            [
                mysql.greeting(
                    mysql.Greeting(
                        self._front.next_number(), self._challenge, mysql.CACHING_SHA2, capabilities
                    )
                )
            ],
            0,
        )

    def received(self, data: bytes) -> None:
        """Take bytes in; errors of the protocol are answered, and end the connection."""
        self.touch()
        try:
            self._read(data)
        except mysql.PacketTooLargeError:
            self._last_word(0, mysql.ER_PACKET_TOO_LARGE, "Got a packet bigger than max_packet_bytes")
        except mysql.MalformedPacketError as problem:
            self._last_word(
                0, mysql.ER_HANDSHAKE if self._told is None else mysql.ER_MALFORMED_PACKET, str(problem)
            )
        except ssl.SSLError as problem:
            log("client", "TLS has failed; the connection is closed", reason=problem.reason or problem)
            self.abort()

    def _read(self, data: bytes) -> None:
        if self._tls is not None:
            plain = self._tls.feed(data)
            self._flush()
            if self._tls.closed:
                self.close()
            data = plain
        for sequence, payload in self._packets.feed(data):
            tls = self._tls
            self._take(sequence, payload)
            if self._tls is not tls:  # what follows on the connection is TLS
                self._read(self._packets.rest())
                return
            if self.closing:
                return

    def _send(self, payloads: list[bytes], sequence: int) -> None:
        data, _ = mysql.packets(payloads, sequence)
        if self._tls is None:
            self.write(data)
        else:
            self._tls.send(data)
            self._flush()

    def _flush(self) -> None:
        assert self._tls is not None
        if out := self._tls.outgoing():
            self.write(out)

    def _error(self, sequence: int, code: int, text: str) -> None:
        self._send([mysql.err(code, text)], sequence + 1)

    def _last_word(self, sequence: int, code: int, text: str) -> None:
        log("client", "the connection is closed with an error", reason=text)
        self._error(sequence, code, text)
        self.departed()
        self.close_gracefully()

    # Login

    def _login(self, sequence: int, payload: bytes) -> None:
        told = mysql.read_login(payload)
        identity = self._front.identity
        if told.user is None and identity is not None and self._tls is None:
            self._tls = TlsServer(identity.context())
            return
        if told.user is None:
            raise mysql.MalformedPacketError("TLS is not to be had here")
        self._told = told
        if identity is not None and self._tls is None:
            self._last_word(sequence, mysql.ER_SECURE_TRANSPORT, "Connect with TLS and an X.509-SVID")
        elif told.charset not in UTF8_CHARSETS:
            self._last_word(sequence, mysql.ER_UNKNOWN_CHARSET, "Only utf8 and utf8mb4 are served here")
        elif told.database not in ("", self._front.mysql.schema):
            self._last_word(sequence, mysql.ER_BAD_DB, f"Unknown database '{told.database}'")
        elif identity is not None:
            assert self._tls is not None
            self._admit(sequence, identity.tenant(self._tls.client_certificate))
        elif told.plugin in (mysql.CACHING_SHA2, mysql.NATIVE) and (
            told.auth_response or not self._password()
        ):
            self._check(sequence, told.plugin, told.auth_response)
        else:
            self._take = lambda sequence, proof: self._check(sequence, mysql.CACHING_SHA2, proof)
            self._send([mysql.auth_switch(mysql.CACHING_SHA2, self._challenge)], sequence + 1)

    def _password(self) -> bytes | None:
        assert self._told is not None
        user = self._front.mysql.users.get(self._told.user or "")
        return user.password if user is not None else None

    def _check(self, sequence: int, plugin: str, proof: bytes) -> None:
        """The password's proof. An unknown user costs the same work and gets the same answer."""
        assert self._told is not None
        password = self._password()
        wanted = mysql.compute_auth_response(plugin, password or b"?", self._challenge)
        good = hmac.compare_digest(wanted or b"", proof) if password != b"" else proof in (b"", b"\0")
        if password is None or not good:
            self._admit(sequence, None)
            return
        if plugin == mysql.CACHING_SHA2 and proof not in (b"", b"\0"):
            self._send([bytes([mysql.MORE_DATA, mysql.FAST_AUTH_OK])], sequence + 1)
            sequence += 1
        self._admit(sequence, self._front.mysql.users[self._told.user or ""].tenant)

    def _admit(self, sequence: int, tenant: int | None) -> None:
        assert self._told is not None
        if tenant is None:
            self._last_word(sequence, mysql.ER_ACCESS_DENIED, f"Access denied for user '{self._told.user}'")
            return
        self._tenant = tenant
        self._take = self._command
        self.welcome(self._front.mysql.idle_us)
        self._packets.max_payload_bytes = self._front.mysql.most_packet_bytes
        self._send([mysql.ok()], sequence + 1)

    # Commands

    def _command(self, sequence: int, payload: bytes) -> None:
        if self._request is not None or self._waiting:
            self._waiting.append((sequence, payload))
            if len(self._waiting) > MOST_WAITING:
                self._last_word(sequence, mysql.ER_MALFORMED_PACKET, "Commands came before their turn")
            return
        self._carry_out(sequence, payload)

    def _carry_out(self, sequence: int, payload: bytes) -> None:
        match payload[0] if payload else None:
            case mysql.COM_QUIT:
                self.close()
            case mysql.COM_PING:
                self._send([mysql.ok()], sequence + 1)
            case mysql.COM_QUERY:
                self._query(sequence, payload[1:])
            case mysql.COM_STMT_PREPARE:
                self._prepare(sequence, payload[1:])
            case mysql.COM_STMT_EXECUTE:
                self._execute(sequence, payload)
            case _:
                self._carry_out_rare(sequence, payload)

    def _carry_out_rare(self, sequence: int, payload: bytes) -> None:
        """Commands on statements and sessions."""
        match payload[0] if payload else None:
            case mysql.COM_STMT_SEND_LONG_DATA:
                self._long_data(payload)
            case mysql.COM_STMT_CLOSE:  # it has no answer
                self._statements.pop(mysql.statement_of(payload), None)
            case mysql.COM_STMT_RESET:
                self._reset(sequence, payload)
            case mysql.COM_RESET_CONNECTION:  # the statements are all that it has
                self._statements.clear()
                self._send([mysql.ok()], sequence + 1)
            case mysql.COM_INIT_DB:
                self._unsupported(sequence, "a change of schema")
            case mysql.COM_STMT_FETCH:
                self._unsupported(sequence, "cursors")
            case _:
                self._error(sequence, mysql.ER_UNKNOWN_COM, "Unknown command")

    def _unsupported(self, sequence: int, what: str) -> None:
        self._error(
            sequence, mysql.ER_NOT_SUPPORTED, f"This server keeps no sessions: {what} is not supported"
        )

    def _statement_allowed(self, sequence: int, text: str, outline: sql.Outline) -> bool:
        words = sorted(outline.words & SESSION_WORDS)
        key = sql.hints(text, self._front.mysql.hint).get("key", "?")
        if not 0 < len(key.encode()) <= MOST_KEY_BYTES:
            self._error(sequence, mysql.ER_WRONG_ARGUMENTS, f"A key has 1 to {MOST_KEY_BYTES} bytes")
        elif outline.verb in SESSION_VERBS:
            self._unsupported(sequence, outline.verb.upper())
        elif outline.has_hidden_code:  # it could change the session of an engine connection unseen
            self._unsupported(sequence, "a comment with code")
        elif outline.has_variables:
            self._unsupported(sequence, "a user variable")
        elif words:
            self._unsupported(sequence, words[0].upper())
        else:
            return True
        return False

    def _query(self, sequence: int, statement: bytes) -> None:
        text = statement.decode("utf-8", "replace")
        outline = sql.outline(text)
        if text.strip().rstrip(";").lower() in HARMLESS_SETS:
            self._send([mysql.ok()], sequence + 1)
        elif self._statement_allowed(sequence, text, outline):
            self._submit(sequence, mysql.Work(statement), outline)

    def _prepare(self, sequence: int, statement: bytes) -> None:
        text = statement.decode("utf-8", "replace")
        outline = sql.outline(text)
        if len(self._statements) >= MOST_STATEMENTS:
            self._error(sequence, mysql.ER_MAX_PREPARED, "Too many prepared statements on this connection")
        elif self._statement_allowed(sequence, text, outline):
            self._submit(sequence, mysql.Work(statement, prepare=True), outline)

    def _execute(self, sequence: int, payload: bytes) -> None:
        statement = self._statements.get(mysql.statement_of(payload))
        if statement is None:
            self._error(sequence, mysql.ER_UNKNOWN_STMT, "Unknown prepared statement handler")
            return
        long_data = statement.long_data
        statement.long_data = {}
        if sum(map(len, long_data.values())) > self._front.mysql.most_packet_bytes:
            self._error(sequence, mysql.ER_PACKET_TOO_LARGE, "Parameters are longer than max_packet_bytes")
            return
        try:
            run = mysql.read_execute(payload, statement.parameters, statement.types, long_data)
        except mysql.MalformedPacketError as problem:
            self._error(sequence, mysql.ER_WRONG_ARGUMENTS, str(problem))
        except NotImplementedError:
            self._unsupported(sequence, "a cursor")
        else:
            statement.types = run.types
            outline = sql.outline(statement.sql.decode("utf-8", "replace"))
            self._submit(sequence, mysql.Work(statement.sql, run), outline)

    def _long_data(self, payload: bytes) -> None:
        """Part of a parameter. It has no answer: what is too long shows at the execution."""
        number, parameter, data = mysql.read_long_data(payload)
        statement = self._statements.get(number)
        if statement is not None and parameter < statement.parameters:
            held = sum(map(len, statement.long_data.values()))
            if held <= self._front.mysql.most_packet_bytes:
                statement.long_data[parameter] = statement.long_data.get(parameter, b"") + data

    def _reset(self, sequence: int, payload: bytes) -> None:
        statement = self._statements.get(mysql.statement_of(payload))
        if statement is None:
            self._error(sequence, mysql.ER_UNKNOWN_STMT, "Unknown prepared statement handler")
        else:
            statement.long_data = {}
            self._send([mysql.ok()], sequence + 1)

    # Requests

    def _submit(self, sequence: int, work: mysql.Work, outline: sql.Outline) -> None:
        if self.server.draining:
            self._error(sequence, mysql.ER_SERVER_SHUTDOWN, "Server shutdown in progress")
            return
        self._request = self._front.request(work, outline, self._tenant, self)
        self._request.client_handle = sequence
        self._front.core.submit(self._request)

    def answered(self, request: Request, answer: Answer) -> None:
        """The answer of the request that is open here."""
        if request is not self._request:
            return
        self._request = None
        sequence = request.client_handle
        work = request.payload
        assert isinstance(work, mysql.Work)
        match answer:
            case Served(mysql.Prepared() as told):
                self._last_statement = self._last_statement % 0xFFFFFFFF + 1
                self._statements[self._last_statement] = Statement(work.sql, told.parameters)
                self._send(mysql.prepared(self._last_statement, told), sequence + 1)
            case Served(list() as payloads):
                self._send(payloads, sequence + 1)
            case Rejected(retry_after_us, deadline_passed=True):
                self._error(
                    sequence,
                    mysql.ER_QUERY_TIMEOUT,
                    f"The deadline has passed; no harm done, retry after {retry_after_us // 1000} ms",
                )
            case Rejected(retry_after_us):
                self._error(
                    sequence,
                    mysql.ER_REJECTED,
                    f"Refused for now; nothing ran, retry after {retry_after_us // 1000} ms",
                )
            case Failed(_, deadline_passed=True):
                self._error(sequence, mysql.ER_QUERY_TIMEOUT, "The deadline has passed")
            case Failed(reason, is_client_error=True):
                self._error(sequence, mysql.ER_WRONG_ARGUMENTS, reason)
            case Failed(reason) if request.idempotency_key and reason != QUERY_FAILED:
                self._error(sequence, mysql.ER_FAILED, f"The statement failed: {reason}")
            case _:
                self._error(sequence, mysql.ER_FAILED, "The statement failed; it may have run")
        self._next_command()

    def _next_command(self) -> None:
        try:
            while self._waiting and self._request is None and not self.lost:
                self._carry_out(*self._waiting.popleft())
        except mysql.MalformedPacketError as problem:
            self._last_word(0, mysql.ER_MALFORMED_PACKET, str(problem))
        self.touch()
        self.close_if_drained()

    def departed(self) -> None:
        """The client has gone: its open request is abandoned."""
        self._waiting.clear()
        if self._request is not None:
            request = self._request
            self._request = None
            self._front.core.client_disconnected(request)
