"""Utility of partial answers in simulated time, as a share of the utility with perfect knowledge.

``python benchmarks/gather.py`` also prints the utility that waiting for all parts, five fixed deadlines and a
fixed quantile would have achieved with the same latencies.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product
from typing import NamedTuple

from slipbay.emulator.gather import (
    BASE_US,
    DEADLINES,
    LATEST_US,
    Case,
    GatherFleet,
    World,
    dropping,
    longer_never,
    replay_query,
)
from slipbay.scatter_gather.latency_model import SECOND
from slipbay.scatter_gather.stopping_rule import LearnedStoppingRules

FEW_RATES = {4: 20.0, 16: 20.0, 64: 8.0}
RATES = {1: FEW_RATES, 8: FEW_RATES, 200: {4: 100.0, 16: 60.0, 64: 20.0}}
"""Queries per second of the whole fleet, by number of routers and parts."""
SHIFTS: dict[str, Callable[[World], None]] = {
    "all 3 times slower": lambda world: world.rescale(3.0),
    "all 3 times faster": lambda world: world.rescale(1 / 3),
    "another fifth slow": lambda world: world.slow(range(1, world.case.engines, 5)),
    "another tail": lambda world: world.other_tail(),
}
AFTER = ((0, 5), (5, 10), (10, 20), (20, 40))  # time spans in seconds after a shift


class Row(NamedTuple):
    """Mean utilities of one case, and the bytes per second of estimate gossip per router."""

    case: Case
    learned: float
    perfect: float
    all_parts: float
    quantile: float
    fixed: tuple[float, ...]
    bytes_s: float

    @property
    def share(self) -> float:
        """Utility with learned estimates as a share of that with perfect knowledge."""
        return self.learned / self.perfect

    @property
    def over_best(self) -> float:
        """Utility above that of the fixed deadline that is best for this case."""
        return self.learned - max(self.fixed)

    def __str__(self) -> str:
        return (
            f"{case_columns(self.case)} {self.share:6.3f} {self.over_best:+7.3f} {self.learned:6.3f} "
            f"{self.perfect:7.3f} {self.all_parts:6.3f} {self.quantile:8.3f}  "
            + " ".join(f"{utility:6.3f}" for utility in self.fixed)
            + f" {self.bytes_s:6.0f}"
        )


def case_columns(case: Case) -> str:
    """Return the columns that describe a case."""
    return (
        f"{case.parts:3} {'heavy' if case.heavy else 'light'} {'fifth' if case.slow else 'none ':5} "
        f"{case.load:4} {case.routers:4} {case.seed:4}"
    )


def title() -> str:
    """Return the header of the steady table."""
    return (
        "  K tail  slow  load   n seed  share vs best learned perfect all  quantile  "
        + " ".join(f"{deadline / 1e6:4g} s" for deadline in DEADLINES)
        + "  bytes/s"
    )


def steady(case: Case, warm: float = 30, seconds: float = 60) -> Row:
    """Measure a case under unchanging latencies, after ``warm`` seconds of learning."""
    fleet = GatherFleet(case)
    fleet.run(warm + seconds + LATEST_US / SECOND)
    since = int(warm * SECOND)
    until = int((warm + seconds) * SECOND)
    learned, perfect, all_parts, quantile, *fixed = (
        fleet.worth(since, until, utility)
        for utility in (
            lambda query: query.learned,
            lambda query: query.perfect,
            fleet.fixed(LATEST_US),
            fleet.quantile(),
            *map(fleet.fixed, DEADLINES),
        )
    )
    return Row(
        case,
        learned,
        perfect,
        all_parts,
        quantile,
        tuple(fixed),
        fleet.bytes / (warm + seconds) / case.routers,
    )


def shifted(case: Case, kind: str) -> str:
    """Change the latencies during a run; return a line with the share in each time span after the change."""
    fleet = GatherFleet(case)
    before_s = 30
    fleet.run(before_s)
    SHIFTS[kind](fleet.world)
    fleet.run(AFTER[-1][1] + LATEST_US / SECOND)
    shares = []
    for since, until in AFTER:
        span = (before_s + since) * SECOND, (before_s + until) * SECOND
        perfect = fleet.worth(*span, lambda query: query.perfect)
        shares.append(fleet.worth(*span, lambda query: query.learned) / perfect)
    return f"{case_columns(case)} {kind:20} " + " ".join(f"{share:7.3f}" for share in shares)


def censored(case: Case, ignores_abandoned: bool, minutes: float = 10) -> str:
    """Return a line with the utility below perfect knowledge, in points by minute, without exploration."""
    fleet = GatherFleet(case, dropping if ignores_abandoned else longer_never)
    fleet.run(60 * (minutes + 1) + LATEST_US / SECOND)
    losses = [
        100
        * (fleet.worth(*span, lambda query: query.perfect) - fleet.worth(*span, lambda query: query.learned))
        for span in ((n * 60 * SECOND, (n + 1) * 60 * SECOND) for n in range(1, round(minutes) + 1))
    ]
    return f"{case_columns(case)} {'dropped' if ignores_abandoned else 'counted'} " + " ".join(
        f"{loss:5.1f}" for loss in losses
    )


def cost(case: Case, queries: int = 400) -> tuple[float, float]:
    """Return the CPU time in us of the stopping rules per part, and that of an empty call.

    The first covers all calls from the start of a query to its end, at 1,000 parts per second, and is the
    best of 5 rounds. The second shows how busy the machine is.
    """
    world = World(case)
    scattered = case.scattered()
    queries_drawn = []
    for n in range(queries):
        if n % 5 == 0:
            world.step()
        common = world.common()
        engines = [world.engine(group) for group in range(case.parts)]
        queries_drawn.append(
            (
                [world.names[engine] for engine in engines],
                [
                    int(BASE_US * common * world.factor(group, engine) * world.noise(world.heavy)) + 1
                    for group, engine in enumerate(engines)
                ],
            )
        )
    best_us = 1e9
    for _ in range(5):
        rules = LearnedStoppingRules(0)
        now = 0
        for half in (queries_drawn[: queries // 2], queries_drawn[queries // 2 :]):
            cpu_start_s = time.process_time()
            for names, times in half:
                now += 1_000 * case.parts
                replay_query(rules.start_query(now, scattered, now + 10 * SECOND), now, names, times)
            cpu_s = time.process_time() - cpu_start_s
        best_us = min(best_us, cpu_s / (queries - queries // 2) / case.parts * 1e6)
    cpu_start_s = time.process_time()
    for _ in range(200_000):
        abs(-1)
    return best_us, (time.process_time() - cpu_start_s) * 5


def plot(rows: Sequence[Row], path: str) -> None:
    """Write a figure of the steady table."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = sorted(rows, key=lambda row: row.perfect)
    figure, axes = pyplot.subplots(figsize=(10, 5))
    methods: tuple[tuple[str, str, Callable[[Row], float]], ...] = (
        ("learned", "o", lambda row: row.learned),
        ("best of five fixed deadlines", "x", lambda row: max(row.fixed)),
        ("quantile 0.9", "+", lambda row: row.quantile),
        ("all parts", ".", lambda row: row.all_parts),
    )
    for name, mark, utility in methods:
        axes.plot([utility(row) / row.perfect for row in rows], mark, label=name, linestyle="none")
    axes.axhline(0.95, color="grey", linewidth=0.5)
    axes.set_ylim(0.4, 1.05)
    axes.set_xlabel("cases, by the utility of perfect knowledge")
    axes.set_ylabel("share of perfect knowledge")
    axes.legend()
    figure.savefig(path, dpi=120)


def main() -> None:
    """Run the tables that the command line selects."""
    parser = argparse.ArgumentParser(description="Partial answers in simulated time")
    parser.add_argument("--parts", type=int, nargs="*", default=[4, 16, 64])
    parser.add_argument("--loads", type=float, nargs="*", default=[0.5, 0.8, 1.1])
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 8, 200])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--only", choices=["steady", "shifts", "censored", "cpu"])
    parser.add_argument("--plot", metavar="FILE", help="write a PNG of the steady table")
    options = parser.parse_args()
    cases = [
        Case(parts, heavy, slow, load, routers, seed, RATES.get(routers, FEW_RATES).get(parts, 10.0))
        for routers, parts, heavy, slow, load, seed in product(
            options.routers, options.parts, (False, True), (False, True), options.loads, options.seeds
        )
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        if options.only in (None, "steady"):
            print("\nsteady\n" + title())
            rows = []
            for row in pool.map(steady, cases, [30.0] * len(cases), [options.seconds] * len(cases)):
                rows.append(row)
                print(row, flush=True)
            print(
                f"least share {min(row.share for row in rows):.3f}, least against the best fixed deadline "
                f"{min(row.over_best for row in rows):+.3f}; means "
                f"{sum(row.share for row in rows) / len(rows):.3f}, "
                f"{sum(row.over_best for row in rows) / len(rows):+.3f}"
            )
            if options.plot:
                plot(rows, options.plot)
        if options.only in (None, "shifts"):
            print("\nshare after a shift, by seconds  " + " ".join(f"{a}-{b}" for a, b in AFTER))
            selected = [
                replace(case, load=0.8)
                for case in cases
                if case.heavy == case.slow and case.load == options.loads[0]
            ]
            jobs = list(product(selected, SHIFTS))
            for line in pool.map(shifted, *zip(*jobs, strict=True)):
                print(line, flush=True)
        if options.only in (None, "censored"):
            print("\npoints under perfect knowledge in each minute, parts given up counted or dropped")
            selected = [
                Case(parts, True, True, load, 1, seed, FEW_RATES.get(parts, 10.0) / 2)
                for parts, load, seed in product(options.parts, (0.8, 1.1), options.seeds)
            ]
            for line in pool.map(censored, *zip(*product(selected, (False, True)), strict=True)):
                print(line, flush=True)
    if options.only in (None, "cpu"):
        print()
        for parts in options.parts:
            for case in (Case(parts, load=0.5), Case(parts, True, True, 1.1)):
                part_us, call_us = cost(case, 6400 // parts)
                print(
                    f"{case_columns(case)} {part_us:.1f} us of CPU a part, "
                    f"where an empty call is {call_us:.3f} us"
                )


if __name__ == "__main__":
    main()
