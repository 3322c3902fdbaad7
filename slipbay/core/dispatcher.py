"""The dispatcher: carries requests, attempts and answers between frontends, the policy and backends.

It collects the events of one event-loop iteration, hands them to the policy in one call, and applies the
actions that the policy returns in order. The dispatcher makes one decision of its own: it answers a client
whose deadline has passed, whatever the policy and the engines do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from slipbay.clock import Clock
from slipbay.core.model import (
    QUERY_FAILED,
    Answer,
    Attempt,
    Backend,
    Failed,
    Rejected,
    Request,
    Served,
)
from slipbay.core.ports import AdmissionGate, IdempotencyGuard
from slipbay.core.timers import Timer, Timers
from slipbay.log import log
from slipbay.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Dispatch,
    Fail,
    FetchList,
    Log,
    Probe,
    Reject,
    SendGossip,
    SetTimer,
    UpdateAttempt,
    WatchList,
)
from slipbay.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    Outcome,
    ProbeEnded,
    QueryArrived,
    TimerFired,
)
from slipbay.policy.protocol import Policy
from slipbay.policy.settings import Effect, Settings

# time after the deadline of a request at which the dispatcher answers it if the policy has not
ANSWER_GRACE_US = 10_000


class Dispatcher:
    """Owns the open requests of one router."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        policy: Policy,
        settings: Settings,
        max_open: int,
        max_bytes: int,
    ) -> None:
        """``max_open`` limits the number of open requests, ``max_bytes`` the total size of their payloads."""
        self._loop = loop
        self.clock = clock
        self.timers = timers
        self.call_soon = loop.call_soon  # runs a function in the next event-loop iteration
        self.policy = policy
        self.settings = settings
        self.max_open = max_open
        self.max_bytes = max_bytes
        self.requests: dict[int, Request] = {}
        self.backends: list[Backend] = []
        self.idempotency_guard: IdempotencyGuard | None = None  # None: the router has no durable store
        self.admission_gates: list[AdmissionGate] = []  # consulted in order; empty: only the limits apply
        self.send_gossip: Callable[[bytes, int | None], None] = lambda _body, _to: None
        self.on_idle: Callable[[], None] = lambda: None  # called when no request is open any more
        self._open_bytes = 0
        self._next_id = 0
        self._events: list[Event] = []
        self._is_processing_scheduled = False
        self._is_applying_actions = False
        self._finished_parts: list[Request] = []  # ended; a later action of the same call may name them
        self._policy_timers: dict[int, Timer] = {}  # by token
        self._action_handlers = self._make_action_handlers()

    def _make_action_handlers(self) -> dict[type[Action], Callable[[Any, int], None]]:
        """Functions by the type of action that they apply; each takes the action and the time in us."""
        return {
            Dispatch: self._apply_dispatch,
            Cancel: self._apply_cancel,
            Reject: self._apply_reject,
            Fail: self._apply_fail,
            SetTimer: self._apply_set_timer,
            UpdateAttempt: self._apply_update_attempt,
            Probe: self._apply_probe,
            CloseIdle: self._apply_close_idle,
            SendGossip: self._apply_send_gossip,
            Log: self._apply_log,
            WatchList: self._apply_nothing,
            FetchList: self._apply_nothing,
        }

    def notify(self, event: Event) -> None:
        """Queue an event for the next call of the policy."""
        self._events.append(event)
        if not self._is_processing_scheduled:
            self._is_processing_scheduled = True
            self._loop.call_soon(self._process_events)

    # From the frontends

    def submit(self, request: Request) -> None:
        """Accept a request from a frontend. Its client gets exactly one answer, never within this call."""
        self._next_id += 1
        now_us = self.clock.now()
        request.id = self._next_id
        request.deadline_us = now_us + request.expires_in_us
        if (
            not request.idempotency_key
            or self.idempotency_guard is None
            or self.idempotency_guard.admit(request)
        ):
            self._open_request(request)

    def resubmit(self, request: Request) -> None:
        """Accept a request that waited in the idempotency guard until now."""
        request.expires_in_us = max(1, request.deadline_us - self.clock.now())
        if self.idempotency_guard is None or self.idempotency_guard.admit(request):
            self._open_request(request)

    def _open_request(self, request: Request) -> None:
        if not self.has_room(1, request.size_bytes):
            self.reject(request, self.settings.max_retry_after_us // 2)
            return
        for position, gate in enumerate(self.admission_gates):
            retry_after_us = gate.admit(request)
            if retry_after_us is not None:
                for earlier_gate in self.admission_gates[:position]:
                    earlier_gate.release(request)
                self.reject(request, retry_after_us)
                return
        request.admitted = True
        self.requests[request.id] = request
        self._open_bytes += request.size_bytes
        request.deadline_timer = self.timers.at(
            request.deadline_us + ANSWER_GRACE_US, lambda: self._deadline_passed(request)
        )
        self.notify(
            QueryArrived(
                request.id,
                request.service_class,
                request.expires_in_us,
                request.cost_us,
                request.memory_mb,
                float(request.group),
                0,
                request.tenant,
                request.is_repeat,
                request.is_write,
            )
        )

    def has_room(self, requests: int, size_bytes: int) -> bool:
        """Whether ``requests`` more requests, with ``size_bytes`` of payload in total, may be opened."""
        return (
            len(self.requests) + requests <= self.max_open and self._open_bytes + size_bytes <= self.max_bytes
        )

    def reject(self, request: Request, retry_after_us: int) -> None:
        """Reject a request that is not open; its client is notified in the next event-loop iteration."""
        request.finished = True
        self._loop.call_soon(self._notify_client, request, Rejected(retry_after_us))

    def client_disconnected(self, request: Request, cancelled: bool = False) -> None:
        """The client has disconnected or cancelled the request and needs no answer any more."""
        if request.idempotency_key and self.idempotency_guard is not None:
            self.idempotency_guard.client_disconnected(request, cancelled)
        else:
            self.abandon(request)

    def abandon(self, request: Request) -> None:
        """End a request that no client waits for."""
        if not request.finished:
            self._finish_request(request)
            self.notify(ClientDisconnected(request.id))

    def reject_unsent(self, attempt: Attempt, retry_after_us: int) -> None:
        """Reject the request of an attempt that may not be sent, and stop the attempt; nothing has run."""
        request = attempt.request
        if not request.finished:
            self._answer_request(request, Rejected(retry_after_us))
            self.notify(ClientDisconnected(request.id))
        self._stop_attempt(attempt, Outcome.CANCELLED)

    # From attempts

    def latest_send_us(self, request: Request) -> int:
        """The time until which an attempt of the request may be sent, in us.

        Engines drop the repeat of a request that may have run only within a window. The window starts with
        the first byte of the first attempt.
        """
        service_class = self.settings.classes[request.service_class]
        if request.may_have_run_since_us is None or service_class.effect is not Effect.KEYED:
            return request.deadline_us
        return min(request.deadline_us, request.may_have_run_since_us + service_class.dedup_window_us)

    def request_permission(self, attempt: Attempt, wire: str, thread: int, send: Callable[[], None]) -> None:
        """Call ``send`` once the attempt may be sent: at once for requests without an idempotency key."""
        if self.idempotency_guard is None or not attempt.request.idempotency_key:
            send()
        else:
            self.idempotency_guard.request_permission(attempt, wire, thread, send)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: object) -> None:
        """Handle the end of an attempt, once for each; ``result`` is the answer if the outcome is ``OK``."""
        request = attempt.request
        if attempt.time_limit is not None:
            attempt.time_limit.cancel()
        del request.in_flight[attempt.number]
        if request.idempotency_key and self.idempotency_guard is not None:
            self.idempotency_guard.attempt_ended(attempt, outcome, result)
        if request.observer is not None:
            request.observer.attempt_ended(attempt, outcome)
        if not outcome.proves_not_run and request.may_have_run_since_us is None:
            request.may_have_run_since_us = attempt.sent_us
        if outcome is Outcome.OK:
            self._answer_request(request, Served(result))
        self.notify(
            AttemptEnded(
                request.id,
                attempt.number,
                attempt.engine,
                outcome,
                self.clock.now() - attempt.sent_us,
                request.finished,
            )
        )
        self._remove_if_done(request)

    # Events and actions of the policy

    def _process_events(self) -> None:
        self._is_processing_scheduled = False
        events = self._events
        self._events = []
        now_us = self.clock.now()
        try:
            actions = self.policy.handle(now_us, events)
        except Exception as error:
            # The deadline timers still answer the affected clients, and other requests continue.
            log("decisions", "the policy has raised an error", error=type(error).__name__, reason=error)
            return
        action_handlers = self._action_handlers
        self._is_applying_actions = True
        try:
            for action in actions:
                action_handlers[type(action)](action, now_us)
        finally:
            self._is_applying_actions = False
            while self._finished_parts:
                self._remove_if_done(self._finished_parts.pop())

    def _apply_dispatch(self, action: Dispatch, now_us: int) -> None:
        request = self.requests.get(action.query)
        if request is None:
            return
        attempt = Attempt(self, request, request.attempt_count, action.engine, now_us)
        request.attempt_count += 1
        request.in_flight[attempt.number] = attempt
        if request.finished or attempt.number >= self.settings.max_attempts or now_us >= request.deadline_us:
            attempt.finish(Outcome.MOOT)
            return
        if action.limit_us > 0:
            attempt.time_limit = self.timers.at(
                now_us + action.limit_us, lambda: self._stop_attempt(attempt, Outcome.TIMEOUT)
            )
        if self.idempotency_guard is not None:
            self.idempotency_guard.dispatched(attempt)
        if request.observer is not None:
            request.observer.attempt_sent(attempt)
        attempt.exchange = request.backend.start(attempt)

    def _apply_cancel(self, action: Cancel, _now_us: int) -> None:
        request = self.requests.get(action.query)
        if request is not None and action.attempt in request.in_flight:
            self._stop_attempt(request.in_flight[action.attempt], Outcome.CANCELLED)

    def _apply_reject(self, action: Reject, now_us: int) -> None:
        request = self.requests.get(action.query)
        if request is not None:
            deadline_passed = now_us >= request.deadline_us - ANSWER_GRACE_US
            self._answer_request(request, Rejected(action.retry_after_us, deadline_passed))

    def _apply_fail(self, action: Fail, now_us: int) -> None:
        request = self.requests.get(action.query)
        if request is not None:
            deadline_passed = now_us >= request.deadline_us - ANSWER_GRACE_US
            self._answer_request(request, Failed(QUERY_FAILED, deadline_passed))

    def _apply_set_timer(self, action: SetTimer, _now_us: int) -> None:
        token = action.token
        self._policy_timers[token] = self.timers.at(action.at_us, lambda: self._policy_timer_fired(token))

    def _policy_timer_fired(self, token: int) -> None:
        self._policy_timers.pop(token, None)
        self.notify(TimerFired(token))

    def cancel_policy_timer(self, token: int) -> None:
        """Drop a timer that the policy needs no more, with all that it refers to."""
        timer = self._policy_timers.pop(token, None)
        if timer is not None:
            timer.cancel()

    def _apply_update_attempt(self, action: UpdateAttempt, _now_us: int) -> None:
        request = self.requests.get(action.query)
        if request is None:
            return
        changed = action.priority != request.priority
        request.priority = action.priority
        request.grant_mb = action.memory_mb
        if changed:
            for attempt in list(request.in_flight.values()):
                if attempt.exchange is not None:
                    attempt.exchange.set_priority(action.priority)

    def _apply_probe(self, action: Probe, now_us: int) -> None:
        engine = action.engine
        if self.backends:
            self.backends[0].probe(
                engine,
                lambda outcome: self.notify(ProbeEnded(engine, outcome, self.clock.now() - now_us)),
            )

    def _apply_close_idle(self, action: CloseIdle, _now_us: int) -> None:
        for backend in self.backends:
            backend.close_idle(action.engine)

    def _apply_send_gossip(self, action: SendGossip, _now_us: int) -> None:
        self.send_gossip(action.body, action.to)

    def _apply_log(self, action: Log, _now_us: int) -> None:
        log("decisions", action.text)

    def _apply_nothing(self, action: WatchList | FetchList, _now_us: int) -> None:
        """Ignore the action: the endpoint watch reports all changes unrequested and reconnects by itself."""

    def _stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.exchange is not None and not attempt.finished:
            attempt.exchange.stop(outcome)

    # Answers

    def _deadline_passed(self, request: Request) -> None:
        """Answer a request whose deadline has passed; the policy has normally done so before."""
        if self._is_processing_scheduled:
            self._process_events()  # the queued events may include the policy's own deadline timer
        if not request.finished:
            log(
                "overdue",
                "the policy has not answered a request by its deadline",
                request=request.name,
                class_=request.service_class,
            )
            self._answer_request(request, Failed("the deadline has passed", deadline_passed=True))
            self.notify(ClientDisconnected(request.id))
            for attempt in list(request.in_flight.values()):
                self._stop_attempt(attempt, Outcome.CANCELLED)

    def _answer_request(self, request: Request, answer: Answer) -> None:
        if not request.finished:
            self._finish_request(request)
            self._notify_client(request, answer)

    def _notify_client(self, request: Request, answer: Answer) -> None:
        if request.idempotency_key and self.idempotency_guard is not None:
            self.idempotency_guard.answered(request, answer)
        request.client.answered(request, answer)

    def _finish_request(self, request: Request) -> None:
        request.finished = True
        if request.admitted:
            for gate in self.admission_gates:
                gate.release(request)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self._remove_if_done(request)

    def _remove_if_done(self, request: Request) -> None:
        """Remove a request once it is answered and all its attempts have ended.

        An action that names one part of a scattered query may end another part. A later action of the same
        policy call may dispatch that other part, so the part is removed after all actions are applied.
        """
        if self._is_applying_actions and request.observer is not None:
            self._finished_parts.append(request)
        elif request.finished and not request.in_flight and request.id in self.requests:
            del self.requests[request.id]
            self._open_bytes -= request.size_bytes
            if not self.requests:
                self.on_idle()
