"""State machine of the channel: endpoints by kind, frames, the byte budget and counters.

It has no I/O, clock or random source.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from slipbay.peer_channel.budget import ByteBudget
from slipbay.peer_channel.external_traffic import truncate_gossip
from slipbay.peer_channel.frame import FIRST_KIND, CorruptFrameError, Frame, decode, encode
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind, Send

KNOWN_KINDS = frozenset(FrameKind)
RATE = 1_000  # bytes that a router may send in any second, at any size of the fleet


class Multiplexer:
    """The channel of one router. Times are in us."""

    def __init__(
        self,
        local_number: int,
        size: int,
        incarnation: int,
        now: int,
        *,
        key: bytes = b"",
        old_key: bytes = b"",
        shares: Mapping[int, float] | None = None,
        rate: float = RATE,
    ) -> None:
        """Create a channel without endpoints.

        ``local_number``: of this router. ``size``: how many routers are configured. ``incarnation``: a
        number that is new with each start. ``shares``: guaranteed fraction of the rate by kind,
        in effect for an endpoint once it is added. Kinds without one share the rest.
        """
        self.local_number = local_number
        self.size = size
        self.incarnation = incarnation % 2**16
        self._key = key
        self._keys = tuple(k for k in (key, old_key) if k)
        self.endpoints: dict[int, ChannelEndpoint] = {}
        self._shares = shares or {}
        self.budget = ByteBudget(rate, {k: share for k, share in self._shares.items() if k < FIRST_KIND}, now)
        self.counts: Counter[str] = Counter()
        self.drop_handlers: dict[int, Callable[[int, int, bytes], None]] = {}
        """By kind, a callback for messages that the budget had no room for: time, receiver and body."""

    def add(self, kind: int, endpoint: ChannelEndpoint) -> None:
        """Add an endpoint. Its guaranteed fraction of the rate is in effect from now on."""
        self.endpoints[kind] = endpoint
        if kind in self._shares:
            self.budget.guarantee_share(kind, self._shares[kind])

    def receive(self, now: int, data: bytes, sender: int | None) -> list[Send]:
        """Pass a datagram that ``is_framed`` to its endpoint; returns the datagrams to send.

        ``sender``: number of the peer that has the source address; None if no peer has it.
        """
        try:
            frame = decode(data, self._keys)
        except CorruptFrameError:
            self.counts["garbled"] += 1
            return []
        if frame is None or frame.kind not in self.endpoints:
            self.counts["skipped"] += 1
            return []
        if sender is None or frame.sender != sender or sender == self.local_number or sender >= self.size:
            self.counts["foreign"] += 1
            return []
        self.counts["received"] += 1
        self.counts[f"received {frame.kind}"] += 1
        return self._encode_frames(
            now, frame.kind, self.endpoints[frame.kind].receive(now, sender, frame.life, frame.body)
        )

    def tick(self, now: int) -> list[Send]:
        """Call ``tick`` of the endpoints that are due; returns the datagrams to send."""
        sends: list[Send] = []
        for kind, endpoint in self.endpoints.items():
            if endpoint.next_tick() <= now:
                sends += self._encode_frames(now, kind, endpoint.tick(now))
        return sends

    def next_tick(self) -> int | None:
        """When ``tick`` is due; None if there are no endpoints."""
        return min((endpoint.next_tick() for endpoint in self.endpoints.values()), default=None)

    def encode_messages(self, now: int, kind: int, sends: Sequence[Send]) -> list[Send]:
        """The datagrams for messages that an endpoint sends outside of ``receive`` and ``tick``, for example
        when a client request arrives."""
        return self._encode_frames(now, kind, sends)

    def available_bytes(self, now: int, kind: int) -> int:
        """Bytes of datagrams that a kind may send now; endpoints choose the content of messages by it."""
        return self.budget.available_bytes(now, kind)

    def spend_unframed(self, now: int, kind: int, size: int) -> bool:
        """Whether a datagram without a channel frame, such as a membership message, may be sent now. If so,
        it is counted as sent."""
        return self._spend(now, kind, size)

    def fit_gossip(self, now: int, body: bytes) -> bytes | None:
        """A gossip message of the routing policy, truncated to what the budget allows now; None if it has no
        room for the header. The engines with most threads are kept. The message is counted as sent."""
        body = truncate_gossip(body, self.budget.available_bytes(now, FrameKind.DECISIONS))
        return body if body and self._spend(now, FrameKind.DECISIONS, len(body)) else None

    def status(self) -> dict[str, object]:
        """Counters since the start, by kind, as JSON values."""
        counts = self.counts
        guaranteed = self.budget.guaranteed_bytes
        kinds = sorted(
            {*guaranteed, *self.endpoints, *(int(n.split()[-1]) for n in counts if n[-1].isdigit())}
        )
        return {
            "rate": self.budget.rate,
            "life": self.incarnation,
            **{name: counts[name] for name in ("bytes", "received", "skipped", "garbled", "foreign")},
            "kinds": {
                FrameKind(kind).name.lower() if kind in KNOWN_KINDS else str(kind): {
                    "part": guaranteed.get(kind, 0.0) / self.budget.rate,
                    "sent": counts[f"sent {kind}"],
                    "bytes": counts[f"bytes {kind}"],
                    "over_budget": counts[f"over budget {kind}"],
                    "received": counts[f"received {kind}"],
                }
                for kind in kinds
            },
        }

    def _spend(self, now: int, kind: int, size: int) -> bool:
        if not self.budget.try_spend(now, kind, size):
            self.counts[f"over budget {kind}"] += 1
            return False
        self.counts["bytes"] += size
        self.counts[f"sent {kind}"] += 1
        self.counts[f"bytes {kind}"] += size
        return True

    def _encode_frames(self, now: int, kind: int, sends: Sequence[Send]) -> list[Send]:
        datagrams: list[Send] = []
        for to, body in sends:
            data = encode(Frame(kind, self.local_number, self.incarnation, body), self._key)
            if to == self.local_number or not 0 <= to < self.size:
                continue
            if self._spend(now, kind, len(data)):
                self.counts["sent"] += 1
                datagrams.append((to, data))
            elif kind in self.drop_handlers:
                self.drop_handlers[kind](now, to, body)
        return datagrams
