"""Finds the group of tables in a statement: the number in its schema's name, 17 in ``sales_17.orders``."""

from __future__ import annotations

import re

_TOKEN = re.compile(r"""
    (?P<comment>--[^\n]*|\#[^\n]*|/\*.*?(?:\*/|\Z))
  | (?P<string>'(?:[^'\\]|\\.|'')*(?:'|\Z))
  | (?P<name>(?:[A-Za-z_][\w$]*|`(?:[^`]|``)*`|"(?:[^"\\]|\\.|"")*")
       (?:\s*\.\s*(?:[A-Za-z_][\w$]*|`(?:[^`]|``)*`|"(?:[^"\\]|\\.|"")*"|\*))*)
  | (?P<mark>[(),;])
""", re.X | re.S)
_PART = re.compile(r"""`(?:[^`]|``)*`|"(?:[^"\\]|\\.|"")*"|[^.\s]+""", re.S)
_SCHEMA = re.compile(r"(\w*)_(\d{1,9})")
_BEFORE_TABLES = {"from", "join", "into", "update", "table"}
_WITHIN_TABLES = {"as", "only", "lateral", "ignore", "low_priority", "if", "exists"}


def table_group(statement: str) -> int:
    """The group of the first table that the statement names; 0 where it names none with a number.

    Names count where a table can stand: an alias such as ``t_1`` before a column says nothing.
    """
    expecting = listing = False
    for token in _TOKEN.finditer(statement):
        if token["name"] is not None:
            name = token["name"]
            word = name.lower()
            if word in _BEFORE_TABLES:
                expecting = listing = True
            elif expecting and word not in _WITHIN_TABLES:
                expecting = False
                group = _group(name)
                if group is not None:
                    return group
            elif listing and word in ("where", "set", "on", "group", "order", "values", "select", "having"):
                listing = False
        elif token["mark"] == "," and listing:
            expecting = True
        elif token["mark"] == ")":
            expecting = False
    return 0


def _group(name: str) -> int | None:
    parts = [part.strip('`"') for part in _PART.findall(name)]
    for schema in parts[:-1]:
        found = _SCHEMA.fullmatch(schema)
        if found and found[1].lower() != "staging":
            return int(found[2])
    return None
