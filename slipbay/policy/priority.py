"""Selects the service class with the highest priority, and the priority of its queries."""

from __future__ import annotations

from collections.abc import Sequence

from slipbay.policy.records import ClassState
from slipbay.policy.settings import Settings
from slipbay.policy.timing import SECOND

HIGH_PRIORITY = 3  # priority of the class with the highest utility per work
USUAL_PRIORITY = 1  # priority of all other classes
# The class with the highest utility per work may use up to this many times the thread bound of an engine.
# Engines reject queries far above the bound.
HIGH_PRIORITY_THREAD_FACTOR = 2.0


class Priorities:
    """Selects the class with the highest utility per unit of work."""

    def __init__(self, settings: Settings, classes: Sequence[ClassState]) -> None:
        self.classes = classes
        self.may_exceed_bound = settings.supports_priority and not settings.may_gossip

    def highest_class(self) -> ClassState:
        """The class with the highest utility per unit of work.

        It has priority, and the threads that other classes use do not hold it back.
        """
        return max(self.classes, key=lambda c: c.spec.utility / (c.charged_work or SECOND))

    def priority_of(self, class_state: ClassState) -> int:
        """Priority at which engines must run queries of the class."""
        return HIGH_PRIORITY if class_state is self.highest_class() else USUAL_PRIORITY
