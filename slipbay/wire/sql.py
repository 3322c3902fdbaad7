"""Inspects SQL statements with a tokenizer, without a grammar: table group, verb, hints."""

from __future__ import annotations

import re
from dataclasses import dataclass

_TOKEN_PATTERN = re.compile(
    r"""
    (?P<comment>--[^\n]*|\#[^\n]*|/\*.*?(?:\*/|\Z))
  | (?P<string>'(?:[^'\\]|\\.|'')*(?:'|\Z))
  | (?P<variable>@@?[\w$.`]+)
  | (?P<name>(?:[A-Za-z_][\w$]*|`(?:[^`]|``)*`|"(?:[^"\\]|\\.|"")*")
       (?:\s*\.\s*(?:[A-Za-z_][\w$]*|`(?:[^`]|``)*`|"(?:[^"\\]|\\.|"")*"|\*))*)
  | (?P<mark>[(),;])
""",
    re.X | re.S,
)
_NAME_PART_PATTERN = re.compile(r"""`(?:[^`]|``)*`|"(?:[^"\\]|\\.|"")*"|[^.\s]+""", re.S)
_SCHEMA_PATTERN = re.compile(r"(\w*)_(\d{1,9})")
_KEYWORDS_BEFORE_TABLES = {"from", "join", "into", "update", "table"}
_KEYWORDS_WITHIN_TABLES = {"as", "only", "lateral", "ignore", "low_priority", "if", "exists"}


def table_group(statement: str) -> int:
    """The table group of the first table in a schema with a numeric suffix; 0 if there is none.

    Only names in the position of a table count, as an alias such as ``t_1`` before a column looks the same.
    """
    expects_table = in_table_list = False
    for token in _TOKEN_PATTERN.finditer(statement):
        if token["name"] is not None:
            name = token["name"]
            keyword = name.lower()
            if keyword in _KEYWORDS_BEFORE_TABLES:
                expects_table = in_table_list = True
            elif expects_table and keyword not in _KEYWORDS_WITHIN_TABLES:
                expects_table = False
                group = _group(name)
                if group is not None:
                    return group
            elif in_table_list and keyword in (
                "where",
                "set",
                "on",
                "group",
                "order",
                "values",
                "select",
                "having",
            ):
                in_table_list = False
        elif token["mark"] == "," and in_table_list:
            expects_table = True
        elif token["mark"] == ")":
            expects_table = False
    return 0


def _group(name: str) -> int | None:
    parts = [part.strip('`"') for part in _NAME_PART_PATTERN.findall(name)]
    for schema in parts[:-1]:
        match = _SCHEMA_PATTERN.fullmatch(schema)
        if match and match[1].lower() != "staging":
            return int(match[2])
    return None


@dataclass(slots=True, frozen=True)
class Outline:
    """Properties of a statement that its tokens show."""

    verb: str  # its first word, in lower case
    words: frozenset[str]  # words outside of strings, comments and quoted names
    has_variables: bool  # user variables, which are part of the session's state
    has_hidden_code: bool  # comments that the engine may run

    @property
    def is_read_only(self) -> bool:
        """Whether the statement only reads, so that it can be repeated; false if that is uncertain."""
        if self.has_hidden_code or not self.words.isdisjoint(("into", "update", "share")):
            return False
        if self.verb == "with":
            return self.words.isdisjoint(("insert", "delete", "replace"))
        return self.verb in ("select", "show", "explain", "describe", "desc", "table", "values")


def outline(statement: str) -> Outline:
    """Properties of a statement; its strings and comments are ignored."""
    words: list[str] = []
    has_variables = has_hidden_code = False
    for token in _TOKEN_PATTERN.finditer(statement):
        if token["comment"] is not None:
            has_hidden_code |= token["comment"].startswith("/*!")
        elif token["variable"] is not None:
            has_variables |= not token["variable"].startswith("@@")
        elif token["name"] is not None and token["name"].isidentifier():
            words.append(token["name"].lower())
    return Outline(words[0] if words else "", frozenset(words), has_variables, has_hidden_code)


def hints(statement: str, mark: str) -> dict[str, str]:
    """Hints in a comment: ``{"class": "report"}`` for ``/* mark: class=report */``."""
    for token in _TOKEN_PATTERN.finditer(statement):
        words = (token["comment"] or "").removeprefix("/*").removesuffix("*/").split()
        if words and words[0].rstrip(":") == mark:
            return dict(option.split("=", 1) for option in words[1:] if "=" in option)
    return {}
