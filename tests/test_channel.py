"""The peer channel: frames, byte budget, leases, settings and status, and the multiplexer on the network of
the emulator."""

from __future__ import annotations

import itertools
import json
import re
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Annotated, Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import HOST, SETTINGS
from test_process import configure

from slipbay.config.router import load
from slipbay.config.validation import ConfigError, read_file
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Rejected, Request
from slipbay.emulator.channel_fleet import ChannelFleet
from slipbay.membership import codec
from slipbay.membership.settings import load_membership
from slipbay.peer_channel import frame
from slipbay.peer_channel.budget import WINDOW_US, ByteBudget
from slipbay.peer_channel.config_schema import BudgetShares
from slipbay.peer_channel.external_traffic import truncate_gossip
from slipbay.peer_channel.frame import Frame
from slipbay.peer_channel.interfaces import MAX_BODY_BYTES, ChannelEndpoint, FrameKind, Send
from slipbay.peer_channel.leases import ClockBounds, GrantedLease, HeldLease, startup_wait_us
from slipbay.peer_channel.metrics import exposition
from slipbay.peer_channel.multiplexer import Multiplexer
from slipbay.peer_channel.settings import ChannelConfig, load_channel, require_channel
from slipbay.peer_channel.status_pages import encode_request
from slipbay.peer_channel.udp_link import UdpLink
from slipbay.policy.controller import Controller
from slipbay.policy.gossip import PeerLoads
from slipbay.policy.settings import Effect, ServiceClass, Settings

KEY = b"a key of sixteen"
GOSSIP_SETTINGS = {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "mayTell": True}}


@given(st.binary(max_size=MAX_BODY_BYTES), st.booleans(), st.integers(16, 127))
def test_a_frame_decodes_to_itself_and_routers_without_a_channel_skip_it(
    body: bytes, keyed: bool, kind: int
) -> None:
    key = KEY if keyed else b""
    data = frame.encode(Frame(kind, 513, 65_535, body), key)
    assert len(data) <= frame.MAX_BYTES
    assert frame.is_framed(data)
    assert (len(data) - 5) % 3
    assert frame.decode(data, [key] if key else []) == Frame(kind, 513, 65_535, body)
    assert codec.decode(data, [key] if key else []) is None  # membership counts it as skipped
    with pytest.raises(frame.CorruptFrameError):
        frame.decode(data[:-1] + bytes([data[-1] ^ 1]), [key] if key else [])


@given(
    st.lists(st.tuples(st.integers(0, 300_000), st.integers(0, 19), st.integers(1, 256)), max_size=200),
    st.dictionaries(st.integers(0, 18), st.floats(0, 0.2), max_size=5),
)
def test_no_window_exceeds_the_rate_and_each_kind_gets_its_share(
    requests: list[tuple[int, int, int]], parts: dict[int, float]
) -> None:
    budget = ByteBudget(1_000, parts, 0)
    now = 0
    granted = list[tuple[int, int, int]]()
    for wait, kind, size in requests:
        now += wait
        recent = [(k, s) for sent_us, k, s in granted if sent_us > now - WINDOW_US]
        free_share = 1_000 * parts.get(kind, 0.0) - sum(s for k, s in recent if k == kind)
        if budget.try_spend(now, kind, size):
            granted.append((now, kind, size))
            assert sum(s for _, s in recent) + size <= 1_000
        else:
            assert size > free_share


def test_the_rate_without_a_guarantee_is_divided_by_priority() -> None:
    budget = ByteBudget(1_000, {FrameKind.VIEW: 0.2}, 0)
    kinds = (FrameKind.VIEW, FrameKind.QUOTA, FrameKind.GATHER, FrameKind.DECISIONS, 99)
    assert [budget.available_bytes(0, kind) for kind in kinds] == [1_000, 700, 500, 400, 300]
    assert all(budget.try_spend(0, FrameKind.GATHER, 100) for _ in range(5))
    assert budget.sent_bytes(0)[FrameKind.GATHER] == 500
    assert [budget.available_bytes(0, kind) for kind in kinds] == [500, 200, 0, 0, 0]
    # this claim reserves the rate without a guarantee
    assert not budget.try_spend(0, FrameKind.GATHER, 100)
    assert [budget.available_bytes(0, kind) for kind in kinds] == [400, 100, 300, 0, 0]
    assert [budget.available_bytes(WINDOW_US, kind) for kind in kinds] == [900, 600, 800, 300, 200]


@pytest.mark.parametrize("step_us", [10_000, 37_000, 90_000])
def test_greedy_kinds_leave_each_kind_its_share_and_the_longest_message(step_us: int) -> None:
    """Guards against starvation, with the default shares. Two kinds whose messages can be truncated take all
    available bytes, and two kinds request the longest message all the time. A kind without a share requests
    the longest message five times per second, and gets it within three turns."""
    parts: dict[int, float] = {
        FrameKind[name.upper()]: part for name, part in msgspec.structs.asdict(BudgetShares()).items()
    }
    budget = ByteBudget(1_000, parts, 0)
    sent_bytes = Counter[int]()
    sent_us = list[int]()
    for now in range(0, 60_000_000, step_us):
        for kind in (FrameKind.DECISIONS, FrameKind.VIEW):
            while size := min(256, budget.available_bytes(now, kind)):
                assert budget.try_spend(now, kind, size)
                sent_bytes[kind] += size
        for kind in (FrameKind.QUOTA, FrameKind.COMEBACK):
            while budget.try_spend(now, kind, 256):
                sent_bytes[kind] += 256
        if now % 200_000 < step_us and budget.try_spend(now, FrameKind.GATHER, 256):
            sent_us.append(now)
    assert max(b - a for a, b in itertools.pairwise([0, *sent_us, 60_000_000])) <= 3 * (WINDOW_US + 200_000)
    assert sent_bytes[0] >= 72 * 60
    assert sent_bytes[1] >= 342 * 60
    assert min(sent_bytes[16], sent_bytes[17]) >= 60 * 60


def test_a_kind_that_is_added_late_gets_its_share_after_a_window_and_no_rate_is_exceeded() -> None:
    budget = ByteBudget(1_000, {}, 0)
    assert budget.try_spend(0, FrameKind.VIEW, 1_000)
    budget.guarantee_share(FrameKind.QUOTA, 0.3)
    assert not budget.try_spend(WINDOW_US - 1, FrameKind.QUOTA, 1)
    assert budget.try_spend(WINDOW_US, FrameKind.VIEW, 700)
    assert not budget.try_spend(WINDOW_US, FrameKind.VIEW, 1)
    assert budget.try_spend(WINDOW_US, FrameKind.QUOTA, 300)
    with pytest.raises(ValueError):
        budget.guarantee_share(FrameKind.GATHER, 0.8)


def test_policy_gossip_is_truncated_to_complete_items_with_the_most_threads_first() -> None:
    loads = PeerLoads()
    engines = [SimpleNamespace(digest=n, threads=n, peer_threads=0) for n in range(1, 90)]
    body = loads.start_period(7, cast(Any, engines))
    assert len(body) == 254
    assert [len(truncate_gossip(body, room)) for room in (256, 253, 100, 5, 4, 0)] == [254, 251, 98, 5, 0, 0]
    other = PeerLoads()
    other.start_period(7, [])
    assert not other.receive(truncate_gossip(body, 100), [])
    assert other.reports == 2
    assert sorted(other.sums) == list(range(59, 90))
    mux = Multiplexer(0, 3, 7, 0, shares={FrameKind.DECISIONS: 0.2, FrameKind.VIEW: 0.8})
    assert [len(mux.fit_gossip(0, body) or b"") for _ in range(3)] == [200, 0, 0]
    assert mux.counts["over budget 0"] == 0
    assert mux.counts["bytes 0"] == 200


class Echo:
    """Sends its number to all routers once per second, and records the messages that it receives."""

    def __init__(self, me: int, size: int, now: int) -> None:
        self.me = me
        self.size = size
        self.due = now
        self.received: list[tuple[int, bytes]] = []

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        self.received.append((sender, body))
        return []

    def tick(self, now: int) -> list[Send]:
        self.due = now + 1_000_000
        return [(to, bytes([self.me])) for to in range(self.size) if to != self.me]

    def next_tick(self) -> int:
        return self.due


def test_emulated_routers_receive_messages_unless_they_are_killed_stopped_or_disconnected() -> None:
    def make(me: int, life: int, now: int) -> dict[int, ChannelEndpoint]:
        return {FrameKind.QUOTA: Echo(me, 4, now)}

    routers = ChannelFleet(4, make, drift_ppm=500, key=KEY)
    routers.start()
    routers.run(0.5)
    received = [cast(Echo, routers.party(me, FrameKind.QUOTA)).received for me in range(4)]
    assert [sorted(router_messages) for router_messages in received] == [
        [(n, bytes([n])) for n in range(4) if n != me] for me in range(4)
    ]
    routers.kill([3])
    routers.stop(2)
    routers.network.cut([0], [1])
    for messages in received:
        messages.clear()
    routers.run(1.0)
    assert received[0] == received[1] == received[2] == []
    routers.go_on(2)
    assert sorted(received[2]) == [(0, b"\0"), (1, b"\1")]


def test_messages_without_a_known_endpoint_are_counted_and_skipped() -> None:
    mux = Multiplexer(0, 3, 7, 0, key=KEY)
    endpoint = Echo(0, 3, 0)
    mux.add(FrameKind.QUOTA, endpoint)
    good = frame.encode(Frame(FrameKind.QUOTA, 1, 9, b"x"), KEY)
    assert not mux.receive(0, good, 1)
    assert endpoint.received == [(1, b"x")]
    mux.receive(0, frame.encode(Frame(FrameKind.LATER, 1, 9, b"x"), KEY), 1)
    mux.receive(0, frame.encode(Frame(FrameKind.QUOTA, 1, 9, b"x"), b"another key of 16"), 1)
    mux.receive(0, good, 2)
    mux.receive(0, good, None)
    assert len(endpoint.received) == 1
    assert mux.counts == {"received": 1, "received 17": 1, "skipped": 1, "garbled": 1, "foreign": 2}


@given(
    st.integers(1, 60_000_000),
    st.integers(-500, 500),
    st.integers(-500, 500),
    st.integers(0, 5_000),
    st.integers(0, 1_000_000),
)
def test_a_lease_is_over_for_its_granter_only_after_it_ended_for_its_holder(
    length: int, granter_ppm: int, holder_ppm: int, jump: int, delay: int
) -> None:
    """In true time the request is at 0 and the grant ``delay`` later. Both clocks drift, and the granter's
    jumps."""
    clocks = ClockBounds(500, 5_000)
    lease = HeldLease(0, length)
    granted = GrantedLease(0, length)
    granter_rate = 1 + granter_ppm / 1e6
    true_us = (
        delay + (clocks.safe_wait_us(length) - jump) / granter_rate + 1
    )  # the first time at which it is over
    assert granted.has_ended(int((true_us - delay) * granter_rate) + jump, clocks)
    assert not granted.has_ended(int((true_us - delay - 3) * granter_rate) + jump, clocks)
    assert not lease.is_valid(int(true_us * (1 + holder_ppm / 1e6)))


Step = tuple[int, int, int]  # duration in us of true time, and by how many ppm each of the two clocks is fast


def violations(
    steps: list[Step],
    jumps: tuple[int, int],
    at: tuple[int, int],
    delay: int,
    length: int,
    clocks: ClockBounds,
    use_old_time: bool = False,
) -> int:
    """How often a lease is over for its granter while it is valid for its holder.

    The rates of the clocks differ by step, and each clock jumps once, before the step with the number in
    ``at``. ``use_old_time``: the holder does not read its clock again, but uses the time of the first step,
    as after a suspension of its process.
    """
    holder = 1_000_000.0
    granter = 5_000_000.0
    lease = HeldLease(int(holder), length)
    first_time = int(holder)
    # the request and the reply are in transit
    holder = holder + delay
    granter = granter + delay
    granted = GrantedLease(int(granter), length)
    overlaps = 0
    for number, (true_us, holder_ppm, granter_ppm) in enumerate(steps):
        holder += jumps[0] * (number == at[0]) + true_us * (1 + holder_ppm / 1e6)
        granter += jumps[1] * (number == at[1]) + true_us * (1 + granter_ppm / 1e6)
        overlaps += granted.has_ended(int(granter), clocks) and lease.is_valid(
            first_time if use_old_time else int(holder)
        )
    return overlaps


STEPS = st.lists(
    st.tuples(st.integers(0, 400_000), st.integers(-500, 500), st.integers(-500, 500)),
    min_size=1,
    max_size=40,
)
JUMPS = st.tuples(st.integers(-5_000, 5_000), st.integers(-5_000, 5_000))
PLACES = st.tuples(st.integers(0, 40), st.integers(0, 40))


@given(STEPS, JUMPS, PLACES, st.integers(0, 1_000_000), st.integers(1, 4_000_000))
def test_no_drift_or_jump_within_bounds_lets_holder_and_granter_overlap(
    steps: list[Step], jumps: tuple[int, int], at: tuple[int, int], delay: int, length: int
) -> None:
    assert violations(steps, jumps, at, delay, length, ClockBounds(500, 5_000)) == 0


def test_overlaps_are_found_if_drift_or_jump_is_not_allowed_for_or_the_time_is_old() -> None:
    slow = [(1_000_000, -500, 500)] * 3 + [(500, -500, 500)] * 20
    assert violations(slow, (0, 0), (0, 0), 0, 3_000_000, ClockBounds(0, 0)) > 0
    jump = [(100_000, 0, 0)] * 9 + [(98_000, 0, 0)]
    assert violations(jump, (0, 5_000), (0, 5), 0, 1_000_000, ClockBounds(500, 0)) > 0
    stopped = [(9_000_000, 0, 0)]
    assert violations(stopped, (0, 0), (0, 0), 0, 1_000_000, ClockBounds(), use_old_time=True) > 0
    assert violations(stopped, (0, 0), (0, 0), 0, 1_000_000, ClockBounds()) == 0


@given(st.integers(0, 3_000_000), st.integers(-500, 500), st.integers(-500, 500), st.integers(0, 5_000))
def test_leases_of_an_earlier_incarnation_are_over_after_the_wait_of_the_next(
    before: int, granter_ppm: int, holder_ppm: int, jump: int
) -> None:
    """The last grant is sent ``before`` us before the start of the new incarnation, when its holder's clock
    shows 0. The lease has the maximum length, 3 s. A jump of the new incarnation's clock ends its wait early.
    """
    clocks = ClockBounds()
    longest = 3_000_000
    wait_us = (startup_wait_us(longest, clocks) - jump) / (1 + granter_ppm / 1e6)  # in true time
    lease = HeldLease(0, longest)
    assert not lease.is_valid(int((before + wait_us) * (1 + holder_ppm / 1e6)))


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    most: Annotated[int, msgspec.Meta(ge=1)] = 1


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    rate: float
    names: list[str] = []
    part: Part = Part()


@pytest.mark.parametrize(
    "text, expected",
    [
        ("enabled = 1", "x.toml: enabled: want true or false; got 1"),
        ("enabled = true\nrate = 'a'", "x.toml: rate: Expected `float`, got `str`"),
        ("enabled = true\nrate = 'a'", "x.toml: rate: Expected `float`, got `str`; got 'a'"),
        ("enabled = true\nrate = nan", "x.toml: rate: want a finite number; got nan"),
        ("enabled = true\nrate = 1\nnames = ['', inf]", "x.toml: names[1]: want a finite number; got inf"),
        ("enabled = true", "x.toml: rate: missing"),
        ("enabled = true\nrate = 1\nother = 1", "x.toml: other: no such key; there are rate, names, part"),
        ("enabled = true\nrate = 1\npart.x = 1", "x.toml: part.x: no such key; there are most"),
        ("enabled = true\nrate = 1\npart.most = 0", "x.toml: part.most: Expected `int` >= 1; got 0"),
        ("enabled = true\nrate = 1\nnames = [1]", "x.toml: names[0]: Expected `str`, got `int`; got 1"),
        ("enabled = ", "x.toml: Invalid value"),
    ],
)
def test_errors_in_an_operator_file_name_file_and_key(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "x.toml"
    assert read_file(path, Setting) is None
    path.write_text("enabled = false\nrate = 'whatever'")
    assert read_file(path, Setting) is None
    path.write_text(text)
    with pytest.raises(ConfigError) as problem:
        read_file(path, Setting)
    assert str(problem.value).startswith(expected)


def channel_config(folder: Path, text: str, view: str = "", **more: object) -> ChannelConfig | None:
    (folder / "channel.toml").write_text(text)
    (folder / "fleet.toml").write_text(view)
    (folder / "key").write_text("a key of sixteen bytes\n")
    environment = {
        "GW_CONFIG": str(
            configure(
                folder,
                **{"peers": [f"{HOST}:3"], "peer_listen": f"{HOST}:3", "settings": GOSSIP_SETTINGS, **more},
            )
        ),
        "SLIPBAY_CHANNEL": str(folder / "channel.toml"),
        "SLIPBAY_FLEET": str(folder / "fleet.toml"),
    }
    config = load(environment)
    return load_channel(config, environment, load_membership(config, environment))


@pytest.mark.parametrize(
    "text, expected",
    [
        ("rate = 2000", "channel.toml: rate: Expected `float` <= 1000.0"),
        ("key_file = 'none'", "channel.toml: key_file: "),
        ("old_key_file = 'key'", "channel.toml: old_key_file: want"),
        ("parts.decisions = 0.9", "channel.toml: parts: want at most 0.744 together"),
        ("parts.nobody = 0.1", "channel.toml: parts.nobody: "),
    ],
)
def test_errors_in_channel_toml(tmp_path: Path, text: str, expected: str) -> None:
    assert channel_config(tmp_path, text) is None
    with pytest.raises(ConfigError, match=f"^{re.escape(expected)}"):
        channel_config(tmp_path, f"enabled = true\n{text}")
    with pytest.raises(ConfigError, match="^channel.toml: enabled: .* allow no messages"):
        channel_config(tmp_path, "enabled = true", settings=SETTINGS)


def test_the_membership_keys_also_sign_the_channel_unless_it_has_its_own(tmp_path: Path) -> None:
    enabled_fleet = "enabled = true\nkey_file = 'key'"
    for text, fleet_text, key_source in (
        ("", "", ""),
        ("", enabled_fleet, "fleet.toml"),
        ("", enabled_fleet.replace("true", "false"), ""),
        ("key_file = 'key'", "", "channel.toml"),
    ):
        channel = channel_config(tmp_path, f"enabled = true\n{text}", fleet_text)
        assert channel is not None
        assert require_channel(channel, "quota.toml") is channel
        assert (channel.key_source, channel.key) == (
            key_source,
            b"a key of sixteen bytes" if key_source else b"",
        )
    with pytest.raises(ConfigError, match="^quota.toml: enabled: .*set enabled = true in channel.toml$"):
        require_channel(None, "quota.toml")


def test_only_commands_on_the_same_host_get_the_counters() -> None:
    class Socket:
        datagram_handler: Any = staticmethod(lambda *_: False)
        answered: list[bytes] = []

        def send_to(self, page: bytes, address: object) -> None:
            self.answered.append(page)

    mux = Multiplexer(0, 3, 7, 0, shares={FrameKind.QUOTA: 0.2})
    peers = Socket()
    mux.add(FrameKind.QUOTA, Echo(0, 3, 0))
    mux.tick(0)
    mux.receive(0, frame.encode(Frame(FrameKind.QUOTA, 1, 9, b"x")), 1)
    mux.receive(0, frame.encode(Frame(FrameKind.LATER, 1, 9, b"x")), 1)
    link = UdpLink(
        mux,
        cast(Any, peers),
        cast(Any, SimpleNamespace(at=lambda *_: SimpleNamespace(cancel=lambda: None))),
        lambda: 0,
    )
    link.topics[0] = lambda: {"name": "n0", **mux.status()}
    for number, requested, address in (
        (None, 0, "127.0.0.9"),
        (None, 17, "127.0.0.9"),
        (None, 0, "10.0.0.9"),
        (1, 0, "127.0.0.9"),
    ):
        assert peers.datagram_handler(number, encode_request(requested), (address, 5))
        if peers.answered:
            reply = json.loads(b"".join(page[7:] for page in peers.answered))
            peers.answered.clear()
    assert mux.counts["garbled"] == 3
    assert reply["kinds"] == {
        "quota": {"part": 0.2, "sent": 2, "bytes": reply["bytes"], "over_budget": 0, "received": 1}
    }
    assert reply["skipped"] == 1
    lines = exposition(reply).splitlines()
    assert 'slipbay_channel_sent_total{kind="quota",router="n0"} 2.0' in lines
    assert 'slipbay_channel_dropped_total{reason="skipped",router="n0"} 1.0' in lines


class CountingGate:
    """An admission gate with a fixed answer that counts its calls."""

    def __init__(self, wait: int | None) -> None:
        self.wait = wait
        self.admit_calls = 0
        self.release_calls = 0

    def admit(self, request: Request) -> int | None:
        self.admit_calls += 1
        return self.wait

    def release(self, request: Request) -> None:
        self.release_calls += 1


def test_gates_are_called_in_order_and_release_each_admitted_request_once() -> None:
    later: list[tuple[Any, ...]] = []
    loop = SimpleNamespace(call_soon=lambda *call: later.append(call))
    clock = SimpleNamespace(now=lambda: 0)
    timers = SimpleNamespace(at=lambda *_: SimpleNamespace(cancel=lambda: None))
    spec = ServiceClass(500_000, 2_500_000, Effect.SAFE)
    settings = Settings(classes=(spec,), kind_cores=(8.0,))
    core = Dispatcher(
        cast(Any, loop), cast(Any, clock), cast(Any, timers), Controller(settings, 1), settings, 10, 1_000_000
    )
    first = CountingGate(None)
    second = CountingGate(None)
    third = CountingGate(70_000)
    answers: list[object] = []
    client = SimpleNamespace(answered=lambda request, answer: answers.append(answer))

    def submit_request() -> Request:
        request = Request("lookup", 0, 2_500_000, None, cast(Any, client), cast(Any, None))
        core.submit(request)
        return request

    core.admission_gates = [first, second, third]
    submit_request()
    for call, *rest in later:
        call(*rest)
    assert answers == [Rejected(70_000)]
    assert not core.requests
    assert [(g.admit_calls, g.release_calls) for g in (first, second, third)] == [(1, 1), (1, 1), (1, 0)]
    core.admission_gates = [first, second]
    request = submit_request()
    core.client_disconnected(request)
    core.client_disconnected(request)
    assert [(g.admit_calls, g.release_calls) for g in (first, second)] == [(2, 2), (2, 2)]
