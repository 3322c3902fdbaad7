"""Membership of a router as metrics in the Prometheus text format, for a collector that reads files or
command output: routers have no listener for metrics. Requires ``slipbay[fleet]``; only commands import this
module."""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


def exposition(status: dict[str, Any]) -> str:
    """The metrics of a status that ``slipbay fleet status --json`` prints.

    Counters begin at the router's start. Bytes are those sent on the peer socket.
    """
    metrics = _Gauges(status["name"])
    metrics.add("configured", "Configured routers.", status["configured"])
    metrics.add("living", "Live routers, including this one.", status["living"])
    metrics.add("shares", "Routers that share the limits.", status["shares_of"])
    metrics.add("view_version", "Changes of the member table since the start.", status["version"])
    metrics.add(
        "health",
        "Local health score: 0 is healthy; up to 8, missing answers may be the fault of this router.",
        status["health"],
    )
    metrics.add(
        "odd_one_out",
        "1 if this router is probably disconnected from the others.",
        float(status["odd_one_out"]),
    )
    for state in ("suspect", "gone", "left", "cut_off"):
        metrics.add("routers", "Routers by member state.", len(status[state]), state=state)
    for zone, count in status["zones"].items():
        metrics.add("zone_living", "Live routers by zone.", count, zone=zone)
    metrics.add_events(status["counts"])
    return generate_latest(metrics.registry).decode()


class _Gauges:
    """Gauges and counters of one router."""

    def __init__(self, router: str) -> None:
        self.registry = CollectorRegistry()
        self._router = router
        self._by_name: dict[str, Gauge] = {}

    def add(self, name: str, description: str, value: float, **labels: str) -> None:
        """Set a gauge, which is created with its first value."""
        gauge = self._by_name.get(name)
        if gauge is None:
            gauge = Gauge(f"slipbay_fleet_{name}", description, ["router", *labels], registry=self.registry)
            self._by_name[name] = gauge
        gauge.labels(self._router, *labels.values()).set(value)

    def add_events(self, counts: dict[str, int]) -> None:
        """Add the counters of membership events."""
        events = Counter(
            "slipbay_fleet_events",
            "Membership events, by kind.",
            ["router", "kind"],
            registry=self.registry,
        )
        for kind, count in counts.items():
            events.labels(self._router, kind.replace(" ", "_")).inc(count)
