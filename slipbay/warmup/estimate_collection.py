"""Requests the estimates of routers in full service, and merges the replies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from slipbay.warmup.codec import Message
from slipbay.warmup.fleet_survey import FleetSurvey
from slipbay.warmup.peer_estimates import MergedEstimates, PeerReport, merge
from slipbay.warmup.plan import SECOND, WarmupPlan

ROUNDS = 4  # of requests


@dataclass(slots=True)
class EstimateRequest:
    """The requests to one router, and its reply.

    The estimates in the reply are at most as old as the first request, whichever request it replies to.
    """

    sent_us: int
    last_sent_us: int
    reply: Message | None = None


class EstimateCollector:
    """Collects reports until there are enough or no router is left to request one from. Times are in us of
    one clock."""

    def __init__(
        self, plan: WarmupPlan, survey: FleetSurvey, order: Sequence[int], free_retries: float
    ) -> None:
        """``order``: routers in the order of the requests. ``free_retries``: retries that the policy allows
        before any request."""
        self._plan = plan
        self._survey = survey
        self._order = order
        self._free_retries = free_retries
        self.requests: dict[int, EstimateRequest] = {}  # by router
        self._requests_left = ROUNDS * plan.max_reports
        # of an earlier incarnation, and the time at which it was read
        self._snapshot: tuple[PeerReport, int] | None = None
        self.complete = False
        self.merged: MergedEstimates | None = None
        self.on_estimates: Callable[[MergedEstimates], None] = _ignore  # called once, if there are reports
        self.sources: tuple[int, ...] = ()  # routers whose reports are used
        self.snapshot_us: int | None = None  # age of the snapshot, if it is used
        self.oldest_report_us = 0  # age of the oldest report used, at ``merged_us``
        self.merged_us = 0
        self.engine_count = 1  # engines in the endpoint list; set by the caller

    def next_targets(self, now: int) -> list[int]:
        """Routers to send requests to now, until there are enough; those that do not reply are replaced."""
        if self.complete:
            return []
        open_requests = [
            r for r in self.requests.values() if r.reply or now - r.last_sent_us < self._reply_timeout_us
        ]
        chosen = [
            router
            for router in self._order
            if self._survey.in_full_service(router)
            and (router not in self.requests or self.requests[router] not in open_requests)
        ]
        chosen.sort(key=lambda router: router in self.requests)  # routers without a request come first
        wanted = min(self._plan.max_reports - len(open_requests), self._requests_left)
        chosen = chosen[: max(0, wanted)]
        for router in chosen:
            self.requests.setdefault(router, EstimateRequest(now, now)).last_sent_us = now
        self._requests_left -= len(chosen)
        return chosen

    @property
    def _reply_timeout_us(self) -> int:
        """Timeout of a reply in us. It grows with each round, as many routers may send requests to the few in
        service."""
        rounds = 1 + ROUNDS - self._requests_left // self._plan.max_reports
        return 2 * self._plan.reply_us * rounds

    def receive(self, sender: int, message: Message) -> None:
        """Process the reply of a router; only its first one is used."""
        request = self.requests.get(sender)
        if request is not None and request.reply is None:
            request.reply = message

    def finish(self, now: int, *, overdue: bool) -> None:
        """Merge the reports if all requests have replies, or no router is left for a request, or if
        ``overdue``."""
        if self.complete or (not overdue and self._expects_more(now)):
            return
        self.complete = True
        self.sources = tuple(router for router, r in self.requests.items() if r.reply)
        reports = [
            PeerReport(r.reply.estimates, r.reply.retries, now - r.sent_us)
            for r in self.requests.values()
            if r.reply
        ]
        self._merge_reports(now, reports)

    def _expects_more(self, now: int) -> bool:
        requests = self.requests.values()
        if any(r.reply is None and now - r.last_sent_us < self._reply_timeout_us for r in requests):
            return True
        replies = sum(bool(r.reply) for r in requests)
        reachable = min(self._survey.full_service_count(), self._plan.max_reports)
        return replies < reachable and self._requests_left > 0

    def restore_snapshot(self, now: int, snapshot: PeerReport, *, use: bool) -> None:
        """Keep a snapshot that an earlier incarnation of this router stored; reports of others replace it.

        ``use``: whether it may be used at once if there were no reports.
        """
        self._snapshot = snapshot, now
        if use and self.complete and self.merged is None:
            self._merge_reports(now, [])

    def _merge_reports(self, now: int, reports: list[PeerReport]) -> None:
        if not reports and self._snapshot is not None:
            snapshot, read_at = self._snapshot
            self.snapshot_us = snapshot.age_us + now - read_at
            reports = [PeerReport(snapshot.estimates, snapshot.retries, self.snapshot_us)]
        if reports:
            self.oldest_report_us = max(report.age_us for report in reports)
            self.merged_us = now
            self.merged = merge(reports, self._plan.ages, self.engine_count, self._free_retries)
            self.on_estimates(self.merged)

    def source(self) -> str:
        """Source of the estimates in use, for operators; its first word is a label value of a metric."""
        if self.snapshot_us is not None:
            return f"snapshot {self.snapshot_us / SECOND:.0f} s old"
        return f"hand-over from {len(self.sources)}"

    def summary(self) -> str:
        """The source, with the number of fields that were dropped."""
        if self.merged is None:
            return "no hand-over"
        return f"{self.source()}, {len(self.merged.dropped)} fields dropped"


def _ignore(merged: MergedEstimates) -> None:
    """Default of ``on_estimates``: no action."""
    del merged
