"""How fast the view of a fleet follows, in simulated time: ``python benchmarks/fleet_view.py``."""

from __future__ import annotations

import argparse
import time
from collections.abc import Iterable

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet import FleetModel
from slipbay.emulator.network import Weather
from slipbay.fleet.codec import State


def detection(fleet: FleetModel, victim: int) -> list[float]:
    """Seconds until each other router holds a killed one gone, in order."""
    fleet.kill([victim])
    start, held = fleet.now, dict[int, float]()
    while fleet.now < start + 10 * SECOND and len(held) < len(fleet.running):
        fleet.run(0.05)
        for view in fleet.views():
            if view.state(victim) in (State.GONE, None):
                held.setdefault(view.me, (fleet.now - start) / SECOND)
    return sorted(held.values())


def quantile(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))] if values else float("nan")


def row(size: int, loss: float, seed: int, seconds: float, kills: int) -> str:
    began = time.process_time()
    fleet = FleetModel(size, seed, weather=Weather(loss=loss))
    fleet.run(seconds)
    rest = sum(fleet.network.bytes_from.values()) / size / seconds
    wrong = sum(view.counts["unanswered"] for view in fleet.views())
    found: list[float] = []
    for number in range(kills):
        found += detection(fleet, number)
        fleet.start(number)
        fleet.until_settled(10)
    found.sort()
    return (f"{size:5} routers, loss {loss:.0%}: held gone p50 {quantile(found, 0.5):.2f} p99 "
            f"{quantile(found, 0.99):.2f} most {found[-1]:.2f} s; at rest {rest:.0f} bytes/s a router, "
            f"{wrong} wrong suspicions in {seconds:g} s; {time.process_time() - began:.1f} s of CPU")


def main(arguments: Iterable[str] | None = None) -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[3, 24, 100, 300])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.1, 0.3])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--kills", type=int, default=5)
    chosen = parser.parse_args(None if arguments is None else list(arguments))
    for size in chosen.sizes:
        for loss in chosen.losses:
            print(row(size, loss, chosen.seed, chosen.seconds, min(chosen.kills, size - 1)), flush=True)


if __name__ == "__main__":
    main()
