"""Status requests from commands on the same host, answered over the peer socket: they need no other listener.

A request is the header of a membership message or a channel frame, followed by the topic. The reply is a
number of pages, each with its number, the count of pages, and text. Requests and pages have no checksum and
do not count in the byte budget: they never leave the host.
"""

from __future__ import annotations

import json
import socket
import time
from typing import Any

from slipbay.address import Address
from slipbay.errors import SlipbayError
from slipbay.peer_channel.frame import FLAG, MAGIC, MAX_BYTES, VERSION, is_peer_message

PAGE_BYTES = 200
PAGE_HEAD_BYTES = 7
MAX_PAGES = 255
REQUEST_BYTES = 6
PAGE = 7  # the kind of a page, a membership message type
STATUS = 126  # the frame kind of a status request; the topic follows


class NoAnswerError(SlipbayError):
    """No router sent a complete reply in time."""


def encode_request(topic: int) -> bytes:
    """The request for a status. ``topic``: kind of the endpoint, or 0 for the channel."""
    return MAGIC + bytes([VERSION, FLAG | STATUS, topic])


def requested_topic(data: bytes) -> int | None:
    """The topic that a datagram requests; None if it is not a status request."""
    return data[5] if len(data) == REQUEST_BYTES and data[:5] == encode_request(0)[:5] else None


def encode_pages(status: dict[str, object]) -> list[bytes]:
    """The datagrams of a status. Each has the kind, the number of the page, the count of pages, and text."""
    text = json.dumps(status).encode()
    parts = [text[at : at + PAGE_BYTES] for at in range(0, len(text), PAGE_BYTES)][:MAX_PAGES]
    return [
        MAGIC + bytes([VERSION, FLAG | PAGE, number, len(parts)]) + part for number, part in enumerate(parts)
    ]


def request_status(target: Address, request: bytes, seconds: float = 1.0) -> dict[str, Any]:
    """Request the status of the router with that peer address. Raises ``NoAnswerError`` and ``OSError``."""
    received_pages: dict[int, bytes] = {}
    deadline = time.monotonic() + seconds
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.connect(target)
        sock.send(request)
        while (remaining_s := deadline - time.monotonic()) > 0:
            sock.settimeout(remaining_s)
            try:
                data = sock.recv(MAX_BYTES)
            except (TimeoutError, ConnectionRefusedError):
                break
            if len(data) < PAGE_HEAD_BYTES or not is_peer_message(data) or data[4] & ~FLAG != PAGE:
                continue
            received_pages[data[5]] = data[PAGE_HEAD_BYTES:]
            if len(received_pages) == data[6]:
                status: dict[str, Any] = json.loads(
                    b"".join(received_pages[number] for number in sorted(received_pages))
                )
                return status
    raise NoAnswerError(
        f"{target[0]}:{target[1]}: no answer; is the feature enabled there, with status = true?"
    )
