"""One HTTP/1.1 connection to an engine: one call at a time, with detection of duplicate answers."""

from __future__ import annotations

from collections.abc import Callable

from slipbay.backends.pool import (
    DUPLICATE_WINDOW_US,
    Pool,
    PooledStream,
)
from slipbay.log import log
from slipbay.wire import http1


class HttpConnection(PooledStream):
    """A connection that carries one call at a time."""

    last_answer_us = 0  # when the last answer was complete, us
    caller: object = None  # owner of the current or last call
    foreign_answer: http1.Response | None = None  # the answer before the current call, if of another caller
    last_answer: http1.Response | None = None
    may_be_duplicate = False  # the last answer may be a duplicate of an answer to another caller
    duplicate_until_us = 0  # until when such a duplicate may arrive, us

    def __init__(self, pool: Pool[PooledStream]) -> None:
        super().__init__(pool)
        self._responses = http1.ResponseParser()
        self._responded: Callable[[http1.Response], None] | None = None
        self._interrupted: Callable[[], None] | None = None

    def opened(self) -> None:
        """Make the open connection usable, unless the engine has closed it already."""
        self.pool.record_activity()
        if self.is_stale():  # closed as soon as it opened: no call is lost, as none was written
            self.abort()
        else:
            self.on_usable()

    def call(
        self,
        request: bytes,
        responded: Callable[[http1.Response], None],
        interrupted: Callable[[], None],
        deadline_us: int = 0,
        caller: object = None,
    ) -> None:
        """Send a request.

        Args:
            request: its bytes.
            responded: called with its response.
            interrupted: called if the connection ends before the response is complete.
            deadline_us: time at which the call is aborted, us; 0: never.
            caller: owner of the call; used to detect duplicates of answers to another caller.
        """
        self._responded = responded
        self._interrupted = interrupted
        self.deadline_us = deadline_us
        self.foreign_answer = self.last_answer if caller is not self.caller else None
        self.caller = caller
        self.write(request)

    def await_next_response(
        self, responded: Callable[[http1.Response], None], interrupted: Callable[[], None]
    ) -> None:
        """Wait for another response to the current call, as the last one was not the answer to it."""
        self._responded = responded
        self._interrupted = interrupted
        self.foreign_answer = None

    def abandon(self, deadline_us: int) -> None:
        """Ignore the answer to the current call; when it arrives the connection is released."""
        self._responded = self.finish_call
        self._interrupted = None
        self.deadline_us = deadline_us

    def finish_call(self, response: http1.Response) -> None:
        """End the call: release the connection if the response permits reuse, else close it."""
        if response.keep_alive:
            self.release()
        else:
            self.close()

    def received(self, data: bytes) -> None:
        """Parse received bytes; data without a call ends the connection."""
        self.pool.record_answer()
        if self._responded is None:
            self.abort()  # no call is open
            return
        try:
            response = self._responses.feed(data)
            while response is not None:
                self._complete_call(response)
                response = self._responses.feed(b"") if self._responded is not None else None
        except http1.MalformedResponseError as problem:
            log(
                "engine",
                "malformed response; connection closed",
                reason=problem,
                engine=self.pool.engine,
            )
            self.abort()

    def _complete_call(self, response: http1.Response) -> None:
        """Pass a complete response to the call, and note whether it may be a duplicate."""
        responded = self._responded
        if responded is None:
            return
        self._responded = None
        self._interrupted = None
        now = self.pool.now()
        is_suspicious = response.status != http1.OK or (
            self.foreign_answer is not None and response.has_same_content(self.foreign_answer)
        )
        self.may_be_duplicate = (
            self.foreign_answer is not None
            and is_suspicious
            and now - self.last_answer_us < DUPLICATE_WINDOW_US
        )
        self.duplicate_until_us = self.last_answer_us + DUPLICATE_WINDOW_US
        self.last_answer_us = now
        self.last_answer = response
        responded(response)

    def ended(self) -> None:
        """Notify the current call of the end of the connection."""
        interrupted = self._interrupted
        self._interrupted = None
        self._responded = None
        super().ended()
        if interrupted is not None:
            interrupted()
