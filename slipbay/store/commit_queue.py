"""The queue from the event loop to a store's thread: changes to commit, and calls that need the store."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from slipbay.store.engine import Change, Store
from slipbay.store.errors import StoreError

OnDone: TypeAlias = Callable[[StoreError | None], None]
"""Called with ``None`` once the changes are durable, or with the error if none of them was accepted."""


@dataclass(frozen=True, slots=True)
class Grouping:
    """How commits are grouped. Changes that arrive while the disk is busy always form the next group."""

    max_changes: int = 256
    max_bytes: int = 1024 * 1024
    max_wait_us: int = 0  # time for which a group waits for more changes
    retry_delay_us: int = 1_000_000  # time between attempts to write again after a failure

    @property
    def retry_delay_s(self) -> float:
        """``retry_delay_us`` in seconds."""
        return self.retry_delay_us / 1e6


@dataclass(slots=True)
class Append:
    """Changes to be made durable together; ``use_reserve``: they may use the reserved space."""

    changes: list[Change]
    use_reserve: bool
    on_done: OnDone
    size: int = field(init=False)  # bytes of keys and values

    def __post_init__(self) -> None:
        self.size = sum(len(key) + len(value or b"") for key, value in self.changes)


@dataclass(slots=True, frozen=True)
class StoreCall:
    """A function to call with the store in the store's thread."""

    run: Callable[[Store], None]


class CommitQueue:
    """Passes appends and calls from the event loop to the store's thread, in order."""

    def __init__(self, grouping: Grouping) -> None:
        self._grouping = grouping
        self._changed = threading.Condition()
        self._items: deque[Append | StoreCall] = deque()
        self._deferred: list[Append] = []  # used by the event loop only; not visible to the thread yet
        self._closing = False

    def __len__(self) -> int:
        return len(self._items)

    # Called in the event loop

    def put(self, *items: Append | StoreCall) -> None:
        """Queue items, after all deferred ones."""
        with self._changed:
            self._items.extend(self._deferred)
            self._items.extend(items)
            self._changed.notify()
        self._deferred.clear()

    def put_deferred(self, item: Append) -> None:
        """Defer an append until the next ``put`` or ``flush``."""
        self._deferred.append(item)

    def flush(self) -> None:
        """Queue the deferred appends."""
        if self._deferred:
            self.put()

    def close(self) -> None:
        """Accept no more items; those that are queued are still processed."""
        self.flush()
        with self._changed:
            self._closing = True
            self._changed.notify()

    # Called in the store's thread

    def wait(self, timeout_s: float | None) -> None:
        """Wait until an item is queued or the queue is closed; ``None``: without a time limit."""
        with self._changed:
            if not self._items and not self._closing:
                self._changed.wait(timeout_s)

    @property
    def finished(self) -> bool:
        """Whether the queue is closed and empty."""
        with self._changed:
            return self._closing and not self._items

    def next_item(self) -> Append | StoreCall | None:
        """Wait for the next item; ``None`` once the queue is closed and empty."""
        with self._changed:
            while not self._items and not self._closing:
                self._changed.wait()
            return self._items.popleft() if self._items else None

    def next_group(self) -> list[Append] | StoreCall:
        """The next call, or the next group of appends; an empty group if nothing is queued."""
        if self._grouping.max_wait_us:
            self._wait_for_more()
        group: list[Append] = []
        changes = 0
        size = 0
        with self._changed:
            while self._items:
                item = self._items[0]
                if isinstance(item, StoreCall):
                    if group:
                        break
                    self._items.popleft()
                    return item
                changes += len(item.changes)
                size += item.size
                if group and (changes > self._grouping.max_changes or size > self._grouping.max_bytes):
                    break
                self._items.popleft()
                group.append(item)
        return group

    def _wait_for_more(self) -> None:
        end_s = time.monotonic() + self._grouping.max_wait_us / 1e6
        with self._changed:
            while not self._closing and len(self._items) < self._grouping.max_changes:
                remaining_s = end_s - time.monotonic()
                if remaining_s <= 0 or not self._changed.wait(remaining_s):
                    break
