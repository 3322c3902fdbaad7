"""Inspects SQL statements without a grammar: table group, kind of statement, hints.

Statements come from clients and are inspected in the event loop. For any text, well formed or not, the time
must grow no faster than its length, and memory must stay constant. Repetitions in the patterns are possessive
(``*+``), so nothing is tried a second time. A scan ends at a string, quoted name or comment that has no end,
so the text behind it is not read again from each quote in it.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice

# A list of columns looks like a list of tables; MySQL allows 4,096 columns in a table
MAX_TABLE_POSITIONS = 5000
MAX_NAME_PARTS = 4  # catalog, schema, table, column

KEYWORDS_BEFORE_TABLES = ("from", "join", "into", "update", "table")
KEYWORDS_WITHIN_TABLES = ("as", "only", "lateral", "ignore", "low_priority", "if", "exists")
KEYWORDS_AFTER_TABLES = ("where", "set", "on", "group", "order", "values", "select", "having")

READ_VERBS = frozenset(("select", "show", "explain", "describe", "desc", "table", "values", "with"))
PREFIX_VERBS = frozenset(("with", "explain", "describe", "desc"))  # a statement of any kind may follow
LOCKING_WORDS = frozenset(("into", "update", "share"))  # a SELECT with one of them writes or locks
WRITE_WORDS = frozenset(("insert", "delete", "replace"))  # verbs of writes, also names of functions
SESSION_WORDS = frozenset(  # they depend on the state of a session, or change it
    (
        "temporary",
        "get_lock",
        "release_lock",
        "release_all_locks",
        "is_free_lock",
        "is_used_lock",
        "last_insert_id",
        "found_rows",
        "row_count",
        "connection_id",
        "sql_calc_found_rows",
    )
)

# Parts of patterns, all for re.VERBOSE and re.DOTALL
_STRING = r"'(?:[^'\\]++|\\.|'')*+'"
_DOUBLE_QUOTED = r'"(?:[^"\\]++|\\.|"")*+"'
_PLAIN_STRING = r"'(?:[^']++|'')*+'"  # as engines with NO_BACKSLASH_ESCAPES read it
_PLAIN_DOUBLE_QUOTED = r'"(?:[^"]++|"")*+"'  # as engines with NO_BACKSLASH_ESCAPES or ANSI_QUOTES read it
_BACKTICKED = r"`(?:[^`]++|``)*+`"
_DASHES = (
    r"--(?=[\x00-\x20\x7f]|\Z)"  # two dashes begin a comment only before white space or a control character
)
_LINE_COMMENT = rf"(?:{_DASHES}|\#)[^\n]*+"
_BLOCK_COMMENT = r"/\*.*?\*/"
_CODE_COMMENT = r"/\*M?!"  # its beginning; MySQL and MariaDB run what is in it
_SYSTEM_VARIABLE = r"@@[\w$.`]++"
_USER_VARIABLE = r"@[\w$.`]++"
_LONE_MARK = r"/+(?!\*) | -(?!-(?:[\x00-\x20\x7f]|\Z)) | @+(?!@?[\w$.`])"
_WORD = r"[A-Za-z_][\w$]*+"
_NAME_PART = rf"(?:{_WORD}|{_BACKTICKED}|{_DOUBLE_QUOTED})"
_NAME = rf"{_NAME_PART}(?:\s*+\.\s*+(?:{_NAME_PART}|\*))*+"
_NOT_QUALIFIED = r'(?!\s*+\.\s*+[A-Za-z_`"*])'


def _keyword(words: Iterable[str]) -> str:
    """The pattern of a word of ``words`` that is not a part of a longer or a qualified name."""
    return rf"(?i:{'|'.join(words)})(?![\w$]){_NOT_QUALIFIED}"


def _scanner(ignored: Iterable[str], wanted: str, wanted_mark: str = "") -> re.Pattern[str]:
    """A pattern that passes over ``ignored`` tokens and ends with the first ``wanted`` one.

    White space, digits and marks that begin no token are always ignored, but for ``wanted_mark``.
    """
    plain = rf"[^'\"`\#/\-@A-Za-z_{wanted_mark}]*+"
    tokens = " | ".join((*ignored, _LONE_MARK, _STRING, _LINE_COMMENT, _SYSTEM_VARIABLE))
    return re.compile(rf"{plain}(?:(?:{tokens}){plain})*+(?:{wanted})", re.VERBOSE | re.DOTALL)


_BEFORE_TABLE = _keyword(KEYWORDS_BEFORE_TABLES)
_WITHIN_TABLES = _keyword(KEYWORDS_WITHIN_TABLES)
_AFTER_TABLES = _keyword(KEYWORDS_AFTER_TABLES)
_TABLE_KEYWORD = _scanner((rf"(?!{_BEFORE_TABLE}){_NAME}", _BLOCK_COMMENT, _USER_VARIABLE), _BEFORE_TABLE)
_NEXT_IN_TABLE_LIST = _scanner(
    (rf"(?!{_BEFORE_TABLE}|{_AFTER_TABLES}){_NAME}", _BLOCK_COMMENT, _USER_VARIABLE),
    rf",|{_BEFORE_TABLE}|(?P<list_end>{_AFTER_TABLES})",
    wanted_mark=",",
)
_TABLE_NAME = _scanner(
    (_BEFORE_TABLE, _WITHIN_TABLES, _BLOCK_COMMENT, _USER_VARIABLE),
    rf"(?P<name>{_NAME})|\)",
    wanted_mark=")",
)
_NAME_PARTS = re.compile(rf"{_NAME_PART}|\*", re.VERBOSE | re.DOTALL)
_SCHEMA = re.compile(r"(\w*)_(\d{1,9})")

_VERB = _scanner(
    (rf"(?!{_WORD}{_NOT_QUALIFIED}){_NAME}", _BLOCK_COMMENT, _USER_VARIABLE), rf"(?P<verb>{_WORD})"
)
_SIGNIFICANT_WORD = _keyword((*LOCKING_WORDS, *WRITE_WORDS, *SESSION_WORDS))
_SIGNIFICANT_TOKEN = _scanner(
    (rf"(?!{_SIGNIFICANT_WORD}){_NAME}", rf"(?!{_CODE_COMMENT}){_BLOCK_COMMENT}"),
    rf"(?P<word>{_SIGNIFICANT_WORD}) | (?P<code>{_CODE_COMMENT}) | (?P<variable>{_USER_VARIABLE})"
    r" | (?P<separator>;[\s;]*+) | (?P<end>\Z)",
    wanted_mark=";",
)
_TRAILER = re.compile(rf"(?:[\s;]++|{_LINE_COMMENT}|(?!{_CODE_COMMENT}){_BLOCK_COMMENT})*+\Z", re.DOTALL)


def _with_quotes(token: re.Pattern[str], string: str, double_quoted: str) -> re.Pattern[str]:
    """The same pattern for engines that read quotes by other rules."""
    pattern = token.pattern.replace(_STRING, string).replace(_DOUBLE_QUOTED, double_quoted)
    return re.compile(pattern, token.flags)


_OTHER_SIGNIFICANT_TOKENS = (
    _with_quotes(_SIGNIFICANT_TOKEN, _PLAIN_STRING, _PLAIN_DOUBLE_QUOTED),
    _with_quotes(_SIGNIFICANT_TOKEN, _STRING, _PLAIN_DOUBLE_QUOTED),
)
"""For statements with backslashes, as the engine's ``sql_mode`` decides what they mean."""


def table_group(statement: str) -> int:
    """The table group of the first table in a schema with a numeric suffix; 0 if there is none.

    Only names in the position of a table count, as an alias such as ``t_1`` before a column looks the same.
    The first ``MAX_TABLE_POSITIONS`` of them are read.
    """
    scanner = _TABLE_KEYWORD
    position = 0
    for _ in range(MAX_TABLE_POSITIONS):
        found = scanner.match(statement, position)
        if found is None:
            return 0
        position = found.end()
        if found.lastgroup == "list_end":
            scanner = _TABLE_KEYWORD
            continue
        scanner = _NEXT_IN_TABLE_LIST
        table = _TABLE_NAME.match(statement, position)
        if table is None:
            return 0
        position = table.end()
        group = _group(table["name"] or "")
        if group is not None:
            return group
    return 0


def _group(name: str) -> int | None:
    if "_" not in name:
        return None
    parts = [part[0] for part in islice(_NAME_PARTS.finditer(name), MAX_NAME_PARTS)]
    for schema in parts[:-1]:
        match = _SCHEMA.fullmatch(schema.strip('`"'))
        if match and match[1].lower() != "staging":
            return int(match[2])
    return None


@dataclass(slots=True, frozen=True)
class Outline:
    """Properties of a statement that its tokens show."""

    verb: str  # its first word, in lower case
    words: frozenset[str]  # those of LOCKING_WORDS, WRITE_WORDS and SESSION_WORDS that it has
    has_variables: bool  # user variables, which are part of the session's state
    has_hidden_code: bool  # comments that the engine may run
    is_cut_off: bool  # it ends within a string, a quoted name or a comment
    is_several: bool  # further statements follow the first
    is_read_only: bool  # it only reads, so that it can be repeated; false if that is uncertain


@dataclass(slots=True, frozen=True)
class _Scan:
    """What one pass over the tokens of a statement has found."""

    words: frozenset[str]
    last_token: str | None  # the kind of token at which it stopped; None: at one without an end
    is_several: bool = False

    def only_reads(self, verb: str) -> bool:
        """Whether a statement with this verb and these tokens certainly only reads."""
        if self.last_token != "end" or self.is_several or verb not in READ_VERBS:
            return False
        forbidden = LOCKING_WORDS | WRITE_WORDS if verb in PREFIX_VERBS else LOCKING_WORDS
        return self.words.isdisjoint(forbidden)


def _scan(statement: str, significant_token: re.Pattern[str]) -> _Scan:
    """Read tokens up to the first user variable or comment with code."""
    words: set[str] = set()
    is_several = False
    position = 0
    while (token := significant_token.match(statement, position)) and token.lastgroup in (
        "word",
        "separator",
    ):
        position = token.end()
        if token.lastgroup == "word":
            words.add(token["word"].lower())
        elif not is_several:
            is_several = _TRAILER.match(statement, position) is None
    return _Scan(frozenset(words), token.lastgroup if token is not None else None, is_several)


def outline(statement: str) -> Outline:
    """Properties of a statement; its strings and comments are ignored.

    It is read up to the first user variable or comment with code: either decides that it is not served.
    """
    scan = _scan(statement, _SIGNIFICANT_TOKEN)
    match = _VERB.match(statement)
    verb = match["verb"].lower() if match else ""
    is_read_only = scan.only_reads(verb)
    if is_read_only and "\\" in statement:
        others = [_scan(statement, token) for token in _OTHER_SIGNIFICANT_TOKENS]
        # A statement that is cut off is a syntax error there, and does nothing
        is_read_only = all(other.last_token is None or other.only_reads(verb) for other in others)
    return Outline(
        verb,
        scan.words,
        has_variables=scan.last_token == "variable",
        has_hidden_code=scan.last_token == "code",
        is_cut_off=scan.last_token is None,
        is_several=scan.is_several,
        is_read_only=is_read_only,
    )


@lru_cache(maxsize=8)
def _hint_scanner(mark: str) -> re.Pattern[str]:
    start = rf"/\*\s*+{re.escape(mark)}:*+(?=\s|\*/)"
    return _scanner((_NAME, rf"(?!{start}){_BLOCK_COMMENT}", _USER_VARIABLE), rf"{start}(?P<options>.*?)\*/")


def hints(statement: str, mark: str) -> dict[str, str]:
    """Hints in a comment: ``{"class": "report"}`` for ``/* mark: class=report */``."""
    hint = _hint_scanner(mark).match(statement)
    if hint is None:
        return {}
    return dict(option.split("=", 1) for option in hint["options"].split() if "=" in option)
