"""State machine of one router for the quotas of the fleet.

A router whose demand exceeds its share sends borrow requests to a few others at a time; a router with less
demand lends for the duration of a lease. Demand only decides who borrows how much; the quota's upper bound
depends on ``Shares`` and leases alone. The state machine is an endpoint of the peer channel. It does no I/O;
the caller passes the time and a source of random numbers.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from slipbay.peer_channel.interfaces import Send
from slipbay.peer_channel.leases import ClockBounds
from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.borrow_requests import Borrower, Requests
from slipbay.quota.codec import HEADER, BorrowMessage, LeaseMessage, MessageType, decode, encode
from slipbay.quota.demand import DemandPool
from slipbay.quota.fleet_start import FleetStart, StartState
from slipbay.quota.leases.manager import LeaseManager
from slipbay.quota.lending import Lender
from slipbay.quota.outbox import LeaseOutbox
from slipbay.quota.peer_replies import PeerReplies
from slipbay.quota.plan import CLOCKS, QuotaPlan
from slipbay.quota.send_budget import LEASE_OVERDRAFT_BYTES, SendBudget
from slipbay.quota.shutdown import Shutdown
from slipbay.quota.start_wait import StartWait

SECOND = 1_000_000
TICK_US = 100_000
MIN_ROUTERS_FOR_LEASES = 3  # with two routers, each owner alone is a majority for its own base share
RETRY_US = 300_000  # base shares are released again if lent shares return this much earlier than announced
LOCATE_INTERVAL_US = SECOND  # interval between queries for the holders of base shares
MIN_REPORT_INTERVAL_US = 250_000  # shortest interval between reports of a holder to other holders
HOLDER_REPORT_INTERVAL_US = 40_000  # multiplied by the routers per holder; leaves budget for other messages
REPORTS_PER_S = 4  # reports that a holder of one quota receives per second from routers that hold none of it
REPORT_ROUNDS = 1.5  # reports expire after this many rounds of reports


class BorrowingStateMachine:
    """Dispatches messages and ticks to the objects that own the state.

    Times are in us of the local router's clock.
    """

    def __init__(
        self,
        local_router: int,
        router_count: int,
        plan: QuotaPlan,
        random: Random,
        now: int,
        *,
        clocks: ClockBounds = CLOCKS,
    ) -> None:
        self.local_router = local_router
        self.router_count = router_count
        self.counts: Counter[str] = Counter()
        self.peer_versions: dict[int, int] = {}  # by router, the version of the plan that it applies
        self.leases: LeaseManager | None = None
        if plan.wardens and router_count >= MIN_ROUTERS_FOR_LEASES:
            self.leases = LeaseManager(
                local_router, router_count, plan.wardens, clocks, now, plan.longest_ms * 1000
            )
        self.quotas = QuotaAccounts(local_router, router_count, plan, clocks, self.leases, now)
        self.budget = SendBudget(plan.bytes_per_s, now)
        self.shutdown = Shutdown()
        holders = min(router_count, plan.holders)
        report_interval_us = max(
            2 * MIN_REPORT_INTERVAL_US, int(SECOND * router_count / holders / REPORTS_PER_S)
        )
        holder_report_interval_us = max(
            MIN_REPORT_INTERVAL_US, int(HOLDER_REPORT_INTERVAL_US * router_count / holders)
        )
        max_report_age_us = int(
            REPORT_ROUNDS * max(2 * report_interval_us, holders * holder_report_interval_us, SECOND)
        )
        self._replies = PeerReplies()
        self.demand = DemandPool(self.quotas, self._replies, random, max_report_age_us)
        self._lender = Lender(self.quotas, self.demand, self.budget, self.shutdown, self.counts)
        self._borrower = Borrower(
            self.quotas,
            self.demand,
            self._lender,
            self._replies,
            self.budget,
            random,
            self.counts,
            report_interval_us,
            holder_report_interval_us,
        )
        self._outbox = LeaseOutbox(self.leases, self.budget, self.shutdown, self.counts)
        self._start_wait: StartWait | None = None
        self._started_us = now
        self._next_tick_us = now
        self._located_at_us = now
        # If all routers are holders, requests go to the owner itself, and no holder has to be located.
        self._must_locate = self.leases is not None and holders < router_count

    @property
    def plan(self) -> QuotaPlan:
        """The plan that this router applies."""
        return self.quotas.plan

    @property
    def accounts(self) -> dict[int, QuotaAccount]:
        """Accounts of the quotas in the plan, by key."""
        return self.quotas.accounts

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation that other routers see. With it this router can detect that all restarted."""
        fleet_start = FleetStart(self.local_router, self.router_count, incarnation)
        self._start_wait = StartWait(self.quotas, fleet_start, self.counts, self._started_us)

    def apply_plan(self, now: int, plan: QuotaPlan) -> None:
        """Apply a new plan; the caller has checked that it may replace the current one."""
        self.quotas.apply_plan(now, plan)
        self.budget.bytes_per_s = plan.bytes_per_s

    def set_running_routers(self, now: int, running: int) -> None:
        """Set the number of running routers, for soft quotas."""
        self.quotas.set_running_routers(now, running)

    def start_shutdown(self, deadline_us: int) -> None:
        """Start the shutdown: this router accepts requests until ``deadline_us``.

        Shortly before that it recalls all lent shares and releases all base shares, so that the next
        incarnation and other routers need not wait for them.
        """
        self.shutdown.start(deadline_us)

    def handle_unsent(self, now: int, to: int, body: bytes) -> None:
        """Handle a message that the channel had no room for."""
        self.budget.refund(len(body))
        self._outbox.keep(now, to, body)

    # Messages

    def receive(self, now: int, sender: int, incarnation: int, body: bytes) -> list[Send]:
        """Process a message of another router and its incarnation; return the messages to send."""
        message = decode(body)
        self.budget.update_room(now)
        if message is None:
            self.counts["garbled"] += 1
            return []
        if message.layout != self.quotas.layout:
            self.counts["another layout"] += 1
            return []
        self._replies.record_received(sender)
        if self.leases is not None:
            self.leases.record_received(now, sender)
        if message.message_type is not MessageType.FLEET_START:
            self.peer_versions[sender] = message.version
        if isinstance(message, LeaseMessage):
            return self._receive_lease(now, sender, incarnation, message)
        if message.message_type is MessageType.BORROW_REPLY:
            return self._receive_reply(now, sender, message)
        return self._lender.receive(now, (sender, incarnation), message)

    def _receive_fleet_start(
        self, now: int, sender: int, incarnation: int, message: LeaseMessage
    ) -> list[Send]:
        start_wait = self._start_wait
        if start_wait is None:
            return []
        fleet_start = start_wait.fleet_start
        was_waiting = fleet_start.is_waiting(now)
        replies = fleet_start.receive(sender, incarnation, message.tag, message.lease_ms)
        start_wait.update(now)
        if was_waiting and not fleet_start.is_waiting(now):
            self._next_tick_us = now  # shares can be requested now
        if not replies:
            return []
        return self._outbox.send(now, [(sender, start_wait.encode_message(*fleet_start.next_statement()))])

    def _receive_lease(self, now: int, sender: int, incarnation: int, message: LeaseMessage) -> list[Send]:
        if message.message_type is MessageType.FLEET_START:
            return self._receive_fleet_start(now, sender, incarnation, message)
        if message.message_type is MessageType.RECALL:
            return self._borrower.receive_recall(now, sender)
        if self.leases is None:
            return []
        for owner, router, _ in message.entries:
            if owner == router:  # the owner runs, but has no budget for a reply
                self._replies.record_received(owner)
        return self._send_leases(now, self.leases.receive(now, sender, incarnation, message))

    def _receive_reply(self, now: int, sender: int, message: BorrowMessage) -> list[Send]:
        sends, lent = self._borrower.receive_reply(now, sender, message)
        if lent and self._start_wait is not None:
            self._start_wait.fleet_start.held_anything = True
        return sends

    def _send_leases(self, now: int, messages: list[Send]) -> list[Send]:
        """Update the shares from the leases, and return the lease messages that may be sent now."""
        if self._start_wait is not None:
            self._start_wait.record_lease()
        self.quotas.apply_leases(now)
        return self._outbox.send(now, messages)

    # Time

    def next_tick(self) -> int:
        """Return when ``tick`` must be called next."""
        return self._next_tick_us

    def tick(self, now: int) -> list[Send]:
        """Do the periodic work; return the messages to send."""
        self._next_tick_us = now + TICK_US
        self.budget.update_room(now)
        is_ending = self.shutdown.is_recalling(now)
        self.demand.update(now, not is_ending and self.quotas.is_start_wait_over(now))
        start_wait = self._start_wait
        must_stay_quiet = start_wait is not None and start_wait.is_quiet(now, bool(self.peer_versions))
        requests = self._update_accounts(now, plan_requests=not is_ending and not must_stay_quiet)
        self._replies.update(now)
        sends = self._outbox.resend(now)
        sends += self._tick_start(now)
        if is_ending:
            return sends + self._tick_shutdown(now)
        if self.leases is not None and not must_stay_quiet:
            sends += self._send_leases(now, self.leases.tick(now))
        sends += self._borrower.send(now, requests)
        return sends + self._locate_unresponsive(now)

    def _update_accounts(self, now: int, *, plan_requests: bool) -> Requests:
        """Update all accounts. If ``plan_requests`` is true, plan borrow requests and return them."""
        requests: Requests = {}
        for key, account in self.accounts.items():
            account.update_demand(now)
            account.advance(now)
            self.demand.prune(now, key)
            shares = account.shares
            if shares.borrowed or shares.lent:
                shares.prune(now)
            if plan_requests and (account.demand or shares.borrowed or self.demand.is_active(now, key)):
                self._borrower.plan(now, key, account, requests)
        return requests

    def _tick_start(self, now: int) -> list[Send]:
        start_wait = self._start_wait
        if start_wait is None or start_wait.fleet_start.is_done:
            return []
        start_wait.update(now)
        fleet_start = start_wait.fleet_start
        return [
            (to, start_wait.encode_message(fleet_start.stated_checksum, StartState.REPLY_WANTED))
            for to in fleet_start.next_targets(now)
            if self.budget.spend(now, HEADER.size, LEASE_OVERDRAFT_BYTES)
        ]

    def _tick_shutdown(self, now: int) -> list[Send]:
        """Recall lent shares, return borrowed shares and release base shares."""
        all_shares = self.quotas.all_shares()
        borrowers: set[int] = set()
        if self.leases is not None:
            for shares in all_shares:
                borrowers |= shares.borrowers(now)
        returned_us = (
            max((shares.all_returned_at(now) for shares in all_shares), default=now) if borrowers else now
        )
        sends: list[Send] = []
        requests: Requests = {}
        if self.shutdown.is_releasing(now):
            sends = self._release_leases(now, returned_us)
            requests = self._borrower.return_all(now)
        recall = encode(LeaseMessage(MessageType.RECALL, self.plan.version, self.quotas.layout, 0, 0, ()))
        for to in sorted(borrowers):
            if self.budget.spend(now, len(recall), LEASE_OVERDRAFT_BYTES):
                sends.append((to, recall))
        return sends + self._borrower.send(now, requests, LEASE_OVERDRAFT_BYTES)

    def _release_leases(self, now: int, returned_us: int) -> list[Send]:
        """Release base shares as of ``returned_us``, when all lent shares have ended; release them again if
        that is much earlier than announced before.
        """
        shutdown = self.shutdown
        if self.leases is None or (shutdown.announced_us and shutdown.announced_us <= returned_us + RETRY_US):
            return []
        sends = self._send_leases(now, self.leases.start_shutdown(now, returned_us))
        shutdown.announced_us = max(now, returned_us)
        return sends

    def _locate_unresponsive(self, now: int) -> list[Send]:
        """Query for the holder of the base share of one unresponsive router at a time."""
        if self.leases is None or not self._must_locate or now - self._located_at_us < LOCATE_INTERVAL_US:
            return []
        self._located_at_us = now
        for router in self._replies.unresponsive:
            queries = self.leases.query_location(now, router)
            if queries:
                return [(to, body) for to, body in queries if self.budget.spend(now, len(body))]
        return []
