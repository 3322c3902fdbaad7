"""Gossip of the routing policy: reported loads affect the choice of engines; lost, late or garbled messages
do no harm."""

from __future__ import annotations

from helpers import SAFE, SECOND, ControllerDriver, dispatches, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from slipbay.policy import gossip
from slipbay.policy.actions import Action, SendGossip
from slipbay.policy.events import PeerMessage

GOSSIP_SETTINGS = settings(SAFE, router_count=3, may_gossip=True)


def gossip_messages(actions: list[Action]) -> list[SendGossip]:
    return [action for action in actions if isinstance(action, SendGossip)]


def fleet() -> list[ControllerDriver]:
    routers = [
        ControllerDriver(settings(SAFE, router_count=3, router_number=number, may_gossip=True), engines=4)
        for number in range(3)
    ]
    for driver in routers:
        driver.submit(1, cost=100_000)
        driver.controller.classes[0].bound = 1e9
    return routers


def run(routers: list[ControllerDriver], until: int, lose: bool = False) -> int:
    """Advance the time and deliver messages; returns how many were sent."""
    count = 0
    while routers[0].now < until:
        in_transit: list[tuple[int, SendGossip]] = []
        for sender, driver in enumerate(routers):
            in_transit += [
                (sender, message) for message in gossip_messages(driver.run_until(driver.now + 50_000))
            ]
        for sender, message in in_transit:
            receivers = [n for n in range(3) if n != sender] if message.to is None else [message.to]
            count += len(receivers)
            for n in receivers if not lose else []:
                routers[n].handle(PeerMessage(sender, message.body))
    return count


def test_routers_avoid_engines_on_which_others_report_threads() -> None:
    routers = fleet()
    used = [dispatches(action for _, action in driver.actions)[0].engine for driver in routers]
    for n in range(20, 32):  # the second driver fills one engine
        routers[1].submit(n, cost=1_000, group=7.0)
        routers[1].controller.queries.by_id[n].in_flight[0].engine.recent_groups.clear()
    run(routers, routers[0].now + 2 * SECOND)
    first = routers[0].controller
    threads_by_engine = {e.entry.engine: e.threads for e in routers[1].controller.engines.by_id.values()}
    for name, e in first.engines.by_id.items():
        assert e.peer_threads == threads_by_engine[name] + (used[2] == name)
    fullest = max(first.engines.by_id.values(), key=lambda e: e.peer_threads)
    targets = [dispatches(routers[0].submit(n, cost=1_000, group=float(n)))[0].engine for n in range(40, 52)]
    assert targets.count(fullest.entry.engine) <= 3


def test_messages_are_few_and_short() -> None:
    routers = fleet()
    count = run(routers, routers[0].now + 4 * SECOND)
    assert 0 < count <= (4 * SECOND // gossip.GOSSIP_PERIOD_US + 1) * 2 * len(routers)
    assert all(
        len(message.body) <= 256
        for driver in routers
        for message in gossip_messages([action for _, action in driver.actions])
    )


def test_without_messages_routers_decide_by_their_own_load() -> None:
    routers = fleet()
    run(routers, routers[0].now + SECOND)
    run(routers, routers[0].now + 3 * SECOND, lose=True)
    routers_with_reports = [
        g for g in routers if g.now - g.controller.gossip.sums_at_us < 2 * gossip.GOSSIP_PERIOD_US
    ]
    assert not routers_with_reports
    assert len(dispatches(routers[0].submit(90, cost=1_000))) == 1


def test_old_messages_have_no_effect() -> None:
    routers = fleet()
    routers[0].run_until(routers[0].now + SECOND)
    old = gossip_messages([action for _, action in routers[0].actions])[0].body
    routers[0].run_until(routers[0].now + 3 * SECOND)
    before = routers[0].controller.gossip.sums_at_us
    routers[0].handle(PeerMessage(1, old))
    assert routers[0].controller.gossip.sums_at_us == before


def test_routers_that_may_not_gossip_send_no_message() -> None:
    driver = ControllerDriver(settings(SAFE, router_count=3), engines=2)
    driver.submit(1)
    assert gossip_messages(driver.run_until(driver.now + 5 * SECOND)) == []


@hypothesis_settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=256), st.integers(0, 2**16 - 1))
def test_any_bytes_are_received_without_an_error(body: bytes, sender: int) -> None:
    driver = ControllerDriver(GOSSIP_SETTINGS, engines=3)
    driver.submit(1, cost=100_000)
    driver.handle(PeerMessage(sender, body))
    driver.run_until(driver.now + SECOND)
    driver.handle(PeerMessage(sender, body))
    assert len(dispatches(driver.submit(2, cost=1_000))) == 1
