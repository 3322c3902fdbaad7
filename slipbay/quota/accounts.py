"""The local router's quotas: the plan, accounts, shares, and each router's base share."""

from __future__ import annotations

from slipbay.peer_channel.leases import ClockBounds
from slipbay.quota.account import QuotaAccount
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.plan import QuotaPlan, key_of
from slipbay.quota.shares import SHARE_UNITS, BaseShare, Shares, base_shares


class QuotaAccounts:
    """Accounts of the quotas in the plan, and shares of these and of quotas that were removed from it.

    Times are in us.
    """

    def __init__(
        self,
        local_router: int,
        router_count: int,
        plan: QuotaPlan,
        clocks: ClockBounds,
        leases: LeaseManager | None,
        now: int,
    ) -> None:
        """``leases`` is None if each router owns its base share without a lease."""
        self.local_router = local_router
        self.router_count = router_count
        self.plan = plan
        self.layout = plan.layout(router_count)
        self.even_share = SHARE_UNITS / router_count  # an even share, in share units
        self.leases = leases
        self.accounts: dict[int, QuotaAccount] = {}  # by key
        self.held: dict[int, int] = {}  # owners whose base shares are leased to this router, and the ends
        self.bases: dict[int, list[int]] = {}  # by key, each router's base share without its reserve
        self.holders: dict[int, list[int]] = {}  # by key, other routers with more than the reserve
        self.contacts: dict[int, list[int]] = {}  # the same, in the order of this router's requests
        self._shares: dict[int, Shares] = {}  # by key, also of quotas that were removed from the plan
        self._clocks = clocks
        self._create_accounts(plan, now)

    def _create_accounts(self, plan: QuotaPlan, now: int) -> None:
        for quota in plan.quotas:
            key = key_of(quota.name)
            if key not in self._shares:
                self._add_shares(plan, key, now)
            self.accounts[key] = QuotaAccount(plan, quota, self.router_count, self._shares[key], now)
        if self.leases is not None:
            owners = {n for key in self.accounts for n, units in enumerate(self.bases[key]) if units}
            self.leases.apply_plan(plan.version, self.layout, plan.term_ms * 1000, owners)

    def _add_shares(self, plan: QuotaPlan, key: int, now: int) -> None:
        bases = base_shares(self.router_count, plan.holders, plan.reserve, key % self.router_count)
        reserve_units = int(SHARE_UNITS * plan.reserve / self.router_count)
        self.bases[key] = [units - reserve_units for units in bases]
        owned_units = reserve_units if self.leases is not None else bases[self.local_router]
        self._shares[key] = Shares(self._clocks, now, plan.longest_ms * 1000, owned_units, reserve_units)
        holders = [n for n, units in enumerate(bases) if units > reserve_units]
        self.holders[key] = [n for n in holders if n != self.local_router]
        offset = self.local_router % len(holders) if holders else 0
        self.contacts[key] = [n for n in holders[offset:] + holders[:offset] if n != self.local_router]

    def apply_plan(self, now: int, plan: QuotaPlan) -> None:
        """Apply a new plan. Shares stay as they are, as they are fractions of the rates in the plan.

        A new quota starts like a quota after the start of the router: it may be an old one under a new name,
        of which other routers still hold shares.
        """
        old_accounts = self.accounts
        self.plan = plan
        self.accounts = {}
        for account in old_accounts.values():
            account.advance(now)
        self._create_accounts(plan, now)
        for key, account in self.accounts.items():
            old = old_accounts.get(key)
            if old is not None and old.quota.parts == account.quota.parts:
                old.apply_plan(plan, account.quota)
                old.update_share(now)
                self.accounts[key] = old
            elif old is None:
                shares = account.shares
                shares.usable_from_us = max(shares.usable_from_us, shares.waits_until_us)
        self._set_bases(now)

    def set_running_routers(self, now: int, running: int) -> None:
        """Set the number of running routers, for soft quotas."""
        for account in self.accounts.values():
            if account.quota.soft > 1 and account.running_routers != running:
                account.advance(now)
                account.running_routers = running
                account.update_share(now)

    def apply_leases(self, now: int) -> None:
        """Update the shares from the leases that this router holds."""
        if self.leases is None:
            return
        held = self.leases.held(now)
        if held != self.held:
            self.held = held
            self._set_bases(now)

    def _set_bases(self, now: int) -> None:
        """Set the base shares of all quotas, also of removed ones, whose lent shares may not have ended."""
        if self.leases is None:
            return
        for key, shares in self._shares.items():
            account = self.accounts.get(key)
            if account is not None:
                account.advance(now)
            bases = {
                owner: BaseShare(amount, now, ends)
                for owner, ends in self.held.items()
                if (amount := self.bases[key][owner])
            }
            shares.set_bases(now, bases)
            if account is not None:
                account.update_share(now)

    def is_holder(self, key: int) -> bool:
        """Return whether this router has a base share of a quota beyond its reserve."""
        return self.bases[key][self.local_router] > 0

    def is_start_wait_over(self, now: int) -> bool:
        """Return whether all shares that an earlier incarnation lent of the plan's quotas have ended."""
        return all(account.shares.is_start_wait_over(now) for account in self.accounts.values())

    def all_shares(self) -> list[Shares]:
        """Return the shares of all quotas, also of those that were removed from the plan."""
        return list(self._shares.values())
