"""The list of engines: events known at the start, then those that the journal service tells."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any, TypeAlias

from martenkeel import interface as api
from slipbay.address import Address
from slipbay.config import Config, ConfigError, address
from slipbay.core.router import Host
from slipbay.core.timers import Timer, Timers
from slipbay.log import log
from slipbay.stream import Dial, Dialer, Stream
from slipbay.wire.lines import Lines, LineTooLong

STATES = {
    "SERVING": api.EngineState.READY,
    "DRAINING": api.EngineState.DRAINING,
    "DELETED": api.EngineState.GONE,
}
UNREADABLE = (ConfigError, KeyError, TypeError, ValueError, AttributeError, RecursionError)
MOST_LINE_BYTES = 4 * 1024 * 1024
SILENCE_US = 2_000_000  # a line comes each second; without one for two the connection is taken for dead
RETRY_US, MOST_RETRY_US = 200_000, 1_000_000  # the wait doubles from the first to the second
CONNECT_US = 1_000_000


Told: TypeAlias = Callable[[api.ListKind, list[Host]], None]


class Journal:
    """Follows the journal service; a cut only costs time, as it resumes after the last event that it has."""

    def __init__(self, config: Config, timers: Timers, dialer: Dialer, told: Told) -> None:
        self._timers, self._dialer, self._told = timers, dialer, told
        self._address, self._known = config.journal, config.known
        self._zones = {name: number for number, name in enumerate(config.zones)}
        self._kinds = {name: number for number, name in enumerate(config.kinds)}
        self.pos = 0
        self._asked_after = -1  # the last event before a gap that was asked about
        self._stream: _Tail | None = None
        self._dial: Dial | None = None
        self._due: Timer | None = None
        self._random, self._failures = Random(config.seed), 0  # connections in a row that brought nothing

    def start(self, wait_us: int = 0) -> None:
        """Tell the list of the start as one, then follow its changes, at first after ``wait_us``."""
        hosts: dict[bytes, Host] = {}
        for event in self._known.get("entries", []):
            try:
                pos, whole, changed = self._read(event)
            except UNREADABLE as problem:
                raise ConfigError(f"known.entries: {problem}") from None
            if whole:
                hosts.clear()
            hosts.update((host.entry.engine, host) for host in changed)
            self.pos = max(self.pos, pos)
        self.pos = max(self.pos, int(self._known.get("pos", 0)))
        self._told(
            api.ListKind.CACHED,
            [host for host in hosts.values() if host.entry.state is not api.EngineState.GONE],
        )
        if wait_us:
            self._due = self._timers.after(wait_us, self._connect)
        else:
            self._connect()

    def _read(self, event: dict[str, Any]) -> tuple[int, bool, list[Host]]:
        """One event; an entry that can't be read is left out, as the others must not wait for it."""
        hosts = []
        for item in event["hosts"]["hosts"]:
            try:
                hosts.append(self._host(item))
            except UNREADABLE as problem:
                log("journal", f"an entry cannot be read: {type(problem).__name__}: {problem}")
        return int(event["pos"]), bool(event["hosts"].get("whole")), hosts

    def _host(self, item: dict[str, Any]) -> Host:
        born = int(item.get("born_ms") or 0)
        state = STATES[item["health"]]
        gone = state is api.EngineState.GONE
        return Host(
            api.EngineEntry(
                engine=str(item["host"]).encode(),
                zone=self._zones.get(item.get("site", ""), 0),
                kind=self._kinds.get(item.get("class", ""), 0),
                cell=int(item.get("block") or 0),
                state=state,
                size=float(item.get("share") or 1.0),
                ready_at_us=born * 1000 if born > 0 else 0,
            ),
            address(item.get("dial") or ("0.0.0.0:0" if gone else None), "dial"),
        )

    def _connect(self) -> None:
        self._stream = _Tail(self)
        self._dial = self._dialer.dial(self._address, self._stream, CONNECT_US, lambda error: self._again())
        if self._dial is not None:
            self.heard()

    def follow(self, address: Address) -> None:
        """The journal service is at another address now; positions carry on there."""
        if address != self._address:
            log("journal", f"following {address[0]}:{address[1]} from {self.pos} on")
            self._address = address
            self._leave()
            self._connect()

    def _leave(self) -> None:
        """Let go of the connection, up or not; what it may still bring is not heeded."""
        stream, self._stream = self._stream, None
        if self._due is not None:
            self._due.cancel()
        if self._dial is not None:
            self._dial.give_up()
        if stream is not None:
            stream.abort()

    def _again(self) -> None:
        """Connect anew in a while, which differs between routers, so that they do not all come at once."""
        if self._due is not None:
            self._due.cancel()
        self._stream = None
        wait = min(RETRY_US << min(self._failures, 8), MOST_RETRY_US)
        self._failures += 1
        self._due = self._timers.after(int(wait * self._random.uniform(0.5, 1.0)), self._connect)

    def heard(self) -> None:
        if self._due is not None:
            self._due.cancel()
        self._due = self._timers.after(SILENCE_US, self._silent)

    def _silent(self) -> None:
        log("journal", "no word from the journal service; connecting anew")
        self._leave()
        self._again()

    def follows(self, stream: _Tail) -> bool:
        return stream is self._stream

    def cut(self, stream: _Tail) -> None:
        if self.follows(stream):
            log("journal", "the connection to the journal service ended; connecting anew")
            self._again()

    def take(self, stream: _Tail, line: bytes) -> None:
        if not self.follows(stream):
            return
        self.heard()
        self._failures = 0
        try:
            event = json.loads(line)
            if "hosts" not in event:  # the sign of life of each second
                if int(event["pos"]) > self.pos:
                    self._ask_again(stream, int(event["pos"]))
                return
            pos, whole, hosts = self._read(event)
        except UNREADABLE as problem:
            log("journal", f"a line cannot be read: {type(problem).__name__}: {problem}")
            return
        if pos <= self.pos:
            return  # told before the cut
        if pos > self.pos + 1 and not whole and self._asked_after != self.pos:
            self._ask_again(stream, pos)
            return
        self.pos = pos
        self._told(api.ListKind.FULL if whole else api.ListKind.DELTA, hosts)

    def _ask_again(self, stream: _Tail, pos: int) -> None:
        """Events were lost on their way, or could not be read: ask for them once."""
        if self._asked_after != self.pos:
            log("journal", f"event {pos} is out, {self.pos} is the last that came; asking for those between")
            self._asked_after = self.pos
            stream.abort()


class _Tail(Stream):
    def __init__(self, journal: Journal) -> None:
        self._journal, self._lines = journal, Lines(MOST_LINE_BYTES)

    def opened(self) -> None:
        if not self._journal.follows(self):  # it came up after we had given it up
            self.abort()
        self.write(b"tail %d\n" % self._journal.pos)

    def received(self, data: bytes) -> None:
        try:
            lines = self._lines.feed(data)
        except LineTooLong:
            self.abort()
            return
        for line in lines:
            if line:
                self._journal.take(self, line)

    def ended(self) -> None:
        self._journal.cut(self)
