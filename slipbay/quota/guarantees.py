"""Computes and explains the guarantees of a plan (docs/quota.md has the proof)."""

from __future__ import annotations

from slipbay.peer_channel.leases import startup_wait_us
from slipbay.quota.leases.groups import base_lease_us, granter_group
from slipbay.quota.plan import CLOCKS, EVEN_BURST_FRACTION, Quota, QuotaPlan

SECOND = 1_000_000


def excess(plan: QuotaPlan, quota: Quota, router_count: int) -> float:
    """Return E: in any t seconds the fleet admits at most ``soft x (burst + rate x t) + E`` requests,
    whatever faults occur.

    E is above 0 as a router whose fraction of the burst is below one request may still admit one, and as a
    clock may jump once.
    """
    burst = quota.burst
    min_burst_fraction = (EVEN_BURST_FRACTION + (1 - EVEN_BURST_FRACTION) * plan.reserve) / router_count
    rounded_up = 0.0
    if not quota.exact and burst * min_burst_fraction < 1:
        rounded_up = max((router_count - 1) * (1 - burst * min_burst_fraction), router_count - burst, 0.0)
    return rounded_up + quota.soft * quota.rate * CLOCKS.jump_us / SECOND


def explain(plan: QuotaPlan, router_count: int) -> str:
    """Return the plan's guarantees as text."""
    lines = [
        f"plan {plan.version}: {len(plan.quotas)} quotas over {router_count} routers; {plan.reserve:g} of "
        f"each is a reserve that all routers share evenly, the rest belongs to "
        f"{min(router_count, plan.holders)} holders and is lent for {plan.term_ms / 1000:g} s at a time",
        *_explain_start(plan, router_count),
    ]
    for quota in plan.quotas:
        lines += _explain_quota(plan, quota, router_count)
    return "\n".join(lines)


def _explain_start(plan: QuotaPlan, router_count: int) -> list[str]:
    if not plan.wardens:
        wait_s = startup_wait_us(plan.longest_ms * 1000, CLOCKS) / SECOND
        return [f"a router that starts uses only its reserve, and lends nothing, for {wait_s:.2f} s"]
    granter_count = max(
        len(granter_group(number, router_count, plan.wardens)) for number in range(router_count)
    )
    wait_s = startup_wait_us(base_lease_us(plan.longest_ms * 1000), CLOCKS) / SECOND
    lease_s = base_lease_us(plan.term_ms * 1000) / SECOND
    return [
        f"a holder's share is used and lent by the router to which a majority of its {granter_count} "
        f"granters leased it, for {lease_s:g} s at a time; without a majority only the reserves are used",
        "a router that starts uses only its reserve until its share is leased to it: at once, "
        f"or when the lease of its last incarnation has ended; after at most {wait_s:.2f} s",
    ]


def _explain_quota(plan: QuotaPlan, quota: Quota, router_count: int) -> list[str]:
    kind = "hard" if quota.soft == 1 else f"soft, at most {quota.soft:g} times"
    excess_requests = excess(plan, quota, router_count)
    lines = [
        f"{quota.name}: {kind}; in any t seconds at most {quota.soft * quota.burst:g} + "
        f"{quota.soft * quota.rate:g} x t + {excess_requests:.2f} requests"
    ]
    reserve_burst = (
        quota.burst * (EVEN_BURST_FRACTION + (1 - EVEN_BURST_FRACTION) * plan.reserve) / router_count
    )
    if quota.exact and reserve_burst < 1:
        lines.append(
            f"  a router that has only its reserve admits no request, as its burst is {reserve_burst:.2f}"
        )
    if quota.open:
        lines.append(
            f"  open: a router admits none while its share of {quota.open} requests, at least 1, is "
            "open; requests that are open stay so when shares move"
        )
    return lines
