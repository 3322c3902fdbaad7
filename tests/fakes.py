"""A fake event loop, clock and connections without sockets. Time advances only when a test advances it."""

from __future__ import annotations

import asyncio
import errno
import heapq
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from slipbay.core.timers import Timers
from slipbay.stream import LINGER_RESET, Stream


class Handle:
    def __init__(self, when: float, order: int, action: Callable[[], None]) -> None:
        self.when = when
        self.order = order
        self.action = action
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True

    def __lt__(self, other: Handle) -> bool:
        return (self.when, self.order) < (other.when, other.order)


class FakeLoop:
    """Fake of both the event loop and the clock."""

    def __init__(self) -> None:
        self.us = 1_000_000_000
        self._count = 0
        self._heap: list[Handle] = []
        self._soon: deque[Callable[[], None]] = deque()
        self.timers = Timers(self, self)  # type: ignore[arg-type]

    def now(self) -> int:
        return self.us

    def to_loop_time(self, when: int) -> float:
        return when / 1e6

    def call_at(self, when: float, action: Callable[[], None]) -> Handle:
        self._count += 1
        handle = Handle(when, self._count, action)
        heapq.heappush(self._heap, handle)
        return handle

    def call_soon(self, action: Callable[..., None], *args: Any) -> None:
        self._soon.append(lambda: action(*args))

    def settle(self) -> None:
        while self._soon:
            self._soon.popleft()()

    def advance(self, us: int) -> None:
        self.settle()
        end_us = self.us + us
        while self._heap and self._heap[0].when * 1e6 <= end_us + 0.5:
            handle = heapq.heappop(self._heap)
            self.us = max(self.us, round(handle.when * 1e6))
            if not handle.is_cancelled:
                handle.action()
            self.settle()
        self.us = end_us


class FakeTransport(asyncio.Transport):
    """Passes all written bytes to ``on_write``, which acts as the other side of the connection."""

    def __init__(
        self, loop: FakeLoop, stream: Stream, on_write: Callable[[FakeTransport, bytes], None]
    ) -> None:
        super().__init__()
        self.loop = loop
        self.stream = stream
        self._take = on_write
        self.on_reset: Callable[[], None] = lambda: None  # a close drops what the other side has not received
        self.was_reset = False
        self.closing = False
        self.reads = True

    def write(self, data: Any) -> None:
        assert not self.closing
        self._take(self, bytes(data))

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.reads = False

    def resume_reading(self) -> None:
        self.reads = True

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """Closes the connection in the next turn, as the other side closes when it receives the end."""
        self.loop.call_soon(self.close)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.was_reset = getattr(self.stream.sock, "resets_on_close", False)
            if self.was_reset:
                self.on_reset()
            self.loop.call_soon(self.stream.connection_lost, None)

    abort = close


class QuietSocket:
    """A socket without unread data."""

    resets_on_close = False

    def recv(self, size: int, flags: int) -> bytes:
        raise BlockingIOError

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        return bytes([1])  # established

    def setsockopt(self, level: int, option: int, value: bytes) -> None:
        if option == socket.SO_LINGER:
            self.resets_on_close = value == LINGER_RESET

    def shutdown(self, how: int) -> None: ...


class EndedSocket(QuietSocket):
    """A socket whose other side has closed."""

    def recv(self, size: int, flags: int) -> bytes:
        return b""


class FakeConnector:
    """Holds connection attempts until the test accepts or refuses them."""

    def __init__(self, loop: FakeLoop, on_write: Callable[[FakeTransport, bytes], None]) -> None:
        self.loop = loop
        self._take = on_write
        self.waiting: list[tuple[Stream, Callable[[int], None]]] = []
        self.transports: list[FakeTransport] = []

    def connect(
        self, address: object, stream: Stream, timeout_us: int, failed: Callable[[int], None]
    ) -> FakeConnector.Attempt:
        self.waiting.append((stream, failed))
        return FakeConnector.Attempt(self, stream)

    class Attempt:
        def __init__(self, connector: FakeConnector, stream: Stream) -> None:
            self._connector = connector
            self._stream = stream

        def abandon(self) -> None:
            self._connector.waiting = [
                item for item in self._connector.waiting if item[0] is not self._stream
            ]

    def accept(self, index: int, sock: QuietSocket | None = None) -> FakeTransport:
        stream, _ = self.waiting.pop(index)
        stream.sock = sock or QuietSocket()  # type: ignore[assignment]
        transport = FakeTransport(self.loop, stream, self._take)
        self.transports.append(transport)
        stream.connection_made(transport)
        return transport

    def refuse(self, index: int, error: int = errno.ECONNREFUSED) -> None:
        self.waiting.pop(index)[1](error)
