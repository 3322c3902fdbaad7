"""A model of what an engine knows of a query; an attempt's connections are stepped at random against it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from fakes import FakeDialer, FakeLoop, FakeTransport
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from martenkeel.interface import EngineState, ListKind, Outcome
from slipbay.back.http import FORGET_US, HOLD_US, HttpBack
from slipbay.back.pool import Sockets
from slipbay.core.router import Host

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
RUNNING, ENDED = ("nothing", "note", "last note"), ("page", "pages", "error", "full")


class Attempt:
    """Stands in for the core's."""

    def __init__(self, loop: FakeLoop) -> None:
        self.engine, self.number, self.sent = ENGINE, 0, loop.us
        self.request = SimpleNamespace(name="9b1f03aa5c7e2d41", service_class=0, priority=1, grant_mb=0.0,
                                       deadline=loop.us + 20_000_000, work=b"SELECT 1", over=False)
        self.ends: list[tuple[Outcome, Any]] = []
        self.notes = 0

    def ended(self, outcome: Outcome, result: object = None) -> None:
        self.ends.append((outcome, result))

    def noted(self, kind: object, value: float) -> None:
        assert not self.ends
        self.notes += 1


class Exchange(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = FakeLoop()
        self.dialer = FakeDialer(self.loop, self.written)
        config = SimpleNamespace(classes=("lookup",), connect_timeout_us=250_000, idle_us=30_000_000)
        self.back = HttpBack(config, self.loop.timers, self.dialer, Sockets(8), self.loop.now)  # type: ignore[arg-type]
        entry = SimpleNamespace(engine=ENGINE, state=EngineState.READY, ready_at_us=0)
        self.back.listed(ListKind.CACHED, [Host(entry, ("127.0.0.1", 1))])  # type: ignore[arg-type]
        self.calls: list[tuple[FakeTransport, str]] = []  # written and not answered
        self.posts = 0
        self.runs_until: int | None = None  # the engine has the query, and drops it then unless it is asked
        self.end = ""  # how it ended, once its end is written
        self.stopped = False
        self.attempt = Attempt(self.loop)
        self.exchange = self.back.start(self.attempt)  # type: ignore[arg-type]

    def written(self, transport: FakeTransport, data: bytes) -> None:
        """A call arrives whole at once; its answer is for a later step."""
        method, path = data.decode().split(" ")[:2]
        assert not any(other is transport for other, _ in self.calls), "one call at a time on a connection"
        self.calls.append((transport, f"{method} {path}"))
        if method == "POST":
            self.posts += 1
            self.runs_until = self.loop.us + HOLD_US + FORGET_US
        elif method == "DELETE":
            self.runs_until = None
        elif path.endswith("/0") and self.runs_until is not None:
            self.runs_until = self.loop.us + HOLD_US + FORGET_US

    @property
    def runs(self) -> bool:
        return self.runs_until is not None and self.loop.us < self.runs_until and not self.end

    @rule()
    @precondition(lambda self: self.dialer.waiting)
    def connect(self) -> None:
        self.dialer.accept(0)
        self.loop.settle()

    @rule()
    @precondition(lambda self: self.dialer.waiting)
    def refuse(self) -> None:
        """The process is gone, and with it the query."""
        for transport, _ in self.calls:
            transport.close()
        self.calls.clear()
        self.runs_until = None
        self.dialer.refuse(0)
        self.loop.settle()

    @rule(index=st.integers(0, 9), how=st.sampled_from(sorted(ANSWERS)))
    @precondition(lambda self: self.calls)
    def answer(self, index: int, how: str) -> None:
        transport, call = self.calls.pop(index % len(self.calls))
        if transport.closing:
            return
        if call.startswith("DELETE"):
            data = DELETED
        elif call.endswith("/1"):
            data = MORE if self.end == "pages" else ANSWERS["error"]
        elif self.end:
            data = ANSWERS[self.end]  # the same again
        elif not self.runs:
            data = ANSWERS["error"]  # not known
        else:
            data = ANSWERS[how]
            self.end = how if how in ENDED else ""
        transport.stream.get_buffer(-1)[:len(data)] = data
        transport.stream.buffer_updated(len(data))
        self.loop.settle()

    @rule(index=st.integers(0, 9))
    @precondition(lambda self: self.calls)
    def cut(self, index: int) -> None:
        self.calls.pop(index % len(self.calls))[0].close()
        self.loop.settle()

    @rule()
    @precondition(lambda self: not self.attempt.ends and self.exchange is not None)
    def stop(self) -> None:
        self.stopped = True
        self.exchange.stop(Outcome.CANCELLED)
        self.loop.settle()

    @rule(ms=st.sampled_from((1, 50, 260, 1100, 2400)))
    def wait(self, ms: int) -> None:
        self.loop.advance(ms * 1000)

    @invariant()
    def it_is_sent_once_and_ends_once(self) -> None:
        assert self.posts <= 1 and len(self.attempt.ends) <= 1

    @invariant()
    def an_ended_attempt_does_not_run_on(self) -> None:
        if self.attempt.ends:
            outcome, result = self.attempt.ends[0]
            assert not self.runs
            assert not outcome.proves_unrun or self.posts == 0 or self.end == "full"
            if outcome is Outcome.OK:
                assert result == {"page": b"1\n", "pages": b"1\n2\n"}[self.end]
            if outcome is Outcome.CANCELLED:
                assert self.stopped

    @invariant()
    def what_ended_soon_is_told(self) -> None:
        """Nothing hangs: with no call out, no connection on its way and no timer, the attempt has ended."""
        if not self.calls and not self.dialer.waiting and not self.attempt.ends:
            before = self.loop.us
            self.loop.advance(FORGET_US + HOLD_US + 500_000)
            assert self.attempt.ends or self.dialer.waiting or self.calls, f"nothing came after {before}"


TestExchange = Exchange.TestCase
TestExchange.settings = settings(max_examples=300, stateful_step_count=30, deadline=None, derandomize=True)
