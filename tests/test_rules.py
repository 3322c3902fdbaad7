"""The seven rules of the policy: tests of the checker itself, random valid histories, and single cases."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from checker import RuleChecker
from helpers import KEYED, SAFE, SECOND, UNSAFE, ControllerDriver, dispatches, engine, final_answers, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from slipbay.policy.actions import Dispatch, Fail, Reject, SetTimer
from slipbay.policy.controller import Controller
from slipbay.policy.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    EngineEntry,
    EngineList,
    EngineState,
    Event,
    ListKind,
    NoteKind,
    Outcome,
    QueryArrived,
    TimerFired,
)
from slipbay.policy.settings import Scope, ServiceClass, Settings

READY = EngineState.READY
DRAINING = EngineState.DRAINING
GONE = EngineState.GONE


def entry(number: int, **fields: Any) -> EngineEntry:
    return EngineEntry(engine(number), zone=number % 2, kind=number % 2, cell=number % 3, **fields)


def checker_for(*classes: ServiceClass, **changes: Any) -> RuleChecker:
    checker = RuleChecker(settings(*classes, **changes))
    checker.event(0, EngineList(ListKind.FULL, tuple(entry(n) for n in range(4))))
    return checker


ORDERED = replace(SAFE, in_order=True)
QUERY = QueryArrived(1, 0, 10 * SECOND, 100_000, order_key=7)
RESET = AttemptEnded(1, 0, engine(0), Outcome.RESET)


@pytest.mark.parametrize(
    ("rule", "classes", "changes", "script"),
    [
        ("lost", [SAFE], {}, [QUERY, 11 * SECOND]),
        ("lost", [SAFE], {}, [QUERY, Fail(1), Fail(1)]),
        ("lost", [SAFE], {}, [QUERY, Fail(1), Dispatch(1, engine(0))]),
        ("twice", [UNSAFE], {}, [QUERY, Dispatch(1, engine(0)), RESET, Dispatch(1, engine(1))]),
        ("twice", [UNSAFE], {}, [QUERY, Dispatch(1, engine(0)), RESET, Reject(1)]),
        ("twice", [SAFE], {}, [QUERY, Dispatch(1, engine(0)), Dispatch(1, engine(1))]),
        (
            "twice",
            [KEYED],
            {},
            [QUERY, Dispatch(1, engine(0)), RESET, 6 * SECOND, Dispatch(1, engine(1))],
        ),
        (
            "twice",
            [replace(KEYED, dedup_scope=Scope.ZONE)],
            {},
            [QUERY, Dispatch(1, engine(0)), RESET, Dispatch(1, engine(1))],
        ),
        (
            "drain",
            [SAFE],
            {},
            [
                QUERY,
                EngineList(ListKind.DELTA, (entry(0, state=DRAINING),)),
                SECOND,
                Dispatch(1, engine(0)),
            ],
        ),
        (
            "cold",
            [SAFE],
            {},
            [
                replace(QUERY, estimated_cost_us=9 * SECOND),
                EngineList(ListKind.DELTA, (entry(0, ready_at_us=1),)),
                SECOND,
                Dispatch(1, engine(0)),
            ],
        ),
        ("order", [ORDERED], {}, [QUERY, replace(QUERY, query=2), Dispatch(2, engine(0))]),
        (
            "order",
            [ORDERED],
            {"key_rest_us": SECOND},
            [
                QUERY,
                replace(QUERY, query=2),
                Dispatch(1, engine(0)),
                RESET,
                Fail(1),
                Dispatch(2, engine(0)),
            ],
        ),
        ("placement", [replace(SAFE, zones=(1,))], {}, [QUERY, Dispatch(1, engine(0))]),
        ("placement", [replace(SAFE, kinds=(1,))], {}, [QUERY, Dispatch(1, engine(0))]),
        (
            "budget",
            [SAFE],
            {"free_retries": 0.0, "retry_window_us": SECOND},
            [QUERY, Dispatch(1, engine(0)), RESET, Dispatch(1, engine(1))],
        ),
    ],
)
def test_checker_reports_each_violation(
    rule: str, classes: list[ServiceClass], changes: dict[str, Any], script: list[Any]
) -> None:
    checker = checker_for(*classes, **changes)
    now = 0
    for step in script:
        if isinstance(step, int):
            now = step
            checker.time(now)
        elif isinstance(step, QueryArrived | AttemptEnded | EngineList):
            checker.event(now, step)
        else:
            checker.action(now, step)
    assert [broken.split(":")[0] for broken in checker.broken] == [rule]


CLASSES = (
    SAFE,
    UNSAFE,
    KEYED,
    replace(KEYED, dedup_scope=Scope.ZONE),
    replace(SAFE, in_order=True),
    replace(UNSAFE, in_order=True, threads=2),
    replace(SAFE, zones=(1,), threads=3),
    replace(KEYED, kinds=(0,), is_load=True, dedup_scope=Scope.CELL),
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "submit",
                "submit",
                "submit",
                "end",
                "end",
                "note",
                "wait",
                "list",
                "disconnect",
                "restart",
                "stale",
            ]
        ),
        st.integers(0, 10_000),
    ),
    min_size=20,
    max_size=120,
)


class History:
    """Sends valid events to a controller, and passes all events and actions to the checker."""

    def __init__(self, setting: Settings) -> None:
        self.setting = setting
        self.now = 50 * SECOND
        self.query_count = 0
        self.list = [entry(n) for n in range(5)]
        self.restart()

    def restart(self) -> None:
        self.controller = Controller(self.setting, self.query_count)
        self.checker = RuleChecker(self.setting)
        self.timers: list[tuple[int, int]] = []
        self.open_dispatches: list[Dispatch] = []
        self.send_event(EngineList(ListKind.CACHED, tuple(self.list)))

    def send_event(self, event: Event) -> None:
        self.checker.time(self.now)
        self.checker.event(self.now, event)
        for action in self.controller.handle(self.now, [event]):
            self.checker.action(self.now, action)
            if isinstance(action, SetTimer):
                self.timers.append((action.at_us, action.token))
            elif isinstance(action, Dispatch):
                self.open_dispatches.append(action)

    def attempt_number(self, sent: Dispatch) -> int:
        open_attempts: set[int] = self.checker.queries[sent.query].in_flight
        return min(open_attempts)

    def step(self, kind: str, n: int) -> None:
        match kind:
            case "submit":
                self.query_count += 1
                self.send_event(
                    QueryArrived(
                        self.query_count,
                        n % len(CLASSES),
                        (1 + n % 9) * SECOND,
                        100_000,
                        group=float(n % 3),
                        order_key=n % 3,
                    )
                )
            case "end" if self.open_dispatches:
                sent = self.open_dispatches.pop(n % len(self.open_dispatches))
                outcome = list(Outcome)[n % len(Outcome)]
                done = self.checker.queries[sent.query].ended or outcome is Outcome.OK
                self.send_event(
                    AttemptEnded(
                        sent.query,
                        self.attempt_number(sent),
                        sent.engine,
                        outcome,
                        1000,
                        done,
                        work_us=100_000 if done else None,
                    )
                )
            case "note" if self.open_dispatches:
                sent = self.open_dispatches[n % len(self.open_dispatches)]
                self.send_event(
                    AttemptNote(
                        sent.query,
                        self.attempt_number(sent),
                        sent.engine,
                        list(NoteKind)[n % 3],
                        (n % 100) / 100 + 0.01,
                    )
                )
            case "disconnect" if self.query_count in self.checker.queries:
                self.send_event(ClientDisconnected(self.query_count))
            case "list":
                index = n % len(self.list)
                self.list[index] = replace(
                    self.list[index],
                    state=EngineState(n % 3),
                    ready_at_us=self.now if n % 2 else self.list[index].ready_at_us,
                )
                full = n % 5 == 0
                listed = [e for e in self.list if e.state is not GONE] if full else [self.list[index]]
                self.send_event(EngineList(ListKind.FULL if full else ListKind.DELTA, tuple(listed)))
            case "stale":
                self.send_event(TimerFired(n))
                self.send_event(AttemptNote(n + 10**6, 0, engine(0), NoteKind.SHARE_DONE, 0.5))
            case "wait":
                self.wait(self.now + n * 300)
            case "restart" if n % 4 == 0:
                assert self.checker.broken == []
                self.restart()

    def wait(self, until: int) -> None:
        while self.timers and min(self.timers)[0] <= until:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.send_event(TimerFired(token))
        self.now = until
        self.checker.time(until)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=120)
@given(STEPS, st.booleans(), st.booleans(), st.integers(1, 3))
def test_no_legal_history_breaks_a_rule(
    steps: list[tuple[str, int]], rationed: bool, notes: bool, routers: int
) -> None:
    history = History(
        settings(
            *CLASSES,
            key_rest_us=SECOND // 2,
            router_count=routers,
            max_attempts=4,
            progress_us=SECOND if notes else 0,
            free_retries=1.0 if rationed else None,
            retry_share=0.1,
            retry_window_us=2 * SECOND,
            drain_grace_us=0,
        )
    )
    for kind, n in steps:
        history.step(kind, n)
    history.wait(history.now + 12 * SECOND)
    assert history.checker.broken == []


def test_every_query_is_answered_by_its_deadline() -> None:
    driver = ControllerDriver(settings(UNSAFE), engines=2)
    driver.submit(1, expires=3 * SECOND)
    assert Fail(1) in driver.run_until(4 * SECOND)


def test_unsafe_query_is_retried_only_if_it_did_not_run() -> None:
    driver = ControllerDriver(settings(UNSAFE), engines=3)
    first = dispatches(driver.submit(1))[0]
    second = dispatches(driver.end_attempt(first, Outcome.CONNECT_FAILED))
    assert len(second) == 1
    assert second[0].engine != first.engine
    assert final_answers(driver.end_attempt(second[0], Outcome.RESET, attempt=1)) == [Fail(1)]


def test_keyed_query_is_retried_only_within_its_deduplication_scope() -> None:
    driver = ControllerDriver(
        settings(replace(KEYED, dedup_scope=Scope.CELL)), [entry(n) for n in (0, 3, 1, 2)]
    )
    first = dispatches(driver.submit(1))[0]
    assert first.engine in {engine(n) for n in range(4)}
    again = dispatches(driver.end_attempt(first, Outcome.RESET))
    cells = {engine(0): 0, engine(3): 0, engine(1): 1, engine(2): 2}
    assert all(cells[sent.engine] == cells[first.engine] for sent in again)


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_sending_stops_at_once_when_an_engine_drains_or_is_removed(state: EngineState) -> None:
    driver = ControllerDriver(settings(), engines=2)
    driver.handle(EngineList(ListKind.DELTA, (EngineEntry(engine(0), state=state),)))
    assert {dispatches(driver.submit(n, cost=1))[0].engine for n in range(1, 9)} == {engine(1)}


def test_cold_engine_gets_no_more_than_its_budget_and_nothing_just_after_the_routers_start() -> None:
    driver = ControllerDriver(settings(router_count=2), [EngineEntry(engine(0), ready_at_us=SECOND)])
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    assert dispatches(action for _, action in driver.actions) == []
    driver.now = 2 * SECOND + 1
    for n in range(2, 60):
        driver.submit(n, cost=100_000)
    # 2 x (0.4 + 0.6 / 10) x 8 x 0.85 x 1 s / 2 routers = 3.13 s of work, half of which is used
    spent = 0.1 * len(dispatches(action for _, action in driver.actions))
    assert 0.5 < spent <= 1.57


def test_keys_keep_their_order_and_are_blocked_after_an_unknown_outcome() -> None:
    driver = ControllerDriver(settings(replace(UNSAFE, in_order=True), key_rest_us=SECOND), engines=2)
    first = dispatches(driver.submit(1, order_key=5))[0]
    assert dispatches(driver.submit(2, order_key=5)) == []
    assert len(dispatches(driver.submit(3, order_key=6, cost=1))) == 1
    assert dispatches(driver.end_attempt(first, Outcome.RESET)) == []
    assert dispatches(driver.run_until(driver.now + SECOND - 1)) == []
    assert [s.query for s in dispatches(driver.run_until(driver.now + 10_000))] == [2]


def test_placement_holds_even_when_all_permitted_engines_are_removed() -> None:
    driver = ControllerDriver(settings(replace(SAFE, zones=(1,))), [entry(0), entry(2), entry(1)])
    assert dispatches(driver.submit(1))[0].engine == engine(1)
    driver.handle(EngineList(ListKind.DELTA, (entry(1, state=GONE),)))
    assert dispatches(driver.submit(2, cost=1)) == []
    assert final_answers(driver.run_until(driver.now + 11 * SECOND))


def test_retry_budget_is_checked_again_when_a_queued_retry_is_sent() -> None:
    """Requests that were counted for a retry may have left the window when it is sent (incident idbc7ec)."""
    driver = ControllerDriver(settings(free_retries=0.0, retry_share=1.0, retry_window_us=SECOND), engines=1)
    first = dispatches(driver.submit(1))[0]
    driver.handle(EngineList(ListKind.DELTA, (EngineEntry(engine(0), state=DRAINING),)))
    assert dispatches(driver.end_attempt(first, Outcome.FULL)) == []
    driver.now += 2 * SECOND
    later_actions = driver.handle(EngineList(ListKind.DELTA, (EngineEntry(engine(1)),)))
    assert dispatches(later_actions) == []
    assert final_answers(later_actions) == [Reject(1, SECOND // 2)]


def test_keyed_query_queued_past_its_deduplication_window_is_not_sent_again() -> None:
    """A retry may be queued under pressure until after the engines' deduplication window."""
    driver = ControllerDriver(settings(KEYED), engines=1)
    first = dispatches(driver.submit(1))[0]
    driver.handle(EngineList(ListKind.DELTA, (EngineEntry(engine(0), state=DRAINING),)))
    assert dispatches(driver.end_attempt(first, Outcome.RESET)) == []
    driver.now += KEYED.dedup_window_us
    later_actions = driver.handle(EngineList(ListKind.DELTA, (EngineEntry(engine(1)),)))
    assert dispatches(later_actions) == []
    assert final_answers(later_actions) == [Reject(1, SECOND // 2)]
