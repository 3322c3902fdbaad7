"""Estimates of how long parts of scattered queries take: for each class, decayed histograms over logarithmic
buckets, read with the product-limit estimator (Kaplan and Meier, 1958); for each engine, how slow it is.

A part that is abandoned is a *censored* observation: its time is longer than the time waited. It counts in
the risk set up to that time and not after. If such parts were left out, parts would look faster the sooner
they are abandoned.

Nothing here does I/O, reads a clock or draws random numbers. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp, log2
from operator import add, mul
from zlib import crc32

from slipbay.scatter_gather.interfaces import EngineCondition

SECOND = 1_000_000  # us
BUCKETS_PER_OCTAVE = 6  # each bucket is 12% wide
MIN_OCTAVE = 10  # the first edge is 2^10 us = 1 ms; shorter times count in the first bucket
BUCKETS = 16 * BUCKETS_PER_OCTAVE  # up to 2^26 us = 67 s
# A shift is the slowness of an engine in buckets; shifts go from a factor of 1/4 to one of 16 in half octaves
SHIFT_STEP = 3
MAX_SLOWER_SHIFT = 24
MAX_FASTER_SHIFT = 12
SHIFTS = tuple(range(-MAX_FASTER_SHIFT, MAX_SLOWER_SHIFT + 1, SHIFT_STEP))
USUAL_INDEX = SHIFTS.index(0)
# Curves extend beyond both ends, so that any shift is read without a bounds check
PADDING = MAX_SLOWER_SHIFT + 1
BUCKET_EDGES_US = tuple(round(2.0 ** (MIN_OCTAVE + n / BUCKETS_PER_OCTAVE)) for n in range(BUCKETS + 1))

DECAY_TIME_US = 30 * SECOND  # the age at which an observation weighs 1/e
# A curve is recomputed after this time, or after a quarter of it if there are many new observations
CURVE_LIFETIME_US = 2 * SECOND
EARLY_REFRESH_OBSERVATIONS = 32
STALENESS_CHECK_US = SECOND // 50
PRIOR_HAZARD = 0.08  # hazard of a bucket without observations
# Weight, in observations, of the estimate one level above in the hierarchy (the prior)
ROOT_PRIOR_WEIGHT = 2.0
PARENT_PRIOR_WEIGHT = 16.0
MIN_CLASS_OBSERVATIONS = 8.0  # with fewer, the class's histogram is not used for decisions
MIN_GROUP_OBSERVATIONS = 4.0  # with fewer, a group has no curve of its own
LIKELIHOOD_FLOOR = 0.01  # added to the likelihood of each bucket: one outlier does not mark an engine as slow
# A part abandoned while more than this fraction of parts is still out is no evidence; otherwise many such
# parts would add up to evidence that an engine is slow
MAX_CENSORED_LIKELIHOOD = 0.9
TRANSITION_PROBABILITY = 0.01  # that an engine's shift changes from one part to the next
PRIOR_RATIO = 0.75  # prior probability of a shift relative to the next one nearer to 0
SAMPLE_INTERVAL_US = SECOND // 20
PRIOR_RETURN_TIME_US = 120 * SECOND  # time scale on which the posterior returns to the prior without parts
# All peers' reports may weigh as many observations as the local ones, and this many more
PEER_BASE_WEIGHT = 80.0
PEER_SHARE_DIVISOR = 4  # one peer may weigh at most the limit for all peers divided by this
REPORT_LIFETIME_US = 90 * SECOND
MAX_PEER_HISTOGRAMS = 48  # for each class
# A peer's estimate of an engine is used only if the engine was not observed locally for this time
HINT_AFTER_US = 5 * SECOND
MAX_HINTS = 1024
# Posterior probability of a new pace at which the histograms of a class are shifted
PACE_CHANGE_CONFIDENCE = 0.8
# Fraction of the earlier weights that stays when a whole class changes its pace
KEPT_AFTER_PACE_CHANGE = 0.25
CENTRING_INTERVAL_US = SECOND
CENTRING_WINDOW_US = 30 * SECOND
MAX_ENGINES = 4096
MAX_GROUP_LATENCIES = 256  # for each class: 64 groups in 3 conditions, with some reserve


def bucket_position(time_us: int) -> float:
    """Return the position of a time among the bucket edges, in buckets."""
    return (log2(time_us) - MIN_OCTAVE) * BUCKETS_PER_OCTAVE if time_us > BUCKET_EDGES_US[0] else 0.0


def bucket_index(time_us: int) -> int:
    """Return the number of the bucket that a time falls in."""
    return min(int(bucket_position(time_us)), BUCKETS - 1)


@dataclass(slots=True)
class LatencyHistogram:
    """Weights of completed and of censored parts by bucket.

    Later observations are added with a larger weight (forward decay), so that the stored weights need to be
    rescaled only once in 20 decay times.
    """

    completed: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    censored: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    total_weight: float = 0.0
    new_observations: int = 0  # since the curve was computed
    weight_at_update: float = 0.0  # total weight when the curve was computed
    updated_us: int = 0  # when the curve was computed, or when a peer's report was received
    curve: list[float] = field(default_factory=list)  # probability to take longer than each edge, padded
    hazards: list[float] = field(default_factory=list)

    def add(self, bucket: int, weight: float, is_complete: bool) -> None:
        """Add a completed or a censored observation."""
        (self.completed if is_complete else self.censored)[bucket] += weight
        self.total_weight += weight
        self.new_observations += 1

    def scale(self, factor: float) -> None:
        """Multiply all weights by a factor."""
        self.completed = [weight * factor for weight in self.completed]
        self.censored = [weight * factor for weight in self.censored]
        self.total_weight *= factor
        self.weight_at_update *= factor

    def is_stale(self, now: int) -> bool:
        """Return whether the curve needs to be recomputed."""
        return not self.curve or (
            self.new_observations > 0
            and (
                self.total_weight > 2 * self.weight_at_update
                or now - self.updated_us > CURVE_LIFETIME_US
                or (
                    self.new_observations >= EARLY_REFRESH_OBSERVATIONS
                    and now - self.updated_us > CURVE_LIFETIME_US // 4
                )
            )
        )

    def update_curve(self, now: int, hazards: list[float]) -> None:
        """Store new hazards and the survival curve that follows from them."""
        self.hazards, self.curve, self.updated_us, self.new_observations = hazards, survival(hazards), now, 0
        self.weight_at_update = self.total_weight

    def shift(self, buckets: int) -> None:
        """Make all times longer by a number of buckets (shorter if it is negative)."""
        self.completed, self.censored = _shifted(self.completed, buckets), _shifted(self.censored, buckets)
        self.new_observations += BUCKETS


def _shifted(weights: list[float], buckets: int) -> list[float]:
    if buckets >= 0:
        return [0.0] * buckets + weights[: BUCKETS - buckets - 1] + [sum(weights[BUCKETS - buckets - 1 :])]
    return [sum(weights[: 1 - buckets])] + weights[1 - buckets :] + [0.0] * -buckets


def product_limit(
    completed: Sequence[float], censored: Sequence[float], prior_hazards: Sequence[float], prior_weight: float
) -> list[float]:
    """Return the hazard of each bucket: the parts that completed in it divided by the parts at risk.

    ``prior_hazards`` count as ``prior_weight`` observations in each bucket. Parts censored within a bucket
    are at risk for half of it.
    """
    risk = list(accumulate(map(add, reversed(completed), reversed(censored)), initial=prior_weight))
    return [
        (completed_here + prior_weight * hazard) / (at_risk - 0.5 * censored_here)
        for completed_here, censored_here, hazard, at_risk in zip(
            completed, censored, prior_hazards, reversed(risk[1:]), strict=True
        )
    ]


def survival(hazards: Sequence[float]) -> list[float]:
    """Return the probability to take longer than each edge, padded at both ends; it is never 0."""
    curve = [1.0] * PADDING
    curve += accumulate((1.0 - hazard for hazard in hazards), mul, initial=1.0)
    curve = [max(chance, 1e-9) for chance in curve]
    return curve + [curve[-1]] * (MAX_FASTER_SHIFT + 2)


def shift_likelihoods(curve: list[float], bucket: int, is_complete: bool) -> list[float]:
    """Return the likelihood of an observation under each of ``SHIFTS``.

    The observation is that a part completes in the bucket, or that it is not complete at the bucket's start.
    """
    start = PADDING + bucket + MAX_FASTER_SHIFT
    end = PADDING + bucket - MAX_SLOWER_SHIFT - 1
    if not is_complete:
        return [
            chance if chance < MAX_CENSORED_LIKELIHOOD else MAX_CENSORED_LIKELIHOOD
            for chance in curve[start:end:-SHIFT_STEP]
        ]
    return [
        LIKELIHOOD_FLOOR + before - after
        for before, after in zip(
            curve[start:end:-SHIFT_STEP], curve[start + 1 : end + 1 : -SHIFT_STEP], strict=True
        )
    ]


class SlownessFilter:
    """Bayesian filter over ``SHIFTS``: how many times slower than usual an engine or a class is.

    Each shift may change to any other from one part to the next, so two or three parts that indicate a change
    are enough, whatever was observed before.
    """

    __slots__ = ("last_sample_us", "plausible", "posterior", "prior", "shift", "updated_us")

    def __init__(self, now: int, usual: float = 0.8) -> None:
        """``usual``: the prior probability of shift 0."""
        ratios = [PRIOR_RATIO ** (abs(shift) // SHIFT_STEP) if shift else 0.0 for shift in SHIFTS]
        self.prior = [(1 - usual) * ratio / sum(ratios) if ratio else usual for ratio in ratios]
        self.posterior = self.prior
        self.shift = 0  # the most probable one
        self.updated_us = now
        self.last_sample_us = -SAMPLE_INTERVAL_US
        self.plausible: list[tuple[int, float]] = []  # see ``plausible_shifts``; empty until it is called

    def start_sample(self, now: int) -> bool:
        """Return whether a part that is sent now is used as evidence.

        Parts sent at about the same time are correlated, so only one in each interval is used. This is
        decided before it is known how long the part takes, so that slow parts are not left out.
        """
        if now - self.last_sample_us < SAMPLE_INTERVAL_US:
            return False
        self.last_sample_us = now
        return True

    def observe(self, now: int, curve: list[float], bucket: int, is_complete: bool) -> None:
        """Update the posterior with one observation; ``curve`` is the survival curve at shift 0."""
        self.update(
            now,
            shift_likelihoods(curve, bucket, is_complete),
            TRANSITION_PROBABILITY if is_complete else 0.0,
        )

    def update(self, now: int, likelihoods: list[float], transition: float = TRANSITION_PROBABILITY) -> None:
        """Update the posterior with the likelihood of an observation under each of ``SHIFTS``.

        ``transition`` is the probability that the shift changed since the last part. It is 0 for a censored
        part: such a part may not distinguish slow from slower, and many of them would move the posterior to
        the prior.
        """
        transition += min(0.5, (now - self.updated_us) / PRIOR_RETURN_TIME_US)
        self.updated_us = now
        weights = list(map(mul, self.posterior, likelihoods))
        scale = (1.0 - transition) / sum(weights)
        self.posterior = [
            weight * scale + transition * prior for weight, prior in zip(weights, self.prior, strict=True)
        ]
        self._update_shift()

    def apply_hint(self, shift: int, trust: float) -> None:
        """Mix in a peer's estimate with a weight of ``trust``, which is below 1."""
        self.posterior = [
            weight * (1 - trust) + trust * (candidate == shift)
            for candidate, weight in zip(SHIFTS, self.posterior, strict=True)
        ]
        self._update_shift()

    def reset(self) -> None:
        """Return to the prior."""
        self.posterior = self.prior
        self._update_shift()

    def _update_shift(self) -> None:
        self.shift = SHIFTS[self.posterior.index(max(self.posterior))]
        self.plausible = []

    def plausible_shifts(self) -> list[tuple[int, float]]:
        """Return the shifts that are not negligible, each with its posterior probability."""
        if not self.plausible:
            self.plausible = (
                [(self.shift, 1.0)]
                if max(self.posterior) > 0.95
                else [
                    (shift, weight)
                    for shift, weight in zip(SHIFTS, self.posterior, strict=True)
                    if weight > 0.05
                ]
            )
        return self.plausible

    def rebase(self, steps: int) -> None:
        """Express the posterior relative to a usual pace that is slower by a number of steps."""
        fill = [TRANSITION_PROBABILITY * min(self.prior)] * abs(steps)
        weights = self.posterior[steps:] + fill if steps > 0 else fill + self.posterior[:steps]
        total = sum(weights)
        self.posterior = [weight / total for weight in weights]
        self._update_shift()


class GroupLatency:
    """Times of the parts of one class for one table group on engines in one condition."""

    __slots__ = ("cached_curve", "class_latency", "condition", "fresh_until_us", "histogram")

    def __init__(self, class_latency: ClassLatency, condition: int) -> None:
        self.class_latency = class_latency
        self.condition = condition
        self.histogram = LatencyHistogram()
        self.cached_curve: list[float] = []
        self.fresh_until_us = 0  # the cached curve is used without a check until then

    def curve(self, now: int) -> list[float]:
        """Return the survival curve of a part at shift 0."""
        if now < self.fresh_until_us and self.cached_curve:
            return self.cached_curve
        histogram = self.histogram
        per_weight = self.class_latency.model.observations_per_weight
        parent = self.class_latency.pooled(now, self.condition)
        if histogram.total_weight * per_weight < MIN_GROUP_OBSERVATIONS:
            self.cached_curve = parent.curve
        else:
            if histogram.is_stale(now):
                histogram.update_curve(
                    now,
                    product_limit(
                        histogram.completed,
                        histogram.censored,
                        parent.hazards,
                        PARENT_PRIOR_WEIGHT / per_weight,
                    ),
                )
            self.cached_curve = histogram.curve
        self.fresh_until_us = now + STALENESS_CHECK_US
        return self.cached_curve


class ClassLatency:
    """Times of the parts of one class: by engine condition, and by table group and condition."""

    def __init__(self, model: LatencyModel, now: int) -> None:
        self.model = model
        self.by_condition = [LatencyHistogram() for _ in EngineCondition]
        self.groups: dict[tuple[int, int], GroupLatency] = {}  # by group and condition
        self.pace = SlownessFilter(now, 0.95)  # of the whole class, relative to its histograms
        self.query_count = 0
        # The newest report of each peer for each condition
        self.peer_histograms: dict[tuple[int, int], LatencyHistogram] = {}

    def group_latency(self, group: int, condition: int) -> GroupLatency:
        """Return the record of a table group and condition; it is created if there is none."""
        if (group, condition) not in self.groups:
            while len(self.groups) >= MAX_GROUP_LATENCIES:
                del self.groups[next(iter(self.groups))]
            self.groups[group, condition] = GroupLatency(self, condition)
        return self.groups[group, condition]

    def effective_sample_size(self) -> float:
        """Return the decayed number of observations: the local ones, and peers' as far as they are
        trusted."""
        local = (
            sum(histogram.total_weight for histogram in self.by_condition)
            * self.model.observations_per_weight
        )
        reported = (
            sum(histogram.total_weight for histogram in self.peer_histograms.values())
            * self.model.observations_per_weight
        )
        return local + min(reported, local + PEER_BASE_WEIGHT)

    def pooled(self, now: int, condition: int) -> LatencyHistogram:
        """Return the histogram of all groups in one condition, with a fresh curve.

        Its prior is the estimate over all conditions.
        """
        histogram = self.by_condition[condition]
        if histogram.is_stale(now):
            per_weight = self.model.observations_per_weight
            sums = [self._with_peers(each) for each in EngineCondition]
            completed, censored = (_column_sums([pair[n] for pair in sums]) for n in (0, 1))
            parent = product_limit(completed, censored, PRIOR_HAZARDS, ROOT_PRIOR_WEIGHT / per_weight)
            histogram.update_curve(
                now, product_limit(*sums[condition], parent, PARENT_PRIOR_WEIGHT / per_weight)
            )
        return histogram

    def add_peer_report(self, now: int, peer: int, condition: int, histogram: LatencyHistogram) -> None:
        """Store a peer's report in place of its previous one."""
        self.peer_histograms.pop((peer, condition), None)
        histogram.updated_us = now
        self.peer_histograms[peer, condition] = histogram
        for expired in [
            key for key, other in self.peer_histograms.items() if now - other.updated_us > REPORT_LIFETIME_US
        ]:
            del self.peer_histograms[expired]
        while len(self.peer_histograms) > MAX_PEER_HISTOGRAMS:
            del self.peer_histograms[next(iter(self.peer_histograms))]
        self.by_condition[condition].new_observations += 1

    def _with_peers(self, condition: int) -> tuple[Sequence[float], Sequence[float]]:
        """Return completed and censored weights, local and of peers together.

        All peers together weigh at most as much as the local observations and ``PEER_BASE_WEIGHT`` more, and
        each peer at most a quarter of that.
        """
        local = self.by_condition[condition]
        per_weight = self.model.observations_per_weight
        reported = [
            histogram
            for (_, reported_condition), histogram in self.peer_histograms.items()
            if reported_condition == condition and histogram.total_weight > 0
        ]
        if not reported:
            return local.completed, local.censored
        peer_limit = (PEER_BASE_WEIGHT / per_weight + local.total_weight) / PEER_SHARE_DIVISOR
        fractions = [min(1.0, peer_limit / histogram.total_weight) for histogram in reported]
        total = sum(
            fraction * histogram.total_weight for fraction, histogram in zip(fractions, reported, strict=True)
        )
        reduction = min(1.0, peer_limit * PEER_SHARE_DIVISOR / total)
        weighted = list(zip(reported, (fraction * reduction for fraction in fractions), strict=True))
        return (
            _column_sums([local.completed, *(_scaled(each.completed, part) for each, part in weighted)]),
            _column_sums([local.censored, *(_scaled(each.censored, part) for each, part in weighted)]),
        )

    def shift_times(self, buckets: int, kept_fraction: float = 1.0) -> None:
        """Make all recorded times longer by a number of buckets and scale their weights."""
        for group in self.groups.values():
            group.fresh_until_us = 0
        for histogram in [
            *self.by_condition,
            *(group.histogram for group in self.groups.values()),
            *self.peer_histograms.values(),
        ]:
            histogram.shift(buckets)
            histogram.scale(kept_fraction)

    def apply_pace_change(self, buckets: int) -> None:
        """Follow a change of pace of the whole class.

        The shape of the distributions stays; earlier observations lose weight, so that new ones dominate.
        """
        self.peer_histograms.clear()
        self.shift_times(buckets, KEPT_AFTER_PACE_CHANGE)
        self.pace.reset()


def _column_sums(rows: Sequence[Sequence[float]]) -> Sequence[float]:
    return [sum(column) for column in zip(*rows, strict=True)] if len(rows) > 1 else rows[0]


def _scaled(row: Sequence[float], factor: float) -> list[float]:
    return [weight * factor for weight in row]


class LatencyModel:
    """The estimates of one router: histograms for each class and its groups, and a slowness for each
    engine."""

    def __init__(self, now: int) -> None:
        self.classes: dict[str, ClassLatency] = {}
        self.engines: dict[int, SlownessFilter] = {}  # by digest of the name
        self._digests: dict[str, int] = {}
        self._hints: dict[int, tuple[int, int, float]] = {}  # time received, shift, probability
        self._centred_us = now
        self._decay_origin_us = now
        self._updated_us = now
        self.observations_per_weight = 1.0  # present observations that a stored weight of 1 stands for
        self._new_weight = 1.0  # stored weight of an observation made now

    def class_latency(self, now: int, name: str) -> ClassLatency:
        """Return the record of a class; it is created if there is none."""
        if name not in self.classes:
            self.classes[name] = ClassLatency(self, now)
        return self.classes[name]

    def engine(self, now: int, name: str) -> SlownessFilter:
        """Return the slowness of an engine; it is created if there is none."""
        digest = self._digests.get(name)
        if digest is None:
            while len(self._digests) >= MAX_ENGINES:
                del self._digests[next(iter(self._digests))]
            digest = self._digests[name] = digest_of(name)
        return self.engine_by_digest(now, digest)

    def engine_by_digest(self, now: int, digest: int) -> SlownessFilter:
        """Return the slowness of an engine by the digest of its name; a new one starts from a peer's hint."""
        if digest not in self.engines:
            while len(self.engines) >= MAX_ENGINES:
                del self.engines[next(iter(self.engines))]
            self.engines[digest] = engine = SlownessFilter(now)
            received_us, shift, chance = self._hints.pop(digest, (now, 0, 0.0))
            if chance and now - received_us < REPORT_LIFETIME_US:
                engine.apply_hint(shift, 0.5 * chance)
        return self.engines[digest]

    def add_hint(self, now: int, digest: int, shift: int, chance: float) -> None:
        """Use a peer's estimate of an engine, with half its weight, if there are no recent local
        observations."""
        engine = self.engines.get(digest)
        if engine is None:
            self._hints.pop(digest, None)
            self._hints[digest] = now, shift, chance
            while len(self._hints) > MAX_HINTS:
                del self._hints[next(iter(self._hints))]
        elif now - engine.updated_us > HINT_AFTER_US:
            engine.apply_hint(shift, 0.5 * chance)

    def record(
        self,
        now: int,
        group: GroupLatency,
        engine: SlownessFilter | None,
        shift: int,
        elapsed_us: int,
        is_complete: bool,
    ) -> int:
        """Record that a part completed after ``elapsed_us``, or takes longer than that.

        ``shift`` is the engine's shift before this part. ``engine`` is None where the part is no evidence for
        its engine. Returns the bucket that the part would have on an engine of usual pace.
        """
        self.advance(now)
        observed = bucket_index(elapsed_us)
        bucket = min(max(observed - shift, 0), BUCKETS - 1)
        class_latency = group.class_latency
        if (
            engine is not None
            and class_latency.by_condition[group.condition].total_weight * self.observations_per_weight
            >= MIN_CLASS_OBSERVATIONS
        ):
            engine.observe(now, class_latency.pooled(now, group.condition).curve, observed, is_complete)
        new_weight = self._new_weight
        group.histogram.add(bucket, new_weight, is_complete)
        class_latency.by_condition[group.condition].add(bucket, new_weight, is_complete)
        return bucket

    def observe_pace(
        self, now: int, class_latency: ClassLatency, samples: Sequence[tuple[list[float], int, bool]]
    ) -> None:
        """Update the pace of a class with the parts of one query.

        The parts are correlated, so their likelihoods are combined by the geometric mean and count as one
        observation. A sample is a survival curve, a bucket, and whether the part is complete.
        """
        rows = [shift_likelihoods(*sample) for sample in samples]
        exponent = 1 / len(rows)
        likelihoods = [1.0] * len(SHIFTS)
        for row in rows:
            likelihoods = [
                product * likelihood**exponent for product, likelihood in zip(likelihoods, row, strict=True)
            ]
        class_latency.pace.update(now, likelihoods)
        if class_latency.pace.shift and max(class_latency.pace.posterior) > PACE_CHANGE_CONFIDENCE:
            class_latency.apply_pace_change(class_latency.pace.shift)

    def centre(self, now: int) -> None:
        """Keep the median engine at shift 0: move the median shift from the engines to the histograms."""
        self._centred_us = now
        shifts = sorted(
            slowness.shift
            for slowness in self.engines.values()
            if now - slowness.updated_us < CENTRING_WINDOW_US
        )
        steps = shifts[len(shifts) // 2] // SHIFT_STEP if shifts else 0
        if steps:
            for engine in self.engines.values():
                engine.rebase(steps)
            for class_latency in self.classes.values():
                class_latency.shift_times(steps * SHIFT_STEP)

    def advance(self, now: int) -> None:
        """Decay all weights to ``now``."""
        if now == self._updated_us:
            return
        self._updated_us = now
        if now - self._centred_us > CENTRING_INTERVAL_US:
            self.centre(now)
        if now - self._decay_origin_us > 20 * DECAY_TIME_US:
            decay = exp((self._decay_origin_us - now) / DECAY_TIME_US)
            for class_latency in self.classes.values():
                for histogram in [
                    *class_latency.by_condition,
                    *(group.histogram for group in class_latency.groups.values()),
                    *class_latency.peer_histograms.values(),
                ]:
                    histogram.scale(decay)
            self._decay_origin_us = now
        self._new_weight = exp((now - self._decay_origin_us) / DECAY_TIME_US)
        self.observations_per_weight = 1.0 / self._new_weight


def digest_of(name: str) -> int:
    """Return the number that stands for a class or an engine in messages between routers."""
    return crc32(name.encode())


PRIOR_HAZARDS = [PRIOR_HAZARD] * BUCKETS
