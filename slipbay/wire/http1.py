"""HTTP/1.1 as engines speak it: requests out, responses in, one call at a time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from slipbay.errors import SlipbayError

# a page has 6,000 bytes at most
MOST_HEAD_BYTES = 16 * 1024
MOST_BODY_BYTES = 64 * 1024
STATUS_DIGITS = 3
MOST_LENGTH_DIGITS = 9  # of a body's length in decimal; longer ones are over every limit
MOST_CHUNK_DIGITS = 7  # of a chunk's length in hex

# Statuses that engines answer with (RFC 9110)
OK = 200
ACCEPTED = 202
NO_CONTENT = 204
NOT_MODIFIED = 304
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class MalformedResponseError(SlipbayError):
    """What came is no response; the connection can't be used any more."""


@dataclass(slots=True, frozen=True)
class Response:
    """One whole response."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes
    keep: bool = True  # the connection serves further calls

    def has_same_content(self, other: Response) -> bool:
        """Whether both have the same status, headers and body; ``keep`` may differ."""
        return (self.status, self.headers, self.body) == (other.status, other.headers, other.body)


def request(
    method: str, path: str, host: str, headers: Iterable[tuple[str, str]] = (), body: bytes | None = None
) -> bytes:
    """The bytes of a request, with ``Content-Length`` where there is a body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + (body or b"")


class ResponseParser:
    """Takes bytes in any chunking and gives the response of each call. Calls go out one at a time."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._head: tuple[int, dict[str, str], bool] | None = None
        self._body = bytearray()  # chunks so far
        self._scanned = 0
        self._interim = 0  # bytes of interim heads before the response

    def feed(self, data: bytes) -> Response | None:
        """The response once it is whole. It is good whatever stands behind it; but nobody asked for that, and
        what it would be taken for is the answer to the next call, so that there must be none."""
        self._data += data
        if (response := self._next()) is None:
            return None
        return replace(response, keep=False) if self._data else response

    def _next(self) -> Response | None:
        while self._head is None or self._head[0] < OK:  # an interim response: the final one follows
            self._head = None
            if not self._read_head():
                return None
        status, headers, keep = self._head
        if status in (NO_CONTENT, NOT_MODIFIED):
            body: bytes | None = b""
        elif "transfer-encoding" in headers:
            body = self._read_chunks(headers)
        else:
            body = self._read_sized(headers)
        if body is None:
            return None
        self._head = None
        self._interim = 0
        return Response(status, headers, body, keep)

    def _read_head(self) -> bool:
        end = self._data.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if max(end, 0) > MOST_HEAD_BYTES or (end < 0 and len(self._data) > MOST_HEAD_BYTES):
            raise MalformedResponseError("the head is too long")
        if end < 0:
            self._scanned = len(self._data)
            return False
        first, *lines = bytes(self._data[:end]).decode("latin-1").split("\r\n")
        del self._data[: end + 4]
        self._scanned = 0
        self._interim += end + 4
        if self._interim > 2 * MOST_HEAD_BYTES:
            raise MalformedResponseError("interim responses that never end")
        version, _, rest = first.partition(" ")
        status = rest.partition(" ")[0]
        if (
            version not in ("HTTP/1.1", "HTTP/1.0")
            or len(status) != STATUS_DIGITS
            or not (status.isascii() and status.isdigit())
        ):
            raise MalformedResponseError("no status line")
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise MalformedResponseError("no header line")
            headers[name.lower()] = value.strip()
        connection = headers.get("connection", "").lower()
        keep = connection != "close" if version == "HTTP/1.1" else connection == "keep-alive"
        self._head = int(status), headers, keep
        return True

    def _read_sized(self, headers: dict[str, str]) -> bytes | None:
        told = headers.get("content-length", "")
        if (
            not (told.isascii() and told.isdigit())
            or len(told) > MOST_LENGTH_DIGITS
            or int(told) > MOST_BODY_BYTES
        ):
            raise MalformedResponseError("no body length that can be taken")
        size = int(told)
        if len(self._data) < size:
            return None
        return self._take(size)

    def _read_chunks(self, headers: dict[str, str]) -> bytes | None:
        if headers["transfer-encoding"].lower() != "chunked":
            raise MalformedResponseError("a transfer coding that is not known")
        while (end := self._data.find(b"\r\n")) >= 0:
            told = bytes(self._data[:end]).split(b";")[0].strip()
            try:
                size = int(told, 16) if told.isalnum() and len(told) <= MOST_CHUNK_DIGITS else -1
            except ValueError:
                size = -1
            if size < 0 or len(self._body) + size > MOST_BODY_BYTES:
                raise MalformedResponseError("no chunk size that can be taken")
            if size == 0:
                return self._read_trailers(end)
            if len(self._data) < end + 2 + size + 2:
                return None
            self._take(end + 2)
            self._body += self._take(size)
            if self._take(2) != b"\r\n":
                raise MalformedResponseError("a chunk does not end")
        if len(self._data) > MOST_HEAD_BYTES:
            raise MalformedResponseError("no chunk size")
        return None

    def _read_trailers(self, end: int) -> bytes | None:
        """The last chunk's line ends at ``end``; trailers are skipped up to the empty line."""
        if self._data[end : end + 4] == b"\r\n\r\n":
            self._take(end + 4)
        else:
            last = self._data.find(b"\r\n\r\n", end)
            if last < 0:
                if len(self._data) > MOST_HEAD_BYTES:
                    raise MalformedResponseError("the trailers are too long")
                return None
            self._take(last + 4)
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def _take(self, size: int) -> bytes:
        taken = bytes(self._data[:size])
        del self._data[:size]
        return taken
