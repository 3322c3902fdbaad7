"""How fast membership views follow changes, in simulated time: ``python benchmarks/fleet_view.py``.

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
    """Measurements with one number of routers at one loss rate. Times are in s."""

    size: int
    loss: float
    detection_s: list[float]  # from a kill until each other router has detected it
    rest: float  # bytes per second and router before the kills
    wrong: int  # suspicions of running routers before the kills
    cpu: float
    settled: dict[str, float]  # time until all views were correct again, by event

    def __str__(self) -> str:
        events = ", ".join(f"{what} {seconds:.1f}" for what, seconds in self.settled.items())
        median = quantile(self.detection_s, 0.5)
        p99 = quantile(self.detection_s, 0.99)
        return (
            f"{self.size:5} routers, loss {self.loss:.0%}: held gone p50 {median:.2f} p99 {p99:.2f} "
            f"most {self.detection_s[-1]:.2f} s; at rest {self.rest:.0f} bytes/s a router, "
            f"{self.wrong} wrong suspicions; {self.cpu:.1f} s of CPU"
            + (f"; views equal after {events} s" if events else "")
        )


def detection(fleet: MembershipModel, victim: int) -> list[float]:
    """Kill a router; return the seconds until each other router detects it, in increasing order."""
    fleet.kill([victim])
    start = fleet.now
    held = dict[int, float]()
    while fleet.now < start + 10 * SECOND and len(held) < len(fleet.running):
        fleet.run(0.05)
        for view in fleet.views():
            if view.table.state(victim) in (MemberState.GONE, None):
                held.setdefault(view.local_number, (fleet.now - start) / SECOND)
    return sorted(held.values())


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else nan


def mass_events(size: int, loss: float, seed: int, timing: Timing) -> dict[str, float]:
    """Kill and restart 7 in 10 routers, then cut the fleet in two halves and heal the cut.

    Returns the seconds until all views are correct, by event.
    """
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=loss), timing=timing)
    fleet.run(5)
    killed = range(size * 7 // 10)
    fleet.kill(killed)
    settled = {"7 in 10 killed": fleet.until_settled(30)}
    for number in killed:
        fleet.start(number)
    settled["their return"] = fleet.until_settled(30)
    fleet.run(5)
    fleet.network.cut(range(0, size, 2), range(1, size, 2))
    fleet.run(8)
    fleet.network.heal()
    settled["a healed cut"] = fleet.until_settled(30)
    return settled


def measure(size: int, loss: float, seed: int, seconds: float, kills: int, mass: bool, timing: Timing) -> Row:
    """Measure the traffic and wrong suspicions at rest, and the detection of some kills."""
    cpu_start_s = time.process_time()
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=loss), timing=timing)
    gc.freeze()  # the collector would spend much time on a thousand tables of a thousand members
    fleet.run(seconds)
    rest = sum(fleet.network.bytes_from.values()) / size / seconds
    wrong = sum(view.counts["unanswered"] for view in fleet.views())
    detection_s: list[float] = []
    for number in range(kills):
        detection_s += detection(fleet, number)
        fleet.start(number)
        fleet.until_settled(10)
    cpu = time.process_time() - cpu_start_s
    return Row(
        size,
        loss,
        sorted(detection_s),
        rest,
        wrong,
        cpu,
        mass_events(size, loss, seed, timing) if mass else {},
    )


def quiet_time(size: int, loss: float, seed: int, seconds: float) -> str:
    """Run without faults; return a line on how often and how long running routers are held gone."""
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=loss))
    since: dict[int, int] = {}
    max_holders = 0
    longest_s = 0.0
    cpu_start_s = time.process_time()
    for _ in range(int(seconds * 10)):
        fleet.run(0.1)
        held = {
            n: sum(n in view.table.dead for view in fleet.views())
            for n in {n for view in fleet.views() for n in view.table.dead}
        }
        max_holders = max([max_holders, *held.values()])
        since = {n: since.get(n, fleet.now) for n, count in held.items() if count > 1}
        longest_s = max([longest_s, *((fleet.now - at) / SECOND for at in since.values())])
    wrong = sum(view.counts["unanswered"] for view in fleet.views())
    return (
        f"{size} routers, loss {loss:.0%}, {seconds:g} s without a fault: {wrong} wrong suspicions, at "
        f"most {max_holders} held a living one gone, more than one for {longest_s:.1f} s at the longest; "
        f"{time.process_time() - cpu_start_s:.0f} s of CPU"
    )


def plot(rows: list[Row], folder: Path) -> None:
    """Write a figure of each measurement over the number of routers, one curve per loss rate."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    losses = sorted({row.loss for row in rows})
    for name, label, value in (
        ("detection", "99th of 100 holds a killed one gone (s)", lambda row: quantile(row.detection_s, 0.99)),
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
    """Run all sizes and loss rates, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--sizes", type=int, nargs="*", default=[3, 24, 100, 300])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.1, 0.3])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument(
        "--mass", action="store_true", help="also kill 7 in 10, restart them, and cut and heal the network"
    )
    parser.add_argument("--quiet", type=float, default=0, help="instead run this many seconds without faults")
    parser.add_argument(
        "--rate", type=int, default=Timing().rate, help="bandwidth limit of the view in bytes per second"
    )
    parser.add_argument("--plots", type=Path)
    options = parser.parse_args(None if arguments is None else list(arguments))
    rows = []
    timing = Timing(rate=options.rate)
    for size in options.sizes:
        for loss in options.losses:
            if options.quiet:
                print(quiet_time(size, loss, options.seed, options.quiet), flush=True)
                continue
            kills = min(options.kills, size - 1)
            rows.append(measure(size, loss, options.seed, options.seconds, kills, options.mass, timing))
            print(rows[-1], flush=True)
    if options.plots:
        plot(rows, options.plots)


if __name__ == "__main__":
    main()
