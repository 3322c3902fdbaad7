"""A process at an address is not taken for the process that was there, or was named so, before."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from loopback import HttpCall, Loopback, StandInEngine, event, host, one_page, run, until

from slipbay.stream import Connector, Stream

Move = Callable[[Loopback, StandInEngine, StandInEngine], None]
BORN_MS = 1_700_000_000_000  # long ago, so that the engine is warm


def to_another_address(net: Loopback, old: StandInEngine, new: StandInEngine) -> None:
    net.journal.tell(event(2, host("s-0", new.port)))


def under_another_name(net: Loopback, old: StandInEngine, new: StandInEngine) -> None:
    net.journal.tell(event(2, host("s-0", old.port, "DELETED"), host("s-1", new.port)))


def restarted_elsewhere(net: Loopback, old: StandInEngine, new: StandInEngine) -> None:
    net.journal.tell(event(2, host("s-0", new.port, born_ms=BORN_MS)))


def drains(net: Loopback, old: StandInEngine, new: StandInEngine) -> None:
    net.journal.tell(event(2, host("s-0", old.port, "DRAINING"), host("s-1", new.port)))


MOVES = pytest.mark.parametrize(
    "move",
    [to_another_address, under_another_name, restarted_elsewhere, drains],
    ids=lambda move: move.__name__,
)


async def serves_without(net: Loopback, old: StandInEngine, new: StandInEngine) -> None:
    """Checks that queries are served by the new process, and by it alone."""
    before = len(old.named("POST"))
    client = await net.client()
    for _ in range(4):
        client.query()
        assert "result" in await client.answer()
    assert len(old.named("POST")) == before
    assert len(new.named("POST")) >= 4


@MOVES
def test_a_connection_whose_call_ends_after_its_engine_has_moved_is_not_used_again(move: Move) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def answer_later(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
            await release.wait()
            return await one_page(call, writer)

        old, new = StandInEngine(answer_later), StandInEngine()
        await new.start()
        async with Loopback(old) as net:
            await until(lambda: bool(net.journal.writers))
            client = await net.client()
            client.query()
            await until(lambda: bool(old.named("POST")))
            move(net, old, new)
            await until(lambda: net.router.endpoint_watch.pos == 2)
            release.set()
            assert "result" in await client.answer()
            await serves_without(net, old, new)
        new.server.close()

    run(test)


@MOVES
def test_a_query_is_not_sent_to_a_process_whose_connection_opens_after_its_engine_has_moved(
    monkeypatch: pytest.MonkeyPatch, move: Move
) -> None:
    async def test() -> None:
        old, new = StandInEngine(), StandInEngine()
        await new.start()
        connected: list[tuple[Connector, Stream, socket.socket]] = []
        hand_over = Connector.hand_over

        def hold(connector: Connector, stream: Stream, sock: socket.socket) -> None:
            if sock.getpeername()[1] == old.port:
                connected.append((connector, stream, sock))
            else:
                hand_over(connector, stream, sock)

        async with Loopback(old) as net:
            await until(lambda: bool(net.journal.writers))
            client = await net.client()
            monkeypatch.setattr(Connector, "hand_over", hold)
            client.query()
            await until(lambda: bool(connected))
            move(net, old, new)
            await until(lambda: net.router.endpoint_watch.pos == 2)
            monkeypatch.setattr(Connector, "hand_over", hand_over)
            for connection in connected:
                hand_over(*connection)
            assert "result" in await client.answer()
            assert not old.named("POST")
            await serves_without(net, old, new)
        new.server.close()

    run(test)
