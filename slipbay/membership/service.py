"""Membership of a running router: connects the state machine to the peer socket, logs changes and reports
the status."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from slipbay.address import Address
from slipbay.config.model import Config
from slipbay.core.timers import Timer, Timers
from slipbay.log import log
from slipbay.membership.codec import MemberState, MessageKeys, MessageType
from slipbay.membership.fair_share import FairShare
from slipbay.membership.member_table import StateChange
from slipbay.membership.outbox import Send
from slipbay.membership.settings import MembershipConfig
from slipbay.membership.state_machine import MembershipStateMachine
from slipbay.peer_channel import frame, interfaces
from slipbay.peer_channel.status_pages import encode_pages
from slipbay.peers.udp import PeerSocket

if TYPE_CHECKING:
    from slipbay.peer_channel.multiplexer import Multiplexer

LOGGED_CHANGES = 8  # changes at once that are logged one by one; the rest is logged as a count
# times the number of routers: interval within which each router reports its threads to every other
REPORT_US = 250_000


class MembershipService:
    """Processes membership datagrams. Calls ``on_resize`` with the number of routers that share the
    limits."""

    def __init__(
        self,
        config: Config,
        fleet: MembershipConfig,
        timers: Timers,
        now: Callable[[], int],
        peers: PeerSocket,
        on_resize: Callable[[int], None],
    ) -> None:
        self._config = config
        self._fleet = fleet
        self._timers = timers
        self._now = now
        self._peers = peers
        settings = config.settings
        self.machine = MembershipStateMachine(
            settings.router_number,
            len(config.peers),
            config.seed,
            Random(config.seed),
            now(),
            zone=settings.zone,
            build=fleet.build,
            grace_us=2 * REPORT_US * settings.router_count,
            timing=fleet.timing,
            keys=MessageKeys(fleet.key, fleet.old_key),
        )
        self.machine.listeners.append(self._changed)
        self._shares = FairShare(settings.router_count, settings.cold_window_us)
        self._on_resize = on_resize
        self._share_count = settings.router_count
        self._may_be_disconnected = False
        self._timer: Timer | None = None
        self.mux: Multiplexer | None = None  # of the channel, whose byte budget includes membership messages
        peers.datagram_handler = self._received

    def start(self) -> None:
        """Start to send probes and gossip."""
        self._tick()

    def leave(self) -> None:
        """Announce the shutdown of this router to the others."""
        now = self._prepare_call()
        self._send(now, self.machine.leave(now))

    def _tick(self) -> None:
        now = self._prepare_call()
        self._send(now, self.machine.tick(now))
        self._update_share(now)
        may_be_disconnected = self.machine.health.may_be_disconnected(now)
        if may_be_disconnected != self._may_be_disconnected:
            self._may_be_disconnected = may_be_disconnected
            log(
                "fleet",
                "this router may be cut off" if may_be_disconnected else "this router is reachable again",
            )
        self._timer = self._timers.at(self.machine.next_tick(), self._tick)

    def _received(self, number: int | None, data: bytes, address: Address) -> bool:
        """Process a datagram; returns whether it is a membership message or status request.

        ``number``: of the peer that has the source address; None if no peer has it.
        """
        if not frame.is_peer_message(data):
            if number is not None:
                self.machine.detector.record_other_message(self._now(), number)
            return False
        if number is not None:
            now = self._prepare_call()
            self._send(now, self.machine.receive(now, data, number))
        elif self._is_status_request(data, address):
            for page in encode_pages(self.status()):
                self._peers.send_to(page, address)
        else:
            self.machine.counts["foreign"] += 1
        return True

    def _is_status_request(self, data: bytes, address: Address) -> bool:
        """Whether a datagram is a status request from this host that is to be answered."""
        is_local = address[0].startswith("127.")
        return self._fleet.status and is_local and data[4] & ~frame.FLAG == MessageType.STATUS

    def _prepare_call(self) -> int:
        """Return the time, after setting the bytes that the state machine may send in this call."""
        now = self._now()
        if self.mux is not None:
            self.machine.budget.host_limit = self.mux.available_bytes(now, interfaces.FrameKind.VIEW)
        return now

    def _send(self, now: int, sends: list[Send]) -> None:
        for to, data in sends:
            if self.mux is None or self.mux.spend_unframed(now, interfaces.FrameKind.VIEW, len(data)):
                self._peers.send(data, to)

    def _changed(self, now: int, changes: list[StateChange]) -> None:
        self._update_share(now)
        for change in changes[:LOGGED_CHANGES]:
            if change.after is not MemberState.ALIVE or change.before is not None:
                log(
                    "fleet",
                    "member state changed",
                    router=change.number,
                    state=change.after.name.lower(),
                    version=self.machine.version,
                    living=len(self.machine.live_numbers),
                )
        if len(changes) > LOGGED_CHANGES:
            more = len(changes) - LOGGED_CHANGES
            log("fleet", "more member states changed", changes=more, version=self.machine.version)

    def _update_share(self, now: int) -> None:
        count = self._shares.count(now, len(self.machine.live_numbers))
        if self._fleet.shares and count != self._share_count:
            self._share_count = count
            self._on_resize(count)

    def status(self) -> dict[str, object]:
        """The status that ``slipbay fleet status`` prints, as JSON values."""
        machine = self.machine
        members = machine.table.members
        by_state = {
            state.name.lower(): [
                number for number, member in sorted(members.items()) if member.state is state
            ]
            for state in MemberState
        }
        live_count = len(machine.live_numbers)
        return {
            "name": self._config.name,
            "number": machine.local_number,
            "version": machine.version,
            "life": machine.start_id,
            "incarnation": machine.table.local_member.incarnation,
            "health": machine.health.score,
            "odd_one_out": self._may_be_disconnected,
            "cut_off": machine.detector.unreachable(self._now()),
            "side": live_count / machine.size,
            "configured": machine.size,
            "living": live_count,
            "shares_of": self._share_count,
            "zones": self._living_by_zone(),
            "suspect": by_state["suspect"],
            "gone": by_state["gone"],
            "left": by_state["left"],
            "builds": sorted({member.build for member in members.values()}),
            "counts": dict(machine.counts),
        }

    def _living_by_zone(self) -> dict[str, int]:
        members = self.machine.table.members
        return dict(Counter(self._zone_name(members[number].zone) for number in self.machine.live_numbers))

    def _zone_name(self, zone: int) -> str:
        names = self._config.zones
        if zone < 0:
            return "not told yet"
        return names[zone] if zone < len(names) else str(zone)
