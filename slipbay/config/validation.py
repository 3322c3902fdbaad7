"""Reads operator files under ``deploy/``: TOML, checked against a ``msgspec.Struct``.

Errors name the file, the key and the reason. For a file that is absent or not enabled, only modules of the
standard library are imported.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable
from math import isfinite
from pathlib import Path
from typing import Any, TypeVar, get_args

from slipbay.errors import SlipbayError

T = TypeVar("T")
DEPLOY_FOLDER = Path(__file__).parent.parent.parent / "deploy"
"""The folder of the operator files in a deployment on the platform."""
MIN_KEY_BYTES = 16  # of a key that signs messages
MAX_KEY_BYTES = 32
MAX_NUMBER = 2**63 - 1  # fits in all counters and in all times in us
MAX_DEPTH = 32  # of nested tables; valid files have up to 5 levels
TOO_DEEP = "nested too deeply"


class ConfigError(SlipbayError):
    """An error in the configuration.

    Attributes:
        reason: the fault, and the value that is expected instead.
        key: the key at fault, as a path (``commit.wait_us``); empty if ``reason`` names it.
        file: the name of the file at fault; empty for the platform's configuration.
    """

    def __init__(self, reason: str, key: str = "", file: str = "") -> None:
        super().__init__(": ".join(part for part in (file, key, reason) if part))
        self.reason = reason
        self.key = key
        self.file = file

    def in_file(self, file: str) -> ConfigError:
        """Return the same error with the name of the file at fault."""
        return ConfigError(self.reason, self.key, f"{file}: {self.file}" if self.file else file)


def read_toml(path: Path) -> dict[str, Any] | None:
    """Return the contents of a file; None if it is absent.

    Raises:
        ConfigError: if the file cannot be read, is not TOML, or holds values that ``check_values`` rejects.
    """
    try:
        data = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as problem:
        raise ConfigError(str(problem), file=path.name) from None
    except RecursionError:
        raise ConfigError(TOO_DEEP, file=path.name) from None
    check_values(data, path.name)
    return data


def read_if_enabled(path: Path) -> dict[str, Any] | None:
    """Return the contents of a file without ``enabled``; None if it is absent or ``enabled`` is not true.

    Parts call this before they import their Struct, which is needed only if they are enabled.

    Raises:
        ConfigError: as ``read_toml`` does, or if ``enabled`` is not a boolean.
    """
    if (data := read_toml(path)) is None:
        return None
    enabled = data.pop("enabled", False)
    if not isinstance(enabled, bool):
        raise ConfigError(f"want true or false; got {enabled!r}", "enabled", path.name)
    return data if enabled else None


def read_file(path: Path, kind: type[T]) -> T | None:
    """Return the contents of a file as ``kind``; None if it is absent or ``enabled`` is not true.

    Args:
        path: the operator file.
        kind: a ``msgspec.Struct`` with ``forbid_unknown_fields=True``.

    Raises:
        ConfigError: with the name of the file and the key at fault.
    """
    data = read_if_enabled(path)
    return convert(data, kind, path.name) if data is not None else None


def convert(data: object, kind: type[T], name: str, table: str = "") -> T:
    """Convert the contents of a file, or of one of its tables, to ``kind``.

    Raises:
        ConfigError: with the name of the file and the key at fault.
    """
    require_msgspec(name)
    import msgspec

    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as problem:
        key, reason = _explain(str(problem), data, kind)
        raise ConfigError(reason, f"{table}.{key}".strip(".") or "all", name) from None


def _explain(text: str, data: object, kind: Any) -> tuple[str, str]:
    """Return the key and the reason of msgspec's message, in the form of ``ConfigError``."""
    text, _, location = text.partition(" - at `")
    key = location.removesuffix("`").removeprefix("$").lstrip(".")
    path = re.findall(r"[^.\[\]]+", key)
    field = re.search(r"(unknown|required) field `(.*?)`", text)
    if field is not None:
        reason = "missing" if field[1] == "required" else f"no such key; there are {_known_keys(kind, path)}"
        return f"{key}.{field[2]}", reason
    choices = get_args(_type(kind, path)) if text.startswith("Invalid enum value") else ()
    expected = f"want {' or '.join(map(repr, choices))}" if choices else text
    return key, expected + _got(data, path)


def require_msgspec(name: str, extra: str = "fleet") -> None:
    """Check that msgspec is installed, before the Struct of an enabled file is imported.

    Raises:
        ConfigError: if it is not; the error names the extra to install.
    """
    try:
        import msgspec  # noqa: F401
    except ImportError as problem:
        raise ConfigError(f"want the extra packages of slipbay[{extra}]: {problem}", file=name) from None


def read_first_line(file: Path, key: str) -> bytes:
    """Return line 1 of a file that holds a secret. ``key`` is the key of the configuration that names the
    file.

    Raises:
        ConfigError: if the file cannot be read.
    """
    try:
        return file.read_bytes().split(b"\n")[0]
    except OSError as problem:
        raise ConfigError(f"{file} cannot be read: {problem.strerror}", key) from None


def read_key(file: Path, key: str) -> bytes:
    """Return the key for signing messages that line 1 of a file holds.

    Raises:
        ConfigError: if the file cannot be read, or the key is too short or too long.
    """
    signing_key = read_first_line(file, key).strip()
    if not MIN_KEY_BYTES <= len(signing_key) <= MAX_KEY_BYTES:
        raise ConfigError(
            f"want {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in line 1; got {len(signing_key)}", key
        )
    return signing_key


def check_values(data: object, file: str = "", path: str = "", depth: int = 0) -> None:
    """Reject values that JSON and TOML can express and that no setting can use.

    These are ``inf`` and ``nan``, numbers that do not fit in 64 bits, NUL, which no path may contain, lone
    surrogates, and nesting deeper than ``MAX_DEPTH``.

    Raises:
        ConfigError: with ``file`` and the path of the value.
    """
    if isinstance(data, float) and not isfinite(data):
        raise ConfigError(f"want a finite number; got {data!r}", path, file)
    if isinstance(data, int | float) and abs(data) > MAX_NUMBER:
        raise ConfigError(f"want a number of at most {MAX_NUMBER}", path, file)
    if isinstance(data, str):
        _check_text(data, path, file)
    if depth > MAX_DEPTH:
        raise ConfigError(TOO_DEEP, path, file)
    for key, value in _items(data):
        if isinstance(key, str):
            _check_text(key, path, file)
        inner = f"{path}[{key}]" if isinstance(key, int) else f"{path}.{key}".lstrip(".")
        check_values(value, file, inner, depth + 1)


def _items(data: object) -> Iterable[tuple[Any, object]]:
    if isinstance(data, dict):
        return data.items()
    if isinstance(data, list):
        return enumerate(data)
    return ()


def _check_text(text: str, path: str, file: str) -> None:
    try:
        text.encode()
    except UnicodeEncodeError:
        raise ConfigError(f"want text that is valid Unicode; got {text!r}", path, file) from None
    if "\0" in text:
        raise ConfigError(f"want text without NUL; got {text!r}", path, file)


def _got(data: object, path: list[str]) -> str:
    """Return the value at ``path`` for the end of an error message; empty if there is none."""
    try:
        for key in path:
            data = data[int(key)] if isinstance(data, list) else data[key]  # type: ignore[index]
    except (KeyError, ValueError, IndexError, TypeError):
        return ""
    return f"; got {data!r}"


def _type(kind: Any, path: list[str]) -> Any:
    """Return the type that the Struct declares at ``path``; None if it declares none."""
    from msgspec.structs import fields

    try:
        for key in path:
            kind = {field.encode_name: field.type for field in fields(kind)}[key]
    except (KeyError, TypeError):
        return None
    return kind


def _known_keys(kind: Any, path: list[str]) -> str:
    """Return the valid keys of the table at ``path``."""
    from msgspec.structs import fields

    table_type = _type(kind, path)
    return (
        ", ".join(field.encode_name for field in fields(table_type)) if table_type is not None else "others"
    )
