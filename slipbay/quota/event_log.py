"""Log lines of what changed in a router's quotas, looked for once a second."""

from __future__ import annotations

from slipbay.log import log
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.leases.manager import LeaseManager

PART = "quota"


class QuotaEventLog:
    """Remembers what was logged, so that each change is logged once."""

    def __init__(self, machine: BorrowingStateMachine) -> None:
        self._machine = machine
        self._held: set[int] = set()  # owners whose base shares were leased to this router
        self._versions: set[int] = set()
        self._start_wait_over = False
        self._all_new = False
        self._layouts_differ = False

    def started(self) -> None:
        """The router starts with its reserves."""
        plan = self._machine.plan
        until = (
            "its base share is leased" if self._machine.leases else "what an earlier incarnation lent ended"
        )
        log(
            PART,
            f"plan {plan.version} with {len(plan.quotas)} quotas; only the reserve is used until {until}",
        )

    def check(self, now: int) -> None:
        """Log what changed since the last call."""
        if self._machine.leases is not None and not self._machine.leases.is_ending:
            self._check_leases(now, self._machine.leases)
        self._check_start(now)
        self._check_versions()
        if self._machine.counts["another layout"] and not self._layouts_differ:
            self._layouts_differ = True
            log(
                PART,
                "a router divides quotas in another way (routers, holders, reserve or wardens); "
                "the bound may be passed until all agree",
            )

    def _check_leases(self, now: int, leases: LeaseManager) -> None:
        """Base shares that came and went; each went to its end, so all that was lent of it is back."""
        held = set(leases.held(now))
        me = self._machine.me
        for owner in sorted(held - self._held):
            if owner == me:
                log(PART, "our base share is leased to us; it can be used and lent")
            else:
                log(PART, f"the base share of {owner} is taken over, as it did not ask for it")
        for owner in sorted(self._held - held):
            if owner == me:
                log(
                    PART,
                    "the lease on our base share has expired: no majority grants it; the reserve is left",
                )
            elif owner in leases.returned:
                log(PART, f"the base share of {owner} is returned")
            else:
                log(PART, f"the lease on the base share of {owner}, which was taken over, has expired")
        leases.returned.clear()
        self._held = held

    def _check_start(self, now: int) -> None:
        machine = self._machine
        if machine.counts["all began anew"] and not self._all_new:
            self._all_new = True
            log(PART, "all routers started anew and hold nothing of before; none waits for what may be lent")
        if machine.leases is None and not self._start_wait_over and machine.quotas.start_wait_over(now):
            self._start_wait_over = True
            log(PART, "all that an earlier incarnation lent has ended; our share can be used and lent")

    def _check_versions(self) -> None:
        machine = self._machine
        own = machine.plan.version
        versions = set(machine.peer_versions.values()) - {own}
        if versions == self._versions:
            return
        self._versions = versions
        if not versions:
            log(PART, f"all routers that were heard run plan {own}")
            return
        others = ", ".join(map(str, sorted(versions)))
        log(PART, f"others run plans {others}, we run {own}; the larger holds meanwhile")

    def released(self, now: int) -> None:
        """Shortly before the end of a shutdown."""
        released_at = self._machine.shutdown.released_at
        if not released_at:
            return
        left = (released_at - now) / 1e6
        when = f" in {left:.2f} s, when the last that is lent of them has ended" if left > 0 else ""
        log(PART, f"our base shares are released{when}")
