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

    ``loss`` and ``double`` (duplication) are fractions of all messages. Each message has a random delay
    between the two bounds in us, so messages can arrive out of order.
    """

    least_us: int = 2_000
    most_us: int = 25_000
    loss: float = 0.0
    double: float = 0.0


class Network:
    """Carries datagrams between processes; calls ``deliver`` with the receiver, the sender and the data."""

    def __init__(
        self,
        agenda: EventQueue,
        random: Random,
        deliver: Callable[[int, int, bytes], None],
        weather: LinkConditions | None = None,
    ) -> None:
        self.agenda = agenda
        self.random = random
        self.deliver = deliver
        self.weather = weather or LinkConditions()
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
        weather = self.weather
        if (source, target) in self.cuts or self.random.random() < weather.loss:
            return
        for _ in range(1 + (weather.double > 0 and self.random.random() < weather.double)):
            delay_us = weather.least_us + int(self.random.random() * (weather.most_us - weather.least_us))
            self.agenda.at(self.agenda.now + delay_us, lambda: self.deliver(target, source, data))
