"""Connection pools, one per engine, with a common limit on the number of connections."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Generic, TypeVar

from slipbay.address import Address
from slipbay.backends.answer_guard import DUPLICATE_WINDOW_US
from slipbay.core.timers import Timer, Timers
from slipbay.log import log
from slipbay.policy.events import EngineEntry, EngineId, EngineState
from slipbay.stream import Connector, PendingConnect, Stream

SWEEP_US = 1_000_000
MAX_EVICTED_PER_TURN = 8  # idle connections evicted per turn of the loop; they hold descriptors until its end
CALL_TIMEOUT_US = 1_000_000  # timeout of calls that engines answer immediately
MAX_CONNECT_ATTEMPTS = 3  # per acquire, if new connections are reset
UNPOLLED_QUERY_US = 2_000_000  # an engine drops a query that is not polled for this long
LONG_POLL_US = 250_000  # an engine holds a poll for this long before it sends an empty answer
UNREACHABLE_AFTER_US = LONG_POLL_US + 100_000  # an engine that sends nothing for this long may be unreachable
# A query that could not be polled for this long no longer runs
QUERY_DROPPED_US = UNPOLLED_QUERY_US + LONG_POLL_US + 100_000
# Longer than any request waits; then no attempt needs the pool of a removed engine
UNUSED_POOL_US = 60_000_000
AVOIDED_REUSE_US = 1_000_000  # after a doubtful answer; equal answers come in series
AVOIDED_REUSE_SHARE = 2  # further connections are opened for it up to the limit on sockets divided by this
# The engines' idle timeout is divided by this, so that connections are closed before engines close them
IDLE_TIMEOUT_DIVISOR = 3


class ConnectFailure(Enum):
    """Why there is no connection."""

    REFUSED = auto()  # the host answers, but its process does not run or accepts no more connections
    TIMED_OUT = auto()  # no reply arrived in time
    TIMED_OUT_BUT_ALIVE = auto()  # the same, but the engine answered on other connections meanwhile
    BROKEN = auto()  # the connection opened and ended before it could be used
    FULL = auto()  # the engine accepts no more connections
    NO_SOCKETS = auto()  # the limit on sockets is reached


FAILURE_OF_ERRNO = {
    errno.ECONNREFUSED: ConnectFailure.REFUSED,
    errno.ECONNRESET: ConnectFailure.BROKEN,
    errno.EMFILE: ConnectFailure.NO_SOCKETS,
    errno.ENFILE: ConnectFailure.NO_SOCKETS,
    errno.ENOBUFS: ConnectFailure.NO_SOCKETS,
    errno.ENOMEM: ConnectFailure.NO_SOCKETS,
    errno.EADDRNOTAVAIL: ConnectFailure.NO_SOCKETS,  # all local ports are in use
}
"""Failure by the error of a connect; any other error counts as a timeout."""


class PooledStream(Stream):
    """A connection in a pool. It calls ``on_usable`` when it is open and its handshake, if any, is done.

    The system may still be sending a call when the connection is closed, and the engine would run it later.
    Therefore every end of a connection with an open call, the end of this process included, resets the
    connection, which drops what has not arrived.
    """

    def __init__(self, pool: Pool[PooledStream]) -> None:
        self.pool = pool
        self.idle_since_us = 0
        self.deadline_us = 0  # time at which the current call is aborted, us; 0: no limit
        self.on_usable: Callable[[], None] = lambda: None
        self.on_broken: Callable[[], None] = lambda: None
        self.incarnation = 0  # of the engine's process, as its pool counts them
        self.failure = ConnectFailure.BROKEN  # reported if the connection ends before it can be used
        self._resets_on_close = False

    @property
    def has_open_call(self) -> bool:
        """Whether a call was written that the engine has not answered."""
        return False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is established, before any call."""
        self._resets_on_close = self.set_reset_on_close(True)
        super().connection_made(transport)

    def eof_received(self) -> None:
        """Called by asyncio when the engine has closed its side; asyncio closes the connection next."""
        self._prepare_close()

    def close(self) -> None:
        """Close the connection; an open call is taken back."""
        self._prepare_close()
        super().close()

    def abort(self) -> None:
        """Close the connection immediately; an open call is taken back."""
        self._prepare_close()
        super().abort()

    def take_back(self) -> bool:
        """Close the connection and drop the part of the open call that the engine has not received.

        Returns whether nothing can arrive any more, which is unknown if the system refuses the reset.
        """
        self.abort()
        return self._resets_on_close

    def _prepare_close(self) -> None:
        """Choose a reset if a call is open, else an orderly end."""
        if self.closed_locally or self.lost:
            return
        if not self.has_open_call:
            self.set_reset_on_close(False)
        elif not self._resets_on_close:
            self._resets_on_close = self.set_reset_on_close(True)

    def release(self) -> None:
        """Return the connection to the pool after a call."""
        self.deadline_us = 0
        self.pool.put_idle(self)

    def ended(self) -> None:
        """Notify the pool and the pending acquire of the end of the connection."""
        if not self.closed_locally:
            self.pool.record_activity()
        self.pool.remove_stream(self)
        self.on_broken()


C = TypeVar("C", bound=PooledStream)


class SocketBudget:
    """Limit on the number of engine connections of all pools."""

    def __init__(self, max_sockets: int) -> None:
        self.max_sockets = max_sockets
        self.used = 0
        self.pools: list[Pool[PooledStream]] = []

    def may_open(self) -> bool:
        """Whether one more connection may be opened; an idle one is evicted for it if needed."""
        if self.used < self.max_sockets:
            return True
        for pool in self.pools:
            if pool.idle and self.used < self.max_sockets + MAX_EVICTED_PER_TURN:
                pool.idle.popleft().abort()
                return True
        return False


class PendingAcquire(Generic[C]):
    """An acquire that waits for its connection: ``done`` or ``failed`` is called once, unless cancelled."""

    def __init__(
        self, done: Callable[[C], None], failed: Callable[[ConnectFailure], None], started_us: int
    ) -> None:
        self.done = done
        self.failed = failed
        self.started_us = started_us
        self.pending_connect: PendingConnect | None = None
        self.stream: C | None = None
        self.timer: Timer | None = None
        self.connects = 0
        self.is_ended = False

    def finish(self) -> bool:
        """End the wait; true for the first call."""
        was_ended = self.is_ended
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
        return not was_ended

    def cancel(self) -> None:
        """Stop waiting, and abort the connection that is being opened."""
        if self.finish():
            if self.pending_connect is not None:
                self.pending_connect.abandon()
            if self.stream is not None:
                self.stream.pool.discard(self.stream)


class Pool(Generic[C]):
    """Pool of connections to one engine."""

    def __init__(
        self,
        engine: EngineId,
        address: Address,
        create_stream: Callable[[Pool[C]], C],
        connector: Connector,
        timers: Timers,
        sockets: SocketBudget,
        now: Callable[[], int],
        connect_timeout_us: int,
        idle_us: int,
    ) -> None:
        self.engine = engine
        self.address = address
        self._create_stream = create_stream
        self._connector = connector
        self._timers = timers
        self._sockets = sockets
        self.now = now
        self._connect_timeout_us = connect_timeout_us
        self._max_idle_us = idle_us // IDLE_TIMEOUT_DIVISOR
        self.idle: deque[C] = deque()
        self._streams: set[C] = set()  # counted in the budget: opening, busy or idle
        self.is_removed = False
        self.accepts_queries = True  # listed, and not draining
        self._incarnation = 0  # counts the processes that the list has had under this engine's name
        self._ready_at_us: int | None = None  # None: not listed yet
        self._removed_at_us = 0
        self._last_activity_us = now()
        self._backlog_until_us = 0
        self._avoid_reuse_until_us = 0
        self._last_answer_us = -1  # when data last arrived on an open connection, us
        sockets.pools.append(self)  # type: ignore[arg-type]

    def acquire(
        self, done: Callable[[C], None], failed: Callable[[ConnectFailure], None], fresh: bool = False
    ) -> PendingAcquire[C] | None:
        """Get a connection for one call; ``fresh``: open a new one, which proves that the engine accepts.

        An idle connection is passed to ``done`` within this call, and None is returned. In all other cases
        ``done`` or ``failed`` is called later.
        """
        pending = PendingAcquire(done, failed, self.now())
        while self.idle and not fresh and (self._is_quiet(self.idle[0]) or not self._may_avoid_reuse):
            stream = self._next_idle()
            if stream.is_stale():
                stream.abort()
                continue
            done(stream)
            return None
        if not self._sockets.may_open():
            log("pool", "no sockets are left for engine connections")
            pending.timer = self._timers.after(0, lambda: self._fail(pending, ConnectFailure.NO_SOCKETS))
            return pending
        pending.timer = self._timers.after(self._connect_timeout_us, lambda: self._time_out(pending))
        self._open_stream(pending)
        return pending

    def _next_idle(self) -> C:
        """The most recently used connection that is idle for ``DUPLICATE_WINDOW_US``, so that the others age
        and are closed; if there is none, the one that is idle for longest."""
        for index in range(len(self.idle) - 1, 0, -1):
            if self._is_quiet(self.idle[index]):
                stream = self.idle[index]
                del self.idle[index]
                return stream
        return self.idle.popleft()

    def _is_quiet(self, stream: C) -> bool:
        """Whether no duplicate of an earlier answer can arrive on an idle connection any more."""
        return stream.idle_since_us <= self.now() - DUPLICATE_WINDOW_US

    @property
    def _may_avoid_reuse(self) -> bool:
        """Whether to open a connection rather than use one that is not quiet: answers were doubtful recently,
        and there is room."""
        has_room = self._sockets.used < self._sockets.max_sockets // AVOIDED_REUSE_SHARE
        return has_room and self.now() < self._avoid_reuse_until_us

    def record_doubt(self) -> None:
        """Record that an answer may have been a duplicate, as its connection was used again quickly."""
        self._avoid_reuse_until_us = self.now() + AVOIDED_REUSE_US

    def _open_stream(self, pending: PendingAcquire[C]) -> None:
        stream = self._create_stream(self)
        stream.incarnation = self._incarnation
        pending.stream = stream
        pending.connects = pending.connects + 1
        self._streams.add(stream)
        self._sockets.used += 1
        stream.on_usable = lambda: self._deliver(pending, stream)
        stream.on_broken = lambda: self._fail(pending, stream.failure)
        pending.pending_connect = self._connector.connect(
            self.address,
            stream,
            self._connect_timeout_us,
            lambda error: self._fail(pending, FAILURE_OF_ERRNO.get(error, ConnectFailure.TIMED_OUT)),
        )

    def _time_out(self, pending: PendingAcquire[C]) -> None:
        """Fail the acquire, unless the connection opened in this turn of the loop: a process that got no CPU
        time sees both events at once."""
        if pending.stream is not None and pending.stream.sock is not None and not pending.stream.lost:
            pending.timer = self._timers.after(
                self._connect_timeout_us, lambda: self._fail(pending, ConnectFailure.TIMED_OUT)
            )
        else:
            self._fail(pending, ConnectFailure.TIMED_OUT)

    def _deliver(self, pending: PendingAcquire[C], stream: C) -> None:
        stream.on_broken = stream.on_usable = lambda: None
        if not pending.is_ended and not self._is_current(stream):
            self._fail(pending, ConnectFailure.BROKEN)
        elif pending.finish():
            pending.done(stream)
        else:
            stream.abort()

    def _fail(self, pending: PendingAcquire[C], failure: ConnectFailure) -> None:
        if (
            failure is ConnectFailure.BROKEN
            and not self.is_removed
            and not pending.is_ended
            and pending.connects < MAX_CONNECT_ATTEMPTS
        ):
            # No call was sent on it, so a new connection is as good, and shows more about the engine
            if pending.stream is not None:
                self.discard(pending.stream)
            self._open_stream(pending)
        elif pending.finish():
            if pending.pending_connect is not None:
                pending.pending_connect.abandon()
            if pending.stream is not None:
                self.discard(pending.stream)
            is_alive = failure is ConnectFailure.TIMED_OUT and self._last_answer_us >= pending.started_us
            pending.failed(ConnectFailure.TIMED_OUT_BUT_ALIVE if is_alive else failure)

    def after(self, delay_us: int, action: Callable[[], None]) -> Timer:
        """Run an action after a delay."""
        return self._timers.after(delay_us, action)

    def put_idle(self, stream: C) -> None:
        """Make a connection available for the next call."""
        if stream.lost or stream not in self._streams:
            return
        if self.is_removed or not self._is_current(stream):
            stream.close()
            return
        stream.idle_since_us = self.now()
        self.idle.append(stream)

    def discard(self, stream: C) -> None:
        """Abort a connection, open or not, and stop counting it."""
        self.remove_stream(stream)
        stream.abort()

    def remove_stream(self, stream: C) -> None:
        """Stop counting a connection."""
        if stream in self._streams:
            self._streams.discard(stream)
            self._sockets.used -= 1
        if stream in self.idle:
            self.idle.remove(stream)

    def update(self, entry: EngineEntry, address: Address) -> None:
        """Apply the engine's entry of the list; a changed address or start time means a new process."""
        if entry.state is EngineState.GONE:
            self.remove()
            return
        is_known = self._ready_at_us is not None
        is_new_process = self.is_removed or (
            is_known and (address != self.address or entry.ready_at_us != self._ready_at_us)
        )
        self.address = address
        self.is_removed = False
        self.accepts_queries = entry.state is EngineState.READY
        self._ready_at_us = entry.ready_at_us
        if is_new_process:
            self._start_incarnation()

    def remove(self) -> None:
        """Mark the engine as removed from the list; its address may be that of another one from now on."""
        self.is_removed = True
        self.accepts_queries = False
        self._removed_at_us = self.now()
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        """Stop using the connections for further calls, as they lead to an earlier process."""
        self._incarnation += 1
        self.close_idle()

    def _is_current(self, stream: C) -> bool:
        return stream.incarnation == self._incarnation

    def may_send_query(self, stream: C) -> bool:
        """Whether a query may be sent on a connection: to the listed process, and not while it drains."""
        return self.accepts_queries and self._is_current(stream)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for stream in list(self.idle):
            stream.abort()
        self.idle.clear()

    def sweep(self) -> None:
        """Close connections that are idle for long, before the engine closes them in the middle of a call.
        Abort calls past their deadline, as connections to an unresponsive engine would never be freed."""
        for stream in [
            stream for stream in self._streams if stream.deadline_us and self.now() > stream.deadline_us
        ]:
            stream.abort()
        while self.idle and self.now() - self.idle[0].idle_since_us > self._max_idle_us:
            self.idle.popleft().close()

    def record_answer(self) -> None:
        """Record that data arrived on an open connection: the engine's process runs."""
        self._last_answer_us = self.now()
        self.record_activity()

    def was_heard_since(self, time_us: int) -> bool:
        """Whether the engine has sent data since this time."""
        return self._last_answer_us >= time_us

    def record_activity(self) -> None:
        """Record activity of the engine's host; the end of a connection counts too."""
        if self.now() - self._last_activity_us > UNREACHABLE_AFTER_US:
            self._backlog_until_us = self.now() + QUERY_DROPPED_US
        self._last_activity_us = self.now()

    @property
    def was_unreachable(self) -> bool:
        """Whether the engine may have been unreachable recently, and may still read data sent meanwhile."""
        return self.now() < self._backlog_until_us

    @property
    def has_open_connection(self) -> bool:
        """Whether a connection to the engine is open."""
        return any(stream.transport is not None and not stream.closing for stream in self._streams)

    @property
    def is_unused(self) -> bool:
        """Whether the engine was removed long ago and no connection is left."""
        return self.is_removed and not self._streams and self.now() - self._removed_at_us > UNUSED_POOL_US

    def close(self) -> None:
        """Remove the pool from the budget; it must be unused."""
        self._sockets.pools.remove(self)  # type: ignore[arg-type]

    @property
    def host(self) -> str:
        """Address and port for a ``Host`` header."""
        return f"{self.address[0]}:{self.address[1]}"
