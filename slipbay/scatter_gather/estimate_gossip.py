"""What routers tell each other of part times, and what a router leaves for its next life.

A body tells what its sender saw *itself*, decayed to the moment it left; whoever hears it keeps the newest
of each sender and state in place of the one before. So nothing is counted twice, however often, late or
doubled it comes, and nothing is passed on. Of what is heard ``LatencyFamily`` uses each teller's word up to a
quarter of our own observations, and all of them up to as many as our own, beside a small fixed trust.

Little-endian. ``TOLD``: sort and version (u8), class (u16), state (u8), count of bodies so far (u32),
observations that came and that were given up (f32), first bucket and number of buckets (u8); then for each
bucket a byte of those that came, then of those given up, as parts of the largest; then, to the end,
engines: digest (u32), factor in steps (i8), chance of it in 255ths (u8). ``ASK``: sort and version; a new
life asks for a first word.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from math import exp, isfinite
from struct import Struct, error
from typing import NamedTuple

from slipbay.peer_channel.interfaces import MAX_BODY_BYTES, Send
from slipbay.scatter_gather.interfaces import EngineCondition
from slipbay.scatter_gather.latency_model import (
    BUCKETS,
    MEMORY_US,
    SECOND,
    SHIFTS,
    STEP,
    LatencyHistogram,
    LatencyModel,
    digest_of,
)

VERSION = 1
START = Struct("<BB")
HEAD = Struct("<HBIffBB")
ENGINE = Struct("<IbB")
EVERY_US = 8 * SECOND  # one body: 30 bytes/s
ANSWER_US = 2 * SECOND  # between two answers to those who ask
ASKED = 2  # others that a new life asks
SPAN = 72  # buckets in a body; what lies beyond counts with the last
MOST_OBSERVATIONS = 1e6
RECENT_US = 20 * SECOND  # engines seen within that are told
STALE_US = 60 * SECOND  # a snapshot older than that is not used at all


class MessageType(IntEnum):
    ASK = 1
    TOLD = 2


class LatencyReport(NamedTuple):
    """Of one class and state."""

    service_class: int  # the lower half of its digest
    state: EngineCondition
    number: int
    came: list[float]
    gone: list[float]
    engines: list[tuple[int, int, float]]  # digest, factor in buckets, chance


ASK = START.pack(MessageType.ASK, VERSION)


def encode(word: LatencyReport) -> bytes:
    """At most ``MAX_BODY_BYTES`` bytes; engines that don't fit are left out."""
    used = [n for n in range(BUCKETS) if word.came[n] or word.gone[n]]
    first = min(used, default=0)
    last = min(max(used, default=0), first + SPAN - 1)
    body = START.pack(MessageType.TOLD, VERSION) + HEAD.pack(
        word.service_class,
        word.state,
        word.number & 0xFFFFFFFF,
        sum(word.came),
        sum(word.gone),
        first,
        last + 1 - first,
    )
    for weights in (word.came, word.gone):
        row = [*weights[first:last], sum(weights[last:])]
        most = max(row) or 1.0
        body += bytes(round(255 * weight / most) for weight in row)
    room = (MAX_BODY_BYTES - len(body)) // ENGINE.size
    return body + b"".join(
        ENGINE.pack(digest, shift // STEP, round(255 * chance))
        for digest, shift, chance in word.engines[:room]
    )


def decode(body: bytes) -> LatencyReport | None:
    """None for what is no word of ours."""
    try:
        if START.unpack_from(body) != (MessageType.TOLD, VERSION):
            return None
        service_class, state, number, came, gone, first, size = HEAD.unpack_from(body, START.size)
        rest = body[START.size + HEAD.size :]
        if (
            first + size > BUCKETS
            or len(rest) < 2 * size
            or not all(isfinite(one) and 0 <= one <= MOST_OBSERVATIONS for one in (came, gone))
        ):
            return None
        engines = [
            (digest, steps * STEP, chance / 255)
            for digest, steps, chance in ENGINE.iter_unpack(rest[2 * size :])
            if steps * STEP in SHIFTS
        ]
        return LatencyReport(
            service_class,
            EngineCondition(state),
            number,
            _row(rest[:size], first, came),
            _row(rest[size : 2 * size], first, gone),
            engines,
        )
    except (error, ValueError):
        return None


def _row(parts: bytes, first: int, total: float) -> list[float]:
    scale = total / (sum(parts) or 1)
    return [0.0] * first + [part * scale for part in parts] + [0.0] * (BUCKETS - first - len(parts))


class EstimateGossip:
    """A party of the channel (``slipbay.peer_channel.interfaces.Party``)."""

    def __init__(self, me: int, size: int, classes: Sequence[str], learned: LatencyModel, now: int) -> None:
        """``classes``: names of the scattered ones; what is told of others is not kept."""
        self._me = me
        self._size = size
        self._learned = learned
        for name in classes:
            learned.family(now, name)
        self._next = now + EVERY_US * (me + 1) // max(1, size)
        self._round = 0
        self._number = 0
        self._turn = 0
        self._answered = now - ANSWER_US
        self._newest: dict[tuple[int, int, EngineCondition], tuple[int, int]] = {}  # life and number
        self._asked = False
        self.counts = {"told": 0, "heard": 0, "old": 0, "unread": 0}

    def next_tick(self) -> int:
        return self._next

    def tick(self, now: int) -> list[Send]:
        if now < self._next:
            return []
        self._next = max(now + EVERY_US // 2, self._next + EVERY_US)
        if self._size < 2:
            return []
        sent: list[Send] = []
        if not self._asked:
            self._asked = True
            sent += [((self._me + n) % self._size, ASK) for n in range(1, min(ASKED, self._size - 1) + 1)]
        self._round = self._round % (self._size - 1) + 1
        return sent + self._words(now, (self._me + self._round) % self._size)

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        if body == ASK:
            if now - self._answered < ANSWER_US:
                return []
            self._answered = now
            return self._words(now, sender)
        word = decode(body)
        if word is None:
            self.counts["unread"] += 1
        else:
            self._heard(now, sender, life, word)
        return []

    def _words(self, now: int, to: int) -> list[Send]:
        """What we saw of the class and state whose turn it is."""
        bodies = self.bodies(now)
        if not bodies:
            return []
        self._turn = (self._turn + 1) % len(bodies)
        self.counts["told"] += 1
        return [(to, bodies[self._turn])]

    def bodies(self, now: int) -> list[bytes]:
        """All that we saw ourselves, a body for each class and state: also the form of a snapshot."""
        learned = self._learned
        learned.turn(now)
        unit = learned.unit
        bodies = []
        engines = sorted(
            (-abs(one.shift), digest) for digest, one in learned.engines.items() if now - one.at < RECENT_US
        )
        shown = [
            (digest, learned.engines[digest].shift, max(learned.engines[digest].weights))
            for _, digest in engines
        ]
        for name, family in learned.families.items():
            for state, sketch in zip(EngineCondition, family.states, strict=True):
                if sketch.total * unit >= 1:
                    self._number += 1
                    came, gone = ([weight * unit for weight in row] for row in (sketch.came, sketch.gone))
                    bodies.append(
                        encode(
                            LatencyReport(digest_of(name) & 0xFFFF, state, self._number, came, gone, shown)
                        )
                    )
        return bodies

    def restore(self, now: int, age_us: int, bodies: Sequence[bytes]) -> int:
        """What an earlier life left, so old by now; returns how many bodies are used. It weighs as another
        router's word does, less with its age, and nothing when it is stale."""
        used = 0
        if 0 <= age_us <= STALE_US:
            for word in filter(None, map(decode, bodies)):
                self._keep(now, -1, word, exp(-age_us / MEMORY_US))
                used += 1
        return used

    def _heard(self, now: int, sender: int, life: int, word: LatencyReport) -> None:
        key = sender, word.service_class, word.state
        before = self._newest.get(key)
        if before and before[0] == life and (before[1] - word.number) & 0xFFFFFFFF < 1 << 31:
            self.counts["old"] += 1
        elif self._keep(now, sender, word, 1.0):
            self._newest[key] = life, word.number
            self.counts["heard"] += 1

    def _keep(self, now: int, sender: int, word: LatencyReport, part: float) -> bool:
        learned = self._learned
        learned.turn(now)
        family = next(
            (
                family
                for name, family in learned.families.items()
                if digest_of(name) & 0xFFFF == word.service_class
            ),
            None,
        )
        if family is None:
            return False  # a class that we do not have
        scale = part / learned.unit
        family.tell(
            now,
            sender,
            word.state,
            LatencyHistogram(
                [weight * scale for weight in word.came],
                [weight * scale for weight in word.gone],
                (sum(word.came) + sum(word.gone)) * scale,
            ),
        )
        for digest, shift, chance in word.engines:
            learned.hint(now, digest, shift, part * chance)
        return True
