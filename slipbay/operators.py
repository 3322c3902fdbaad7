"""Operator files under ``deploy/``: TOML, checked against a ``msgspec.Struct``. Mistakes name file, key and
reason. A file that is absent or off loads nothing beyond the standard library."""

from __future__ import annotations

import re
import tomllib
from math import isfinite
from pathlib import Path
from typing import Any, TypeVar, get_args

T = TypeVar("T")
KEY_BYTES = 16, 32  # of a key that seals messages, at least and at most


class ConfigError(Exception):
    """The text names the key and says what is wanted of it."""


def switched_on(path: Path) -> dict[str, Any] | None:
    """What a file says beside ``enabled = true``; None where it is absent or does not say that. A part whose
    Struct is to be loaded only where it is on asks this first. Raises ``ConfigError``."""
    try:
        data = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as problem:
        raise ConfigError(f"{path.name}: {problem}") from None
    finite(data, path.name)
    enabled = data.pop("enabled", False)
    if not isinstance(enabled, bool):
        raise ConfigError(f"{path.name}: enabled: want true or false; got {enabled!r}")
    return data if enabled else None


def read_file(path: Path, kind: type[T]) -> T | None:
    """What a file says, as ``kind``, a Struct with ``forbid_unknown_fields=True``; None where it is absent or
    does not say ``enabled = true``. Raises ``ConfigError``."""
    data = switched_on(path)
    return convert(data, kind, path.name) if data is not None else None


def convert(data: object, kind: type[T], name: str, table: str = "") -> T:
    """Checks what a file named ``name`` held, in ``table`` or in all of it. Raises ``ConfigError``."""
    need_msgspec(name)
    import msgspec

    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as problem:
        text, _, place = str(problem).partition(" - at `")
        key = place.removesuffix("`").removeprefix("$").lstrip(".")
        path = re.findall(r"[^.\[\]]+", key)
        unknown = re.search(r"(unknown|required) field `(.*?)`", text)
        if unknown is None:
            choices = get_args(_type(kind, path)) if text.startswith("Invalid enum value") else ()
            text = (f"want {' or '.join(map(repr, choices))}" if choices else text) + _got(data, path)
        else:
            key = f"{key}.{unknown[2]}"
            text = "missing" if unknown[1] == "required" else f"no such key; there are {_known(kind, path)}"
        raise ConfigError(f"{name}: {f'{table}.{key}'.strip('.') or 'all'}: {text}") from None


def need_msgspec(name: str, extra: str = "fleet") -> None:
    """For a file that is on, before its form is loaded. Raises ``ConfigError``."""
    try:
        import msgspec  # noqa: F401
    except ImportError as problem:
        raise ConfigError(f"{name}: want the extra packages of slipbay[{extra}]: {problem}") from None


def read_key(file: Path, key: str) -> bytes:
    """The key that line 1 of a file holds. ``key``: of the operator file, which names it. Raises
    ``ConfigError``."""
    try:
        found = file.read_bytes().split(b"\n")[0].strip()
    except OSError as problem:
        raise ConfigError(f"{key}: {file} cannot be read: {problem.strerror}") from None
    if not KEY_BYTES[0] <= len(found) <= KEY_BYTES[1]:
        raise ConfigError(f"{key}: want {KEY_BYTES[0]} to {KEY_BYTES[1]} bytes in line 1; got {len(found)}")
    return found


def finite(data: object, name: str, path: str = "") -> None:
    """TOML can say ``inf`` and ``nan``, of which nothing can be made. Raises ``ConfigError``."""
    items = data.items() if isinstance(data, dict) else enumerate(data) if isinstance(data, list) else ()
    for key, value in items:
        at = f"{path}[{key}]" if isinstance(key, int) else f"{path}.{key}".lstrip(".")
        if isinstance(value, float) and not isfinite(value):
            raise ConfigError(f"{name}: {at}: want a finite number; got {value!r}")
        finite(value, name, at)


def _got(data: object, path: list[str]) -> str:
    """What stands at the faulty place, as far as it can be told."""
    try:
        for key in path:
            data = data[int(key)] if isinstance(data, list) else data[key]  # type: ignore[index]
    except (KeyError, ValueError, IndexError, TypeError):
        return ""
    return f"; got {data!r}"


def _type(kind: Any, path: list[str]) -> Any:
    """Of the place, as the Struct declares it; None where it can't be told."""
    from msgspec.structs import fields

    try:
        for key in path:
            kind = {field.encode_name: field.type for field in fields(kind)}[key]
    except (KeyError, TypeError):
        return None
    return kind


def _known(kind: Any, path: list[str]) -> str:
    """Keys that the table at the place may have."""
    from msgspec.structs import fields

    found = _type(kind, path)
    return ", ".join(field.encode_name for field in fields(found)) if found is not None else "others"
