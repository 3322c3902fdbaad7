"""The ledger, recovery and the retry budget, without I/O, including histories with crashes."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from helpers import SECOND, ControllerDriver, dispatches, engine, settings
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from slipbay.idempotency import recovery, retry_budget
from slipbay.idempotency.digest import digest
from slipbay.idempotency.key_record import ANSWER, Change, Intent, KeyOutcome, KeyPhase, KeyRecord
from slipbay.idempotency.ledger import KeyDecision, Ledger, RetentionLimits
from slipbay.idempotency.recovery import ListedEngine, RecoveredOutcome, RecoveryMethod, RecoveryProgress
from slipbay.policy.events import EngineEntry, Outcome, RetryBudgetRestored

ONE = digest(b"one")
OTHER = digest(b"other")


def intent(attempt: int = 0, at: int = 0, wire: str = "http", thread: int = 0) -> Intent:
    return Intent(attempt, b"s-1", 5, wire, "9b1f", thread, at, at + SECOND)


def apply(store: dict[bytes, bytes], changes: list[Change]) -> None:
    for key, value in changes:
        if value is None:
            store.pop(key, None)
        else:
            store[key] = value


KEYS = st.sampled_from([b"a", b"b"])


class KeyHistories(RuleBasedStateMachine):
    """Histories of two keys that clients repeat.

    Attempts are sent, run or do not run, and end or never report an end; the router crashes. After a crash
    the store holds any prefix of the appended changes that contains all changes reported as durable.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger(RetentionLimits(retention_us=100))
        self.now = 0
        self.log: list[Change] = []  # all appended changes
        self.durable = 0  # length of the durable prefix of the log
        self.pending: list[tuple[KeyRecord, int, int]] = []  # record, attempt, log length when durable
        self.runs: Counter[bytes] = Counter()  # executions by key since the key was last free
        self.sent: dict[bytes, bool] = {}  # attempts sent, by key: whether the engine has run them
        self.attempts: Counter[bytes] = Counter()
        self.answers: dict[bytes, bytes] = {}
        self.rejected: set[bytes] = set()

    def append(self, changes: list[Change]) -> None:
        self.log += changes

    @rule(key=KEYS, other=st.booleans())
    def a_client_asks(self, key: bytes, other: bool) -> None:
        record = self.ledger.records.get(key)
        decision = self.ledger.decide(key, OTHER if other else ONE, True, self.now)
        if record is not None and record.digest != (OTHER if other else ONE):
            assert decision is KeyDecision.CONFLICT
        elif decision is KeyDecision.NEW:
            assert record is None
            self.attempts[key] = 0
        elif decision is KeyDecision.REPLAY:
            assert self.answers[key] == self.stored()[ANSWER + key]
            assert self.runs[key] == 1

    def stored(self) -> dict[bytes, bytes]:
        store: dict[bytes, bytes] = {}
        apply(store, self.log)
        return store

    @rule(key=KEYS)
    def an_attempt_is_decided(self, key: bytes) -> None:
        record = self.ledger.records.get(key)
        if (
            record is not None
            and record.phase is not KeyPhase.ENDED
            and not record.may_have_been_sent
            and all(entry[0] is not record for entry in self.pending)
        ):
            self.append(self.ledger.record_intent(record, intent(self.attempts[key], self.now), self.now))
            self.pending.append((record, self.attempts[key], len(self.log)))
            self.attempts[key] += 1

    @rule(count=st.integers(1, 5))
    def the_disk_syncs(self, count: int) -> None:
        self.durable = min(len(self.log), self.durable + count)
        for entry in [entry for entry in self.pending if entry[2] <= self.durable]:
            self.pending.remove(entry)
            if self.ledger.permit_send(entry[0], entry[1]):
                assert entry[0].key not in self.sent
                self.sent[entry[0].key] = False

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def an_engine_runs_it(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.sent)))
        if not self.sent[key]:
            self.sent[key] = True
            self.runs[key] += 1

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), notified=st.booleans())
    def an_attempt_ends(self, data: st.DataObject, notified: bool) -> None:
        key = data.draw(st.sampled_from(sorted(self.sent)))
        record = self.ledger.records[key]
        assert record.intent is not None
        if self.sent.pop(key):
            self.answers[key] = b"answer %d" % self.now
            self.append(self.ledger.record_served(record, self.answers[key], notified, self.now))
        else:
            self.ledger.mark_not_run(record, record.intent.attempt)

    @rule(key=KEYS, reject=st.booleans())
    def a_client_is_answered(self, key: bytes, reject: bool) -> None:
        record = self.ledger.records.get(key)
        if record is None or record.phase is KeyPhase.ENDED:
            return
        if reject and not record.may_have_been_sent:
            assert not self.runs[key]
            self.append(self.ledger.record_rejected(record))
        else:
            self.append(self.ledger.record_failed(record, True, self.now))

    @rule(us=st.integers(1, 40))
    def time_passes(self, us: int) -> None:
        self.now += us
        before = dict(self.ledger.records)
        self.append(self.ledger.expire(self.now))
        for key in before.keys() - self.ledger.records.keys():  # the retention period has passed
            assert before[key].changed_us <= self.now - 100
            self.runs[key] = 0
            self.sent.pop(key, None)

    @rule(lost=st.integers(0, 20), clock_back=st.integers(0, 60))
    def the_router_crashes(self, lost: int, clock_back: int) -> None:
        self.log = self.log[: max(self.durable, len(self.log) - lost)]
        self.durable = len(self.log)
        store = self.stored()
        self.now = max(0, self.now - clock_back)
        self.pending = []
        ledger = Ledger(RetentionLimits(retention_us=100))
        for record in ledger.load(store.items()):
            self.attempts[record.key] = 9
            # the engine may or may not have kept the outcome
            has_run = self.sent.get(record.key)
            is_kept = self.now % 2
            if has_run and is_kept:
                self.answers[record.key] = b"learned"
                self.append(ledger.record_served(record, b"learned", False, self.now))
            else:
                self.append(ledger.record_failed(record, False, self.now))
        self.ledger = ledger
        self.sent = {}
        self.durable = len(self.log)

    @invariant()
    def nothing_runs_twice(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def what_may_run_or_ran_is_recorded(self) -> None:
        for key in {key for key, count in self.runs.items() if count} | self.sent.keys():
            assert key in self.ledger.records


KeyHistories.TestCase.settings = hypothesis_settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestKeyHistories = KeyHistories.TestCase


def ended(
    limits: RetentionLimits | None = None, answer: bytes = b"rows"
) -> tuple[Ledger, dict[bytes, bytes]]:
    ledger = Ledger(limits)
    store = dict[bytes, bytes]()
    assert ledger.decide(b"k", ONE, True, 0) is KeyDecision.NEW
    record = ledger.records[b"k"]
    apply(store, ledger.record_intent(record, intent(), 1))
    assert ledger.permit_send(record, 0)
    apply(store, ledger.record_served(record, answer, True, 2))
    return ledger, store


def test_an_answer_within_the_size_limit_is_stored_and_found_after_a_restart() -> None:
    ledger, store = ended()
    assert ledger.decide(b"k", ONE, True, 3) is KeyDecision.REPLAY
    assert store[ANSWER + b"k"] == b"rows"
    restarted = Ledger()
    assert restarted.load(store.items()) == []
    assert restarted.decide(b"k", ONE, True, 3) is KeyDecision.REPLAY
    assert restarted.decide(b"k", OTHER, True, 3) is KeyDecision.CONFLICT
    ledger, store = ended(RetentionLimits(max_answer_bytes=3))
    assert ledger.decide(b"k", ONE, True, 3) is KeyDecision.ANSWER_NOT_STORED
    assert ANSWER + b"k" not in store


def test_keys_expire_after_the_retention_period_and_not_earlier_if_the_clock_is_set_back() -> None:
    ledger, store = ended(RetentionLimits(retention_us=100))
    assert ledger.expire(101) == []
    assert ledger.expire(50) == []
    restarted = Ledger(RetentionLimits(retention_us=100))
    restarted.load(store.items())
    assert restarted.expire(1) == []
    assert restarted.advance_clock(1) == 2
    changes = restarted.expire(102)
    assert {key for key, _ in changes} == set(store)
    assert all(value is None for _, value in changes)
    assert restarted.decide(b"k", ONE, True, 103) is KeyDecision.NEW


def test_an_answer_that_arrives_after_the_client_was_notified_of_a_failure_is_stored() -> None:
    ledger, _ = ended()
    ledger.decide(b"late", ONE, True, 0)
    record = ledger.records[b"late"]
    ledger.record_intent(record, intent(), 1)
    assert ledger.permit_send(record, 0)
    ledger.record_failed(record, True, 2)
    assert ledger.decide(b"late", ONE, True, 3) is KeyDecision.MAY_HAVE_RUN
    assert ledger.record_served(record, b"rows", False, 4)
    assert ledger.decide(b"late", ONE, True, 5) is KeyDecision.REPLAY
    assert record.client_notified
    assert ledger.record_served(record, b"others", False, 6) == []
    assert ledger.record_failed(record, True, 6) == []


def test_changes_that_could_not_be_written_are_rewritten_with_the_present_state() -> None:
    ledger, store = ended()
    record = ledger.records[b"k"]
    changes = ledger.rewrite([b"rk", ANSWER + b"k", b"rgone"])
    assert [(key, value is None) for key, value in changes] == [
        (ANSWER + b"k", True),
        (b"rgone", True),
        (b"rk", False),
    ]
    apply(store, changes)
    assert record.answer_bytes == -1
    assert ledger.decide(b"k", ONE, True, 9) is KeyDecision.ANSWER_NOT_STORED
    restarted = Ledger()
    restarted.load(store.items())
    assert restarted.decide(b"k", ONE, True, 9) is KeyDecision.ANSWER_NOT_STORED


def test_an_attempt_is_not_sent_if_it_was_abandoned_before_its_intent_was_durable() -> None:
    ledger = Ledger()
    store = dict[bytes, bytes]()
    ledger.decide(b"k", ONE, True, 0)
    record = ledger.records[b"k"]
    apply(store, ledger.record_intent(record, intent(), 1))
    apply(store, ledger.record_failed(record, True, 2))
    assert not ledger.permit_send(record, 0)
    assert not store
    assert not ledger.records
    with pytest.raises(ValueError):
        ledger.record_intent(record, intent(1), 3)


def test_a_request_that_may_have_run_is_neither_rejected_nor_sent_again() -> None:
    ledger = Ledger()
    ledger.decide(b"k", ONE, True, 0)
    record = ledger.records[b"k"]
    ledger.record_intent(record, intent(), 1)
    ledger.permit_send(record, 0)
    with pytest.raises(ValueError):
        ledger.record_rejected(record)
    with pytest.raises(ValueError):
        ledger.record_intent(record, intent(1), 2)
    ledger.mark_not_run(record, 0)
    assert ledger.record_intent(record, intent(1), 2)
    assert ledger.record_rejected(record) == [(b"rk", None)]


def test_the_number_of_keys_is_limited_and_keys_not_chosen_by_a_client_are_deleted_at_the_end() -> None:
    ledger = Ledger(RetentionLimits(max_keys=2))
    assert [ledger.decide(key, ONE, key != b"x", 0) for key in (b"a", b"x", b"c")] == [
        KeyDecision.NEW,
        KeyDecision.NEW,
        KeyDecision.NO_ROOM,
    ]
    record = ledger.records[b"x"]
    ledger.record_intent(record, intent(), 0)
    ledger.permit_send(record, 0)
    assert ledger.record_failed(record, True, 1) == [(b"rx", None)]
    assert b"x" not in ledger.records


def test_unreadable_records_are_reported() -> None:
    with pytest.raises(ValueError, match="can't be read"):
        Ledger().load([(b"rk", b"\x01")])
    with pytest.raises(ValueError, match="can't be read"):
        retry_budget.decode(b"\xc0", 0)


# Recovery


def test_recovery_queries_only_the_engine_process_that_received_the_attempt() -> None:
    engines = {b"s-1": ListedEngine(5)}
    assert recovery.choose_method(intent(), engines) is RecoveryMethod.QUERY
    assert recovery.choose_method(intent(), {b"s-1": ListedEngine(6)}) is RecoveryMethod.NONE
    assert recovery.choose_method(intent(), {}) is RecoveryMethod.NONE
    assert recovery.choose_method(None, engines) is RecoveryMethod.NONE
    assert recovery.choose_method(intent(wire="mysql", thread=3), {}) is RecoveryMethod.KILL


def test_only_definite_answers_of_an_engine_prove_an_outcome() -> None:
    recovered = {outcome: recovery.classify_outcome(outcome) for outcome in Outcome}
    assert {outcome for outcome, proved in recovered.items() if proved is RecoveredOutcome.SERVED} == {
        Outcome.OK
    }
    assert {outcome for outcome, proved in recovered.items() if proved is RecoveredOutcome.NOT_RUN} == {
        Outcome.FULL,
        Outcome.MOOT,
    }


def test_threads_of_a_server_started_later_do_not_belong_to_the_router() -> None:
    now = 1000 * SECOND
    assert recovery.is_same_server(990 * SECOND, 100, now)
    assert not recovery.is_same_server(990 * SECOND, 5, now)
    assert not recovery.is_same_server(990 * SECOND, 11, now)  # uncertain, so it counts as another process


def test_recovery_ends_in_time_and_limits_the_queries_in_progress() -> None:
    records = [KeyRecord(b"%d" % n, ONE, True) for n in range(5)]
    progress = RecoveryProgress(records, until_us=100)
    assert progress.next_batch(0, 2) == records[:2]
    assert progress.next_batch(0, 2) == []
    progress.resolved()
    assert progress.next_batch(50, 2) == records[2:3]
    assert progress.abandoned(50) == []
    assert progress.next_batch(100, 9) == []
    assert progress.abandoned(100) == records[3:]
    progress.resolved()
    assert not progress.is_complete
    progress.resolved()
    assert progress.is_complete


# The retry budget


BUDGETED = replace(settings(), free_retries=2.0, retry_share=0.2, retry_window_us=10 * SECOND)


def retries(driver: ControllerDriver, queries: range) -> int:
    """Submit queries whose first attempt an overloaded engine rejects; returns how many got a retry."""
    count = 0
    for number in queries:
        (first,) = dispatches(driver.submit(number))
        for retry in dispatches(driver.end_attempt(first, Outcome.FULL)):
            count += 1
            driver.end_attempt(retry, Outcome.OK, attempt=1)
    return count


def test_a_retry_budget_spent_before_two_crashes_is_not_available_again() -> None:
    """Rule 7: without the record each incarnation would begin with the full budget."""
    first = ControllerDriver(BUDGETED)
    spent = retries(first, range(5))
    assert spent == 3  # two free retries, and a fifth of five queries
    fresh = ControllerDriver(BUDGETED)
    assert retries(fresh, range(5)) == 3
    stored = retry_budget.encode(first.controller.retry_budget())
    for _ in range(2):  # two crashes in quick succession
        later = ControllerDriver(BUDGETED)
        later.now += SECOND
        later.handle(retry_budget.decode(stored, later.now))
        assert retries(later, range(5)) == 0
        stored = retry_budget.encode(later.controller.retry_budget())
    later.run_until(later.now + 11 * SECOND)
    assert retries(later, range(100, 102)) == 2


def test_a_restarted_router_counts_its_first_window_on_a_cold_engine_as_spent() -> None:
    """Rule 4: the work sent to cold engines is not stored, so each incarnation assumes that it is used up."""
    cold = EngineEntry(engine(1), ready_at_us=SECOND)
    for _ in range(2):  # an incarnation, and the next one after a crash
        driver = ControllerDriver(BUDGETED, [cold])
        driver.submit(1, cost=10_000)
        assert dispatches(driver.run_until(driver.now + SECOND - 100_000)) == []
        assert len(dispatches(driver.run_until(driver.now + 5 * SECOND))) == 1


def test_a_restored_budget_never_counts_fewer_retries_than_were_sent() -> None:
    stored = RetryBudgetRestored(((100, 1.0), (200, 1.0)), ((100, 1.0),))
    restored = retry_budget.decode(retry_budget.encode(stored), 150)
    assert restored.requests == ((0, 2.0),)
    assert restored.retries == ((150, 1.0 + retry_budget.MARGIN_RETRIES),)
    assert retry_budget.decode(retry_budget.encode(RetryBudgetRestored()), 0) == RetryBudgetRestored()


def test_restored_amounts_may_be_older_than_present_ones() -> None:
    driver = ControllerDriver(BUDGETED, [EngineEntry(engine(1))])
    driver.submit(1)
    driver.handle(RetryBudgetRestored(((driver.now - SECOND, 3.0),), ()))
    times = [at for at, _ in driver.controller.retries.requests.items]
    assert times == sorted(times)
    assert driver.controller.retries.requests.since(-1) == 4.0


def test_a_record_is_decoded_as_it_was_encoded() -> None:
    ledger, store = ended()
    found = Ledger()
    found.load(store.items())
    record = found.records[b"k"]
    assert (record.outcome, record.answer_bytes, record.client_notified, record.intent) == (
        KeyOutcome.SERVED,
        4,
        True,
        intent(),
    )
