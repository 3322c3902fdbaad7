"""Explores the membership state machines of three routers: all orders of delivery, loss, crashes and
restarts, within a bound. ``python tests/explore_view.py --depth 11 --states 400000`` covers more than CI
does.

Properties in every state: (1) a running router is ALIVE in its own table; (2) an entry is never replaced by
an update of lower precedence; (3) no table returns to an earlier process of a number after a later one; (4)
every router sends within its rate. From the states at the bound: (5) after faults end, all tables converge to
the set of running routers.
"""

from __future__ import annotations

import argparse
import pickle
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from random import Random

from slipbay.membership.codec import MemberState
from slipbay.membership.state_machine import MembershipStateMachine
from slipbay.membership.timing import SECOND, Timing

SIZE = 3
START = 1_700_000_000 * SECOND
STEP = 150_000
# Short intervals, so that protocol rounds take few moves.
FAST_TIMING = Timing(
    probe_us=STEP,
    answer_us=STEP // 2,
    tries=1,
    helpers=1,
    suspect_us=STEP,
    patience=1.0,
    gossip_us=STEP,
    fan=1,
    sync_us=2 * STEP,
    reach_us=2 * STEP,
)
CONVERGENCE_STEPS = 200  # 30 s, within which all tables must converge


class SmallRandom(Random):
    """A generator whose state is one number, which makes the copies for each move cheap."""

    def __init__(self, value: int) -> None:
        self.value = value

    def random(self) -> float:
        return self.getrandbits(32) / 2**32

    def getrandbits(self, bits: int) -> int:
        self.value = (self.value * 6364136223846793005 + 1442695040888963407) % 2**64
        return self.value >> 32 & (1 << bits) - 1

    def __reduce__(self) -> tuple[type[SmallRandom], tuple[int]]:
        return SmallRandom, (self.value,)


@dataclass
class World:
    """Three routers, the datagrams in transit, and the number of faults that may still occur."""

    now: int = START
    members: list[MembershipStateMachine | None] = field(default_factory=list)
    in_transit: list[tuple[int, int, bytes]] = field(default_factory=list)
    faults: int = 2
    starts: list[int] = field(default_factory=lambda: [0] * SIZE)
    # (owner of the table, number): latest start in that table
    newest: dict[tuple[int, int], int] = field(default_factory=dict)
    pickled: list[bytes] = field(default_factory=lambda: [b""] * SIZE)  # pickled members

    def copy(self) -> World:
        """A copy that shares the members until ``copy_members``."""
        return replace(
            self,
            members=list(self.members),
            in_transit=list(self.in_transit),
            starts=list(self.starts),
            newest=dict(self.newest),
            pickled=list(self.pickled),
        )

    def copy_members(self, *numbers: int) -> None:
        """Replace members by copies, before they change."""
        for me in numbers:
            if self.members[me] is not None:
                self.members[me] = pickle.loads(self.pickled[me])

    def pickle_members(self, *numbers: int) -> None:
        """Pickle members after they changed."""
        for me in numbers:
            self.pickled[me] = pickle.dumps(self.members[me])

    def start(self, me: int) -> None:
        self.starts[me] += 1
        start_id = 100 * me + self.starts[me]
        self.members[me] = MembershipStateMachine(
            me, SIZE, start_id, SmallRandom(me), self.now, timing=FAST_TIMING
        )

    def send(self, me: int, sends: list[tuple[int, bytes]]) -> None:
        self.in_transit += [(me, to, data) for to, data in sends]

    def step(self) -> None:
        self.now += STEP
        for me, member in enumerate(self.members):
            if member is not None:
                self.send(me, member.tick(self.now))

    def deliver(self, place: int) -> None:
        source, target, data = self.in_transit.pop(place)
        member = self.members[target]
        if member is not None:
            self.send(target, member.receive(self.now, data, source))

    def key(self) -> bytes:
        rest = pickle.dumps((self.now, sorted(self.in_transit), self.faults))
        return blake2b(b"".join((*self.pickled, rest)), digest_size=12).digest()


def moves(world: World, max_in_transit: int) -> Iterator[tuple[str, int]]:
    """The possible moves. Time only advances while at most ``max_in_transit`` datagrams are in transit."""
    seen = set()
    for place, message in enumerate(world.in_transit):
        if message not in seen:
            seen.add(message)
            yield "deliver", place
            if world.faults:
                yield "lose", place
    if len(world.in_transit) <= max_in_transit:
        yield "step", 0
    for me in range(SIZE):
        if world.members[me] is not None and world.faults:
            yield "kill", me
        if world.members[me] is None:
            yield "start", me


def apply_move(world: World, move: tuple[str, int]) -> World:
    after, (what, number) = world.copy(), move
    touched = (
        [number]
        if what in ("kill", "start")
        else list(range(SIZE))
        if what == "step"
        else [target for _, target, _ in world.in_transit[number : number + 1] if what == "deliver"]
    )
    after.copy_members(*touched)
    match what:
        case "deliver":
            after.deliver(number)
        case "lose":
            del after.in_transit[number]
            after.faults -= 1
        case "step":
            after.step()
        case "kill":
            after.members[number] = None
            after.faults -= 1
        case "start":
            after.start(number)
    after.pickle_members(*touched)
    return after


def violated_property(before: World, after: World) -> str | None:
    """The property that a move violates, or None."""
    for me, member in enumerate(after.members):
        if member is None:
            continue
        if member.table.state(me) is not MemberState.ALIVE:
            return f"1: {me} is not ALIVE in its own table"
        if min(member.budget.available) < 0:
            return f"4: {me} exceeded its rate"
        earlier_member = before.members[me]
        for number, entry in member.table.members.items():
            order = entry.start_id - 100 * number if entry.start_id >= 0 else 0
            newest = after.newest.get((me, number), 0)
            if earlier_member is not None and earlier_member.start_id == member.start_id and order < newest:
                return f"3: {me} has start {order} of {number} after {newest}"
            is_same_process = earlier_member is not None and earlier_member.start_id == member.start_id
            after.newest[me, number] = max(newest, order) if is_same_process else order
            earlier_entry = (
                earlier_member.table.members.get(number)
                if earlier_member is not None and is_same_process
                else None
            )
            if earlier_entry is not None and (entry.incarnation, entry.state) < (
                earlier_entry.incarnation,
                earlier_entry.state,
            ):
                return f"2: {me} has an update of lower precedence of {number}"
    return None


def converges(world: World) -> bool:
    """Whether all tables converge without further faults."""
    world = world.copy()
    world.copy_members(*range(SIZE))
    for _ in range(CONVERGENCE_STEPS):
        world.step()
        while world.in_transit:
            world.deliver(0)
        running = [me for me in range(SIZE) if world.members[me] is not None]
        if all(
            member.live_numbers == running and not member.table.suspects for member in world.members if member
        ):
            return True
    return False


@dataclass
class Exploration:
    states: int = 0
    leaves: int = 0
    moves: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


def explore(depth: int, max_states: int, max_in_transit: int = 2, check_leaves: int = 500) -> Exploration:
    """Search breadth first, so that every order within the bound is tried; stops at the first violation."""
    world = World(members=[None] * SIZE)
    for me in range(SIZE):
        world.start(me)
    world.pickle_members(*range(SIZE))
    result = Exploration()
    seen = {world.key()}
    edge = [world]
    for _ in range(depth):
        following: list[World] = []
        for one in edge:
            for move in moves(one, max_in_transit):
                after = apply_move(one, move)
                result.moves[move[0]] += 1
                if problem := violated_property(one, after):
                    result.violations.append(f"{problem} after {move}")
                    return result
                key = after.key()
                if key not in seen and len(seen) < max_states:
                    seen.add(key)
                    following.append(after)
        edge = following
    result.states = len(seen)
    result.leaves = len(edge)
    for leaf in edge[:: max(1, len(edge) // check_leaves)]:
        if not converges(leaf):
            result.violations.append("5: tables do not converge after faults end")
            break
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=9)
    parser.add_argument("--states", type=int, default=100_000)
    chosen = parser.parse_args()
    result = explore(chosen.depth, chosen.states)
    print(
        f"{result.states} states, {result.leaves} at the bound, moves {dict(result.moves)}; "
        f"{len(result.violations)} violations {result.violations}"
    )


if __name__ == "__main__":
    main()
