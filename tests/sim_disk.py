"""A simulated disk that records every operation, so that tests can simulate a crash at each of them.

A crash image is the contents of the disk after a loss of power at some point. It contains all operations that
were synced before that point, and all, none or a random part of the other operations.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from slipbay.store.errors import StoreInUseError

Op = tuple[str, str, bytes]  # operation, file name (for a rename both names), data


@dataclass
class File:
    data: bytearray = field(default_factory=bytearray)
    synced: int = 0


class SimHandle:
    def __init__(self, disk: SimDisk, name: str, file: File) -> None:
        self._disk = disk
        self._name = name
        self._file = file
        self._open = True

    def append(self, data: bytes) -> None:
        assert self._open
        written = self._disk.fault("append", self._name, len(data))
        self._disk.ops.append(("append", self._name, bytes(data[:written])))
        self._file.data += data[:written]
        if written < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self) -> None:
        assert self._open
        self._disk.fault("sync", self._name, 0)
        self._disk.ops.append(("sync", self._name, b""))
        self._file.synced = len(self._file.data)

    def close(self) -> None:
        self._open = False


class SimDisk:
    """A simulated directory.

    ``faults(operation, name, size)`` may raise OSError, or return how many bytes of an append are written.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.files = {name: File(bytearray(data), len(data)) for name, data in (files or {}).items()}
        self.ops: list[Op] = []
        self.faults: Callable[[str, str, int], int] = lambda operation, name, size: size
        self.locked = False

    def fault(self, operation: str, name: str, size: int) -> int:
        return self.faults(operation, name, size)

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        self.fault("read", name, 0)
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        data = self.files[name].data
        return bytes(data[offset:] if length < 0 else data[offset : offset + length])

    def create(self, name: str) -> SimHandle:
        self.fault("create", name, 0)
        self.ops.append(("create", name, b""))
        if name in self.files:  # the existing file is truncated
            self.files[name].data.clear()
            self.files[name].synced = 0
        else:
            self.files[name] = File()
        return SimHandle(self, name, self.files[name])

    def rename(self, old: str, new: str) -> None:
        self.fault("rename", old, 0)
        self.ops.append(("rename", f"{old} {new}", b""))
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self.fault("remove", name, 0)
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        self.ops.append(("remove", name, b""))
        del self.files[name]

    def sync_folder(self) -> None:
        self.fault("sync_folder", "", 0)
        self.ops.append(("sync_folder", "", b""))

    def lock(self) -> None:
        if self.locked:
            raise StoreInUseError("in use")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False


def cuts(ops: list[Op]) -> Iterator[tuple[int, int]]:
    """Every point of a history at which a crash may occur.

    These are the points before each operation, and after each byte of each append.
    """
    for number, (operation, _, data) in enumerate(ops):
        yield number, 0
        if operation == "append":
            for size in range(1, len(data)):
                yield number, size
    yield len(ops), 0


def image(ops: list[Op], number: int, size: int, keep: str, random: Random) -> SimDisk:
    """The disk after a crash that occurs after ``number`` operations and ``size`` bytes of the next one.

    ``keep`` decides which unsynced operations the disk contains: "all", "none" or "any". With "any", each
    file keeps a random number of its unsynced bytes, and a random selection of the creations, renames and
    removals since the last sync of the directory takes effect, in order.
    """
    completed = ops[:number]
    if size:
        operation, name, data = ops[number]
        completed = [*completed, (operation, name, data[:size])]
    names: dict[str, File] = {}  # current directory entries
    durable: dict[str, File] = {}  # directory entries at the last sync of the directory
    pending: list[Op] = []
    created: dict[int, File] = {}  # by the number of the operation that created the file
    for at, op in enumerate(completed):
        operation, name, data = op
        if operation == "create" and name in names:
            names[name].data.clear()
            names[name].synced = 0
        elif operation == "create":
            names[name] = created[at] = File()
            pending.append((operation, f"{name} {at}", b""))
        elif operation == "append":
            names[name].data += data
        elif operation == "sync":
            names[name].synced = len(names[name].data)
        elif operation == "sync_folder":
            durable = dict(names)
            pending = []
        else:
            if operation == "rename":
                old, new = name.split(" ")
                names[new] = names.pop(old)
            else:
                del names[name]
            pending.append(op)
    found = names
    if keep != "all":
        found = durable
        for operation, name, _ in pending if keep == "any" else []:
            if random.random() < 0.5:
                continue
            if operation == "create":
                name, created_at = name.split(" ")
                found[name] = created[int(created_at)]
            elif operation == "rename":
                old, new = name.split(" ")
                if old in found:
                    found[new] = found.pop(old)
            else:
                found.pop(name, None)
    contents = {}
    for name, file in found.items():
        length = len(file.data) if keep == "all" else file.synced
        if keep == "any":
            length = random.randint(file.synced, len(file.data))
        contents[name] = bytes(file.data[:length])
    return SimDisk(contents)
