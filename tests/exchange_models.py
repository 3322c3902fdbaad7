"""Engines as models, each with one attempt on it: an HTTP engine, a MySQL server, and the emulator's. What
comes between an attempt and its engine is stepped by hand, or at random by the contract of exchanges
(tests/contracts/test_exchange_contract.py)."""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any, Protocol

from fakes import FakeDialer, FakeLoop, FakeTransport

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
SPOILT = {  # what a good end may come as; the query has run all the same
    "noise": b"\x00\xffnoise\r\n\r\n",
    "status": b"HTTP/1.1 2000 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n9\n",
    "endless": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 3000000000\r\n\r\n9\n",
    "short": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n1",
    "cut off": b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 1\r\n\r\n1\n",
    "no sheets": b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n9\n",
    "other sheet": b"HTTP/1.1 200 x\r\nX-Sheet: 7\r\nContent-Length: 2\r\n\r\n9\n",
    "nothing at all": b"",
}
SURPLUS = (b"HTTP/1.1 200 x\r\nX-Sheets: 1\r\nContent-Length: 2\r\n\r\n9\n", b"\x00noise", b"HTTP/1.1 200 ")
INTERIM = b"HTTP/1.1 100 x\r\n\r\n" * 3
ENDED = ("page", "pages", "error", "full")

Draw = Callable[[Sequence[Any]], Any]  # chooses one of a few
Moves = dict[str, Callable[[Draw], None]]  # what may happen now
Check = Callable[[Outcome, Any], None]


def anything(outcome: Outcome, result: object) -> None:
    """No check on how an attempt ends."""


def first(options: Sequence[Any]) -> Any:
    """What a test of a single history draws."""
    return options[0]


class Attempt:
    """Stands in for the core's."""

    def __init__(
        self, now: int, work: object, check: Check = anything, expires_in_us: int = 20_000_000
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

    bound_us: int  # within which a stopped attempt ends, if nobody says anything more
    sent: int  # how often it left for the engine
    strayed: bool  # what left is not the client's statement
    stopped: Outcome | None  # as which it was first called off

    @property
    def runs(self) -> bool: ...  # at the engine, so that a second attempt would be beside it
    @property
    def turned_away(self) -> bool: ...  # the engine said that nothing of it runs
    @property
    def made(self) -> object: ...  # what the engine's whole answer is; None: no good one is written
    @property
    def idle(self) -> bool: ...  # nothing is on its way, in neither direction
    def moves(self) -> Moves: ...
    def stop(self, outcome: Outcome = Outcome.CANCELLED) -> None: ...
    def wait(self, us: int) -> None: ...
    def tend(self, us: int) -> None: ...  # wait; the engine does at once what it is asked, and runs on


class Wired:
    """At the other end of connections, on which calls are under way."""

    exchange_type: type[Any]
    expires_in_us = 20_000_000

    def __init__(self, check: Check = anything) -> None:
        self.check = check
        self.sent = 0
        self.strayed = False
        self.stopped: Outcome | None = None
        self.loop = FakeLoop()
        self.dialer = FakeDialer(self.loop, self.written)
        self.sockets = SocketBudget(8)
        self.flying: list[tuple[FakeTransport, str]] = []  # written, and not with the engine yet
        self.calls: list[tuple[FakeTransport, str]] = []  # with the engine, and not answered
        self.hung_up = False
        self.end = ""  # how it ended, once its end is written

    def begin(self, back: Any, work: object) -> None:
        self.back = back
        self.attempt = Attempt(self.loop.us, work, self.check, self.expires_in_us)
        self.exchange = self.exchange_type(back, self.attempt, back._pools[ENGINE])

    @property
    def idle(self) -> bool:
        return not (self.calls or self.flying or self.dialer.waiting)

    def moves(self) -> Moves:
        moves: Moves = {}
        if self.flying:
            moves["arrive"] = lambda draw: self.arrive(draw(range(10)))
        if self.dialer.waiting:
            moves["connect"] = lambda draw: self.connect()
            moves["die"] = lambda draw: self.die()
            moves["reset"] = lambda draw: self.reset()
            if not self.hung_up:
                moves["refuse"] = lambda draw: self.refuse()
        if self.calls or self.flying:
            moves["cut"] = lambda draw: self.cut(draw(range(10)))
        return moves

    def written(self, transport: FakeTransport, data: bytes) -> None:
        raise NotImplementedError

    def arrives(self, transport: FakeTransport, call: str) -> None:
        raise NotImplementedError

    def gone(self) -> None:
        """The process has ended, and with it all that it ran."""
        raise NotImplementedError

    def answer_all(self) -> None:
        """But for what runs on."""
        raise NotImplementedError

    def arrive(self, index: int) -> None:
        """Calls on several connections overtake each other, and arrive though their sender has closed."""
        transport, call = self.flying.pop(index % len(self.flying))
        self.hung_up = False
        self.calls.append((transport, call))
        self.arrives(transport, call)

    def connect(self) -> None:
        self.dialer.accept(0)
        self.loop.settle()

    def refuse(self) -> None:
        """The engine has all the connections that it takes; this says nothing of the query. Not modelled: it
        breaks our connection and gives its place to another router before we are back."""
        self.dialer.refuse(0)
        self.loop.settle()

    def die(self) -> None:
        """The process is gone, and with it the query and all connections."""
        for transport in self.dialer.transports:
            transport.close()
        self.calls.clear()
        self.flying.clear()
        self.gone()
        self.loop.settle()
        if self.dialer.waiting:
            self.dialer.refuse(0)
        self.loop.settle()

    def reset(self) -> None:
        """A connection is reset while it is new; this says nothing of the query."""
        self.dialer.refuse(0, errno.ECONNRESET)
        self.loop.settle()

    def bring(self, transport: FakeTransport, data: bytes) -> None:
        if data and not transport.closing:
            transport.stream.get_buffer(-1)[: len(data)] = data
            transport.stream.buffer_updated(len(data))
            self.loop.settle()

    def cut(self, index: int) -> None:
        calls = self.calls or self.flying
        self.hung_up = True
        calls.pop(index % len(calls))[0].close()
        self.loop.settle()

    def stop(self, outcome: Outcome = Outcome.CANCELLED) -> None:
        self.stopped = outcome if self.stopped is None else self.stopped
        self.exchange.stop(outcome)
        self.loop.settle()

    def tend(self, us: int) -> None:
        end = self.loop.us + us
        while self.loop.us < end:
            while self.dialer.waiting:
                self.connect()
            while self.flying:
                self.arrive(0)
            self.answer_all()
            self.loop.advance(5_000)

    def wait(self, us: int) -> None:
        end = self.loop.us + us
        while self.loop.us < end:
            while self.flying:  # nothing flies for longer than this
                self.arrive(0)
            self.loop.advance(min(50_000, end - self.loop.us))


class HttpModel(Wired):
    """An engine that knows a query by its id, and drops it when nobody asks."""

    bound_us = QUERY_DROPPED_US + LONG_POLL_US + 500_000
    exchange_type: type[HttpExchange] = HttpExchange

    def __init__(self, check: Check = anything, draw: Draw = first) -> None:
        super().__init__(check)
        self.runs_until: int | None = None  # the engine has the query, and drops it then unless it is asked
        # when it was written; it runs, and no call finds it
        self.posted = 0
        self.hidden = False
        config: Any = SimpleNamespace(classes=("lookup",), connect_timeout_us=250_000, idle_us=30_000_000)
        dialer: Any = self.dialer
        back = HttpBackend(config, self.loop.timers, dialer, self.sockets, self.loop.now)
        entry: Any = SimpleNamespace(engine=ENGINE, state=EngineState.READY, ready_at_us=0)
        back.endpoints_changed(ListKind.CACHED, [Endpoint(entry, ("127.0.0.1", 1))])
        self.begin(back, b"SELECT 1")

    @property
    def runs(self) -> bool:
        return self.coming or self.has_it

    @property
    def coming(self) -> bool:
        return any(call == "POST /obj" for _, call in self.flying)

    @property
    def has_it(self) -> bool:
        return self.runs_until is not None and self.loop.us < self.runs_until and not self.end

    @property
    def turned_away(self) -> bool:
        return self.end == "full"

    @property
    def made(self) -> object:
        return {"page": b"1\n", "pages": b"1\n2\n"}.get(self.end)

    def moves(self) -> Moves:
        moves = super().moves()
        if self.coming:
            moves["black out"] = lambda draw: self.black_out(draw((True, False)))
            if self.loop.us - self.posted < 20_000:  # a call may be so long on its way, and be overtaken
                moves["dawdle"] = lambda draw: self.loop.advance(70_000)
        if any(self.ending(call) for _, call in self.calls):
            moves["spoil"] = lambda draw: self.spoil(draw(range(10)), draw(sorted(SPOILT)))
        if self.calls:
            moves["answer"] = lambda draw: self.answer(
                draw(range(10)), draw(sorted(ANSWERS)), draw((b"", INTERIM)), draw((b"", *SURPLUS))
            )
        return moves

    def written(self, transport: FakeTransport, data: bytes) -> None:
        method, path = data.decode().split(" ")[:2]
        assert not any(other is transport for other, _ in self.calls + self.flying), "one call at a time"
        if method == "POST":
            self.sent, self.posted = self.sent + 1, self.loop.us
            self.strayed |= not data.endswith(b"\r\n\r\nSELECT 1")
        self.flying.append((transport, f"{method} {path}"))

    def arrives(self, transport: FakeTransport, call: str) -> None:
        method, path = call.split(" ")
        if self.hidden:
            return
        if method == "POST" or (path.endswith("/0") and self.runs_until is not None and method != "DELETE"):
            self.runs_until = self.loop.us + LONG_POLL_US + UNPOLLED_QUERY_US
        elif method == "DELETE":
            self.runs_until = None

    def gone(self) -> None:
        self.runs_until = None

    def black_out(self, stop: bool) -> None:
        """The machine is away with the POST on its way. As it comes back it breaks its connections, and takes
        up what it was sent; to new calls it is a process that has never had the query."""
        if stop:
            self.stop()
        self.loop.advance(UNREACHABLE_AFTER_US + 50_000)
        for transport in self.dialer.transports:
            transport.close()
        self.calls.clear()
        self.flying.clear()
        self.runs_until = self.posted + LONG_POLL_US + UNPOLLED_QUERY_US
        self.hidden = True
        self.hung_up = True
        self.loop.settle()

    def answer_all(self) -> None:
        for _ in self.calls[:]:
            self.answer(0, "nothing")

    def spoil(self, index: int, how: str) -> None:
        ending = [item for item in self.calls if self.ending(item[1])]
        transport, call = ending[index % len(ending)]
        self.calls.remove((transport, call))
        self.end = self.end or "page"
        self.bring(transport, SPOILT[how])

    def ending(self, call: str) -> bool:
        found = self.has_it and not self.hidden
        return (found or self.end in ("page", "pages")) and not call.startswith(("DELETE", "PUT"))

    def answer(self, index: int, how: str, before: bytes = b"", behind: bytes = b"") -> None:
        transport, call = self.calls.pop(index % len(self.calls))
        if transport.closing:
            return
        if call.startswith("DELETE"):
            data = DELETED
        elif call.endswith("/1"):
            data = MORE if self.end == "pages" else ANSWERS["error"]
        elif self.end:
            data = ANSWERS[self.end]  # the same again
        elif not self.has_it or self.hidden:
            data = ANSWERS["error"]  # not known
        else:
            data = ANSWERS[how]
            self.end = how if how in ENDED else ""
        self.bring(transport, before + data + behind)


class HastyModel(HttpModel):
    """Its client will not wait long, so that it asks beside the POST on a connection that is at hand."""

    expires_in_us = 800_000

    def __init__(self, check: Check = anything, draw: Draw = first) -> None:
        super().__init__(check)
        pool = self.back._pools[ENGINE]
        pool.acquire(lambda stream: stream.release(), lambda trouble: None)
        self.dialer.accept(1)
        self.loop.settle()


ROWS = [b"\1", b"\3def", mysql.eof(), b"\1x", mysql.eof()]
SAID = {  # how a statement ends, and the packets of the answer
    "rows": ROWS,
    "done": [mysql.ok()],
    "mistake": [mysql.err(1064, "syntax")],
    "interrupted": [mysql.err(mysql.ER_QUERY_INTERRUPTED, "killed")],
}
TOLD = mysql.Prepared(1, 2, (b"\3def", b"\3def", mysql.eof(), b"\3def", mysql.eof()))
PREPARED = mysql.Work(b"SELECT ?, ?", mysql.Execution(b"\0", b"\x08\0\xfc\0", bytes(8), {1: b"oil"}))
PREPARE = mysql.Work(PREPARED.sql, prepare=True)
WORKS = (  # and where the statement was prepared before
    (mysql.Work(b"SELECT 1"), ""),
    (PREPARED, ""),
    (PREPARED, "here"),
    (PREPARED, "elsewhere"),
    (PREPARE, ""),
    (PREPARE, "here"),
)


class MysqlModel(Wired):
    """A server that runs on with what it has, though its client is gone, until the thread is killed."""

    exchange_type: type[MysqlExchange] = MysqlExchange
    expires_in_us = 2_000_000
    bound_us = (
        expires_in_us + PROOF_TIMEOUT_US + RETRY_US + 500_000
    )  # then no other attempt can follow any more

    def __init__(self, check: Check = anything, draw: Draw = first) -> None:
        super().__init__(check)
        self.work, before = WORKS[draw(range(len(WORKS)))]
        self.statements: dict[tuple[FakeTransport, int], bytes] = {}  # prepared, by connection and number
        self.last_statement = 0
        self.long_data = dict[int, bytes]()
        self.threads: dict[FakeTransport, int] = {}  # connections the server knows; the process's numbers
        self.last = 0  # number given
        self.running: FakeTransport | None = None  # whose thread runs the statement
        self.killed = False  # its thread was told to end
        config: Any = SimpleNamespace(
            connect_timeout_us=250_000, idle_us=30_000_000, settings=SimpleNamespace(progress_us=1_000_000)
        )
        login: Any = SimpleNamespace(
            engines={ENGINE: ("127.0.0.1", 1)}, engine_password=b"oil", engine_user="router", schema=""
        )
        dialer: Any = self.dialer
        back = MysqlBackend(config, login, self.loop.timers, dialer, self.sockets, self.loop.now)
        if before:
            self.check = anything
            for _ in range(2):  # the second time the first one's number is given back
                self.begin(back, PREPARE)
                self.tend(5_000)
            if before == "elsewhere":
                self.dialer.transports[0].close()
                self.loop.settle()
            self.check = check
            self.end = ""
        self.begin(back, self.work)
        self.back.exchanges[ENGINE].add(self.exchange)

    @property
    def runs(self) -> bool:
        on_its_way = any(call == "RUN" for _, call in self.flying)
        return (on_its_way or self.running is not None) and (
            self.loop.us <= self.attempt.request.deadline_us + PROOF_TIMEOUT_US
        )

    @property
    def turned_away(self) -> bool:
        return False

    @property
    def made(self) -> object:
        if self.end == "prepared":
            return TOLD
        return SAID[self.end] if self.end and self.end != "interrupted" else None

    def moves(self) -> Moves:
        moves = super().moves()
        if self.calls:
            moves["answer"] = lambda draw: self.answer(
                draw(range(10)), draw(sorted(SAID)), draw((0, 0, 0, 1, 3, 9))
            )
        if self.running is not None and (self.killed or self.running.closing):
            moves["vanish"] = lambda draw: self.vanish()
        return moves

    def connect(self) -> None:
        transport = self.dialer.accept(0)
        self.last += 1
        self.threads[transport] = self.last
        self.bring(
            transport,
            mysql.packets(
                [mysql.greeting(mysql.Greeting(self.last, b"abcdefghijklmnopqrst", mysql.NATIVE))], 0
            )[0],
        )

    def written(self, transport: FakeTransport, data: bytes) -> None:
        if data[3]:  # the login
            self.loop.call_soon(self.bring, transport, mysql.packets([mysql.ok()], 2)[0])
            return
        assert not any(other is transport for other, _ in self.calls + self.flying), "one call at a time"
        for _, command in mysql.Packets(1000).feed(data):
            self.told(transport, command)

    def told(self, transport: FakeTransport, command: bytes) -> None:
        kind = command[0]
        rest = command[1:]
        sql = self.work.sql
        run = self.work.run
        call = "RUN"
        if kind == mysql.COM_STMT_CLOSE:  # it has no answer, nor has long data
            del self.statements[transport, mysql.statement_of(command)]
            return
        if kind == mysql.COM_STMT_SEND_LONG_DATA:
            _, place, self.long_data[place] = mysql.read_long_data(command)
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
        self.strayed |= (sql, run) != (self.work.sql, self.work.run)
        self.flying.append((transport, call))

    def answer_all(self) -> None:
        for index in reversed(range(len(self.calls))):
            if self.calls[index][1] != "RUN":
                self.answer(index, "done")
        if self.killed:
            self.vanish()

    def arrives(self, transport: FakeTransport, call: str) -> None:
        if call == "RUN":
            self.running = transport
            self.killed = False
        elif (
            call.startswith("KILL")
            and self.running is not None
            and (int(call[5:]) == self.threads[self.running])
        ):
            self.killed = True

    def gone(self) -> None:
        self.threads.clear()
        self.last = 0
        self.running = None

    def vanish(self) -> None:
        """The thread ends: it was killed, or found that its client is gone."""
        if self.running is not None:
            self.running.close()
            self.calls = [item for item in self.calls if item[0] is not self.running]
            self.running = None
            self.loop.settle()

    def answer(self, index: int, how: str, short: int = 0) -> None:
        """``short``: so many bytes are missing when the connection breaks."""
        transport, call = self.calls.pop(index % len(self.calls))
        if transport.closing and call != "RUN":
            return
        said = [mysql.ok()]
        if call.startswith("KILL"):
            there = [
                number for other, number in self.threads.items() if not other.closing or other is self.running
            ]
            said = said if int(call[5:]) in there else [mysql.err(mysql.ER_NO_SUCH_THREAD, "unknown")]
        elif call == "PREPARE" and how in ("rows", "done"):
            self.last_statement += 1
            self.statements[transport, self.last_statement] = self.work.sql
            self.end = "prepared" if self.work.prepare and not short else ""
            said = mysql.prepared(self.last_statement, TOLD)
        elif call in ("RUN", "PREPARE"):
            self.end = how
            self.running = None
            said = SAID[how]
        data = mysql.packets(said, 1)[0]
        self.bring(transport, data[: len(data) - short])
        if short:
            transport.close()
            self.hung_up = True
            self.loop.settle()


class EmulatedModel:
    """The emulator's engine, before it a router that does as the test says."""

    bound_us = 2_000  # the decisions hear of it a turn later
    tier_type: type[FleetModel] = FleetModel
    turned_away = False
    made = "whole"
    strayed = False

    def __init__(self, check: Check = anything, draw: Draw = first) -> None:
        self.check = check
        self.sent = 0
        self.stopped: Outcome | None = None
        self.tier = self.tier_type(1, 1)
        self.actions = list[Action]()
        self.name = next(iter(self.tier.engines))
        decider: Any = self
        self.tier.routers[0] = decider
        self.dispatch()

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """In place of the decisions."""
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
        """The first is ours, and gets less of the engine with each other one."""
        query = len(self.tier.requests) + 1
        self.tier.requests[query] = 0, 50_000.0, self.tier.now
        self.act(Dispatch(query, self.name))
        self.sent = self.tier.sent[0, 1]

    @property
    def runs(self) -> bool:
        return 1 in self.tier.engines[self.name].runs

    @property
    def idle(self) -> bool:
        return not self.tier.engines[self.name].runs and not self.stopped

    def moves(self) -> Moves:
        return {"dispatch": lambda draw: self.dispatch(), "work": lambda draw: self.wait(draw((900, 30_000)))}

    def stop(self, outcome: Outcome = Outcome.CANCELLED) -> None:
        self.stopped = Outcome.CANCELLED  # it knows no other way
        self.act(Cancel(1, 0))

    def wait(self, us: int) -> None:
        self.tier.until(self.tier.now + us)

    tend = wait
