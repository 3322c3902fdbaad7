"""Messages on the peer socket that the channel does not frame but counts in its budget."""

from __future__ import annotations

from slipbay.policy.gossip_codec import HEAD, ITEM


def truncate_gossip(body: bytes, room: int) -> bytes:
    """Truncate a gossip message of the routing policy to at most ``room`` bytes.

    Its items are sorted by threads, most first, so whole items are dropped from the end. Returns an empty
    message if even the header does not fit; a header alone still shows receivers that this router runs.
    """
    if len(body) <= room:
        return body
    if room < HEAD.size:
        return b""
    return body[: HEAD.size + (room - HEAD.size) // ITEM.size * ITEM.size]
