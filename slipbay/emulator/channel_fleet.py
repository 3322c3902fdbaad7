"""Routers that communicate over the peer channel, in simulated time.

They run the real state machines and frames on the emulator's network. The membership view may run beside
them in the same bandwidth budget. Each router's clock has its own offset and drift.
"""

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
MIN_TICK_INTERVAL_US = 1_000  # between two ticks of one router
SOCKET_BUFFER_DATAGRAMS = 64  # kept by the socket of a stopped process

EndpointFactory = Callable[[int, int, int], dict[int, ChannelEndpoint]]
"""Builds the endpoints by frame kind from a router's number, its incarnation and the time of its clock."""

ViewFactory = Callable[[int, int, int], MembershipStateMachine]
"""Builds the membership view from the same arguments."""


class ChannelFleet:
    """Routers that are killed, restarted, stopped and cut off, and whose clocks jump."""

    def __init__(
        self,
        size: int,
        make: EndpointFactory,
        seed: int = 1,
        *,
        weather: LinkConditions | None = None,
        skew_us: int = 200_000,
        drift_ppm: int = 0,
        key: bytes = b"",
        parts: dict[int, float] | None = None,
        view: ViewFactory | None = None,
    ) -> None:
        """Create the routers; ``start`` starts them.

        ``drift_ppm`` is the maximum drift of a clock from true time in us per second, in either direction.
        """
        self.size = size
        self.make = make
        self.key = key
        self.parts = parts
        self.view = view
        self.random = Random(seed)
        self.agenda = EventQueue(EPOCH)
        self.network = Network(self.agenda, self.random, self._deliver, weather)
        self.offsets = [self.random.randint(-skew_us, skew_us) for _ in range(size)]
        self.drifts_ppm = [self.random.randint(-drift_ppm, drift_ppm) for _ in range(size)]
        self.lives = [0] * size
        self.muxes: list[Multiplexer | None] = [None] * size
        self.views: list[MembershipStateMachine | None] = [None] * size
        self.fullest = [0] * size  # maximum bytes that the router sent in any second of true time
        self._sent_in_window: list[deque[tuple[int, int]]] = [deque() for _ in range(size)]
        self.stopped: set[int] = set()
        self._unread: dict[int, list[tuple[int, bytes]]] = {}
        # number of the last scheduled tick; earlier ones are ignored
        self._tick_number: list[int] = [0] * size

    @property
    def now(self) -> int:
        """True time in us."""
        return self.agenda.now

    def clock(self, me: int) -> int:
        """Return the time of the router's own clock."""
        return self._clock_at(me, self.now)

    def jump(self, me: int, by_us: int) -> None:
        """Move a router's clock forward."""
        self.offsets[me] += by_us
        self._schedule_tick(me)

    def start(self, numbers: Iterable[int] | None = None) -> None:
        """Start new incarnations of the given routers, or of all."""
        for me in range(self.size) if numbers is None else numbers:
            self.lives[me] += 1
            incarnation = self.random.randrange(2**16)
            now = self.clock(me)
            mux = self.muxes[me] = Multiplexer(
                me, self.size, incarnation, now, key=self.key, shares=self.parts
            )
            for kind, endpoint in self.make(me, incarnation, now).items():
                mux.add(kind, endpoint)
            self.views[me] = self.view(me, incarnation, now) if self.view is not None else None
            self._sent_in_window[me].clear()
            self._schedule_tick(me)

    def kill(self, numbers: Iterable[int]) -> None:
        """Kill routers; their unread datagrams are lost."""
        for me in numbers:
            self.muxes[me] = self.views[me] = None
            self.stopped.discard(me)
            self._unread.pop(me, None)

    def stop(self, me: int) -> None:
        """Stop a router's process as on SIGSTOP; its socket buffers the datagrams that arrive."""
        if self.muxes[me] is not None:
            self.stopped.add(me)
            self._unread[me] = []

    def go_on(self, me: int) -> None:
        """Resume a stopped process as on SIGCONT: it reads the buffered datagrams and runs its due ticks."""
        if me in self.stopped:
            self.stopped.discard(me)
            for sender, data in self._unread.pop(me, [])[-SOCKET_BUFFER_DATAGRAMS:]:
                self._deliver(me, sender, data)
            self._schedule_tick(me)

    def party(self, me: int, kind: int) -> ChannelEndpoint | None:
        """Return the endpoint of a router for a frame kind; None if the router does not run."""
        mux = self.muxes[me]
        return mux.endpoints.get(kind) if mux is not None else None

    def running(self) -> list[int]:
        """Return the numbers of the routers that are neither killed nor stopped."""
        return [me for me, mux in enumerate(self.muxes) if mux is not None and me not in self.stopped]

    def say(self, me: int, kind: int, sends: list[Send]) -> None:
        """Send messages of an endpoint outside of its ticks, as ``UdpLink.send`` does."""
        mux = self.muxes[me]
        if mux is not None:
            self._send(me, mux.encode_messages(self.clock(me), kind, sends))
            self._schedule_tick(me)

    def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        self.agenda.until(self.now + int(seconds * SECOND))

    def _clock_at(self, me: int, true_us: int) -> int:
        return true_us + self.offsets[me] + (true_us - EPOCH) * self.drifts_ppm[me] // SECOND

    def _true_time(self, me: int, shown: int) -> int:
        """Return the true time at which the router's clock shows ``shown``, rounded up."""
        return EPOCH + -(-(shown - self.offsets[me] - EPOCH) * SECOND // (SECOND + self.drifts_ppm[me]))

    def _deliver(self, me: int, sender: int, data: bytes) -> None:
        mux = self.muxes[me]
        if me in self.stopped:
            self._unread[me].append((sender, data))
        elif mux is not None and is_framed(data):
            self._send(me, mux.receive(self.clock(me), data, sender))
            self._schedule_tick(me)
        elif mux is not None:
            self._run_view(me, mux, lambda view, now: view.receive(now, data, sender))
            self._schedule_tick(me)

    def _run_view(
        self, me: int, mux: Multiplexer, call: Callable[[MembershipStateMachine, int], list[Send]]
    ) -> None:
        """Call the view and send its messages within the bandwidth that the channel leaves.

        ``MembershipService`` does the same in a router.
        """
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

    def _schedule_tick(self, me: int) -> None:
        mux = self.muxes[me]
        view = self.views[me]
        due = mux.next_tick() if mux is not None else None
        if view is not None:
            due = view.next_tick() if due is None else min(due, view.next_tick())
        if due is not None:
            self._tick_number[me] += 1
            number = self._tick_number[me]
            self.agenda.at(
                max(self._true_time(me, due), self.now + MIN_TICK_INTERVAL_US), lambda: self._tick(me, number)
            )

    def _tick(self, me: int, number: int) -> None:
        mux = self.muxes[me]
        if number == self._tick_number[me] and mux is not None and me not in self.stopped:
            view = self.views[me]
            if view is not None and view.next_tick() <= self.clock(me):
                self._run_view(me, mux, lambda view, now: view.tick(now))
            self._send(me, mux.tick(self.clock(me)))
            self._schedule_tick(me)

    def _send(self, me: int, sends: list[Send]) -> None:
        for to, data in sends:
            self.sent(me, len(data))
            self.network.send(me, to, data)

    def sent(self, me: int, size: int) -> None:
        """Count bytes that a router sends, also those of gossip, which this network does not carry."""
        window = self._sent_in_window[me]
        window.append((self.now, size))
        while window[0][0] <= self.now - SECOND:
            window.popleft()
        self.fullest[me] = max(self.fullest[me], sum(bytes_sent for _, bytes_sent in window))
