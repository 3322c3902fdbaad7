"""Sends pings to dead or unknown members, so that a healed partition is detected on both sides."""

from __future__ import annotations

from slipbay.membership.codec import MessageType
from slipbay.membership.environment import Environment
from slipbay.membership.member_table import MemberTable
from slipbay.membership.outbox import Outbox
from slipbay.membership.timing import SECOND

INITIAL_SILENCE_US = 10 * SECOND  # assumed age of the latest message of a dead member at this router's start
JITTER_PERCENT = 50, 150  # lower bound and (excluded) upper bound of the random factor of the interval


class Reconnector:
    """Pings a random dead or unknown member at intervals.

    The intervals are short while messages of dead members arrive, because these show that a
    partition has healed.
    """

    def __init__(self, environment: Environment, table: MemberTable, outbox: Outbox) -> None:
        self._table = table
        self._outbox = outbox
        self._random = environment.random
        self._timing = environment.timing
        self._last_message_us = environment.started_us - INITIAL_SILENCE_US
        self.due_us = environment.started_us

    def record_dead_member_message(self, now_us: int) -> None:
        """Record a message of a member that is GONE or LEFT in the table."""
        self._last_message_us = now_us

    def step(self, now_us: int) -> None:
        """Ping one dead or unknown member, if there is one. Called when ``due_us`` is reached."""
        self.due_us = now_us + self._interval_us(now_us)
        table = self._table
        if len(table.alive) + 1 == table.size:  # all peers and the local router
            return
        candidates = [
            number for number in range(table.size) if number in table.dead or number not in table.members
        ]
        if candidates:
            self._outbox.send(now_us, self._random.choice(candidates), MessageType.PING)

    def _interval_us(self, now_us: int) -> int:
        if now_us - self._last_message_us < self._timing.reach_us:
            return self._timing.gossip_us
        return self._timing.reach_us * self._random.randrange(*JITTER_PERCENT) // 100
