"""Service after all routers of a fleet, or some of them, are killed and restarted under load.

Modes: ``off`` has no warm-up, ``on`` has the warm-up of ``deploy/comeback.toml``, ``disks`` adds snapshots
of the previous incarnation, and ``perfect`` is a fleet with perfect knowledge of the engines. With
``--cold 3``, a third of the engines is replaced by cold ones 1 s before the kill; with ``--twice``, all
routers are killed again 1.5 s later.

The time to full service counts from the restart of the first router after the last kill. Peaks are maxima in
100 ms, after and before the kill; those of threads are on one engine. A push above 1 means that a cold engine
fails.

    python benchmarks/comeback.py --emulated --routers 40 --engines 40 --level 0.7 --plays 2
    python benchmarks/comeback.py --routers 8 --engines 4 --level 0.7     # router processes, through the rig
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import MIX
from slipbay.emulator.restart_model import RestartModel
from slipbay.rig.runner import run_scenario
from slipbay.rig.scenario import from_table
from slipbay.warmup.plan import WarmupPlan

CORES = 8
CAPACITY = 0.85
LOOKUP_MS = 85
REPORT_MS = 2_400
REPORTS = 0.15  # fraction of the requests that are reports
START_S = 0.3  # from a kill to the restart
AGAIN_S = 1.5  # from the first kill to the second
AFTER_S = 10.0  # length of the load after the first kill
SPREAD_US = 500_000  # maximum random delay of a restart in the emulator


def emulated(
    mode: str,
    routers: int,
    engines: int,
    level: float,
    killed: float,
    seed: int,
    case: tuple[int, bool, float, float],
) -> str:
    """Run one case in simulated time and return its line.

    ``case`` holds the options ``--cold``, ``--twice``, ``--kill-s`` and ``--report-s``.
    """
    mix = MIX[0], replace(MIX[1], work_us=case[3] * SECOND)
    fleet = RestartModel(
        routers,
        engines,
        mix,
        seed=seed,
        plan=WarmupPlan() if mode in ("on", "disks") else None,
        perfect=mode == "perfect",
        disks=mode == "disks",
    )
    started, (cold, twice, kill_s, _), down = fleet.now, case, int(START_S * SECOND)
    first_kill = started + int(kill_s * SECOND)
    end = started + int((kill_s + AFTER_S) * SECOND)
    last_kill = first_kill + twice * int(AGAIN_S * SECOND)
    ready = last_kill + down
    chosen = range(round(killed * routers))
    if cold:
        fleet.agenda.at(first_kill - SECOND, lambda: fleet.renew(sorted(fleet.engines)[::cold]))
    for at in {first_kill, last_kill}:
        fleet.agenda.at(at, lambda: fleet.restart(chosen, down, SPREAD_US))
    fleet.load(kill_s + AFTER_S, level)
    fleet.until(fleet.now + 5 * SECOND)
    seen = fleet.seen
    steady = seen.part(started + 3 * SECOND, first_kill - 4 * SECOND)
    before = seen.peaks(started + 3 * SECOND, first_kill)
    after = seen.peaks(ready, end)
    full_s = seen.full_after(ready, end, 0.95 * steady)
    return (
        f"in time {steady:.3f} before, {seen.part(ready, ready + 3 * SECOND):.3f} in the 3 s after; full "
        f"service after {'-' if full_s is None else f'{full_s:.1f}'} s; "
        + ", ".join(f"{name} {after[name]} for {before[name]}" for name in before)
        + f"; push {max(e.worst_push for e in fleet.engines.values()):.2f}"
        f"; news {max(seen.news, default=0) / SECOND:.2f} s old, {seen.stale} of {len(seen.news)} stale"
        f"; most lives took {max(seen.warmup_us, default=0) / SECOND:.1f} s by their own account, "
        f"{max(seen.bytes.values(), default=0)} bytes"
    )


def processes(
    mode: str,
    routers: int,
    engines: int,
    level: float,
    killed: float,
    seed: int,
    case: tuple[int, bool, float, float],
) -> str:
    """Run one case with router processes and return its line; ``case`` is as in ``emulated``."""
    work_s = ((1 - REPORTS) * LOOKUP_MS + REPORTS * REPORT_MS) / 1000
    rate = level * engines * CORES * CAPACITY / work_s
    cold, _, kill_s, _ = case
    replacements = (
        [{"at": kill_s - 1, "what": "renew", "engines": list(range(0, engines, cold))}] if cold else []
    )
    report = run_scenario(
        from_table(
            {
                "routers": routers,
                "engines": engines,
                "seed": seed,
                "seconds": kill_s + AFTER_S,
                "channel": "enabled = true",
                "comeback": f"enabled = {'false' if mode == 'off' else 'true'}",
                "store": 'enabled = true\nfolder = "{own}/store"' if mode == "disks" else "",
                "load": {
                    "lookups": rate * (1 - REPORTS),
                    "reports": rate * REPORTS,
                    "loads": 0,
                    "lookup_ms": LOOKUP_MS,
                    "report_ms": REPORT_MS,
                    "honour_later": True,
                },
                "do": [
                    *replacements,
                    {
                        "at": kill_s,
                        "what": "restart",
                        "after_s": START_S,
                        "routers": list(range(round(killed * routers))),
                    },
                ],
            }
        )
    )
    steady = report.intervals[0]
    after = report.intervals[-1]
    first_ready_s = after["first_ready_s"] or 0.0
    full_s = None if after["full_service_s"] is None else after["full_service_s"] - first_ready_s
    peaks = ", ".join(
        f"{name} {after[name]} for {steady[name]}"
        for name in ("connects", "sends", "cold_sends", "list_calls", "threads")
    )
    return (
        f"in time {steady['in_time']:.3f} before, {after['in_time']:.3f} after; full service after "
        f"{'-' if full_s is None else f'{max(0.0, full_s):.2f}'} s; {peaks}; starved {report.starved:.2f}"
        + "".join(f"\n    FAULT {fault}" for fault in report.faults)
    )


def main() -> None:
    """Run all levels, modes and seeds, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--emulated", action="store_true")
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--level", type=float, nargs="+", default=[0.7])
    parser.add_argument("--killed", type=float, default=1.0, help="fraction of the routers to kill")
    parser.add_argument("--cold", type=int, default=0, help="replace every Nth engine by a cold one")
    parser.add_argument("--twice", action="store_true", help="only with --emulated")
    parser.add_argument(
        "--kill-s", type=float, default=15.0, help="time of the kill; the load runs 10 s longer"
    )
    parser.add_argument(
        "--report-s",
        type=float,
        default=MIX[1].work_us / SECOND,
        help="mean work of a report, only with --emulated",
    )
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--modes", nargs="+", default=["off", "on", "disks", "perfect"])
    parser.add_argument("--workers", type=int, default=1, help="concurrent runs, only with --emulated")
    options = parser.parse_args()
    modes = [mode for mode in options.modes if options.emulated or mode != "perfect"]
    jobs = [
        (
            mode,
            options.routers,
            options.engines,
            level,
            options.killed,
            seed,
            (options.cold, options.twice, options.kill_s, options.report_s),
        )
        for level in options.level
        for mode in modes
        for seed in range(1, options.plays + 1)
    ]
    run_case = emulated if options.emulated else processes
    with ProcessPoolExecutor(options.workers if options.emulated else 1) as pool:
        for job, line in zip(jobs, pool.map(run_case, *zip(*jobs, strict=True)), strict=True):
            mode, routers, engines, level, _, seed, _ = job
            print(f"{routers} routers, {engines} engines, {level:g}, seed {seed}, {mode}: {line}", flush=True)


if __name__ == "__main__":
    main()
