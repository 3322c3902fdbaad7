"""Many routers that each see little, engines that restart together, and routers that stood still."""

from __future__ import annotations

import cProfile
from dataclasses import replace
from random import Random
from types import CodeType
from typing import Any

import pytest
from helpers import SAFE, SECOND, UNSAFE, ControllerDriver, dispatches, engine, settings

from slipbay.emulator.fleet_model import FleetModel
from slipbay.policy import engine_table
from slipbay.policy.actions import Cancel
from slipbay.policy.controller import Controller
from slipbay.policy.events import (
    WAITS_FOR_LOAD,
    AttemptNote,
    EngineEntry,
    EngineId,
    EngineList,
    EngineState,
    ListKind,
    NoteKind,
    Outcome,
    QueryArrived,
    TimerFired,
)
from slipbay.policy.selection import EngineSelector
from slipbay.policy.slow_start import SlowStart

ROUTERS = 200
RULES = settings(router_count=ROUTERS, cold_multiple=4.0, ramp_us=30 * SECOND)
COLD = EngineEntry(engine(1), ready_at_us=SECOND)
LIMIT = 4.0 * 0.4 * 8 * engine_table.CORE_WORK * SECOND  # work that the cold engine may be sent in a window


def work_sent(restart_every: int, seconds: int = 12) -> list[tuple[int, float]]:
    """Many routers ask with a skewed spread; some restart all the time. Returns dispatches to the cold
    engine."""
    random = Random(3)
    work = 200_000
    fleet = [Controller(replace(RULES, router_number=me), me) for me in range(ROUTERS)]
    lists = EngineList(ListKind.CACHED, (COLD,))
    for driver in fleet:
        driver.handle(SECOND, [lists])
    sent = []
    query = 0
    for now in range(SECOND, (seconds + 1) * SECOND, 2_000):
        me = int(ROUTERS * random.random() ** 2)  # the first routers see most
        query += 1
        if restart_every and query % restart_every == 0:
            fleet[me] = Controller(replace(RULES, router_number=me), query)
            fleet[me].handle(now, [lists])
        actions = fleet[me].handle(now, [QueryArrived(query, 0, 10 * SECOND, work)])
        sent += [(now, float(work)) for _ in dispatches(actions)]
    return sent


def fullest(sent: list[tuple[int, float]]) -> float:
    return max(sum(work for at, work in sent if start <= at < start + SECOND) for start, _ in sent)


@pytest.mark.parametrize("restart_every", [0, 7])
def test_hundreds_of_routers_use_a_cold_engine_and_do_not_overload_it(restart_every: int) -> None:
    sent = work_sent(restart_every)
    assert fullest(sent) <= LIMIT
    assert sum(work for _, work in sent) > 0.1 * LIMIT * 12  # and yet it is used while it warms up


@pytest.mark.parametrize("pressed", [False, True])
def test_router_with_the_time_slot_prefers_the_cold_engine(pressed: bool) -> None:
    """Hunts saw cold engines get a few hundredths of what they may: the others looked better to all, and
    under pressure a slot was of use only to who also won the lottery for free threads, as 1 of 200 does."""
    cold = EngineEntry(engine(1), ready_at_us=SECOND)
    rules = settings(
        replace(SAFE, utility=90), SAFE, cold_multiple=4.0, ramp_us=30 * SECOND, may_gossip=pressed
    )
    driver = ControllerDriver(rules, [EngineEntry(engine(0)), cold])
    driver.run_until(3 * SECOND)
    if pressed:
        router = driver.controller
        router.engines.router_count = 200
        router.gossip.sums_at_us = driver.now
        router.pressure.until_us = driver.now + SECOND
    assert dispatches(driver.submit(1, service_class=1, cost=100_000))[0].engine == cold.engine


@pytest.mark.parametrize(("lottery", "others", "sent"), [(0.999, 0, 1), (0.5, 0, 0), (0.999, 40, 0)])
def test_router_without_the_time_slot_sends_a_cold_engine_one_query_by_lottery_until_the_next_sum(
    lottery: float, others: int, sent: int
) -> None:
    """Guards against time slots left idle by routers that see little, and bursts by who won the lottery
    once."""
    driver = ControllerDriver(replace(RULES, may_gossip=True), [COLD])
    driver.now = 3 * SECOND + 1
    router = driver.controller
    cold = driver.controller.engines.by_id[COLD.engine]
    assert not dispatches(driver.submit(1))  # no time slot, and nothing reported
    for query in (2, 3, 4):
        router.gossip.sums_at_us = 3 * SECOND
        cold.lottery_draw = lottery
        cold.peer_threads = others
        driver.submit(query)
    assert len(dispatches(action for _, action in driver.actions)) == sent


def test_that_many_would_overload_it_without_the_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "has_room", lambda *_: True)
    assert fullest(work_sent(0, seconds=2)) > LIMIT


def test_engine_that_refused_a_connection_counts_as_cold_before_the_list_says_so() -> None:
    """Verbund's mass restarts: engines were back, cold, seconds before the list said so, and fell over."""
    driver = ControllerDriver(settings(router_count=50), engines=2)
    first = dispatches(driver.submit(1))[0]
    driver.end_attempt(first, Outcome.CONNECT_FAILED)
    broken = driver.controller.engines.by_id[first.engine]
    assert broken.capacity(driver.now, driver.controller.settings) == pytest.approx(0.4)
    news = EngineEntry(first.engine, ready_at_us=driver.now)
    driver.now += 20 * SECOND
    driver.handle(EngineList(ListKind.DELTA, (news,)))
    assert broken.capacity(driver.now, driver.controller.settings) == 1.0


def test_new_process_has_neither_the_old_ones_groups_nor_locks_nor_symptoms() -> None:
    driver = ControllerDriver(settings(replace(UNSAFE, is_load=True)), engines=1)
    driver.submit(1, group=3.0)
    old = driver.controller.engines.by_id[engine(0)]
    assert 3.0 in old.recent_groups
    assert 3.0 in old.locked_groups
    old.is_unhealthy = True
    driver.handle(EngineList(ListKind.DELTA, (EngineEntry(engine(0), ready_at_us=driver.now),)))
    assert not old.recent_groups
    assert not old.locked_groups
    assert not old.is_unhealthy
    assert old.threads == 1


def test_engine_off_the_list_keeps_its_attempts_and_charges() -> None:
    driver = ControllerDriver(settings(), engines=2)
    gone = dispatches(driver.submit(1))[0].engine
    left = tuple(EngineEntry(engine(n)) for n in range(2) if engine(n) != gone)
    driver.handle(EngineList(ListKind.FULL, left))
    driver.run_until(driver.now + 4 * SECOND)
    assert any(action == Cancel(1, 0) for _, action in driver.actions)  # still watched for silence
    driver.handle(EngineList(ListKind.FULL, (*left, EngineEntry(gone))))
    assert driver.controller.engines.by_id[gone].threads == 1


def test_lock_stays_until_the_last_load_of_the_group_has_ended() -> None:
    driver = ControllerDriver(settings(replace(UNSAFE, is_load=True)), engines=1)
    both = dispatches(driver.submit(1, group=3.0) + driver.submit(2, cost=1_000, group=3.0))
    assert len(both) == 2
    driver.end_attempt(both[0], Outcome.OK)
    assert 3.0 in driver.controller.engines.by_id[engine(0)].locked_groups
    driver.end_attempt(both[1], Outcome.OK)
    assert 3.0 not in driver.controller.engines.by_id[engine(0)].locked_groups


def test_full_engine_is_left_alone_for_a_while() -> None:
    """Dakar's hangs: a hung engine filled up, turned all away at once, and so looked the least busy."""
    driver = ControllerDriver(settings(), engines=3)
    first = dispatches(driver.submit(1))[0]
    driver.end_attempt(first, Outcome.FULL)
    driver.controller.classes[0].bound = 1e9
    driver.controller.pressure.until_us = 0
    others = [dispatches(driver.submit(n, cost=1_000, group=float(n)))[0].engine for n in range(2, 12)]
    assert others.count(first.engine) <= 1


def test_slow_unhealthy_engine_among_engines_without_answers_is_no_fault() -> None:
    """Shah Alam's big-1: a share of 0 was divided by."""
    driver = ControllerDriver(settings(), engines=2)
    driver.submit(1, cost=1_000)
    for e in driver.controller.engines.by_id.values():
        e.is_unhealthy = True
    driver.controller.engines.by_id[engine(0)].pace_ratio.add(9.0, 1.0, 0.03)
    assert len(dispatches(driver.submit(2, cost=1_000))) == 1


def test_query_that_waits_for_a_load_starts_anew_elsewhere() -> None:
    driver = ControllerDriver(settings(replace(SAFE, waits_for_loads=True)), engines=2)
    first = dispatches(driver.submit(1))[0]
    done = driver.handle(AttemptNote(1, 0, first.engine, NoteKind.WAITS, WAITS_FOR_LOAD))
    assert Cancel(1, 0) in done
    again = dispatches(driver.end_attempt(first, Outcome.CANCELLED))
    assert again[0].engine != first.engine


def test_list_in_the_same_batch_is_applied_before_a_timer_or_a_query() -> None:
    driver = ControllerDriver(settings(), engines=2)
    drains = EngineList(ListKind.DELTA, (EngineEntry(engine(0), state=EngineState.DRAINING),))
    asks = [QueryArrived(n, 0, 10 * SECOND, 1_000) for n in range(1, 7)]
    assert {sent.engine for sent in dispatches(driver.handle(*asks, drains))} == {engine(1)}


def test_own_stall_makes_no_engine_unhealthy_and_bounds_what_piled_up() -> None:
    driver = ControllerDriver(settings(kind_cores=(1.0,)), engines=4)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for n in range(2, 5):
        driver.submit(n, cost=100_000, group=float(n))
    driver.run_until(2 * SECOND)
    driver.now += 4 * SECOND
    due = [TimerFired(token) for at, token in driver.timers if at <= driver.now]
    piled = [QueryArrived(n, 0, 10 * SECOND, 50_000, group=float(n)) for n in range(10, 40)]
    actions = driver.handle(*due, *piled)
    assert not any(e.is_unhealthy for e in driver.controller.engines.by_id.values())
    assert not any(isinstance(action, Cancel) for action in actions)
    assert len(dispatches(actions)) <= 4 * 1.6 + 1


def test_total_of_threads_is_bounded_where_a_share_of_an_engine_is_less_than_one() -> None:
    heavy = replace(SAFE, threads=2, latency_objective_us=8 * SECOND)
    driver = ControllerDriver(settings(SAFE, heavy, router_count=100, kind_cores=(8.0,)), engines=40)
    driver.submit(1, cost=1_000)
    driver.submit(2, cost=1_000_000, service_class=1)
    for class_state in driver.controller.classes:
        class_state.bound = 1e9
    driver.controller.pressure.until_us = 100 * SECOND
    more = [dispatches(driver.submit(n, cost=1_000_000, service_class=1)) for n in range(3, 9)]
    assert sum(map(len, more)) == 2  # 1.6 x 40 x 8 / 100 = 5.1 threads, 3 held before
    assert (
        len(dispatches(driver.submit(9, cost=1_000))) == 1
    )  # the class with most utility for its work is not held


def test_heavy_query_alone_in_its_class_is_not_starved_and_under_pressure_the_bound_decides() -> None:
    driver = ControllerDriver(settings(SAFE, SAFE, router_count=200), engines=40)
    driver.submit(1, cost=100_000, service_class=1)
    driver.submit(2, cost=100_000)
    driver.end_attempt(dispatches(action for _, action in driver.actions)[1], Outcome.OK)
    driver.controller.classes[0].bound = 50_000.0
    assert len(dispatches(driver.submit(3, cost=900_000))) == 1
    assert dispatches(driver.submit(4, cost=900_000)) == []
    driver.end_attempt(dispatches(action for _, action in driver.actions)[-1], Outcome.OK)
    driver.controller.pressure.until_us = 100 * SECOND
    assert dispatches(driver.submit(5, cost=900_000)) == []


def test_routers_send_a_group_to_the_same_few_engines_without_messages() -> None:
    targets: dict[float, set[EngineId]] = {}
    groups = [float(1 + n % 40) for n in range(400)]
    for me in range(8):
        driver = ControllerDriver(settings(router_count=8, router_number=me), engines=20)
        driver.submit(1, cost=1_000)
        for n, group in enumerate(Random(me).sample(groups, 400), start=2):
            driver.controller.classes[0].bound = 1e9
            if n % 40 == 0:
                driver.run_until(driver.now + SECOND)
            for sent in dispatches(driver.submit(n, cost=1_000, group=group)):
                driver.end_attempt(sent, Outcome.OK, work=1_000)
                if n > 200:
                    targets.setdefault(group, set()).add(sent.engine)
    assert sum(map(len, targets.values())) / len(targets) < 8  # of 20; by chance it would be all but a few


def test_engines_looked_at_for_an_event_do_not_grow_with_engines_times_classes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    classes = [SAFE] * 6
    looked = 0
    real = EngineSelector.is_allowed

    def counted(self: EngineSelector, *args: Any) -> bool:
        nonlocal looked
        looked += 1
        return real(self, *args)

    monkeypatch.setattr(EngineSelector, "is_allowed", counted)
    driver = ControllerDriver(settings(*classes, router_count=100), engines=200)
    for n, _ in enumerate(classes):
        driver.submit(n, service_class=n, cost=1_000)
    assert looked <= 200 * len(classes)  # one look at each engine for each query that is sent
    driver.controller.pressure.until_us = 100 * SECOND
    for n, _ in enumerate(classes):
        driver.controller.classes[n].bound = 1e9
        for query in range(20):
            driver.submit(100 * n + 100 + query, service_class=n, cost=1_000)
    looked = 0
    driver.handle(TimerFired(10**9))  # held queries of many classes: those with no room cost nothing
    assert looked <= 200
    looked = 0
    driver.run_until(driver.now + 90_000)
    assert looked <= 200
    idle = ControllerDriver(settings(*classes, router_count=100), engines=200)
    looked = 0
    idle.run_until(idle.now + 5 * SECOND)
    assert looked == 0


def test_list_with_empty_ring_and_held_queries_is_no_fault() -> None:
    driver = ControllerDriver(settings(), engines=1)
    driver.submit(1)
    driver.run_until(driver.now + 2 * SECOND)
    driver.handle(EngineList(ListKind.FULL, ()))
    assert dispatches(driver.submit(2, cost=1_000)) == []


def test_list_with_thousands_of_entries_unknown_kinds_and_zones() -> None:
    entries = tuple(
        EngineEntry(n.to_bytes(6, "big"), zone=n % 250, kind=n % 999, cell=n) for n in range(5_000)
    )
    driver = ControllerDriver(settings(), entries)
    assert len(dispatches(driver.submit(1))) == 1


@pytest.mark.parametrize(("engines", "most"), [(8, 200), (80, 650), (400, 2700)])
def test_what_a_query_costs_grows_no_faster_than_the_engines(engines: int, most: int) -> None:
    """Guards against work for each pair of engines, or for each engine at each event. Counted are calls of
    the decisions' functions for a query and all that follows from it: 147, 530 and 2,224 at first."""
    tier = FleetModel(3, engines)
    tier.load(2, 0.7 * 8 / engines)
    asked = tier.account.came.total()
    with cProfile.Profile() as profile:
        tier.load(4, 0.7 * 8 / engines)
    calls = sum(
        entry.callcount
        for entry in profile.getstats()
        if isinstance(entry.code, CodeType) and "slipbay/policy" in entry.code.co_filename
    )
    assert calls < most * (tier.account.came.total() - asked)


def test_a_cold_engine_is_taken_to_grow_evenly_over_its_ramp() -> None:
    """Guards against cold engines that are held to their first share for half of their ramp: 18 of them
    held 2 to 3 threads each while 12 warm ones held 12 to 18."""
    entry = EngineEntry(engine(0), ready_at_us=SECOND)
    driver = ControllerDriver(settings(cold_share=0.4, ramp_us=10 * SECOND), [entry])
    cold = driver.controller.engines.by_id[engine(0)]
    shares = [cold.capacity(at * SECOND, driver.controller.settings) for at in (0, 1, 3, 6, 11, 60)]
    assert shares == pytest.approx([0.4, 0.4, 0.52, 0.7, 1.0, 1.0])


@pytest.mark.parametrize("routers", [1, 8])
def test_no_report_is_rejected_because_long_ones_run_while_threads_are_free(routers: int) -> None:
    """At 0.9 load one router served 0.92, as did the three that were left of eight: each report that ran
    counted with all of its work against the next, and a share of an eighth was taken as the rate."""
    tier = FleetModel(routers, 8, seed=3)
    for me in range(routers * 5 // 8):
        tier.kill(me)
    tier.load(10, 0.9)
    tier.until(tier.now + 12 * SECOND)
    assert tier.account.service > 0.98
