"""Operator files and the platform's ``config.json`` are read to the same values as at commit 5d63481.

``data/config`` holds the files and ``expected.json``, the values that this commit read from them, by the keys
and in the units of the files. A later version may accept further names for a key, but must still read the
names used here: neither the files nor the expected values may change. If names in the code change, only the
functions ``..._values`` and ``READERS`` follow.

There are four variants of each operator file: as delivered in ``deploy/`` (``store.toml``), with the required
keys only (``-least``), with every commented line of the delivered file (``-commented``), and with a value
other than the default for each key (``-other``).
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import pytest

from slipbay.address import Address
from slipbay.config.model import Config, LossConfig, MysqlConfig, SpiffeConfig, StoreConfig
from slipbay.config.router import load
from slipbay.config.validation import ConfigError
from slipbay.membership.settings import MembershipConfig, load_membership
from slipbay.peer_channel.settings import ChannelConfig, load_channel
from slipbay.policy.settings import Effect, ServiceClass
from slipbay.quota.plan import QuotaPlan
from slipbay.quota.settings import load_quota
from slipbay.scatter_gather.config_schema import ScatterGatherPlan
from slipbay.scatter_gather.settings import load_gather
from slipbay.warmup.plan import WarmupPlan as ComebackPlan
from slipbay.warmup.settings import load_warmup

DATA = Path(__file__).parent / "data" / "config"
EXPECTED: dict[str, Any] = json.loads((DATA / "expected.json").read_text())
PARTS = ("channel", "comeback", "fleet", "gather", "mysql", "quota", "store")
VARIANTS = ("", "-least", "-commented", "-other")
EFFECTS = {Effect.SAFE: "retryable", Effect.KEYED: "dedup", Effect.UNSAFE: "fragile"}
FRONTENDS = {b"json": "jsonrpc", b"mysql": "mysql"}
MIB = 1024 * 1024


# The values read, by the keys of the files


def address_text(address: Address | None) -> str | None:
    return f"{address[0]}:{address[1]}" if address is not None else None


def path_text(path: Path | None) -> str | None:
    """Relative to the folder of the files, if the path is inside it."""
    if path is None:
        return None
    return str(path.relative_to(DATA)) if path.is_relative_to(DATA) else str(path)


def class_values(name: str, service_class: ServiceClass) -> dict[str, object]:
    return {
        "name": name,
        "effect": EFFECTS[service_class.effect],
        "promiseUs": service_class.latency_objective_us,
        "giveUpUs": service_class.deadline_us,
        "gain": service_class.utility,
        "lateWorth": service_class.late_utility,
        "aimStretch": service_class.latency_objective_stretch,
        "threadsByClass": service_class.threads,
        "isLoad": service_class.is_load,
        "blockedByLoads": service_class.waits_for_loads,
        "keyScope": service_class.dedup_scope.value,
        "windowUs": service_class.dedup_window_us,
        "byArrival": service_class.in_order,
        "staysIn": service_class.zones,
        "boundTo": service_class.kinds,
        "stream": service_class.stream,
    }


def config_values(config: Config) -> dict[str, object]:
    """Of ``config.json``, and what the router makes of its limits."""
    settings = config.settings
    return {
        "name": config.name,
        "listen": address_text(config.listen),
        "seed": f"{config.seed:x}",
        "limits": {
            "cores": config.limits.cores,
            "memory_mb": config.limits.memory_mb,
            "sockets": config.limits.sockets,
            "sockets of clients": config.limits.client_sockets,
            "sockets of engines": config.limits.engine_sockets,
            "bytes of connections": config.limits.connection_bytes,
            "bytes of requests": config.limits.request_bytes,
        },
        "journal": address_text(config.journal),
        "known": config.known,
        "peer_listen": address_text(config.peer_listen),
        "peers": [address_text(peer) for peer in config.peers],
        "peers_all": address_text(config.peers_all),
        "settings": {
            "balancers": settings.router_count,
            "me": settings.router_number,
            "zone": settings.zone,
            "tickUs": settings.tick_us,
            "dcs": config.zones,
            "kinds": config.kinds,
            "realms": config.tenants,
            "membershipMode is on_request": settings.list_on_request,
            "familyInfo": {
                "cpuOfKind": settings.kind_cores,
                "progressUs": settings.progress_us,
                "lanesCount": settings.supports_priority,
            },
            "policyLimits": {
                "attemptsCap": settings.max_attempts,
                "connIdleUs": config.idle_us,
                "connectTimeoutUs": config.connect_timeout_us,
                "maxRetryAfterUs": settings.max_retry_after_us,
                "mayCancel": settings.may_cancel,
                "mayDuplicate": settings.may_duplicate,
                "probes": settings.may_probe,
                "mayTell": settings.may_gossip,
                "maxOpen": config.max_open,
            },
            "profiles": [
                class_values(name, found)
                for name, found in zip(config.classes, settings.classes, strict=True)
            ],
            "reporting": {"fields": settings.report_fields},
            "rules": {
                "answerSlackUs": settings.answer_slack_us,
                "askWithinUs": settings.ask_within_us,
                "drainGraceUs": settings.drain_grace_us,
                "coldShare": settings.cold_share,
                "fallMultiple": settings.cold_multiple,
                "fallUs": settings.cold_window_us,
                "rampTimeUs": settings.ramp_us,
                "keyRestUs": settings.key_rest_us,
                "extraFree": settings.free_retries,
                "repeatRatio": settings.retry_share,
                "countedOverUs": settings.retry_window_us,
            },
        },
    }


def channel_values(settings: ChannelConfig) -> dict[str, object]:
    return {
        "rate": settings.rate,
        "key": settings.key.decode(),
        "old key": settings.old_key.decode(),
        "file of the keys": settings.key_source,
        "status": settings.status,
        "parts": dict(settings.shares),
    }


def comeback_values(settings: ComebackPlan) -> dict[str, object]:
    return {
        "held_share": settings.leftover_share,
        "dials": settings.connections_per_s,
        "least_dials": settings.min_connections_per_s,
        "calls": settings.list_calls_per_s,
        "sample": settings.survey_size,
        "tellers": settings.max_reports,
        "answer_ms": settings.reply_us / 1000,
        "ages": {
            "pace_s": settings.ages.pace / 1e6,
            "costs_s": settings.ages.costs / 1e6,
            "ill_s": settings.ages.unhealthy / 1e6,
            "homes_s": settings.ages.groups / 1e6,
            "ration_s": settings.ages.retries / 1e6,
        },
        "not in the file": {
            "time that earlier lives may hold threads, ms": settings.leftover_us / 1000,
            "threads for each core": settings.threads_per_core,
            "roots of its threads beyond": settings.slack,
            "longest wait of a call, ms": settings.max_slot_us / 1000,
            "questions until there is an answer": settings.max_rounds,
            "end of caution with free connections, ms": settings.limit_spread_us / 1000,
        },
    }


def fleet_values(settings: MembershipConfig) -> dict[str, object]:
    timing = settings.timing
    return {
        "build": settings.build,
        "key": settings.key.decode(),
        "old key": settings.old_key.decode(),
        "status": settings.status,
        "shares": settings.shares,
        "timing": {
            "probe_ms": timing.probe_us / 1000,
            "answer_ms": timing.answer_us / 1000,
            "tries": timing.tries,
            "helpers": timing.helpers,
            "suspect_ms": timing.suspect_us / 1000,
            "patience": timing.patience,
            "gossip_ms": timing.gossip_us / 1000,
            "fan": timing.fan,
            "sync_ms": timing.sync_us / 1000,
            "reach_ms": timing.reach_us / 1000,
            "tombstone_ms": timing.tombstone_us / 1000,
            "stall_ms": timing.stall_us / 1000,
            "rate": timing.rate,
            "burst": timing.burst,
        },
    }


def gather_values(settings: ScatterGatherPlan) -> dict[str, object]:
    return {
        "most_open": settings.max_open,
        "most_mb": settings.max_bytes / MIB,
        "scatter": [
            {
                "class": item.service_class,
                "parts": item.part_class,
                "groups": item.groups,
                "mark": item.placeholder,
                "curve": item.curve,
                "price_per_s": item.price_per_s,
                "latest_ms": item.latest_us / 1000,
                "cost": "one" if item.is_charged_once else "parts",
            }
            for item in settings.scattered
        ],
    }


def spiffe_values(settings: SpiffeConfig, tenants: tuple[str, ...]) -> dict[str, object]:
    return {
        "trust_domain": settings.trust_domain,
        "certificate": path_text(settings.certificate),
        "key": path_text(settings.key),
        "bundle": path_text(settings.bundle),
        "tenants": {identity: tenants[number] for identity, number in settings.tenants.items()},
    }


def mysql_values(settings: MysqlConfig, config: Config) -> dict[str, object]:
    classes = config.classes
    return {
        "listen": address_text(settings.listen),
        "schema": settings.schema,
        "max_packet_bytes": settings.max_packet_bytes,
        "idle_s": settings.idle_us / 1e6,
        "hint": settings.hint,
        "classes": {
            "read": classes[settings.read_class],
            "write": classes[settings.write_class],
            "prepare": classes[settings.prepare_class],
            "rules": [
                {
                    "pattern": rule.pattern.pattern,
                    "flags": rule.pattern.flags,
                    "class": classes[rule.service_class],
                }
                for rule in settings.rules
            ],
        },
        "deadline_ms": {name: time / 1000 for name, time in zip(classes, settings.deadlines_us, strict=True)},
        "estimates": {
            name: {
                "cpu_ms": estimate.cost_us / 1000 if estimate.cost_us is not None else None,
                "ram_mb": estimate.memory_mb,
            }
            for name, estimate in zip(classes, settings.estimates, strict=True)
        },
        "users": {
            name: {"tenant": config.tenants[user.tenant], "password": user.password.decode()}
            for name, user in settings.users.items()
        },
        "engine_login": {"user": settings.engine_user, "password": settings.engine_password.decode()},
        "engines": {name.decode(): address_text(address) for name, address in settings.engines.items()},
        "spiffe": spiffe_values(settings.spiffe, config.tenants) if settings.spiffe is not None else None,
    }


def quota_values(settings: QuotaPlan) -> dict[str, object]:
    return {
        "version": settings.version,
        "term_ms": settings.term_ms,
        "longest_ms": settings.longest_ms,
        "reserve": settings.reserve,
        "holders": settings.holders,
        "wardens": settings.wardens,
        "bytes_per_s": settings.bytes_per_s,
        "quotas": [
            {
                "name": quota.name,
                "tenants": quota.tenants,
                "classes": quota.classes,
                "rate": quota.rate,
                "burst": quota.burst,
                "open": quota.open,
                "soft": quota.soft,
                "exact": quota.exact,
                "parts": quota.parts,
            }
            for quota in settings.quotas
        ],
        "layout in a fleet of three": settings.layout(3),
    }


def loss_values(settings: LossConfig) -> dict[str, object]:
    return {
        "repeat_window_s": settings.window_us / 1e6,
        "marked": [FRONTENDS[prefix] for prefix in settings.marked],
        "anywhere": settings.anywhere,
        "marker": path_text(settings.marker),
        "fleet": settings.fleet,
    }


def store_values(settings: StoreConfig) -> dict[str, object]:
    return {
        "folder": path_text(settings.folder),
        "segment_mb": settings.segment_bytes / MIB,
        "most_mb": settings.most_bytes / MIB,
        "when_it_cannot_write": "stop" if settings.stop_on_failure else "refuse",
        "later_ms": settings.later_us / 1000,
        "commit": {
            "most_records": settings.group_records,
            "most_kb": settings.group_bytes / 1024,
            "wait_us": settings.group_wait_us,
            "retry_ms": settings.retry_us / 1000,
        },
        "keep": {
            "retention_h": settings.retention_us / 3.6e9,
            "answer_kb": settings.most_answer_bytes / 1024,
            "most_keys": settings.most_keys,
        },
        "recovery": {"most_s": settings.recovery_us / 1e6},
        "loss": loss_values(settings.loss) if settings.loss is not None else None,
    }


# Readers; the files are named by environment variables


def environment_for(part: str, file: Path, config: str) -> dict[str, str]:
    """Name this operator file, the channel file that other parts need, and absent files for the rest."""
    environment = {f"SLIPBAY_{name.upper()}": str(DATA / "absent.toml") for name in PARTS}
    environment["SLIPBAY_CHANNEL"] = str(DATA / "channel-least.toml")
    environment[f"SLIPBAY_{part.upper()}"] = str(file)
    environment["GW_CONFIG"] = str(DATA / config)
    return environment


def read_channel(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    settings = load_channel(config, environment)
    return channel_values(settings) if settings is not None else None


def read_comeback(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    settings = load_warmup(config, environment, load_channel(config, environment))
    return comeback_values(settings) if settings is not None else None


def read_fleet(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    settings = load_membership(config, environment)
    return fleet_values(settings) if settings is not None else None


def read_gather(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    settings = load_gather(config, environment)
    return gather_values(settings) if settings is not None else None


def read_mysql(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    return mysql_values(config.mysql, config) if config.mysql is not None else None


def read_quota(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    settings = load_quota(config, environment)
    return quota_values(settings) if settings is not None else None


def read_store(config: Config, environment: Mapping[str, str]) -> dict[str, object] | None:
    return store_values(config.store) if config.store is not None else None


READERS: dict[str, Callable[[Config, Mapping[str, str]], dict[str, object] | None]] = {
    "channel": read_channel,
    "comeback": read_comeback,
    "fleet": read_fleet,
    "gather": read_gather,
    "mysql": read_mysql,
    "quota": read_quota,
    "store": read_store,
}


def values_of(part: str, file: Path, config: str = "config-all.json") -> dict[str, object] | None:
    """The values that the reader of a part returns for a file; None if the part is not enabled."""
    environment = environment_for(part, file, config)
    return READERS[part](load(environment), environment)


def as_json(values: object) -> Any:
    """The form of the expected values: tuples become lists."""
    return json.loads(json.dumps(values))


# Valid files


@pytest.mark.parametrize("variant", VARIANTS)
@pytest.mark.parametrize("part", PARTS)
def test_an_operator_file_is_read_to_the_expected_values(part: str, variant: str) -> None:
    name = f"{part}{variant}.toml"
    assert as_json(values_of(part, DATA / name)) == EXPECTED[name]


@pytest.mark.parametrize("name", ["config-readme.json", "config-all.json", "config-some.json"])
def test_a_platform_configuration_is_read_to_the_expected_values(name: str) -> None:
    environment = environment_for("store", DATA / "absent.toml", name)
    assert as_json(config_values(load(environment))) == EXPECTED[name]


def test_name_and_address_in_the_environment_override_those_of_the_file() -> None:
    environment = environment_for("store", DATA / "absent.toml", "config-all.json")
    environment["GW_NAME"] = "n7"
    environment["GW_LISTEN"] = "127.0.0.3:9443"
    expected = {**EXPECTED["config-all.json"], "name": "n7", "listen": "127.0.0.3:9443"}
    assert as_json(config_values(load(environment))) == expected


@pytest.mark.parametrize("part", PARTS)
def test_a_part_without_a_file_is_not_enabled(part: str) -> None:
    assert values_of(part, DATA / "absent.toml") is None


def test_the_default_number_of_keys_fits_in_half_of_the_memory() -> None:
    values = values_of("store", DATA / "store-least.toml", "config-some.json")
    assert as_json(values) == EXPECTED["store-least.toml with config-some.json"]


def test_a_channel_without_keys_uses_those_of_membership_whose_rate_is_its_share_of_the_channel() -> None:
    environment = environment_for("fleet", DATA / "fleet-other.toml", "config-all.json")
    config = load(environment)
    view = load_membership(config, environment)
    assert view is not None
    channel = load_channel(config, environment, view)
    assert channel is not None
    assert as_json(channel_values(channel)) == EXPECTED["channel-least.toml with fleet-other.toml"]
    assert (
        as_json(fleet_values(channel.limit_membership(view)))
        == EXPECTED["fleet-other.toml with channel-least.toml"]
    )


def test_a_quota_plan_that_is_not_enabled_can_be_read_on_request() -> None:
    environment = environment_for("quota", DATA / "quota.toml", "config-all.json")
    plan = load_quota(load(environment), environment, always=True)
    assert plan is not None
    assert as_json(quota_values(plan)) == EXPECTED["quota.toml that is off, for a look"]


# Invalid files: the part, a text of its ``-other`` file, its replacement, and the key at fault

INVALID_OPERATOR_FILES = [
    ("channel", "rate = 900", "rates = 900", "rates"),
    ("channel", "view = 0.35", "views = 0.35", "parts.views"),
    ("channel", "status = false", 'status = "no"', "status"),
    ("channel", "rate = 900", "rate = 1001", "rate"),
    ("channel", "view = 0.35", "view = 0.75", "parts"),
    ("channel", 'key_file = "secrets/channel"\nold', "old", "old_key_file"),
    ("comeback", "dials = 8.5", "dial = 8.5", "dial"),
    ("comeback", "costs_s = 50", "cost_s = 50", "ages.cost_s"),
    ("comeback", "sample = 7", 'sample = "7"', "sample"),
    ("comeback", "tellers = 2", "tellers = 9", "tellers"),
    ("fleet", "build = 7", "builds = 7", "builds"),
    ("fleet", "fan = 4", "fans = 4", "timing.fans"),
    ("fleet", "tries = 5", 'tries = "5"', "timing.tries"),
    ("fleet", "build = 7", "build = 256", "build"),
    ("fleet", "answer_ms = 75", "answer_ms = 481", "timing.answer_ms"),
    ("fleet", "rate = 650", "rate = 299", "timing.rate"),
    ("fleet", "secrets/fleet-before", "secrets/engines", "old_key_file"),
    ("gather", "most_open = 128", "most_opened = 128", "most_opened"),
    ("gather", 'class = "report"', 'classes = "report"', "scatter[0].classes"),
    ("gather", "most_mb = 8", 'most_mb = "8"', "most_mb"),
    ("gather", "most_mb = 8", "most_mb = 65", "most_mb"),
    ("gather", "groups = [4, 2, 9]", "groups = [4]", "scatter[0].groups"),
    ("gather", 'parts = "lookup"', 'parts = "ticket-load"', "scatter[0].parts"),
    ("mysql", "ticket-load = 9000", "ticket-loads = 9000", "deadline_ms.ticket-loads"),
    ("mysql", "idle_s = 90", 'idle_s = "90"', "idle_s"),
    ("mysql", "max_packet_bytes = 65536", "max_packet_bytes = 1023", "max_packet_bytes"),
    ("mysql", 'read = "report"', 'read = "reports"', "classes.read"),
    ("mysql", "secrets/engines", "secrets/none", "engine_login.password_file"),
    ("mysql", 'listen = "127.0.0.2:3307"\n', "", "listen"),
    ("quota", "wardens = 3", "warden = 3", "warden"),
    ("quota", "soft = 2.0", "softer = 2.0", "quotas[0].softer"),
    ("quota", "version = 9", 'version = "9"', "version"),
    ("quota", "term_ms = 1500", "term_ms = 199", "term_ms"),
    ("quota", "rate = 20.0", "rate = 0", "quotas[1].rate"),
    ("quota", "lookup = 0.6", "lookup = 0.8", "quotas[0].parts"),
    ("store", "segment_mb = 16", "segments_mb = 16", "segments_mb"),
    ("store", "wait_us = 50", "waits_us = 50", "commit.waits_us"),
    ("store", "later_ms = 900", 'later_ms = "900"', "later_ms"),
    ("store", "segment_mb = 16", "segment_mb = 65", "most_mb"),
    ("store", "answer_kb = 32", "answer_kb = 4097", "keep.answer_kb"),
    ("store", "repeat_window_s = 3600", "repeat_window_s = 43201", "loss.repeat_window_s"),
    ("store", "enabled = true\nfolder", "enabled = 1\nfolder", "enabled"),
]


def check_message(message: str, file: str, key: str) -> None:
    """Check that the message has the file, the key as a separate word, and other words.

    At commit 5d63481 an unknown key of ``[timing]`` in fleet.toml is reported as ``timing..fans``; one dot is
    accepted too.
    """
    assert file in message
    rest = message.replace(file, "", 1).replace("..", ".")
    assert key in rest.replace(":", " ").split(), message
    assert len(rest.replace(key, "", 1).replace(":", " ").split()) >= 1, message


@pytest.mark.parametrize("part, valid, invalid, key", INVALID_OPERATOR_FILES)
def test_an_error_of_an_operator_file_names_file_and_key(
    part: str, valid: str, invalid: str, key: str, tmp_path: Path
) -> None:
    text = (DATA / f"{part}-other.toml").read_text()
    assert text.count(valid) == 1
    file = tmp_path / f"{part}-bad.toml"
    file.write_text(text.replace(valid, invalid))
    (tmp_path / "secrets").symlink_to(DATA / "secrets")
    with pytest.raises(ConfigError) as raised:
        values_of(part, file)
    check_message(str(raised.value), file.name, key)


INVALID_CONFIGURATIONS = [
    ('"listen": "127.0.0.1:8443"', '"listen": "host:8443"', "listen"),
    ('"journal": "127.0.0.1:9092",', "", "journal"),
    ('"seed": "8c1f30d27a5be964"', '"seed": 5', "seed"),
    ('"sockets": 900', '"sockets": 63', "limits.sockets"),
    ('"cores": 1.5', '"cores": "1.5"', "limits.cores"),
    ('"maxOpen": 2048', '"maxOpen": 0', "settings.policyLimits.maxOpen"),
    ('"effect": "dedup"', '"effect": "dedupe"', "settings.profiles[1].effect"),
    ('"peers": ["127.0.0.1:7945"', '"peers": ["127.0.0.1:79450"', "peers[0]"),
    ('"fallMultiple": 3.0', '"fallMultiple": []', "settings.rules.fallMultiple"),
]


@pytest.mark.parametrize("valid, invalid, key", INVALID_CONFIGURATIONS)
def test_an_error_of_a_platform_configuration_names_file_and_key(
    valid: str, invalid: str, key: str, tmp_path: Path
) -> None:
    text = (DATA / "config-all.json").read_text()
    assert text.count(valid) == 1
    file = tmp_path / "config-bad.json"
    file.write_text(text.replace(valid, invalid))
    environment = environment_for("store", DATA / "absent.toml", str(file))
    with pytest.raises(ConfigError) as raised:
        load(environment)
    check_message(str(raised.value), file.name, key)
