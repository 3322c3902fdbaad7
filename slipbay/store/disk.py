"""The interface through which a store accesses its files, and its implementation for a directory."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from slipbay.store.errors import StoreInUseError

LOCK = "LOCK"


class Handle(Protocol):
    """A file opened for appending."""

    def append(self, data: bytes) -> None:
        """Append all of ``data``, or raise ``OSError``."""

    def sync(self) -> None:
        """Return once the appended data survives a loss of power; raise ``OSError`` if that is uncertain."""

    def close(self) -> None:
        """Close the file; a second call does nothing."""


class Disk(Protocol):
    """A directory of files. All methods raise ``OSError`` on failure."""

    def names(self) -> list[str]:
        """Names of the files, sorted."""

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Read at most ``length`` bytes of a file from ``offset``; -1: up to the end of the file."""

    def create(self, name: str) -> Handle:
        """Create an empty file; an existing file of that name is replaced."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file of the new name is replaced atomically."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Return once all creations, renames and removals of files so far survive a loss of power."""

    def lock(self) -> None:
        """Lock the directory. Raises ``StoreInUseError`` if another process has locked it."""

    def unlock(self) -> None:
        """Release the lock; does nothing if the directory is not locked."""


class FileHandle:
    """A new file in a directory, readable only by its owner."""

    def __init__(self, path: Path) -> None:
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def append(self, data: bytes) -> None:
        """Append all of ``data``, or raise ``OSError``."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        """Return once the appended data survives a loss of power."""
        os.fdatasync(self._fd)  # also syncs the size, which is needed to read the data (fdatasync(2))

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class Folder:
    """A directory of the file system; it is created if it is missing, unless ``writable`` is false."""

    def __init__(self, path: Path, writable: bool = True) -> None:
        self.path = path
        self._lock = -1
        if writable:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Names of the files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file(follow_symlinks=False))

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Read at most ``length`` bytes of a file from ``offset``; -1: up to the end of the file."""
        fd = os.open(self.path / name, os.O_RDONLY | os.O_CLOEXEC)
        try:  # in one call if possible: joining pieces would block the other threads
            size = max(0, os.fstat(fd).st_size - offset)
            wanted_bytes = size if length < 0 else min(length, size)
            data = os.pread(fd, wanted_bytes, offset)
            while len(data) < wanted_bytes and (
                more := os.pread(fd, wanted_bytes - len(data), offset + len(data))
            ):
                data += more
            return data
        finally:
            os.close(fd)

    def create(self, name: str) -> Handle:
        """Create an empty file; an existing file of that name is replaced."""
        return FileHandle(self.path / name)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file of the new name is replaced atomically."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.remove(self.path / name)

    def sync_folder(self) -> None:
        """Return once all creations, renames and removals of files so far survive a loss of power."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> None:
        """Lock the file ``LOCK``. Raises ``StoreInUseError`` if another process has locked it."""
        fd = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            raise StoreInUseError("another process has this store open", str(self.path)) from None
        except OSError:
            os.close(fd)
            raise
        self._lock = fd

    def unlock(self) -> None:
        """Release the lock; does nothing if there is none."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
