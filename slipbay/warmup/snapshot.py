"""Snapshot of a router's estimates, one record of its durable store.

The record has a version, a time, the estimates in the format of messages, and a checksum. Times are in us of
the Unix clock, so that they are valid across restarts.
"""

from __future__ import annotations

from hashlib import blake2s
from struct import Struct, error

from slipbay.errors import SlipbayError
from slipbay.policy.events import EstimatesRestored
from slipbay.warmup import codec
from slipbay.warmup.codec import Message, MessageType
from slipbay.warmup.peer_estimates import PeerReport

VERSION = 1
CHECKSUM_BYTES = 8
HEAD = Struct("<BQ")


class SnapshotError(SlipbayError, ValueError):
    """A snapshot that cannot be used, with the reason."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def write(estimates: EstimatesRestored, retries: int, at_us: int) -> bytes:
    """The record of estimates at time ``at_us``."""
    message = Message(MessageType.ESTIMATES, 0, retries=retries, estimates=estimates)
    body = HEAD.pack(VERSION, at_us) + codec.encode(message)
    return body + _checksum(body)


def read(value: bytes, now_us: int) -> PeerReport:
    """The estimates of a record, with their age. Raises ``SnapshotError`` if it cannot be used."""
    body = value[:-CHECKSUM_BYTES]
    if value[-CHECKSUM_BYTES:] != _checksum(body):
        raise SnapshotError("the checksum is wrong")
    try:
        version, at_us = HEAD.unpack_from(body)
    except error:
        raise SnapshotError("the record is truncated") from None
    message = codec.decode(body[HEAD.size :]) if version == VERSION else None
    if message is None:
        raise SnapshotError(f"it cannot be decoded; its version is {version}")
    if at_us > now_us:
        raise SnapshotError("its time is in the future: the clock was set back")
    return PeerReport(message.estimates, message.retries, now_us - at_us)


def _checksum(body: bytes) -> bytes:
    return blake2s(body, digest_size=CHECKSUM_BYTES).digest()
