"""A model of what a client is owed; connections of both fronts are stepped at random against it."""

from __future__ import annotations

import base64
import json
from types import SimpleNamespace
from typing import TypeAlias

from fakes import FakeLoop, FakeTransport
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from loopback import TXN
from mysql_standins import EOF, column, packet, text

from slipbay.config import Limits
from slipbay.core.router import Answer, Failed, Refused, Request, Served
from slipbay.front.jsonrpc import MOST_OPEN, JsonRpcConnection, JsonRpcFront
from slipbay.front.mysql import MysqlConnection
from slipbay.front.server import Server
from slipbay.wire import mysql, sql

Connection: TypeAlias = JsonRpcConnection | MysqlConnection


class Front(RuleBasedStateMachine):
    """What both fronts have in common: a core that the test plays, and a client that reads or does not."""

    guardian = None

    def __init__(self) -> None:
        super().__init__()
        self.loop = FakeLoop()
        self.server = Server(self.loop.timers, Limits(1.0, 192, 1024), self.loop.now)
        self.open: list[Request] = []  # with the core
        self.gone_before: list[Request] = []
        self.connection = self.make()
        self.sent = bytearray()
        self.transport = FakeTransport(self.loop, self.connection, lambda _, data: self.sent.extend(data))
        self.connection.connection_made(self.transport)

    def make(self) -> Connection:
        raise NotImplementedError

    def submit(self, request: Request) -> None:
        self.open.append(request)

    def gone(self, request: Request, cancelled: bool = False) -> None:
        self.open.remove(request)
        self.gone_before.append(request)

    def receive(self, data: bytes, cut: int) -> None:
        """Bytes come in two pieces."""
        for piece in (data[:cut], data[cut:]):
            if piece and not self.transport.closing:
                self.connection.get_buffer(-1)[:len(piece)] = piece
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
        assert len(self.sent) == before

    @rule()
    def close(self) -> None:
        self.transport.close()
        self.loop.settle()
        assert not self.open and self.connection not in self.server.connections

    @invariant()
    def busy_while_requests_are_open(self) -> None:
        assert self.connection.busy == bool(self.open)


class JsonRpc(Front):
    def make(self) -> Connection:
        self.owed: dict[int, str] = {}  # by id, what is to be seen
        self.last_id = 0
        config = SimpleNamespace(classes=("lookup",), tenants=())
        front = JsonRpcFront(config, self, SimpleNamespace(), lambda: True)  # type: ignore[arg-type]
        return JsonRpcConnection(self.server, front)

    @rule(ahead=st.integers(-2, 3), cut=st.integers(0, 60), bad=st.booleans())
    def send(self, ahead: int, cut: int, bad: bool) -> None:
        id = max(1, self.last_id + ahead)
        message = {"jsonrpc": "2.0", "id": id, "method": "lookup", "params": {
            "txn": f"{id:016x}", "limit": -1 if bad else 100, "data": base64.b64encode(b"SELECT 1").decode()}}
        before, open_before = len(self.sent), len(self.open)
        if self.transport.closing:
            return
        self.receive(json.dumps(message).encode() + b"\n", cut)
        if id <= self.last_id or bad or open_before >= MOST_OPEN:
            told = json.loads(self.sent[before:])
            assert told["id"] == id and told["error"]["code"] in (-32600, -32602)
        else:
            assert len(self.open) == open_before + 1 and len(self.sent) == before
        self.last_id = max(self.last_id, id)

    @rule(index=st.integers(0, 40),
          how=st.sampled_from((Served(b"a\tb\tc\n"), Refused(250_000), Failed("x"))))
    @precondition(lambda self: self.open)
    def one_answer(self, index: int, how: Answer) -> None:
        before = len(self.sent)
        request = self.answer(index, how)
        told = json.loads(self.sent[before:])
        assert told["id"] == request.handle and self.sent[-1:] == b"\n"
        assert ("result" in told) == isinstance(how, Served)

    @rule(index=st.integers(0, 40))
    @precondition(lambda self: self.open)
    def cancel(self, index: int) -> None:
        request, before = self.open[index % len(self.open)], len(self.sent)
        self.receive(b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":%d}}\n' % request.handle, 9)
        assert request in self.gone_before and len(self.sent) == before


class Mysql(Front):
    """One command at a time: what comes early waits."""

    def make(self) -> Connection:
        self.waiting = 0
        self.identity = None
        self.mysql = SimpleNamespace(schema="", hint="slipbay", most_packet_bytes=1000, idle_us=1, users={
            "office": SimpleNamespace(password=b"", tenant=0)})
        self.core = self
        return MysqlConnection(self.server, self)  # type: ignore[arg-type]

    def next_number(self) -> int:
        return 1

    def request(self, work: mysql.Work, outline: sql.Outline, tenant: int,
                client: MysqlConnection) -> Request:
        return Request(TXN, 0, 1000, work, client, SimpleNamespace())

    def __init__(self) -> None:
        super().__init__()
        self.receive(packet(1, mysql.login(mysql.Login(
            mysql.CAPABILITIES & ~mysql.CONNECT_WITH_DB, 45, "office", b"", "", mysql.CACHING_SHA2))), 20)
        assert self.sent.endswith(packet(2, mysql.ok()))

    @rule(cut=st.integers(0, 12))
    @precondition(lambda self: not self.transport.closing and self.waiting < 5)
    def query(self, cut: int) -> None:
        self.waiting += bool(self.open)
        before = len(self.open)
        self.receive(packet(0, b"\x03SELECT 1"), cut)
        assert len(self.open) == max(1, before)

    @rule()
    @precondition(lambda self: not self.transport.closing and not self.open)
    def ping(self) -> None:
        before = len(self.sent)
        self.receive(packet(0, b"\x0e"), 2)
        assert self.sent[before:] == packet(1, mysql.ok())

    @rule(how=st.sampled_from((Refused(250_000), Failed("x"), Failed("x", late=True), Served(
        [b"\1", column("a"), EOF, text("x"), EOF]))))
    @precondition(lambda self: self.open)
    def one_answer(self, how: Answer) -> None:
        before = len(self.sent)
        self.answer(0, how)
        numbers = [number for number, _ in mysql.Packets(1000).feed(bytes(self.sent[before:]))]
        assert numbers == ([1, 2, 3, 4, 5] if isinstance(how, Served) else [1])
        assert len(self.open) == min(1, self.waiting)  # the next that waited has its turn
        self.waiting = max(0, self.waiting - 1)


TestJsonRpc, TestMysql = JsonRpc.TestCase, Mysql.TestCase
TestJsonRpc.settings = TestMysql.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
