"""Schema of ``deploy/comeback.toml``, with bounds. Imported only if warm-up is enabled."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from slipbay.warmup.peer_estimates import MaximumAges
from slipbay.warmup.plan import WarmupPlan

Share = Annotated[float, Meta(ge=0, le=0.9)]
Rate = Annotated[float, Meta(ge=0.1, le=1_000)]
Seconds = Annotated[float, Meta(ge=0, le=600)]


class MaximumAgesTable(Struct, forbid_unknown_fields=True, frozen=True):
    """Maximum age at which each field of a report is used, in seconds."""

    pace_s: Seconds = 10
    costs_s: Seconds = 60
    ill_s: Seconds = 5
    homes_s: Seconds = 60
    ration_s: Seconds | None = None  # default: the window in which the settings count retries


class WarmupFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The keys of the file; ``WarmupPlan`` describes them."""

    held_share: Share = WarmupPlan.leftover_share
    dials: Rate = WarmupPlan.connections_per_s
    least_dials: Rate = WarmupPlan.min_connections_per_s
    calls: Rate = WarmupPlan.list_calls_per_s
    sample: Annotated[int, Meta(ge=1, le=32)] = WarmupPlan.survey_size
    tellers: Annotated[int, Meta(ge=1, le=8)] = WarmupPlan.max_reports
    answer_ms: Annotated[float, Meta(ge=1, le=1_000)] = WarmupPlan.reply_us / 1000
    ages: MaximumAgesTable = MaximumAgesTable()

    def plan(self, retry_window_us: int) -> WarmupPlan:
        """The plan of this file. ``retry_window_us``: window in which the settings count retries."""
        ages = self.ages
        return WarmupPlan(
            leftover_share=self.held_share,
            connections_per_s=self.dials,
            min_connections_per_s=self.least_dials,
            list_calls_per_s=self.calls,
            survey_size=self.sample,
            max_reports=self.tellers,
            reply_us=int(self.answer_ms * 1000),
            ages=MaximumAges(
                pace=_us(ages.pace_s),
                costs=_us(ages.costs_s),
                unhealthy=_us(ages.ill_s),
                groups=_us(ages.homes_s),
                retries=retry_window_us if ages.ration_s is None else _us(ages.ration_s),
            ),
        )


def _us(seconds: float) -> int:
    return int(seconds * 1_000_000)
