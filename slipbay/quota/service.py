"""Quotas in a running router: the state machine on the channel, the admission gate, log lines and a
status."""

from __future__ import annotations

from random import Random

from slipbay.clock import Clock
from slipbay.config.model import Config
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.timers import Timers
from slipbay.log import log
from slipbay.peer_channel.interfaces import FrameKind
from slipbay.peer_channel.udp_link import UdpLink
from slipbay.quota.admission_gate import QuotaAdmissionGate
from slipbay.quota.borrowing import BorrowingStateMachine
from slipbay.quota.event_log import QuotaEventLog
from slipbay.quota.plan import QuotaPlan
from slipbay.quota.status import status_of

WATCH_US = 1_000_000
RELEASED_US = 20_000  # before the last request: by then base shares are released
SEED_SALT = 0x51  # so that this part's draws are not those of others with the router's seed


class QuotaService:
    """Call ``start`` when the channel is about to start."""

    def __init__(
        self, config: Config, plan: QuotaPlan, core: Dispatcher, clock: Clock, timers: Timers, link: UdpLink
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._name = config.name
        random = Random(config.seed ^ SEED_SALT)
        number = config.settings.router_number
        self.machine = BorrowingStateMachine(number, len(config.peers), plan, random, clock.fresh())
        self.machine.set_incarnation(link.mux.incarnation)
        self.gate = QuotaAdmissionGate(
            self.machine, config.tenants, config.classes, clock.fresh, config.settings.max_retry_after_us
        )
        core.admission_gates.append(self.gate)
        link.mux.add(FrameKind.QUOTA, self.machine)
        self.machine.budget.channel_room = lambda now: link.mux.available_bytes(now, FrameKind.QUOTA)
        link.mux.drop_handlers[FrameKind.QUOTA] = self.machine.unsent
        if 0 in link.topics:  # the channel answers commands on this machine
            link.topics[FrameKind.QUOTA] = self.status
        self._events = QuotaEventLog(self.machine)

    def start(self) -> None:
        """Log the plan, and from now on what changes."""
        self._events.started()
        self._watch()

    def _watch(self) -> None:
        self._events.check(self._clock.now())
        self._timers.after(WATCH_US, self._watch)

    def follow_plan(self, plan: QuotaPlan) -> None:
        """SIGHUP brought a checked plan."""
        old = self.machine.plan
        if plan != old:
            self.machine.follow_plan(self._clock.fresh(), plan)
            self.gate.plan_changed()
            log("quota", f"plan {plan.version} in place of {old.version}")

    def resized(self, running: int) -> None:
        """How many routers run, by the view."""
        self.machine.resized(self._clock.fresh(), running)

    def end(self, takes_us: int) -> None:
        """SIGTERM: requests are taken for ``takes_us`` yet."""
        self.machine.end(self._clock.fresh() + takes_us)
        if self.machine.leases is not None:
            self._timers.after(takes_us - RELEASED_US, lambda: self._events.released(self._clock.fresh()))

    def status(self) -> dict[str, object]:
        """What this router holds of each quota, for commands."""
        return status_of(self.machine, self._name, self._clock.fresh())
