"""One attempt on an engine over HTTP: the POST, the polls for its end, the pages of its result, the DELETE.

docs/races.md lists the events that may occur between two of these calls.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from slipbay.backends.http_connection import HttpConnection
from slipbay.backends.pool import (
    CALL_TIMEOUT_US,
    LONG_POLL_US,
    QUERY_DROPPED_US,
    ConnectFailure,
    PendingAcquire,
    Pool,
)
from slipbay.backends.result_budget import ResultBudget, ResultReservation
from slipbay.backends.sent_calls import TRANSIT_US, SentCall, SentCalls
from slipbay.core.model import Attempt
from slipbay.core.timers import Timer, Timers
from slipbay.log import log
from slipbay.policy.events import NoteKind, Outcome
from slipbay.wire import http1

# The same bound as TRANSIT_US for a page; engines send pages immediately, and a client waits for many
PAGE_TRANSIT_US = 40_000
MIN_EARLY_POLL_US = 60_000  # minimum wait for the answer to the POST before a poll on another connection
# The wait is the client's time limit divided by this, if that is longer than MIN_EARLY_POLL_US
EARLY_POLL_DIVISOR = 12
# Time without an answer after which a call is taken back, as it may still be in transit
OVERDUE_US = LONG_POLL_US + TRANSIT_US
# Time after a stop for the answer to the POST; within 100 ms nothing may arrive any more
STOP_GRACE_US = 50_000
RETRY_US = 250_000  # interval before a poll for an overdue answer or a failed DELETE is repeated

MAX_IMMEDIATE_RETRIES = 3  # polls sent immediately after a malformed answer; later ones wait for the timer
# A result with more bytes in all its pages is an error; engines limit a result to 48,000 bytes
MAX_RESULT_BYTES = 64 * 1024
MAX_PAGES = 1000
PAGE_BYTES = 6_000
MAX_PAGE_DIGITS = 6
ANSWER_STATUSES = (
    http1.ACCEPTED,
    http1.INTERNAL_SERVER_ERROR,
    http1.SERVICE_UNAVAILABLE,
    http1.GATEWAY_TIMEOUT,
)
"""Statuses other than 200 with which an engine answers a POST, a poll or a request for a page."""
NOTE_KINDS = {"done": NoteKind.SHARE_DONE, "spills": NoteKind.SPILLS, "waits": NoteKind.WAITS}


WIRE = "http"
"""Name of this protocol in stored records."""


class ExchangeHost(Protocol):
    """Members of the backend that an exchange uses."""

    timers: Timers
    now: Callable[[], int]
    exact_now: Callable[[], int]
    """The current time, which may be later than the time of this turn of the loop."""
    classes: tuple[str, ...]
    result_budget: ResultBudget

    def call_soon(self, callback: Callable[[], object], /) -> object:
        """Call a function in the next turn of the loop."""

    def fire_and_forget(self, pool: Pool[HttpConnection], request: bytes) -> None:
        """Send a request and ignore its response."""


def _outcome_of(response: http1.Response) -> Outcome:
    """The outcome of an attempt whose engine answered with neither rows nor a progress note."""
    proves_not_run = response.headers.get("x-no-effect") == "1"
    if response.status == http1.SERVICE_UNAVAILABLE and proves_not_run:
        return Outcome.FULL
    if response.status == http1.GATEWAY_TIMEOUT and proves_not_run:
        return Outcome.MOOT
    return Outcome.ERROR


class HttpExchange:
    """One attempt on one engine."""

    def __init__(
        self, backend: ExchangeHost, attempt: Attempt, pool: Pool[HttpConnection], resumed: bool = False
    ) -> None:
        """``resumed``: the query was sent by an earlier incarnation, and is only polled."""
        self._backend = backend
        self._attempt = attempt
        self._pool = pool
        self._path = f"/obj/{attempt.request.name}"
        self._is_post_written = False  # the POST may have arrived complete
        self._answered = False  # the engine has answered a call, so it has received the POST
        self._last_call_us = self._posted_us = 0  # times when the last POST or poll and the POST were written
        self._sent_calls = SentCalls(backend.now, self._call_taken_back)
        self._is_polled_beside_post = False  # a poll was sent while the POST may be in transit
        self._call_connection: HttpConnection | None = None  # connection of the current POST or poll
        self._pending: PendingAcquire[HttpConnection] | None = None  # acquires the next connection for a poll
        self._pending_delete: PendingAcquire[HttpConnection] | None = None
        self._deleting = False
        self._stop_outcome: Outcome | None = None
        self._check_timer: Timer | None = None
        # The engine closed the connection of the last call, as a crash does
        self._is_closed_by_engine = False
        # A connection broke since the last answer: the engine may have restarted
        self._is_process_uncertain = False
        self._is_unknown_to_engine = False  # an engine that was unreachable answers that it has no such query
        self._reservation: ResultReservation | None = None  # memory for the result
        # An answer after which the next poll has to wait, and the connection on which it arrived: the policy
        # has not received its progress note yet, or there is no memory for the rest of the result
        self._held_answer: tuple[HttpConnection, http1.Response] | None = None
        self._failures = 0  # malformed answers and broken connections
        self._pages: list[bytes] = []
        self._page_count = 0
        self._is_ended = False
        if resumed:
            self._is_post_written = self._answered = True
            self._sent_calls.record_arrival()
            self._last_call_us = backend.now()
            self._check_timer = backend.timers.at(
                self._last_call_us + self._answer_timeout_us, self._check_progress
            )
            self._poll_on_other_connection()
        else:
            attempt.request_permission(WIRE, 0, self._acquire_connection)

    # Calls

    def _acquire_connection(self) -> None:
        """Acquire a connection for the POST; the attempt has permission to be sent."""
        if not self._is_ended:
            self._pending = self._pool.acquire(self._post, self._connect_failed)

    def _post(self, connection: HttpConnection) -> None:
        request = self._attempt.request
        now = self._backend.now()
        if not (self._attempt.may_send() and self._pool.may_send_query(connection)):
            self._pending = None
            connection.release()
            self._finish(self._stop_outcome or Outcome.MOOT)
            return
        remaining_us = request.deadline_us - now
        headers = [
            ("X-Hop-Id", request.name),
            ("X-Sort", self._backend.classes[request.service_class]),
            ("X-Budget", str(max(1, remaining_us // 1000))),
            ("X-Urgency", str(request.priority)),
        ]
        if request.replay_key:
            headers.append(("X-Replay-Key", request.replay_key))
        if request.grant_mb > 0:
            headers.append(("X-Allot", f"{request.grant_mb:.0f}"))
        assert isinstance(request.payload, bytes)
        self._pending = None
        self._is_post_written = True
        self._posted_us = now
        self._call(
            connection,
            http1.request("POST", "/obj", self._pool_host(), headers, request.payload),
            is_post=True,
        )
        self._posted_us = self._last_call_us

    def _poll(self, connection: HttpConnection) -> None:
        """Poll for the end of the query, or get the next page of its result."""
        self._pending = None
        self._is_polled_beside_post = not self._answered and self._sent_calls.may_post_arrive
        if self._call_connection is not None:  # its call has no answer yet, and a further connection is open
            self._call_connection.abandon(self._last_call_us + OVERDUE_US)
            if not self._is_polled_beside_post:
                self._sent_calls.take_back_last()
        number = len(self._pages) if self._page_count else 0
        self._call(connection, http1.request("GET", f"{self._path}/{number}", self._pool_host()))

    def _call(self, connection: HttpConnection, request: bytes, is_post: bool = False) -> None:
        self._call_connection = connection
        self._is_closed_by_engine = False
        self._last_call_us = self._backend.now()
        connection.call(
            request,
            lambda response: self._responded(connection, response),
            self._interrupted,
            fence=lambda: self._priority_call(self._attempt.request.priority),
        )
        self._last_call_us = self._backend.exact_now()  # the process may have been stopped during this turn
        self._sent_calls.add(connection, self._last_call_us, is_post)
        if self._check_timer is None or self._page_count:  # pages arrive long before the timer of a poll
            if self._check_timer is not None:
                self._check_timer.cancel()
            self._check_timer = self._backend.timers.at(
                self._last_call_us + self._answer_timeout_us, self._check_progress
            )

    @property
    def _may_post_be_open(self) -> bool:
        """Whether the POST may still be in transit, and its answer may still arrive."""
        return self._backend.now() - self._posted_us < OVERDUE_US

    @property
    def _answer_timeout_us(self) -> int:
        """Time without an answer after which the query or page is requested on another connection."""
        if self._page_count:
            return PAGE_TRANSIT_US
        is_first_poll = not self._answered and not self._is_polled_beside_post
        timeout_us = (
            max(MIN_EARLY_POLL_US, self._attempt.request.expires_in_us // EARLY_POLL_DIVISOR)
            if is_first_poll
            else LONG_POLL_US
        )
        return min(timeout_us, LONG_POLL_US) + TRANSIT_US * (timeout_us >= LONG_POLL_US)

    def _pool_host(self) -> str:
        return self._pool.host

    @property
    def _awaits_post_answer(self) -> bool:
        """Whether the POST is open and its answer may still arrive."""
        return self._call_connection is not None and not self._answered and self._may_post_be_open

    def _poll_on_other_connection(self) -> None:
        if self._awaits_post_answer and not self._pool.idle:
            return  # a poll during the POST does not justify a new connection: in large fleets few are idle
        if self._pending is None and not self._is_ended and not self._deleting:
            self._pending = self._pool.acquire(
                self._poll, self._connect_failed, fresh=not self._may_post_be_open
            )

    def _check_progress(self) -> None:
        """Poll again or end the attempt if the answer is overdue: malformed, or lost with a host or link."""
        self._check_timer = None
        now_us = self._backend.now()
        if not self._page_count:
            self._sent_calls.take_back(written_by_us=now_us - OVERDUE_US)
        if self._must_have_ended(now_us):
            self._finish(self._stop_outcome or Outcome.RESET)
            return
        since_call_us = now_us - self._last_call_us
        timeout_us = self._answer_timeout_us
        if (
            since_call_us >= timeout_us
            and self._stop_outcome is None
            and self._held_answer is None
            and not self._is_unknown_to_engine
        ):
            self._poll_on_other_connection()
        next_check_us = now_us + RETRY_US
        if since_call_us < timeout_us:
            next_check_us = self._last_call_us + timeout_us
        elif not self._sent_calls.may_arrive_later:
            next_check_us = min(next_check_us, self._sent_calls.last_arrival_us + QUERY_DROPPED_US)
        if self._awaits_post_answer:
            next_check_us = min(next_check_us, self._posted_us + OVERDUE_US)
        # A poll on an idle connection has set the timer already
        if self._check_timer is None and not self._is_ended:
            self._check_timer = self._backend.timers.at(next_check_us, self._check_progress)

    def _must_have_ended(self, now_us: int) -> bool:
        """Whether no query can run any more, as no call can have arrived for long enough. If a call may still
        arrive, the attempt ends only when no other can follow."""
        if self._sent_calls.may_arrive_later:
            return now_us >= self._attempt.request.deadline_us
        return now_us - self._sent_calls.last_arrival_us >= QUERY_DROPPED_US

    def _call_taken_back(self, call: SentCall) -> None:
        if call.connection is self._call_connection:
            self._call_connection = None
        if not self._answered and not self._pool.was_heard_since(call.written_us):
            self._is_process_uncertain = True  # its connection might have broken

    # Answers

    def _responded(self, connection: HttpConnection, response: http1.Response) -> None:
        if self._is_invalid(response):
            log(
                "engine",
                "invalid answer; connection closed",
                engine=self._pool.engine,
                request=self._attempt.request.name,
            )
            connection.abort()
            self._interrupted()
            return
        self._call_connection = None
        if (
            response.status == http1.INTERNAL_SERVER_ERROR
            and not self._answered
            and not self._sent_calls.is_post_on(connection)
        ):
            if self._pool.was_unreachable:
                # The engine may still read the POST, until QUERY_DROPPED_US after the previous call arrived
                self._sent_calls.forget_last_arrival()
                self._is_unknown_to_engine = True
                connection.finish_call(response)
                return
            if self._is_polled_beside_post:
                # The poll may have overtaken the POST; the timer polls again
                connection.finish_call(response)
                return
        self._answered = True
        self._sent_calls.record_arrival()
        self._is_process_uncertain = False
        if self._pending is not None:  # a further poll is not needed any more
            self._pending.cancel()
            self._pending = None
        if response.status == http1.ACCEPTED:
            self._handle_running(connection, response)
        elif response.status == http1.OK:
            self._handle_page(connection, response)
        else:
            connection.finish_call(response)
            self._finish(self._stop_outcome or _outcome_of(response))

    def _is_invalid(self, response: http1.Response) -> bool:
        """Whether an engine can't have sent this as the answer to the current call: it is a duplicate of
        another answer, or a truncated page."""
        if response.status != http1.OK:
            return response.status not in ANSWER_STATUSES
        number_text = response.headers.get("x-sheet" if self._page_count else "x-sheets", "")
        number = (
            int(number_text)
            if number_text.isascii() and number_text.isdigit() and len(number_text) <= MAX_PAGE_DIGITS
            else 0
        )
        expected = number == len(self._pages) if self._page_count else 0 < number <= MAX_PAGES
        return not expected or (bool(response.body) and not response.body.endswith(b"\n"))

    def _handle_running(self, connection: HttpConnection, response: http1.Response) -> None:
        kind = NOTE_KINDS.get(response.headers.get("x-tell", ""))
        if kind is not None:
            try:
                self._attempt.report_progress(kind, float(response.headers.get("x-val", "")))
            except ValueError:
                log("engine", "progress note without a number", engine=self._pool.engine)
        if self._stop_outcome is not None:
            connection.finish_call(response)
            self._delete()
        elif kind is None:
            self._poll_next(connection, response)
        else:  # the policy may cancel the query on this note: keep the connection idle for the DELETE
            self._held_answer = connection, response
            self._backend.call_soon(self._resume_polling)

    def _resume_polling(self) -> None:
        """Poll again, as the policy has received the note, or there is memory for the result."""
        if self._held_answer is not None:
            connection, response = self._held_answer
            self._held_answer = None
            self._poll_next(connection, response)

    def _release_held_connection(self) -> None:
        if self._held_answer is not None:
            connection, response = self._held_answer
            self._held_answer = None
            connection.finish_call(response)

    def _poll_next(self, connection: HttpConnection, response: http1.Response) -> None:
        """Send the next poll, on the same connection if it stays open and no data followed the answer."""
        if response.keep_alive and not connection.is_stale():
            self._poll(connection)
        else:
            connection.close()
            self._pending = self._pool.acquire(self._poll, self._connect_failed)

    def _handle_page(self, connection: HttpConnection, response: http1.Response) -> None:
        self._page_count = self._page_count or int(response.headers["x-sheets"])
        self._pages.append(response.body)
        if sum(map(len, self._pages)) > MAX_RESULT_BYTES:
            log(
                "engine",
                "result exceeds the size limit",
                engine=self._pool.engine,
                request=self._attempt.request.name,
            )
            connection.finish_call(response)
            self._finish(self._stop_outcome or Outcome.ERROR)
        elif len(self._pages) == self._page_count:
            connection.finish_call(response)
            self._finish(Outcome.OK)
        elif self._stop_outcome is not None:
            connection.finish_call(response)
            self._finish(self._stop_outcome)  # the query has ended, and its outcome is decided
        elif self._has_room_for_result():
            self._poll_next(connection, response)
        else:
            self._held_answer = connection, response

    def _room_granted(self) -> None:
        self._backend.call_soon(self._resume_polling)

    def _has_room_for_result(self) -> bool:
        """Whether the remaining pages may be requested now; if not, ``_resume_polling`` is called later."""
        if self._reservation is None:
            size_bytes = min(self._page_count * PAGE_BYTES, MAX_RESULT_BYTES)
            self._reservation = self._backend.result_budget.reserve(size_bytes, self._room_granted)
        return self._reservation.is_granted

    # Failures

    def _interrupted(self) -> None:
        """Handle a connection that broke during a call, or a malformed answer: the query may still run."""
        self._is_closed_by_engine = (
            self._call_connection is not None and not self._call_connection.closed_locally
        )
        self._call_connection = None
        self._is_process_uncertain = True
        if self._stop_outcome is not None:
            self._retry_delete()
        elif self._may_retry_now():
            self._poll_on_other_connection()
        # else the timer polls again

    def _may_retry_now(self) -> bool:
        """Count a failure; true if the call is to be repeated immediately."""
        self._failures += 1
        return self._failures <= MAX_IMMEDIATE_RETRIES

    def _connect_failed(self, failure: ConnectFailure) -> None:
        self._pending = None
        if not self._is_post_written:
            proves_nothing = failure in (ConnectFailure.NO_SOCKETS, ConnectFailure.TIMED_OUT_BUT_ALIVE)
            self._finish(Outcome.MOOT if proves_nothing else Outcome.CONNECT_FAILED)
        elif self._is_process_dead(failure):
            self._finish(self._stop_outcome or Outcome.RESET)
        # else the timer polls again until the engine must have dropped the query

    def _is_process_dead(self, failure: ConnectFailure) -> bool:
        """Whether the engine's process has ended, so that no query runs any more. A refused connection alone
        does not prove it: an engine at its connection limit refuses too, while its queries run on."""
        return (
            failure is ConnectFailure.REFUSED
            and self._is_closed_by_engine
            and not self._pool.has_open_connection
        )

    # Cancelling

    def stop(self, outcome: Outcome) -> None:
        """End the attempt as soon as a later attempt can't overlap with it."""
        if self._is_ended or self._stop_outcome is not None:
            return
        self._stop_outcome = outcome
        self._release_held_connection()
        if not self._is_post_written or self._page_count:
            self._finish(outcome)  # no query runs: it was not sent, or its end has been received
        elif not self._answered and self._sent_calls.has_open_call:
            if self._sent_calls.is_post_partly_sent:
                self._finish(outcome)  # which takes the POST back
            else:  # the first answer arrives soon; an earlier DELETE might overtake the POST
                self._backend.timers.at(
                    min(self._posted_us + TRANSIT_US, self._backend.now() + STOP_GRACE_US),
                    self._delete_unanswered,
                )
        else:
            self._delete()

    def _delete_unanswered(self) -> None:
        """Take back the POST if it may still arrive, and delete the query in case it has arrived."""
        if self._is_ended:
            return
        if not self._answered:
            self._sent_calls.take_back()
        self._backend.timers.at(max(self._backend.now(), self._posted_us + TRANSIT_US), self._delete)

    def _delete(self) -> None:
        if self._deleting or self._is_ended or self._is_unknown_to_engine:
            return
        self._deleting = True
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        self._pending_delete = self._pool.acquire(self._send_delete, self._delete_connect_failed)

    def _send_delete(self, connection: HttpConnection) -> None:
        """Send the DELETE. If a connection broke, poll first: a new process that never had the query answers
        a DELETE too, which proves nothing about the query in the old process."""
        self._pending_delete = None
        if self._is_process_uncertain:
            self._deleting = False
            if self._call_connection is None:
                self._poll(connection)
            else:
                connection.release()  # a poll is open already
            return

        is_repeated = False

        def responded(response: http1.Response) -> None:
            nonlocal is_repeated
            # 500: an engine that does not know the query does not run it
            is_deleted = response.status in (http1.NO_CONTENT, http1.INTERNAL_SERVER_ERROR)
            if not is_deleted or connection.is_doubtful:  # a duplicate of an earlier answer
                connection.await_next_response(responded, interrupted)
                if response.status == http1.NO_CONTENT:  # two answers prove that one is to this call
                    is_repeated = True
                    connection.write(request)
                return
            timeout.cancel()
            if is_repeated:  # a further answer may follow
                connection.close()
            else:
                connection.finish_call(response)
            self._finish(self._stop_outcome or Outcome.CANCELLED)

        def interrupted() -> None:
            timeout.cancel()
            self._deleting = False
            self._is_process_uncertain = True
            self._retry_delete()

        request = http1.request("DELETE", self._path, self._pool_host())
        timeout = self._backend.timers.after(TRANSIT_US, connection.abort)
        connection.call(request, responded, interrupted)

    def _delete_connect_failed(self, failure: ConnectFailure) -> None:
        self._pending_delete = None
        if self._is_process_dead(failure):
            self._finish(self._stop_outcome or Outcome.CANCELLED)
        elif not self._is_ended:
            self._deleting = False
            self._backend.timers.after(RETRY_US, self._delete)

    def _retry_delete(self) -> None:
        if self._may_retry_now():
            self._delete()
        else:
            self._backend.timers.after(RETRY_US, self._delete)

    def set_priority(self, priority: int) -> None:
        """Send the new priority of a running query to the engine."""
        if self._is_post_written and not self._page_count and not self._is_ended:
            self._backend.fire_and_forget(self._pool, self._priority_call(priority))

    def _priority_call(self, priority: int) -> bytes:
        return http1.request("PUT", self._path, self._pool_host(), body=str(priority).encode())

    def _finish(self, outcome: Outcome) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        self._release_held_connection()
        if self._reservation is not None:
            self._reservation.release()
        for pending in (self._pending, self._pending_delete):
            if pending is not None:
                pending.cancel()
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._let_go_of_calls()
        pages, self._pages = self._pages, []
        self._attempt.finish(outcome, b"".join(pages) if outcome is Outcome.OK else None)

    def _let_go_of_calls(self) -> None:
        """Keep the connections of polls whose answers are due, as these polls do no harm any more; take back
        a POST that may not have arrived, and calls that are overdue."""
        now_us = self._backend.now()
        if self._call_connection is not None:
            self._call_connection.abandon(now_us + CALL_TIMEOUT_US)
        self._sent_calls.take_back(written_by_us=now_us - OVERDUE_US if self._answered else None)
        self._sent_calls.clear()
