"""Shares the processor among client connections that have many received messages to handle.

A connection handles its messages when they arrive, for at most ``TURN_US``, unless the time of all
connections in this iteration of the event loop is used up. What is left is handled in later turns, in
rotation with the other connections, those with little input first, so that no client delays the others by how
much it sends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

TURN_US = 1_000  # of one connection
ROUND_US = (
    4_000  # of all connections in one iteration of the event loop, for new input and for later turns each
)
SHORT_INPUT_BYTES = 2 * 1024


class MessageHandler(Protocol):
    """A connection with received messages."""

    @property
    def unparsed(self) -> int:
        """Received bytes that are not handled yet."""

    def handle_messages(self, until_us: int) -> bool:
        """Handle messages until a time; returns whether complete messages may be left."""

    def await_turn(self) -> None:
        """Receive no more until the next turn."""


class TurnScheduler:
    """Gives connections turns in rotation. Times are in microseconds of the ``exact_now`` clock."""

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object], exact_now: Callable[[], int]
    ) -> None:
        self._call_soon = call_soon
        self.exact_now = exact_now
        self._short: deque[MessageHandler] = deque()  # waiting, with at most ``SHORT_INPUT_BYTES`` of input
        self._long: deque[MessageHandler] = deque()  # waiting, with more
        self._iteration_end_us: int | None = None  # None: no input has come in this iteration of the loop

    def run(self, connection: MessageHandler) -> None:
        """Give a connection a turn, as data has arrived on it, and further ones if it needs them."""
        now_us = self.exact_now()
        if self._iteration_end_us is None:
            self._begin_iteration(now_us)
        assert self._iteration_end_us is not None
        if now_us >= self._iteration_end_us:
            connection.await_turn()
            self._enqueue(connection)
        elif connection.handle_messages(now_us + TURN_US):
            self._enqueue(connection)

    def _begin_iteration(self, now_us: int) -> None:
        self._iteration_end_us = now_us + ROUND_US
        self._call_soon(self._run_round)

    def _enqueue(self, connection: MessageHandler) -> None:
        waiting = self._short if connection.unparsed <= SHORT_INPUT_BYTES else self._long
        waiting.append(connection)

    def _run_round(self) -> None:
        """Give turns to the connections that wait; runs in each iteration while there are any."""
        self._iteration_end_us = None
        started_us = self.exact_now()
        end_us = started_us + ROUND_US
        try:
            self._give_turns(self._short, started_us + ROUND_US // 2)
            self._give_turns(self._long, end_us)
            self._give_turns(self._short, end_us)
        finally:  # if one connection fails, the others still get their turns
            if self._short or self._long:
                self._begin_iteration(self.exact_now())

    def _give_turns(self, waiting: deque[MessageHandler], end_us: int) -> None:
        for _ in range(len(waiting)):
            now_us = self.exact_now()
            if now_us >= end_us:
                break
            connection = waiting.popleft()
            if connection.handle_messages(min(end_us, now_us + TURN_US)):
                self._enqueue(connection)
