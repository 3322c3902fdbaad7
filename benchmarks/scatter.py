"""CPU time of a part of a scattered query, compared with that of an ordinary request.

``python benchmarks/scatter.py`` passes both through the core, with decisions that dispatch at once and
engines that answer at once. The difference is the cost of the scatterer and its stopping rules.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any, cast

from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Answer, Attempt, Request
from slipbay.core.timers import Timers
from slipbay.policy.actions import Action, Dispatch
from slipbay.policy.events import Event, Outcome, QueryArrived
from slipbay.policy.settings import Effect, ServiceClass, Settings
from slipbay.scatter_gather.config_schema import ScatterGatherPlan
from slipbay.scatter_gather.interfaces import ScatteredClass, StoppingRules
from slipbay.scatter_gather.scatterer import Scatterer
from slipbay.scatter_gather.stopping_rule import LearnedStoppingRules

SECOND = 1_000_000
STATEMENT = b"SELECT a, b FROM sales_{group}.orders WHERE c > 7 ORDER BY a"
ROW = b"1\t2\t3\n" * 40
PARTS = 16
QUERIES = 400
ROUNDS = 7


class Clock:
    """An event loop and a clock whose time advances without waiting."""

    def __init__(self) -> None:
        self.us = 10 * SECOND
        self._soon = list[tuple[Callable[..., object], tuple[object, ...]]]()

    def now(self) -> int:
        """Return the time in us."""
        return self.us

    def to_loop_time(self, when: int) -> float:
        """Return a time in us as the loop's time in s."""
        return when / 1e6

    def call_at(self, when: float, action: Callable[[], None]) -> Any:
        """Ignore a timer; none is due during the measurement."""
        return SimpleNamespace(cancel=lambda: None)

    def call_soon(self, action: Callable[..., object], *args: object) -> None:
        """Add a call for the next ``settle``."""
        self._soon.append((action, args))

    def settle(self) -> None:
        """Run all calls, also those that they add."""
        while self._soon:
            calls = self._soon
            self._soon = []
            for action, args in calls:
                action(*args)
            self.us += 500


class ImmediateHost:
    """Decisions that dispatch each query at once to one of ten engines, and the engines and the client."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Dispatch the queries that arrived."""
        return [
            Dispatch(event.query, b"s-%d" % (event.query % 10))
            for event in events
            if isinstance(event, QueryArrived)
        ]

    def start(self, attempt: Attempt) -> Any:
        """Accept an attempt as an engine does."""
        self.sent.append(attempt)
        return SimpleNamespace(stop=attempt.finish)

    def answered(self, request: Request, answer: Answer) -> None:
        """Ignore an answer."""
        ...


class WaitForAll:
    """A stopping rule that waits for all parts, and the set of such rules."""

    def __init__(self) -> None:
        from slipbay.scatter_gather.interfaces import AnswerNow, WaitUntil

        self._answer = AnswerNow()
        self._wait = WaitUntil(10**18)
        self._open_parts = 0

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> WaitForAll:
        """Start a query; this object is its rule."""
        self._open_parts = len(scattered.groups)
        return self

    def part_sent(self, *arguments: object) -> None:
        """Ignore a part that was sent."""
        ...

    def part_ended(self, *arguments: object) -> Any:
        """Answer when the last part has ended."""
        self._open_parts -= 1
        return self._wait if self._open_parts else self._answer

    def evaluate(self, now: int) -> Any:
        """Wait."""
        return self._wait

    def finish(self, now: int) -> None:
        """End a query."""
        ...


def cpu_time_us(stopping_rules: Callable[[int], StoppingRules] | None) -> float:
    """Return the CPU time of a part, or without ``stopping_rules`` of a request; the best of some rounds."""
    min_us = 1e9
    for _ in range(ROUNDS):
        clock = Clock()
        host = ImmediateHost()
        spec = ServiceClass(SECOND // 2, 3 * SECOND, Effect.SAFE)
        timers = Timers(cast(Any, clock), cast(Any, clock))
        core = Dispatcher(
            cast(Any, clock),
            cast(Any, clock),
            timers,
            host,
            Settings((spec, spec), max_attempts=4),
            10**6,
            10**9,
        )
        scattered = ScatteredClass(
            "report", "lookup", tuple(range(PARTS)), "{group}", ((0.5, 0.5), (1.0, 1.0)), 0.1, SECOND
        )
        scatterer = None
        if stopping_rules is not None:
            scatterer = Scatterer(
                ScatterGatherPlan((scattered,), 256, 10**9),
                ("lookup", "report"),
                core,
                timers,
                stopping_rules(clock.us),
                lambda engine, now: (1.0, False, 1.0),
                lambda name: False,
            )
        clock.us += 10 * SECOND
        cpu_start_s = time.process_time()
        for n in range(QUERIES):
            if scatterer is not None:
                scatterer.submit(
                    Request(
                        f"{n:016x}",
                        1,
                        2 * SECOND,
                        STATEMENT,
                        host,
                        cast(Any, host),
                        4000,
                        size_bytes=len(STATEMENT),
                    )
                )
            else:
                for part in range(PARTS):
                    core.submit(
                        Request(
                            f"{n * PARTS + part:016x}",
                            0,
                            2 * SECOND,
                            STATEMENT,
                            host,
                            cast(Any, host),
                            250,
                            size_bytes=len(STATEMENT),
                        )
                    )
            clock.settle()
            attempts = host.sent
            host.sent = []
            for attempt in attempts:
                clock.us += 100
                attempt.finish(Outcome.OK, ROW)
            clock.settle()
        min_us = min(min_us, (time.process_time() - cpu_start_s) * 1e6 / QUERIES / PARTS)
        assert not core.requests
    return min_us


def main() -> None:
    """Measure an ordinary request and parts under two kinds of stopping rules."""
    request_us = cpu_time_us(None)
    print(f"an ordinary request through the core: {request_us:.1f} us")
    for name, rules in (("that only wait", lambda now: WaitForAll()), ("that learn", LearnedStoppingRules)):
        part_us = cpu_time_us(cast(Any, rules))
        print(f"a part of {PARTS}, with moments {name}: {part_us:.1f} us, {part_us - request_us:.1f} more")


if __name__ == "__main__":
    main()
