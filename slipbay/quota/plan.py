"""Data model of ``deploy/quota.toml``. Needs ``slipbay[fleet]``."""

from __future__ import annotations

from zlib import crc32

import msgspec

from slipbay.peer_channel.leases import ClockBounds

CLOCKS = ClockBounds()
EVEN_BURST_FRACTION = 0.5  # fraction of a burst that is always divided evenly; the rest follows the shares


class Quota(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A rate limit for the requests of some tenants and classes in the whole fleet."""

    name: str
    rate: float  # requests per second
    burst: float  # requests at once beyond that
    tenants: list[str] = []  # empty: all
    classes: list[str] = []  # empty: all
    parts: dict[str, float] = {}  # fractions of the rate, by name of a class or of a tenant
    open: int = 0  # maximum number of open requests; 0: unlimited
    soft: float = 1.0  # multiple of the quota that a partitioned fleet may admit; 1: hard
    exact: bool = False  # whether a router admits no request while its burst is below one request


class QuotaPlan(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All quotas, and how they are divided among the routers."""

    version: int
    quotas: list[Quota]
    term_ms: int = 2_000  # duration of leases on borrowed shares
    longest_ms: int = 2_000  # the longest term_ms of all plans that are or recently were in use
    reserve: float = 0.1  # fraction of the quota that is divided among all routers and never lent
    holders: int = 16  # number of routers that have the rest of a quota
    wardens: int = 5  # granters of each base share; 0: each router owns its base share without a lease
    bytes_per_s: int = 700  # budget of a router for messages about quotas

    @property
    def slowdown(self) -> float:
        """Fraction by which buckets fill more slowly, so that a fast or jumping clock gains no tokens."""
        return CLOCKS.drift_ppm / 1e6 + CLOCKS.jump_us / (self.term_ms * 1000)

    def layout(self, router_count: int) -> int:
        """Return a checksum (u8 in messages) of how the plan divides a quota.

        Routers with different checksums lend each other nothing.
        """
        granters = f" {self.wardens}" if self.wardens else ""
        return (
            crc32(f"{router_count} {self.holders} {self.reserve} {EVEN_BURST_FRACTION}{granters}".encode())
            % 256
        )


def key_of(name: str) -> int:
    """Return the key of a quota in messages."""
    return crc32(name.encode()) % 2**16


def quotas_of(plan: QuotaPlan, tenant: str, class_: str) -> list[Quota]:
    """Return the quotas that apply to a request; it needs a token of each."""
    return [
        quota
        for quota in plan.quotas
        if (not quota.tenants or tenant in quota.tenants) and (not quota.classes or class_ in quota.classes)
    ]
