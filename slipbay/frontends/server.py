"""What all frontends share: listening, limits on clients, idle and slow clients, and draining."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from slipbay.address import Address
from slipbay.config.model import Limits
from slipbay.core.timers import Timer, Timers
from slipbay.frontends.client_connection import ClientConnection, EvictionCost
from slipbay.frontends.input_budget import InputBudget
from slipbay.frontends.output_budget import OutputBudget
from slipbay.frontends.turns import TurnScheduler
from slipbay.log import log

SWEEP_US = 500_000
MAX_CHEAP_EVICTIONS = 8  # in one call, of connections with a cost below EvictionCost.IDLE
ROOM_CHECK_US = 20_000  # interval, while accepting is paused
BACKLOG = 512  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_TURN = 32  # of the event loop, so that earlier clients are read before more are accepted
LINGER_US = 250_000  # for a client to close its side after the router has closed its own
MAX_UNCOUNTED_LINGERING = 12  # lingering connections that use reserve descriptors and do not count as clients
DEPARTURE_CHECK_US = 50_000
CROWD_DIVISOR = 4  # newcomers on more than this part of the client connections are a crowd


class Server:
    """All client connections of the process, of all frontends."""

    def __init__(self, timers: Timers, limits: Limits, now: Callable[[], int]) -> None:
        self._timers = timers
        self._limits = limits
        self.now = now
        self.connections: set[ClientConnection] = set()  # from when they are accepted
        self._listeners: dict[socket.socket, Callable[[], ClientConnection]] = {}
        self._room_check: Timer | None = None  # set while accepting is paused and clients wait in the backlog
        self.lingering: set[ClientConnection] = set()  # half-closed: the router's side is closed
        self.draining = False  # during shutdown: connections close once they have no open request
        self.turns = TurnScheduler(timers.soon, now)
        self.input_budget = InputBudget(limits.input_bytes, timers, now)
        self.output_budget = OutputBudget(limits.output_bytes, self.connections, now, self.bound_memory)
        self._departure_check: Timer | None = None  # set while a connection with open requests is not read
        self.on_empty: Callable[[], None] = lambda: None
        timers.after(SWEEP_US, self._sweep)

    def listen(self, address: Address, make_connection: Callable[[], ClientConnection]) -> None:
        """Accepts connections at an address; ``make_connection`` creates the protocol object of each.

        Raises:
            OSError: if the address cannot be listened on.
        """
        listener = socket.create_server(address, backlog=BACKLOG)
        listener.setblocking(False)
        self._listeners[listener] = make_connection
        asyncio.get_running_loop().add_reader(listener, self._accept_ready, listener)

    @property
    def listening(self) -> bool:
        """Whether the server has open listeners."""
        return bool(self._listeners)

    @property
    def ports(self) -> list[int]:
        """Ports of the listeners, in the order in which they were opened."""
        return [listener.getsockname()[1] for listener in self._listeners]

    def drain(self, timeout_us: int) -> None:
        """Stops accepting, closes connections once their requests are answered, and aborts the rest after
        ``timeout_us``."""
        self.draining = True
        self._timers.after(timeout_us, self._abort_all)
        for listener in self._listeners:
            while self._accept_one(listener):  # closing the listener resets connections in its backlog
                pass
        self._pause_accepting(ROOM_CHECK_US)
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for connection in list(self.connections):
            connection.close_if_drained()
        if not self.connections:
            self.on_empty()

    def _abort_all(self) -> None:
        """Aborts all connections, so that clients that read slowly cannot delay the end of the process."""
        for connection in list(self.connections):
            connection.abort()

    # Accepting clients

    def _accept_ready(self, listener: socket.socket) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept_one(listener):
                break

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accepts one client; returns False if none waits, the limit is reached or accepting fails.

        At the limit, further clients and the data that they send stay in the kernel until another client
        has left.
        """
        if not self.has_room:
            self._pause_accepting(0)
            return False
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as problem:  # the process or the system has no descriptors or no memory left
            log("client", "no connection can be accepted", reason=problem.strerror)
            self.evict_idle()
            self._pause_accepting(ROOM_CHECK_US)
            return False
        sock.setblocking(False)
        # asyncio sets TCP_NODELAY only on sockets that were created with an explicit protocol number
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self._listeners[listener]()
        connection.sock = sock
        self.connections.add(connection)
        # the loop holds a reference to what the task awaits, so no reference to the task is needed here
        asyncio.get_running_loop().create_task(self._make_transport(connection, sock))
        return True

    @staticmethod
    async def _make_transport(connection: ClientConnection, sock: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError:
            sock.close()
            connection.connection_lost(None)

    @property
    def has_room(self) -> bool:
        """Whether one more client may be accepted."""
        counted = len(self.connections) - min(len(self.lingering), MAX_UNCOUNTED_LINGERING)
        return counted < self._limits.client_sockets

    def _pause_accepting(self, wait_us: int) -> None:
        """Stops accepting until a client has left or a check, the first after ``wait_us``, finds room."""
        if self._room_check is None:
            for listener in self._listeners:
                asyncio.get_running_loop().remove_reader(listener)
            self._room_check = self._timers.after(wait_us, self._check_room)

    def _check_room(self) -> None:
        """Resumes accepting if there is room, else evicts idle clients.

        It runs from a timer, so the event loop has already processed the end of every connection that closed
        before this turn, and such a connection is not counted.
        """
        self._room_check = self._timers.after(ROOM_CHECK_US, self._check_room)
        if self.has_room:
            self._resume_accepting()
        elif len(self.lingering) < MAX_UNCOUNTED_LINGERING and not any(
            c.closes_next_turn for c in self.connections
        ):
            self.evict_idle()

    def _resume_accepting(self) -> None:
        if self._room_check is not None:
            self._room_check.cancel()
            self._room_check = None
            for listener in self._listeners:
                asyncio.get_running_loop().add_reader(listener, self._accept_ready, listener)

    def evict_idle(self) -> None:
        """Closes idle connections to make room for others, except those with unread data."""
        now = self.now()
        evicted = 0
        has_crowd = self._has_crowd_of_newcomers()
        idle = sorted(
            (connection.eviction_cost(now, has_crowd), connection.last_active_us, id(connection), connection)
            for connection in self.connections
            if not (connection.busy or connection.closing)
        )
        for cost, _, _, connection in idle:
            if connection.has_unread_data():
                continue
            if has_crowd and cost >= EvictionCost.IDLE:
                break
            if evicted >= (MAX_CHEAP_EVICTIONS if cost < EvictionCost.IDLE else 1):
                break
            log("client", "connection limit reached; an idle connection is closed")
            connection.close_gracefully()
            evicted += 1

    def _has_crowd_of_newcomers(self) -> bool:
        """Whether many clients have sent a part of their first message; they must not displace others."""
        newcomers = sum(connection.is_newcomer for connection in self.connections)
        return newcomers * CROWD_DIVISOR > self._limits.client_sockets

    def add(self, connection: ClientConnection) -> None:
        """Registers an established connection."""
        self.connections.add(connection)
        if self.draining:
            connection.close_if_drained()

    def add_lingering(self, connection: ClientConnection) -> None:
        """Registers a half-closed connection; it is closed if the client has not done so in ``LINGER_US``."""
        self.lingering.add(connection)
        self._timers.after(LINGER_US, lambda: self._close_lingering(connection))

    def _close_lingering(self, connection: ClientConnection) -> None:
        if not connection.lost and (connection.unsent or connection.is_being_read):
            # _sweep aborts connections of clients that do not read
            self._timers.after(LINGER_US, lambda: self._close_lingering(connection))
        else:
            connection.close()

    def remove(self, connection: ClientConnection) -> None:
        """Forgets a closed connection, and resumes accepting."""
        self.connections.discard(connection)
        self.lingering.discard(connection)
        self.input_budget.remove(connection)
        self._resume_accepting()
        if self.draining and not self.connections:
            self.on_empty()

    def watch_departures(self) -> None:
        """Notices, until all connections are read again, the ends of those with open requests."""
        if self._departure_check is None:
            self._departure_check = self._timers.after(DEPARTURE_CHECK_US, self._check_departures)

    def _check_departures(self) -> None:
        self._departure_check = None
        unread = [c for c in self.connections if c.is_reading_paused and c.has_open_requests]
        for connection in unread:
            connection.abandon_if_departed()
        if unread:
            self.watch_departures()

    def _sweep(self) -> None:
        """Closes idle connections, and enforces the memory limit, as buffers may grow in small steps."""
        now = self.now()
        for connection in list(self.connections):
            connection.note_progress()
            if connection.busy or now - connection.last_active_us <= connection.idle_us:
                continue
            if connection.unsent:
                connection.abort()
            elif not (connection.half_closed or connection.has_unread_data()):
                connection.close_gracefully()
        self.bound_memory()
        self._timers.after(SWEEP_US, self._sweep)

    def held(self) -> dict[str, int]:
        """Number of client connections, and the bytes that they hold."""
        return {
            "clients": len(self.connections),
            "unparsed_bytes": sum(connection.unparsed for connection in self.connections),
            "unsent_bytes": sum(connection.unsent for connection in self.connections),
        }

    def bound_memory(self) -> None:
        """Aborts the connections with the largest buffers until all together are within the limit."""
        largest_first = sorted(((c.unsent + c.unparsed, id(c), c) for c in self.connections), reverse=True)
        total = sum(size for size, _, _ in largest_first)
        for size, _, connection in largest_first:
            if total <= self._limits.connection_bytes:
                break
            total -= size
            log(
                "client",
                "limit of buffered bytes exceeded; a connection is aborted",
                unsent_bytes=connection.unsent,
                unparsed_bytes=connection.unparsed,
            )
            connection.abort()
