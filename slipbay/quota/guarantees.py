"""What a plan guarantees, as numbers and as text for people (docs/quota.md has the proof)."""

from __future__ import annotations

from slipbay.peer_channel.leases import startup_wait_us
from slipbay.quota.leases.groups import group_of, lease_length
from slipbay.quota.plan import CLOCKS, EVEN_BURST, Quota, QuotaPlan

SECOND = 1_000_000


def excess(plan: QuotaPlan, quota: Quota, routers: int) -> float:
    """E: requests beyond ``soft x (burst + rate x t)`` that no fault can make the fleet pass in any window of
    t seconds.

    A router whose part of the burst is less than one request may still admit one, and a clock may leap once.
    """
    burst = quota.burst
    least = (EVEN_BURST + (1 - EVEN_BURST) * plan.reserve) / routers
    whole = 0.0
    if not quota.exact and burst * least < 1:
        whole = max((routers - 1) * (1 - burst * least), routers - burst, 0.0)
    return whole + quota.soft * quota.rate * CLOCKS.jump_us / SECOND


def explain(plan: QuotaPlan, routers: int) -> str:
    """The plan's guarantees in words."""
    lines = [
        f"plan {plan.version}: {len(plan.quotas)} quotas over {routers} routers; {plan.reserve:g} of "
        f"each is a standing reserve of all, the rest is held by {min(routers, plan.holders)} and lent "
        f"for {plan.term_ms / 1000:g} s",
        *_explain_start(plan, routers),
    ]
    for quota in plan.quotas:
        lines += _explain_quota(plan, quota, routers)
    return "\n".join(lines)


def _explain_start(plan: QuotaPlan, routers: int) -> list[str]:
    if not plan.wardens:
        wait = startup_wait_us(plan.longest_ms * 1000, CLOCKS) / SECOND
        return [f"a router that starts uses its reserve alone, and lends nothing, for {wait:.2f} s"]
    most = max(len(group_of(number, routers, plan.wardens)) for number in range(routers))
    wait = startup_wait_us(lease_length(plan.longest_ms * 1000), CLOCKS) / SECOND
    length = lease_length(plan.term_ms * 1000) / SECOND
    return [
        f"a router's part of the rest is used and lent by whom a majority of its {most} granters "
        f"granted it, for {length:g} s at a time; without one only reserves go on",
        "a router that starts uses its reserve alone until its part is granted to it: at once, "
        f"or when what its last incarnation was granted has ended; at most {wait:.2f} s",
    ]


def _explain_quota(plan: QuotaPlan, quota: Quota, routers: int) -> list[str]:
    kind = "hard" if quota.soft == 1 else f"soft, at most {quota.soft:g} times"
    over = excess(plan, quota, routers)
    lines = [
        f"{quota.name}: {kind}; in any t seconds at most {quota.soft * quota.burst:g} + "
        f"{quota.soft * quota.rate:g} x t + {over:.2f} requests"
    ]
    part = quota.burst * (EVEN_BURST + (1 - EVEN_BURST) * plan.reserve) / routers
    if quota.exact and part < 1:
        lines.append(f"  a router that has only its reserve admits nothing: of the burst that is {part:.2f}")
    if quota.open:
        lines.append(
            f"  open: a router takes none while its share of {quota.open}, and at least 1, is "
            "open there; shares that move leave open what is open"
        )
    return lines
