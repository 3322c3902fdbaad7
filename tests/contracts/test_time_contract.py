"""What clocks with their timers must keep (docs/contracts.md, T1 to T7), and such that break one obligation
each."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from fakes import FakeLoop
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from obligations import held, suite, with_component

from slipbay.clock import Clock
from slipbay.core import timers as timers_module
from slipbay.core.timers import Timers
from slipbay.emulator.engines import EventQueue

Action = Callable[[], None]


class Boom(Exception):
    """An action failed."""


def _through(end: int, run: Callable[[int], None]) -> None:
    """Run up to a moment whatever actions fail on the way."""
    while True:
        try:
            return run(end)
        except Boom:
            continue


class Time:
    """A clock with timers, and a way to let time pass."""

    exact = True  # simulated: what is due comes at its very time

    def now(self) -> int:
        """Of this turn."""
        raise NotImplementedError

    def fresh(self) -> int:
        return self.now()

    def at(self, when: int, action: Action) -> Any:
        """Something with ``cancel``, or None where there is no such thing."""
        raise NotImplementedError

    def run(self, us: int) -> None:
        raise NotImplementedError

    def close(self) -> None: ...


class RealLoop(Time):
    """The router's own, on a loop of asyncio."""

    exact = False
    clock: type[Clock] = Clock
    timers: type[Timers] = Timers

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(lambda loop, context: None)
        self._clock = self.clock(self.loop)
        self._timers = self.timers(self.loop, self._clock)

    def now(self) -> int:
        return self._clock.now()

    def fresh(self) -> int:
        return self._clock.fresh()

    def at(self, when: int, action: Action) -> Any:
        return self._timers.at(when, action)

    def run(self, us: int) -> None:
        """Until the clock shows it, and what is due by then has had its turns."""
        end = self.fresh() + us

        async def wait() -> None:
            while self.fresh() < end:
                await asyncio.sleep(max(0, end - self.now()) / 1e6)
            over = asyncio.Event()
            mark = self._clock.now()
            self._timers.at(mark, over.set)
            await over.wait()

        self.loop.run_until_complete(wait())

    def close(self) -> None:
        self.loop.close()


class SimulatedLoop(Time):
    """The router's timers on the tests' loop."""

    timers: type[Timers] = Timers

    def __init__(self) -> None:
        self.loop = FakeLoop()
        self.loop.timers = self.timers(self.loop, self.loop)  # type: ignore[arg-type]

    def now(self) -> int:
        return self.loop.now()

    def at(self, when: int, action: Action) -> Any:
        return self.loop.timers.at(when, action)

    def run(self, us: int) -> None:
        _through(self.now() + us, lambda end: self.loop.advance(end - self.now()))


class EmulatorAgenda(Time):
    agenda: type[EventQueue] = EventQueue

    def __init__(self) -> None:
        self._agenda = self.agenda(1_000_000)

    def now(self) -> int:
        return self._agenda.now

    def at(self, when: int, action: Action) -> Any:
        self._agenda.at(when, action)
        return None

    def run(self, us: int) -> None:
        _through(self.now() + us, self._agenda.until)


class TimeContract(RuleBasedStateMachine):
    make: type[Time]

    def __init__(self) -> None:
        super().__init__()
        self.time = type(self).make()
        self.noted: list[tuple[int, bool, Any]] = []  # when; whether that was in the past; its handle
        self.fired: list[int] = []  # numbers, in order
        self.off: set[int] = set()
        self.last = self.time.fresh()

    def _note(self, when: int, then: Action = lambda: None) -> None:
        number = len(self.noted)

        def action() -> None:
            held(number not in self.fired, "T2", "it fired twice")
            held(number not in self.off, "T3", "it was cancelled")
            late = self.time.fresh() - when
            held(late >= 0, "T1", f"{-late} us before its time")
            held(late == 0 or not self.time.exact or self.noted[number][1], "T5", f"{late} us after its time")
            self.fired.append(number)
            then()

        def kept() -> None:
            try:
                action()
            except AssertionError as problem:
                self.broken = self.broken or problem

        fails = then is _boom
        past = when < self.time.now()
        self.noted.append((when, past, None))
        self.noted[number] = when, past, self.time.at(when, action if fails else kept)

    broken: AssertionError | None = None

    @rule(delay=st.integers(-300, 1_500))
    def note(self, delay: int) -> None:
        self._note(self.time.now() + delay)

    @rule(delay=st.integers(0, 500), after=st.integers(0, 500))
    def note_one_that_notes(self, delay: int, after: int) -> None:
        self._note(self.time.now() + delay, lambda: self._note(self.time.now() + after))

    @rule(delay=st.integers(0, 500))
    def note_one_that_fails(self, delay: int) -> None:
        self._note(self.time.now() + delay, _boom)

    @rule(index=st.integers(0, 50))
    def cancel(self, index: int) -> None:
        if self.noted:
            number = index % len(self.noted)
            handle = self.noted[number][2]
            if handle is not None and number not in self.fired:
                handle.cancel()
                self.off.add(number)

    @rule(delay=st.integers(0, 500))
    def note_one_that_cancels_the_next(self, delay: int) -> None:
        when = self.time.now() + delay
        number = len(self.noted) + 1

        def cancel() -> None:
            if self.noted[number][2] is not None and number not in self.fired:
                self.noted[number][2].cancel()
                self.off.add(number)

        self._note(when, cancel)
        self._note(when)

    @rule(us=st.sampled_from((1, 200, 700, 2_000)))
    def pass_time(self, us: int) -> None:
        before = self.time.fresh()
        mark = len(self.fired)
        self.time.run(us)
        after = self.time.fresh()
        held(after >= before + us and before >= self.last, "T6", f"{after - before} us for {us}")
        self.last = after
        if self.broken is not None:
            raise self.broken
        for number, (when, _, _) in enumerate(self.noted):
            held(
                number in self.fired or number in self.off or when > before + us,
                "T4",
                f"it is due since {after - when} us and did not fire",
            )
        fired = [number for number in self.fired[mark:] if not self.noted[number][1]]
        order = [(self.noted[number][0], number) for number in fired]
        held(order == sorted(order), "T2", f"out of order: {order}")

    @rule()
    def stand_still(self) -> None:
        """The process stands; what the clock says afresh must show it, and in one turn it says one time."""
        if not self.time.exact:
            before = self.time.now()
            began = time.monotonic_ns()
            time.sleep(0.001)
            stood = (time.monotonic_ns() - began) // 1000
            held(self.time.now() == before, "T7", "two times in one turn")
            held(self.time.fresh() - before >= stood - 1, "T7", "it does not show that it stood still")

    def teardown(self) -> None:
        self.time.close()


def _boom() -> None:
    raise Boom


TIMES: dict[str, tuple[type[Time], int]] = {  # and how many histories
    "real loop": (RealLoop, 25),
    "simulated loop": (SimulatedLoop, 100),
    "agenda": (EmulatorAgenda, 100),
}


# Broken clocks and timers


class Hasty(Timers):
    """T1: it fires what is nearly due."""

    def at(self, when: int, action: Action) -> timers_module.Timer:
        return super().at(when - 90, action)


class LastFirst(Timers):
    """T2: of equal times the last comes first."""

    def at(self, when: int, action: Action) -> timers_module.Timer:
        self._count -= 2  # numbers go down
        return super().at(when, action)


class Deaf(Timers):
    """T3: what is cancelled fires."""

    def at(self, when: int, action: Action) -> Any:
        super().at(when, action)
        return type("Handle", (), {"cancel": lambda self: None})()


class Silenced(Timers):
    """T4: one action that fails silences the others."""

    def _run_due(self) -> None:
        try:
            super()._run_due()
        except Boom:
            if self._loop_timer is not None:
                self._loop_timer.cancel()
            self._schedule_first = lambda: None  # type: ignore[method-assign]
            raise


class Coarse(EventQueue):
    """T5: it counts in 100 us."""

    def at(self, when: int, action: Action) -> None:
        super().at(-(-when // 100) * 100, action)


class GoesBack(EventQueue):
    """T6: its clock falls back."""

    def until(self, when: int) -> None:
        super().until(when)
        self.now -= 1


class Stale(Clock):
    """T7: what it says afresh is the time of the turn."""

    def fresh(self) -> int:
        return self.now()


class NoTurns(Clock):
    """T7: it reads the system's clock at each call."""

    def now(self) -> int:
        self._now = None
        return super().now()


BROKEN = (Hasty, LastFirst, Deaf, Silenced, Coarse, GoesBack, Stale, NoTurns)
PLACES = (
    (SimulatedLoop, Timers, "timers"),
    (EmulatorAgenda, EventQueue, "agenda"),
    (RealLoop, Clock, "clock"),
)

test_a_clock_with_its_timers_keeps_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    TimeContract, TIMES, BROKEN, broken=lambda part: with_component(part, PLACES)
)
