"""The normal path of the policy, compared with values calculated by hand.

The equations are those of "A Predictive-Reactive Method for Improving the Robustness of Real-Time Data
Services" (the paper). The target for the mean delay is 0.7 of the latency objective of 2 s: 1.4 s.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SAFE, SECOND, ControllerDriver, dispatches, engine, final_answers, settings

from slipbay.policy.actions import Reject
from slipbay.policy.events import EngineEntry, Outcome


def report_pressure(driver: ControllerDriver) -> None:
    """End an attempt with ``FULL``, which the policy takes as a signal of pressure."""
    sent = dispatches(driver.submit(9000, cost=1))[0]
    driver.end_attempt(sent, Outcome.FULL)
    retry = dispatches(action for _, action in driver.actions[-9:])[-1]
    driver.end_attempt(retry, Outcome.OK, attempt=1, work=1)


def test_first_bound_follows_equation_8() -> None:
    # drain rate = first cost x engines / latency objective = 0.1 s x 4 / 2 s = 0.2 s of cost per second;
    # no query is queued or running: bound = 0.2 x 2 x (0.7 x 2 s + 0.1 s of mean run time) = 0.6 s of cost.
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=100_000)
    assert driver.controller.classes[0].bound == pytest.approx(600_000)


def test_query_that_does_not_fit_is_rejected_at_once_and_a_light_one_is_not() -> None:
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=100_000)
    driver.now += 4 * SECOND
    assert final_answers(driver.submit(2, cost=600_001)) == [Reject(2, SECOND // 2)]
    assert len(dispatches(driver.submit(3, cost=500_000))) == 1


def test_running_cost_and_age_of_queued_queries_lower_the_bound() -> None:
    driver = ControllerDriver(settings(kind_cores=(1.0,), max_attempts=5), engines=1)
    driver.submit(1, cost=100_000)
    class_state = driver.controller.classes[0]
    class_state.drain_rate = 1_000_000.0  # 1 s of cost per second
    driver.controller.bounds.predict(class_state, driver.now)
    # drain rate 1 x horizon 2 x (1.4 s mean delay + 0.1 s mean run time - 0 s age) - 0.1 s of running cost
    assert class_state.bound == pytest.approx(2_900_000)
    driver.controller.pressure.until_us = 100 * SECOND
    driver.submit(2, cost=100_000)
    driver.submit(3, cost=100_000)
    driver.submit(4, cost=100_000)
    queued = list(class_state.queue)
    assert [query.id for query in queued] == [3, 4]
    driver.now += 400_000
    driver.controller.bounds.predict(class_state, driver.now)
    # both queued queries arrived 0.4 s ago: 1 x 2 x (1.4 s + 0.1 s - 0.4 s) - 0.2 s of running cost
    assert class_state.bound == pytest.approx(2_000_000)


def test_running_work_counts_up_to_what_its_threads_do_within_the_horizon() -> None:
    """A running query of 40 s of cost on two of 64 cores must not cause rejections while threads are free."""
    driver = ControllerDriver(settings(replace(SAFE, late_utility=0.4)), engines=4)
    for n in range(1, 10):
        driver.submit(n, cost=100_000)
    assert len(dispatches(driver.submit(10, cost=40 * SECOND, expires=90 * SECOND))) == 1
    class_state = driver.controller.classes[0]
    class_state.drain_rate = 2.0 * SECOND
    horizon = 2 * (1.4 * SECOND + class_state.mean_cost)
    assert horizon < 40 * SECOND
    driver.controller.bounds.predict(class_state, driver.now)
    assert class_state.bound == pytest.approx(2 * horizon - 900_000 - horizon)


def test_rate_is_not_below_what_the_threads_in_use_drain() -> None:
    """When three of eight routers are left, they use more threads than an eighth of the drain rate serves."""
    # local share: 1.6 x 4 x 8 / 8 = 6.4 threads
    driver = ControllerDriver(settings(router_count=8), engines=4)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    for n in range(2, 21):
        driver.submit(n, cost=100_000)
    class_state = driver.controller.classes[0]
    class_state.drain_rate = 1.0
    driver.controller.end_sampling_period(driver.now)
    assert class_state.drain_rate == pytest.approx(0.2 * 20 * SECOND, rel=1e-3)


def test_pi_step_follows_the_papers_law() -> None:
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=100_000)
    class_state = driver.controller.classes[0]
    class_state.drain_rate = 1_000_000.0
    class_state.last_error_s = 0.1
    class_state.answers = 1
    class_state.waiting_us = 1_900_000.0  # waiting time of all answers; error = 0.7 x 2 s - 1.9 s = -0.5 s
    driver.controller.end_sampling_period(driver.now)
    # The queue is empty, so the drain rate moves by the sample weight 0.2 towards the potential rate:
    # 4 engines x 8 cores x 0.85 s of cost per core and second.
    rate = 1_000_000 + 0.2 * (4 * 8 * 0.85 * 1_000_000 - 1_000_000)
    # K_P x ((K_I + 1) x error - last error) x plant gain (equation 10) x drain rate
    step = 4.93 * (6.36 * -0.5 - 0.1) * 0.0142 * rate
    assert class_state.correction == pytest.approx(step)
    assert class_state.last_error_s == pytest.approx(-0.5)


def test_correction_is_kept_without_answers_while_queries_are_queued_and_resets_when_idle() -> None:
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=100_000)
    class_state = driver.controller.classes[0]
    class_state.correction = -50_000.0
    class_state.queue.append(next(iter(class_state.open_queries.values())))
    driver.controller.end_sampling_period(driver.now)
    assert class_state.correction == -50_000.0
    class_state.queue.clear()
    driver.controller.end_sampling_period(driver.now)
    assert class_state.correction == 0.0


def test_bound_stays_between_zero_and_max_data() -> None:
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=100_000)
    class_state = driver.controller.classes[0]
    class_state.drain_rate = 1e12
    driver.controller.bounds.predict(class_state, driver.now)
    assert class_state.bound == 64 * 100_000
    class_state.drain_rate = 1.0
    class_state.correction = -1e9
    driver.controller.bounds.predict(class_state, driver.now)
    assert class_state.bound == 0.0


def test_bound_is_reset_once_a_second() -> None:
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=100_000)
    before = driver.controller.classes[0].bound
    driver.run_until(SECOND + 900_000)
    assert driver.controller.classes[0].bound == before
    driver.run_until(2 * SECOND + 100_000)
    assert driver.controller.classes[0].bound != before


def test_missing_cost_estimate_is_the_mean_of_earlier_estimates() -> None:
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=200_000)
    driver.submit(2, cost=None)
    assert driver.controller.queries.by_id[2].cost == pytest.approx(200_000)
    empty_driver = ControllerDriver(settings(), engines=4)
    empty_driver.submit(1, cost=None)
    assert empty_driver.controller.queries.by_id[1].cost == SAFE.latency_objective_us


def test_estimated_cost_is_corrected_by_measured_work() -> None:
    driver = ControllerDriver(settings(), engines=4)
    sent = dispatches(driver.submit(1, cost=100_000))[0]
    driver.end_attempt(sent, Outcome.OK, work=300_000)
    driver.submit(2, cost=50_000)
    assert driver.controller.queries.by_id[2].cost == pytest.approx(150_000)


def test_without_pressure_engines_with_the_fewest_threads_are_used_without_a_bound() -> None:
    driver = ControllerDriver(settings(kind_cores=(1.0,)), engines=2)
    driver.submit(1, cost=100_000)
    driver.controller.classes[0].bound = 1e9
    targets = [dispatches(driver.submit(n, cost=1_000, group=float(n)))[0].engine for n in range(2, 21)]
    targets.append(dispatches(action for _, action in driver.actions)[0].engine)
    assert abs(targets.count(engine(0)) - targets.count(engine(1))) <= 1


def test_under_pressure_queued_queries_are_sent_first_in_first_out() -> None:
    driver = ControllerDriver(settings(kind_cores=(1.0,)), engines=1)
    report_pressure(driver)
    driver.controller.classes[0].bound = 1e9
    running = [sent for n in range(1, 7) for sent in dispatches(driver.submit(n, cost=1_000))]
    assert [sent.query for sent in running] == [1, 2]  # 1.6 threads per core, exceeded by one query
    order = []
    while running:
        released = dispatches(driver.end_attempt(running.pop(0), Outcome.OK, work=1_000))
        order += [sent.query for sent in released]
        running += released
    assert order == [3, 4, 5, 6]


def test_queued_query_that_cannot_be_in_time_is_rejected_before_its_latency_objective_passes() -> None:
    driver = ControllerDriver(settings(kind_cores=(1.0,)), engines=1)
    report_pressure(driver)
    class_state = driver.controller.classes[0]
    class_state.bound = 1e9
    for n in range(1, 4):
        driver.submit(n, cost=100_000)
    assert [query.id for query in class_state.queue] == [3]
    driver.controller.pressure.until_us = 100 * SECOND
    assert Reject(3, SECOND // 2) in driver.run_until(driver.now + 2 * SECOND)
    assert driver.now < SECOND + SAFE.latency_objective_us + 200_000


def test_most_urgent_class_is_sent_first() -> None:
    less_urgent = replace(SAFE, latency_objective_us=8 * SECOND)
    driver = ControllerDriver(settings(less_urgent, SAFE, kind_cores=(1.0,)), engines=1)
    report_pressure(driver)
    for class_state in driver.controller.classes:
        class_state.drain_rate = 1e6
        class_state.bound = 1e9
    running = [s for n in (1, 2) for s in dispatches(driver.submit(n, cost=1_000))]
    driver.submit(3, cost=1_000, service_class=0)
    driver.now += 100_000
    driver.submit(4, cost=1_000, service_class=1)
    driver.now += 300_000
    assert [s.query for s in dispatches(driver.end_attempt(running[0], Outcome.OK, work=1_000))] == [4]


def test_a_query_stays_in_its_zone_unless_the_other_zone_has_clearly_fewer_threads_in_use() -> None:
    """Guards against group arcs over the whole fleet: two queries in five crossed zones, which costs more."""
    entries = [EngineEntry(engine(n), zone=n % 2) for n in range(6)]
    driver = ControllerDriver(settings(free_retries=50.0, zone=1), engines=entries)
    zones = {entry.engine: entry.zone for entry in entries}
    for n in range(1, 60):
        driver.controller.classes[0].bound = 1e9
        sent = dispatches(driver.submit(n, cost=1_000, group=float(n % 7)))[0]
        assert zones[sent.engine] == 1
        driver.end_attempt(sent, Outcome.OK, work=1_000)
    queued = [dispatches(driver.submit(n, cost=1_000, group=float(n)))[0] for n in range(100, 112)]
    assert {zones[sent.engine] for sent in queued} == {0, 1}


def test_a_light_first_query_does_not_cause_rejections_before_a_rate_is_learned() -> None:
    """Guards against rejections after a start: one query in thirty, although no query was queued."""
    driver = ControllerDriver(settings(), engines=4)
    driver.submit(1, cost=1_000)
    assert driver.controller.classes[0].bound < 100_000
    assert len(dispatches(driver.submit(2, cost=100_000))) == 1
    driver.controller.pressure.until_us = driver.now + 1
    assert final_answers(driver.submit(3, cost=100_000)) == [Reject(3, SECOND // 2)]
