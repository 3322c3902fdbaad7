"""How soon after a restart of all the other routers have noted each life of a store (docs/store-loss.md).

``python benchmarks/lives.py`` restarts twelve routers under load, with view, channel, coming back
and a quota on, and prints when each new life was noted, and what each kind of message was refused for want of
room. ``--part 0`` leaves lives of stores without a part of the channel's budget.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from slipbay.peer_channel.status_pages import NoAnswerError, ask, question
from slipbay.rig.runner import Rig
from slipbay.rig.scenario import from_table

ROUTERS = 12
QUOTA = """enabled = true
version = 1
[[quotas]]
name = "fuel"
tenants = ["ishikari-fuel"]
rate = 30.0
burst = 24.0
"""


class Asking(Rig):
    """Asks each router for the counters of its channel, once the load is over."""

    async def _check_views(self) -> None:
        self.told: list[dict[str, Any]] = []
        for target in self.router_addresses:
            try:
                self.told.append(await asyncio.to_thread(ask, target, question(0), 5.0))
            except (NoAnswerError, OSError) as problem:
                self.say(f"{target}: {problem}")


def play(part: float, seed: int, keyed: bool) -> None:
    key = 'key_file = "key"\n' if keyed else ""
    script = from_table(
        {
            "routers": ROUTERS,
            "engines": 4,
            "zones": 2,
            "seconds": 14,
            "settle_s": 10,
            "seed": seed,
            "fleet": "enabled = true",
            "comeback": "enabled = true",
            "quota": QUOTA,
            "channel": f"enabled = true\n{key}[parts]\nlives = {part}",
            "store": 'enabled = true\nfolder = "{own}/store"\n[loss]\nenabled = true\nfleet = true',
            "load": {"lookups": 60, "reports": 2, "loads": 0},
            "do": [{"at": 5, "what": "restart", "routers": list(range(ROUTERS)), "after_s": 0.3}],
        }
    )
    with tempfile.TemporaryDirectory() as folder:
        rig = Asking(script, Path(folder))
        verdict = asyncio.run(rig.execute())
    noted = [
        [
            float(line.partition(" seconds=")[2].split()[0])
            for line in router.lines
            if "is acknowledged by" in line
        ]
        for router in rig.routers
    ]
    late = sorted(after[-1] for after in noted if len(after) == 2)
    refused: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for status in rig.told:
        for kind, counts in status["kinds"].items():
            refused[kind] += counts["over_budget"]
            sent[kind] += counts["bytes"]
    print(
        f"part {part:g}, seed {seed}{', keyed' * keyed}: first lives noted after "
        f"{sorted(after[0] for after in noted if after)}, restarted ones after {late}, "
        f"{ROUTERS - len(late)} never"
    )
    print(
        f"  over budget {dict(refused)}, bytes {dict(sent)}; starved {verdict.starved:.2f}; "
        f"full service after {verdict.intervals[-1]['full_service_s']} s; {verdict.faults or 'no fault'}"
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--part", type=float, default=0.083)
    options.add_argument("--seeds", type=int, default=2)
    options.add_argument("--keyed", action="store_true")
    chosen = options.parse_args()
    for number in range(1, chosen.seeds + 1):
        play(chosen.part, number, chosen.keyed)
