"""What the platform provides to a router: settings with its rules, and the service classes as clients use
them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class ServiceClass:
    """A service class: its effect, time limits in s and utility."""

    name: str
    effect: str
    latency_objective_s: float  # latency objective
    deadline_s: float
    utility: float


SURVEY = "survey"  # class of scattered queries; routers have it where the scenario configures scattering
CLASSES = {
    service_class.name: service_class
    for service_class in (
        ServiceClass("lookup", "retryable", 0.5, 2.5, 1.0),
        ServiceClass("report", "retryable", 2.0, 10.0, 15.0),
        ServiceClass("ticket-load", "fragile", 4.0, 10.0, 15.0),
        ServiceClass(SURVEY, "retryable", 2.0, 10.0, 15.0),
    )
}
TENANT = "ishikari-fuel"
SLOW_START_S = 13.0  # s of slow start after an engine's start


def zone_names(zones: int) -> list[str]:
    """Return the names of that many zones."""
    return [f"room-{chr(97 + n)}" for n in range(zones)]


def settings(
    number: int, routers: int, zones: int, tenants: list[str], with_surveys: bool = False
) -> dict[str, Any]:
    """Return the settings object of router ``number``."""
    classes = [service_class for name, service_class in CLASSES.items() if with_surveys or name != SURVEY]
    return {
        "balancers": routers,
        "me": number,
        "zone": number % zones,
        "dcs": zone_names(zones),
        "kinds": ["std-8"],
        "tickUs": 5000,
        "familyInfo": {
            "threadsByClass": [1, 2, 2, 2][: len(classes)],
            "cpuOfKind": [8],
            "isLoad": [service_class.effect == "fragile" for service_class in classes],
            "progressUs": 0,
            "lanesCount": True,
            "blockedByLoads": [False] * len(classes),
        },
        "policyLimits": {
            "attemptsCap": 4,
            "connIdleUs": 30_000_000,
            "connectTimeoutUs": 250_000,
            "maxRetryAfterUs": 500_000,
            "mayCancel": True,
            "retryAfter": True,
            "mayTell": True,
        },
        "profiles": [
            {
                "name": service_class.name,
                "effect": service_class.effect,
                "promiseUs": int(service_class.latency_objective_s * 1e6),
                "giveUpUs": int(service_class.deadline_s * 1e6),
                "gain": service_class.utility,
            }
            for service_class in classes
        ],
        "realms": [{"name": name} for name in tenants],
        "rules": {
            "answerSlackUs": 20_000,
            "coldShare": 0.31,
            "fallMultiple": 3.0,
            "fallUs": 3_000_000,
            "rampTimeUs": int(SLOW_START_S * 1e6),
            "extraFree": 5,
            "repeatRatio": 0.2,
            "countedOverUs": 10_000_000,
            "drainGraceUs": 1_000_000,
        },
    }
