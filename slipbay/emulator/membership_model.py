"""A fleet of routers that keep their view, in simulated time. They run the real machine of
``slipbay.membership``."""

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
    """Members that are killed, stopped, restarted and cut off. ``skew_us``: clocks are off by up to so
    much."""

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
        self._waiting: dict[int, list[tuple[int, bytes]]] = {}  # messages that a stopped process has not read
        for me in range(size):
            self.start(me)

    @property
    def now(self) -> int:
        return self.agenda.now

    def start(self, me: int) -> None:
        """A new life of a number, some time within the first probe period."""
        self.lives[me] += 1
        life = self.random.randrange(2**16)
        now = self.now + self.offsets[me]
        self.members[me] = MembershipStateMachine(
            me,
            self.size,
            life,
            Random(self.random.randrange(2**32)),
            now,
            zone=me % self.zones,
            timing=self.timing,
            keys=MessageKeys(self.key),
        )
        number = self.lives[me]
        self.agenda.at(self.now + self.random.randrange(250_000), lambda: self._tick(me, number))

    def kill(self, numbers: Iterable[int]) -> None:
        for me in numbers:
            self.members[me] = None
            self.stopped.discard(me)
            self._waiting.pop(me, None)

    def leave(self, me: int) -> None:
        """SIGTERM: it tells the others, and ends 0.7 s later."""
        member = self.members[me]
        if member is not None:
            for to, data in member.leave(self.now + self.offsets[me]):
                self.network.send(me, to, data)
            self.agenda.at(self.now + 700_000, lambda: self.kill([me]))

    def stop(self, me: int) -> None:
        """SIGSTOP."""
        self.stopped.add(me)
        self._waiting[me] = []

    def go_on(self, me: int) -> None:
        """SIGCONT: what came meanwhile is read at once, and the clock has gone on."""
        if me in self.stopped:
            self.stopped.discard(me)
            self._run(me)
            for sender, data in self._waiting.pop(me, [])[-64:]:  # a socket's buffer is not endless
                self._deliver(me, sender, data)

    def _deliver(self, me: int, sender: int, data: bytes) -> None:
        member = self.members[me]
        if me in self.stopped:
            self._waiting[me].append((sender, data))
        elif member is not None:
            for to, answer in member.receive(self.now + self.offsets[me], data, sender):
                self.network.send(me, to, answer)

    def _tick(self, me: int, life: int) -> None:
        member = self.members[me]
        if life == self.lives[me] and member is not None:
            due = self.now + 50_000
            if me not in self.stopped:
                offset = self.offsets[me]
                due = member.next_tick() - offset
                if due <= self.now:  # else what was due has come about since
                    self._run(me)
                    due = member.next_tick() - offset
            self.agenda.at(max(due, self.now + 10_000), lambda: self._tick(me, life))

    def _run(self, me: int) -> None:
        member = self.members[me]
        if member is not None:
            for to, data in member.tick(self.now + self.offsets[me]):
                self.network.send(me, to, data)

    # What is looked at

    @property
    def running(self) -> list[int]:
        return [me for me, member in enumerate(self.members) if member is not None]

    def views(self) -> list[MembershipStateMachine]:
        return [member for member in self.members if member is not None]

    def settled(self) -> bool:
        """Whether all hold alive just those that run."""
        numbers = self.running
        return all(member.live_numbers == numbers for member in self.views())

    def until_settled(self, most_s: float) -> float:
        """Run until all views are right; returns after how many seconds, or infinity."""
        start = self.now
        end = self.now + int(most_s * SECOND)
        while self.now < end:
            if self.settled():
                return (self.now - start) / SECOND
            self.agenda.until(self.now + 50_000)
        return float("inf")

    def run(self, seconds: float) -> None:
        self.agenda.until(self.now + int(seconds * SECOND))
