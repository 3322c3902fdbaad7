"""Hashes that show routers whether, and in which buckets, their sets of live members differ."""

from __future__ import annotations

from zlib import crc32

from slipbay.membership.codec import NUMBER
from slipbay.peer_channel.frame import CRC

BUCKETS = 16  # of the table; their hashes are compared when digests differ


class TableHashes:
    """A digest of the set of live members, and one of each bucket of router numbers."""

    def __init__(self, size: int) -> None:
        self.digest = 0  # equal if the sets of live members are equal
        self._buckets = [0] * BUCKETS
        for number in range(size):
            self.toggle(number)

    def toggle(self, number: int) -> None:
        """Add a number to the set of live members, or remove it. The digest does not depend on which process
        uses a number."""
        value = crc32(NUMBER.pack(number)) | 1
        self.digest ^= value
        self._buckets[number % BUCKETS] ^= value

    def salted(self, salt: int) -> tuple[int, ...]:
        """Hashes of the buckets, 16 bits each. The salt makes an accidental collision unlikely to recur with
        the next message."""
        return tuple(crc32(CRC.pack(value), salt) % 2**16 for value in self._buckets)
