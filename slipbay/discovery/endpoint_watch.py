"""Watches the list of engines: first the events in the configuration, then those of the journal service.

The service sends one JSON event a line, with increasing positions, on a TCP connection that the router opens
with the position of the last event that it has.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from slipbay.address import Address
from slipbay.config.model import Config
from slipbay.config.validation import ConfigError
from slipbay.core.model import Endpoint
from slipbay.core.timers import Timer, Timers
from slipbay.discovery.watch_events import EndpointListReader, Heartbeat, ListChange, UnreadableEventError
from slipbay.log import log
from slipbay.policy.events import ListKind
from slipbay.stream import Connector, PendingConnect, Stream
from slipbay.wire.lines import Lines, LineTooLongError

MAX_LINE_BYTES = 4 * 1024 * 1024
# A heartbeat is sent each second; without a line for this time the connection counts as broken
SILENCE_TIMEOUT_US = 2_000_000
MAX_DOUBLINGS = 3  # of the timeout, once for each silent connection, as the service may be that slow
# The delay doubles from the minimum to the maximum
MIN_RETRY_DELAY_US = 200_000
MAX_RETRY_DELAY_US = 1_000_000
CONNECT_TIMEOUT_US = 1_000_000


EndpointListener: TypeAlias = Callable[[ListKind, list[Endpoint]], None]
"""Called with all endpoints, or with those that have changed."""


@dataclass(slots=True)
class WatchGap:
    """Events that the service has sent and that were not received."""

    last_received_pos: int
    detections: int = 0  # how often something showed the gap

    @property
    def is_request_due(self) -> bool:
        """Whether to request the events again.

        This is so at detections 1, 3, 7, 15 and so on: a whole fleet would otherwise request each second
        events that the service does not have.
        """
        return (self.detections & (self.detections + 1)) == 0


class EndpointWatch:
    """Receives the events of the journal service.

    A lost connection delays events and loses none: the watch resumes after the last event that it has.
    """

    def __init__(
        self, config: Config, timers: Timers, connector: Connector, notify: EndpointListener
    ) -> None:
        self._timers = timers
        self._connector = connector
        self._notify = notify
        self._address = config.journal
        self._initial_events = config.known
        self._reader = EndpointListReader(config.zones, config.kinds)
        self.pos = 0
        self._gap: WatchGap | None = None
        self._stream: _WatchStream | None = None
        self._pending_connect: PendingConnect | None = None
        self._timer: Timer | None = None
        self._random = Random(config.seed)
        self._failures = 0  # connections in a row without an event
        self._silent_connections = 0  # in a row, at most ``MAX_DOUBLINGS``

    def start(self, wait_us: int = 0) -> None:
        """Report the configured list as a whole, then connect to the service, after ``wait_us``."""
        for number, item in enumerate(self._initial_events.get("entries", [])):
            try:
                event = self._reader.read(item)
            except UnreadableEventError as problem:
                raise ConfigError(f"known.entries[{number}]: {problem}") from None
            self.pos = max(self.pos, event.pos)
            if isinstance(event, ListChange):
                self._reader.apply(event)
        self.pos = max(self.pos, int(self._initial_events.get("pos", 0)))
        self._notify(ListKind.CACHED, self._reader.endpoints)
        if wait_us:
            self._timer = self._timers.after(wait_us, self._connect)
        else:
            self._connect()

    def _connect(self) -> None:
        self._stream = _WatchStream(self)
        self._pending_connect = self._connector.connect(
            self._address, self._stream, CONNECT_TIMEOUT_US, lambda _error: self._schedule_reconnect()
        )
        self._restart_silence_timer()

    def follow(self, address: Address) -> None:
        """Connect to another address of the journal service; positions continue there."""
        if address != self._address:
            log(
                "journal",
                "address of the service changed; reconnecting",
                address=f"{address[0]}:{address[1]}",
                position=self.pos,
            )
            self._address = address
            # Failures and gap belong to the old address
            self._failures = 0
            self._silent_connections = 0
            self._gap = None
            self._disconnect()
            self._connect()

    def _disconnect(self) -> None:
        """Close the connection, established or not; events that it still delivers are ignored."""
        stream = self._stream
        self._stream = None
        if self._timer is not None:
            self._timer.cancel()
        if self._pending_connect is not None:
            self._pending_connect.abandon()
        if stream is not None:
            stream.abort()

    def _schedule_reconnect(self) -> None:
        """Connect again after a delay with jitter, so that not all routers connect at the same time."""
        if self._timer is not None:
            self._timer.cancel()
        self._stream = None
        delay_us = min(MIN_RETRY_DELAY_US << min(self._failures, 8), MAX_RETRY_DELAY_US)
        self._failures += 1
        self._timer = self._timers.after(int(delay_us * self._random.uniform(0.5, 1.0)), self._connect)

    def connection_opened(self, stream: _WatchStream) -> None:
        """Request the events on a new connection; close it if it was abandoned meanwhile."""
        if self.is_current(stream):
            self._restart_silence_timer()
            stream.write(b"tail %d\n" % self.pos)
        else:
            stream.abort()

    def _restart_silence_timer(self) -> None:
        """Give the connection the full time until the next line."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.after(SILENCE_TIMEOUT_US << self._silent_connections, self._on_silence)

    def _on_silence(self) -> None:
        if (
            self._stream is not None and self._stream.has_unread_data()
        ):  # received, but this process was too busy to read it
            self._restart_silence_timer()
            return
        log("journal", "no line from the service in time; reconnecting")
        self._silent_connections = min(self._silent_connections + 1, MAX_DOUBLINGS)
        self._disconnect()
        self._schedule_reconnect()

    def is_current(self, stream: _WatchStream) -> bool:
        """Whether a connection is the one in use."""
        return stream is self._stream

    def connection_ended(self, stream: _WatchStream) -> None:
        """Reconnect if the connection in use has ended."""
        if self.is_current(stream):
            log("journal", "connection to the service ended; reconnecting")
            self._schedule_reconnect()

    def line_received(self, stream: _WatchStream, line: bytes) -> None:
        """Process a line of a connection."""
        if not self.is_current(stream):
            return
        try:
            event = self._reader.read_line(line)
        except UnreadableEventError as problem:
            log("journal", "unreadable line ignored", reason=problem)
            return
        self._failures = 0
        self._silent_connections = 0
        self._restart_silence_timer()
        if event.pos <= self.pos:
            return  # received on an earlier connection, or a heartbeat without a gap
        if isinstance(event, Heartbeat):
            self._handle_gap(event.pos)
        elif event.pos == self.pos + 1 or event.is_full_list or not self._handle_gap(event.pos):
            self.pos = event.pos
            self._reader.apply(event)
            self._notify(ListKind.FULL if event.is_full_list else ListKind.DELTA, list(event.endpoints))

    def _handle_gap(self, pos: int) -> bool:
        """Request events up to ``pos`` again, which were lost or could not be read, if a request is due.

        Return whether they are requested. Later lines of this connection are then ignored, as they follow the
        gap.
        """
        if self._gap is None or self._gap.last_received_pos != self.pos:
            self._gap = WatchGap(self.pos)
        self._gap.detections += 1
        if not self._gap.is_request_due:
            return False
        log("journal", "events are missing; requesting them again", after=self.pos, up_to=pos)
        self._disconnect()
        self._schedule_reconnect()
        return True


class _WatchStream(Stream):
    def __init__(self, watch: EndpointWatch) -> None:
        self._watch = watch
        self._lines = Lines(MAX_LINE_BYTES)

    def opened(self) -> None:
        self._watch.connection_opened(self)

    def received(self, data: bytes) -> None:
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            self.abort()
            return
        for line in lines:
            if line:
                self._watch.line_received(self, line)

    def ended(self) -> None:
        self._watch.connection_ended(self)
