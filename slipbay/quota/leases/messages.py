"""Encodes a router's messages about leases, with tags that increase from each request to the next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from slipbay.quota.codec import MAX_LEASE_ENTRIES, LeaseEntry, LeaseMessage, MessageType, encode

TAG_COUNT = 2**32

# Keys of the counts of sent messages, by message type, in ``slipbay quota status --json``. Operators' scripts
# read them, so they must not change.
SENT_COUNTS = {
    MessageType.LEASE_REQUEST: "said hold",
    MessageType.LEASE_RELEASE: "said leave",
    MessageType.LEASE_GRANT: "said promise",
    MessageType.LEASE_LOCATION: "said place",
    MessageType.LOCATION_QUERY: "said where",
    MessageType.LEASE_SHORTEN: "said shorten",
}


class LeaseMessageWriter:
    """Encodes messages; holds their header fields, the tag of the latest request, and counts by type."""

    def __init__(self, lease_us: int) -> None:
        """``lease_us`` is the duration in us of leases on base shares."""
        self.version = 0
        self.layout = 0
        self.lease_us = lease_us
        self.counts: Counter[str] = Counter()
        self._tag = 0

    def write_body(self, message_type: MessageType, tag: int, entries: Sequence[LeaseEntry]) -> bytes:
        """Return an encoded message and count it as sent; entries that do not fit are dropped."""
        self.counts[SENT_COUNTS[message_type]] += 1
        lease_ms = self.lease_us // 1000
        fitting = entries[:MAX_LEASE_ENTRIES]
        return encode(LeaseMessage(message_type, self.version, self.layout, tag, lease_ms, fitting))

    def next_tag(self, now: int) -> int:
        """Return a new tag.

        Tags increase with time, so the tags of a new incarnation are greater than those of the previous one.
        """
        self._tag = next_tag(self._tag, now)
        return self._tag


def next_tag(tag: int, now: int) -> int:
    """Return the tag after ``tag`` at ``now`` (us): the greater of ``tag + 1`` and the time in ms.

    Both are modulo ``TAG_COUNT``. When the time in ms wraps (every 49.7 days), tags continue by one up to
    ``TAG_COUNT - 1``; the next tag is the time in ms. After the wrap, a restart gives
    smaller tags than those before it.
    """
    return max((tag + 1) % TAG_COUNT, now // 1000 % TAG_COUNT)
