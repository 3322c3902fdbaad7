"""JSON-RPC 2.0 with one message per line: parses requests of clients and encodes answers."""

from __future__ import annotations

import base64
import binascii
import json
import math
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from slipbay.errors import SlipbayError

PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
FAILED = -32000
REJECTED = -32002

MAX_LIMIT_MS = 24 * 3600 * 1000
MAX_CPU_MS = 4_000_000
MAX_RAM_MB = 1e9
_TXN_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
_REPLAY_KEY_PATTERN = re.compile(r"[!-~]{1,200}")  # characters that an HTTP header carries unchanged


class JsonRpcError(SlipbayError):
    """An invalid message: its id if that is readable, a standard error code and a text for the client."""

    def __init__(self, id: int | None, code: int, text: str) -> None:
        super().__init__(text)
        self.id = id
        self.code = code
        self.text = text


@dataclass(slots=True, frozen=True)
class Call:
    """A message; ``id`` is None for a notification."""

    id: int | None
    method: str
    params: dict[str, Any]


@dataclass(slots=True, frozen=True)
class QueryParams:
    """Validated parameters of a client's query."""

    txn: str
    limit_us: int
    team: str | None
    is_repeat: bool
    cost_us: int | None
    memory_mb: float
    statement: bytes
    replay_key: str = ""  # by which engines drop repeats, if the class is keyed


def _is_id(value: object) -> bool:
    return type(value) is int and 0 < value < 2**53


def parse(line: bytes) -> Call:
    """Parse one line.

    Raises:
        JsonRpcError: if the line is not a message of JSON-RPC 2.0.
    """
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise JsonRpcError(None, PARSE_ERROR, "the line is not JSON") from None
    if not isinstance(message, dict):
        raise JsonRpcError(None, INVALID_REQUEST, "a message is one object; batches are not served")
    id = message.get("id")
    if id is not None and not _is_id(id):
        raise JsonRpcError(None, INVALID_REQUEST, "id is a whole number from 1")
    method = message.get("method")
    params = message.get("params", {})
    if message.get("jsonrpc") != "2.0" or not isinstance(method, str):
        raise JsonRpcError(id, INVALID_REQUEST, "want jsonrpc 2.0 and a method's name")
    if not isinstance(params, dict):
        raise JsonRpcError(id, INVALID_PARAMS, "params is an object")
    return Call(id, method, params)


def cancelled(call: Call) -> int | str | None:
    """The request that a ``cancelRequest`` names: its id or its txn; None if it names none."""
    request = call.params.get("id", call.params.get("txn", call.id))
    return request if _is_id(request) or isinstance(request, str) else None


def read_query(call: Call) -> QueryParams:
    """The parameters of a query.

    Raises:
        JsonRpcError: if a parameter is invalid; the text names it.
    """
    txn = _text(call, "txn")
    limit_ms = _number(call, "limit", MAX_LIMIT_MS)
    data = _text(call, "data")
    replay_key = _text(call, "unique") or ""
    if replay_key and not _REPLAY_KEY_PATTERN.fullmatch(replay_key):
        raise JsonRpcError(call.id, INVALID_PARAMS, "unique is up to 200 visible ASCII characters")
    if txn is None or not _TXN_PATTERN.fullmatch(txn):
        raise JsonRpcError(call.id, INVALID_PARAMS, "txn is 16 hex digits")
    if limit_ms is None:
        raise JsonRpcError(call.id, INVALID_PARAMS, "limit is missing")
    statement = _statement(call, data or "")
    cpu_ms = _number(call, "cpu", MAX_CPU_MS)
    return QueryParams(
        txn,
        int(limit_ms * 1000),
        _text(call, "team"),
        call.params.get("second") in (1, "1", True),
        None if cpu_ms is None else int(cpu_ms * 1000),
        _number(call, "ram", MAX_RAM_MB) or 0.0,
        statement,
        replay_key,
    )


def _number(call: Call, name: str, max_value: float) -> float | None:
    value = call.params.get(name)
    if value is None:
        return None
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value <= max_value:
        raise JsonRpcError(call.id, INVALID_PARAMS, f"{name} is a number from 0 to {max_value:g}")
    return float(value)


def _text(call: Call, name: str) -> str | None:
    value = call.params.get(name)
    if value is not None and not isinstance(value, str):
        raise JsonRpcError(call.id, INVALID_PARAMS, f"{name} is a string")
    return value


def _statement(call: Call, data: str) -> bytes:
    try:
        statement = base64.b64decode(data, validate=True)
    except (binascii.Error, ValueError):
        raise JsonRpcError(call.id, INVALID_PARAMS, "data is not base64") from None
    if not statement:
        raise JsonRpcError(call.id, INVALID_PARAMS, "data holds no statement")
    return statement


def result(id: int, data: bytes) -> bytes:
    """Encode the answer to a query with its rows."""
    return b'{"jsonrpc":"2.0","id":%d,"result":{"data":"%s"}}\n' % (id, base64.b64encode(data))


def scattered_result(
    id: int, data: bytes, requested: Sequence[int], present: Sequence[int], missing: Sequence[int]
) -> bytes:
    """Encode the answer to a scattered query: rows of the table groups that are present, in this order."""
    parts = json.dumps({"asked": requested, "present": present, "missing": missing}, separators=(",", ":"))
    return b'{"jsonrpc":"2.0","id":%d,"result":{"data":"%s","parts":%s}}\n' % (
        id,
        base64.b64encode(data),
        parts.encode(),
    )


def health(id: int, well: bool) -> bytes:
    """Encode the answer to ``alive``."""
    return b'{"jsonrpc":"2.0","id":%d,"result":{"well":%s}}\n' % (id, b"true" if well else b"false")


def error(id: int | None, code: int, text: str, retry_after_ms: int | None = None) -> bytes:
    """Encode an error; ``later_ms``: time after which the client may retry."""
    body: dict[str, Any] = {"code": code, "message": text}
    if retry_after_ms is not None:
        body["data"] = {"later": retry_after_ms}
    message = {"jsonrpc": "2.0", "id": id, "error": body}
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"
