"""Anti-entropy: exchange of table entries between routers whose sets of live members differ."""

from __future__ import annotations

from slipbay.membership.byte_budget import ByteBudget, Share
from slipbay.membership.codec import MemberState, Message, MessageType, Update, fit_updates
from slipbay.membership.dissemination import UpdateQueue
from slipbay.membership.environment import Environment
from slipbay.membership.member_table import MemberTable
from slipbay.membership.outbox import Outbox
from slipbay.membership.table_hashes import BUCKETS, TableHashes
from slipbay.membership.timing import SECOND
from slipbay.peer_channel.frame import MAX_BYTES

BUSY_FACTOR = 4  # longer interval while updates are queued: those usually make the tables equal


class AntiEntropy:
    """Sends the table hashes to a peer whose digest differs, and answers hashes with updates of buckets that
    differ."""

    def __init__(
        self,
        environment: Environment,
        table: MemberTable,
        hashes: TableHashes,
        updates: UpdateQueue,
        budget: ByteBudget,
        outbox: Outbox,
    ) -> None:
        self._table = table
        self._hashes = hashes
        self._updates = updates
        self._budget = budget
        self._outbox = outbox
        self._random = environment.random
        self._interval_us = environment.timing.sync_us
        self._hashes_sent_us = environment.started_us - SECOND

    def check_digest(self, now_us: int, message: Message) -> None:
        """Send the local hashes to a peer whose digest differs, unless some were sent recently."""
        if message.digest == self._hashes.digest or message.kind is MessageType.TABLE_HASHES:
            return
        if now_us - self._hashes_sent_us < self._interval_us * (BUSY_FACTOR if self._updates.pending else 1):
            return
        if not self._send_hashes(now_us, message.sender):
            self._updates.pause(now_us)

    def compare(self, now_us: int, message: Message) -> None:
        """Send the local entries of the buckets that differ, and the local hashes to get those of the
        peer."""
        local_hashes = self._hashes.salted(message.token)
        if len(message.hashes) != BUCKETS or local_hashes == message.hashes:
            return
        if now_us - self._hashes_sent_us >= self._interval_us:
            self._send_hashes(now_us, message.sender)
        updates = self._differing(local_hashes, message.hashes)
        start = self._random.randrange(len(updates) + 1)
        updates = updates[start:] + updates[:start]
        self._budget.refill(now_us)
        space = int(min(MAX_BYTES, self._budget.free_bytes(Share.UPDATES)))
        chosen, used = fit_updates(updates, space - self._outbox.base_bytes_by_kind[MessageType.UPDATES])
        if chosen:
            self._outbox.send(now_us, message.sender, MessageType.UPDATES, updates=chosen, update_bytes=used)

    def _differing(self, local_hashes: tuple[int, ...], peer_hashes: tuple[int, ...]) -> list[Update]:
        """Updates of the buckets that differ, without members that are only presumed alive: those take
        precedence over no other update."""
        buckets = {bucket for bucket in range(BUCKETS) if local_hashes[bucket] != peer_hashes[bucket]}
        return [
            member.update
            for member in self._table.members.values()
            if member.number % BUCKETS in buckets
            and (member.incarnation or member.state is not MemberState.ALIVE)
        ]

    def _send_hashes(self, now_us: int, to: int) -> bool:
        sent = self._outbox.send(now_us, to, MessageType.TABLE_HASHES, self._outbox.next_token())
        if sent:
            self._hashes_sent_us = now_us
        return sent
