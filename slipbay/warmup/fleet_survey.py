"""Survey: estimates from a sample of the fleet how many routers run and how many warm up."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from slipbay.warmup.codec import Message, MessageType
from slipbay.warmup.plan import Phase


@dataclass(slots=True)
class PeerState:
    """The last known state of another router."""

    phase: int
    sent_request: bool  # whether it sent a survey request; if not, it replied to one


class FleetSurvey:
    """Counts the replies of the sample, and scales the counts to the fleet."""

    def __init__(self, size: int, sample: Sequence[int]) -> None:
        """``size``: of the fleet. ``sample``: routers that receive survey requests."""
        self._size = size
        self.sample = sample
        self.peers: dict[int, PeerState] = {}
        # returns the number of live routers by membership, if that is enabled
        self.running_routers: Callable[[], int] | None = None
        self.rounds = 0
        self.phase = Phase.BLANK  # of this router; set by the state machine

    def receive(self, sender: int, message: Message) -> None:
        """Process a survey request or reply."""
        if self.phase is Phase.FULL:
            return
        phase = message.phase if message.phase in list(Phase) else Phase.BLANK
        before = self.peers.get(sender)
        sent_request = message.message_type is MessageType.SURVEY_REQUEST
        self.peers[sender] = PeerState(phase, sent_request or (before is not None and before.sent_request))

    def missing(self) -> list[int]:
        """Routers in the sample that sent no message so far."""
        return [n for n in self.sample if n not in self.peers]

    def is_complete(self, max_rounds: int) -> bool:
        """Whether all routers in the sample sent a message, or ``max_rounds`` requests were sent to each."""
        return not self.missing() or self.rounds > max_rounds

    def in_full_service(self, router: int) -> bool:
        """Whether a router reported to be in full service."""
        return router in self.peers and self.peers[router].phase == Phase.FULL

    def full_service_count(self) -> int:
        """Number of routers that reported to be in full service."""
        return sum(peer.phase == Phase.FULL for peer in self.peers.values())

    @property
    def restarted_count(self) -> int:
        """Number of routers whose earlier incarnations may have left queries on engines, including this one.

        It counts routers in the sample that warm up or did not reply, and scales the count to the fleet.
        """
        return self._count_warming_up(len(self.missing()))

    @property
    def warming_up_count(self) -> int:
        """Number of routers that warm up, including this one. A router that does not reply is not running; it
        sends a request itself once it runs."""
        return self._count_warming_up(0)

    def _nothing_known(self) -> bool:
        return self.phase <= Phase.HEARING and not self.peers

    def _scaled(self, count: int) -> int:
        return round(count * (self._size - 1) / max(1, len(self.sample)))

    def _count_warming_up(self, missing_count: int) -> int:
        if self._size == 1 or self.phase is Phase.FULL:
            return 1
        if self._nothing_known():
            return self._size
        warming_up_in_sample = missing_count + sum(
            n in self.peers and not self.in_full_service(n) for n in self.sample
        )
        requesting_count = sum(peer.sent_request and peer.phase != Phase.FULL for peer in self.peers.values())
        return 1 + min(self._size - 1, self._scaled(max(warming_up_in_sample, requesting_count)))

    @property
    def running_count(self) -> int:
        """Number of routers that share the engines now: those that run, by membership and by the survey."""
        if self._size == 1:
            return 1
        if self._nothing_known():
            return self._size
        estimate = 1 + self._scaled(sum(n in self.peers for n in self.sample))
        return max(1, min(estimate, self.running_routers())) if self.running_routers is not None else estimate
