"""The stored form of a request's result: msgpack of the bytes, or the list of packets, from its backend."""

from __future__ import annotations

import msgpack


def pack(result: object) -> bytes:
    """Encode a result for the store."""
    data: bytes = msgpack.packb(result)
    return data


def unpack(data: bytes) -> object:
    """Decode a stored result into the form in which its backend delivered it."""
    result: object = msgpack.unpackb(data)
    return result
