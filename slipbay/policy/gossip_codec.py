"""Encoding of the messages in which routers report threads in use: a head, then an item for each engine.

All fields are little-endian. The head has the period and a flag that is set if the message has the sums of
all routers. An item has the digest of an engine's id and the number of threads in use on it. Messages fit
into 256 bytes, the limit of the hosts.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from zlib import crc32

from slipbay.policy.events import EngineId

HEAD = Struct("<IB")  # period, flag for sums
ITEM = Struct("<HB")  # digest of an engine, threads
MAXIMUM_BYTES = 256  # limit of the hosts for one message
MAXIMUM_THREADS = 255  # highest value of an item's thread byte
PERIOD_RANGE = 2**32  # number of values of the head's period field
DIGEST_RANGE = 2**16  # number of values of an item's digest field


@dataclass(slots=True, frozen=True)
class LoadMessage:
    """One message: threads by engine digest, in use by its sender or, for sums, by all routers."""

    period: int  # modulo PERIOD_RANGE
    is_sum: bool
    threads: dict[int, int]


def digest_of(engine: EngineId) -> int:
    """Digest of an engine id for messages; two engines may have the same one."""
    return crc32(engine) % DIGEST_RANGE


def encode(message: LoadMessage) -> bytes:
    """Encode a message, with as many engines as fit, those with the most threads first."""
    fullest = sorted(message.threads.items(), key=lambda item: (-item[1], item[0]))
    max_items = (MAXIMUM_BYTES - HEAD.size) // ITEM.size
    items = [ITEM.pack(digest, min(threads, MAXIMUM_THREADS)) for digest, threads in fullest[:max_items]]
    return HEAD.pack(message.period % PERIOD_RANGE, message.is_sum) + b"".join(items)


def decode(body: bytes) -> LoadMessage | None:
    """Decode a message; ``None`` if the bytes are malformed."""
    if len(body) < HEAD.size or (len(body) - HEAD.size) % ITEM.size:
        return None
    period, is_sum = HEAD.unpack_from(body)
    return LoadMessage(period, bool(is_sum), dict(ITEM.iter_unpack(body[HEAD.size :])))
