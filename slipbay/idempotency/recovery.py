"""Recovery after a crash: determines how to find out the outcome of each open intent, and what was found.

This module does no I/O: ``choose_method`` selects the way to query an outcome, and ``classify_outcome``
determines what the answer proves. A request whose outcome is not found out in time counts as one that may
have run.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from slipbay.policy.events import Outcome

if TYPE_CHECKING:  # backends import this module, and the store's modules are loaded only if it is enabled
    from slipbay.idempotency.key_record import Intent, KeyRecord

UPTIME_SLACK_US = 2_000_000  # MySQL servers report their uptime in whole seconds, and clocks may differ


class RecoveryMethod(Enum):
    """How to find out the outcome of an intent."""

    QUERY = "ask"  # query the HTTP engine by the id of the query; needs the same engine process
    KILL = "kill"  # kill the MySQL thread, and then record that the request may have run
    NONE = "none"  # the outcome cannot be found out


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """An engine as the endpoint list describes it."""

    started_us: int


def choose_method(intent: Intent | None, engines: Mapping[bytes, ListedEngine]) -> RecoveryMethod:
    """Choose how to query an intent's outcome.

    An HTTP engine that was removed or restarted has lost the query and no longer runs it.
    """
    if intent is None:
        return RecoveryMethod.NONE
    listed = engines.get(intent.engine)
    if intent.wire == "mysql":  # the server reports its uptime itself
        return RecoveryMethod.KILL
    if listed is None or listed.started_us != intent.engine_started_us:
        return RecoveryMethod.NONE
    return RecoveryMethod.QUERY


def is_same_server(sent_us: int, uptime_s: int, now: int) -> bool:
    """Whether the MySQL server process that ran when an attempt was sent still runs.

    Only then does the recorded thread number belong to the attempt. Returns False if this is uncertain:
    killing the thread of another client does harm, while not killing the attempt's thread breaks no
    guarantee.
    """
    return now - uptime_s * 1_000_000 < sent_us - UPTIME_SLACK_US


class RecoveredOutcome(Enum):
    """What recovery has found out about a request that an earlier incarnation sent."""

    SERVED = "served"
    NOT_RUN = "unrun"
    MAY_HAVE_RUN = "may have run"


def classify_outcome(outcome: Outcome) -> RecoveredOutcome:
    """Determine what an engine's answer about an earlier attempt proves.

    ``CONNECT_FAILED`` proves nothing here: an engine that does not listen now may have run the attempt
    before.
    """
    match outcome:
        case Outcome.OK:
            return RecoveredOutcome.SERVED
        case Outcome.FULL | Outcome.MOOT:
            return RecoveredOutcome.NOT_RUN
        case _:
            return RecoveredOutcome.MAY_HAVE_RUN


@dataclass(slots=True)
class RecoveryProgress:
    """The records whose outcome is to be queried, and the time at which recovery ends."""

    records: list[KeyRecord]
    until_us: int
    next: int = 0  # index of the first record whose outcome was not queried yet
    in_progress: int = 0  # number of outcome queries that have not ended

    def next_batch(self, now: int, max_in_progress: int) -> list[KeyRecord]:
        """Records to query next, so that at most ``max_in_progress`` are in progress; none after the end."""
        if now >= self.until_us:
            return []
        count = min(max_in_progress - self.in_progress, len(self.records) - self.next)
        chosen = self.records[self.next : self.next + count]
        self.next += len(chosen)
        self.in_progress += len(chosen)
        return chosen

    def resolved(self) -> None:
        """An outcome query has ended."""
        self.in_progress -= 1

    def abandoned(self, now: int) -> list[KeyRecord]:
        """Records that were not queried before the end of recovery; each is returned once."""
        if now < self.until_us:
            return []
        remaining = self.records[self.next :]
        self.next = len(self.records)
        return remaining

    @property
    def is_complete(self) -> bool:
        """Whether all records have their outcome."""
        return self.next >= len(self.records) and not self.in_progress
