"""Many routers in front of shared engines, in simulated time: ``python benchmarks/many.py``.

Service is the utility of the answers, reduced for answers after the latency objective, as a fraction of the
utility of all requests. Threads are those in use on an engine of 8 cores, sampled ten times per second.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import FleetModel


def steady(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """A constant load without faults."""
    fleet = FleetModel(routers, engines, seed=seed, skew=0.5)
    fleet.load(seconds, level)
    return fleet


def killed(
    routers: int, engines: int, level: float, seed: int, seconds: float, has_gossip: bool = True
) -> FleetModel:
    """Five of eight routers are killed after a fifth of the time."""
    fleet = FleetModel(routers, engines, seed=seed, skew=0.5)
    fleet.deaf = not has_gossip
    fleet.load(seconds / 5, level)
    for me in range(routers * 5 // 8):
        fleet.kill(me)
    fleet.load(seconds * 4 / 5, level)
    return fleet


def deaf(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """As ``killed``, and without gossip between routers."""
    return killed(routers, engines, level, seed, seconds, has_gossip=False)


def joins(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """Six of ten engines are replaced one after another within 7 s."""
    fleet = FleetModel(routers, engines, seed=seed, skew=0.5)
    fleet.load(6, level)
    leaving = list(fleet.engines)[: engines * 6 // 10]
    for name in leaving:
        fleet.drain(name)
        fleet.add_engine(born=fleet.now)
        fleet.load(7 / len(leaving), level)
    fleet.load(max(1.0, seconds - 13), level)
    return fleet


def roll(routers: int, engines: int, level: float, seed: int, seconds: float) -> FleetModel:
    """Half of the engines are replaced in five steps while the routers are restarted, a tenth at a time."""
    fleet = FleetModel(routers, engines, seed=seed, skew=0.5)
    fleet.load(4, level)
    leaving = list(fleet.engines)[: engines // 2]
    for step in range(10):
        if step % 2 == 0:
            for name in leaving[step * len(leaving) // 10 : (step + 2) * len(leaving) // 10]:
                fleet.drain(name)
                fleet.add_engine(born=fleet.now)
        group = range(step * routers // 10, (step + 1) * routers // 10)
        for me in group:
            fleet.kill(me)
        fleet.load(0.8, level)
        for me in group:
            fleet.start(me)
        fleet.load(1.2, level)
    fleet.load(max(1.0, seconds - 24), level)
    return fleet


SCENARIOS: dict[str, Callable[[int, int, float, int, float], FleetModel]] = {
    "steady": steady,
    "killed": killed,
    "deaf": deaf,
    "joins": joins,
    "roll": roll,
}


def run(scenario: str, routers: int, engines: int, level: float, seed: int, seconds: float) -> str:
    """Run one scenario and return its line."""
    cpu_start_s = time.process_time()
    fleet = SCENARIOS[scenario](routers, engines, level, seed, seconds)
    fleet.until(fleet.now + 25 * SECOND)
    account, request_count = fleet.account, max(1, sum(fleet.account.came.values()))
    cpu_s = time.process_time() - cpu_start_s
    by_class = " ".join(f"{account.good[k] / max(1, account.came[k]):.2f}" for k in range(len(fleet.mix)))
    budget_use = max(e.worst_push for e in fleet.engines.values())
    rejected = sum(account.refused.values()) / request_count
    idle = account.idle_refused / request_count
    return (
        f"{scenario:7} {routers:4} routers {engines:3} engines at {level:.1f} seed {seed}: service "
        f"{account.service:.3f} by class {by_class}  refused {rejected:.3f} with cores free {idle:.3f}  "
        f"attempts {account.attempts / request_count:.2f}  threads median {account.quantile(0.5)} "
        f"p99 {account.quantile(0.99)} most {max(account.thread_samples)}  cold push {budget_use:.2f}  "
        f"messages {account.gossip_messages / fleet.now * SECOND / routers:.0f}/s a router  CPU {cpu_s:.1f} s"
    )


def main() -> None:
    """Run all scenarios, sizes, levels and seeds, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--day", choices=[*SCENARIOS], nargs="*", default=["steady"])
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 3, 8, 40, 200])
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--levels", type=float, nargs="*", default=[0.5, 0.7, 0.9, 1.1, 1.3])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--jobs", type=int, default=None)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        for line in [
            pool.submit(run, scenario, routers, options.engines, level, seed, options.seconds)
            for scenario in options.day
            for routers in options.routers
            for level in options.levels
            for seed in options.seeds
        ]:
            print(line.result(), flush=True)


if __name__ == "__main__":
    main()
