"""Chooses which granters to request leases from, and when.

Requests go out in rounds. Each round first sends to as many granters as make a majority, then to the others.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import IntEnum

from slipbay.quota.leases.groups import majority_votes, votes_of
from slipbay.quota.leases.holder import LeaseHolder

RETRY_US = 300_000  # time to wait for a granter's reply before the round goes to the other granters
RENEWAL_FRACTION = 0.4  # a lease is renewed when no more than this fraction of it is left
ROOM_WAIT_FRACTION = 0.15  # fraction of a lease that a round waits for channel room before it tries others
RETRY_MARGIN_US = 5_000  # delay after the end of another router's lease before the next request
UNRESPONSIVE_LEASES = 3  # number of lease durations for which an unresponsive granter comes last


class RoundStage(IntEnum):
    """Progress of a round of requests."""

    DUE = 0
    MAJORITY_REQUESTED = 1  # requests went to as many granters as make a majority
    ALL_REQUESTED = 2  # requests went to all granters; the next round starts later


class RenewalRounds:
    """Chooses the granters for requests; each request names all wanted base shares. Times are in us."""

    def __init__(
        self, local_router: int, group: Sequence[int], last_received_us: Mapping[int, int], started_us: int
    ) -> None:
        """``last_received_us`` holds, by router, when its latest message arrived; the caller updates it."""
        self._local_router = local_router
        self._group = group
        self._last_received_us = last_received_us
        self.unsent: set[int] = set()  # granters whose requests wait for room on the channel
        self._stage = RoundStage.DUE
        self._failures = 0  # consecutive rounds without a majority
        self._round_started_us = started_us  # when this round started
        self._requested_at_us = started_us
        self._next_round_us = started_us
        self._denied_by: set[int] = set()  # granters that denied the request of this round
        self._unresponsive: dict[int, int] = {}  # granters that did not reply, and since when
        self._lacked_room = False  # whether a request of this round had to wait for room on the channel
        self._is_fleet_restarted = False  # whether all routers started together, so that denials end soon

    def restart(self) -> None:
        """Start the next round at once, as another base share is wanted."""
        self._stage = RoundStage.DUE

    def end_start_wait(self, now: int) -> None:
        """Start a new round now: all granters end their waits after the start at about this time, so those
        that denied a request may grant it.
        """
        self._is_fleet_restarted = True
        if self._stage is not RoundStage.DUE:
            self._stage = RoundStage.ALL_REQUESTED
        self._next_round_us = now

    def record_grant(self, granter: int) -> None:
        """Record that a granter granted a request of this router."""
        self._unresponsive.pop(granter, None)

    def record_denial(self, now: int, granter: int, remaining_us: int, lease_us: int) -> None:
        """Record that a granter denied base shares that another router holds for ``remaining_us`` more; it
        may grant the others.
        """
        self._unresponsive.pop(granter, None)
        self._denied_by.add(granter)
        max_delay_us = RETRY_US // 2 if self._is_fleet_restarted else lease_us // 2
        self._next_round_us = now + min(max(remaining_us + RETRY_MARGIN_US, RETRY_US // 2), max_delay_us)

    def next_targets(
        self, now: int, wanted: Sequence[int], holder: LeaseHolder, lease_us: int, may_grant_locally: bool
    ) -> list[int] | None:
        """Return the granters to send requests to now; None if no request is due.

        ``may_grant_locally`` tells whether this router itself may grant already.
        """
        if all(holder.ends_at(owner) - now > lease_us * RENEWAL_FRACTION for owner in wanted):
            self._stage = RoundStage.DUE
            self._failures = 0
            self._is_fleet_restarted = False
            return None
        is_majority_requested = self._stage is RoundStage.MAJORITY_REQUESTED
        if (
            is_majority_requested
            and self.unsent
            and now - self._round_started_us < lease_us * ROOM_WAIT_FRACTION
        ):
            # The time to wait for a reply starts when the request is sent.
            self._requested_at_us = now
            self._lacked_room = True
        if is_majority_requested and now - self._requested_at_us >= RETRY_US * (1 + self._lacked_room):
            targets = self._choose_remaining(now, wanted, holder, lease_us)
            self._stage = RoundStage.ALL_REQUESTED
        elif self._stage is RoundStage.DUE or (
            self._stage is RoundStage.ALL_REQUESTED and now >= self._next_round_us
        ):
            targets = self._choose_majority(now, wanted, holder, lease_us, may_grant_locally)
            self._denied_by.clear()
            self._round_started_us = now
            self._lacked_room = False
            self._stage = RoundStage.MAJORITY_REQUESTED
        else:
            return None
        self._requested_at_us = now
        return targets

    def _choose_majority(
        self, now: int, wanted: Sequence[int], holder: LeaseHolder, lease_us: int, may_grant_locally: bool
    ) -> list[int]:
        """Return as many granters as a majority still needs: responsive ones first, in the group's order from
        this router's position on.
        """
        unresponsive_for_us = UNRESPONSIVE_LEASES * lease_us
        self._unresponsive = {
            n: since for n, since in self._unresponsive.items() if now - since < unresponsive_for_us
        }
        group = self._group
        position = group.index(self._local_router)
        order = [group[(position + n) % len(group)] for n in range(1, len(group))]
        order.sort(
            key=lambda n: (
                n in self._unresponsive,
                now - self._last_received_us.get(n, 0) > lease_us,
                min(holder.requested_at(owner, n) for owner in wanted) == 0,
            )
        )
        own_votes = (
            min(votes_of(owner, self._local_router, group) for owner in wanted) if may_grant_locally else 0
        )
        recently_granted = {
            n for n in order if all(now - holder.requested_at(owner, n) < lease_us // 4 for owner in wanted)
        }
        needed = max(0, majority_votes(group) - own_votes - len(recently_granted))
        return [n for n in order if n not in recently_granted][:needed]

    def _choose_remaining(
        self, now: int, wanted: Sequence[int], holder: LeaseHolder, lease_us: int
    ) -> list[int]:
        """Return the remaining granters of a round that got no majority: those that neither granted nor
        denied, and unresponsive ones only if a majority needs them.
        """
        for granter, pending in holder.pending.items():
            if pending.sent_at_us >= self._round_started_us and granter not in self._denied_by | self.unsent:
                self._unresponsive.setdefault(granter, now)
        group = self._group
        granted = {
            n
            for n in group
            if all(holder.requested_at(owner, n) >= self._round_started_us for owner in wanted)
        }
        targets = [
            n for n in group if n not in granted and n not in self._denied_by and n != self._local_router
        ]
        responsive = [n for n in targets if n not in self._unresponsive]
        if responsive and len(granted) + len(responsive) >= majority_votes(group):
            targets = responsive
        if self._lacked_room:  # requests to all granters would take all the room on the channel
            vote_count = min(sum(votes_of(owner, n, group) for n in granted) for owner in wanted)
            targets = targets[: max(1, majority_votes(group) - vote_count)]
        self._failures += 1
        backoff_us = min(lease_us // 4, RETRY_US * self._failures)
        self._next_round_us = max(self._next_round_us, now + backoff_us)
        return targets
