"""Failure detector: direct and indirect probes of members, and suspicion of those that do not answer.

Sources: Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips, Currey: Lifeguard (2018).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log, log10
from typing import TypeAlias

from slipbay.membership.byte_budget import ByteBudget, Share
from slipbay.membership.codec import MemberState, Message, MessageType, Update
from slipbay.membership.contacts import RecentContacts
from slipbay.membership.environment import Environment
from slipbay.membership.local_health import LocalHealth
from slipbay.membership.member_table import Member, MemberTable, StateChange, is_live
from slipbay.membership.outbox import Outbox
from slipbay.membership.timing import SECOND

WITNESSES = 6  # mean number of routers that also probe a suspect which another router accuses
# suspects at a time above which each has fewer witnesses: most are dead, and probes must find other failures
CROWDED_SUSPECTS = 3
MAX_ACCUSERS = 3  # independent accusers beyond the first that shorten a suspicion
FIRST_INDIRECT_TRY = 3  # ping of a probe at which other routers are requested to ping too
LAST_INDIRECT_TRY = 4
NOTIFICATION_PERIODS = 3  # probe periods for which the accuser pings a suspect, so that it can refute
INDIRECT_TIMEOUT_US = SECOND  # timeout of a ping on behalf of another router
ROUND_MARGIN = 8  # members added to the fleet when the length of a probe round is computed

Suspect: TypeAlias = Callable[[int, int], None]
"""Called with the time in us and the number of a router, to declare it suspect."""


@dataclass(slots=True)
class Probe:
    """A probe without an answer so far."""

    target: int
    token: int
    sent_us: int
    tries: int = 1


@dataclass(slots=True, frozen=True)
class IndirectProbe:
    """A ping that was sent on behalf of another router."""

    requester: int
    token: int  # of the ping request
    sent_us: int


class FailureDetector:
    """Probes one member after another, in a random order of all, and declares those suspect that do not
    answer.

    ``grace_us``: a router that never sent a membership message may run an earlier release. It is not accused
    for this time after its last message of another kind, or after the start of this router.
    """

    def __init__(
        self,
        environment: Environment,
        table: MemberTable,
        outbox: Outbox,
        budget: ByteBudget,
        contacts: RecentContacts,
        health: LocalHealth,
        grace_us: int,
    ) -> None:
        self._table = table
        self._outbox = outbox
        self._budget = budget
        self._contacts = contacts
        self._health = health
        self._counts = environment.counts
        self._random = environment.random
        self._timing = environment.timing
        self._started_us = environment.started_us
        self._grace_us = grace_us
        self._next_probe_us = environment.started_us
        self._order: list[int] = []  # members to probe in this round; the last one is next
        self._probes: dict[int, Probe] = {}  # by token
        self._indirect: dict[int, IndirectProbe] = {}  # by token of the ping
        self._witnessed: set[int] = set()  # suspects that this router probes although others accuse them
        self._unreachable: dict[int, int] = {}  # members that answer others but not this router, by time (us)
        self._other_message_us: dict[int, int] = {}  # time of the last message of another kind, by number

    def record_other_message(self, now_us: int, number: int) -> None:
        """Record a message that is not about membership: its sender runs, possibly an earlier release."""
        self._other_message_us[number] = now_us

    def handle_stall(self, now_us: int) -> None:
        """Drop all probes after a suspension of this process, which may have missed their answers."""
        self._probes.clear()
        self._next_probe_us = now_us + self._timing.probe_us

    def due_us(self) -> int:
        """Time in us at which the next probe is due or the timeout of a ping ends."""
        if not self._probes:
            return self._next_probe_us
        answer_us = self._health.answer_us(self._timing.answer_us)
        expiries = [probe.sent_us + probe.tries * answer_us for probe in self._probes.values()]
        return min(self._next_probe_us, *expiries)

    def unreachable(self, now_us: int) -> list[int]:
        """Sorted numbers of routers that answered indirect probes within the last probe round, but not this
        router: the path between them and this router is interrupted in one direction at least."""
        span = self._timing.probe_us * (len(self._table.alive) + ROUND_MARGIN)
        self._unreachable = {
            number: at
            for number, at in self._unreachable.items()
            if now_us - at < span and number not in self._table.dead
        }
        return sorted(self._unreachable)

    # Probes

    def step(self, now_us: int, suspect: Suspect) -> None:
        """Repeat or end the probes whose answers are overdue, and start the next probe if it is due."""
        if self._probes:
            self._check_probes(now_us, suspect)
        if now_us < self._next_probe_us:
            return
        self._budget.refill(now_us)
        if self._budget.available[Share.PROBES] < self._budget.capacity[Share.PROBES] / 2:
            return  # the rest is for answers: without them live routers would seem dead
        self._next_probe_us = max(self._next_probe_us + self._timing.probe_us, now_us)
        target = self._next_target()
        self._notify_suspects(now_us)
        if target is not None:
            self._start_probe(now_us, target)

    def _check_probes(self, now_us: int, suspect: Suspect) -> None:
        # If many routers fail, the bytes are better spent on updates than on indirect probes.
        crowded = len(self._table.suspects) > self._timing.helpers
        answer_us = self._health.answer_us(self._timing.answer_us)
        overdue = [
            probe for probe in self._probes.values() if now_us - probe.sent_us >= probe.tries * answer_us
        ]
        for probe in overdue:
            if probe.tries == self._timing.tries:
                del self._probes[probe.token]
                self._handle_failure(now_us, probe, suspect)
            elif self._outbox.send(now_us, probe.target, MessageType.PING, probe.token):
                probe.tries += 1
                if probe.tries == FIRST_INDIRECT_TRY or (probe.tries == LAST_INDIRECT_TRY and not crowded):
                    self._request_indirect_probes(now_us, probe, crowded)
            # else: the ping was not sent for lack of budget, so no answer is missing

    def _request_indirect_probes(self, now_us: int, probe: Probe, crowded: bool) -> None:
        probed = self._probed_targets
        candidates = self._contacts.sample(now_us, self._timing.helpers)
        helpers = [number for number in candidates if number not in probed]
        for number in helpers[:1] if crowded else helpers:
            self._outbox.send(now_us, number, MessageType.PING_REQUEST, probe.token, target=probe.target)

    def _notify_suspects(self, now_us: int) -> None:
        """Ping the suspects that this router accuses. The ping carries the suspicion, so that they can refute
        it."""
        table = self._table
        if not table.suspects:
            return
        period_us = NOTIFICATION_PERIODS * self._timing.probe_us
        accused_locally = [
            number
            for number in sorted(table.suspects)
            if table.local_number in table.members[number].accusers
            and now_us - table.members[number].since_us < period_us
        ]
        if len(accused_locally) > self._timing.helpers:
            accused_locally = self._random.sample(accused_locally, 1)
        for number in accused_locally:
            self._outbox.send(now_us, number, MessageType.PING)

    def _start_probe(self, now_us: int, target: int) -> None:
        token = self._outbox.next_token()
        if self._outbox.send(now_us, target, MessageType.PING, token):
            self._probes[token] = Probe(target, token, now_us)
        else:
            self._order.append(target)

    @property
    def _probed_targets(self) -> set[int]:
        return {probe.target for probe in self._probes.values()}

    def _next_target(self) -> int | None:
        """The next member of a random order of all alive; a new order is drawn when the current one is used
        up."""
        probed = self._probed_targets
        for _ in range(2):
            while self._order:
                number = self._order.pop()
                if number not in probed and self._needs_probe(number):
                    return number
            self._order = list(self._table.alive)
            self._random.shuffle(self._order)
        return None

    def _needs_probe(self, number: int) -> bool:
        table = self._table
        if number not in table.members or number in table.dead:
            return False
        return number not in table.suspects or number in self._witnessed

    # Answers

    def handle_ping_request(self, now_us: int, message: Message) -> None:
        """Process a ping request: another router requests a ping of a third one."""
        if message.target == self._table.local_number or message.target not in self._table.members:
            return
        token = self._outbox.next_token()
        self._indirect[token] = IndirectProbe(message.sender, message.token, now_us)
        self._outbox.send(now_us, message.target, MessageType.PING, token)

    def handle_ack(self, now_us: int, message: Message) -> None:
        """Process the answer to a probe of this router or to a ping on behalf of another router."""
        probe = self._probes.pop(message.token, None)
        if probe is not None:
            if message.sender == probe.target:
                self._unreachable.pop(probe.target, None)
            else:
                self._unreachable[probe.target] = now_us
            self._health.probe_answered()
            return
        indirect = self._indirect.pop(message.token, None)
        if indirect is not None:
            self._outbox.send(now_us, indirect.requester, MessageType.ACK, indirect.token)

    def remove_expired_pings(self, now_us: int) -> None:
        """Drop pings on behalf of other routers that were not answered within 1 s."""
        self._indirect = {
            token: probe
            for token, probe in self._indirect.items()
            if now_us - probe.sent_us < INDIRECT_TIMEOUT_US
        }

    def _handle_failure(self, now_us: int, probe: Probe, suspect: Suspect) -> None:
        self._health.probe_unanswered(probe.sent_us)
        member = self._table.members.get(probe.target)
        if member is None:
            return
        other_us = self._other_message_us.get(probe.target, self._started_us)
        if member.start_id < 0 and now_us - other_us < self._grace_us:
            self._counts["never spoke"] += 1  # no membership message so far; it may run an earlier release
        elif member.state is MemberState.ALIVE and member.since_us > probe.sent_us:
            self._counts["outlived"] += 1  # it refuted a suspicion after the probe was sent
        elif probe.target not in self._table.dead:
            self._counts["unanswered"] += 1
            self._witnessed.discard(probe.target)
            suspect(now_us, probe.target)
            self._next_probe_us = min(self._next_probe_us, now_us)  # other routers may have failed too

    # Suspicion

    def state_changed(self, change: StateChange, update: Update, others_alive: int) -> None:
        """Process a change of the state of another router. ``others_alive``: other routers alive before
        it."""
        number = change.number
        self._witnessed.discard(number)
        if change.after is MemberState.SUSPECT:
            self._record_accuser(self._table.members[number], update.accuser, others_alive)
            chance = WITNESSES * min(1.0, CROWDED_SUSPECTS / len(self._table.suspects))
            if update.accuser != self._table.local_number and self._random.random() * others_alive < chance:
                self._witnessed.add(number)
                self._order.append(number)  # it is probed next
        if is_live(change.after) and not is_live(change.before):
            self._order.insert(self._random.randrange(len(self._order) + 1), number)

    def add_accuser(self, member: Member, by: int) -> bool:
        """Record another accuser of a suspect. Returns whether the accusation is to be gossiped, as the first
        independent accusers shorten the suspicion."""
        others_alive = len(self._table.alive)
        self._record_accuser(member, by, others_alive)
        return len(member.accusers) <= _max_accusers(others_alive) + 1

    def _record_accuser(self, member: Member, by: int, others_alive: int) -> None:
        """Set the deadline of a suspect: earlier with more accusers, later with the logarithm of the fleet
        size."""
        member.accusers = member.accusers | {by}
        member.accuser = by
        max_accusers = _max_accusers(others_alive)
        min_us = self._timing.suspect_us * max(1.0, log10(others_alive + 1))
        max_us = min_us * self._timing.patience * (1 + self._health.score / 4)
        confirmed_fraction = log(len(member.accusers)) / log(max_accusers + 1) if max_accusers else 1.0
        member.deadline_us = member.since_us + int(
            max(min_us, max_us - (max_us - min_us) * confirmed_fraction)
        )


def _max_accusers(others_alive: int) -> int:
    """Independent accusers beyond the first after which a suspect has only the minimum time to refute."""
    return max(0, min(MAX_ACCUSERS, others_alive - 1))
