"""Protocols that the dispatcher consults before it runs a request; other packages implement them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from slipbay.core.model import Answer, Attempt, Request
from slipbay.policy.events import Outcome


class IdempotencyGuard(Protocol):
    """Prevents requests with an idempotency key from running twice, also across a crash of this process."""

    def requires_key(self, service_class: int) -> bool:
        """Whether requests of a class must have an idempotency key."""

    def has_key(self, key: bytes) -> bool:
        """Whether an idempotency key has a record."""

    def admit(self, request: Request) -> bool:
        """Whether the dispatcher should run a request; if not, the guard answers it."""

    def client_disconnected(self, request: Request, cancelled: bool) -> None:
        """The client of a request has disconnected or, if ``cancelled``, has cancelled the request."""

    def request_permission(self, attempt: Attempt, wire: str, thread: int, send: Callable[[], None]) -> None:
        """Call ``send`` once the attempt may be sent; not if the attempt is abandoned before that."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: object) -> None:
        """An attempt has ended; called before its request is answered."""

    def answered(self, request: Request, answer: Answer) -> None:
        """An admitted request gets its only answer; called just before the client receives it."""

    def dispatched(self, attempt: Attempt) -> None:
        """The dispatcher is about to hand an attempt to its backend."""


class AdmissionGate(Protocol):
    """Decides whether a request is accepted; consulted once per request, before the policy sees it.

    A request that the idempotency guard answers from a key record is not passed to any gate.
    """

    def admit(self, request: Request) -> int | None:
        """None if the request is admitted, else the time (us) after which the client may retry it."""

    def release(self, request: Request) -> None:
        """An admitted request was answered or abandoned, or a later gate has rejected it; called once."""
