"""Kills a thread of a MySQL server, and proves that it has ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from slipbay.backends.mysql_connection import AnswerReader, MysqlConnection
from slipbay.backends.pool import CALL_TIMEOUT_US, ConnectFailure, PendingAcquire, Pool
from slipbay.core.timers import Timers
from slipbay.idempotency import recovery
from slipbay.log import log
from slipbay.wire import mysql

KILL_INTERVAL_US = 10_000  # interval between KILL commands until the thread has ended
RETRY_US = 250_000


class ThreadHost(Protocol):
    """Members of the backend that ``ThreadEnd`` uses."""

    timers: Timers
    now: Callable[[], int]


class ThreadEnd:
    """Kills a server's thread until the server reports that it does not exist; then, or when the time is up,
    calls ``done``."""

    def __init__(
        self,
        backend: ThreadHost,
        pool: Pool[MysqlConnection],
        thread: int,
        until_us: int,
        done: Callable[[], None],
        is_closed_by_engine: Callable[[], bool],
        started_before_us: int | None = None,
    ) -> None:
        """``is_closed_by_engine``: whether the engine closed the thread's connection; if not, a refused
        connection does not prove that the process ended, as an engine at its connection limit refuses too.
        ``started_before_us``: the thread is killed only if the server's process started before that time."""
        self._backend = backend
        self._pool = pool
        self._thread = thread
        self._until_us = until_us
        self._done = done
        self._is_closed_by_engine = is_closed_by_engine
        self._started_before_us = started_before_us
        self._is_ended = False
        self._pending: PendingAcquire[MysqlConnection] | None = None
        self._connect()

    def cancel(self) -> None:
        """Stop trying; ``done`` is not called."""
        self._is_ended = True
        if self._pending is not None:
            self._pending.cancel()

    def _end(self) -> None:
        if not self._is_ended:
            self.cancel()
            self._done()

    def _connect(self) -> None:
        if not self._is_ended and self._pending is None:
            self._pending = self._pool.acquire(self._connected, self._connect_failed, fresh=True)

    def _connect_failed(self, failure: ConnectFailure) -> None:
        self._pending = None
        if (
            failure is ConnectFailure.REFUSED
            and self._is_closed_by_engine()
            and not self._pool.has_open_connection
        ):
            self._end()  # the process has ended, so the statement does not run any more
        else:
            self._retry_later()

    def _retry_later(self) -> None:
        if self._backend.now() > self._until_us:
            self._end()
        elif not self._is_ended:
            self._backend.timers.after(RETRY_US, self._connect)

    def _connected(self, connection: MysqlConnection) -> None:
        self._pending = None
        if connection.thread <= self._thread:
            # Thread numbers rise, and this connection is newer than the thread. A number that is not higher
            # comes from a new process, in which the thread's number may belong to another client. (The
            # connection must be new: a reused one would prove nothing.)
            connection.release()
            self._end()
        elif self._started_before_us is None:
            self._kill(connection)
        else:
            self._check_uptime(connection, self._started_before_us)

    def _check_uptime(self, connection: MysqlConnection, started_before_us: int) -> None:
        """Kill the thread only if the server did not start after the attempt: a later process may have given
        the number to another client's thread."""
        reader = mysql.ResultReader()

        def answered() -> None:
            uptime_s = mysql.read_uptime(reader.payloads)
            if uptime_s is not None and recovery.is_same_server(
                started_before_us, uptime_s, self._backend.now()
            ):
                self._kill(connection)
                return
            connection.release()
            if uptime_s is None:
                log(
                    "engine",
                    "no uptime from the engine; a thread of an earlier incarnation is not killed",
                    engine=self._pool.engine,
                )
            self._end()

        self._call(connection, b"SHOW GLOBAL STATUS LIKE 'Uptime'", reader, answered)

    def _kill(self, connection: MysqlConnection) -> None:
        if self._is_ended:
            connection.release()
            return
        if connection.lost:
            self._retry_later()
            return
        reader = mysql.ResultReader()

        def answered() -> None:
            answer = reader.payloads[-1]
            # After an accepted KILL the thread may run on; it has ended when the server reports it unknown
            if answer[:1] != b"\xff":
                self._backend.timers.after(KILL_INTERVAL_US, lambda: self._kill(connection))
                return
            connection.release()
            error = mysql.read_err(answer)
            if error.code == mysql.ER_NO_SUCH_THREAD:
                self._end()
            else:
                log(
                    "engine",
                    "KILL failed",
                    code=error.code,
                    reason=error.message,
                    engine=self._pool.engine,
                )
                self._retry_later()

        self._call(connection, b"KILL %d" % self._thread, reader, answered)

    def _call(
        self,
        connection: MysqlConnection,
        statement: bytes,
        reader: AnswerReader,
        answered: Callable[[], None],
    ) -> None:
        connection.call(
            [bytes([mysql.COM_QUERY]) + statement],
            reader,
            answered,
            self._retry_later,
            self._backend.now() + CALL_TIMEOUT_US,
        )
