"""Ends a new incarnation's wait after the start early, if all routers restarted together."""

from __future__ import annotations

from collections import Counter

from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.codec import LeaseMessage, MessageType, encode
from slipbay.quota.fleet_start import FleetStart

SECOND = 1_000_000
MAX_QUIET_US = SECOND  # time after a start without requests, while all routers may have restarted


class StartWait:
    """Applies the result of ``FleetStart`` to this router's leases and shares. Times are in us."""

    def __init__(
        self, quotas: QuotaAccounts, fleet_start: FleetStart, counts: Counter[str], started_us: int
    ) -> None:
        self._quotas = quotas
        self.fleet_start = fleet_start
        self._counts = counts
        self._started_us = started_us

    def record_lease(self) -> None:
        """Record whether this incarnation has been granted a lease."""
        leases = self._quotas.leases
        if leases is not None and leases.holder.leases:
            self.fleet_start.held_anything = True

    def is_quiet(self, now: int, others_known: bool) -> bool:
        """Return whether to send no requests yet. ``others_known`` tells whether any other router has sent a
        message about quotas.
        """
        return self.fleet_start.is_waiting(now) and not others_known and now < self._started_us + MAX_QUIET_US

    def update(self, now: int) -> None:
        """End the wait if all routers restarted, or when it has lasted long enough."""
        fleet_start = self.fleet_start
        if fleet_start.is_done:
            return
        fleet_start.state_nothing_held(self._drop_pending)
        is_fleet_restarted = fleet_start.is_fleet_restarted()
        waits_until_us = self._waits_until(now)
        if is_fleet_restarted:
            self._counts["all began anew"] += 1
            self._end_wait(now)
        fleet_start.is_done = is_fleet_restarted or now >= waits_until_us

    def _waits_until(self, now: int) -> int:
        quotas = self._quotas
        if quotas.leases is not None:
            return quotas.leases.granter.waits_until_us
        return max([now, *(shares.waits_until_us for shares in quotas.all_shares())])

    def _end_wait(self, now: int) -> None:
        if self._quotas.leases is not None:
            self._quotas.leases.end_start_wait(now)
            return
        for account in self._quotas.accounts.values():
            account.advance(now)
            if account.shares.usable_from_us == self._started_us:  # else a later plan added the quota
                account.shares.end_start_wait(now)
                account.update_share(now)

    def _drop_pending(self) -> None:
        """Ignore replies to requests that were already sent."""
        if self._quotas.leases is not None:
            self._quotas.leases.holder.pending.clear()
        for shares in self._quotas.all_shares():
            for borrowed_share in shares.borrowed.values():
                borrowed_share.pending = False

    def encode_message(self, stated_checksum: int, state: int) -> bytes:
        """Encode a message to another router."""
        quotas = self._quotas
        start_type = MessageType.FLEET_START
        return encode(
            LeaseMessage(start_type, quotas.plan.version, quotas.layout, stated_checksum, state, ())
        )
