"""Reads ``deploy/mysql.toml``: the address of the MySQL frontend, its users, and how statements are
classified."""

from __future__ import annotations

import re
from pathlib import Path

from slipbay.config.fields import Keys, address, operator_file
from slipbay.config.model import ClassRule, Config, Estimate, MysqlConfig, SpiffeConfig, User
from slipbay.config.validation import ConfigError, read_first_line
from slipbay.policy.settings import Effect
from slipbay.wire.spiffe import InvalidSpiffeIdError, check_id

DEFAULT_PACKET_BYTES = 1024 * 1024
MIN_PACKET_BYTES = 1024
DEFAULT_IDLE_S = 600.0


def load_mysql(config: Config, path: Path) -> MysqlConfig | None:
    """Return the MySQL frontend's configuration; None if the file is absent or has ``enabled = false``.

    Raises:
        ConfigError: with the name of the file and the key at fault.
    """
    return operator_file(path, lambda keys: _MysqlReader(config, keys, path.parent).read())


def _index_of_value(keys: Keys, key: str, names: tuple[str, ...]) -> int:
    """Return the index of a key's value in ``names``."""
    name = keys.text(key)
    if name not in names:
        raise ConfigError(f"want one of {', '.join(names)}; got {name!r}", keys.name(key))
    return names.index(name)


class _MysqlReader:
    """Reads the tables of the file; paths in them are relative to ``folder``."""

    def __init__(self, config: Config, keys: Keys, folder: Path) -> None:
        self._config = config
        self._keys = keys
        self._folder = folder
        self._classes = keys.part("classes")
        self._deadlines = keys.part("deadline_ms", {})
        self._estimates = keys.part("estimates", {})

    def read(self) -> MysqlConfig:
        """Return the checked configuration of the file."""
        prepare_class = self._class_for_prepare()
        write_class = self._class_for_writes()
        self._check_class_names()
        keys = self._keys
        engines = keys.part("engines")
        login = keys.part("engine_login")
        users = keys.part("users", {})
        spiffe = self._spiffe(keys.part("spiffe")) if "spiffe" in keys.data else None
        if not users.data and spiffe is None:
            raise ConfigError("want at least one, or a table spiffe", "users")
        rules = self._classes.get("rules", list, "a list", [])
        return MysqlConfig(
            listen=address(keys.text("listen"), "listen"),
            schema=keys.text("schema", ""),
            max_packet_bytes=int(keys.number("max_packet_bytes", MIN_PACKET_BYTES, DEFAULT_PACKET_BYTES)),
            idle_us=int(keys.number("idle_s", 1, DEFAULT_IDLE_S) * 1_000_000),
            hint=keys.text("hint", "slipbay"),
            read_class=_index_of_value(self._classes, "read", self._config.classes),
            write_class=write_class,
            prepare_class=prepare_class,
            rules=tuple(self._rule(index, item) for index, item in enumerate(rules)),
            deadlines_us=self._deadlines_us(),
            estimates=tuple(map(self._estimate, self._config.classes)),
            users={name: self._user(users.part(name)) for name in users.data},
            engines={
                name.encode(): address(value, engines.name(name)) for name, value in engines.data.items()
            },
            engine_user=login.text("user"),
            engine_password=self._secret(login, "password_file"),
            spiffe=spiffe,
        )

    def _class_for_prepare(self) -> int:
        class_index = _index_of_value(self._classes, "prepare", self._config.classes)
        if self._config.settings.classes[class_index].effect is not Effect.SAFE:
            raise ConfigError("want a class that is safe to repeat", "classes.prepare")
        return class_index

    def _class_for_writes(self) -> int:
        class_index = _index_of_value(self._classes, "write", self._config.classes)
        if self._config.settings.classes[class_index].effect is not Effect.UNSAFE:
            raise ConfigError("want a class whose effect is unsafe", "classes.write")
        return class_index

    def _check_class_names(self) -> None:
        for table in (self._deadlines, self._estimates):
            for name in table.data.keys() - set(self._config.classes):
                raise ConfigError("no such class", table.name(name))

    def _deadlines_us(self) -> tuple[int, ...]:
        return tuple(
            int(self._deadlines.number(name, 1, service_class.deadline_us / 1000) * 1000)
            for name, service_class in zip(self._config.classes, self._config.settings.classes, strict=True)
        )

    def _estimate(self, name: str) -> Estimate:
        keys = self._estimates.part(name, {})
        cost_ms = keys.number("cpu_ms", 0) if "cpu_ms" in keys.data else None
        return Estimate(None if cost_ms is None else int(cost_ms * 1000), keys.number("ram_mb", 0, 0.0))

    def _rule(self, index: int, item: object) -> ClassRule:
        keys = Keys(item, f"classes.rules[{index}]")
        try:
            pattern = re.compile(keys.text("pattern"), re.IGNORECASE | re.DOTALL)
        except (re.error, OverflowError, RecursionError) as problem:
            raise ConfigError(str(problem), keys.name("pattern")) from None
        return ClassRule(pattern, _index_of_value(keys, "class", self._config.classes))

    def _user(self, keys: Keys) -> User:
        return User(
            _index_of_value(keys, "tenant", self._config.tenants), self._secret(keys, "password_file")
        )

    def _secret(self, keys: Keys, key: str) -> bytes:
        """Return the first line of the file that a key names: the configuration itself holds no passwords."""
        return read_first_line(self._folder / keys.text(key), keys.name(key)).rstrip(b"\r")

    def _spiffe(self, keys: Keys) -> SpiffeConfig:
        trust_domain = keys.text("trust_domain")
        tenants = keys.part("tenants")
        for spiffe_id in tenants.data:
            try:
                id_domain = check_id(spiffe_id)
            except InvalidSpiffeIdError as problem:
                raise ConfigError(str(problem), tenants.name(spiffe_id)) from None
            if id_domain != trust_domain:
                raise ConfigError(f"want an ID of the trust domain {trust_domain}", tenants.name(spiffe_id))
        return SpiffeConfig(
            trust_domain,
            self._folder / keys.text("certificate"),
            self._folder / keys.text("key"),
            self._folder / keys.text("bundle"),
            {
                spiffe_id: _index_of_value(tenants, spiffe_id, self._config.tenants)
                for spiffe_id in tenants.data
            },
        )
