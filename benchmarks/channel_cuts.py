"""What it costs that messages of the decisions are cut to their part of the channel's budget: the same load
on the emulator's engines with whole messages, with cut ones, and with none."""

from __future__ import annotations

import argparse
from collections import Counter

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import FleetModel
from slipbay.peer_channel.interfaces import FrameKind
from slipbay.peer_channel.multiplexer import Multiplexer


class Cut(FleetModel):
    """Messages pass a budget of which the decisions surely get a part, and all else is taken."""

    def __init__(self, routers: int, engines: int, part: float, seed: int) -> None:
        self.part = part
        self.muxes = dict[int, Multiplexer]()
        self.counts = Counter[str]()
        super().__init__(routers, engines, seed=seed)

    def _send(self, me: int, body: bytes, to: int | None) -> None:
        mux = self.muxes.setdefault(
            me,
            Multiplexer(
                me,
                len(self.routers),
                0,
                self.now,
                shares={FrameKind.DECISIONS: self.part, FrameKind.VIEW: 1 - self.part},
            ),
        )
        found = mux.fit_gossip(self.now, body)
        self.counts["asked"] += len(body)
        self.counts["left"] += len(found or b"")
        if found is not None:
            super()._send(me, found, to)


def measure(routers: int, engines: int, level: float, part: float | None, seconds: float, seed: int) -> str:
    """A line: service in time, threads, further attempts. ``part``: None for whole messages."""
    tier = FleetModel(routers, engines, seed=seed) if part is None else Cut(routers, engines, part, seed)
    tier.deaf = part == 0
    tier.until(2 * SECOND)
    tier.load(seconds, level)
    account = tier.account
    told = "whole" if part is None else f"a part of {part:g}" if part else "none"
    line = (
        f"{routers} routers, {engines} engines, load {level}: {told}: service {account.service:.3f}, "
        f"refused {sum(account.refused.values()) / sum(account.came.values()):.3f}, threads p99 "
        f"{account.quantile(0.99)}"
    )
    if isinstance(tier, Cut):
        line += f", {tier.counts['left'] / max(1, tier.counts['asked']):.2f} of the bytes left"
    return line


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", nargs="*", default=["8x80", "24x80", "8x24"], help="routers x engines")
    parser.add_argument("--levels", type=float, nargs="*", default=[0.9])
    parser.add_argument("--parts", type=float, nargs="*", default=[0.3, 0.2, 0.1, 0.0])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    for size in chosen.sizes:
        routers, engines = map(int, size.split("x"))
        for level in chosen.levels:
            for part in [None, *chosen.parts]:
                print(measure(routers, engines, level, part, chosen.seconds, chosen.seed), flush=True)


if __name__ == "__main__":
    main()
