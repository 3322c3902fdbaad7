"""Tests of a quota with routers as processes and faults between them.

The upper bound is checked by the times when clients sent requests and when these first ran on an engine. So
no result depends on the speed of the machine.
"""

from __future__ import annotations

from quota_play import Observations, bound, plan_text, run_scenario

ALL_ROUTERS = list(range(8))


def assert_bound_kept(observations: Observations) -> None:
    assert observations.verdict.good, observations.verdict.faults
    assert observations.worst(30) <= bound(), observations.worst(30)
    assert observations.served() > 40
    assert observations.outcomes["refused"] > 10


def test_the_bound_holds_with_restarts_a_partition_and_packet_loss() -> None:
    observations, _ = run_scenario(
        8,
        [
            {"at": 2, "what": "restart", "routers": [0, 4]},
            {"at": 4, "what": "cut", "from": [0, 1, 2], "to": [3, 4, 5, 6, 7]},
            {"at": 4, "what": "loss", "part": 0.3},
            {"at": 6.5, "what": "heal"},
        ],
    )
    assert_bound_kept(observations)
    assert all(observations.served(at={router}) for router in ALL_ROUTERS)


def test_routers_release_their_base_shares_at_a_shutdown() -> None:
    observations, rig = run_scenario(
        9,
        [
            action
            for n, at in ((0, 3.0), (4, 4.5))
            for action in (
                {"at": at, "what": "term", "routers": [n]},
                {"at": at + 0.9, "what": "start", "routers": [n]},
            )
        ],
    )
    assert_bound_kept(observations)
    for router in (0, 4):
        lines = [line for line in rig.routers[router].lines if "quota: " in line]
        release_positions = [
            position for position, line in enumerate(lines) if "base shares are released" in line
        ]
        start_positions = [
            position for position, line in enumerate(lines) if "only the reserve is used until" in line
        ]
        assert len(start_positions) == 2 and start_positions[0] < release_positions[0] < start_positions[1], (
            lines
        )


def test_the_larger_side_of_a_partition_takes_over_unreachable_base_shares() -> None:
    """Five of eight routers are on the larger side. How much of the quota they use is checked in simulated
    time, in test_quota.py.
    """
    larger_side = {0, 1, 2, 3, 4}
    observations, rig = run_scenario(
        16.5,
        [
            {"at": 5.5, "what": "kill", "routers": [7]},
            {"at": 5.5, "what": "cut", "from": sorted(larger_side), "to": [5, 6, 7]},
        ],
        plan_text(burst=60, term_ms=2_000),
        even=True,
    )
    assert observations.verdict.good, observations.verdict.faults
    assert observations.worst(30) <= bound(30, 60), observations.worst(30)
    assert all(observations.served(12, 16, {router}) for router in larger_side)
    log_lines = [line for router in larger_side for line in rig.routers[router].lines]
    assert any("is taken over" in line for line in log_lines)


def test_a_restart_of_all_routers_gives_no_second_burst() -> None:
    observations, rig = run_scenario(
        16,
        [
            {"at": 2, "what": "restart", "routers": ALL_ROUTERS},
            {"at": 4, "what": "restart", "routers": ALL_ROUTERS},
        ],
    )
    assert_bound_kept(observations)
    assert len(rig.ready_times_s) >= 8


def test_routers_that_are_stopped_beyond_their_leases_keep_the_bound() -> None:
    """SIGSTOP of the largest borrowers and of a lender for three leases: the borrowed shares must end before
    the routers process the requests that wait on their sockets.
    """
    observations, _ = run_scenario(
        8, [{"at": 2, "what": "stop", "routers": [0, 1, 6]}, {"at": 5, "what": "go_on", "routers": [0, 1, 6]}]
    )
    assert_bound_kept(observations)


def test_a_reload_applies_a_smaller_plan_and_rejects_an_invalid_one() -> None:
    def reload(at: float, router: int, text: str) -> dict[str, object]:
        return {"at": at, "what": "reload", "routers": [router], "file": "quota", "text": text}

    smaller_plan = plan_text(2, rate=12, burst=8)
    observations, rig = run_scenario(
        10,
        [
            *(reload(3 + 0.1 * n, n, smaller_plan) for n in ALL_ROUTERS),
            reload(5, 2, plan_text(3).replace("rate = 30", "rate = -1")),
            reload(5, 3, plan_text(1, rate=600)),
        ],
    )
    assert_bound_kept(observations)
    assert all(any("quota: plan 2 in place of 1" in line for line in router.lines) for router in rig.routers)
    assert any("quotas[0].rate: want above 0" in line for line in rig.routers[2].lines)
    assert any("version: want above 2" in line for line in rig.routers[3].lines)
    assert observations.worst(12, since=7) <= bound(12, 8)
    assert observations.served(7, 10) >= 5


def test_the_bound_is_exceeded_without_quotas() -> None:
    observations, _ = run_scenario(3, [], quota="enabled = false")
    assert observations.verdict.good
    assert observations.worst(30) > bound()
