"""The ids of requests that run or may have run, so that no second request gets one of them.

An id is held while its request is open. If the request was sent to an engine, its id is held for a retention
time after its end as well; how many other ids come meanwhile makes no difference. When the limit on held ids
is reached, new ones are refused.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

GENERATIONS = 4  # per retention time; a generation expires as a whole
SAFE_RETENTION_US = 10_000_000  # of requests that may run twice; engines drop unpolled queries after 2 s
MIN_UNSAFE_RETENTION_US = 60_000_000
UNSAFE_RETENTION_DEADLINES = 2  # longest deadlines for which an id that must not run twice is held


class ClaimResult(Enum):
    """Whether a new request may have an id."""

    GRANTED = auto()
    USED = auto()  # another request has it
    FULL = auto()  # no further id can be held now


@dataclass(slots=True)
class Generation:
    """Ids that expire together."""

    started_us: int
    ids: set[int] = field(default_factory=set)


class ExpiringIds:
    """Ids that are each held for at least a retention time, and at most a generation longer."""

    def __init__(self, retention_us: int) -> None:
        self._retention_us = retention_us
        self._generation_us = retention_us // GENERATIONS
        self._generations: deque[Generation] = deque()
        self.count = 0

    def add(self, id: int, now_us: int) -> None:
        """Hold an id from now on."""
        if not self._generations or now_us - self._generations[-1].started_us >= self._generation_us:
            self._generations.append(Generation(now_us))
        ids = self._generations[-1].ids
        self.count += id not in ids
        ids.add(id)

    def __contains__(self, id: int) -> bool:
        return any(id in generation.ids for generation in self._generations)

    def expire(self, now_us: int) -> None:
        """Drop the generations whose youngest id has been held for the retention time."""
        held_us = self._retention_us + self._generation_us
        while self._generations and now_us - self._generations[0].started_us >= held_us:
            self.count -= len(self._generations.popleft().ids)

    def next_expiry_us(self, now_us: int) -> int | None:
        """Time until the next generation is dropped; None if no id is held."""
        if not self._generations:
            return None
        return max(0, self._generations[0].started_us + self._retention_us + self._generation_us - now_us)


@dataclass(slots=True, frozen=True)
class OpenId:
    """What is known of an open request."""

    is_keyed: bool  # it has a record under its idempotency key, by which it may come again
    is_unsafe: bool  # it must not run twice


class RequestIds:
    """The ids of one router's clients. Ids are 64-bit numbers, times are in microseconds."""

    def __init__(self, now: Callable[[], int], longest_deadline_us: int, max_ids: int) -> None:
        self._now = now
        self._max_ids = max_ids
        self._open: dict[int, OpenId] = {}
        self._safe = ExpiringIds(SAFE_RETENTION_US)
        unsafe_retention_us = max(MIN_UNSAFE_RETENTION_US, UNSAFE_RETENTION_DEADLINES * longest_deadline_us)
        self._unsafe = ExpiringIds(unsafe_retention_us)
        self._keyed = ExpiringIds(unsafe_retention_us)
        self._ended = (self._safe, self._unsafe, self._keyed)

    def claim(self, id: int, is_unsafe: bool, is_keyed: bool) -> ClaimResult:
        """Claim an id for a new request. A keyed request may have the id of another keyed one, as the record
        of the key determines its answer."""
        now_us = self._now()
        for ids in self._ended:
            ids.expire(now_us)
        if id in self:
            return ClaimResult.GRANTED if is_keyed and self._is_keyed(id) else ClaimResult.USED
        if len(self._open) + sum(ids.count for ids in self._ended) >= self._max_ids:
            return ClaimResult.FULL
        self._open[id] = OpenId(is_keyed, is_unsafe)
        return ClaimResult.GRANTED

    def _is_keyed(self, id: int) -> bool:
        return self._open[id].is_keyed if id in self._open else id in self._keyed

    def end(self, id: int, may_have_run: bool) -> None:
        """Note the end of the request; its id is free at once if it was not sent. May be called twice."""
        known = self._open.pop(id, None)
        if known is None or not may_have_run:
            return
        ended = self._keyed if known.is_keyed else self._unsafe if known.is_unsafe else self._safe
        ended.add(id, self._now())

    def __contains__(self, id: int) -> bool:
        return id in self._open or any(id in ids for ids in self._ended)

    def retry_after_us(self) -> int:
        """Time after which an id may be free when none is now."""
        now_us = self._now()
        waits = [wait for ids in self._ended if (wait := ids.next_expiry_us(now_us)) is not None]
        return min(waits, default=SAFE_RETENTION_US)
