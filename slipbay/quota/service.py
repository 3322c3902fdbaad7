"""Connects the quotas to a running router: state machine, peer channel, admission gate, log and status."""

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
from slipbay.quota.status import build_status

CHECK_INTERVAL_US = 1_000_000
RELEASE_LOG_MARGIN_US = 20_000  # time before the end of the shutdown at which the release is logged
SEED_SALT = 0x51  # makes random numbers differ from those of other components with the router's seed


class QuotaService:
    """The quotas of a running router. Call ``start`` before the channel starts."""

    def __init__(
        self, config: Config, plan: QuotaPlan, core: Dispatcher, clock: Clock, timers: Timers, link: UdpLink
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._name = config.name
        random = Random(config.seed ^ SEED_SALT)
        local_router = config.settings.router_number
        self.machine = BorrowingStateMachine(local_router, len(config.peers), plan, random, clock.fresh())
        self.machine.set_incarnation(link.mux.incarnation)
        self.gate = QuotaAdmissionGate(
            self.machine, config.tenants, config.classes, clock.fresh, config.settings.max_retry_after_us
        )
        core.admission_gates.append(self.gate)
        link.mux.add(FrameKind.QUOTA, self.machine)
        self.machine.budget.channel_room = lambda now: link.mux.available_bytes(now, FrameKind.QUOTA)
        link.mux.drop_handlers[FrameKind.QUOTA] = self.machine.handle_unsent
        if 0 in link.topics:  # the channel answers commands from this host
            link.topics[FrameKind.QUOTA] = self.status
        self._event_log = QuotaEventLog(self.machine)

    def start(self) -> None:
        """Log the plan, and from now on all changes."""
        self._event_log.log_start()
        self._check_changes()

    def _check_changes(self) -> None:
        self._event_log.check(self._clock.now())
        self._timers.after(CHECK_INTERVAL_US, self._check_changes)

    def apply_plan(self, plan: QuotaPlan) -> None:
        """Apply a checked plan after a reload (SIGHUP)."""
        old = self.machine.plan
        if plan != old:
            self.machine.apply_plan(self._clock.fresh(), plan)
            self.gate.clear_cache()
            log("quota", f"plan {plan.version} in place of {old.version}")

    def set_running_routers(self, running: int) -> None:
        """Set the number of running routers, as membership reports it."""
        self.machine.set_running_routers(self._clock.fresh(), running)

    def end(self, linger_us: int) -> None:
        """Start the shutdown (SIGTERM): requests are accepted for ``linger_us`` more."""
        self.machine.start_shutdown(self._clock.fresh() + linger_us)
        if self.machine.leases is not None:
            self._timers.after(
                linger_us - RELEASE_LOG_MARGIN_US, lambda: self._event_log.log_release(self._clock.fresh())
            )

    def status(self) -> dict[str, object]:
        """Return the status of each quota for commands."""
        return build_status(self.machine, self._name, self._clock.fresh())
