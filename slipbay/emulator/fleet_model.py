"""Many routers' decisions before shared model engines, in simulated time: load, crashes, gossip."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from math import exp, log, sqrt
from random import Random

from slipbay.emulator.engines import CAPACITY, SECOND, WEIGHTS, ColdRule, EngineModel, EventQueue, Run
from slipbay.policy import Controller
from slipbay.policy.actions import Cancel, Dispatch, Fail, Reject, SendGossip, SetTimer, UpdateAttempt
from slipbay.policy.events import (
    AttemptEnded,
    EngineEntry,
    EngineList,
    EngineState,
    Event,
    ListKind,
    Outcome,
    PeerMessage,
    QueryArrived,
    TimerFired,
)
from slipbay.policy.settings import Effect, ServiceClass, Settings

LOOKUP = ServiceClass(500_000, 2_500_000, Effect.SAFE, utility=1.0, latency_objective_stretch=1.5)
REPORT = ServiceClass(
    2_000_000,
    20_000_000,
    Effect.SAFE,
    utility=15.0,
    late_utility=0.4,
    latency_objective_stretch=2.5,
    threads=2,
)


@dataclass(slots=True, frozen=True)
class Traffic:
    """A class of requests: its fraction of all requests, and the mean and variation of its lognormal work."""

    spec: ServiceClass
    part: float
    work_us: float
    cv: float = 1.1


MIX = (Traffic(LOOKUP, 0.85, 85_000), Traffic(REPORT, 0.15, 2_400_000, 1.3))


@dataclass(slots=True)
class Account:
    """Counts of what clients and engines observed."""

    worth: float = 0.0  # utility of all requests
    in_time: float = 0.0  # utility of the answers, reduced for those after the latency objective
    came: Counter[int] = field(default_factory=Counter)  # requests by class
    good: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    refused: Counter[int] = field(default_factory=Counter)
    idle_refused: int = 0  # rejected while more than a tenth of the capacity of all engines was idle
    attempts: int = 0
    gossip_messages: int = 0  # gossip messages, counted once per receiver
    # threads on each engine, sampled every 100 ms under load
    thread_samples: list[int] = field(default_factory=list)

    @property
    def service(self) -> float:
        """Fraction of the requested utility that clients received."""
        return self.in_time / self.worth if self.worth else 1.0

    def quantile(self, fraction: float) -> int:
        """Return a quantile of the sampled threads per engine."""
        return (
            sorted(self.thread_samples)[
                min(len(self.thread_samples) - 1, int(fraction * len(self.thread_samples)))
            ]
            if self.thread_samples
            else 0
        )


class FleetModel:
    """Routers, engines and clients.

    ``skew`` is the Zipf exponent of the routers' shares of the traffic; 0 gives all routers the same share.
    """

    def __init__(
        self,
        routers: int,
        engines: int,
        mix: Sequence[Traffic] = MIX,
        *,
        seed: int = 1,
        cores: int = 8,
        zones: int = 1,
        skew: float = 0.0,
        rule: ColdRule | None = None,
        loss: float = 0.0,
    ) -> None:
        self.agenda = EventQueue(SECOND)
        self.random = Random(seed)
        self.mix = mix
        self.rule = rule or ColdRule()
        # random source of the client requests; a separate one makes runs comparable
        self.traffic = self.random
        self.size = engines
        self.cores = cores
        self.zones = zones
        self.loss = loss
        self.seed = seed
        self.settings = Settings(
            classes=tuple(t.spec for t in mix),
            router_count=routers,
            kind_cores=(float(cores),),
            tick_us=5_000,
            max_attempts=4,
            may_cancel=True,
            may_gossip=True,
            supports_priority=True,
            max_retry_after_us=500_000,
            drain_grace_us=SECOND,
            cold_share=self.rule.share,
            cold_multiple=self.rule.multiple,
            cold_window_us=self.rule.window_us,
            ramp_us=self.rule.ramp_us,
            free_retries=5,
            retry_share=0.2,
            retry_window_us=10 * SECOND,
        )
        self.account = Account()
        self.deaf = False
        self.is_sampling = False
        self.entries: dict[bytes, EngineEntry] = {}
        self.engines: dict[bytes, EngineModel] = {}
        self.lives = [0] * routers
        self.routers: list[Controller | None] = [None] * routers
        self.asked: dict[int, tuple[int, float, int]] = {}  # by request: class, work in us, arrival time
        self.out: defaultdict[tuple[int, int, int], tuple[bytes, int]] = defaultdict(lambda: (b"", 0))
        self.sent: Counter[tuple[int, int]] = Counter()
        self.terms: dict[tuple[int, int], int] = {}
        self.weights = [1 / (rank + 1) ** skew for rank in range(routers)]
        self.random.shuffle(self.weights)
        for _ in range(engines):
            self.add_engine(born=0)
        for me in range(routers):
            self.start(me)
        self.agenda.at(self.agenda.now, self._sample_threads)

    @property
    def now(self) -> int:
        """The simulated time in us."""
        return self.agenda.now

    # Engines

    def add_engine(self, born: int) -> bytes:
        """Add an engine that starts at ``born`` and notify all running routers; return its address."""
        name = bytes([127, 0, len(self.entries) // 250, len(self.entries) % 250, 32, 251])
        self.entries[name] = EngineEntry(name, zone=len(self.entries) % self.zones, ready_at_us=born)
        self.engines[name] = EngineModel(self.cores, born, self.rule)
        self._list(self.entries[name])
        return name

    def drain(self, name: bytes) -> None:
        """Set an engine to draining: it completes its attempts and routers send it no new ones."""
        self.entries[name] = replace(self.entries[name], state=EngineState.DRAINING)
        self._list(self.entries[name])

    def _list(self, entry: EngineEntry) -> None:
        for me in range(len(self.routers)):
            self._tell(me, EngineList(ListKind.DELTA, (entry,)))

    # Routers

    def start(self, me: int) -> None:
        """Start a new incarnation of a router."""
        self.lives[me] += 1
        self.routers[me] = Controller(
            replace(self.settings, router_number=me, zone=me % self.zones),
            self.seed * 1_000_003 + me * 1009 + self.lives[me],
        )
        self._tell(me, EngineList(ListKind.CACHED, tuple(self.entries.values())))

    def kill(self, me: int) -> None:
        """Kill a router. Its attempts run for 2 s more, until the engines detect the closed connections."""
        self.routers[me] = None
        for key, (name, number) in list(self.out.items()):
            if key[0] == me:
                del self.out[key]
                self.agenda.at(
                    self.now + 2 * SECOND,
                    lambda name=name, number=number: self._stop(name, number),  # type: ignore[misc]
                )

    def _stop(self, name: bytes, number: int) -> None:
        self.engines[name].stop(self.now, number)
        self._schedule_completion(name)

    def _tell(self, me: int, event: Event) -> None:
        router = self.routers[me]
        incarnation = self.lives[me]
        if router is None:
            return
        for action in router.handle(self.now, [event]):
            match action:
                case SetTimer(token, at):
                    self.agenda.at(at, lambda t=token: self._fire(me, incarnation, t))  # type: ignore[misc]
                case SendGossip(body, to):
                    self._send(me, body, to)
                case UpdateAttempt(query, priority):
                    self.terms[me, query] = priority
                case Dispatch(query, name):
                    self._dispatch(me, query, name)
                case Cancel(query, attempt):
                    if (me, query, attempt) in self.out:
                        self._end(me, query, attempt, Outcome.CANCELLED)
                case Reject(query):
                    self._refused(query)
                case Fail():
                    raise AssertionError("a request failed in a model that has no failing engines")

    def _fire(self, me: int, incarnation: int, token: int) -> None:
        if incarnation == self.lives[me]:
            self._tell(me, TimerFired(token))

    def _send(self, me: int, body: bytes, to: int | None) -> None:
        for other in range(len(self.routers)) if to is None else [to]:
            if other != me:
                self.account.gossip_messages += 1
                if not self.deaf and self.random.random() >= self.loss:
                    self.agenda.at(
                        self.now + self.random.randrange(2_000, 25_000),
                        lambda o=other: self._tell(o, PeerMessage(me, body)),  # type: ignore[misc]
                    )

    # Requests

    def ask(self, kind: int) -> None:
        """Send a client request to one of the running routers."""
        running = [me for me, router in enumerate(self.routers) if router is not None]
        traffic = self.mix[kind]
        spread = sqrt(log(1 + traffic.cv**2))
        work = traffic.work_us * exp(self.traffic.gauss(0, spread) - spread * spread / 2)
        me = self.traffic.choices(running, [self.weights[m] for m in running])[0]
        query = len(self.asked) + 1
        self.asked[query] = kind, work, self.now
        self.account.came[kind] += 1
        self.account.worth += traffic.spec.utility
        estimate_us = int(work * exp(self.traffic.gauss(0, 0.1)))
        self._tell(
            me, QueryArrived(query, kind, traffic.spec.deadline_us, estimate_us, group=float(query % 17))
        )

    def _dispatch(self, me: int, query: int, name: bytes) -> None:
        kind, work, _ = self.asked[query]
        threads = self.mix[kind].spec.threads
        attempt = self.sent[me, query]
        self.sent[me, query] += 1
        self.account.attempts += 1
        run = Run(
            threads,
            WEIGHTS[self.terms.get((me, query), 1)],
            work / threads,
            lambda: self._end(me, query, attempt, Outcome.OK),
        )
        self.out[me, query, attempt] = name, self.engines[name].start(self.now, run, self.mix[kind].work_us)
        self._schedule_completion(name)

    def _schedule_completion(self, name: bytes) -> None:
        engine = self.engines[name]
        engine.wanted += 1
        wanted = engine.wanted
        end = engine.next_end(self.now)
        if end is not None:
            self.agenda.at(end, lambda: self._complete_attempts(name, wanted))

    def _complete_attempts(self, name: bytes, wanted: int) -> None:
        engine = self.engines[name]
        if engine.wanted == wanted:
            completed = engine.ended(self.now)
            self._schedule_completion(name)
            for run in completed:
                run.on_complete()

    def _end(self, me: int, query: int, attempt: int, outcome: Outcome) -> None:
        attempt_on_engine = self.out.pop((me, query, attempt), None)
        if attempt_on_engine is None:
            return  # the router was killed
        kind, work, since = self.asked[query]
        spec = self.mix[kind].spec
        good = outcome is Outcome.OK
        if good:
            objective_us = spec.latency_objective_us + spec.latency_objective_stretch * work / spec.threads
            counts = self.account.good if self.now - since <= objective_us else self.account.late
            counts[kind] += 1
            self.account.in_time += spec.utility * (1.0 if counts is self.account.good else spec.late_utility)
        else:
            self.engines[attempt_on_engine[0]].stop(self.now, attempt_on_engine[1])
            self._schedule_completion(attempt_on_engine[0])
        event = AttemptEnded(
            query, attempt, attempt_on_engine[0], outcome, 0, good, int(work) if good else None
        )
        if good:
            self._tell(me, event)
        else:
            self.agenda.at(self.now + 1_000, lambda: self._tell(me, event))

    def _refused(self, query: int) -> None:
        self.account.refused[self.asked[query][0]] += 1
        ready_engines = [e for n, e in self.engines.items() if self.entries[n].state is EngineState.READY]
        idle_cores = sum(max(0.0, e.cores * e.share(self.now) - e.threads) for e in ready_engines)
        self.account.idle_refused += idle_cores > 0.1 * sum(
            e.cores * e.share(self.now) for e in ready_engines
        )

    # Time

    def _sample_threads(self) -> None:
        if self.is_sampling:
            self.account.thread_samples += [
                e.threads for n, e in self.engines.items() if self.entries[n].state is EngineState.READY
            ]
        self.agenda.at(self.now + SECOND // 10, self._sample_threads)

    def until(self, when: int) -> None:
        """Run the simulation until the time ``when``."""
        self.agenda.until(when)

    def load(self, seconds: float, level: float) -> None:
        """Send a Poisson stream of client requests for ``seconds``.

        Its rate is ``level`` times the capacity of the initial engines outside of slow start.
        """
        mean = sum(t.part * t.work_us for t in self.mix) / sum(t.part for t in self.mix)
        rate = level * self.size * self.cores * CAPACITY / mean  # requests per us
        end = self.now + int(seconds * SECOND)
        self.is_sampling = True
        while (at := self.now + int(self.traffic.expovariate(rate)) + 1) < end:
            self.until(at)
            self.ask(self.traffic.choices(range(len(self.mix)), [t.part for t in self.mix])[0])
        self.until(end)
        self.is_sampling = False
