"""The interface between a routing policy and its host.

A host creates one policy for each router and calls ``handle(now_us, events)`` with all events since the last
call. It executes the returned actions in order, immediately. All times are integer microseconds of one
monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from slipbay.policy.actions import Action
from slipbay.policy.events import Event


class Policy(Protocol):
    """The policy that a host calls; ``slipbay.policy.controller.Controller`` implements it."""

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Process the events since the last call; returns the actions for the host to execute in order."""
        ...
