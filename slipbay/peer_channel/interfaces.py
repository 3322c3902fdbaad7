"""Interfaces between the channel, the endpoints that use it and the transport below it, without logic.

An *endpoint* is a state machine without I/O, clock or random source of its own: a host passes it received
messages and the time, and sends the messages that it returns. Times are integers in us of the host's clock,
which follows the monotonic clock and never goes back. The clocks of two routers differ by an unknown offset,
so a point in time means nothing to another router: endpoints send durations (ages, lengths) only.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Protocol, TypeAlias

from slipbay.address import Address

MAX_BODY_BYTES = (
    236  # bytes of an endpoint's message; with header and checksum a datagram of at most 256 bytes
)


class FrameKind(IntEnum):
    """The kind of a channel frame, which selects the endpoint that receives it. Kinds 1 to 15 are those of
    membership messages (``membership.codec``). A router counts and skips frames of unknown kinds."""

    DECISIONS = 0  # gossip of the routing policy, which has no frame; used in the budget only
    VIEW = 1  # all membership messages; used in the budget only
    COMEBACK = 16
    QUOTA = 17
    GATHER = 18
    LIVES = 19  # store generations (``slipbay.idempotency.witnesses``)
    LATER = 127  # never assigned; tests send it in place of a kind of a later release


Send: TypeAlias = tuple[int, bytes]
"""The number of the receiving router and the body, at most ``MAX_BODY_BYTES`` bytes."""


class ChannelEndpoint(Protocol):
    """A state machine that sends and receives one kind of frame. It ignores a body that it cannot decode."""

    def receive(self, now: int, sender: int, incarnation: int, body: bytes) -> list[Send]:
        """Process a message of this endpoint's kind, whose checksum is valid; returns the messages to send.

        ``incarnation``: of the sender; it only distinguishes incarnations and has no order. The message
        may be late, duplicated, out of order, or sent by an earlier incarnation.
        """

    def tick(self, now: int) -> list[Send]:
        """Process the passing of time; returns the messages to send. The host calls it at ``next_tick`` or
        later."""

    def next_tick(self) -> int:
        """When ``tick`` is due; the host calls this after each ``receive`` and ``tick``."""


class Transport(Protocol):
    """Carries datagrams between numbered routers; any may be lost, duplicated, late or out of order."""

    received: Callable[[int | None, bytes, Address], bool]
    """Set by the user of the transport. Called with the number of the peer that has the source address (None:
    no peer has it), the data and the address. Returns whether the user has processed the datagram."""

    def send(self, data: bytes, to: int) -> None:
        """Send a datagram of at most 256 bytes; longer ones are dropped."""
