"""Many routers with little traffic each, engines that restart at the same time, and paused routers."""

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
LIMIT = 4.0 * 0.4 * 8 * engine_table.CORE_WORK * SECOND  # work that the cold engine may get in a window


def work_sent(restart_every: int, seconds: int = 12) -> list[tuple[int, float]]:
    """Send queries through many routers with a skewed distribution; some routers restart repeatedly.

    Returns the time and work of each dispatch to the cold engine.
    """
    random = Random(3)
    work = 200_000
    fleet = [
        Controller(replace(RULES, router_number=router_index), router_index)
        for router_index in range(ROUTERS)
    ]
    engine_list = EngineList(ListKind.CACHED, (COLD,))
    for driver in fleet:
        driver.handle(SECOND, [engine_list])
    sent = []
    query = 0
    for now in range(SECOND, (seconds + 1) * SECOND, 2_000):
        router_index = int(ROUTERS * random.random() ** 2)  # the first routers get the most traffic
        query += 1
        if restart_every and query % restart_every == 0:
            fleet[router_index] = Controller(replace(RULES, router_number=router_index), query)
            fleet[router_index].handle(now, [engine_list])
        actions = fleet[router_index].handle(now, [QueryArrived(query, 0, 10 * SECOND, work)])
        sent += [(now, float(work)) for _ in dispatches(actions)]
    return sent


def max_window_work(sent: list[tuple[int, float]]) -> float:
    return max(sum(work for at, work in sent if start <= at < start + SECOND) for start, _ in sent)


@pytest.mark.parametrize("restart_every", [0, 7])
def test_hundreds_of_routers_use_a_cold_engine_and_do_not_overload_it(restart_every: int) -> None:
    sent = work_sent(restart_every)
    assert max_window_work(sent) <= LIMIT
    assert sum(work for _, work in sent) > 0.1 * LIMIT * 12  # the engine is still used while it warms up


@pytest.mark.parametrize("under_pressure", [False, True])
def test_router_with_the_time_slot_prefers_the_cold_engine(under_pressure: bool) -> None:
    """Guards against cold engines that get only a few hundredths of their budget.

    Warm engines ranked higher on all routers. Under pressure, a router with a time slot could use it only if
    it also won the lottery for free threads, as 1 of 200 does.
    """
    cold = EngineEntry(engine(1), ready_at_us=SECOND)
    rules = settings(
        replace(SAFE, utility=90), SAFE, cold_multiple=4.0, ramp_us=30 * SECOND, may_gossip=under_pressure
    )
    driver = ControllerDriver(rules, [EngineEntry(engine(0)), cold])
    driver.run_until(3 * SECOND)
    if under_pressure:
        router = driver.controller
        router.engines.router_count = 200
        router.gossip.sums_at_us = driver.now
        router.pressure.until_us = driver.now + SECOND
    assert dispatches(driver.submit(1, service_class=1, cost=100_000))[0].engine == cold.engine


@pytest.mark.parametrize(
    ("lottery", "peer_threads_held", "sent"), [(0.999, 0, 1), (0.5, 0, 0), (0.999, 40, 0)]
)
def test_router_without_the_time_slot_sends_a_cold_engine_one_query_by_lottery_until_the_next_sum(
    lottery: float, peer_threads_held: int, sent: int
) -> None:
    """Guards against idle time slots of routers with little traffic, and bursts after one won lottery."""
    driver = ControllerDriver(replace(RULES, may_gossip=True), [COLD])
    driver.now = 3 * SECOND + 1
    router = driver.controller
    cold = driver.controller.engines.by_id[COLD.engine]
    assert not dispatches(driver.submit(1))  # no time slot, and no reported threads
    for query in (2, 3, 4):
        router.gossip.sums_at_us = 3 * SECOND
        cold.lottery_draw = lottery
        cold.peer_threads = peer_threads_held
        driver.submit(query)
    assert len(dispatches(action for _, action in driver.actions)) == sent


def test_these_routers_overload_the_engine_without_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "has_room", lambda *_: True)
    assert max_window_work(work_sent(0, seconds=2)) > LIMIT


def test_engine_that_refused_a_connection_counts_as_cold_before_the_list_reports_it() -> None:
    """Engines may restart cold seconds before the list reports it; full load then makes them fail."""
    driver = ControllerDriver(settings(router_count=50), engines=2)
    first = dispatches(driver.submit(1))[0]
    driver.end_attempt(first, Outcome.CONNECT_FAILED)
    refusing_engine = driver.controller.engines.by_id[first.engine]
    assert refusing_engine.capacity(driver.now, driver.controller.settings) == pytest.approx(0.4)
    new_entry = EngineEntry(first.engine, ready_at_us=driver.now)
    driver.now += 20 * SECOND
    driver.handle(EngineList(ListKind.DELTA, (new_entry,)))
    assert refusing_engine.capacity(driver.now, driver.controller.settings) == 1.0


def test_new_process_starts_without_the_groups_locks_and_symptoms_of_the_old_one() -> None:
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


def test_removed_engine_keeps_its_attempts_and_charges() -> None:
    driver = ControllerDriver(settings(), engines=2)
    removed = dispatches(driver.submit(1))[0].engine
    listed = tuple(EngineEntry(engine(n)) for n in range(2) if engine(n) != removed)
    driver.handle(EngineList(ListKind.FULL, listed))
    driver.run_until(driver.now + 4 * SECOND)
    assert any(action == Cancel(1, 0) for _, action in driver.actions)  # still checked for missing notes
    driver.handle(EngineList(ListKind.FULL, (*listed, EngineEntry(removed))))
    assert driver.controller.engines.by_id[removed].threads == 1


def test_lock_stays_until_the_last_load_of_the_group_has_ended() -> None:
    driver = ControllerDriver(settings(replace(UNSAFE, is_load=True)), engines=1)
    loads = dispatches(driver.submit(1, group=3.0) + driver.submit(2, cost=1_000, group=3.0))
    assert len(loads) == 2
    driver.end_attempt(loads[0], Outcome.OK)
    assert 3.0 in driver.controller.engines.by_id[engine(0)].locked_groups
    driver.end_attempt(loads[1], Outcome.OK)
    assert 3.0 not in driver.controller.engines.by_id[engine(0)].locked_groups


def test_full_engine_gets_almost_no_queries_for_a_while() -> None:
    """Guards against a hung engine that is full and rejects all queries, and so looks the least loaded."""
    driver = ControllerDriver(settings(), engines=3)
    first = dispatches(driver.submit(1))[0]
    driver.end_attempt(first, Outcome.FULL)
    driver.controller.classes[0].bound = 1e9
    driver.controller.pressure.until_us = 0
    other_engines = [dispatches(driver.submit(n, cost=1_000, group=float(n)))[0].engine for n in range(2, 12)]
    assert other_engines.count(first.engine) <= 1


def test_slow_unhealthy_engine_among_engines_without_answers_is_handled() -> None:
    """Guards against a division by a thread share of 0."""
    driver = ControllerDriver(settings(), engines=2)
    driver.submit(1, cost=1_000)
    for e in driver.controller.engines.by_id.values():
        e.is_unhealthy = True
    driver.controller.engines.by_id[engine(0)].pace_ratio.add(9.0, 1.0, 0.03)
    assert len(dispatches(driver.submit(2, cost=1_000))) == 1


def test_query_that_waits_for_a_load_restarts_on_another_engine() -> None:
    driver = ControllerDriver(settings(replace(SAFE, waits_for_loads=True)), engines=2)
    first = dispatches(driver.submit(1))[0]
    done = driver.handle(AttemptNote(1, 0, first.engine, NoteKind.WAITS, WAITS_FOR_LOAD))
    assert Cancel(1, 0) in done
    again = dispatches(driver.end_attempt(first, Outcome.CANCELLED))
    assert again[0].engine != first.engine


def test_list_in_the_same_batch_is_applied_before_a_timer_or_a_query() -> None:
    driver = ControllerDriver(settings(), engines=2)
    draining_list = EngineList(ListKind.DELTA, (EngineEntry(engine(0), state=EngineState.DRAINING),))
    queries = [QueryArrived(n, 0, 10 * SECOND, 1_000) for n in range(1, 7)]
    assert {sent.engine for sent in dispatches(driver.handle(*queries, draining_list))} == {engine(1)}


def test_pause_of_the_router_makes_no_engine_unhealthy_and_bounds_the_accumulated_queries() -> None:
    driver = ControllerDriver(settings(kind_cores=(1.0,)), engines=4)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for n in range(2, 5):
        driver.submit(n, cost=100_000, group=float(n))
    driver.run_until(2 * SECOND)
    driver.now += 4 * SECOND
    due_timers = [TimerFired(token) for at, token in driver.timers if at <= driver.now]
    accumulated = [QueryArrived(n, 0, 10 * SECOND, 50_000, group=float(n)) for n in range(10, 40)]
    actions = driver.handle(*due_timers, *accumulated)
    assert not any(e.is_unhealthy for e in driver.controller.engines.by_id.values())
    assert not any(isinstance(action, Cancel) for action in actions)
    assert len(dispatches(actions)) <= 4 * 1.6 + 1


def test_total_of_threads_is_bounded_if_the_share_of_an_engine_is_less_than_one_thread() -> None:
    heavy = replace(SAFE, threads=2, latency_objective_us=8 * SECOND)
    driver = ControllerDriver(settings(SAFE, heavy, router_count=100, kind_cores=(8.0,)), engines=40)
    driver.submit(1, cost=1_000)
    driver.submit(2, cost=1_000_000, service_class=1)
    for class_state in driver.controller.classes:
        class_state.bound = 1e9
    driver.controller.pressure.until_us = 100 * SECOND
    more = [dispatches(driver.submit(n, cost=1_000_000, service_class=1)) for n in range(3, 9)]
    assert sum(map(len, more)) == 2  # 1.6 x 40 x 8 / 100 = 5.1 threads, 3 already in use
    # the class with the highest utility per work is not held back
    assert len(dispatches(driver.submit(9, cost=1_000))) == 1


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
    for router_index in range(8):
        driver = ControllerDriver(settings(router_count=8, router_number=router_index), engines=20)
        driver.submit(1, cost=1_000)
        for n, group in enumerate(Random(router_index).sample(groups, 400), start=2):
            driver.controller.classes[0].bound = 1e9
            if n % 40 == 0:
                driver.run_until(driver.now + SECOND)
            for sent in dispatches(driver.submit(n, cost=1_000, group=group)):
                driver.end_attempt(sent, Outcome.OK, work=1_000)
                if n > 200:
                    targets.setdefault(group, set()).add(sent.engine)
    assert sum(map(len, targets.values())) / len(targets) < 8  # of 20; random selection would use nearly all


def test_engine_checks_per_event_do_not_grow_with_engines_times_classes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    classes = [SAFE] * 6
    checked_engines = 0
    original = EngineSelector.is_allowed

    def counting_is_allowed(self: EngineSelector, *args: Any) -> bool:
        nonlocal checked_engines
        checked_engines += 1
        return original(self, *args)

    monkeypatch.setattr(EngineSelector, "is_allowed", counting_is_allowed)
    driver = ControllerDriver(settings(*classes, router_count=100), engines=200)
    for n, _ in enumerate(classes):
        driver.submit(n, service_class=n, cost=1_000)
    assert checked_engines <= 200 * len(classes)  # one check of each engine for each query that is sent
    driver.controller.pressure.until_us = 100 * SECOND
    for n, _ in enumerate(classes):
        driver.controller.classes[n].bound = 1e9
        for query in range(20):
            driver.submit(100 * n + 100 + query, service_class=n, cost=1_000)
    checked_engines = 0
    # queued queries of many classes: no check of engines for classes without room
    driver.handle(TimerFired(10**9))
    assert checked_engines <= 200
    checked_engines = 0
    driver.run_until(driver.now + 90_000)
    assert checked_engines <= 200
    idle = ControllerDriver(settings(*classes, router_count=100), engines=200)
    checked_engines = 0
    idle.run_until(idle.now + 5 * SECOND)
    assert checked_engines == 0


def test_empty_list_with_queued_queries_is_handled() -> None:
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


@pytest.mark.parametrize(("engines", "max_calls"), [(8, 200), (80, 650), (400, 2700)])
def test_calls_per_query_grow_no_faster_than_the_number_of_engines(engines: int, max_calls: int) -> None:
    """Guards against work for each pair of engines, or for each engine at each event.

    The test counts calls of the policy's functions for a query and its later events. The first counts were
    147, 530 and 2,224.
    """
    tier = FleetModel(3, engines)
    tier.load(2, 0.7 * 8 / engines)
    queries_before = tier.account.received.total()
    with cProfile.Profile() as profile:
        tier.load(4, 0.7 * 8 / engines)
    calls = sum(
        entry.callcount
        for entry in profile.getstats()
        if isinstance(entry.code, CodeType) and "slipbay/policy" in entry.code.co_filename
    )
    assert calls < max_calls * (tier.account.received.total() - queries_before)


def test_capacity_of_a_cold_engine_grows_linearly_over_its_ramp() -> None:
    """Guards against cold engines that are limited to their initial share for half of their ramp.

    In that case, 18 cold engines had 2 to 3 threads in use each while 12 warm ones had 12 to 18.
    """
    entry = EngineEntry(engine(0), ready_at_us=SECOND)
    driver = ControllerDriver(settings(cold_share=0.4, ramp_us=10 * SECOND), [entry])
    cold = driver.controller.engines.by_id[engine(0)]
    shares = [cold.capacity(at * SECOND, driver.controller.settings) for at in (0, 1, 3, 6, 11, 60)]
    assert shares == pytest.approx([0.4, 0.4, 0.52, 0.7, 1.0, 1.0])


@pytest.mark.parametrize("routers", [1, 8])
def test_running_long_reports_cause_no_rejections_while_threads_are_free(routers: int) -> None:
    """Guards against rejections of reports while threads are free.

    At 0.9 load, one router served 0.92, and so did three routers left of eight: the bound counted the full
    work of each running report, and the drain rate was that of an eighth of the engines.
    """
    tier = FleetModel(routers, 8, seed=3)
    for router_index in range(routers * 5 // 8):
        tier.kill(router_index)
    tier.load(10, 0.9)
    tier.until(tier.now + 12 * SECOND)
    assert tier.account.service > 0.98
