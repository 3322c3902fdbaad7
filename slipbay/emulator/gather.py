"""Scattered queries over many routers, in simulated time.

The stopping rules and the gossip of estimates are the real ones. Latencies of parts are drawn from known
distributions, so that the utility of other stopping times can be computed from the same latencies.

The latency of a part is ``base x group x engine x query x noise``. The factor of an engine is its slowness
times the effect of its load, which follows an AR(1) process over some seconds. All parts on an engine share
the engine's factor, and all parts of a query share the query's factor. A rule with perfect knowledge has all
factors except the query's factor and the noise, of which it has the distribution; it stops by the same
criterion. Times are integers in us.
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
SUBBUCKETS = 4  # fractions of a bucket to which perfect knowledge resolves a factor
LOAD_STEP_US = SECOND // 4
LOAD_CORRELATION_S = 5.0  # time constant of the AR(1) process of an engine's load
QUERY_SIGMA = 0.2


@dataclass(frozen=True)
class Case:
    """Settings of one simulated run."""

    parts: int = 16
    heavy: bool = False
    slow: bool = False
    load: float = 0.8
    routers: int = 1
    seed: int = 1
    rate: float = 20.0  # queries per second of all routers together
    engines: int = 20
    curve: Curve = CURVE
    price: float = PRICE

    def scattered(self) -> ScatteredClass:
        """Return the scattered class of the case's queries."""
        return ScatteredClass(
            "report", "part", tuple(range(self.parts)), "{group}", self.curve, self.price, LATEST_US
        )


class World:
    """The true latency distributions.

    ``scale``, ``slowness`` and ``heavy`` may be changed during a run.
    """

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
        self.load_effect = [draw.gauss(0, self.sigma) for _ in self.names]
        self._curves = {heavy: self._true_curves(heavy) for heavy in (False, True)}

    @property
    def sigma(self) -> float:
        """Standard deviation of the logarithm of an engine's load effect."""
        return 0.1 + 0.35 * self.case.load**2

    def slow(self, engines: Sequence[int]) -> None:
        """Make the given engines 3 to 10 times slower, and all others normal."""
        self.slowness = [1.0] * self.case.engines
        for engine in engines:
            self.slowness[engine] = self.random.uniform(3, 10)

    def rescale(self, by: float) -> None:
        """Multiply all latencies by a factor."""
        self.scale *= by

    def other_tail(self) -> None:
        """Switch between the light and the heavy tail of the noise."""
        self.heavy = not self.heavy

    def step(self) -> None:
        """Advance the load effect of all engines by ``LOAD_STEP_US``."""
        keep = exp(-LOAD_STEP_US / SECOND / LOAD_CORRELATION_S)
        fresh = self.sigma * sqrt(1 - keep * keep)
        self.load_effect = [keep * effect + self.random.gauss(0, fresh) for effect in self.load_effect]

    def engine(self, group: int) -> int:
        """Return an engine for a part: with probability 0.8 the group's preferred one, else a random one."""
        engines = self.case.engines
        return group * 7 % engines if self.random.random() < 0.8 else self.random.randrange(engines)

    def factor(self, group: int, engine: int) -> float:
        """Return the latency factor of a group's part on an engine."""
        load = min(self.case.load, 0.95)
        busy = 1 + 0.5 * load * load / (1 - load) / 4 + max(0.0, self.case.load - 0.95) * 6
        return self.scale * self.groups[group] * self.slowness[engine] * busy * exp(self.load_effect[engine])

    def noise(self, heavy: bool) -> float:
        """Draw the noise factor of one part."""
        draw = self.random
        found = exp(draw.gauss(0, 0.35))
        if heavy and draw.random() < 0.1:
            found *= min(100.0, 3 * draw.paretovariate(1.3))
        return found

    def common(self) -> float:
        """Draw the factor that all parts of a query share."""
        return exp(self.random.gauss(0, QUERY_SIGMA))

    def _true_curves(self, heavy: bool) -> list[list[float]]:
        """Return the survival curves of a part with factor 1, one for each fraction of a bucket."""
        saved_random = self.random
        self.random = Random(7)
        latencies_us = [BASE_US * self.common() * self.noise(heavy) for _ in range(40_000)]
        self.random = saved_random
        curves = []
        for fraction in range(SUBBUCKETS):
            counts = [0] * (BUCKETS + 1)
            for latency_us in latencies_us:
                counts[
                    min(
                        max(int((log2(latency_us) - 10) * BUCKETS_PER_OCTAVE + fraction / SUBBUCKETS), 0),
                        BUCKETS,
                    )
                ] += 1
            remaining = len(latencies_us)
            hazards = []
            for n in counts[:BUCKETS]:
                hazards.append(n / remaining if remaining else 1.0)
                remaining -= n
            curves.append(survival(hazards))
        return curves

    def true_curve(self, group: int, engine: int) -> tuple[list[float], int]:
        """Return the survival curve of a part, and the number of buckets by which to shift it."""
        position = round(log2(self.factor(group, engine)) * BUCKETS_PER_OCTAVE * SUBBUCKETS)
        return self._curves[self.heavy][position % SUBBUCKETS], position // SUBBUCKETS


class OracleStoppingRule(LearnedStoppingRule):
    """Stopping rule of one query that uses the true distributions in place of learned ones."""

    edge_stride = 1  # evaluates the utility at all bucket edges
    world: World

    def part_sent(self, now: int, position: int, engine: str, condition: EngineCondition) -> None:
        """Record that a part was sent, with its true curve."""
        super().part_sent(now, position, engine, condition)
        world = self.world
        curve, shift = world.true_curve(self._scattered.groups[position], world.names.index(engine))
        part = self._pending[position]
        bounded_shift = max(-MAX_FASTER_SHIFT, min(shift, MAX_SLOWER_SHIFT))
        excess = shift - bounded_shift  # beyond the range that the slowness filter supports
        part.curve = (
            curve
            if not excess
            else [1.0] * excess + curve[:-excess]
            if excess > 0
            else (curve[-excess:] + curve[-1:] * -excess)
        )
        part.engine = SlownessFilter(now)
        part.engine.plausible = [(bounded_shift, 1.0)]

    def _record(self, now: int, part: PendingPart, is_complete: bool) -> None:
        pass


class OracleStoppingRules(LearnedStoppingRules):
    """Stopping rules with perfect knowledge of the distributions."""

    def __init__(self, world: World) -> None:
        super().__init__(0)
        self.world = world

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> LearnedStoppingRule:
        """Return the rule of a new query."""
        learned_rule = super().start_query(now, scattered, deadline)
        rule = OracleStoppingRule(self, now, scattered, learned_rule._table, _CERTAIN, deadline, False)
        rule.world = self.world
        rule.price_factor = 1.0
        return rule


class _CertainLatency(ClassLatency):
    def effective_sample_size(self) -> float:
        """Return a size at which the estimates count as certain."""
        return 1e9


_CERTAIN = _CertainLatency(LatencyModel(0), 0)


def replay_query(rule: LearnedStoppingRule, now: int, engines: Sequence[str], times: Sequence[int]) -> int:
    """Report the ends of all parts to a query's stopping rule in order; return how long it waited, in us."""
    for position, engine in enumerate(engines):
        rule.part_sent(now, position, engine, EngineCondition.USUAL)
    decision = rule.evaluate(now)
    at = now
    for latency_us, position in sorted((latency_us, position) for position, latency_us in enumerate(times)):
        while isinstance(decision, WaitUntil) and decision.until < now + latency_us:
            at = max(at, decision.until)
            decision = rule.evaluate(at)
        if not isinstance(decision, WaitUntil):
            break
        at = now + latency_us
        decision = rule.part_ended(at, position, PartOutcome.COMPLETE)
    rule.finish(at)
    return at - now


class CompletePartsOnlyModel(LatencyModel):
    """A deliberately faulty model: it ignores abandoned parts and so counts only the fast ones."""

    def record(
        self,
        now: int,
        group: GroupLatency,
        engine: SlownessFilter | None,
        shift: int,
        elapsed_us: int,
        is_complete: bool,
    ) -> int:
        """Record the latency of a complete part; ignore any other part."""
        return super().record(now, group, engine, shift, elapsed_us, True) if is_complete else 0


def longer_never(now: int, learned: LatencyModel | None = None) -> LearnedStoppingRules:
    """Return stopping rules that never wait longer than the expected utility justifies."""
    rules = LearnedStoppingRules(now, learned)
    rules.explore_every = 0
    return rules


def dropping(now: int) -> LearnedStoppingRules:
    """Return such stopping rules with the deliberately faulty model."""
    return longer_never(now, CompletePartsOnlyModel(now))


@dataclass(slots=True)
class Query:
    """One scattered query: the latencies of its parts, and the utility that the rules achieved."""

    at: int
    times: list[int]
    engines: list[int]
    learned: float = 0.0  # utility with learned estimates
    perfect: float = 0.0  # utility with perfect knowledge
    waited: int = 0
    whole: int = 0
    answered: bool = False


class GatherFleet:
    """Routers and queries of one case. ``make`` builds the stopping rules of a router."""

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
        self.perfect = OracleStoppingRules(self.world) if judge else None
        self.random = Random(case.seed + 1000)
        self.log: list[Query] = []
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._count = count()
        self.network_random = Random(case.seed + 2000)
        self.gossips = (
            [
                EstimateGossip(me, case.routers, ["report"], router.model, 0)
                for me, router in enumerate(self.routers)
            ]
            if told
            else []
        )
        self.bytes = 0
        for me, gossip in enumerate(self.gossips):
            self.at(gossip.next_tick(), partial(self._tick, me))
        self.at(0, self._step_load)
        self.at(0, self._start_query)

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._due, (when, next(self._count), action))

    def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        until = self.now + int(seconds * SECOND)
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until

    def _tick(self, me: int) -> None:
        self._send(me, self.gossips[me].tick(self.now))
        self.at(max(self.now + 1, self.gossips[me].next_tick()), partial(self._tick, me))

    def _send(self, me: int, sent: Sequence[Send]) -> None:
        """Send messages; 5 % of them are lost and 5 % are duplicated."""
        for to, body in sent:
            self.bytes += len(body)
            for _ in range(self.network_random.choices((0, 1, 2), (0.05, 0.9, 0.05))[0]):
                self.at(
                    self.now + self.network_random.randrange(200, 30_000),
                    partial(self._receive, to, me, body),
                )

    def _receive(self, to: int, sender: int, body: bytes) -> None:
        self._send(to, self.gossips[to].receive(self.now, sender, 1, body))

    def _step_load(self) -> None:
        self.world.step()
        self.at(self.now + LOAD_STEP_US, self._step_load)

    def _start_query(self) -> None:
        world = self.world
        self.at(self.now + int(self.random.expovariate(self.case.rate) * SECOND) + 1, self._start_query)
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
            waited = replay_query(
                self.perfect.start_query(self.now, self.scattered, self.now + 10 * SECOND),
                self.now,
                names,
                times,
            )
            query.perfect = self.utility(times, waited)
        _RunningQuery(self, self.routers[self.random.randrange(self.case.routers)], query, names)

    def utility(self, times: Sequence[int], waited: int) -> float:
        """Return the utility of answering a query after ``waited`` us."""
        return (
            self.table[sum(latency_us <= waited for latency_us in times)] - self.case.price * waited / SECOND
        )

    def worth(self, since: int, until: int, way: Callable[[Query], float]) -> float:
        """Return the mean utility of the queries that arrived in a time span."""
        values = [way(query) for query in self.log if since <= query.at < until]
        return sum(values) / max(1, len(values))

    def fixed(self, deadline: int) -> Callable[[Query], float]:
        """Return a function: the utility of a query that waits for all parts, at most until a deadline."""
        return lambda query: self.utility(query.times, min(deadline, LATEST_US, max(query.times)))

    def quantile(self, share: float = QUANTILE) -> Callable[[Query], float]:
        """Return a function: the utility of a query that waits for a fixed share of its parts."""
        position = max(0, round(share * self.case.parts) - 1)
        return lambda query: self.utility(query.times, min(LATEST_US, sorted(query.times)[position]))


class _RunningQuery:
    """A query that runs at a router in simulated time."""

    def __init__(
        self, fleet: GatherFleet, router: LearnedStoppingRules, query: Query, engines: Sequence[str]
    ) -> None:
        self.fleet = fleet
        self.query = query
        self.is_finished = False
        now = query.at
        self.rule = router.start_query(now, fleet.scattered, now + 10 * SECOND)
        for position, engine in enumerate(engines):
            self.rule.part_sent(now, position, engine, EngineCondition.USUAL)
            if query.times[position] <= LATEST_US:
                fleet.at(now + query.times[position], partial(self._part_ended, position))
        self.until = now
        self._apply(self.rule.evaluate(now))

    def _part_ended(self, position: int) -> None:
        if not self.is_finished:
            self._apply(self.rule.part_ended(self.fleet.now, position, PartOutcome.COMPLETE))

    def _reevaluate(self, until: int) -> None:
        if not self.is_finished and until == self.until:
            self._apply(self.rule.evaluate(self.fleet.now))

    def _apply(self, decision: StoppingDecision) -> None:
        fleet = self.fleet
        query = self.query
        if isinstance(decision, WaitUntil):
            if decision.until != self.until:
                self.until = decision.until
                fleet.at(self.until, partial(self._reevaluate, self.until))
            return
        self.is_finished = True
        query.waited = fleet.now - query.at
        query.whole, query.answered = self.rule.complete_count, isinstance(decision, AnswerNow)
        query.learned = fleet.table[query.whole] * query.answered - fleet.case.price * query.waited / SECOND
        self.rule.finish(fleet.now)
