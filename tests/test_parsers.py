"""The parsers, with input split in any way and with arbitrary input."""

from __future__ import annotations

import hashlib
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from slipbay.wire import http1, jsonrpc, mysql, sql
from slipbay.wire.lines import Lines, LineTooLongError

RESPONSES = (
    b"HTTP/1.1 202 Accepted\r\nX-Tell: done\r\nX-Val: 0.5\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" * 200 + b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length:5\r\nConnection: close\r\n\r\na\tb\tc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
)
LINES = b'{"id":1}\r\n\n{"id":2}\n{"id":'
PACKETS = b"\1\0\0\0\x0e" + b"\0\0\0\1" + b"\3\0\0\2abc" + b"\5\0\0"


def parse_all(make: Callable[[], Any], data: bytes, splits: list[int]) -> list[Any]:
    parser = make()
    found = []
    start = 0
    for split in sorted(splits) + [len(data)]:
        result = parser.feed(data[start:split])
        found += [result] if isinstance(result, http1.Response) else list(result or ())
        start = max(start, split)
    return found


@pytest.mark.parametrize(
    "make, data",
    [
        *((http1.ResponseParser, one) for one in RESPONSES),
        (lambda: Lines(100), LINES),
        (lambda: mysql.Packets(100), PACKETS),
    ],
)
@given(splits=st.lists(st.integers(0, 400), max_size=8))
def test_results_do_not_depend_on_how_the_input_is_split(
    make: Callable[[], Any], data: bytes, splits: list[int]
) -> None:
    assert parse_all(make, data, [min(split, len(data)) for split in splits]) == parse_all(make, data, [])


def test_parsers_return_the_expected_messages() -> None:
    found = [response for one in RESPONSES for response in parse_all(http1.ResponseParser, one, [])]
    assert [(r.status, r.body, r.keep_alive) for r in found] == [
        (202, b"", True),
        (204, b"", True),
        (200, b"a\tb\tc", False),
        (200, b"abcde", True),
        (500, b"", True),
    ]
    assert parse_all(lambda: Lines(100), LINES, []) == [b'{"id":1}', b"", b'{"id":2}']
    assert parse_all(lambda: mysql.Packets(100), PACKETS, []) == [(0, b"\x0e"), (1, b""), (2, b"abc")]


@pytest.mark.parametrize(
    "make, allowed",
    [
        (http1.ResponseParser, http1.MalformedResponseError),
        (lambda: Lines(16), LineTooLongError),
        (lambda: mysql.Packets(16), mysql.PacketTooLargeError),
    ],
)
@given(
    data=st.one_of(
        st.binary(max_size=64),
        st.lists(
            st.sampled_from(
                [
                    b"HTTP/1.1 200 x\r\n",
                    b"Content-Length: -1\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"\r\n",
                    b"zz\r\n",
                    b":",
                    b"99999999999\r\n",
                    b"\xff\xff\xff\0",
                ]
            )
        ).map(b"".join),
    )
)
def test_arbitrary_input_raises_no_other_error(
    make: Callable[[], Any], allowed: type[Exception], data: bytes
) -> None:
    try:
        parse_all(make, data, [])
    except allowed:
        pass


@given(data=st.binary(max_size=80))
def test_arbitrary_packets_raise_no_other_error(data: bytes) -> None:
    def read_all(reader: Any) -> None:
        while not reader.feed(data):
            pass

    for read in (
        mysql.read_greeting,
        mysql.read_login,
        mysql.read_err,
        mysql.read_auth_switch,
        mysql.statement_of,
        mysql.read_long_data,
        lambda d: mysql.read_execute(b"\x17" + d, 3, b"", {}),
        lambda d: mysql.PrepareReader().feed(d),
        lambda d: mysql.ResultReader().feed(d),
    ):
        try:
            read(data)
        except (mysql.MalformedPacketError, NotImplementedError):
            pass


@given(
    line=st.one_of(
        st.binary(max_size=60),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5) | st.integers(),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["id", "jsonrpc", "method", "params", "txn", "limit", "data", "cpu"]),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=6,
        ).map(lambda value: json.dumps(value).encode()),
    )
)
def test_any_line_is_a_query_or_an_error(line: bytes) -> None:
    try:
        jsonrpc.read_query(jsonrpc.parse(line))
    except jsonrpc.JsonRpcError as problem:
        assert problem.code in (-32700, -32600, -32602)


@given(payload=st.binary(max_size=40), count=st.integers(0, 3))
def test_packets_round_trip(payload: bytes, count: int) -> None:
    data, next_sequence = mysql.packets([payload] * count, 250)
    assert [found for _, found in mysql.Packets(1000).feed(data)] == [payload] * count
    assert next_sequence == (250 + count) % 256
    assert mysql.Reader(mysql.lenenc(len(payload) ** 4)).lenenc() == len(payload) ** 4


def test_a_payload_that_fills_a_packet_is_followed_by_an_empty_packet() -> None:
    data, next_sequence = mysql.packets([bytes(0xFFFFFF)], 0)
    assert data[:4] == b"\xff\xff\xff\0"
    assert data[-4:] == b"\0\0\0\1"
    assert next_sequence == 2
    assert [len(found) for _, found in mysql.Packets(1 << 25).feed(data)] == [0xFFFFFF]


def test_auth_responses_are_those_of_the_specification() -> None:
    challenge = bytes(range(1, 21))
    password = b"oil"
    password_digest = hashlib.sha1(password).digest()
    mask = hashlib.sha1(challenge + hashlib.sha1(password_digest).digest()).digest()
    auth_response = bytes(a ^ b for a, b in zip(password_digest, mask, strict=True))
    assert mysql.compute_auth_response(mysql.NATIVE, password, challenge) == auth_response
    assert mysql.compute_auth_response(mysql.CACHING_SHA2, b"", challenge) == b""
    assert mysql.compute_auth_response("other", b"", b"") is None


@pytest.mark.parametrize(
    "statement, group",
    [
        ("SELECT * FROM sales_17.orders", 17),
        ("select a from `sales_17`.`orders`", 17),
        ('SELECT a FROM "sales_17"."orders"', 17),
        ("INSERT INTO sales_4.t SELECT * FROM staging.load_99", 4),
        ("INSERT INTO sales_4.t SELECT * FROM staging_8.x", 4),
        ("SELECT * FROM staging.a_1, sales_3.b", 3),
        ("SELECT 'FROM x_1.y' FROM sales_2.z -- FROM x_5.y", 2),
        ("/* FROM a_9.b */ UPDATE sales_6.t SET x = 1", 6),
        ("SELECT t_1.a FROM sales_2.t AS t_1", 2),
        ("SELECT a FROM (SELECT b FROM sales_5.c) d", 5),
        ("SELECT 1", 0),
        ("SELECT * FROM plain", 0),
        ("SELECT * FROM a JOIN sales_12.b ON a.x_1 = b.y", 12),
        ("DELETE FROM sales_8.t WHERE a = 'it''s x_1.y'", 8),
        ("SELECT * FROM sales_ 1.x", 0),
        (r"SELECT * FROM a WHERE b = 'it\'s FROM x_1.y' AND c IN (SELECT d FROM sales_7.e)", 7),
    ],
)
def test_the_table_group_of_a_statement(statement: str, group: int) -> None:
    assert sql.table_group(statement) == group


@pytest.mark.parametrize(
    "statement, reads",
    [
        ("SELECT 1", True),
        ("  (select 1)", True),
        ("SHOW TABLES", True),
        ("WITH a AS (SELECT 1) SELECT * FROM a", True),
        ("WITH a AS (SELECT 1) DELETE FROM b", False),
        ("SELECT 1 INTO OUTFILE 'x'", False),
        ("SELECT a FROM b FOR UPDATE", False),
        ("SELECT 'update' FROM b", True),
        ("INSERT INTO a VALUES (1)", False),
        ("/* SELECT */ DELETE FROM a", False),
        ("/*! INSERT */ SELECT 1", False),
        ("", False),
        ("REPLACE INTO a", False),
        ("SELECT 'a", False),
        ('SELECT "a" FROM "b', False),
        ("SELECT `a", False),
        ("SELECT 1 /* a", False),
        ("SELECT 'a\\", False),
        ("SELECT @a", False),
        ("SELECT replace(a, 'x', 'y') FROM b", True),
        ("SELECT 1 ; ", True),
        ("SELECT 1; -- done", True),
        ("SELECT 1; DELETE FROM a", False),
        ("SELECT 1;;SELECT 2", False),
        ("WITH q AS (SELECT base--1 AS x) UPDATE a SET b = 1", False),
        ("WITH q AS (SELECT base-- 1\n AS x) UPDATE a SET b = 1", False),
        ("SELECT a--\tFOR UPDATE", True),
        ("SELECT a --1 FOR UPDATE", False),
        ("SELECT a ---1 FOR UPDATE", False),
        ("EXPLAIN ANALYZE DELETE FROM a", False),
        ("EXPLAIN SELECT 1", True),
        ("SELECT 1 /*M! FOR UPDATE */", False),
        ("SELECT 1 /* /*! */ FOR UPDATE", False),
        ("SELECT 1 /*!FOR UPDATE", False),
        ("SELECT 'a\\' FROM b FOR UPDATE -- '", False),
        ('SELECT "a\\" FROM b FOR UPDATE -- "', False),
        ("SELECT 'it\\'s' FROM b", True),
        ("SELECT a FROM b WHERE c = 'x\\\\'", True),
        ("CALL refill()", False),
        ("SELECT 1 INTO@a", False),
    ],
)
def test_only_statements_without_side_effects_count_as_reads(statement: str, reads: bool) -> None:
    assert sql.outline(statement).is_read_only is reads


ESCAPED_QUOTES = r"{\"tank\":\"T00042\",\"litres\":\"7\"},"
REPEATED_TEXTS = {
    "a quoted name without its end": ('INSERT INTO staging.t VALUES ("[', ESCAPED_QUOTES, ""),
    "a string that ends with a backslash": ("SELECT '", r"\'", "\\"),
    "a quoted name that ends with a backslash": ('SELECT "', r"\"", "\\"),
    "a name in backticks without its end": ("SELECT `", "a``", "b"),
    "a comment without its end": ("SELECT 1 ", "/* a ", ""),
    "a qualified name without its end": ("SELECT ", 'a."\\"', ""),
    "words": ("SELECT ", "from_x ", ""),
    "keywords": ("SELECT ", "from ", ""),
    "a list of tables": ("SELECT a FROM ", "staging_1.b, ", ""),
    "a name with many parts": ("SELECT a FROM ", "staging_1.", "b"),
    "white space before a dot that never comes": ("SELECT ", "a" + " " * 50, ""),
    "user variables": ("SELECT ", "@", ""),
    "slashes": ("SELECT ", "/", ""),
    "hints": ("SELECT 1 ", "/* other: a=1 */", ""),
}
ANSWER_SLACK_S = 0.02  # `answerSlackUs`: by which an answer may come after its request's deadline
MAX_JSON_STATEMENT_BYTES = 96_000  # base64 in a line of 128 KiB


def repeated_text(kind: str, size: int) -> str:
    start, repeated, end = REPEATED_TEXTS[kind]
    return start + repeated * (size // len(repeated)) + end


def inspect(statement: str) -> None:
    sql.table_group(statement)
    sql.outline(statement)
    sql.hints(statement, "slipbay")


def least_cpu_s(work: Callable[[], object]) -> float:
    def cpu_s() -> float:
        started_s = time.thread_time()
        work()
        return time.thread_time() - started_s

    return min(cpu_s() for _ in range(5))


@pytest.mark.parametrize("kind", REPEATED_TEXTS)
def test_the_time_to_inspect_a_statement_grows_no_faster_than_its_length(kind: str) -> None:
    # A statement with a cut-off literal stopped the router for 20 s, and requests of other clients were lost
    short, long = repeated_text(kind, 2000), repeated_text(kind, 16_000)
    growth = least_cpu_s(lambda: inspect(long)) / least_cpu_s(lambda: inspect(short))
    assert growth < 24  # 8 if it follows the length, 64 if its square


def test_the_longest_statement_with_a_cut_off_literal_holds_up_no_answer() -> None:
    statement = repeated_text("a quoted name without its end", MAX_JSON_STATEMENT_BYTES)
    assert least_cpu_s(lambda: sql.table_group(statement)) < ANSWER_SLACK_S


@pytest.mark.parametrize("quote", "'\"`")
def test_inspecting_a_long_literal_takes_less_memory_than_the_literal(quote: str) -> None:
    # Backtracking through one literal of 1 MiB took 170 MB, more than the router's limit
    statement = f"INSERT INTO sales_3.t VALUES ({quote}{'x' * 1_000_000}{quote})"
    tracemalloc.start()
    try:
        inspect(statement)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < len(statement)


WRITES = (
    ["WITH", "q", "AS", "(", "SELECT", "{}", ")", "UPDATE", "a", "SET", "b", "=", "{}"],
    ["WITH", "q", "AS", "(", "SELECT", "{}", ")", "DELETE", "FROM", "a", "WHERE", "b", "=", "{}"],
    ["WITH", "q", "AS", "(", "SELECT", "{}", ")", "INSERT", "INTO", "a", "SELECT", "{}", "FROM", "q"],
    ["SELECT", "{}", "FROM", "a", "WHERE", "b", "=", "{}", "FOR", "UPDATE"],
    ["SELECT", "{}", "FROM", "a", "FOR", "SHARE"],
    ["SELECT", "{}", "INTO", "OUTFILE", "'x'", "FROM", "a"],
    ["SELECT", "{}", ";", "DELETE", "FROM", "a", "WHERE", "b", "=", "{}"],
    ["EXPLAIN", "ANALYZE", "DELETE", "FROM", "a", "WHERE", "b", "=", "{}"],
    ["INSERT", "INTO", "a", "VALUES", "(", "{}", ")"],
    ["CALL", "refill", "(", "{}", ")"],
)
SEPARATORS = (" ", "\n", " /**/ ", " /* SELECT ' */ ", " -- it's\n", " #\n", "\t--\t`\n", " /* /* */ ")
EXPRESSIONS = (
    "base--1",
    "b---1",
    "1--2",
    "'it''s'",
    "'a\\\\'",
    r"'it\'s'",
    '"x"',
    '"it\'s"',
    "`a``--`",
    "'--'",
    "'/*'",
    "t . `update`",
    "@@sql_mode",
    "x'41'",
    "a/b",
    "(1)",
)


@given(st.data())
def test_no_write_counts_as_a_read(data: st.DataObject) -> None:
    # Two dashes that begin no comment hid the UPDATE behind them, and the write ran twice
    tokens = data.draw(st.sampled_from(WRITES))
    parts = [data.draw(st.sampled_from(EXPRESSIONS)) if token == "{}" else token for token in tokens]
    statement = "".join(part + data.draw(st.sampled_from(SEPARATORS)) for part in parts)
    assert not sql.outline(statement).is_read_only


def test_hints_come_only_from_comments_with_the_router_s_mark() -> None:
    found = sql.hints("/* slipbay: class=report cpu_ms=7 x */ SELECT 1", "slipbay")
    assert found == {"class": "report", "cpu_ms": "7"}
    assert sql.hints("SELECT '/* slipbay: class=report */' /* other: a=1 */", "slipbay") == {}
