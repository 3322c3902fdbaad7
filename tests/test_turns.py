"""Turns of client connections with much input, without sockets and with a clock of the test's own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from slipbay.frontends.turns import ROUND_US, SHORT_INPUT_BYTES, TURN_US, TurnScheduler

MESSAGE_US = 100


class Loop:
    """Runs callbacks in iterations; time passes only as messages are handled."""

    def __init__(self) -> None:
        self.us = 0
        self.soon: list[Callable[[], None]] = []

    def iterate(self) -> None:
        callbacks, self.soon = self.soon, []
        for callback in callbacks:
            callback()


@dataclass(eq=False)
class Connection:
    """A connection with a number of messages."""

    loop: Loop
    unparsed: int
    messages: int
    handled: int = 0
    fails: bool = False

    def handle_messages(self, until_us: int) -> bool:
        if self.fails:
            raise OSError("a connection fails in its turn")
        while self.messages:
            self.messages -= 1
            self.handled += 1
            self.loop.us += MESSAGE_US
            if self.loop.us >= until_us:
                return True
        return False

    def await_turn(self) -> None: ...


def make() -> tuple[Loop, TurnScheduler]:
    loop = Loop()
    return loop, TurnScheduler(lambda callback: loop.soon.append(callback), lambda: loop.us)


def test_a_flood_gets_one_turn_in_an_iteration() -> None:
    loop, scheduler = make()
    flood = Connection(loop, 100_000, 1_000_000)
    scheduler.run(flood)
    assert loop.us <= TURN_US
    for _ in range(5):
        before_us = loop.us
        loop.iterate()
        assert loop.us - before_us <= ROUND_US


@pytest.mark.parametrize("crowd_bytes", [100, 100_000])
@pytest.mark.parametrize("own_bytes", [100, 100_000])
def test_every_connection_gets_its_turn_whatever_the_others_have(crowd_bytes: int, own_bytes: int) -> None:
    loop, scheduler = make()
    crowd = [Connection(loop, crowd_bytes, 1_000_000) for _ in range(100)]
    own = Connection(loop, own_bytes, 1)
    for connection in (*crowd, own):
        scheduler.run(connection)
    assert loop.us <= ROUND_US
    for _ in range(2 * len(crowd)):
        loop.iterate()
    assert own.handled == 1
    assert all(connection.handled for connection in crowd)


def test_little_input_comes_before_much() -> None:
    loop, scheduler = make()
    crowd = [Connection(loop, SHORT_INPUT_BYTES + 1, 1_000_000) for _ in range(100)]
    own = Connection(loop, SHORT_INPUT_BYTES, 1)
    for connection in (*crowd, own):
        scheduler.run(connection)
    loop.iterate()
    assert own.handled == 1


def test_a_connection_that_fails_does_not_keep_the_others_from_their_turns() -> None:
    loop, scheduler = make()
    crowd = [Connection(loop, 100, 1_000_000) for _ in range(10)]
    for connection in crowd:
        scheduler.run(connection)
    crowd[0].fails = True
    with pytest.raises(OSError, match="fails in its turn"):
        loop.iterate()
    for _ in range(10):
        loop.iterate()
    assert all(connection.handled for connection in crowd[1:])
