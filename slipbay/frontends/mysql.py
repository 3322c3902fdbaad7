"""The MySQL frontend: accepts clients of the MySQL protocol, with prepared statements.

The policy chooses an engine for each statement, so a client has no session on an engine. Statements that
need session state (transactions, variables, cursors, temporary tables, locks) are answered with an error.
"""

from __future__ import annotations

import hmac
import secrets
import ssl
from collections import deque
from collections.abc import Callable

from slipbay.config.model import Config, MysqlConfig
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import QUERY_FAILED, Answer, Backend, Failed, Rejected, Request, Served
from slipbay.frontends.client_connection import ClientConnection
from slipbay.frontends.identity import ClientIdentity, Identity
from slipbay.frontends.prepared_statement import PreparedStatement
from slipbay.frontends.server import Server
from slipbay.idempotency.digest import digest
from slipbay.log import log
from slipbay.policy.settings import Effect
from slipbay.wire import mysql, sql
from slipbay.wire.spiffe import TlsServer

LOGIN_TIMEOUT_US = 10_000_000  # for a client to log in
MAX_STATEMENTS = 256  # prepared on one connection
MAX_QUEUED_COMMANDS = 16  # received before the answer to the previous one, against the protocol
MAX_LOGIN_BYTES = 16 * 1024
MAX_KEY_BYTES = 200  # idempotency key in a hint
HINT_NUMBER_LIMIT = 1e9  # numbers in hints from this value on are ignored
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
IGNORED_SETS = frozenset(
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


class MysqlFrontend:
    """State that all connections of this frontend share."""

    def __init__(
        self, config: Config, mysql_config: MysqlConfig, dispatcher: Dispatcher, backend: Backend
    ) -> None:
        self.config = config
        self.mysql = mysql_config
        self.dispatcher = dispatcher
        self.backend = backend
        self.identity = Identity(mysql_config.spiffe) if mysql_config.spiffe else None
        self._last_connection_number = 0

    def next_connection_number(self) -> int:
        """Returns the connection number for the next greeting."""
        self._last_connection_number = self._last_connection_number % 0xFFFFFFFF + 1
        return self._last_connection_number

    def make_request(
        self, work: mysql.Work, outline: sql.Outline, tenant: int, client: MysqlConnection
    ) -> Request:
        """Creates a request; mysql.toml and the hints in the statement set class, deadline and estimates."""
        settings = self.mysql
        text = work.sql.decode("utf-8", "replace")
        hint_values = sql.hints(text, settings.hint)
        class_number = (
            settings.prepare_class if work.prepare else self._choose_class(text, outline, hint_values)
        )
        deadline_us = settings.deadlines_us[class_number]
        estimate = settings.estimates[class_number]
        if not work.prepare:
            deadline_us = min(
                deadline_us, int(_hint_number(hint_values, "deadline_ms", deadline_us / 1000) * 1000)
            )
        cost_ms = _hint_number(hint_values, "cpu_ms", -1.0)
        request = Request(
            secrets.token_hex(8),
            class_number,
            deadline_us,
            work,
            client,
            self.backend,
            int(cost_ms * 1000) if cost_ms >= 0 else estimate.cost_us,
            _hint_number(hint_values, "ram_mb", estimate.memory_mb),
            sql.table_group(text),
            tenant,
            is_write=not (work.prepare or outline.is_read_only),
            size_bytes=work.size,
        )
        if (
            not work.prepare
            and self.dispatcher.idempotency_guard is not None
            and self.dispatcher.idempotency_guard.requires_key(class_number)
        ):
            self._set_idempotency_key(request, work, hint_values)
        return request

    def _set_idempotency_key(self, request: Request, work: mysql.Work, hint_values: dict[str, str]) -> None:
        """Sets the idempotency key of a keyed request: the one in the client's hint, else its own name.

        A client marks a repeated request with a hint. The mark is removed before the digest is computed, as
        the digest of the repeat must equal that of the first request, which has no mark.
        """
        client_key = hint_values.get("key")
        request.is_resent = hint_values.get("second") == "1"
        statement = work.sql.replace(b" second=1", b"", 1) if request.is_resent else work.sql
        tenant = self.config.tenants[request.tenant] if self.config.tenants else ""
        request.has_client_key = client_key is not None
        request.idempotency_key = (
            f"mysql:{tenant}:{request.name if client_key is None else client_key}".encode()
        )
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

    def _choose_class(self, text: str, outline: sql.Outline, hint_values: dict[str, str]) -> int:
        """Returns the class chosen by the hint or the configured rules.

        A statement that is not certainly a read does not get a class whose requests may run twice.
        """
        settings = self.mysql
        classes = self.config.classes
        class_number = settings.read_class if outline.is_read_only else settings.write_class
        if hint_values.get("class") in classes:
            class_number = classes.index(hint_values["class"])
        else:
            matches = (rule.service_class for rule in settings.rules if rule.pattern.search(text))
            class_number = next(matches, class_number)
        may_repeat = self.config.settings.classes[class_number].effect is not Effect.UNSAFE
        return settings.write_class if may_repeat and not outline.is_read_only else class_number


def _hint_number(hint_values: dict[str, str], name: str, default: float) -> float:
    try:
        value = float(hint_values[name])
    except (KeyError, ValueError):
        return default
    return value if 0 <= value < HINT_NUMBER_LIMIT else default


class MysqlConnection(ClientConnection):
    """One client's connection: login, then one command at a time."""

    def __init__(self, server: Server, frontend: MysqlFrontend) -> None:
        super().__init__(server)
        self.idle_us = LOGIN_TIMEOUT_US
        self._frontend = frontend
        self._packets = mysql.Packets(MAX_LOGIN_BYTES)
        self._handle_packet: Callable[[int, bytes], None] = self._handle_login
        self._challenge = bytes(secrets.choice(range(1, 128)) for _ in range(20))  # without zero bytes
        self._tls: TlsServer | None = None
        self._credentials: mysql.Login | None = None
        self._tenant = 0
        self._client_identity: ClientIdentity | None = None  # None: the client has logged in with a password
        self._request: Request | None = None
        self._queued_commands: deque[tuple[int, bytes]] = deque()
        self._statements: dict[int, PreparedStatement] = {}
        self._last_statement_number = 0

    @property
    def has_open_requests(self) -> bool:
        """Whether a request is open or commands are queued."""
        return self._request is not None or bool(self._queued_commands)

    @property
    def unparsed(self) -> int:
        """Received bytes that have not been processed: partial packets and long parameters."""
        return self._packets.buffered_bytes + sum(
            statement.long_data.size_bytes for statement in self._statements.values()
        )

    @property
    def max_message_bytes(self) -> int:
        """Size of the longest packet; less before the login."""
        return self._packets.max_payload_bytes

    @property
    def mid_message(self) -> bool:
        """Whether only a part of a packet has been received."""
        return bool(self._packets.buffered_bytes)

    @property
    def is_receiving(self) -> bool:
        """Whether the client has begun a packet, or its TLS handshake and login are not complete."""
        return self.mid_message or self._credentials is None

    # Bytes

    def opened(self) -> None:
        """Sends the greeting."""
        super().opened()
        capabilities = mysql.CAPABILITIES | (mysql.SSL if self._frontend.identity else 0)
        self._send(
            [
                mysql.greeting(
                    mysql.Greeting(
                        self._frontend.next_connection_number(),
                        self._challenge,
                        mysql.CACHING_SHA2,
                        capabilities,
                    )
                )
            ],
            0,
        )

    def buffer_input(self, data: bytes) -> None:
        """Buffers received bytes, decrypted if the client uses TLS."""
        try:
            self._buffer_plain(data)
        except ssl.SSLError as problem:
            self._abort_on_tls_error(problem)

    def drop_input(self) -> None:
        """Drops all bytes that are not handled yet."""
        self._packets.clear()

    def handle_message(self) -> bool:
        """Handles the next packet; returns False if there is none, or if it was a protocol error, which is
        answered and closes the connection."""
        try:
            return self._handle_next_packet()
        except mysql.PacketTooLargeError:
            self._close_with_error(0, mysql.ER_PACKET_TOO_LARGE, "Got a packet bigger than max_packet_bytes")
        except mysql.MalformedPacketError as problem:
            self._close_with_error(
                0,
                mysql.ER_HANDSHAKE if self._credentials is None else mysql.ER_MALFORMED_PACKET,
                str(problem),
            )
        except ssl.SSLError as problem:
            self._abort_on_tls_error(problem)
        return False

    def _abort_on_tls_error(self, problem: ssl.SSLError) -> None:
        log("client", "TLS error; connection aborted", reason=problem.reason or problem)
        self.abort()

    def _buffer_plain(self, data: bytes) -> None:
        if self._tls is not None:
            data = self._tls.feed(data)
            self._flush()
            if self._tls.closed:
                self.close()
        self._packets.append(data)

    def _handle_next_packet(self) -> bool:
        packet = self._packets.next_payload()
        if packet is None:
            return False
        self.record_activity()
        tls = self._tls
        self._handle_packet(*packet)
        if self._tls is not tls:  # all further bytes of the connection are TLS records
            self._buffer_plain(self._packets.rest())
        return True

    def _send(self, payloads: list[bytes], sequence: int) -> None:
        data, _ = mysql.packets(payloads, sequence)
        if self._tls is None:
            self.write(data)
        else:
            self._tls.send(data)
            self._flush()

    def _flush(self) -> None:
        assert self._tls is not None
        if encrypted := self._tls.outgoing():
            self.write(encrypted)

    def _error(self, sequence: int, code: int, text: str) -> None:
        self._send([mysql.err(code, text)], sequence + 1)

    def _close_with_error(self, sequence: int, code: int, text: str) -> None:
        log("client", "connection closed with an error", reason=text)
        self._error(sequence, code, text)
        self.abandon_requests()
        self.close_gracefully()

    # Login

    def _handle_login(self, sequence: int, payload: bytes) -> None:
        login = mysql.read_login(payload)
        identity = self._frontend.identity
        if login.user is None and identity is not None and self._tls is None:
            self._tls = TlsServer(identity.context())
            return
        if login.user is None:
            raise mysql.MalformedPacketError("TLS is not to be had here")
        self._credentials = login
        if identity is not None and self._tls is None:
            self._close_with_error(sequence, mysql.ER_SECURE_TRANSPORT, "Connect with TLS and an X.509-SVID")
        elif login.charset not in UTF8_CHARSETS:
            self._close_with_error(
                sequence, mysql.ER_UNKNOWN_CHARSET, "Only utf8 and utf8mb4 are served here"
            )
        elif login.database not in ("", self._frontend.mysql.schema):
            self._close_with_error(sequence, mysql.ER_BAD_DB, f"Unknown database '{login.database}'")
        elif identity is not None:
            assert self._tls is not None
            self._client_identity = identity.authenticate(self._tls)
            tenant = self._client_identity.tenant if self._client_identity is not None else None
            self._complete_login(sequence, tenant)
        elif login.plugin in (mysql.CACHING_SHA2, mysql.NATIVE) and (
            login.auth_response or not self._configured_password()
        ):
            self._check_password(sequence, login.plugin, login.auth_response)
        else:
            self._handle_packet = lambda sequence, proof: self._check_password(
                sequence, mysql.CACHING_SHA2, proof
            )
            self._send([mysql.auth_switch(mysql.CACHING_SHA2, self._challenge)], sequence + 1)

    def _configured_password(self) -> bytes | None:
        assert self._credentials is not None
        user = self._frontend.mysql.users.get(self._credentials.user or "")
        return user.password if user is not None else None

    def _check_password(self, sequence: int, plugin: str, proof: bytes) -> None:
        """Checks the client's password proof and completes or rejects the login.

        The work and the answer are the same for an unknown user, so that clients cannot find out user names.
        """
        assert self._credentials is not None
        password = self._configured_password()
        expected = mysql.compute_auth_response(plugin, password or b"?", self._challenge)
        is_valid = hmac.compare_digest(expected or b"", proof) if password != b"" else proof in (b"", b"\0")
        if password is None or not is_valid:
            self._complete_login(sequence, None)
            return
        if plugin == mysql.CACHING_SHA2 and proof not in (b"", b"\0"):
            self._send([bytes([mysql.MORE_DATA, mysql.FAST_AUTH_OK])], sequence + 1)
            sequence += 1
        self._complete_login(sequence, self._frontend.mysql.users[self._credentials.user or ""].tenant)

    def _complete_login(self, sequence: int, tenant: int | None) -> None:
        assert self._credentials is not None
        if tenant is None:
            self._close_with_error(
                sequence, mysql.ER_ACCESS_DENIED, f"Access denied for user '{self._credentials.user}'"
            )
            return
        self._tenant = tenant
        self._handle_packet = self._receive_command
        self.extend_idle_timeout(self._frontend.mysql.idle_us)
        self._packets.max_payload_bytes = self._frontend.mysql.max_packet_bytes
        self._send([mysql.ok()], sequence + 1)

    # Commands

    def _receive_command(self, sequence: int, payload: bytes) -> None:
        if self._request is not None or self._queued_commands:
            self._queued_commands.append((sequence, payload))
            if len(self._queued_commands) > MAX_QUEUED_COMMANDS:
                self._close_with_error(sequence, mysql.ER_MALFORMED_PACKET, "Commands came before their turn")
            return
        self._execute_command(sequence, payload)

    def _execute_command(self, sequence: int, payload: bytes) -> None:
        identity = self._frontend.identity
        if (
            identity is not None
            and self._client_identity is not None
            and not identity.is_still_valid(self._client_identity)
        ):
            self._close_with_error(
                sequence,
                mysql.ER_ACCESS_DENIED,
                "The X.509-SVID is not valid any more; connect with a new one",
            )
            return
        match payload[0] if payload else None:
            case mysql.COM_QUIT:
                self.close()
            case mysql.COM_PING:
                self._send([mysql.ok()], sequence + 1)
            case mysql.COM_QUERY:
                self._handle_query(sequence, payload[1:])
            case mysql.COM_STMT_PREPARE:
                self._handle_prepare(sequence, payload[1:])
            case mysql.COM_STMT_EXECUTE:
                self._handle_execute(sequence, payload)
            case _:
                self._execute_rare_command(sequence, payload)

    def _execute_rare_command(self, sequence: int, payload: bytes) -> None:
        """Executes commands on prepared statements and sessions."""
        match payload[0] if payload else None:
            case mysql.COM_STMT_SEND_LONG_DATA:
                self._append_long_data(payload)
            case mysql.COM_STMT_CLOSE:  # the protocol has no answer to it
                self._statements.pop(mysql.statement_of(payload), None)
            case mysql.COM_STMT_RESET:
                self._reset_statement(sequence, payload)
            case mysql.COM_RESET_CONNECTION:  # prepared statements are the only state of a connection
                self._statements.clear()
                self._send([mysql.ok()], sequence + 1)
            case mysql.COM_INIT_DB:
                self._reject_unsupported(sequence, "a change of schema")
            case mysql.COM_STMT_FETCH:
                self._reject_unsupported(sequence, "cursors")
            case _:
                self._error(sequence, mysql.ER_UNKNOWN_COM, "Unknown command")

    def _reject_unsupported(self, sequence: int, what: str) -> None:
        self._error(
            sequence, mysql.ER_NOT_SUPPORTED, f"This server keeps no sessions: {what} is not supported"
        )

    def _check_statement(self, sequence: int, text: str, outline: sql.Outline) -> bool:
        words = sorted(outline.words & sql.SESSION_WORDS)
        key = sql.hints(text, self._frontend.mysql.hint).get("key", "?")
        if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
            self._error(sequence, mysql.ER_WRONG_ARGUMENTS, f"A key has 1 to {MAX_KEY_BYTES} bytes")
        elif outline.verb in SESSION_VERBS:
            self._reject_unsupported(sequence, outline.verb.upper())
        elif outline.has_hidden_code:  # could change session state of an engine connection unnoticed
            self._reject_unsupported(sequence, "a comment with code")
        elif outline.has_variables:
            self._reject_unsupported(sequence, "a user variable")
        elif words:
            self._reject_unsupported(sequence, words[0].upper())
        else:
            return True
        return False

    def _handle_query(self, sequence: int, statement: bytes) -> None:
        text = statement.decode("utf-8", "replace")
        outline = sql.outline(text)
        if text.strip().rstrip(";").lower() in IGNORED_SETS:
            self._send([mysql.ok()], sequence + 1)
        elif self._check_statement(sequence, text, outline):
            self._submit_request(sequence, mysql.Work(statement), outline)

    def _handle_prepare(self, sequence: int, statement: bytes) -> None:
        text = statement.decode("utf-8", "replace")
        outline = sql.outline(text)
        if len(self._statements) >= MAX_STATEMENTS:
            self._error(sequence, mysql.ER_MAX_PREPARED, "Too many prepared statements on this connection")
        elif self._check_statement(sequence, text, outline):
            self._submit_request(sequence, mysql.Work(statement, prepare=True), outline)

    def _handle_execute(self, sequence: int, payload: bytes) -> None:
        statement = self._statements.get(mysql.statement_of(payload))
        if statement is None:
            self._error(sequence, mysql.ER_UNKNOWN_STMT, "Unknown prepared statement handler")
            return
        is_too_long = statement.long_data.size_bytes > self._frontend.mysql.max_packet_bytes
        long_data = statement.long_data.take()
        if is_too_long:
            self._error(sequence, mysql.ER_PACKET_TOO_LARGE, "Parameters are longer than max_packet_bytes")
            return
        try:
            run = mysql.read_execute(payload, statement.parameter_count, statement.types, long_data)
        except mysql.MalformedPacketError as problem:
            self._error(sequence, mysql.ER_WRONG_ARGUMENTS, str(problem))
        except NotImplementedError:
            self._reject_unsupported(sequence, "a cursor")
        else:
            statement.types = run.types
            outline = sql.outline(statement.sql.decode("utf-8", "replace"))
            self._submit_request(sequence, mysql.Work(statement.sql, run), outline)

    def _append_long_data(self, payload: bytes) -> None:
        """Buffers a piece of a parameter. The command has no answer, so excess length is an error of the
        later execution."""
        statement_number, position, data = mysql.read_long_data(payload)
        statement = self._statements.get(statement_number)
        if statement is None or position >= statement.parameter_count:
            return
        if statement.long_data.size_bytes <= self._frontend.mysql.max_packet_bytes:
            statement.long_data.append(position, data)

    def _reset_statement(self, sequence: int, payload: bytes) -> None:
        statement = self._statements.get(mysql.statement_of(payload))
        if statement is None:
            self._error(sequence, mysql.ER_UNKNOWN_STMT, "Unknown prepared statement handler")
        else:
            statement.long_data.clear()
            self._send([mysql.ok()], sequence + 1)

    # Requests

    def _submit_request(self, sequence: int, work: mysql.Work, outline: sql.Outline) -> None:
        if self.server.draining:
            self._error(sequence, mysql.ER_SERVER_SHUTDOWN, "Server shutdown in progress")
            return
        self._request = self._frontend.make_request(work, outline, self._tenant, self)
        self._request.client_handle = sequence
        self._frontend.dispatcher.submit(self._request)

    def answered(self, request: Request, answer: Answer) -> None:
        """Writes the answer of the open request to the client, and starts the next queued command."""
        if request is not self._request:
            return
        self._request = None
        sequence = request.client_handle
        work = request.payload
        assert isinstance(work, mysql.Work)
        match answer:
            case Served(mysql.Prepared() as statement):
                self._last_statement_number = self._last_statement_number % 0xFFFFFFFF + 1
                self._statements[self._last_statement_number] = PreparedStatement(
                    work.sql, statement.parameters
                )
                self._send(mysql.prepared(self._last_statement_number, statement), sequence + 1)
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
        self._run_queued_commands()

    def _run_queued_commands(self) -> None:
        try:
            while self._queued_commands and self._request is None and not self.lost:
                self._execute_command(*self._queued_commands.popleft())
        except mysql.MalformedPacketError as problem:
            self._close_with_error(0, mysql.ER_MALFORMED_PACKET, str(problem))
        self.record_activity()
        self.close_if_drained()

    def abandon_requests(self) -> None:
        """Abandons the open request and queued commands after the client has disconnected."""
        self._queued_commands.clear()
        if self._request is not None:
            request = self._request
            self._request = None
            self._frontend.dispatcher.client_disconnected(request)
