"""Routers as processes under a quota, with faults between them. The bound is checked on when requests left
their clients and when they first ran on an engine; no verdict hangs on how fast the machine is."""

from __future__ import annotations

from quota_play import Seen, bound, plan_text, play

EVERYONE = list(range(8))


def kept(seen: Seen) -> None:
    assert seen.verdict.good, seen.verdict.faults
    assert seen.worst(30) <= bound(), seen.worst(30)
    assert seen.served() > 40
    assert seen.outcomes["refused"] > 10


def test_a_kill_a_cut_and_loss_between_eight_routers() -> None:
    seen, _ = play(
        8,
        [
            {"at": 2, "what": "restart", "routers": [0, 4]},
            {"at": 4, "what": "cut", "from": [0, 1, 2], "to": [3, 4, 5, 6, 7]},
            {"at": 4, "what": "loss", "part": 0.3},
            {"at": 6.5, "what": "heal"},
        ],
    )
    kept(seen)
    assert all(seen.served(at={number}) for number in EVERYONE)


def test_routers_that_shut_down_and_start_again_release_their_base_shares() -> None:
    seen, rig = play(
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
    kept(seen)
    for number in (0, 4):
        lines = [line for line in rig.routers[number].lines if "quota: " in line]
        gave = [place for place, line in enumerate(lines) if "base shares are released" in line]
        begun = [place for place, line in enumerate(lines) if "only the reserve is used until" in line]
        assert len(begun) == 2 and begun[0] < gave[0] < begun[1], lines


def test_the_larger_side_of_a_cut_gets_what_those_beyond_it_and_the_dead_had() -> None:
    """Five of eight. How much of it they use then is judged in simulated time, in test_quota.py."""
    larger = {0, 1, 2, 3, 4}
    seen, rig = play(
        16.5,
        [
            {"at": 5.5, "what": "kill", "routers": [7]},
            {"at": 5.5, "what": "cut", "from": sorted(larger), "to": [5, 6, 7]},
        ],
        plan_text(burst=60, term_ms=2_000),
        even=True,
    )
    assert seen.verdict.good, seen.verdict.faults
    assert seen.worst(30) <= bound(30, 60), seen.worst(30)
    assert all(seen.served(12, 16, {number}) for number in larger)
    told = [line for number in larger for line in rig.routers[number].lines]
    assert any("is taken over" in line for line in told)


def test_a_restart_of_all_gives_nobody_a_second_burst() -> None:
    seen, rig = play(
        16,
        [
            {"at": 2, "what": "restart", "routers": EVERYONE},
            {"at": 4, "what": "restart", "routers": EVERYONE},
        ],
    )
    kept(seen)
    assert len(rig.ready) >= 8


def test_routers_that_stand_still_past_their_leases() -> None:
    """SIGSTOP of those that borrowed most and of a lender, for three terms; what they borrowed has ended
    before they decide on what waited at their sockets."""
    seen, _ = play(
        8, [{"at": 2, "what": "stop", "routers": [0, 1, 6]}, {"at": 5, "what": "go_on", "routers": [0, 1, 6]}]
    )
    kept(seen)


def test_a_smaller_plan_goes_round_by_sighup_and_a_bad_one_changes_nothing() -> None:
    def reload(at: float, router: int, text: str) -> dict[str, object]:
        return {"at": at, "what": "reload", "routers": [router], "file": "quota", "text": text}

    small = plan_text(2, rate=12, burst=8)
    seen, rig = play(
        10,
        [
            *(reload(3 + 0.1 * n, n, small) for n in EVERYONE),
            reload(5, 2, plan_text(3).replace("rate = 30", "rate = -1")),
            reload(5, 3, plan_text(1, rate=600)),
        ],
    )
    kept(seen)
    assert all(any("quota: plan 2 in place of 1" in line for line in router.lines) for router in rig.routers)
    assert any("quotas[0].rate: want above 0" in line for line in rig.routers[2].lines)
    assert any("version: want above 2" in line for line in rig.routers[3].lines)
    assert seen.worst(12, since=7) <= bound(12, 8)
    assert seen.served(7, 10) >= 5


def test_the_checker_finds_a_fleet_without_quotas() -> None:
    seen, _ = play(3, [], quota="enabled = false")
    assert seen.verdict.good
    assert seen.worst(30) > bound()
