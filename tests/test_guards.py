"""Guards: one small test for each failure found, without the bench."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from helpers import SAFE, SECOND, UNSAFE, ControllerDriver, dispatches, engine, final_answers, settings

from slipbay.policy.actions import Action, Cancel, Dispatch, Reject
from slipbay.policy.events import (
    WAITS_FOR_LOAD,
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    EngineEntry,
    EngineId,
    EngineList,
    EngineState,
    ListKind,
    NoteKind,
    Outcome,
    PeerMessage,
    ProbeEnded,
    QueryArrived,
    StreamBegun,
    TimerFired,
)


def keep_well(driver: ControllerDriver, until: int, silent: EngineId) -> list[Action]:
    """Let time pass while every engine but one dispatches its notes."""
    done: list[Action] = []
    while driver.now < until:
        for e in list(driver.controller.engines.by_id.values()):
            if e.entry.engine != silent:
                done += driver.handle(
                    *[
                        AttemptNote(a.query.id, a.number, e.entry.engine, NoteKind.SHARE_DONE, 0.9)
                        for a in e.attempts.values()
                    ]
                )
        done += driver.run_until(driver.now + 200_000)
    return done


def test_silent_engine_loses_its_safe_queries_and_leaves_the_running_sum() -> None:
    driver = ControllerDriver(settings(), engines=3)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for n in range(2, 7):
        driver.submit(n, cost=100_000, group=float(n))
    hung = driver.controller.queries.by_id[1].in_flight[0].engine
    held = {a.query.id for a in hung.attempts.values()}
    done = keep_well(driver, driver.now + 3 * SECOND, hung.entry.engine)
    assert hung.is_unhealthy
    assert held == {action.query for action in done if isinstance(action, Cancel)}
    class_state = driver.controller.classes[0]
    driver.controller.bounds.predict(class_state, driver.now)
    running = sum(q.cost for q in class_state.open_queries.values() if q.id not in held)
    expected = 2 * class_state.drain_rate / SECOND * 1_500_000 - running + class_state.correction
    assert abs(class_state.bound - min(expected, 64 * class_state.largest_cost)) < 1


def test_engine_quiet_for_less_than_two_periods_stays_healthy() -> None:
    """Incident i1bdcd1: under a burst, queries queued for memory sent no note for more than one period."""
    driver = ControllerDriver(settings(), engines=3)
    driver.submit(1, cost=100_000)
    quiet = driver.controller.queries.by_id[1].in_flight[0].engine
    keep_well(driver, driver.now + 1_900_000, quiet.entry.engine)
    assert not quiet.is_unhealthy


def test_a_query_that_never_runs_is_migrated_before_its_short_time_is_over() -> None:
    """Three lookups in a hundred were taken and never run: no note comes within their time, nor an answer."""
    driver = ControllerDriver(settings(SAFE, UNSAFE, free_retries=50.0), engines=3)
    driver.submit(1, cost=20_000, expires=800_000)
    driver.submit(2, cost=20_000, expires=800_000, service_class=1)
    assert not driver.run_until(driver.now + 150_000)[1:]
    assert [a for a in driver.run_until(driver.now + 10_000) if isinstance(a, Cancel)] == [Cancel(1, 0)]


def test_unsafe_queries_stay_on_a_silent_engine() -> None:
    driver = ControllerDriver(settings(UNSAFE), engines=3)
    driver.submit(1)
    hung = driver.controller.queries.by_id[1].in_flight[0].engine
    done = keep_well(driver, driver.now + 3 * SECOND, hung.entry.engine)
    assert hung.is_unhealthy
    assert not any(isinstance(action, Cancel) for action in done)


def run(driver: ControllerDriver, sent: Dispatch, errs: Callable[[EngineId], bool]) -> int:
    """Answer a query's attempts until no further one is sent; returns how many there were."""
    for number in range(9):
        failing = errs(sent.engine)
        outcome = Outcome.ERROR if failing else Outcome.OK
        again = dispatches(driver.end_attempt(sent, outcome, number, work=1_000))
        if not again:
            return number + 1
        sent = again[0]
    raise AssertionError("attempts without end")


def test_queries_that_err_everywhere_are_not_held_against_the_engines() -> None:
    """Bad clients name what no engine knows: each of their queries made up to four engines unhealthy, took
    the
    retry budget, and left the usual queries few engines and no second attempt."""
    driver = ControllerDriver(settings(max_attempts=4, free_retries=50.0), engines=4)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for n in range(2, 12):
        assert run(driver, dispatches(driver.submit(n, cost=1_000, group=float(n)))[0], lambda e: True) == 2
        assert not any(e.is_unhealthy or e.class_errors for e in driver.controller.engines.by_id.values())


def test_an_engine_that_errs_on_one_class_gets_only_the_others() -> None:
    """Two engines of five failed every report for 10 s and ran lookups well, whose good answers cleared them:
    half of all reports went to them, and many to both in turn."""
    driver = ControllerDriver(settings(SAFE, SAFE, UNSAFE, max_attempts=4, free_retries=50.0), engines=4)
    bad = (engine(0), engine(1))
    first = driver.now
    tries = []
    for n in range(1, 200):
        for class_state in driver.controller.classes:
            class_state.bound = 1e9
        service_class = n % 2
        erring = bad if service_class else ()
        tries.append(
            run(
                driver,
                dispatches(driver.submit(n, cost=1_000, service_class=service_class, group=float(n)))[0],
                erring.__contains__,
            )
        )
    assert driver.now == first
    assert sum(n - 1 for n in tries) <= 8
    used = {a.engine for _, a in driver.actions[-100:] if isinstance(a, Dispatch)}
    assert used >= set(bad)  # they go on with what they run well
    driver.run_until(driver.now + 6 * SECOND)
    for n in range(300, 340):
        assert (
            run(
                driver,
                dispatches(driver.submit(n, cost=1_000, service_class=1, group=float(n)))[0],
                lambda e: False,
            )
            == 1
        )
    used = {a.engine for _, a in driver.actions[-40:] if isinstance(a, Dispatch)}
    assert used >= set(bad)  # they are tried again after a rest


def test_an_engine_that_errs_on_what_may_not_run_twice_is_ejected_after_three_errors() -> None:
    driver = ControllerDriver(settings(UNSAFE, max_attempts=4, free_retries=50.0), engines=4)
    failed = 0
    for n in range(1, 100):
        driver.controller.classes[0].bound = 1e9
        sent = dispatches(driver.submit(n, cost=1_000, group=float(n)))[0]
        assert run(driver, sent, lambda e: e == engine(0)) == 1
        failed += sent.engine == engine(0)
    assert failed == 3


def test_fast_failer_is_ejected_though_it_looks_idle_and_returns_after_a_while() -> None:
    driver = ControllerDriver(settings(), engines=3)
    busy = {dispatches(driver.submit(n, cost=100_000, group=float(n)))[0].engine for n in (1, 2)}
    bad = next(e for e in driver.controller.engines.by_id if e not in busy)

    def to_bad() -> int:
        driver.controller.classes[0].bound = 1e9
        before = len(driver.actions)
        first = driver.controller.outbox.last_token
        for n in range(first * 100, first * 100 + 40):
            run(driver, dispatches(driver.submit(n, cost=1_000, group=float(n)))[0], lambda e: e == bad)
        return sum(sent.engine == bad for sent in dispatches(action for _, action in driver.actions[before:]))

    assert to_bad() == 3  # until it is ejected
    driver.run_until(driver.now + 6 * SECOND)
    assert to_bad() == 1  # a look is enough: it has not got better


def test_probe_requests_to_unhealthy_engines_are_a_small_part_of_what_we_send() -> None:
    """With two queries a second, a probe request for each unhealthy engine every few seconds was most of
    the traffic."""
    driver = ControllerDriver(settings(), engines=6)
    driver.submit(1, cost=1_000)
    driver.controller.classes[0].bound = 1e9
    for number in (0, 1):
        driver.controller.engines.by_id[engine(number)].connection_error_share = 1.0
        driver.controller.engines.by_id[engine(number)].is_unhealthy = True
    probes = 0
    for n in range(2, 102):
        driver.now += 500_000
        sent = dispatches(driver.submit(n, cost=1_000, group=float(n)))[0]
        probes += sent.engine in (engine(0), engine(1))
        run(driver, sent, lambda e: e in (engine(0), engine(1)))
    assert 2 <= probes <= 7


def test_if_most_engines_look_unhealthy_queries_are_spread() -> None:
    driver = ControllerDriver(settings(), engines=3)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for number in (0, 1):
        driver.controller.engines.by_id[engine(number)].is_unhealthy = True
    used = {dispatches(driver.submit(n, cost=1_000, group=float(n)))[0].engine for n in range(2, 30)}
    assert len(used) == 3


def test_slow_engine_gets_less() -> None:
    driver = ControllerDriver(settings(), engines=3)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for number, pace in ((0, 1.0), (1, 1.0), (2, 6.0)):
        driver.controller.engines.by_id[engine(number)].pace_ratio.add(pace, 1.0, 0.03)
    targets = [dispatches(driver.submit(n, cost=1_000, group=float(n)))[0].engine for n in range(2, 32)]
    assert targets.count(engine(2)) < targets.count(engine(0)) / 2


def test_attempt_with_a_bad_plan_is_migrated_when_notes_show_it() -> None:
    driver = ControllerDriver(settings(), engines=2)
    first = dispatches(driver.submit(1, cost=100_000))[0]
    driver.now += SECOND
    done = driver.handle(AttemptNote(1, 0, first.engine, NoteKind.SHARE_DONE, 0.05))
    assert Cancel(1, 0) in done
    again = dispatches(driver.end_attempt(first, Outcome.CANCELLED))
    assert len(again) == 1
    assert again[0].engine != first.engine


def test_attempt_near_its_end_is_left_alone() -> None:
    driver = ControllerDriver(settings(), engines=2)
    first = dispatches(driver.submit(1, cost=100_000))[0]
    driver.now += SECOND
    assert driver.handle(AttemptNote(1, 0, first.engine, NoteKind.SHARE_DONE, 0.9)) == []


def test_load_keeps_loads_and_waiting_classes_of_its_group_off_its_engine() -> None:
    load = replace(UNSAFE, is_load=True)
    waits = replace(SAFE, waits_for_loads=True)
    driver = ControllerDriver(settings(load, waits, SAFE), engines=2)
    held = dispatches(driver.submit(1, group=3.0))[0].engine
    for class_state in driver.controller.classes:
        class_state.drain_rate = 1e6
        class_state.bound = 1e9
    assert all(
        dispatches(driver.submit(n, cost=1_000, service_class=1, group=3.0))[0].engine != held
        for n in range(2, 8)
    )
    assert dispatches(driver.submit(8, cost=1_000, service_class=2, group=3.0))[0].engine == held


def test_warm_group_goes_back_to_its_engine() -> None:
    driver = ControllerDriver(settings(), engines=4)
    first = dispatches(driver.submit(1, group=7.0))[0]
    driver.controller.classes[0].bound = 1e9
    driver.end_attempt(first, Outcome.OK, work=100_000)
    assert {dispatches(driver.submit(n, cost=1_000, group=7.0))[0].engine for n in (2, 3)} == {first.engine}


def test_long_query_that_runs_alone_does_not_shut_its_class() -> None:
    driver = ControllerDriver(
        settings(replace(SAFE, latency_objective_stretch=2.5, deadline_us=60 * SECOND)), engines=4
    )
    driver.submit(1, cost=400_000, expires=60 * SECOND)
    driver.run_until(driver.now + 8 * SECOND)
    assert len(dispatches(driver.submit(2, cost=400_000, expires=60 * SECOND))) == 1


def test_recovery_after_an_outage_takes_seconds_and_does_not_swing() -> None:
    driver = ControllerDriver(settings(), engines=3)
    query = 0
    for step in range(200):
        driver.run_until(driver.now + 50_000)
        query += 1
        outcome = Outcome.RESET if 40 <= step < 80 else Outcome.OK
        for sent in dispatches(driver.submit(query, cost=50_000, group=float(query))):
            attempt = 0
            for _ in range(3):
                more = dispatches(driver.end_attempt(sent, outcome, attempt=attempt, work=50_000))
                if not more:
                    break
                sent = more[0]
                attempt = attempt + 1
        if step >= 180:
            assert not any(e.is_unhealthy for e in driver.controller.engines.by_id.values())
            assert driver.controller.classes[0].correction == 0.0
            assert driver.now >= driver.controller.pressure.until_us
            assert driver.controller.classes[0].bound > 500_000


def test_stray_and_unknown_events_are_ignored() -> None:
    driver = ControllerDriver(settings(), engines=2)
    for event in (
        TimerFired(10**9),
        ClientDisconnected(5),
        AttemptNote(5, 0, engine(9), NoteKind.SPILLS, 1),
        AttemptEnded(5, 0, engine(9), Outcome.OK),
        PeerMessage(3, b"x"),
        ProbeEnded(engine(9), Outcome.OK),
        StreamBegun(5, 0, engine(9)),
        QueryArrived(6, 99, SECOND),
    ):
        assert driver.handle(event) == []
    first = dispatches(driver.submit(1))[0]
    driver.end_attempt(first, Outcome.OK)
    assert driver.handle(ClientDisconnected(1)) == []


def test_engines_and_groups_of_the_past_leave_no_records() -> None:
    """Over a long day engines are replaced by others with new ids, and clients name any group."""
    driver = ControllerDriver(settings(free_retries=50.0), engines=2)
    for n in range(1, 400):
        new = EngineEntry(n.to_bytes(6, "big"))
        driver.handle(EngineList(ListKind.DELTA, (new,)))
        for query in (2 * n, 2 * n + 1):
            run(driver, dispatches(driver.submit(query, cost=1_000, group=float(query)))[0], lambda e: False)
        driver.handle(EngineList(ListKind.DELTA, (replace(new, state=EngineState.GONE),)))
        driver.run_until(driver.now + SECOND)
    controller = driver.controller
    assert len(controller.engines.by_id) < 10
    assert len(controller.affinity.query_counts) <= 513
    assert len(controller.affinity.arcs) <= 513
    assert not controller.queries.by_id
    assert len(controller.outbox.timers) < 50


def test_a_stuck_query_is_looked_at_again_once_pressure_has_passed() -> None:
    """One sign of pressure, at the moment of the only look, left it where it was until its time was over."""
    driver = ControllerDriver(settings(free_retries=50.0), engines=3)
    driver.submit(1, cost=20_000, expires=800_000)
    driver.controller.pressure.until_us = driver.now + 200_000
    assert not [a for a in driver.run_until(driver.now + 300_000) if isinstance(a, Cancel)]
    assert [a for a in driver.run_until(driver.now + 20_000) if isinstance(a, Cancel)] == [Cancel(1, 0)]


def test_loads_of_a_group_are_spread_for_as_long_as_they_wait() -> None:
    """The first note that a load waits made us forget, a second later, those of ours that held its group: new
    loads joined the queue of one engine while others had none."""
    load = replace(UNSAFE, is_load=True, deadline_us=25 * SECOND)
    driver = ControllerDriver(settings(load), engines=3)
    driver.submit(1, group=6.0, expires=25 * SECOND)
    driver.controller.classes[0].bound = 1e9
    held = [dispatches(driver.submit(n, group=6.0, expires=25 * SECOND))[0] for n in range(2, 7)]
    engines = driver.controller.engines.by_id
    assert sorted(e.loads_of(6.0) for e in engines.values()) == [2, 2, 2]
    held[0:0] = [Dispatch(1, driver.controller.queries.by_id[1].in_flight[0].engine.entry.engine)]
    for sent in held:
        driver.handle(AttemptNote(sent.query, 0, sent.engine, NoteKind.WAITS, WAITS_FOR_LOAD))
    for sent in held:
        if sent.engine != held[0].engine:
            driver.end_attempt(sent, Outcome.OK, work=100_000)
    driver.now += 5 * SECOND
    assert dispatches(driver.submit(9, group=6.0, expires=25 * SECOND))[0].engine != held[0].engine


def test_a_query_that_cannot_end_before_its_deadline_is_rejected_at_once_and_one_that_can_is_sent() -> None:
    """Day of joins, 60 routers: clients that wait 0.1 to 0.3 s for longer queries had a third of all threads,
    and got nothing for it."""
    driver = ControllerDriver(settings(replace(SAFE, late_utility=0.4)), engines=3)
    assert driver.submit(1, cost=400_000, expires=300_000)[-1:] == [Reject(1, SECOND // 2)]
    assert dispatches(driver.submit(2, cost=200_000, expires=300_000))


def test_under_pressure_the_heavy_queries_of_a_class_are_rejected_before_its_light_ones() -> None:
    """Each has the same utility: with the mean cost of 2 s for all, 70 reports in 100 were rejected by
    chance."""
    report = replace(SAFE, utility=7.5)
    lookup = SAFE
    driver = ControllerDriver(settings(report, lookup), engines=1)
    class_state = driver.controller.classes[0]
    for n in range(8):
        driver.submit(n, cost=2 * SECOND)
        driver.submit(100 + n, service_class=1)
    class_state.queued_cost = 0.0
    class_state.bound = 1e9
    driver.controller.engines.threads_in_flight = 99
    driver.controller.pressure.until_us = 1000 * SECOND
    driver.controller.end_sampling_period(driver.now)
    class_state.rejected_light = 3  # queries of any cost found the bound full in this second
    driver.controller.end_sampling_period(driver.now)
    assert class_state.cost_limit == 0.6 * class_state.largest_cost
    class_state.bound = 1e9
    assert [type(action) for action in final_answers(driver.submit(50, cost=2 * SECOND))] == [Reject]
    assert not final_answers(driver.submit(51, cost=SECOND // 4))
    driver.controller.engines.threads_in_flight = 0  # free threads: cost is no reason
    assert not final_answers(driver.submit(52, cost=2 * SECOND))
    for _ in range(4):
        driver.controller.end_sampling_period(driver.now)
    assert class_state.cost_limit == class_state.largest_cost


def test_the_class_with_most_utility_for_its_work_fills_engines_up_to_twice_their_bound() -> None:
    """Routers that cannot tell each other what they hold made it wait behind the others' threads."""
    lookup = replace(SAFE, utility=10.0)
    report = SAFE
    driver = ControllerDriver(settings(report, lookup, supports_priority=True), engines=1)
    driver.controller.pressure.until_us = 1000 * SECOND
    bound = int(1.6 * 8) + 1
    assert dispatches(driver.submit(99, service_class=1))
    assert sum(len(dispatches(driver.submit(n))) for n in range(40)) == bound - 1
    assert (
        sum(len(dispatches(driver.submit(n, service_class=1))) for n in range(100, 140)) == 2 * bound - bound
    )
