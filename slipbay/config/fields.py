"""Reads one object of the configuration key by key, with typed values and errors that name the key."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from slipbay.address import Address
from slipbay.config.validation import ConfigError, read_toml

PORT = re.compile("[0-9]{1,5}")
MAX_PORT = 65535

Result = TypeVar("Result")


def address(value: object, key: str) -> Address:
    """Parse ``1.2.3.4:80``; names are not resolved, as the platform has no DNS.

    Raises:
        ConfigError: if ``value`` is not an IPv4 address with a port; the error names ``key``.
    """
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        colon = ""
    if not colon or not PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ConfigError(f"want an IPv4 address and a port, as in 10.0.0.4:8443; got {value!r}", key)
    return host, int(port)


class Keys:
    """One object of the configuration. Every method raises ``ConfigError``, which names the key at fault."""

    def __init__(self, data: object, path: str = "") -> None:
        if not isinstance(data, dict):
            raise ConfigError("want an object", path or "the configuration")
        self.data = data
        self.path = path

    def name(self, key: str) -> str:
        """Return the full path of a key of this object."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, kind: type | tuple[type, ...], expected: str, default: Any = None) -> Any:
        """Return the value of a key, of type ``kind``; without a default the key is required."""
        value = self.data.get(key, default)
        if value is None and default is None:
            raise ConfigError("missing", self.name(key))
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(f"want {expected}; got {value!r}", self.name(key))
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Return the string of a key."""
        return str(self.get(key, str, "a string", default))

    def number(self, key: str, minimum: float, default: float | None = None) -> float:
        """Return the number of a key, which must be at least ``minimum``."""
        value = self.get(key, (int, float), "a number", default)
        if not value >= minimum:
            raise ConfigError(f"want a number of at least {minimum:g}; got {value!r}", self.name(key))
        return float(value)

    def only(self, *known: str) -> None:
        """Check that the object has no keys other than ``known``."""
        for key in self.data:
            if key not in known:
                raise ConfigError(f"no such key; there are {', '.join(known)}", self.name(key))

    def part(self, key: str, default: Any = None) -> Keys:
        """Return the object of a key."""
        return Keys(self.get(key, dict, "an object", default), self.name(key))

    def names(self, key: str) -> tuple[str, ...]:
        """Return the names in a list of strings, or of objects with a ``name``."""
        items = self.get(key, list, "a list", [])
        values = [item.get("name") if isinstance(item, dict) else item for item in items]
        if not all(isinstance(value, str) for value in values):
            raise ConfigError("want names, or objects with a name", self.name(key))
        return tuple(map(str, values))


def optional_address(keys: Keys, key: str) -> Address | None:
    """Return the address of a key; None if the key is absent or empty."""
    return address(keys.data[key], keys.name(key)) if keys.data.get(key) else None


def operator_file(path: Path, read: Callable[[Keys], Result]) -> Result | None:
    """Return the result of ``read`` for a TOML file; None if the file is absent or ``enabled`` is not true.

    Raises:
        ConfigError: with the name of the file and the key at fault.
    """
    if (data := read_toml(path)) is None:
        return None
    keys = Keys(data)
    try:
        return read(keys) if keys.get("enabled", bool, "true or false", default=False) else None
    except ConfigError as problem:
        raise problem.in_file(path.name) from None
