"""Contract of the transports of the channel (docs/contracts.md, C1 to C7), and transports that violate one
obligation each."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from obligations import held, suite

from slipbay.clock import Clock
from slipbay.core.timers import Timers
from slipbay.emulator.channel_fleet import ChannelFleet
from slipbay.emulator.network import Network
from slipbay.peer_channel import frame
from slipbay.peer_channel.budget import WINDOW_US
from slipbay.peer_channel.frame import Frame
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind, Send
from slipbay.peer_channel.multiplexer import RATE, Multiplexer
from slipbay.peer_channel.udp_link import UdpLink
from slipbay.peers.udp import PeerSocket
from slipbay.rig.report import EventRecorder
from slipbay.rig.runner import PEER_PORT, reserve_network
from slipbay.rig.udp_proxy import UdpProxy

SIZE = 3
KEY = b"a key of sixteen"
FENCE = FrameKind.COMEBACK  # a message of this kind shows that all earlier ones have arrived


class RecordingEndpoint:
    """Records received messages."""

    def __init__(self) -> None:
        self.received: list[tuple[int, int, bytes]] = []

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        self.received.append((sender, life, body))
        return []

    def tick(self, now: int) -> list[Send]:
        return []

    def next_tick(self) -> int:
        return 2**60


class TransportUnderTest:
    """Three routers with a recording endpoint each, and the network between them."""

    mux: list[Multiplexer]
    weather = (0.0, 0.0)  # fractions of lost and duplicated datagrams, set by ``set_faults``

    def received_by_router(self, kind: int) -> list[list[tuple[int, int, bytes]]]:
        return [cast(RecordingEndpoint, mux.endpoints[kind]).received for mux in self.mux]

    def send_message(self, me: int, to: int, body: bytes) -> None: ...

    def send_raw(self, me: int, to: int, data: bytes) -> None:
        """Send a datagram from the address of a router, without its channel."""

    def send_from_unknown_address(self, to: int, data: bytes) -> None:
        """Send a datagram from an address that no router has."""

    def set_faults(self, loss: float, double: float) -> None: ...

    def cut(self, me: int, to: int) -> None:
        """Interrupt the link from ``me`` to ``to``, in this direction only."""

    def heal(self) -> None: ...

    def traffic(self, me: int) -> tuple[int, int]:
        """Bytes that a router has sent since its start, and the time since then in us."""
        raise NotImplementedError

    def wait_until_delivered(self) -> None:
        """Wait until all datagrams sent so far have arrived."""

    def close(self) -> None: ...


def make_endpoints() -> dict[int, ChannelEndpoint]:
    return {FrameKind.QUOTA: RecordingEndpoint(), FENCE: RecordingEndpoint()}


class Emulated(TransportUnderTest):
    network: type[Network] = Network

    def __init__(self) -> None:
        self.routers = ChannelFleet(SIZE, lambda me, life, now: make_endpoints(), key=KEY)
        old = self.routers.network
        self.routers.network = self.network(old.agenda, old.random, old.deliver)
        self.routers.start()
        self.mux = [cast(Multiplexer, mux) for mux in self.routers.muxes]

    def send_message(self, me: int, to: int, body: bytes) -> None:
        self.routers.say(me, FrameKind.QUOTA, [(to, body)])

    def send_raw(self, me: int, to: int, data: bytes) -> None:
        self.routers.network.send(me, to, data)

    def send_from_unknown_address(self, to: int, data: bytes) -> None:
        self.routers.network.send(99, to, data)

    def set_faults(self, loss: float, double: float) -> None:
        self.routers.network.weather.loss = loss
        self.routers.network.weather.double = double

    def cut(self, me: int, to: int) -> None:
        self.routers.network.cut([me], [to], both=False)

    def heal(self) -> None:
        self.routers.network.heal()

    def traffic(self, me: int) -> tuple[int, int]:
        return self.mux[me].counts["bytes"], self.routers.now - self.started_us

    @property
    def started_us(self) -> int:
        from slipbay.emulator.channel_fleet import EPOCH

        return EPOCH

    def wait_until_delivered(self) -> None:
        self.routers.run(0.05)


class Sockets(TransportUnderTest):
    """The sockets and timers of real routers on an event loop, without relays."""

    link: type[UdpLink] = UdpLink

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        net, self._reserved_socket = reserve_network()
        self.real = [(f"127.{net}.0.{n + 1}", PEER_PORT) for n in range(SIZE)]
        self.sent = Counter[int]()
        self.loop.run_until_complete(self._open())

    async def _open(self) -> None:
        clock = self.clock = Clock(self.loop)
        timers = Timers(self.loop, clock)
        self.peers = list[PeerSocket]()
        self.links = list[UdpLink]()
        self.mux = []
        self.started_us = clock.fresh()
        for me in range(SIZE):
            addresses = await self._peer_addresses(me)
            config = SimpleNamespace(
                peers=addresses,
                peer_listen=self.real[me],
                peers_all=None,
                settings=SimpleNamespace(router_number=me, may_gossip=True),
            )
            peers = PeerSocket(cast(Any, config), lambda number, data: None)
            mux = Multiplexer(me, SIZE, 300 + me, clock.now(), key=KEY)
            for kind, party in make_endpoints().items():
                mux.add(kind, party)
            link = self.link(mux, peers, timers, clock.now)
            await peers.start()
            link.start()
            self.peers.append(peers)
            self.links.append(link)
            self.mux.append(mux)

    async def _peer_addresses(self, me: int) -> list[tuple[str, int]]:
        return self.real

    def send_message(self, me: int, to: int, body: bytes) -> None:
        self.links[me].send(FrameKind.QUOTA, [(to, body)])

    def send_raw(self, me: int, to: int, data: bytes) -> None:
        self.peers[me].send(data, to)

    def send_from_unknown_address(self, to: int, data: bytes) -> None:
        self._reserved_socket.sendto(data, self.real[to])

    def traffic(self, me: int) -> tuple[int, int]:
        return self.mux[me].counts["bytes"], self.clock.fresh() - self.started_us

    def wait_until_delivered(self) -> None:
        """Send a fence message on every link until one has arrived: no datagram overtakes it, but it may be
        lost."""
        fences = self.received_by_router(FENCE)
        before = [Counter(sender for sender, _, _ in messages) for messages in fences]

        async def marked() -> None:
            while not all(
                Counter(s for s, _, _ in fences[to])[me] > before[to][me]
                for me in range(SIZE)
                for to in range(SIZE)
                if me != to
            ):
                for me in range(SIZE):
                    for to in {*range(SIZE)} - {me}:
                        self.send_raw(me, to, frame.encode(Frame(FENCE, me, 300 + me, b""), KEY))
                for _ in range(20):
                    await asyncio.sleep(0)

        self.loop.run_until_complete(asyncio.wait_for(marked(), 20))

    def close(self) -> None:
        for peers in self.peers:
            peers.close()
        self._reserved_socket.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


class Relayed(Sockets):
    """The same sockets, with the relays of the rig between them."""

    async def _peer_addresses(self, me: int) -> list[tuple[str, int]]:
        if not me:
            self.relays = UdpProxy(self.real, Random(1), EventRecorder())
            await self.relays.open()
        addresses = self.relays.peers(me, self.real[me])
        return [(host, int(port)) for host, _, port in (address.partition(":") for address in addresses)]

    def send_message(self, me: int, to: int, body: bytes) -> None:
        before = self.mux[me].counts["sent"]
        super().send_message(me, to, body)
        self._wait_for_relays(self.mux[me].counts["sent"] - before)

    def send_raw(self, me: int, to: int, data: bytes) -> None:
        super().send_raw(me, to, data)
        self._wait_for_relays(len(data) <= frame.MAX_BYTES)

    def _wait_for_relays(self, count: int) -> None:
        """Wait until the relays have processed ``count`` more datagrams, under the faults that are set
        now."""
        self.carried += count

        async def until() -> None:
            while self.relays.counts["messages"] < self.carried:
                await asyncio.sleep(0)

        if not self.loop.is_running():
            self.loop.run_until_complete(asyncio.wait_for(until(), 20))

    carried = 0

    def set_faults(self, loss: float, double: float) -> None:
        self.relays.loss = loss
        self.relays.double = double

    def cut(self, me: int, to: int) -> None:
        self.relays.cut([me], [to], both=False)

    def heal(self) -> None:
        self.relays.heal()

    def close(self) -> None:
        self.relays.close()
        super().close()


NUMBERS = st.integers(0, SIZE - 1)
RECEIVERS = st.integers(-1, SIZE)
FORGERIES = ("flipped", "cut", "other key", "no key", "lying sender", "stranger", "unknown kind", "noise")


class ChannelContract(RuleBasedStateMachine):
    make: type[TransportUnderTest]

    def __init__(self) -> None:
        super().__init__()
        self.net = self.make()
        self.random = Random(1)
        self.count = 0
        # sender, receiver and expected outcome by body
        self.sent_messages: dict[bytes, tuple[int, int, str]] = {}
        self.may_duplicate: set[bytes] = set()
        self.bytes = Counter[int]()
        self.cuts: set[tuple[int, int]] = set()
        self.loss = self.double = 0.0

    @rule(me=NUMBERS, to=RECEIVERS, size=st.integers(4, 236))
    def send_message(self, me: int, to: int, size: int) -> None:
        self.count += 1
        body = self.count.to_bytes(4, "little") + self.random.randbytes(size - 4)
        self.net.send_message(me, to, body)
        after, until = self.net.traffic(me)
        self.bytes[me] += size + 20
        expected = "optional"
        if to == me or not 0 <= to < SIZE:
            expected = "no receiver"
        elif (me, to) in self.cuts or self.loss == 1.0:
            expected = "lost"
        elif not self.loss and self.bytes[me] < RATE // 2:
            expected = "delivered"
        if self.double:
            self.may_duplicate.add(body)
        self.sent_messages[body] = me, to, expected
        held(after <= RATE * (until // WINDOW_US + 1), "C6", f"{after} bytes after {until} us")

    @rule(me=NUMBERS, size=st.sampled_from((200, 236)))
    def burst(self, me: int, size: int) -> None:
        for _ in range(12):
            self.send_message(me, (me + 1) % SIZE, size)

    @rule(loss=st.sampled_from((0.0, 0.3, 1.0)), double=st.sampled_from((0.0, 0.5)))
    def apply_loss(self, loss: float, double: float) -> None:
        if type(self.net).set_faults is not TransportUnderTest.set_faults:
            self.net.set_faults(loss, double)
            self.loss = loss
            self.double = double

    @rule(me=NUMBERS, to=NUMBERS)
    def cut(self, me: int, to: int) -> None:
        if type(self.net).cut is not TransportUnderTest.cut:
            self.net.cut(me, to)
            self.cuts.add((me, to))

    @rule()
    def heal(self) -> None:
        self.net.heal()
        self.cuts.clear()

    @rule(me=NUMBERS, to=NUMBERS, forgery=st.sampled_from(FORGERIES))
    def forge(self, me: int, to: int, forgery: str) -> None:
        """No endpoint may receive any of these, as no endpoint sent their body."""
        if me == to:
            return
        body = b"never said"
        sender = me
        kind = int(FrameKind.QUOTA)
        key = KEY
        if forgery == "other key":
            key = b"another key of 16"
        elif forgery == "no key":
            key = b""
        elif forgery == "lying sender":
            sender = SIZE - me - to  # the third router
        elif forgery == "unknown kind":
            kind = FrameKind.LATER
        data = frame.encode(Frame(kind, sender, 300 + sender, body), key)
        if forgery == "flipped":
            at = self.random.randrange(5, len(data))
            data = data[:at] + bytes([data[at] ^ 1 << self.random.randrange(8)]) + data[at + 1 :]
        elif forgery == "cut":
            data = data[: self.random.randrange(5, len(data))]
        elif forgery == "noise":
            data = data[:5] + self.random.randbytes(60)
        if forgery == "stranger":
            self.net.send_from_unknown_address(to, data)
        else:
            self.net.send_raw(me, to, data)

    @rule(me=NUMBERS, to=NUMBERS)
    def send_too_long(self, me: int, to: int) -> None:
        """A valid message followed by more bytes: it must be dropped, not truncated to the valid part."""
        if me != to:
            good = frame.encode(Frame(FrameKind.QUOTA, me, 300 + me, b"too long" * 29), KEY)
            self.net.send_raw(me, to, good + bytes(frame.MAX_BYTES + 1 - len(good)))

    @rule()
    def check(self) -> None:
        self.net.set_faults(0.0, 0.0)
        self.net.heal()
        self.net.wait_until_delivered()
        self.loss = self.double = 0.0
        self.cuts.clear()
        received_counts = Counter[bytes]()
        for me, messages in enumerate(self.net.received_by_router(FrameKind.QUOTA)):
            for sender, life, body in messages:
                held(not body.startswith(b"too long"), "C2", "a message over 256 bytes was received")
                held(body in self.sent_messages, "C5", f"{body[:12]!r} was never sent")
                source, target, expected = self.sent_messages[body]
                held(expected != "no receiver", "C7", f"sent to {target} by {source}, and received by {me}")
                held(
                    (sender, me, life) == (source, target, self.net.mux[source].incarnation),
                    "C1",
                    "another sender, receiver or incarnation",
                )
                received_counts[body] += 1
        for body, (_, _, expected) in self.sent_messages.items():
            held(
                expected != "delivered" or received_counts[body],
                "C1",
                "within the budget and without faults, but not received",
            )
            held(expected != "lost" or not received_counts[body], "C3", "received over an interrupted link")
            held(
                received_counts[body] <= (2 if body in self.may_duplicate else 1),
                "C4",
                f"received {received_counts[body]} times",
            )

    def teardown(self) -> None:
        try:
            self.check()
        finally:
            self.net.close()


TRANSPORTS: dict[str, tuple[type[TransportUnderTest], int]] = {  # transport and number of histories
    "emulator": (Emulated, 60),
    "sockets": (Sockets, 25),
    "relays": (Relayed, 25),
}


# Transports that violate one obligation


class WrongReceiver(Network):
    """C1: delivers to the next router."""

    def send(self, source: int, target: int, data: bytes) -> None:
        super().send(source, (target + 1) % SIZE, data)


class TruncatesLongDatagrams(Sockets):
    """C2: truncates a datagram that is too long."""

    def send_raw(self, me: int, to: int, data: bytes) -> None:
        good = frame.HEAD.size + 29 * 8 + frame.DIGEST_BYTES
        super().send_raw(me, to, data[: good + (good - 5) % 3 // 3] if len(data) > frame.MAX_BYTES else data)


class IgnoresCuts(Network):
    """C3: does not interrupt links."""

    def cut(self, sources: Any, targets: Any, both: bool = True) -> None:
        pass


class AlwaysDuplicates(Network):
    """C4: duplicates without a fault being set."""

    def send(self, source: int, target: int, data: bytes) -> None:
        super().send(source, target, data)
        super().send(source, target, data)


class TrustsSender(Multiplexer):
    """C5: accepts the sender that a message names, whatever its source address is."""

    def receive(self, now: int, data: bytes, sender: int | None) -> list[Send]:
        try:
            found = frame.decode(data, [KEY])
        except frame.CorruptFrameError:
            return []
        return super().receive(now, data, found.sender if found is not None else sender)


class UnlimitedRate(Multiplexer):
    """C6: has no byte budget."""

    def encode_messages(self, now: int, kind: int, sends: Any) -> list[Send]:
        self.budget.rate = 1e9
        return super().encode_messages(now, kind, sends)


class WrapsNumbers(Multiplexer):
    """C7: maps numbers that no router has to other routers."""

    def encode_messages(self, now: int, kind: int, sends: Any) -> list[Send]:
        return super().encode_messages(now, kind, [(to % SIZE, body) for to, body in sends])


def broken(part: type) -> type[TransportUnderTest]:
    """A transport with a part that violates an obligation."""
    if issubclass(part, Network):
        return type(part.__name__, (Emulated,), {"network": part})
    if not issubclass(part, Multiplexer):
        return cast(type[TransportUnderTest], part)

    class WithMux(Emulated):
        def __init__(self) -> None:
            super().__init__()
            for mux in self.mux:
                mux.__class__ = part

    return WithMux


BROKEN = (
    WrongReceiver,
    TruncatesLongDatagrams,
    IgnoresCuts,
    AlwaysDuplicates,
    TrustsSender,
    UnlimitedRate,
    WrapsNumbers,
)

test_a_transport_keeps_its_contract, test_the_contract_finds_the_broken_obligation = suite(
    ChannelContract, TRANSPORTS, BROKEN, broken=broken
)
