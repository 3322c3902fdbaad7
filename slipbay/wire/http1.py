"""HTTP/1.1 client side for engines: encodes requests and parses responses, one call at a time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from slipbay.errors import SlipbayError

# A page has at most 6,000 bytes
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
STATUS_DIGITS = 3
MAX_LENGTH_DIGITS = 9  # of a Content-Length; longer ones exceed every limit
MAX_CHUNK_DIGITS = 7  # of a chunk size, in hex

# Statuses of engines' responses (RFC 9110)
OK = 200
ACCEPTED = 202
NO_CONTENT = 204
NOT_MODIFIED = 304
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class MalformedResponseError(SlipbayError):
    """The received bytes are not a valid response; the connection can't be used any more."""


@dataclass(slots=True, frozen=True)
class Response:
    """One complete response."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes
    keep_alive: bool = True  # the connection can be used for further calls

    def has_same_content(self, other: Response) -> bool:
        """Whether both have the same status, headers and body; ``keep_alive`` may differ."""
        return (self.status, self.headers, self.body) == (other.status, other.headers, other.body)


def request(
    method: str, path: str, host: str, headers: Iterable[tuple[str, str]] = (), body: bytes | None = None
) -> bytes:
    """Encode a request, with ``Content-Length`` if there is a body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + (body or b"")


class ResponseParser:
    """Parses bytes, split in any way, into the response of each call. Calls are sent one at a time."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._head: tuple[int, dict[str, str], bool] | None = None
        self._body = bytearray()  # chunks received so far
        self._scanned_bytes = 0  # bytes that were searched for the end of the head
        self._interim_bytes = 0  # bytes of interim responses before the final one

    def feed(self, data: bytes) -> Response | None:
        """The response once it is complete. If data follows it, ``keep_alive`` is false: that data belongs
        to no call, and would be taken for the response to the next one."""
        self._data += data
        if (response := self._parse()) is None:
            return None
        return replace(response, keep_alive=False) if self._data else response

    @property
    def is_within_response(self) -> bool:
        """Whether a part of a response has been received."""
        return bool(self._data) or self._head is not None

    def _parse(self) -> Response | None:
        while self._head is None or self._head[0] < OK:  # after an interim response the final one follows
            self._head = None
            if not self._read_head():
                return None
        status, headers, keep_alive = self._head
        if status in (NO_CONTENT, NOT_MODIFIED):
            body: bytes | None = b""
        elif "transfer-encoding" in headers:
            body = self._read_chunks(headers)
        else:
            body = self._read_fixed_length(headers)
        if body is None:
            return None
        self._head = None
        self._interim_bytes = 0
        return Response(status, headers, body, keep_alive)

    def _read_head(self) -> bool:
        end = self._data.find(b"\r\n\r\n", max(0, self._scanned_bytes - 3))
        if max(end, 0) > MAX_HEAD_BYTES or (end < 0 and len(self._data) > MAX_HEAD_BYTES):
            raise MalformedResponseError("the head is too long")
        if end < 0:
            self._scanned_bytes = len(self._data)
            return False
        status_line, *lines = bytes(self._data[:end]).decode("latin-1").split("\r\n")
        del self._data[: end + 4]
        self._scanned_bytes = 0
        self._interim_bytes += end + 4
        if self._interim_bytes > 2 * MAX_HEAD_BYTES:
            raise MalformedResponseError("too many interim responses")
        version, _, rest = status_line.partition(" ")
        status = rest.partition(" ")[0]
        if (
            version not in ("HTTP/1.1", "HTTP/1.0")
            or len(status) != STATUS_DIGITS
            or not (status.isascii() and status.isdigit())
        ):
            raise MalformedResponseError("invalid status line")
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise MalformedResponseError("invalid header line")
            headers[name.lower()] = value.strip()
        connection = headers.get("connection", "").lower()
        keep_alive = connection != "close" if version == "HTTP/1.1" else connection == "keep-alive"
        self._head = int(status), headers, keep_alive
        return True

    def _read_fixed_length(self, headers: dict[str, str]) -> bytes | None:
        length_text = headers.get("content-length", "")
        if (
            not (length_text.isascii() and length_text.isdigit())
            or len(length_text) > MAX_LENGTH_DIGITS
            or int(length_text) > MAX_BODY_BYTES
        ):
            raise MalformedResponseError("invalid or too large body length")
        size = int(length_text)
        if len(self._data) < size:
            return None
        return self._consume(size)

    def _read_chunks(self, headers: dict[str, str]) -> bytes | None:
        if headers["transfer-encoding"].lower() != "chunked":
            raise MalformedResponseError("unknown transfer coding")
        while (end := self._data.find(b"\r\n")) >= 0:
            length_text = bytes(self._data[:end]).split(b";")[0].strip()
            try:
                size = (
                    int(length_text, 16)
                    if length_text.isalnum() and len(length_text) <= MAX_CHUNK_DIGITS
                    else -1
                )
            except ValueError:
                size = -1
            if size < 0 or len(self._body) + size > MAX_BODY_BYTES:
                raise MalformedResponseError("invalid or too large chunk size")
            if size == 0:
                return self._read_trailers(end)
            if len(self._data) < end + 2 + size + 2:
                return None
            self._consume(end + 2)
            self._body += self._consume(size)
            if self._consume(2) != b"\r\n":
                raise MalformedResponseError("a chunk has no end of line")
        if len(self._data) > MAX_HEAD_BYTES:
            raise MalformedResponseError("the line of a chunk size is too long")
        return None

    def _read_trailers(self, end: int) -> bytes | None:
        """Skip the trailers up to the empty line; the line of the last chunk ends at ``end``."""
        if self._data[end : end + 4] == b"\r\n\r\n":
            self._consume(end + 4)
        else:
            trailers_end = self._data.find(b"\r\n\r\n", end)
            if trailers_end < 0:
                if len(self._data) > MAX_HEAD_BYTES:
                    raise MalformedResponseError("the trailers are too long")
                return None
            self._consume(trailers_end + 4)
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def _consume(self, size: int) -> bytes:
        consumed = bytes(self._data[:size])
        del self._data[:size]
        return consumed
