"""Runs the rig with a tenant that has a quota, and checks the quota's upper bound.

The check uses observations of clients and engines: when a client sent a request, and when the request first
ran on an engine. ``python tests/quota_play.py`` runs a kill, a partition and a restart of all routers once,
and prints the number of requests served in each second.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from slipbay.config.validation import convert
from slipbay.quota.guarantees import excess
from slipbay.quota.plan import Quota, QuotaPlan
from slipbay.rig.checker import RunReport, max_window_excess
from slipbay.rig.runner import Rig
from slipbay.rig.scenario import Scenario

TEAM = "ishikari-fuel"


def plan_text(version: int = 1, rate: float = 30, burst: float = 16, term_ms: int = 1_000) -> str:
    return (
        f"enabled = true\nversion = {version}\nterm_ms = {term_ms}\nlongest_ms = {term_ms}\n"
        f'[[quotas]]\nname = "fuel"\ntenants = ["{TEAM}"]\nrate = {rate}\nburst = {burst}\n'
    )


class Observations:
    """Observations of clients and engines in one run."""

    def __init__(self, verdict: RunReport, started_s: float) -> None:
        self.verdict = verdict
        self.asked = {answer.txn: (answer.asked, answer.router) for answer in verdict.answers}
        self.first_run_s: dict[str, float] = {}
        for at, _, txn in verdict.execution_log.starts:
            self.first_run_s.setdefault(txn, at - started_s)
        self.outcomes = Counter(answer.outcome for answer in verdict.answers)

    def served(self, since: float = 0.0, until: float = 1e9, at: set[int] | None = None) -> int:
        """Return the number of requests that first ran from ``since`` to ``until``, in s of the run."""
        return sum(
            since <= when < until and (at is None or self.asked[txn][1] in at)
            for txn, when in self.first_run_s.items()
            if txn in self.asked
        )

    def worst(self, rate: float, since: float = 0.0) -> float:
        """Return the maximum over all windows of admissions beyond ``rate x t``.

        A request is admitted after its client sent it and before it runs. So it counts only in windows that
        contain both times.
        """
        return max_window_excess([span for span in self.verdict.spans() if span[0] >= since], rate)


def run_scenario(
    seconds: float, actions: list[dict[str, Any]], quota: str | None = None, even: bool = False
) -> tuple[Observations, Rig]:
    """Run a scenario with eight routers and one tenant. The tenant sends 55 lookups per second, most of them
    to the first two routers; with ``even`` it sends 75, evenly to all routers.
    """
    table = {
        "routers": 8,
        "engines": 6,
        "zones": 2,
        "seconds": seconds,
        "do": actions,
        "fleet": "enabled = true",
        "channel": "enabled = true",
        "quota": quota or plan_text(),
        "load": {
            "lookup_ms": 4,
            "tries": 1,
            "tenants": [
                {"name": TEAM, "lookups": 75 if even else 30},
                {"name": TEAM, "lookups": 0 if even else 25, "routers": [0, 1]},
            ],
        },
    }
    with tempfile.TemporaryDirectory() as directory:
        rig = Rig(convert(table, Scenario, "script"), Path(directory))
        verdict = asyncio.run(rig.execute())
        return Observations(verdict, rig.began), rig


def bound(rate: float = 30, burst: float = 16) -> float:
    """Return the upper bound for ``Observations.worst``."""
    quota = Quota("fuel", rate, burst)
    return burst + excess(QuotaPlan(1, [quota], term_ms=1_000, longest_ms=1_000), quota, 8)


def main() -> None:
    observations, _ = run_scenario(
        18,
        [
            {"at": 4, "what": "kill", "routers": [4]},
            {"at": 6, "what": "start", "routers": [4]},
            {"at": 8, "what": "cut", "from": [0, 1, 2], "to": [3, 4, 5, 6, 7]},
            {"at": 10, "what": "heal"},
            {"at": 12, "what": "restart", "routers": list(range(8))},
        ],
    )
    print("\n".join([*observations.verdict.timeline, *observations.verdict.faults]))
    for second in range(18):
        print(f"{second:3} s  {observations.served(second, second + 1):4} of 30")
    print(
        f"worst window {observations.worst(30):.1f} beyond 30 x t; bound {bound():.1f}; "
        f"{dict(observations.outcomes)}"
    )


if __name__ == "__main__":
    main()
