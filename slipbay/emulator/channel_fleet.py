"""Routers that talk over the channel, in simulated time: the real machines and frames, on the emulator's
network, and beside them the view of the fleet in the same budget. Clocks are off by an offset and run at a
pace of their own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from random import Random

from slipbay.emulator.engines import SECOND, EventQueue
from slipbay.emulator.network import LinkConditions, Network
from slipbay.membership.state_machine import MembershipStateMachine
from slipbay.peer_channel.frame import is_framed
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind, Send
from slipbay.peer_channel.multiplexer import Multiplexer

EPOCH = 1_700_000_000 * SECOND
LEAST_US = 1_000  # between two ticks of one router
BUFFER = 64  # datagrams that a stopped process's socket keeps

Make = Callable[[int, int, int], dict[int, ChannelEndpoint]]
"""Of a router's number, its life (new with each start) and its clock's time now: its parties by kind."""

View = Callable[[int, int, int], MembershipStateMachine]
"""Of the same, its view of the fleet."""


class ChannelFleet:
    """Routers that are killed, started anew, stopped, cut off, and whose clocks jump."""

    def __init__(
        self,
        size: int,
        make: Make,
        seed: int = 1,
        *,
        weather: LinkConditions | None = None,
        skew_us: int = 200_000,
        drift_ppm: int = 0,
        key: bytes = b"",
        parts: dict[int, float] | None = None,
        view: View | None = None,
    ) -> None:
        """``drift_ppm``: clocks run faster or slower than true time by up to so many us a second."""
        self.size = size
        self.make = make
        self.key = key
        self.parts = parts
        self.view = view
        self.random = Random(seed)
        self.agenda = EventQueue(EPOCH)
        self.network = Network(self.agenda, self.random, self._deliver, weather)
        self.offsets = [self.random.randint(-skew_us, skew_us) for _ in range(size)]
        self.paces = [self.random.randint(-drift_ppm, drift_ppm) for _ in range(size)]
        self.lives = [0] * size
        self.muxes: list[Multiplexer | None] = [None] * size
        self.views: list[MembershipStateMachine | None] = [None] * size
        self.fullest = [0] * size  # bytes that any life of each sent in any second of true time
        self._left: list[deque[tuple[int, int]]] = [deque() for _ in range(size)]
        self.stopped: set[int] = set()
        self._waiting: dict[int, list[tuple[int, bytes]]] = {}
        self._due: list[int] = [0] * size  # number of the last tick asked for: earlier ones are out of date

    @property
    def now(self) -> int:
        """True time."""
        return self.agenda.now

    def clock(self, me: int) -> int:
        """What the router's own clock shows."""
        return self._shows(me, self.now)

    def jump(self, me: int, by_us: int) -> None:
        """Its clock leaps forward."""
        self.offsets[me] += by_us
        self._arm(me)

    def start(self, numbers: Iterable[int] | None = None) -> None:
        """New lives of numbers; of all where none are named."""
        for me in range(self.size) if numbers is None else numbers:
            self.lives[me] += 1
            life = self.random.randrange(2**16)
            now = self.clock(me)
            mux = self.muxes[me] = Multiplexer(me, self.size, life, now, key=self.key, shares=self.parts)
            for kind, party in self.make(me, life, now).items():
                mux.add(kind, party)
            self.views[me] = self.view(me, life, now) if self.view is not None else None
            self._left[me].clear()
            self._arm(me)

    def kill(self, numbers: Iterable[int]) -> None:
        for me in numbers:
            self.muxes[me] = self.views[me] = None
            self.stopped.discard(me)
            self._waiting.pop(me, None)

    def stop(self, me: int) -> None:
        """SIGSTOP: nothing runs, and its socket keeps what comes."""
        if self.muxes[me] is not None:
            self.stopped.add(me)
            self._waiting[me] = []

    def go_on(self, me: int) -> None:
        """SIGCONT: what came meanwhile is read, and then what is due is done."""
        if me in self.stopped:
            self.stopped.discard(me)
            for sender, data in self._waiting.pop(me, [])[-BUFFER:]:
                self._deliver(me, sender, data)
            self._arm(me)

    def party(self, me: int, kind: int) -> ChannelEndpoint | None:
        """None for a router that is dead."""
        mux = self.muxes[me]
        return mux.endpoints.get(kind) if mux is not None else None

    def running(self) -> list[int]:
        """Numbers that are not dead and not stopped."""
        return [me for me, mux in enumerate(self.muxes) if mux is not None and me not in self.stopped]

    def say(self, me: int, kind: int, sends: list[Send]) -> None:
        """What a party sends outside of its ticks, as ``UdpLink.say``."""
        mux = self.muxes[me]
        if mux is not None:
            self._send(me, mux.encode_messages(self.clock(me), kind, sends))
            self._arm(me)

    def run(self, seconds: float) -> None:
        self.agenda.until(self.now + int(seconds * SECOND))

    def _shows(self, me: int, true: int) -> int:
        return true + self.offsets[me] + (true - EPOCH) * self.paces[me] // SECOND

    def _true(self, me: int, shown: int) -> int:
        """When the clock will show it, rounded up."""
        return EPOCH + -(-(shown - self.offsets[me] - EPOCH) * SECOND // (SECOND + self.paces[me]))

    def _deliver(self, me: int, sender: int, data: bytes) -> None:
        mux = self.muxes[me]
        if me in self.stopped:
            self._waiting[me].append((sender, data))
        elif mux is not None and is_framed(data):
            self._send(me, mux.receive(self.clock(me), data, sender))
            self._arm(me)
        elif mux is not None:
            self._look(me, mux, lambda view, now: view.receive(now, data, sender))
            self._arm(me)

    def _look(
        self, me: int, mux: Multiplexer, call: Callable[[MembershipStateMachine, int], list[Send]]
    ) -> None:
        """What the view does, with the room that the channel leaves it, as ``MembershipService``."""
        view = self.views[me]
        now = self.clock(me)
        if view is not None:
            view.budget.host_limit = mux.available_bytes(now, FrameKind.VIEW)
            self._send(
                me,
                [
                    (to, data)
                    for to, data in call(view, now)
                    if mux.spend_unframed(now, FrameKind.VIEW, len(data))
                ],
            )

    def _arm(self, me: int) -> None:
        mux = self.muxes[me]
        view = self.views[me]
        due = mux.next_tick() if mux is not None else None
        if view is not None:
            due = view.next_tick() if due is None else min(due, view.next_tick())
        if due is not None:
            self._due[me] += 1
            number = self._due[me]
            self.agenda.at(max(self._true(me, due), self.now + LEAST_US), lambda: self._tick(me, number))

    def _tick(self, me: int, number: int) -> None:
        mux = self.muxes[me]
        if number == self._due[me] and mux is not None and me not in self.stopped:
            view = self.views[me]
            if view is not None and view.next_tick() <= self.clock(me):
                self._look(me, mux, lambda view, now: view.tick(now))
            self._send(me, mux.tick(self.clock(me)))
            self._arm(me)

    def _send(self, me: int, sends: list[Send]) -> None:
        for to, data in sends:
            self.sent(me, len(data))
            self.network.send(me, to, data)

    def sent(self, me: int, size: int) -> None:
        """Bytes leave a router, be it by our network or, as the decisions' messages, by none."""
        left = self._left[me]
        left.append((self.now, size))
        while left[0][0] <= self.now - SECOND:
            left.popleft()
        self.fullest[me] = max(self.fullest[me], sum(each for _, each in left))
