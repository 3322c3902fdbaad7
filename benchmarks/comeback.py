"""All routers of a fleet, or a part, are killed and start again under load: without and with
``deploy/comeback.toml``, with snapshots of the last life besides, and as a fleet with perfect knowledge of
engines. ``--cold 3``: a third of the engines is renewed 1 s before; ``--twice``: all are killed again 1.5 s
later. Times to full service count from the first router that is up again, the last time; peaks are the most
in 100 ms (threads: on an engine), after for before. A push over 1 is a cold engine that falls.

    python benchmarks/comeback.py --emulated --routers 40 --engines 40 --level 0.7 --plays 2
    python benchmarks/comeback.py --routers 8 --engines 4 --level 0.7     # as processes, through the rig
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import MIX
from slipbay.emulator.restart_model import RestartModel
from slipbay.rig.runner import play
from slipbay.rig.scenario import from_table
from slipbay.warmup.plan import WarmupPlan

CORES = 8
CAPACITY = 0.85
LOOKUP_MS = 85
REPORT_MS = 2_400
REPORTS = 0.15
START_S = 0.3
AGAIN_S = 1.5
AFTER_S = 10.0
SPREAD_US = 500_000  # by which the emulator's routers differ in their start


def emulated(
    mode: str,
    routers: int,
    engines: int,
    level: float,
    killed: float,
    seed: int,
    case: tuple[int, bool, float, float],
) -> str:
    """``mode``: off, on, disks, perfect; ``case``: cold, twice, when, a report's work in s; one line."""
    mix = MIX[0], replace(MIX[1], work_us=case[3] * SECOND)
    tier = RestartModel(
        routers,
        engines,
        mix,
        seed=seed,
        plan=WarmupPlan() if mode in ("on", "disks") else None,
        perfect=mode == "perfect",
        disks=mode == "disks",
    )
    began, (cold, twice, kill_s, _), down = tier.now, case, int(START_S * SECOND)
    dead = began + int(kill_s * SECOND)
    end = began + int((kill_s + AFTER_S) * SECOND)
    last = dead + twice * int(AGAIN_S * SECOND)
    ready = last + down
    chosen = range(round(killed * routers))
    if cold:
        tier.agenda.at(dead - SECOND, lambda: tier.renew(sorted(tier.engines)[::cold]))
    for at in {dead, last}:
        tier.agenda.at(at, lambda: tier.restart(chosen, down, SPREAD_US))
    tier.load(kill_s + AFTER_S, level)
    tier.until(tier.now + 5 * SECOND)
    seen = tier.seen
    steady = seen.part(began + 3 * SECOND, dead - 4 * SECOND)
    before = seen.peaks(began + 3 * SECOND, dead)
    after = seen.peaks(ready, end)
    full = seen.full_after(ready, end, 0.95 * steady)
    return (
        f"in time {steady:.3f} before, {seen.part(ready, ready + 3 * SECOND):.3f} in the 3 s after; full "
        f"service after {'-' if full is None else f'{full:.1f}'} s; "
        + ", ".join(f"{name} {after[name]} for {before[name]}" for name in before)
        + f"; push {max(e.worst_push for e in tier.engines.values()):.2f}"
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
    work_s = ((1 - REPORTS) * LOOKUP_MS + REPORTS * REPORT_MS) / 1000
    rate = level * engines * CORES * CAPACITY / work_s
    cold, _, kill_s, _ = case
    renewed = [{"at": kill_s - 1, "what": "renew", "engines": list(range(0, engines, cold))}] if cold else []
    verdict = play(
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
                    *renewed,
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
    steady = verdict.stretches[0]
    back = verdict.stretches[-1]
    first = back["first_ready_s"] or 0.0
    full = None if back["full_service_s"] is None else back["full_service_s"] - first
    peaks = ", ".join(
        f"{name} {back[name]} for {steady[name]}"
        for name in ("connects", "sends", "cold_sends", "list_calls", "threads")
    )
    return (
        f"in time {steady['in_time']:.3f} before, {back['in_time']:.3f} after; full service after "
        f"{'-' if full is None else f'{max(0.0, full):.2f}'} s; {peaks}; starved {verdict.starved:.2f}"
        + "".join(f"\n    FAULT {fault}" for fault in verdict.faults)
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--emulated", action="store_true")
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--level", type=float, nargs="+", default=[0.7])
    parser.add_argument("--killed", type=float, default=1.0, help="part of the routers")
    parser.add_argument("--cold", type=int, default=0, help="every how many engines one is renewed")
    parser.add_argument("--twice", action="store_true", help="emulated alone")
    parser.add_argument("--kill-s", type=float, default=15.0, help="when; the load goes on 10 s longer")
    parser.add_argument(
        "--report-s",
        type=float,
        default=MIX[1].work_us / SECOND,
        help="mean work of a report, emulated alone",
    )
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--modes", nargs="+", default=["off", "on", "disks", "perfect"])
    parser.add_argument("--workers", type=int, default=1, help="emulated plays at once")
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
    way = emulated if options.emulated else processes
    with ProcessPoolExecutor(options.workers if options.emulated else 1) as pool:
        for job, line in zip(jobs, pool.map(way, *zip(*jobs, strict=True)), strict=True):
            mode, routers, engines, level, _, seed, _ = job
            print(f"{routers} routers, {engines} engines, {level:g}, seed {seed}, {mode}: {line}", flush=True)


if __name__ == "__main__":
    main()
