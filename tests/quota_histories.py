"""Random histories of routers with a quota in simulated time, and the upper bound of admissions."""

from __future__ import annotations

from random import Random

from slipbay.emulator.network import LinkConditions
from slipbay.emulator.quota import QuotaFleet, worst_burst, zipf
from slipbay.quota.guarantees import excess
from slipbay.quota.plan import CLOCKS, Quota, QuotaPlan

RATE = 200.0
BURST = 60.0


def plan_of(
    version: int = 1, rate: float = RATE, burst: float = BURST, term_ms: int = 1_000, **more: object
) -> QuotaPlan:
    quota = Quota("q", rate, burst, **more)  # type: ignore[arg-type]
    return QuotaPlan(version, [quota], term_ms=term_ms, longest_ms=term_ms)


def step(fleet: QuotaFleet, random: Random, jumped_at_us: dict[int, int]) -> str:
    """Apply one random fault, repair or change of demand; return its name."""
    routers = fleet.routers
    size = fleet.size
    chosen = random.sample(range(size), random.randint(1, size))
    action = random.choice(
        [
            "kill",
            "kill",
            "start",
            "start",
            "restart",
            "end",
            "all",
            "cut",
            "cut",
            "one way",
            "heal",
            "heal",
            "heal",
            "stop",
            "go on",
            "leap",
            "weather",
            "demand",
            "demand",
        ]
    )
    match action:
        case "kill":
            routers.kill(chosen[: max(1, size // 3)])
        case "start":
            routers.start([router for router in chosen if routers.muxes[router] is None])
        case "restart":
            routers.kill(chosen[: max(1, size // 3)])
            routers.start(chosen[: max(1, size // 3)])
        case "end":
            fleet.end(chosen[: max(1, size // 3)], 700_000)
            fleet.run(random.choice([0.65, 0.7, 1.5]))
            routers.kill(chosen[: max(1, size // 3)])
            routers.start(chosen[: max(1, size // 3)])
        case "all" if random.random() < 0.4:
            routers.kill(range(size))
            routers.start()
        case "cut" | "one way":
            routers.network.cut(chosen[: size // 2], chosen[size // 2 :], both=action == "cut")
        case "heal":
            routers.network.heal()
        case "stop":
            for router in chosen[: max(1, size // 4)]:
                routers.stop(router)
        case "go on":
            for router in list(routers.stopped):
                routers.resume(router)
        case "leap":
            for router in chosen:
                if fleet.now - jumped_at_us.get(router, 0) > 1_800_000:  # at most one jump per lease
                    jumped_at_us[router] = fleet.now
                    routers.jump(router, CLOCKS.jump_us)
        case "weather":
            latency_us = random.choice([20_000, 100_000, 800_000])
            routers.network.conditions = LinkConditions(
                2_000, latency_us, random.choice([0.0, 0.1, 0.3]), random.choice([0.0, 0.3])
            )
        case "demand":
            rates = zipf(size, RATE * random.choice([0.5, 1.2, 3.0]), random.choice([0.0, 1.0, 4.0]))
            random.shuffle(rates)
            fleet.demands["q"] = rates
    return action


def history(
    size: int, seed: int, steps: int, plan: QuotaPlan | None = None, news: int = 0
) -> tuple[QuotaFleet, float, float]:
    """Run a random history. Return the fleet at its end, the maximum over all windows of admissions beyond
    ``rate x t``, and its upper bound.
    """
    random = Random(seed)
    plan = plan or plan_of()
    quota = plan.quotas[0]
    fleet = QuotaFleet(size, plan, {"q": zipf(size, RATE * 1.5)}, seed, drift_ppm=CLOCKS.drift_ppm, news=news)
    jumped_at_us: dict[int, int] = {}
    fleet.run(3)
    for _ in range(steps):
        step(fleet, random, jumped_at_us)
        if quota.soft > 1:
            for router in range(size):
                machine = fleet.machine(router)
                if machine is not None:
                    machine.set_running_routers(fleet.routers.clock(router), random.randint(1, size))
        fleet.run(random.choice([0.05, 0.3, 1.0, 2.5, 4.0]))
    worst = worst_burst(fleet.request_logs["q"].admitted(), quota.rate * quota.soft)
    return fleet, worst, quota.burst * quota.soft + excess(plan, quota, size)


def plan_change_history(size: int, seed: int) -> tuple[float, float, float, float]:
    """Roll out a smaller plan to one router after another during faults.

    Return the worst window of the whole run and the bound of the larger plan, then the worst window since all
    routers have the new plan and its bound.
    """
    random = Random(seed)
    old = plan_of()
    new = plan_of(2, RATE / 4, BURST / 4)
    fleet = QuotaFleet(size, old, {"q": zipf(size, RATE * 2)}, seed)
    jumped_at_us: dict[int, int] = {}
    fleet.run(2.5)
    for router in random.sample(range(size), size):
        fleet.follow(router, new)
        if random.random() < 0.5:
            step(fleet, random, jumped_at_us)
        fleet.run(random.uniform(0.05, 0.5))
    since = fleet.now
    fleet.run(4)
    admitted = fleet.request_logs["q"].admitted
    return (
        worst_burst(admitted(), RATE),
        BURST + excess(old, old.quotas[0], size),
        worst_burst(admitted(since), RATE / 4),
        BURST / 4 + excess(new, new.quotas[0], size),
    )
