"""Leases: what one router grants another for a time that each measures with its own clock.

The holder counts from before its request, the granter from after its grant. The granter waits longer, by the
largest difference in rate between two clocks and by one jump. So holder and granter never hold the same thing
at the same time, as long as clocks stay within ``ClockBounds``. Source: Gray, Cheriton: Leases (SOSP 1989);
here the holder counts from its request, as routers share no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

PPM = 1_000_000


@dataclass(frozen=True, slots=True)
class ClockBounds:
    """Assumptions about clocks. ``drift_ppm``: largest deviation of a clock's rate from true time, in us per
    second. ``jump_us``: the longest that a clock may jump ahead or stand still within one lease."""

    drift_ppm: int = 500
    jump_us: int = 5_000

    def safe_wait_us(self, span_us: int) -> int:
        """The time in us to wait on the local clock so that at least ``span_us`` has passed on any other
        clock, even if that clock stood still for ``jump_us`` and the local clock jumped ahead."""
        span = span_us + self.jump_us
        drift = self.drift_ppm
        return -(-span * (PPM + drift) // (PPM - drift)) + self.jump_us


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease as its holder sees it. Times are in us of the holder's clock."""

    requested_us: int  # not later than its request was sent
    length_us: int

    @property
    def ends_us(self) -> int:
        """When the lease ends for its holder."""
        return self.requested_us + self.length_us

    def is_valid(self, now: int) -> bool:
        """Whether the holder holds the lease at ``now``, which must be read from the clock at once: the
        process may have been suspended since the current turn of its event loop began."""
        return self.requested_us <= now < self.ends_us


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """A lease as its granter sees it. Times are in us of the granter's clock."""

    granted_us: int  # not earlier than its grant was sent
    length_us: int

    def has_ended(self, now: int, clocks: ClockBounds) -> bool:
        """Whether the lease has ended for its holder in any case, even if that is down, stopped or
        unreachable."""
        return now >= self.granted_us + clocks.safe_wait_us(self.length_us)


def startup_wait_us(longest_us: int, clocks: ClockBounds) -> int:
    """The time in us after its start for which a router without persistent state neither grants nor votes.

    After it, all leases that earlier incarnations of the router granted have ended: the last such grant was
    sent before this start.
    """
    return clocks.safe_wait_us(longest_us)
