"""The table of members of the fleet that this router keeps, with their states and incarnations."""

from __future__ import annotations

from dataclasses import dataclass

from slipbay.membership.codec import MemberState, Message, Update


@dataclass(slots=True)
class Member:
    """Entry of the table for a router number. Times are in us."""

    number: int
    state: MemberState
    incarnation: int
    since_us: int  # when it entered its state
    accuser: int = 0  # the most recent one
    deadline_us: int = 0  # time at which a suspect is declared gone
    accusers: frozenset[int] = frozenset()
    start_id: int = -1  # start id in its most recent message; -1: none received
    sent_incarnation: int = -1  # incarnation in that message; -1: none received
    zone: int = -1  # as in its messages; -1: none received
    build: int = 0

    @property
    def update(self) -> Update:
        """The update that passes this entry on."""
        accuser = self.accuser if self.state is MemberState.SUSPECT else 0
        return Update(self.number, self.state, self.incarnation, accuser)

    def record_message(self, message: Message) -> None:
        """Record a message of the process that uses the number."""
        self.start_id = message.start_id
        self.sent_incarnation = message.incarnation
        self.zone = message.zone
        self.build = message.build


@dataclass(slots=True, frozen=True)
class StateChange:
    """A change of the state of a number; ``None``: it was not in the table."""

    number: int
    before: MemberState | None
    after: MemberState


def is_live(state: MemberState | None) -> bool:
    """Whether a router in that state counts as live: ALIVE or SUSPECT."""
    return state is not None and state <= MemberState.SUSPECT


class MemberTable:
    """Members by number, and the sets that are derived from their states.

    Initially all ``size`` configured numbers are presumed ALIVE at incarnation 0.
    """

    def __init__(self, local_number: int, size: int, now_us: int) -> None:
        self.local_number = local_number
        self.size = size
        self.members = {number: Member(number, MemberState.ALIVE, 0, now_us) for number in range(size)}
        self.local_member = self.members[local_number]
        # other routers, ALIVE or SUSPECT
        self.alive = [number for number in range(size) if number != local_number]
        self.suspects: set[int] = set()
        self.dead: dict[int, int] = {}  # GONE or LEFT members: since when, in us
        self._live_numbers: list[int] | None = None

    @property
    def live_numbers(self) -> list[int]:
        """Sorted numbers of the routers that are ALIVE or SUSPECT, including this router."""
        if self._live_numbers is None:
            local = [self.local_number] if self.local_member.state is MemberState.ALIVE else []
            self._live_numbers = sorted([*self.alive, *local])
        return self._live_numbers

    def state(self, number: int) -> MemberState | None:
        """The state of a number; ``None`` if it is not in the table."""
        member = self.members.get(number)
        return member.state if member is not None else None

    def apply(self, now_us: int, update: Update) -> StateChange:
        """Replace the entry of a number by an update."""
        number = update.number
        member = self.members.get(number)
        before = member.state if member is not None else None
        if member is None:
            member = Member(number, MemberState.GONE, update.incarnation, now_us)
            self.members[number] = member
        member.state = update.state
        member.incarnation = update.incarnation
        member.since_us = now_us
        member.accusers = frozenset()
        change = StateChange(number, before, update.state)
        was_live = is_live(before)
        live = is_live(update.state)
        if was_live != live:
            self._live_numbers = None
        if number != self.local_number:
            self._update_sets(now_us, change, was_live, live)
        return change

    def _update_sets(self, now_us: int, change: StateChange, was_live: bool, live: bool) -> None:
        number = change.number
        self.suspects.discard(number)
        if change.after is MemberState.SUSPECT:
            self.suspects.add(number)
        if live and not was_live:
            self.alive.append(number)
            self.dead.pop(number, None)
        elif was_live and not live:
            self.alive.remove(number)
            self.dead[number] = now_us

    def extend_suspicions(self, by_us: int) -> None:
        """Extend the time that all suspects have to refute."""
        for number in self.suspects:
            self.members[number].deadline_us += by_us

    def remove_expired_members(self, now_us: int, tombstone_us: int) -> list[int]:
        """Remove members that have been dead for longer than ``tombstone_us``; returns their numbers."""
        expired = [number for number, since in self.dead.items() if now_us - since > tombstone_us]
        for number in expired:
            del self.members[number]
            del self.dead[number]
        return expired
