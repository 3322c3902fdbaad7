"""Partial answers in simulated time: utility as a share of perfect knowledge, and beside it what all parts,
five fixed deadlines and a fixed quantile would have got from the same times. ``python
benchmarks/gather.py``"""

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
"""Queries a second of the whole fleet, by routers and parts."""
SHIFTS: dict[str, Callable[[World], None]] = {
    "all 3 times slower": lambda world: world.rescale(3.0),
    "all 3 times faster": lambda world: world.rescale(1 / 3),
    "another fifth slow": lambda world: world.slow(range(1, world.case.engines, 5)),
    "another tail": lambda world: world.other_tail(),
}
AFTER = ((0, 5), (5, 10), (10, 20), (20, 40))  # seconds


class Row(NamedTuple):
    case: Case
    learned: float
    perfect: float
    all_parts: float
    quantile: float
    fixed: tuple[float, ...]
    bytes_s: float

    @property
    def share(self) -> float:
        return self.learned / self.perfect

    @property
    def over_best(self) -> float:
        """Against the fixed deadline that turns out best for this case."""
        return self.learned - max(self.fixed)

    def __str__(self) -> str:
        return (
            f"{named(self.case)} {self.share:6.3f} {self.over_best:+7.3f} {self.learned:6.3f} "
            f"{self.perfect:7.3f} {self.all_parts:6.3f} {self.quantile:8.3f}  "
            + " ".join(f"{one:6.3f}" for one in self.fixed)
            + f" {self.bytes_s:6.0f}"
        )


def named(case: Case) -> str:
    return (
        f"{case.parts:3} {'heavy' if case.heavy else 'light'} {'fifth' if case.slow else 'none ':5} "
        f"{case.load:4} {case.routers:4} {case.seed:4}"
    )


def title() -> str:
    return (
        "  K tail  slow  load   n seed  share vs best learned perfect all  quantile  "
        + " ".join(f"{deadline / 1e6:4g} s" for deadline in DEADLINES)
        + "  bytes/s"
    )


def steady(case: Case, warm: float = 30, seconds: float = 60) -> Row:
    fleet = GatherFleet(case)
    fleet.run(warm + seconds + LATEST_US / SECOND)
    since = int(warm * SECOND)
    until = int((warm + seconds) * SECOND)
    learned, perfect, all_parts, quantile, *fixed = (
        fleet.worth(since, until, way)
        for way in (
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
    fleet = GatherFleet(case)
    before = 30
    fleet.run(before)
    SHIFTS[kind](fleet.world)
    fleet.run(AFTER[-1][1] + LATEST_US / SECOND)
    shares = []
    for since, until in AFTER:
        span = (before + since) * SECOND, (before + until) * SECOND
        perfect = fleet.worth(*span, lambda query: query.perfect)
        shares.append(fleet.worth(*span, lambda query: query.learned) / perfect)
    return f"{named(case)} {kind:20} " + " ".join(f"{share:7.3f}" for share in shares)


def censored(case: Case, drop: bool, minutes: float = 10) -> str:
    """Points lost against perfect knowledge by the minute when no query waits longer than pays."""
    fleet = GatherFleet(case, dropping if drop else longer_never)
    fleet.run(60 * (minutes + 1) + LATEST_US / SECOND)
    lost = [
        100
        * (fleet.worth(*span, lambda query: query.perfect) - fleet.worth(*span, lambda query: query.learned))
        for span in ((n * 60 * SECOND, (n + 1) * 60 * SECOND) for n in range(1, round(minutes) + 1))
    ]
    return f"{named(case)} {'dropped' if drop else 'counted'} " + " ".join(f"{one:5.1f}" for one in lost)


def cost(case: Case, queries: int = 400) -> tuple[float, float]:
    """us of CPU a part of all that the machines do: begin, asked, each end and look, closed; at 1,000
    parts a second, best of 5. And of an empty call, which tells how busy the machine is."""
    world = World(case)
    scattered = case.scattered()
    drawn = []
    for n in range(queries):
        if n % 5 == 0:
            world.step()
        common = world.common()
        engines = [world.engine(group) for group in range(case.parts)]
        drawn.append(
            (
                [world.names[engine] for engine in engines],
                [
                    int(BASE_US * common * world.factor(group, engine) * world.noise(world.heavy)) + 1
                    for group, engine in enumerate(engines)
                ],
            )
        )
    best = 1e9
    for _ in range(5):
        moments = LearnedStoppingRules(0)
        now = 0
        for half in (drawn[: queries // 2], drawn[queries // 2 :]):
            began = time.process_time()
            for names, times in half:
                now += 1_000 * case.parts
                replay_query(moments.start_query(now, scattered, now + 10 * SECOND), now, names, times)
            spent = time.process_time() - began
        best = min(best, spent / (queries - queries // 2) / case.parts * 1e6)
    began = time.process_time()
    for _ in range(200_000):
        abs(-1)
    return best, (time.process_time() - began) * 5


def plot(rows: Sequence[Row], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = sorted(rows, key=lambda row: row.perfect)
    figure, axes = pyplot.subplots(figsize=(10, 5))
    ways: tuple[tuple[str, str, Callable[[Row], float]], ...] = (
        ("learned", "o", lambda row: row.learned),
        ("best of five fixed deadlines", "x", lambda row: max(row.fixed)),
        ("quantile 0.9", "+", lambda row: row.quantile),
        ("all parts", ".", lambda row: row.all_parts),
    )
    for name, mark, way in ways:
        axes.plot([way(row) / row.perfect for row in rows], mark, label=name, linestyle="none")
    axes.axhline(0.95, color="grey", linewidth=0.5)
    axes.set_ylim(0.4, 1.05)
    axes.set_xlabel("cases, by the utility of perfect knowledge")
    axes.set_ylabel("share of perfect knowledge")
    axes.legend()
    figure.savefig(path, dpi=120)


def main() -> None:
    parser = argparse.ArgumentParser(description="Partial answers in simulated time")
    parser.add_argument("--parts", type=int, nargs="*", default=[4, 16, 64])
    parser.add_argument("--loads", type=float, nargs="*", default=[0.5, 0.8, 1.1])
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 8, 200])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--only", choices=["steady", "shifts", "censored", "cpu"])
    parser.add_argument("--plot", metavar="FILE", help="PNG of the steady table")
    chosen = parser.parse_args()
    cases = [
        Case(parts, heavy, slow, load, routers, seed, RATES.get(routers, FEW_RATES).get(parts, 10.0))
        for routers, parts, heavy, slow, load, seed in product(
            chosen.routers, chosen.parts, (False, True), (False, True), chosen.loads, chosen.seeds
        )
    ]
    with ProcessPoolExecutor(chosen.workers) as pool:
        if chosen.only in (None, "steady"):
            print("\nsteady\n" + title())
            rows = []
            for row in pool.map(steady, cases, [30.0] * len(cases), [chosen.seconds] * len(cases)):
                rows.append(row)
                print(row, flush=True)
            print(
                f"least share {min(row.share for row in rows):.3f}, least against the best fixed deadline "
                f"{min(row.over_best for row in rows):+.3f}; means "
                f"{sum(row.share for row in rows) / len(rows):.3f}, "
                f"{sum(row.over_best for row in rows) / len(rows):+.3f}"
            )
            if chosen.plot:
                plot(rows, chosen.plot)
        if chosen.only in (None, "shifts"):
            print("\nshare after a shift, by seconds  " + " ".join(f"{a}-{b}" for a, b in AFTER))
            some = [
                replace(case, load=0.8)
                for case in cases
                if case.heavy == case.slow and case.load == chosen.loads[0]
            ]
            jobs = list(product(some, SHIFTS))
            for line in pool.map(shifted, *zip(*jobs, strict=True)):
                print(line, flush=True)
        if chosen.only in (None, "censored"):
            print("\npoints under perfect knowledge in each minute, parts given up counted or dropped")
            some = [
                Case(parts, True, True, load, 1, seed, FEW_RATES.get(parts, 10.0) / 2)
                for parts, load, seed in product(chosen.parts, (0.8, 1.1), chosen.seeds)
            ]
            for line in pool.map(censored, *zip(*product(some, (False, True)), strict=True)):
                print(line, flush=True)
    if chosen.only in (None, "cpu"):
        print()
        for parts in chosen.parts:
            for case in (Case(parts, load=0.5), Case(parts, True, True, 1.1)):
                us, call = cost(case, 6400 // parts)
                print(f"{named(case)} {us:.1f} us of CPU a part, where an empty call is {call:.3f} us")


if __name__ == "__main__":
    main()
