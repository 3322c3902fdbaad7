"""Explores terms and grants exhaustively, of loans and of managers: three routers, one tenant, up to two
grants that borrowers begin, one restart or cut, messages lost, repeated and late. ``python
tests/explore_quota.py --depth 12`` covers more than CI does.

The property, in every state: what all routers may use at one moment is at most the whole quota. Time goes on
in steps of a part of a term; clocks run apart, as far as they may.
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
from slipbay.quota.shares import WHOLE, BaseShare, LentShare, Shares

SIZE = 3
TERM = 1_000_000
STEP = TERM // 4
CLOCKS = ClockBounds(100_000, 0)  # a tenth: so that drift shows within one term
PACES = (10, 11, 9)  # of a clock, in tenths of true time: the borrowers' 1 is fast, 2 is slow
BASE = WHOLE // SIZE
RESERVE = WHOLE // SIZE // 10
AMOUNT = BASE - RESERVE


class Flying(NamedTuple):
    sort: str  # ask, answer
    source: int
    target: int
    life: int  # of the borrower
    tag: int
    amount: int  # kept, or lent
    want: int


Move = tuple[str, int, int]


@dataclass
class World:
    """Three routers, what flies between them, and which faults are left. The least of a router's machine that
    talks: it asks, answers, renews and gives back as the real one does, at any time that a move picks."""

    now: int = 0
    shares: list[Shares] = field(
        default_factory=lambda: [Shares(CLOCKS, -10 * TERM, TERM, BASE, RESERVE) for _ in range(SIZE)]
    )
    incarnations: list[int] = field(default_factory=lambda: [0] * SIZE)
    tags: list[int] = field(default_factory=lambda: [0] * SIZE)
    flying: list[Flying] = field(default_factory=list)
    grants: int = 2
    asks: int = 4
    faults: int = 1  # a restart or a cut
    losses: int = 1
    doubles: int = 1
    cut: tuple[int, int] | None = None
    step: int = STEP

    def clock(self, me: int) -> int:
        return self.now * PACES[me] // 10

    def usable(self) -> int:
        return sum(shares.usable(self.clock(me))[0] for me, shares in enumerate(self.shares))

    def send(self, message: Flying) -> None:
        if self.cut is None or {message.source, message.target} != set(self.cut):
            self.flying.append(message)

    def ask(self, me: int, lender: int, keep: int, want: int) -> None:
        self.tags[me] += 1
        self.asks -= 1
        kept = self.shares[me].request(self.clock(me), lender, self.tags[me], keep)
        self.send(Flying("ask", me, lender, self.incarnations[me], self.tags[me], kept, want))

    def deliver(self, message: Flying) -> None:
        me = message.target
        now = self.clock(message.target)
        shares = self.shares[me]
        if message.sort == "answer":
            shares.take_reply(now, message.source, message.tag, message.amount, TERM)
            return
        borrower = message.source, message.life
        if shares.take_request(now, borrower, message.tag, message.amount) and message.want:
            amount = min(message.want, shares.lendable(now, borrower, TERM))
            if amount:
                shares.lend(now, borrower, amount, TERM)
                self.send(Flying("answer", me, message.source, message.life, message.tag, amount, 0))

    def restart(self, me: int) -> None:
        self.incarnations[me] += 1
        self.tags[me] += 10
        self.shares[me] = Shares(CLOCKS, self.clock(me), TERM, BASE, RESERVE)

    def key(self) -> bytes:
        told = (
            self.now,
            [(s.borrowed, s.lent, s.waits_until) for s in self.shares],
            self.incarnations,
            self.tags,
            sorted(self.flying),
            self.grants,
            self.asks,
            self.faults,
            self.losses,
            self.doubles,
            self.cut,
        )
        return blake2b(repr(told).encode(), digest_size=12).digest()

    def copy(self) -> World:
        return replace(
            self,
            shares=[copied(shares) for shares in self.shares],
            incarnations=self.incarnations[:],
            tags=self.tags[:],
            flying=self.flying[:],
        )


def copied(shares: Shares) -> Shares:
    after = copy(shares)
    after.borrowed = {lender: copy(loan) for lender, loan in shares.borrowed.items()}
    after.lent = {who: LentShare(lent.tag, lent.grants[:]) for who, lent in shares.lent.items()}
    return after


class Sent(NamedTuple):
    source: int
    target: int
    life: int  # of the source
    body: bytes


@dataclass
class LeaseWorld:
    """Router 0's base share, which its owner and a deputy ask for, and lend to others. It is all of the quota
    beyond the reserves. The real machines say what is answered; moves say who asks whom when."""

    now: int = 0
    managers: list[LeaseManager] = field(
        default_factory=lambda: [_manager(me, -10 * TERM) for me in range(SIZE)]
    )
    shares: list[Shares] = field(default_factory=lambda: [_shares(-10 * TERM) for _ in range(SIZE)])
    incarnations: list[int] = field(default_factory=lambda: [0] * SIZE)
    flying: list[Sent] = field(default_factory=list)
    holds: int = 4
    grants: int = 2
    faults: int = 1  # a restart or a cut
    losses: int = 1
    doubles: int = 1
    cut: tuple[int, int] | None = None
    step: int = TERM // 2
    ends: int = 0  # base shares that are released early
    returns: int = 0  # of loans
    fleet_starts: list[FleetStart] = field(default_factory=list)  # none: nobody asks whether all are new
    tells: int = 0  # messages of that

    def clock(self, me: int) -> int:
        """The owner's is slow, and that of the granter beside the deputy fast."""
        return self.now * (9, 10, 11)[me] // 10

    def usable(self) -> int:
        return sum(shares.usable(self.clock(me))[0] for me, shares in enumerate(self.shares))

    def send(self, source: int, sends: list[Send]) -> None:
        for target, body in sends:
            if self.cut is None or {source, target} != set(self.cut):
                self.flying.append(Sent(source, target, self.incarnations[source], body))

    def settle(self, me: int) -> None:
        now = self.clock(me)
        manager = self.managers[me]
        self.shares[me].set_bases(
            now,
            {
                owner: BaseShare(WHOLE - SIZE * RESERVE, now, ends)
                for owner, ends in manager.held(now).items()
            },
        )
        if self.fleet_starts:
            self._update_start(me)

    def deliver(self, said: Sent) -> None:
        me = said.target
        now = self.clock(said.target)
        message = decode(said.body)
        if isinstance(message, LeaseMessage) and message.message_type is MessageType.FLEET_START:
            fleet_starts = self.fleet_starts[me]
            if fleet_starts.receive(said.source, said.life, message.tag, message.lease_ms):
                self.send(me, [(said.source, self._start_body(*fleet_starts.statement()))])
        elif isinstance(message, LeaseMessage):
            self.send(me, self.managers[me].receive(now, said.source, said.life, message))
        elif message is not None:
            self._loan(me, now, said, message)
        self.settle(me)

    def _start_body(self, stated: int, state: int) -> bytes:
        return encode(LeaseMessage(MessageType.FLEET_START, 0, 0, stated, state, ()))

    def _update_start(self, me: int) -> None:
        """As the machine does after each event."""
        fleet_starts = self.fleet_starts[me]
        manager = self.managers[me]
        fleet_starts.held_anything |= bool(manager.holder.leases) or any(
            loan.amount for loan in self.shares[me].borrowed.values()
        )
        fleet_starts.state_nothing_held(lambda: self._drop(me))
        if fleet_starts.all_new():
            manager.end_start_wait(self.clock(me))

    def _drop(self, me: int) -> None:
        self.managers[me].holder.pending.clear()
        for loan in self.shares[me].borrowed.values():
            loan.pending = False

    def _loan(self, me: int, now: int, said: Sent, message: BorrowMessage) -> None:
        shares = self.shares[me]
        tag = message.tag
        borrower = (said.source, said.life)
        key, amount, want, _, _ = message.entries[0]
        if message.message_type is MessageType.BORROW_REPLY:
            shares.take_reply(now, said.source, tag, amount, message.lease_ms * 1000)
        elif shares.take_request(now, borrower, tag, amount):
            length = self.managers[me].lendable_us(now, TERM)
            amount = min(want, shares.lendable(now, borrower, length))
            if amount:
                shares.lend(now, borrower, amount, length)
                self.send(
                    me,
                    [
                        (
                            said.source,
                            encode(
                                BorrowMessage(
                                    MessageType.BORROW_REPLY,
                                    0,
                                    0,
                                    tag,
                                    length // 1000,
                                    [BorrowEntry(key, amount, 0, 0.0, 0.0)],
                                )
                            ),
                        )
                    ],
                )

    def restart(self, me: int) -> None:
        self.incarnations[me] += 1
        self.managers[me], self.shares[me] = _manager(me, self.clock(me)), _shares(self.clock(me))
        if self.fleet_starts:
            self.fleet_starts[me] = FleetStart(me, SIZE, self.incarnations[me])

    def moves(self, most_flying: int) -> Iterator[Move]:
        for me in range(SIZE if self.tells else 2):  # the owner, a deputy, and whoever else may be new
            ours = self.managers[me].holder.ends_at(0) > self.clock(me)
            if self.holds and len(self.flying) < most_flying:
                for granter in range(SIZE):
                    if granter != me:
                        yield "hold", me, granter
            if 0 in self.managers[me].wanted and not ours and self.managers[me].holder.leases:
                yield "leave", me, 0
            if self.ends and ours:
                yield "end", me, 0
            for other in range(SIZE if self.tells and len(self.flying) < most_flying else 0):
                if other != me:
                    yield "tell", me, other
        if self.returns and len(self.flying) < most_flying:
            for borrower, lender in ((2, 0), (1, 0)):
                if borrower and lender in self.shares[borrower].borrowed:
                    yield "return", borrower, lender
        if self.grants and len(self.flying) < most_flying:
            for borrower, lender in ((2, 0), (1, 0), (2, 1)):
                yield "borrow", borrower, lender
        if self.faults:
            for me in range(SIZE):
                yield "restart", me, 0
            for one, other in ((0, 1), (0, 2)):
                yield "cut", one, other

    def make(self, move: Move) -> None:
        what, me, other = move
        now = self.clock(me)
        manager = self.managers[me]
        match what:
            case "hold":
                self.holds -= 1
                manager.wanted[0] = now
                self.send(me, manager.request(now, [0], [other]))
            case "leave":
                self.send(me, manager.release(now, 0))
            case "tell":
                self.tells -= 1
                fleet_starts = self.fleet_starts[me]
                stated, state = fleet_starts.statement()
                self.send(me, [(other, self._start_body(stated, state or StartState.REPLY_WANTED))])
            case "end":
                self.ends -= 1
                self.send(me, manager.end(now, self.shares[me].all_back_at(now)))
            case "borrow":
                self.grants -= 1
                self._ask(me, other, WHOLE)
            case "return":
                self.returns -= 1
                self._ask(me, other, 0)
        self.settle(me)

    def _ask(self, me: int, lender: int, want: int) -> None:
        """To keep what is lent and have so much, or to keep nothing."""
        tag = self.clock(me) // 1000 + 1000 - self.grants - self.returns  # rises
        kept = self.shares[me].request(self.clock(me), lender, tag, want)
        self.send(
            me,
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
        told = (
            self.now,
            [(s.borrowed, s.lent, s.bases) for s in self.shares],
            [
                (t.granter.records, t.granter.waits_until, t.holder.pending, t.holder.leases, t.wanted)
                for t in self.managers
            ],
            self.incarnations,
            sorted(self.flying),
            self.holds,
            self.grants,
            self.faults,
            self.losses,
            self.doubles,
            self.cut,
            self.ends,
            self.returns,
            self.tells,
            [vars(one) for one in self.fleet_starts],
        )
        return blake2b(repr(told).encode(), digest_size=12).digest()

    def copy(self) -> LeaseWorld:
        return replace(
            self,
            managers=[copied_manager(one) for one in self.managers],
            incarnations=self.incarnations[:],
            shares=[copied(shares) for shares in self.shares],
            flying=self.flying[:],
            fleet_starts=[copied_fleet_start(one) for one in self.fleet_starts],
        )


def _manager(me: int, started: int) -> LeaseManager:
    manager = LeaseManager(me, SIZE, SIZE, CLOCKS, started, TERM)
    manager.follow_plan(0, 0, TERM, {0})
    return manager


def _shares(started: int) -> Shares:
    return Shares(CLOCKS, started, TERM, RESERVE, RESERVE)


def copied_manager(manager: LeaseManager) -> LeaseManager:
    after = copy(manager)
    after.granter, after.holder = copy(manager.granter), copy(manager.holder)
    after.messages, after.renewal = copy(manager.messages), copy(manager.renewal)
    after.granter.records = dict(manager.granter.records)  # records and requests are replaced, never changed
    after.holder.pending = dict(manager.holder.pending)
    after.holder.leases = {owner: dict(found) for owner, found in manager.holder.leases.items()}
    after.wanted = dict(manager.wanted)
    after.returning = set(manager.returning)
    return after


def copied_fleet_start(fleet_starts: FleetStart) -> FleetStart:
    after = copy(fleet_starts)
    for name, found in vars(fleet_starts).items():
        if isinstance(found, dict | set):
            setattr(after, name, found.copy())
    return after


FIRST = ("deliver", 0, 0)
LENT = (("borrow", 1, 0), FIRST, FIRST)  # 1 asks the owner for all
RESTARTS = (((0, 1, 2), 3), ((0, 2), 3), ((0, 2), 2))  # 1 has the loan yet, or its answer is under way
LATE = (("leave", 0, 0), ("hold", 0, 2), ("deliver", 1, 0), ("deliver", 1, 0))  # the release is late


LATE_END = (("end", 0, 0), FIRST, *LATE[1:])  # and here the notice that the lease ends early


def begun(steps: int = 0, *more: Move, ends: int = 0) -> LeaseWorld:
    """The owner has its base share, by its own grant and that of 2; some steps go by, and more happens.
    ``ends``:
    how often a base share may be released early, and borrowed shares as they are recalled then."""
    world: World | LeaseWorld = LeaseWorld(ends=ends, returns=ends)
    for move in (("hold", 0, 2), FIRST, FIRST, *[("step", 0, 0)] * steps, *more):
        if move != FIRST or world.flying:
            world = make(world, move)
    assert isinstance(world, LeaseWorld)
    assert world.managers[0].holder.leases
    return world


def restarted(
    restarts: Sequence[int], before: Sequence[Move] = LENT, after: Sequence[Move] = ()
) -> LeaseWorld:
    """All state that they have held nothing; the owner has its base share, and what is in ``before``
    happens. Then
    some begin anew, and all tell all others their incarnations, and what they state once they know them."""
    world: World | LeaseWorld = LeaseWorld(
        fleet_starts=[FleetStart(me, SIZE, 0) for me in range(SIZE)], tells=20, faults=1, grants=4
    )
    pairs = [("tell", me, other) for me in range(SIZE) for other in range(SIZE) if me != other]
    for move in [*pairs, ("hold", 0, 2), *before]:
        world = make(world, move)
        while move[0] in ("tell", "hold") and world.flying:
            world = make(world, FIRST)
    assert isinstance(world, LeaseWorld)
    assert world.managers[0].holder.leases
    for me in restarts:
        world.restart(me)
    for move in [*after, *pairs, *pairs]:
        world = make(world, move)
        while move[0] == "tell" and (
            said := [
                place
                for place, one in enumerate(world.flying)
                if isinstance(one, Sent)
                and isinstance(message := decode(one.body), LeaseMessage)
                and message.message_type is MessageType.FLEET_START
            ]
        ):
            world = make(world, ("deliver", said[0], 0))
    assert isinstance(world, LeaseWorld)
    world.holds = 3
    world.tells = 3
    world.grants = 2
    return world


def _befalls(world: World | LeaseWorld) -> Iterator[Move]:
    """What may befall messages, time and routers in either world."""
    for place, message in enumerate(world.flying):
        if message in world.flying[:place]:
            continue
        yield "deliver", place, 0
        if world.losses:
            yield "lose", place, 0
        if world.doubles:
            yield "double", place, 0
    yield "step", 0, 0


def moves(world: World | LeaseWorld, most_flying: int = 3) -> Iterator[Move]:
    """What may happen next."""
    yield from _befalls(world)
    if isinstance(world, LeaseWorld):
        yield from world.moves(most_flying)
        return
    if world.asks and len(world.flying) < most_flying:
        for me, lender in ((1, 0), (2, 0)):  # two borrowers of one lender: the worst case of its books
            held = world.shares[me].borrowed.get(lender)
            amount = held.amount if held is not None and held.lease.is_valid(world.clock(me)) else 0
            if world.grants or amount:
                yield "ask", me, lender
            if amount:
                yield "renew", me, lender
                yield "less", me, lender
                yield "return", me, lender
    if world.faults:
        for me in (0, 1):
            yield "restart", me, 0
        yield "cut", 0, 1


def make(world: World | LeaseWorld, move: Move) -> World | LeaseWorld:
    after = world.copy()
    match move:
        case "deliver", place, _:
            after.deliver(after.flying.pop(place))  # type: ignore[arg-type]
        case "lose", place, _:
            del after.flying[place]
            after.losses -= 1
        case "double", place, _:
            after.doubles -= 1
            after.flying.append(after.flying[place])  # type: ignore[arg-type]
        case "step", _, _:
            after.now += after.step
        case "restart", me, _:
            after.faults -= 1
            after.restart(me)
        case "cut", one, other:
            after.faults -= 1
            after.cut = one, other
        case _ if isinstance(after, LeaseWorld):
            after.make(move)
        case _:
            assert isinstance(after, World)
            _make(after, move)
    return after


def _make(after: World, move: Move) -> None:
    match move:
        case "ask", me, lender:
            after.grants -= 1
            after.ask(me, lender, 0, AMOUNT)
        case "renew", me, lender:
            after.ask(me, lender, AMOUNT, AMOUNT)
        case "less", me, lender:
            after.ask(me, lender, AMOUNT, AMOUNT // 2)
        case "return", me, lender:
            after.ask(me, lender, AMOUNT // 2, 0)


@dataclass
class Found:
    states: int = 0
    most: int = 0  # that was usable at once
    moves: Counter[str] = field(default_factory=Counter)
    violation: str = ""


def explore(depth: int, most_states: int = 10**7, start: World | LeaseWorld | None = None) -> Found:
    """Breadth first; stops at the first violation, with the moves that lead to it."""
    start = start or World()
    found = Found()
    seen = {start.key()}
    edge: list[tuple[World | LeaseWorld, tuple[Move, ...]]] = [(start, ())]
    for _ in range(depth):
        following = []
        for world, path in edge:
            for move in moves(world):
                after = make(world, move)
                found.moves[move[0]] += 1
                usable = after.usable()
                found.most = max(found.most, usable)
                if usable > WHOLE:
                    found.violation = f"{usable} of {WHOLE} after {[*path, move]}"
                    found.states = len(seen)
                    return found
                key = after.key()
                if key not in seen and len(seen) < most_states:
                    seen.add(key)
                    following.append((after, (*path, move)))
        edge = following
    found.states = len(seen)
    return found


def wander(
    walks: int,
    seed: int = 1,
    depth: int = 60,
    *,
    leases: bool = False,
    ends: int = 0,
    start: Callable[[], LeaseWorld] | None = None,
) -> Found:
    """Random walks, far deeper and with more of everything than all orders can be tried for."""
    random = Random(seed)
    found = Found()
    for _ in range(walks):
        world: World | LeaseWorld = (
            LeaseWorld(holds=14, grants=4, faults=3, losses=4, doubles=4, ends=ends, returns=ends)
            if leases
            else World(grants=6, asks=14, faults=3, losses=4, doubles=4)
        )
        path: list[Move] = []
        if start is not None:
            world = replace(start(), holds=14, grants=4, faults=3, losses=4, doubles=4, tells=24)
        for _ in range(depth):
            able = list(moves(world, 5))
            path.append(random.choice(able))
            world = make(world, path[-1])
            found.moves[path[-1][0]] += 1
            found.states += 1
            found.most = max(found.most, world.usable())
            if world.usable() > WHOLE:
                found.violation = f"{world.usable()} of {WHOLE} after {path}"
                return found
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=9)
    parser.add_argument("--walks", type=int, default=2_000)
    chosen = parser.parse_args()
    for what, found in (
        (f"of borrowed shares to depth {chosen.depth}", explore(chosen.depth)),
        (f"of leases to depth {chosen.depth}", explore(chosen.depth, start=LeaseWorld())),
        (
            f"of leases after the owner's first, to depth {chosen.depth}",
            explore(chosen.depth, start=begun()),
        ),
        (
            f"of leases as the owner's is near its end, to depth {chosen.depth}",
            explore(chosen.depth, start=begun(4, *LENT)),
        ),
        (
            f"of leases that are released early, to depth {chosen.depth}",
            explore(chosen.depth, start=begun(1, *LENT, ends=2)),
        ),
        *(
            (
                f"of incarnations that started anew: {restarts}, to depth {chosen.depth}",
                explore(chosen.depth, start=restarted(restarts, LENT[:many])),
            )
            for restarts, many in RESTARTS
        ),
        (f"of borrowed shares on {chosen.walks} random walks", wander(chosen.walks)),
        (f"of leases on {chosen.walks} random walks", wander(chosen.walks, leases=True)),
        (
            f"of leases that are released early on {chosen.walks} random walks",
            wander(chosen.walks, leases=True, ends=3),
        ),
        (
            f"of incarnations that start anew on {chosen.walks} random walks",
            wander(chosen.walks, leases=True, start=lambda: restarted((0, 2))),
        ),
    ):
        print(
            f"{found.states} states {what}, moves {dict(found.moves)}; at most {found.most} of {WHOLE} "
            f"usable at once; {found.violation or 'no violation'}"
        )


if __name__ == "__main__":
    main()
