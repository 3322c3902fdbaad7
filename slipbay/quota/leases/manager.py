"""Steers one router as holder and granter of leases on base shares.

Whoever has the grants of a majority of a base share's granters, each for a lease, may use and lend it; so the
base share of a dead or cut-off router comes back where a majority is. ``LeaseGranter`` and ``LeaseHolder``
are all that the bound stands on (docs/quota.md has the proof); ``LeaseManager`` decides when to ask whom, and
who takes over. All of it is without I/O, clock or randomness; times are us of this router's own clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from slipbay.peer_channel.interfaces import Send
from slipbay.peer_channel.leases import ClockBounds
from slipbay.quota.codec import LeaseEntry, LeaseMessage, MessageType, decode
from slipbay.quota.leases.granter import NOBODY, LeaseGranter
from slipbay.quota.leases.groups import group_of, lease_length
from slipbay.quota.leases.holder import LeaseHolder
from slipbay.quota.leases.locations import LeaseLocations, query
from slipbay.quota.leases.messages import LeaseMessageWriter
from slipbay.quota.leases.renewal import RETRY_US, RenewalRounds
from slipbay.quota.leases.takeover import TakeoverWatch

SELF = -1  # this incarnation in its own records; those of others are 0 and more


class LeaseManager:
    """One router as holder and as granter."""

    def __init__(
        self, me: int, size: int, granters: int, clocks: ClockBounds, started: int, longest_us: int
    ) -> None:
        """``longest_us``: the longest lease on borrowed shares of any plan, as ``QuotaPlan.longest_ms``."""
        self.me = me
        self.size = size
        self.clocks = clocks
        self.group = group_of(me, size, granters)
        self.length = lease_length(longest_us)  # for which base shares are granted
        self.granter = LeaseGranter(clocks, started, self.length)
        self.holder = LeaseHolder(self.group)
        self.messages = LeaseMessageWriter(self.length)
        self._last_heard: dict[int, int] = {}  # by router
        self.renewal = RenewalRounds(me, self.group, self._last_heard, started)
        first = self.granter.waits_until + self.length
        self.takeover = TakeoverWatch(me, self.group, self._last_heard, first, started)
        self.owners: set[int] = set()  # routers whose base share of any quota is more than nothing
        self.wanted: dict[int, int] = {}  # owners whose base shares are asked for, since when
        self.returning: set[int] = set()  # of them, those whose owner is back
        self.locations = LeaseLocations(me, size, granters)
        self.returned: set[int] = set()  # owners that got theirs back, until the caller has logged it
        self._elsewhere: set[int] = set()  # owners whose base shares are wanted, and others have
        self.ending = False

    def follow_plan(self, version: int, layout: int, borrow_us: int, owners: set[int]) -> None:
        """Another plan, or the first. ``owners``: routers that have a base share of any quota."""
        self.length = lease_length(borrow_us)
        self.owners = owners
        self.messages.version = version
        self.messages.layout = layout
        self.messages.length = self.length

    def held(self, now: int) -> dict[int, int]:
        """Owners whose base shares this router may use and lend, and until when."""
        return {owner: ends for owner in self.wanted if (ends := self.holder.ends_at(owner)) > now}

    def lendable_us(self, now: int, longest: int) -> int:
        """For how long to lend, at most ``longest``: what is borrowed surely ends before the lease on what it
        is of.
        """
        spans = [self._lendable(ends - now, longest) for ends in self.held(now).values()]
        spans = [span for span in spans if span > 0]
        return max(spans, key=lambda one: one * sum(span >= one for span in spans), default=0)

    def _lendable(self, left: int, longest: int) -> int:
        if self.clocks.safe_wait_us(longest) <= left:
            return longest
        return max(0, left - (self.clocks.safe_wait_us(left) - left)) // 1000 * 1000

    # Messages

    def receive(self, now: int, sender: int, incarnation: int, message: LeaseMessage) -> list[Send]:
        """A message about leases; returns the replies."""
        entries = [entry for entry in message.entries if entry.owner < self.size]
        holder = sender, incarnation
        match message.message_type:
            case MessageType.LEASE_REQUEST if sender in self.group:
                return self._receive_request(now, holder, message.tag, entries)
            case MessageType.LEASE_RELEASE:
                for entry in entries:
                    self.granter.release(entry.owner, holder, message.tag)
            case MessageType.LEASE_SHORTEN:
                self._receive_shorten(now, holder, message.tag, entries)
            case MessageType.LOCATION_QUERY if entries:
                found = [self._location(now, entry.owner) for entry in entries]
                return [(sender, self.messages.body(MessageType.LEASE_LOCATION, message.tag, found))]
            case MessageType.LEASE_GRANT:
                self._receive_grant(sender, message, entries)
            case MessageType.LEASE_LOCATION:
                self._receive_location(now, sender, message.tag, entries)
        return []

    def _receive_request(
        self, now: int, holder: tuple[int, int], tag: int, entries: Sequence[LeaseEntry]
    ) -> list[Send]:
        replies: dict[MessageType, list[LeaseEntry]] = {}
        for entry in entries:
            if entry.owner in self.group:
                message_type, reply = self._decide(now, entry.owner, holder, tag)
                replies.setdefault(message_type, []).append(reply)
        return [(holder[0], self.messages.body(kind, tag, found)) for kind, found in replies.items()]

    def _decide(
        self, now: int, owner: int, holder: tuple[int, int], tag: int
    ) -> tuple[MessageType, LeaseEntry]:
        if holder[0] == owner:
            self.takeover.owner_requested(now, owner, self.length)
            if owner in self.wanted and owner != self.me:
                self.returning.add(owner)
        if not self.granter.grant(now, owner, holder, tag, self.length):
            return MessageType.LEASE_LOCATION, self._location(now, owner)
        self.takeover.granted(owner, now + self.clocks.safe_wait_us(self.length))
        wanted = holder[0] != owner and self.takeover.owner_waits(now, owner, self.length)
        return MessageType.LEASE_GRANT, LeaseEntry(owner, int(wanted), 0)

    def _receive_shorten(
        self, now: int, holder: tuple[int, int], tag: int, entries: Sequence[LeaseEntry]
    ) -> None:
        for entry in entries:
            span = entry.span_ms * 1000
            self.granter.shorten(now, entry.owner, holder, tag, span)
            self.takeover.postpone(entry.owner, now + span + self.length)  # its holder is about to come back

    def _receive_grant(self, sender: int, message: LeaseMessage, entries: Sequence[LeaseEntry]) -> None:
        wanted = [entry for entry in entries if entry.owner in self.wanted]
        owners = [entry.owner for entry in wanted]
        if not self.holder.granted(sender, message.tag, owners, message.lease_ms * 1000):
            return
        self.renewal.replied(sender)
        for entry in wanted:
            if entry.router and entry.owner != self.me:
                # not asked for again; what is lent of it ends before it does
                self.returning.add(entry.owner)

    def _receive_location(self, now: int, sender: int, tag: int, entries: Sequence[LeaseEntry]) -> None:
        pending = self.holder.pending.get(sender)
        if pending is not None and pending.tag == tag:
            spans = [entry.span_ms * 1000 for entry in entries if entry.owner in self.wanted]
            self.renewal.denied(now, sender, max(spans, default=0), self.length)
        for owner, router, span_ms in entries:
            self.takeover.located(owner)
            if router == NOBODY:
                self.locations.learn(owner, NOBODY, now + RETRY_US)
                continue
            if router != self.me:
                if owner in self.wanted:
                    self._elsewhere.add(owner)
                self.locations.learn(owner, router, now + span_ms * 1000)
            self.takeover.postpone(owner, now + span_ms * 1000 + self.length)

    def _location(self, now: int, owner: int) -> LeaseEntry:
        """Which router has a base share, as far as it is known here."""
        if owner in self.wanted and self.holder.ends_at(owner) > now:
            return LeaseEntry(owner, self.me, (self.holder.ends_at(owner) - now) // 1000)
        router, left = self.granter.remaining(now, owner)
        if router == NOBODY and not left:
            router, left = self.locations.current(now, owner)
        return LeaseEntry(owner, router, -(-left // 1000))

    def heard(self, now: int, router: int) -> None:
        """A message of a router came, so it runs and asks for its base share itself."""
        self._last_heard[router] = now

    def query_location(self, now: int, owner: int) -> list[Send]:
        """Ask one of its granters who has a base share, each time another."""
        return self.locations.query_granter(now, owner, self.messages)

    # Time

    def end(self, now: int, back: int) -> list[Send]:
        """Shutdown: no base share is asked for any more, and each is released when everything lent has surely
        come ``back``, so that granters need keep their grants no longer. What is lent then is of base shares
        that are held until then, as before.
        """
        self.ending = True
        tag = self.messages.next_tag(now)
        notified = dict[int, list[LeaseEntry]]()
        span_ms = max(0, -(-(back - now) // 1000))
        for owner in self.held(now):
            self.granter.shorten(now, owner, (self.me, SELF), tag, span_ms * 1000)
            self.holder.shorten(owner, now + span_ms * 1000)
            for granter in self.group:  # all, so that none takes it over at once
                notified.setdefault(granter, []).append(LeaseEntry(owner, 0, span_ms))
        return [
            (granter, self.messages.body(MessageType.LEASE_SHORTEN, tag, entries))
            for granter, entries in notified.items()
            if granter != self.me
        ]

    def end_start_wait(self, now: int) -> None:
        """Nothing that an earlier incarnation granted is held any more; others end their waits now, too."""
        self.granter.waits_until = min(self.granter.waits_until, now)
        self.renewal.end_start_wait(now)

    def tick(self, now: int) -> list[Send]:
        """Release what ended or is due back, take over what is free, and ask for what is wanted."""
        sends: list[Send] = []
        if self.ending:
            return sends
        if self.me in self.owners:
            self.wanted.setdefault(self.me, now)
        for owner, since in list(self.wanted.items()):
            held = self.holder.ends_at(owner) > now
            if owner not in self.owners:
                self.returning.add(owner)
            patience = 3 * RETRY_US if owner in self._elsewhere else self.length
            in_vain = owner != self.me and now - since > patience
            if not held and (owner in self.returning or in_vain):
                sends += self.release(now, owner)
        sends += self._take_over(now)
        return sends + self._renew(now)

    def release(self, now: int, owner: int) -> list[Send]:
        """It ended, others have it, or too few reply: those that granted it are free again."""
        granters = self.holder.release(owner)
        tag = self.messages.next_tag(now)
        self.wanted.pop(owner, None)
        self._elsewhere.discard(owner)
        if owner in self.returning:
            self.returning.discard(owner)
            self.returned.add(owner)
        self.takeover.postpone(owner, now + self.length)
        self.granter.release(owner, (self.me, SELF), tag)
        return [
            (granter, self.messages.body(MessageType.LEASE_RELEASE, tag, [LeaseEntry(owner, 0, 0)]))
            for granter in granters
            if granter != self.me
        ]

    def _take_over(self, now: int) -> list[Send]:
        if now < self.granter.waits_until:
            return []
        candidates = [
            owner
            for owner in self.group
            if owner != self.me and owner in self.owners and owner not in self.wanted
        ]
        taken, queried = self.takeover.next_steps(now, candidates, self.granter, self.length)
        for owner in taken:
            self.wanted[owner] = now
            self.renewal.restart()
        return [query(now, owner, owner, self.messages) for owner in queried]

    def _renew(self, now: int) -> list[Send]:
        wanted = [owner for owner in self.wanted if owner not in self.returning]
        own_vote = now >= self.granter.waits_until
        targets = self.renewal.next_targets(now, wanted, self.holder, self.length, own_vote)
        return [] if targets is None else self.request(now, wanted, targets)

    def request(self, now: int, owners: Sequence[int], granters: Iterable[int]) -> list[Send]:
        """Ask this router itself and others for base shares."""
        tag = self.messages.next_tag(now)
        self.holder.requested(now, self.me, tag)
        granted = [
            owner for owner in owners if self.granter.grant(now, owner, (self.me, SELF), tag, self.length)
        ]
        self.holder.granted(self.me, tag, granted, self.length)
        entries = [LeaseEntry(owner, 0, 0) for owner in owners]
        sends = []
        for granter in granters:
            self.holder.requested(now, granter, tag)
            sends.append((granter, self.messages.body(MessageType.LEASE_REQUEST, tag, entries)))
        return sends

    def found_no_room(self, now: int, to: int, body: bytes) -> bool:
        """A message found no room on the channel. Whether it is still to be sent."""
        message = decode(body)
        if not isinstance(message, LeaseMessage):
            return False
        self.takeover.lacked_room(now, self.length)
        if message.message_type is MessageType.RECALL:
            return False
        if message.message_type is not MessageType.LEASE_REQUEST:
            return True
        pending = self.holder.pending.get(to)
        return pending is not None and pending.tag == message.tag
