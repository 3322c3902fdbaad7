"""Contract of exchanges with engines (docs/contracts.md, E1 to E8), and broken exchanges that each violate
one obligation."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from types import SimpleNamespace
from typing import Any

from exchange_models import (
    Check,
    Draw,
    EmulatedModel,
    HttpModel,
    Model,
    Moves,
    MysqlModel,
    ShortDeadlineModel,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from obligations import held, suite, with_component

from slipbay.backends import pool
from slipbay.backends.http_connection import HttpConnection
from slipbay.backends.http_exchange import HttpExchange
from slipbay.backends.mysql_connection import MysqlConnection
from slipbay.backends.mysql_exchange import MysqlExchange
from slipbay.backends.mysql_thread import RETRY_US
from slipbay.emulator.fleet_model import FleetModel
from slipbay.policy.events import Outcome

WEIGHTS = {
    "connect": 8,
    "arrive": 5,
    "answer": 4,
    "another": 8,
    "wait": 2,
    "dawdle": 3,
    "silence": 4,
}  # 1 for other moves, so that most attempts reach an engine
MOVES_WITHOUT_FAILURE = ("connect", "arrive", "answer")
STOPS = (Outcome.CANCELLED, Outcome.TIMEOUT)  # outcomes with which the core stops an attempt
MAX_STOP_US = 100_000  # a stopped attempt ends within this time, if the engine answers and nothing fails
Make = Callable[[Check, Draw], Model]


sampled = cache(st.sampled_from)  # creating a strategy takes as long as a draw


def drawing(data: st.DataObject) -> Draw:
    return lambda options: data.draw(sampled(tuple(options)))


class ExchangeContract(RuleBasedStateMachine):
    make: Make

    def _ended(self, outcome: Outcome, result: Any) -> None:
        model = self.model
        self.ends += 1
        held(self.ends == 1, "E1", "it ended twice")
        held(
            not outcome.proves_not_run or not model.sent or model.was_rejected,
            "E2",
            f"{outcome} of a sent attempt",
        )
        held(
            outcome is not Outcome.OK
            or (model.expected_result is not None and result == model.expected_result),
            "E5",
            f"{result!r} for {model.expected_result!r}",
        )
        held(outcome not in STOPS or outcome is model.stopped, "E5", f"{outcome} of {model.stopped}")

    @initialize(data=st.data())
    def begin(self, data: st.DataObject) -> None:
        self.another(drawing(data))

    def another(self, draw: Draw) -> None:
        """Start an attempt on a new engine."""
        self.ends = 0
        self.without_failure = True
        self.model = self.make(self._ended, draw)

    @rule(data=st.data())
    def move(self, data: st.DataObject) -> None:
        """Do one possible move; the end of the attempt and a stop may cross."""
        draw = drawing(data)
        model = self.model
        moves: Moves = {
            **model.moves(),
            "stop": lambda draw: model.stop(draw(STOPS)),
            "wait": lambda draw: model.wait(draw((1, 50, 260, 1100, 2400)) * 1000),
        }
        if self.ends:
            moves["another"] = self.another
        elif self.without_failure:
            moves["hurry"] = lambda draw: self.stop_early()
        name = draw([name for name in sorted(moves) for _ in range(WEIGHTS.get(name, 1))])
        self.without_failure &= name in ("another", *MOVES_WITHOUT_FAILURE)
        moves[name](draw)

    def stop_early(self) -> None:
        """Stop the attempt before any failure."""
        self.model.stop()
        self.model.serve(MAX_STOP_US)
        held(self.ends, "E3", f"stopped, but not ended after {MAX_STOP_US / 1e6} s")

    @invariant()
    def nothing_is_wrong(self) -> None:
        held(self.model.sent <= 1, "E6", "it was sent twice")
        held(not self.model.sent_other_statement, "E7", "another statement than the client's was sent")
        held(not self.ends or not self.model.runs, "E4", "an attempt that was reported as ended runs")
        held(not self.model.may_arrive_late, "E8", "a stopped statement may still arrive")

    @invariant()
    def attempt_ends(self) -> None:
        model = self.model
        if model.idle and not self.ends:
            model.wait(model.bound_us)
            held(self.ends or not model.idle, "E3", "it did not end though no data is in transit")

    def teardown(self) -> None:
        """In any state: the engine sends nothing more, and the attempt is stopped."""
        if not self.ends:
            self.model.stop()
            self.model.wait(self.model.bound_us)
            held(self.ends, "E3", f"stopped, but not ended after {self.model.bound_us / 1e6} s")


EXCHANGES: dict[str, tuple[Make, int]] = {  # with the number of histories
    "HTTP": (HttpModel, 300),
    "HTTP, hasty": (ShortDeadlineModel, 300),
    "MySQL": (MysqlModel, 300),
    "emulator": (EmulatedModel, 50),
}


# Broken exchanges


class EndsTwice(HttpExchange):
    """E1: a stop after its end ends it again."""

    def stop(self, outcome: Outcome) -> None:
        self._is_ended = False
        super().stop(outcome)


class TakesBrokenForUnsent(MysqlExchange):
    """E2: reports a statement as not sent if the connection breaks."""

    def _interrupted(self) -> None:
        self._is_statement_sent = False
        super()._interrupted()


class WaitsForever(HttpExchange):
    """E3: waits forever for an unresponsive engine."""

    def _check_progress(self) -> None:
        calls = self._sent_calls
        calls.last_arrival_us = max(calls.last_arrival_us, self._backend.now() - pool.LONG_POLL_US)
        super()._check_progress()


class EndsWithoutProof(HttpExchange):
    """E4: reports a stopped attempt as ended immediately."""

    def stop(self, outcome: Outcome) -> None:
        self._finish(outcome)


class TakesBreakForProof(MysqlExchange):
    """E4: takes a broken connection as proof that the statement has ended."""

    def _end_thread(self) -> None:
        self._finish(self._outcome)


class TakesFirstPageForAll(HttpExchange):
    """E5: takes the first page for the complete result."""

    def _handle_page(self, connection: HttpConnection, response: Any) -> None:
        response.headers["x-sheets"] = "1"
        super()._handle_page(connection, response)


class ReportsLastStop(HttpExchange):
    """E5: reports the outcome of the second stop instead of the first."""

    def stop(self, outcome: Outcome) -> None:
        super().stop(outcome)
        self._stop_outcome = outcome


class DeletesWithoutPoll(HttpExchange):
    """E4: sends the DELETE after a broken connection without a poll before it."""

    def _delete(self) -> None:
        self._is_process_uncertain = False
        super()._delete()


class TrustsOvertakingPoll(HttpExchange):
    """E4: takes the answer to a poll that overtook the POST as proof that no query runs."""

    def _responded(self, connection: HttpConnection, response: Any) -> None:
        self._is_polled_beside_post = False
        super()._responded(connection, response)


class ChecksKillLate(MysqlExchange):
    """E3: waits too long after a KILL before it checks whether the thread has ended."""

    def _end_thread(self) -> None:
        timers = self._backend.timers
        members = vars(self._backend)
        delayed = SimpleNamespace(at=timers.at, after=lambda us, action: timers.after(RETRY_US, action))
        self._backend = SimpleNamespace(**{**members, "timers": delayed})
        super()._end_thread()


class SharesPreparedStatements(MysqlExchange):
    """E7: takes a statement that is prepared on one connection as prepared on all."""

    def _connected(self, connection: MysqlConnection) -> None:
        connection.statements = vars(self._backend).setdefault("statements", connection.statements)
        super()._connected(connection)


class SendsTwice(HttpExchange):
    """E6: sends the query again instead of a poll, if it has no answer."""

    def _poll(self, connection: HttpConnection) -> None:
        if self._answered:
            super()._poll(connection)
        else:
            self._post(connection)


class LeavesPostInTransit(HttpExchange):
    """E8: deletes a stopped query without taking back its POST."""

    def _delete_unanswered(self) -> None:
        self._delete()


class LeavesStatementInTransit(MysqlExchange):
    """E8: kills the thread of a stopped statement without taking back the statement."""

    def _take_back_statement(self) -> None:
        pass


class ContinuesCancelled(FleetModel):
    """E4: the emulator's engine continues a cancelled query."""

    def _end(self, me: int, query: int, attempt: int, outcome: Outcome) -> None:
        name, number = self.out[me, query, attempt]
        run = self.engines[name].runs.get(number)
        super()._end(me, query, attempt, outcome)
        if run is not None and outcome is not Outcome.OK:
            self.engines[name].runs[number] = run


BROKEN = (
    EndsTwice,
    TakesBrokenForUnsent,
    WaitsForever,
    ChecksKillLate,
    EndsWithoutProof,
    TakesBreakForProof,
    DeletesWithoutPoll,
    LeavesPostInTransit,
    LeavesStatementInTransit,
    TrustsOvertakingPoll,
    TakesFirstPageForAll,
    ReportsLastStop,
    SendsTwice,
    SharesPreparedStatements,
    ContinuesCancelled,
)
REPLACED_TYPES = (
    (EmulatedModel, FleetModel, "tier_type"),
    (ShortDeadlineModel, TrustsOvertakingPoll, "exchange_type"),
    (HttpModel, HttpExchange, "exchange_type"),
    (MysqlModel, MysqlExchange, "exchange_type"),
)

test_an_exchange_keeps_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    ExchangeContract, EXCHANGES, BROKEN, 40, lambda part: with_component(part, REPLACED_TYPES)
)
