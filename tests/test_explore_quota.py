"""Short explorations of borrowed shares and leases, and tests that they find injected faults."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import pytest
from explore_quota import (
    BORROW_ALL,
    LATE_RELEASE,
    LATE_SHORTEN,
    RESTARTS,
    LeaseWorld,
    explore,
    random_walks,
    world_after_restarts,
    world_with_lease,
)

from slipbay.peer_channel.leases import ClockBounds, GrantedLease, HeldLease
from slipbay.quota import shares
from slipbay.quota.fleet_start import FleetStart
from slipbay.quota.leases import granter, groups
from slipbay.quota.leases.granter import LeaseGranter, LeaseRecord
from slipbay.quota.leases.holder import LeaseHolder
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.shares import SHARE_UNITS, LentShare, Shares


def test_no_violation_with_three_routers_two_requests_and_one_fault() -> None:
    result = explore(depth=6)
    assert result.violation == ""
    assert result.states > 5_000
    assert result.max_usable == SHARE_UNITS
    assert all(
        result.moves[move]
        for move in (
            "request",
            "deliver",
            "lose",
            "duplicate",
            "step",
            "restart",
            "partition",
            "renew",
            "reduce",
            "return",
        )
    )


def test_no_violation_on_deeper_random_walks() -> None:
    result = random_walks(walks=200)
    assert result.violation == ""
    assert result.states == 200 * 60
    assert result.max_usable == SHARE_UNITS


def test_no_violation_with_leases_of_three_routers() -> None:
    for start in (
        LeaseWorld(),
        world_with_lease(),
        world_with_lease(4, *BORROW_ALL),
        world_with_lease(5, *LATE_RELEASE),
        world_with_lease(1, *BORROW_ALL, early_releases=2),
        world_with_lease(1, *LATE_SHORTEN, early_releases=2),
    ):
        result = explore(depth=3, start=start)
        assert result.violation == ""
        assert result.states > 500
        assert result.max_usable == SHARE_UNITS
    result = random_walks(walks=200, leases=True, early_releases=3)
    assert result.violation == ""
    assert result.states == 200 * 60
    assert result.max_usable == SHARE_UNITS
    assert all(
        result.moves[move]
        for move in (
            "request lease",
            "release lease",
            "borrow",
            "restart",
            "partition",
            "lose",
            "duplicate",
            "shut down",
            "return",
        )
    )


def test_no_violation_when_restarted_routers_skip_the_start_wait() -> None:
    for restarts, move_count in RESTARTS:
        result = explore(depth=3, start=world_after_restarts(restarts, BORROW_ALL[:move_count]))
        assert result.violation == ""
        assert result.states > 500
        assert result.max_usable == SHARE_UNITS
    result = random_walks(walks=150, leases=True, start=lambda: world_after_restarts((0, 2)))
    assert result.violation == ""
    assert result.moves["send start"]
    assert result.moves["restart"]


def _state_despite_held_shares(self: FleetStart, drop_pending: Callable[[], None]) -> None:
    if (result := self._checksum()) and result != self.stated_checksum:
        drop_pending()
        self.stated_checksum = result


def _state_with_replies_in_flight(self: FleetStart, drop_pending: Callable[[], None]) -> None:
    if not self.held_anything:
        self.stated_checksum = self._checksum()


def _checksum_ignoring_incarnations(self: FleetStart) -> int:
    return int(len(self.incarnations) == self.router_count)


def _one_statement_suffices(self: FleetStart) -> bool:
    return self.stated_checksum != 0 and any(
        stated == self.stated_checksum for _, stated in self._statements.values()
    )


@pytest.mark.parametrize(
    ("name", "fault", "move_count"),
    [
        ("state_nothing_held", _state_despite_held_shares, 3),
        ("state_nothing_held", _state_with_replies_in_flight, 2),
        ("_checksum", _checksum_ignoring_incarnations, 3),
        ("is_fleet_restarted", _one_statement_suffices, 3),
    ],
)
def test_exploration_finds_faults_injected_into_the_fleet_start(
    monkeypatch: pytest.MonkeyPatch, name: str, fault: Any, move_count: int
) -> None:
    monkeypatch.setattr(FleetStart, name, fault)
    assert explore(depth=4, start=world_after_restarts((0, 2), BORROW_ALL[:move_count])).violation


def _over_without_drift(self: GrantedLease, now: int, clocks: ClockBounds) -> bool:
    return now >= self.granted_us + self.length_us


def _skip_start_wait(max_lease_us: int, clocks: ClockBounds) -> int:
    return 0


def _count_last_grant_only(self: LentShare, now: int, clocks: ClockBounds) -> int:
    return self.grants[-1][0] if self.grants and not self.grants[-1][1].has_ended(now, clocks) else 0


def _accept_late_requests(self: Shares, now: int, borrower: tuple[int, int], tag: int, kept: int) -> bool:
    """Processes late and duplicate requests again, so that a share is returned twice."""
    lent = self.lent.setdefault(borrower, LentShare(tag))
    lent.grants = [(min(amount, kept), granted) for amount, granted in lent.grants]
    return True


def _accept_any_reply(self: Shares, now: int, lender: int, tag: int, amount: int, lease_us: int) -> bool:
    share = self.borrowed.get(lender)
    if share is not None:
        share.amount = amount
        share.lease = HeldLease(share.requested_at, lease_us)
    return share is not None


def _count_lease_from_reply(
    self: Shares, now: int, lender: int, tag: int, amount: int, lease_us: int
) -> bool:
    share = self.borrowed.get(lender)
    if share is None or not share.pending or share.tag != tag:
        return False
    share.pending = False
    share.amount = amount
    share.lease = HeldLease(now, lease_us)
    return True


def _ignore_lent_shares(self: Shares, now: int, borrower: tuple[int, int], lease_us: int) -> int:
    return self.base - self.reserve if self.is_start_wait_over(now) else 0


@pytest.mark.parametrize(
    ("target", "name", "fault"),
    [
        (shares, "startup_wait_us", _skip_start_wait),
        (GrantedLease, "has_ended", _over_without_drift),
        (LentShare, "outstanding", _count_last_grant_only),
        (Shares, "accept_request", _accept_late_requests),
        (Shares, "accept_reply", _accept_any_reply),
        (Shares, "accept_reply", _count_lease_from_reply),
        (Shares, "lendable", _ignore_lent_shares),
    ],
)
def test_exploration_finds_faults_injected_into_borrowing(
    monkeypatch: pytest.MonkeyPatch, target: Any, name: str, fault: Callable[..., Any]
) -> None:
    monkeypatch.setattr(target, name, fault)
    assert explore(depth=5).violation or random_walks(walks=1_500).violation


def _half_of_votes(group: Sequence[int]) -> int:
    return len(group) // 2


def _lend_beyond_lease(self: Shares, now: int, borrower: tuple[int, int], lease_us: int) -> int:
    """Lends a base share for longer than its lease, though its next holder does not wait for lent shares."""
    return max(0, sum(base.amount for base in self.bases.values()) - self.lent_out(now, borrower))


def _max_lease_always(self: LeaseManager, now: int, max_us: int) -> int:
    return max_us if self.held(now) else 0


def _grant_to_second_holder(
    self: LeaseGranter, now: int, owner: int, holder: tuple[int, int], tag: int, lease_us: int
) -> bool:
    self.records[owner] = LeaseRecord(holder, tag, GrantedLease(now, lease_us))
    return now >= self.waits_until_us


def _accept_late_release(self: LeaseGranter, owner: int, holder: tuple[int, int], tag: int) -> None:
    if owner in self.records and self.records[owner].holder == holder:
        del self.records[owner]


def _returned_at_once(self: Shares, now: int) -> int:
    """Releases a base share while shares lent from it are in use."""
    return now


def _keep_shortened_lease(self: LeaseHolder, owner: int, until_us: int) -> None:
    """Does not shorten the holder's own lease after it notified the granters."""


def _accept_late_shorten(
    self: LeaseGranter, now: int, owner: int, holder: tuple[int, int], tag: int, lease_us: int
) -> None:
    if owner in self.records and self.records[owner].holder == holder:
        self.records[owner] = LeaseRecord(holder, tag, GrantedLease(now, lease_us))


def _restart_lease_count(
    self: LeaseGranter, now: int, owner: int, holder: tuple[int, int], tag: int, lease_us: int
) -> None:
    """Counts the rest of a lease from now on, without the clock drift since the grant."""
    record = self.records.get(owner)
    if record is not None and record.holder == holder and shares.is_later_tag(tag, record.tag):
        remaining_us = record.grant.granted_us + record.grant.length_us - now
        self.records[owner] = LeaseRecord(holder, tag, GrantedLease(now, max(0, min(lease_us, remaining_us))))


def _accept_any_grant(
    self: LeaseHolder, granter_router: int, tag: int, owners: Iterable[int], lease_us: int
) -> bool:
    """Accepts grants to any incarnation and for any request."""
    requested_us = self.pending[granter_router].sent_at_us if granter_router in self.pending else 2**40
    for owner in owners:
        self.leases.setdefault(owner, {})[granter_router] = HeldLease(requested_us, lease_us)
    return True


@pytest.mark.parametrize(
    ("target", "name", "fault", "start"),
    [
        (Shares, "all_returned_at", _returned_at_once, (1, *BORROW_ALL)),
        (LeaseHolder, "shorten", _keep_shortened_lease, ()),
        (LeaseGranter, "shorten", _accept_late_shorten, (1, *LATE_SHORTEN)),
        (LeaseGranter, "shorten", _restart_lease_count, (4, *BORROW_ALL, *LATE_SHORTEN[:2], LATE_SHORTEN[1])),
        (groups, "majority_votes", _half_of_votes, None),
        (granter, "startup_wait_us", _skip_start_wait, None),
        (GrantedLease, "has_ended", _over_without_drift, (4,)),
        (Shares, "lendable", _lend_beyond_lease, (4, *BORROW_ALL)),
        (LeaseGranter, "grant", _grant_to_second_holder, None),
        (LeaseGranter, "release", _accept_late_release, (5, *LATE_RELEASE)),
        (LeaseHolder, "record_grants", _accept_any_grant, None),
    ],
)
def test_exploration_finds_faults_injected_into_leases(
    monkeypatch: pytest.MonkeyPatch, target: Any, name: str, fault: Callable[..., Any], start: Any
) -> None:
    """Uses random walks, or an exhaustive exploration from a state in which the fault has an effect."""
    monkeypatch.setattr(target, name, fault)
    if fault is _lend_beyond_lease:
        monkeypatch.setattr(LeaseManager, "lendable_us", _max_lease_always)
    if start is None:
        assert random_walks(walks=1_000, seed=2, leases=True).violation
    else:
        assert explore(depth=5, start=world_with_lease(*start, early_releases=2)).violation
