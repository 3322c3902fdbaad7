"""Scattered queries in one router: parts, the one answer, cancellation, snapshots and ``gather.toml``."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Sequence
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from fakes import FakeLoop
from loopback import SETTINGS, HttpCall, Loopback, StandInEngine, http_answer, run, until
from routers import store_file

from slipbay.config.router import from_json
from slipbay.config.validation import ConfigError
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Answer, Attempt, Failed, Rejected, Request, ScatteredParts, Served
from slipbay.policy.actions import Action, Dispatch, Fail, Reject
from slipbay.policy.events import AttemptEnded, ClientDisconnected, Event, Outcome, QueryArrived, TimerFired
from slipbay.policy.settings import Effect, ServiceClass, Settings
from slipbay.quota.admission_gate import QuotaAdmissionGate
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.plan import Quota, QuotaPlan
from slipbay.scatter_gather import scatterer
from slipbay.scatter_gather.config_schema import ScatterGatherPlan
from slipbay.scatter_gather.interfaces import (
    Abort,
    AnswerNow,
    EngineCondition,
    PartOutcome,
    ScatteredClass,
    StoppingDecision,
    WaitUntil,
)
from slipbay.scatter_gather.metrics import exposition
from slipbay.scatter_gather.scatterer import OpenScatteredQuery, Scatterer
from slipbay.scatter_gather.service import ScatterGatherService, decode_snapshot, encode_snapshot
from slipbay.scatter_gather.settings import load_gather

SECOND = 1_000_000
GROUPS = (7, 3, 12, 5)
STATEMENT = b"SELECT 1 FROM sales_{group}.orders WHERE sales_{group}.a > 0"
SPEC = ScatteredClass("report", "lookup", GROUPS, "{group}", ((0.5, 0.5), (1.0, 1.0)), 0.1, SECOND)


class FakeStoppingRule:
    """Stopping rules and stopping rule in one: returns the test's decision and records the events."""

    def __init__(self) -> None:
        self.decision: StoppingDecision = WaitUntil(10**18)
        self.sent_parts: list[tuple[int, str, EngineCondition]] = []
        self.ended_parts: list[tuple[int, PartOutcome]] = []
        self.finish_count = self.evaluate_count = 0

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> FakeStoppingRule:
        self.deadline = deadline
        return self

    fails = False

    def part_sent(self, now: int, position: int, engine: str, condition: EngineCondition) -> None:
        if self.fails:
            raise ZeroDivisionError("injected fault")
        self.sent_parts.append((position, engine, condition))

    def part_ended(self, now: int, position: int, outcome: PartOutcome) -> StoppingDecision:
        self.ended_parts.append((position, outcome))
        return AnswerNow() if len(self.ended_parts) == len(GROUPS) else self.decision

    def evaluate(self, now: int) -> StoppingDecision:
        self.evaluate_count += 1
        return self.decision

    def finish(self, now: int) -> None:
        self.finish_count += 1


class Host:
    """A scatterer and its dispatcher; the test stands for policy, engines and client."""

    def __init__(
        self, spec: ScatteredClass = SPEC, max_scattered: int = 2, max_bytes: int = 1000, max_open: int = 100
    ) -> None:
        self.loop = FakeLoop()
        self.rule = FakeStoppingRule()
        self.events: list[Event] = []
        self.actions: list[Action] = []
        self.attempts: list[Attempt] = []
        self.answers: list[Answer] = []
        classes = tuple(ServiceClass(SECOND // 2, 3 * SECOND, Effect.SAFE) for _ in range(2))
        settings = Settings(classes=classes, max_attempts=4, max_retry_after_us=SECOND // 2)
        self.core = Dispatcher(
            cast(Any, self.loop), cast(Any, self.loop), self.loop.timers, self, settings, max_open, 10_000
        )
        self.scatterer = Scatterer(
            ScatterGatherPlan((spec,), max_scattered, max_bytes),
            ("lookup", "report"),
            self.core,
            self.loop.timers,
            self.rule,
            lambda engine, now: {b"s-1": (0.5, False, 1.0), b"s-2": (1.0, False, 3.0)}.get(
                engine, (1.0, False, 1.0)
            ),
            lambda name: False,
        )
        self.loop.advance(10 * SECOND)  # past the policy's learning period

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        self.events += events
        actions = self.actions
        self.actions = []
        return actions

    def start(self, attempt: Attempt) -> Any:
        self.attempts.append(attempt)
        return SimpleNamespace(stop=attempt.finish)

    def answered(self, request: Request, answer: Answer) -> None:
        assert request.client_handle == 77
        self.answers.append(answer)

    def submit_query(self, statement: bytes = STATEMENT) -> Request:
        request = Request(
            "00000000000000aa", 1, 2 * SECOND, statement, self, cast(Any, self), 400, 8.0, client_handle=77
        )
        assert self.scatterer.takes(request)
        answer_count = len(self.answers)
        self.scatterer.submit(request)
        assert len(self.answers) == answer_count  # never answered within the call
        self.loop.settle()
        return request

    @property
    def ids(self) -> list[int]:
        return [event.query for event in self.events if isinstance(event, QueryArrived)]

    @property
    def abandoned(self) -> list[int]:
        self.loop.settle()
        return [event.query for event in self.events if isinstance(event, ClientDisconnected)]

    def act(self, *actions: Action) -> None:
        self.actions += actions
        self.core.notify(TimerFired(0))
        self.loop.settle()

    def send(self, *positions: int) -> None:
        self.act(*(Dispatch(self.ids[position], b"s-%d" % position) for position in positions))

    def end(self, position: int, outcome: Outcome = Outcome.OK) -> None:
        attempt = [one for one in self.attempts if one.request.client_handle == position][-1]
        attempt.finish(outcome, b"row of %d\n" % GROUPS[position])
        self.loop.settle()

    def check_final(self, answer: Answer) -> None:
        """Check that this is the only answer and that nothing stays allocated."""
        self.loop.advance(10 * SECOND)
        assert self.answers == [answer]
        assert self.rule.finish_count == 1
        assert not (self.scatterer.open)
        assert not (self.scatterer.part_names)
        assert not (self.scatterer.buffered_bytes)
        for attempt in self.attempts:
            attempt.finish(Outcome.CANCELLED)
        self.loop.settle()
        assert not self.core.requests


def served(*present: int) -> Served:
    return Served(
        b"".join(b"row of %d\n" % group for group in present),
        ScatteredParts(GROUPS, present, tuple(group for group in GROUPS if group not in present)),
    )


def test_one_part_is_sent_for_each_group_and_rows_are_in_the_order_of_the_groups() -> None:
    host = Host()
    host.submit_query()
    arrived = [event for event in host.events if isinstance(event, QueryArrived)]
    assert [(one.service_class, one.estimated_cost_us, one.memory_mb, one.group) for one in arrived] == [
        (0, 100, 2.0, float(group)) for group in GROUPS
    ]
    assert host.rule.deadline == host.loop.us + SECOND
    host.send(3, 1, 0, 2)
    names = {attempt.request.name for attempt in host.attempts}
    assert len(names) == 4
    assert all(len(name) == 16 and int(name, 16) >= 0 for name in names)
    assert all(host.scatterer.owns(name) for name in names)
    assert [attempt.request.payload for attempt in host.attempts] == [
        STATEMENT.replace(b"{group}", str(GROUPS[position]).encode()) for position in (3, 1, 0, 2)
    ]
    assert host.rule.sent_parts == [
        (3, "s-3", EngineCondition.USUAL),
        (1, "s-1", EngineCondition.COLD),
        (0, "s-0", EngineCondition.USUAL),
        (2, "s-2", EngineCondition.SLOW),
    ]
    for position in (2, 0, 3, 1):
        host.end(position)
    assert host.rule.ended_parts == [(position, PartOutcome.COMPLETE) for position in (2, 0, 3, 1)]
    host.check_final(served(*GROUPS))


def test_an_early_answer_cancels_the_other_parts_and_a_later_end_changes_nothing() -> None:
    host = Host()
    host.submit_query()
    host.send(0, 1, 3)
    host.end(3)
    host.rule.decision = AnswerNow()
    host.end(0)
    assert sorted(host.abandoned) == [host.ids[1], host.ids[2]]
    host.send(2)  # an action decided before the cancellation was known
    assert len(host.attempts) == 3
    host.end(1)
    host.check_final(served(7, 5))


@pytest.mark.parametrize(("decision", "complete"), [(AnswerNow(), 1), (Abort(), 3), (WaitUntil(0), 1)])
def test_too_few_parts_fail_the_query_whatever_the_rule_decides(
    decision: StoppingDecision, complete: int
) -> None:
    host = Host()
    host.submit_query()
    host.send(0, 1, 2, 3)
    for position in range(complete):
        host.end(position)
    host.rule.decision = decision
    host.loop.advance(SECOND)
    host.act()
    if isinstance(decision, AnswerNow | Abort) and not host.answers:
        host.scatterer.open[next(iter(host.scatterer.open))].apply(decision, host.loop.us)
    host.check_final(Failed(f"{complete} of 4 parts came in time, which is too few", deadline_passed=True))


def test_a_rule_is_evaluated_at_its_time_and_the_query_ends_at_the_latest_time() -> None:
    host = Host()
    host.rule.decision = WaitUntil(host.loop.us + SECOND // 2)
    host.submit_query()
    host.send(0, 1, 2)
    host.end(0)
    host.end(2)
    evaluated = host.rule.evaluate_count
    host.rule.decision = WaitUntil(10**18)
    host.loop.advance(SECOND // 2)
    assert host.rule.evaluate_count == evaluated + 1
    assert not host.answers
    host.loop.advance(SECOND // 2)
    host.check_final(served(7, 12))


def test_an_exception_in_the_rule_does_not_stop_other_actions_of_the_turn() -> None:
    host = Host()
    host.submit_query()
    host.rule.fails = True
    host.send(0, 1, 2, 3)
    assert len(host.attempts) == 4
    for position in range(4):
        host.end(position)
    host.check_final(served(*GROUPS))


@pytest.mark.parametrize("sent", [0, 2])
def test_a_rejected_part_rejects_the_query_if_no_part_was_sent_and_else_only_the_part(sent: int) -> None:
    """The policy may send another part in the same turn: it is notified that this attempt was not sent."""
    host = Host()
    host.submit_query()
    host.send(*range(sent))
    host.act(Reject(host.ids[2], 90_000), Dispatch(host.ids[3], b"s-9"))
    if sent:
        host.end(0)
        host.end(1, Outcome.FULL)
        host.act(Reject(host.ids[1], 70_000))
        assert host.rule.ended_parts == [
            (2, PartOutcome.FAILED),
            (0, PartOutcome.COMPLETE),
            (1, PartOutcome.FAILED),
        ]
        host.end(3)
        host.check_final(served(7, 5))
    else:
        assert not host.attempts
        assert set(host.abandoned) == {host.ids[position] for position in (0, 1, 3)}
        assert [event.outcome for event in host.events if isinstance(event, AttemptEnded)] == [Outcome.MOOT]
        host.check_final(Rejected(90_000))


def test_a_query_that_did_not_run_is_rejected_and_one_that_may_have_run_fails() -> None:
    for outcome, expected in (
        (Outcome.FULL, Rejected(60_000)),
        (Outcome.ERROR, Failed("0 of 4 parts came in time, which is too few")),
    ):
        host = Host()
        host.submit_query()
        host.send(0)
        host.end(0, outcome)
        host.act(Reject(host.ids[0], 60_000))
        if outcome is Outcome.ERROR:
            for position in (1, 2, 3):
                host.act(Fail(host.ids[position]))
        host.check_final(expected)


def test_limits_on_open_queries_open_parts_and_buffered_rows() -> None:
    host = Host(max_scattered=1)
    first = host.submit_query()
    second = host.submit_query()
    assert host.answers == [Rejected(SECOND // 4)]
    assert second.finished
    host.answers.clear()
    assert host.scatterer.gone(first)
    assert not host.scatterer.gone(first)
    assert sorted(host.abandoned) == host.ids
    assert not host.core.requests
    assert not host.answers
    host = Host(max_open=3)
    host.submit_query()
    host.loop.settle()
    assert host.answers == [Rejected(SECOND // 4)]
    assert not host.events
    host = Host(max_bytes=20)  # rows have 9 and 10 bytes
    host.submit_query()
    host.send(0, 1, 2, 3)
    for position in range(4):
        host.end(position)
    assert host.rule.ended_parts[2] == (2, PartOutcome.FAILED)
    host.check_final(served(7, 3))


@pytest.mark.parametrize(("is_charged_once", "queries"), [(False, 2), (True, 8)])
def test_a_quota_is_charged_for_each_part_or_once(is_charged_once: bool, queries: int) -> None:
    """Nine tokens admit two queries of four parts each, or nine queries that are charged once."""
    plan = QuotaPlan(1, [Quota("q", 1e-6, 9)], wardens=0)
    machine = BorrowingStateMachine(0, 1, plan, Random(1), 0)
    now = 60 * SECOND
    for account in machine.accounts.values():
        account.advance(now)
        account.bucket.tokens = 9.0
    spec = ScatteredClass(
        **{**{name: getattr(SPEC, name) for name in SPEC.__slots__}, "is_charged_once": is_charged_once}
    )
    host = Host(spec, max_scattered=99)
    host.core.admission_gates.append(
        QuotaAdmissionGate(machine, (), ("lookup", "report"), lambda: now, SECOND)
    )
    for _ in range(9):
        host.submit_query()
    parts = [event for event in host.events if isinstance(event, QueryArrived)]
    assert len(parts) // 4 == len(host.scatterer.open) == (9 if is_charged_once else queries)
    account = next(iter(machine.accounts.values()))
    left, is_open = (0, 9) if is_charged_once else (1, 8)
    assert account.open == is_open
    assert round(account.bucket.tokens) == left
    assert len(host.answers) == 9 - len(host.scatterer.open)


CONFIG = from_json(
    json.dumps(
        {"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "journal": "127.0.0.1:1", "settings": SETTINGS}
    ),
    {},
)
FILE = '[[scatter]]\nclass = "report"\nparts = "lookup"\ngroups = [7, 3, 12, 5]\n'


def gather_file(folder: Path, text: str) -> Any:
    path = folder / "gather.toml"
    path.write_text(text)
    return load_gather(CONFIG, {"SLIPBAY_GATHER": str(path)})


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "scatter: want at least one class"),
        ("most_open = 0\n" + FILE, "most_open: Expected"),
        ("most_mb = 900\n" + FILE, "most_mb: want at most a quarter of limits.memory_mb"),
        (FILE + "lates_ms = 1", "scatter[0].lates_ms: no such key"),
        (FILE.replace("report", "reports"), "scatter[0].class: want one of lookup, report, ticket-load"),
        (
            FILE.replace("report", "ticket-load"),
            "scatter[0].class: want a class whose effect is safe or keyed; 'ticket-load' is",
        ),
        (FILE.replace("lookup", "ticket-load"), "scatter[0].parts: want a class that is safe to repeat"),
        (FILE.replace("[7, ", "[3, "), "scatter[0].groups: want each group once"),
        (FILE.replace("[7, 3, 12, 5]", "[7]"), "scatter[0].groups: Expected"),
        (FILE + 'mark = "12"', "scatter[0].mark: want a mark with a character other than letters and digits"),
        (FILE + "curve = [[0.5, 0.5]]", "scatter[0].curve: want pairs of share and utility"),
        (
            FILE + "curve = [[0.5, 0.9], [0.7, 0.8], [1, 1]]",
            "scatter[0].curve: want shares that rise and utilities that do not fall",
        ),
        (FILE + "curve = [[0.5, nan], [1, 1]]", "scatter[0].curve[0][1]: want a finite number"),
        (FILE + 'cost = "none"', "scatter[0].cost: Expected"),
        (FILE + FILE, "scatter[1].class: want each class once"),
    ],
)
def test_a_bad_file_is_rejected_with_file_key_and_reason(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(ConfigError) as problem:
        gather_file(tmp_path, "enabled = true\n" + text)
    assert str(problem.value).startswith("gather.toml: " + expected), problem.value


def test_a_valid_file_gives_a_plan_and_a_file_without_enabled_gives_none(tmp_path: Path) -> None:
    found = gather_file(
        tmp_path, "enabled = true\n" + FILE + ("curve = [[0.5, 0.5], [1, 1]]\nlatest_ms = 1000\n")
    )
    assert found == ScatterGatherPlan((SPEC,), 256, 16 * 1024 * 1024)
    assert gather_file(tmp_path, "most_open = 3\n") is None


def test_a_client_receives_the_complete_parts_and_the_others_are_cancelled() -> None:
    async def script(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        name = call.headers.get("x-hop-id") or call.path.split("/")[2]
        if call.method == "DELETE":
            return http_answer(204)
        groups[name] = groups.get(name) or call.body.decode().split("sales_")[1].split(".")[0]
        return (
            http_answer(202)
            if groups[name] == "12"
            else http_answer(200, f"{groups[name]}\t{name}\n".encode(), X_Sheets="1")
        )

    groups: dict[str, str] = {}

    async def test() -> None:
        engine = StandInEngine(script)
        net = None
        net = Loopback(engine)
        net.scatter_plan = ScatterGatherPlan((SPEC,), 16, 1 << 20)
        async with net:
            client = await net.client()
            id = client.query("report", STATEMENT.decode())
            answer = await client.answer()
            rows = [
                row.split("\t")[0] for row in base64.b64decode(answer["result"]["data"]).decode().splitlines()
            ]
            assert answer["id"] == id
            assert rows == ["7", "3", "5"]
            assert answer["result"]["parts"] == {
                "asked": [7, 3, 12, 5],
                "present": [7, 3, 5],
                "missing": [12],
            }
            await until(lambda: bool(engine.named("DELETE")))
            assert [groups[call.path.split("/")[2]] for call in engine.named("DELETE")] == ["12"]
            client.query(
                "report", "SELECT 1 FROM sales_7.orders"
            )  # without the placeholder it is not scattered
            assert "parts" not in (await client.answer())["result"]
            scatterer = net.router.jsonrpc_frontend.scatterer
            assert isinstance(scatterer, Scatterer)
            client.cancel(client.query("report", STATEMENT.decode()))
            await until(lambda: scatterer.counts["report"]["left"] == 1)
            client.query("report", STATEMENT.decode())
            await until(lambda: bool(scatterer.open))
            client.writer.transport.abort()
            await until(
                lambda: scatterer.counts["report"]["left"] == 2 and not net.router.dispatcher.requests
            )
            status = {"name": "n0", "words": {"told": 3}, **scatterer.status()}
            assert status["open"] == 0
            assert status["classes"] == {
                "report": {
                    "whole": 0,
                    "partial": 1,
                    "failed": 0,
                    "refused": 0,
                    "left": 2,
                    "parts_present": 3,
                    "parts_missing": 1,
                }
            }
            assert 'slipbay_gather_parts_total{class="report",router="n0",what="missing"} 1.0' in exposition(
                status
            )

    run(test)


def test_the_latency_snapshot_is_passed_to_the_next_incarnation(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    found: list[list[bytes]] = []
    monkeypatch.setattr(
        ScatterGatherService,
        "restore_snapshot",
        lambda service, value: found.append(decode_snapshot(value, service._now())[0]),
    )

    async def test() -> None:
        for incarnation in range(2):
            net = Loopback(store_file=store_file(tmp_path))
            net.scatter_plan = ScatterGatherPlan((SPEC,), 16, 1 << 20)
            async with net:
                assert net.router.idempotency is not None
                if not incarnation:
                    encoded = encode_snapshot([b"no word"], net.router.clock.now())
                    net.router.idempotency.store_snapshot(encoded, b"g")

    run(test)
    assert found == [[b"no word"]]


def test_a_snapshot_is_decoded_with_its_age_and_a_corrupt_one_is_rejected() -> None:
    encoded = encode_snapshot([b"one", b"", b"another"], 5 * SECOND)
    assert decode_snapshot(encoded, 7 * SECOND) == ([b"one", b"", b"another"], 2 * SECOND)
    for offset in range(len(encoded)):
        with pytest.raises(ValueError, match="truncated, or wrong checksum"):
            decode_snapshot(
                encoded[:offset] + bytes([encoded[offset] ^ 1]) + encoded[offset + 1 :], 7 * SECOND
            )
    for value, reason in ((encoded[:5], "truncated, or wrong checksum"), (encoded, "in the future")):
        with pytest.raises(ValueError, match=reason):
            decode_snapshot(value, 4 * SECOND)


class RandomHost(Host):
    """Policy, engines, clients and stopping rules act at random; the guarantees to the policy are checked."""

    def __init__(self, seed: int) -> None:
        super().__init__(max_scattered=3, max_bytes=60)
        self.random = Random(seed)
        self.alive: dict[int, int] = {}  # attempts in flight of each query that the policy has open
        self.sent: set[tuple[int, int]] = set()
        self.counts: dict[int, int] = {}
        self.client_answers: dict[Request, list[Answer]] = {}
        self.left: set[Request] = set()

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        for event in events:
            match event:
                case QueryArrived(query):
                    self.alive[query] = 0
                case AttemptEnded(query, attempt, complete=complete):
                    self.sent.remove((query, attempt))
                    if query in self.alive:
                        self.alive[query] -= 1
                        if complete:
                            del self.alive[query]
                case ClientDisconnected(query):
                    self.alive.pop(query, None)
        actions: list[Action] = []
        for query in list(self.alive):
            choice = self.random.random()
            if choice < 0.3 and not self.alive[query] and self.counts.get(query, 0) < 4:
                number = self.counts.get(query, 0)
                self.counts[query], self.alive[query] = number + 1, 1
                self.sent.add((query, number))
                actions.append(Dispatch(query, b"s-%d" % (query % 3)))
            elif choice < 0.36:
                del self.alive[query]
                actions.append(Reject(query, 50_000) if choice < 0.33 else Fail(query))
        self.random.shuffle(actions)
        return actions

    def answered(self, request: Request, answer: Answer) -> None:
        assert request not in self.left, "answered although its client left"
        self.client_answers.setdefault(request, []).append(answer)
        owned = [one for one in self.attempts if one.request.client in self.open_queries[request]]
        ran = any(not one.finished or one.request.name in self.ran for one in owned)
        match answer:
            case Served(result, ScatteredParts(asked, present, missing)):
                assert asked == GROUPS
                assert sorted(present + missing) == sorted(GROUPS)
                assert len(present) >= 2, "fewer parts than required"
                rows = {
                    one.request.group: b"row of %d\n" % one.request.group
                    for one in owned
                    if one.request.name in self.complete
                }
                assert all(group in rows for group in present), "claims a missing part"
                assert result == b"".join(rows[group] for group in GROUPS if group in present)
            case Rejected():
                assert not ran, "rejected though it may have run"

    def run(self, steps: int) -> None:
        self.open_queries: dict[Request, set[Any]] = {}
        self.ran: set[str] = set()
        self.complete: set[str] = set()
        draw = self.random
        for _ in range(steps):
            choice = draw.random()
            out = [one for one in self.attempts if not one.finished]
            soon = WaitUntil(self.loop.us + draw.randrange(SECOND))
            decisions: list[StoppingDecision] = [soon, AnswerNow(), Abort(), WaitUntil(0)]
            self.rule.decision = draw.choice([*decisions, *3 * [WaitUntil(10**18)]])
            if choice < 0.1:
                request = Request(
                    f"{len(self.open_queries):016x}",
                    1,
                    draw.randrange(1, 2 * SECOND),
                    STATEMENT,
                    self,
                    cast(Any, self),
                )
                self.open_queries[request] = set()
                self.scatterer.submit(request)
                self.open_queries[request] |= {self.scatterer.open.get(request)}
            elif choice < 0.13 and self.scatterer.open:
                request = draw.choice(list(self.scatterer.open))
                self.left.add(request)
                assert self.scatterer.gone(request)
            elif choice < 0.6 and out:
                attempt = draw.choice(out)
                outcome = draw.choice([Outcome.OK, *Outcome])
                if not outcome.proves_not_run:
                    self.ran.add(attempt.request.name)
                if outcome is Outcome.OK:
                    self.complete.add(attempt.request.name)
                attempt.finish(outcome, b"row of %d\n" % attempt.request.group)
            else:
                self.core.notify(TimerFired(0))
                self.loop.advance(draw.choice([0, 100, 50_000, SECOND // 3]))
            self.loop.settle()
        self.loop.advance(10 * SECOND)
        for attempt in self.attempts:
            attempt.finish(Outcome.CANCELLED)
        self.loop.advance(SECOND)
        assert {request for request, answers in self.client_answers.items() if len(answers) == 1} == (
            self.open_queries.keys() - self.left
        ), "not one answer each"
        assert not (self.scatterer.open or self.scatterer.part_names or self.scatterer.buffered_bytes), (
            "something is not released"
        )
        assert not (self.core.requests or self.alive or self.sent), (
            "the policy waits for an event that never comes"
        )


def test_random_runs_keep_all_guarantees() -> None:
    for seed in range(150):
        RandomHost(seed).run(120)


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        ("claims", "claims a missing part"),
        ("least", "fewer parts than required"),
        ("refuses", "may have run"),
        ("keeps", "something is not released|waits? for an event that never comes"),
        ("forgets", "waits? for an event that never comes"),
        ("twice", "not one answer each"),
    ],
)
def test_random_runs_find_injected_faults(monkeypatch: pytest.MonkeyPatch, fault: str, expected: str) -> None:
    answer = OpenScatteredQuery._answer
    close = OpenScatteredQuery.close

    def answer_with_fault(self: OpenScatteredQuery, now: int, given: Answer) -> None:
        if fault == "claims" and isinstance(given, Served) and given.parts and given.parts.missing:
            given = Served(given.result, ScatteredParts(GROUPS, GROUPS, ()))
        elif fault == "refuses" and isinstance(given, Failed):
            given = Rejected(1)
        answer(self, now, given)
        if fault == "twice":
            self.request.client.answered(self.request, given)

    def close_with_fault(self: OpenScatteredQuery, now: int) -> None:
        if fault == "keeps":
            self._buffered_bytes = 0
        close(self, now)

    monkeypatch.setattr(OpenScatteredQuery, "_answer", answer_with_fault)
    monkeypatch.setattr(OpenScatteredQuery, "close", close_with_fault)
    if fault == "least":
        monkeypatch.setattr(scatterer, "ROUNDING_ERROR", 0.3)
    if fault == "forgets":  # a part that ends by another part's action is dropped within the turn
        monkeypatch.setattr(
            Dispatcher,
            "_is_applying_actions",
            property(lambda core: False, lambda core, value: None),
            raising=False,
        )
    with pytest.raises(AssertionError, match=expected):
        for seed in range(150):
            RandomHost(seed).run(120)
