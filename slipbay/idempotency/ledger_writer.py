"""Writes the changes of the ledger that no request waits for."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from slipbay.core.timers import Timers
from slipbay.idempotency.key_record import Change
from slipbay.idempotency.ledger import Ledger
from slipbay.log import log
from slipbay.store.errors import StoreError
from slipbay.store.writer import Writer

MAX_DELAY_US = 3_000  # time for which changes may be deferred, so that several share one sync


class LedgerWriter:
    """Passes changes to the store's thread, and writes them again if they failed.

    If changes are lost in a crash, a repeat of the request is answered that it may have run.
    """

    def __init__(self, timers: Timers, writer: Writer, on_failure: Callable[[], None]) -> None:
        """``on_failure`` is called when the store cannot write."""
        self._timers = timers
        self._writer = writer
        self.report_failure = on_failure
        self._is_flush_scheduled = False
        self.unwritten: set[bytes] = set()  # keys of the store whose last changes could not be written

    def write(self, changes: list[Change]) -> None:
        """Write changes within ``MAX_DELAY_US``."""
        if changes:
            self._writer.append_deferred(changes, partial(self._written, changes))
            if not self._is_flush_scheduled:
                self._is_flush_scheduled = True
                self._timers.after(MAX_DELAY_US, self._flush)

    def rewrite_failed(self, ledger: Ledger) -> None:
        """Write the present state of keys whose changes failed, if the store can write again."""
        if self.unwritten and not self._writer.health.problem:
            keys = self.unwritten
            self.unwritten = set()
            self.write(ledger.rewrite(keys))

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        self._writer.flush()

    def _written(self, changes: list[Change], error: StoreError | None) -> None:
        if error is not None:
            log("store", "writing changes failed; they are written again", changes=len(changes), reason=error)
            self.unwritten.update(key for key, _ in changes)
            self.report_failure()
