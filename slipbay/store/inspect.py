"""Reads a store without opening it: locks and writes nothing, so a running router's store can be read."""

from __future__ import annotations

from dataclasses import dataclass, field

from slipbay.store import manifest
from slipbay.store.disk import LOCK, Disk
from slipbay.store.errors import DamagedStoreError, StoreError
from slipbay.store.manifest import Manifest, Segment
from slipbay.store.opening import scan_segments

MAX_ATTEMPTS = 5  # reads; a read is repeated if a running router switches manifests during it
VALID = 0  # exit codes of ``slipbay store verify``
TORN_END = 1
DAMAGED = 2


@dataclass(slots=True)
class Inspection:
    """The contents of a store's directory."""

    segments: tuple[Segment, ...] = ()
    records: dict[bytes, bytes] = field(default_factory=dict)  # live records that could be read
    sequence: int = 0  # of the last change
    torn_bytes: int = 0  # incomplete commit at the end, which opening cuts off
    orphans: list[str] = field(default_factory=list)  # store files not in the manifest; opening removes them
    foreign: list[str] = field(default_factory=list)  # files that no store has written; never removed
    problem: str = ""  # empty if the store can be opened and holds all changes reported as durable

    @property
    def exit_code(self) -> int:
        """Exit code of ``slipbay store verify``: 0 for a valid store, 1 for a torn end, 2 for damage."""
        if self.problem:
            return DAMAGED
        return TORN_END if self.torn_bytes else VALID


def inspect_store(disk: Disk) -> Inspection:
    """Read the files and records of a store.

    Faults of the store are reported in ``problem``. Raises ``OSError`` if the directory cannot be read.
    """
    for _ in range(MAX_ATTEMPTS):
        before = _generation(disk)
        found = _read_once(disk)
        if not found.problem or _generation(disk) == before:
            break
    return found


def _generation(disk: Disk) -> int:
    try:
        return manifest.decode(disk.read(manifest.NAME)).generation
    except (StoreError, FileNotFoundError):
        return -1


def _read_once(disk: Disk) -> Inspection:
    found = Inspection()
    names = disk.names()
    try:
        if manifest.NAME not in names:
            raise DamagedStoreError("the manifest is missing; the folder holds no store", manifest.NAME)
        current = manifest.decode(disk.read(manifest.NAME))
        _classify_files(found, current, names)
        _read_records(found, disk, current, names)
    except (StoreError, FileNotFoundError) as problem:
        found.problem = str(problem)
    return found


def _classify_files(found: Inspection, current: Manifest, names: list[str]) -> None:
    kept = {segment.name for segment in current.segments}
    found.segments = current.segments
    found.orphans = [name for name in names if manifest.is_store_file(name) and name not in kept]
    found.foreign = [
        name for name in names if not manifest.is_store_file(name) and name not in (manifest.NAME, LOCK)
    ]


def _read_records(found: Inspection, disk: Disk, current: Manifest, names: list[str]) -> None:
    for chunk in scan_segments(disk, current, names):
        for record in chunk.scan.records:
            if record.value is None:
                found.records.pop(record.key, None)
            else:
                found.records[record.key] = record.value
        found.sequence = chunk.scan.last_sequence
        found.torn_bytes += chunk.torn_bytes
