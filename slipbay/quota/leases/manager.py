"""Manages the local router's leases on base shares, both as a holder and as a granter.

A router may use and lend a base share while a majority of the share's granters grants it a lease. So another
router can take over the base share of a router that crashed or is partitioned, as long as it reaches a
majority of the granters. The quota's upper bound depends on ``LeaseGranter`` and ``LeaseHolder`` alone
(docs/quota.md has the proof). ``LeaseManager`` decides when to send requests, to which granters, and when to
take over a base share. It does no I/O and reads no clock; all times are in us of the local router's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from slipbay.peer_channel.interfaces import Send
from slipbay.peer_channel.leases import ClockBounds
from slipbay.quota.codec import LeaseEntry, LeaseMessage, MessageType, decode
from slipbay.quota.leases.granter import NO_ROUTER, LeaseGranter
from slipbay.quota.leases.groups import base_lease_us, granter_group
from slipbay.quota.leases.holder import LeaseHolder
from slipbay.quota.leases.locations import LeaseLocations, location_query
from slipbay.quota.leases.messages import LeaseMessageWriter
from slipbay.quota.leases.renewal import RETRY_US, RenewalRounds
from slipbay.quota.leases.takeover import TakeoverWatch

SELF = -1  # marks the running incarnation in its own records; incarnations of other routers are 0 or more


class LeaseManager:
    """The local router as a holder and as a granter of leases."""

    def __init__(
        self,
        local_router: int,
        router_count: int,
        min_granters: int,
        clocks: ClockBounds,
        started_us: int,
        max_lease_us: int,
    ) -> None:
        """``max_lease_us`` is the longest lease on borrowed shares of any plan (``QuotaPlan.longest_ms``)."""
        self.local_router = local_router
        self.router_count = router_count
        self.clocks = clocks
        self.group = granter_group(local_router, router_count, min_granters)
        self.lease_us = base_lease_us(max_lease_us)  # duration of a lease on a base share
        self.granter = LeaseGranter(clocks, started_us, self.lease_us)
        self.holder = LeaseHolder(self.group)
        self.messages = LeaseMessageWriter(self.lease_us)
        self._last_received_us: dict[int, int] = {}  # by router, when its latest message arrived
        self.renewal = RenewalRounds(local_router, self.group, self._last_received_us, started_us)
        takeover_from_us = self.granter.waits_until_us + self.lease_us
        self.takeover = TakeoverWatch(
            local_router, self.group, self._last_received_us, takeover_from_us, started_us
        )
        self.owners: set[int] = set()  # routers that have a base share of at least one quota
        self.wanted: dict[int, int] = {}  # owners whose base shares this router requests, and since when
        self.returning: set[int] = set()  # wanted owners that run again, so their leases are not renewed
        self.locations = LeaseLocations(local_router, router_count, min_granters)
        self.returned: set[int] = set()  # owners whose base shares were returned; cleared once logged
        self._held_elsewhere: set[int] = set()  # wanted owners whose base shares another router holds
        self.is_ending = False

    def apply_plan(self, version: int, layout: int, borrow_us: int, owners: set[int]) -> None:
        """Apply a plan, the first or a new one. ``owners`` are the routers that have a base share of at least
        one quota.
        """
        self.lease_us = base_lease_us(borrow_us)
        self.owners = owners
        self.messages.version = version
        self.messages.layout = layout
        self.messages.lease_us = self.lease_us

    def held(self, now: int) -> dict[int, int]:
        """Return the owners whose base shares this router may use and lend, and when each lease ends."""
        return {owner: ends for owner in self.wanted if (ends := self.holder.ends_at(owner)) > now}

    def lendable_us(self, now: int, max_us: int) -> int:
        """Return the duration in us for which to lend, at most ``max_us``.

        A borrowed share must end before the lease on the base share that it is taken from. Of the possible
        durations this chooses the one with the largest product of duration and number of base shares.
        """
        spans_us = [self._max_span_within(ends - now, max_us) for ends in self.held(now).values()]
        spans_us = [span_us for span_us in spans_us if span_us > 0]
        return max(spans_us, key=lambda one: one * sum(span_us >= one for span_us in spans_us), default=0)

    def _max_span_within(self, remaining_us: int, max_us: int) -> int:
        if self.clocks.safe_wait_us(max_us) <= remaining_us:
            return max_us
        return max(0, remaining_us - (self.clocks.safe_wait_us(remaining_us) - remaining_us)) // 1000 * 1000

    # Messages

    def receive(self, now: int, sender: int, incarnation: int, message: LeaseMessage) -> list[Send]:
        """Process a message about leases and return the replies."""
        entries = [entry for entry in message.entries if entry.owner < self.router_count]
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
                return [(sender, self.messages.write_body(MessageType.LEASE_LOCATION, message.tag, found))]
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
        return [(holder[0], self.messages.write_body(kind, tag, found)) for kind, found in replies.items()]

    def _decide(
        self, now: int, owner: int, holder: tuple[int, int], tag: int
    ) -> tuple[MessageType, LeaseEntry]:
        if holder[0] == owner:
            self.takeover.record_owner_request(now, owner, self.lease_us)
            if owner in self.wanted and owner != self.local_router:
                self.returning.add(owner)
        if not self.granter.grant(now, owner, holder, tag, self.lease_us):
            return MessageType.LEASE_LOCATION, self._location(now, owner)
        self.takeover.record_grant(owner, now + self.clocks.safe_wait_us(self.lease_us))
        wanted = holder[0] != owner and self.takeover.has_recent_request(now, owner, self.lease_us)
        return MessageType.LEASE_GRANT, LeaseEntry(owner, int(wanted), 0)

    def _receive_shorten(
        self, now: int, holder: tuple[int, int], tag: int, entries: Sequence[LeaseEntry]
    ) -> None:
        for entry in entries:
            span_us = entry.span_ms * 1000
            self.granter.shorten(now, entry.owner, holder, tag, span_us)
            self.takeover.postpone(entry.owner, now + span_us + self.lease_us)  # its holder restarts soon

    def _receive_grant(self, sender: int, message: LeaseMessage, entries: Sequence[LeaseEntry]) -> None:
        wanted = [entry for entry in entries if entry.owner in self.wanted]
        owners = [entry.owner for entry in wanted]
        if not self.holder.record_grants(sender, message.tag, owners, message.lease_ms * 1000):
            return
        self.renewal.record_grant(sender)
        for entry in wanted:
            if entry.router and entry.owner != self.local_router:
                # This lease is not renewed; shares lent from it end before it does.
                self.returning.add(entry.owner)

    def _receive_location(self, now: int, sender: int, tag: int, entries: Sequence[LeaseEntry]) -> None:
        pending = self.holder.pending.get(sender)
        if pending is not None and pending.tag == tag:
            spans_us = [entry.span_ms * 1000 for entry in entries if entry.owner in self.wanted]
            self.renewal.record_denial(now, sender, max(spans_us, default=0), self.lease_us)
        for owner, router, span_ms in entries:
            self.takeover.record_location(owner)
            if router == NO_ROUTER:
                self.locations.record(owner, NO_ROUTER, now + RETRY_US)
                continue
            if router != self.local_router:
                if owner in self.wanted:
                    self._held_elsewhere.add(owner)
                self.locations.record(owner, router, now + span_ms * 1000)
            self.takeover.postpone(owner, now + span_ms * 1000 + self.lease_us)

    def _location(self, now: int, owner: int) -> LeaseEntry:
        """Return the known holder of a base share."""
        if owner in self.wanted and self.holder.ends_at(owner) > now:
            return LeaseEntry(owner, self.local_router, (self.holder.ends_at(owner) - now) // 1000)
        router, remaining_us = self.granter.remaining(now, owner)
        if router == NO_ROUTER and not remaining_us:
            router, remaining_us = self.locations.current(now, owner)
        return LeaseEntry(owner, router, -(-remaining_us // 1000))

    def record_received(self, now: int, router: int) -> None:
        """Record that a message of a router arrived: it runs and requests its own base share."""
        self._last_received_us[router] = now

    def query_location(self, now: int, owner: int) -> list[Send]:
        """Query one granter of a base share for its holder; each call chooses the next granter."""
        return self.locations.query_next_granter(now, owner, self.messages)

    # Time

    def start_shutdown(self, now: int, returned_us: int) -> list[Send]:
        """Start the shutdown: request no more base shares, and shorten all leases so that they end at
        ``returned_us``, when every lent share has ended. So granters need not keep their grants for longer.

        Until then this router holds the base shares, so the bound on lent shares still applies.
        """
        self.is_ending = True
        tag = self.messages.next_tag(now)
        notified = dict[int, list[LeaseEntry]]()
        span_ms = max(0, -(-(returned_us - now) // 1000))
        for owner in self.held(now):
            self.granter.shorten(now, owner, (self.local_router, SELF), tag, span_ms * 1000)
            self.holder.shorten(owner, now + span_ms * 1000)
            for granter in self.group:  # all granters, so that none takes the share over at once
                notified.setdefault(granter, []).append(LeaseEntry(owner, 0, span_ms))
        return [
            (granter, self.messages.write_body(MessageType.LEASE_SHORTEN, tag, entries))
            for granter, entries in notified.items()
            if granter != self.local_router
        ]

    def end_start_wait(self, now: int) -> None:
        """End the wait after the start: no lease that an earlier incarnation granted is held any more. The
        other routers end their waits at about the same time.
        """
        self.granter.waits_until_us = min(self.granter.waits_until_us, now)
        self.renewal.end_start_wait(now)

    def tick(self, now: int) -> list[Send]:
        """Release base shares that ended or are returned, take over free ones, and renew wanted ones."""
        sends: list[Send] = []
        if self.is_ending:
            return sends
        if self.local_router in self.owners:
            self.wanted.setdefault(self.local_router, now)
        for owner, since in list(self.wanted.items()):
            held = self.holder.ends_at(owner) > now
            if owner not in self.owners:
                self.returning.add(owner)
            max_wait_us = 3 * RETRY_US if owner in self._held_elsewhere else self.lease_us
            is_unsuccessful = owner != self.local_router and now - since > max_wait_us
            if not held and (owner in self.returning or is_unsuccessful):
                sends += self.release(now, owner)
        sends += self._take_over_free(now)
        return sends + self._renew(now)

    def release(self, now: int, owner: int) -> list[Send]:
        """Give a base share up, and notify the granters that granted it, so that they may grant it again.

        The lease ended, another router holds the share, or too few granters replied.
        """
        granters = self.holder.release(owner)
        tag = self.messages.next_tag(now)
        self.wanted.pop(owner, None)
        self._held_elsewhere.discard(owner)
        if owner in self.returning:
            self.returning.discard(owner)
            self.returned.add(owner)
        self.takeover.postpone(owner, now + self.lease_us)
        self.granter.release(owner, (self.local_router, SELF), tag)
        return [
            (granter, self.messages.write_body(MessageType.LEASE_RELEASE, tag, [LeaseEntry(owner, 0, 0)]))
            for granter in granters
            if granter != self.local_router
        ]

    def _take_over_free(self, now: int) -> list[Send]:
        if now < self.granter.waits_until_us:
            return []
        candidates = [
            owner
            for owner in self.group
            if owner != self.local_router and owner in self.owners and owner not in self.wanted
        ]
        taken, queried = self.takeover.next_steps(now, candidates, self.granter, self.lease_us)
        for owner in taken:
            self.wanted[owner] = now
            self.renewal.restart()
        return [location_query(now, owner, owner, self.messages) for owner in queried]

    def _renew(self, now: int) -> list[Send]:
        wanted = [owner for owner in self.wanted if owner not in self.returning]
        may_grant_locally = now >= self.granter.waits_until_us
        targets = self.renewal.next_targets(now, wanted, self.holder, self.lease_us, may_grant_locally)
        return [] if targets is None else self.request(now, wanted, targets)

    def request(self, now: int, owners: Sequence[int], granters: Iterable[int]) -> list[Send]:
        """Request base shares from ``granters``, and from this router as its own granter."""
        tag = self.messages.next_tag(now)
        self.holder.record_request(now, self.local_router, tag)
        granted = [
            owner
            for owner in owners
            if self.granter.grant(now, owner, (self.local_router, SELF), tag, self.lease_us)
        ]
        self.holder.record_grants(self.local_router, tag, granted, self.lease_us)
        entries = [LeaseEntry(owner, 0, 0) for owner in owners]
        sends = []
        for granter in granters:
            self.holder.record_request(now, granter, tag)
            sends.append((granter, self.messages.write_body(MessageType.LEASE_REQUEST, tag, entries)))
        return sends

    def handle_unsent(self, now: int, to: int, body: bytes) -> bool:
        """Handle a message that the channel had no room for. Return whether it is still to be sent."""
        message = decode(body)
        if not isinstance(message, LeaseMessage):
            return False
        self.takeover.record_unsent(now, self.lease_us)
        if message.message_type is MessageType.RECALL:
            return False
        if message.message_type is not MessageType.LEASE_REQUEST:
            return True
        pending = self.holder.pending.get(to)
        return pending is not None and pending.tag == message.tag
