"""Reading the configuration: defaults, and errors that name the key at fault."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, SETTINGS
from mysql_standins import mysql_file

from slipbay.config.mysql import load_mysql
from slipbay.config.router import MYSQL_FILE, STORE_FILE, from_json, load
from slipbay.config.validation import DEPLOY_FOLDER, ConfigError

VALID: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:1",
    "journal": f"{HOST}:2",
    "settings": SETTINGS,
    "seed": "8c1f30d27a5be964",
    "peers": [f"{HOST}:3"],
    "limits": {"memory_mb": 192},
}


def test_defaults_and_the_environment() -> None:
    config = from_json(json.dumps(VALID), {"GW_NAME": "n7", "GW_LISTEN": f"{HOST}:9"})
    assert (config.name, config.listen, config.seed) == ("n7", (HOST, 9), 0x8C1F30D27A5BE964)
    assert config.limits.sockets == 1024
    assert config.mysql is None
    assert config.limits.client_sockets + config.limits.engine_sockets < 1024


@pytest.mark.parametrize(
    "change, key",
    [
        ({"name": None}, "name"),
        ({"name": 7}, "name"),
        ({"listen": "host:80"}, "listen"),
        ({"listen": "127.0.0.1:x"}, "listen"),
        ({"journal": "127.0.0.1"}, "journal"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"limits": []}, "limits"),
        ({"peers": ["x"]}, "peers[0]"),
        ({"known": {"pos": -1}}, "known.pos"),
        ({"known": {"entries": {}}}, "known.entries"),
        ({"settings": {}}, "settings.profiles"),
        ({"settings": {**SETTINGS, "policyLimits": {"maxOpen": "x"}}}, "settings.policyLimits.maxOpen"),
        ({"peer_listen": "x"}, "peer_listen"),
    ],
)
def test_an_error_names_the_key_at_fault(change: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=f"^{re.escape(key)}:"):
        from_json(json.dumps({**VALID, **change}), {})


def test_a_missing_file_and_invalid_json_are_rejected() -> None:
    for environment in ({}, {"GW_CONFIG": "/nowhere/config.json"}):
        with pytest.raises(ConfigError, match="^GW_CONFIG:"):
            load(environment)
    with pytest.raises(ConfigError, match="JSON"):
        from_json("{", {})


@pytest.mark.parametrize(
    "old, new, key",
    [
        ('read = "lookup"', 'read = "dance"', "classes.read"),
        ('write = "ticket-load"', 'write = "lookup"', "classes.write"),
        ('prepare = "lookup"', 'prepare = "ticket-load"', "classes.prepare"),
        ("'group by'", "'('", r"classes.rules\[0\].pattern"),
        ("report = 15000", "dance = 1", "deadline_ms.dance"),
        ('tenant = "ishikari-fuel"', 'tenant = "x"', "users.office.tenant"),
        ('password_file = "secret"', 'password_file = "none"', "password_file"),
        ("enabled = true", "enabled = 1", "enabled"),
        ("max_packet_bytes = 65536", "max_packet_bytes = 1", "max_packet_bytes"),
        ("[engines]", '[engines]\ns-9 = "x"', "engines.s-9"),
        (
            "[engines]",
            '[spiffe]\ntrust_domain = "a"\n[spiffe.tenants]\n"spiffe://b/c" = "x"\n[engines]',
            "spiffe.tenants",
        ),
        ("enabled = true", "enabled = ", "mysql.toml"),
    ],
)
def test_an_error_of_the_mysql_file_names_the_key_at_fault(
    tmp_path: Path, old: str, new: str, key: str
) -> None:
    config = from_json(json.dumps(VALID), {})
    file = mysql_file(tmp_path)
    assert load_mysql(config, file) is not None
    assert old in file.read_text()
    file.write_text(file.read_text().replace(old, new, 1))
    with pytest.raises(ConfigError, match=f"^mysql.toml: .*{key}|^{key}"):
        load_mysql(config, file)


def test_delivered_operator_files_are_not_enabled_and_name_no_classes_users_or_engines() -> None:
    files = [file for file in DEPLOY_FOLDER.glob("*.toml") if file.name != "balancer.toml"]
    assert MYSQL_FILE in files
    assert STORE_FILE in files
    names = ("classes", "deadline_ms", "estimates", "users", "spiffe", "engines", "scatter", "quotas")
    for file in files:
        table = tomllib.loads(file.read_text())
        assert table["enabled"] is False, file.name
        assert not any(table.get(name) for name in names), f"{file.name}: classes and names are examples only"


def test_the_mysql_frontend_is_not_enabled_on_the_platform() -> None:
    config = from_json(json.dumps(VALID), {})
    assert MYSQL_FILE.is_file()
    assert load_mysql(config, MYSQL_FILE) is None
    assert load_mysql(config, MYSQL_FILE.with_name("absent.toml")) is None
