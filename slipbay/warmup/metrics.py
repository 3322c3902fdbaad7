"""Warm-up of a router as metrics in the Prometheus text format. Requires ``slipbay[fleet]``; only commands
import this module."""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from slipbay.warmup.plan import Phase

GAUGES = {
    "since_s": "Seconds since the router entered its phase.",
    "life_s": "Seconds since the start of the router.",
    "newcomers": "Routers in warm-up or not running, including this one.",
    "rivals": "Routers in warm-up that run, including this one.",
    "sharers": "Routers that share the engines.",
    "held": "Fraction of all threads that queries of earlier incarnations may hold.",
    "opens": "Limit of new connections per second; absent: no limit.",
    "threads": "Threads held by requests that were admitted during warm-up.",
    "bound": "Limit of these threads; absent: no limit.",
    "waiting": "Queries that wait for an engine.",
    "full_after_s": "Seconds from the start to full service; absent: still in warm-up.",
}


def exposition(status: dict[str, Any]) -> str:
    """The metrics of a status that ``slipbay comeback status --json`` prints."""
    registry = CollectorRegistry()
    name = status["name"]
    phase = Gauge(
        "slipbay_comeback_phase", "1 for the current phase.", ["router", "phase"], registry=registry
    )
    for entry in Phase:
        phase.labels(name, entry.name.lower()).set(status["phase"] == entry.name.lower())
    for key, description in GAUGES.items():
        gauge = Gauge(f"slipbay_comeback_{key}", description, ["router"], registry=registry)
        if status[key] is not None:
            gauge.labels(name).set(status[key])
    Counter(
        "slipbay_comeback_refused", "Requests rejected with a time to retry.", ["router"], registry=registry
    ).labels(name).inc(status["refused"])
    age = Gauge(
        "slipbay_comeback_news_age_s",
        "Age of the estimates from peers or from the snapshot.",
        ["router", "source"],
        registry=registry,
    )
    if status["news"] is not None:
        age.labels(name, status["news"]["source"].split()[0]).set(status["news"]["age_s"])
    return generate_latest(registry).decode()
