"""Who of a fleet lives: SWIM with Lifeguard's refinements, as a machine without I/O, clock or own randomness.

A host calls ``receive`` with each datagram and ``tick`` every 50 ms, and sends what they return. Times are
whole us that only grow. Sources: Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips, Currey: Lifeguard
(2018).

Claims of a number are ordered by incarnation, state and life, and the greatest holds: late, repeated and lost
messages do no harm, and all who heard the same hold the same. A life begins at an incarnation above those
of the lives before it, as it counts from the seconds of its start; where clocks say otherwise it learns so,
and goes above. All that the configuration names are presumed alive at first, at incarnation 0: a start of
the whole fleet is no news.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import ceil, log, log10
from random import Random
from zlib import crc32

from slipbay.fleet.codec import (
    HASH,
    MOST_BYTES,
    MOST_ZONES,
    NUMBER,
    Garbled,
    Kind,
    Message,
    News,
    State,
    bare,
    decode,
    encode,
    size,
)

SECOND = 1_000_000
LEAP = 1 << 20  # incarnations ahead of the seconds of the clock beyond which a claim is garbage; twelve days
BUCKETS = 32  # of the table, compared when digests differ
WITNESSES = 6  # of a suspect that look at it themselves, on the mean
RESERVE = 120  # bytes of the budget that news leave for probes and their answers


@dataclass(slots=True, frozen=True)
class Timing:
    """Times in us, rates in bytes a second. docs/operate-fleet.md tells how to size them."""

    probe_us: int = 250_000  # between probes of one router after another
    answer_us: int = 80_000  # that an answer may take; over the longest usual way there and back
    tries: int = 4  # pings, so long apart, before a router is suspected
    helpers: int = 3  # others that are asked to ping it too, at the second and the third
    suspect_us: int = 300_000  # that a suspect has to answer at the least, in a fleet of up to ten
    patience: float = 2.0  # times that, as long as nobody else accuses it
    gossip_us: int = 100_000  # between tellings of fresh news
    fan: int = 3  # routers that are told at a time
    sync_us: int = 500_000  # between comparisons of tables that differ
    reach_us: int = 1_000_000  # between looks for one that is not held alive
    tombstone_us: int = 60 * SECOND  # that the gone are remembered
    stall_us: int = 400_000  # between two ticks: it was we who stood still
    rate: int = 740  # bytes that may be sent a second
    burst: int = 256  # and at once beyond that: in no second more than both


@dataclass(slots=True)
class Member:
    """What is held of a number."""

    news: News
    since: int  # of its state
    until: int = 0  # a suspect's end
    accusers: set[int] = field(default_factory=set)
    build: int = 0


@dataclass(slots=True)
class Probe:
    target: int
    token: int
    sent: int
    tries: int = 1


Send = tuple[int, bytes]  # to a number
Change = tuple[int, State | None, State | None]  # of a number: what was held, what is now; None: nothing


class Membership:
    """One router's part in keeping the view."""

    def __init__(self, me: int, size: int, life: int, seed: int, now: int, *, zone: int = 0, build: int = 0,
                 grace_us: int = 0, timing: Timing | None = None, key: bytes = b"",
                 old_key: bytes = b"") -> None:
        """``size``: numbers that the configuration has. ``now`` in us of the Unix clock, from which the
        incarnation starts. ``grace_us``: for so long a router that never spoke of the fleet, as one of an
        earlier release, is not accused after it was heard to say something else, or after our start."""
        self.me, self.size, self.timing, self.random = me, size, timing or Timing(), Random(seed)
        self.life, self.build = life % 2**16, build
        self._key, self._keys = key, tuple(k for k in (key, old_key) if k)
        self.mine = News(me, State.ALIVE, now // SECOND % 2**32, self.life, zone % MOST_ZONES)
        self.members = {n: Member(News(n, State.ALIVE, 0, 0), now) for n in range(size) if n != me}
        self.members[me] = Member(self.mine, now)
        self.version = 0  # grows with each change of the view
        self.counts: Counter[str] = Counter()
        self.health = 0  # 0: well; each failure of ours to hear adds, each success takes away
        self.changed: list[Callable[[int, list[Change]], None]] = []
        self._changes: list[Change] = []
        self._alive = [n for n in range(size) if n != me]  # others that are alive or suspect
        self._suspects: set[int] = set()
        self._witnessed: set[int] = set()  # those that we look at ourselves, as others accuse them
        self._dead: dict[int, int] = {}  # those gone or left, since when
        self._fresh: dict[int, int] = {}  # numbers whose news are being told: how often they were
        self._round: list[int] = []
        self._probes: dict[int, Probe] = {}  # those not answered yet, by token
        self._began, self._grace_us = now, grace_us
        self._others: dict[int, int] = {}  # when a number last said what is not about the fleet
        self._heard = now  # when anything last came
        self._recent: dict[int, int] = {}  # and from whom, oldest first
        self._helping: dict[int, tuple[int, int, int]] = {}  # our token: who asked, their token, when
        self._token = self.random.randrange(2**32)
        self._digest = 0
        for number in range(size):
            self._digest ^= self._hash(number)
        self._budget, self._filled = float(self.timing.burst), now
        self._ticked = self._next_probe = self._next_gossip = self._next_reach = now
        self._synced = now - SECOND
        self._results: list[bool] = []  # whether our last probes were answered
        self._accused: list[int] = []  # when we were

    # What hosts call

    def receive(self, now: int, data: bytes, sender: int) -> list[Send]:
        """A datagram from the address of a number. What is garbled or foreign changes nothing."""
        try:
            message = decode(data, self._keys)
        except Garbled:
            self.counts["garbled"] += 1
            return []
        if message is None or message.kind in (Kind.STATUS, Kind.PAGE):
            self.counts["skipped"] += 1
            return []
        if message.sender != sender or sender == self.me or sender >= self.size:
            self.counts["foreign"] += 1
            return []
        self.counts["received"] += 1
        self._heard = now
        self._recent.pop(sender, None)
        self._recent[sender] = now
        sends: list[Send] = []
        for item in message.news:
            self._take(now, item)
        self._take(now, News(sender, State.ALIVE, message.incarnation, message.life, message.zone))
        known = self.members.get(sender)
        if known is not None and known.news.life == message.life:
            known.build = message.build
        match message.kind:
            case Kind.PING:
                self._send(now, sends, sender, Kind.ACK, message.token, about=sender)
            case Kind.ACK:
                self._acked(now, sends, message)
            case Kind.ASK if message.target in self.members and message.target != self.me:
                self._token = (self._token + 1) % 2**32
                self._helping[self._token] = sender, message.token, now
                self._send(now, sends, message.target, Kind.PING, self._token, about=message.target)
            case Kind.TABLE:
                self._compare(now, sends, message)
        if (message.digest != self._digest and not self._fresh and message.kind is not Kind.TABLE
                and now - self._synced >= self.timing.sync_us):
            self._synced = now
            self._send(now, sends, sender, Kind.TABLE)
        self._settle(now)
        return sends

    def hear_other(self, now: int, number: int) -> None:
        """A message of the decisions came: its router lives, whatever release it runs."""
        self._others[number] = now

    def tick(self, now: int) -> list[Send]:
        """Time passes."""
        sends: list[Send] = []
        stood = now - self._ticked
        self._ticked = now
        if stood > self.timing.stall_us:  # others had time to answer that we did not have to hear
            self.counts["stalls"] += 1
            self.health = min(self.health + 2, 8)
            self._probes.clear()
            for number in self._suspects:
                self.members[number].until += stood
            self._next_probe = now + self.timing.probe_us
        if self.mine.state is State.ALIVE:
            self._step_probe(now, sends)
        for number in [n for n in self._suspects if now >= self.members[n].until]:
            self._take(now, self._as(number, State.GONE))
            self._fresh[number] = max(0, self._tellings - 3)  # who heard the suspicion finds out as we did
        if now >= self._next_gossip and self._fresh:
            self._next_gossip = now + self.timing.gossip_us
            for number in self._hearers(now, self.timing.fan):
                self._send(now, sends, number, Kind.NEWS)
        if now >= self._next_reach and self.mine.state is State.ALIVE:
            self._next_reach = now + self.timing.reach_us * self.random.randrange(50, 150) // 100
            drawn = self.random.sample(range(self.size), min(self.size, 8))
            for number in [n for n in drawn if n in self._dead or n not in self.members][:1]:
                self._send(now, sends, number, Kind.PING, about=number)
            for number in [n for n, since in self._dead.items() if now - since > self.timing.tombstone_us]:
                del self.members[number], self._dead[number]
                self._fresh.pop(number, None)
            self._helping = {t: h for t, h in self._helping.items() if now - h[2] < SECOND}
        self._settle(now)
        return sends

    def leave(self, now: int) -> list[Send]:
        """We end in order: the others need not find out."""
        self.mine = News(self.me, State.LEFT, self.mine.incarnation + 1, self.life, self.mine.zone)
        self._hold(now, self.mine)
        sends: list[Send] = []
        for number in self._hearers(now, 2 * self.timing.fan):
            self._send(now, sends, number, Kind.NEWS)
        self._settle(now)
        return sends

    def _hearers(self, now: int, count: int) -> list[int]:
        """Some of those heard of late, as of the others many may be dead."""
        while self._recent and now - next(iter(self._recent.values())) > 2 * SECOND:
            del self._recent[next(iter(self._recent))]
        known = [n for n in self._recent if n not in self._dead and n not in self._suspects]
        drawn = known if len(known) >= count else self._alive
        return self.random.sample(drawn, min(count, len(drawn)))

    # The view

    @property
    def living(self) -> list[int]:
        """Numbers held alive or only suspect, ours among them, in order."""
        return sorted([*self._alive, *([self.me] if self.mine.state is State.ALIVE else [])])

    def state(self, number: int) -> State | None:
        member = self.members.get(number)
        return member.news.state if member is not None else None

    @property
    def digest(self) -> int:
        """Of the table of the living: equal where views are."""
        return self._digest

    def odd_one_out(self, now: int) -> bool:
        """Whether it is rather we who are cut off or starved than they: our probes are not answered, we stood
        still, or two and more accused us within 3 s."""
        failed = len(self._results) >= 4 and sum(self._results) * 4 <= len(self._results)
        self._accused = [at for at in self._accused if now - at < 3 * SECOND]
        return failed or self.health >= 4 or len(self._accused) >= 2

    # Probes

    def _step_probe(self, now: int, sends: list[Send]) -> None:
        timing = self.timing
        crowded = len(self._suspects) > timing.helpers  # where many fail, news are worth more than help
        for probe in list(self._probes.values()):
            if now - probe.sent < probe.tries * self._answer_us:
                continue
            if probe.tries == timing.tries:
                del self._probes[probe.token]
                self._result(now, probe, False)
                continue
            probe.tries += 1
            self._send(now, sends, probe.target, Kind.PING, probe.token, about=probe.target)
            if probe.tries == 2 or probe.tries == 3 and not crowded:
                others = [n for n in self._hearers(now, timing.helpers) if n not in self._probing]
                for number in others[:1] if crowded else others:
                    self._send(now, sends, number, Kind.ASK, probe.token, target=probe.target)
        if now < self._next_probe:
            return
        self._next_probe = max(self._next_probe + timing.probe_us * (1 + crowded), now)
        target = self._draw()
        for number in sorted(self._suspects):
            member = self.members[number]
            if self.me in member.accusers and now - member.since < 3 * timing.probe_us:
                self._send(now, sends, number, Kind.PING, about=number)  # it hears of it, and may answer
        if target is not None:
            self._token = (self._token + 1) % 2**32
            self._probes[self._token] = Probe(target, self._token, now)
            self._send(now, sends, target, Kind.PING, self._token, about=target)

    @property
    def _answer_us(self) -> int:
        """What an answer may take, longer where we have reason to doubt ourselves."""
        return self.timing.answer_us * (2 + self.health) // 2

    @property
    def _probing(self) -> set[int]:
        return {probe.target for probe in self._probes.values()}

    def _draw(self) -> int | None:
        """The next of a random order of all who live."""
        busy = self._probing | self._dead.keys() | self._suspects - self._witnessed
        for _ in range(2):
            while self._round:
                number = self._round.pop()
                if number in self.members and number not in busy:
                    return number
            self._round = list(self._alive)
            self.random.shuffle(self._round)
        return None

    def _result(self, now: int, probe: Probe, answered: bool) -> None:
        """Of a probe. That nothing at all came meanwhile speaks against us rather than against the other."""
        self._results = [*self._results[-7:], answered]
        if answered:
            self.health = max(0, self.health - 1)
            return
        if self._heard < probe.sent:
            self.health = min(8, self.health + 1)
        held = self.members.get(probe.target)
        other = self._others.get(probe.target, self._began)
        if held is not None and held.news.incarnation == 0 and now - other < self._grace_us:
            self.counts["never spoke"] += 1  # of the fleet; it may run an earlier release
        elif held is not None and probe.target not in self._dead:
            self.counts["unanswered"] += 1
            self._witnessed.discard(probe.target)
            self._take(now, self._as(probe.target, State.SUSPECT))

    def _acked(self, now: int, sends: list[Send], message: Message) -> None:
        probe = self._probes.pop(message.token, None)
        if probe is not None:
            self._result(now, probe, True)
        elif helping := self._helping.pop(message.token, None):
            asker, token, _ = helping
            self._send(now, sends, asker, Kind.ACK, token)

    # Claims

    def _as(self, number: int, state: State) -> News:
        held = self.members[number].news
        return News(number, state, held.incarnation, held.life, held.zone, self.me)

    def _take(self, now: int, item: News) -> None:
        """Hold the greater of a claim and what is held."""
        if item.number >= self.size or item.incarnation > now // SECOND + LEAP:
            self.counts["garbled"] += 1  # an incarnation counts from the seconds of a start
            return
        if item.number == self.me:
            self._about_me(now, item)
            return
        member = self.members.get(item.number)
        if member is None:
            if item.state <= State.SUSPECT:  # of those we never knew the end is no news
                self._hold(now, item)
        elif item.key > member.news.key:
            self._hold(now, item)
        elif item.key == member.news.key and item.state is State.SUSPECT and item.by not in member.accusers:
            self._accuse(member, item.by)
            if len(member.accusers) <= self._wanted:  # an independent witness is news
                self._fresh[item.number] = 0

    def _about_me(self, now: int, item: News) -> None:
        """Outlive what is said of us, be it that we are gone or that another life holds our number."""
        ours = item.life == self.life
        if self.mine.state is not State.ALIVE or item.key <= self.mine.key:
            if item.state is not State.ALIVE:  # of what we have outlived already
                self._fresh[self.me] = 0
            return
        self.counts["refuted" if ours else "earlier lives"] += 1
        if ours:
            self._accused.append(now)
            self._accused = self._accused[-16:]
            self.health = min(8, self.health + 1)
        self.mine = News(self.me, State.ALIVE, item.incarnation + 1, self.life, self.mine.zone)
        self._hold(now, self.mine)

    def _hold(self, now: int, item: News) -> None:
        old = self.members.get(item.number)
        was, lives = old is not None and old.news.state <= State.SUSPECT, item.state <= State.SUSPECT
        if was != lives:
            self._digest ^= self._hash(item.number)
        member = Member(item, now, build=old.build if old is not None and old.news.life == item.life else 0)
        self.members[item.number] = member
        if item.number != self.me:
            self._suspects.discard(item.number)
            self._witnessed.discard(item.number)
            if item.state is State.SUSPECT:
                self._suspects.add(item.number)
                self._accuse(member, item.by)
                if item.by != self.me and self.random.random() * len(self._alive) < WITNESSES:
                    self._witnessed.add(item.number)
                    self._round.append(item.number)  # next
            if lives and not was:
                self._alive.append(item.number)
                self._dead.pop(item.number, None)
                self._round.insert(self.random.randrange(len(self._round) + 1), item.number)
            elif was and not lives:
                self._alive.remove(item.number)
                self._dead[item.number] = now
        before = old.news.state if old is not None else None
        other = old is not None and old.news.incarnation > 0 and old.news.life != item.life
        if before is not item.state or other or item.number == self.me:  # else we learn more of one presumed
            self._fresh[item.number] = 0
        if before is not item.state or other:
            self._changes.append((item.number, before, item.state))

    def next_tick(self) -> int:
        """When ``tick`` wants to be called at the latest."""
        due = self._next_probe
        for probe in self._probes.values():
            due = min(due, probe.sent + probe.tries * self._answer_us)
        if self._fresh:
            due = min(due, self._next_gossip)
        return max(self._ticked + 10_000, min(due, self._ticked + self.timing.probe_us))

    @property
    def _wanted(self) -> int:
        """Independent accusers beyond the first after which a suspect has no more time than the least."""
        return max(0, min(3, len(self._alive) - 1))

    def _accuse(self, member: Member, by: int) -> None:
        """A suspect's time shrinks with independent accusers, and grows with the log of the fleet."""
        member.accusers.add(by)
        least = self.timing.suspect_us * max(1.0, log10(len(self._alive) + 1))
        most = least * self.timing.patience * (1 + self.health / 4)
        shrunk = log(len(member.accusers)) / log(self._wanted + 1) if self._wanted else 1.0
        member.until = member.since + int(max(least, most - (most - least) * shrunk))

    def _settle(self, now: int) -> None:
        if self._changes:
            self.version += 1
            changes, self._changes = self._changes, []
            for listener in self.changed:
                listener(now, changes)

    # Tables

    @staticmethod
    def _hash(number: int) -> int:
        """Of one that lives; which life it is shows at the next contact, and makes no table differ."""
        return crc32(NUMBER.pack(number)) | 1

    def _buckets(self) -> tuple[int, ...]:
        hashes = [0] * BUCKETS
        for member in self.members.values():
            if member.news.state <= State.SUSPECT:
                hashes[member.news.number % BUCKETS] ^= self._hash(member.news.number)
        return tuple(hashes)

    def _compare(self, now: int, sends: list[Send], message: Message) -> None:
        """Tell what we hold in the buckets that differ, and ask back for what the other holds."""
        mine = self._buckets()
        if len(message.hashes) != BUCKETS or mine == message.hashes:
            return
        differ = {n for n in range(BUCKETS) if mine[n] != message.hashes[n]}
        items = [m.news for m in self.members.values() if m.news.number % BUCKETS in differ]
        self.random.shuffle(items)
        while items and self._budget > MOST_BYTES + RESERVE:
            self._send(now, sends, message.sender, Kind.NEWS, items=items)
        if now - self._synced >= self.timing.sync_us:
            self._synced = now
            self._send(now, sends, message.sender, Kind.TABLE)

    # Sending

    @property
    def _tellings(self) -> int:
        """How often each router passes a piece of news on."""
        return 3 + ceil(log(len(self._alive) + 2, 2))

    def _news(self, space: int, about: int, items: list[News] | None, answers: bool) -> Iterable[News]:
        """Of what fits first that about the receiver, where it should answer; then the least told."""
        if about >= 0 and about in self.members and self.members[about].news.state is not State.ALIVE:
            space -= size(self.members[about].news)
            yield self.members[about].news  # it may take of the reserve
        if items is not None:
            while items and size(items[-1]) <= space:
                space -= size(items[-1])
                yield items.pop()
            return
        for number in sorted(self._fresh, key=self._fresh.__getitem__) if about < 0 or answers else ():
            held = self.members[number].news if number in self.members else None
            if held is None or size(held) > space:
                break
            if number != about:
                space -= size(held)
                self._fresh[number] += 1
                if self._fresh[number] >= self._tellings:
                    del self._fresh[number]
                yield held

    def _send(self, now: int, sends: list[Send], to: int, kind: Kind, token: int = 0, *, target: int = 0,
              about: int = -1, items: list[News] | None = None) -> None:
        """Build a message if there is leave to send it: where there is none, its loss is as any other."""
        timing = self.timing
        self._budget = min(timing.burst, self._budget + timing.rate * (now - self._filled) / SECOND)
        self._filled = max(now, self._filled)
        hashes = self._buckets() if kind is Kind.TABLE else ()
        fixed = NUMBER.size if kind is Kind.ASK else 1 + HASH.size * BUCKETS if kind is Kind.TABLE else 0
        least = bare(fixed, bool(self._key))
        if least > self._budget:
            self.counts["unsent"] += 1
            return
        space = min(MOST_BYTES, int(self._budget) - RESERVE) - least
        some = self._fresh and kind in (Kind.ACK, Kind.NEWS) or about >= 0 or items is not None
        news = tuple(self._news(space, about, items, kind is Kind.ACK)) if some else ()
        if kind is Kind.NEWS and not news:
            return
        data = encode(Message(kind, self.me, self.mine.incarnation, self.life, self._digest, token,
                              self.build, self.mine.zone, target, hashes, news), self._key)
        self._budget -= len(data)
        self.counts["sent"] += 1
        self.counts["sent bytes"] += len(data)
        sends.append((to, data))
