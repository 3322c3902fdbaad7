"""Admits a request if each quota that applies to it has a token at this router."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeAlias

from slipbay.core.model import Request
from slipbay.quota.account import QuotaAccount
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.plan import key_of, quotas_of

SPREAD_PERIOD = 1_000_000
SPREAD_STEP = 618_034  # golden section of the period, so that successive retries are far apart

MatchingAccounts: TypeAlias = tuple[tuple[QuotaAccount, int | None], ...]
"""Accounts of the quotas that apply to a request, each with the index of the request's part, if any."""


class QuotaAdmissionGate:
    """An admission gate of the dispatcher. It decides at once; no request waits for a message."""

    def __init__(
        self,
        machine: BorrowingStateMachine,
        tenants: Sequence[str],
        classes: Sequence[str],
        fresh_now: Callable[[], int],
        max_retry_after_us: int,
    ) -> None:
        """``fresh_now`` reads the clock, as the process may have been stopped since the event started.
        ``max_retry_after_us`` is the longest Retry-After for a rejected client.
        """
        self._machine = machine
        self._tenants = list(tenants)
        self._classes = list(classes)
        self._fresh_now = fresh_now
        self._max_retry_after_us = max_retry_after_us
        self._cache: dict[tuple[int, int], MatchingAccounts] = {}  # by tenant and class
        self._open: dict[int, MatchingAccounts] = {}  # by request
        self._spread = 0

    def clear_cache(self) -> None:
        """Drop the cached accounts after a change of the plan."""
        self._cache.clear()

    def _find_accounts(self, tenant: int, class_: int) -> MatchingAccounts:
        names = (
            self._tenants[tenant] if tenant < len(self._tenants) else "",
            self._classes[class_] if class_ < len(self._classes) else "",
        )
        found = []
        for quota in quotas_of(self._machine.plan, *names):
            account = self._machine.accounts[key_of(quota.name)]
            part = next((index for index, name in enumerate(account.part_names) if name in names), None)
            found.append((account, part))
        return tuple(found)

    def admit(self, request: Request) -> int | None:
        """Admit a request and return None, or return the delay in us for its Retry-After."""
        if not request.quota_tokens:
            return None
        cache_key = request.tenant, request.service_class
        accounts = self._cache.get(cache_key)
        if accounts is None:
            accounts = self._cache[cache_key] = self._find_accounts(*cache_key)
        if not accounts:
            return None
        now = self._fresh_now()
        max_delay_us = 0
        for account, part in accounts:
            max_delay_us = max(max_delay_us, account.admission_delay_us(now, part, request.quota_tokens))
        if max_delay_us:
            return self._retry_after(max_delay_us)
        for account, part in accounts:
            account.record_admission(part)
        self._open[request.id] = accounts
        return None

    def _retry_after(self, delay_us: int) -> int:
        """Limit a delay to the maximum. Clients with longer delays are spread over the second half of it."""
        max_delay_us = self._max_retry_after_us
        if delay_us <= max_delay_us:
            return delay_us
        self._spread = (self._spread + SPREAD_STEP) % SPREAD_PERIOD
        return max_delay_us - max_delay_us // 2 * self._spread // SPREAD_PERIOD

    def release(self, request: Request) -> None:
        """Record the end of an admitted request."""
        for account, _ in self._open.pop(request.id, ()):
            account.open -= 1
