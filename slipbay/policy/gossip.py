"""Exchanges reports between routers about the threads that they use on each engine.

The role of collector moves to another router in each period. All routers send the collector the threads that
they use, and it sends the sums to all routers if at least half of them have reported. Times are in
microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from slipbay.policy import gossip_codec
from slipbay.policy.actions import SendGossip
from slipbay.policy.engine_table import EngineTable
from slipbay.policy.gossip_codec import PERIOD_RANGE, LoadMessage
from slipbay.policy.outbox import Outbox
from slipbay.policy.pressure import Pressure
from slipbay.policy.records import Engine
from slipbay.policy.timing import SECOND

GOSSIP_PERIOD_US = SECOND // 4  # time between reports; the collector waits for half of it
MAX_REPORT_AGE_US = 2 * GOSSIP_PERIOD_US  # thread sums are valid for this time; one report may be lost


class PeerLoads:
    """Threads that routers use on each engine in one period, by the digest of the engine."""

    def __init__(self) -> None:
        self.period = -1
        self.reports = 0  # routers that reported in this period
        self.local_threads: dict[int, int] = {}
        self.sums: dict[int, int] = {}

    def start_period(self, period: int, engines: Iterable[Engine]) -> bytes:
        """Start a period; returns the message with the threads that this router uses."""
        self.period = period
        self.reports = 1
        self.local_threads = {e.digest: e.threads for e in engines if e.threads}
        self.sums = dict(self.local_threads)
        return gossip_codec.encode(LoadMessage(period, False, self.local_threads))

    def finish_period(self) -> bytes:
        """End the collection of the period; returns the message with the sums."""
        self.reports = 0
        return gossip_codec.encode(LoadMessage(self.period, True, self.sums))

    def receive(self, body: bytes, engines: Iterable[Engine]) -> bool:
        """Process a message; returns true if it has the sums. Malformed or old messages are ignored."""
        message = gossip_codec.decode(body)
        if message is None or message.period != self.period % PERIOD_RANGE:
            return False
        if not message.is_sum:
            self.reports += 1
            for digest, threads in message.threads.items():
                self.sums[digest] = self.sums.get(digest, 0) + threads
            return False
        sums = message.threads
        for engine in engines:
            engine.peer_threads = max(
                0, sums.get(engine.digest, 0) - self.local_threads.get(engine.digest, 0)
            )
        return True


class LoadGossip:
    """Sends and receives reports of threads in use, and records when the latest sums arrived."""

    def __init__(
        self, router_number: int, ring_size: int, engines: EngineTable, random: Random, pressure: Pressure
    ) -> None:
        """``ring_size``: number of routers that take turns as collector, live or not."""
        self.router_number = router_number
        self.ring_size = ring_size
        self.engines = engines
        self.random = random
        self.pressure = pressure
        self.loads = PeerLoads()
        self.sums_at_us = -MAX_REPORT_AGE_US

    def is_recent(self, now_us: int) -> bool:
        """Whether the threads reported by peers are recent enough to use."""
        return now_us - self.sums_at_us < MAX_REPORT_AGE_US

    def step(self, now_us: int, outbox: Outbox, body: bytes = b"") -> None:
        """Send the messages that are due in this period and process ``body``, if it is not empty."""
        engines = self.engines.by_id.values()
        period = now_us // GOSSIP_PERIOD_US
        collector = period % self.ring_size
        if period != self.loads.period:
            report = self.loads.start_period(period, engines)
            if collector != self.router_number:
                outbox.add(SendGossip(report, collector))
        elif collector == self.router_number and self._may_finish_period(period, now_us):
            body = self.loads.finish_period()
            outbox.add(SendGossip(body))
        if self.loads.receive(body, engines):
            self._apply_sums(now_us)

    def _may_finish_period(self, period: int, now_us: int) -> bool:
        has_majority = 2 * self.loads.reports >= self.engines.router_count
        return has_majority and 2 * (now_us - period * GOSSIP_PERIOD_US) >= GOSSIP_PERIOD_US

    def _apply_sums(self, now_us: int) -> None:
        """Record the local threads at the time of the sums; report pressure if all thread shares are used."""
        self.sums_at_us = now_us
        for engine in self.engines.by_id.values():
            engine.threads_at_report = engine.threads
            engine.lottery_draw = self.random.random()
        threads = sum(e.threads + e.peer_threads for e in self.engines.by_id.values() if not e.is_unhealthy)
        # full thread shares show pressure long before answers slow down
        if threads >= self.engines.thread_share * self.engines.router_count:
            self.pressure.report(now_us)
