"""The membership protocol of one router as a state machine without I/O, clock or random source of its own.

A host calls ``receive`` for each datagram and ``tick`` at ``next_tick``, and sends the datagrams that they
return. Times are integers in us that never decrease. Sources: Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar,
Phillips, Currey: Lifeguard (2018).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from slipbay.membership.anti_entropy import AntiEntropy
from slipbay.membership.byte_budget import ByteBudget, Share
from slipbay.membership.codec import (
    MAX_ZONES,
    MemberState,
    Message,
    MessageKeys,
    MessageType,
    Update,
    decode,
)
from slipbay.membership.contacts import RecentContacts
from slipbay.membership.dissemination import UpdateQueue
from slipbay.membership.environment import Environment
from slipbay.membership.failure_detector import FailureDetector
from slipbay.membership.local_health import LocalHealth
from slipbay.membership.member_table import MemberTable, StateChange
from slipbay.membership.outbox import Outbox, Send, Sender
from slipbay.membership.reconciliation import Reconciler
from slipbay.membership.reconnect import Reconnector
from slipbay.membership.table_hashes import TableHashes
from slipbay.membership.timing import SECOND, Timing
from slipbay.peer_channel.frame import MAX_BYTES, CorruptFrameError

MIN_TICK_US = 10_000
CLEANUP_US = SECOND  # between removals of expired entries

Listener: TypeAlias = Callable[[int, list[StateChange]], None]
"""Called with the time in us and the changes of one ``receive``, ``tick`` or ``leave``."""


class MembershipStateMachine:
    """The protocol of one router: passes messages and the time to the classes that keep its state.

    ``size``: number of configured routers. ``start_id``: a number that is new with each start. ``grace_us``:
    see ``FailureDetector``.
    """

    def __init__(
        self,
        local_number: int,
        size: int,
        start_id: int,
        random: Random,
        now_us: int,
        *,
        zone: int = 0,
        build: int = 0,
        grace_us: int = 0,
        timing: Timing | None = None,
        keys: MessageKeys | None = None,
    ) -> None:
        self.local_number = local_number
        self.size = size
        self.timing = timing or Timing()
        self.start_id = start_id % 2**16
        self.counts: Counter[str] = Counter()
        self.version = 0  # increases with each change of the table
        self.listeners: list[Listener] = []
        keys = keys or MessageKeys()
        self._accepted_keys = keys.accepted
        environment = Environment(self.timing, random, self.counts, now_us)
        sender = Sender(self.start_id, build, zone % MAX_ZONES, keys.current)
        self.table = table = MemberTable(local_number, size, now_us)
        table.local_member.start_id = sender.start_id
        table.local_member.zone = sender.zone
        table.local_member.build = sender.build
        self.health = health = LocalHealth(now_us)
        self.budget = budget = ByteBudget(self.timing.rate, self.timing.burst, now_us)
        self.updates = updates = UpdateQueue(self.timing.gossip_us, now_us)
        self._hashes = hashes = TableHashes(size)
        self._contacts = contacts = RecentContacts(table, random)
        self._outbox = outbox = Outbox(environment, sender, table, hashes, updates, budget)
        self.detector = FailureDetector(environment, table, outbox, budget, contacts, health, grace_us)
        self._reconciler = Reconciler(environment, table, hashes, updates, self.detector, health, outbox)
        self._anti_entropy = AntiEntropy(environment, table, hashes, updates, budget, outbox)
        self._reconnector = Reconnector(environment, table, outbox)
        self._ticked_us = now_us
        self._next_cleanup_us = now_us

    # Called by the host

    def receive(self, now_us: int, data: bytes, sender: int) -> list[Send]:
        """Process a datagram from the address of a router; returns the datagrams to send. Corrupt datagrams
        and those of other senders change nothing."""
        message = self._decode(data, sender)
        if message is None:
            return []
        self.counts["received"] += 1
        self.health.record_message(now_us)
        self._contacts.record_message(now_us, sender)
        if sender in self.table.dead:
            self._reconnector.record_dead_member_message(now_us)
        for update in message.updates:
            self._reconciler.apply_update(now_us, update)
        self._reconciler.record_sender(now_us, message)
        match message.kind:
            case MessageType.PING:
                self._outbox.send(now_us, sender, MessageType.ACK, message.token)
            case MessageType.ACK:
                self.detector.handle_ack(now_us, message)
            case MessageType.PING_REQUEST:
                self.detector.handle_ping_request(now_us, message)
            case MessageType.TABLE_HASHES:
                self._anti_entropy.compare(now_us, message)
        self._anti_entropy.check_digest(now_us, message)
        if self._reconciler.changes:
            self._notify(now_us)
        return self._outbox.take()

    def tick(self, now_us: int) -> list[Send]:
        """Process the passing of time; returns the datagrams to send."""
        elapsed_us = now_us - self._ticked_us
        self._ticked_us = now_us
        if elapsed_us > self.timing.stall_us:
            self._handle_stall(now_us, elapsed_us)
        is_running = self.table.local_member.state is MemberState.ALIVE
        if is_running:
            self.detector.step(now_us, self._reconciler.suspect)
        if self.table.suspects:
            self._end_suspicions(now_us)
        if self.updates.pending and now_us >= self.updates.due_us:
            self.updates.start_round(now_us)
            self._gossip(now_us, self.timing.fan)
        if is_running and now_us >= self._reconnector.due_us:
            self._reconnector.step(now_us)
        if now_us >= self._next_cleanup_us:
            self._remove_expired(now_us)
        if self._reconciler.changes:
            self._notify(now_us)
        return self._outbox.take()

    def leave(self, now_us: int) -> list[Send]:
        """Announce the shutdown of this router, so that the others need no probes to detect it; returns the
        datagrams to send."""
        self._reconciler.store_update(
            now_us, Update(self.local_number, MemberState.LEFT, self.table.local_member.incarnation + 1)
        )
        self._gossip(now_us, 2 * self.timing.fan)
        if self._reconciler.changes:
            self._notify(now_us)
        return self._outbox.take()

    def next_tick(self) -> int:
        """Latest time of the next call of ``tick``, in us."""
        due_us = self.detector.due_us()
        if self.updates.pending:
            due_us = min(due_us, self.updates.due_us)
        if self.table.dead:
            due_us = min(due_us, self._reconnector.due_us)
        if self.table.suspects:
            members = self.table.members
            due_us = min(due_us, *[members[number].deadline_us for number in self.table.suspects])
        return max(self._ticked_us + MIN_TICK_US, min(due_us, self._ticked_us + self.timing.probe_us))

    # The table

    @property
    def live_numbers(self) -> list[int]:
        """Sorted numbers of the routers that are ALIVE or SUSPECT, including this router."""
        return self.table.live_numbers

    @property
    def digest(self) -> int:
        """Digest of the set of live members: equal if the sets are equal."""
        return self._hashes.digest

    def _decode(self, data: bytes, sender: int) -> Message | None:
        try:
            message = decode(data, self._accepted_keys)
        except CorruptFrameError:
            self.counts["garbled"] += 1
            return None
        if message is None or message.kind >= MessageType.STATUS:
            self.counts["skipped"] += 1
            return None
        if message.sender != sender or sender == self.local_number or sender >= self.size:
            self.counts["foreign"] += 1
            return None
        return message

    def _notify(self, now_us: int) -> None:
        self.version += 1
        changes = self._reconciler.take_changes()
        for listener in self.listeners:
            listener(now_us, changes)

    # Steps of ``tick``

    def _handle_stall(self, now_us: int, elapsed_us: int) -> None:
        self.counts["stalls"] += 1
        self.health.record_stall()
        self.detector.handle_stall(now_us)
        self.table.extend_suspicions(elapsed_us)

    def _end_suspicions(self, now_us: int) -> None:
        members = self.table.members
        for number in [number for number in self.table.suspects if now_us >= members[number].deadline_us]:
            is_local_accusation = self.local_number in members[number].accusers
            self._reconciler.apply_update(now_us, self._reconciler.local_update(number, MemberState.GONE))
            if not is_local_accusation:  # its accusers spread the update
                self.updates.add_reduced(number, len(self.table.alive))

    def _gossip(self, now_us: int, fan: int) -> None:
        """Send queued updates to ``fan`` routers, as far as the budget allows."""
        space = min(MAX_BYTES, self.budget.capacity[Share.UPDATES])
        updates, update_bytes = self.updates.select(
            self.table, space - self._outbox.base_bytes_by_kind[MessageType.UPDATES]
        )
        for number in self._contacts.sample(now_us, fan):
            if updates and self._outbox.send(
                now_us, number, MessageType.UPDATES, updates=updates, update_bytes=update_bytes
            ):
                self.updates.record_sent(updates, len(self.table.alive))

    def _remove_expired(self, now_us: int) -> None:
        self._next_cleanup_us = now_us + CLEANUP_US
        for number in self.table.remove_expired_members(now_us, self.timing.tombstone_us):
            self.updates.discard(number)
        self.detector.remove_expired_pings(now_us)
