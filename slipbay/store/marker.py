"""The marker: a file outside of the store's directory that holds the id, generation and last sequence.

It allows the router to detect a store that was lost, truncated or restored from a copy, and is best placed on
another disk. The file has two slots, which are written alternately and synced, so that an interrupted write
leaves the previous slot intact. A slot is

    magic 8s | write count u64 | id 16s | generation u64 | sequence u64 | crc32c u32

in little-endian order. The valid slot with the higher write count is the current one.
"""

from __future__ import annotations

import os
from pathlib import Path
from struct import Struct

from slipbay.idempotency.store_generation import StoreWitness
from slipbay.store.errors import DamagedStoreError
from slipbay.store.frame import checksum

MAGIC = b"slipmrk\0"
SLOT = Struct("<8sQ16sQQ")
CRC = Struct("<I")
SLOT_BYTES = 512  # one disk sector


class Marker:
    """Reads and writes the marker file. Methods raise ``OSError`` if the disk fails."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._write_count = 0
        self._fd = -1

    def read(self) -> StoreWitness | None:
        """Read what was last written; ``None`` if the file does not exist.

        Raises ``DamagedStoreError`` if neither slot is valid.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        found: StoreWitness | None = None
        for offset in (0, SLOT_BYTES):
            slot = data[offset : offset + SLOT.size]
            crc = data[offset + SLOT.size : offset + SLOT.size + CRC.size]
            if len(crc) < CRC.size or CRC.unpack(crc)[0] != checksum(slot):
                continue
            magic, write_count, store_id, generation, sequence = SLOT.unpack(slot)
            if magic == MAGIC and write_count > self._write_count:
                self._write_count = write_count
                found = StoreWitness(store_id, generation, sequence)
        if found is None:
            raise DamagedStoreError("the marker has no valid slot", self.path.name)
        return found

    def write(self, witness: StoreWitness) -> None:
        """Overwrite the older slot; returns once the write is durable."""
        if witness.sequence is None:
            raise ValueError("a marker needs the last sequence of its store")
        if self._fd < 0:
            self._open()
        self._write_count += 1
        slot = SLOT.pack(MAGIC, self._write_count, witness.store_id, witness.generation, witness.sequence)
        data = slot + CRC.pack(checksum(slot))
        if os.pwrite(self._fd, data, self._write_count % 2 * SLOT_BYTES) != len(data):
            raise OSError("the marker was written only partly")
        os.fdatasync(self._fd)

    def _open(self) -> None:
        """Open or create the file, and sync its directory entry."""
        self._fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Close the file; ``write`` opens it again."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
