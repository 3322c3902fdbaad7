"""Scattered queries in a running router: each becomes one request for each group of tables, and their ends
become one answer. When that is given, a ``StoppingRule`` decides; here are the rules that hold whatever it
says:
one final answer, each part whole or absent, never below the least, never after the latest time."""

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

SLOW_PACE = 2.0  # times the pace of all engines at which one counts as slow
END_TICKS = 3  # before a query's deadline, when it is answered; its parts' own ends come one after it
STEP_US = 1_000  # at least, until the next look: one that is due in the past would have no end
ROUNDING = 1e-9
COUNTS = ("whole", "partial", "failed", "refused", "left", "parts_present", "parts_missing")


class Scatterer:
    """All scattered queries of a router."""

    def __init__(
        self,
        plan: ScatterGatherPlan,
        classes: Sequence[str],
        core: Dispatcher,
        timers: Timers,
        moments: StoppingRules,
        condition: Callable[[EngineId, int], tuple[float, bool, float]],
        seen: Callable[[str], bool],
    ) -> None:
        """``condition``: what the decisions hold of an engine now: share of its capacity, whether it is ill,
        and its pace against that of all. ``seen``: whether a client has used a name of late."""
        self.plan = plan
        self.core = core
        self.timers = timers
        self.moments = moments
        self.condition = condition
        self._seen = seen
        numbers = {name: number for number, name in enumerate(classes)}
        self._by_class = {
            numbers[one.service_class]: (one, one.mark.encode(), numbers[one.part_class])
            for one in plan.scattered
        }
        self.open: dict[Request, OpenScatteredQuery] = {}
        self.names: set[str] = set()  # of parts that are not answered
        self.bytes = 0  # of rows that wait
        self.counts: dict[str, Counter[str]] = {one.service_class: Counter() for one in plan.scattered}
        self.later_us = core.settings.max_retry_after_us // 2
        self._learned = core.clock.now() + LEARNING_PERIOD_US

    # From the front

    def takes(self, request: Request) -> bool:
        """A statement of a scattered class without the mark is an ordinary one."""
        found = self._by_class.get(request.service_class)
        return found is not None and isinstance(request.payload, bytes) and found[1] in request.payload

    def submit(self, request: Request) -> None:
        """Take one that ``takes`` said yes to; its client gets one answer, never within this call."""
        scattered, mark, part_class = self._by_class[request.service_class]
        groups, core, now = scattered.groups, self.core, self.core.clock.now()
        assert isinstance(request.payload, bytes)
        if len(self.open) >= self.plan.most_open or not core.has_room(
            len(groups), len(groups) * len(request.payload)
        ):
            self.counts[scattered.service_class]["refused"] += 1
            return core.reject(request, self.later_us)
        lasts = min(request.expires_in_us, scattered.latest_us)
        until = max(
            now + 1, now + min(scattered.latest_us, request.expires_in_us - END_TICKS * core.settings.tick_us)
        )
        request.deadline_us = now + request.expires_in_us
        gathering = OpenScatteredQuery(
            self, request, scattered, self.moments.begin(now, scattered, until), until
        )
        self.open[request] = gathering
        names = self._names(len(groups))
        cost = None if request.cost_us is None else max(1, request.cost_us // len(groups))
        memory = request.memory_mb / len(groups)
        first = 1 if scattered.whole_cost else len(groups)
        others = 0 if scattered.whole_cost else 1
        for place, group in enumerate(groups):
            work = request.payload.replace(mark, b"%d" % group)
            gathering.parts.append(
                Request(
                    names[place],
                    part_class,
                    lasts,
                    work,
                    gathering,
                    request.backend,
                    cost,
                    memory,
                    group,
                    request.tenant,
                    request.is_repeat,
                    client_handle=place,
                    size_bytes=len(work),
                    quota_tokens=others if place else first,
                    observer=gathering,
                )
            )
        self.names.update(names)
        if now < self._learned:
            self._submit_next(gathering, 0)
        else:
            for part in gathering.parts:
                core.submit(part)
                if part.finished:  # turned away, and with it all: its answer comes soon, and nothing has left
                    break
        gathering.heed(gathering.told(gathering.moment.look, now), now)

    def _submit_next(self, gathering: OpenScatteredQuery, place: int) -> None:
        """One in a turn: as long as the decisions know a class by its first query alone, they would take
        parts that come together for a backlog, and refuse them with all threads free."""
        if not gathering.over:
            self.core.submit(gathering.parts[place])
            if place + 1 < len(gathering.parts):
                self.core.call_soon(self._submit_next, gathering, place + 1)

    def gone(self, request: Request) -> bool:
        """Its client left or called it off; False for one that is not open here."""
        gathering = self.open.get(request)
        if gathering is not None:
            self.counts[gathering.scattered.service_class]["left"] += 1
            gathering.close(self.core.clock.now())
        return gathering is not None

    def owns(self, name: str) -> bool:
        return name in self.names

    def _names(self, count: int) -> list[str]:
        """As engines know parts by; a number drawn anew for each query, so that no client, other router or
        later life of this one has it."""
        while True:
            base = secrets.randbits(64)
            names = [f"{(base + place) % 2**64:016x}" for place in range(count)]
            if not any(name in self.names or self._seen(name) for name in names):
                return names

    def status(self) -> dict[str, object]:
        """What became of queries since the start, by class, as JSON has it; of those served,
        their parts."""
        return {
            "open": len(self.open),
            "bytes": self.bytes,
            "classes": {name: {key: counts[key] for key in COUNTS} for name, counts in self.counts.items()},
        }

    def state(self, engine: EngineId, now: int) -> EngineCondition:
        capacity, ill, pace = self.condition(engine, now)
        if ill or pace >= SLOW_PACE:
            return EngineCondition.SLOW
        return EngineCondition.COLD if capacity < 1 else EngineCondition.USUAL


class OpenScatteredQuery:
    """One scattered query: the client and the watcher of its parts."""

    __slots__ = (
        "_due",
        "_failed",
        "_fires",
        "_held",
        "_later",
        "_ran",
        "_scatterer",
        "_sent",
        "_timer",
        "moment",
        "out",
        "over",
        "parts",
        "request",
        "rows",
        "scattered",
        "until",
    )

    def __init__(
        self,
        scatterer: Scatterer,
        request: Request,
        scattered: ScatteredClass,
        moment: StoppingRule,
        until: int,
    ) -> None:
        self._scatterer = scatterer
        self.request = request
        self.scattered = scattered
        self.moment = moment
        self.until = until
        self.parts: list[Request] = []
        self.rows: list[bytes | None] = [None] * len(scattered.groups)
        self.out = len(scattered.groups)  # parts without an end
        self._sent: set[Attempt] = set()  # that are with engines
        self._ran = False  # an attempt has ended, and nothing proves that it did not run
        self._failed = False  # a part has an end that is no refusal
        self._later = 0
        self._held = 0  # bytes of rows
        self._due = self._fires = until  # the next look, and when the timer fires: then or before
        self._timer = scatterer.timers.at(until, self._look)
        self.over = False

    # Parts

    def attempt_sent(self, attempt: Attempt) -> None:
        if not self.over:
            now = attempt.sent_us
            self._sent.add(attempt)
            self.told(
                self.moment.asked,
                now,
                attempt.request.client_handle,
                attempt.engine.decode("utf-8", "replace"),
                self._scatterer.state(attempt.engine, now),
            )

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt in self._sent:
            self._sent.discard(attempt)
            self._ran |= not outcome.proves_not_run

    def answered(self, request: Request, answer: Answer) -> None:
        """A part has its one answer."""
        self._scatterer.names.discard(request.name)
        if self.over:
            return None
        now = self._scatterer.core.clock.now()
        fate = PartOutcome.LOST
        self.out -= 1
        match answer:
            case Served(result) if self._keep(request.client_handle, result):
                fate = PartOutcome.WHOLE
            case Rejected(retry_after_us, _):
                self._later = max(self._later, retry_after_us)
                if not (self._ran or self._sent or self._failed):
                    return self._refuse(now)  # rather one as a whole than parts of many
            case _:
                self._failed = True
        self.heed(self.told(self.moment.ended, now, request.client_handle, fate), now)

    def _keep(self, place: int, result: object) -> bool:
        """A part's rows, if there is room for them."""
        assert isinstance(result, bytes)
        scatterer = self._scatterer
        if scatterer.bytes + len(result) > scatterer.plan.most_bytes:
            log("gather", "the rows of a part are dropped: most_mb is full", request=self.request.name)
            return False
        scatterer.bytes += len(result)
        self._held += len(result)
        self.rows[place] = result
        return True

    # The moment

    def told(self, tell: Callable[..., StoppingDecision | None], *what: object) -> StoppingDecision | None:
        """A moment that fails must not take others' actions of this turn with it; its query waits on."""
        try:
            return tell(*what)
        except Exception as problem:
            log("gather", f"{type(problem).__name__}: {problem}", request=self.request.name)
            return None

    def heed(self, verdict: StoppingDecision | None, now: int) -> None:
        """None: as before."""
        if self.over:
            return
        match verdict or WaitUntil(self.until):
            case WaitUntil(until) if self.out and now < self.until:
                self._due = min(max(until, now + STEP_US), self.until)
                if self._due < self._fires:
                    self._timer.cancel()
                    self._fire_at(self._due)
            case Abort():
                self._end(now, False)
            case AnswerNow() | WaitUntil():
                self._end(now, True)

    def _fire_at(self, when: int) -> None:
        self._fires, self._timer = when, self._scatterer.timers.at(when, self._look)

    def _look(self) -> None:
        now = self._scatterer.core.clock.now()
        if self.over:
            return None
        if now < self._due:  # parts that ended meanwhile made it later
            return self._fire_at(self._due)
        self._fire_at(max(now + 1, self.until))
        self.heed(self.told(self.moment.look, now), now)

    def _end(self, now: int, enough: bool) -> None:
        groups = self.scattered.groups
        rows = self.rows
        present = tuple(group for group, part in zip(groups, rows, strict=True) if part is not None)
        if enough and present and len(present) / len(groups) >= self.scattered.curve[0][0] - ROUNDING:
            missing = tuple(group for group, part in zip(groups, rows, strict=True) if part is None)
            counts = self._scatterer.counts[self.scattered.service_class]
            counts["partial" if missing else "whole"] += 1
            counts["parts_present"] += len(present)
            counts["parts_missing"] += len(missing)
            answer: Answer = Served(
                b"".join(part for part in rows if part is not None), ScatteredParts(groups, present, missing)
            )
        elif self._ran or self._sent or self._failed:
            self._scatterer.counts[self.scattered.service_class]["failed"] += 1
            answer = Failed(
                f"{len(present)} of {len(groups)} parts came in time, which is too few", now >= self.until
            )
        else:
            return self._refuse(now)
        self._answer(now, answer)

    def _refuse(self, now: int) -> None:
        """Nothing of it has run."""
        self._scatterer.counts[self.scattered.service_class]["refused"] += 1
        self._answer(now, Rejected(self._later or self._scatterer.later_us, now >= self.until))

    def _answer(self, now: int, answer: Answer) -> None:
        self.close(now)
        self.request.client.answered(self.request, answer)

    def close(self, now: int) -> None:
        """Nobody wants it any more, or it has its answer: parts that are out are called off."""
        scatterer = self._scatterer
        self.over = self.request.finished = True
        self._timer.cancel()
        del scatterer.open[self.request]
        scatterer.bytes -= self._held
        self.told(self.moment.closed, now)
        for part in self.parts:
            if not part.finished:
                scatterer.names.discard(part.name)
                if part.id:  # it was submitted
                    scatterer.core.abandon(part)
        self.parts = []
