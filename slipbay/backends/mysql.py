"""Backend for MySQL engines: a connection pool for each engine, attempts, probes, and the termination of
attempts that an earlier incarnation sent."""

from __future__ import annotations

from collections.abc import Callable

from slipbay.backends.mysql_connection import MysqlConnection
from slipbay.backends.mysql_exchange import WIRE, MysqlExchange
from slipbay.backends.mysql_thread import ThreadEnd
from slipbay.backends.pool import CALL_TIMEOUT_US, Pool, SocketBudget
from slipbay.config.model import Config, MysqlConfig
from slipbay.core.model import Attempt, Endpoint, Exchange, OutcomeQuery
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.policy.events import EngineId, ListKind, NoteKind, Outcome
from slipbay.stream import Connector
from slipbay.wire import mysql

SWEEP_US = 1_000_000  # interval between searches for expired connections; default interval of pings


class MysqlBackend:
    """All MySQL engines that have an address in the configuration."""

    wire = WIRE

    def __init__(
        self,
        config: Config,
        mysql_config: MysqlConfig,
        timers: Timers,
        connector: Connector,
        sockets: SocketBudget,
        now: Callable[[], int],
    ) -> None:
        self.timers = timers
        self.now = now
        self._mysql_config = mysql_config
        self.exchanges: dict[EngineId, set[MysqlExchange]] = {}
        self._pools: dict[EngineId, Pool[MysqlConnection]] = {}
        for engine, address in mysql_config.engines.items():
            self.exchanges[engine] = set()
            self._pools[engine] = Pool(
                engine,
                address,
                self._create_connection,
                connector,
                timers,
                sockets,
                now,
                config.connect_timeout_us,
                config.idle_us,
            )
        self._ping_interval_us = config.settings.progress_us or SWEEP_US
        timers.after(self._ping_interval_us, self._ping_busy_engines)
        timers.after(SWEEP_US, self._sweep)

    def _create_connection(self, pool: Pool[MysqlConnection]) -> MysqlConnection:
        return MysqlConnection(pool, self._mysql_config)  # type: ignore[arg-type]

    def endpoints_changed(self, _kind: ListKind, hosts: list[Endpoint]) -> None:
        """Update the pools from the endpoint list; the addresses come from the configuration."""
        for host in hosts:
            pool = self._pools.get(host.entry.engine)
            if pool is not None:
                pool.update(host.entry, pool.address)

    def start(self, attempt: Attempt) -> Exchange | None:
        """Start an attempt and return its exchange. If the engine has no MySQL address, the attempt ends with
        ``MOOT`` and there is no exchange."""
        pool = self._pools.get(attempt.engine)
        if pool is None:
            log("engine", "the engine has no MySQL address", engine=attempt.engine)
            attempt.finish(Outcome.MOOT)
            return None
        exchange = MysqlExchange(self, attempt, pool)
        self.exchanges[attempt.engine].add(exchange)
        return exchange

    def query_outcome(self, query: OutcomeQuery, until_us: int) -> None:
        """Terminate an attempt of an earlier incarnation. Its effect cannot be determined: the outcome is
        always ``RESET``."""
        pool = self._pools.get(query.engine)
        if pool is None:
            query.finish(Outcome.RESET)
        else:
            ThreadEnd(
                self,
                pool,
                query.thread,
                until_us,
                lambda: query.finish(Outcome.RESET),
                lambda: False,
                query.sent_us,
            )

    def probe(self, engine: EngineId, done: Callable[[Outcome], None]) -> None:
        """Ping an engine; ``done`` is called once."""
        pool = self._pools.get(engine)
        if pool is None:
            done(Outcome.CONNECT_FAILED)
        else:
            self._ping(pool, lambda: done(Outcome.OK), lambda: done(Outcome.CONNECT_FAILED))

    def _ping(
        self, pool: Pool[MysqlConnection], on_success: Callable[[], None], on_failure: Callable[[], None]
    ) -> None:
        def send(connection: MysqlConnection) -> None:
            def answered() -> None:
                connection.release()
                on_success()

            connection.call(
                [bytes([mysql.COM_PING])],
                mysql.ResultReader(),
                answered,
                on_failure,
                self.now() + CALL_TIMEOUT_US,
            )

        pool.acquire(send, lambda _failure: on_failure())

    def close_idle(self, engine: EngineId) -> None:
        """Close the idle connections to an engine."""
        if engine in self._pools:
            self._pools[engine].close_idle()

    def _ping_busy_engines(self) -> None:
        """Ping engines with open attempts. MySQL servers send no progress notes; an answered ping is reported
        to the policy as progress instead."""
        for engine, exchanges in self.exchanges.items():
            if exchanges:
                self._ping(
                    self._pools[engine],
                    lambda engine=engine: self._report_progress(engine),  # type: ignore[misc]
                    lambda: None,
                )
        self.timers.after(self._ping_interval_us, self._ping_busy_engines)

    def _report_progress(self, engine: EngineId) -> None:
        for exchange in self.exchanges[engine]:
            exchange.attempt.report_progress(NoteKind.SHARE_DONE, 0.0)

    def _sweep(self) -> None:
        for pool in self._pools.values():
            pool.sweep()
        self.timers.after(SWEEP_US, self._sweep)
