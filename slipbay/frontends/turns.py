"""Shares the processor among client connections that have many received messages to handle.

A connection handles its messages when they arrive, for at most ``TURN_US``. What is left then is handled in
later turns, in rotation with the other connections, so that no client delays the others by how much it sends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

TURN_US = 1_000  # of one connection
ROUND_US = 4_000  # of all connections in one iteration of the event loop


class MessageHandler(Protocol):
    """A connection with received messages."""

    def handle_messages(self, until_us: int) -> bool:
        """Handle messages until a time; returns whether complete messages may be left."""


class TurnScheduler:
    """Gives connections turns in rotation. Times are in microseconds of the ``exact_now`` clock."""

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object], exact_now: Callable[[], int]
    ) -> None:
        self._call_soon = call_soon
        self.exact_now = exact_now
        self._waiting: deque[MessageHandler] = deque()
        self._is_scheduled = False

    def run(self, connection: MessageHandler) -> None:
        """Give a connection a turn at once, as data has arrived on it, and further ones if it needs them."""
        if connection.handle_messages(self.exact_now() + TURN_US):
            self.enqueue(connection)

    def enqueue(self, connection: MessageHandler) -> None:
        """Give a connection its next turn after all others that wait."""
        self._waiting.append(connection)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_round)

    def _run_round(self) -> None:
        self._is_scheduled = False
        end_us = self.exact_now() + ROUND_US
        for _ in range(len(self._waiting)):
            now_us = self.exact_now()
            if now_us >= end_us:
                break
            connection = self._waiting.popleft()
            if connection.handle_messages(min(end_us, now_us + TURN_US)):
                self._waiting.append(connection)
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_round)
