"""What the connections of all frontends share: received messages, unsent answers, and the end of a client."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from slipbay.frontends.input_budget import InputBudget
from slipbay.frontends.output_budget import FREE_BYTES as FREE_UNSENT_BYTES
from slipbay.frontends.output_budget import MAX_UNSENT_BYTES, OutputBudget
from slipbay.frontends.progress import Progress
from slipbay.frontends.turns import TurnScheduler
from slipbay.stream import Stream

IDLE_TIMEOUT_US = 6_000_000  # clients close idle connections after 4 s; this closes the rest
FIRST_MESSAGE_TIMEOUT_US = 2_000_000  # from connecting to the first complete message
MESSAGES_PER_CLOCK_READ = 4
OLD_UNREAD_US = 50_000  # data that is unread for so long may hide the end of the connection
SLOW_MESSAGE_US = 250_000  # from the first byte of a message on its rest is not expected soon
MAX_READ_AHEAD_BYTES = 1024 * 1024  # of one connection


class EvictionCost(IntEnum):
    """Cost to a client without open requests of losing its connection.

    When the connection limit is reached, connections with the lowest cost are closed first, and of these
    the one that has been inactive for longest.
    """

    NOTHING = 0  # idle for longer than a client keeps a connection that it still uses
    UNUSED = 1  # no message received yet; such connections must not displace those that send requests
    SLOW_MESSAGE = 2  # part of a message received, and the rest is not coming soon
    IDLE = 3  # the client may soon use the connection again
    PARTIAL_MESSAGE = 4  # part of a message received; the rest is on its way and may be a request


class ConnectionOwner(Protocol):
    """The server to which a connection belongs, and the budgets that its connections share."""

    now: Callable[[], int]
    turns: TurnScheduler
    input_budget: InputBudget
    output_budget: OutputBudget
    draining: bool

    def add(self, connection: ClientConnection) -> None:
        """Register an established connection."""

    def add_lingering(self, connection: ClientConnection) -> None:
        """Register a half-closed connection."""

    def remove(self, connection: ClientConnection) -> None:
        """Forget a closed connection."""

    def bound_memory(self) -> None:
        """Abort the connections with the largest buffers until all together are within the limit."""

    def watch_departures(self) -> None:
        """Notice the ends of connections that have open requests and are not read."""


class ClientConnection(Stream):
    """A client's connection; frontends implement their protocol in subclasses."""

    idle_us = FIRST_MESSAGE_TIMEOUT_US  # until the first complete message
    has_sent_message = False
    has_backlog = False  # received messages wait for a later turn
    client_has_left = False  # it has closed its side; what it sent before is dropped

    is_reading_paused = False
    may_hide_end = False  # the client may have closed behind data that is not read yet
    _undrained_since_us: int | None = None  # since when the kernel may have unread data
    _max_unsent_bytes = MAX_UNSENT_BYTES
    awaits_room = False  # the rest of a message is not read until there is memory for it

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.last_active_us = server.now()
        self.last_received_us = self.last_active_us
        self.receive_bytes = server.input_budget.receive_bytes
        self._progress = Progress(self.last_active_us)
        self._received_bytes = 0
        self._written_bytes = 0
        self._was_unacknowledged = False  # at the last look
        self._message_began_us: int | None = None  # when the first bytes of an incomplete message came

    @property
    def busy(self) -> bool:
        """Whether the connection has an open request, or received messages that may be requests."""
        return self.has_open_requests or self.has_backlog

    @property
    def has_open_requests(self) -> bool:
        """Whether a request waits for its answer."""
        raise NotImplementedError

    @property
    def unparsed(self) -> int:
        """Received bytes that have not been handled."""
        raise NotImplementedError

    @property
    def max_message_bytes(self) -> int:
        """Size of the longest message."""
        raise NotImplementedError

    @property
    def mid_message(self) -> bool:
        """Whether only a part of a message has been received."""
        return bool(self.unparsed)

    @property
    def is_newcomer(self) -> bool:
        """Whether the client has sent a part of its first message and no more."""
        return bool(self.unparsed) and not (self.has_sent_message or self.busy)

    def eviction_cost(self, now: int, has_crowd: bool = False) -> EvictionCost:
        """Cost to the client of closing the connection; valid only while it has no open request.

        ``has_crowd``: there are so many newcomers that each costs less than an idle client.
        """
        if self.unparsed:
            began_us = now if self._message_began_us is None else self._message_began_us
            is_slow = now - began_us >= SLOW_MESSAGE_US or (has_crowd and self.is_newcomer)
            return EvictionCost.SLOW_MESSAGE if is_slow else EvictionCost.PARTIAL_MESSAGE
        if 3 * (now - self.last_active_us) >= 2 * self.idle_us:
            return EvictionCost.NOTHING
        return EvictionCost.IDLE if self.has_sent_message else EvictionCost.UNUSED

    @property
    def closes_next_turn(self) -> bool:
        """Whether the descriptor is free in the next turn of the event loop."""
        return self.transport is not None and self.transport.is_closing() and not self.unsent

    def record_activity(self) -> None:
        """Restarts the idle timeout after a complete message or an answer."""
        self.last_active_us = self.server.now()

    def note_progress(self) -> None:
        """Restarts the idle timeout if a message is coming, or answers are read, at the minimum rate."""
        unacknowledged = self.unacknowledged
        taken_bytes = self._written_bytes - unacknowledged
        is_under_way = self.is_receiving or unacknowledged or self._was_unacknowledged
        self._was_unacknowledged = bool(unacknowledged)
        has_moved = self._progress.has_moved(self._received_bytes, taken_bytes, self.server.now())
        if is_under_way and has_moved:
            self.record_activity()

    @property
    def is_receiving(self) -> bool:
        """Whether the client has begun something and the rest of it is awaited."""
        return self.mid_message

    @property
    def is_being_read(self) -> bool:
        """Whether the client has not received all answers yet and has taken bytes of them recently."""
        idle_us = min(self.idle_us, IDLE_TIMEOUT_US)
        return bool(self.unacknowledged) and self.server.now() - self.last_active_us <= idle_us

    def extend_idle_timeout(self, idle_us: int) -> None:
        """Sets the longer idle timeout that a client has after its first valid message."""
        self.has_sent_message = True
        self.idle_us = idle_us

    def opened(self) -> None:
        """Registers the established connection with the server."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=self._max_unsent_bytes)
        self.server.add(self)

    def write(self, data: bytes) -> None:
        """Sends bytes; a client that does not read them is not read either once there are too many."""
        if not (self.lost or self.closing):
            self._written_bytes += len(data)
        super().write(data)
        if self.unsent > FREE_UNSENT_BYTES:
            self.server.output_budget.check()

    def limit_unsent(self, max_bytes: int) -> None:
        """Reads no more from the client while it has more unsent answers."""
        if max_bytes != self._max_unsent_bytes and self.transport is not None:
            self._max_unsent_bytes = max_bytes
            self.transport.set_write_buffer_limits(high=max_bytes)

    def abandon_if_departed(self) -> None:
        """Abandons the requests of a client that has closed its side, although the end is not read yet."""
        if self.has_peer_closed():
            self._client_left()

    def ended(self) -> None:
        """Handles the end of the connection: removes it from the server and abandons its requests."""
        self.server.remove(self)
        self.abandon_requests()

    def eof_received(self) -> None:
        """Abandons open requests when the client closes its side.

        The transport closes, and ``ended`` follows, only once the client has read all answers.
        """
        self._client_left()

    def abandon_requests(self) -> None:
        """Abandons all open requests after the client has disconnected. May be called twice."""
        raise NotImplementedError

    def buffer_updated(self, nbytes: int) -> None:
        """Handles received bytes, and those that the kernel still has, so that the end of the connection is
        noticed before the requests in front of it are sent."""
        if nbytes == len(self.get_buffer(-1)) and not self.half_closed:
            self._take_input(bytes(self.get_buffer(-1)))
            self._note_undrained()
            self._read_ahead()
            self.received(b"")
        else:
            super().buffer_updated(nbytes)
        if self.server.draining:
            self.close_if_drained()

    def _read_ahead(self) -> None:
        """Reads until no more data is there, the client has closed its side, or the limit is reached."""
        budget = self.server.input_budget
        while self.sock is not None and not self.closing and self.unparsed < MAX_READ_AHEAD_BYTES:
            budget.update(self)
            if not budget.has_room_to_read_ahead():
                return
            try:
                data = self.sock.recv(self.receive_bytes)
            except OSError:  # no more data, or a broken connection, whose end the transport reports
                return
            if not data:
                self.client_has_left = True  # the transport reads the end again
                return
            self._take_input(data)

    def received(self, data: bytes) -> None:
        """Handles received bytes: their complete messages in order, as far as one turn permits."""
        self.last_received_us = self.server.now()
        if data:
            self._take_input(data)
        if not self.has_backlog:
            self.server.turns.run(self)

    def _take_input(self, data: bytes) -> None:
        self._received_bytes += len(data)
        self.buffer_input(data)

    def handle_messages(self, until_us: int) -> bool:
        """Handles messages until a time; returns whether complete messages may be left.

        What a client sent before it closed the connection is dropped, as it waits for no answer.
        """
        if self.client_has_left or self.has_peer_closed():
            self._client_left()
        self.may_hide_end = self._has_old_unread_data()
        handled = 0
        while not self.closing and self.handle_message():
            handled += 1
            if handled % MESSAGES_PER_CLOCK_READ == 0 and self.server.turns.exact_now() >= until_us:
                self.await_turn()
                return True
        if self.closing:
            self.drop_input()
        self._note_rest(handled)
        if self.server.draining:
            self.close_if_drained()
        return False

    def _note_undrained(self) -> None:
        if self._undrained_since_us is None:
            self._undrained_since_us = self.server.turns.exact_now()

    def _has_old_unread_data(self) -> bool:
        """Whether data may be unread for so long that the client may have closed behind it meanwhile."""
        if self._undrained_since_us is None:
            return False
        if not self.has_unread_data():
            self._undrained_since_us = None
            return False
        return self.server.turns.exact_now() - self._undrained_since_us >= OLD_UNREAD_US

    def _note_rest(self, handled: int) -> None:
        """Account for the incomplete message that is left after ``handled`` complete ones."""
        if not self.unparsed:
            self._message_began_us = None
        elif handled or self._message_began_us is None:
            self._message_began_us = self.server.now()
        budget = self.server.input_budget
        budget.update(self)
        self._set_reading(has_backlog=False, awaits_room=not budget.admit(self))

    def _set_reading(self, has_backlog: bool, awaits_room: bool) -> None:
        if (has_backlog, awaits_room) != (self.has_backlog, self.awaits_room):
            self.has_backlog = has_backlog
            self.awaits_room = awaits_room
            self.flow_changed()

    def await_turn(self) -> None:
        """Receives no more until the next turn."""
        self.server.input_budget.update(self)
        self._set_reading(has_backlog=True, awaits_room=False)

    def room_granted(self) -> None:
        """Reads on, as there is memory for the rest of the message."""
        self._set_reading(self.has_backlog, awaits_room=False)

    @property
    def is_reclaimable(self) -> bool:
        """Whether closing the connection loses no request that the client has sent completely."""
        return not (self.busy or self.closing or self.has_unread_data())

    def reclaim_input(self) -> None:
        """Drops an incomplete message and closes the connection."""
        self.drop_input()
        self._note_rest(0)
        self.close_gracefully()

    def _client_left(self) -> None:
        self.client_has_left = True
        self.drop_input()
        self._note_rest(0)
        self.abandon_requests()

    def buffer_input(self, data: bytes) -> None:
        """Buffers received bytes."""
        raise NotImplementedError

    def drop_input(self) -> None:
        """Drops all bytes that are not handled yet."""
        raise NotImplementedError

    def handle_message(self) -> bool:
        """Handles the next complete message; returns False if there is none."""
        raise NotImplementedError

    def close_if_drained(self) -> None:
        """Closes the connection during a drain, if it has no open request and no unread or partial message.

        A client that writes slowly may have sent only part of a message; that message is answered too.
        """
        if self.server.draining and not (
            self.closing or self.busy or self.mid_message or self.has_unread_data()
        ):
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Closes the router's side first, as a full close could reset the connection before the client has
        read all answers."""
        self.half_close()
        self.server.add_lingering(self)

    def flow_changed(self) -> None:
        """Pauses reading while the client does not read its answers, so that it cannot send more requests,
        while received messages wait for their turn, and while a message waits for memory.

        Otherwise the connection is always read, as the client may cancel a request or disconnect.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if self.congested:
            self.server.bound_memory()
        self.is_reading_paused = self.congested or self.has_backlog or self.awaits_room
        if self.is_reading_paused:
            self._note_undrained()
            self.transport.pause_reading()
            self.server.watch_departures()
        else:
            self.transport.resume_reading()
