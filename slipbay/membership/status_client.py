"""Requests the membership status of a running router on this host."""

from __future__ import annotations

from typing import Any

from slipbay.address import Address
from slipbay.membership.codec import MessageType
from slipbay.peer_channel import frame, status_pages


def request_status(target: Address, seconds: float = 1.0) -> dict[str, Any]:
    """The membership status of the router with that peer address. Raises ``NoAnswerError`` and
    ``OSError``."""
    request = frame.MAGIC + bytes([frame.VERSION, frame.FLAG | MessageType.STATUS])
    return status_pages.request_status(target, request, seconds)
