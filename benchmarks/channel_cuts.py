"""Cost of truncating gossip to its share of the peer channel's bandwidth budget, in simulated time.

Runs the same load on the emulator's engines with complete gossip messages, with truncated ones, and without
gossip.
"""

from __future__ import annotations

import argparse
from collections import Counter

from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import FleetModel
from slipbay.peer_channel.interfaces import FrameKind
from slipbay.peer_channel.multiplexer import Multiplexer


class TruncatedGossip(FleetModel):
    """A fleet whose gossip has only its guaranteed share of the bandwidth budget."""

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
        truncated = mux.fit_gossip(self.now, body)
        self.counts["asked"] += len(body)
        self.counts["left"] += len(truncated or b"")
        if truncated is not None:
            super()._send(me, truncated, to)


def measure(routers: int, engines: int, level: float, part: float | None, seconds: float, seed: int) -> str:
    """Run one load; return a line with the service in time, the rejections and the threads per engine.

    ``part`` is the share of gossip in the budget; None sends complete messages.
    """
    fleet = (
        FleetModel(routers, engines, seed=seed)
        if part is None
        else TruncatedGossip(routers, engines, part, seed)
    )
    fleet.deaf = part == 0
    fleet.until(2 * SECOND)
    fleet.load(seconds, level)
    account = fleet.account
    gossip = "whole" if part is None else f"a part of {part:g}" if part else "none"
    line = (
        f"{routers} routers, {engines} engines, load {level}: {gossip}: service {account.service:.3f}, "
        f"refused {sum(account.refused.values()) / sum(account.came.values()):.3f}, threads p99 "
        f"{account.quantile(0.99)}"
    )
    if isinstance(fleet, TruncatedGossip):
        line += f", {fleet.counts['left'] / max(1, fleet.counts['asked']):.2f} of the bytes left"
    return line


def main() -> None:
    """Run all sizes, levels and shares, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", nargs="*", default=["8x80", "24x80", "8x24"], help="routers x engines")
    parser.add_argument("--levels", type=float, nargs="*", default=[0.9])
    parser.add_argument("--parts", type=float, nargs="*", default=[0.3, 0.2, 0.1, 0.0])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for size in options.sizes:
        routers, engines = map(int, size.split("x"))
        for level in options.levels:
            for part in [None, *options.parts]:
                print(measure(routers, engines, level, part, options.seconds, options.seed), flush=True)


if __name__ == "__main__":
    main()
