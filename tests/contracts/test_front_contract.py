"""Contract tests of frontends towards their clients (docs/contracts.md, F1 to F6).

Faulty frontends, each of which breaks one obligation, show that the tests detect it.
"""

from __future__ import annotations

import base64
import json
from types import SimpleNamespace
from typing import Any, TypeAlias

from fakes import FakeLoop, FakeTransport, QuietSocket
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from loopback import TXN
from mysql_standins import EOF, column, packet, text
from obligations import held, suite, with_component

from slipbay.config.model import Limits
from slipbay.core.model import Answer, Failed, Rejected, Request, Served
from slipbay.frontends.jsonrpc import MAX_OPEN_REQUESTS, JsonRpcConnection, JsonRpcFrontend
from slipbay.frontends.mysql import MysqlConnection
from slipbay.frontends.request_ids import RequestIds
from slipbay.frontends.server import Server
from slipbay.policy.settings import Effect, ServiceClass, Settings
from slipbay.wire import mysql, sql

Connection: TypeAlias = JsonRpcConnection | MysqlConnection


class FrontendContract(RuleBasedStateMachine):
    """Rules for both frontends: the test acts as the dispatcher and as a client that may stop reading."""

    idempotency_guard = None
    kind: type[Any]  # of the connection

    def __init__(self) -> None:
        super().__init__()
        self.loop = FakeLoop()
        self.server = Server(self.loop.timers, Limits(1.0, 192, 1024), self.loop.now)
        self.open: list[Request] = []  # submitted to the dispatcher and not answered
        self.abandoned: list[Request] = []
        self.connection = self.make_connection()
        self.connection.sock = QuietSocket()  # type: ignore[assignment]
        self.sent = bytearray()
        self.transport = FakeTransport(self.loop, self.connection, lambda _, data: self.sent.extend(data))
        self.connection.connection_made(self.transport)

    def make_connection(self) -> Connection:
        raise NotImplementedError

    def submit(self, request: Request) -> None:
        self.open.append(request)

    def client_disconnected(self, request: Request, cancelled: bool = False) -> None:
        self.open.remove(request)
        self.abandoned.append(request)

    def receive(self, data: bytes, split_at: int) -> None:
        """Passes bytes to the connection in two pieces."""
        for piece in (data[:split_at], data[split_at:]):
            if piece and not self.transport.closing:
                self.connection.get_buffer(-1)[: len(piece)] = piece
                self.connection.buffer_updated(len(piece))
                self.loop.settle()

    def answer(self, index: int, answer: Answer) -> Request:
        request = self.open.pop(index % len(self.open))
        self.connection.answered(request, answer)
        self.loop.settle()
        return request

    @rule()
    @precondition(lambda self: self.abandoned)
    def late_answer(self) -> None:
        """Answers a request that the client has abandoned; nothing may be sent."""
        before = len(self.sent)
        self.connection.answered(self.abandoned[-1], Served(b"late"))
        held(len(self.sent) == before, "F2", "an answer was sent for an abandoned request")

    @rule()
    def close(self) -> None:
        self.transport.close()
        self.loop.settle()
        held(
            not self.open and self.connection not in self.server.connections, "F4", f"{self.open} remain open"
        )

    @rule(reads=st.booleans())
    @precondition(lambda self: not self.transport.closing)
    def client_reads(self, reads: bool) -> None:
        """Lets the client read, or stop reading until the transport's write limit is exceeded."""
        (self.connection.resume_writing if reads else self.connection.pause_writing)()
        held(self.transport.reads == reads, "F5", "a client that does not read can send more")

    @rule(chance=st.integers(0, 9))
    @precondition(lambda self: not self.server.draining)
    def drain(self, chance: int) -> None:
        if not chance:
            self.server.drain(10_000_000)
            self.loop.settle()

    @invariant()
    def busy_while_requests_are_open(self) -> None:
        held(self.connection.busy == bool(self.open), "F6", "busy without a request, or idle with one")
        held(not self.server.draining or self.open or self.transport.closing, "F6", "open after a drain")
        held(not (self.open and self.transport.closing), "F6", "closed with open requests")


class JsonRpc(FrontendContract):
    kind = JsonRpcConnection

    def make_connection(self) -> Connection:
        self.expected: dict[int, str] = {}  # expected answers by id
        self.last_id = 0
        config = SimpleNamespace(classes=("lookup",), tenants=())
        self.settings = Settings(classes=(ServiceClass(500_000, 2_500_000, Effect.SAFE),))
        ids = RequestIds(self.loop.now, 0, 10_000)
        frontend = JsonRpcFrontend(config, self, SimpleNamespace(), lambda: True, ids)  # type: ignore[arg-type]
        connection: Connection = self.kind(self.server, frontend)
        return connection

    @rule(ahead=st.integers(-2, 3), split_at=st.integers(0, 60), bad=st.booleans())
    def send(self, ahead: int, split_at: int, bad: bool) -> None:
        id = max(1, self.last_id + ahead)
        message = {
            "jsonrpc": "2.0",
            "id": id,
            "method": "lookup",
            "params": {
                "txn": f"{id:016x}",
                "limit": -1 if bad else 100,
                "data": base64.b64encode(b"SELECT 1").decode(),
            },
        }
        before = len(self.sent)
        open_before = len(self.open)
        if self.transport.closing:
            return
        self.receive(json.dumps(message).encode() + b"\n", split_at)
        if id <= self.last_id or bad or open_before >= MAX_OPEN_REQUESTS:
            answer = json.loads(self.sent[before:] or b"{}")
            codes = (-32600, -32602, -32002)[: 2 + self.server.draining]
            held(answer.get("id") == id and answer["error"]["code"] in codes, "F3", str(answer))
        elif self.server.draining:
            held(json.loads(self.sent[before:])["error"]["code"] == -32002, "F3", "accepted during a drain")
        else:
            held(
                len(self.open) == open_before + 1 and len(self.sent) == before,
                "F1",
                "the request is not open",
            )
        self.last_id = max(self.last_id, id)

    @rule(
        index=st.integers(0, 40),
        result=st.sampled_from((Served(b"a\tb\tc\n"), Rejected(250_000), Failed("x"))),
    )
    @precondition(lambda self: self.open)
    def one_answer(self, index: int, result: Answer) -> None:
        before = len(self.sent)
        request = self.answer(index, result)
        lines = self.sent[before:].splitlines(keepends=True)
        held(len(lines) == 1 and lines[0][-1:] == b"\n", "F1", f"{len(lines)} lines")
        message = json.loads(lines[0])
        held(message["id"] == request.client_handle, "F1", "answer to another request")
        held(("result" in message) == isinstance(result, Served), "F1", f"{message} for {result}")

    @rule(index=st.integers(0, 40))
    @precondition(lambda self: self.open)
    def cancel(self, index: int) -> None:
        request = self.open[index % len(self.open)]
        before = len(self.sent)
        self.receive(
            b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":%d}}\n' % request.client_handle, 9
        )
        held(request in self.abandoned and len(self.sent) == before, "F2", "a cancel is not forwarded")


class Mysql(FrontendContract):
    """One command at a time: a command that arrives early is queued."""

    kind = MysqlConnection

    def make_connection(self) -> Connection:
        self.queued_commands = 0
        self.identity = None
        self.mysql = SimpleNamespace(
            schema="",
            hint="slipbay",
            max_packet_bytes=1000,
            idle_us=1,
            users={"office": SimpleNamespace(password=b"", tenant=0)},
        )
        self.dispatcher = self
        frontend: Any = self
        connection: Connection = self.kind(self.server, frontend)
        return connection

    def next_connection_number(self) -> int:
        return 1

    def make_request(
        self, work: mysql.Work, outline: sql.Outline, tenant: int, client: MysqlConnection
    ) -> Request:
        return Request(TXN, 0, 1000, work, client, SimpleNamespace())

    def __init__(self) -> None:
        super().__init__()
        self.receive(
            packet(
                1,
                mysql.login(
                    mysql.Login(
                        mysql.CAPABILITIES & ~mysql.CONNECT_WITH_DB, 45, "office", b"", "", mysql.CACHING_SHA2
                    )
                ),
            ),
            20,
        )
        held(self.sent.endswith(packet(2, mysql.ok())), "F1", "login not accepted")

    @rule(split_at=st.integers(0, 12))
    @precondition(lambda self: not self.transport.closing and self.queued_commands < 5)
    def query(self, split_at: int) -> None:
        self.queued_commands += bool(self.open)
        before = len(self.open)
        self.receive(packet(0, b"\x03SELECT 1"), split_at)
        held(len(self.open) == max(1, before), "F1", "not submitted to the dispatcher, or before its turn")

    @rule()
    @precondition(lambda self: not self.transport.closing and not self.open)
    def ping(self) -> None:
        before = len(self.sent)
        self.receive(packet(0, b"\x0e"), 2)
        held(self.sent[before:] == packet(1, mysql.ok()), "F1", "no answer to a ping")

    @rule(
        result=st.sampled_from(
            (
                Rejected(250_000),
                Failed("x"),
                Failed("x", deadline_passed=True),
                Served([b"\1", column("a"), EOF, text("x"), EOF]),
            )
        )
    )
    @precondition(lambda self: self.open)
    def one_answer(self, result: Answer) -> None:
        before = len(self.sent)
        self.answer(0, result)
        numbers = [number for number, _ in mysql.Packets(1000).feed(bytes(self.sent[before:]))]
        expected = [1, 2, 3, 4, 5] if isinstance(result, Served) else [1]
        if self.server.draining:  # queued commands are rejected
            expected = expected + [1] * self.queued_commands
            self.queued_commands = 0
        held(numbers == expected, "F1", f"packets {numbers}")
        held(len(self.open) == min(1, self.queued_commands), "F1", "the next queued command did not run")
        self.queued_commands = max(0, self.queued_commands - 1)


FRONTENDS = {"JSON-RPC": (JsonRpc, 100), "MySQL": (Mysql, 100)}  # with the number of examples


# Faulty frontends


class AnswersTwice(JsonRpcConnection):
    """F1: it answers a request twice."""

    def answered(self, request: Request, answer: Answer) -> None:
        for _ in range(1 + (request.client_handle in self._open)):
            self._open[request.client_handle] = request
            super().answered(request, answer)


class AnswersAbandoned(JsonRpcConnection):
    """F2: it answers abandoned requests."""

    def answered(self, request: Request, answer: Answer) -> None:
        self._open.setdefault(request.client_handle, request)
        super().answered(request, answer)


class AcceptsUsedIds(JsonRpcConnection):
    """F3: it accepts an id that has been used."""

    def _answer_call(self, call: Any, id: int) -> None:
        self._last_id = 0
        super()._answer_call(call, id)


class HidesDisconnects(MysqlConnection):
    """F4: it does not notify the dispatcher that its client has disconnected."""

    def ended(self) -> None:
        self._request = None
        super().ended()


class NeverPausesReading(MysqlConnection):
    """F5: it continues to read from a client that does not read."""

    def flow_changed(self) -> None:
        pass


class StaysOpen(JsonRpcConnection):
    """F6: it does not close after its last answer during a drain."""

    def close_if_drained(self) -> None:
        self.record_activity()


FAULTY_FRONTENDS = (
    AnswersTwice,
    AnswersAbandoned,
    AcceptsUsedIds,
    HidesDisconnects,
    NeverPausesReading,
    StaysOpen,
)
REPLACEABLE_CLASSES = ((JsonRpc, JsonRpcConnection, "kind"), (Mysql, MysqlConnection, "kind"))

test_a_frontend_keeps_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    None, FRONTENDS, FAULTY_FRONTENDS, 40, lambda part: with_component(part, REPLACEABLE_CLASSES)
)
