"""The platform's front: JSON-RPC clients, many requests open on a connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from slipbay.config.model import Config
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Answer, Backend, Failed, Rejected, Request, Served
from slipbay.frontends.server import IDLE_US, ClientConnection, Server
from slipbay.idempotency.digest import digest
from slipbay.log import log
from slipbay.wire import jsonrpc, sql
from slipbay.wire.lines import Lines, LineTooLongError

MOST_LINE_BYTES = 128 * 1024
MOST_OPEN = 32  # requests on a connection
MOST_TXNS = 8192  # that are remembered; some 15 s of the busiest router's, a minute of the others'


class Scatters(Protocol):
    """What takes requests of classes that are sent as parts; their clients are answered as others."""

    def takes(self, request: Request) -> bool:
        """Whether a request is of a class that is scattered."""

    def submit(self, request: Request) -> None:
        """Take such a request."""

    def gone(self, request: Request) -> bool:
        """Its client left or called it off; False for one that is not open here."""

    def owns(self, name: str) -> bool:
        """Whether engines know an open part by a name in lower case."""


class JsonRpcFrontend:
    """What the connections of this front share."""

    scatterer: Scatters | None = None

    def __init__(self, config: Config, core: Dispatcher, back: Backend, well: Callable[[], bool]) -> None:
        self.core = core
        self.back = back
        self.well = well
        self.classes = {name: number for number, name in enumerate(config.classes)}
        self.tenants = {name: number for number, name in enumerate(config.tenants)}
        self._used: dict[str, bool] = {}  # the last txns, oldest first, and whether their requests have keys

    def use(self, txn: str, has_key: bool) -> bool:
        """Whether a txn may be used. Engines know queries by it alone: under one in use a client would
        be given the answer to another's statement, and giving its own request up would end the other's.

        One whose request has a key may be used again: the key tells what that gets.
        """
        key = txn.lower()
        guardian = self.core.idempotency_guard
        if self.scatterer is not None and self.scatterer.owns(key):
            return False
        if not has_key and guardian is not None and guardian.has_key(key_of(txn)):
            return False
        if key in self._used:
            return has_key and self._used[key]
        self._used[key] = has_key
        if len(self._used) > MOST_TXNS:
            del self._used[next(iter(self._used))]
        return True

    def knows(self, name: str) -> bool:
        """Whether a client has used a txn, in lower case, of late."""
        return name in self._used

    def submit(self, request: Request) -> None:
        """Hand a request to the scatterer, where its class is scattered, else to the dispatcher."""
        if self.scatterer is not None and self.scatterer.takes(request):
            self.scatterer.submit(request)
        else:
            self.core.submit(request)

    def gone(self, request: Request, cancelled: bool = False) -> None:
        """Its client has left, or has called it off."""
        if self.scatterer is None or not self.scatterer.gone(request):
            self.core.client_disconnected(request, cancelled)


def key_of(txn: str) -> bytes:
    """Under which a request of this front is held."""
    return b"json:" + txn.lower().encode()


class JsonRpcConnection(ClientConnection):
    """One client's connection."""

    def __init__(self, server: Server, front: JsonRpcFrontend) -> None:
        super().__init__(server)
        self._front = front
        self._lines = Lines(MOST_LINE_BYTES)
        self._open: dict[int, Request] = {}  # by the client's id
        self._last_id = 0

    @property
    def busy(self) -> bool:
        """Whether requests are open on it."""
        return bool(self._open)

    @property
    def unparsed(self) -> int:
        """Bytes that came and are no whole line yet."""
        return self._lines.buffered_bytes

    def received(self, data: bytes) -> None:
        """Take bytes in; whole lines are served in order."""
        try:
            lines = self._lines.feed(data)
        except LineTooLongError:
            log("client", "a line is too long; the connection is closed")
            self.departed()
            self.close_gracefully()
            return
        for line in lines:
            if line:
                self._take(line)

    def _take(self, line: bytes) -> None:
        try:
            call = jsonrpc.parse(line)
            self.touch()
            self.welcome(IDLE_US)
            self._serve(call)
        except jsonrpc.JsonRpcError as problem:
            log("client", "a message is answered with an error", reason=problem.text)
            self.write(jsonrpc.error(problem.id, problem.code, problem.text))

    def _serve(self, call: jsonrpc.Call) -> None:
        if call.method == "cancelRequest":
            self._cancel(call)
        elif call.id is None:  # all calls but cancelRequest are for their answers
            raise jsonrpc.JsonRpcError(None, jsonrpc.INVALID_REQUEST, "id is missing")
        else:
            self._answer_call(call, call.id)

    def _cancel(self, call: jsonrpc.Call) -> None:
        named = jsonrpc.cancelled(call)
        for id, request in self._open.items():
            if named in (id, request.name):
                del self._open[id]
                self._front.gone(request, cancelled=True)
                break

    def _answer_call(self, call: jsonrpc.Call, id: int) -> None:
        if id <= self._last_id:
            raise jsonrpc.JsonRpcError(
                id, jsonrpc.INVALID_REQUEST, "this id has been used on this connection"
            )
        self._last_id = id
        if call.method == "alive":
            self.write(jsonrpc.health(id, self._front.well()))
            return
        if call.method not in self._front.classes:
            raise jsonrpc.JsonRpcError(id, jsonrpc.METHOD_NOT_FOUND, "no such method")
        if len(self._open) >= MOST_OPEN:
            raise jsonrpc.JsonRpcError(id, jsonrpc.INVALID_REQUEST, "too many requests are open here")
        if self.server.draining:  # what we took before is still answered; this one can go elsewhere
            self.write(jsonrpc.error(id, jsonrpc.REJECTED, "this router is about to end", 0))
            return
        params = jsonrpc.read_query(call)
        tenant = 0
        if params.team is not None and self._front.tenants:
            if params.team not in self._front.tenants:
                raise jsonrpc.JsonRpcError(id, jsonrpc.INVALID_PARAMS, "team is not known here")
            tenant = self._front.tenants[params.team]
        service_class = self._front.classes[call.method]
        guardian = self._front.core.idempotency_guard
        has_key = guardian is not None and guardian.requires_key(service_class)
        if not self._front.use(params.txn, has_key):
            raise jsonrpc.JsonRpcError(id, jsonrpc.INVALID_PARAMS, "txn has been used")
        request = Request(
            params.txn,
            service_class,
            params.limit_us,
            params.statement,
            self,
            self._front.back,
            params.cost_us,
            params.memory_mb,
            sql.table_group(params.statement.decode("utf-8", "replace")),
            tenant,
            params.is_repeat,
            client_handle=id,
            size_bytes=len(params.statement),
            replay_key=params.replay_key,
        )
        if has_key:
            request.idempotency_key = key_of(params.txn)
            request.has_client_key = True
            request.is_resent = params.is_repeat
            request.statement_digest = digest(
                call.method.encode(), (params.team or "").encode(), params.statement
            )
        self._open[id] = request
        self._front.submit(request)

    def answered(self, request: Request, answer: Answer) -> None:
        """The answer of a request that is still open here."""
        id = request.client_handle
        if self._open.pop(id, None) is None:
            return  # cancelled, or its connection is gone
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
        self.touch()
        self.close_if_drained()

    def departed(self) -> None:
        """The client has gone: its open requests are abandoned."""
        for request in self._open.values():
            self._front.gone(request)
        self._open.clear()
