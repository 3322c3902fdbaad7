"""One attempt on an engine over the MySQL protocol: a statement as text or prepared, and the proof that it
has ended."""

from __future__ import annotations

from typing import Protocol

from slipbay.backends.mysql_connection import MysqlConnection
from slipbay.backends.mysql_thread import ThreadEnd, ThreadHost
from slipbay.backends.pool import ConnectFailure, PendingAcquire, Pool
from slipbay.core.model import Attempt
from slipbay.policy.events import EngineId, Outcome
from slipbay.wire import mysql

MAX_STATEMENTS = 64  # prepared on one connection
PROOF_TIMEOUT_US = 5_000_000  # after the deadline; then no other attempt can follow, proven or not
STOP_GRACE_US = 50_000  # after a stop, for an answer that is about to arrive
ENGINE_ERRORS = (mysql.ER_SERVER_SHUTDOWN, mysql.ER_QUERY_INTERRUPTED)  # not caused by the statement


WIRE = "mysql"
"""Name of this protocol in stored records."""


class ExchangeHost(ThreadHost, Protocol):
    """Members of the backend that an exchange uses."""

    exchanges: dict[EngineId, set[MysqlExchange]]


class MysqlExchange:
    """One attempt on one engine."""

    def __init__(self, backend: ExchangeHost, attempt: Attempt, pool: Pool[MysqlConnection]) -> None:
        self._backend = backend
        self.attempt = attempt
        self._pool = pool
        assert isinstance(attempt.request.payload, mysql.Work)
        self._work = attempt.request.payload
        self._connection: MysqlConnection | None = None
        self._thread = 0  # server thread that may run the statement
        self._is_statement_sent = False  # the statement may have arrived complete
        self._is_closed_by_engine = False  # the engine closed the connection, as a crash does
        self._thread_end: ThreadEnd | None = None
        self._outcome = Outcome.RESET  # reported when the end is proven
        self._is_ended = False
        self._pending: PendingAcquire[MysqlConnection] | None = None
        self._pending = pool.acquire(self._connected, self._connect_failed)

    def _connected(self, connection: MysqlConnection) -> None:
        self._pending = None
        self._connection = connection
        work = self._work
        if work.run is None and not work.prepare:
            self._run(connection, [bytes([mysql.COM_QUERY]) + work.sql])
        elif work.run is not None and work.sql in connection.statements:
            connection.statements.move_to_end(work.sql)
            self._execute(connection, connection.statements[work.sql][0])
        else:
            reader = mysql.PrepareReader()
            connection.call(
                [bytes([mysql.COM_STMT_PREPARE]) + work.sql],
                reader,
                lambda: self._prepared(connection, reader),
                self._interrupted,
            )

    def _prepared(self, connection: MysqlConnection, reader: mysql.PrepareReader) -> None:
        if reader.error is not None:
            self._answered(connection, [reader.error])
            return
        closing = []
        if self._work.sql in connection.statements:
            closing.append(connection.statements.pop(self._work.sql)[0])
        connection.statements[self._work.sql] = reader.statement, reader.description
        if len(connection.statements) > MAX_STATEMENTS:
            closing.append(connection.statements.popitem(last=False)[1][0])
        for statement in closing:
            connection.send(mysql.close_statement(statement))
        if self._work.run is None:
            connection.release()
            self._finish(Outcome.OK, reader.description)
        else:
            self._execute(connection, reader.statement)

    def _execute(self, connection: MysqlConnection, statement: int) -> None:
        run = self._work.run
        assert run is not None
        self._run(
            connection,
            [
                *(mysql.long_data(statement, number, data) for number, data in run.long_data.items()),
                mysql.execute(statement, run),
            ],
        )

    def _run(self, connection: MysqlConnection, payloads: list[bytes]) -> None:
        self.attempt.request_permission(WIRE, connection.thread, lambda: self._send(connection, payloads))

    def _send(self, connection: MysqlConnection, payloads: list[bytes]) -> None:
        """Send the statement, unless the connection broke or the attempt ended meanwhile."""
        if self._is_ended:
            return
        if connection.lost or connection.is_stale():
            self._finish(Outcome.CONNECT_FAILED)  # the statement was not sent
            return
        if not (self.attempt.may_send() and self._pool.may_send_query(connection)):
            self._finish(Outcome.MOOT)
            return
        reader = mysql.ResultReader()
        self._is_statement_sent = True
        self._thread = connection.thread
        connection.call(
            payloads, reader, lambda: self._answered(connection, reader.payloads), self._interrupted
        )

    def _answered(self, connection: MysqlConnection, payloads: list[bytes]) -> None:
        """Finish with a complete answer; an error of the statement is an answer, one of the engine is not."""
        if self._is_ended:
            return
        self._connection = None
        error = mysql.read_err(payloads[-1]) if payloads[-1][:1] == b"\xff" else None
        if self._thread_end is not None:
            connection.abandon()  # its thread is killed
        else:
            connection.release()
        if error is not None and error.code in ENGINE_ERRORS:
            self._finish(self._outcome if self._thread_end is not None else Outcome.ERROR)
        else:
            self._finish(Outcome.OK, payloads)

    # Failures

    def _connect_failed(self, failure: ConnectFailure) -> None:
        self._pending = None
        self._finish(
            {
                ConnectFailure.FULL: Outcome.FULL,
                ConnectFailure.NO_SOCKETS: Outcome.MOOT,
                ConnectFailure.TIMED_OUT_BUT_ALIVE: Outcome.MOOT,
            }.get(failure, Outcome.CONNECT_FAILED)
        )

    def _interrupted(self) -> None:
        self._is_closed_by_engine = self._connection is not None and not self._connection.closed_locally
        self._connection = None
        if not self._is_statement_sent:
            self._finish(Outcome.CONNECT_FAILED)  # the statement did not arrive complete: it did not run
        else:
            self._end_thread()

    def stop(self, outcome: Outcome) -> None:
        """End the attempt when its thread is proven to have ended."""
        if self._is_ended or self._thread_end is not None:
            return
        self._outcome = outcome
        if not self._is_statement_sent:
            if self._connection is not None:
                self._connection.abandon()
            self._finish(outcome)
        else:
            self._end_thread()
            self._backend.timers.after(STOP_GRACE_US, self._take_back_statement)

    def _take_back_statement(self) -> None:
        """Close the connection, so that the statement can't arrive any more, if it has not yet."""
        if not self._is_ended and self._connection is not None:
            self._connection.abandon()
            self._connection = None

    def _end_thread(self) -> None:
        if not self._is_ended and self._thread_end is None:
            self._thread_end = ThreadEnd(
                self._backend,
                self._pool,
                self._thread,
                self.attempt.request.deadline_us + PROOF_TIMEOUT_US,
                lambda: self._finish(self._outcome),
                lambda: self._is_closed_by_engine,
            )

    def set_priority(self, priority: int) -> None:
        """Do nothing: the protocol has no priorities."""

    def _finish(self, outcome: Outcome, result: object = None) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        if self._pending is not None:
            self._pending.cancel()
        if self._thread_end is not None:
            self._thread_end.cancel()
        if self._connection is not None and outcome is not Outcome.OK:
            self._connection.abandon()
        self._backend.exchanges[self.attempt.engine].discard(self)
        self.attempt.finish(outcome, result)
