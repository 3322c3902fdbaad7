"""What carries the channel between routers must keep (docs/contracts.md, C1 to C7), and carriers that break
one obligation each."""

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
from slipbay.rig.report import Marks
from slipbay.rig.runner import PEER_PORT, own_net
from slipbay.rig.udp_proxy import UdpProxy

SIZE = 3
KEY = b"a key of sixteen"
FENCE = FrameKind.COMEBACK  # says that what was sent before it has come


class Ear:
    """Keeps what comes."""

    def __init__(self) -> None:
        self.heard: list[tuple[int, int, bytes]] = []

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        self.heard.append((sender, life, body))
        return []

    def tick(self, now: int) -> list[Send]:
        return []

    def next_tick(self) -> int:
        return 2**60


class Carrier:
    """Three routers with an ear each, and what lies between them."""

    mux: list[Multiplexer]
    weather = (0.0, 0.0)  # loss, double; set by ``blow``

    def ears(self, kind: int) -> list[list[tuple[int, int, bytes]]]:
        return [cast(Ear, mux.parties[kind]).heard for mux in self.mux]

    def say(self, me: int, to: int, body: bytes) -> None: ...

    def raw(self, me: int, to: int, data: bytes) -> None:
        """A datagram from a router's address, past its channel."""

    def stranger(self, to: int, data: bytes) -> None:
        """One from an address that no router has."""

    def blow(self, loss: float, double: float) -> None: ...

    def cut(self, me: int, to: int) -> None:
        """One way."""

    def heal(self) -> None: ...

    def left(self, me: int) -> tuple[int, int]:
        """Bytes that have left a router since the start, and for how long it has run, in us."""
        raise NotImplementedError

    def settle(self) -> None:
        """What has left has come."""

    def close(self) -> None: ...


def parties() -> dict[int, ChannelEndpoint]:
    return {FrameKind.QUOTA: Ear(), FENCE: Ear()}


class Emulated(Carrier):
    network: type[Network] = Network

    def __init__(self) -> None:
        self.routers = ChannelFleet(SIZE, lambda me, life, now: parties(), key=KEY)
        old = self.routers.network
        self.routers.network = self.network(old.event_queue, old.random, old.deliver)
        self.routers.start()
        self.mux = [cast(Multiplexer, mux) for mux in self.routers.muxes]

    def say(self, me: int, to: int, body: bytes) -> None:
        self.routers.send(me, FrameKind.QUOTA, [(to, body)])

    def raw(self, me: int, to: int, data: bytes) -> None:
        self.routers.network.send(me, to, data)

    def stranger(self, to: int, data: bytes) -> None:
        self.routers.network.send(99, to, data)

    def blow(self, loss: float, double: float) -> None:
        self.routers.network.conditions.loss = loss
        self.routers.network.conditions.duplication = double

    def cut(self, me: int, to: int) -> None:
        self.routers.network.cut([me], [to], both=False)

    def heal(self) -> None:
        self.routers.network.heal()

    def left(self, me: int) -> tuple[int, int]:
        return self.mux[me].counts["bytes"], self.routers.now - self.began

    @property
    def began(self) -> int:
        from slipbay.emulator.channel_fleet import EPOCH

        return EPOCH

    def settle(self) -> None:
        self.routers.run(0.05)


class Sockets(Carrier):
    """Routers' own sockets and timers on a real loop, with nothing between them."""

    link: type[UdpLink] = UdpLink

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        net, self._kept = own_net()
        self.real = [(f"127.{net}.0.{n + 1}", PEER_PORT) for n in range(SIZE)]
        self.sent = Counter[int]()
        self.loop.run_until_complete(self._open())

    async def _open(self) -> None:
        clock = self.clock = Clock(self.loop)
        timers = Timers(self.loop, clock)
        self.peers = list[PeerSocket]()
        self.links = list[UdpLink]()
        self.mux = []
        self.began = clock.fresh()
        for me in range(SIZE):
            told = await self._told(me)
            config = SimpleNamespace(
                peers=told,
                peer_listen=self.real[me],
                peers_all=None,
                settings=SimpleNamespace(router_number=me, may_gossip=True),
            )
            peers = PeerSocket(cast(Any, config), lambda number, data: None)
            mux = Multiplexer(me, SIZE, 300 + me, clock.now(), key=KEY)
            for kind, party in parties().items():
                mux.add(kind, party)
            link = self.link(mux, peers, timers, clock.now)
            await peers.start()
            link.start()
            self.peers.append(peers)
            self.links.append(link)
            self.mux.append(mux)

    async def _told(self, me: int) -> list[tuple[str, int]]:
        return self.real

    def say(self, me: int, to: int, body: bytes) -> None:
        self.links[me].send(FrameKind.QUOTA, [(to, body)])

    def raw(self, me: int, to: int, data: bytes) -> None:
        self.peers[me].send(data, to)

    def stranger(self, to: int, data: bytes) -> None:
        self._kept.sendto(data, self.real[to])

    def left(self, me: int) -> tuple[int, int]:
        return self.mux[me].counts["bytes"], self.clock.fresh() - self.began

    def settle(self) -> None:
        """A mark on every way, which nothing overtakes there; the system may drop one, so there are more."""
        fences = self.ears(FENCE)
        before = [Counter(sender for sender, _, _ in heard) for heard in fences]

        async def marked() -> None:
            while not all(
                Counter(s for s, _, _ in fences[to])[me] > before[to][me]
                for me in range(SIZE)
                for to in range(SIZE)
                if me != to
            ):
                for me in range(SIZE):
                    for to in {*range(SIZE)} - {me}:
                        self.raw(me, to, frame.encode(Frame(FENCE, me, 300 + me, b""), KEY))
                for _ in range(20):
                    await asyncio.sleep(0)

        self.loop.run_until_complete(asyncio.wait_for(marked(), 20))

    def close(self) -> None:
        for peers in self.peers:
            peers.close()
        self._kept.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


class Relayed(Sockets):
    """The same, through the rig's relays."""

    async def _told(self, me: int) -> list[tuple[str, int]]:
        if not me:
            self.relays = UdpProxy(self.real, Random(1), Marks())
            await self.relays.open()
        told = self.relays.peers(me, self.real[me])
        return [(host, int(port)) for host, _, port in (address.partition(":") for address in told)]

    def say(self, me: int, to: int, body: bytes) -> None:
        before = self.mux[me].counts["sent"]
        super().say(me, to, body)
        self._taken(self.mux[me].counts["sent"] - before)

    def raw(self, me: int, to: int, data: bytes) -> None:
        super().raw(me, to, data)
        self._taken(len(data) <= frame.MOST_BYTES)

    def _taken(self, count: int) -> None:
        """Relays have what left: what they do with it is decided by how things are now."""
        self.carried += count

        async def until() -> None:
            while self.relays.counts["messages"] < self.carried:
                await asyncio.sleep(0)

        if not self.loop.is_running():
            self.loop.run_until_complete(asyncio.wait_for(until(), 20))

    carried = 0

    def blow(self, loss: float, double: float) -> None:
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
FARS = st.integers(-1, SIZE)
FORGERIES = ("flipped", "cut", "other key", "no key", "lying sender", "stranger", "unknown kind", "noise")


class ChannelContract(RuleBasedStateMachine):
    make: type[Carrier]

    def __init__(self) -> None:
        super().__init__()
        self.net = self.make()
        self.random = Random(1)
        self.count = 0
        self.said: dict[bytes, tuple[int, int, str]] = {}  # from, to, and what must become of it
        self.doubled: set[bytes] = set()
        self.bytes = Counter[int]()
        self.cuts: set[tuple[int, int]] = set()
        self.loss = self.double = 0.0

    @rule(me=NUMBERS, to=FARS, size=st.integers(4, 236))
    def say(self, me: int, to: int, size: int) -> None:
        self.count += 1
        body = self.count.to_bytes(4, "little") + self.random.randbytes(size - 4)
        self.net.say(me, to, body)
        after, until = self.net.left(me)
        self.bytes[me] += size + 20
        fate = "may"
        if to == me or not 0 <= to < SIZE:
            fate = "nowhere"
        elif (me, to) in self.cuts or self.loss == 1.0:
            fate = "lost"
        elif not self.loss and self.bytes[me] < RATE // 2:
            fate = "comes"
        if self.double:
            self.doubled.add(body)
        self.said[body] = me, to, fate
        held(after <= RATE * (until // WINDOW_US + 1), "C6", f"{after} bytes after {until} us")

    @rule(me=NUMBERS, size=st.sampled_from((200, 236)))
    def burst(self, me: int, size: int) -> None:
        for _ in range(12):
            self.say(me, (me + 1) % SIZE, size)

    @rule(loss=st.sampled_from((0.0, 0.3, 1.0)), double=st.sampled_from((0.0, 0.5)))
    def blow(self, loss: float, double: float) -> None:
        if type(self.net).blow is not Carrier.blow:
            self.net.blow(loss, double)
            self.loss = loss
            self.double = double

    @rule(me=NUMBERS, to=NUMBERS)
    def cut(self, me: int, to: int) -> None:
        if type(self.net).cut is not Carrier.cut:
            self.net.cut(me, to)
            self.cuts.add((me, to))

    @rule()
    def heal(self) -> None:
        self.net.heal()
        self.cuts.clear()

    @rule(me=NUMBERS, to=NUMBERS, how=st.sampled_from(FORGERIES))
    def forge(self, me: int, to: int, how: str) -> None:
        """None of these is ever heard, as nobody said their body."""
        if me == to:
            return
        body = b"never said"
        sender = me
        kind = int(FrameKind.QUOTA)
        key = KEY
        if how == "other key":
            key = b"another key of 16"
        elif how == "no key":
            key = b""
        elif how == "lying sender":
            sender = SIZE - me - to  # the third
        elif how == "unknown kind":
            kind = FrameKind.LATER
        data = frame.encode(Frame(kind, sender, 300 + sender, body), key)
        if how == "flipped":
            at = self.random.randrange(5, len(data))
            data = data[:at] + bytes([data[at] ^ 1 << self.random.randrange(8)]) + data[at + 1 :]
        elif how == "cut":
            data = data[: self.random.randrange(5, len(data))]
        elif how == "noise":
            data = data[:5] + self.random.randbytes(60)
        if how == "stranger":
            self.net.stranger(to, data)
        else:
            self.net.raw(me, to, data)

    @rule(me=NUMBERS, to=NUMBERS)
    def too_long(self, me: int, to: int) -> None:
        """A whole message behind which more stands: it must be dropped, not cut to what fits."""
        if me != to:
            good = frame.encode(Frame(FrameKind.QUOTA, me, 300 + me, b"too long" * 29), KEY)
            self.net.raw(me, to, good + bytes(frame.MOST_BYTES + 1 - len(good)))

    @rule()
    def check(self) -> None:
        self.net.blow(0.0, 0.0)
        self.net.heal()
        self.net.settle()
        self.loss = self.double = 0.0
        self.cuts.clear()
        came = Counter[bytes]()
        for me, heard in enumerate(self.net.ears(FrameKind.QUOTA)):
            for sender, life, body in heard:
                held(not body.startswith(b"too long"), "C2", "a message over 256 bytes was heard")
                held(body in self.said, "C5", f"{body[:12]!r} was never said")
                source, target, fate = self.said[body]
                held(fate != "nowhere", "C7", f"said to {target} by {source}, and heard by {me}")
                held(
                    (sender, me, life) == (source, target, self.net.mux[source].life),
                    "C1",
                    "another sender, receiver or life",
                )
                came[body] += 1
        for body, (_, _, fate) in self.said.items():
            held(fate != "comes" or came[body], "C1", "within the budget and unharmed, and it did not come")
            held(fate != "lost" or not came[body], "C3", "it came over a cut")
            held(came[body] <= (2 if body in self.doubled else 1), "C4", f"it came {came[body]} times")

    def teardown(self) -> None:
        try:
            self.check()
        finally:
            self.net.close()


CARRIERS: dict[str, tuple[type[Carrier], int]] = {  # and how many histories
    "emulator": (Emulated, 60),
    "sockets": (Sockets, 25),
    "relays": (Relayed, 25),
}


# Broken carriers


class Swaps(Network):
    """C1: it delivers to the neighbour."""

    def send(self, source: int, target: int, data: bytes) -> None:
        super().send(source, (target + 1) % SIZE, data)


class AnyLength(Sockets):
    """C2: it cuts what is too long to what fits."""

    def raw(self, me: int, to: int, data: bytes) -> None:
        good = frame.HEAD.size + 29 * 8 + frame.DIGEST_BYTES
        super().raw(me, to, data[: good + (good - 5) % 3 // 3] if len(data) > frame.MOST_BYTES else data)


class Tunnels(Network):
    """C3: cuts do not cut."""

    def cut(self, sources: Any, targets: Any, both: bool = True) -> None:
        pass


class Stutters(Network):
    """C4: it delivers twice in the best weather."""

    def send(self, source: int, target: int, data: bytes) -> None:
        super().send(source, target, data)
        super().send(source, target, data)


class Trusting(Multiplexer):
    """C5: it believes who a message says that it is from."""

    def receive(self, now: int, data: bytes, sender: int | None) -> list[Send]:
        try:
            found = frame.decode(data, [KEY])
        except frame.CorruptFrameError:
            return []
        return super().receive(now, data, found.sender if found is not None else sender)


class Unbounded(Multiplexer):
    """C6: it has no budget."""

    def own(self, now: int, kind: int, sends: Any) -> list[Send]:
        self.budget.rate = 1e9
        return super().own(now, kind, sends)


class Wraps(Multiplexer):
    """C7: numbers that there are not come out at others."""

    def own(self, now: int, kind: int, sends: Any) -> list[Send]:
        return super().own(now, kind, [(to % SIZE, body) for to, body in sends])


def broken(part: type) -> type[Carrier]:
    """A carrier with a broken part."""
    if issubclass(part, Network):
        return type(part.__name__, (Emulated,), {"network": part})
    if not issubclass(part, Multiplexer):
        return cast(type[Carrier], part)

    class WithMux(Emulated):
        def __init__(self) -> None:
            super().__init__()
            for mux in self.mux:
                mux.__class__ = part

    return WithMux


BROKEN = (Swaps, AnyLength, Tunnels, Stutters, Trusting, Unbounded, Wraps)

test_a_carrier_keeps_its_contract, test_the_contract_finds_the_broken_obligation = suite(
    ChannelContract, CARRIERS, BROKEN, broken=broken
)
