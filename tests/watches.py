"""A router with two engines and a scripted journal service, with one script for each connection."""

from __future__ import annotations

import asyncio
import json
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Self

from loopback import Loopback, StandInEndpointList, StandInEngine, host

from slipbay.discovery import endpoint_watch
from slipbay.discovery.endpoint_watch import EndpointWatch
from slipbay.policy.events import EngineState

Writer = asyncio.StreamWriter
Script = Callable[[Writer], None]


def lines(*events: dict[str, Any]) -> bytes:
    return b"".join(json.dumps(item).encode() + b"\n" for item in events)


def heartbeat(pos: int) -> dict[str, Any]:
    return {"pos": pos}


class ScriptedJournal(StandInEndpointList):
    """Runs one script on each connection, in order; connections after the last script stay silent."""

    def __init__(self, *scripts: Script) -> None:
        super().__init__()
        self.scripts = list(scripts)

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        await super()._serve(reader, writer)
        if self.scripts:
            self.scripts.pop(0)(writer)


def sends(data: bytes) -> Script:
    return lambda writer: writer.write(data)


def sends_and_closes(data: bytes) -> Script:
    def script(writer: Writer) -> None:
        writer.write(data)
        writer.close()

    return script


class Net(Loopback):
    """A router, two engines, and a client of the router."""

    def __init__(self, *scripts: Script, engines: int = 2) -> None:
        super().__init__(*(StandInEngine() for _ in range(engines)))
        self.scripted = ScriptedJournal(*scripts)
        self.journal = self.scripted

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        self.query_client = await self.client()
        return self

    @property
    def watch(self) -> EndpointWatch:
        return self.router.endpoint_watch

    @property
    def gap_detections(self) -> int:
        """How often something showed that events are missing."""
        return self.watch._gap.detections if self.watch._gap is not None else 0

    def host(self, number: int, state: str = "SERVING") -> dict[str, Any]:
        return host(f"s-{number}", self.engines[number].port, state)

    def wait_for_silence(self) -> None:
        """Fire the timer after which the connection counts as silent."""
        timer = self.watch._timer
        assert timer is not None
        assert timer.action is not None
        at = next(at for at, _, queued in self.router.timers._heap if queued is timer)
        assert at <= self.router.clock.fresh() + endpoint_watch.SILENCE_TIMEOUT_US
        timer.action()

    async def query_engine(self) -> int:
        """Send a query and return the number of the engine that serves it."""
        before = [len(engine.named("POST")) for engine in self.engines]
        self.query_client.query()
        answer = await self.query_client.answer()
        assert "result" in answer, answer
        after = [len(engine.named("POST")) for engine in self.engines]
        return next(n for n, (old, new) in enumerate(zip(before, after, strict=True)) if new > old)

    async def used_engines(self, times: int = 4) -> set[int]:
        return {await self.query_engine() for _ in range(times)}

    def state(self, name: str) -> EngineState:
        return self.policy_controller.engines.by_id[name.encode()].entry.state


@contextmanager
def no_descriptors() -> Iterator[None]:
    """The process cannot open further file descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
