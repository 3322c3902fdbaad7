"""Generates a variant of a deployment from a kit's site file and a change file.

    python deploy/sites/lay.py ../given/kit/sites/sapporo-main.toml deploy/sites/VARIANT.changes.toml

writes ``deploy/sites/laid/VARIANT/VARIANT.toml``, sets the site's name to VARIANT, and copies the site's side
files to that folder. A change file contains only the values that differ in the variant:

- a table changes the keys of the site's table of that name, at any depth;
- an array of tables (``[[class]]``) replaces the site's whole array;
- a table where the site has an array of tables (``[tier]`` for ``[[tier]]``) changes each table of the array;
- a key that the site does not have is an error, unless ``new_keys`` at the top of the change file lists its
  dotted path (``new_keys = ["fam.page"]``).

The script needs only the standard library.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import sys
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CHANGES_SUFFIX = ".changes.toml"
VARIANTS_FOLDER = Path(__file__).parent / "laid"  # ignored by git, because it holds files of the kit
WIRE_FILE = "wire.json"
SIDE_FILES = ("real.json", "unlock.txt", "design.json")  # copied if they are in the site's folder
BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")

Table = Mapping[str, Any]
Tables = Sequence[Table]


@dataclass(eq=False)
class SiteError(Exception):
    """A variant cannot be generated.

    ``key`` is the dotted path of the faulty key in ``file``, or "" for the whole file.
    """

    file: Path
    key: str
    reason: str

    def __str__(self) -> str:
        return ": ".join(part for part in (str(self.file), self.key, self.reason) if part)


@dataclass(frozen=True)
class Changes:
    """The contents of a change file."""

    file: Path
    table: Table
    new_keys: frozenset[str]  # dotted paths of keys that the site may lack

    @property
    def variant(self) -> str:
        """The variant's name."""
        return self.file.name.removesuffix(CHANGES_SUFFIX)

    def error(self, path: str, reason: str) -> SiteError:
        """Return an error about the key at ``path``."""
        return SiteError(self.file, path, reason)


def write_variant(base: Path, changes_file: Path, variants_folder: Path = VARIANTS_FOLDER) -> Path:
    """Write the variant and its side files to a folder of its own; return its site file."""
    changes = read_changes(changes_file)
    site = apply_changes(read_toml(base), changes) | {"name": changes.variant, "wire": WIRE_FILE}
    wire = _wire_of(base)
    folder = variants_folder / changes.variant
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(wire, folder / WIRE_FILE)
    for name in SIDE_FILES:
        if (base.parent / name).is_file():
            shutil.copyfile(base.parent / name, folder / name)
        else:
            (folder / name).unlink(missing_ok=True)  # left from an earlier run with another site
    written = folder / f"{changes.variant}.toml"
    written.write_text(to_toml(site), encoding="utf-8")
    return written


def read_toml(file: Path) -> dict[str, Any]:
    """Return the table of a TOML file."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SiteError(file, "", error.strerror or str(error)) from error
    except ValueError as error:
        raise SiteError(file, "", f"not TOML: {error}") from error


def read_changes(file: Path) -> Changes:
    """Read a change file and remove ``new_keys`` from its table."""
    if not file.name.endswith(CHANGES_SUFFIX):
        raise SiteError(file, "", f"the name of a change file must end in {CHANGES_SUFFIX}")
    table = read_toml(file)
    new_keys = table.pop("new_keys", [])
    if not isinstance(new_keys, list) or not all(isinstance(path, str) for path in new_keys):
        raise SiteError(file, "new_keys", "is not a list of dotted paths")
    changes = Changes(file, table, frozenset(new_keys))
    for key in ("name", "wire"):
        if key in table:
            raise changes.error(
                key, "is set by the script, from the change file's name and the site's wire file"
            )
    return changes


def _wire_of(base: Path) -> Path:
    """Return the wire file that the site names; it may be in another folder."""
    named = read_toml(base).get("wire")
    if not isinstance(named, str):
        raise SiteError(base, "wire", "names no file")
    if not (base.parent / named).is_file():
        raise SiteError(base, "wire", f"names {named}, which is not there")
    return base.parent / named


def apply_changes(base: Table, changes: Changes) -> dict[str, Any]:
    """Return the site with the changes applied; the module's docstring has the rules."""
    return _change_table(base, changes.table, changes, "")


def _change_table(base: Table, change: Table, changes: Changes, path: str) -> dict[str, Any]:
    result = dict(base)
    for key, value in change.items():
        key_path = f"{path}.{key}" if path else key
        if key in base:
            result[key] = _change_value(base[key], value, changes, key_path)
        elif key_path in changes.new_keys:
            result[key] = value
        else:
            raise changes.error(key_path, "the site has no such key, and new_keys does not name it")
    return result


def _change_value(base: Any, change: Any, changes: Changes, path: str) -> Any:
    if isinstance(base, dict):
        if not isinstance(change, dict):
            raise changes.error(path, "is a table in the site")
        return _change_table(base, change, changes, path)
    if _is_tables(base):
        if isinstance(change, dict):
            return [_change_table(item, change, changes, path) for item in base]
        if not _is_tables(change):
            raise changes.error(path, "is an array of tables in the site")
        _check_keys(base, change, changes, path)
        return change
    if isinstance(change, dict) or _is_tables(change):
        raise changes.error(path, "is a plain value in the site")
    return change


def _check_keys(base: Tables, replacement: Tables, changes: Changes, path: str) -> None:
    """Reject keys of the replacement that no table of the replaced array has."""
    known = {key: value for table in base for key, value in table.items()}
    for table in replacement:
        _change_table(known, table, changes, path)


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(item, dict) for item in value)


def to_toml(table: Table) -> str:
    """Format a table as TOML.

    It may contain plain values, arrays of them, tables and arrays of tables.
    """
    return "\n".join(_table_lines(table, ())).strip("\n") + "\n"


def _table_lines(table: Table, path: tuple[str, ...]) -> Iterator[str]:
    """Yield plain values first: after a header they would belong to the table of that header."""
    nested = {key: value for key, value in table.items() if isinstance(value, dict) or _is_tables(value)}
    for key, value in table.items():
        if key not in nested:
            yield f"{_key(key)} = {_value(value)}"
    for key, value in nested.items():
        inner = (*path, key)
        header = ".".join(map(_key, inner))
        tables, title = ([value], f"[{header}]") if isinstance(value, dict) else (value, f"[[{header}]]")
        for item in tables:
            yield ""
            yield title
            yield from _table_lines(item, inner)


def _key(key: str) -> str:
    return key if BARE_KEY.fullmatch(key) else _string(key)


def _value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return _string(value)
    if isinstance(value, list):
        return f"[{', '.join(map(_value, value))}]"
    raise TypeError(f"a site file cannot hold a {type(value).__name__} here: {value!r}")


def _string(text: str) -> str:
    """Format a TOML string.

    The escapes of JSON are valid in TOML; DEL, which JSON leaves as it is, needs one too.
    """
    return json.dumps(text, ensure_ascii=False).replace("\x7f", "\\u007f")


def main() -> None:
    """Generate the variant that the command line names, and print its path."""
    parser = argparse.ArgumentParser(
        description="Generate a variant of a kit's site; the top of this file has the rules."
    )
    parser.add_argument("site", type=Path, help="the kit's site file")
    parser.add_argument("changes", type=Path, help=f"the change file, VARIANT{CHANGES_SUFFIX}")
    arguments = parser.parse_args()
    try:
        print(write_variant(arguments.site, arguments.changes))
    except SiteError as error:
        sys.exit(str(error))


if __name__ == "__main__":
    main()
