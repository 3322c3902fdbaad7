"""Counters of the channel in the Prometheus text format; ``slipbay.membership.metrics`` does the same for
membership. Requires ``slipbay[fleet]``; only commands import this module."""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


def exposition(status: dict[str, Any]) -> str:
    """The metrics of a status that ``slipbay channel status --json`` prints. Counters begin at the router's
    start."""
    registry = CollectorRegistry()
    name = status["name"]
    rate = Gauge(
        "slipbay_channel_rate", "Bytes that may be sent in any second.", ["router"], registry=registry
    )
    rate.labels(name).set(status["rate"])
    part = Gauge(
        "slipbay_channel_part",
        "Guaranteed fraction of the rate for a kind.",
        ["router", "kind"],
        registry=registry,
    )
    counters = {
        key: Counter(f"slipbay_channel_{key}", description, ["router", "kind"], registry=registry)
        for key, description in (
            ("sent", "Datagrams sent."),
            ("bytes", "Bytes sent."),
            ("over_budget", "Datagrams dropped because the budget had no room."),
            ("received", "Messages passed to their endpoint."),
        )
    }
    for kind, values in status["kinds"].items():
        part.labels(name, kind).set(values["part"])
        for key, counter in counters.items():
            counter.labels(name, kind).inc(values[key])
    dropped = Counter(
        "slipbay_channel_dropped",
        "Received datagrams that were dropped, by reason.",
        ["router", "reason"],
        registry=registry,
    )
    for reason in ("skipped", "garbled", "foreign"):
        dropped.labels(name, reason).inc(status[reason])
    return generate_latest(registry).decode()
