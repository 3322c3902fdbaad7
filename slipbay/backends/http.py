"""Backend for HTTP engines: a connection pool for each engine, attempts, probes, and requests for the
outcome of attempts that an earlier incarnation sent."""

from __future__ import annotations

from collections.abc import Callable

from slipbay.backends.http_connection import HttpConnection
from slipbay.backends.http_exchange import WIRE, HttpExchange
from slipbay.backends.pool import (
    CALL_TIMEOUT_US,
    Pool,
    SocketBudget,
)
from slipbay.backends.result_budget import ResultBudget
from slipbay.config.model import Config
from slipbay.core.model import Attempt, Endpoint, Exchange, OutcomeQuery
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.policy.events import EngineId, ListKind, Outcome
from slipbay.stream import Connector
from slipbay.wire import http1

DEFAULT_RESULT_BYTES = 12 * 1024 * 1024
SWEEP_US = 1_000_000  # interval between searches for expired connections and unused pools


class HttpBackend:
    """All HTTP engines."""

    wire = WIRE

    def __init__(
        self,
        config: Config,
        timers: Timers,
        connector: Connector,
        sockets: SocketBudget,
        now: Callable[[], int],
    ) -> None:
        self._config = config
        self.timers = timers
        self.now = now
        # The router replaces this with its exact clock, which may be later than ``now`` in a turn of the loop
        self.exact_now = now
        # The router replaces this with a budget by its memory
        self.result_budget = ResultBudget(DEFAULT_RESULT_BYTES)
        self._connector = connector
        self._sockets = sockets
        self.call_soon = connector.loop.call_soon
        self.classes = config.classes
        self._pools: dict[EngineId, Pool[HttpConnection]] = {}
        timers.after(SWEEP_US, self._sweep)

    def endpoints_changed(self, kind: ListKind, hosts: list[Endpoint]) -> None:
        """Update the pools from the endpoint list."""
        if kind is not ListKind.DELTA:
            for engine in self._pools.keys() - {host.entry.engine for host in hosts}:
                self._pools[engine].remove()
        for host in hosts:
            engine = host.entry.engine
            pool = self._pools.get(engine)
            if pool is None:
                self._pools[engine] = pool = Pool(
                    engine,
                    host.address,
                    self._create_connection,
                    self._connector,
                    self.timers,
                    self._sockets,
                    self.now,
                    self._config.connect_timeout_us,
                    self._config.idle_us,
                )
            pool.update(host.entry, host.address)

    @staticmethod
    def _create_connection(pool: Pool[HttpConnection]) -> HttpConnection:
        return HttpConnection(pool)  # type: ignore[arg-type]

    def start(self, attempt: Attempt) -> Exchange | None:
        """Start an attempt and return its exchange. If the engine was never on the endpoint list, or
        was removed long ago, the attempt ends with ``MOOT`` and there is no exchange."""
        pool = self._pools.get(attempt.engine)
        if pool is None:
            log("engine", "the engine was never listed", engine=attempt.engine)
            attempt.finish(Outcome.MOOT)
            return None
        return HttpExchange(self, attempt, pool)

    def query_outcome(self, query: OutcomeQuery, until_us: int) -> None:
        """Query the outcome of an attempt of an earlier incarnation; the exchange is stopped at
        ``until_us``."""
        pool = self._pools.get(query.engine)
        if pool is None:
            query.finish(Outcome.RESET)
            return
        exchange = HttpExchange(self, query, pool, resumed=True)
        self.timers.at(until_us, lambda: exchange.stop(Outcome.CANCELLED))

    def probe(self, engine: EngineId, done: Callable[[Outcome], None]) -> None:
        """Send a probe request to an engine; ``done`` is called once."""
        pool = self._pools.get(engine)
        if pool is None:
            done(Outcome.CONNECT_FAILED)
            return
        is_ended = False

        def end(outcome: Outcome) -> None:
            nonlocal is_ended
            if not is_ended:
                is_ended = True
                timer.cancel()
                done(outcome)

        def send(connection: HttpConnection) -> None:
            def responded(response: http1.Response) -> None:
                connection.finish_call(response)
                end(
                    {http1.OK: Outcome.OK, http1.SERVICE_UNAVAILABLE: Outcome.FULL}.get(
                        response.status, Outcome.ERROR
                    )
                )

            connection.call(
                http1.request("GET", "/ping", connection.pool.host),
                responded,
                lambda: end(Outcome.RESET),
                self.now() + CALL_TIMEOUT_US,
            )

        timer = self.timers.after(2 * self._config.connect_timeout_us, lambda: end(Outcome.TIMEOUT))
        pool.acquire(send, lambda _failure: end(Outcome.CONNECT_FAILED))

    def fire_and_forget(self, pool: Pool[HttpConnection], request: bytes) -> None:
        """Send a request and ignore its response."""

        def send(connection: HttpConnection) -> None:
            connection.call(request, connection.finish_call, lambda: None, self.now() + CALL_TIMEOUT_US)

        pool.acquire(send, lambda _failure: None)

    def close_idle(self, engine: EngineId) -> None:
        """Close the idle connections to an engine."""
        if engine in self._pools:
            self._pools[engine].close_idle()

    def _sweep(self) -> None:
        for engine, pool in list(self._pools.items()):
            pool.sweep()
            if pool.is_unused:  # else pools of removed engines would accumulate
                pool.close()
                del self._pools[engine]
        self.timers.after(SWEEP_US, self._sweep)
