"""Estimates whether this router itself is slow or disconnected.

Source: Dadgar, Phillips, Currey: Lifeguard (2018), local health multiplier.
"""

from __future__ import annotations

from slipbay.membership.timing import SECOND

WORST_SCORE = 8
STALL_PENALTY = 2
UNHEALTHY_SCORE = 4  # minimum score at which this router is probably the faulty one
KEPT_RESULTS = 8  # results of the last probes that are kept
MIN_RESULTS = 4  # results needed before their failure rate is used
KEPT_ACCUSATIONS = 16
ACCUSATION_WINDOW_US = 3 * SECOND  # within which more than one accusation is significant


class LocalHealth:
    """A score from 0 (healthy) to 8. Missed answers, stalls and accusations raise it, answered probes lower
    it."""

    def __init__(self, now_us: int) -> None:
        self.score = 0
        self._last_message_us = now_us  # time of the last received message
        self._results: list[bool] = []  # whether each of the last probes was answered
        self._accusations_us: list[int] = []  # times of accusations by others

    def record_message(self, now_us: int) -> None:
        """Record a received message."""
        self._last_message_us = now_us

    def record_stall(self) -> None:
        """Record that this process was suspended, so that it may have missed answers."""
        self.score = min(self.score + STALL_PENALTY, WORST_SCORE)

    def probe_answered(self) -> None:
        """Record that a probe of this router was answered."""
        self._record(True)
        self.score = max(0, self.score - 1)

    def probe_unanswered(self, sent_us: int) -> None:
        """Record a probe without an answer. If no message at all was received since it was sent, this router
        is probably at fault rather than its target."""
        self._record(False)
        if self._last_message_us < sent_us:
            self.score = min(WORST_SCORE, self.score + 1)

    def record_accusation(self, now_us: int) -> None:
        """Record that another router declared this one suspect or gone."""
        self._accusations_us = [*self._accusations_us[-(KEPT_ACCUSATIONS - 1) :], now_us]
        self.score = min(WORST_SCORE, self.score + 1)

    def may_be_disconnected(self, now_us: int) -> bool:
        """Whether this router rather than the others is disconnected or starved: most of its probes are not
        answered, the score is high, or others accused it at least twice within 3 s."""
        answered = sum(self._results)
        failed = len(self._results) >= MIN_RESULTS and answered * 4 <= len(self._results)
        self._accusations_us = [
            accused_us for accused_us in self._accusations_us if now_us - accused_us < ACCUSATION_WINDOW_US
        ]
        return failed or self.score >= UNHEALTHY_SCORE or len(self._accusations_us) > 1

    def answer_us(self, answer_us: int) -> int:
        """Timeout of an answer in us, longer the higher the score is."""
        return answer_us * (2 + self.score) // 2

    def _record(self, answered: bool) -> None:
        self._results = [*self._results[-(KEPT_RESULTS - 1) :], answered]
