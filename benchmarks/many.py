"""What many routers do together before the same engines, in simulated time: ``python benchmarks/many.py``.

Service is the worth answered within the aims over the worth asked for. Threads are those held on an engine of
8 cores, looked at ten times a second.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import FleetModel


def steady(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    tier = FleetModel(routers, engines, seed=seed, skew=0.5)
    tier.load(seconds, level)
    return tier


def killed(
    routers: int, engines: int, level: float, seed: int, seconds: float, heard: bool = True
) -> FleetModel:
    """Five in eight routers are killed after a fifth of the time."""
    tier = FleetModel(routers, engines, seed=seed, skew=0.5)
    tier.deaf = not heard
    tier.load(seconds / 5, level)
    for me in range(routers * 5 // 8):
        tier.kill(me)
    tier.load(seconds * 4 / 5, level)
    return tier


def deaf(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """As before, and no router hears another."""
    return killed(routers, engines, level, seed, seconds, heard=False)


def joins(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """Six in ten engines are replaced one after another within 7 s."""
    tier = FleetModel(routers, engines, seed=seed, skew=0.5)
    tier.load(6, level)
    leaving = list(tier.engines)[: engines * 6 // 10]
    for name in leaving:
        tier.drain(name)
        tier.add_engine(born=tier.now)
        tier.load(7 / len(leaving), level)
    tier.load(max(1.0, seconds - 13), level)
    return tier


def roll(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """Half of the engines are replaced in five steps while routers are killed and started in tenths."""
    tier = FleetModel(routers, engines, seed=seed, skew=0.5)
    tier.load(4, level)
    leaving = list(tier.engines)[: engines // 2]
    for step in range(10):
        if step % 2 == 0:
            for name in leaving[step * len(leaving) // 10 : (step + 2) * len(leaving) // 10]:
                tier.drain(name)
                tier.add_engine(born=tier.now)
        group = range(step * routers // 10, (step + 1) * routers // 10)
        for me in group:
            tier.kill(me)
        tier.load(0.8, level)
        for me in group:
            tier.start(me)
        tier.load(1.2, level)
    tier.load(max(1.0, seconds - 24), level)
    return tier


DAYS: dict[str, Callable[[int, int, float, int, float], FleetModel]] = {
    "steady": steady,
    "killed": killed,
    "deaf": deaf,
    "joins": joins,
    "roll": roll,
}


def play(day: str, routers: int, engines: int, level: float, seed: int, seconds: float) -> str:
    began = time.process_time()
    tier = DAYS[day](routers, engines, level, seed, seconds)
    tier.until(tier.now + 25 * SECOND)
    account, came = tier.account, max(1, sum(tier.account.came.values()))
    took = time.process_time() - began
    parts = " ".join(f"{account.good[k] / max(1, account.came[k]):.2f}" for k in range(len(tier.mix)))
    pushed = max(e.worst_push for e in tier.engines.values())
    refused = sum(account.refused.values()) / came
    idle = account.idle_refused / came
    return (
        f"{day:7} {routers:4} routers {engines:3} engines at {level:.1f} seed {seed}: service "
        f"{account.service:.3f} by class {parts}  refused {refused:.3f} with cores free {idle:.3f}  "
        f"attempts {account.attempts / came:.2f}  threads median {account.quantile(0.5)} "
        f"p99 {account.quantile(0.99)} most {max(account.thread_samples)}  cold push {pushed:.2f}  "
        f"messages {account.gossip_messages / tier.now * SECOND / routers:.0f}/s a router  CPU {took:.1f} s"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--day", choices=[*DAYS], nargs="*", default=["steady"])
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 3, 8, 40, 200])
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--levels", type=float, nargs="*", default=[0.5, 0.7, 0.9, 1.1, 1.3])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--jobs", type=int, default=None)
    chosen = parser.parse_args()
    with ProcessPoolExecutor(chosen.jobs) as pool:
        for line in [
            pool.submit(play, day, routers, chosen.engines, level, seed, chosen.seconds)
            for day in chosen.day
            for routers in chosen.routers
            for level in chosen.levels
            for seed in chosen.seeds
        ]:
            print(line.result(), flush=True)


if __name__ == "__main__":
    main()
