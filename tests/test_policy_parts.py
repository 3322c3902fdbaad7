"""Unit tests of the modules of the policy, without a controller."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import KEYED, SAFE, SECOND, UNSAFE, engine, settings

from slipbay.policy import gossip_codec
from slipbay.policy.actions import Cancel, SetTimer
from slipbay.policy.events import EngineEntry, Outcome, RetryBudgetRestored
from slipbay.policy.gossip_codec import LoadMessage
from slipbay.policy.key_queues import KeyQueues
from slipbay.policy.outbox import Outbox
from slipbay.policy.outlier_detection import OutlierDetector
from slipbay.policy.pressure import Pressure
from slipbay.policy.records import Attempt, ClassState, Engine, Query
from slipbay.policy.retries import RetryPolicy
from slipbay.policy.settings import InvalidSettingsError, ServiceClass


def query_of(spec: ServiceClass, number: int = 1, key: int = 0) -> Query:
    return Query(number, ClassState(spec), 0, 10 * SECOND, 1_000.0, 1_000.0, 0.0, key)


def test_a_timer_fires_once_and_an_unknown_token_does_nothing() -> None:
    outbox = Outbox()
    fired: list[int] = []
    outbox.set_timer(5, fired.append)
    assert outbox.actions == [SetTimer(1, 5)]
    for token in (2, 1, 1):
        outbox.fire(token, 7)
    assert fired == [7]


def test_pressure_ends_two_seconds_after_its_last_signal() -> None:
    pressure = Pressure()
    pressure.report(SECOND)
    assert pressure.is_on(3 * SECOND - 1)
    assert not pressure.is_on(3 * SECOND)
    pressure.extend(2 * SECOND)
    assert pressure.until_us == 3 * SECOND


@pytest.mark.parametrize(
    ("spec", "may_have_run_since", "allowed"),
    [
        (SAFE, 0, True),
        (UNSAFE, None, True),
        (UNSAFE, 0, False),
        (KEYED, 6 * SECOND, True),
        (KEYED, 0, False),
    ],
)
def test_a_retry_is_allowed_by_effect_and_deduplication_window(
    spec: ServiceClass, may_have_run_since: int | None, allowed: bool
) -> None:
    policy = RetryPolicy(settings(spec), [], Outbox())
    assert policy.may_retry(query_of(spec), 8 * SECOND, may_have_run_since, reserved=0) is allowed


def test_the_retry_budget_continues_from_an_earlier_process() -> None:
    rules = settings(free_retries=1.0, retry_share=0.0, retry_window_us=10 * SECOND)
    first = RetryPolicy(rules, [], Outbox())
    first.record_retry(SECOND)
    assert first.budget() == RetryBudgetRestored((), ((SECOND, 1.0),))
    second = RetryPolicy(rules, [], Outbox())
    assert second.may_retry(query_of(SAFE), 2 * SECOND, None, reserved=0)
    second.restore(first.budget())
    assert not second.may_retry(query_of(SAFE), 2 * SECOND, None, reserved=0)


def test_a_migration_reserves_a_retry_until_its_attempt_ends_and_cancels_once() -> None:
    outbox = Outbox()
    policy = RetryPolicy(settings(), [], outbox)
    attempt = Attempt(query_of(SAFE), 0, Engine(EngineEntry(engine(0))), 0)
    policy.migrate(attempt, SECOND)
    policy.migrate(attempt, SECOND)
    assert outbox.actions == [Cancel(1, 0)]
    assert policy.reserved() == 1
    policy.record_end(attempt)
    assert policy.reserved() == 0


def test_queries_of_one_key_run_in_order_and_wait_while_the_key_is_blocked() -> None:
    outbox = Outbox()
    queues = KeyQueues(outbox)
    first = query_of(replace(SAFE, in_order=True), 1, key=7)
    second = replace(first, id=2)
    for query in (first, second):
        query.class_state.add_queued_cost(query)
        queues.enqueue(query, 0)
    ready = first.class_state.queue
    assert [query.id for query in ready] == [1]
    ready.clear()
    queues.block(7, SECOND)
    queues.finish(first, 0)
    assert not ready
    outbox.fire(outbox.last_token, SECOND)
    assert [query.id for query in ready] == [2]


def test_a_broken_connection_makes_an_engine_unhealthy_until_successful_answers_outweigh_it() -> None:
    detector = OutlierDetector(settings(), Pressure())
    unhealthy_engine = Engine(EngineEntry(engine(0)))
    query = query_of(SAFE)
    detector.record_end(query, unhealthy_engine, Outcome.RESET, True, SECOND)
    assert unhealthy_engine.is_unhealthy
    assert detector.may_probe(unhealthy_engine, query.class_state)
    detector.record_send(unhealthy_engine)
    assert not detector.may_probe(unhealthy_engine, query.class_state)
    detector.record_end(query, unhealthy_engine, Outcome.OK, False, 2 * SECOND)
    assert not unhealthy_engine.is_unhealthy


def test_a_load_message_survives_encoding_and_malformed_ones_are_rejected() -> None:
    message = LoadMessage(9, True, {3: 4, 5: 255})
    assert gossip_codec.decode(gossip_codec.encode(message)) == message
    assert gossip_codec.decode(gossip_codec.encode(message)[:-1]) is None


def test_settings_out_of_range_raise_an_error_with_the_violated_rule() -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        settings(tick_us=0)
    assert raised.value.rule == "tick_us above 0"
