"""Output of a controller to its host: the actions of one call, and timers with their callbacks."""

from __future__ import annotations

from collections.abc import Callable

from slipbay.policy.actions import Action, SetTimer

TOKEN_RANGE = 2**32  # timer tokens have 32 bits in the simulator's protocol


class Outbox:
    """Collects actions in order, and stores the callbacks of pending timers."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.timers: dict[int, Callable[[int], None]] = {}
        self.last_token = 0
        self.timer_cancelled: Callable[[int], None] = lambda _token: None

    def add(self, action: Action) -> None:
        """Append one action."""
        self.actions.append(action)

    def set_timer(self, at_us: int, callback: Callable[[int], None]) -> int:
        """Set a timer at the host and return its token; ``callback`` gets the time at which it fires."""
        self.last_token = (self.last_token + 1) % TOKEN_RANGE
        self.timers[self.last_token] = callback
        self.actions.append(SetTimer(self.last_token, max(at_us, 0)))
        return self.last_token

    def cancel_timer(self, token: int | None) -> None:
        """Drop the callback of a timer that is not needed any more; the host may drop the timer too."""
        if token is not None and self.timers.pop(token, None) is not None:
            self.timer_cancelled(token)

    def fire(self, token: int, now_us: int) -> None:
        """Run the callback of a timer, once; unknown tokens are ignored."""
        callback = self.timers.pop(token, None)
        if callback is not None:
            callback(now_us)
