"""When a base share that nobody holds is taken over, and by whom."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from slipbay.quota.leases.granter import LeaseGranter
from slipbay.quota.leases.renewal import RETRY_US

STEP_US = 400_000  # between those who may take a base share over, one after the other
MAX_QUERIES = 2  # a tick, that ask where a base share is
HEARD_LEASES = 3  # leases for which what came from an owner counts, where nothing was granted to it


class TakeoverWatch:
    """Follows the owners of a group's base shares. Times are us."""

    def __init__(
        self, me: int, group: Sequence[int], last_heard: Mapping[int, int], first: int, started: int
    ) -> None:
        """``last_heard``: by router, when a message of it last came; kept by the caller. ``first``: no base
        share is taken over before.
        """
        self._me = me
        self._group = group
        self._last_heard = last_heard
        self._not_before = dict.fromkeys(group, first)
        self._requested: dict[int, int] = {}  # when an owner last requested its base share here
        self._queried: dict[int, int] = {}  # owners that were asked whether they hold theirs, since when
        self._roomy_at = started  # from then on nobody's silence is for want of room, as far as is known

    def postpone(self, owner: int, until: int) -> None:
        """Somebody has, or will have, this base share."""
        if owner in self._not_before:
            self._not_before[owner] = max(self._not_before[owner], until)

    def owner_requested(self, now: int, owner: int, length: int) -> None:
        """An owner requested its base share here."""
        self._requested[owner] = now
        self.postpone(owner, now + length)

    def owner_waits(self, now: int, owner: int, length: int) -> bool:
        """Whether an owner requested its base share of late."""
        return now - self._requested.get(owner, -length) < length

    def granted(self, owner: int, until: int) -> None:
        """This router granted the base share; the grant is surely over at ``until``."""
        self._not_before[owner] = until

    def located(self, owner: int) -> None:
        """An answer said where the base share is."""
        self._queried.pop(owner, None)

    def lacked_room(self, now: int, length: int) -> None:
        """A message found no room on the channel: silence says less for a while."""
        self._roomy_at = now + 2 * length

    def next_steps(
        self, now: int, candidates: Iterable[int], granter: LeaseGranter, length: int
    ) -> tuple[list[int], list[int]]:
        """Base shares to take over now, and owners to ask first whether they hold theirs.

        A granter that had granted one knows that it has ended; others ask its owner, and take it over if
        there is no answer.
        """
        taken: list[int] = []
        queried: list[int] = []
        roomy = now >= self._roomy_at
        patience = RETRY_US if roomy else length // 4
        for owner in candidates:
            if not self._is_free(now, owner, granter, length):
                continue
            if (owner in granter.records and roomy) or now - self._queried.get(owner, now) > patience:
                self._queried.pop(owner, None)
                taken.append(owner)
            elif owner not in self._queried and len(queried) < MAX_QUERIES:
                self._queried[owner] = now
                queried.append(owner)
        return taken, queried

    def _is_free(self, now: int, owner: int, granter: LeaseGranter, length: int) -> bool:
        """Whether nobody has it as far as is known, its owner is silent, and it is this router's turn."""
        group = self._group
        turn = (group.index(self._me) - group.index(owner)) % len(group) * STEP_US
        if now < self._not_before[owner] + turn:
            return False
        record = granter.records.get(owner)
        if record is not None and not record.grant.has_ended(now, granter.clocks):
            return False
        recent = HEARD_LEASES * length if record is None else length // 4
        return now - self._last_heard.get(owner, -recent) >= recent
