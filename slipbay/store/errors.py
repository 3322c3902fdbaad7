"""Errors of the store. Their texts are shown to operators."""

from __future__ import annotations

from slipbay.errors import SlipbayError


class StoreError(SlipbayError):
    """Base class of the store's errors.

    Attributes:
        reason: what is wrong.
        file: the name of the faulty file; empty if the error concerns the whole store.
    """

    def __init__(self, reason: str, file: str = "") -> None:
        super().__init__(f"{file}: {reason}" if file else reason)
        self.reason = reason
        self.file = file


class DamagedStoreError(StoreError):
    """Data that was durable is missing or corrupt."""


class NewerFormatError(StoreError):
    """A file was written by a later version of this program.

    Attributes:
        format_version: the format version of the file.
    """

    def __init__(self, file: str, format_version: int, newest_supported: int) -> None:
        super().__init__(
            f"format {format_version}; this program reads formats up to {newest_supported}", file
        )
        self.format_version = format_version


class StoreInUseError(StoreError):
    """Another process has the store open."""


class StoreWriteError(StoreError):
    """No change of the commit was accepted.

    The next opening after a crash may still find the commit if its write had begun.

    Attributes:
        cause: the error of the disk, if there was one.
    """

    def __init__(self, reason: str, cause: OSError | None = None) -> None:
        super().__init__(reason)
        self.cause = cause


class StoreFullError(StoreWriteError):
    """The commit would exceed the maximum size of the store; deleting records frees space.

    Attributes:
        used_bytes: size of all segments that the manifest names.
        max_bytes: maximum size of the store.
    """

    def __init__(self, used_bytes: int, max_bytes: int) -> None:
        super().__init__(f"the store holds {used_bytes} of at most {max_bytes} bytes")
        self.used_bytes = used_bytes
        self.max_bytes = max_bytes


def disk_error_text(problem: OSError) -> str:
    """The operating system's text of an error, without the error number."""
    return str(problem.strerror or problem)
