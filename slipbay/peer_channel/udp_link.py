"""Connects the channel of a running router to the peer socket and to the router's timers."""

from __future__ import annotations

from collections.abc import Callable

from slipbay.address import Address
from slipbay.core.timers import Timer, Timers
from slipbay.peer_channel.frame import is_framed
from slipbay.peer_channel.interfaces import Send
from slipbay.peer_channel.multiplexer import Multiplexer
from slipbay.peer_channel.status_pages import encode_pages, requested_topic
from slipbay.peers.udp import PeerSocket


class UdpLink:
    """Processes the frames of the channel and passes all other datagrams on to membership."""

    def __init__(self, mux: Multiplexer, peers: PeerSocket, timers: Timers, now: Callable[[], int]) -> None:
        self.mux = mux
        self._peers = peers
        self._timers = timers
        self._now = now
        self._timer: Timer | None = None
        self.topics: dict[int, Callable[[], dict[str, object]]] = {}
        """Status functions for commands on this host, by topic: 0 or the kind of an endpoint."""
        self._next_handler = peers.datagram_handler
        peers.datagram_handler = self._received

    def start(self) -> None:
        """Start the timer. Called once, after all endpoints are added and the socket is open."""
        self._tick()

    def send(self, kind: int, sends: list[Send]) -> None:
        """Send messages of an endpoint outside of its ``receive`` and ``tick``."""
        self._send(self.mux.encode_messages(self._now(), kind, sends))
        self._arm()

    def send_gossip(self, body: bytes, to: int | None) -> None:
        """Send a gossip message of the routing policy to a router by its number, or to all (None); used in
        place of ``PeerSocket.send``."""
        message = self.mux.fit_gossip(self._now(), body)
        if message is not None:
            self._peers.send(message, to)

    def _tick(self) -> None:
        self._send(self.mux.tick(self._now()))
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.mux.next_tick()
        self._timer = self._timers.at(due, self._tick) if due is not None else None

    def _received(self, number: int | None, data: bytes, address: Address) -> bool:
        if not is_framed(data):
            return self._next_handler(number, data, address)
        if number is None and self._reply_to_status_request(data, address):
            return True
        self._send(self.mux.receive(self._now(), data, number))
        self._arm()
        return True

    def _reply_to_status_request(self, data: bytes, address: Address) -> bool:
        """Reply to a status request from this host; returns whether the datagram was one with a known
        topic."""
        requested = requested_topic(data)
        if requested is None or requested not in self.topics or not address[0].startswith("127."):
            return False
        for page in encode_pages(self.topics[requested]()):
            self._peers.send_to(page, address)
        return True

    def _send(self, sends: list[Send]) -> None:
        for to, data in sends:
            self._peers.send(data, to)
