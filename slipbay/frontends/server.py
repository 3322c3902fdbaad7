"""What the fronts share: listening, the number of clients, idle ones, slow readers, and the way out."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import IntEnum

from slipbay.address import Address
from slipbay.config.model import Limits
from slipbay.core.timers import Timer, Timers
from slipbay.log import log
from slipbay.stream import Stream

IDLE_US = 6_000_000  # clients close theirs after 4 s; this is for those that hold on to it for good
FIRST_US = 2_000_000  # a client that says nothing whole for so long after it came is let go
SWEEP_US = 500_000
MOST_EVICTED_AT_ONCE = 8  # of those that lose nothing, where there is no room
RETRY_US = 20_000  # until the next look for room
BACKLOG = 512  # of clients that the system holds until we take them
MOST_ACCEPTED_AT_ONCE = 32  # taken in one turn, so that those taken are read before many more are
LINGER_US = 250_000  # that a client has to end its side of a connection that we ended
MOST_LINGERING = 12  # of these that hold descriptors of the reserve, and take up no client's room
MOST_UNSENT = 2 * 1024 * 1024  # bytes of answers on one connection: as many as can be open, at their longest


class EvictionCost(IntEnum):
    """What a client without an open request loses with its connection. Where there is no room, those that
    lose least go first, and of these the one that has said nothing for longest."""

    NOTHING = 0  # it has kept the connection for longer than clients do that want it
    UNUSED = 1  # a connection on which it has not said anything: such must not push out those that ask
    IDLE = 2  # a connection that it may use again soon
    PART = 3  # a part of a message: the rest is on its way, and may be a request


class Server:
    """All client connections of the process, whatever they speak."""

    def __init__(self, timers: Timers, limits: Limits, now: Callable[[], int]) -> None:
        self._timers = timers
        self._limits = limits
        self.now = now
        self.connections: set[ClientConnection] = set()  # from the moment they are taken from the system
        self._listeners: dict[socket.socket, Callable[[], ClientConnection]] = {}
        self._room_check: Timer | None = None  # there is no room: those who come wait with the system
        self.lingering: set[ClientConnection] = set()  # those of which we have ended our side
        self.draining = False  # the process is to end: connections close once nothing is open on them
        self.on_empty: Callable[[], None] = lambda: None
        timers.after(SWEEP_US, self._sweep)

    def listen(self, address: Address, make: Callable[[], ClientConnection]) -> None:
        """Raises OSError where that cannot be done."""
        listener = socket.create_server(address, backlog=BACKLOG)
        listener.setblocking(False)
        self._listeners[listener] = make
        asyncio.get_running_loop().add_reader(listener, self._accept_ready, listener)

    @property
    def listening(self) -> bool:
        """Whether clients are taken."""
        return bool(self._listeners)

    @property
    def ports(self) -> list[int]:
        """Those that are listened on, in the order of their start."""
        return [listener.getsockname()[1] for listener in self._listeners]

    def drain(self, at_most_us: int) -> None:
        """Take no connections any more, and let go of those that are done, and in the end of all."""
        self.draining = True
        self._timers.after(at_most_us, self._abort_all)
        for listener in self._listeners:
            while self._accept_one(listener):  # what they sent would be lost with the listener
                pass
        self._pause_accepting(RETRY_US)
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for connection in list(self.connections):
            connection.close_if_drained()
        if not self.connections:
            self.on_empty()

    def _abort_all(self) -> None:
        """Guards against readers so slow that their last answer would keep the process from its end."""
        for connection in list(self.connections):
            connection.abort()

    # Clients come

    def _accept_ready(self, listener: socket.socket) -> None:
        for _ in range(MOST_ACCEPTED_AT_ONCE):
            if not self._accept_one(listener):
                break

    def _accept_one(self, listener: socket.socket) -> bool:
        """Take one client from the system, if one waits and there is room. Never more than may be held: what
        those beyond it send stays with the system until there is room."""
        if not self.has_room:
            self._pause_accepting(0)
            return False
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as problem:  # the system is short of descriptors or of memory
            log("client", "no connection can be accepted", reason=problem.strerror)
            self.evict_idle()
            self._pause_accepting(RETRY_US)
            return False
        sock.setblocking(False)
        # asyncio does so itself only for sockets made with the protocol's number, which these are not
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self._listeners[listener]()
        connection.sock = sock
        self.connections.add(connection)
        asyncio.get_running_loop().create_task(self._begin(connection, sock))  # the loop holds what it awaits
        return True

    @staticmethod
    async def _begin(connection: ClientConnection, sock: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError:
            sock.close()
            connection.connection_lost(None)

    @property
    def has_room(self) -> bool:
        """Whether one more client may be taken."""
        staying = len(self.connections) - min(len(self.lingering), MOST_LINGERING)
        return staying < self._limits.client_sockets

    def _pause_accepting(self, wait_us: int) -> None:
        """Take none until one has left, or until the look for room that follows."""
        if self._room_check is None:
            for listener in self._listeners:
                asyncio.get_running_loop().remove_reader(listener)
            self._room_check = self._timers.after(wait_us, self._check_room)

    def _check_room(self) -> None:
        """The ends of all clients that went before this turn have been read: none of them takes up room."""
        self._room_check = self._timers.after(RETRY_US, self._check_room)
        if self.has_room:
            self._resume_accepting()
        elif len(self.lingering) < MOST_LINGERING and not any(c.closes_next_turn for c in self.connections):
            self.evict_idle()

    def _resume_accepting(self) -> None:
        if self._room_check is not None:
            self._room_check.cancel()
            self._room_check = None
            for listener in self._listeners:
                asyncio.get_running_loop().add_reader(listener, self._accept_ready, listener)

    def evict_idle(self) -> None:
        """Make room for others, if any client can be let go: none that has sent what we have not read."""
        now = self.now()
        room = 0
        idle = sorted(
            (connection.eviction_cost(now), connection.touched, id(connection), connection)
            for connection in self.connections
            if not (connection.busy or connection.closing)
        )
        for loss, _, _, connection in idle:
            if connection.has_unread_data():
                continue
            if room >= (MOST_EVICTED_AT_ONCE if loss < EvictionCost.IDLE else 1):
                break
            log("client", "too many connections; one is closed")
            connection.close_gracefully()
            room += 1

    def add(self, connection: ClientConnection) -> None:
        """A client's connection is up."""
        self.connections.add(connection)
        if self.draining:
            connection.close_if_drained()

    def add_lingering(self, connection: ClientConnection) -> None:
        """We have ended our side of a connection; the client has so long to end its own."""
        self.lingering.add(connection)
        self._timers.after(LINGER_US, lambda: self._close_lingering(connection))

    def _close_lingering(self, connection: ClientConnection) -> None:
        if connection.unsent and not connection.lost:
            # the sweep cuts off slow readers
            self._timers.after(LINGER_US, lambda: self._close_lingering(connection))
        else:
            connection.close()

    def remove(self, connection: ClientConnection) -> None:
        """A client's connection has ended."""
        self.connections.discard(connection)
        self.lingering.discard(connection)
        self._resume_accepting()
        if self.draining and not self.connections:
            self.on_empty()

    def _sweep(self) -> None:
        """Idle connections go; memory is looked at here too, as it grows in small steps."""
        now = self.now()
        for connection in list(self.connections):
            if connection.busy or now - connection.touched <= connection.idle_us:
                continue
            if connection.unsent:
                connection.abort()
            elif not (connection.half_closed or connection.has_unread_data()):
                connection.close_gracefully()
        self.bound_memory()
        self._timers.after(SWEEP_US, self._sweep)

    def bound_memory(self) -> None:
        """Where connections hold too much, those that hold most of it are cut off."""
        held = sorted(((c.unsent + c.unparsed, id(c), c) for c in self.connections), reverse=True)
        total = sum(size for size, _, _ in held)
        for size, _, connection in held:
            if total <= self._limits.connection_bytes:
                break
            total -= size
            log(
                "client",
                "memory is short; a connection is cut off",
                unsent_bytes=connection.unsent,
                unparsed_bytes=connection.unparsed,
            )
            connection.abort()


class ClientConnection(Stream):
    """A client's connection; fronts add their wire to it."""

    idle_us = FIRST_US  # until it has said something whole
    spoke = False

    def __init__(self, server: Server) -> None:
        self.server = server
        self.touched = server.now()

    @property
    def busy(self) -> bool:
        """Whether a request is open on it."""
        raise NotImplementedError

    @property
    def unparsed(self) -> int:
        """Bytes of a message that has not come whole."""
        raise NotImplementedError

    @property
    def mid_message(self) -> bool:
        """Whether a message has come in part."""
        return bool(self.unparsed)

    def eviction_cost(self, now: int) -> EvictionCost:
        """What letting it go would cost its client, if no request is open on it."""
        if self.unparsed:
            return EvictionCost.PART
        if 3 * (now - self.touched) >= 2 * self.idle_us:
            return EvictionCost.NOTHING
        return EvictionCost.IDLE if self.spoke else EvictionCost.UNUSED

    @property
    def closes_next_turn(self) -> bool:
        """Whether its descriptor is free in the next turn."""
        return self.transport is not None and self.transport.is_closing() and not self.unsent

    def touch(self) -> None:
        """A whole message came, or a request was answered."""
        self.touched = self.server.now()

    def welcome(self, idle_us: int) -> None:
        """It has said something that makes it a client; from now on it may be idle for longer."""
        self.spoke = True
        self.idle_us = idle_us

    def opened(self) -> None:
        """The connection is up; the server counts it."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=MOST_UNSENT)
        self.server.add(self)

    def ended(self) -> None:
        """The connection has ended, and with it what its client wanted."""
        self.server.remove(self)
        self.departed()

    def eof_received(self) -> None:
        """Told before the transport closes, which it does only once the client has read all."""
        self.departed()

    def departed(self) -> None:
        """Its client has gone: nobody wants what is open on it any more. May be told twice."""
        raise NotImplementedError

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes in; while the process drains, a connection closes once nothing is open on it."""
        super().buffer_updated(nbytes)
        if self.server.draining:
            self.close_if_drained()

    def close_if_drained(self) -> None:
        """On the way out the connection closes with its last answer, but not in the middle of a message: the
        rest of a slow writer's is on its way, and gets an answer too."""
        if self.server.draining and not (
            self.closing or self.busy or self.mid_message or self.has_unread_data()
        ):
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Close, without a reset of what the client has not read yet."""
        self.half_close()
        self.server.add_lingering(self)

    def flow_changed(self) -> None:
        """A client that reads none of its answers gets to send no further requests meanwhile. Until then it
        is read from, as it may cancel or leave."""
        if self.transport is not None and not self.transport.is_closing():
            if self.congested:
                self.transport.pause_reading()
                self.server.bound_memory()
            else:
                self.transport.resume_reading()
