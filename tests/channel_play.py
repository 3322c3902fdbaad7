"""Routers as processes, some of which say all they can on the channel: what left each, and who was served.

``python tests/channel_play.py`` plays it once and prints a line for each router.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from slipbay.address import Address
from slipbay.peer_channel.frame import is_framed
from slipbay.peer_channel.status_pages import ask, question
from slipbay.rig.runner import Rig, RunReport
from slipbay.rig.scenario import from_table
from slipbay.rig.udp_proxy import UdpRelay

CHATTY = Path(__file__).with_name("chatty.py")
SCRIPT: dict[str, Any] = {
    "routers": 4,
    "engines": 8,
    "zones": 2,
    "seconds": 6,
    "settle_s": 15,
    "load": {"lookups": 150, "reports": 20, "loads": 2},
    "do": [
        {"at": 1, "what": "double", "part": 0.2},
        {"at": 2, "what": "replay"},
        {"at": 3, "what": "replay"},
    ],
}


@dataclass
class Heard:
    """Datagrams that left each router: when, in s, and how long they were."""

    began: float = field(default_factory=time.monotonic)
    status: dict[int, dict[str, Any]] = field(default_factory=dict)  # told by those with a channel
    at_status: dict[int, int] = field(default_factory=dict)  # bytes that had left each before it told
    framed: Counter[int] = field(default_factory=Counter)  # datagrams of the channel
    sent: defaultdict[int, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))

    def most(self, number: int, seconds: float = 1.0) -> int:
        """Bytes in the fullest window."""
        log = self.sent[number]
        first = 0
        total = 0
        most = 0
        for at, size in log:
            total += size
            while log[first][0] <= at - seconds:
                total -= log[first][1]
                first += 1
            most = max(most, total)
        return most

    def worst(self, number: int, rate: float = 1_000) -> float:
        """By how many bytes it was over ``rate x t`` at any time t since the play's start. A machine that
        held its messages back can not falsify that, as it can what left in shorter spans."""
        over = 0.0
        total = 0
        for at, size in self.sent[number]:
            total += size
            over = max(over, total - rate * (at - self.began))
        return over


class Asking(Rig):
    """Asks those with a channel for their counters, when the load is over."""

    heard: Heard
    asked: Iterable[int]

    async def _check_views(self) -> None:
        for number in self.asked:
            self.heard.at_status[number] = sum(size for _, size in self.heard.sent[number])
            self.heard.status[number] = await asyncio.to_thread(
                ask, self.router_addresses[number], question(0), 5.0
            )


def listening(heard: Heard) -> type[UdpRelay]:
    class Listening(UdpRelay):
        def datagram_received(self, data: bytes, addr: Address) -> None:
            if addr == self.udp_proxy.router_addresses[self.source_router]:
                heard.sent[self.source_router].append((time.monotonic(), len(data)))
                heard.framed[self.source_router] += is_framed(data)
            super().datagram_received(data, addr)

    return Listening


def play(channel: dict[int, str], views: dict[int, str], *words: str, **more: Any) -> tuple[RunReport, Heard]:
    """``channel``, ``views``: texts of operator files by router; others run without. ``words``: arguments of
    those with a channel."""
    from slipbay.rig import udp_proxy

    heard = Heard()
    relay = udp_proxy.UdpRelay
    udp_proxy.UdpRelay = listening(heard)  # type: ignore[misc]
    try:
        with tempfile.TemporaryDirectory() as folder:
            script = from_table({**SCRIPT, "fleet": "enabled = true", "channel": "", **more})
            rig = Asking(script, Path(folder))
            rig.heard = heard
            rig.asked = list(channel)
            for number, router in enumerate(rig.routers):
                router.write("channel", channel.get(number, ""))
                router.write("fleet", views.get(number, ""))
                if number in channel:
                    router.program = (str(CHATTY), *words)
            return asyncio.run(rig.execute()), heard
    finally:
        udp_proxy.UdpRelay = relay  # type: ignore[misc]


def main() -> None:
    on = "enabled = true\n"
    verdict, heard = play({2: on, 3: on}, {1: on, 2: on, 3: on}, without_view=[0])
    for number in range(4):
        size = sum(size for _, size in heard.sent[number])
        print(
            f"router {number}: {size} bytes in {len(heard.sent[number])} datagrams, "
            f"at most {heard.most(number)} in 1 s"
        )
    print(dict(verdict.outcomes), verdict.faults)


if __name__ == "__main__":
    main()
