"""One quota at one router: admits requests from a token bucket that fills at the rate of the router's share,
and spreads the retries of rejected clients.
"""

from __future__ import annotations

from collections import Counter

from slipbay.quota.demand_meter import DemandMeter
from slipbay.quota.plan import EVEN_BURST_FRACTION, Quota, QuotaPlan
from slipbay.quota.shares import SHARE_UNITS, Shares
from slipbay.quota.token_bucket import TokenBucket

SECOND = 1_000_000
MAX_QUEUE_US = 30 * SECOND  # longest delay before a rejected client's retry
MIN_RETRY_US = SECOND // 10  # shortest delay while the bucket does not fill


class QuotaAccount:
    """Admits requests by the tokens that this router has, without messages to others. Times are in us."""

    def __init__(self, plan: QuotaPlan, quota: Quota, router_count: int, shares: Shares, now: int) -> None:
        self.shares = shares
        self.router_count = router_count
        self.part_names = list(quota.parts)
        self.bucket = TokenBucket(list(quota.parts.values()))
        self._filled_at_us = now
        self.counts: Counter[str] = Counter()
        self.open = 0
        self.running_routers = router_count  # a soft quota is divided among these
        self.meter = DemandMeter(now)
        self._next_retry_us = 0  # the latest time that a rejected client got for its retry
        self.apply_plan(plan, quota)
        self.share_units, self._valid_until_us = shares.usable(now)
        self._set_rates()

    def apply_plan(self, plan: QuotaPlan, quota: Quota) -> None:
        """Apply a new plan; the caller must call ``update_share`` afterwards."""
        self.quota = quota
        self._fill_factor = 1.0 - plan.slowdown

    def _set_rates(self) -> None:
        """Compute the bucket's rate and cap, and the maximum of open requests, from the share."""
        quota = self.quota
        share_fraction = self.share_units / SHARE_UNITS
        even_fraction = 1 / self.router_count
        if quota.soft > 1:
            soft_factor = min(quota.soft, self.router_count / max(1, self.running_routers))
            share_fraction = share_fraction * soft_factor
            even_fraction = even_fraction * soft_factor
        self.rate = quota.rate * share_fraction * self._fill_factor / SECOND  # tokens per us
        min_cap = 0.0 if quota.exact or not self.share_units else 1.0
        self.cap = max(
            min_cap,
            quota.burst * (EVEN_BURST_FRACTION * even_fraction + (1 - EVEN_BURST_FRACTION) * share_fraction),
        )
        self.max_open = max(1, int(quota.open * share_fraction)) if quota.open else 0

    @property
    def even_rate(self) -> float:
        """Requests per second of an even share."""
        return self.quota.rate / self.router_count

    @property
    def demand(self) -> float:
        """Requests per second that clients send to this router."""
        return self.meter.rate

    def advance(self, now: int) -> None:
        """Fill the bucket up to ``now``, and apply shares that start or end before; must be called before any
        change of the shares.
        """
        if now < self._valid_until_us and not self.part_names:  # fast path for nearly all calls
            if now > self._filled_at_us:
                tokens = self.bucket.tokens + (now - self._filled_at_us) * self.rate
                self.bucket.tokens = tokens if tokens < self.cap else self.cap
                self._filled_at_us = now
            return
        while self._valid_until_us <= now:
            self._fill(self._valid_until_us)
            self.share_units, self._valid_until_us = self.shares.usable(self._valid_until_us)
            self._set_rates()
            self.bucket.fill(0.0, self.cap)
        self._fill(now)

    def update_share(self, now: int) -> None:
        """Apply changes of the shares, the plan or the running routers; drop tokens above the new cap."""
        self.share_units, self._valid_until_us = self.shares.usable(now)
        self._set_rates()
        self.bucket.fill(0.0, self.cap)

    def _fill(self, now: int) -> None:
        if now > self._filled_at_us:
            self.bucket.fill((now - self._filled_at_us) * self.rate, self.cap)
            self._filled_at_us = now

    def admission_delay_us(self, now: int, part: int | None, tokens: int = 1) -> int:
        """Return 0 if a request may be admitted now, else the delay in us until a token should be available.

        ``tokens`` is above 1 if further requests follow at once; no more are required than the cap.
        """
        self.meter.count += 1
        self.advance(now)
        if self.max_open and self.open + min(tokens, self.max_open) > self.max_open:
            self.counts["refused: open"] += 1
            return max(1, self._retry_delay(now, 0.5))
        missing_tokens = self.bucket.needs(part) - self.bucket.tokens
        if tokens > 1:
            missing_tokens = max(
                missing_tokens, min(missing_tokens + tokens - 1, self.cap - self.bucket.tokens)
            )
        if missing_tokens <= 0:
            return 0
        self.meter.count += max(0, tokens - 1)  # the requests that would have followed
        self.counts["refused: rate" if self.shares.is_start_wait_over(now) else "refused: new"] += 1
        return self._retry_delay(now, missing_tokens)

    def _retry_delay(self, now: int, missing_tokens: float) -> int:
        """Return the delay in us before a rejected client's retry. Successive rejected clients retry one by
        one, each when one more token is available.
        """
        if not self.rate:
            return min(MAX_QUEUE_US, max(MIN_RETRY_US, self._valid_until_us - now))
        earliest_us = now + missing_tokens / self.rate
        queued_us = self._next_retry_us + 1 / self.rate if self._next_retry_us > now else 0.0
        self._next_retry_us = int(min(max(earliest_us, queued_us), now + MAX_QUEUE_US))
        return max(1, self._next_retry_us - now)

    def record_admission(self, part: int | None) -> None:
        """Record the admission of a request for which ``admission_delay_us`` returned 0."""
        self.counts["admitted"] += 1
        self.open += 1
        self.bucket.take(part)

    def update_demand(self, now: int) -> None:
        """Update the demand estimate; called every few hundred ms."""
        self.meter.update(now, self.even_rate)
