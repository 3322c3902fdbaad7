"""A fleet of routers that run the real membership state machine, in simulated time."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from slipbay.emulator.engines import SECOND, EventQueue
from slipbay.emulator.network import LinkConditions, Network
from slipbay.membership.codec import MessageKeys
from slipbay.membership.state_machine import MembershipStateMachine
from slipbay.membership.timing import Timing

EPOCH = 1_700_000_000 * SECOND


class MembershipModel:
    """Members that are killed, stopped, restarted and cut off.

    ``skew_us`` is the maximum difference of a member's clock from true time.
    """

    def __init__(
        self,
        size: int,
        seed: int = 1,
        *,
        weather: LinkConditions | None = None,
        timing: Timing | None = None,
        zones: int = 1,
        skew_us: int = 200_000,
        key: bytes = b"",
    ) -> None:
        self.size = size
        self.seed = seed
        self.zones = zones
        self.timing = timing
        self.key = key
        self.random = Random(seed)
        self.agenda = EventQueue(EPOCH)
        self.network = Network(self.agenda, self.random, self._deliver, weather)
        self.offsets = [self.random.randrange(2 * skew_us + 1) - skew_us for _ in range(size)]
        self.lives = [0] * size
        self.members: list[MembershipStateMachine | None] = [None] * size
        self.stopped: set[int] = set()
        self._unread: dict[int, list[tuple[int, bytes]]] = {}  # datagrams that a stopped process has not read
        for me in range(size):
            self.start(me)

    @property
    def now(self) -> int:
        """True time in us."""
        return self.agenda.now

    def start(self, me: int) -> None:
        """Start a new incarnation of a member; its first tick is at a random time within 250 ms."""
        self.lives[me] += 1
        incarnation = self.random.randrange(2**16)
        now = self.now + self.offsets[me]
        self.members[me] = MembershipStateMachine(
            me,
            self.size,
            incarnation,
            Random(self.random.randrange(2**32)),
            now,
            zone=me % self.zones,
            timing=self.timing,
            keys=MessageKeys(self.key),
        )
        start_count = self.lives[me]
        self.agenda.at(self.now + self.random.randrange(250_000), lambda: self._tick(me, start_count))

    def kill(self, numbers: Iterable[int]) -> None:
        """Kill members; their unread datagrams are lost."""
        for me in numbers:
            self.members[me] = None
            self.stopped.discard(me)
            self._unread.pop(me, None)

    def leave(self, me: int) -> None:
        """Shut a member down as on SIGTERM: it notifies the others and exits 0.7 s later."""
        member = self.members[me]
        if member is not None:
            for to, data in member.leave(self.now + self.offsets[me]):
                self.network.send(me, to, data)
            self.agenda.at(self.now + 700_000, lambda: self.kill([me]))

    def stop(self, me: int) -> None:
        """Stop a member's process as on SIGSTOP."""
        self.stopped.add(me)
        self._unread[me] = []

    def go_on(self, me: int) -> None:
        """Resume a stopped process as on SIGCONT.

        Its clock did not stop, and it reads the datagrams that arrived in the meantime.
        """
        if me in self.stopped:
            self.stopped.discard(me)
            self._run_tick(me)
            for sender, data in self._unread.pop(me, [])[-64:]:  # the socket buffer keeps a limited number
                self._deliver(me, sender, data)

    def _deliver(self, me: int, sender: int, data: bytes) -> None:
        member = self.members[me]
        if me in self.stopped:
            self._unread[me].append((sender, data))
        elif member is not None:
            for to, reply in member.receive(self.now + self.offsets[me], data, sender):
                self.network.send(me, to, reply)

    def _tick(self, me: int, start_count: int) -> None:
        member = self.members[me]
        if start_count == self.lives[me] and member is not None:
            due = self.now + 50_000
            if me not in self.stopped:
                offset = self.offsets[me]
                due = member.next_tick() - offset
                if due <= self.now:  # a message since the schedule may have moved the next tick
                    self._run_tick(me)
                    due = member.next_tick() - offset
            self.agenda.at(max(due, self.now + 10_000), lambda: self._tick(me, start_count))

    def _run_tick(self, me: int) -> None:
        member = self.members[me]
        if member is not None:
            for to, data in member.tick(self.now + self.offsets[me]):
                self.network.send(me, to, data)

    # Observations

    @property
    def running(self) -> list[int]:
        """Numbers of the members that have not been killed."""
        return [me for me, member in enumerate(self.members) if member is not None]

    def views(self) -> list[MembershipStateMachine]:
        """Return the state machines of the running members."""
        return [member for member in self.members if member is not None]

    def settled(self) -> bool:
        """Return whether the alive members in each view are exactly the running ones."""
        numbers = self.running
        return all(member.live_numbers == numbers for member in self.views())

    def until_settled(self, timeout_s: float) -> float:
        """Run until all views are correct; return the seconds that it took, or infinity on timeout."""
        start = self.now
        end = self.now + int(timeout_s * SECOND)
        while self.now < end:
            if self.settled():
                return (self.now - start) / SECOND
            self.agenda.until(self.now + 50_000)
        return float("inf")

    def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        self.agenda.until(self.now + int(seconds * SECOND))
