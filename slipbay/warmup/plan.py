"""Phases of a router's warm-up, and its parameters."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from slipbay.warmup.peer_estimates import MaximumAges

SECOND = 1_000_000


class Phase(IntEnum):
    """Phases in order. Values are sent to peers, and names are part of the status."""

    BLANK = 0  # only the endpoint list is known
    HEARING = 1  # the survey was sent to a sample of the fleet
    RAMPING = 2  # queries are limited to the router's share of what queries of earlier incarnations leave
    FULL = 3  # no limits


@dataclass(frozen=True)
class WarmupPlan:
    """Parameters of the warm-up. Times are in us."""

    # by then queries of earlier incarnations have ended: 2 s, a call of 0.25 s, and network delay
    leftover_us: int = 2_350_000
    leftover_share: float = 0.5  # fraction of all threads that such queries may hold until then
    threads_per_core: float = 1.6  # load at which engines do not slow down, as in the policy
    slack: float = 4.0  # threads above a router's share, in square roots of it, for random peaks
    connections_per_s: float = 9.0  # to an engine, by all routers in warm-up together
    min_connections_per_s: float = 5.0  # of one router, however many warm up, for its own requests
    list_calls_per_s: float = 20.0  # calls of the endpoint list by all routers in warm-up
    max_slot_us: int = SECOND  # maximum delay of the first call of the list, at any fleet size
    reply_us: int = 60_000  # time after which a request without a reply is repeated
    max_rounds: int = 3  # of the survey
    survey_size: int = 8  # routers in the sample
    max_reports: int = 3  # routers in full service whose estimates are requested
    # time after leftover_us over which routers, one after another, stop needing an idle connection
    limit_spread_us: int = 4 * SECOND
    ages: MaximumAges = field(default_factory=MaximumAges)
