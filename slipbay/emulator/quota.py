"""Quotas over many routers in simulated time: the real machines and gates' accounts, clients that ask at
random, and a checker that knows nothing but the moments of admissions."""

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
PARTS: dict[int, float] = {
    FrameKind.DECISIONS: 0.08,
    FrameKind.VIEW: 0.38,
    FrameKind.COMEBACK: 0.1,
    FrameKind.QUOTA: 0.1,
    FrameKind.LIVES: 0.083,
}
# how often others speak, and bytes that are worth it
FILL_US = 100_000
LEAST = 20


def worst_burst(times: Iterable[int], rate: float) -> float:
    """The most by which any window's admissions pass ``rate x t``; times in us, in order."""
    level = 0.0
    most = 0.0
    before = 0
    for at in times:
        level = max(0.0, level - rate * (at - before) / SECOND) + 1
        most = max(most, level)
        before = at
    return most


class Asked:
    """Requests of one quota: when, where, and whether they were taken."""

    def __init__(self) -> None:
        self.log: list[tuple[int, int, bool]] = []

    def admitted(self, since: int = 0, until: int = 2**62, at: set[int] | None = None) -> list[int]:
        return [
            when
            for when, me, taken in self.log
            if taken and since <= when < until and (at is None or me in at)
        ]

    def rates(self, since: int, until: int, least: int) -> dict[int, tuple[float, int]]:
        """Part of what was asked that was taken, and how much was asked, at each router that was asked at
        least so often."""
        asked: dict[int, list[bool]] = {}
        for when, me, taken in self.log:
            if since <= when < until:
                asked.setdefault(me, []).append(taken)
        return {
            me: (sum(found) / len(found), len(found)) for me, found in asked.items() if len(found) >= least
        }

    def apart(self, since: int, until: int, least: int = 200) -> tuple[float, float]:
        """How far the rates of routers lie apart, and how far they would in the mean if all had the same and
        each request were taken by a coin: normal draws with the binomial variance of the counts."""
        rates = self.rates(since, until, least).values()
        if len(rates) < 2:
            return 0.0, 0.0
        asked = sum(count for _, count in rates)
        mean = sum(rate * count for rate, count in rates) / asked
        random = Random(1)
        deviations = [sqrt(mean * (1 - mean) / count) for _, count in rates]
        chance = 0.0
        for _ in range(DRAWS):
            drawn = [random.gauss(0, deviation) for deviation in deviations]
            chance += (max(drawn) - min(drawn)) / DRAWS
        return max(rates)[0] - min(rates)[0], chance


class QuotaFleet:
    """Routers under a plan. ``demands``: requests a second by quota's name and router; change them as
    time goes. ``news``: bytes a second that a view would say on the same channel, and the decisions all that
    is left; 0: quotas have it to themselves."""

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
        self.asked = {name: Asked() for name in demands}
        self.routers.start()
        for name in demands:
            for me in range(size):
                self._next(name, me)
        if news:
            self._fill()

    def _build(self, seed: int, weather: LinkConditions | None, drift_ppm: int) -> ChannelFleet:
        return ChannelFleet(
            self.size,
            self._parties,
            seed,
            weather=weather,
            drift_ppm=drift_ppm,
            parts=PARTS if self.news else None,
        )

    def _parties(self, me: int, life: int, now: int) -> dict[int, ChannelEndpoint]:
        machine = self._make(me, self.size, self.plans[me], Random(life * 256 + me), now)
        machine.set_incarnation(life)
        mux = self.routers.muxes[me]
        assert mux is not None
        machine.budget.channel_room = lambda now: mux.room(now, FrameKind.QUOTA)
        mux.unsent[FrameKind.QUOTA] = machine.handle_unsent
        for kind in (FrameKind.COMEBACK, FrameKind.LIVES) if self.news else ():
            mux.budget.hold(kind, PARTS[kind])
        return {FrameKind.QUOTA: machine}

    @property
    def now(self) -> int:
        return self.routers.now

    def machine(self, me: int) -> BorrowingStateMachine | None:
        party = self.routers.party(me, FrameKind.QUOTA)
        assert party is None or isinstance(party, BorrowingStateMachine)
        return party

    def follow(self, me: int, plan: QuotaPlan) -> None:
        """SIGHUP at one router; one that is down starts with it."""
        self.plans[me] = plan
        machine = self.machine(me)
        if machine is not None:
            machine.apply_plan(self.routers.clock(me), plan)

    def end(self, numbers: Iterable[int], linger_us: int) -> None:
        """SIGTERM: they take requests for so long yet; kill them then."""
        for me in numbers:
            machine = self.machine(me)
            now = self.routers.clock(me)
            if machine is not None:
                machine.start_shutdown(now + linger_us)

    def _fill(self) -> None:
        """What others than quotas say."""
        for me, mux in enumerate(self.routers.muxes):
            if mux is not None and me not in self.routers.stopped:
                now = self.routers.clock(me)
                for kind, size in (
                    (FrameKind.VIEW, self.news * FILL_US // SECOND),
                    (FrameKind.DECISIONS, 60),
                ):
                    room = min(size, mux.room(now, kind))
                    if room >= LEAST and mux.outside(now, kind, room):
                        self.routers.sent(me, room)
        self.routers.agenda.at(self.now + FILL_US, self._fill)

    def run(self, seconds: float) -> None:
        self.routers.run(seconds)

    def _next(self, name: str, me: int) -> None:
        rate = self.demands[name][me]
        wait = self.random.expovariate(rate) if rate > 0 else 0.2
        self.routers.agenda.at(self.now + max(1, int(wait * SECOND)), lambda: self._ask(name, me, rate > 0))

    def _ask(self, name: str, me: int, real: bool) -> None:
        self._next(name, me)
        machine = self.machine(me)
        if not real or machine is None or me in self.routers.stopped:
            return
        account = machine.accounts.get(key_of(name))
        if account is not None:
            taken = account.admission_delay_us(self.routers.clock(me), None) == 0
            if taken:
                account.record_admission(None)
                account.open -= 1
            self.asked[name].log.append((self.now, me, taken))


def zipf(size: int, total: float, exponent: float = 1.0) -> list[float]:
    """Demand by rank."""
    weights = [1 / (n + 1) ** exponent for n in range(size)]
    return [total * weight / sum(weights) for weight in weights]
