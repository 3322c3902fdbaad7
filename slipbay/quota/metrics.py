"""Exports a router's quotas as metrics in the Prometheus text format.

Needs ``slipbay[fleet]``; only commands import this module.
"""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


def exposition(status: dict[str, Any]) -> str:
    """Return the metrics for a status in the form that ``slipbay quota status --json`` prints."""
    registry = CollectorRegistry()
    name = status["name"]
    Gauge("slipbay_quota_plan_version", "Version of the plan.", ["router"], registry=registry).labels(
        name
    ).set(status["version"])
    gauges = {
        key: Gauge(f"slipbay_quota_{key}", help_text, ["router", "quota"], registry=registry)
        for key, help_text in (
            ("asked", "Requests per second that clients send to this router."),
            ("share", "Fraction of the quota that this router may use now."),
            ("home", "Fraction of the quota that this router may use or lend."),
            ("tokens", "Requests that this router could admit at once."),
            ("open", "Admitted requests that have not ended."),
        )
    }
    requests = Counter(
        "slipbay_quota_requests",
        "Requests since the start, by result.",
        ["router", "quota", "what"],
        registry=registry,
    )
    for quota, quota_status in status["quotas"].items():
        for key, gauge in gauges.items():
            gauge.labels(name, quota).set(quota_status[key])
        for outcome, count in quota_status["counts"].items():
            requests.labels(name, quota, outcome.replace(": ", "_")).inc(count)
    events = Counter(
        "slipbay_quota_events", "Events of messages, by kind.", ["router", "kind"], registry=registry
    )
    for kind, count in status["counts"].items():
        events.labels(name, kind.replace(" ", "_")).inc(count)
    return generate_latest(registry).decode()
