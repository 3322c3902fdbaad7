"""Lay a variant of a deployment: a kit's site file with what a change file alters, and the files beside it.

    python deploy/sites/lay.py ../given/kit/sites/sapporo-main.toml deploy/sites/VARIANT.changes.toml

writes ``deploy/sites/laid/VARIANT/VARIANT.toml``, whose name is the variant's, and copies the site's side
files there. A change file holds nothing but the variant's own values:

- a table changes the site's table of that name, key by key, at any depth;
- an array of tables (``[[class]]``) replaces the site's whole array;
- a table in the place of an array of tables (``[tier]`` for ``[[tier]]``) changes each of the array's tables;
- a key that the site does not have is an error, unless ``new_keys`` at the top of the change file names it by
  its dotted path (``new_keys = ["fam.page"]``).

Needs the standard library alone.
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
LAID = Path(__file__).parent / "laid"  # ignored by git: it holds what is the kit's
WIRE_FILE = "wire.json"
SIDE_FILES = ("real.json", "unlock.txt", "design.json")  # copied where they are beside the site
BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")

Table = Mapping[str, Any]
Tables = Sequence[Table]


@dataclass(eq=False)
class SiteError(Exception):
    """Why a variant can't be laid: the file at fault, the key by its dotted path ("" for the whole file)."""

    file: Path
    key: str
    reason: str

    def __str__(self) -> str:
        return ": ".join(part for part in (str(self.file), self.key, self.reason) if part)


@dataclass(frozen=True)
class Changes:
    """A change file as read."""

    file: Path
    table: Table
    new_keys: frozenset[str]  # dotted paths that the site need not have

    @property
    def variant(self) -> str:
        """The variant's name."""
        return self.file.name.removesuffix(CHANGES_SUFFIX)

    def error(self, path: str, reason: str) -> SiteError:
        """What is wrong with the key at ``path``."""
        return SiteError(self.file, path, reason)


def lay(base: Path, changes_file: Path, laid: Path = LAID) -> Path:
    """Write the variant and its side files into a folder of its own under ``laid``; return the site file."""
    changes = read_changes(changes_file)
    site = merged(read_toml(base), changes) | {"name": changes.variant, "wire": WIRE_FILE}
    wire = _wire_of(base)
    folder = laid / changes.variant
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(wire, folder / WIRE_FILE)
    for name in SIDE_FILES:
        if (base.parent / name).is_file():
            shutil.copyfile(base.parent / name, folder / name)
        else:
            (folder / name).unlink(missing_ok=True)  # of a variant laid on another site before
    written = folder / f"{changes.variant}.toml"
    written.write_text(to_toml(site), encoding="utf-8")
    return written


def read_toml(file: Path) -> dict[str, Any]:
    """The file's table."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SiteError(file, "", error.strerror or str(error)) from error
    except ValueError as error:
        raise SiteError(file, "", f"not TOML: {error}") from error


def read_changes(file: Path) -> Changes:
    """The change file, with ``new_keys`` taken out of its table."""
    if not file.name.endswith(CHANGES_SUFFIX):
        raise SiteError(file, "", f"a change file's name ends in {CHANGES_SUFFIX}")
    table = read_toml(file)
    new_keys = table.pop("new_keys", [])
    if not isinstance(new_keys, list) or not all(isinstance(path, str) for path in new_keys):
        raise SiteError(file, "new_keys", "is not a list of dotted paths")
    changes = Changes(file, table, frozenset(new_keys))
    for own in ("name", "wire"):
        if own in table:
            raise changes.error(
                own, "is set by the script: the file's name, and the wire file beside the site"
            )
    return changes


def _wire_of(base: Path) -> Path:
    """The wire file that the site names, which may lie in another folder."""
    named = read_toml(base).get("wire")
    if not isinstance(named, str):
        raise SiteError(base, "wire", "names no file")
    if not (base.parent / named).is_file():
        raise SiteError(base, "wire", f"names {named}, which is not there")
    return base.parent / named


def merged(base: Table, changes: Changes) -> dict[str, Any]:
    """The site with the changes made; see the module's text for the rules."""
    return _change_table(base, changes.table, changes, "")


def _change_table(base: Table, change: Table, changes: Changes, path: str) -> dict[str, Any]:
    result = dict(base)
    for key, value in change.items():
        here = f"{path}.{key}" if path else key
        if key in base:
            result[key] = _change_value(base[key], value, changes, here)
        elif here in changes.new_keys:
            result[key] = value
        else:
            raise changes.error(here, "the site has no such key, and new_keys does not name it")
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
    """Every key of the replacement must be in some table of the array that it replaces."""
    known = {key: value for table in base for key, value in table.items()}
    for table in replacement:
        _change_table(known, table, changes, path)


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(item, dict) for item in value)


def to_toml(table: Table) -> str:
    """The table as TOML: plain values and arrays of them, tables, and arrays of tables."""
    return "\n".join(_table_lines(table, ())).strip("\n") + "\n"


def _table_lines(table: Table, path: tuple[str, ...]) -> Iterator[str]:
    """Plain values come first: below a header, they would belong to that header's table."""
    below = {key: value for key, value in table.items() if isinstance(value, dict) or _is_tables(value)}
    for key, value in table.items():
        if key not in below:
            yield f"{_key(key)} = {_value(value)}"
    for key, value in below.items():
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
    raise TypeError(f"site files hold no {type(value).__name__} here: {value!r}")


def _string(text: str) -> str:
    """JSON's escapes are TOML's too, but for the one control character that JSON leaves as it is."""
    return json.dumps(text, ensure_ascii=False).replace("\x7f", "\\u007f")


def main() -> None:
    """Lay the variant that the command line names, and print where it is."""
    parser = argparse.ArgumentParser(description="Lay a variant of a kit's site; see the top of this file.")
    parser.add_argument("site", type=Path, help="the kit's site file")
    parser.add_argument("changes", type=Path, help=f"what the variant changes: VARIANT{CHANGES_SUFFIX}")
    arguments = parser.parse_args()
    try:
        print(lay(arguments.site, arguments.changes))
    except SiteError as error:
        sys.exit(str(error))


if __name__ == "__main__":
    main()
