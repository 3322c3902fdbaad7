"""The digest that distinguishes statements sent under the same key."""

from __future__ import annotations

from hashlib import blake2b


def digest(*fields: bytes) -> bytes:
    """The 16-byte digest of the fields: statement, tenant, parameters (BLAKE2b, RFC 7693)."""
    state = blake2b(digest_size=16)
    for field in fields:
        state.update(len(field).to_bytes(8, "little"))
        state.update(field)
    return state.digest()
