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
        self.held = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are complete now, without their line ends."""
        *whole, rest = data.split(b"\n")
        if whole:
            whole[0] = b"".join((*self._parts, whole[0]))
            self._parts = []
            self.held = 0
        if rest:
            self._parts.append(rest)
            self.held += len(rest)
        if self.held > self._max_line_bytes or any(len(line) > self._max_line_bytes for line in whole):
            raise LineTooLongError
        return [line.removesuffix(b"\r") for line in whole]
