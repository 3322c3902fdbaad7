"""A short exploration of the membership machine, and proof that it finds faults put in on purpose."""

from __future__ import annotations

import pytest
from explore_view import explore

from slipbay.membership.codec import Message, Update
from slipbay.membership.reconciliation import Reconciler


def test_all_orders_for_three_routers_keep_the_properties_within_a_short_bound() -> None:
    found = explore(depth=5, most_states=10_000, check_leaves=40)
    assert found.violations == []
    assert found.states > 1_000
    assert all(found.moves[what] for what in ("step", "deliver", "lose", "kill", "start"))


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
        ("apply_update", _ignores_order, "5", 5),  # a late update replaces a later one
        ("record_sender", _accepts_any_process, "3", 7),  # an earlier process replaces a later one
        ("local_update", _never_declares_gone, "5", 4),  # the dead are suspected, and never held gone
        (
            "_refute",
            lambda self, now, item: self.store_update(now, item),
            "1",
            8,
        ),  # what is said of us is held
    ],
)
def test_faults_made_on_purpose_are_found(
    monkeypatch: pytest.MonkeyPatch, method: str, fault: object, property_: str, depth: int
) -> None:
    monkeypatch.setattr(Reconciler, method, fault)
    found = explore(depth, most_states=20_000, check_leaves=40)
    assert found.violations
    assert found.violations[0].startswith(property_)
