"""Scattered queries in a running router: each is sent as one request for each table group, and the results of
these parts become one answer.

A ``StoppingRule`` decides when the query is answered. Whatever it decides, this module guarantees that there
is one final answer, that each part is complete in it or missing, that it holds no fewer parts than the class
requires, and that it is given no later than the class and the deadline allow.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable, Sequence

from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Answer, Attempt, Failed, Rejected, Request, ScatteredParts, Served
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.policy.admission import LEARNING_PERIOD_US
from slipbay.policy.events import EngineId, Outcome
from slipbay.scatter_gather.config_schema import ScatterGatherPlan
from slipbay.scatter_gather.interfaces import (
    Abort,
    AnswerNow,
    EngineCondition,
    PartOutcome,
    ScatteredClass,
    StoppingDecision,
    StoppingRule,
    StoppingRules,
    WaitUntil,
)

SLOW_FACTOR = 2.0  # an engine counts as slow at this multiple of the pace of all engines
# A query is answered this many ticks before its deadline; its parts expire one tick after their deadline
DEADLINE_MARGIN_TICKS = 3
MIN_WAIT_US = 1_000  # until the next evaluation: a time in the past would cause an endless loop
ROUNDING_ERROR = 1e-9
COUNTS = ("whole", "partial", "failed", "refused", "left", "parts_present", "parts_missing")


class Scatterer:
    """Sends the scattered queries of a router as parts and answers their clients."""

    def __init__(
        self,
        plan: ScatterGatherPlan,
        classes: Sequence[str],
        core: Dispatcher,
        timers: Timers,
        stopping_rules: StoppingRules,
        engine_health: Callable[[EngineId, int], tuple[float, bool, float]],
        is_name_in_use: Callable[[str], bool],
    ) -> None:
        """``engine_health`` returns, for an engine at a time (us), the fraction of its full capacity that it
        has, whether it is unhealthy, and its pace: how long its answers take relative to all engines.
        ``is_name_in_use`` returns whether a client has used a request name recently.
        """
        self.plan = plan
        self.core = core
        self.timers = timers
        self.stopping_rules = stopping_rules
        self.engine_health = engine_health
        self._is_name_in_use = is_name_in_use
        numbers = {name: number for number, name in enumerate(classes)}
        self._by_class = {
            numbers[declared.service_class]: (
                declared,
                declared.placeholder.encode(),
                numbers[declared.part_class],
            )
            for declared in plan.scattered
        }
        self.open: dict[Request, OpenScatteredQuery] = {}
        self.part_names: set[str] = set()  # of parts without an answer
        self.buffered_bytes = 0  # of rows of open queries
        self.counts: dict[str, Counter[str]] = {
            declared.service_class: Counter() for declared in plan.scattered
        }
        self.retry_after_us = core.settings.max_retry_after_us // 2
        self._learning_until_us = core.clock.now() + LEARNING_PERIOD_US

    # Called by the frontend

    def takes(self, request: Request) -> bool:
        """Return whether a request is scattered: its class is, and its statement holds the placeholder."""
        found = self._by_class.get(request.service_class)
        return found is not None and isinstance(request.payload, bytes) and found[1] in request.payload

    def submit(self, request: Request) -> None:
        """Submit a request that ``takes`` accepts; its client receives one answer, never within this call."""
        scattered, placeholder, part_class = self._by_class[request.service_class]
        groups, core, now = scattered.groups, self.core, self.core.clock.now()
        assert isinstance(request.payload, bytes)
        if len(self.open) >= self.plan.max_open or not core.has_room(
            len(groups), len(groups) * len(request.payload)
        ):
            self.counts[scattered.service_class]["refused"] += 1
            return core.reject(request, self.retry_after_us)
        part_expires_in_us = min(request.expires_in_us, scattered.latest_us)
        answer_by_us = max(
            now + 1,
            now
            + min(scattered.latest_us, request.expires_in_us - DEADLINE_MARGIN_TICKS * core.settings.tick_us),
        )
        request.deadline_us = now + request.expires_in_us
        query = OpenScatteredQuery(
            self,
            request,
            scattered,
            self.stopping_rules.start_query(now, scattered, answer_by_us),
            answer_by_us,
        )
        self.open[request] = query
        names = self._new_part_names(len(groups))
        cost = None if request.cost_us is None else max(1, request.cost_us // len(groups))
        memory = request.memory_mb / len(groups)
        first_part_tokens = 1 if scattered.is_charged_once else len(groups)
        other_part_tokens = 0 if scattered.is_charged_once else 1
        for position, group in enumerate(groups):
            statement = request.payload.replace(placeholder, b"%d" % group)
            query.parts.append(
                Request(
                    names[position],
                    part_class,
                    part_expires_in_us,
                    statement,
                    query,
                    request.backend,
                    cost,
                    memory,
                    group,
                    request.tenant,
                    request.is_repeat,
                    client_handle=position,
                    size_bytes=len(statement),
                    quota_tokens=other_part_tokens if position else first_part_tokens,
                    observer=query,
                )
            )
        self.part_names.update(names)
        if now < self._learning_until_us:
            self._submit_next(query, 0)
        else:
            for part in query.parts:
                core.submit(part)
                if part.finished:  # rejected, and so the query is: no part has been sent
                    break
        query.apply(query.notify_rule(query.stopping_rule.evaluate, now), now)

    def _submit_next(self, query: OpenScatteredQuery, position: int) -> None:
        """Submit one part in each turn of the event loop.

        As long as the policy has estimates of a class from its first query only, it takes parts that arrive
        together for a backlog, and rejects them although all threads are free.
        """
        if not query.is_closed:
            self.core.submit(query.parts[position])
            if position + 1 < len(query.parts):
                self.core.call_soon(self._submit_next, query, position + 1)

    def gone(self, request: Request) -> bool:
        """Close a query whose client has left or cancelled it; False if no such query is open here."""
        query = self.open.get(request)
        if query is not None:
            self.counts[query.scattered.service_class]["left"] += 1
            query.close(self.core.clock.now())
        return query is not None

    def owns(self, name: str) -> bool:
        """Return whether an open part has this name, in lower case."""
        return name in self.part_names

    def _new_part_names(self, count: int) -> list[str]:
        """Return names under which engines run the parts.

        They are numbered from a random number, so that no client, no other router and no other incarnation of
        this one uses them.
        """
        while True:
            base = secrets.randbits(64)
            names = [f"{(base + position) % 2**64:016x}" for position in range(count)]
            if not any(name in self.part_names or self._is_name_in_use(name) for name in names):
                return names

    def status(self) -> dict[str, object]:
        """Return the counts of queries by outcome and class, and of the parts of answered ones, for JSON."""
        return {
            "open": len(self.open),
            "bytes": self.buffered_bytes,
            "classes": {name: {key: counts[key] for key in COUNTS} for name, counts in self.counts.items()},
        }

    def engine_condition(self, engine: EngineId, now: int) -> EngineCondition:
        """Return the condition of an engine, as the latency model distinguishes it."""
        capacity, is_unhealthy, pace = self.engine_health(engine, now)
        if is_unhealthy or pace >= SLOW_FACTOR:
            return EngineCondition.SLOW
        return EngineCondition.COLD if capacity < 1 else EngineCondition.USUAL


class OpenScatteredQuery:
    """One scattered query: the client of its parts and the observer of their attempts."""

    __slots__ = (
        "_buffered_bytes",
        "_due_us",
        "_fires_us",
        "_has_failed",
        "_in_flight",
        "_may_have_run",
        "_retry_after_us",
        "_scatterer",
        "_timer",
        "answer_by_us",
        "is_closed",
        "open_parts",
        "parts",
        "request",
        "rows",
        "scattered",
        "stopping_rule",
    )

    def __init__(
        self,
        scatterer: Scatterer,
        request: Request,
        scattered: ScatteredClass,
        stopping_rule: StoppingRule,
        answer_by_us: int,
    ) -> None:
        self._scatterer = scatterer
        self.request = request
        self.scattered = scattered
        self.stopping_rule = stopping_rule
        self.answer_by_us = answer_by_us
        self.parts: list[Request] = []
        self.rows: list[bytes | None] = [None] * len(scattered.groups)
        self.open_parts = len(scattered.groups)  # parts that have not ended
        self._in_flight: set[Attempt] = set()  # attempts at engines
        self._may_have_run = False  # an attempt has ended without proof that it did not run
        self._has_failed = False  # a part has ended other than by a result or a rejection
        self._retry_after_us = 0  # the longest of all rejections
        self._buffered_bytes = 0  # of rows
        # The next evaluation, and when the timer fires, which is no later
        self._due_us = self._fires_us = answer_by_us
        self._timer = scatterer.timers.at(answer_by_us, self._evaluate)
        self.is_closed = False

    # Events of parts

    def attempt_sent(self, attempt: Attempt) -> None:
        """Report an attempt of a part to the stopping rule."""
        if not self.is_closed:
            now = attempt.sent_us
            self._in_flight.add(attempt)
            self.notify_rule(
                self.stopping_rule.part_sent,
                now,
                attempt.request.client_handle,
                attempt.engine.decode("utf-8", "replace"),
                self._scatterer.engine_condition(attempt.engine, now),
            )

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record whether the attempt may have run."""
        if attempt in self._in_flight:
            self._in_flight.discard(attempt)
            self._may_have_run |= not outcome.proves_not_run

    def answered(self, request: Request, answer: Answer) -> None:
        """Take the one answer to a part."""
        self._scatterer.part_names.discard(request.name)
        if self.is_closed:
            return None
        now = self._scatterer.core.clock.now()
        outcome = PartOutcome.FAILED
        self.open_parts -= 1
        match answer:
            case Served(result) if self._store_rows(request.client_handle, result):
                outcome = PartOutcome.COMPLETE
            case Rejected(retry_after_us, _):
                self._retry_after_us = max(self._retry_after_us, retry_after_us)
                if not (self._may_have_run or self._in_flight or self._has_failed):
                    # Better to reject one query completely than parts of many
                    return self._reject(now)
            case _:
                self._has_failed = True
        self.apply(self.notify_rule(self.stopping_rule.part_ended, now, request.client_handle, outcome), now)

    def _store_rows(self, position: int, result: object) -> bool:
        """Buffer the rows of a part; False if the limit on buffered bytes leaves no room for them."""
        assert isinstance(result, bytes)
        scatterer = self._scatterer
        if scatterer.buffered_bytes + len(result) > scatterer.plan.max_bytes:
            log("gather", "rows of a part dropped: limit most_mb reached", request=self.request.name)
            return False
        scatterer.buffered_bytes += len(result)
        self._buffered_bytes += len(result)
        self.rows[position] = result
        return True

    # The stopping rule

    def notify_rule(
        self, method: Callable[..., StoppingDecision | None], *arguments: object
    ) -> StoppingDecision | None:
        """Call a method of the stopping rule.

        An exception in it must not prevent the other actions of this turn: it is logged, and the query waits
        on.
        """
        try:
            return method(*arguments)
        except Exception as problem:
            log("gather", f"{type(problem).__name__}: {problem}", request=self.request.name)
            return None

    def apply(self, decision: StoppingDecision | None, now: int) -> None:
        """Carry out a decision; None, where the rule gave none, means to wait until the latest time."""
        if self.is_closed:
            return
        match decision or WaitUntil(self.answer_by_us):
            case WaitUntil(until) if self.open_parts and now < self.answer_by_us:
                self._due_us = min(max(until, now + MIN_WAIT_US), self.answer_by_us)
                if self._due_us < self._fires_us:
                    self._timer.cancel()
                    self._set_timer(self._due_us)
            case Abort():
                self._end(now, False)
            case AnswerNow() | WaitUntil():
                self._end(now, True)

    def _set_timer(self, time_us: int) -> None:
        self._fires_us, self._timer = time_us, self._scatterer.timers.at(time_us, self._evaluate)

    def _evaluate(self) -> None:
        now = self._scatterer.core.clock.now()
        if self.is_closed:
            return None
        if now < self._due_us:  # parts that ended since the timer was set have postponed the evaluation
            return self._set_timer(self._due_us)
        self._set_timer(max(now + 1, self.answer_by_us))
        self.apply(self.notify_rule(self.stopping_rule.evaluate, now), now)

    def _end(self, now: int, has_enough_parts: bool) -> None:
        groups = self.scattered.groups
        rows = self.rows
        present = tuple(group for group, part in zip(groups, rows, strict=True) if part is not None)
        if (
            has_enough_parts
            and present
            and len(present) / len(groups) >= self.scattered.curve[0][0] - ROUNDING_ERROR
        ):
            missing = tuple(group for group, part in zip(groups, rows, strict=True) if part is None)
            counts = self._scatterer.counts[self.scattered.service_class]
            counts["partial" if missing else "whole"] += 1
            counts["parts_present"] += len(present)
            counts["parts_missing"] += len(missing)
            answer: Answer = Served(
                b"".join(part for part in rows if part is not None), ScatteredParts(groups, present, missing)
            )
        elif self._may_have_run or self._in_flight or self._has_failed:
            self._scatterer.counts[self.scattered.service_class]["failed"] += 1
            answer = Failed(
                f"{len(present)} of {len(groups)} parts came in time, which is too few",
                now >= self.answer_by_us,
            )
        else:
            return self._reject(now)
        self._answer(now, answer)

    def _reject(self, now: int) -> None:
        """Reject the query; no part of it has run."""
        self._scatterer.counts[self.scattered.service_class]["refused"] += 1
        self._answer(
            now, Rejected(self._retry_after_us or self._scatterer.retry_after_us, now >= self.answer_by_us)
        )

    def _answer(self, now: int, answer: Answer) -> None:
        self.close(now)
        self.request.client.answered(self.request, answer)

    def close(self, now: int) -> None:
        """Release the query, which has an answer or is no longer wanted, and cancel its open parts."""
        scatterer = self._scatterer
        self.is_closed = self.request.finished = True
        self._timer.cancel()
        del scatterer.open[self.request]
        scatterer.buffered_bytes -= self._buffered_bytes
        self.notify_rule(self.stopping_rule.finish, now)
        for part in self.parts:
            if not part.finished:
                scatterer.part_names.discard(part.name)
                if part.id:  # it was submitted
                    scatterer.core.abandon(part)
        self.parts = []
