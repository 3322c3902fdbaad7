"""Quotas over many routers in simulated time.

The state machines and accounts are the real ones. Clients send requests at random times, and a checker uses
only the times of admissions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from math import sqrt
from random import Random

from slipbay.emulator.channel_fleet import ChannelFleet
from slipbay.emulator.engines import SECOND
from slipbay.emulator.network import LinkConditions
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.plan import QuotaPlan, key_of

DRAWS = 200
CHANNEL_SHARES: dict[int, float] = {
    FrameKind.DECISIONS: 0.08,
    FrameKind.VIEW: 0.38,
    FrameKind.COMEBACK: 0.1,
    FrameKind.QUOTA: 0.1,
    FrameKind.LIVES: 0.083,
}
FILL_INTERVAL_US = 100_000  # between two messages of the other frame kinds
MIN_FILL_BYTES = 20  # smallest message of the other frame kinds


def worst_burst(times: Iterable[int], rate: float) -> float:
    """Return the maximum by which the admissions in any window of length t exceed ``rate x t``.

    ``times`` are in us and in order.
    """
    level = 0.0
    max_level = 0.0
    previous = 0
    for at in times:
        level = max(0.0, level - rate * (at - previous) / SECOND) + 1
        max_level = max(max_level, level)
        previous = at
    return max_level


class RequestLog:
    """Requests of one quota: their time, their router, and whether they were admitted."""

    def __init__(self) -> None:
        self.log: list[tuple[int, int, bool]] = []

    def admitted(self, since: int = 0, until: int = 2**62, at: set[int] | None = None) -> list[int]:
        """Return the times of admissions in a time span, at all routers or at those in ``at``."""
        return [
            when
            for when, me, is_admitted in self.log
            if is_admitted and since <= when < until and (at is None or me in at)
        ]

    def rates(self, since: int, until: int, least: int) -> dict[int, tuple[float, int]]:
        """Return the fraction of requests that were admitted and the number of requests, by router.

        Routers with fewer than ``least`` requests are left out.
        """
        admissions: dict[int, list[bool]] = {}
        for when, me, is_admitted in self.log:
            if since <= when < until:
                admissions.setdefault(me, []).append(is_admitted)
        return {
            me: (sum(found) / len(found), len(found))
            for me, found in admissions.items()
            if len(found) >= least
        }

    def apart(self, since: int, until: int, least: int = 200) -> tuple[float, float]:
        """Return the spread of the admitted fractions of routers, and the spread expected by chance.

        The latter is the mean over normal draws with the binomial variance of the counts, as if each request
        were admitted at random with the same probability at all routers.
        """
        rates = self.rates(since, until, least).values()
        if len(rates) < 2:
            return 0.0, 0.0
        request_count = sum(count for _, count in rates)
        mean = sum(rate * count for rate, count in rates) / request_count
        random = Random(1)
        deviations = [sqrt(mean * (1 - mean) / count) for _, count in rates]
        expected_spread = 0.0
        for _ in range(DRAWS):
            drawn = [random.gauss(0, deviation) for deviation in deviations]
            expected_spread += (max(drawn) - min(drawn)) / DRAWS
        return max(rates)[0] - min(rates)[0], expected_spread


class QuotaFleet:
    """Routers that enforce a quota plan.

    ``demands`` are requests per second by quota name and router; they may be changed during a run. ``news``
    is the bandwidth in bytes per second that a membership view would use on the same channel; the decisions
    then use the rest. With 0, quotas have the channel to themselves.
    """

    def __init__(
        self,
        size: int,
        plan: QuotaPlan,
        demands: dict[str, Sequence[float]],
        seed: int = 1,
        *,
        weather: LinkConditions | None = None,
        drift_ppm: int = 500,
        news: int = 0,
        make: Callable[[int, int, QuotaPlan, Random, int], BorrowingStateMachine] = BorrowingStateMachine,
    ) -> None:
        self.size, self.demands = size, {name: list(rates) for name, rates in demands.items()}
        self.plans = [plan] * size
        self._make = make
        self.news = news
        self.routers = self._build(seed, weather, drift_ppm)
        self.random = Random(seed)
        self.asked = {name: RequestLog() for name in demands}
        self.routers.start()
        for name in demands:
            for me in range(size):
                self._schedule_request(name, me)
        if news:
            self._send_other_kinds()

    def _build(self, seed: int, weather: LinkConditions | None, drift_ppm: int) -> ChannelFleet:
        return ChannelFleet(
            self.size,
            self._parties,
            seed,
            weather=weather,
            drift_ppm=drift_ppm,
            parts=CHANNEL_SHARES if self.news else None,
        )

    def _parties(self, me: int, incarnation: int, now: int) -> dict[int, ChannelEndpoint]:
        machine = self._make(me, self.size, self.plans[me], Random(incarnation * 256 + me), now)
        machine.set_incarnation(incarnation)
        mux = self.routers.muxes[me]
        assert mux is not None
        machine.budget.channel_room = lambda now: mux.available_bytes(now, FrameKind.QUOTA)
        mux.drop_handlers[FrameKind.QUOTA] = machine.handle_unsent
        for kind in (FrameKind.COMEBACK, FrameKind.LIVES) if self.news else ():
            mux.budget.guarantee_share(kind, CHANNEL_SHARES[kind])
        return {FrameKind.QUOTA: machine}

    @property
    def now(self) -> int:
        """True time in us."""
        return self.routers.now

    def machine(self, me: int) -> BorrowingStateMachine | None:
        """Return the quota state machine of a router; None if the router does not run."""
        endpoint = self.routers.party(me, FrameKind.QUOTA)
        assert endpoint is None or isinstance(endpoint, BorrowingStateMachine)
        return endpoint

    def follow(self, me: int, plan: QuotaPlan) -> None:
        """Give a router another plan, as on SIGHUP. A router that does not run starts with it later."""
        self.plans[me] = plan
        machine = self.machine(me)
        if machine is not None:
            machine.apply_plan(self.routers.clock(me), plan)

    def end(self, numbers: Iterable[int], linger_us: int) -> None:
        """Start the shutdown of routers as on SIGTERM.

        They admit requests for ``linger_us`` more; the caller kills them after that.
        """
        for me in numbers:
            machine = self.machine(me)
            now = self.routers.clock(me)
            if machine is not None:
                machine.start_shutdown(now + linger_us)

    def _send_other_kinds(self) -> None:
        """Send the messages of the other frame kinds."""
        for me, mux in enumerate(self.routers.muxes):
            if mux is not None and me not in self.routers.stopped:
                now = self.routers.clock(me)
                for kind, size in (
                    (FrameKind.VIEW, self.news * FILL_INTERVAL_US // SECOND),
                    (FrameKind.DECISIONS, 60),
                ):
                    room = min(size, mux.available_bytes(now, kind))
                    if room >= MIN_FILL_BYTES and mux.spend_unframed(now, kind, room):
                        self.routers.sent(me, room)
        self.routers.agenda.at(self.now + FILL_INTERVAL_US, self._send_other_kinds)

    def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        self.routers.run(seconds)

    def _schedule_request(self, name: str, me: int) -> None:
        rate = self.demands[name][me]
        wait = self.random.expovariate(rate) if rate > 0 else 0.2
        self.routers.agenda.at(
            self.now + max(1, int(wait * SECOND)), lambda: self._send_request(name, me, rate > 0)
        )

    def _send_request(self, name: str, me: int, is_real: bool) -> None:
        self._schedule_request(name, me)
        machine = self.machine(me)
        if not is_real or machine is None or me in self.routers.stopped:
            return
        account = machine.accounts.get(key_of(name))
        if account is not None:
            is_admitted = account.admission_delay_us(self.routers.clock(me), None) == 0
            if is_admitted:
                account.record_admission(None)
                account.open -= 1
            self.asked[name].log.append((self.now, me, is_admitted))


def zipf(size: int, total: float, exponent: float = 1.0) -> list[float]:
    """Return the demand of each router by rank, distributed by Zipf's law."""
    weights = [1 / (n + 1) ** exponent for n in range(size)]
    return [total * weight / sum(weights) for weight in weights]
