"""The guard against duplicate answers, in generated histories of connections.

The model engine answers the calls of a connection in order. Each answer may be followed by a duplicate
within the window: the same again, or an error. What the guard passes on must be the engine's own answer.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import pytest

from slipbay.backends.answer_guard import DUPLICATE_WINDOW_US, AnswerGuard, Judgement, Verdict
from slipbay.wire.http1 import Response

PAGE = Response(200, {"x-sheets": "1"}, b"1\n")
OTHER_PAGE = Response(200, {"x-sheets": "2"}, b"2\n")
FURTHER_PAGE = Response(200, {"x-sheet": "1"}, b"3\n")
RUNNING = Response(202, {}, b"")
ERROR = Response(500, {}, b"")
FULL = Response(503, {"x-no-effect": "1"}, b"")
OVER = Response(504, {"x-no-effect": "1"}, b"")
DONE = Response(204, {}, b"")
ANSWERS = {
    "all": (PAGE, OTHER_PAGE, FURTHER_PAGE, RUNNING, ERROR, FULL, OVER),
    "equal pages": (PAGE,),
    "equal refusals": (FULL,),
    "refusals and errors": (FULL, ERROR),
    "pages and errors": (PAGE, ERROR),
}
HISTORIES = 1500
CALLS = 12
WORK_US = (0, 100, 5000, 300_000)  # of the engine, before it answers
PAUSES_US = (0, 0, 1000, 60_000)  # of the router, between two calls
MIN_DELAY_US = 1000  # of a duplicate
FENCE = None  # an event: a fence is due


@dataclass
class Connection:
    """A connection with the engine at its other end, in simulated time."""

    random: Random
    duplicate_share: float
    now_us: int = 0
    guard: AnswerGuard = field(default_factory=AnswerGuard)
    events: list[tuple[int, int, Response | None]] = field(
        default_factory=list
    )  # time, order, answer or FENCE
    engine_free_us: int = 0
    answers_due: int = 0  # own answers, of calls and fences, that have not arrived
    own_orders: set[int] = field(default_factory=set)

    def add(self, at_us: int, event: Response | None) -> int:
        order = len(self.own_orders) + self.random.getrandbits(40)
        heapq.heappush(self.events, (at_us, order, event))
        return order

    def engine_answers(self, answer: Response, work_us: int) -> None:
        self.engine_free_us = max(self.now_us, self.engine_free_us) + work_us + 1
        self.own_orders.add(self.add(self.engine_free_us, answer))
        self.answers_due += 1
        if self.random.random() < self.duplicate_share:
            delay_us = self.random.randint(MIN_DELAY_US, DUPLICATE_WINDOW_US - 1)
            self.add(self.engine_free_us + delay_us, self.random.choice((answer, answer, ERROR, FULL)))

    def call(self, answer: Response) -> Judgement:
        """Send a call, and the fence if one is wanted; the judgement that ends the call."""
        self.guard.begin_call(self.now_us)
        self.engine_answers(answer, self.random.choice(WORK_US))
        while True:
            self.now_us, order, event = heapq.heappop(self.events)
            if event is FENCE:
                self.guard.fence_sent()
                self.engine_answers(DONE, 0)
                continue
            self.answers_due -= order in self.own_orders
            judgement = self.guard.judge(event, self.now_us, self.now_us)
            if judgement.verdict in (Verdict.OWN, Verdict.UNKNOWABLE):
                self.events = [entry for entry in self.events if entry[2] is not FENCE]
                heapq.heapify(self.events)
                return judgement
            if judgement.verdict is Verdict.DOUBTFUL:
                self.add(self.now_us + self.guard.fence_delay_us(self.now_us), FENCE)

    def stays_usable(self) -> bool:
        """Pause; whether nothing arrives meanwhile, as the router closes the connection otherwise."""
        self.now_us += self.random.choice(PAUSES_US)
        return not self.events or self.events[0][0] > self.now_us


def play(seed: int, answers: tuple[Response, ...], duplicate_share: float) -> Counter[Verdict]:
    """One history; the number of calls by the verdict that ended them."""
    random = Random(seed)
    connection = Connection(random, duplicate_share)
    verdicts = Counter[Verdict]()
    for _ in range(CALLS):
        own = random.choice(answers)
        judgement = connection.call(own)
        verdicts[judgement.verdict] += 1
        is_usable = judgement.verdict is Verdict.OWN
        if judgement.answer is not None:
            assert judgement.answer.has_same_content(own)
            is_usable = judgement.answer.keep_alive
            assert not is_usable or not connection.answers_due
        if not is_usable or not connection.stays_usable():
            connection = Connection(random, duplicate_share)
    return verdicts


@pytest.mark.parametrize("kind", ANSWERS)
@pytest.mark.parametrize("duplicate_share", [0.0, 0.3, 1.0])
def test_an_answer_is_passed_on_only_to_its_own_call(kind: str, duplicate_share: float) -> None:
    # Late duplicates were served as the rows of other queries, and made loads run twice
    verdicts = Counter[Verdict]()
    for seed in range(HISTORIES // len(ANSWERS)):
        verdicts += play(seed, ANSWERS[kind], duplicate_share)
    assert verdicts[Verdict.OWN] > 0.5 * verdicts.total()
    assert duplicate_share or not verdicts[Verdict.UNKNOWABLE]


def test_an_error_after_a_doubtful_rejection_proves_nothing() -> None:
    guard = AnswerGuard()
    guard.begin_call(0)
    assert guard.judge(PAGE, 0, 0).verdict is Verdict.OWN
    guard.begin_call(5000)
    assert guard.judge(FULL, 5000, 5000).verdict is Verdict.DOUBTFUL
    guard.fence_sent()
    assert guard.judge(ERROR, 6000, 6000).verdict is Verdict.WAIT
    assert guard.judge(DONE, 7000, 7000).verdict is Verdict.UNKNOWABLE


def test_the_answer_to_a_fence_settles_a_rejection() -> None:
    guard = AnswerGuard()
    guard.begin_call(0)
    guard.judge(FULL, 0, 0)
    guard.begin_call(5000)
    assert guard.judge(FULL, 5000, 5000).verdict is Verdict.DOUBTFUL
    assert guard.fence_delay_us(5000) == 0
    guard.fence_sent()
    assert guard.judge(DONE, 6000, 6000) == Judgement(Verdict.OWN, FULL)
    guard.begin_call(8000)
    assert guard.judge(FULL, 8000, 8000).verdict is Verdict.DOUBTFUL
    assert guard.fence_delay_us(8000) == 6000 + DUPLICATE_WINDOW_US - 8000  # a duplicate 204 may still come


def test_an_answer_that_arrives_in_pieces_is_judged_by_its_first_byte() -> None:
    guard = AnswerGuard()
    guard.begin_call(0)
    guard.judge(PAGE, 0, 0)
    guard.begin_call(10)
    began_us, complete_us = DUPLICATE_WINDOW_US - 1, 4 * DUPLICATE_WINDOW_US
    assert guard.judge(PAGE, began_us, complete_us).verdict is Verdict.DOUBTFUL
