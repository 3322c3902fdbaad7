"""Decides which of the answers that arrive on a connection belongs to the current call; no I/O, no clock.

An engine may send an answer a second time some milliseconds later, when the connection already carries the
next call. Answers have no number, so such a duplicate is known only by what it can be:

- It arrives within ``DUPLICATE_WINDOW_US`` after the first, and each answer comes at most twice.
- It has the content of the first, or it is an error or a refusal.

An answer that can be a duplicate is doubtful. It is settled by a fence: a further call on the same
connection whose answer, 204, no query gets. Engines answer the calls of a connection in order, so the answer
to the doubtful call has come when the answer to the fence comes. ``docs/races.md`` has the rule for each kind
of call.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum, auto

from slipbay.wire import http1
from slipbay.wire.http1 import Response

DUPLICATE_WINDOW_US = 50_000  # after an answer; within it a duplicate may arrive
MAX_DOUBTFUL_ANSWERS = 8  # to one call; an engine that sends more is not waited for
ERROR_STATUSES = (http1.INTERNAL_SERVER_ERROR, http1.SERVICE_UNAVAILABLE, http1.GATEWAY_TIMEOUT)


class Verdict(Enum):
    """What is known of an answer that has arrived."""

    OWN = auto()  # it answers the current call
    DOUBTFUL = auto()  # it may be a duplicate of the answer to an earlier call; a fence is needed
    WAIT = auto()  # not known yet: a fence is on its way
    UNKNOWABLE = auto()  # several answers came, and which is the call's own can't be known


@dataclass(slots=True, frozen=True)
class Judgement:
    """A verdict, with the answer to pass on if it is ``OWN``."""

    verdict: Verdict
    answer: Response | None = None


@dataclass(slots=True, frozen=True)
class Arrival:
    """An answer that arrived on the connection."""

    at_us: int
    call_number: int
    status: int
    content: int  # hash; equal hashes of different contents only raise a doubt


def _content_of(response: Response) -> int:
    return hash((response.status, tuple(response.headers.items()), response.body))


class AnswerGuard:
    """The answers of one connection, and the state of its current call."""

    def __init__(self) -> None:
        self._arrivals: deque[Arrival] = deque()  # from a window before the current call on
        self._call_number = 0
        self._doubtful: list[Response] = []  # answers to the current call that may be duplicates
        self._is_fence_sent = False

    def begin_call(self, now_us: int) -> None:
        """Note that a call is sent; its answers are judged from now on."""
        while self._arrivals and self._arrivals[0].at_us <= now_us - DUPLICATE_WINDOW_US:
            self._arrivals.popleft()
        self._call_number += 1
        self._doubtful = []
        self._is_fence_sent = False

    def judge(self, response: Response, began_us: int, now_us: int) -> Judgement:
        """Judge an answer that arrived during the current call, from ``began_us`` to ``now_us``.

        An answer that is certain while a fence is open has ``keep_alive`` false: the fence's answer follows.
        """
        arrival = Arrival(now_us, self._call_number, response.status, _content_of(response))
        self._arrivals.append(arrival)
        if self._is_fence_sent and response.status == http1.NO_CONTENT:
            return self._settle()
        if not self._may_answer_fence(response) and self._is_certain(arrival, began_us):
            answer = replace(response, keep_alive=False) if self._is_fence_sent else response
            return Judgement(Verdict.OWN, answer)
        self._doubtful.append(response)
        if not response.keep_alive or len(self._doubtful) > MAX_DOUBTFUL_ANSWERS:
            return Judgement(Verdict.UNKNOWABLE)  # no fence can follow, or what follows may belong to no call
        return Judgement(Verdict.DOUBTFUL if len(self._doubtful) == 1 else Verdict.WAIT, response)

    def fence_delay_us(self, now_us: int) -> int:
        """Time until a fence may be sent: until then its answer could be taken for a duplicate."""
        last_us = max(
            (arrival.at_us for arrival in self._arrivals if arrival.status == http1.NO_CONTENT),
            default=None,
        )
        return 0 if last_us is None else max(0, last_us + DUPLICATE_WINDOW_US - now_us)

    def fence_sent(self) -> None:
        """Note that a fence has been sent for the current call."""
        self._is_fence_sent = True

    def _settle(self) -> Judgement:
        """Judge the doubtful answers, as the answer to the fence has come: one of them is the call's own."""
        first, *others = self._doubtful
        if all(other.has_same_content(first) for other in others):
            return Judgement(Verdict.OWN, first)
        return Judgement(Verdict.UNKNOWABLE)

    def _may_answer_fence(self, response: Response) -> bool:
        """Whether this may be the answer to the fence: an engine may answer with 500 for a query that it does
        not have. After a doubtful 500 it makes no difference."""
        return (
            self._is_fence_sent
            and response.status == http1.INTERNAL_SERVER_ERROR
            and self._doubtful[0].status != http1.INTERNAL_SERVER_ERROR
        )

    def _is_certain(self, arrival: Arrival, began_us: int) -> bool:
        """Whether the current call was answered with this content.

        That is so if it can't be a duplicate any more, or has come more often than duplicates with it can
        have come, of answers to earlier calls or of another answer to this call.
        """
        own = possible_duplicates = 0
        is_in_window = False
        for other in self._arrivals:
            has_same_content = other.content == arrival.content
            if has_same_content and other.call_number == self._call_number:
                own += 1
            elif has_same_content or arrival.status in ERROR_STATUSES:
                possible_duplicates += 1
                is_in_window |= other.at_us > began_us - DUPLICATE_WINDOW_US
        return not is_in_window or own > possible_duplicates
