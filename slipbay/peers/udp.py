"""The UDP socket for messages between the routers of a fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from slipbay.address import Address
from slipbay.config.model import Config
from slipbay.log import log

MAX_BYTES = 256


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams; any may be lost or late. The source address identifies the sender."""

    def __init__(self, config: Config, on_gossip: Callable[[int, bytes], None]) -> None:
        self._config = config
        self._on_gossip = on_gossip
        self._numbers = {peer: number for number, peer in enumerate(config.peers)}
        self._transport: asyncio.DatagramTransport | None = None
        self.datagram_handler: Callable[[int | None, bytes, Address], bool] = (
            lambda _number, _data, _address: False
        )

    async def start(self) -> None:
        """Open the socket if the configuration has a peer address and allows gossip.

        Raises:
            OSError: if the address can't be bound.
        """
        if self._config.peer_listen is not None and self._config.settings.may_gossip:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: self, self._config.peer_listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio once the socket is bound."""
        # the transport classes of asyncio are not subclasses of DatagramTransport
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Called by asyncio with a datagram and its source address."""
        number = self._numbers.get((addr[0], addr[1]))
        if self.datagram_handler(number, data, addr):
            return  # it was a message of the channel or of membership
        if number is None:
            log("peers", "datagram from an address that is not in the list of peers")
        elif number != self._config.settings.router_number and len(data) <= MAX_BYTES:
            self._on_gossip(number, data)

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio if a peer is unreachable; no action, as any message may be lost."""

    def send(self, body: bytes, to: int | None) -> None:
        """Send a datagram to a router by its number, or to all (None)."""
        target = (
            self._config.peers_all
            if to is None
            else (self._config.peers[to] if to < len(self._config.peers) else None)
        )
        if target is not None:
            self.send_to(body, target)

    def send_to(self, body: bytes, address: Address) -> None:
        """Send a datagram to an address; one of more than ``MAX_BYTES`` is dropped."""
        if self._transport is not None and len(body) <= MAX_BYTES:
            self._transport.sendto(body, address)

    def close(self) -> None:
        """Close the socket. Datagrams that timers of other modules still send are dropped."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
