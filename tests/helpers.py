"""Drives a controller through its public interface and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from slipbay.policy.actions import Action, Dispatch, Fail, Reject, SetTimer
from slipbay.policy.controller import Controller
from slipbay.policy.events import (
    AttemptEnded,
    EngineEntry,
    EngineId,
    EngineList,
    Event,
    ListKind,
    LoadReport,
    Outcome,
    QueryArrived,
    TimerFired,
)
from slipbay.policy.settings import Effect, ServiceClass, Settings

SECOND = 1_000_000
SAFE = ServiceClass(latency_objective_us=2 * SECOND, deadline_us=10 * SECOND, effect=Effect.SAFE)
UNSAFE = replace(SAFE, effect=Effect.UNSAFE)
KEYED = replace(SAFE, effect=Effect.KEYED, dedup_window_us=5 * SECOND)


def settings(*classes: ServiceClass, **changes: Any) -> Settings:
    base = Settings(
        classes=classes or (SAFE,),
        kind_cores=(8.0, 8.0),
        max_attempts=3,
        may_cancel=True,
        progress_us=SECOND,
        ramp_us=10 * SECOND,
        cold_share=0.4,
        cold_multiple=2.0,
        cold_window_us=SECOND,
        max_retry_after_us=SECOND,
    )
    return replace(base, **changes)


def engine(number: int) -> EngineId:
    return bytes([10, 0, 0, number, 0, 1])


class ControllerDriver:
    """A controller with a simulated clock; fires its timers on time and records all actions."""

    def __init__(self, setting: Settings, engines: int | Iterable[EngineEntry] = 4) -> None:
        self.controller = Controller(setting, 1)
        self.now = SECOND
        self.actions: list[tuple[int, Action]] = []
        self.timers: list[tuple[int, int]] = []
        entries = (
            [EngineEntry(engine(n)) for n in range(engines)] if isinstance(engines, int) else list(engines)
        )
        self.handle(EngineList(ListKind.CACHED, tuple(entries)))

    def handle(self, *events: Event) -> list[Action]:
        actions = self.controller.handle(self.now, events)
        self.actions += [(self.now, action) for action in actions]
        self.timers += [(a.at_us, a.token) for a in actions if isinstance(a, SetTimer)]
        return actions

    def run_until(self, until: int) -> list[Action]:
        """Fire all timers up to ``until`` in order; returns the actions taken meanwhile."""
        first_action = len(self.actions)
        while self.timers and min(self.timers)[0] <= until:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.handle(TimerFired(token))
        self.now = max(self.now, until)
        return [action for _, action in self.actions[first_action:]]

    def submit(
        self,
        query: int,
        cost: int | None = 100_000,
        service_class: int = 0,
        expires: int = 10 * SECOND,
        **fields: Any,
    ) -> list[Action]:
        return self.handle(QueryArrived(query, service_class, expires, cost, **fields))

    def end_attempt(
        self,
        sent: Dispatch,
        outcome: Outcome,
        attempt: int = 0,
        work: int | None = None,
        report: LoadReport | None = None,
    ) -> list[Action]:
        return self.handle(
            AttemptEnded(
                sent.query,
                attempt,
                sent.engine,
                outcome,
                complete=outcome is Outcome.OK,
                work_us=work,
                report=report,
            )
        )


def dispatches(actions: Iterable[Action]) -> list[Dispatch]:
    return [action for action in actions if isinstance(action, Dispatch)]


def final_answers(actions: Iterable[Action]) -> list[Reject | Fail]:
    return [action for action in actions if isinstance(action, Reject | Fail)]
