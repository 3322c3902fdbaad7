"""How soon after a restart of all routers the others acknowledge each new store incarnation.

``python benchmarks/lives.py`` restarts twelve routers under load, with membership, peer channel, warm-up and
a quota enabled. It prints when each new store incarnation was acknowledged, and the bytes and the messages
over budget of each frame kind. ``--part 0`` gives store incarnations no share of the channel's budget. See
docs/store-loss.md.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from slipbay.peer_channel.status_pages import NoAnswerError, encode_request, request_status
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


class StatusRig(Rig):
    """A rig that queries the peer-channel counters of each router after the load."""

    async def _check_views(self) -> None:
        self.statuses: list[dict[str, Any]] = []
        for target in self.real:
            try:
                self.statuses.append(await asyncio.to_thread(request_status, target, encode_request(0), 5.0))
            except (NoAnswerError, OSError) as problem:
                self.say(f"{target}: {problem}")


def run_seed(part: float, seed: int, keyed: bool) -> None:
    """Run one seed and print its two lines."""
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
        rig = StatusRig(script, Path(folder))
        report = asyncio.run(rig.execute())
    acknowledged_s = [
        [
            float(line.partition(" seconds=")[2].split()[0])
            for line in router.lines
            if "is acknowledged by" in line
        ]
        for router in rig.routers
    ]
    restarted_s = sorted(after[-1] for after in acknowledged_s if len(after) == 2)
    over_budget: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for status in rig.statuses:
        for kind, counts in status["kinds"].items():
            over_budget[kind] += counts["over_budget"]
            sent[kind] += counts["bytes"]
    print(
        f"part {part:g}, seed {seed}{', keyed' * keyed}: first lives noted after "
        f"{sorted(after[0] for after in acknowledged_s if after)}, restarted ones after {restarted_s}, "
        f"{ROUTERS - len(restarted_s)} never"
    )
    print(
        f"  over budget {dict(over_budget)}, bytes {dict(sent)}; starved {report.starved:.2f}; "
        f"full service after {report.intervals[-1]['full_service_s']} s; {report.faults or 'no fault'}"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", type=float, default=0.083)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--keyed", action="store_true")
    options = parser.parse_args()
    for number in range(1, options.seeds + 1):
        run_seed(options.part, number, options.keyed)
