"""One router's part in the quotas of the fleet.

A router whose demand is above its share asks others, some at a time; one whose demand is below lends for a
lease. Demand only steers this; the bound stands on ``Shares`` and on leases alone. An endpoint of the
channel: without I/O, clock or randomness of its own.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from slipbay.peer_channel.interfaces import Send
from slipbay.peer_channel.leases import ClockBounds
from slipbay.quota.account import QuotaAccount
from slipbay.quota.accounts import QuotaAccounts
from slipbay.quota.borrow_requests import Borrower, Requests
from slipbay.quota.codec import HEAD, BorrowMessage, LeaseMessage, MessageType, decode, encode
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
MIN_SIZE_FOR_LEASES = 3  # of two, each alone is the majority for what is its own
RETRY_US = 300_000  # base shares are released anew if more came back so much earlier
LOCATE_US = SECOND  # between two questions who has base shares
MIN_REPORT_US = 250_000  # between two reports of a holder to other holders
HOLDER_REPORT_US = 40_000  # and so many times the routers to a holder: what is left for messages then
REPORTS_PER_S = 4  # that a holder of one quota gets from routers that are none
REPORT_AGE = 1.5  # times a round of reports: for so long counts what a router said of itself


class BorrowingStateMachine:
    """Dispatches messages and time to the parts that own their state. Times are us of this router's clock."""

    def __init__(
        self, me: int, size: int, plan: QuotaPlan, random: Random, now: int, *, clocks: ClockBounds = CLOCKS
    ) -> None:
        self.me = me
        self.size = size
        self.counts: Counter[str] = Counter()
        self.peer_versions: dict[int, int] = {}  # by router, the version of the plan that it follows
        self.leases: LeaseManager | None = None
        if plan.wardens and size >= MIN_SIZE_FOR_LEASES:
            self.leases = LeaseManager(me, size, plan.wardens, clocks, now, plan.longest_ms * 1000)
        self.quotas = QuotaAccounts(me, size, plan, clocks, self.leases, now)
        self.budget = SendBudget(plan.bytes_per_s, now)
        self.shutdown = Shutdown()
        holders = min(size, plan.holders)
        report_us = max(2 * MIN_REPORT_US, int(SECOND * size / holders / REPORTS_PER_S))
        holder_report_us = max(MIN_REPORT_US, int(HOLDER_REPORT_US * size / holders))
        report_age_us = int(REPORT_AGE * max(2 * report_us, holders * holder_report_us, SECOND))
        self._replies = PeerReplies()
        self.demand = DemandPool(self.quotas, self._replies, random, report_age_us)
        self._lender = Lender(self.quotas, self.demand, self.budget, self.shutdown, self.counts)
        self._borrower = Borrower(
            self.quotas,
            self.demand,
            self._lender,
            self._replies,
            self.budget,
            random,
            self.counts,
            report_us,
            holder_report_us,
        )
        self._outbox = LeaseOutbox(self.leases, self.budget, self.shutdown, self.counts)
        self._start_wait: StartWait | None = None
        self._started = now
        self._due = now
        self._located_at = now
        self._locates = self.leases is not None and holders < size  # else the owner itself is asked

    @property
    def plan(self) -> QuotaPlan:
        """The plan that this router follows."""
        return self.quotas.plan

    @property
    def accounts(self) -> dict[int, QuotaAccount]:
        """Accounts of the quotas in the plan, by key."""
        return self.quotas.accounts

    def set_incarnation(self, incarnation: int) -> None:
        """What others see this incarnation as: it may then find out that all are new."""
        fleet_start = FleetStart(self.me, self.size, incarnation)
        self._start_wait = StartWait(self.quotas, fleet_start, self.counts, self._started)

    def follow_plan(self, now: int, plan: QuotaPlan) -> None:
        """Another plan, which was checked to be one that may follow."""
        self.quotas.follow_plan(now, plan)
        self.budget.bytes_per_s = plan.bytes_per_s

    def resized(self, now: int, running: int) -> None:
        """How many routers run, for soft quotas."""
        self.quotas.resized(now, running)

    def end(self, by: int) -> None:
        """Shutdown: requests are taken until ``by``. Shortly before that all that was lent is asked for, and
        everything held is released, so that the next incarnation, or others, need not wait.
        """
        self.shutdown.begin(by)

    def unsent(self, now: int, to: int, body: bytes) -> None:
        """The channel had no room for a message."""
        self.budget.refund(len(body))
        self._outbox.keep(now, to, body)

    # Messages

    def receive(self, now: int, sender: int, life: int, body: bytes) -> list[Send]:
        """A message of another router and its incarnation, ``life``; returns what is to be sent."""
        message = decode(body)
        self.budget.read_room(now)
        if message is None:
            self.counts["garbled"] += 1
            return []
        if message.layout != self.quotas.layout:
            self.counts["another layout"] += 1
            return []
        self._replies.heard(sender)
        if self.leases is not None:
            self.leases.record_received(now, sender)
        if message.message_type is not MessageType.FLEET_START:
            self.peer_versions[sender] = message.version
        if isinstance(message, LeaseMessage):
            return self._receive_lease(now, sender, life, message)
        if message.message_type is MessageType.BORROW_REPLY:
            return self._receive_reply(now, sender, message)
        return self._lender.receive(now, (sender, life), message)

    def _receive_start(self, now: int, sender: int, incarnation: int, message: LeaseMessage) -> list[Send]:
        wait = self._start_wait
        if wait is None:
            return []
        fleet_start = wait.fleet_start
        waited = fleet_start.waits(now)
        replies = fleet_start.receive(sender, incarnation, message.tag, message.lease_ms)
        wait.update(now)
        if waited and not fleet_start.waits(now):
            self._due = now  # there is something to ask for
        if not replies:
            return []
        return self._outbox.send(now, [(sender, wait.body(*fleet_start.statement()))])

    def _receive_lease(self, now: int, sender: int, incarnation: int, message: LeaseMessage) -> list[Send]:
        if message.message_type is MessageType.FLEET_START:
            return self._receive_start(now, sender, incarnation, message)
        if message.message_type is MessageType.RECALL:
            return self._borrower.receive_recall(now, sender)
        if self.leases is None:
            return []
        for owner, router, _ in message.entries:
            if owner == router:  # it runs, and has no budget to reply
                self._replies.heard(owner)
        return self._send_leases(now, self.leases.receive(now, sender, incarnation, message))

    def _receive_reply(self, now: int, sender: int, message: BorrowMessage) -> list[Send]:
        sends, lent = self._borrower.receive_reply(now, sender, message)
        if lent and self._start_wait is not None:
            self._start_wait.fleet_start.held_anything = True
        return sends

    def _send_leases(self, now: int, messages: list[Send]) -> list[Send]:
        """Messages about leases that may leave, once the shares are as the leases have them."""
        if self._start_wait is not None:
            self._start_wait.mark_lease()
        self.quotas.follow_leases(now)
        return self._outbox.send(now, messages)

    # Time

    def next_tick(self) -> int:
        """When ``tick`` is to be called next."""
        return self._due

    def tick(self, now: int) -> list[Send]:
        """Time passes; returns what is to be sent."""
        self._due = now + TICK_US
        self.budget.read_room(now)
        ending = self.shutdown.recalls(now)
        self.demand.update(now, not ending and self.quotas.start_wait_over(now))
        wait = self._start_wait
        quiet = wait is not None and wait.is_quiet(now, bool(self.peer_versions))
        requests = self._update_accounts(now, plans=not ending and not quiet)
        self._replies.update(now)
        sends = self._outbox.resend(now)
        sends += self._tick_start(now)
        if ending:
            return sends + self._tick_shutdown(now)
        if self.leases is not None and not quiet:
            sends += self._send_leases(now, self.leases.tick(now))
        sends += self._borrower.send(now, requests)
        return sends + self._locate_silent(now)

    def _update_accounts(self, now: int, *, plans: bool) -> Requests:
        """Bring all accounts up to date. ``plans``: whether to find out what to ask for, which is
        returned."""
        requests: Requests = {}
        for key, account in self.accounts.items():
            account.update_demand(now)
            account.settle(now)
            self.demand.prune(now, key)
            shares = account.shares
            if shares.borrowed or shares.lent:
                shares.prune(now)
            if plans and (account.demand or shares.borrowed or self.demand.is_active(now, key)):
                self._borrower.plan(now, key, account, requests)
        return requests

    def _tick_start(self, now: int) -> list[Send]:
        wait = self._start_wait
        if wait is None or wait.fleet_start.done:
            return []
        wait.update(now)
        fleet_start = wait.fleet_start
        return [
            (to, wait.body(fleet_start.stated, StartState.REPLY_WANTED))
            for to in fleet_start.next_targets(now)
            if self.budget.spend(now, HEAD.size, LEASE_OVERDRAFT_BYTES)
        ]

    def _tick_shutdown(self, now: int) -> list[Send]:
        """Recall what is lent, and release what is held."""
        all_shares = self.quotas.all_shares()
        borrowers: set[int] = set()
        if self.leases is not None:
            for shares in all_shares:
                borrowers |= shares.borrowers(now)
        back = max((shares.all_back_at(now) for shares in all_shares), default=now) if borrowers else now
        sends: list[Send] = []
        requests: Requests = {}
        if self.shutdown.releases(now):
            sends = self._release_leases(now, back)
            requests = self._borrower.give_back_all(now)
        recall = encode(LeaseMessage(MessageType.RECALL, self.plan.version, self.quotas.layout, 0, 0, ()))
        for to in sorted(borrowers):
            if self.budget.spend(now, len(recall), LEASE_OVERDRAFT_BYTES):
                sends.append((to, recall))
        return sends + self._borrower.send(now, requests, LEASE_OVERDRAFT_BYTES)

    def _release_leases(self, now: int, back: int) -> list[Send]:
        """Release base shares for when all that is lent is ``back``; again if that is well before."""
        shutdown = self.shutdown
        if self.leases is None or (shutdown.released_at and shutdown.released_at <= back + RETRY_US):
            return []
        sends = self._send_leases(now, self.leases.start_shutdown(now, back))
        shutdown.released_at = max(now, back)
        return sends

    def _locate_silent(self, now: int) -> list[Send]:
        """Ask who has the base shares of those who do not reply, one by one."""
        if self.leases is None or not self._locates or now - self._located_at < LOCATE_US:
            return []
        self._located_at = now
        for router in self._replies.missed:
            queries = self.leases.query_location(now, router)
            if queries:
                return [(to, body) for to, body in queries if self.budget.spend(now, len(body))]
        return []
