"""An event loop for tests that closes what a test left open before the loop itself is closed.

Otherwise the garbage collector finalizes a connection after its loop has ended, in the middle of another
test.
"""

from __future__ import annotations

import asyncio
import gc

MAX_CLOSING_TURNS = 100  # of the loop, until closed transports have told their protocols


class ClosingEventLoop(asyncio.SelectorEventLoop):
    """A loop that aborts its open transports when it is closed."""

    loops_closed = 0  # in this process

    def close(self) -> None:
        if not self.is_closed():
            self._abort_transports()
            ClosingEventLoop.loops_closed += 1
        super().close()

    def _abort_transports(self) -> None:
        for _ in range(MAX_CLOSING_TURNS):
            open_transports = list(self._transports.values())  # type: ignore[attr-defined]
            if not open_transports:
                break
            for transport in open_transports:
                transport.abort()
            self.run_until_complete(asyncio.sleep(0))


class ClosingLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes ``asyncio.run`` use ``ClosingEventLoop``."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return ClosingEventLoop()


class FinalizerCheck:
    """Runs finalizers at the end of the test that left their objects, so that their errors fail it."""

    def __init__(self) -> None:
        self._loops_closed_before = ClosingEventLoop.loops_closed

    def finish(self) -> None:
        """Collect garbage if the test has used an event loop."""
        if ClosingEventLoop.loops_closed != self._loops_closed_before:
            gc.collect()
