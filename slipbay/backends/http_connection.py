"""One HTTP/1.1 connection to an engine: one call at a time, with a guard against duplicate answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from slipbay.backends.answer_guard import AnswerGuard, Verdict
from slipbay.backends.pool import Pool, PooledStream
from slipbay.core.timers import Timer
from slipbay.log import log
from slipbay.wire import http1


class HttpConnection(PooledStream):
    """A connection that carries one call at a time."""

    is_doubtful = False  # the answer passed on last may be a duplicate of an earlier one

    def __init__(self, pool: Pool[PooledStream]) -> None:
        super().__init__(pool)
        self._responses = http1.ResponseParser()
        self._guard = AnswerGuard()
        self._responded: Callable[[http1.Response], None] | None = None
        self._interrupted: Callable[[], None] | None = None
        self._fence: Callable[[], bytes] | None = None
        self._fence_timer: Timer | None = None
        self.call_count = 0  # identifies the current call
        self._answer_began_us = 0  # when the first byte of the current answer arrived, us

    def opened(self) -> None:
        """Make the open connection usable, unless the engine has closed it already."""
        self.pool.record_activity()
        if self.is_stale():  # closed as soon as it opened: no call is lost, as none was written
            self.abort()
        else:
            self.on_usable()

    @property
    def has_open_call(self) -> bool:
        """Whether a call was written that the engine has not answered."""
        return self._responded is not None

    def call(
        self,
        request: bytes,
        responded: Callable[[http1.Response], None],
        interrupted: Callable[[], None],
        deadline_us: int = 0,
        fence: Callable[[], bytes] | None = None,
    ) -> None:
        """Send a request.

        Args:
            request: its bytes.
            responded: called with its response.
            interrupted: called if the connection ends before the response is complete, or if it can't be
                told which of several responses is its own.
            deadline_us: time at which the call is aborted, us; 0: never.
            fence: returns a request that is answered with 204. It is sent if a response may be a duplicate
                of an earlier one, and that response is passed on only once it is settled. Without a fence
                it is passed on with ``is_doubtful``, and the connection can't be used any more.
        """
        self.call_count += 1
        self._responded = responded
        self._interrupted = interrupted
        self.deadline_us = deadline_us
        self._fence = fence
        self._guard.begin_call(self.pool.now())
        self.write(request)

    def await_next_response(
        self, responded: Callable[[http1.Response], None], interrupted: Callable[[], None]
    ) -> None:
        """Wait for another response to the current call, as the last one was not the answer to it."""
        self._responded = responded
        self._interrupted = interrupted

    def abandon(self, deadline_us: int) -> None:
        """Ignore the answer to the current call; when it arrives the connection is released."""
        self._responded = self.finish_call
        self._interrupted = None
        self.deadline_us = deadline_us
        self._fence = None
        if self._fence_timer is not None:  # without the fence it can't be told when the answer has come
            self._cancel_fence()
            self.close()

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
        if not self._responses.is_within_response:
            self._answer_began_us = self.pool.now()
        try:
            response = self._responses.feed(data)
            while response is not None:
                self._judge(response)
                self._answer_began_us = self.pool.now()
                response = self._responses.feed(b"") if self._responded is not None else None
        except http1.MalformedResponseError as problem:
            log(
                "engine",
                "malformed response; connection closed",
                reason=problem,
                engine=self.pool.engine,
            )
            self.abort()

    def _judge(self, response: http1.Response) -> None:
        """Pass a complete response to the call once it is certain that it answers it."""
        judgement = self._guard.judge(response, self._answer_began_us, self.pool.now())
        answer = judgement.answer or response
        match judgement.verdict:
            case Verdict.OWN:
                self._pass_on(answer, is_doubtful=False)
            case Verdict.UNKNOWABLE:
                log("engine", "several answers to one call; connection closed", engine=self.pool.engine)
                self._responded = None  # nothing that follows is an answer
                self.abort()
            case _ if self._fence is None:
                self._pass_on(replace(answer, keep_alive=False), is_doubtful=True)
            case Verdict.DOUBTFUL:
                log("engine", "an answer may be a duplicate; verifying it", engine=self.pool.engine)
                self.pool.record_doubt()
                delay_us = self._guard.fence_delay_us(self.pool.now())
                if delay_us:
                    self._fence_timer = self.pool.after(delay_us, self._send_fence)
                else:
                    self._send_fence()

    def _send_fence(self) -> None:
        self._fence_timer = None
        if self._fence is not None:
            self._guard.fence_sent()
            self.write(self._fence())

    def _cancel_fence(self) -> None:
        if self._fence_timer is not None:
            self._fence_timer.cancel()
            self._fence_timer = None

    def _pass_on(self, response: http1.Response, is_doubtful: bool) -> None:
        responded = self._responded
        if responded is None:
            return
        self._responded = None
        self._interrupted = None
        self._fence = None  # refers to the exchange, which must not live as long as the connection
        self._cancel_fence()
        self.is_doubtful = is_doubtful
        responded(response)

    def ended(self) -> None:
        """Notify the current call of the end of the connection."""
        interrupted = self._interrupted
        self._interrupted = None
        self._responded = None
        self._fence = None
        self._cancel_fence()
        super().ended()
        if interrupted is not None:
            interrupted()
