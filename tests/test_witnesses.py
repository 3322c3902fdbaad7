"""Incarnations of stores as other routers record them: on the emulator's network, with messages lost and
duplicated,
cuts, witnesses started anew, and stores lost and put back; and between processes of the program."""

from __future__ import annotations

import asyncio
import copy
import shutil
import socket
from pathlib import Path
from random import Random
from typing import cast

import pytest
from loopback import HOST, SETTINGS, StandInEngine, run
from routers import RouterProcess, store_file
from test_store_losses import adopt, again, ask

from slipbay.emulator.channel_fleet import ChannelFleet
from slipbay.emulator.network import LinkConditions
from slipbay.idempotency import store_generation
from slipbay.idempotency.store_generation import StoreIdentity, StoreStatus, StoreWitness
from slipbay.idempotency.witnesses import StoreWitnesses
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind

SIZE = 6


class LostRequestError(Exception):
    """A store was taken for the newest though a load that had run is not in it."""


class OneIsEnough(StoreWitnesses):
    def __init__(self, me: int, size: int, life: int, now: int) -> None:
        super().__init__(me, size, life, now)
        self.majority = 1


class RunsAtOnce(StoreWitnesses):
    @property
    def is_open(self) -> bool:
        return True


class Play:
    """Router 0 starts and dies again and again; its store is a set of loads that it holds."""

    def __init__(self, seed: int, kind: type[StoreWitnesses], weather: LinkConditions | None) -> None:
        self.random = Random(seed)
        self.kind = kind
        self.routers = ChannelFleet(SIZE, self._make, seed, weather=weather)
        self.identity: StoreIdentity | None = None
        self.held = set[int]()
        self.sequence = 0
        self.ran = set[int]()
        self.copies = [self._state()]
        self.statuses: list[StoreStatus] = []
        self.loads = 0

    def _make(self, me: int, life: int, now: int) -> dict[int, ChannelEndpoint]:
        return {FrameKind.LIVES: self.kind(me, SIZE, self.random.getrandbits(32), now)}

    def _state(self) -> tuple[StoreIdentity | None, set[int], int]:
        return copy.deepcopy((self.identity, self.held, self.sequence))

    def run_incarnation(self, closes: bool, settle: bool = False) -> None:
        routers = self.routers
        routers.network.heal()
        routers.start([0])
        witnesses = cast(StoreWitnesses, routers.party(0, FrameKind.LIVES))
        for _ in range(10):
            if not witnesses.is_settled:
                routers.run(0.1)
        witness = witnesses.last_known()
        status = store_generation.judge(self.identity, self.sequence, witness)
        self.statuses.append(status)
        if status is StoreStatus.CURRENT:
            if not self.ran <= self.held:
                raise LostRequestError
        else:
            self.ran = set(self.held)  # the uncertainty window covers the others
        if not settle and self.random.random() < 0.2:
            routers.network.cut([0], range(1, SIZE))
        self.identity = store_generation.begin(self.identity, status, 0, self.random.randbytes(16))
        self.sequence += 1
        routers.say(0, FrameKind.LIVES, witnesses.begin(self.identity.store_id, self.identity.generation))
        for _ in range(self.random.randrange(6)):
            routers.run(self.random.choice((0.0, 0.5)) * self.random.random())
            if witnesses.is_open:
                self.loads += 1
                self.sequence += 1
                self.held.add(self.loads)
                self.ran.add(self.loads)
            if self.random.random() < 0.2:
                self.copies.append(self._state())
        if settle:
            routers.run(1.5)
        if closes:
            routers.say(0, FrameKind.LIVES, witnesses.close(self.sequence))
        routers.run(self.random.random() * 0.01)
        routers.kill([0])

    def step(self) -> None:
        self.run_incarnation(self.random.random() < 0.8)
        if self.random.random() < 0.5:
            self.copies.append(self._state())
        if self.random.random() < 0.5:
            self.identity, self.held, self.sequence = copy.deepcopy(self.random.choice(self.copies[-4:]))
        for number in self.random.sample(range(1, SIZE), self.random.choice((0, 0, 1, 2))):
            self.routers.kill([number])
            self.routers.start([number])
        if self.random.random() < 0.5:
            self.routers.run(self.random.random())


def search(kind: type[StoreWitnesses], plays: int) -> tuple[int, int]:
    """Plays until one breaks the rule; the stores taken for the newest, and loads."""
    current = loads = 0
    for seed in range(plays):
        play = Play(seed, kind, LinkConditions(most_us=300_000, loss=0.2, double=0.2))
        play.routers.start(range(1, SIZE))
        for _ in range(12):
            play.step()
        current += play.statuses.count(StoreStatus.CURRENT)
        loads += play.loads
    return current, loads


def test_no_store_is_judged_current_that_lacks_a_load_that_ran() -> None:
    current, loads = search(StoreWitnesses, 100)
    assert current >= 5
    assert loads > 300


@pytest.mark.parametrize("kind", [OneIsEnough, RunsAtOnce])
def test_the_search_finds_what_is_left_out(kind: type[StoreWitnesses]) -> None:
    with pytest.raises(LostRequestError):
        search(kind, 1000)


def test_after_an_orderly_end_the_next_incarnation_is_certain_of_its_store() -> None:
    play = Play(1, StoreWitnesses, None)
    play.routers.start(range(1, SIZE))
    for closes in (True, True, True, False, True, True):
        play.run_incarnation(closes, settle=True)
        play.routers.run(1)
    assert play.statuses == [
        StoreStatus.EMPTY,
        *[StoreStatus.CURRENT] * 3,
        StoreStatus.UNKNOWN,
        StoreStatus.CURRENT,
    ]
    play.routers.kill(range(1, SIZE))
    play.routers.start(range(1, SIZE))
    play.run_incarnation(True, settle=True)
    play.routers.run(1)
    play.identity = None
    play.held = set()
    play.sequence = 0
    play.run_incarnation(True, settle=True)
    assert play.statuses[-2:] == [StoreStatus.UNKNOWN, StoreStatus.OTHER]  # the fleet was gone; it remembers


class DropsUnsent(StoreWitnesses):
    def unsent(self, now: int, to: int, body: bytes) -> None:
        pass


@pytest.mark.parametrize(("kind", "least_s", "most_s"), [(StoreWitnesses, 0, 2.3), (DropsUnsent, 3, 9)])
def test_all_incarnations_are_acknowledged_within_three_windows_of_their_share_after_a_restart_of_all(
    kind: type[StoreWitnesses], least_s: float, most_s: float
) -> None:
    """Guards against answers lost for want of room, and questions said anew in theirs."""
    random = Random(1)
    begun = set[int]()
    took = 0.0
    routers = ChannelFleet(
        SIZE,
        lambda me, life, now: {FrameKind.LIVES: kind(me, SIZE, random.getrandbits(32), now)},
        parts={FrameKind.LIVES: 0.083, FrameKind.VIEW: 0.9},
    )
    routers.start()
    found = [cast(StoreWitnesses, routers.party(me, FrameKind.LIVES)) for me in range(SIZE)]
    for witnesses, mux in zip(found, routers.muxes, strict=True):
        assert mux is not None
        mux.drop_handlers[FrameKind.LIVES] = witnesses.unsent
    while took < 10 and not all(witnesses.is_open for witnesses in found):
        routers.run(0.05)
        took += 0.05
        for me, witnesses in enumerate(found):
            if witnesses.is_settled and me not in begun:
                begun.add(me)
                routers.say(me, FrameKind.LIVES, witnesses.begin(bytes([me]) * 8, 1))
    assert least_s < took < most_s


def test_late_or_duplicated_messages_take_no_witness_back_and_reach_no_other_incarnation() -> None:
    first = StoreWitnesses(0, 3, 1, 0)
    second = StoreWitnesses(0, 3, 2, 0)
    witness = StoreWitnesses(1, 3, 3, 0)
    said: list[bytes] = []  # to the witness, as it may come again

    def hand(witnesses: StoreWitnesses, sends: list[tuple[int, bytes]]) -> list[bytes]:
        """To the witness and back; what came back."""
        bodies = [body for to, body in sends if to == 1]
        said.extend(bodies)
        back = [answer for body in bodies for _, answer in witness.receive(0, 0, 1, body)]
        for answer in back:
            witnesses.receive(0, 1, 1, answer)
        return back

    answers = hand(first, first.tick(0)) + hand(first, first.begin(b"a" * 8, 1))
    first.receive(
        0, 2, 1, answers[0][:5] + b"9999" + answers[0][9:]
    )  # the other witness, of incarnation 9999
    hand(first, first.begin(b"a" * 8, 1))
    first.receive(0, 2, 1, answers[-1][:5] + b"9999")
    assert first.is_open
    hand(first, first.close(7))
    assert witness.records[0].witness == StoreWitness(b"a" * 8, 1, 7)
    before = hand(second, second.tick(0))
    hand(second, second.begin(b"a" * 8, 2))
    held = copy.deepcopy(witness.records)
    assert held[0].witness == StoreWitness(b"a" * 8, 2, None)
    for body in said[:-1]:
        witness.receive(0, 0, 1, body)
    assert witness.records == held
    hand(second, StoreWitnesses.begin(second, b"b" * 8, 1))  # if uncertain, it would be another store
    for body in said[:-1]:
        witness.receive(0, 0, 1, body)
    assert witness.records[0].witness == StoreWitness(b"b" * 8, 1, None)
    third = StoreWitnesses(0, 3, 4, 0)
    third.receive(0, 1, 1, before[0])
    third.receive(0, 2, 1, before[0])
    assert not third.is_settled
    assert third.last_known() is None
    anew = StoreWitnesses(
        1, 3, 5, 0
    )  # a new incarnation of the witness takes nothing that was meant for the one before
    for body in said:
        anew.receive(0, 0, 1, body)
    assert not anew.records


def test_an_unreadable_message_changes_nothing() -> None:
    witnesses = StoreWitnesses(0, SIZE, 7, 0)
    for body in (
        b"",
        b"x" * 28,
        b"\xff" * 29,
        bytes(29),
        bytes([4] * 9),
        bytes([1] * 21),
        bytes([3] * 29),
        bytes([5] * 21),
        b"x" * 300,
    ):
        assert witnesses.receive(0, 1, 1, body) == []
        assert not witnesses.records
        assert not witnesses.is_settled


def tier(folder: Path, count: int, engine: int) -> list[RouterProcess]:
    """Routers that know each other's addresses, with a store and the channel each."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    peers = [f"{HOST}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    found = []
    for number in range(count):
        own = folder / str(number)
        own.mkdir()
        (own / "channel.toml").write_text("enabled = true\n")
        store_file(own, later_ms="20", loss="{ enabled = true, fleet = true }")
        found.append(
            RouterProcess(
                own,
                {"s-0": engine},
                settings={
                    **SETTINGS,
                    "balancers": count,
                    "me": number,
                    "policyLimits": {**SETTINGS["policyLimits"], "mayTell": True},
                },
                peers=peers,
                peer_listen=peers[number],
            )
        )
    return found


def test_other_routers_vouch_for_a_store_that_was_closed_and_for_no_other(tmp_path: Path) -> None:
    async def test() -> None:
        engine = StandInEngine()
        await engine.start()
        routers = tier(tmp_path, 4, engine.port)
        first = routers[0]
        data = tmp_path / "0" / "data"
        data.mkdir()
        assert adopt(data, "a first start").exit_code == 0
        await asyncio.gather(*(router.start() for router in routers[1:]))
        await again(first, "an operator vouches")
        assert "result" in await ask(
            first, "00000000000000a1"
        )  # once the others have acknowledged this incarnation
        await asyncio.sleep(1.2)  # the channel's budget of a window has room again
        assert await first.end() == 0
        shutil.copytree(data, tmp_path / "copy")
        await first.journal.start()
        await again(first, "generation=2 status=it holds all")
        assert "result" in await ask(first, "00000000000000a2")
        await asyncio.sleep(1.2)
        assert await first.end() == 0
        shutil.rmtree(data)
        shutil.copytree(tmp_path / "copy", data)
        await first.journal.start()
        await again(first, "it is an older state")
        runs = len(engine.named("POST"))
        answer = await ask(first, "00000000000000a2")  # it ran in the incarnation that is lost
        assert answer["error"]["code"] == -32000
        assert "may have run" in answer["error"]["message"]
        assert "result" in await ask(first, "00000000000000a1")
        assert len(engine.named("POST")) == runs == 2
        await first.kill()
        await again(first, "nobody outside of it can tell")  # it was not closed
        await first.kill()
        shutil.rmtree(data)
        await again(first, "another store was in its place")
        assert [await router.end() for router in routers] == [0] * 4
        engine.server.close()

    run(test, 90)
