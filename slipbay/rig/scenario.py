"""Scenarios of the rig: a checked TOML file with the processes to start, their load, and the actions with
their times.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from slipbay.config.validation import ConfigError, convert
from slipbay.rig.platform import SURVEY, TENANT
from slipbay.scatter_gather.config_schema import ScatterTable

# keys of actions on TCP connections; an absent key means all
CONNECTION_KEYS = ("wire", "routers", "engines", "router_zones", "engine_zones")
ACTIONS = {  # actions and their keys
    "kill": ("routers", "lives"),
    "start": ("routers",),
    "stop": ("routers", "lives"),
    "go_on": ("routers", "lives"),
    "term": ("routers", "lives"),
    "restart": ("routers", "after_s"),
    "twin": ("routers",),
    "clock": ("routers", "ms"),
    "jump": ("routers", "ms"),
    "reload": ("routers", "file", "text"),
    "cut": ("from", "to", "one_way"),
    "heal": (),
    "loss": ("part",),
    "double": ("part",),
    "delay": ("ms",),
    "replay": (),
    "drain": ("engines",),
    "reset": ("engines",),
    "renew": ("engines",),
    "cut_wire": CONNECTION_KEYS,
    "heal_wire": CONNECTION_KEYS,
    "stall_wire": (*CONNECTION_KEYS, "way"),
    "delay_wire": (*CONNECTION_KEYS, "way", "ms"),
    "slow": ("engines", "groups", "times"),
    "stick": ("engines", "groups"),
    "copy_store": ("routers", "name"),
    "old_store": ("routers", "name"),
    "lose_store": ("routers",),
}
REQUIRED_KEYS = ("routers", "engines", "from", "to", "part", "ms", "file", "times")  # keys without a default
# operator files that a scenario may contain
FILES = ("fleet", "channel", "comeback", "quota", "gather", "store")

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Numbers = tuple[Annotated[int, Meta(ge=0)], ...]


class Action(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One action; times in s, numbers of routers or engines from 0."""

    at: NotNegative
    what: str
    routers: Numbers = ()
    engines: Numbers = ()
    sources: Numbers = msgspec.field(default=(), name="from")
    targets: Numbers = msgspec.field(default=(), name="to")
    one_way: bool = False
    lives: Literal["all", "old", "new"] = "all"  # which processes, where a router has two
    part: Annotated[float, Meta(ge=0, le=1)] = 0.0
    ms: float = 0.0
    after_s: NotNegative = 0.3
    groups: Numbers = ()  # table groups whose queries it affects; empty: all
    times: Annotated[float, Meta(gt=0)] = 1.0  # factor of the duration
    file: Literal["", "fleet", "channel", "comeback", "quota", "gather", "store"] = ""
    text: str = ""
    name: Annotated[str, Meta(pattern="^[a-z0-9]+$")] = "copy"  # of a copy of a store
    wire: Literal["engines", "journal"] = "engines"
    router_zones: Numbers = ()
    engine_zones: Numbers = ()
    way: Literal["both", "there", "back"] = "both"  # there: from routers; back: to routers

    def __str__(self) -> str:
        keys = [key for key in ACTIONS[self.what] if key != "text"]
        keys = [key for key in keys if getattr(self, FIELD_BY_KEY.get(key, key)) not in ((), "all")]
        return " ".join(
            [
                self.what,
                *(f"{key} {_format_value(getattr(self, FIELD_BY_KEY.get(key, key)))}" for key in keys),
            ]
        )


FIELD_BY_KEY = {"from": "sources", "to": "targets"}


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Clients of one tenant; rates in requests per second."""

    name: Annotated[str, Meta(min_length=1)]
    lookups: NotNegative = 0.0
    reports: NotNegative = 0.0
    loads: NotNegative = 0.0
    surveys: NotNegative = 0.0  # scattered queries
    routers: Numbers = ()  # routers that the clients connect to; empty: all
    since_s: NotNegative = 0.0  # when the clients start and end
    until_s: Positive = 1e9


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load: rates in requests per second over all routers, work in ms of one core."""

    lookups: NotNegative = 40.0
    reports: NotNegative = 2.0
    loads: NotNegative = 1.0
    surveys: NotNegative = 0.0  # scattered queries, whose parts resemble lookups; they need ``gather``
    lookup_ms: Count = 40
    report_ms: Count = 400
    work: Literal["exponential", "even"] = "exponential"  # distribution of the work of single requests
    # whether clients repeat a rejected request after the time that the answer names
    honour_later: bool = False
    tries: Count = 4  # attempts of a client for one request, including the first
    tenants: tuple[Tenant, ...] = ()  # replaces the rates above

    @property
    def sources(self) -> tuple[Tenant, ...]:
        """Tenants that send requests."""
        return self.tenants or (Tenant(TENANT, self.lookups, self.reports, self.loads, self.surveys),)


class _Gather(msgspec.Struct, frozen=True):
    scatter: tuple[ScatterTable, ...] = ()


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processes, load and actions of a run; times in s from when all routers are ready."""

    routers: Annotated[int, Meta(ge=1, le=40)] = 3
    engines: Annotated[int, Meta(ge=1, le=100)] = 4
    zones: Count = 1
    seed: Annotated[int, Meta(ge=0)] = 1
    seconds: Annotated[float, Meta(ge=0.1)] = 5.0
    load: Load = Load()
    fleet: str = ""  # texts of operator files; an empty one turns the feature off
    channel: str = ""
    comeback: str = ""
    quota: str = ""
    gather: str = ""
    store: str = ""
    without_view: Numbers = ()  # routers that run without the membership view, like an earlier release
    # time after the load within which all views must become correct; 0: not checked
    settle_s: NotNegative = 0.0
    do: tuple[Action, ...] = ()

    @property
    def has_tcp_proxies(self) -> bool:
        """Whether TCP proxies stand between the routers and the engines and journal."""
        return any("wire" in ACTIONS[action.what] for action in self.do)

    def connection_pairs(self, action: Action) -> list[tuple[int, int | None]]:
        """Return the pairs of router and engine, or of router and None for the journal, that an action
        concerns.
        """
        routers = [
            n
            for n in action.routers or range(self.routers)
            if not action.router_zones or n % self.zones in action.router_zones
        ]
        if action.wire == "journal":
            return [(n, None) for n in routers]
        return [
            (n, engine)
            for n in routers
            for engine in action.engines or range(self.engines)
            if not action.engine_zones or engine % self.zones in action.engine_zones
        ]

    @property
    def survey(self) -> ScatterTable | None:
        """How the load's queries are scattered."""
        tables = convert(tomllib.loads(self.gather), _Gather, "gather").scatter if self.gather else ()
        return next((entry for entry in tables if entry.service_class == SURVEY), None)

    @property
    def jumping_routers(self) -> set[int]:
        """Routers whose clock jumps in this scenario."""
        return {n for action in self.do if action.what == "jump" for n in action.routers}

    @property
    def operator_files(self) -> dict[str, str]:
        """Texts of the operator files that are not empty, by name."""
        return {name: text for name in FILES if (text := getattr(self, name))}


def _format_value(value: Any) -> str:
    """Format a value; numbers are shortened to ranges: ``0-4,7``."""
    if not isinstance(value, tuple):
        return f"{value:g}" if isinstance(value, float) else str(value).lower()
    spans: list[list[int]] = []
    for number in sorted(value):
        if spans and spans[-1][1] == number - 1:
            spans[-1][1] = number
        else:
            spans.append([number, number])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in spans)


def read(path: Path) -> Scenario:
    """Read a scenario from its file. Raises ``ConfigError`` with file and key."""
    try:
        return from_table(tomllib.loads(path.read_text()), path.name)
    except (OSError, ValueError) as problem:
        raise ConfigError(f"{path.name}: {problem}") from None


def from_table(table: dict[str, Any], name: str = "script") -> Scenario:
    """Convert and check a scenario. Raises ``ConfigError`` with file and key."""
    script = convert(table, Scenario, name)

    def check(is_valid: bool, key: str, wanted: str) -> None:
        if not is_valid:
            raise ConfigError(f"{name}: {key}: want {wanted}")

    for number, (action, given) in enumerate(zip(script.do, table.get("do", []), strict=True)):
        key = f"do[{number}]"
        check(action.what in ACTIONS, f"{key}.what", f"one of {', '.join(ACTIONS)}; got {action.what!r}")
        keys = ACTIONS[action.what]
        for other in given.keys() - {"at", "what", *keys}:
            check(False, f"{key}.{other}", f"none, as {action.what} has {', '.join(keys) or 'no keys'}")
        for needed in REQUIRED_KEYS:
            optional = "wire" in keys and needed in CONNECTION_KEYS
            check(needed not in keys or needed in given or optional, f"{key}.{needed}", "this key")
        check(action.at <= script.seconds, f"{key}.at", f"at most seconds ({script.seconds:g})")
        for list_key, count in (
            ("routers", script.routers),
            ("engines", script.engines),
            ("router_zones", script.zones),
            ("engine_zones", script.zones),
            ("from", script.routers),
            ("to", script.routers),
        ):
            check(
                all(n < count for n in getattr(action, FIELD_BY_KEY.get(list_key, list_key))),
                f"{key}.{list_key}",
                f"numbers from 0 to {count - 1}",
            )
    router_lists = {
        "without_view": script.without_view,
        **{f"load.tenants[{n}].routers": tenant.routers for n, tenant in enumerate(script.load.tenants)},
    }
    for key, numbers in router_lists.items():
        check(all(n < script.routers for n in numbers), key, f"numbers from 0 to {script.routers - 1}")
    check(
        script.survey is not None or not any(tenant.surveys for tenant in script.load.sources),
        "load.surveys",
        f"a text of gather that declares {SURVEY}",
    )
    names = [tenant.name for tenant in script.load.sources]
    check(len(names) == len(set(names)), "load.tenants", "each name once")
    return script
