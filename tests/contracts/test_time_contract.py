"""Contract tests of clocks and their timers (docs/contracts.md, T1 to T7).

Faulty clocks and timers, each of which breaks one obligation, show that the tests detect it.
"""

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


class ActionError(Exception):
    """Raised by actions that fail on purpose."""


def _run_until(end: int, run: Callable[[int], None]) -> None:
    """Runs until a time, and goes on after actions that fail."""
    while True:
        try:
            return run(end)
        except ActionError:
            continue


class Time:
    """A clock with timers, whose time tests can advance."""

    exact = True  # simulated time: actions run exactly when they are due

    def now(self) -> int:
        """Returns the time of this turn."""
        raise NotImplementedError

    def fresh(self) -> int:
        return self.now()

    def at(self, when: int, action: Action) -> Any:
        """Schedules an action; returns a handle with ``cancel``, or None if it cannot be cancelled."""
        raise NotImplementedError

    def run(self, us: int) -> None:
        raise NotImplementedError

    def close(self) -> None: ...


class RealLoop(Time):
    """The router's clock and timers on an asyncio event loop."""

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
        """Waits until the clock has advanced by ``us`` and all actions due by then have run."""
        end = self.fresh() + us

        async def wait() -> None:
            while self.fresh() < end:
                await asyncio.sleep(max(0, end - self.now()) / 1e6)
            due_actions_ran = asyncio.Event()
            mark = self._clock.now()
            self._timers.at(mark, due_actions_ran.set)
            await due_actions_ran.wait()

        self.loop.run_until_complete(wait())

    def close(self) -> None:
        self.loop.close()


class SimulatedLoop(Time):
    """The router's timers on the fake event loop."""

    timers: type[Timers] = Timers

    def __init__(self) -> None:
        self.loop = FakeLoop()
        self.loop.timers = self.timers(self.loop, self.loop)  # type: ignore[arg-type]

    def now(self) -> int:
        return self.loop.now()

    def at(self, when: int, action: Action) -> Any:
        return self.loop.timers.at(when, action)

    def run(self, us: int) -> None:
        _run_until(self.now() + us, lambda end: self.loop.advance(end - self.now()))


class EmulatorEventQueue(Time):
    queue_type: type[EventQueue] = EventQueue

    def __init__(self) -> None:
        self._queue = self.queue_type(1_000_000)

    def now(self) -> int:
        return self._queue.now

    def at(self, when: int, action: Action) -> Any:
        self._queue.at(when, action)
        return None

    def run(self, us: int) -> None:
        _run_until(self.now() + us, self._queue.until)


class TimeContract(RuleBasedStateMachine):
    make: type[Time]

    def __init__(self) -> None:
        super().__init__()
        self.time = type(self).make()
        self.scheduled: list[tuple[int, bool, Any]] = []  # due time, whether it was in the past, handle
        self.fired: list[int] = []  # numbers of the actions in the order in which they ran
        self.cancelled: set[int] = set()
        self.last = self.time.fresh()

    def _schedule(self, when: int, then: Action = lambda: None) -> None:
        number = len(self.scheduled)

        def action() -> None:
            held(number not in self.fired, "T2", "an action ran twice")
            held(number not in self.cancelled, "T3", "a cancelled action ran")
            late_us = self.time.fresh() - when
            held(late_us >= 0, "T1", f"{-late_us} us before the due time")
            held(
                late_us == 0 or not self.time.exact or self.scheduled[number][1],
                "T5",
                f"{late_us} us after the due time",
            )
            self.fired.append(number)
            then()

        def record_failure() -> None:
            try:
                action()
            except AssertionError as problem:
                self.broken = self.broken or problem

        fails = then is _fail
        past = when < self.time.now()
        self.scheduled.append((when, past, None))
        self.scheduled[number] = when, past, self.time.at(when, action if fails else record_failure)

    broken: AssertionError | None = None

    @rule(delay=st.integers(-300, 1_500))
    def make_timer(self, delay: int) -> None:
        self._schedule(self.time.now() + delay)

    @rule(delay=st.integers(0, 500), after=st.integers(0, 500))
    def make_timer_that_makes_another(self, delay: int, after: int) -> None:
        self._schedule(self.time.now() + delay, lambda: self._schedule(self.time.now() + after))

    @rule(delay=st.integers(0, 500))
    def make_timer_that_fails(self, delay: int) -> None:
        self._schedule(self.time.now() + delay, _fail)

    @rule(index=st.integers(0, 50))
    def cancel(self, index: int) -> None:
        if self.scheduled:
            number = index % len(self.scheduled)
            handle = self.scheduled[number][2]
            if handle is not None and number not in self.fired:
                handle.cancel()
                self.cancelled.add(number)

    @rule(delay=st.integers(0, 500))
    def make_timer_that_cancels_the_next(self, delay: int) -> None:
        when = self.time.now() + delay
        number = len(self.scheduled) + 1

        def cancel() -> None:
            if self.scheduled[number][2] is not None and number not in self.fired:
                self.scheduled[number][2].cancel()
                self.cancelled.add(number)

        self._schedule(when, cancel)
        self._schedule(when)

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
        for number, (when, _, _) in enumerate(self.scheduled):
            held(
                number in self.fired or number in self.cancelled or when > before + us,
                "T4",
                f"an action is due since {after - when} us and did not run",
            )
        fired = [number for number in self.fired[mark:] if not self.scheduled[number][1]]
        order = [(self.scheduled[number][0], number) for number in fired]
        held(order == sorted(order), "T2", f"out of order: {order}")

    @rule()
    def stop_process(self) -> None:
        """Blocks the process: ``now`` must stay the same in the turn, and ``fresh`` must show the delay."""
        if not self.time.exact:
            before = self.time.now()
            started_ns = time.monotonic_ns()
            time.sleep(0.001)
            blocked_us = (time.monotonic_ns() - started_ns) // 1000
            held(self.time.now() == before, "T7", "two times in one turn")
            held(self.time.fresh() - before >= blocked_us - 1, "T7", "fresh does not show the delay")

    def teardown(self) -> None:
        self.time.close()


def _fail() -> None:
    raise ActionError


TIMES: dict[str, tuple[type[Time], int]] = {  # with the number of examples
    "real loop": (RealLoop, 25),
    "simulated loop": (SimulatedLoop, 100),
    "agenda": (EmulatorEventQueue, 100),
}


# Faulty clocks and timers


class EarlyTimers(Timers):
    """T1: they run actions 90 us before the due time."""

    def at(self, when: int, action: Action) -> timers_module.Timer:
        return super().at(when - 90, action)


class ReverseOrderTimers(Timers):
    """T2: of actions with the same due time they run the last one first."""

    def at(self, when: int, action: Action) -> timers_module.Timer:
        self._count -= 2  # numbers go down
        return super().at(when, action)


class IgnoresCancel(Timers):
    """T3: they run cancelled actions."""

    def at(self, when: int, action: Action) -> Any:
        super().at(when, action)
        return type("Handle", (), {"cancel": lambda self: None})()


class StopsAfterFailure(Timers):
    """T4: after an action fails they run no others."""

    def _run_due(self) -> None:
        try:
            super()._run_due()
        except ActionError:
            if self._loop_timer is not None:
                self._loop_timer.cancel()
            self._schedule_first = lambda: None  # type: ignore[method-assign]
            raise


class CoarseQueue(EventQueue):
    """T5: it rounds due times up to 100 us."""

    def at(self, when: int, action: Action) -> None:
        super().at(-(-when // 100) * 100, action)


class BackwardClockQueue(EventQueue):
    """T6: its clock goes back by 1 us."""

    def until(self, when: int) -> None:
        super().until(when)
        self.now -= 1


class StaleClock(Clock):
    """T7: ``fresh`` returns the time of the turn."""

    def fresh(self) -> int:
        return self.now()


class RereadingClock(Clock):
    """T7: ``now`` reads the system clock at each call."""

    def now(self) -> int:
        self._now = None
        return super().now()


FAULTY_TIMES = (
    EarlyTimers,
    ReverseOrderTimers,
    IgnoresCancel,
    StopsAfterFailure,
    CoarseQueue,
    BackwardClockQueue,
    StaleClock,
    RereadingClock,
)
REPLACEABLE_CLASSES = (
    (SimulatedLoop, Timers, "timers"),
    (EmulatorEventQueue, EventQueue, "queue_type"),
    (RealLoop, Clock, "clock"),
)

test_a_clock_with_its_timers_keeps_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    TimeContract, TIMES, FAULTY_TIMES, broken=lambda part: with_component(part, REPLACEABLE_CLASSES)
)
