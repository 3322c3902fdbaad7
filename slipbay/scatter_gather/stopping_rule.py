"""When a scattered query is answered: waiting goes on while the utility that is expected from more parts, at
the best stopping time, is more than the price of the wait.

Nothing here does I/O, reads a clock or draws random numbers. Times are whole us.
"""

from __future__ import annotations

from bisect import bisect_left
from math import ceil, sqrt
from operator import add, mul

from slipbay.scatter_gather.interfaces import (
    Abort,
    AnswerNow,
    Curve,
    EngineCondition,
    PartOutcome,
    ScatteredClass,
    StoppingDecision,
    WaitUntil,
)
from slipbay.scatter_gather.latency_model import (
    BUCKET_EDGES_US,
    BUCKETS,
    MIN_CLASS_OBSERVATIONS,
    PADDING,
    SECOND,
    ClassLatency,
    GroupLatency,
    LatencyModel,
    SlownessFilter,
    bucket_position,
)

# One in this many queries of a class waits longer than is optimal, so that the tail is still observed
EXPLORE_EVERY = 50
EXPLORE_FACTOR = 2  # by which such a query extends its waiting time
# With many parts out, the stopping time is recomputed once 1/8 of them has ended, not after each
RECOMPUTE_DIVISOR = 8
MAX_PACE_SAMPLES = 2  # parts of one query that are evidence for the pace of its class; parts are correlated
ENGINE_CORRELATION = 0.3  # assumed correlation between parts of one query on one engine
# With few observations the price of waiting is reduced by up to this fraction: a query that stops early
# observes nothing about the tail
MAX_PRICE_REDUCTION = 0.25
HALF_REDUCTION_OBSERVATIONS = 200.0  # sample size at which half of that reduction is left
EVALUATION_DIVISOR = 3  # the next evaluation is at least the query's age divided by this away
EDGE_STRIDE = 2  # every second bucket edge is a candidate for the stopping time


def utilities(curve: Curve, count: int) -> list[float]:
    """Return the utility of 0 to ``count`` parts, with the last one repeated."""
    points = [*curve, (1.0, 1.0)]
    values = [0.0] * (count + 2)
    for n in range(min_part_count(curve, count), count + 2):
        fraction = min(1.0, n / count)
        after = min(max(bisect_left(points, (fraction, 2.0)), 1), len(points) - 1)
        (low, low_utility), (high, high_utility) = points[after - 1], points[after]
        values[n] = (
            high_utility
            if high <= low
            else low_utility + (high_utility - low_utility) * min(1.0, (fraction - low) / (high - low))
        )
    return values


def min_part_count(curve: Curve, count: int) -> int:
    """Return the smallest number of parts that is ever answered."""
    return max(1, ceil(curve[0][0] * count - 1e-9))


class UtilityTable:
    """Utility of a declared class by the number of complete parts.

    ``linear_from`` is the number of parts from which on the utility is linear. ``skippable_ends`` times the
    expected gain is the number of parts that may end before the stopping time is recomputed.
    """

    __slots__ = ("linear_from", "min_parts", "skippable_ends", "utilities")

    def __init__(self, scattered: ScatteredClass) -> None:
        count = len(scattered.groups)
        self.utilities, self.min_parts = (
            utilities(scattered.curve, count),
            min_part_count(scattered.curve, count),
        )
        steps = [self.utilities[n + 1] - self.utilities[n] for n in range(count)]
        # Each part that ends reduces the expected gain by at most the largest step. Half as many parts as
        # would reduce it to 0 may end without a new computation.
        self.skippable_ends = 0.5 / max(steps[self.min_parts :] or [1.0])
        self.linear_from = count - 1
        while self.linear_from > 0 and abs(steps[self.linear_from - 1] - steps[-1]) < 1e-9:
            self.linear_from -= 1


class PendingPart:
    """A part that has been sent and has not ended."""

    __slots__ = ("curve", "engine", "group", "is_sample", "sent_us")

    def __init__(self, sent_us: int, group: GroupLatency, engine: SlownessFilter) -> None:
        self.sent_us, self.group, self.engine, self.is_sample = (
            sent_us,
            group,
            engine,
            engine.start_sample(sent_us),
        )
        self.curve = group.curve(sent_us)  # as estimated at that time


class LearnedStoppingRule:
    """The stopping rule of one query. See ``slipbay.scatter_gather.interfaces.StoppingRule``."""

    edge_stride = EDGE_STRIDE

    def __init__(
        self,
        rules: LearnedStoppingRules,
        now: int,
        scattered: ScatteredClass,
        table: UtilityTable,
        class_latency: ClassLatency,
        deadline: int,
        explores: bool,
    ) -> None:
        """``explores``: whether this query waits longer than is optimal."""
        self._rules = rules
        self._scattered = scattered
        self._table = table
        self._class_latency = class_latency
        self._started_us = now
        self._part_count = len(scattered.groups)
        self.answer_by_us = min(now + scattered.latest_us, deadline)
        self._pending: dict[int, PendingPart] = {}  # by position
        self._unsent = set(range(self._part_count))  # positions
        self.complete_count = 0
        self.failed_count = 0
        # The last computation is valid until this time and for this number of ends
        self._valid_until_us = now
        self._ends_to_skip = 0
        self._explores = explores
        self._extended_until_us = 0  # 0: not extended
        self._pace_samples: list[tuple[list[float], int, bool]] = []
        sample_size = class_latency.effective_sample_size()
        self._has_estimates = sample_size >= MIN_CLASS_OBSERVATIONS
        self.price_factor = 1.0 - MAX_PRICE_REDUCTION * HALF_REDUCTION_OBSERVATIONS / (
            HALF_REDUCTION_OBSERVATIONS + sample_size
        )
        self._is_pace_sample = self._has_estimates and class_latency.pace.start_sample(now)
        self._is_finished = False

    def part_sent(self, now: int, position: int, engine: str, condition: EngineCondition) -> None:
        """See ``StoppingRule.part_sent``."""
        if position in self._pending:
            self._record_censored(now, self._pending[position])
        self._unsent.discard(position)
        model = self._rules.model
        self._pending[position] = PendingPart(
            now,
            self._class_latency.group_latency(self._scattered.groups[position], condition),
            model.engine(now, engine),
        )
        self._ends_to_skip = 0

    def part_ended(self, now: int, position: int, outcome: PartOutcome) -> StoppingDecision:
        """See ``StoppingRule.part_ended``."""
        part = self._pending.pop(position, None)
        self._unsent.discard(position)
        if outcome is PartOutcome.COMPLETE:
            self.complete_count += 1
            if part is not None:
                self._record(now, part, True)
        else:
            self.failed_count += 1
            self._ends_to_skip = 0
            if part is not None:
                self._record_censored(now, part)
        if (
            self._ends_to_skip > 0
            and now < self._valid_until_us
            and self.complete_count + self.failed_count < self._part_count
        ):
            self._ends_to_skip -= 1
            return WaitUntil(self._valid_until_us)
        return self.evaluate(now)

    def evaluate(self, now: int) -> StoppingDecision:
        """See ``StoppingRule.evaluate``."""
        remaining = self._part_count - self.complete_count - self.failed_count
        min_parts = self._table.min_parts
        if self.complete_count + remaining < min_parts:
            return Abort()
        if not remaining:
            return AnswerNow()
        if now >= self.answer_by_us:
            return AnswerNow() if self.complete_count >= min_parts else Abort()
        if self.complete_count < min_parts:
            self._valid_until_us = self.answer_by_us
            self._ends_to_skip = min_parts - self.complete_count - 1
            return WaitUntil(self.answer_by_us)
        if self._extended_until_us:
            return WaitUntil(self._extended_until_us) if now < self._extended_until_us else AnswerNow()
        # The histograms cover no times beyond their last edges
        if not self._has_estimates or now - self._started_us >= BUCKET_EDGES_US[-2]:
            self._valid_until_us = self.answer_by_us
            return WaitUntil(self.answer_by_us)
        until, gain = self._best_stopping_time(now, remaining)
        if until <= now:
            if not self._explores:
                return AnswerNow()
            self._extended_until_us = until = min(
                self.answer_by_us, self._started_us + (now - self._started_us) * EXPLORE_FACTOR + 1
            )
        self._valid_until_us = until
        self._ends_to_skip = max(remaining // RECOMPUTE_DIVISOR, int(gain * self._table.skippable_ends))
        return WaitUntil(until)

    def finish(self, now: int) -> None:
        """See ``StoppingRule.finish``."""
        if self._is_finished:
            return
        self._is_finished = True
        for part in self._pending.values():
            self._record_censored(now, part)
        self._pending.clear()
        if self._pace_samples:
            self._rules.record_pace(now, self._class_latency, self._pace_samples)

    def _record(self, now: int, part: PendingPart, is_complete: bool) -> None:
        bucket = self._rules.model.record(
            now,
            part.group,
            part.engine if part.is_sample else None,
            part.engine.shift,
            now - part.sent_us,
            is_complete,
        )
        if self._is_pace_sample and len(self._pace_samples) < MAX_PACE_SAMPLES:
            self._pace_samples.append((part.curve, bucket, is_complete))

    def _record_censored(self, now: int, part: PendingPart) -> None:
        if now > part.sent_us:
            self._record(now, part, False)

    def _best_stopping_time(self, now: int, remaining: int) -> tuple[int, float]:
        """Return the time of the next evaluation and the expected net gain of the best stopping time.

        The time is ``now`` if it is best to stop at once. Candidates are the bucket edges, counted from the
        start of the query.
        """
        started_us = self._started_us
        complete_count = self.complete_count
        table = self._table
        answer_by_us = self.answer_by_us
        low = int(bucket_position(max(now - started_us, (answer_by_us - started_us) >> 6))) + 1
        high = (
            max(
                low,
                min(
                    bisect_left(BUCKET_EDGES_US, answer_by_us - started_us) + self.edge_stride - 1,
                    BUCKETS,
                ),
            )
            + 1
        )
        missing, squares = self._expected_missing(now, range(low, high, self.edge_stride))
        utility = table.utilities
        price = self._scattered.price_per_s * self.price_factor / SECOND
        best_gain = 0.0
        until = now
        utility_now = utility[complete_count]
        paid = 0.0
        max_gain = utility[complete_count + remaining] - utility_now
        is_linear = complete_count >= table.linear_from
        slope = utility[complete_count + 1] - utility_now
        spread = 1.0
        if not is_linear:
            engines = len({id(part.engine) for part in self._pending.values()})
            # Parts on one engine are correlated, which widens the distribution of the number that complete.
            # The 3 is the squared distance of the outer points of the quadrature below, in standard
            # deviations.
            spread = 3.0 + 3.0 * ENGINE_CORRELATION * (remaining / max(1, engines) - 1)
        previous = now
        previous_incomplete = 1.0
        for edge, expected, square in zip(
            BUCKET_EDGES_US[low : high : self.edge_stride], missing, squares, strict=True
        ):
            candidate = started_us + edge
            candidate = min(candidate, answer_by_us)
            # The probability that any part is missing, as if expected / chance parts had the same chance
            chance = square / expected
            incomplete = 1.0 - (1.0 - chance) ** (expected / chance) if chance < 1.0 else 1.0
            # Waiting costs only until all parts are complete
            paid += 0.5 * (previous_incomplete + incomplete) * (candidate - previous) * price
            if paid > max_gain - best_gain:
                break
            previous = candidate
            previous_incomplete = incomplete
            if is_linear:
                gain = slope * (remaining - expected) - paid
            else:  # quadrature with three points: the mean, with weight 4/6, and one on each side, with 1/6
                mean = complete_count + remaining - expected
                deviation = sqrt(spread * (expected - square)) if expected > square else 0.0
                n = int(mean)
                gain = (utility[n] + (mean - n) * (utility[n + 1] - utility[n])) * 4.0
                point = mean - deviation
                if point < complete_count:
                    gain += utility_now
                else:
                    n = int(point)
                    gain += utility[n] + (point - n) * (utility[n + 1] - utility[n])
                point = mean + deviation
                if point >= complete_count + remaining:
                    gain += max_gain + utility_now
                else:
                    n = int(point)
                    gain += utility[n] + (point - n) * (utility[n + 1] - utility[n])
                gain = gain / 6.0 - utility_now - paid
            if gain > best_gain:
                best_gain = gain
                until = candidate
        if until > now:  # evaluate before that time: the estimates for the remaining parts change meanwhile
            until = min(until, now + max((until - now + 1) // 2, (now - started_us) // EVALUATION_DIVISOR))
        return until, best_gain

    def _expected_missing(self, now: int, edges: range) -> tuple[list[float], list[float]]:
        """Return the expected number of missing parts at each edge, and the sum of their squared chances."""
        low = edges.start
        high = edges.stop
        stride = edges.step
        missing = [1e-9] * len(edges)
        squares = [1e-18] * len(edges)
        empty: list[float] = []
        parts = list(self._pending.values())
        for position in self._unsent:  # parts that wait to be sent count as if they were sent now
            group = self._class_latency.group_latency(self._scattered.groups[position], EngineCondition.USUAL)
            parts.append(PendingPart(now, group, self._rules.usual))
        indexes: dict[int, tuple[float, list[int] | None]] = {}
        for part in parts:
            sent_at_us = part.sent_us
            if sent_at_us not in indexes:
                indexes[sent_at_us] = self._curve_indexes(now, sent_at_us, edges)
            present, offsets = indexes[sent_at_us]
            curve = part.curve
            whole_buckets = int(present)
            past = 0.0  # probability that the part takes longer than it has taken so far
            chances = empty
            remainder = present - whole_buckets
            for shift, weight in part.engine.plausible_shifts():
                base = PADDING - shift
                left = curve[whole_buckets + base]
                past += weight * (left + (curve[whole_buckets + base + 1] - left) * remainder)
                ahead = (
                    curve[low + base : high + base : stride]
                    if offsets is None
                    else [curve[base + offset] for offset in offsets]
                )
                if weight != 1.0:
                    ahead = [weight * chance for chance in ahead]
                chances = ahead if chances is empty else list(map(add, chances, ahead))
            scale = 1.0 / past
            chances = [chance * scale for chance in chances]
            missing = list(map(add, missing, chances))
            squares = list(map(add, squares, map(mul, chances, chances)))
        return missing, squares

    def _curve_indexes(self, now: int, sent_us: int, edges: range) -> tuple[float, list[int] | None]:
        """Return the positions on the curve of a part sent at ``sent_us``: at present, and at each edge.

        None stands for the edges themselves, where the part was sent at about the start of the query.
        """
        delay_us = sent_us - self._started_us
        present = min(bucket_position(now - sent_us), BUCKETS - 0.001)
        if delay_us < BUCKET_EDGES_US[edges[0]] >> 5:
            return present, None
        return present, [
            max(int(present), round(bucket_position(BUCKET_EDGES_US[n] - delay_us))) for n in edges
        ]


class LearnedStoppingRules:
    """The stopping rules of one router. See ``slipbay.scatter_gather.interfaces.StoppingRules``."""

    def __init__(self, now: int, model: LatencyModel | None = None) -> None:
        self.model = model or LatencyModel(now)
        self.usual = SlownessFilter(now)  # stands for the engine of a part that is not sent yet
        self.explore_every = EXPLORE_EVERY  # 0: no query explores
        self._tables: dict[ScatteredClass, UtilityTable] = {}

    def start_query(self, now: int, scattered: ScatteredClass, deadline: int) -> LearnedStoppingRule:
        """See ``StoppingRules.start_query``."""
        table = self._tables.get(scattered)
        if table is None:
            if len(self._tables) >= MAX_TABLES:
                self._tables.clear()
            table = self._tables[scattered] = UtilityTable(scattered)
        self.model.advance(now)
        class_latency = self.model.class_latency(now, scattered.service_class)
        class_latency.query_count += 1
        return LearnedStoppingRule(
            self,
            now,
            scattered,
            table,
            class_latency,
            deadline,
            self.explore_every > 0 and class_latency.query_count % self.explore_every == 0,
        )

    def record_pace(
        self, now: int, class_latency: ClassLatency, samples: list[tuple[list[float], int, bool]]
    ) -> None:
        """Use the parts of one query, together as one observation, for the pace of their class."""
        self.model.observe_pace(now, class_latency, samples)


MAX_TABLES = 256
