"""Merges estimates that several routers, or the snapshot of this router, report.

Each field is used up to its own maximum age. The merge limits the effect of a wrong report: costs and paces
are medians within ``MAX_RATIO`` times the assumption of a router without estimates (none, or a correction of
1). An engine counts as unhealthy only if more than half of the reports agree, and never more than
``MAX_UNHEALTHY`` of all engines do; probe requests and the first good answer make an engine healthy again.
Groups only seed the frequency counts of affinity. At most half of the free retries count as spent.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median_low

from slipbay.policy.events import EstimatesRestored

SECOND = 1_000_000
MAX_RATIO = 8.0  # factor by which a correction or a pace may differ from 1
MAX_UNHEALTHY = 0.5  # fraction of all engines with several reports; half of it with a single report
MAX_WORK_US = 600 * SECOND  # upper bound of the cost and the work of a class
GROUPS_SUM = 100.0  # total weight of all inherited groups, in queries


@dataclass(frozen=True, slots=True)
class MaximumAges:
    """Maximum age (us) at which each field is used. Costs change with releases of clients, paces with the
    load, the health of engines with the next answer, groups with the requests of clients, retries with their
    window.
    """

    pace: int = 10 * SECOND
    costs: int = 60 * SECOND
    unhealthy: int = 5 * SECOND
    groups: int = 60 * SECOND
    retries: int = 10 * SECOND  # for emulated fleets; a real router uses the window in its settings


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Report of one router. ``age_us``: upper bound of the time since it was valid."""

    estimates: EstimatesRestored
    retries: int
    age_us: int


@dataclass(frozen=True, slots=True)
class MergedEstimates:
    """Initial estimates of a router. ``used`` and ``dropped`` are names of fields in the status."""

    estimates: EstimatesRestored
    retries: int  # that count as spent
    used: tuple[str, ...]
    dropped: tuple[str, ...]


def merge(
    reports: Sequence[PeerReport], ages: MaximumAges, engines: int, free_retries: float
) -> MergedEstimates:
    """Merge reports. ``engines``: number of engines in the endpoint list.

    Fields without a report that is recent enough are dropped.
    """
    classes = _merge_classes([r for r in reports if r.age_us <= ages.costs])
    paces = [r.estimates for r in reports if r.age_us <= ages.pace]
    pace = _bounded_median([estimates.pace for estimates in paces], 1.0, MAX_RATIO)
    best_pace = min(_bounded_median([estimates.best_pace for estimates in paces], 1.0, MAX_RATIO), pace)
    health_reports = [r for r in reports if r.age_us <= ages.unhealthy]
    unhealthy = _merge_unhealthy(health_reports, ages.unhealthy, engines)
    groups = _merge_groups([r for r in reports if r.age_us <= ages.groups])
    spent = [r.retries for r in reports if r.age_us <= ages.retries]
    retries = min(median_low(spent), int(free_retries / 2)) if spent else 0
    fields = {
        "pace": pace > 0,
        "costs": any(any(numbers) for numbers in classes),
        "ill": bool(health_reports),
        "groups": bool(groups),
        "ration": bool(spent),
    }
    return MergedEstimates(
        EstimatesRestored(pace, best_pace, classes, tuple((digest, 0) for digest in unhealthy), groups),
        retries,
        tuple(name for name, known in fields.items() if known),
        tuple(name for name, known in fields.items() if not known),
    )


def _merge_classes(reports: Sequence[PeerReport]) -> tuple[tuple[float, float, float], ...]:
    """Medians of estimated cost (us), work (us) and correction for each reported class."""
    costs = [r.estimates.classes for r in reports]
    return tuple(
        (
            _bounded_median([numbers[n][0] for numbers in costs if n < len(numbers)], 1.0, MAX_WORK_US),
            _bounded_median([numbers[n][1] for numbers in costs if n < len(numbers)], 1.0, MAX_WORK_US),
            _bounded_median(
                [numbers[n][2] for numbers in costs if n < len(numbers)], 1 / MAX_RATIO, MAX_RATIO
            ),
        )
        for n in range(max(map(len, costs), default=0))
    )


def _merge_unhealthy(reports: Sequence[PeerReport], max_age: int, engines: int) -> list[int]:
    """Digests of engines that more than half of the reports name; none if these are too many."""
    votes: Counter[int] = Counter()
    for report in reports:
        votes.update({digest for digest, age in report.estimates.unhealthy if report.age_us + age <= max_age})
    unhealthy = sorted(digest for digest, count in votes.items() if 2 * count > len(reports))
    if len(unhealthy) > engines * MAX_UNHEALTHY / (1 + (len(reports) == 1)):
        return []  # the reporting routers are more likely disconnected from the engines
    return unhealthy


def _merge_groups(reports: Sequence[PeerReport]) -> tuple[tuple[float, float], ...]:
    """Groups by weight. All reports have the same weight; the sum of all groups is ``GROUPS_SUM``."""
    weights = defaultdict[float, float](float)
    for report in reports:
        total = sum(max(0.0, count) for _, count in report.estimates.groups)
        if total > 0:
            for group, count in report.estimates.groups:
                weights[group] += GROUPS_SUM * max(0.0, count) / total
    reporting = max(1, sum(bool(report.estimates.groups) for report in reports))
    ordered = sorted(weights.items(), key=lambda item: (-item[1], item[0]))
    return tuple((group, weight / reporting) for group, weight in ordered)


def _bounded_median(values: Sequence[float], minimum: float, maximum: float) -> float:
    """The median of the positive values, limited to the bounds; 0 if there is none."""
    known = [value for value in values if value > 0]
    return min(max(median_low(known), minimum), maximum) if known else 0.0
