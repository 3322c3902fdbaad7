"""What fronts must keep towards clients (docs/contracts.md, F1 to F6), and such that break one obligation
each."""

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
from slipbay.frontends.jsonrpc import MOST_OPEN, JsonRpcConnection, JsonRpcFrontend
from slipbay.frontends.mysql import MysqlConnection
from slipbay.frontends.server import Server
from slipbay.wire import mysql, sql

Connection: TypeAlias = JsonRpcConnection | MysqlConnection


class Front(RuleBasedStateMachine):
    """What both fronts have in common: a core that the test plays, and a client that reads or does not."""

    idempotency_guard = None
    kind: type[Any]  # of connection

    def __init__(self) -> None:
        super().__init__()
        self.loop = FakeLoop()
        self.server = Server(self.loop.timers, Limits(1.0, 192, 1024), self.loop.now)
        self.open: list[Request] = []  # with the core
        self.gone_before: list[Request] = []
        self.connection = self.make()
        self.connection.sock = QuietSocket()  # type: ignore[assignment]
        self.sent = bytearray()
        self.transport = FakeTransport(self.loop, self.connection, lambda _, data: self.sent.extend(data))
        self.connection.connection_made(self.transport)

    def make(self) -> Connection:
        raise NotImplementedError

    def submit(self, request: Request) -> None:
        self.open.append(request)

    def client_disconnected(self, request: Request, cancelled: bool = False) -> None:
        self.open.remove(request)
        self.gone_before.append(request)

    def receive(self, data: bytes, cut: int) -> None:
        """Bytes come in two pieces."""
        for piece in (data[:cut], data[cut:]):
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
    @precondition(lambda self: self.gone_before)
    def late_answer(self) -> None:
        """An answer for a request whose client has given it up: it is not to be seen."""
        before = len(self.sent)
        self.connection.answered(self.gone_before[-1], Served(b"late"))
        held(len(self.sent) == before, "F2", "an answer after the request was given up")

    @rule()
    def close(self) -> None:
        self.transport.close()
        self.loop.settle()
        held(not self.open and self.connection not in self.server.connections, "F4", f"{self.open} stay open")

    @rule(reads=st.booleans())
    @precondition(lambda self: not self.transport.closing)
    def client_reads(self, reads: bool) -> None:
        """Or does not, and more waits to be written than the transport likes."""
        (self.connection.resume_writing if reads else self.connection.pause_writing)()
        held(self.transport.reads == reads, "F5", "one that does not read may send on")

    @rule(chance=st.integers(0, 9))
    @precondition(lambda self: not self.server.draining)
    def drain(self, chance: int) -> None:
        if not chance:
            self.server.drain(10_000_000)
            self.loop.settle()

    @invariant()
    def busy_while_requests_are_open(self) -> None:
        held(self.connection.busy == bool(self.open), "F6", "busy without a request, or idle with one")
        held(not self.server.draining or self.open or self.transport.closing, "F6", "it stays after a drain")
        held(not (self.open and self.transport.closing), "F6", "it closes with requests open")


class JsonRpc(Front):
    kind = JsonRpcConnection

    def make(self) -> Connection:
        self.owed: dict[int, str] = {}  # by id, what is to be seen
        self.last_id = 0
        config = SimpleNamespace(classes=("lookup",), tenants=())
        front = JsonRpcFrontend(config, self, SimpleNamespace(), lambda: True)  # type: ignore[arg-type]
        connection: Connection = self.kind(self.server, front)
        return connection

    @rule(ahead=st.integers(-2, 3), cut=st.integers(0, 60), bad=st.booleans())
    def send(self, ahead: int, cut: int, bad: bool) -> None:
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
        self.receive(json.dumps(message).encode() + b"\n", cut)
        if id <= self.last_id or bad or open_before >= MOST_OPEN:
            told = json.loads(self.sent[before:] or b"{}")
            codes = (-32600, -32602, -32002)[: 2 + self.server.draining]
            held(told.get("id") == id and told["error"]["code"] in codes, "F3", str(told))
        elif self.server.draining:
            held(json.loads(self.sent[before:])["error"]["code"] == -32002, "F3", "taken on the way out")
        else:
            held(len(self.open) == open_before + 1 and len(self.sent) == before, "F1", "it is not open")
        self.last_id = max(self.last_id, id)

    @rule(
        index=st.integers(0, 40), how=st.sampled_from((Served(b"a\tb\tc\n"), Rejected(250_000), Failed("x")))
    )
    @precondition(lambda self: self.open)
    def one_answer(self, index: int, how: Answer) -> None:
        before = len(self.sent)
        request = self.answer(index, how)
        lines = self.sent[before:].splitlines(keepends=True)
        held(len(lines) == 1 and lines[0][-1:] == b"\n", "F1", f"{len(lines)} lines")
        told = json.loads(lines[0])
        held(told["id"] == request.client_handle, "F1", "another's answer")
        held(("result" in told) == isinstance(how, Served), "F1", f"{told} for {how}")

    @rule(index=st.integers(0, 40))
    @precondition(lambda self: self.open)
    def cancel(self, index: int) -> None:
        request = self.open[index % len(self.open)]
        before = len(self.sent)
        self.receive(
            b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":%d}}\n' % request.client_handle, 9
        )
        held(request in self.gone_before and len(self.sent) == before, "F2", "a cancel is not passed on")


class Mysql(Front):
    """One command at a time: what comes early waits."""

    kind = MysqlConnection

    def make(self) -> Connection:
        self.waiting = 0
        self.identity = None
        self.mysql = SimpleNamespace(
            schema="",
            hint="slipbay",
            max_packet_bytes=1000,
            idle_us=1,
            users={"office": SimpleNamespace(password=b"", tenant=0)},
        )
        self.core = self
        front: Any = self
        connection: Connection = self.kind(self.server, front)
        return connection

    def next_number(self) -> int:
        return 1

    def request(
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
        held(self.sent.endswith(packet(2, mysql.ok())), "F1", "no welcome")

    @rule(cut=st.integers(0, 12))
    @precondition(lambda self: not self.transport.closing and self.waiting < 5)
    def query(self, cut: int) -> None:
        self.waiting += bool(self.open)
        before = len(self.open)
        self.receive(packet(0, b"\x03SELECT 1"), cut)
        held(len(self.open) == max(1, before), "F1", "it is not with the core, or before its turn")

    @rule()
    @precondition(lambda self: not self.transport.closing and not self.open)
    def ping(self) -> None:
        before = len(self.sent)
        self.receive(packet(0, b"\x0e"), 2)
        held(self.sent[before:] == packet(1, mysql.ok()), "F1", "no answer to a ping")

    @rule(
        how=st.sampled_from(
            (
                Rejected(250_000),
                Failed("x"),
                Failed("x", deadline_passed=True),
                Served([b"\1", column("a"), EOF, text("x"), EOF]),
            )
        )
    )
    @precondition(lambda self: self.open)
    def one_answer(self, how: Answer) -> None:
        before = len(self.sent)
        self.answer(0, how)
        numbers = [number for number, _ in mysql.Packets(1000).feed(bytes(self.sent[before:]))]
        owed = [1, 2, 3, 4, 5] if isinstance(how, Served) else [1]
        if self.server.draining:  # those that wait are refused
            owed = owed + [1] * self.waiting
            self.waiting = 0
        held(numbers == owed, "F1", f"packets {numbers}")
        held(len(self.open) == min(1, self.waiting), "F1", "the next that waited has not its turn")
        self.waiting = max(0, self.waiting - 1)


FRONTS = {"JSON-RPC": (JsonRpc, 100), "MySQL": (Mysql, 100)}  # and how many histories


# Broken fronts


class Twice(JsonRpcConnection):
    """F1: it answers twice."""

    def answered(self, request: Request, answer: Answer) -> None:
        for _ in range(1 + (request.client_handle in self._open)):
            self._open[request.client_handle] = request
            super().answered(request, answer)


class Late(JsonRpcConnection):
    """F2: it answers what was given up."""

    def answered(self, request: Request, answer: Answer) -> None:
        self._open.setdefault(request.client_handle, request)
        super().answered(request, answer)


class TakesAll(JsonRpcConnection):
    """F3: it takes an id again."""

    def _answer_call(self, call: Any, id: int) -> None:
        self._last_id = 0
        super()._answer_call(call, id)


class Forgets(MysqlConnection):
    """F4: the core does not hear that its client has left."""

    def ended(self) -> None:
        self._request = None
        super().ended()


class ReadsOn(MysqlConnection):
    """F5: it reads on from those that do not read."""

    def flow_changed(self) -> None:
        pass


class Stays(JsonRpcConnection):
    """F6: it does not close with its last answer."""

    def close_if_drained(self) -> None:
        self.touch()


BROKEN = (Twice, Late, TakesAll, Forgets, ReadsOn, Stays)
PLACES = ((JsonRpc, JsonRpcConnection, "kind"), (Mysql, MysqlConnection, "kind"))

test_a_front_keeps_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    None, FRONTS, BROKEN, 40, lambda part: with_component(part, PLACES)
)
