"""The JSON-RPC frontend: clients with many concurrent requests on one connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from slipbay.config.model import Config
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Answer, Backend, Failed, Rejected, Request, Served
from slipbay.frontends.client_connection import IDLE_TIMEOUT_US, ClientConnection
from slipbay.frontends.request_ids import ClaimResult, RequestIds
from slipbay.frontends.server import Server
from slipbay.idempotency.digest import digest
from slipbay.log import log
from slipbay.policy.settings import Effect
from slipbay.wire import jsonrpc, sql
from slipbay.wire.lines import Lines, LineTooLongError

MAX_LINE_BYTES = 128 * 1024
MAX_OPEN_REQUESTS = 32  # on one connection


class RequestScatterer(Protocol):
    """Runs requests of scattered classes as several parts; the client gets one answer."""

    def takes(self, request: Request) -> bool:
        """Whether the request's class is scattered."""

    def submit(self, request: Request) -> None:
        """Runs a request of a scattered class."""

    def gone(self, request: Request) -> bool:
        """Abandons a request whose client disconnected or cancelled it; False if it is not open here."""

    def owns(self, name: str) -> bool:
        """Whether an open part uses this name, in lower case, as its query id at an engine."""


class JsonRpcFrontend:
    """State that all connections of this frontend share."""

    scatterer: RequestScatterer | None = None

    def __init__(
        self,
        config: Config,
        dispatcher: Dispatcher,
        backend: Backend,
        is_healthy: Callable[[], bool],
        ids: RequestIds,
    ) -> None:
        self.dispatcher = dispatcher
        self.backend = backend
        self.is_healthy = is_healthy
        self.classes = {name: number for number, name in enumerate(config.classes)}
        self.tenants = {name: number for number, name in enumerate(config.tenants)}
        self._ids = ids

    def claim_txn(self, txn: str, service_class: int, has_key: bool) -> ClaimResult:
        """Claims a txn for a new request.

        Engines identify a query by its txn alone. If two requests had the same txn, a client could receive
        the answer to another client's statement, and cancelling one request would cancel the other. The txn
        of a request with an idempotency key may be used again: the key record determines the answer.
        """
        guard = self.dispatcher.idempotency_guard
        if self.scatterer is not None and self.scatterer.owns(txn.lower()):
            return ClaimResult.USED
        if not has_key and guard is not None and guard.has_key(idempotency_key_of(txn)):
            return ClaimResult.USED
        effect = self.dispatcher.settings.classes[service_class].effect
        return self._ids.claim(int(txn, 16), effect is not Effect.SAFE, has_key)

    def retry_after_us(self) -> int:
        """Time after which a client may try again for which no txn could be held."""
        return min(self._ids.retry_after_us(), self.dispatcher.settings.max_retry_after_us)

    def request_ended(self, request: Request) -> None:
        """Notes that a client waits no more for a request; its txn is free again if it was not sent."""
        is_scattered = self.scatterer is not None and self.scatterer.takes(request)
        may_have_run = bool(request.attempt_count or request.idempotency_key) or is_scattered
        self._ids.end(int(request.name, 16), may_have_run)

    def is_recent_txn(self, name: str) -> bool:
        """Whether a client has recently used the name as a txn."""
        return int(name, 16) in self._ids

    def submit(self, request: Request) -> None:
        """Passes a request to the scatterer if its class is scattered, else to the dispatcher."""
        if self.scatterer is not None and self.scatterer.takes(request):
            self.scatterer.submit(request)
        else:
            self.dispatcher.submit(request)

    def abandon(self, request: Request, cancelled: bool = False) -> None:
        """Abandons a request whose client disconnected or, if ``cancelled``, cancelled it."""
        if self.scatterer is None or not self.scatterer.gone(request):
            self.dispatcher.client_disconnected(request, cancelled)
        self.request_ended(request)


def idempotency_key_of(txn: str) -> bytes:
    """Returns the idempotency key of a JSON-RPC request."""
    return b"json:" + txn.lower().encode()


class JsonRpcConnection(ClientConnection):
    """One client's connection."""

    max_message_bytes = MAX_LINE_BYTES

    def __init__(self, server: Server, frontend: JsonRpcFrontend) -> None:
        super().__init__(server)
        self._frontend = frontend
        self._lines = Lines(MAX_LINE_BYTES)
        self._open: dict[int, Request] = {}  # by the client's id
        self._last_id = 0

    @property
    def has_open_requests(self) -> bool:
        """Whether a request waits for its answer."""
        return bool(self._open)

    @property
    def unparsed(self) -> int:
        """Received bytes that are not handled yet."""
        return self._lines.buffered_bytes

    def buffer_input(self, data: bytes) -> None:
        """Buffers received bytes."""
        self._lines.append(data)

    def drop_input(self) -> None:
        """Drops all bytes that are not handled yet."""
        self._lines.clear()

    def handle_message(self) -> bool:
        """Handles the next complete line; returns False if there is none."""
        try:
            line = self._lines.next_line()
        except LineTooLongError:
            log("client", "line too long; connection closed")
            self.abandon_requests()
            self.close_gracefully()
            return False
        if line:
            self._take(line)
        return line is not None

    def _take(self, line: bytes) -> None:
        try:
            call = jsonrpc.parse(line)
            self.record_activity()
            self.extend_idle_timeout(IDLE_TIMEOUT_US)
            self._serve(call)
        except jsonrpc.JsonRpcError as problem:
            log("client", "invalid message answered with an error", reason=problem.text)
            self.write(jsonrpc.error(problem.id, problem.code, problem.text))

    def _serve(self, call: jsonrpc.Call) -> None:
        if call.method == "cancelRequest":
            self._cancel(call)
        elif call.id is None:  # cancelRequest is the only call without an answer
            raise jsonrpc.JsonRpcError(None, jsonrpc.INVALID_REQUEST, "id is missing")
        else:
            self._answer_call(call, call.id)

    def _cancel(self, call: jsonrpc.Call) -> None:
        cancelled_id = jsonrpc.cancelled(call)
        for id, request in self._open.items():
            if cancelled_id in (id, request.name):
                del self._open[id]
                self._frontend.abandon(request, cancelled=True)
                break

    def _answer_call(self, call: jsonrpc.Call, id: int) -> None:
        if id <= self._last_id:
            raise jsonrpc.JsonRpcError(
                id, jsonrpc.INVALID_REQUEST, "this id has been used on this connection"
            )
        self._last_id = id
        if call.method == "alive":
            self.write(jsonrpc.health(id, self._frontend.is_healthy()))
            return
        if call.method not in self._frontend.classes:
            raise jsonrpc.JsonRpcError(id, jsonrpc.METHOD_NOT_FOUND, "no such method")
        if len(self._open) >= MAX_OPEN_REQUESTS:
            raise jsonrpc.JsonRpcError(id, jsonrpc.INVALID_REQUEST, "too many requests are open here")
        if self.server.draining:  # earlier requests are still answered; the client can use another router
            self.write(jsonrpc.error(id, jsonrpc.REJECTED, "this router is about to end", 0))
            return
        if self.may_hide_end:
            self._reject(id, "too much unread input of one client; a request is rejected")
            return
        request = self._make_request(call, id)
        match self._frontend.claim_txn(request.name, request.service_class, bool(request.idempotency_key)):
            case ClaimResult.USED:
                raise jsonrpc.JsonRpcError(id, jsonrpc.INVALID_PARAMS, "txn has been used")
            case ClaimResult.FULL:
                self._reject(id, "no further txn can be held; a request is rejected")
            case ClaimResult.GRANTED:
                self._open[id] = request
                self._frontend.submit(request)

    def _reject(self, id: int, reason: str) -> None:
        """Rejects a request that is not submitted."""
        log("client", reason)
        retry_after_ms = self._frontend.retry_after_us() // 1000
        self.write(jsonrpc.error(id, jsonrpc.REJECTED, "refused for now", retry_after_ms))

    def _make_request(self, call: jsonrpc.Call, id: int) -> Request:
        """Creates a request from a client's call. Raises ``JsonRpcError``."""
        params = jsonrpc.read_query(call)
        tenant = 0
        if params.team is not None and self._frontend.tenants:
            if params.team not in self._frontend.tenants:
                raise jsonrpc.JsonRpcError(id, jsonrpc.INVALID_PARAMS, "team is not known here")
            tenant = self._frontend.tenants[params.team]
        service_class = self._frontend.classes[call.method]
        request = Request(
            params.txn,
            service_class,
            params.limit_us,
            params.statement,
            self,
            self._frontend.backend,
            params.cost_us,
            params.memory_mb,
            sql.table_group(params.statement.decode("utf-8", "replace")),
            tenant,
            params.is_repeat,
            client_handle=id,
            size_bytes=len(params.statement),
            replay_key=params.replay_key,
        )
        guard = self._frontend.dispatcher.idempotency_guard
        if guard is not None and guard.requires_key(service_class):
            request.idempotency_key = idempotency_key_of(params.txn)
            request.has_client_key = True
            request.is_resent = params.is_repeat
            request.statement_digest = digest(
                call.method.encode(), (params.team or "").encode(), params.statement
            )
        return request

    def answered(self, request: Request, answer: Answer) -> None:
        """Writes the answer of a request to the client."""
        id = request.client_handle
        self._frontend.request_ended(request)
        if self._open.pop(id, None) is None:
            return  # the client has cancelled the request or disconnected
        match answer:
            case Served(result, parts):
                assert isinstance(result, bytes)
                self.write(
                    jsonrpc.result(id, result)
                    if parts is None
                    else jsonrpc.scattered_result(id, result, parts.requested, parts.present, parts.missing)
                )
            case Rejected(retry_after_us, _):
                self.write(jsonrpc.error(id, jsonrpc.REJECTED, "refused for now", retry_after_us // 1000))
            case Failed(reason, is_client_error=True):
                self.write(jsonrpc.error(id, jsonrpc.INVALID_PARAMS, reason))
            case Failed(reason):
                self.write(jsonrpc.error(id, jsonrpc.FAILED, reason))
        self.record_activity()
        self.close_if_drained()

    def abandon_requests(self) -> None:
        """Abandons all open requests after the client has disconnected."""
        for request in self._open.values():
            self._frontend.abandon(request)
        self._open.clear()
