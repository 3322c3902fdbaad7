"""A router with endpoints that send as much as the channel allows, one of them with a kind of a later
release. ``channel_play`` starts it in place of ``-m slipbay``."""

from __future__ import annotations

import sys

from slipbay import process, router
from slipbay.peer_channel.budget import ByteBudget
from slipbay.peer_channel.interfaces import FrameKind, Send
from slipbay.peer_channel.settings import ChannelConfig
from slipbay.peer_channel.udp_link import UdpLink

INTERVAL_US = 10_000


class FloodingEndpoint:
    """Sends a message to every number a hundred times per second, with varying sizes."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.due = 0
        self.counter = 0

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        return [(sender, body)]  # replies to each message

    def tick(self, now: int) -> list[Send]:
        self.due = now + INTERVAL_US
        self.counter = self.counter + 37
        return [((to + self.counter) % self.size, bytes(self.counter % 200)) for to in range(self.size)]

    def next_tick(self) -> int:
        return self.due


class UnlimitedBudget(ByteBudget):
    """A budget without a limit, a fault for tests; used if ``boundless`` is an argument."""

    def available_bytes(self, now: int, kind: int) -> int:
        return 1_000_000


class FloodingRouter(router.Router):
    def _open_channel(self, channel: ChannelConfig) -> UdpLink:
        link = super()._open_channel(channel)
        if "boundless" in sys.argv:
            link.mux.budget = UnlimitedBudget(channel.rate, {}, 0)
        for kind in (FrameKind.QUOTA, FrameKind.LATER):
            link.mux.add(kind, FloodingEndpoint(link.mux.size))
        return link


if __name__ == "__main__":
    process.Router = FloodingRouter  # type: ignore[attr-defined]
    sys.exit(process.serve_until_end())
