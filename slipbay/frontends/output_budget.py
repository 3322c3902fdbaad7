"""Limits the memory of answers that clients do not read.

A connection may have ``MAX_UNSENT_BYTES`` of unsent answers. Once all connections together have more than
the capacity, each that has more than ``FREE_BYTES`` is not read any more until its client has read them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

FREE_BYTES = 16 * 1024
MAX_UNSENT_BYTES = 2 * 1024 * 1024  # of one connection: the maximum of open requests with the longest answers
CHECK_US = 10_000


class OutputHolder(Protocol):
    """A connection whose output is limited."""

    @property
    def unsent(self) -> int:
        """Bytes that have not yet been passed to the kernel."""

    def limit_unsent(self, max_bytes: int) -> None:
        """Read no more from the client while it has more unsent answers."""


class OutputBudget:
    """The memory of all connections' unsent answers."""

    def __init__(
        self,
        capacity_bytes: int,
        connections: Collection[OutputHolder],
        now: Callable[[], int],
        enforce_limit: Callable[[], None],
    ) -> None:
        """``enforce_limit`` is called while the capacity is exceeded."""
        self._capacity_bytes = capacity_bytes
        self._connections = connections
        self._now = now
        self._enforce_limit = enforce_limit
        self._checked_us = 0

    def check(self) -> None:
        """Limit connections if there is too much unsent; called when one has more than ``FREE_BYTES``."""
        now_us = self._now()
        if now_us - self._checked_us < CHECK_US:
            return
        self._checked_us = now_us
        total_bytes = sum(connection.unsent for connection in self._connections)
        if total_bytes > self._capacity_bytes:
            for connection in list(self._connections):
                connection.limit_unsent(FREE_BYTES)
            self._enforce_limit()
        elif total_bytes < self._capacity_bytes // 2:
            for connection in list(self._connections):
                connection.limit_unsent(MAX_UNSENT_BYTES)
