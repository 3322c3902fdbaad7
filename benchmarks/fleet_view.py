"""How fast the view of a fleet follows, in simulated time: ``python benchmarks/fleet_view.py``.

``--plots DIR`` draws the figures as PNG, with matplotlib (``slipbay[plots]``).
"""

from __future__ import annotations

import argparse
import gc
import time
from collections.abc import Iterable
from dataclasses import dataclass
from math import nan
from pathlib import Path

from slipbay.emulator.engines import SECOND
from slipbay.emulator.membership_model import MembershipModel
from slipbay.emulator.network import LinkConditions
from slipbay.membership.codec import MemberState
from slipbay.membership.timing import Timing


@dataclass
class Row:
    """What was seen with so many routers at one rate of loss. Times in s."""

    size: int
    loss: float
    found: list[float]  # from a kill until each other held it gone
    rest: float  # bytes a second and router before
    wrong: int  # suspicions of living routers before
    cpu: float
    settled: dict[str, float]  # until all views were equal again

    def __str__(self) -> str:
        events = ", ".join(f"{what} {seconds:.1f}" for what, seconds in self.settled.items())
        half = quantile(self.found, 0.5)
        most = quantile(self.found, 0.99)
        return (
            f"{self.size:5} routers, loss {self.loss:.0%}: held gone p50 {half:.2f} p99 {most:.2f} "
            f"most {self.found[-1]:.2f} s; at rest {self.rest:.0f} bytes/s a router, "
            f"{self.wrong} wrong suspicions; {self.cpu:.1f} s of CPU"
            + (f"; views equal after {events} s" if events else "")
        )


def detection(fleet: MembershipModel, victim: int) -> list[float]:
    """Seconds until each other router holds a killed one gone, in order."""
    fleet.kill([victim])
    start = fleet.now
    held = dict[int, float]()
    while fleet.now < start + 10 * SECOND and len(held) < len(fleet.running):
        fleet.run(0.05)
        for view in fleet.views():
            if view.table.state(victim) in (MemberState.GONE, None):
                held.setdefault(view.local_number, (fleet.now - start) / SECOND)
    return sorted(held.values())


def quantile(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))] if values else nan


def masses(size: int, loss: float, seed: int, timing: Timing) -> dict[str, float]:
    """Seven in ten are killed and come back; then the halves are parted and heal."""
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=loss), timing=timing)
    fleet.run(5)
    dead = range(size * 7 // 10)
    fleet.kill(dead)
    settled = {"7 in 10 killed": fleet.until_settled(30)}
    for number in dead:
        fleet.start(number)
    settled["their return"] = fleet.until_settled(30)
    fleet.run(5)
    fleet.network.cut(range(0, size, 2), range(1, size, 2))
    fleet.run(8)
    fleet.network.heal()
    settled["a healed cut"] = fleet.until_settled(30)
    return settled


def measure(size: int, loss: float, seed: int, seconds: float, kills: int, mass: bool, timing: Timing) -> Row:
    began = time.process_time()
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=loss), timing=timing)
    gc.freeze()  # a thousand tables of a thousand members are no garbage, and slow to look through
    fleet.run(seconds)
    rest = sum(fleet.network.bytes_from.values()) / size / seconds
    wrong = sum(view.counts["unanswered"] for view in fleet.views())
    found: list[float] = []
    for number in range(kills):
        found += detection(fleet, number)
        fleet.start(number)
        fleet.until_settled(10)
    cpu = time.process_time() - began
    return Row(size, loss, sorted(found), rest, wrong, cpu, masses(size, loss, seed, timing) if mass else {})


def quiet_time(size: int, loss: float, seed: int, seconds: float) -> str:
    """No router fails: how often a living one is held gone, and by how many at a time and how long."""
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=loss))
    since: dict[int, int] = {}
    most = 0
    longest = 0.0
    began = time.process_time()
    for _ in range(int(seconds * 10)):
        fleet.run(0.1)
        held = {
            n: sum(n in view.table.dead for view in fleet.views())
            for n in {n for view in fleet.views() for n in view.table.dead}
        }
        most = max([most, *held.values()])
        since = {n: since.get(n, fleet.now) for n, count in held.items() if count > 1}
        longest = max([longest, *((fleet.now - at) / SECOND for at in since.values())])
    wrong = sum(view.counts["unanswered"] for view in fleet.views())
    return (
        f"{size} routers, loss {loss:.0%}, {seconds:g} s without a fault: {wrong} wrong suspicions, at "
        f"most {most} held a living one gone, more than one for {longest:.1f} s at the longest; "
        f"{time.process_time() - began:.0f} s of CPU"
    )


def plot(rows: list[Row], folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    losses = sorted({row.loss for row in rows})
    for name, label, value in (
        ("detection", "99th of 100 holds a killed one gone (s)", lambda row: quantile(row.found, 0.99)),
        ("bytes", "bytes a second and router at rest", lambda row: row.rest),
        ("wrong", "wrong suspicions at rest", lambda row: row.wrong),
    ):
        figure, axes = pyplot.subplots(figsize=(6, 4))
        for loss in losses:
            line = [(row.size, value(row)) for row in rows if row.loss == loss]
            axes.plot(*zip(*line, strict=True), marker="o", label=f"loss {loss:.0%}")
        axes.set(xscale="log", xlabel="routers", ylabel=label, ylim=(0, None))
        axes.legend()
        figure.savefig(folder / f"{name}.png", dpi=100, bbox_inches="tight")
        pyplot.close(figure)


def main(arguments: Iterable[str] | None = None) -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--sizes", type=int, nargs="*", default=[3, 24, 100, 300])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.1, 0.3])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--mass", action="store_true", help="mass deaths, returns and a healed cut too")
    parser.add_argument("--quiet", type=float, default=0, help="instead: so many seconds without a fault")
    parser.add_argument("--rate", type=int, default=Timing().rate, help="bytes a second of the view")
    parser.add_argument("--plots", type=Path)
    chosen = parser.parse_args(None if arguments is None else list(arguments))
    rows = []
    timing = Timing(rate=chosen.rate)
    for size in chosen.sizes:
        for loss in chosen.losses:
            if chosen.quiet:
                print(quiet_time(size, loss, chosen.seed, chosen.quiet), flush=True)
                continue
            kills = min(chosen.kills, size - 1)
            rows.append(measure(size, loss, chosen.seed, chosen.seconds, kills, chosen.mass, timing))
            print(rows[-1], flush=True)
    if chosen.plots:
        plot(rows, chosen.plots)


if __name__ == "__main__":
    main()
