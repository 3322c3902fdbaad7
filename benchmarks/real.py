"""Many router processes in front of shared engines, on real sockets.

``python benchmarks/real.py --routers 1 3 8`` runs routers in front of 8 engines of 8 cores, with a load
similar to that of ``benchmarks/many.py``: lookups, and 15 reports of 2.4 s in 100 requests. Service is the
utility of the answers, reduced for answers after the latency objective, as a fraction of the utility of all
requests. Engines and clients run on the same machine, so the results include their delays when it is busy;
its load average is printed beside them.

``--against FOLDER`` compares the CPU time per request with the release in a folder, with all optional
components off. One router of each release runs in front of the same engines at the same time under the same
load, in alternating positions, so that disturbances affect both. ``git worktree add FOLDER COMMIT`` creates
such a folder. If Linux's ``perf`` is installed, the comparison also shows instructions per request, which
hardly depend on the load of the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import signal
import subprocess
import tempfile
from collections import Counter
from pathlib import Path
from statistics import quantiles
from typing import Any

from slipbay.emulator.engines import CAPACITY
from slipbay.emulator.fleet_model import MIX
from slipbay.rig.process import RouterIncarnation
from slipbay.rig.report import ClientRequest
from slipbay.rig.runner import Rig
from slipbay.rig.scenario import Action, Load, Scenario

NAMES = {"lookup": MIX[0], "report": MIX[1]}


class TrafficMixRig(Rig):
    """A rig whose routers have the latency objectives and utilities of the emulator's traffic mix."""

    def _config(self, number: int, slot: int) -> dict[str, Any]:
        config = super()._config(number, slot)
        for profile in config["settings"]["profiles"]:
            if traffic := NAMES.get(profile["name"]):
                spec = traffic.spec
                profile |= {
                    "promiseUs": spec.latency_objective_us,
                    "gain": spec.utility,
                    "aimStretch": spec.latency_objective_stretch,
                    "lateWorth": spec.late_utility,
                }
        return config


def client_outcome(client_request: ClientRequest) -> str:
    """Return a request's outcome; ``late`` if it was served after its latency objective."""
    spec = NAMES[client_request.service_class].spec
    objective_s = (
        spec.latency_objective_us
        + spec.latency_objective_stretch * client_request.work_ms * 1e3 / spec.threads
    ) / 1e6
    return (
        "late"
        if client_request.outcome == "served" and client_request.duration_s > objective_s
        else client_request.outcome
    )


def run_fleet(routers: int, level: float, seed: int, seconds: float, kill: int = 0) -> str:
    """Run router processes under load and return a line; ``kill`` routers are killed after a fifth of it."""
    rate = level * 8 * 8 * CAPACITY / sum(t.part * t.work_us / 1e6 for t in MIX)  # requests per second
    scenario = Scenario(
        routers=routers,
        engines=8,
        seed=seed,
        seconds=seconds,
        load=Load(
            lookups=rate * MIX[0].part, reports=rate * MIX[1].part, loads=0, lookup_ms=85, report_ms=2400
        ),
        do=(Action(at=seconds / 5, what="kill", routers=tuple(range(kill))),) if kill else (),
    )
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(TrafficMixRig(scenario, Path(folder)).execute())
    counts = Counter(
        (client_request.service_class, client_outcome(client_request))
        for client_request in report.client_requests
    )
    requested_utility = achieved_utility = 0.0
    for (name, outcome), count in counts.items():
        spec = NAMES[name].spec
        requested_utility += count * spec.utility
        achieved_utility += (
            count * spec.utility * {"served": 1.0, "late": spec.late_utility}.get(outcome, 0.0)
        )
    outcomes = "  ".join(f"{name} {outcome} {count}" for (name, outcome), count in sorted(counts.items()))
    return (
        f"{routers} routers at {level} seed {seed}: "
        f"service {achieved_utility / requested_utility:.3f}  {outcomes}  "
        f"faults {len(report.faults)}  load {os.getloadavg()[0]:.0f}"
    )


class ReleasePairRig(Rig):
    """Two routers of different releases, and the CPU time and instructions that each used for its requests.

    Instructions are those in user mode.
    """

    def __init__(self, scenario: Scenario, folder: Path, releases: list[Path]) -> None:
        super().__init__(scenario, folder)
        self.request_cpu_s = [0.0, 0.0]
        self.instructions = [0, 0]
        self.folder = folder
        self.counters = dict[int, subprocess.Popen[bytes]]()
        for router, release in zip(self.routers, releases, strict=True):
            router.program = (
                "-c",
                f"import sys; sys.path.insert(0, {str(release)!r})\n"
                "from slipbay.__main__ import main\nsys.exit(main())",  # exists in every release
            )

    def _on_router_ready(self, incarnation: RouterIncarnation) -> None:
        super()._on_router_ready(incarnation)
        number = incarnation.router.number
        self.request_cpu_s[number] -= cpu_s(incarnation)
        if shutil.which("perf") and incarnation.process is not None:
            self.counters[number] = subprocess.Popen(
                [
                    "perf",
                    "stat",
                    "-x,",
                    "-e",
                    "instructions:u",
                    "-o",
                    str(self.folder / f"count{number}"),
                    "-p",
                    str(incarnation.process.pid),
                ]
            )

    async def _check_views(self) -> None:
        for router in self.routers:
            self.request_cpu_s[router.number] += cpu_s(router.incarnations[0])
        for number, counter in self.counters.items():
            counter.send_signal(signal.SIGINT)
            await asyncio.to_thread(counter.wait)
            output = (self.folder / f"count{number}").read_text()
            self.instructions[number] = next(
                (int(line.partition(",")[0]) for line in output.splitlines() if line[:1].isdigit()), 0
            )  # 0 if the system does not permit counting


def cpu_s(incarnation: RouterIncarnation) -> float:
    """Return the CPU time of a router's process in s."""
    assert incarnation.process is not None
    return int(Path(f"/proc/{incarnation.process.pid}/schedstat").read_text().split()[0]) / 1e9


def quartiles(ratios: list[float]) -> str:
    """Return the median and the middle half of ratios as text."""
    low, median, high = quantiles(ratios, n=4)
    return f"median {median:.3f}, half of them within {low:.3f} to {high:.3f}"


def compare(other: Path, pairs: int, seconds: float, rate: float) -> None:
    """Compare this release with another one; print a line for each pair and the quartiles of the ratios."""
    this_release = Path(__file__).parent.parent
    cpu_ratios = list[float]()
    instruction_ratios = list[float]()
    for number in range(pairs):
        load = Load(lookups=rate, reports=rate / 50, loads=rate / 100, lookup_ms=5, report_ms=50)
        scenario = Scenario(routers=2, engines=4, seed=number, seconds=seconds, settle_s=1, load=load)
        seat = (number + 1) % 2  # position of this release
        with tempfile.TemporaryDirectory() as folder:
            rig = ReleasePairRig(
                scenario, Path(folder), [other, this_release] if seat else [this_release, other]
            )
            report = asyncio.run(rig.execute())
        requests = Counter(answer.router for answer in report.answers)
        rejected = Counter(answer.router for answer in report.answers if answer.outcome == "refused")
        costs = [1e6 * cpu_s / requests[n] for n, cpu_s in enumerate(rig.request_cpu_s)]
        cpu_ratios.append(costs[seat] / costs[1 - seat])
        line = (
            f"pair {number}: {costs[seat]:.0f} us a request, the other {costs[1 - seat]:.0f}, ratio "
            f"{cpu_ratios[-1]:.3f}"
        )
        if all(rig.instructions):
            thousands = [count / requests[n] / 1e3 for n, count in enumerate(rig.instructions)]
            instruction_ratios.append(thousands[seat] / thousands[1 - seat])
            line += (
                f"  {thousands[seat]:.0f} thousand instructions, {thousands[1 - seat]:.0f}, "
                f"ratio {instruction_ratios[-1]:.3f}"
            )
        print(
            f"{line}  refused {rejected[seat]}, {rejected[1 - seat]}  faults {len(report.faults)}  "
            f"load {os.getloadavg()[0]:.0f}",
            flush=True,
        )
    print(f"{pairs} pairs: CPU time {quartiles(cpu_ratios)}")
    if len(instruction_ratios) > 1:
        print(f"{len(instruction_ratios)} pairs: instructions {quartiles(instruction_ratios)}")


def main() -> None:
    """Run all numbers of routers and seeds, or compare two releases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 3, 8])
    parser.add_argument("--level", type=float, default=0.9)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument(
        "--kill", type=int, default=0, help="number of routers to kill after a fifth of the time"
    )
    parser.add_argument("--against", type=Path, help="folder of another release, to compare CPU time with")
    parser.add_argument("--pairs", type=int, default=16)
    parser.add_argument("--rate", type=float, default=300, help="lookups per second of a pair")
    options = parser.parse_args()
    if options.against is not None:
        compare(options.against.resolve(), options.pairs, options.seconds, options.rate)
        return
    for routers in options.routers:
        for seed in options.seeds:
            print(run_fleet(routers, options.level, seed, options.seconds, options.kill), flush=True)


if __name__ == "__main__":
    main()
