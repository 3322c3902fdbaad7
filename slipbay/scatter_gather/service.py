"""Scattered queries in a running router: connects the stopping rules, the scatterer, the exchange of latency
estimates over the peer channel, their snapshots in the store, and the status command.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2s
from struct import Struct

from slipbay.config.model import Config
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.peer_channel.interfaces import FrameKind
from slipbay.peer_channel.udp_link import UdpLink
from slipbay.policy.events import EngineId
from slipbay.scatter_gather.config_schema import ScatterGatherPlan
from slipbay.scatter_gather.estimate_gossip import EstimateGossip
from slipbay.scatter_gather.scatterer import Scatterer
from slipbay.scatter_gather.stopping_rule import LearnedStoppingRules

SNAPSHOT_INTERVAL_US = 5_000_000
VERSION = 1
CHECKSUM_BYTES = 8
HEAD = Struct("<BQ")


class ScatterGatherService:
    """Scattered queries of one router."""

    def __init__(
        self,
        plan: ScatterGatherPlan,
        config: Config,
        core: Dispatcher,
        timers: Timers,
        now: Callable[[], int],
        engine_health: Callable[[EngineId, int], tuple[float, bool, float]],
        is_name_in_use: Callable[[str], bool],
        link: UdpLink | None,
    ) -> None:
        """``engine_health`` and ``is_name_in_use``: see ``Scatterer``. ``link``: None where the channel is
        off."""
        self._name = config.name
        self._now = now
        self._timers = timers
        stopping_rules = LearnedStoppingRules(now())
        self.scatterer = Scatterer(
            plan, config.classes, core, timers, stopping_rules, engine_health, is_name_in_use
        )
        names = [declared.service_class for declared in plan.scattered]
        self.gossip = EstimateGossip(
            config.settings.router_number, len(config.peers), names, stopping_rules.model, now()
        )
        if link is not None:
            link.mux.add(FrameKind.GATHER, self.gossip)
            if 0 in link.topics:  # the peer channel answers status commands
                link.topics[FrameKind.GATHER] = self.status
        for declared in plan.scattered:
            log(
                "gather",
                f"class {declared.service_class} is scattered in {len(declared.groups)} parts "
                f"of class {declared.part_class}",
                least=f"{declared.curve[0][0]:g}",
                latest_ms=declared.latest_us // 1000,
            )

    def status(self) -> dict[str, object]:
        """Return the status for JSON: counts of reports, and of queries by class."""
        return {"name": self._name, "words": dict(self.gossip.counts), **self.scatterer.status()}

    # Snapshots

    def save_snapshots(self, write: Callable[[bytes], None]) -> None:
        """Pass a snapshot of the local latency estimates to ``write`` at regular intervals."""

        def save() -> None:
            now = self._now()
            if bodies := self.gossip.bodies(now):
                write(encode_snapshot(bodies, now))
            self._timers.after(SNAPSHOT_INTERVAL_US, save)

        self._timers.after(SNAPSHOT_INTERVAL_US, save)

    def restore_snapshot(self, value: bytes) -> None:
        """Use the last snapshot of an earlier incarnation, unless it is invalid or too old."""
        now = self._now()
        try:
            bodies, age_us = decode_snapshot(value, now)
        except ValueError as problem:
            log("gather", f"latency snapshot not used: {problem}")
        else:
            used = self.gossip.restore(now, age_us, bodies)
            log(
                "gather",
                f"latency snapshot is {age_us / 1e6:.0f} s old: {used} of {len(bodies)} reports used",
            )


def encode_snapshot(bodies: list[bytes], at_us: int) -> bytes:
    """Encode one record of the store: version, time (Unix time, us), reports, and a checksum."""
    body = HEAD.pack(VERSION, at_us) + b"".join(bytes([len(report)]) + report for report in bodies)
    return body + blake2s(body, digest_size=CHECKSUM_BYTES).digest()


def decode_snapshot(value: bytes, now_us: int) -> tuple[list[bytes], int]:
    """Return the reports and their age in us. Raises ``ValueError`` with the reason if they cannot be
    used."""
    body = value[:-CHECKSUM_BYTES]
    checksum = value[-CHECKSUM_BYTES:]
    if len(body) < HEAD.size or checksum != blake2s(body, digest_size=CHECKSUM_BYTES).digest():
        raise ValueError("truncated, or wrong checksum")
    version, at_us = HEAD.unpack_from(body)
    if version != VERSION:
        raise ValueError(f"unknown version {version}")
    if at_us > now_us:
        raise ValueError("its time is in the future: the clock was set back")
    bodies = []
    offset = HEAD.size
    while offset < len(body):
        bodies.append(body[offset + 1 : offset + 1 + body[offset]])
        offset += 1 + body[offset]
    return bodies, now_us - at_us
