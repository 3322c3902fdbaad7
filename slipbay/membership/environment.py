"""Dependencies shared by the classes of the membership protocol."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random

from slipbay.membership.timing import Timing


@dataclass(frozen=True, slots=True)
class Environment:
    """Settings, the only random source, counters by event for operators, and the start time in us."""

    timing: Timing
    random: Random
    counts: Counter[str]
    started_us: int
