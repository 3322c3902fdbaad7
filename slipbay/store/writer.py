"""A store in a thread of its own: commits in groups, answers by callback in order, compaction when idle."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias

from slipbay.store.commit_queue import Append, CommitQueue, Done, Grouping, StoreCall
from slipbay.store.engine import Change, Store, StoreState
from slipbay.store.errors import StoreError, StoreFullError, StoreWriteError, disk_error_text

THREAD_SWITCH_S = (
    0.0005  # after which a thread that waits for the interpreter gets it (``sys.setswitchinterval``)
)
CLOSE_S = 5  # that closing waits for the last commits

Post: TypeAlias = Callable[[Callable[[], None]], None]
"""Hands a call to the event loop; raises ``RuntimeError`` once that has ended."""


@dataclass(frozen=True, slots=True)
class Health:
    """What can be said of the store at a moment."""

    state: StoreState = StoreState.READ_ONLY
    problem: str = "the store is being read"
    used_bytes: int = 0
    live_records: int = 0
    sequence: int = 0  # of the last change


class Writer:
    """Runs a store. All callbacks come through ``post``, which hands them to the event loop.

    ``opened`` is called once, with the store's first contents as ``load`` made them, or with the error.
    """

    def __init__(self, make: Callable[[], Store], grouping: Grouping, post: Post) -> None:
        self._make = make
        self._post = post
        self._queue = CommitQueue(grouping)
        self._retry_s = grouping.retry_s
        self._retry_at = 0.0  # when to try again after a failure, by the monotonic clock; 0 without any
        self.health = Health()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._load: Callable[[Store], object] = lambda _: None
        self._opened: Callable[[object, str], None] = lambda _contents, _problem: None
        self.after_commit: Callable[[Store], None] | None = None
        """Called in the thread after each commit of more than ends, before it is reported as durable; an
        ``OSError`` of it fails the commit. Set it in ``load``."""

    def start(self, load: Callable[[Store], object], opened: Callable[[object, str], None]) -> None:
        """Open the store; ``load`` runs in the thread, and ``opened(contents, problem)`` in the loop."""
        self._load = load
        self._opened = opened
        self._thread.start()

    # From the loop

    def append(self, changes: list[Change], done: Done, use_reserve: bool = False) -> None:
        """Make changes durable together, after all that was appended before; then call ``done``.

        ``use_reserve``: they end or delete something, and may use the reserve of room.
        """
        self._queue.put(Append(changes, use_reserve, done))

    def append_late(self, changes: list[Change], done: Done) -> None:
        """As ``append`` with ``use_reserve``, but kept back until the next append or ``flush``: for changes
        that
        nobody waits for, so that they share another's sync and do not wake the thread."""
        self._queue.put_late(Append(changes, True, done))

    def flush(self) -> None:
        """Begin what was appended late."""
        self._queue.flush()

    def get(self, key: bytes, done: Callable[[bytes | None], None]) -> None:
        """Read a value; ``None`` where there is none, or where it can't be read."""

        def read(store: Store) -> None:
            try:
                value = store.get(key)
            except (StoreError, OSError):
                value = None
            self._call_back(partial(done, value))

        self._queue.put(StoreCall(read))

    def close(self) -> None:
        """Commit what was appended, then close. Returns once that is done, or after some seconds."""
        self._queue.close()
        self._thread.join(CLOSE_S)

    @property
    def ended(self) -> bool:
        """Whether all is written that ever will be, and the store closed."""
        return not self._thread.is_alive()

    @property
    def waiting(self) -> int:
        """Appends and reads not yet begun."""
        return len(self._queue)

    # In the thread

    def _call_back(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended; nobody is left to call back
            self._post(call)

    def _run(self) -> None:
        try:
            store = self._make()
            contents = self._load(store)
        except (StoreError, OSError) as problem:
            text = f"{problem.filename}: {problem.strerror}" if isinstance(problem, OSError) else str(problem)
            self.health = Health(StoreState.READ_ONLY, text)
            self._call_back(lambda: self._opened(None, text))
            self._refuse_all(text)
            return
        self._update_health(store)
        self._call_back(lambda: self._opened(contents, ""))
        try:
            while self._turn(store):
                pass
        finally:
            store.close()

    def _refuse_all(self, text: str) -> None:
        """The store can't be opened: each append fails until the end."""
        while True:
            item = self._queue.next_item()
            if item is None:
                return
            if isinstance(item, Append):
                self._call_back(partial(item.done, StoreWriteError(text)))

    def _turn(self, store: Store) -> bool:
        """A little compaction, then one group or one call; false at the end."""
        if not self._compact(store):
            idle = store.state is StoreState.WRITABLE and not self._retry_at
            self._queue.wait(None if idle else self._retry_s)
        if self._queue.finished:
            return False
        if store.state is StoreState.READ_ONLY and time.monotonic() >= self._retry_at:
            store.heal()
            self._retry_later()
            self._update_health(store)
        group = self._queue.next_group()
        if isinstance(group, StoreCall):
            group.run(store)
        elif group:
            self._commit(store, group)
        return True

    def _retry_later(self) -> None:
        self._retry_at = time.monotonic() + self._retry_s

    def _compact(self, store: Store) -> bool:
        """One step of what is due; after a failure none for a while."""
        if time.monotonic() < self._retry_at:
            return False
        try:
            stepped = store.compact_step()
        except StoreWriteError:
            self._retry_later()
            return False
        self._retry_at = 0.0
        return stepped

    def _commit(self, store: Store, group: list[Append]) -> None:
        problem: StoreError | None = None
        try:
            self._write(store, group)
        except StoreFullError as full:
            problem = full
            if len(group) > 1:  # some may still have room, above all those that may use the reserve
                for item in group:
                    self._commit(store, [item])
                return
        except StoreWriteError as failure:
            problem = failure
            self._retry_later()
        self._update_health(store)
        self._call_back(lambda: _answer(group, problem))

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


def _answer(group: list[Append], problem: StoreError | None) -> None:
    for item in group:
        item.done(problem)
