"""Splits a byte stream into lines."""

from __future__ import annotations

from slipbay.errors import SlipbayError


class LineTooLongError(SlipbayError):
    """A line exceeds the limit; the input can't be parsed any further."""


class Lines:
    """Splits bytes, received in any pieces, into complete lines of at most ``max_line_bytes``."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._data = bytearray()
        self._scanned_bytes = 0  # bytes that were searched for the end of the line

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that are not returned yet."""
        return len(self._data)

    def append(self, data: bytes) -> None:
        """Buffer received bytes."""
        self._data += data

    def next_line(self) -> bytes | None:
        """Remove and return the next complete line without its line end; None if there is none.

        Raises:
            LineTooLongError: if the line exceeds the limit, complete or not.
        """
        end = self._data.find(b"\n", self._scanned_bytes)
        if (len(self._data) if end < 0 else end) > self._max_line_bytes:
            raise LineTooLongError
        if end < 0:
            self._scanned_bytes = len(self._data)
            return None
        line = bytes(self._data[:end])
        del self._data[: end + 1]
        self._scanned_bytes = 0
        return line.removesuffix(b"\r")

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are complete now, without their line ends.

        Raises:
            LineTooLongError: if a line exceeds the limit; the lines before it are dropped.
        """
        self.append(data)
        lines = []
        while (line := self.next_line()) is not None:
            lines.append(line)
        return lines

    def clear(self) -> None:
        """Drop all buffered bytes."""
        self._data = bytearray()
        self._scanned_bytes = 0
