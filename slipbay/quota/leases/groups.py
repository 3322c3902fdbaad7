"""Chooses the granters of each base share and counts their votes."""

from __future__ import annotations

from collections.abc import Sequence
from math import gcd

ZONE_PERIOD = 30  # 2 x 3 x 5: a stride without a common factor with 30 reaches all of 2, 3 or 5 zones


def granter_group(router: int, router_count: int, min_granters: int) -> list[int]:
    """Return the granters of a router's base share; the router is one of them.

    A group has at least ``min_granters`` members (all routers, if there are fewer) and fewer than twice as
    many. All members of a group are granters of each other. They are evenly spaced, with a stride that has no
    small common factor with the number of zones, so that a group spans zones that are assigned in turn.
    """
    group_count = max(1, router_count // min_granters)
    shift = next(shift for shift in range(group_count) if gcd(group_count - shift, ZONE_PERIOD) == 1)
    return [
        n
        for n in range(router_count)
        if (n + shift * (n // group_count) - router - shift * (router // group_count)) % group_count == 0
    ]


def votes_of(owner: int, granter: int, group: Sequence[int]) -> int:
    """Return the votes of a granter on a base share.

    The owner has two votes in a group of even size. So after a partition into two equal halves each owner
    still has a majority for its own base share.
    """
    return 2 if granter == owner and len(group) % 2 == 0 else 1


def majority_votes(group: Sequence[int]) -> int:
    """Return the number of votes that a holder of a base share needs."""
    return len(group) // 2 + 1


def base_lease_us(borrow_us: int) -> int:
    """Return the duration in us of leases on base shares, where borrowed shares last ``borrow_us``."""
    return 2 * borrow_us
