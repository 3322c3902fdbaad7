"""The cost of being many on real sockets: ``python benchmarks/real.py --routers 1 3 8``.

Routers are processes of their own before 8 engines of 8 cores, loaded much as in ``benchmarks/many.py``:
lookups, and 15 reports of 2.4 s in 100 requests. Service is the worth answered within the aims over the worth
asked for. Engines and clients run on this machine too: where it is busy their delays are in the figures, so
look at its load, which is printed beside them.

``--against FOLDER`` compares CPU time a request with the release in a folder, all new parts off: one router
of each before the same engines at the same time under the same load, seats swapped in turn, so that what
disturbs one disturbs both. ``git worktree add FOLDER COMMIT`` makes such a folder. Where Linux's ``perf`` is
installed it tells instructions a request as well, which a busy machine hardly changes.
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


class Measured(Rig):
    """A rig whose routers know the aims of the emulator's mix."""

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


def ended(client_request: ClientRequest) -> str:
    """How it ended for its client; ``late`` where it was served beyond its aim."""
    spec = NAMES[client_request.service_class].spec
    aim_s = (
        spec.latency_objective_us
        + spec.latency_objective_stretch * client_request.work_ms * 1e3 / spec.threads
    ) / 1e6
    return (
        "late"
        if client_request.outcome == "served" and client_request.duration_s > aim_s
        else client_request.outcome
    )


def play(routers: int, level: float, seed: int, seconds: float, kill: int = 0) -> str:
    rate = level * 8 * 8 * CAPACITY / sum(t.part * t.work_us / 1e6 for t in MIX)  # requests a second
    script = Scenario(
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
        verdict = asyncio.run(Measured(script, Path(folder)).execute())
    counts = Counter(
        (client_request.service_class, ended(client_request)) for client_request in verdict.client_requests
    )
    asked = got = 0.0
    for (name, how), count in counts.items():
        spec = NAMES[name].spec
        asked += count * spec.utility
        got += count * spec.utility * {"served": 1.0, "late": spec.late_utility}.get(how, 0.0)
    told = "  ".join(f"{name} {how} {count}" for (name, how), count in sorted(counts.items()))
    return (
        f"{routers} routers at {level} seed {seed}: service {got / asked:.3f}  {told}  "
        f"faults {len(verdict.faults)}  load {os.getloadavg()[0]:.0f}"
    )


class Pair(Rig):
    """Two routers, each of a release of its own, and the CPU time that each took for its requests, and how
    many instructions of the process itself, not of the system for it."""

    def __init__(self, script: Scenario, folder: Path, releases: list[Path]) -> None:
        super().__init__(script, folder)
        self.spent = [0.0, 0.0]
        self.counted = [0, 0]
        self.folder = folder
        self.counters = dict[int, subprocess.Popen[bytes]]()
        for router, release in zip(self.routers, releases, strict=True):
            router.program = (
                "-c",
                f"import sys; sys.path.insert(0, {str(release)!r})\n"
                "from slipbay.__main__ import main\nsys.exit(main())",  # which every release has
            )

    def _on_router_ready(self, incarnation: RouterIncarnation) -> None:
        super()._on_router_ready(incarnation)
        number = incarnation.router.number
        self.spent[number] -= cpu_s(incarnation)
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
            self.spent[router.number] += cpu_s(router.incarnations[0])
        for number, counter in self.counters.items():
            counter.send_signal(signal.SIGINT)
            await asyncio.to_thread(counter.wait)
            told = (self.folder / f"count{number}").read_text()
            self.counted[number] = next(
                (int(line.partition(",")[0]) for line in told.splitlines() if line[:1].isdigit()), 0
            )  # 0: the system does not let us count


def cpu_s(incarnation: RouterIncarnation) -> float:
    """What a process has spent on cores; in s."""
    assert incarnation.process is not None
    return int(Path(f"/proc/{incarnation.process.pid}/schedstat").read_text().split()[0]) / 1e9


def told(ratios: list[float]) -> str:
    low, middle, high = quantiles(ratios, n=4)
    return f"median {middle:.3f}, half of them within {low:.3f} to {high:.3f}"


def compare(other: Path, pairs: int, seconds: float, rate: float) -> None:
    own = Path(__file__).parent.parent
    times = list[float]()
    counts = list[float]()
    for number in range(pairs):
        load = Load(lookups=rate, reports=rate / 50, loads=rate / 100, lookup_ms=5, report_ms=50)
        script = Scenario(routers=2, engines=4, seed=number, seconds=seconds, settle_s=1, load=load)
        seat = (number + 1) % 2  # ours
        with tempfile.TemporaryDirectory() as folder:
            rig = Pair(script, Path(folder), [other, own] if seat else [own, other])
            verdict = asyncio.run(rig.execute())
        asked = Counter(answer.router for answer in verdict.answers)
        refused = Counter(answer.router for answer in verdict.answers if answer.outcome == "refused")
        costs = [1e6 * spent / asked[n] for n, spent in enumerate(rig.spent)]
        times.append(costs[seat] / costs[1 - seat])
        line = (
            f"pair {number}: {costs[seat]:.0f} us a request, the other {costs[1 - seat]:.0f}, ratio "
            f"{times[-1]:.3f}"
        )
        if all(rig.counted):
            each = [counted / asked[n] / 1e3 for n, counted in enumerate(rig.counted)]
            counts.append(each[seat] / each[1 - seat])
            line += f"  {each[seat]:.0f} thousand instructions, {each[1 - seat]:.0f}, ratio {counts[-1]:.3f}"
        print(
            f"{line}  refused {refused[seat]}, {refused[1 - seat]}  faults {len(verdict.faults)}  "
            f"load {os.getloadavg()[0]:.0f}",
            flush=True,
        )
    print(f"{pairs} pairs: CPU time {told(times)}")
    if len(counts) > 1:
        print(f"{len(counts)} pairs: instructions {told(counts)}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 3, 8])
    parser.add_argument("--level", type=float, default=0.9)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--kill", type=int, default=0, help="so many routers after a fifth of the time")
    parser.add_argument("--against", type=Path, help="folder of another release, to compare CPU time with")
    parser.add_argument("--pairs", type=int, default=16)
    parser.add_argument("--rate", type=float, default=300, help="lookups a second of a pair")
    chosen = parser.parse_args()
    if chosen.against is not None:
        compare(chosen.against.resolve(), chosen.pairs, chosen.seconds, chosen.rate)
        return
    for routers in chosen.routers:
        for seed in chosen.seeds:
            print(play(routers, chosen.level, seed, chosen.seconds, chosen.kill), flush=True)


if __name__ == "__main__":
    main()
