"""The channel between routers: its frames, its budget, terms, and its machine on the emulator's network."""

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
from slipbay.membership.settings import load_fleet
from slipbay.peer_channel import frame
from slipbay.peer_channel.budget import WINDOW_US, ByteBudget
from slipbay.peer_channel.config_schema import BudgetShares
from slipbay.peer_channel.external_traffic import cut
from slipbay.peer_channel.frame import Frame
from slipbay.peer_channel.interfaces import MOST_BODY, ChannelEndpoint, FrameKind, Send
from slipbay.peer_channel.leases import ClockBounds, GrantedLease, HeldLease, wait_after_start
from slipbay.peer_channel.metrics import exposition
from slipbay.peer_channel.multiplexer import Multiplexer
from slipbay.peer_channel.settings import ChannelConfig, load_channel, need_channel
from slipbay.peer_channel.status_pages import question
from slipbay.peer_channel.udp_link import UdpLink
from slipbay.policy.controller import Controller
from slipbay.policy.gossip import PeerLoads
from slipbay.policy.settings import Effect, ServiceClass, Settings

KEY = b"a key of sixteen"
TELLING = {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "mayTell": True}}


@given(st.binary(max_size=MOST_BODY), st.booleans(), st.integers(16, 127))
def test_a_body_comes_back_and_routers_with_the_view_alone_skip_it(
    body: bytes, keyed: bool, kind: int
) -> None:
    key = KEY if keyed else b""
    data = frame.encode(Frame(kind, 513, 65_535, body), key)
    assert len(data) <= frame.MOST_BYTES
    assert frame.is_framed(data)
    assert (len(data) - 5) % 3
    assert frame.decode(data, [key] if key else []) == Frame(kind, 513, 65_535, body)
    assert codec.decode(data, [key] if key else []) is None  # counted as skipped there
    with pytest.raises(frame.CorruptFrameError):
        frame.decode(data[:-1] + bytes([data[-1] ^ 1]), [key] if key else [])


@given(
    st.lists(st.tuples(st.integers(0, 300_000), st.integers(0, 19), st.integers(1, 256)), max_size=200),
    st.dictionaries(st.integers(0, 18), st.floats(0, 0.2), max_size=5),
)
def test_no_window_gets_more_than_the_rate_and_each_kind_gets_its_part(
    asks: list[tuple[int, int, int]], parts: dict[int, float]
) -> None:
    budget = ByteBudget(1_000, parts, 0)
    now = 0
    granted = list[tuple[int, int, int]]()
    for wait, kind, size in asks:
        now += wait
        recent = [(k, s) for at, k, s in granted if at > now - WINDOW_US]
        part = 1_000 * parts.get(kind, 0.0) - sum(s for k, s in recent if k == kind)
        if budget.take(now, kind, size):
            granted.append((now, kind, size))
            assert sum(s for _, s in recent) + size <= 1_000
        else:
            assert size > part


def test_what_is_in_no_part_goes_to_the_first_in_order_and_last_to_the_others() -> None:
    budget = ByteBudget(1_000, {FrameKind.VIEW: 0.2}, 0)
    kinds = (FrameKind.VIEW, FrameKind.QUOTA, FrameKind.GATHER, FrameKind.DECISIONS, 99)
    assert [budget.room(0, kind) for kind in kinds] == [1_000, 700, 500, 400, 300]
    assert all(budget.take(0, FrameKind.GATHER, 100) for _ in range(5))
    assert budget.spent(0)[FrameKind.GATHER] == 500
    assert [budget.room(0, kind) for kind in kinds] == [500, 200, 0, 0, 0]
    assert not budget.take(0, FrameKind.GATHER, 100)  # but what is in no part waits for it now
    assert [budget.room(0, kind) for kind in kinds] == [400, 100, 300, 0, 0]
    assert [budget.room(WINDOW_US, kind) for kind in kinds] == [900, 600, 800, 300, 200]


@pytest.mark.parametrize("greedy", [10_000, 37_000, 90_000])
def test_beside_greedy_kinds_each_gets_its_part_and_the_longest_message(greedy: int) -> None:
    """With the default parts two kinds whose messages can be cut take all there is, two ask for the longest
    message all the time, and one for such a one five times a second: it gets it within the turns of three,
    though it has no part."""
    parts: dict[int, float] = {
        FrameKind[name.upper()]: part for name, part in msgspec.structs.asdict(BudgetShares()).items()
    }
    budget = ByteBudget(1_000, parts, 0)
    got = Counter[int]()
    at = list[int]()
    for now in range(0, 60_000_000, greedy):
        for kind in (FrameKind.DECISIONS, FrameKind.VIEW):
            while size := min(256, budget.room(now, kind)):
                assert budget.take(now, kind, size)
                got[kind] += size
        for kind in (FrameKind.QUOTA, FrameKind.COMEBACK):
            while budget.take(now, kind, 256):
                got[kind] += 256
        if now % 200_000 < greedy and budget.take(now, FrameKind.GATHER, 256):
            at.append(now)
    assert max(b - a for a, b in itertools.pairwise([0, *at, 60_000_000])) <= 3 * (WINDOW_US + 200_000)
    assert got[0] >= 72 * 60
    assert got[1] >= 342 * 60
    assert min(got[16], got[17]) >= 60 * 60


def test_a_kind_that_is_added_late_gets_its_part_after_a_window_and_nothing_is_overdrawn() -> None:
    budget = ByteBudget(1_000, {}, 0)
    assert budget.take(0, FrameKind.VIEW, 1_000)
    budget.hold(FrameKind.QUOTA, 0.3)
    assert not budget.take(WINDOW_US - 1, FrameKind.QUOTA, 1)
    assert budget.take(WINDOW_US, FrameKind.VIEW, 700)
    assert not budget.take(WINDOW_US, FrameKind.VIEW, 1)
    assert budget.take(WINDOW_US, FrameKind.QUOTA, 300)
    with pytest.raises(ValueError):
        budget.hold(FrameKind.GATHER, 0.8)


def test_messages_of_the_decisions_are_cut_to_whole_items_the_heaviest_first() -> None:
    held = PeerLoads()
    engines = [SimpleNamespace(digest=n, threads=n, peer_threads=0) for n in range(1, 90)]
    body = held.start_period(7, cast(Any, engines))
    assert len(body) == 254
    assert [len(cut(body, room)) for room in (256, 253, 100, 5, 4, 0)] == [254, 251, 98, 5, 0, 0]
    other = PeerLoads()
    other.start_period(7, [])
    assert not other.receive(cut(body, 100), [])
    assert other.reports == 2
    assert sorted(other.sums) == list(range(59, 90))
    mux = Multiplexer(0, 3, 7, 0, parts={FrameKind.DECISIONS: 0.2, FrameKind.VIEW: 0.8})
    assert [len(mux.told(0, body) or b"") for _ in range(3)] == [200, 0, 0]
    assert mux.counts["over budget 0"] == 0
    assert mux.counts["bytes 0"] == 200


class Echo:
    """Says its number to all once a second, and keeps what it heard."""

    def __init__(self, me: int, size: int, now: int) -> None:
        self.me = me
        self.size = size
        self.due = now
        self.heard: list[tuple[int, bytes]] = []

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        self.heard.append((sender, body))
        return []

    def tick(self, now: int) -> list[Send]:
        self.due = now + 1_000_000
        return [(to, bytes([self.me])) for to in range(self.size) if to != self.me]

    def next_tick(self) -> int:
        return self.due


def test_routers_of_the_emulator_hear_each_other_but_for_the_dead_the_stopped_and_the_cut_off() -> None:
    def make(me: int, life: int, now: int) -> dict[int, ChannelEndpoint]:
        return {FrameKind.QUOTA: Echo(me, 4, now)}

    routers = ChannelFleet(4, make, drift_ppm=500, key=KEY)
    routers.start()
    routers.run(0.5)
    heard = [cast(Echo, routers.endpoint(me, FrameKind.QUOTA)).heard for me in range(4)]
    assert [sorted(h) for h in heard] == [[(n, bytes([n])) for n in range(4) if n != me] for me in range(4)]
    routers.kill([3])
    routers.stop(2)
    routers.network.cut([0], [1])
    for each in heard:
        each.clear()
    routers.run(1.0)
    assert heard[0] == heard[1] == heard[2] == []
    routers.resume(2)
    assert sorted(heard[2]) == [(0, b"\0"), (1, b"\1")]


def test_what_is_not_of_a_known_party_is_counted_and_skipped() -> None:
    mux = Multiplexer(0, 3, 7, 0, key=KEY)
    party = Echo(0, 3, 0)
    mux.add(FrameKind.QUOTA, party)
    good = frame.encode(Frame(FrameKind.QUOTA, 1, 9, b"x"), KEY)
    assert not mux.receive(0, good, 1)
    assert party.heard == [(1, b"x")]
    mux.receive(0, frame.encode(Frame(FrameKind.LATER, 1, 9, b"x"), KEY), 1)
    mux.receive(0, frame.encode(Frame(FrameKind.QUOTA, 1, 9, b"x"), b"another key of 16"), 1)
    mux.receive(0, good, 2)
    mux.receive(0, good, None)
    assert len(party.heard) == 1
    assert mux.counts == {"received": 1, "received 17": 1, "skipped": 1, "garbled": 1, "foreign": 2}


@given(
    st.integers(1, 60_000_000),
    st.integers(-500, 500),
    st.integers(-500, 500),
    st.integers(0, 5_000),
    st.integers(0, 1_000_000),
)
def test_a_term_is_over_at_its_granter_only_after_its_holder_let_go(
    length: int, mine: int, its: int, jump: int, way: int
) -> None:
    """In true time: asked at 0, granted ``way`` later; both clocks drift, and the granter's leaps."""
    clocks = ClockBounds(500, 5_000)
    held = HeldLease(0, length)
    granted = GrantedLease(0, length)
    pace = 1 + mine / 1e6
    true = way + (clocks.surely(length) - jump) / pace + 1  # the first moment at which it is over
    assert granted.over(int((true - way) * pace) + jump, clocks)
    assert not granted.over(int((true - way - 3) * pace) + jump, clocks)
    assert not held.valid(int(true * (1 + its / 1e6)))


Step = tuple[int, int, int]  # true us that pass, and by how many ppm the two clocks run fast meanwhile


def violations(
    steps: list[Step],
    jumps: tuple[int, int],
    at: tuple[int, int],
    way: int,
    length: int,
    clocks: ClockBounds,
    stood: bool = False,
) -> int:
    """How often the granter gives away what its holder still uses. Clocks run fast or slow by step, and each
    leaps once, before the step whose number ``at`` tells. ``stood``: the holder does not read its clock anew,
    but goes by what it read when its process was stopped, at the first step."""
    holder = 1_000_000.0
    granter = 5_000_000.0
    held = HeldLease(int(holder), length)
    first = int(holder)
    # the request and the answer are on their way
    holder = holder + way
    granter = granter + way
    granted = GrantedLease(int(granter), length)
    found = 0
    for number, (true, fast, its) in enumerate(steps):
        holder += jumps[0] * (number == at[0]) + true * (1 + fast / 1e6)
        granter += jumps[1] * (number == at[1]) + true * (1 + its / 1e6)
        found += granted.over(int(granter), clocks) and held.valid(first if stood else int(holder))
    return found


STEPS = st.lists(
    st.tuples(st.integers(0, 400_000), st.integers(-500, 500), st.integers(-500, 500)),
    min_size=1,
    max_size=40,
)
JUMPS = st.tuples(st.integers(-5_000, 5_000), st.integers(-5_000, 5_000))
PLACES = st.tuples(st.integers(0, 40), st.integers(0, 40))


@given(STEPS, JUMPS, PLACES, st.integers(0, 1_000_000), st.integers(1, 4_000_000))
def test_no_drift_within_bounds_and_no_leap_lets_two_hold_one_thing(
    steps: list[Step], jumps: tuple[int, int], at: tuple[int, int], way: int, length: int
) -> None:
    assert violations(steps, jumps, at, way, length, ClockBounds(500, 5_000)) == 0


def test_terms_without_drift_without_jump_or_by_a_clock_read_before_a_stop_are_found() -> None:
    slow = [(1_000_000, -500, 500)] * 3 + [(500, -500, 500)] * 20
    assert violations(slow, (0, 0), (0, 0), 0, 3_000_000, ClockBounds(0, 0)) > 0
    leap = [(100_000, 0, 0)] * 9 + [(98_000, 0, 0)]
    assert violations(leap, (0, 5_000), (0, 5), 0, 1_000_000, ClockBounds(500, 0)) > 0
    stopped = [(9_000_000, 0, 0)]
    assert violations(stopped, (0, 0), (0, 0), 0, 1_000_000, ClockBounds(), stood=True) > 0
    assert violations(stopped, (0, 0), (0, 0), 0, 1_000_000, ClockBounds()) == 0


@given(st.integers(0, 3_000_000), st.integers(-500, 500), st.integers(-500, 500), st.integers(0, 5_000))
def test_what_a_dead_life_granted_is_over_when_the_next_one_has_waited(
    before: int, fast: int, its: int, jump: int
) -> None:
    """The last grant left ``before`` us before the new life's start, at which its holder's clock shows 0 less
    what it has counted; the term is the longest, 3 s. Its wait ends early by a leap of its own clock."""
    clocks = ClockBounds()
    longest = 3_000_000
    waited = (wait_after_start(longest, clocks) - jump) / (1 + fast / 1e6)  # in true time
    held = HeldLease(0, longest)
    assert not held.valid(int((before + waited) * (1 + its / 1e6)))


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    most: Annotated[int, msgspec.Meta(ge=1)] = 1


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    rate: float
    names: list[str] = []
    part: Part = Part()


@pytest.mark.parametrize(
    "text, told",
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
def test_mistakes_in_an_operator_file_name_file_and_key(tmp_path: Path, text: str, told: str) -> None:
    path = tmp_path / "x.toml"
    assert read_file(path, Setting) is None
    path.write_text("enabled = false\nrate = 'whatever'")
    assert read_file(path, Setting) is None
    path.write_text(text)
    with pytest.raises(ConfigError) as problem:
        read_file(path, Setting)
    assert str(problem.value).startswith(told)


def channel_config(folder: Path, text: str, view: str = "", **more: object) -> ChannelConfig | None:
    (folder / "channel.toml").write_text(text)
    (folder / "fleet.toml").write_text(view)
    (folder / "key").write_text("a key of sixteen bytes\n")
    environment = {
        "GW_CONFIG": str(
            configure(
                folder, **{"peers": [f"{HOST}:3"], "peer_listen": f"{HOST}:3", "settings": TELLING, **more}
            )
        ),
        "SLIPBAY_CHANNEL": str(folder / "channel.toml"),
        "SLIPBAY_FLEET": str(folder / "fleet.toml"),
    }
    config = load(environment)
    return load_channel(config, environment, load_fleet(config, environment))


@pytest.mark.parametrize(
    "text, told",
    [
        ("rate = 2000", "channel.toml: rate: Expected `float` <= 1000.0"),
        ("key_file = 'none'", "channel.toml: key_file: "),
        ("old_key_file = 'key'", "channel.toml: old_key_file: want"),
        ("parts.decisions = 0.9", "channel.toml: parts: want at most 0.744 together"),
        ("parts.nobody = 0.1", "channel.toml: parts.nobody: "),
    ],
)
def test_mistakes_in_channel_toml(tmp_path: Path, text: str, told: str) -> None:
    assert channel_config(tmp_path, text) is None
    with pytest.raises(ConfigError, match=f"^{re.escape(told)}"):
        channel_config(tmp_path, f"enabled = true\n{text}")
    with pytest.raises(ConfigError, match="^channel.toml: enabled: .* allow no messages"):
        channel_config(tmp_path, "enabled = true", settings=SETTINGS)


def test_the_views_keys_seal_the_channel_too_unless_it_has_its_own(tmp_path: Path) -> None:
    view = "enabled = true\nkey_file = 'key'"
    for text, on, keys_of in (
        ("", "", ""),
        ("", view, "fleet.toml"),
        ("", view.replace("true", "false"), ""),
        ("key_file = 'key'", "", "channel.toml"),
    ):
        found = channel_config(tmp_path, f"enabled = true\n{text}", on)
        assert found is not None
        assert need_channel(found, "quota.toml") is found
        assert (found.keys_of, found.key) == (keys_of, b"a key of sixteen bytes" if keys_of else b"")
    with pytest.raises(ConfigError, match="^quota.toml: enabled: .*set enabled = true in channel.toml$"):
        need_channel(None, "quota.toml")


def test_commands_on_this_machine_are_told_the_counters_and_others_nothing() -> None:
    class Socket:
        fleet: Any = staticmethod(lambda *_: False)
        answered: list[bytes] = []

        def answer(self, page: bytes, address: object) -> None:
            self.answered.append(page)

    mux = Multiplexer(0, 3, 7, 0, parts={FrameKind.QUOTA: 0.2})
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
    for number, asked, address in (
        (None, 0, "127.0.0.9"),
        (None, 17, "127.0.0.9"),
        (None, 0, "10.0.0.9"),
        (1, 0, "127.0.0.9"),
    ):
        assert peers.fleet(number, question(asked), (address, 5))
        if peers.answered:
            told = json.loads(b"".join(page[7:] for page in peers.answered))
            peers.answered.clear()
    assert mux.counts["garbled"] == 3
    assert told["kinds"] == {
        "quota": {"part": 0.2, "sent": 2, "bytes": told["bytes"], "over_budget": 0, "received": 1}
    }
    assert told["skipped"] == 1
    lines = exposition(told).splitlines()
    assert 'slipbay_channel_sent_total{kind="quota",router="n0"} 2.0' in lines
    assert 'slipbay_channel_dropped_total{reason="skipped",router="n0"} 1.0' in lines


class Counting:
    """A gate that turns away what it is told to."""

    def __init__(self, wait: int | None) -> None:
        self.wait = wait
        self.asked = 0
        self.over = 0

    def admit(self, request: Request) -> int | None:
        self.asked += 1
        return self.wait

    def release(self, request: Request) -> None:
        self.over += 1


def test_gates_are_asked_in_order_and_told_once_of_what_they_admitted() -> None:
    later: list[tuple[Any, ...]] = []
    loop = SimpleNamespace(call_soon=lambda *call: later.append(call))
    clock = SimpleNamespace(now=lambda: 0)
    timers = SimpleNamespace(at=lambda *_: SimpleNamespace(cancel=lambda: None))
    spec = ServiceClass(500_000, 2_500_000, Effect.SAFE)
    settings = Settings(classes=(spec,), kind_cores=(8.0,))
    core = Dispatcher(
        cast(Any, loop), cast(Any, clock), cast(Any, timers), Controller(settings, 1), settings, 10, 1_000_000
    )
    first = Counting(None)
    second = Counting(None)
    third = Counting(70_000)
    answers: list[object] = []
    client = SimpleNamespace(answered=lambda request, answer: answers.append(answer))

    def ask() -> Request:
        request = Request("lookup", 0, 2_500_000, None, cast(Any, client), cast(Any, None))
        core.submit(request)
        return request

    core.admission_gates = [first, second, third]
    ask()
    for call, *rest in later:
        call(*rest)
    assert answers == [Rejected(70_000)]
    assert not core.requests
    assert [(g.asked, g.over) for g in (first, second, third)] == [(1, 1), (1, 1), (1, 0)]
    core.admission_gates = [first, second]
    request = ask()
    core.client_disconnected(request)
    core.client_disconnected(request)
    assert [(g.asked, g.over) for g in (first, second)] == [(2, 2), (2, 2)]
