"""Manages the segments of a store, the manifest that names them, and the active segment.

The properties P1 to P7 (docs/store.md) depend on the order of the calls on the disk:

- A manifest names a segment only after the segment's head and its directory entry are synced.
- A new manifest is written to a temporary file, synced and renamed, and the directory is synced. Only then
  are the files removed that the new manifest does not name.
- No file is changed in place: a torn end is cut off by the next manifest, which states the number of valid
  bytes of the segment.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import replace

from slipbay.store import frame, manifest
from slipbay.store.disk import Disk, Handle
from slipbay.store.manifest import Manifest, Segment


class SegmentLog:
    """Appends to the active segment, begins new segments and switches manifests. Raises ``OSError``."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._next_number = 1
        self._handle: Handle | None = None
        self.manifest = Manifest()
        self.size = 0  # number of valid bytes in the active segment

    def load(self, found: Manifest, size: int) -> None:
        """Continue from a manifest that was read; its active segment has ``size`` valid bytes."""
        self.manifest = found
        self.size = size
        self._next_number = found.next_number

    @property
    def sealed(self) -> tuple[Segment, ...]:
        """All segments but the active one."""
        return self.manifest.segments[:-1]

    @property
    def readable(self) -> tuple[Segment, ...]:
        """All segments with their valid bytes, including the active one."""
        return (*self.sealed, replace(self.manifest.active, valid_bytes=self.size))

    @property
    def used_bytes(self) -> int:
        """Valid bytes of all segments."""
        return sum(segment.valid_bytes for segment in self.sealed) + self.size

    def allocate_number(self) -> int:
        """Allocate the number of a new segment; numbers are never reused."""
        number = self._next_number
        self._next_number += 1
        return number

    def append(self, data: bytes) -> int:
        """Append to the active segment; returns the offset of ``data`` once it is durable."""
        if self._handle is None:
            raise OSError(errno.EBADF, "no segment is open")
        self._handle.append(data)
        self._handle.sync()
        offset = self.size
        self.size += len(data)
        return offset

    def begin_segment(self, sequence: int) -> list[Segment]:
        """Seal the active segment, whose last record has ``sequence``, and begin a new one.

        Returns the segments that were dropped because they held no record.
        """
        self.close()
        number = self.allocate_number()
        self._handle = self._disk.create(manifest.segment_name(number))
        self._handle.append(frame.encode_head(number, sequence))
        self._handle.sync()
        self._disk.sync_folder()
        old = self.manifest
        self.switch(old.with_new_segment(number, sequence, self.size))
        self.size = frame.HEAD_BYTES
        kept = {segment.number for segment in self.manifest.segments}
        dropped = [segment for segment in old.segments if segment.number not in kept]
        self.remove(segment.name for segment in dropped)
        return dropped

    def switch(self, new: Manifest) -> None:
        """Replace the current manifest durably."""
        new = replace(new, next_number=self._next_number)
        handle = self._disk.create(manifest.UNFINISHED_NAME)
        try:
            handle.append(manifest.encode(new))
            handle.sync()
        finally:
            handle.close()
        self._disk.rename(manifest.UNFINISHED_NAME, manifest.NAME)
        self._disk.sync_folder()
        self.manifest = new

    def remove(self, names: Iterable[str]) -> None:
        """Remove files that are no longer used; the next opening removes those that could not be removed."""
        for name in names:
            with suppress(OSError):
                self._disk.remove(name)

    def remove_orphans(self) -> None:
        """Remove the files of the store that the manifest does not name."""
        kept = {manifest.NAME, *(segment.name for segment in self.manifest.segments)}
        self.remove(name for name in self._disk.names() if manifest.is_store_file(name) and name not in kept)

    def close(self) -> None:
        """Close the active segment's file."""
        if self._handle is not None:
            with suppress(OSError):
                self._handle.close()
            self._handle = None
