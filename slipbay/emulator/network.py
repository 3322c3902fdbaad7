"""A datagram network in simulated time: delay, loss, duplication, and cut links in one or both directions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from slipbay.emulator.engines import EventQueue


@dataclass(slots=True)
class LinkConditions:
    """Delay, loss and duplication of all links.

    ``loss`` and ``duplication`` are fractions of all messages. Each message has a random delay
    between the two bounds in us, so messages can arrive out of order.
    """

    min_delay_us: int = 2_000
    max_delay_us: int = 25_000
    loss: float = 0.0
    duplication: float = 0.0


class Network:
    """Carries datagrams between processes; calls ``deliver`` with the receiver, the sender and the data."""

    def __init__(
        self,
        event_queue: EventQueue,
        random: Random,
        deliver: Callable[[int, int, bytes], None],
        conditions: LinkConditions | None = None,
    ) -> None:
        self.event_queue = event_queue
        self.random = random
        self.deliver = deliver
        self.conditions = conditions or LinkConditions()
        self.cuts: set[tuple[int, int]] = set()  # pairs of sender and receiver whose messages are dropped
        self.bytes_from: Counter[int] = Counter()
        self.messages = 0

    def cut(self, sources: Iterable[int], targets: Iterable[int], both: bool = True) -> None:
        """Drop all messages from each source to each target, and with ``both`` in the other direction too."""
        targets = list(targets)
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def heal(self) -> None:
        """Restore all links that were cut."""
        self.cuts.clear()

    def send(self, source: int, target: int, data: bytes) -> None:
        """Send a datagram, which may be dropped, delayed or duplicated."""
        self.messages += 1
        self.bytes_from[source] += len(data)
        conditions = self.conditions
        if (source, target) in self.cuts or self.random.random() < conditions.loss:
            return
        for _ in range(1 + (conditions.duplication > 0 and self.random.random() < conditions.duplication)):
            delay_us = conditions.min_delay_us + int(
                self.random.random() * (conditions.max_delay_us - conditions.min_delay_us)
            )
            self.event_queue.at(self.event_queue.now + delay_us, lambda: self.deliver(target, source, data))
