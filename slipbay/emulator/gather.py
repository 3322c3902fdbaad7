"""Scattered queries over many routers in simulated time: the real machines, times of parts drawn from a
world whose distributions are known, and what other ways to choose the moment would have got from the same
times.

A part takes ``base x group x engine x query x noise``. An engine's factor is how slow it is, times what its
load makes of it, which wanders (AR(1) over some seconds): parts of one engine have it in common, as parts
of one query have theirs. Perfect knowledge has all of these but the query's own factor and the noise, of
which it has the distribution; it stops by the same rule. Times are whole us.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import count
from math import exp, log2, sqrt
from random import Random

from slipbay.peer_channel.interfaces import Send
from slipbay.scatter_gather.estimate_gossip import EstimateGossip
from slipbay.scatter_gather.interfaces import (
    AnswerNow,
    Curve,
    EngineCondition,
    PartOutcome,
    ScatteredClass,
    StoppingDecision,
    WaitUntil,
)
from slipbay.scatter_gather.latency_model import (
    BUCKETS,
    BUCKETS_PER_OCTAVE,
    MAX_FASTER_SHIFT,
    MAX_SLOWER_SHIFT,
    SECOND,
    ClassLatency,
    GroupLatency,
    LatencyModel,
    SlownessFilter,
    survival,
)
from slipbay.scatter_gather.stopping_rule import (
    LearnedStoppingRule,
    LearnedStoppingRules,
    PendingPart,
    utilities,
)

BASE_US = 80_000
LATEST_US = 2 * SECOND
CURVE: Curve = ((0.5, 0.3), (0.9, 0.9), (1.0, 1.0))
PRICE = 0.25
DEADLINES = (100_000, 200_000, 400_000, 800_000, 1_600_000)
QUANTILE = 0.9
FINE = 4  # parts of a bucket to which perfect knowledge knows a factor
WANDER_US = SECOND // 4
WANDERS_OVER = 5.0  # seconds
QUERY_SIGMA = 0.2


@dataclass(frozen=True)
class Case:
    parts: int = 16
    heavy: bool = False
    slow: bool = False
    load: float = 0.8
    routers: int = 1
    seed: int = 1
    rate: float = 20.0  # queries a second of all routers together
    engines: int = 20
    curve: Curve = CURVE
    price: float = PRICE

    def scattered(self) -> ScatteredClass:
        return ScatteredClass(
            "report", "part", tuple(range(self.parts)), "{group}", self.curve, self.price, LATEST_US
        )


class World:
    """What is true. Change ``scale``, ``slowness`` and ``heavy`` as time goes."""

    def __init__(self, case: Case) -> None:
        self.random = Random(case.seed)
        self.case = case
        self.heavy = case.heavy
        self.scale = 1.0
        draw = self.random
        self.groups = [exp(draw.gauss(0, 0.3)) for _ in range(case.parts)]
        self.names = [f"10.0.0.{n}:80" for n in range(case.engines)]
        self.slowness = [1.0] * case.engines
        if case.slow:
            self.slow(range(0, case.engines, 5))
        self.wander = [draw.gauss(0, self.sigma) for _ in self.names]
        self._curves = {heavy: self._truth(heavy) for heavy in (False, True)}

    @property
    def sigma(self) -> float:
        return 0.1 + 0.35 * self.case.load**2

    def slow(self, engines: Sequence[int]) -> None:
        self.slowness = [1.0] * self.case.engines
        for engine in engines:
            self.slowness[engine] = self.random.uniform(3, 10)

    def rescale(self, by: float) -> None:
        self.scale *= by

    def other_tail(self) -> None:
        self.heavy = not self.heavy

    def step(self) -> None:
        """A quarter of a second passes."""
        keep = exp(-WANDER_US / SECOND / WANDERS_OVER)
        fresh = self.sigma * sqrt(1 - keep * keep)
        self.wander = [keep * one + self.random.gauss(0, fresh) for one in self.wander]

    def engine(self, group: int) -> int:
        """Its home mostly, else any."""
        engines = self.case.engines
        return group * 7 % engines if self.random.random() < 0.8 else self.random.randrange(engines)

    def factor(self, group: int, engine: int) -> float:
        load = min(self.case.load, 0.95)
        busy = 1 + 0.5 * load * load / (1 - load) / 4 + max(0.0, self.case.load - 0.95) * 6
        return self.scale * self.groups[group] * self.slowness[engine] * busy * exp(self.wander[engine])

    def noise(self, heavy: bool) -> float:
        draw = self.random
        found = exp(draw.gauss(0, 0.35))
        if heavy and draw.random() < 0.1:
            found *= min(100.0, 3 * draw.paretovariate(1.3))
        return found

    def common(self) -> float:
        """Of one query."""
        return exp(self.random.gauss(0, QUERY_SIGMA))

    def _truth(self, heavy: bool) -> list[list[float]]:
        """Curves of a part of factor 1, and of factors by parts of a bucket longer."""
        kept = self.random
        self.random = Random(7)
        drawn = [BASE_US * self.common() * self.noise(heavy) for _ in range(40_000)]
        self.random = kept
        curves = []
        for part in range(FINE):
            at = [0] * (BUCKETS + 1)
            for one in drawn:
                at[min(max(int((log2(one) - 10) * BUCKETS_PER_OCTAVE + part / FINE), 0), BUCKETS)] += 1
            left = len(drawn)
            hazards = []
            for n in at[:BUCKETS]:
                hazards.append(n / left if left else 1.0)
                left -= n
            curves.append(survival(hazards))
        return curves

    def true(self, group: int, engine: int) -> tuple[list[float], int]:
        """A part's curve, and by how many buckets it is longer."""
        fine = round(log2(self.factor(group, engine)) * BUCKETS_PER_OCTAVE * FINE)
        return self._curves[self.heavy][fine % FINE], fine // FINE


class Told(LearnedStoppingRule):
    """One query's machine with the truth in place of what was learned."""

    edge_stride = 1  # all edges
    world: World

    def part_sent(self, now: int, position: int, engine: str, condition: EngineCondition) -> None:
        super().part_sent(now, position, engine, condition)
        world = self.world
        curve, shift = world.true(self._scattered.groups[position], world.names.index(engine))
        part = self._pending[position]
        short = max(-MAX_FASTER_SHIFT, min(shift, MAX_SLOWER_SHIFT))
        more = shift - short  # beyond what a factor has
        part.curve = (
            curve
            if not more
            else [1.0] * more + curve[:-more]
            if more > 0
            else (curve[-more:] + curve[-1:] * -more)
        )
        part.engine = SlownessFilter(now)
        part.engine.plausible = [(short, 1.0)]

    def _record(self, now: int, part: PendingPart, is_complete: bool) -> None:
        pass


class Perfect(LearnedStoppingRules):
    def __init__(self, world: World) -> None:
        super().__init__(0)
        self.world = world

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> LearnedStoppingRule:
        known = super().start_query(now, scattered, deadline)
        moment = Told(self, now, scattered, known._table, _SURE, deadline, False)
        moment.world = self.world
        moment.price_factor = 1.0
        return moment


class _Sure(ClassLatency):
    def effective_sample_size(self) -> float:
        return 1e9


_SURE = _Sure(LatencyModel(0), 0)


def play_out(moment: LearnedStoppingRule, now: int, engines: Sequence[str], times: Sequence[int]) -> int:
    """Tell a query's machine all of its ends at their times; returns how long it waited."""
    for place, engine in enumerate(engines):
        moment.part_sent(now, place, engine, EngineCondition.USUAL)
    verdict = moment.evaluate(now)
    at = now
    for took, place in sorted((took, place) for place, took in enumerate(times)):
        while isinstance(verdict, WaitUntil) and verdict.until < now + took:
            at = max(at, verdict.until)
            verdict = moment.evaluate(at)
        if not isinstance(verdict, WaitUntil):
            break
        at = now + took
        verdict = moment.part_ended(at, place, PartOutcome.COMPLETE)
    moment.finish(at)
    return at - now


class Dropping(LatencyModel):
    """A fault put in on purpose: parts that are given up are not counted, so only the quick ones are."""

    def record(
        self,
        now: int,
        group: GroupLatency,
        engine: SlownessFilter | None,
        shift: int,
        elapsed_us: int,
        is_complete: bool,
    ) -> int:
        return super().record(now, group, engine, shift, elapsed_us, True) if is_complete else 0


def longer_never(now: int, learned: LatencyModel | None = None) -> LearnedStoppingRules:
    """No query waits longer than pays."""
    moments = LearnedStoppingRules(now, learned)
    moments.explore_every = 0
    return moments


def dropping(now: int) -> LearnedStoppingRules:
    return longer_never(now, Dropping(now))


@dataclass(slots=True)
class Query:
    at: int
    times: list[int]
    engines: list[int]
    learned: float = 0.0  # utility
    perfect: float = 0.0
    waited: int = 0
    whole: int = 0
    answered: bool = False


class GatherFleet:
    """Routers of one case. ``make`` may put another learner in."""

    def __init__(
        self,
        case: Case,
        make: Callable[[int], LearnedStoppingRules] = LearnedStoppingRules,
        *,
        judge: bool = True,
        told: bool = True,
    ) -> None:
        self.case = case
        self.world = World(case)
        self.now = 0
        self.scattered, self.table = case.scattered(), utilities(case.curve, case.parts)
        self.routers = [make(0) for _ in range(case.routers)]
        self.perfect = Perfect(self.world) if judge else None
        self.random = Random(case.seed + 1000)
        self.log: list[Query] = []
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._count = count()
        self.weather = Random(case.seed + 2000)
        self.tellers = (
            [
                EstimateGossip(me, case.routers, ["report"], router.model, 0)
                for me, router in enumerate(self.routers)
            ]
            if told
            else []
        )
        self.bytes = 0
        for me, teller in enumerate(self.tellers):
            self.at(teller.next_tick(), partial(self._tick, me))
        self.at(0, self._wander)
        self.at(0, self._come)

    def at(self, when: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (when, next(self._count), action))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until

    def _tick(self, me: int) -> None:
        self._send(me, self.tellers[me].tick(self.now))
        self.at(max(self.now + 1, self.tellers[me].next_tick()), partial(self._tick, me))

    def _send(self, me: int, sent: Sequence[Send]) -> None:
        """One in twenty is lost, and one comes twice."""
        for to, body in sent:
            self.bytes += len(body)
            for _ in range(self.weather.choices((0, 1, 2), (0.05, 0.9, 0.05))[0]):
                self.at(self.now + self.weather.randrange(200, 30_000), partial(self._hear, to, me, body))

    def _hear(self, to: int, sender: int, body: bytes) -> None:
        self._send(to, self.tellers[to].receive(self.now, sender, 1, body))

    def _wander(self) -> None:
        self.world.step()
        self.at(self.now + WANDER_US, self._wander)

    def _come(self) -> None:
        world = self.world
        self.at(self.now + int(self.random.expovariate(self.case.rate) * SECOND) + 1, self._come)
        common = world.common()
        engines = [world.engine(group) for group in range(self.case.parts)]
        times = [
            int(BASE_US * common * world.factor(group, engine) * world.noise(world.heavy)) + 1
            for group, engine in enumerate(engines)
        ]
        query = Query(self.now, times, engines)
        self.log.append(query)
        names = [world.names[engine] for engine in engines]
        if self.perfect:
            waited = play_out(
                self.perfect.start_query(self.now, self.scattered, self.now + 10 * SECOND),
                self.now,
                names,
                times,
            )
            query.perfect = self.utility(times, waited)
        _Played(self, self.routers[self.random.randrange(self.case.routers)], query, names)

    def utility(self, times: Sequence[int], waited: int) -> float:
        return self.table[sum(took <= waited for took in times)] - self.case.price * waited / SECOND

    def worth(self, since: int, until: int, way: Callable[[Query], float]) -> float:
        """Mean utility of the queries that came then."""
        found = [way(query) for query in self.log if since <= query.at < until]
        return sum(found) / max(1, len(found))

    def fixed(self, deadline: int) -> Callable[[Query], float]:
        """All parts, or those that are there by then."""
        return lambda query: self.utility(query.times, min(deadline, LATEST_US, max(query.times)))

    def quantile(self, share: float = QUANTILE) -> Callable[[Query], float]:
        place = max(0, round(share * self.case.parts) - 1)
        return lambda query: self.utility(query.times, min(LATEST_US, sorted(query.times)[place]))


class _Played:
    """A query at a router, in the fleet's time."""

    def __init__(
        self, fleet: GatherFleet, router: LearnedStoppingRules, query: Query, engines: Sequence[str]
    ) -> None:
        self.fleet = fleet
        self.query = query
        self.over = False
        now = query.at
        self.moment = router.start_query(now, fleet.scattered, now + 10 * SECOND)
        for place, engine in enumerate(engines):
            self.moment.part_sent(now, place, engine, EngineCondition.USUAL)
            if query.times[place] <= LATEST_US:
                fleet.at(now + query.times[place], partial(self._ended, place))
        self.until = now
        self._follow(self.moment.evaluate(now))

    def _ended(self, place: int) -> None:
        if not self.over:
            self._follow(self.moment.part_ended(self.fleet.now, place, PartOutcome.COMPLETE))

    def _look(self, until: int) -> None:
        if not self.over and until == self.until:
            self._follow(self.moment.evaluate(self.fleet.now))

    def _follow(self, verdict: StoppingDecision) -> None:
        fleet = self.fleet
        query = self.query
        if isinstance(verdict, WaitUntil):
            if verdict.until != self.until:
                self.until = verdict.until
                fleet.at(self.until, partial(self._look, self.until))
            return
        self.over = True
        query.waited = fleet.now - query.at
        query.whole, query.answered = self.moment.complete_count, isinstance(verdict, AnswerNow)
        query.learned = fleet.table[query.whole] * query.answered - fleet.case.price * query.waited / SECOND
        self.moment.finish(fleet.now)
