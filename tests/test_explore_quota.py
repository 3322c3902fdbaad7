"""A short exploration of leases and grants, and proof that it finds faults put in on purpose."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import pytest
from explore_quota import LATE, LATE_END, LENT, RESTARTS, LeaseWorld, begun, explore, restarted, wander

from slipbay.peer_channel.leases import ClockBounds, GrantedLease, HeldLease
from slipbay.quota import shares
from slipbay.quota.fleet_start import FleetStart
from slipbay.quota.leases import granter, groups
from slipbay.quota.leases.granter import LeaseGranter, LeaseRecord
from slipbay.quota.leases.holder import LeaseHolder
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.shares import WHOLE, LentShare, Shares


def test_three_routers_two_grants_and_a_fault_within_a_short_bound() -> None:
    found = explore(depth=6)
    assert found.violation == ""
    assert found.states > 5_000
    assert found.most == WHOLE
    assert all(
        found.moves[what]
        for what in ("ask", "deliver", "lose", "double", "step", "restart", "cut", "renew", "less", "return")
    )


def test_random_walks_that_go_deeper() -> None:
    found = wander(walks=200)
    assert found.violation == ""
    assert found.states == 200 * 60
    assert found.most == WHOLE


def test_leases_of_three_routers_within_a_short_bound_and_on_walks() -> None:
    for start in (
        LeaseWorld(),
        begun(),
        begun(4, *LENT),
        begun(5, *LATE),
        begun(1, *LENT, ends=2),
        begun(1, *LATE_END, ends=2),
    ):
        found = explore(depth=3, start=start)
        assert found.violation == ""
        assert found.states > 500
        assert found.most == WHOLE
    found = wander(walks=200, leases=True, ends=3)
    assert found.violation == ""
    assert found.states == 200 * 60
    assert found.most == WHOLE
    assert all(
        found.moves[what]
        for what in ("hold", "leave", "borrow", "restart", "cut", "lose", "double", "end", "return")
    )


def test_incarnations_that_start_anew_and_wait_for_nothing() -> None:
    for restarts, many in RESTARTS:
        found = explore(depth=3, start=restarted(restarts, LENT[:many]))
        assert found.violation == ""
        assert found.states > 500
        assert found.most == WHOLE
    found = wander(walks=150, leases=True, start=lambda: restarted((0, 2)))
    assert found.violation == ""
    assert found.moves["tell"]
    assert found.moves["restart"]


def _state_whatever_was_held(self: FleetStart, drop: Callable[[], None]) -> None:
    if (found := self._checksum()) and found != self.stated:
        drop()
        self.stated = found


def _state_with_answers_under_way(self: FleetStart, drop: Callable[[], None]) -> None:
    if not self.held_anything:
        self.stated = self._checksum()


def _of_any_lives(self: FleetStart) -> int:
    return int(len(self.incarnations) == self.size)


def _one_is_enough(self: FleetStart) -> bool:
    return self.stated != 0 and any(stated == self.stated for _, stated in self._statements.values())


@pytest.mark.parametrize(
    ("name", "fault", "many"),
    [
        ("state_nothing_held", _state_whatever_was_held, 3),
        ("state_nothing_held", _state_with_answers_under_way, 2),
        ("_checksum", _of_any_lives, 3),
        ("all_new", _one_is_enough, 3),
    ],
)
def test_faults_put_into_the_fleet_start_are_found(
    monkeypatch: pytest.MonkeyPatch, name: str, fault: Any, many: int
) -> None:
    monkeypatch.setattr(FleetStart, name, fault)
    assert explore(depth=4, start=restarted((0, 2), LENT[:many])).violation


def _over_without_drift(self: GrantedLease, now: int, clocks: ClockBounds) -> bool:
    return now >= self.granted_us + self.length_us


def _no_wait(longest_us: int, clocks: ClockBounds) -> int:
    return 0


def _last_alone(self: LentShare, now: int, clocks: ClockBounds) -> int:
    return self.grants[-1][0] if self.grants and not self.grants[-1][1].has_ended(now, clocks) else 0


def _any_order(self: Shares, now: int, borrower: tuple[int, int], tag: int, keep: int) -> bool:
    """An ask that comes late or twice counts anew: what was given back once is given back again."""
    lent = self.lent.setdefault(borrower, LentShare(tag))
    lent.grants = [(min(amount, keep), granted) for amount, granted in lent.grants]
    return True


def _any_answer(self: Shares, now: int, lender: int, tag: int, amount: int, length: int) -> bool:
    loan = self.borrowed.get(lender)
    if loan is not None:
        loan.amount = amount
        loan.lease = HeldLease(loan.requested_at, length)
    return loan is not None


def _from_the_answer_on(self: Shares, now: int, lender: int, tag: int, amount: int, length: int) -> bool:
    loan = self.borrowed.get(lender)
    if loan is None or not loan.pending or loan.tag != tag:
        return False
    loan.pending = False
    loan.amount = amount
    loan.lease = HeldLease(now, length)
    return True


def _all_at_home(self: Shares, now: int, borrower: tuple[int, int], length: int) -> int:
    return self.base - self.reserve if self.start_wait_over(now) else 0


@pytest.mark.parametrize(
    ("where", "name", "fault"),
    [
        (shares, "startup_wait_us", _no_wait),
        (GrantedLease, "has_ended", _over_without_drift),
        (LentShare, "amount_out", _last_alone),
        (Shares, "take_request", _any_order),
        (Shares, "take_reply", _any_answer),
        (Shares, "take_reply", _from_the_answer_on),
        (Shares, "lendable", _all_at_home),
    ],
)
def test_faults_put_in_are_found(
    monkeypatch: pytest.MonkeyPatch, where: Any, name: str, fault: Callable[..., Any]
) -> None:
    monkeypatch.setattr(where, name, fault)
    assert explore(depth=5).violation or wander(walks=1_500).violation


def _half(group: Sequence[int]) -> int:
    return len(group) // 2


def _to_the_end_of_time(self: Shares, now: int, borrower: tuple[int, int], length: int) -> int:
    """Who holds a base share next does not wait for what is lent, as that ends before the lease; here it
    doesn't."""
    return max(0, sum(base.amount for base in self.bases.values()) - self.lent_out(now, borrower))


def _lends_long(self: LeaseManager, now: int, most: int) -> int:
    return most if self.held(now) else 0


def _granted_twice(
    self: LeaseGranter, now: int, owner: int, holder: tuple[int, int], tag: int, length: int
) -> bool:
    self.records[owner] = LeaseRecord(holder, tag, GrantedLease(now, length))
    return now >= self.waits_until


def _left_at_any_time(self: LeaseGranter, owner: int, holder: tuple[int, int], tag: int) -> None:
    if owner in self.records and self.records[owner].holder == holder:
        del self.records[owner]


def _back_at_once(self: Shares, now: int) -> int:
    """A base share is released while some of it is lent."""
    return now


def _not_cut(self: LeaseHolder, owner: int, until: int) -> None:
    """Who gives notice that its lease ends counts on it as before."""


def _shortened_at_any_time(
    self: LeaseGranter, now: int, owner: int, holder: tuple[int, int], tag: int, length: int
) -> None:
    if owner in self.records and self.records[owner].holder == holder:
        self.records[owner] = LeaseRecord(holder, tag, GrantedLease(now, length))


def _counted_anew(
    self: LeaseGranter, now: int, owner: int, holder: tuple[int, int], tag: int, length: int
) -> None:
    """What is left of a grant is counted from now on: without the drift of what has gone by."""
    record = self.records.get(owner)
    if record is not None and record.holder == holder and shares.later(tag, record.tag):
        left = record.grant.granted_us + record.grant.length_us - now
        self.records[owner] = LeaseRecord(holder, tag, GrantedLease(now, max(0, min(length, left))))


def _any_grant(self: LeaseHolder, granter_number: int, tag: int, owners: Iterable[int], length: int) -> bool:
    """To any incarnation, to any request."""
    at = self.pending[granter_number].sent_at if granter_number in self.pending else 2**40
    for owner in owners:
        self.leases.setdefault(owner, {})[granter_number] = HeldLease(at, length)
    return True


@pytest.mark.parametrize(
    ("where", "name", "fault", "start"),
    [
        (Shares, "all_back_at", _back_at_once, (1, *LENT)),
        (LeaseHolder, "shorten", _not_cut, ()),
        (LeaseGranter, "shorten", _shortened_at_any_time, (1, *LATE_END)),
        (LeaseGranter, "shorten", _counted_anew, (4, *LENT, *LATE_END[:2], LATE_END[1])),
        (groups, "majority", _half, None),
        (granter, "startup_wait_us", _no_wait, None),
        (GrantedLease, "has_ended", _over_without_drift, (4,)),
        (Shares, "lendable", _to_the_end_of_time, (4, *LENT)),
        (LeaseGranter, "grant", _granted_twice, None),
        (LeaseGranter, "release", _left_at_any_time, (5, *LATE)),
        (LeaseHolder, "granted", _any_grant, None),
    ],
)
def test_faults_put_into_leases_are_found(
    monkeypatch: pytest.MonkeyPatch, where: Any, name: str, fault: Callable[..., Any], start: Any
) -> None:
    """By walks, or in all orders from where the fault may begin to show."""
    monkeypatch.setattr(where, name, fault)
    if fault is _to_the_end_of_time:
        monkeypatch.setattr(LeaseManager, "lendable_us", _lends_long)
    if start is None:
        assert wander(walks=1_000, seed=2, leases=True).violation
    else:
        assert explore(depth=5, start=begun(*start, ends=2)).violation
