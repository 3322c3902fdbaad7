"""Metrics of a router's scattered queries in the Prometheus text format.

Needs ``slipbay[fleet]``; only commands import it.
"""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


def exposition(status: dict[str, Any]) -> str:
    """Return the metrics for a status as ``slipbay gather status --json`` prints it."""
    registry = CollectorRegistry()
    name = status["name"]
    for key, description in (
        ("open", "Open scattered queries."),
        ("bytes", "Bytes of buffered rows of open scattered queries."),
    ):
        Gauge(f"slipbay_gather_{key}", description, ["router"], registry=registry).labels(name).set(
            status[key]
        )
    reports = Counter(
        "slipbay_gather_words",
        "Reports of part latencies, by what was done with them.",
        ["router", "what"],
        registry=registry,
    )
    for what, count in status["words"].items():
        reports.labels(name, what).inc(count)
    queries = Counter(
        "slipbay_gather_queries",
        "Scattered queries since the start, by outcome.",
        ["router", "class", "what"],
        registry=registry,
    )
    parts = Counter(
        "slipbay_gather_parts",
        "Parts of answered scattered queries, present or missing.",
        ["router", "class", "what"],
        registry=registry,
    )
    for class_, counts in status["classes"].items():
        for what, count in counts.items():
            if what.startswith("parts_"):
                parts.labels(name, class_, what.removeprefix("parts_")).inc(count)
            else:
                queries.labels(name, class_, what).inc(count)
    return generate_latest(registry).decode()
