"""Queue of membership updates that are sent by gossip.

Source: Das, Gupta, Motivala: SWIM (DSN 2002), infection-style dissemination: each router sends an update a
number of times that grows with the logarithm of the fleet, and first those updates that it sent least often.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, log

from slipbay.membership.codec import MemberState, Update, fit_updates
from slipbay.membership.member_table import MemberTable

SUSPICION_RETRANSMISSIONS = 3  # the suspect and its witnesses need a suspicion; the others need its outcome
BASE_RETRANSMISSIONS = 3  # of all other updates, plus the logarithm of the fleet
PAUSE_ROUNDS = 4  # gossip rounds for which updates wait while table hashes need the budget


def retransmissions(others_alive: int) -> int:
    """How often each router sends an update."""
    return BASE_RETRANSMISSIONS + ceil(log(others_alive + 2, 2))


class UpdateQueue:
    """Numbers whose updates are sent by gossip, and the time of the next gossip round.

    ``pending``: how often the update of each number was sent. ``due_us``: time of the next round, if any
    update is pending.
    """

    def __init__(self, gossip_us: int, now_us: int) -> None:
        self._gossip_us = gossip_us
        self.pending: dict[int, int] = {}
        self.due_us = now_us
        self._paused_until_us = now_us

    def add(self, number: int) -> None:
        """Queue the update of a number that changed or was contradicted, to be sent as often as usual."""
        self.pending[number] = 0

    def add_reduced(self, number: int, others_alive: int) -> None:
        """Queue an update that other routers also spread: it is sent only as often as a suspicion."""
        self.pending[number] = max(0, retransmissions(others_alive) - SUSPICION_RETRANSMISSIONS)

    def discard(self, number: int) -> None:
        """Remove a number from the queue."""
        self.pending.pop(number, None)

    def select(self, table: MemberTable, space: float) -> tuple[list[Update], int]:
        """Updates that fit into ``space`` bytes, and an upper bound of their bytes.

        The order is: suspicions last; then the updates sent least often first; then by number, starting after
        the local number, as adjacent numbers take fewer bytes.
        """

        def rank(number: int) -> tuple[bool, int, int]:
            return number in table.suspects, self.pending[number], (number - table.local_number) % table.size

        order = sorted(self.pending, key=rank)
        return fit_updates(
            (table.members[number].update for number in order if number in table.members), int(space)
        )

    def record_sent(self, updates: Iterable[Update], others_alive: int) -> None:
        """Count updates that were sent; those that were sent often enough are removed from the queue."""
        limit = retransmissions(others_alive)
        for update in updates:
            count = self.pending.get(update.number, 0) + 1
            if count >= (SUSPICION_RETRANSMISSIONS if update.state is MemberState.SUSPECT else limit):
                self.pending.pop(update.number, None)
            else:
                self.pending[update.number] = count

    def start_round(self, now_us: int) -> None:
        """Start a gossip round."""
        self.due_us = max(now_us + self._gossip_us, self._paused_until_us)

    def may_send(self, now_us: int) -> bool:
        """Whether the queue is not paused."""
        return now_us >= self._paused_until_us

    def pause(self, now_us: int) -> None:
        """Pause the queue for some rounds, unless it is paused: updates left no budget for table hashes."""
        if self.may_send(now_us):
            self._paused_until_us = now_us + PAUSE_ROUNDS * self._gossip_us
            self.due_us = max(self.due_us, self._paused_until_us)
