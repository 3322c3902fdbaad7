"""Stores the retry budget, so that a restart does not reset it.

The requests and retries that the policy reports (``RetryBudgetRestored``) are summed over time steps and
written. The restored budget never allows more retries than the real one: each sum of retries is dated to the
end of its step, and a margin is added, because retries may be sent between the last write and a crash.

Work sent to cold engines needs no record: the policy counts the whole first window after a start as spent
(``SlowStart.has_room``), and no record of an earlier incarnation could improve on that.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgpack

from slipbay.idempotency.errors import UnreadableRecordError
from slipbay.idempotency.key_record import RETRY_BUDGET
from slipbay.policy.events import RetryBudgetRestored

if TYPE_CHECKING:
    from slipbay.core.timers import Timers
    from slipbay.store.errors import StoreError
    from slipbay.store.writer import Writer

STEP_US = 250_000  # amounts within a step are summed
MARGIN_RETRIES = 2  # added to the retries sent, if there are any, for those sent after the last write


def sum_by_step(items: Iterable[tuple[int, float]], round_up: bool) -> list[tuple[int, float]]:
    """Sum (time in us, amount) items over steps of ``STEP_US``.

    A sum is dated to the end of its step if ``round_up`` is set, else to its start.
    """
    sums: dict[int, float] = {}
    for at_us, amount in items:
        step = at_us // STEP_US + round_up
        sums[step] = sums.get(step, 0.0) + amount
    return sorted((step * STEP_US, amount) for step, amount in sums.items())


def encode(budget: RetryBudgetRestored) -> bytes:
    """Encode the budget as the value of its record in the store."""
    retries = sum_by_step(budget.retries, round_up=True)
    if retries:
        at_us, amount = retries[-1]
        retries[-1] = (at_us, amount + MARGIN_RETRIES)
    body: bytes = msgpack.packb([sum_by_step(budget.requests, round_up=False), retries])
    return body


def decode(value: bytes, now: int) -> RetryBudgetRestored:
    """Decode the event that restores a budget.

    Times after ``now``, which occur if a clock was set back, are replaced by ``now``. Raises
    ``UnreadableRecordError`` if this program did not write the value.
    """
    try:
        requests, retries = (
            [(min(int(at_us), now), float(amount)) for at_us, amount in items]
            for items in msgpack.unpackb(value)
        )
    except (ValueError, TypeError) as error:
        raise UnreadableRecordError("the record of the retry budget", error) from None
    return RetryBudgetRestored(tuple(requests), tuple(retries))


class RetryBudgetWriter:
    """Writes the budget after retries; at most one write is in progress, and the next one follows it."""

    def __init__(self, timers: Timers, writer: Writer, budget: Callable[[], RetryBudgetRestored]) -> None:
        """``budget`` reads the current budget of the policy."""
        self._timers = timers
        self._writer = writer
        self._budget = budget
        self._is_stale = False  # retries were sent since the budget was last written
        self._is_writing = False

    def retry_sent(self) -> None:
        """A retry is being sent: the budget is written once the policy's current actions are applied."""
        self._is_stale = True
        self._schedule()

    def _schedule(self) -> None:
        if self._is_stale and not self._is_writing:
            self._is_stale = False
            self._is_writing = True
            self._timers.after(0, self._write)

    def _write(self) -> None:
        self._writer.append([(RETRY_BUDGET, encode(self._budget()))], self._written, use_reserve=True)

    def _written(self, error: StoreError | None) -> None:
        self._is_writing = False
        if error is None:
            self._schedule()
