"""Errors of the idempotency package."""

from __future__ import annotations

from slipbay.errors import SlipbayError


class UnreadableRecordError(SlipbayError, ValueError):
    """A stored value is damaged, or was not written by this program."""

    def __init__(self, record: str, reason: object) -> None:
        """``record`` names the record that could not be decoded, ``reason`` is the cause."""
        super().__init__(f"{record} can't be read: {reason}")
        self.record = record
        self.reason = reason


class KeyStateError(SlipbayError, ValueError):
    """The state of a key does not allow an operation."""

    def __init__(self, key: bytes, reason: str) -> None:
        super().__init__(reason)
        self.key = key
        self.reason = reason


class MissingReasonError(SlipbayError, ValueError):
    """An operator must give a reason to adopt a store; the reason is stored in it."""

    def __init__(self) -> None:
        super().__init__("want a reason")
