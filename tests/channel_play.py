"""Runs router processes, some of which send as much as the channel allows, and records what each one sends.

``python tests/channel_play.py`` runs it once and prints one line for each router.
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
from slipbay.peer_channel.status_pages import encode_request, request_status
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
class Traffic:
    """Datagrams that each router sent: time in s and size in bytes."""

    started_s: float = field(default_factory=time.monotonic)
    status: dict[int, dict[str, Any]] = field(default_factory=dict)  # of the routers with a channel
    # bytes that each router had sent before its status
    at_status: dict[int, int] = field(default_factory=dict)
    framed: Counter[int] = field(default_factory=Counter)  # datagrams of the channel, by router
    sent: defaultdict[int, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))

    def max_bytes(self, number: int, seconds: float = 1.0) -> int:
        """Largest number of bytes in any window."""
        log = self.sent[number]
        oldest = 0
        total = 0
        maximum = 0
        for at, size in log:
            total += size
            while log[oldest][0] <= at - seconds:
                total -= log[oldest][1]
                oldest += 1
            maximum = max(maximum, total)
        return maximum

    def max_excess(self, number: int, rate: float = 1_000) -> float:
        """Largest excess in bytes over ``rate x t`` at any time t since the start of the run. A host that
        delays messages does not distort this figure, but it distorts the bytes of shorter intervals."""
        over = 0.0
        total = 0
        for at, size in self.sent[number]:
            total += size
            over = max(over, total - rate * (at - self.started_s))
        return over


class StatusRig(Rig):
    """Requests the counters of the routers with a channel when the load ends."""

    traffic: Traffic
    routers_with_channel: Iterable[int]

    async def _check_views(self) -> None:
        for number in self.routers_with_channel:
            self.traffic.at_status[number] = sum(size for _, size in self.traffic.sent[number])
            self.traffic.status[number] = await asyncio.to_thread(
                request_status, self.real[number], encode_request(0), 5.0
            )


def recording_relay(traffic: Traffic) -> type[UdpRelay]:
    class RecordingRelay(UdpRelay):
        def datagram_received(self, data: bytes, addr: Address) -> None:
            if addr == self.links.real[self.source_router]:
                traffic.sent[self.source_router].append((time.monotonic(), len(data)))
                traffic.framed[self.source_router] += is_framed(data)
            super().datagram_received(data, addr)

    return RecordingRelay


def run_scenario(
    channel_files: dict[int, str], fleet_files: dict[int, str], *arguments: str, **more: Any
) -> tuple[RunReport, Traffic]:
    """Run the scenario. ``channel_files``, ``fleet_files``: texts of channel.toml and fleet.toml by router;
    other routers have none. ``arguments``: of the routers with a channel."""
    from slipbay.rig import udp_proxy

    traffic = Traffic()
    relay = udp_proxy.UdpRelay
    udp_proxy.UdpRelay = recording_relay(traffic)  # type: ignore[misc]
    try:
        with tempfile.TemporaryDirectory() as folder:
            script = from_table({**SCRIPT, "fleet": "enabled = true", "channel": "", **more})
            rig = StatusRig(script, Path(folder))
            rig.traffic = traffic
            rig.routers_with_channel = list(channel_files)
            for number, router in enumerate(rig.routers):
                router.write("channel", channel_files.get(number, ""))
                router.write("fleet", fleet_files.get(number, ""))
                if number in channel_files:
                    router.program = (str(CHATTY), *arguments)
            return asyncio.run(rig.execute()), traffic
    finally:
        udp_proxy.UdpRelay = relay  # type: ignore[misc]


def main() -> None:
    on = "enabled = true\n"
    report, traffic = run_scenario({2: on, 3: on}, {1: on, 2: on, 3: on}, without_view=[0])
    for number in range(4):
        size = sum(size for _, size in traffic.sent[number])
        print(
            f"router {number}: {size} bytes in {len(traffic.sent[number])} datagrams, "
            f"at most {traffic.max_bytes(number)} in 1 s"
        )
    print(dict(report.outcomes), report.faults)


if __name__ == "__main__":
    main()
