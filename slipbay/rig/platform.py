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
    aim_s: float  # latency objective
    limit_s: float
    worth: float


SURVEY = "survey"  # class of scattered queries; routers have it where the scenario configures scattering
CLASSES = {
    one.name: one
    for one in (
        ServiceClass("lookup", "retryable", 0.5, 2.5, 1.0),
        ServiceClass("report", "retryable", 2.0, 10.0, 15.0),
        ServiceClass("ticket-load", "fragile", 4.0, 10.0, 15.0),
        ServiceClass(SURVEY, "retryable", 2.0, 10.0, 15.0),
    )
}
TENANT = "ishikari-fuel"
RAMP_S = 13.0  # s of slow start after an engine's start


def zone_names(zones: int) -> list[str]:
    """Return the names of that many zones."""
    return [f"room-{chr(97 + n)}" for n in range(zones)]


def settings(me: int, routers: int, zones: int, tenants: list[str], surveys: bool = False) -> dict[str, Any]:
    """Return the settings object of router ``me``."""
    classes = [one for name, one in CLASSES.items() if surveys or name != SURVEY]
    return {
        "balancers": routers,
        "me": me,
        "zone": me % zones,
        "dcs": zone_names(zones),
        "kinds": ["std-8"],
        "tickUs": 5000,
        "familyInfo": {
            "threadsByClass": [1, 2, 2, 2][: len(classes)],
            "cpuOfKind": [8],
            "isLoad": [one.effect == "fragile" for one in classes],
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
                "name": one.name,
                "effect": one.effect,
                "promiseUs": int(one.aim_s * 1e6),
                "giveUpUs": int(one.limit_s * 1e6),
                "gain": one.worth,
            }
            for one in classes
        ],
        "realms": [{"name": name} for name in tenants],
        "rules": {
            "answerSlackUs": 20_000,
            "coldShare": 0.31,
            "fallMultiple": 3.0,
            "fallUs": 3_000_000,
            "rampTimeUs": int(RAMP_S * 1e6),
            "extraFree": 5,
            "repeatRatio": 0.2,
            "countedOverUs": 10_000_000,
            "drainGraceUs": 1_000_000,
        },
    }
