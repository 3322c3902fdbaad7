"""What the fronts share: listening, the number of clients, idle ones, slow readers, and the way out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from slipbay.address import Address
from slipbay.config import Limits
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.stream import Stream

IDLE_US = 6_000_000  # clients close theirs after 4 s; this is for those that hold on to it for good
FIRST_US = 2_000_000  # a client that says nothing whole for so long after it came is let go
SWEEP_US = 500_000


class Server:
    """All client connections of the process, whatever they speak."""

    def __init__(self, timers: Timers, limits: Limits, now: Callable[[], int]) -> None:
        self._timers, self._limits, self.now = timers, limits, now
        self.connections: set[ClientConnection] = set()
        self._listeners: list[asyncio.Server] = []
        self.leaving = False  # the process is to end: connections close once nothing is open on them
        self.emptied: Callable[[], None] = lambda: None
        timers.after(SWEEP_US, self._sweep)

    async def listen(self, address: Address, make: Callable[[], ClientConnection]) -> None:
        loop = asyncio.get_running_loop()
        self._listeners.append(await loop.create_server(make, *address, backlog=512))

    @property
    def listening(self) -> bool:
        return bool(self._listeners)

    @property
    def ports(self) -> list[int]:
        """Those that are listened on, in the order of their start."""
        return [listener.sockets[0].getsockname()[1] for listener in self._listeners]

    def leave(self, at_most_us: int) -> None:
        """Take no connections any more, and let go of those that are done, and in the end of all."""
        self.leaving = True
        self._timers.after(at_most_us, self._cut_off)
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for connection in list(self.connections):
            connection.settled()
        if not self.connections:
            self.emptied()

    def _cut_off(self) -> None:
        """Guards against readers so slow that their last answer would keep the process from its end."""
        for connection in list(self.connections):
            connection.abort()

    def joined(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        if len(self.connections) > self._limits.client_sockets:
            idle = [c for c in self.connections if not (c.busy or c.closing or c is connection)]
            # Those that open connections and say nothing must not push out those that ask.
            victim = min(idle, key=lambda c: (c.spoke, c.touched)) if idle else connection
            log("client", "too many connections; one is closed")
            victim.close()

    def left(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if self.leaving and not self.connections:
            self.emptied()

    def _sweep(self) -> None:
        """Idle connections go; memory is looked at here too, as it grows in small steps."""
        now = self.now()
        for connection in list(self.connections):
            if not connection.busy and now - connection.touched > connection.idle_us:
                connection.close() if not connection.unsent else connection.abort()
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
            log("client", f"a connection is cut off with {connection.unsent} bytes unsent and "
                          f"{connection.unparsed} of a request that has not come whole")
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

    def touch(self) -> None:
        """A whole message came, or a request was answered."""
        self.touched = self.server.now()

    def welcome(self, idle_us: int) -> None:
        """It has said something that makes it a client; from now on it may be idle for longer."""
        self.spoke, self.idle_us = True, idle_us

    def opened(self) -> None:
        self.server.joined(self)

    def ended(self) -> None:
        self.server.left(self)

    def settled(self) -> None:
        """A request was answered; on the way out the connection closes with its last one."""
        self.touch()
        if self.server.leaving and not self.busy:
            self.close()

    def flow_changed(self) -> None:
        """A client that does not read its answers gets to send no further requests meanwhile."""
        if self.transport is not None and not self.transport.is_closing():
            if self.congested:
                self.transport.pause_reading()
                self.server.bound_memory()
            else:
                self.transport.resume_reading()
