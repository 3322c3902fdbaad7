"""Collects the learned estimates of a router, and restores them in another one after its restart."""

from __future__ import annotations

from collections.abc import Sequence

from slipbay.policy.affinity import AffinityRing
from slipbay.policy.engine_table import EngineTable
from slipbay.policy.events import EstimatesRestored
from slipbay.policy.records import ClassState
from slipbay.policy.statistics import SAMPLE_WEIGHT

# weight of estimates from other routers, in samples: as many as a running mean remembers
RESTORED_SAMPLES = 1 / SAMPLE_WEIGHT


def collect(
    engines: EngineTable, classes: Sequence[ClassState], affinity: AffinityRing, now_us: int, groups: int
) -> EstimatesRestored:
    """Estimates for a starting router, at most ``groups`` groups; does not change any state."""
    return EstimatesRestored(
        engines.pace_ratio.value(),
        engines.best_pace,
        tuple((c.estimated_costs.value(), c.measured_work.value(), c.cost_bias.value()) for c in classes),
        tuple(
            (e.digest, max(0, now_us - e.last_activity_us))
            for e in engines.by_id.values()
            if e.is_unhealthy and e.last_activity_us
        ),
        tuple((group, float(count)) for group, count in affinity.most_frequent(groups)),
    )


def restore(
    event: EstimatesRestored, engines: EngineTable, classes: Sequence[ClassState], affinity: AffinityRing
) -> None:
    """Set initial estimates from other routers, weighted as a few samples; local samples take precedence."""
    samples = RESTORED_SAMPLES
    for class_state, (cost, work, bias) in zip(classes, event.classes, strict=False):
        class_state.estimated_costs.seed(cost, samples)
        class_state.measured_work.seed(work, samples)
        class_state.cost_bias.seed(bias, samples * (cost or class_state.estimated_costs.value(1.0)))
        engines.pace_ratio.seed(event.pace, samples * (work or cost))
    engines.seed_best_pace(event.best_pace)
    unhealthy = {digest for digest, _ in event.unhealthy}
    for engine in engines.by_id.values():
        # local observations take precedence
        if engine.digest in unhealthy and not engine.last_activity_us:
            engine.is_unhealthy = True
    for group, count in event.groups:
        affinity.seed(group, round(count))
