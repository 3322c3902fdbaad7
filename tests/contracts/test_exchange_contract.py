"""What exchanges with engines must keep (docs/contracts.md, E1 to E7), and such that break one obligation
each."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from types import SimpleNamespace
from typing import Any

from exchange_models import Check, Draw, EmulatedModel, HastyModel, HttpModel, Model, Moves, MysqlModel
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
}  # others 1: most get to an engine
SMOOTH = ("connect", "arrive", "answer")  # moves that nothing goes wrong with
STOPS = (Outcome.CANCELLED, Outcome.TIMEOUT)  # as which the core calls off
TENDED_US = 100_000  # in which what is called off ends then, if the engine does at once what it is asked
Make = Callable[[Check, Draw], Model]


sampled = cache(st.sampled_from)  # to make a strategy takes as long as a draw


def drawing(data: st.DataObject) -> Draw:
    return lambda options: data.draw(sampled(tuple(options)))


class ExchangeContract(RuleBasedStateMachine):
    make: Make

    def _ended(self, outcome: Outcome, result: Any) -> None:
        model = self.model
        self.ends += 1
        held(self.ends == 1, "E1", "it ended twice")
        held(
            not outcome.proves_not_run or not model.sent or model.turned_away, "E2", f"{outcome} of what left"
        )
        held(
            outcome is not Outcome.OK or (model.made is not None and result == model.made),
            "E5",
            f"{result!r} for {model.made!r}",
        )
        held(outcome not in STOPS or outcome is model.stopped, "E5", f"{outcome} of {model.stopped}")

    @initialize(data=st.data())
    def begin(self, data: st.DataObject) -> None:
        self.another(drawing(data))

    def another(self, draw: Draw) -> None:
        """An attempt at an engine of its own."""
        self.ends = 0
        self.smooth = True
        self.model = self.make(self._ended, draw)

    @rule(data=st.data())
    def move(self, data: st.DataObject) -> None:
        """What may happen; an end and a stop may cross."""
        draw = drawing(data)
        model = self.model
        moves: Moves = {
            **model.moves(),
            "stop": lambda draw: model.stop(draw(STOPS)),
            "wait": lambda draw: model.wait(draw((1, 50, 260, 1100, 2400)) * 1000),
        }
        if self.ends:
            moves["another"] = self.another
        elif self.smooth:
            moves["hurry"] = lambda draw: self.hurry()
        name = draw([name for name in sorted(moves) for _ in range(WEIGHTS.get(name, 1))])
        self.smooth &= name in ("another", *SMOOTH)
        moves[name](draw)

    def hurry(self) -> None:
        """It is called off before anything went wrong."""
        self.model.stop()
        self.model.tend(TENDED_US)
        held(self.ends, "E3", f"called off, and not over after {TENDED_US / 1e6} s")

    @invariant()
    def nothing_strays(self) -> None:
        held(self.model.sent <= 1, "E6", "it was sent twice")
        held(not self.model.strayed, "E7", "it is not what the client asked for")
        held(not self.ends or not self.model.runs, "E4", "what was told as over runs")

    @invariant()
    def nothing_hangs(self) -> None:
        model = self.model
        if model.idle and not self.ends:
            model.wait(model.bound_us)
            held(self.ends or not model.idle, "E3", "with nothing under way it did not end")

    def teardown(self) -> None:
        """Whatever state it is in: nobody says anything more, and it is called off."""
        if not self.ends:
            self.model.stop()
            self.model.wait(self.model.bound_us)
            held(self.ends, "E3", f"stopped, and not over after {self.model.bound_us / 1e6} s")


EXCHANGES: dict[str, tuple[Make, int]] = {  # and how many histories
    "HTTP": (HttpModel, 300),
    "HTTP, hasty": (HastyModel, 300),
    "MySQL": (MysqlModel, 300),
    "emulator": (EmulatedModel, 50),
}


# Broken exchanges


class EndsTwice(HttpExchange):
    """E1: it is called off though it has ended."""

    def stop(self, outcome: Outcome) -> None:
        self._is_ended = False
        super().stop(outcome)


class TakesCutsForUnsent(MysqlExchange):
    """E2: whatever breaks has not been sent."""

    def _interrupted(self) -> None:
        self._is_statement_sent = False
        super()._interrupted()


class NeverGivesUp(HttpExchange):
    """E3: it waits for a silent engine for ever."""

    def _check_progress(self) -> None:
        self._last_call_us = max(self._last_call_us, self._backend.now() - pool.LONG_POLL_US)
        super()._check_progress()


class Believes(HttpExchange):
    """E4: what it calls off is over."""

    def stop(self, outcome: Outcome) -> None:
        self._finish(outcome)


class ProvesNothing(MysqlExchange):
    """E4: a server whose connection broke has ended the statement."""

    def _end_thread(self) -> None:
        self._finish(self._outcome)


class FirstPage(HttpExchange):
    """E5: it takes the first page for the whole."""

    def _handle_page(self, connection: HttpConnection, response: Any) -> None:
        response.headers["x-sheets"] = "1"
        super()._handle_page(connection, response)


class TellsTheLast(HttpExchange):
    """E5: what is called off twice is told as the second time."""

    def stop(self, outcome: Outcome) -> None:
        super().stop(outcome)
        self._stop_outcome = outcome


class DeletesUnasked(HttpExchange):
    """E4: after a break it deletes what it has not asked for."""

    def _delete(self) -> None:
        self._is_process_uncertain = False
        super()._delete()


class HearsTooSoon(HttpExchange):
    """E4: a question that overtook its POST tells it that nothing runs."""

    def _responded(self, connection: HttpConnection, response: Any) -> None:
        self._is_polled_beside_post = False
        super()._responded(connection, response)


class LooksLate(MysqlExchange):
    """E3: after a KILL it takes its time to look whether the thread has ended."""

    def _end_thread(self) -> None:
        timers = self._backend.timers
        back = vars(self._backend)
        late = SimpleNamespace(at=timers.at, after=lambda us, action: timers.after(RETRY_US, action))
        self._backend = SimpleNamespace(**{**back, "timers": late})
        super()._end_thread()


class Confuses(MysqlExchange):
    """E7: what is prepared on one connection is so on all."""

    def _connected(self, connection: MysqlConnection) -> None:
        connection.statements = vars(self._backend).setdefault("statements", connection.statements)
        super()._connected(connection)


class SendsAgain(HttpExchange):
    """E6: it sends what is not answered once more, where it should ask for it."""

    def _poll(self, connection: HttpConnection) -> None:
        if self._answered:
            super()._poll(connection)
        else:
            self._post(connection)


class RunsOn(FleetModel):
    """E4: an engine of the emulator works on what is called off."""

    def _end(self, me: int, query: int, attempt: int, outcome: Outcome) -> None:
        name, number = self.out[me, query, attempt]
        run = self.engines[name].runs.get(number)
        super()._end(me, query, attempt, outcome)
        if run is not None and outcome is not Outcome.OK:
            self.engines[name].runs[number] = run


BROKEN = (
    EndsTwice,
    TakesCutsForUnsent,
    NeverGivesUp,
    LooksLate,
    Believes,
    ProvesNothing,
    DeletesUnasked,
    HearsTooSoon,
    FirstPage,
    TellsTheLast,
    SendsAgain,
    Confuses,
    RunsOn,
)
PLACES = (
    (EmulatedModel, FleetModel, "tier_type"),
    (HastyModel, HearsTooSoon, "exchange_type"),
    (HttpModel, HttpExchange, "exchange_type"),
    (MysqlModel, MysqlExchange, "exchange_type"),
)

test_an_exchange_keeps_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    ExchangeContract, EXCHANGES, BROKEN, 40, lambda part: with_component(part, PLACES)
)
