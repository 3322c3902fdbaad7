"""Intervals, limits and rates of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000  # us


@dataclass(slots=True, frozen=True)
class Timing:
    """Times are in us, rates in bytes per second. docs/operate-fleet.md describes how to size them.

    The field names are the keys of the table ``timing`` in ``deploy/fleet.toml``, which has times in ms.
    """

    probe_us: int = 250_000  # between the starts of two probes
    answer_us: int = 80_000  # timeout of an answer; longer than the usual longest round trip
    tries: int = 4  # pings per probe, ``answer_us`` apart, before a router is suspected
    helpers: int = 3  # routers that also ping it on request, at the third and the fourth ping
    suspect_us: int = 300_000  # minimum time for a suspect to refute, in a fleet of up to ten
    patience: float = 2.0  # multiple of ``suspect_us`` while only one router accuses the suspect
    gossip_us: int = 100_000  # between gossip rounds while updates are queued
    fan: int = 3  # receivers of a gossip round
    sync_us: int = 500_000  # between comparisons of tables that differ
    reach_us: int = 1_000_000  # between pings of dead members; ``gossip_us`` while messages of some arrive
    tombstone_us: int = 60 * SECOND  # for which dead members stay in the table
    stall_us: int = 400_000  # time between two ticks above which this process was suspended
    rate: int = 700  # bytes per second that may be sent
    burst: int = 300  # bytes in addition to ``rate`` at once; no second has more than both together
