"""CPU time that a part of a scattered query costs, beside that of an ordinary request.

``python benchmarks/scatter.py`` puts both through the core with decisions that send all at once and engines
that answer at once, so that what differs is the scatterer's own and its moments'.
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
    """Loop, clock and timers' alarm: time goes on by itself, nothing waits."""

    def __init__(self) -> None:
        self.us = 10 * SECOND
        self._soon = list[tuple[Callable[..., object], tuple[object, ...]]]()

    def now(self) -> int:
        return self.us

    def to_loop_time(self, when: int) -> float:
        return when / 1e6

    def call_at(self, when: float, action: Callable[[], None]) -> Any:
        return SimpleNamespace(cancel=lambda: None)

    def call_soon(self, action: Callable[..., object], *args: object) -> None:
        self._soon.append((action, args))

    def settle(self) -> None:
        while self._soon:
            calls = self._soon
            self._soon = []
            for action, args in calls:
                action(*args)
            self.us += 500


class All:
    """Sends each query to one of ten engines at once; the back of them too."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        return [
            Dispatch(event.query, b"s-%d" % (event.query % 10))
            for event in events
            if isinstance(event, QueryArrived)
        ]

    def start(self, attempt: Attempt) -> Any:
        self.sent.append(attempt)
        return SimpleNamespace(stop=attempt.finish)

    def answered(self, request: Request, answer: Answer) -> None: ...


class Waits:
    """A moment that says nothing, and all the moments of such."""

    def __init__(self) -> None:
        from slipbay.scatter_gather.interfaces import AnswerNow, WaitUntil

        self._enough = AnswerNow()
        self._wait = WaitUntil(10**18)
        self._out = 0

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> Waits:
        self._out = len(scattered.groups)
        return self

    def part_sent(self, *told: object) -> None: ...

    def part_ended(self, *told: object) -> Any:
        self._out -= 1
        return self._wait if self._out else self._enough

    def evaluate(self, now: int) -> Any:
        return self._wait

    def finish(self, now: int) -> None: ...


def spent(moments: Callable[[int], StoppingRules] | None) -> float:
    """CPU time in us of a part, or of a request where ``moments`` is None: the least of some rounds."""
    least = 1e9
    for _ in range(ROUNDS):
        clock = Clock()
        host = All()
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
        if moments is not None:
            scatterer = Scatterer(
                ScatterGatherPlan((scattered,), 256, 10**9),
                ("lookup", "report"),
                core,
                timers,
                moments(clock.us),
                lambda engine, now: (1.0, False, 1.0),
                lambda name: False,
            )
        clock.us += 10 * SECOND
        began = time.process_time()
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
            sent = host.sent
            host.sent = []
            for attempt in sent:
                clock.us += 100
                attempt.finish(Outcome.OK, ROW)
            clock.settle()
        least = min(least, (time.process_time() - began) * 1e6 / QUERIES / PARTS)
        assert not core.requests
    return least


def main() -> None:
    request = spent(None)
    print(f"an ordinary request through the core: {request:.1f} us")
    for name, moments in (("that only wait", lambda now: Waits()), ("that learn", LearnedStoppingRules)):
        part = spent(cast(Any, moments))
        print(f"a part of {PARTS}, with moments {name}: {part:.1f} us, {part - request:.1f} more")


if __name__ == "__main__":
    main()
