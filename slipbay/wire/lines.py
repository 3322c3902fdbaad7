"""Splits a byte stream into lines."""

from __future__ import annotations

from slipbay.errors import SlipbayError


class LineTooLongError(SlipbayError):
    """A line exceeds the limit; the input can't be parsed any further."""


class Lines:
    """Splits bytes, received in any pieces, into complete lines of at most ``max_line_bytes``."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._parts: list[bytes] = []
        self.buffered_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are complete now, without their line ends."""
        *complete_lines, rest = data.split(b"\n")
        if complete_lines:
            complete_lines[0] = b"".join((*self._parts, complete_lines[0]))
            self._parts = []
            self.buffered_bytes = 0
        if rest:
            self._parts.append(rest)
            self.buffered_bytes += len(rest)
        if self.buffered_bytes > self._max_line_bytes or any(
            len(line) > self._max_line_bytes for line in complete_lines
        ):
            raise LineTooLongError
        return [line.removesuffix(b"\r") for line in complete_lines]
