"""The digest that distinguishes statements sent under the same key."""

from __future__ import annotations

from hashlib import blake2b


def digest(*parts: bytes) -> bytes:
    """The 16-byte digest of statement, tenant and parameters (BLAKE2b, RFC 7693)."""
    state = blake2b(digest_size=16)
    for part in parts:
        state.update(len(part).to_bytes(8, "little"))
        state.update(part)
    return state.digest()
