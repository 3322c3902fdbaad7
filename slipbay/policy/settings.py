"""Settings of a routing policy: the service classes and the limits of the deployment. Times are in us."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class InvalidSettingsError(ValueError):
    """Settings that violate a rule; ``rule`` is the text of the rule."""

    def __init__(self, rule: str) -> None:
        super().__init__(f"invalid settings: want {rule}")
        self.rule = rule


class Effect(Enum):
    """Whether a query may be executed more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Engines that deduplicate a keyed query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """One class of queries."""

    latency_objective_us: int  # an answer within it has its full utility
    deadline_us: int  # clients stop waiting after it
    effect: Effect  # whether a repeat is safe
    utility: float = 1.0  # utility of an answer within the objective
    late_utility: float = 0.0  # share of the utility of an answer after the objective
    latency_objective_stretch: float = 0.0  # the objective is longer by this many times the query's run time
    threads: int = 1  # threads of an engine that a query uses
    is_load: bool = False  # a query locks its table group while it runs
    waits_for_loads: bool = False  # a query waits for loads that lock its group
    dedup_scope: Scope = Scope.ALL  # engines that deduplicate repeats
    dedup_window_us: int = 0  # how long engines deduplicate repeats
    in_order: bool = False  # queries of one key run one at a time, in order of arrival
    zones: tuple[int, ...] | None = None  # zones of engines that may run it; None for all
    kinds: tuple[int, ...] | None = None  # kinds of engines that may run it; None for all
    stream: bool = False  # its answers are streamed


@dataclass(slots=True, frozen=True)
class Settings:
    """Passed once, at the start of a router. Values out of range raise ``InvalidSettingsError``."""

    classes: tuple[ServiceClass, ...]
    router_count: int = 1  # routers of the fleet
    router_number: int = 0  # number of this router, from 0
    zone: int = 0  # zone of this router
    kind_cores: tuple[float, ...] = ()  # cores of an engine, by its kind
    tick_us: int = 1000  # resolution of the host's timers
    answer_slack_us: int = 0  # time after its deadline at which an answer still counts
    max_attempts: int = 1  # attempts of a query, including the first
    may_cancel: bool = False  # attempts can be stopped
    may_duplicate: bool = False  # two attempts of a query may run at once
    may_probe: bool = False  # health checks may be sent
    may_gossip: bool = False  # routers may send each other messages
    supports_priority: bool = False  # engines take a priority with an attempt
    max_retry_after_us: int = 0  # longest Retry-After with a rejection; 0 for none
    list_on_request: bool = False  # the engine list is sent only on request
    ask_within_us: int = 0  # after a change of the list, the router counts as informed after this time
    progress_us: int = 0  # interval between notes of a running attempt; 0 for none
    report_fields: tuple[str, ...] = ()  # names of the values in load reports
    # sends to an engine must stop within this time after the list reports it as draining or removed
    drain_grace_us: int = 0
    cold_share: float = 1.0  # fraction of its capacity that an engine has at its start
    cold_multiple: float = 1.0  # a cold engine takes work up to this many times its present capacity
    cold_window_us: int = 0  # window over which the work sent to a cold engine is counted
    ramp_us: int = 0  # time after its start until an engine has its full capacity
    key_rest_us: int = 0  # time for which an order key is blocked after an unknown outcome
    free_retries: float | None = None  # retries per window in addition to retry_share; None: no limit
    retry_share: float = 0.0  # permitted retries per query in the window
    retry_window_us: int = 0  # window over which queries and retries are counted

    def __post_init__(self) -> None:
        checks = {
            "at least one class": bool(self.classes),
            "router_count at least 1": self.router_count >= 1,
            "router_number from 0 to router_count - 1": 0 <= self.router_number < self.router_count,
            "tick_us above 0": self.tick_us > 0,
            "max_attempts at least 1": self.max_attempts >= 1,
            "cold_share above 0 and at most 1": 0 < self.cold_share <= 1,
            "cold_multiple above 0": self.cold_multiple > 0,
            "cores above 0": all(cores > 0 for cores in self.kind_cores),
            "times and shares not negative": min(
                self.answer_slack_us,
                self.max_retry_after_us,
                self.ask_within_us,
                self.progress_us,
                self.drain_grace_us,
                self.cold_window_us,
                self.ramp_us,
                self.key_rest_us,
                self.free_retries or 0.0,
                self.retry_share,
                self.retry_window_us,
            )
            >= 0,
        }
        for number, item in enumerate(self.classes):
            checks[f"class {number}: latency_objective_us and deadline_us above 0"] = (
                item.latency_objective_us > 0 and item.deadline_us > 0
            )
            checks[f"class {number}: threads at least 1"] = item.threads >= 1
            checks[f"class {number}: utilities, stretch and window not negative"] = (
                min(item.utility, item.late_utility, item.latency_objective_stretch, item.dedup_window_us)
                >= 0
            )
        for rule, is_met in checks.items():
            if not is_met:
                raise InvalidSettingsError(rule)
