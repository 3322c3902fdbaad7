"""A router with two engines and a journal service that follows a script, connection by connection."""

from __future__ import annotations

import asyncio
import json
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Self

from loopback import Loopback, StandInEndpointList, StandInEngine, host

from slipbay.discovery import endpoint_watch as journal_module
from slipbay.discovery.endpoint_watch import EndpointWatch
from slipbay.policy.events import EngineState

Writer = asyncio.StreamWriter
Script = Callable[[Writer], None]


def lines(*events: dict[str, Any]) -> bytes:
    return b"".join(json.dumps(item).encode() + b"\n" for item in events)


def heartbeat(pos: int) -> dict[str, Any]:
    return {"pos": pos}


class ScriptedJournal(StandInEndpointList):
    """Does on each connection, one after the other, what its script says; after the last one nothing."""

    def __init__(self, *scripts: Script) -> None:
        super().__init__()
        self.scripts = list(scripts)

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        await super()._serve(reader, writer)
        if self.scripts:
            self.scripts.pop(0)(writer)


def says(data: bytes) -> Script:
    return lambda writer: writer.write(data)


def says_and_cuts(data: bytes) -> Script:
    def script(writer: Writer) -> None:
        writer.write(data)
        writer.close()

    return script


class Net(Loopback):
    """Two engines, and a client that asks them."""

    def __init__(self, *scripts: Script, engines: int = 2) -> None:
        super().__init__(*(StandInEngine() for _ in range(engines)))
        self.scripted = ScriptedJournal(*scripts)
        self.journal = self.scripted

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        self.asker = await self.client()
        return self

    @property
    def feed(self) -> EndpointWatch:
        return self.router.endpoint_watch

    @property
    def signs(self) -> int:
        """How often something showed that events are missing."""
        return self.feed._gap.signs if self.feed._gap is not None else 0

    def host(self, number: int, state: str = "SERVING") -> dict[str, Any]:
        return host(f"s-{number}", self.engines[number].port, state)

    def wait_for_silence(self) -> None:
        """Let the time pass after which the watch is taken for silent."""
        due = self.feed._due
        assert due is not None
        assert due.action is not None
        at = next(at for at, _, timer in self.router.timers._heap if timer is due)
        assert at <= self.router.clock.fresh() + journal_module.SILENCE_US
        due.action()

    async def ask(self) -> int:
        """Which engine serves a request."""
        before = [len(engine.named("POST")) for engine in self.engines]
        self.asker.query()
        answer = await self.asker.answer()
        assert "result" in answer, answer
        after = [len(engine.named("POST")) for engine in self.engines]
        return next(n for n, (old, new) in enumerate(zip(before, after, strict=True)) if new > old)

    async def used(self, times: int = 4) -> set[int]:
        return {await self.ask() for _ in range(times)}

    def state(self, name: str) -> EngineState:
        return self.policy_controller.engines.by_id[name.encode()].entry.state


@contextmanager
def no_descriptors() -> Iterator[None]:
    """The system gives this process no further one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
