"""Checks the rules of a run by what clients and engines observed."""

from __future__ import annotations

import base64
import tomllib
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from slipbay.config.validation import ConfigError, convert
from slipbay.quota.guarantees import excess
from slipbay.quota.plan import QuotaPlan
from slipbay.quota.plan_check import check, check_change
from slipbay.rig.engines import LONG_POLL_S, UNREQUESTED_TIMEOUT_S, ExecutionLog
from slipbay.rig.platform import CLASSES, SURVEY
from slipbay.rig.report import ClientRequest
from slipbay.rig.scenario import Scenario
from slipbay.scatter_gather.config_schema import ScatterTable

Span = tuple[float, float]
"""When the client sent a request and when an engine first started it: its admission lies between the two."""

ABANDON_GRACE_S = 1.0  # s after an answer, when no router requests a part that is not in it
PLAN_APPLY_S = 1.0  # s after a router received another plan, when it certainly applies it


@dataclass(frozen=True, slots=True)
class Answer:
    """One attempt of a client; times in s from when all routers are ready."""

    txn: str
    service_class: str
    tenant: str
    router: int
    incarnation: int
    asked: float
    ended: float
    outcome: str  # served, refused, failed, cut (its router ended) or unreached (no connection was accepted)
    retry_after_s: float | None = None
    is_repeat: bool = False
    runs: int = 0  # how often engines had started it when the answer arrived
    present: tuple[int, ...] = ()  # groups in the answer to a scattered query


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """What the plan of a quota allows.

    In any t seconds that begin at ``since`` or later, it admits at most ``max_excess + rate x t`` requests.
    """

    quota: str
    tenants: tuple[str, ...]  # empty: all
    classes: tuple[str, ...]
    rate: float
    max_excess: float
    since: float = 0.0

    def measured_excess(self, run_report: RunReport) -> float:
        """Return the largest proven excess of any window over ``rate x t``."""
        return max_window_excess(
            [span for span in run_report.spans(self.tenants, self.classes) if span[0] >= self.since],
            self.rate,
        )


@dataclass
class RunReport:
    """What clients and engines observed in a run, and the rules that were broken."""

    timeline: list[str] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    client_requests: list[ClientRequest] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    intervals: list[dict[str, Any]] = field(default_factory=list)  # see report.intervals
    seconds: list[dict[str, Any]] = field(default_factory=list)
    max_threads: int = 0
    extra_attempts: int = 0
    settled_s: float | None = None  # how long after the load the membership views took to become correct
    starved: float = 0.0  # fraction of the load's duration in which the host kept the rig from running
    execution_log: ExecutionLog = field(default_factory=ExecutionLog)
    began: float = 0.0  # when all routers were ready, by the clock of the execution log
    quotas: list[dict[str, Any]] = field(default_factory=list)  # bound and worst window of each quota
    survey: ScatterTable | None = None  # how queries are scattered
    max_bytes_in_second: int = 0  # most bytes that one router process sent in any second

    @property
    def good(self) -> bool:
        """Whether no rule was broken."""
        return not self.faults

    @property
    def outcomes(self) -> Counter[str]:
        """Number of answers by class and outcome: "lookup served", ..."""
        return Counter(f"{answer.service_class} {answer.outcome}" for answer in self.answers)

    def served(self, name: str) -> float:
        """Return the fraction of a class's answered requests that were served."""
        all_of = [answer.outcome == "served" for answer in self.answers if answer.service_class == name]
        return sum(all_of) / len(all_of) if all_of else 1.0

    def spans(self, tenants: Sequence[str] = (), classes: Sequence[str] = ()) -> list[Span]:
        """Return the admission spans of requests that ran, of some tenants and classes or of all.

        Of scattered queries it returns those parts that cost a token.
        """
        first: dict[str, float] = {}
        for at, _, txn in self.execution_log.starts:
            first.setdefault(txn, at - self.began)
        asked: dict[str, float] = {}
        for answer in self.answers:
            names = [answer.txn]
            class_ = answer.service_class
            if class_ == SURVEY and self.survey is not None:
                names = self._parts(answer.txn)
                class_ = self.survey.parts
                names = names[:1] if self.survey.cost == "one" else names
            if (not tenants or answer.tenant in tenants) and (not classes or class_ in classes):
                for name in names:
                    if name in first:
                        asked[name] = min(answer.asked, asked.get(name, answer.asked))
        return [(at, first[txn]) for txn, at in asked.items()]

    def _parts(self, query: str) -> list[str]:
        """Return the request names of those parts of a scattered query that ran."""
        groups = self.survey.groups if self.survey is not None else ()
        return [
            self.execution_log.part_names[query, group]
            for group in groups
            if (query, group) in self.execution_log.part_names
        ]

    def uncancelled_parts(self, cancels: bool) -> list[str]:
        """Return faults for parts that a router abandoned and did not cancel.

        ``cancels`` tells whether every message of a router to an engine certainly arrived.
        """
        found = []
        execution_log = self.execution_log
        for answer in self.answers:
            if answer.service_class != SURVEY or answer.outcome not in ("served", "failed", "refused"):
                continue
            ended = self.began + answer.ended
            for name in self._parts(answer.txn):
                part = execution_log.parts[name]
                delayed_s = execution_log.host_delay_s(ended)
                if part.group in answer.present:
                    continue
                lateness_s = execution_log.last_requested_s.get(name, ended) - ended - delayed_s
                if lateness_s > LONG_POLL_S + ABANDON_GRACE_S:
                    found.append(
                        f"parts: {name} of {answer.txn} is asked for {lateness_s:.2f} s after the answer"
                    )
                if (
                    cancels
                    and part.cancelled_s is not None
                    and part.cancelled_s - ended - delayed_s > UNREQUESTED_TIMEOUT_S
                ):
                    found.append(f"parts: {name} of {answer.txn} was given up and not called off")
        return found

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "good": self.good,
            "faults": self.faults,
            "timeline": self.timeline,
            "outcomes": dict(sorted(self.outcomes.items())),
            "stretches": self.intervals,
            "seconds": self.seconds,
            "most_threads": self.max_threads,
            "extras": self.extra_attempts,
            "quotas": self.quotas,
            "fullest_second": self.max_bytes_in_second,
            "settled_s": self.settled_s,
            "starved": round(self.starved, 3),
        }


def check_scattered_answer(
    execution_log: ExecutionLog, query: str, survey: ScatterTable, result: dict[str, Any]
) -> list[str]:
    """Check the answer to a scattered query against what engines ran for it, and return the faults."""
    try:
        parts_reply = result["parts"]
        asked, present, missing = (list(parts_reply[key]) for key in ("asked", "present", "missing"))
        rows = base64.b64decode(result["data"]).splitlines(keepends=True)
    except (KeyError, TypeError, ValueError) as problem:
        return [f"parts: no word of them to {query}: {problem!r}"]
    faults = []
    if asked != list(survey.groups) or sorted(present + missing) != sorted(asked):
        faults.append(f"parts: {query} asked {asked}, has {present} and misses {missing}")
    if present != [group for group in survey.groups if group in present] or len(rows) != len(present):
        faults.append(f"parts: {query} has {len(rows)} rows for {present}")
    if len(rows) < survey.curve[0][0] * len(survey.groups) - 1e-9:
        faults.append(f"parts: {query} is answered with {len(rows)}, which is below the least")
    for group, row in zip(present, rows, strict=False):
        part = execution_log.parts.get(row.split(b"\t")[0].decode("utf-8", "replace"))
        if part is None or (part.query, part.group) != (query, group) or row not in part.rows:
            faults.append(f"parts: {query} has for group {group} what no engine made for it: {row!r}")
    return faults


def max_window_excess(spans: Sequence[Span], rate: float) -> float:
    """Return the largest number of requests by which certainly admitted requests of any window exceed ``rate
    x t``.

    A request counts where the client sent it and an engine started it within the window.
    """
    ended = sorted((ran, asked) for asked, ran in spans)
    max_excess = 0.0
    for begin in {asked for asked, _ in spans}:
        count = 0
        for ran, asked in ended:
            if asked >= begin:
                count += 1
                max_excess = max(max_excess, count - rate * (ran - begin))
    return max_excess


def quota_bounds(script: Scenario) -> list[QuotaBound]:
    """Return the bounds that a scenario's quota plans guarantee.

    Over the whole run the largest plan holds, and once all routers have received the last plan, that plan's
    bounds hold. Plans that routers reject are left out.
    """

    def plan(text: str) -> QuotaPlan | None:
        table = tomllib.loads(text)
        return convert(table, QuotaPlan, "quota") if table.pop("enabled", False) else None

    current_plan = plan(script.quota) if script.quota else None
    if current_plan is None:
        return []
    plans = [current_plan]
    informed_routers = set(range(script.routers))
    applied_s = 0.0
    for action in sorted(script.do, key=lambda action: action.at):
        if action.what == "reload" and action.file == "quota":
            try:
                new_plan = plan(action.text)
                if new_plan is None:
                    continue
                check_change(
                    current_plan,
                    check(new_plan, [tenant.name for tenant in script.load.sources], list(CLASSES)),
                )
            except (ConfigError, ValueError):
                continue
            if new_plan != current_plan:
                current_plan = new_plan
                informed_routers = set()
                plans.append(new_plan)
            informed_routers |= set(action.routers)
            applied_s = action.at + PLAN_APPLY_S
    found = [
        _largest_bound(name, plans, script.routers) for name in {q.name: 0 for p in plans for q in p.quotas}
    ]
    if len(plans) > 1 and len(informed_routers) == script.routers:
        found += [
            _largest_bound(quota.name, [current_plan], script.routers, applied_s)
            for quota in current_plan.quotas
        ]
    return found


def _largest_bound(name: str, plans: Sequence[QuotaPlan], routers: int, since: float = 0.0) -> QuotaBound:
    """Return the largest bound of a quota over some plans."""
    candidates = [(plan, quota) for plan in plans for quota in plan.quotas if quota.name == name]
    quota = candidates[-1][1]
    return QuotaBound(
        name,
        tuple(quota.tenants),
        tuple(quota.classes),
        max(quota.rate * quota.soft for _, quota in candidates),
        max(quota.burst * quota.soft + excess(plan, quota, routers) for plan, quota in candidates),
        since,
    )


def check_rules(
    run_report: RunReport, process_count: int, quota_bounds: Sequence[QuotaBound] = (), cancels: bool = True
) -> None:
    """Check the rules that can only be checked after the whole run.

    ``process_count`` is the number of router processes; ``cancels``: see ``RunReport.uncancelled_parts``.
    """
    for bound in quota_bounds:
        found = bound.measured_excess(run_report)
        run_report.quotas.append(
            {
                "quota": bound.quota,
                "since": bound.since,
                "rate": bound.rate,
                "bound": round(bound.max_excess, 2),
                "worst": round(found, 2),
            }
        )
        if found > bound.max_excess:
            run_report.faults.append(
                f"quota: {bound.quota} passed {bound.rate:g} x t by {found:.1f} from "
                f"{bound.since:g} s on, bound {bound.max_excess:.1f}"
            )
    execution_log = run_report.execution_log
    run_report.faults += execution_log.faults
    run_report.max_threads = execution_log.max_threads
    run_report.extra_attempts = sum(count - 1 for count in execution_log.runs.values() if count > 1)
    accepted = sum(
        answer.outcome != "unreached" and answer.service_class != SURVEY for answer in run_report.answers
    ) + len(execution_log.parts)
    run_report.faults += run_report.uncancelled_parts(cancels)[:10]
    if run_report.extra_attempts > 1.15 * (5 * process_count + 0.2 * accepted) + process_count:
        run_report.faults.append(
            f"ration: {run_report.extra_attempts} further attempts for {accepted} requests"
        )
    # a repeated attempt may run a request that was rejected before
    last = {answer.txn: answer for answer in run_report.answers}
    run_report.faults += [
        f"refused though it ran: {answer.txn}"
        for answer in run_report.answers
        if answer.outcome == "refused"
        and answer.service_class == "ticket-load"
        and (answer.runs or (last[answer.txn] is answer and execution_log.runs[answer.txn]))
    ]
    final_outcomes: dict[str, str] = {}
    for answer in run_report.answers:
        if (
            answer.outcome == "served"
            and answer.service_class == "ticket-load"
            and not execution_log.runs[answer.txn]
        ):
            run_report.faults.append(f"served though it never ran: {answer.txn}")
        if answer.outcome in ("served", "failed"):
            earlier = final_outcomes.setdefault(answer.txn, answer.outcome)
            if earlier == "served" and answer.outcome != earlier:
                run_report.faults.append(f"served, then failed under the same key: {answer.txn}")
