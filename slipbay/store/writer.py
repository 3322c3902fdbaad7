"""Runs a store in a dedicated thread: group commits, results by callback in order, compaction when idle."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias

from slipbay.store.commit_queue import Append, CommitQueue, Grouping, OnDone, StoreCall
from slipbay.store.engine import Change, Store, StoreState
from slipbay.store.errors import StoreError, StoreFullError, StoreWriteError, disk_error_text

THREAD_SWITCH_S = 0.0005  # longest time that another thread waits (``sys.setswitchinterval``)
CLOSE_TIMEOUT_S = 5  # for the last commits

Post: TypeAlias = Callable[[Callable[[], None]], None]
"""Schedules a call in the event loop; raises ``RuntimeError`` if the loop is closed."""


@dataclass(frozen=True, slots=True)
class Health:
    """A snapshot of the store's state."""

    state: StoreState = StoreState.READ_ONLY
    problem: str = "the store is being read"  # why the store is not writable; empty if it is
    used_bytes: int = 0
    live_records: int = 0
    sequence: int = 0  # of the last change


class Writer:
    """Runs a store in a thread. ``post`` schedules all callbacks in the event loop."""

    def __init__(self, open_store: Callable[[], Store], grouping: Grouping, post: Post) -> None:
        self._open_store = open_store
        self._post = post
        self._queue = CommitQueue(grouping)
        self._retry_delay_s = grouping.retry_delay_s
        self._next_retry_s = 0.0  # time of the next try after a failure, monotonic clock; 0: no failure
        self.health = Health()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._load: Callable[[Store], object] = lambda _: None
        self._opened: Callable[[object, str], None] = lambda _contents, _problem: None
        self.after_commit: Callable[[Store], None] | None = None
        """Called in the thread after each commit that may not use the reserve, before the commit is reported
        as durable. If it raises ``OSError``, the commit fails. To be set in ``load``."""

    def start(self, load: Callable[[Store], object], opened: Callable[[object, str], None]) -> None:
        """Open the store and call ``load`` in the thread, then ``opened`` once in the event loop.

        ``opened`` gets the result of ``load`` and an empty string, or ``None`` and the error's text.
        """
        self._load = load
        self._opened = opened
        self._thread.start()

    # Called in the event loop

    def append(self, changes: list[Change], on_done: OnDone, use_reserve: bool = False) -> None:
        """Make changes durable together, after all earlier appends; then call ``on_done``.

        ``use_reserve``: the changes end or delete a record, and may use the reserved space.
        """
        self._queue.put(Append(changes, use_reserve, on_done))

    def append_deferred(self, changes: list[Change], on_done: OnDone) -> None:
        """As ``append`` with ``use_reserve``, but deferred until the next append, read or ``flush``.

        For changes that no request waits for: they share the sync of other changes and do not wake the
        thread.
        """
        self._queue.put_deferred(Append(changes, True, on_done))

    def flush(self) -> None:
        """Queue the deferred appends."""
        self._queue.flush()

    def get(self, key: bytes, done: Callable[[bytes | None], None]) -> None:
        """Read a value and call ``done`` with it; ``None`` if there is none or it cannot be read."""

        def read(store: Store) -> None:
            try:
                value = store.get(key)
            except (StoreError, OSError):
                value = None
            self._call_back(partial(done, value))

        self._queue.put(StoreCall(read))

    def close(self) -> None:
        """Commit all appends, then close the store; blocks until then, or for ``CLOSE_TIMEOUT_S``."""
        self._queue.close()
        self._thread.join(CLOSE_TIMEOUT_S)

    @property
    def ended(self) -> bool:
        """Whether the thread has ended: all appends are processed and the store is closed."""
        return not self._thread.is_alive()

    @property
    def waiting(self) -> int:
        """Number of appends and reads that have not begun."""
        return len(self._queue)

    # Called in the store's thread

    def _call_back(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop is closed, so no caller waits for a result
            self._post(call)

    def _run(self) -> None:
        try:
            store = self._open_store()
            contents = self._load(store)
        except (StoreError, OSError) as problem:
            text = f"{problem.filename}: {problem.strerror}" if isinstance(problem, OSError) else str(problem)
            self.health = Health(StoreState.READ_ONLY, text)
            self._call_back(lambda: self._opened(None, text))
            self._reject_all(text)
            return
        self._update_health(store)
        self._call_back(lambda: self._opened(contents, ""))
        try:
            while self._run_once(store):
                pass
        finally:
            store.close()

    def _reject_all(self, text: str) -> None:
        """Fail each append until the queue is closed, because the store could not be opened."""
        while True:
            item = self._queue.next_item()
            if item is None:
                return
            if isinstance(item, Append):
                self._call_back(partial(item.on_done, StoreWriteError(text)))

    def _run_once(self, store: Store) -> bool:
        """Run one compaction step, then one group or one call; False once the queue is closed and empty."""
        if not self._compact(store):
            is_idle = store.state is StoreState.WRITABLE and not self._next_retry_s
            self._queue.wait(None if is_idle else self._retry_delay_s)
        if self._queue.finished:
            return False
        if store.state is StoreState.READ_ONLY and time.monotonic() >= self._next_retry_s:
            store.heal()
            self._schedule_retry()
            self._update_health(store)
        group = self._queue.next_group()
        if isinstance(group, StoreCall):
            group.run(store)
        elif group:
            self._commit(store, group)
        return True

    def _schedule_retry(self) -> None:
        self._next_retry_s = time.monotonic() + self._retry_delay_s

    def _compact(self, store: Store) -> bool:
        """Run one compaction step if one is due and no failure is recent; returns whether one was run."""
        if time.monotonic() < self._next_retry_s:
            return False
        try:
            stepped = store.compact_step()
        except StoreWriteError:
            self._schedule_retry()
            return False
        self._next_retry_s = 0.0
        return stepped

    def _commit(self, store: Store, group: list[Append]) -> None:
        problem: StoreError | None = None
        try:
            self._write(store, group)
        except StoreFullError as full:
            problem = full
            if len(group) > 1:  # some may fit alone, in particular those that may use the reserve
                for item in group:
                    self._commit(store, [item])
                return
        except StoreWriteError as failure:
            problem = failure
            self._schedule_retry()
        self._update_health(store)
        self._call_back(lambda: _report(group, problem))

    def _write(self, store: Store, group: list[Append]) -> None:
        use_reserve = all(item.use_reserve for item in group)
        store.commit([change for item in group for change in item.changes], use_reserve)
        if self.after_commit is None or use_reserve:
            return
        try:
            self.after_commit(store)
        except OSError as failure:
            reason = f"the marker: writing failed: {disk_error_text(failure)}"
            raise StoreWriteError(reason, failure) from failure

    def _update_health(self, store: Store) -> None:
        self.health = Health(store.state, store.problem, store.used_bytes, len(store), store.sequence)


def _report(group: list[Append], problem: StoreError | None) -> None:
    for item in group:
        item.on_done(problem)
