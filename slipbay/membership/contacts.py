"""Members that sent a message recently; receivers of gossip and of ping requests are drawn from them."""

from __future__ import annotations

from random import Random

from slipbay.membership.member_table import MemberTable
from slipbay.membership.timing import SECOND

RECENT_US = 2 * SECOND


class RecentContacts:
    """Members from which a message was received within the last 2 s, oldest first."""

    def __init__(self, table: MemberTable, random: Random) -> None:
        self._table = table
        self._random = random
        self._last_message_us: dict[int, int] = {}

    def record_message(self, now_us: int, number: int) -> None:
        """Record a message from a router."""
        self._last_message_us.pop(number, None)
        self._last_message_us[number] = now_us

    def sample(self, now_us: int, count: int) -> list[int]:
        """Up to ``count`` random members of the recent contacts, because many of the others may be dead; of
        all members alive if there are too few recent contacts."""
        recent = self._last_message_us
        while recent and now_us - next(iter(recent.values())) > RECENT_US:
            del recent[next(iter(recent))]
        table = self._table
        candidates = [
            number for number in recent if number not in table.dead and number not in table.suspects
        ]
        population = candidates if len(candidates) >= count else table.alive
        return self._random.sample(population, min(count, len(population)))
