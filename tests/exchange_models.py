"""Models of engines, each with one attempt on it: an HTTP engine, a MySQL server, and the emulator's engine.
A test chooses the order of events between the attempt and the engine, or the contract of exchanges chooses it
at random (tests/contracts/test_exchange_contract.py)."""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any, Protocol

from fakes import FakeConnector, FakeLoop, FakeTransport

from slipbay.backends.http import HttpBackend
from slipbay.backends.http_exchange import HttpExchange
from slipbay.backends.mysql import MysqlBackend
from slipbay.backends.mysql_exchange import PROOF_TIMEOUT_US, MysqlExchange
from slipbay.backends.mysql_thread import RETRY_US
from slipbay.backends.pool import (
    LONG_POLL_US,
    QUERY_DROPPED_US,
    UNPOLLED_QUERY_US,
    UNREACHABLE_AFTER_US,
    SocketBudget,
)
from slipbay.core.model import Endpoint
from slipbay.emulator.fleet_model import FleetModel
from slipbay.policy.actions import Action, Cancel, Dispatch
from slipbay.policy.events import AttemptEnded, EngineState, Event, ListKind, Outcome, TimerFired
from slipbay.wire import mysql

ENGINE = b"s-0"
ANSWERS = {
    "nothing": b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n",
    "note": b"HTTP/1.1 202 x\r\nX-Tell: done\r\nX-Val: 0.5\r\nContent-Length: 0\r\n\r\n",
    "last note": b"HTTP/1.1 202 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "page": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n1\n",
    "pages": b"HTTP/1.1 200 x\r\nX-Sheets: 2\r\nContent-Length: 2\r\n\r\n1\n",
    "error": b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
    "full": b"HTTP/1.1 503 x\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n",
}
MORE = b"HTTP/1.1 200 x\r\nX-Sheet: 1\r\nContent-Length: 2\r\n\r\n2\n"
DELETED = b"HTTP/1.1 204 x\r\n\r\n"
DAMAGED_RESULTS = {  # damaged forms of a result; the query has run nevertheless
    "noise": b"\x00\xffnoise\r\n\r\n",
    "status": b"HTTP/1.1 2000 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n9\n",
    "endless": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 3000000000\r\n\r\n9\n",
    "short": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n1",
    "cut off": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 1\r\n\r\n1\n",
    "no sheets": b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n9\n",
    "other sheet": b"HTTP/1.1 200 x\r\nX-Sheet: 7\r\nContent-Length: 2\r\n\r\n9\n",
    "nothing at all": b"",
}
SURPLUS_DATA = (
    b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n9\n",
    b"\x00noise",
    b"HTTP/1.1 200 ",
)
INTERIM_RESPONSES = b"HTTP/1.1 100 x\r\n\r\n" * 3
MAX_TRANSIT_US = 100_000  # in which a call arrives that the network does not lose
MAX_ARRIVAL_AFTER_STOP_US = 100_000  # a client that has gone must not cause work later than this
ENDED = ("page", "pages", "error", "full")

Draw = Callable[[Sequence[Any]], Any]  # chooses one of the options
Moves = dict[str, Callable[[Draw], None]]  # events that are possible now
Check = Callable[[Outcome, Any], None]


def accept_any(outcome: Outcome, result: object) -> None:
    """Accept any end of an attempt."""


def first(options: Sequence[Any]) -> Any:
    """Choose the first option, for tests with a fixed order of events."""
    return options[0]


class Attempt:
    """Stand-in for the attempt of the core."""

    def __init__(
        self, now: int, work: object, check: Check = accept_any, expires_in_us: int = 20_000_000
    ) -> None:
        self.check = check
        self.engine = ENGINE
        self.number = 0
        self.sent_us = now
        self.request = SimpleNamespace(
            name="9b1f03aa5c7e2d41",
            service_class=0,
            priority=1,
            grant_mb=0.0,
            replay_key="",
            expires_in_us=expires_in_us,
            deadline_us=now + expires_in_us,
            payload=work,
            finished=False,
        )
        self.ends: list[tuple[Outcome, Any]] = []

    def finish(self, outcome: Outcome, result: object = None) -> None:
        self.ends.append((outcome, result))
        self.check(outcome, result)

    def request_permission(self, wire: str, thread: int, go: Callable[[], None]) -> None:
        go()

    def may_send(self) -> bool:
        return not self.request.finished

    def report_progress(self, kind: object, value: float) -> None:
        assert not self.ends


class Model(Protocol):
    """One attempt at one engine."""

    bound_us: int  # time in which a stopped attempt ends, if the engine sends nothing more
    sent: int  # how often the statement was sent to the engine
    sent_other_statement: bool  # another statement than the client's was sent
    stopped: Outcome | None  # outcome with which the attempt was first stopped

    @property
    def runs(self) -> bool: ...  # the query runs at the engine, so that a second attempt would overlap
    @property
    def was_rejected(self) -> bool: ...  # the engine answered that the query was rejected
    @property
    def expected_result(self) -> object: ...  # the engine's complete answer; None: no good one was sent
    @property
    def may_arrive_late(self) -> bool: ...  # the statement may still arrive, long after the stop
    @property
    def idle(self) -> bool: ...  # no data is in transit, in either direction
    def moves(self) -> Moves: ...
    def stop(self, outcome: Outcome = Outcome.CANCELLED) -> None: ...
    def wait(self, us: int) -> None: ...
    def serve(self, us: int) -> None: ...  # wait; the engine answers immediately, and the query runs on


class ConnectedModel:
    """The engine's side of the connections, with the calls in transit."""

    exchange_type: type[Any]
    expires_in_us = 20_000_000

    def __init__(self, check: Check = accept_any) -> None:
        self.check = check
        self.sent = 0
        self.sent_other_statement = False
        self.stopped: Outcome | None = None
        self.stopped_us = 0
        self.loop = FakeLoop()
        self.connector = FakeConnector(self.loop, self.written)
        self.sockets = SocketBudget(8)
        self.in_transit: list[tuple[FakeTransport, str]] = []  # written, but not received by the engine
        self.written_us: dict[FakeTransport, int] = {}  # when the last call was written
        self.calls: list[tuple[FakeTransport, str]] = []  # received by the engine, but not answered
        self.hung_up = False
        self.end = ""  # how the query ended; "" until the engine has sent its end

    def begin(self, backend: Any, work: object) -> None:
        self.backend = backend
        self.attempt = Attempt(self.loop.us, work, self.check, self.expires_in_us)
        self.exchange = self.exchange_type(backend, self.attempt, backend._pools[ENGINE])

    @property
    def idle(self) -> bool:
        return not (self.calls or self.in_transit or self.connector.waiting)

    @property
    def statement_in_transit(self) -> bool:
        """Whether the statement may still arrive."""
        raise NotImplementedError

    @property
    def may_arrive_late(self) -> bool:
        is_late = self.stopped is not None and self.loop.us - self.stopped_us > MAX_ARRIVAL_AFTER_STOP_US
        return is_late and self.statement_in_transit

    def moves(self) -> Moves:
        moves: Moves = {}
        if self.in_transit:
            moves["arrive"] = lambda draw: self.arrive(draw(range(10)))
        if self.connector.waiting:
            moves["connect"] = lambda draw: self.connect()
            moves["die"] = lambda draw: self.die()
            moves["reset"] = lambda draw: self.reset()
            if not self.hung_up:
                moves["refuse"] = lambda draw: self.refuse()
        if self.in_transit:
            moves["silence"] = lambda draw: self.be_silent(draw((150, 400, 1100, 2400)) * 1000)
        if self.calls or self.in_transit:
            moves["cut"] = lambda draw: self.cut(draw(range(10)))
        return moves

    def written(self, transport: FakeTransport, data: bytes) -> None:
        raise NotImplementedError

    def call_arrived(self, transport: FakeTransport, call: str) -> None:
        raise NotImplementedError

    def process_ended(self) -> None:
        """The engine's process has ended with all its queries."""
        raise NotImplementedError

    def answer_all(self) -> None:
        """Answer all calls; the query runs on."""
        raise NotImplementedError

    def arrive(self, index: int) -> None:
        """Deliver a call. Calls on several connections may overtake each other, and a call arrives even if
        its sender has closed the connection, but not if the close has reset it."""
        transport, call = self.in_transit.pop(index % len(self.in_transit))
        self.hung_up = False
        self.calls.append((transport, call))
        self.call_arrived(transport, call)

    def connect(self) -> None:
        self.accept()
        self.loop.settle()

    def accept(self, index: int = 0) -> FakeTransport:
        """Establish a connection."""
        transport = self.connector.accept(index)
        transport.on_reset = lambda: self.drop_unreceived(transport)
        return transport

    def drop_unreceived(self, transport: FakeTransport) -> None:
        """The router has reset a connection: what the network has lost is not sent again, but a call that
        was just written may still arrive."""
        if self.loop.us - self.written_us.get(transport, 0) >= MAX_TRANSIT_US:
            self.in_transit = [item for item in self.in_transit if item[0] is not transport]

    def be_silent(self, us: int) -> None:
        """The network loses all calls for a time; the system of the router sends them again later, but for
        those on connections that were reset."""
        end_us = self.loop.us + us
        while self.loop.us < end_us:
            self.loop.advance(min(10_000, end_us - self.loop.us))
            for transport, _ in list(self.in_transit):
                if transport.was_reset:
                    self.drop_unreceived(transport)

    def refuse(self) -> None:
        """The engine refuses, as it is at its connection limit; this proves nothing about the query. Not
        modelled: the engine breaks the connection and accepts another router before this one reconnects."""
        self.connector.refuse(0)
        self.loop.settle()

    def die(self) -> None:
        """The process ends, and with it the query and all connections."""
        for transport in self.connector.transports:
            transport.close()
        self.calls.clear()
        self.in_transit.clear()
        self.process_ended()
        self.loop.settle()
        if self.connector.waiting:
            self.connector.refuse(0)
        self.loop.settle()

    def reset(self) -> None:
        """A new connection is reset; this proves nothing about the query."""
        self.connector.refuse(0, errno.ECONNRESET)
        self.loop.settle()

    def deliver(self, transport: FakeTransport, data: bytes) -> None:
        if data and not transport.closing:
            transport.stream.get_buffer(-1)[: len(data)] = data
            transport.stream.buffer_updated(len(data))
            self.loop.settle()

    def cut(self, index: int) -> None:
        calls = self.calls or self.in_transit
        self.hung_up = True
        calls.pop(index % len(calls))[0].close()
        self.loop.settle()

    def stop(self, outcome: Outcome = Outcome.CANCELLED) -> None:
        if self.stopped is None:
            self.stopped = outcome
            self.stopped_us = self.loop.us
        self.exchange.stop(outcome)
        self.loop.settle()

    def serve(self, us: int) -> None:
        end = self.loop.us + us
        while self.loop.us < end:
            while self.connector.waiting:
                self.connect()
            while self.in_transit:
                self.arrive(0)
            self.answer_all()
            self.loop.advance(5_000)

    def wait(self, us: int) -> None:
        end = self.loop.us + us
        while self.loop.us < end:
            while self.in_transit:  # no call is in transit for longer than this
                self.arrive(0)
            self.loop.advance(min(50_000, end - self.loop.us))


class HttpModel(ConnectedModel):
    """An engine that identifies a query by its id, and drops it when it is not polled."""

    bound_us = QUERY_DROPPED_US + LONG_POLL_US + 500_000
    exchange_type: type[HttpExchange] = HttpExchange

    def __init__(self, check: Check = accept_any, draw: Draw = first) -> None:
        super().__init__(check)
        self.runs_until: int | None = None  # when the engine drops the query unless polled; None: no query
        self.posted = 0  # when the POST was written
        self.hidden = False  # the query runs, but calls reach a new process that does not have it
        config: Any = SimpleNamespace(classes=("lookup",), connect_timeout_us=250_000, idle_us=30_000_000)
        connector: Any = self.connector
        backend = HttpBackend(config, self.loop.timers, connector, self.sockets, self.loop.now)
        entry: Any = SimpleNamespace(engine=ENGINE, state=EngineState.READY, ready_at_us=0)
        backend.endpoints_changed(ListKind.CACHED, [Endpoint(entry, ("127.0.0.1", 1))])
        self.begin(backend, b"SELECT 1")

    @property
    def runs(self) -> bool:
        return self.statement_in_transit or self.has_query

    @property
    def statement_in_transit(self) -> bool:
        return any(call == "POST /obj" for _, call in self.in_transit)

    @property
    def has_query(self) -> bool:
        return self.runs_until is not None and self.loop.us < self.runs_until and not self.end

    @property
    def was_rejected(self) -> bool:
        return self.end == "full"

    @property
    def expected_result(self) -> object:
        return {"page": b"1\n", "pages": b"1\n2\n"}.get(self.end)

    def moves(self) -> Moves:
        moves = super().moves()
        if self.statement_in_transit:
            moves["black out"] = lambda draw: self.black_out(draw((True, False)))
            if self.loop.us - self.posted < 20_000:
                # A call may be in transit for this long, and be overtaken
                moves["dawdle"] = lambda draw: self.loop.advance(70_000)
        if any(self.ending(call) for _, call in self.calls):
            moves["spoil"] = lambda draw: self.damage(draw(range(10)), draw(sorted(DAMAGED_RESULTS)))
        if self.calls:
            moves["answer"] = lambda draw: self.answer(
                draw(range(10)),
                draw(sorted(ANSWERS)),
                draw((b"", INTERIM_RESPONSES)),
                draw((b"", *SURPLUS_DATA)),
            )
        return moves

    def written(self, transport: FakeTransport, data: bytes) -> None:
        method, path = data.decode().split(" ")[:2]
        assert not any(other is transport for other, _ in self.calls + self.in_transit), "one call at a time"
        if method == "POST":
            self.sent, self.posted = self.sent + 1, self.loop.us
            self.sent_other_statement |= not data.endswith(b"\r\n\r\nSELECT 1")
        self.in_transit.append((transport, f"{method} {path}"))
        self.written_us[transport] = self.loop.us

    def call_arrived(self, transport: FakeTransport, call: str) -> None:
        method, path = call.split(" ")
        if self.hidden:
            return
        if method == "POST" or (path.endswith("/0") and self.runs_until is not None and method != "DELETE"):
            self.runs_until = self.loop.us + LONG_POLL_US + UNPOLLED_QUERY_US
        elif method == "DELETE":
            self.runs_until = None

    def process_ended(self) -> None:
        self.runs_until = None

    def black_out(self, stop: bool) -> None:
        """The host is unreachable while the POST is in transit. When it is reachable again it breaks its
        connections, and the POST arrives; new calls reach a process that never had the query."""
        if stop:
            self.stop()
        self.loop.advance(UNREACHABLE_AFTER_US + 50_000)
        for transport in self.connector.transports:
            transport.close()
        self.calls.clear()
        self.in_transit.clear()
        self.runs_until = self.posted + LONG_POLL_US + UNPOLLED_QUERY_US
        self.hidden = True
        self.hung_up = True
        self.loop.settle()

    def answer_all(self) -> None:
        for _ in self.calls[:]:
            self.answer(0, "nothing")

    def damage(self, index: int, how: str) -> None:
        ending = [item for item in self.calls if self.ending(item[1])]
        transport, call = ending[index % len(ending)]
        self.calls.remove((transport, call))
        self.end = self.end or "page"
        self.deliver(transport, DAMAGED_RESULTS[how])

    def ending(self, call: str) -> bool:
        found = self.has_query and not self.hidden
        return (found or self.end in ("page", "pages")) and not call.startswith(("DELETE", "PUT"))

    def answer(self, index: int, how: str, before: bytes = b"", behind: bytes = b"") -> None:
        transport, call = self.calls.pop(index % len(self.calls))
        if transport.closing:
            return
        if call.startswith(("DELETE", "PUT")):
            data = DELETED
        elif call.endswith("/1"):
            data = MORE if self.end == "pages" else ANSWERS["error"]
        elif self.end:
            data = ANSWERS[self.end]  # the same answer again
        elif not self.has_query or self.hidden:
            data = ANSWERS["error"]  # unknown query
        else:
            data = ANSWERS[how]
            self.end = how if how in ENDED else ""
        self.deliver(transport, before + data + behind)


class ShortDeadlineModel(HttpModel):
    """The client's time limit is short, so that a poll is sent beside the POST on an idle connection."""

    expires_in_us = 800_000

    def __init__(self, check: Check = accept_any, draw: Draw = first) -> None:
        super().__init__(check)
        pool = self.backend._pools[ENGINE]
        pool.acquire(lambda stream: stream.release(), lambda trouble: None)
        self.accept(1)
        self.loop.settle()


ROWS = [b"\1", b"\3def", mysql.eof(), b"\1x", mysql.eof()]
STATEMENT_ANSWERS = {  # packets of the answer by how a statement ends
    "rows": ROWS,
    "done": [mysql.ok()],
    "mistake": [mysql.err(1064, "syntax")],
    "interrupted": [mysql.err(mysql.ER_QUERY_INTERRUPTED, "killed")],
}
DESCRIPTION = mysql.Prepared(1, 2, (b"\3def", b"\3def", mysql.eof(), b"\3def", mysql.eof()))
PREPARED = mysql.Work(b"SELECT ?, ?", mysql.Execution(b"\0", b"\x08\0\xfc\0", bytes(8), {1: b"oil"}))
PREPARE = mysql.Work(PREPARED.sql, prepare=True)
WORK_CASES = (  # each with the connection on which the statement was prepared before
    (mysql.Work(b"SELECT 1"), ""),
    (PREPARED, ""),
    (PREPARED, "here"),
    (PREPARED, "elsewhere"),
    (PREPARE, ""),
    (PREPARE, "here"),
)


class MysqlModel(ConnectedModel):
    """A server that continues a statement after its client has disconnected, until the thread is killed."""

    exchange_type: type[MysqlExchange] = MysqlExchange
    expires_in_us = 2_000_000
    bound_us = expires_in_us + PROOF_TIMEOUT_US + RETRY_US + 500_000  # after that no other attempt can follow

    def __init__(self, check: Check = accept_any, draw: Draw = first) -> None:
        super().__init__(check)
        self.work, before = WORK_CASES[draw(range(len(WORK_CASES)))]
        # Prepared statements by connection and number
        self.statements: dict[tuple[FakeTransport, int], bytes] = {}
        self.last_statement = 0
        self.long_data = dict[int, bytes]()
        self.threads: dict[FakeTransport, int] = {}  # thread number by connection
        self.last_thread = 0
        self.running: FakeTransport | None = None  # connection whose thread runs the statement
        self.killed = False  # the thread was killed, and has not ended yet
        config: Any = SimpleNamespace(
            connect_timeout_us=250_000, idle_us=30_000_000, settings=SimpleNamespace(progress_us=1_000_000)
        )
        login: Any = SimpleNamespace(
            engines={ENGINE: ("127.0.0.1", 1)}, engine_password=b"oil", engine_user="router", schema=""
        )
        connector: Any = self.connector
        backend = MysqlBackend(config, login, self.loop.timers, connector, self.sockets, self.loop.now)
        if before:
            self.check = accept_any
            for _ in range(2):  # the second prepare closes the statement number of the first
                self.begin(backend, PREPARE)
                self.serve(5_000)
            if before == "elsewhere":
                self.connector.transports[0].close()
                self.loop.settle()
            self.check = check
            self.end = ""
        self.begin(backend, self.work)
        self.backend.exchanges[ENGINE].add(self.exchange)

    @property
    def statement_in_transit(self) -> bool:
        return any(call == "RUN" for _, call in self.in_transit)

    @property
    def runs(self) -> bool:
        return (self.statement_in_transit or self.running is not None) and (
            self.loop.us <= self.attempt.request.deadline_us + PROOF_TIMEOUT_US
        )

    @property
    def was_rejected(self) -> bool:
        return False

    @property
    def expected_result(self) -> object:
        if self.end == "prepared":
            return DESCRIPTION
        return STATEMENT_ANSWERS[self.end] if self.end and self.end != "interrupted" else None

    def moves(self) -> Moves:
        moves = super().moves()
        if self.calls:
            moves["answer"] = lambda draw: self.answer(
                draw(range(10)), draw(sorted(STATEMENT_ANSWERS)), draw((0, 0, 0, 1, 3, 9))
            )
        if self.running is not None and (self.killed or self.running.closing):
            moves["vanish"] = lambda draw: self.end_thread()
        return moves

    def connect(self) -> None:
        transport = self.accept()
        self.last_thread += 1
        self.threads[transport] = self.last_thread
        self.deliver(
            transport,
            mysql.packets(
                [mysql.greeting(mysql.Greeting(self.last_thread, b"abcdefghijklmnopqrst", mysql.NATIVE))], 0
            )[0],
        )

    def written(self, transport: FakeTransport, data: bytes) -> None:
        if data[3]:  # the login
            self.loop.call_soon(self.deliver, transport, mysql.packets([mysql.ok()], 2)[0])
            return
        assert not any(other is transport for other, _ in self.calls + self.in_transit), "one call at a time"
        for _, command in mysql.Packets(1000).feed(data):
            self.handle_command(transport, command)

    def handle_command(self, transport: FakeTransport, command: bytes) -> None:
        kind = command[0]
        rest = command[1:]
        sql = self.work.sql
        run = self.work.run
        call = "RUN"
        if kind == mysql.COM_STMT_CLOSE:  # neither this nor long data has an answer
            del self.statements[transport, mysql.statement_of(command)]
            return
        if kind == mysql.COM_STMT_SEND_LONG_DATA:
            _, parameter, self.long_data[parameter] = mysql.read_long_data(command)
            return
        if kind == mysql.COM_STMT_PREPARE:
            call = "PREPARE"
            sql = rest
        elif kind == mysql.COM_STMT_EXECUTE:
            sql = self.statements.get((transport, mysql.statement_of(command)), b"")
            run = mysql.read_execute(command, 2, b"", self.long_data)
        elif kind == mysql.COM_PING or rest.startswith(b"KILL"):
            call = rest.decode() or "PING"
        else:
            sql = rest
            run = None
        self.sent += call == "RUN"
        self.sent_other_statement |= (sql, run) != (self.work.sql, self.work.run)
        self.in_transit.append((transport, call))
        self.written_us[transport] = self.loop.us

    def answer_all(self) -> None:
        for index in reversed(range(len(self.calls))):
            if self.calls[index][1] != "RUN":
                self.answer(index, "done")
        if self.killed:
            self.end_thread()

    def call_arrived(self, transport: FakeTransport, call: str) -> None:
        if call == "RUN":
            self.running = transport
            self.killed = False
        elif (
            call.startswith("KILL")
            and self.running is not None
            and (int(call[5:]) == self.threads[self.running])
        ):
            self.killed = True

    def process_ended(self) -> None:
        self.threads.clear()
        self.last_thread = 0
        self.running = None

    def end_thread(self) -> None:
        """The thread ends: it was killed, or detected that its client has disconnected."""
        if self.running is not None:
            self.running.close()
            self.calls = [item for item in self.calls if item[0] is not self.running]
            self.running = None
            self.loop.settle()

    def answer(self, index: int, how: str, missing_bytes: int = 0) -> None:
        """``short``: number of bytes of the answer that are missing when the connection breaks."""
        transport, call = self.calls.pop(index % len(self.calls))
        if transport.closing and call != "RUN":
            return
        payloads = [mysql.ok()]
        if call.startswith("KILL"):
            known_threads = [
                number for other, number in self.threads.items() if not other.closing or other is self.running
            ]
            payloads = (
                payloads
                if int(call[5:]) in known_threads
                else [mysql.err(mysql.ER_NO_SUCH_THREAD, "unknown")]
            )
        elif call == "PREPARE" and how in ("rows", "done"):
            self.last_statement += 1
            self.statements[transport, self.last_statement] = self.work.sql
            self.end = "prepared" if self.work.prepare and not missing_bytes else ""
            payloads = mysql.prepared(self.last_statement, DESCRIPTION)
        elif call in ("RUN", "PREPARE"):
            self.end = how
            self.running = None
            payloads = STATEMENT_ANSWERS[how]
        data = mysql.packets(payloads, 1)[0]
        self.deliver(transport, data[: len(data) - missing_bytes])
        if missing_bytes:
            transport.close()
            self.hung_up = True
            self.loop.settle()


class EmulatedModel:
    """The emulator's engine, and a router that takes its actions from the test."""

    bound_us = 2_000  # the policy receives the end in the next turn
    tier_type: type[FleetModel] = FleetModel
    was_rejected = False
    may_arrive_late = False
    expected_result = "whole"
    sent_other_statement = False

    def __init__(self, check: Check = accept_any, draw: Draw = first) -> None:
        self.check = check
        self.sent = 0
        self.stopped: Outcome | None = None
        self.tier = self.tier_type(1, 1)
        self.actions = list[Action]()
        self.engine_name = next(iter(self.tier.engines))
        decider: Any = self
        self.tier.routers[0] = decider
        self.dispatch()

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Stand-in for the policy."""
        for event in events:
            if isinstance(event, AttemptEnded) and event.query == 1:
                self.check(event.outcome, "whole" if event.outcome is Outcome.OK else None)
        actions = self.actions
        self.actions = []
        return actions

    def act(self, action: Action) -> None:
        self.actions = [action]
        self.tier._deliver_event(0, TimerFired(0))

    def dispatch(self) -> None:
        """Dispatch a query. The first is the attempt under test; each further one slows it down."""
        query = len(self.tier.requests) + 1
        self.tier.requests[query] = 0, 50_000.0, self.tier.now
        self.act(Dispatch(query, self.engine_name))
        self.sent = self.tier.sent[0, 1]

    @property
    def runs(self) -> bool:
        return 1 in self.tier.engines[self.engine_name].runs

    @property
    def idle(self) -> bool:
        return not self.tier.engines[self.engine_name].runs and not self.stopped

    def moves(self) -> Moves:
        return {"dispatch": lambda draw: self.dispatch(), "work": lambda draw: self.wait(draw((900, 30_000)))}

    def stop(self, outcome: Outcome = Outcome.CANCELLED) -> None:
        self.stopped = Outcome.CANCELLED  # the emulator has no other outcome
        self.act(Cancel(1, 0))

    def wait(self, us: int) -> None:
        self.tier.until(self.tier.now + us)

    serve = wait
