"""Scattered queries at routers that run as processes, with injected faults, checked by what clients and
engines observe; and tests that the checker itself finds wrong answers and parts.
"""

from __future__ import annotations

import base64
from typing import Any

import pytest

from slipbay.config.validation import ConfigError
from slipbay.rig.checker import Answer, RunReport, check_rules, check_scattered_answer
from slipbay.rig.engines import UNREQUESTED_TIMEOUT_S, ExecutionLog
from slipbay.rig.runner import run_scenario
from slipbay.rig.scenario import from_table
from slipbay.scatter_gather.config_schema import ScatterTable

GATHER = """enabled = true
[[scatter]]
class = "survey"
parts = "lookup"
groups = [7, 3, 12, 5, 9, 1]
curve = [[0.5, 0.5], [1, 1]]
price_per_s = 0.5
latest_ms = 1500
"""
QUOTA = """enabled = true
version = 1
[[quotas]]
name = "fuel"
tenants = ["ishikari-fuel"]
rate = 150
burst = 150
"""


def action(at: float, what: str, **more: Any) -> dict[str, Any]:
    return {"at": at, "what": what, **more}


def run_rig(*actions: dict[str, Any], **more: Any) -> RunReport:
    table = {
        "seconds": 8,
        "gather": GATHER,
        "do": list(actions),
        **more,
        "load": {
            "lookups": 20,
            "reports": 1,
            "loads": 1,
            "surveys": 8,
            "lookup_ms": 30,
            **more.get("load", {}),
        },
    }
    verdict = run_scenario(from_table(table))
    assert verdict.good, (verdict.faults, verdict.timeline, verdict.starved)
    assert verdict.outcomes["survey served"] > 5 and verdict.outcomes["lookup served"] > 20, verdict.outcomes
    return verdict


def partial_answers(verdict: RunReport) -> int:
    """Return the number of scattered queries that were answered with some parts missing."""
    return sum(
        answer.service_class == "survey" and answer.outcome == "served" and len(answer.present) < 6
        for answer in verdict.answers
    )


def test_rules_hold_with_stalled_slow_and_draining_engines_and_with_killed_and_stopped_routers() -> None:
    verdict = run_rig(
        action(1, "stick", engines=[0], groups=[3, 9]),
        action(1.5, "slow", engines=[1], times=8),
        action(2, "kill", routers=[0]),
        action(3, "start", routers=[0]),
        action(3, "drain", engines=[2]),
        action(4, "stick", engines=[0]),
        action(4.5, "term", routers=[1]),
        action(5, "start", routers=[1]),
        action(6, "slow", engines=[0], times=1),
        action(6, "slow", engines=[0], groups=[3, 9], times=1),
        routers=4,
        engines=5,
    )
    assert partial_answers(verdict) > 0


def test_rules_hold_with_cut_and_stalled_connections_a_quota_and_a_restarted_router() -> None:
    verdict = run_rig(
        action(4, "cut_wire", routers=[0], engines=[0, 1]),
        action(5, "heal_wire"),
        action(5.5, "stall_wire", routers=[0, 1], engines=[0, 1], way="back"),
        action(7.5, "heal_wire"),
        action(6, "restart", routers=[2]),
        action(8, "reset", engines=[0, 1, 2]),
        routers=3,
        engines=4,
        seconds=10,
        fleet="enabled = true",
        channel="enabled = true",
        quota=QUOTA,
    )
    assert verdict.quotas[0]["worst"] > 0


SURVEY = ScatterTable("survey", "lookup", (7, 3, 12, 5), curve=((0.5, 0.5), (1.0, 1.0)))


def record_part(
    execution_log: ExecutionLog, group: int, name: str = "", query: str = "q", is_complete: bool = True
) -> bytes:
    """Record a part that an engine ran, to its end if it is complete, and return its row."""
    name = name or f"part{group}"
    row = f"{name}\ts-0\tdone\n".encode()
    execution_log.record_start("s-0", name, "lookup", 10.0)
    execution_log.add_part(name, query, group)
    execution_log.record_end("s-0", name)
    if is_complete:
        execution_log.parts[name].rows.add(row)
    return row


def answer_result(rows: list[bytes], present: list[int], missing: list[int], **more: Any) -> dict[str, Any]:
    return {
        "data": base64.b64encode(b"".join(rows)).decode(),
        "parts": {"asked": [7, 3, 12, 5], "present": present, "missing": missing, **more},
    }


def test_the_checker_finds_answers_that_claim_wrong_parts() -> None:
    execution_log = ExecutionLog()
    rows = {group: record_part(execution_log, group, is_complete=group != 5) for group in (7, 3, 12, 5)}
    a = rows[7]
    b = rows[3]
    c = rows[12]
    record_part(execution_log, 3, "other", "another query")

    def fault_count(result: dict[str, Any]) -> int:
        return len(check_scattered_answer(execution_log, "q", SURVEY, result))

    assert not fault_count(answer_result([a, b, c], [7, 3, 12], [5]))
    for result in (
        answer_result([a, b, c], [7, 3, 12, 5], []),  # a missing part is claimed
        answer_result([a, b, c, rows[5]], [7, 3, 12, 5], []),  # a part that did not complete
        answer_result([a, b, c], [7, 3, 12], []),
        answer_result([a, b], [7, 3], [12, 5], asked=[7, 3]),
        answer_result([b, a, c], [7, 3, 12], [5]),
        answer_result([b, a], [3, 7], [12, 5]),  # rows and groups out of order
        answer_result([a, a, c], [7, 3, 12], [5]),
        answer_result([a, b"other\ts-0\tdone\n"], [7, 3], [12, 5]),
        answer_result([a, b[:-3]], [7, 3], [12, 5]),
        answer_result([a], [7], [3, 12, 5]),  # fewer parts than required
        {"data": answer_result([a, b, c], [], [])["data"]},
    ):
        assert fault_count(result), result


def test_the_checker_finds_parts_that_are_sent_twice_or_not_cancelled() -> None:
    def answered(outcome: str = "served") -> RunReport:
        verdict = RunReport(survey=SURVEY)
        for group in (7, 3, 12):
            record_part(verdict.execution_log, group)
            verdict.execution_log.last_requested_s[f"part{group}"] = 10.4
        verdict.answers.append(Answer("q", "survey", "a", 0, 0, 10.0, 10.5, outcome, present=(7, 3)))
        return verdict

    def faults(verdict: RunReport, **more: Any) -> list[str]:
        check_rules(verdict, 1, **more)
        return [fault for fault in verdict.faults if fault.startswith("parts: ")]

    assert not faults(answered())
    late = answered()
    late.execution_log.last_requested_s["part12"] = 13.0
    assert len(faults(late)) == 1
    assert "asked for 2.50 s after" in late.faults[0]
    dropped = answered()
    dropped.execution_log.parts["part12"].cancelled_s = 10.5 + UNREQUESTED_TIMEOUT_S + 0.1
    assert len(faults(dropped)) == 1
    assert not dropped.faults[1:]
    for exempt in (answered("cut"), answered()):
        exempt.execution_log.parts["part12"].cancelled_s = 10.5 + UNREQUESTED_TIMEOUT_S + 0.1
        # The query ended with its router, or cancellations to engines may have been lost
        assert not faults(exempt, cancels=exempt.answers[0].outcome == "cut")
    twice = answered()
    twice.execution_log.add_part("again", "q", 7)
    assert len(faults(twice)) == 1
    assert "two parts" in twice.faults[0]


def test_surveys_need_a_gather_file() -> None:
    with pytest.raises(ConfigError, match="load.surveys: want a text of gather"):
        from_table({"load": {"surveys": 1}})
