"""Encodes the messages of this router within its byte budget and queues them for the host."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from slipbay.membership.byte_budget import ByteBudget, Share
from slipbay.membership.codec import (
    NUMBER,
    MemberState,
    Message,
    MessageType,
    Update,
    base_bytes,
    encode,
    fit_updates,
)
from slipbay.membership.dissemination import UpdateQueue
from slipbay.membership.environment import Environment
from slipbay.membership.member_table import MemberTable
from slipbay.membership.table_hashes import BUCKETS, TableHashes
from slipbay.peer_channel.frame import MAX_BYTES

Send: TypeAlias = tuple[int, bytes]
"""The number of the receiver and the datagram."""

KIND_BYTES = {MessageType.PING_REQUEST: NUMBER.size, MessageType.TABLE_HASHES: 1 + NUMBER.size * BUCKETS}
"""Bytes of messages by kind, without header, updates and checksum."""
UPDATE_KINDS = frozenset({MessageType.UPDATES, MessageType.TABLE_HASHES})
"""Kinds that are paid from the updates share of the budget."""
TOKENS = 2**16


@dataclass(slots=True, frozen=True)
class Sender:
    """Fields about this router in each message, and the key. ``start_id``: a number that is new with each
    start."""

    start_id: int
    build: int
    zone: int
    key: bytes


class Outbox:
    """Queue of messages to send, and the tokens that match answers to them.

    ``base_bytes_by_kind``: length of a message without updates, by kind.
    """

    def __init__(
        self,
        environment: Environment,
        sender: Sender,
        table: MemberTable,
        hashes: TableHashes,
        updates: UpdateQueue,
        budget: ByteBudget,
    ) -> None:
        self._sender = sender
        self._table = table
        self._hashes = hashes
        self._updates = updates
        self._budget = budget
        self._counts = environment.counts
        self._token = environment.random.randrange(TOKENS)
        self._sends: list[Send] = []
        keyed = bool(sender.key)
        self.base_bytes_by_kind = {kind: base_bytes(KIND_BYTES.get(kind, 0), keyed) for kind in MessageType}

    def take(self) -> list[Send]:
        """Return the messages queued since the last call."""
        sends = self._sends
        self._sends = []
        return sends

    def next_token(self) -> int:
        """A token for a new message. Never 0: messages have token 0 if their answers need no match."""
        self._token = self._token % (TOKENS - 1) + 1
        return self._token

    def send(
        self,
        now_us: int,
        to: int,
        kind: MessageType,
        token: int = 0,
        *,
        target: int = 0,
        updates: Sequence[Update] = (),
        update_bytes: int = 0,
    ) -> bool:
        """Queue a message if the budget allows it; returns whether it did.

        ``update_bytes``: upper bound of the bytes of ``updates``. Probes and answers also carry the state of
        the receiver if that is not ALIVE, so that it can refute. Answers carry queued updates as far as the
        budget allows.
        """
        self._budget.refill(now_us)
        base = self.base_bytes_by_kind[kind] + update_bytes
        share = Share.UPDATES if kind in UPDATE_KINDS else Share.PROBES
        if base > self._budget.free_bytes(share):
            self._counts["unsent"] += 1
            return False
        if share is Share.PROBES and (self._table.dead or self._table.suspects):
            updates, added = self._update_about_receiver(to, int(self._budget.free_bytes(share)) - base)
            base += added
        if kind is MessageType.ACK and self._updates.pending and self._updates.may_send(now_us):
            updates = [*updates, *self._piggyback(to, base)]
        data = self._encode(kind, token, target, updates)
        if share is Share.UPDATES:
            self._budget.spend(0, len(data))
        elif kind is MessageType.ACK and len(data) > base:
            self._budget.spend(base, len(data) - base)  # its updates are paid from their own share
        else:
            self._budget.spend(len(data), 0)
        self._counts["sent"] += 1
        self._counts["sent bytes"] += len(data)
        self._sends.append((to, data))
        return True

    def _update_about_receiver(self, to: int, space: int) -> tuple[list[Update], int]:
        """The update about the receiver that it should refute, if any, and its bytes."""
        member = self._table.members.get(to)
        if member is None or member.state is MemberState.ALIVE:
            return [], 0
        return fit_updates([member.update], space)

    def _piggyback(self, to: int, base: int) -> list[Update]:
        space = min(
            self._budget.available[Share.UPDATES],
            self._budget.host_limit - base,
            MAX_BYTES - base,
        )
        chosen, _ = self._updates.select(self._table, space)
        self._updates.record_sent(chosen, len(self._table.alive))
        return [update for update in chosen if update.number != to]

    def _encode(self, kind: MessageType, token: int, target: int, updates: Sequence[Update]) -> bytes:
        sender = self._sender
        message = Message(
            kind,
            self._table.local_number,
            self._table.local_member.incarnation,
            sender.start_id,
            self._hashes.digest,
            token,
            sender.build,
            sender.zone,
            target,
            self._hashes.salted(token) if kind is MessageType.TABLE_HASHES else (),
            tuple(updates),
        )
        return encode(message, sender.key)
