"""Store witnesses: routers that record the incarnations of other routers' stores.

The tests run on the emulator's network, with lost and duplicated messages, network partitions, restarted
witnesses, and stores that are lost or restored from copies; and between processes of the program.
"""

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
from test_store_losses import adopt, restart, send_load

from slipbay.emulator.channel_fleet import ChannelFleet
from slipbay.emulator.network import LinkConditions
from slipbay.idempotency import store_generation
from slipbay.idempotency.store_generation import StoreIdentity, StoreStatus, StoreWitness
from slipbay.idempotency.witnesses import StoreWitnesses
from slipbay.peer_channel.interfaces import ChannelEndpoint, FrameKind

SIZE = 6


class LostRequestError(Exception):
    """A store was assessed as current although a request that has run is missing from it."""


class NoMajorityNeeded(StoreWitnesses):
    def __init__(self, me: int, size: int, incarnation: int, now: int) -> None:
        super().__init__(me, size, incarnation, now)
        self.majority = 1


class RunsWithoutWitnesses(StoreWitnesses):
    @property
    def is_open(self) -> bool:
        return True


class Scenario:
    """Router 0 is restarted repeatedly; its store is modelled as the set of requests that it records."""

    def __init__(self, seed: int, witness_type: type[StoreWitnesses], weather: LinkConditions | None) -> None:
        self.random = Random(seed)
        self.witness_type = witness_type
        self.routers = ChannelFleet(SIZE, self._make, seed, weather=weather)
        self.identity: StoreIdentity | None = None
        self.stored = set[int]()
        self.sequence = 0
        self.ran = set[int]()
        self.copies = [self._state()]
        self.statuses: list[StoreStatus] = []
        self.requests = 0

    def _make(self, me: int, incarnation: int, now: int) -> dict[int, ChannelEndpoint]:
        return {FrameKind.LIVES: self.witness_type(me, SIZE, self.random.getrandbits(32), now)}

    def _state(self) -> tuple[StoreIdentity | None, set[int], int]:
        return copy.deepcopy((self.identity, self.stored, self.sequence))

    def run_incarnation(self, closes: bool, settle: bool = False) -> None:
        routers = self.routers
        routers.network.heal()
        routers.start([0])
        witnesses = cast(StoreWitnesses, routers.party(0, FrameKind.LIVES))
        for _ in range(10):
            if not witnesses.is_decided:
                routers.run(0.1)
        witness = witnesses.last_recorded()
        status = store_generation.determine_status(self.identity, self.sequence, witness)
        self.statuses.append(status)
        if status is StoreStatus.CURRENT:
            if not self.ran <= self.stored:
                raise LostRequestError
        else:
            self.ran = set(self.stored)  # the uncertainty window covers the other requests
        if not settle and self.random.random() < 0.2:
            routers.network.cut([0], range(1, SIZE))
        self.identity = store_generation.next_identity(self.identity, status, 0, self.random.randbytes(16))
        self.sequence += 1
        routers.say(0, FrameKind.LIVES, witnesses.begin(self.identity.store_id, self.identity.generation))
        for _ in range(self.random.randrange(6)):
            routers.run(self.random.choice((0.0, 0.5)) * self.random.random())
            if witnesses.is_open:
                self.requests += 1
                self.sequence += 1
                self.stored.add(self.requests)
                self.ran.add(self.requests)
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
            self.identity, self.stored, self.sequence = copy.deepcopy(self.random.choice(self.copies[-4:]))
        for number in self.random.sample(range(1, SIZE), self.random.choice((0, 0, 1, 2))):
            self.routers.kill([number])
            self.routers.start([number])
        if self.random.random() < 0.5:
            self.routers.run(self.random.random())


def search(witness_type: type[StoreWitnesses], scenarios: int) -> tuple[int, int]:
    """Run scenarios until one violates the rule; returns how many stores were current, and the requests."""
    current = requests = 0
    for seed in range(scenarios):
        scenario = Scenario(seed, witness_type, LinkConditions(most_us=300_000, loss=0.2, double=0.2))
        scenario.routers.start(range(1, SIZE))
        for _ in range(12):
            scenario.step()
        current += scenario.statuses.count(StoreStatus.CURRENT)
        requests += scenario.requests
    return current, requests


def test_a_store_that_lacks_a_request_that_ran_is_never_current() -> None:
    current, requests = search(StoreWitnesses, 100)
    assert current >= 5
    assert requests > 300


@pytest.mark.parametrize("witness_type", [NoMajorityNeeded, RunsWithoutWitnesses])
def test_the_search_finds_incomplete_implementations(witness_type: type[StoreWitnesses]) -> None:
    with pytest.raises(LostRequestError):
        search(witness_type, 1000)


def test_after_a_proper_shutdown_the_next_incarnation_finds_its_store_current() -> None:
    scenario = Scenario(1, StoreWitnesses, None)
    scenario.routers.start(range(1, SIZE))
    for closes in (True, True, True, False, True, True):
        scenario.run_incarnation(closes, settle=True)
        scenario.routers.run(1)
    assert scenario.statuses == [
        StoreStatus.EMPTY,
        *[StoreStatus.CURRENT] * 3,
        StoreStatus.UNKNOWN,
        StoreStatus.CURRENT,
    ]
    scenario.routers.kill(range(1, SIZE))
    scenario.routers.start(range(1, SIZE))
    scenario.run_incarnation(True, settle=True)
    scenario.routers.run(1)
    scenario.identity = None
    scenario.stored = set()
    scenario.sequence = 0
    scenario.run_incarnation(True, settle=True)
    # unknown after all witnesses were restarted; then they record the store that was lost
    assert scenario.statuses[-2:] == [StoreStatus.UNKNOWN, StoreStatus.OTHER]


class DropsUnsent(StoreWitnesses):
    def unsent(self, now: int, to: int, body: bytes) -> None:
        pass


@pytest.mark.parametrize(("witness_type", "min_s", "max_s"), [(StoreWitnesses, 0, 2.3), (DropsUnsent, 3, 9)])
def test_after_a_restart_of_all_routers_all_incarnations_are_acknowledged_within_three_budget_windows(
    witness_type: type[StoreWitnesses], min_s: float, max_s: float
) -> None:
    """Guards against answers that the channel's budget drops, and queries repeated in their place."""
    random = Random(1)
    begun = set[int]()
    elapsed_s = 0.0
    routers = ChannelFleet(
        SIZE,
        lambda me, incarnation, now: {FrameKind.LIVES: witness_type(me, SIZE, random.getrandbits(32), now)},
        parts={FrameKind.LIVES: 0.083, FrameKind.VIEW: 0.9},
    )
    routers.start()
    found = [cast(StoreWitnesses, routers.party(me, FrameKind.LIVES)) for me in range(SIZE)]
    for witnesses, mux in zip(found, routers.muxes, strict=True):
        assert mux is not None
        mux.drop_handlers[FrameKind.LIVES] = witnesses.unsent
    while elapsed_s < 10 and not all(witnesses.is_open for witnesses in found):
        routers.run(0.05)
        elapsed_s += 0.05
        for me, witnesses in enumerate(found):
            if witnesses.is_decided and me not in begun:
                begun.add(me)
                routers.say(me, FrameKind.LIVES, witnesses.begin(bytes([me]) * 8, 1))
    assert min_s < elapsed_s < max_s


def test_delayed_or_duplicated_messages_do_not_revert_records_or_affect_other_incarnations() -> None:
    first = StoreWitnesses(0, 3, 1, 0)
    second = StoreWitnesses(0, 3, 2, 0)
    witness = StoreWitnesses(1, 3, 3, 0)
    sent: list[bytes] = []  # to the witness; the test delivers these messages again

    def exchange(witnesses: StoreWitnesses, sends: list[tuple[int, bytes]]) -> list[bytes]:
        """Deliver messages to the witness, and its answers back; returns the answers."""
        bodies = [body for to, body in sends if to == 1]
        sent.extend(bodies)
        replies = [answer for body in bodies for _, answer in witness.receive(0, 0, 1, body)]
        for answer in replies:
            witnesses.receive(0, 1, 1, answer)
        return replies

    answers = exchange(first, first.tick(0)) + exchange(first, first.begin(b"a" * 8, 1))
    # an answer of the other witness, whose incarnation is b"9999"
    first.receive(0, 2, 1, answers[0][:5] + b"9999" + answers[0][9:])
    exchange(first, first.begin(b"a" * 8, 1))
    first.receive(0, 2, 1, answers[-1][:5] + b"9999")
    assert first.is_open
    exchange(first, first.close(7))
    assert witness.records[0].witness == StoreWitness(b"a" * 8, 1, 7)
    before = exchange(second, second.tick(0))
    exchange(second, second.begin(b"a" * 8, 2))
    recorded = copy.deepcopy(witness.records)
    assert recorded[0].witness == StoreWitness(b"a" * 8, 2, None)
    for body in sent[:-1]:
        witness.receive(0, 0, 1, body)
    assert witness.records == recorded
    exchange(second, StoreWitnesses.begin(second, b"b" * 8, 1))  # a store that is not trusted gets a new id
    for body in sent[:-1]:
        witness.receive(0, 0, 1, body)
    assert witness.records[0].witness == StoreWitness(b"b" * 8, 1, None)
    third = StoreWitnesses(0, 3, 4, 0)
    third.receive(0, 1, 1, before[0])
    third.receive(0, 2, 1, before[0])
    assert not third.is_decided
    assert third.last_recorded() is None
    # a new incarnation of the witness ignores messages to the previous one
    restarted = StoreWitnesses(1, 3, 5, 0)
    for body in sent:
        restarted.receive(0, 0, 1, body)
    assert not restarted.records


def test_an_invalid_message_changes_nothing() -> None:
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
        assert not witnesses.is_decided


def make_routers(folder: Path, count: int, engine_port: int) -> list[RouterProcess]:
    """Create routers that have a store each and are connected by the peer channel."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    peers = [f"{HOST}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    routers = []
    for number in range(count):
        router_folder = folder / str(number)
        router_folder.mkdir()
        (router_folder / "channel.toml").write_text("enabled = true\n")
        store_file(router_folder, later_ms="20", loss="{ enabled = true, fleet = true }")
        routers.append(
            RouterProcess(
                router_folder,
                {"s-0": engine_port},
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
    return routers


def test_other_routers_witness_only_the_store_that_was_closed_properly(tmp_path: Path) -> None:
    async def test() -> None:
        engine = StandInEngine()
        await engine.start()
        routers = make_routers(tmp_path, 4, engine.port)
        first = routers[0]
        data = tmp_path / "0" / "data"
        data.mkdir()
        assert adopt(data, "a first start").exit_code == 0
        await asyncio.gather(*(router.start() for router in routers[1:]))
        await restart(first, "an operator vouches")
        # the load runs once the other routers have acknowledged this incarnation
        assert "result" in await send_load(first, "00000000000000a1")
        await asyncio.sleep(1.2)  # until the next window of the channel's budget
        assert await first.end() == 0
        shutil.copytree(data, tmp_path / "copy")
        await first.journal.start()
        await restart(first, "generation=2 status=it holds all")
        assert "result" in await send_load(first, "00000000000000a2")
        await asyncio.sleep(1.2)
        assert await first.end() == 0
        shutil.rmtree(data)
        shutil.copytree(tmp_path / "copy", data)
        await first.journal.start()
        await restart(first, "it is an older state")
        runs = len(engine.named("POST"))
        answer = await send_load(first, "00000000000000a2")  # it ran in the incarnation that was lost
        assert answer["error"]["code"] == -32000
        assert "may have run" in answer["error"]["message"]
        assert "result" in await send_load(first, "00000000000000a1")
        assert len(engine.named("POST")) == runs == 2
        await first.kill()
        await restart(first, "nobody outside of it can tell")  # the store was not closed
        await first.kill()
        shutil.rmtree(data)
        await restart(first, "another store was in its place")
        assert [await router.end() for router in routers] == [0] * 4
        engine.server.close()

    run(test, 90)
