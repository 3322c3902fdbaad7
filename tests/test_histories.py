"""Random histories of many routers in simulated time, with membership, warm-up and quotas on one channel.

Checks that no window of admissions exceeds a quota, that no incarnation sends more bytes in a second than the
budget, that no router starts with estimates older than their maximum age, and that in the end all routers are
in full service and see each other. ``python tests/test_histories.py --size 200 --seeds 3`` runs larger ones.
"""

from __future__ import annotations

import argparse
from random import Random
from struct import pack
from typing import Any

import pytest
from quota_histories import RATE, plan_of, step

from slipbay.emulator.channel_fleet import ChannelFleet
from slipbay.emulator.network import LinkConditions
from slipbay.emulator.quota import QuotaFleet, worst_burst, zipf
from slipbay.membership.state_machine import MembershipStateMachine
from slipbay.membership.timing import Timing
from slipbay.peer_channel.budget import ByteBudget
from slipbay.peer_channel.config_schema import BudgetShares
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind
from slipbay.peer_channel.multiplexer import RATE as BYTES
from slipbay.policy.events import EstimatesRestored
from slipbay.quota.account import QuotaAccount
from slipbay.quota.borrowing import BorrowingStateMachine as Quotas
from slipbay.quota.guarantees import excess
from slipbay.quota.plan import CLOCKS
from slipbay.warmup.estimate_collection import EstimateCollector
from slipbay.warmup.peer_estimates import MaximumAges, MergedEstimates
from slipbay.warmup.plan import Phase
from slipbay.warmup.plan import WarmupPlan as Ways
from slipbay.warmup.state_machine import WarmupStateMachine

AGES = MaximumAges(
    pace=200_000, costs=400_000, unhealthy=300_000, groups=800_000
)  # short, as messages are 0.8 s late
PARTS: dict[int, float] = {
    FrameKind.DECISIONS: BudgetShares().decisions,
    FrameKind.VIEW: BudgetShares().view,
    FrameKind.COMEBACK: BudgetShares().comeback,
    FrameKind.QUOTA: BudgetShares().quota,
}
MAX_RECOVERY_S = 60
SLOW_LINKS = LinkConditions(2_000, 800_000, 0.1, 0.3)
DECISION_INTERVAL_US = 250_000  # between messages about decisions, which fill the channel's room


class FullFleet(QuotaFleet):
    """A fleet that records with which estimates each starting router begins.

    Each router reports as its estimate a number that identifies the time of the report.
    """

    def __init__(self, size: int, seed: int, drift_ppm: int = CLOCKS.drift_ppm) -> None:
        self.report_times_us: list[int] = []  # true times of reports
        self.faults: list[str] = []
        self.recovery_s = 0  # time until all routers were in full service and saw each other
        self.started_with_estimates = 0  # starting routers that began with estimates of others
        super().__init__(size, plan_of(), {"q": zipf(size, RATE * 1.5)}, seed, drift_ppm=drift_ppm)
        for router in range(size):
            self._send_decisions(router)

    def _build(self, seed: int, weather: LinkConditions | None, drift_ppm: int) -> ChannelFleet:
        return ChannelFleet(
            self.size,
            self._parties,
            seed,
            weather=weather,
            drift_ppm=drift_ppm,
            parts=PARTS,
            view=lambda router, incarnation, now: MembershipStateMachine(
                router,
                self.size,
                incarnation,
                Random(incarnation * 256 + router),
                now,
                timing=Timing(rate=660),
            ),
        )

    def _parties(self, router: int, incarnation: int, now: int) -> dict[int, ChannelEndpoint]:
        machine = WarmupStateMachine(
            router,
            self.size,
            (incarnation * 7919 + router) * 0x9E3779B97F4A7C15 % 2**60,
            now,
            self._report_estimates,
            Ways(ages=AGES),
        )
        machine.set_engine_count(8)
        machine.collector.on_estimates = self._check_ages
        quotas = Quotas(router, self.size, self.plans[router], Random(incarnation * 256 + router), now)

        def room(at: int) -> int:
            mux = self.routers.muxes[router]
            return mux.available_bytes(at, FrameKind.QUOTA) if mux is not None else 0

        quotas.budget.channel_room = room
        return {FrameKind.QUOTA: quotas, FrameKind.COMEBACK: machine}

    def _report_estimates(self, now: int) -> tuple[EstimatesRestored, int]:
        self.report_times_us.append(self.now)
        report = float(len(self.report_times_us) - 1)
        pace = 1 + report % 7_000 / 1_000
        return EstimatesRestored(pace, pace, ((report, report, 1.0),), (), ((report, 1.0),)), 0

    def _check_ages(self, merged: MergedEstimates) -> None:
        self.started_with_estimates += 1
        restored = merged.estimates
        last_report = len(self.report_times_us) - 1
        used_reports = [(AGES.costs, int(row[0])) for row in restored.classes if row[0]]
        used_reports += [(AGES.groups, int(report)) for report, _ in restored.groups]
        if restored.pace:  # the latest report with this pace
            used_reports.append(
                (AGES.pace, last_report - (last_report - round((restored.pace - 1) * 1_000)) % 7_000)
            )
        for max_age_us, report in used_reports:
            age_us = self.now - self.report_times_us[report]
            if age_us > max_age_us * (1 + 2 * CLOCKS.drift_ppm / 1e6) + CLOCKS.jump_us:
                self.faults.append(
                    f"age: started with estimates {age_us // 1000} ms old, bound {max_age_us // 1000} ms"
                )

    def _send_decisions(self, router: int) -> None:
        """Send a message about decisions periodically, as large as the channel's room allows."""
        mux = self.routers.muxes[router]
        if mux is not None and router not in self.routers.stopped:
            body = mux.fit_gossip(self.routers.clock(router), pack("<IB", 1, router % 256) + bytes(3 * 60))
            if body is not None:
                self.routers.sent(router, len(body))
        self.routers.agenda.at(self.now + DECISION_INTERVAL_US, lambda: self._send_decisions(router))

    @property
    def admitted(self) -> list[int]:
        return self.asked["q"].admitted()

    def repair(self) -> None:
        """Repair all faults: heal the network, and continue or start all routers."""
        routers = self.routers
        routers.network.heal()
        routers.network.weather = LinkConditions()
        for router in list(routers.stopped):
            routers.go_on(router)
        routers.start([router for router in range(self.size) if routers.muxes[router] is None])

    def check(self) -> list[str]:
        """Return violations, by the times of admissions and the bytes on the network."""
        routers = self.routers
        plan = self.plans[0]
        quota = plan.quotas[0]
        worst = worst_burst(self.admitted, RATE)
        bound = quota.burst + excess(plan, quota, self.size)
        violations = list(self.faults)
        if worst > bound:
            violations.append(f"quota: {worst:.1f} in a window, bound {bound:.1f}")
        if max(routers.fullest) > BYTES:
            violations.append(f"bytes: {max(routers.fullest)} in a second")
        return violations

    def unrecovered(self) -> list[str]:
        """Return the routers that are not in full service or do not see the whole fleet."""
        found = []
        for router in range(self.size):
            machine = self.routers.party(router, FrameKind.COMEBACK)
            view = self.routers.views[router]
            assert isinstance(machine, WarmupStateMachine)
            assert view is not None
            if machine.phase is not Phase.FULL or view.live_numbers != list(range(self.size)):
                found.append(f"end: {router} is {machine.phase.name}, sees {len(view.live_numbers)}")
        return found


def history(size: int, seed: int, steps: int) -> FullFleet:
    """Run a random history with faults; return the fleet some time after all faults are repaired."""
    random = Random(seed)
    fleet = FullFleet(size, seed)
    jumped_at_us = dict[int, int]()
    fleet.run(2.5)
    for _ in range(steps):
        step(fleet, random, jumped_at_us)
        if random.random() < 0.5:  # some routers restart while others run on, over slow links
            restarted = random.sample(range(size), random.randint(1, max(1, size // 3)))
            fleet.routers.network.heal()
            fleet.routers.network.weather = random.choice([LinkConditions(), SLOW_LINKS, SLOW_LINKS])
            fleet.routers.kill(restarted)
            fleet.run(0.1)
            fleet.routers.start(restarted)
        fleet.run(random.choice([0.05, 0.3, 1.0, 2.5]))
    fleet.repair()
    while fleet.unrecovered() and fleet.recovery_s < MAX_RECOVERY_S:
        fleet.run(1)
        fleet.recovery_s += 1
    return fleet


@pytest.mark.parametrize(("size", "seed", "steps"), [(3, 1, 40), (3, 2, 40), (3, 3, 40), (40, 4, 12)])
def test_all_bounds_hold_and_all_routers_recover(size: int, seed: int, steps: int) -> None:
    fleet = history(size, seed, steps)
    assert fleet.check() == []
    assert fleet.unrecovered() == []
    assert fleet.recovery_s <= 15
    assert fleet.started_with_estimates
    assert fleet.admitted
    assert max(fleet.routers.fullest) > BYTES / 2


def violations() -> set[str]:
    """Return the kinds of violations in the first history that has any."""
    violation_kinds = ({fault.split(":")[0] for fault in history(4, seed, 20).check()} for seed in range(60))
    return next((faults for faults in violation_kinds if faults), set())


def test_injected_faults_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(ByteBudget, "available_bytes", lambda self, now, kind: 10_000)
        assert violations() == {"bytes"}
    with monkeypatch.context() as patch:
        original_init = QuotaAccount.__init__
        original_set_rates = QuotaAccount._set_rates

        def init_with_full_bucket(self: QuotaAccount, *args: Any) -> None:
            original_init(self, *args)
            self.bucket.tokens = self.quota.burst

        def set_larger_cap(self: QuotaAccount) -> None:
            original_set_rates(self)
            self.cap = self.quota.burst

        patch.setattr(QuotaAccount, "__init__", init_with_full_bucket)
        patch.setattr(QuotaAccount, "_set_rates", set_larger_cap)
        assert violations() == {"quota"}
    with monkeypatch.context() as patch:  # ages count from the last request, not the first
        original_finish = EstimateCollector.finish

        def finish_with_younger_age(self: EstimateCollector, now: int, *, overdue: bool) -> None:
            for request in self.requests.values():
                request.sent_us = request.last_sent_us
            original_finish(self, now, overdue=overdue)

        patch.setattr(EstimateCollector, "finish", finish_with_younger_age)
        assert violations() == {"age"}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=200)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    parser.add_argument("--steps", type=int, default=12)
    chosen = parser.parse_args()
    for seed in chosen.seeds:
        fleet = history(chosen.size, seed, chosen.steps)
        print(
            f"{chosen.size} routers, seed {seed}: worst window {worst_burst(fleet.admitted, RATE):.0f}, "
            f"max {max(fleet.routers.fullest)} bytes/s, "
            f"{fleet.started_with_estimates} started with estimates of others, "
            f"recovered after {fleet.recovery_s} s, {fleet.routers.network.messages} messages; "
            f"{fleet.check() + fleet.unrecovered()[:3] or 'all bounds kept'}",
            flush=True,
        )


if __name__ == "__main__":
    main()
