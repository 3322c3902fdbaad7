"""Applies updates to the member table, and refutes updates about this router.

Updates about a number are ordered by incarnation and state, and the greatest is valid. So late, duplicated
and lost messages do no harm, and routers that received the same updates have the same table. All configured
routers are presumed ALIVE at first, and every process starts at incarnation 0. So a start of the whole fleet
needs no update, and an update about a router means the same to routers that received messages from it and to
those that did not. A process whose number is in use, because the table has the end of the previous process or
that process itself, is notified at its first contact and takes a higher incarnation. Updates name no process:
the messages of a process show that it uses a number.
"""

from __future__ import annotations

from slipbay.membership.codec import MemberState, Message, MessageType, Update, fit_updates
from slipbay.membership.dissemination import UpdateQueue
from slipbay.membership.environment import Environment
from slipbay.membership.failure_detector import FailureDetector
from slipbay.membership.local_health import LocalHealth
from slipbay.membership.member_table import Member, MemberTable, StateChange, is_live
from slipbay.membership.outbox import Outbox
from slipbay.membership.table_hashes import TableHashes
from slipbay.membership.timing import SECOND
from slipbay.peer_channel.frame import MAX_BYTES

# Largest difference of an update's incarnation from the table. A larger one is corrupt, because each
# increment takes a refutation.
MAX_INCARNATION_STEP = 1 << 20
YOUNG_US = 3 * SECOND  # after the start, while updates about this router refer to its previous process


class Reconciler:
    """Applies updates that take precedence over the table, and collects the changes."""

    def __init__(
        self,
        environment: Environment,
        table: MemberTable,
        hashes: TableHashes,
        updates: UpdateQueue,
        detector: FailureDetector,
        health: LocalHealth,
        outbox: Outbox,
    ) -> None:
        self._table = table
        self._hashes = hashes
        self._updates = updates
        self._detector = detector
        self._health = health
        self._outbox = outbox
        self._counts = environment.counts
        self._started_us = environment.started_us
        self.changes: list[StateChange] = []

    def take_changes(self) -> list[StateChange]:
        """Return the changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def local_update(self, number: int, state: MemberState) -> Update:
        """An update by this router that a member has a state at its current incarnation."""
        return Update(number, state, self._table.members[number].incarnation, self._table.local_number)

    def suspect(self, now_us: int, number: int) -> None:
        """Declare a member suspect that did not answer a probe of this router."""
        self.apply_update(now_us, self.local_update(number, MemberState.SUSPECT))

    def apply_update(self, now_us: int, update: Update) -> None:
        """Apply an update if it takes precedence over the table."""
        number = update.number
        member = self._table.members.get(number)
        known_incarnation = member.incarnation if member is not None else 0
        if number >= self._table.size or update.incarnation > MAX_INCARNATION_STEP + known_incarnation:
            self._counts["garbled"] += 1
        elif number == self._table.local_number:
            self._refute(now_us, update)
        elif member is None:
            if is_live(update.state):  # an unknown member that is dead needs no entry
                self.store_update(now_us, update)
        elif (update.incarnation, update.state) > (member.incarnation, member.state):
            self.store_update(now_us, update)
        elif _accuses_again(member, update) and self._detector.add_accuser(member, update.accuser):
            self._updates.add(number)

    def _refute(self, now_us: int, update: Update) -> None:
        """Refute an update about this router: that it is gone, or that its previous process uses the
        number."""
        local = self._table.local_member
        outweighed = (update.incarnation, update.state) <= (local.incarnation, local.state)
        if local.state is not MemberState.ALIVE or outweighed:
            if update.state is not MemberState.ALIVE:  # it is already refuted
                self._updates.add(self._table.local_number)
            return
        if now_us - self._started_us < YOUNG_US:
            self._counts["earlier lives"] += 1
        else:
            self._counts["refuted"] += 1
            self._health.record_accusation(now_us)
        self.store_update(now_us, Update(self._table.local_number, MemberState.ALIVE, update.incarnation + 1))

    def record_sender(self, now_us: int, message: Message) -> None:
        """Record that the sender of a message is ALIVE at its incarnation.

        If the table has another process at that incarnation or a higher one, either the sender is a new
        process, or the datagram is a late one of an earlier process. The sender is notified of the entry, and
        takes a higher incarnation if it runs.
        """
        number = message.sender
        member = self._table.members.get(number)
        if member is None or message.incarnation > member.incarnation:
            self.apply_update(now_us, Update(number, MemberState.ALIVE, message.incarnation))
            member = self._table.members.get(number)
        if member is None:
            return
        is_number_taken = (
            member.sent_incarnation == message.incarnation and member.start_id != message.start_id
        )
        if member.incarnation > message.incarnation or is_number_taken:
            if member.start_id != message.start_id:
                self._notify_number_taken(now_us, member)
        elif member.sent_incarnation != message.incarnation:
            if member.start_id not in (-1, message.start_id):
                self.changes.append(StateChange(number, member.state, member.state))
            member.record_message(message)

    def _notify_number_taken(self, now_us: int, member: Member) -> None:
        state = max(member.state, MemberState.SUSPECT)
        update = Update(member.number, state, member.incarnation, self._table.local_number)
        _, update_bytes = fit_updates([update], MAX_BYTES)
        self._outbox.send(
            now_us, member.number, MessageType.UPDATES, updates=[update], update_bytes=update_bytes
        )

    def store_update(self, now_us: int, update: Update) -> None:
        """Apply an update, whatever the table has."""
        others_alive = len(self._table.alive)
        change = self._table.apply(now_us, update)
        if is_live(change.before) != is_live(change.after):
            self._hashes.toggle(update.number)
        if update.number != self._table.local_number:
            self._detector.state_changed(change, update, others_alive)
        self._updates.add(update.number)
        if change.before is not change.after:
            self.changes.append(change)


def _accuses_again(member: Member, update: Update) -> bool:
    """Whether an update equals the entry of a suspect except for a new accuser."""
    return (
        update.incarnation == member.incarnation
        and update.state is member.state is MemberState.SUSPECT
        and update.accuser not in member.accusers
    )
