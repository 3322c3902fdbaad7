"""Logs changes of a router's quotas; checks for changes once a second."""

from __future__ import annotations

from slipbay.log import log
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.leases.manager import LeaseManager

LOG_KIND = "quota"


class QuotaEventLog:
    """Keeps the state that was logged last, so that each change is logged once."""

    def __init__(self, machine: BorrowingStateMachine) -> None:
        self._machine = machine
        self._held: set[int] = set()  # owners whose base shares were leased to this router at the last check
        self._versions: set[int] = set()
        self._was_start_wait_over = False
        self._was_fleet_restarted = False
        self._layouts_differed = False

    def log_start(self) -> None:
        """Log the start, at which the router only uses its reserves."""
        plan = self._machine.plan
        until = (
            "its base share is leased"
            if self._machine.leases
            else "shares lent by an earlier incarnation end"
        )
        log(
            LOG_KIND,
            f"plan {plan.version} with {len(plan.quotas)} quotas; only the reserve is used until {until}",
        )

    def check(self, now: int) -> None:
        """Log what changed since the last call."""
        if self._machine.leases is not None and not self._machine.leases.is_ending:
            self._check_leases(now, self._machine.leases)
        self._check_start(now)
        self._check_versions()
        if self._machine.counts["another layout"] and not self._layouts_differed:
            self._layouts_differed = True
            log(
                LOG_KIND,
                "another router divides quotas differently (routers, holders, reserve or wardens); "
                "the fleet may exceed its quotas until all routers agree",
            )

    def _check_leases(self, now: int, leases: LeaseManager) -> None:
        """Log base shares that were received or lost. A base share is lost when its lease ends; by then all
        shares lent from it have ended.
        """
        held = set(leases.held(now))
        local_router = self._machine.local_router
        for owner in sorted(held - self._held):
            if owner == local_router:
                log(LOG_KIND, "this router's base share is leased to it; it can be used and lent")
            else:
                log(
                    LOG_KIND,
                    f"the base share of router {owner} is taken over, as that router did not request it",
                )
        for owner in sorted(self._held - held):
            if owner == local_router:
                log(
                    LOG_KIND,
                    "the lease on this router's base share expired without a majority of granters; "
                    "only the reserve is used",
                )
            elif owner in leases.returned:
                log(LOG_KIND, f"the base share of router {owner} is returned")
            else:
                log(LOG_KIND, f"the lease on the base share of router {owner}, which was taken over, expired")
        leases.returned.clear()
        self._held = held

    def _check_start(self, now: int) -> None:
        machine = self._machine
        if machine.counts["all began anew"] and not self._was_fleet_restarted:
            self._was_fleet_restarted = True
            log(
                LOG_KIND,
                "all routers restarted and hold no earlier shares; none waits for shares that may be lent",
            )
        if (
            machine.leases is None
            and not self._was_start_wait_over
            and machine.quotas.is_start_wait_over(now)
        ):
            self._was_start_wait_over = True
            log(
                LOG_KIND,
                "all shares lent by an earlier incarnation ended; this router's share can be used and lent",
            )

    def _check_versions(self) -> None:
        machine = self._machine
        local_version = machine.plan.version
        versions = set(machine.peer_versions.values()) - {local_version}
        if versions == self._versions:
            return
        self._versions = versions
        if not versions:
            log(LOG_KIND, f"all routers that sent messages use plan {local_version}")
            return
        others = ", ".join(map(str, sorted(versions)))
        log(
            LOG_KIND,
            f"other routers use plans {others}, this router uses {local_version}; "
            "until all use the same plan the larger quota applies",
        )

    def log_release(self, now: int) -> None:
        """Log the release of base shares shortly before the end of a shutdown."""
        released_at_us = self._machine.shutdown.announced_us
        if not released_at_us:
            return
        remaining_s = (released_at_us - now) / 1e6
        when = (
            f" in {remaining_s:.2f} s, when the last share lent from them has ended"
            if remaining_s > 0
            else ""
        )
        log(LOG_KIND, f"this router's base shares are released{when}")
