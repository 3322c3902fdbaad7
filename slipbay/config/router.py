"""Reads the platform's configuration (``GW_CONFIG``) and the operator files of the MySQL frontend and the
store."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from slipbay.config.fields import Keys, address, optional_address
from slipbay.config.model import Config, Limits
from slipbay.config.mysql import load_mysql
from slipbay.config.store import load_store
from slipbay.config.validation import DEPLOY_FOLDER, TOO_DEEP, ConfigError, check_values
from slipbay.simhost.settings_reader import SettingsError, read_settings

DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_IDLE_US = 30_000_000
DEFAULT_MAX_OPEN = 4096
MYSQL_FILE = DEPLOY_FOLDER / "mysql.toml"
STORE_FILE = DEPLOY_FOLDER / "store.toml"


def load(environment: Mapping[str, str]) -> Config:
    """Read the configuration that the platform names in the environment, and the operator files.

    Raises:
        ConfigError: with file, key and reason of the first mistake.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("want the path of the configuration", "GW_CONFIG")
    try:
        config = from_json(Path(path).read_bytes(), environment)
    except OSError as problem:
        raise ConfigError(f"{path} cannot be read: {problem.strerror}", "GW_CONFIG") from None
    except ConfigError as problem:
        raise problem.in_file(Path(path).name) from None
    return replace(
        config,
        mysql=load_mysql(config, Path(environment.get("SLIPBAY_MYSQL") or MYSQL_FILE)),
        store=load_store(config, Path(environment.get("SLIPBAY_STORE") or STORE_FILE)),
    )


def from_json(text: str | bytes, environment: Mapping[str, str]) -> Config:
    """Read the configuration in ``text``; ``GW_NAME`` and ``GW_LISTEN`` of ``environment`` override its keys.

    Raises:
        ConfigError: with key and reason of the first mistake.
    """
    keys = Keys(_parse(text))
    settings_keys = keys.part("settings")
    try:
        settings = read_settings(json.dumps(settings_keys.data).encode())
    except SettingsError as problem:
        raise ConfigError(str(problem)) from None
    policy_limits = settings_keys.part("policyLimits", {})
    peers = keys.get("peers", list, "a list of addresses", [])
    return Config(
        known=_initial_events(keys),
        name=environment.get("GW_NAME") or keys.text("name"),
        listen=address(environment.get("GW_LISTEN") or keys.text("listen"), "listen"),
        seed=_seed(keys),
        limits=_limits(keys.part("limits", {})),
        journal=address(keys.text("journal"), "journal"),
        peer_listen=optional_address(keys, "peer_listen"),
        peers=tuple(address(peer, f"peers[{number}]") for number, peer in enumerate(peers)),
        peers_all=optional_address(keys, "peers_all"),
        settings=settings,
        classes=settings_keys.names("profiles"),
        tenants=settings_keys.names("realms"),
        zones=settings_keys.names("dcs"),
        kinds=settings_keys.names("kinds"),
        connect_timeout_us=int(policy_limits.number("connectTimeoutUs", 1, DEFAULT_CONNECT_TIMEOUT_US)),
        idle_us=int(policy_limits.number("connIdleUs", 1, DEFAULT_IDLE_US)),
        max_open=min(DEFAULT_MAX_OPEN, int(policy_limits.number("maxOpen", 1, DEFAULT_MAX_OPEN))),
    )


def _parse(text: str | bytes) -> object:
    try:
        data: object = json.loads(text)
    except ValueError as problem:
        raise ConfigError(f"the configuration is not JSON: {problem}") from None
    except RecursionError:
        raise ConfigError(TOO_DEEP, "the configuration") from None
    check_values(data)
    return data


def _limits(keys: Keys) -> Limits:
    return Limits(
        keys.number("cores", 0, 1.0),
        int(keys.number("memory_mb", 1, DEFAULT_MEMORY_MB)),
        int(keys.number("sockets", MIN_SOCKETS, DEFAULT_SOCKETS)),
    )


def _initial_events(keys: Keys) -> dict[str, Any]:
    """Return the configured events of the endpoint list; each event is checked only by the endpoint watch."""
    events = keys.part("known", {"pos": 0, "entries": []})
    events.number("pos", 0, 0)
    events.get("entries", list, "a list of events", [])
    return events.data


def _seed(keys: Keys) -> int:
    text = keys.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"want hex digits; got {text!r}", "seed") from None
