"""Detects that all routers restarted together (docs/quota.md has the proof).

Then no router holds a lease or a share from an earlier incarnation, so no new incarnation has to wait until
these end. Each router sends its incarnation to all others. Once it has the incarnations of all routers, it
states that it has held nothing so far. This module does no I/O and reads no clock; times are in us of the
local router's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from zlib import crc32

RESEND_INTERVAL_US = 400_000  # interval between messages to one router
FIRST_TARGETS = 2  # number of routers in the first round of messages
MAX_TARGETS = 6  # maximum number of routers in each later round
FIRST_REPLY_TIMEOUT_US = 300_000  # time that a router waits for a first reply, before it sends more messages
MAX_ROUTERS = 16  # with more routers, messages to all would take longer than the wait that they save
MIN_ROUTERS = 3  # with fewer routers there is no gain


class StartState(IntEnum):
    """State of the sender of a message, beside its statement."""

    STATEMENT = 0  # the sender wants no reply
    HELD_BEFORE = 1  # the sender has held a lease or a share, and made no statement on these incarnations
    REPLY_WANTED = 2  # the sender wants a reply, even one with ``HELD_BEFORE``


class FleetStart:
    """The incarnations and statements of all routers that the local router has received."""

    def __init__(self, local_router: int, router_count: int, incarnation: int) -> None:
        self.local_router = local_router
        self.router_count = router_count
        self.incarnations = {local_router: incarnation}  # by router, the latest received incarnation
        self.stated_checksum = 0  # checksum of incarnations in its statement that it held nothing; 0: none
        self.held_anything = False  # whether this incarnation ever held a lease or a borrowed share
        # Whether the detection has ended, or has no gain for this number of routers.
        self.is_done = router_count > MAX_ROUTERS or router_count < MIN_ROUTERS
        self._statements: dict[int, tuple[int, int]] = {}  # by router: incarnation and stated checksum
        self._not_restarted: set[int] = set()  # routers whose incarnation has held a lease or a share
        self._sent_at_us: dict[int, int] = {}  # by router, when the last message was sent to it
        self._reply_wanted: set[int] = set()  # routers that wait for a reply

    def is_fleet_restarted(self) -> bool:
        """Return whether all incarnations are known, and each stated for these that it held nothing."""
        return self.stated_checksum == self._checksum() != 0 and all(
            self._statements.get(router) == (incarnation, self.stated_checksum)
            for router, incarnation in self.incarnations.items()
            if router != self.local_router
        )

    def _checksum(self) -> int:
        """Return the checksum of the incarnations of all routers; 0 while one is unknown."""
        if len(self.incarnations) < self.router_count:
            return 0
        return crc32(repr(sorted(self.incarnations.items())).encode()) or 1

    def state_nothing_held(self, drop_pending: Callable[[], None]) -> None:
        """State that this router held nothing, if that is true and all incarnations are known.

        ``drop_pending`` is called before, to ignore all replies to requests that were already sent.
        """
        checksum = self._checksum()
        if checksum and not self.held_anything and checksum != self.stated_checksum:
            drop_pending()
            self.stated_checksum = checksum
            self._sent_at_us.clear()

    def receive(self, sender: int, incarnation: int, stated_checksum: int, state: int) -> bool:
        """Process a message of another router; return whether to reply to it."""
        if self.incarnations.get(sender) != incarnation:
            self.incarnations[sender] = incarnation
            self._not_restarted.discard(sender)
        if state == StartState.HELD_BEFORE:
            self._not_restarted.add(sender)
        elif stated_checksum:
            self._not_restarted.discard(sender)
            self._statements[sender] = incarnation, stated_checksum
        if state == StartState.REPLY_WANTED:
            self._reply_wanted.add(sender)
        return state == StartState.REPLY_WANTED and (self.is_done or self.held_anything)

    def is_waiting(self, now: int) -> bool:
        """Return whether all routers may have restarted, so that none can lend yet: messages of the others
        confirm it, or may still arrive.
        """
        has_no_reply = len(self.incarnations) == 1 and bool(self._sent_at_us)
        timed_out = has_no_reply and now >= min(self._sent_at_us.values()) + FIRST_REPLY_TIMEOUT_US
        return not (self.is_done or self.held_anything or self._not_restarted or timed_out)

    def next_statement(self) -> tuple[int, StartState]:
        """Return the checksum and the state for a reply."""
        is_current = self.stated_checksum and self.stated_checksum == self._checksum()
        if is_current or not self.held_anything:
            return self.stated_checksum, StartState.STATEMENT
        return self.stated_checksum, StartState.HELD_BEFORE

    def next_targets(self, now: int) -> list[int]:
        """Return the routers to send messages to now: none if one of them did not restart, as it may hold
        leases and shares.
        """
        if self.is_done or self.held_anything or self._not_restarted:
            return []
        missing = self._reply_wanted | self._missing_routers()
        due = sorted(
            n
            for n in missing
            if now - self._sent_at_us.get(n, now - RESEND_INTERVAL_US) >= RESEND_INTERVAL_US
        )
        due = [*(n for n in due if n > self.local_router), *(n for n in due if n < self.local_router)]
        if (
            len(self.incarnations) == 1
            and self._sent_at_us
            and now < min(self._sent_at_us.values()) + FIRST_REPLY_TIMEOUT_US
        ):
            return []  # the routers of the first round have not replied yet
        due = due[: MAX_TARGETS if self._sent_at_us else FIRST_TARGETS]
        self._sent_at_us.update(dict.fromkeys(due, now))
        self._reply_wanted -= set(due)
        return due

    def _missing_routers(self) -> set[int]:
        """Return the routers that have not sent their incarnation, or not their statement on all known
        incarnations.
        """
        checksum = self._checksum()
        known = self.incarnations
        others = [router for router in range(self.router_count) if router != self.local_router]
        if not checksum:
            return {router for router in others if router not in known}
        return {router for router in others if self._statements.get(router) != (known[router], checksum)}
