"""A tier whose routers are killed and come back: the real decisions, the real machine of coming back and the
channel's budget, with connections to engines and clients that return when they were told to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import astuple, dataclass, field, replace
from random import Random

from slipbay.emulator.engines import SECOND, EngineModel
from slipbay.emulator.fleet_model import MIX, FleetModel, Traffic
from slipbay.peer_channel.interfaces import FrameKind, Send
from slipbay.peer_channel.multiplexer import Multiplexer
from slipbay.policy.events import EstimatesRestored, Event, Outcome, QueryArrived, RetryBudgetRestored
from slipbay.policy.statistics import SlidingWindow
from slipbay.warmup.peer_estimates import MergedEstimates, PeerReport
from slipbay.warmup.plan import Phase, WarmupPlan
from slipbay.warmup.service import LIMIT_UPDATE_US
from slipbay.warmup.state_machine import WarmupStateMachine

TENTH = SECOND // 10
SNAPSHOT_US = 5 * SECOND  # how old the last snapshot is at a death, at the most
RETURNS = 2  # times that a client comes again after a refusal
GROUPS = 12
PARTS: dict[int, float] = {FrameKind.DECISIONS: 0.2, FrameKind.COMEBACK: 0.1}


@dataclass
class Seen:
    """What clients and engines saw, by tenths of a second; a request counts where it first came."""

    asked: Counter[int] = field(default_factory=Counter)
    good: Counter[int] = field(default_factory=Counter)
    sends: Counter[int] = field(default_factory=Counter)
    connects: Counter[int] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    threads: Counter[int] = field(default_factory=Counter)  # most on one engine
    full: list[int] = field(default_factory=list)  # us that lives took to full service, as they told
    bytes: Counter[int] = field(default_factory=Counter)  # of the channel, by router
    news: list[int] = field(default_factory=list)  # us since what others told was said, when it came to use
    stale: int = 0  # of those, older than the machine counted, or than any field may be

    def part(self, since: int, until: int) -> float:
        """Of what was asked, served in time, without what found no router."""
        span = range(since // TENTH, until // TENTH)
        return sum(self.good[n] for n in span) / max(1, sum(self.asked[n] for n in span))

    def full_after(self, ready: int, end: int, least: float) -> float | None:
        """Seconds from ``ready`` until a second begins in which the part reaches ``least``."""
        for at in range(ready, end - SECOND, TENTH):
            if self.part(at, at + SECOND) >= least:
                return (at - ready) / SECOND
        return None

    def peaks(self, since: int, until: int) -> dict[str, int]:
        span = range(since // TENTH, until // TENTH)
        return {
            name: max((counts[n] for n in span), default=0)
            for name, counts in (
                ("connects", self.connects),
                ("sends", self.sends),
                ("calls", self.calls),
                ("threads", self.threads),
            )
        }


@dataclass
class RouterIncarnation:
    """One life of a router, beside its decisions."""

    machine: WarmupStateMachine | None
    mux: Multiplexer | None
    idle: Counter[bytes] = field(default_factory=Counter)  # connections by engine
    open: dict[int, int] = field(default_factory=dict)  # threads of requests that were let in
    due: int = 0


class RestartModel(FleetModel):
    """``plan`` None: today's program. ``perfect``: new lives know what the old ones learned, and all routers
    what runs on every engine at any moment."""

    def __init__(
        self,
        routers: int,
        engines: int,
        mix: Sequence[Traffic] = MIX,
        *,
        seed: int = 1,
        plan: WarmupPlan | None = None,
        perfect: bool = False,
        loss: float = 0.0,
        disks: bool = False,
    ) -> None:
        self.disks = disks
        self.plan = plan
        self.perfect = perfect
        self.seen = Seen()
        self.life: list[RouterIncarnation | None] = [None] * routers
        self.first: dict[int, int] = {}  # a request that is a return: the one that its client first sent
        self.owner: dict[int, int] = {}  # request: its router
        self.tries: Counter[int] = Counter()
        self.learned: dict[int, EstimatesRestored] = {}
        self.died: dict[int, int] = {}
        # when who first told news to which life
        self.asker = 0
        self.said = dict[tuple[int, int, int], int]()
        self.charged: dict[
            int, tuple[int | None, dict[bytes, SlidingWindow]]
        ] = {}  # an old life's start, and sends
        super().__init__(routers, engines, mix, seed=seed, loss=loss)
        self.traffic = Random(seed)

    # Lives

    def start(self, me: int) -> None:
        number = self.lives[me] + 1
        seed = self.random.randrange(2**60)
        machine = mux = None
        if self.plan is not None:
            machine = WarmupStateMachine(
                me,
                len(self.routers),
                seed,
                self.now,
                lambda now: self._knows(me, now),
                self.plan,
                self.settings.free_retries or 0.0,
            )
            machine.set_engine_count(len(self.entries))
            machine.on_phase_change = lambda phase, evidence: self._changed(me, phase)
            machine.collector.on_estimates = lambda merged: self._inherit(me, merged)
            mux = Multiplexer(me, len(self.routers), seed, self.now, shares=PARTS)
            mux.add(FrameKind.COMEBACK, machine)
        self.life[me] = RouterIncarnation(machine, mux)
        super().start(me)
        if machine is not None:
            self._allow(me, number)
            if self.disks and me in self.learned:
                machine.restore_snapshot(
                    self.now, PeerReport(self.learned[me], 0, self.now - self.died[me] + SNAPSHOT_US)
                )
        slot = machine.limits.list_slot() if machine is not None else 0
        self.seen.calls[(self.now + slot) // TENTH] += 1
        if self.perfect and me in self.learned:
            self._recall(me)
        if mux is not None:
            self._tick(me, number)

    def kill(self, me: int) -> None:
        router = self.routers[me]
        if router is not None:
            self.learned[me] = router.estimates(self.now, GROUPS)
            self.died[me] = self.now
            self.charged[me] = (
                router.uptime.started_us,
                {name: e.charges for name, e in router.engines.by_id.items()},
            )
        super().kill(me)
        self.life[me] = None

    def restart(self, numbers: Iterable[int], after_us: int, spread_us: int) -> None:
        """Kill routers now; each starts ``after_us`` later, and up to ``spread_us`` beyond by chance."""
        chosen = list(numbers)
        for me in chosen:
            self.kill(me)
        for me in chosen:
            self.agenda.at(
                self.now + after_us + self.traffic.randrange(spread_us + 1),
                lambda me=me: self.start(me),  # type: ignore[misc]
            )

    def renew(self, names: Iterable[bytes]) -> None:
        """Another process behind each: what ran there is lost, it is cold, and all living are told."""
        for name in names:
            old = self.engines[name]
            new = EngineModel(self.cores, self.now, self.rule)
            # what is due for the old one is void
            new.count = old.count
            new.wanted = old.wanted + 1
            self.engines[name] = new
            self.entries[name] = replace(self.entries[name], ready_at_us=self.now)
            self._list(self.entries[name])
            for (me, query, attempt), (where, _) in list(self.out.items()):
                if where == name:
                    self._end(me, query, attempt, Outcome.RESET)

    def _recall(self, me: int) -> None:
        """A new life knows all that its old one did."""
        self._tell(me, self.learned[me])
        router, (started, charges) = self.routers[me], self.charged[me]
        assert router is not None
        router.uptime.started_us = started
        for name, e in router.engines.by_id.items():
            e.charges = charges.get(name, e.charges)

    def _knows(self, me: int, now: int) -> tuple[EstimatesRestored, int]:
        router = self.routers[me]
        assert router is not None
        self.said.setdefault((me, self.asker, self.lives[self.asker]), now)
        return router.estimates(now, GROUPS), sum(
            at > now - self.settings.retry_window_us for at, _ in router.retry_budget().retries
        )

    def _inherit(self, me: int, merged: MergedEstimates) -> None:
        mine = self.life[me]
        assert mine is not None and mine.machine is not None
        for teller in mine.machine.collector.sources:
            age = self.now - self.said[teller, me, self.lives[me]]
            self.seen.news.append(age)
            self.seen.stale += age > mine.machine.collector.oldest_report_us or age > max(
                astuple(mine.machine.plan.ages)
            )
        self._tell(me, merged.estimates)
        if merged.retries:
            self._tell(me, RetryBudgetRestored((), ((self.now, float(merged.retries)),)))

    def _changed(self, me: int, phase: Phase) -> None:
        mine = self.life[me]
        if phase is Phase.FULL and mine is not None and mine.machine is not None:
            self.seen.full.append(self.now - mine.machine.started_us)

    # The channel

    def _tick(self, me: int, life: int) -> None:
        mine = self.life[me]
        if mine is None or mine.mux is None or life != self.lives[me]:
            return
        self._carry(me, mine.mux.tick(self.now))
        self._arm(me)

    def _arm(self, me: int) -> None:
        mine = self.life[me]
        assert mine is not None and mine.mux is not None
        due = mine.mux.next_tick()
        if due is not None and due != mine.due:
            mine.due = due
            life = self.lives[me]
            self.agenda.at(max(due, self.now + 1_000), lambda: self._tick(me, life))

    def _carry(self, me: int, sends: list[Send]) -> None:
        for to, data in sends:
            self.seen.bytes[me] += len(data)
            if self.random.random() >= self.loss:
                self.agenda.at(
                    self.now + self.random.randrange(2_000, 25_000),
                    lambda to=to, data=data: self._take(me, to, data),  # type: ignore[misc]
                )

    def _take(self, sender: int, me: int, data: bytes) -> None:
        mine = self.life[me]
        if mine is not None and mine.mux is not None:
            self.asker = sender
            self._carry(me, mine.mux.receive(self.now, data, sender))
            self._arm(me)

    def _allow(self, me: int, life: int) -> None:
        """Tell the decisions what they may open."""
        mine = self.life[me]
        if mine is not None and mine.machine is not None and life == self.lives[me]:
            told = mine.machine.limits.connection_limits(self.now)
            self._tell(me, told)
            if told.limit_connections:
                self.agenda.at(self.now + LIMIT_UPDATE_US, lambda: self._allow(me, life))

    # Requests

    def ask(self, kind: int) -> None:
        """A client asks; one that finds no router at all is none of ours."""
        if any(router is not None for router in self.routers):
            super().ask(kind)

    def _tell(self, me: int, event: Event) -> None:
        if isinstance(event, QueryArrived):
            self.owner[event.query] = me
            self.seen.asked[self.now // TENTH] += event.query not in self.first
            wait = self._gate(me, event)
            if wait is not None:
                self._return(event.query, wait)
                return
        if self.perfect:
            self._reveal(me)
        super()._tell(me, event)

    def _reveal(self, me: int) -> None:
        router = self.routers[me]
        if router is not None:
            router.gossip.sums_at_us = self.now
            for name, e in router.engines.by_id.items():
                e.peer_threads = max(0, self.engines[name].threads - e.threads)
                e.threads_at_report = e.threads

    def _gate(self, me: int, event: QueryArrived) -> int | None:
        mine = self.life[me]
        if mine is None or mine.machine is None or mine.machine.phase is Phase.FULL:
            return None
        machine = mine.machine
        wanted = self.mix[event.service_class].spec.threads
        cores = float(len(self.engines) * self.cores)
        if sum(mine.open.values()) + wanted > machine.limits.threads(self.now, cores):
            wait = machine.limits.retry_after(
                self.now, self.mix[event.service_class].spec.latency_objective_us
            )
            if wait is not None:
                return min(wait, self.settings.max_retry_after_us)
        mine.open[event.query] = wanted
        return None

    def _refused(self, query: int) -> None:
        mine = self.life[self.owner[query]]
        if mine is not None:
            mine.open.pop(query, None)
        self._return(query, self.settings.max_retry_after_us // 2)

    def _return(self, query: int, wait: int) -> None:
        """Its client comes again, at any router, as a request of its own."""
        kind, work, since = self.asked[query]
        first = self.first.get(query, query)
        self.tries[first] += 1
        if self.tries[first] > RETURNS:
            super()._refused(query)
            return
        again = len(self.asked) + 1
        self.asked[again], self.first[again] = (kind, work, since), first
        self.agenda.at(self.now + wait, lambda: self._again(again))

    def _again(self, query: int) -> None:
        living = [me for me, router in enumerate(self.routers) if router is not None]
        kind, work, _ = self.asked[query]
        if living:
            self._tell(
                self.random.choice(living),
                QueryArrived(
                    query, kind, self.mix[kind].spec.deadline_us, int(work), group=float(query % 17)
                ),
            )

    def _end(self, me: int, query: int, attempt: int, outcome: Outcome) -> None:
        found = self.out.get((me, query, attempt))
        before = sum(self.account.good.values())
        mine = self.life[me]
        if found is not None and mine is not None:
            mine.idle[found[0]] += 1
            if outcome is Outcome.OK:
                mine.open.pop(query, None)
        super()._end(me, query, attempt, outcome)
        self.seen.good[self.asked[query][2] // TENTH] += sum(self.account.good.values()) - before

    # Connections

    def _dispatch(self, me: int, query: int, name: bytes) -> None:
        mine = self.life[me]
        assert mine is not None
        if mine.idle[name]:
            mine.idle[name] -= 1
        else:
            self.seen.connects[self.now // TENTH] += 1
        self.seen.sends[self.now // TENTH] += 1
        super()._dispatch(me, query, name)
        threads = self.engines[name].threads
        self.seen.threads[self.now // TENTH] = max(self.seen.threads[self.now // TENTH], threads)
