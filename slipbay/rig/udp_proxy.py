"""UDP proxies between routers, which lose, delay, duplicate and cut datagrams.

A router identifies a peer by its source address, so each ordered pair of routers has a socket of its own. A
datagram that router i sends to the address that it has for j arrives there, and is forwarded to j from the
socket whose address j has for i.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, deque
from collections.abc import Iterable
from math import ceil, inf
from random import Random
from typing import cast

from slipbay.address import Address
from slipbay.rig.report import EventRecorder

WINDOW_S = 1.05  # s in which a router sends no more than its budget


class UdpRelay(asyncio.DatagramProtocol):
    """The socket that router ``near`` uses as the address of router ``far``; ``far`` None: of all others."""

    def __init__(self, links: UdpProxy, source_router: int, target_router: int | None) -> None:
        self.links = links
        self.source_router = source_router
        self.target_router = target_router
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram of the router ``near``; ignore datagrams of any other sender."""
        if addr not in (
            self.links.real[self.source_router],
            self.links.twin_addresses.get(self.source_router),
        ):
            return
        self.links.count_datagram(self.source_router, addr, len(data), asyncio.get_running_loop().time())
        for target_router in (
            [self.target_router] if self.target_router is not None else range(len(self.links.real))
        ):
            if target_router != self.source_router:
                self.links.forward(self.source_router, target_router, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error."""
        pass  # the router does not run

    @property
    def address(self) -> Address:
        """The address of the socket."""
        assert self.transport is not None
        address_found: Address = self.transport.get_extra_info("sockname")
        return address_found


class UdpProxy:
    """All datagram links between routers."""

    def __init__(self, real: list[Address], random: Random, recorder: EventRecorder | None = None) -> None:
        self.real = real
        self.random = random
        self.recorder = recorder or EventRecorder()
        # addresses of second processes that run beside the first
        self.twin_addresses: dict[int, Address] = {}
        self.loss = 0.0
        self.double = 0.0
        self.delay_s = 0.0
        self.cut_pairs: set[tuple[int, int]] = set()
        self.relays: dict[tuple[int, int | None], UdpRelay] = {}
        self._recent: deque[tuple[int, int, bytes]] = deque(maxlen=400)  # recent datagrams, for a replay
        self.counts: Counter[str] = Counter()
        self.budget_bytes_per_s = inf  # bytes that one router process may send in any second
        self.over_budget: list[str] = []  # faults of processes that sent more
        self.max_bytes_in_second = 0  # most bytes that one process sent in any second
        self._recent_sizes: dict[Address, deque[tuple[float, int]]] = {}
        self._totals: dict[Address, tuple[float, int]] = {}  # start of the process, and bytes since then

    async def open(self) -> None:
        """Open the sockets of all pairs."""
        loop = asyncio.get_running_loop()
        for source_router in range(len(self.real)):
            for target_router in [None, *(n for n in range(len(self.real)) if n != source_router)]:
                relay = self.relays[source_router, target_router] = UdpRelay(
                    self, source_router, target_router
                )
                await loop.create_datagram_endpoint(lambda r=relay: r, ("127.0.0.1", 0))  # type: ignore[misc]

    def close(self) -> None:
        """Close all sockets."""
        for relay in self.relays.values():
            if relay.transport is not None:
                relay.transport.close()

    def peers(self, source_router: int, own: Address | None = None) -> list[str]:
        """Return the peer addresses for a router's configuration, including its own.

        ``own`` is its own address if it differs from the usual one.
        """
        addresses = [
            (own or self.real[source_router]) if n == source_router else self.relays[source_router, n].address
            for n in range(len(self.real))
        ]
        return [f"{host}:{port}" for host, port in addresses]

    def broadcast_address(self, source_router: int) -> str:
        """Return the address whose datagrams are forwarded to all other routers."""
        host, port = self.relays[source_router, None].address
        return f"{host}:{port}"

    def cut(self, sources: Iterable[int], targets: Iterable[int], both: bool = True) -> None:
        """Drop datagrams from sources to targets, and in the other direction if ``both``."""
        targets = list(targets)
        for source in sources:
            for target in targets:
                self.cut_pairs |= {(source, target), *([(target, source)] if both else [])}

    def heal(self) -> None:
        """Remove all cuts."""
        self.cut_pairs.clear()

    def start_incarnation(self, source: Address, now: float) -> None:
        """Reset the byte counts of a router, because a new process has no record of what the earlier one
        sent.
        """
        self._recent_sizes.pop(source, None)
        self._totals[source] = now, 0

    def count_datagram(self, source_router: int, source: Address, size_bytes: int, now: float) -> None:
        """Count a datagram that a router sent, and check its byte budget.

        More bytes than the budget may arrive in one second, because the system may deliver held-back
        datagrams together. But the bytes received since the process started must not exceed what it may have
        sent by then, plus one window's budget that the earlier process had in flight.
        """
        recent_sizes = self._recent_sizes.setdefault(source, deque())
        recent_sizes.append((now, size_bytes))
        while recent_sizes[0][0] <= now - 1.0:
            recent_sizes.popleft()
        self.max_bytes_in_second = max(
            self.max_bytes_in_second, sum(datagram_bytes for _, datagram_bytes in recent_sizes)
        )
        started_s, earlier_bytes = self._totals.get(source, (now, 0))
        self._totals[source] = started_s, (total_bytes := earlier_bytes + size_bytes)
        if total_bytes > self.budget_bytes_per_s * (1 + ceil(max(0.001, now - started_s) / WINDOW_S)):
            self.over_budget.append(
                f"bytes: router {source_router} sent {total_bytes} in its first {now - started_s:.2f} s"
            )

    def forward(self, source_router: int, target_router: int, data: bytes) -> None:
        """Forward a datagram, subject to cuts, loss, duplication and delay."""
        self.counts["messages"] += 1
        self.recorder.add("messages", asyncio.get_running_loop().time())
        self._recent.append((source_router, target_router, data))
        if (source_router, target_router) in self.cut_pairs or self.random.random() < self.loss:
            self.counts["lost"] += 1
            return
        for _ in range(1 + (self.random.random() < self.double)):
            random_delay_s = self.random.random() * self.delay_s
            asyncio.get_running_loop().call_later(
                random_delay_s, self._deliver, source_router, target_router, data
            )

    def replay(self) -> None:
        """Send the most recent datagrams again, every third one truncated or garbled, also from an unknown
        address.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            for number, (source_router, target_router, data) in enumerate(self._recent):
                if number % 3 == 2:
                    data = data[: self.random.randrange(len(data))] + self.random.randbytes(3)
                self._deliver(source_router, target_router, data)
                unknown_sender.sendto(data, self.real[target_router])

    def _deliver(self, source_router: int, target_router: int, data: bytes) -> None:
        transport = self.relays[target_router, source_router].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.real[target_router])
            if target_router in self.twin_addresses:
                transport.sendto(data, self.twin_addresses[target_router])
