"""A short exploration of the membership state machine, which also finds injected faults."""

from __future__ import annotations

import pytest
from explore_view import explore

from slipbay.membership.codec import Message, Update
from slipbay.membership.reconciliation import Reconciler


def test_all_orders_for_three_routers_keep_the_properties_within_a_short_bound() -> None:
    result = explore(depth=5, max_states=10_000, check_leaves=40)
    assert result.violations == []
    assert result.states > 1_000
    assert all(result.moves[what] for what in ("step", "deliver", "lose", "kill", "start"))


def _ignores_order(self: Reconciler, now: int, item: Update) -> None:
    if item.number != self._table.local_number:
        self.store_update(now, item)


def _accepts_any_process(self: Reconciler, now: int, message: Message) -> None:
    self._table.members[message.sender].start_id = message.start_id


def _never_declares_gone(self: Reconciler, number: int, state: object) -> Update:
    return self._table.members[number].update


@pytest.mark.parametrize(
    ("method", "fault", "property_", "depth"),
    [
        ("apply_update", _ignores_order, "5", 5),  # a late update replaces one of higher precedence
        ("record_sender", _accepts_any_process, "3", 7),  # an earlier process replaces a later one
        ("local_update", _never_declares_gone, "5", 4),  # dead members stay suspect
        (  # a router applies updates about itself
            "_refute",
            lambda self, now, item: self.store_update(now, item),
            "1",
            8,
        ),
    ],
)
def test_injected_faults_are_found(
    monkeypatch: pytest.MonkeyPatch, method: str, fault: object, property_: str, depth: int
) -> None:
    monkeypatch.setattr(Reconciler, method, fault)
    result = explore(depth, max_states=20_000, check_leaves=40)
    assert result.violations
    assert result.violations[0].startswith(property_)
