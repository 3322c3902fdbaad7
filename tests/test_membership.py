"""Membership: its messages, its state machine under faults in simulated time, and the division of limits."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from click.testing import CliRunner
from helpers import SAFE, SECOND, engine, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from slipbay.cli import main as cli
from slipbay.emulator.membership_model import EPOCH, MembershipModel
from slipbay.emulator.network import LinkConditions
from slipbay.membership import codec
from slipbay.membership.codec import MemberState, Message, MessageKeys, MessageType, Update
from slipbay.membership.fair_share import FairShare
from slipbay.membership.service import MembershipService
from slipbay.membership.settings import MembershipConfig
from slipbay.membership.state_machine import MembershipStateMachine
from slipbay.membership.timing import Timing
from slipbay.peer_channel import frame
from slipbay.policy.controller import Controller
from slipbay.policy.events import EngineEntry, EngineList, FleetSize, ListKind
from slipbay.policy.gossip import PeerLoads
from slipbay.policy.gossip_codec import HEAD as DECISIONS_HEAD
from slipbay.policy.gossip_codec import ITEM as DECISIONS_ITEM

LOSSY = LinkConditions(loss=0.1, double=0.05)
BYTE = st.integers(0, 255)
SHORT = st.integers(0, 2**16 - 1)
LONG = st.integers(0, 2**32 - 1)
STATES = st.sampled_from([MemberState.ALIVE, MemberState.GONE, MemberState.LEFT])
CLAIMS = st.builds(Update, st.integers(0, 1000), STATES, st.integers(0, 3) | LONG, st.just(0)) | st.builds(
    Update, SHORT, st.just(MemberState.SUSPECT), LONG, SHORT
)
KINDS = st.sampled_from([MessageType.PING, MessageType.ACK, MessageType.UPDATES])
MESSAGES = st.builds(
    Message,
    KINDS,
    SHORT,
    LONG,
    SHORT,
    LONG,
    SHORT,
    BYTE,
    st.integers(0, 63),
    st.just(0),
    st.just(()),
    updates=st.lists(CLAIMS, max_size=300, unique_by=lambda item: item.number).map(
        lambda items: tuple(
            sorted(
                codec.fit_updates(items, frame.MAX_BYTES - codec.base_bytes(0, True))[0],
                key=lambda item: (item.state, item.incarnation, item.number),
            )
        )
    ),
)


@given(MESSAGES, st.sampled_from([b"", b"k" * 16]))
@hypothesis_settings(derandomize=True, deadline=None)
def test_a_message_decodes_to_itself_and_is_not_policy_gossip(message: Message, key: bytes) -> None:
    data = codec.encode(message, key)
    assert len(data) <= frame.MAX_BYTES
    assert frame.is_peer_message(data)
    assert codec.decode(data, [key] if key else []) == message
    assert (len(data) - DECISIONS_HEAD.size) % DECISIONS_ITEM.size  # an earlier release finds no item in it
    assert not PeerLoads().receive(data, [])
    assert not frame.is_peer_message(DECISIONS_HEAD.pack(int.from_bytes(b"slb\1", "little"), 1))


@given(
    st.binary(max_size=300)
    | MESSAGES.map(codec.encode).flatmap(
        lambda data: st.integers(0, len(data)).map(lambda n: data[:n] + b"\x07" * (n % 3))
    )
)
@hypothesis_settings(derandomize=True, deadline=None)
def test_corrupt_datagrams_do_not_change_what_peers_receive(data: bytes) -> None:
    member = MembershipStateMachine(0, 4, 7, Random(1), EPOCH)
    before = member.live_numbers, member.digest
    member.receive(EPOCH, data, 3)
    assert len(member.live_numbers) >= 3
    assert member.table.state(0) is MemberState.ALIVE
    if not frame.is_peer_message(data):
        assert (member.live_numbers, member.digest) == before
        assert member.counts["garbled"] == 1


def test_messages_without_a_valid_key_are_dropped_and_keys_rotate_without_interruption() -> None:
    ping = Message(MessageType.PING, 1, 0, 3, 0, 9)
    member = MembershipStateMachine(0, 3, 7, Random(1), EPOCH, keys=MessageKeys(b"n" * 16, b"o" * 16))
    assert not member.receive(EPOCH, codec.encode(ping), 1)
    assert member.counts["garbled"] == 1
    assert not member.receive(EPOCH, codec.encode(ping, b"x" * 16), 1)
    assert member.counts["garbled"] == 2
    for key in (b"o" * 16, b"n" * 16):
        assert member.receive(EPOCH, codec.encode(ping, key), 1)
    assert not member.receive(EPOCH, codec.encode(ping, b"n" * 16), 2)
    assert member.counts["foreign"] == 1


def test_kinds_and_versions_of_later_releases_are_skipped() -> None:
    data = bytearray(codec.encode(Message(MessageType.PING, 1, 1, 3, 0, 9)))
    member = MembershipStateMachine(0, 3, 7, Random(1), EPOCH)
    for offset, value in ((4, frame.FLAG | 99), (3, 1), (3, 3)):
        later = bytes(data[:offset]) + bytes([value]) + bytes(data[offset + 1 : -frame.CRC_BYTES])
        assert not member.receive(EPOCH, later + frame.checksum(later, b""), 1)
    assert member.counts["skipped"] == 3
    assert not member.counts["garbled"]


@pytest.mark.parametrize(("size", "seed"), [(3, 1), (24, 1), (24, 2), (60, 3)])
def test_all_declare_a_killed_router_gone_within_3_s_and_no_running_one(size: int, seed: int) -> None:
    fleet = MembershipModel(size, seed, weather=LOSSY)
    fleet.run(20)
    assert fleet.settled()
    fleet.kill([size // 2])
    fleet.run(3)
    assert fleet.settled()
    fleet.start(size // 2)
    assert fleet.until_settled(5) <= 5


def test_seven_in_ten_routers_are_killed_and_restarted() -> None:
    fleet = MembershipModel(24, 4, weather=LOSSY)
    fleet.run(3)
    fleet.kill(range(17))
    assert fleet.until_settled(5) <= 5
    for me in range(17):
        fleet.start(me)
    assert fleet.until_settled(5) <= 5


@pytest.mark.parametrize("sends_gossip", [True, False])
def test_an_earlier_release_counts_as_alive_while_its_gossip_is_received(sends_gossip: bool) -> None:
    """Guards against shares that grow because routers without membership count as dead."""
    view = MembershipStateMachine(0, 3, 1, Random(1), 0, grace_us=3 * SECOND)
    now = 0
    grace = 3 * SECOND
    while now < 10 * SECOND:
        now += 50_000
        if sends_gossip and now % SECOND == 0:
            view.detector.record_other_message(now, 1)
        view.tick(now)
        assert 1 in view.live_numbers or now > grace
    assert (1 in view.live_numbers) == sends_gossip
    assert 2 not in view.live_numbers


def test_a_partition_by_zone_heals_and_each_side_has_its_own_members_alive() -> None:
    fleet = MembershipModel(16, 5, weather=LOSSY, zones=2)
    even = range(0, 16, 2)
    odd = range(1, 16, 2)
    fleet.run(3)
    fleet.network.cut(even, odd)
    fleet.run(8)
    for view in fleet.views():
        assert view.live_numbers == list(even if view.local_number % 2 == 0 else odd)
    fleet.network.heal()
    assert fleet.until_settled(5) <= 5


def test_a_suspended_router_accuses_no_other_and_rejoins_at_once() -> None:
    fleet = MembershipModel(24, 6, weather=LOSSY)
    fleet.run(5)
    fleet.stop(7)
    fleet.run(5)
    assert all(view.table.state(7) is MemberState.GONE for view in fleet.views() if view.local_number != 7)
    fleet.go_on(7)
    stopped = fleet.members[7]
    assert stopped is not None
    assert len(stopped.live_numbers) == 24
    assert fleet.until_settled(5) <= 5


def test_indirect_probes_bridge_a_link_that_fails_in_one_direction() -> None:
    fleet = MembershipModel(12, 7, weather=LOSSY)
    fleet.run(2)
    fleet.network.cut([0], [1], both=False)
    fleet.run(20)
    assert fleet.settled()


def test_a_router_that_announces_its_shutdown_is_left() -> None:
    fleet = MembershipModel(12, 8, weather=LOSSY)
    fleet.run(2)
    fleet.leave(3)
    fleet.run(0.7)
    assert (
        sum(view.table.state(3) is MemberState.LEFT for view in fleet.views() if view.local_number != 3) >= 10
    )
    assert fleet.until_settled(5) <= 5


def test_late_datagrams_of_an_earlier_process_do_not_revive_it() -> None:
    """Datagrams of the earlier process of a number arrive late, before and after the start of its next
    process."""
    fleet = MembershipModel(6, 9)
    old: list[bytes] = []
    send = fleet.network.send

    def record_and_send(source: int, target: int, data: bytes) -> None:
        old.extend([data] * (source == 2))
        send(source, target, data)

    fleet.network.send = record_and_send  # type: ignore[method-assign]
    fleet.run(3)
    fleet.network.send = send  # type: ignore[method-assign]
    fleet.kill([2])
    fleet.run(4)
    for data in old:
        fleet._deliver(0, 2, data)
    assert fleet.views()[0].table.state(2) is MemberState.GONE
    fleet.start(2)
    assert fleet.until_settled(5) <= 5
    new = fleet.members[2]
    assert new is not None
    for data in old:
        fleet._deliver(0, 2, data)
    assert fleet.views()[0].table.members[2].start_id == new.start_id
    fleet.run(3)
    assert fleet.settled()


@pytest.mark.parametrize("seed", range(6))
def test_tables_agree_once_faults_stop_and_messages_stay_within_their_rate(seed: int) -> None:
    """Random histories of kills, restarts, suspensions and partitions."""
    random = Random(seed)
    size = 10
    fleet = MembershipModel(size, seed, weather=LinkConditions(loss=0.2, double=0.1))
    for _ in range(25):
        before = dict(fleet.network.bytes_from)
        match random.randrange(5):
            case 0:
                fleet.kill([random.randrange(size)])
            case 1:
                for me in [n for n in range(size) if fleet.members[n] is None][:2]:
                    fleet.start(me)
            case 2 if fleet.members[me := random.randrange(size)] is not None:
                fleet.stop(me)
            case 3:
                side = random.sample(range(size), random.randrange(1, size))
                fleet.network.cut(side, set(range(size)) - set(side), both=random.random() < 0.5)
            case _:
                fleet.network.heal()
                for me in list(fleet.stopped):
                    fleet.go_on(me)
        fleet.run(1)
        assert all(sent - before.get(me, 0) <= 1_000 for me, sent in fleet.network.bytes_from.items())
    fleet.network.heal()
    for me in list(fleet.stopped):
        fleet.go_on(me)
    assert fleet.until_settled(10) <= 10
    assert all(
        len(view.table.members) <= size and len(view.updates.pending) <= size for view in fleet.views()
    )


def test_two_processes_at_one_incarnation_do_not_alternate() -> None:
    """A process starts before any router detects the end of the previous one, whose datagrams still
    arrive."""
    member = MembershipStateMachine(0, 4, 7, Random(1), EPOCH)
    member.receive(EPOCH, codec.encode(Message(MessageType.PING, 1, 0, 50, 0, 1)), 1)
    answers = member.receive(EPOCH + 1, codec.encode(Message(MessageType.PING, 1, 0, 60, 0, 1)), 1)
    sent_updates = [update for _, data in answers for update in codec.decode(data).updates]  # type: ignore[union-attr]
    assert [(n.number, n.state, n.incarnation) for n in sent_updates] == [(1, MemberState.SUSPECT, 0)]
    assert member.table.members[1].start_id == 50
    assert member.table.state(1) is MemberState.ALIVE
    member.receive(EPOCH + 2, codec.encode(Message(MessageType.PING, 1, 1, 60, 0, 2)), 1)
    member.receive(EPOCH + 3, codec.encode(Message(MessageType.PING, 1, 0, 50, 0, 3)), 1)
    assert member.table.members[1].start_id == 60
    assert member.table.members[1].incarnation == 1


def test_a_router_that_only_others_reach_is_reported_as_unreachable() -> None:
    fleet = MembershipModel(6, 12)
    fleet.run(1)
    fleet.network.cut([1], [0], both=False)
    fleet.run(6)
    view = fleet.views()[0]
    assert view.detector.unreachable(fleet.now + fleet.offsets[0]) == [1]
    assert (len(view.live_numbers), view.size) == (6, 6)
    assert not fleet.views()[2].detector.unreachable(fleet.now + fleet.offsets[2])


def test_equal_seeds_give_equal_bytes() -> None:
    def run_fleet() -> tuple[int, dict[int, int]]:
        fleet = MembershipModel(12, 11, weather=LOSSY)
        fleet.run(3)
        fleet.kill([4])
        fleet.run(3)
        return fleet.network.messages, dict(fleet.network.bytes_from)

    assert run_fleet() == run_fleet()


def test_the_count_of_a_fair_share_grows_at_once_and_falls_after_a_delay() -> None:
    shares = FairShare(10, 3 * SECOND)
    assert shares.count(1 * SECOND, 10) == 10
    assert shares.count(2 * SECOND, 3) == 10
    assert shares.count(4 * SECOND, 3) == 10
    assert shares.count(5 * SECOND + 1, 3) == 3
    assert shares.count(6 * SECOND, 9) == 9
    assert shares.count(6 * SECOND, 0) == 9
    assert shares.count(20 * SECOND, 0) == 1


def test_the_controller_divides_capacity_by_the_fleet_size() -> None:
    controller = Controller(settings(SAFE, router_count=8), 1)
    controller.handle(SECOND, [EngineList(ListKind.CACHED, (EngineEntry(engine(0)),))])
    initial_share = controller.engines.thread_share
    controller.handle(SECOND, [FleetSize(2)])
    controller.update_thread_share(SECOND)
    assert controller.engines.thread_share == 4 * initial_share


def test_an_update_with_a_far_higher_incarnation_is_not_applied() -> None:
    """A garbled message once made all routers declare a router gone at an incarnation that it never
    refuted."""
    member = MembershipStateMachine(0, 3, 7, Random(1), EPOCH)
    far_update = Update(1, MemberState.GONE, 2**22)
    member.receive(EPOCH, codec.encode(Message(MessageType.UPDATES, 2, 0, 3, 0, updates=(far_update,))), 2)
    assert member.table.state(1) is MemberState.ALIVE
    assert member.counts["garbled"] == 1
    changed = bytearray(
        codec.encode(Message(MessageType.UPDATES, 2, 0, 3, 0, updates=(Update(1, MemberState.ALIVE, 9),)))
    )
    changed[codec.HEAD.size] |= MemberState.GONE
    member.receive(EPOCH, bytes(changed), 2)
    assert member.table.state(1) is MemberState.ALIVE
    assert member.counts["garbled"] == 2


def test_status_and_metrics_show_the_membership(monkeypatch: pytest.MonkeyPatch) -> None:
    config: Any = SimpleNamespace(
        settings=settings(SAFE, router_count=3),
        peers=[("127.0.0.1", 1)] * 3,
        seed=7,
        name="n0",
        zones=["east", "west"],
    )
    membership = MembershipConfig(Timing(), 1, b"", b"", True, True)
    unused = cast(Any, SimpleNamespace())
    service = MembershipService(config, membership, unused, lambda: EPOCH, unused, lambda count: None)
    service.machine.receive(EPOCH, codec.encode(Message(MessageType.PING, 1, 0, 5, 0, 9, zone=1)), 1)
    service.machine.receive(
        EPOCH,
        codec.encode(Message(MessageType.UPDATES, 1, 0, 5, 0, updates=(Update(2, MemberState.GONE, 0),))),
        1,
    )
    monkeypatch.setattr(
        "slipbay.membership.status_client.request_status", lambda target, seconds: service.status()
    )
    result = CliRunner().invoke(cli, ["fleet", "status", "127.0.0.1:7946"])
    assert result.exit_code == 0
    assert "living     2 of 3, by zone: east 1, west 1" in result.output
    lines = CliRunner().invoke(cli, ["fleet", "metrics", "127.0.0.1:7946"]).output.splitlines()
    assert 'slipbay_fleet_living{router="n0"} 2.0' in lines
    assert 'slipbay_fleet_routers{router="n0",state="gone"} 1.0' in lines
    assert 'slipbay_fleet_zone_living{router="n0",zone="west"} 1.0' in lines
    assert 'slipbay_fleet_events_total{kind="received",router="n0"} 2.0' in lines
