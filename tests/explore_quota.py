"""Explores borrowed shares and leases on base shares exhaustively (model checking).

A world has three routers, one quota, up to two borrow requests, one restart or partition, and lost, duplicate
and late messages. In every state the shares that all routers may use at the same time must not exceed the
quota. Time advances in fractions of a lease; the clocks differ as much as ``CLOCKS`` allows.
``python tests/explore_quota.py --depth 12`` covers more than CI does.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from slipbay.peer_channel.interfaces import Send
from slipbay.peer_channel.leases import ClockBounds
from slipbay.quota.codec import (
    BorrowEntry,
    BorrowMessage,
    LeaseMessage,
    MessageType,
    decode,
    encode,
)
from slipbay.quota.fleet_start import FleetStart, StartState
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.shares import SHARE_UNITS, BaseShare, LentShare, Shares

ROUTER_COUNT = 3
LEASE_US = 1_000_000
STEP_US = LEASE_US // 4
CLOCKS = ClockBounds(100_000, 0)  # a drift of 10 %, so that it has an effect within one lease
CLOCK_RATES = (10, 11, 9)  # clock rate by router, in tenths of true time: router 1 is fast, 2 is slow
BASE = SHARE_UNITS // ROUTER_COUNT
RESERVE = SHARE_UNITS // ROUTER_COUNT // 10
AMOUNT = BASE - RESERVE


class BorrowPacket(NamedTuple):
    kind: str  # request or reply
    source: int
    target: int
    incarnation: int  # incarnation of the borrower
    tag: int
    amount: int  # the amount kept (request) or lent (reply)
    want: int


Move = tuple[str, int, int]


@dataclass
class World:
    """Three routers, their messages in flight, and the numbers of events that may still occur.

    It models the minimum of a router's state machine: borrow requests, replies, renewals and returns, each at
    any time that a move chooses.
    """

    now: int = 0
    shares: list[Shares] = field(
        default_factory=lambda: [
            Shares(CLOCKS, -10 * LEASE_US, LEASE_US, BASE, RESERVE) for _ in range(ROUTER_COUNT)
        ]
    )
    incarnations: list[int] = field(default_factory=lambda: [0] * ROUTER_COUNT)
    tags: list[int] = field(default_factory=lambda: [0] * ROUTER_COUNT)
    in_flight: list[BorrowPacket] = field(default_factory=list)
    grants: int = 2
    requests: int = 4
    faults: int = 1  # restarts or partitions
    losses: int = 1
    duplicates: int = 1
    partition: tuple[int, int] | None = None
    step: int = STEP_US

    def clock(self, router: int) -> int:
        return self.now * CLOCK_RATES[router] // 10

    def usable(self) -> int:
        return sum(shares.usable(self.clock(router))[0] for router, shares in enumerate(self.shares))

    def send(self, message: BorrowPacket) -> None:
        if self.partition is None or {message.source, message.target} != set(self.partition):
            self.in_flight.append(message)

    def request(self, router: int, lender: int, kept_units: int, want: int) -> None:
        self.tags[router] += 1
        self.requests -= 1
        kept = self.shares[router].record_borrow_request(
            self.clock(router), lender, self.tags[router], kept_units
        )
        self.send(
            BorrowPacket("request", router, lender, self.incarnations[router], self.tags[router], kept, want)
        )

    def deliver(self, message: BorrowPacket) -> None:
        router = message.target
        now = self.clock(message.target)
        shares = self.shares[router]
        if message.kind == "reply":
            shares.accept_reply(now, message.source, message.tag, message.amount, LEASE_US)
            return
        borrower = message.source, message.incarnation
        if shares.accept_request(now, borrower, message.tag, message.amount) and message.want:
            amount = min(message.want, shares.lendable(now, borrower, LEASE_US))
            if amount:
                shares.lend(now, borrower, amount, LEASE_US)
                self.send(
                    BorrowPacket("reply", router, message.source, message.incarnation, message.tag, amount, 0)
                )

    def restart(self, router: int) -> None:
        self.incarnations[router] += 1
        self.tags[router] += 10
        self.shares[router] = Shares(CLOCKS, self.clock(router), LEASE_US, BASE, RESERVE)

    def key(self) -> bytes:
        state = (
            self.now,
            [(s.borrowed, s.lent, s.waits_until_us) for s in self.shares],
            self.incarnations,
            self.tags,
            sorted(self.in_flight),
            self.grants,
            self.requests,
            self.faults,
            self.losses,
            self.duplicates,
            self.partition,
        )
        return blake2b(repr(state).encode(), digest_size=12).digest()

    def copy(self) -> World:
        return replace(
            self,
            shares=[copy_shares(shares) for shares in self.shares],
            incarnations=self.incarnations[:],
            tags=self.tags[:],
            in_flight=self.in_flight[:],
        )


def copy_shares(shares: Shares) -> Shares:
    copied = copy(shares)
    copied.borrowed = {lender: copy(share) for lender, share in shares.borrowed.items()}
    copied.lent = {who: LentShare(lent.tag, lent.grants[:]) for who, lent in shares.lent.items()}
    return copied


class Packet(NamedTuple):
    source: int
    target: int
    incarnation: int  # incarnation of the source
    body: bytes


@dataclass
class LeaseWorld:
    """Router 0's base share, which its owner and another router request and lend. It is the quota without the
    reserves.

    The real ``LeaseManager`` objects process messages and reply; moves choose which requests are sent when.
    """

    now: int = 0
    managers: list[LeaseManager] = field(
        default_factory=lambda: [_manager(router, -10 * LEASE_US) for router in range(ROUTER_COUNT)]
    )
    shares: list[Shares] = field(
        default_factory=lambda: [_shares(-10 * LEASE_US) for _ in range(ROUTER_COUNT)]
    )
    incarnations: list[int] = field(default_factory=lambda: [0] * ROUTER_COUNT)
    in_flight: list[Packet] = field(default_factory=list)
    lease_requests: int = 4
    grants: int = 2
    faults: int = 1  # restarts or partitions
    losses: int = 1
    duplicates: int = 1
    partition: tuple[int, int] | None = None
    step: int = LEASE_US // 2
    early_releases: int = 0  # early releases of base shares
    returns: int = 0  # returns of borrowed shares
    fleet_starts: list[FleetStart] = field(default_factory=list)  # empty: no detection of a fleet restart
    start_messages: int = 0  # messages of this detection

    def clock(self, router: int) -> int:
        """Return a router's local time: the owner's clock is slow, router 2's clock is fast."""
        return self.now * (9, 10, 11)[router] // 10

    def usable(self) -> int:
        return sum(shares.usable(self.clock(router))[0] for router, shares in enumerate(self.shares))

    def send(self, source: int, sends: list[Send]) -> None:
        for target, body in sends:
            if self.partition is None or {source, target} != set(self.partition):
                self.in_flight.append(Packet(source, target, self.incarnations[source], body))

    def apply_leases(self, router: int) -> None:
        now = self.clock(router)
        manager = self.managers[router]
        self.shares[router].set_bases(
            now,
            {
                owner: BaseShare(SHARE_UNITS - ROUTER_COUNT * RESERVE, now, ends)
                for owner, ends in manager.held(now).items()
            },
        )
        if self.fleet_starts:
            self._update_start(router)

    def deliver(self, packet: Packet) -> None:
        router = packet.target
        now = self.clock(packet.target)
        message = decode(packet.body)
        if isinstance(message, LeaseMessage) and message.message_type is MessageType.FLEET_START:
            fleet_starts = self.fleet_starts[router]
            if fleet_starts.receive(packet.source, packet.incarnation, message.tag, message.lease_ms):
                self.send(router, [(packet.source, self._start_body(*fleet_starts.next_statement()))])
        elif isinstance(message, LeaseMessage):
            self.send(router, self.managers[router].receive(now, packet.source, packet.incarnation, message))
        elif message is not None:
            self._receive_borrow_message(router, now, packet, message)
        self.apply_leases(router)

    def _start_body(self, stated: int, state: int) -> bytes:
        return encode(LeaseMessage(MessageType.FLEET_START, 0, 0, stated, state, ()))

    def _update_start(self, router: int) -> None:
        """Update the detection of a fleet restart, as the state machine does after each event."""
        fleet_starts = self.fleet_starts[router]
        manager = self.managers[router]
        fleet_starts.held_anything |= bool(manager.holder.leases) or any(
            share.amount for share in self.shares[router].borrowed.values()
        )
        fleet_starts.state_nothing_held(lambda: self._drop_pending(router))
        if fleet_starts.is_fleet_restarted():
            manager.end_start_wait(self.clock(router))

    def _drop_pending(self, router: int) -> None:
        self.managers[router].holder.pending.clear()
        for share in self.shares[router].borrowed.values():
            share.pending = False

    def _receive_borrow_message(self, router: int, now: int, packet: Packet, message: BorrowMessage) -> None:
        shares = self.shares[router]
        tag = message.tag
        borrower = (packet.source, packet.incarnation)
        key, amount, want, _, _ = message.entries[0]
        if message.message_type is MessageType.BORROW_REPLY:
            shares.accept_reply(now, packet.source, tag, amount, message.lease_ms * 1000)
        elif shares.accept_request(now, borrower, tag, amount):
            lease_us = self.managers[router].lendable_us(now, LEASE_US)
            amount = min(want, shares.lendable(now, borrower, lease_us))
            if amount:
                shares.lend(now, borrower, amount, lease_us)
                self.send(
                    router,
                    [
                        (
                            packet.source,
                            encode(
                                BorrowMessage(
                                    MessageType.BORROW_REPLY,
                                    0,
                                    0,
                                    tag,
                                    lease_us // 1000,
                                    [BorrowEntry(key, amount, 0, 0.0, 0.0)],
                                )
                            ),
                        )
                    ],
                )

    def restart(self, router: int) -> None:
        self.incarnations[router] += 1
        self.managers[router], self.shares[router] = (
            _manager(router, self.clock(router)),
            _shares(self.clock(router)),
        )
        if self.fleet_starts:
            self.fleet_starts[router] = FleetStart(router, ROUTER_COUNT, self.incarnations[router])

    def moves(self, max_in_flight: int) -> Iterator[Move]:
        # The owner and one more router; with the detection of a fleet restart all routers.
        for router in range(ROUTER_COUNT if self.start_messages else 2):
            is_held = self.managers[router].holder.ends_at(0) > self.clock(router)
            if self.lease_requests and len(self.in_flight) < max_in_flight:
                for granter in range(ROUTER_COUNT):
                    if granter != router:
                        yield "request lease", router, granter
            if 0 in self.managers[router].wanted and not is_held and self.managers[router].holder.leases:
                yield "release lease", router, 0
            if self.early_releases and is_held:
                yield "shut down", router, 0
            for other in range(
                ROUTER_COUNT if self.start_messages and len(self.in_flight) < max_in_flight else 0
            ):
                if other != router:
                    yield "send start", router, other
        if self.returns and len(self.in_flight) < max_in_flight:
            for borrower, lender in ((2, 0), (1, 0)):
                if borrower and lender in self.shares[borrower].borrowed:
                    yield "return", borrower, lender
        if self.grants and len(self.in_flight) < max_in_flight:
            for borrower, lender in ((2, 0), (1, 0), (2, 1)):
                yield "borrow", borrower, lender
        if self.faults:
            for router in range(ROUTER_COUNT):
                yield "restart", router, 0
            for one, other in ((0, 1), (0, 2)):
                yield "partition", one, other

    def apply_move(self, move: Move) -> None:
        kind, router, other = move
        now = self.clock(router)
        manager = self.managers[router]
        match kind:
            case "request lease":
                self.lease_requests -= 1
                manager.wanted[0] = now
                self.send(router, manager.request(now, [0], [other]))
            case "release lease":
                self.send(router, manager.release(now, 0))
            case "send start":
                self.start_messages -= 1
                fleet_starts = self.fleet_starts[router]
                stated, state = fleet_starts.next_statement()
                self.send(router, [(other, self._start_body(stated, state or StartState.REPLY_WANTED))])
            case "shut down":
                self.early_releases -= 1
                self.send(router, manager.start_shutdown(now, self.shares[router].all_returned_at(now)))
            case "borrow":
                self.grants -= 1
                self._request(router, other, SHARE_UNITS)
            case "return":
                self.returns -= 1
                self._request(router, other, 0)
        self.apply_leases(router)

    def _request(self, router: int, lender: int, want: int) -> None:
        """Send a request to borrow ``want`` in total, or to return everything if it is 0."""
        tag = self.clock(router) // 1000 + 1000 - self.grants - self.returns  # increases with each request
        kept = self.shares[router].record_borrow_request(self.clock(router), lender, tag, want)
        self.send(
            router,
            [
                (
                    lender,
                    encode(
                        BorrowMessage(
                            MessageType.BORROW_REQUEST, 0, 0, tag, 0, [BorrowEntry(0, kept, want, 0.0, 0.0)]
                        )
                    ),
                )
            ],
        )

    def key(self) -> bytes:
        state = (
            self.now,
            [(s.borrowed, s.lent, s.bases) for s in self.shares],
            [
                (t.granter.records, t.granter.waits_until_us, t.holder.pending, t.holder.leases, t.wanted)
                for t in self.managers
            ],
            self.incarnations,
            sorted(self.in_flight),
            self.lease_requests,
            self.grants,
            self.faults,
            self.losses,
            self.duplicates,
            self.partition,
            self.early_releases,
            self.returns,
            self.start_messages,
            [vars(one) for one in self.fleet_starts],
        )
        return blake2b(repr(state).encode(), digest_size=12).digest()

    def copy(self) -> LeaseWorld:
        return replace(
            self,
            managers=[copy_manager(one) for one in self.managers],
            incarnations=self.incarnations[:],
            shares=[copy_shares(shares) for shares in self.shares],
            in_flight=self.in_flight[:],
            fleet_starts=[copy_fleet_start(one) for one in self.fleet_starts],
        )


def _manager(router: int, started_us: int) -> LeaseManager:
    manager = LeaseManager(router, ROUTER_COUNT, ROUTER_COUNT, CLOCKS, started_us, LEASE_US)
    manager.apply_plan(0, 0, LEASE_US, {0})
    return manager


def _shares(started_us: int) -> Shares:
    return Shares(CLOCKS, started_us, LEASE_US, RESERVE, RESERVE)


def copy_manager(manager: LeaseManager) -> LeaseManager:
    copied = copy(manager)
    copied.granter, copied.holder = copy(manager.granter), copy(manager.holder)
    copied.messages, copied.renewal = copy(manager.messages), copy(manager.renewal)
    copied.granter.records = dict(manager.granter.records)  # records and requests are immutable
    copied.holder.pending = dict(manager.holder.pending)
    copied.holder.leases = {owner: dict(found) for owner, found in manager.holder.leases.items()}
    copied.wanted = dict(manager.wanted)
    copied.returning = set(manager.returning)
    return copied


def copy_fleet_start(fleet_starts: FleetStart) -> FleetStart:
    copied = copy(fleet_starts)
    for name, found in vars(fleet_starts).items():
        if isinstance(found, dict | set):
            setattr(copied, name, found.copy())
    return copied


DELIVER_FIRST = ("deliver", 0, 0)
BORROW_ALL = (("borrow", 1, 0), DELIVER_FIRST, DELIVER_FIRST)  # router 1 borrows the owner's whole share
# Restarted routers, and the number of moves of BORROW_ALL before: router 1 has the share, or
# the reply is in flight.
RESTARTS = (((0, 1, 2), 3), ((0, 2), 3), ((0, 2), 2))
# The release of the base share arrives late.
LATE_RELEASE = (("release lease", 0, 0), ("request lease", 0, 2), ("deliver", 1, 0), ("deliver", 1, 0))


# The message that shortens the lease arrives late.
LATE_SHORTEN = (("shut down", 0, 0), DELIVER_FIRST, *LATE_RELEASE[1:])


def world_with_lease(steps: int = 0, *more: Move, early_releases: int = 0) -> LeaseWorld:
    """Return a world in which routers 0 and 2 granted the owner its base share, after ``steps`` steps of time
    and the moves ``more``.

    ``early_releases`` is the number of early releases of base shares, and of returns of recalled shares.
    """
    world: World | LeaseWorld = LeaseWorld(early_releases=early_releases, returns=early_releases)
    for move in (("request lease", 0, 2), DELIVER_FIRST, DELIVER_FIRST, *[("step", 0, 0)] * steps, *more):
        if move != DELIVER_FIRST or world.in_flight:
            world = apply_move(world, move)
    assert isinstance(world, LeaseWorld)
    assert world.managers[0].holder.leases
    return world


def world_after_restarts(
    restarts: Sequence[int], before: Sequence[Move] = BORROW_ALL, after: Sequence[Move] = ()
) -> LeaseWorld:
    """Return a world after restarts.

    First all routers state that they held nothing, the owner gets its base share, and the moves ``before``
    follow. Then the routers ``restarts`` restart, the moves ``after`` follow, and all routers exchange their
    incarnations and statements.
    """
    world: World | LeaseWorld = LeaseWorld(
        fleet_starts=[FleetStart(router, ROUTER_COUNT, 0) for router in range(ROUTER_COUNT)],
        start_messages=20,
        faults=1,
        grants=4,
    )
    pairs = [
        ("send start", router, other)
        for router in range(ROUTER_COUNT)
        for other in range(ROUTER_COUNT)
        if router != other
    ]
    for move in [*pairs, ("request lease", 0, 2), *before]:
        world = apply_move(world, move)
        while move[0] in ("send start", "request lease") and world.in_flight:
            world = apply_move(world, DELIVER_FIRST)
    assert isinstance(world, LeaseWorld)
    assert world.managers[0].holder.leases
    for router in restarts:
        world.restart(router)
    for move in [*after, *pairs, *pairs]:
        world = apply_move(world, move)
        while move[0] == "send start" and (
            positions := [
                index
                for index, one in enumerate(world.in_flight)
                if isinstance(one, Packet)
                and isinstance(message := decode(one.body), LeaseMessage)
                and message.message_type is MessageType.FLEET_START
            ]
        ):
            world = apply_move(world, ("deliver", positions[0], 0))
    assert isinstance(world, LeaseWorld)
    world.lease_requests = 3
    world.start_messages = 3
    world.grants = 2
    return world


def _common_moves(world: World | LeaseWorld) -> Iterator[Move]:
    """Yield the moves of messages and time, which both worlds have."""
    for index, message in enumerate(world.in_flight):
        if message in world.in_flight[:index]:
            continue
        yield "deliver", index, 0
        if world.losses:
            yield "lose", index, 0
        if world.duplicates:
            yield "duplicate", index, 0
    yield "step", 0, 0


def moves(world: World | LeaseWorld, max_in_flight: int = 3) -> Iterator[Move]:
    """Yield all possible moves."""
    yield from _common_moves(world)
    if isinstance(world, LeaseWorld):
        yield from world.moves(max_in_flight)
        return
    if world.requests and len(world.in_flight) < max_in_flight:
        for router, lender in ((1, 0), (2, 0)):  # two borrowers of one lender: the worst case for its records
            held = world.shares[router].borrowed.get(lender)
            amount = held.amount if held is not None and held.lease.is_valid(world.clock(router)) else 0
            if world.grants or amount:
                yield "request", router, lender
            if amount:
                yield "renew", router, lender
                yield "reduce", router, lender
                yield "return", router, lender
    if world.faults:
        for router in (0, 1):
            yield "restart", router, 0
        yield "partition", 0, 1


def apply_move(world: World | LeaseWorld, move: Move) -> World | LeaseWorld:
    next_world = world.copy()
    match move:
        case "deliver", index, _:
            next_world.deliver(next_world.in_flight.pop(index))  # type: ignore[arg-type]
        case "lose", index, _:
            del next_world.in_flight[index]
            next_world.losses -= 1
        case "duplicate", index, _:
            next_world.duplicates -= 1
            next_world.in_flight.append(next_world.in_flight[index])  # type: ignore[arg-type]
        case "step", _, _:
            next_world.now += next_world.step
        case "restart", router, _:
            next_world.faults -= 1
            next_world.restart(router)
        case "partition", one, other:
            next_world.faults -= 1
            next_world.partition = one, other
        case _ if isinstance(next_world, LeaseWorld):
            next_world.apply_move(move)
        case _:
            assert isinstance(next_world, World)
            _apply_borrow_move(next_world, move)
    return next_world


def _apply_borrow_move(world: World, move: Move) -> None:
    match move:
        case "request", router, lender:
            world.grants -= 1
            world.request(router, lender, 0, AMOUNT)
        case "renew", router, lender:
            world.request(router, lender, AMOUNT, AMOUNT)
        case "reduce", router, lender:
            world.request(router, lender, AMOUNT, AMOUNT // 2)
        case "return", router, lender:
            world.request(router, lender, AMOUNT // 2, 0)


@dataclass
class Exploration:
    states: int = 0
    max_usable: int = 0  # largest sum of usable shares
    moves: Counter[str] = field(default_factory=Counter)
    violation: str = ""


def explore(depth: int, max_states: int = 10**7, start: World | LeaseWorld | None = None) -> Exploration:
    """Explore all orders of moves breadth first; stop at the first violation and return its moves."""
    start = start or World()
    found = Exploration()
    seen = {start.key()}
    frontier: list[tuple[World | LeaseWorld, tuple[Move, ...]]] = [(start, ())]
    for _ in range(depth):
        next_frontier = []
        for world, path in frontier:
            for move in moves(world):
                next_world = apply_move(world, move)
                found.moves[move[0]] += 1
                usable = next_world.usable()
                found.max_usable = max(found.max_usable, usable)
                if usable > SHARE_UNITS:
                    found.violation = f"{usable} of {SHARE_UNITS} after {[*path, move]}"
                    found.states = len(seen)
                    return found
                key = next_world.key()
                if key not in seen and len(seen) < max_states:
                    seen.add(key)
                    next_frontier.append((next_world, (*path, move)))
        frontier = next_frontier
    found.states = len(seen)
    return found


def random_walks(
    walks: int,
    seed: int = 1,
    depth: int = 60,
    *,
    leases: bool = False,
    early_releases: int = 0,
    start: Callable[[], LeaseWorld] | None = None,
) -> Exploration:
    """Explore random walks, which are deeper and have more events than an exhaustive exploration can."""
    random = Random(seed)
    found = Exploration()
    for _ in range(walks):
        world: World | LeaseWorld = (
            LeaseWorld(
                lease_requests=14,
                grants=4,
                faults=3,
                losses=4,
                duplicates=4,
                early_releases=early_releases,
                returns=early_releases,
            )
            if leases
            else World(grants=6, requests=14, faults=3, losses=4, duplicates=4)
        )
        path: list[Move] = []
        if start is not None:
            world = replace(
                start(), lease_requests=14, grants=4, faults=3, losses=4, duplicates=4, start_messages=24
            )
        for _ in range(depth):
            possible = list(moves(world, 5))
            path.append(random.choice(possible))
            world = apply_move(world, path[-1])
            found.moves[path[-1][0]] += 1
            found.states += 1
            found.max_usable = max(found.max_usable, world.usable())
            if world.usable() > SHARE_UNITS:
                found.violation = f"{world.usable()} of {SHARE_UNITS} after {path}"
                return found
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=9)
    parser.add_argument("--walks", type=int, default=2_000)
    chosen = parser.parse_args()
    for subject, found in (
        (f"of borrowed shares to depth {chosen.depth}", explore(chosen.depth)),
        (f"of leases to depth {chosen.depth}", explore(chosen.depth, start=LeaseWorld())),
        (
            f"of leases after the owner's first lease, to depth {chosen.depth}",
            explore(chosen.depth, start=world_with_lease()),
        ),
        (
            f"of leases near the end of the owner's lease, to depth {chosen.depth}",
            explore(chosen.depth, start=world_with_lease(4, *BORROW_ALL)),
        ),
        (
            f"of leases that are released early, to depth {chosen.depth}",
            explore(chosen.depth, start=world_with_lease(1, *BORROW_ALL, early_releases=2)),
        ),
        *(
            (
                f"of leases after restarts of {restarts}, to depth {chosen.depth}",
                explore(chosen.depth, start=world_after_restarts(restarts, BORROW_ALL[:move_count])),
            )
            for restarts, move_count in RESTARTS
        ),
        (f"of borrowed shares on {chosen.walks} random walks", random_walks(chosen.walks)),
        (f"of leases on {chosen.walks} random walks", random_walks(chosen.walks, leases=True)),
        (
            f"of leases that are released early on {chosen.walks} random walks",
            random_walks(chosen.walks, leases=True, early_releases=3),
        ),
        (
            f"of leases after restarts on {chosen.walks} random walks",
            random_walks(chosen.walks, leases=True, start=lambda: world_after_restarts((0, 2))),
        ),
    ):
        print(
            f"{found.states} states {subject}, moves {dict(found.moves)}; at most {found.max_usable} of "
            f"{SHARE_UNITS} usable at the same time; {found.violation or 'no violation'}"
        )


if __name__ == "__main__":
    main()
