"""A fleet whose routers are killed and restarted, in simulated time.

It runs the real decisions, the real warm-up and the real peer-channel budget. Connections to engines are
modeled, and clients retry after the delay that a rejection gives.
"""

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

INTERVAL_US = SECOND // 10
SNAPSHOT_US = 5 * SECOND  # maximum age of the last snapshot when a router is killed
MAX_RETRIES = 2  # retries of a client after rejections
GROUPS = 12
CHANNEL_SHARES: dict[int, float] = {FrameKind.DECISIONS: 0.2, FrameKind.COMEBACK: 0.1}


@dataclass
class Seen:
    """Counts of what clients and engines observed, by intervals of 100 ms.

    A request counts in the interval in which its client first sent it.
    """

    asked: Counter[int] = field(default_factory=Counter)
    good: Counter[int] = field(default_factory=Counter)
    sends: Counter[int] = field(default_factory=Counter)
    connects: Counter[int] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    threads: Counter[int] = field(default_factory=Counter)  # maximum on one engine
    warmup_us: list[int] = field(default_factory=list)  # time of incarnations until full service
    bytes: Counter[int] = field(default_factory=Counter)  # bytes sent over the peer channel, by router
    news: list[int] = field(default_factory=list)  # ages in us of peer estimates when they were adopted
    stale: int = 0  # number of them above the age that the collector assumed or the maximum age of all fields

    def part(self, since: int, until: int) -> float:
        """Return the fraction of the received requests that were served in time."""
        span = range(since // INTERVAL_US, until // INTERVAL_US)
        return sum(self.good[n] for n in span) / max(1, sum(self.asked[n] for n in span))

    def full_after(self, ready: int, end: int, least: float) -> float | None:
        """Return the seconds from ``ready`` until a second starts whose served fraction reaches ``least``."""
        for at in range(ready, end - SECOND, INTERVAL_US):
            if self.part(at, at + SECOND) >= least:
                return (at - ready) / SECOND
        return None

    def peaks(self, since: int, until: int) -> dict[str, int]:
        """Return the maximum of each count over the intervals of a time span."""
        span = range(since // INTERVAL_US, until // INTERVAL_US)
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
    """State of one incarnation of a router besides its decisions."""

    machine: WarmupStateMachine | None
    mux: Multiplexer | None
    idle: Counter[bytes] = field(default_factory=Counter)  # idle connections by engine
    open: dict[int, int] = field(default_factory=dict)  # threads of the admitted requests, by request
    due: int = 0


class RestartModel(FleetModel):
    """Routers that are restarted under load.

    Without a ``plan``, routers restart without warm-up. With ``perfect``, a new incarnation has all
    estimates of the one before it, and all routers have the current number of threads on each engine. With
    ``disks``, a new incarnation reads a snapshot.
    """

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
        self.current_incarnations: list[RouterIncarnation | None] = [None] * routers
        self.original_request: dict[int, int] = {}  # retried request: the request that its client first sent
        self.router_of: dict[int, int] = {}  # request: the router that received it
        self.retries: Counter[int] = Counter()
        self.saved_estimates: dict[int, EstimatesRestored] = {}
        self.killed_us: dict[int, int] = {}
        self.requesting_router = 0  # router whose message is being processed
        # by sender, receiver and the receiver's incarnation: time of the first report of estimates
        self.first_reported_us = dict[tuple[int, int, int], int]()
        self.saved_charges: dict[
            int, tuple[int | None, dict[bytes, SlidingWindow]]
        ] = {}  # start of the previous incarnation and its sends by engine
        super().__init__(routers, engines, mix, seed=seed, loss=loss)
        self.traffic = Random(seed)

    # Incarnations

    def start(self, me: int) -> None:
        """Start a new incarnation of a router, with a warm-up if there is a plan."""
        number = self.lives[me] + 1
        seed = self.random.randrange(2**60)
        machine = mux = None
        if self.plan is not None:
            machine = WarmupStateMachine(
                me,
                len(self.routers),
                seed,
                self.now,
                lambda now: self._report_estimates(me, now),
                self.plan,
                self.settings.free_retries or 0.0,
            )
            machine.set_engine_count(len(self.entries))
            machine.on_phase_change = lambda phase, evidence: self._on_phase_change(me, phase)
            machine.collector.on_estimates = lambda merged: self._adopt_estimates(me, merged)
            mux = Multiplexer(me, len(self.routers), seed, self.now, shares=CHANNEL_SHARES)
            mux.add(FrameKind.COMEBACK, machine)
        self.current_incarnations[me] = RouterIncarnation(machine, mux)
        super().start(me)
        if machine is not None:
            self._update_connection_limits(me, number)
            if self.disks and me in self.saved_estimates:
                machine.restore_snapshot(
                    self.now,
                    PeerReport(self.saved_estimates[me], 0, self.now - self.killed_us[me] + SNAPSHOT_US),
                )
        slot = machine.limits.list_slot() if machine is not None else 0
        self.seen.calls[(self.now + slot) // INTERVAL_US] += 1
        if self.perfect and me in self.saved_estimates:
            self._restore_all_estimates(me)
        if mux is not None:
            self._tick(me, number)

    def kill(self, me: int) -> None:
        """Kill a router and keep its estimates for the next incarnation."""
        router = self.routers[me]
        if router is not None:
            self.saved_estimates[me] = router.estimates(self.now, GROUPS)
            self.killed_us[me] = self.now
            self.saved_charges[me] = (
                router.uptime.started_us,
                {name: e.charges for name, e in router.engines.by_id.items()},
            )
        super().kill(me)
        self.current_incarnations[me] = None

    def restart(self, numbers: Iterable[int], after_us: int, spread_us: int) -> None:
        """Kill routers now; each restarts after ``after_us`` and a random delay of up to ``spread_us``."""
        chosen = list(numbers)
        for me in chosen:
            self.kill(me)
        for me in chosen:
            self.agenda.at(
                self.now + after_us + self.traffic.randrange(spread_us + 1),
                lambda me=me: self.start(me),  # type: ignore[misc]
            )

    def renew(self, names: Iterable[bytes]) -> None:
        """Replace the process of each engine by a cold one.

        Its attempts fail, and all running routers are notified.
        """
        for name in names:
            old = self.engines[name]
            new = EngineModel(self.cores, self.now, self.rule)
            # invalidates the events that are scheduled for the old process
            new.count = old.count
            new.wanted = old.wanted + 1
            self.engines[name] = new
            self.entries[name] = replace(self.entries[name], ready_at_us=self.now)
            self._list(self.entries[name])
            for (me, query, attempt), (engine, _) in list(self.out.items()):
                if engine == name:
                    self._end(me, query, attempt, Outcome.RESET)

    def _restore_all_estimates(self, me: int) -> None:
        """Give a new incarnation all estimates of the one before it."""
        self._tell(me, self.saved_estimates[me])
        router, (started, charges) = self.routers[me], self.saved_charges[me]
        assert router is not None
        router.uptime.started_us = started
        for name, e in router.engines.by_id.items():
            e.charges = charges.get(name, e.charges)

    def _report_estimates(self, me: int, now: int) -> tuple[EstimatesRestored, int]:
        router = self.routers[me]
        assert router is not None
        self.first_reported_us.setdefault(
            (me, self.requesting_router, self.lives[self.requesting_router]), now
        )
        return router.estimates(now, GROUPS), sum(
            at > now - self.settings.retry_window_us for at, _ in router.retry_budget().retries
        )

    def _adopt_estimates(self, me: int, merged: MergedEstimates) -> None:
        current = self.current_incarnations[me]
        assert current is not None and current.machine is not None
        for source in current.machine.collector.sources:
            age = self.now - self.first_reported_us[source, me, self.lives[me]]
            self.seen.news.append(age)
            self.seen.stale += age > current.machine.collector.oldest_report_us or age > max(
                astuple(current.machine.plan.ages)
            )
        self._tell(me, merged.estimates)
        if merged.retries:
            self._tell(me, RetryBudgetRestored((), ((self.now, float(merged.retries)),)))

    def _on_phase_change(self, me: int, phase: Phase) -> None:
        current = self.current_incarnations[me]
        if phase is Phase.FULL and current is not None and current.machine is not None:
            self.seen.warmup_us.append(self.now - current.machine.started_us)

    # Peer channel

    def _tick(self, me: int, incarnation: int) -> None:
        current = self.current_incarnations[me]
        if current is None or current.mux is None or incarnation != self.lives[me]:
            return
        self._transmit(me, current.mux.tick(self.now))
        self._schedule_tick(me)

    def _schedule_tick(self, me: int) -> None:
        current = self.current_incarnations[me]
        assert current is not None and current.mux is not None
        due = current.mux.next_tick()
        if due is not None and due != current.due:
            current.due = due
            incarnation = self.lives[me]
            self.agenda.at(max(due, self.now + 1_000), lambda: self._tick(me, incarnation))

    def _transmit(self, me: int, sends: list[Send]) -> None:
        for to, data in sends:
            self.seen.bytes[me] += len(data)
            if self.random.random() >= self.loss:
                self.agenda.at(
                    self.now + self.random.randrange(2_000, 25_000),
                    lambda to=to, data=data: self._receive(me, to, data),  # type: ignore[misc]
                )

    def _receive(self, sender: int, me: int, data: bytes) -> None:
        current = self.current_incarnations[me]
        if current is not None and current.mux is not None:
            self.requesting_router = sender
            self._transmit(me, current.mux.receive(self.now, data, sender))
            self._schedule_tick(me)

    def _update_connection_limits(self, me: int, incarnation: int) -> None:
        """Send the decisions their current connection limits."""
        current = self.current_incarnations[me]
        if current is not None and current.machine is not None and incarnation == self.lives[me]:
            new_limits = current.machine.limits.connection_limits(self.now)
            self._tell(me, new_limits)
            if new_limits.limit_connections:
                self.agenda.at(
                    self.now + LIMIT_UPDATE_US, lambda: self._update_connection_limits(me, incarnation)
                )

    # Requests

    def ask(self, kind: int) -> None:
        """Send a client request; without a running router it is not counted."""
        if any(router is not None for router in self.routers):
            super().ask(kind)

    def _tell(self, me: int, event: Event) -> None:
        if isinstance(event, QueryArrived):
            self.router_of[event.query] = me
            self.seen.asked[self.now // INTERVAL_US] += event.query not in self.original_request
            wait = self._retry_delay(me, event)
            if wait is not None:
                self._schedule_retry(event.query, wait)
                return
        if self.perfect:
            self._set_actual_threads(me)
        super()._tell(me, event)

    def _set_actual_threads(self, me: int) -> None:
        router = self.routers[me]
        if router is not None:
            router.gossip.sums_at_us = self.now
            for name, e in router.engines.by_id.items():
                e.peer_threads = max(0, self.engines[name].threads - e.threads)
                e.threads_at_report = e.threads

    def _retry_delay(self, me: int, event: QueryArrived) -> int | None:
        current = self.current_incarnations[me]
        if current is None or current.machine is None or current.machine.phase is Phase.FULL:
            return None
        machine = current.machine
        required_threads = self.mix[event.service_class].spec.threads
        cores = float(len(self.engines) * self.cores)
        if sum(current.open.values()) + required_threads > machine.limits.threads(self.now, cores):
            wait = machine.limits.retry_after(
                self.now, self.mix[event.service_class].spec.latency_objective_us
            )
            if wait is not None:
                return min(wait, self.settings.max_retry_after_us)
        current.open[event.query] = required_threads
        return None

    def _refused(self, query: int) -> None:
        current = self.current_incarnations[self.router_of[query]]
        if current is not None:
            current.open.pop(query, None)
        self._schedule_retry(query, self.settings.max_retry_after_us // 2)

    def _schedule_retry(self, query: int, wait: int) -> None:
        """Have the client retry after ``wait`` us at any router, as a new request."""
        kind, work, since = self.asked[query]
        original_request = self.original_request.get(query, query)
        self.retries[original_request] += 1
        if self.retries[original_request] > MAX_RETRIES:
            super()._refused(query)
            return
        retry = len(self.asked) + 1
        self.asked[retry], self.original_request[retry] = (kind, work, since), original_request
        self.agenda.at(self.now + wait, lambda: self._retry(retry))

    def _retry(self, query: int) -> None:
        running = [me for me, router in enumerate(self.routers) if router is not None]
        kind, work, _ = self.asked[query]
        if running:
            self._tell(
                self.random.choice(running),
                QueryArrived(
                    query, kind, self.mix[kind].spec.deadline_us, int(work), group=float(query % 17)
                ),
            )

    def _end(self, me: int, query: int, attempt: int, outcome: Outcome) -> None:
        engine_and_number = self.out.get((me, query, attempt))
        good_before = sum(self.account.good.values())
        current = self.current_incarnations[me]
        if engine_and_number is not None and current is not None:
            current.idle[engine_and_number[0]] += 1
            if outcome is Outcome.OK:
                current.open.pop(query, None)
        super()._end(me, query, attempt, outcome)
        self.seen.good[self.asked[query][2] // INTERVAL_US] += sum(self.account.good.values()) - good_before

    # Connections

    def _dispatch(self, me: int, query: int, name: bytes) -> None:
        current = self.current_incarnations[me]
        assert current is not None
        if current.idle[name]:
            current.idle[name] -= 1
        else:
            self.seen.connects[self.now // INTERVAL_US] += 1
        self.seen.sends[self.now // INTERVAL_US] += 1
        super()._dispatch(me, query, name)
        threads = self.engines[name].threads
        self.seen.threads[self.now // INTERVAL_US] = max(self.seen.threads[self.now // INTERVAL_US], threads)
