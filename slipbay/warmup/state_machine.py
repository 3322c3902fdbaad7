"""The warm-up of a new incarnation as a state machine without I/O, clock or random source.

It surveys a sample of the fleet, limits its queries to its share of what the queries of earlier incarnations
leave, and requests the estimates of a few routers in full service. It enters a phase when there is evidence
for it. The only timeouts are bounds of other components: how long an engine runs a query that no client
polls, and how long a reply takes.
"""

from __future__ import annotations

from collections.abc import Callable
from math import gcd

from slipbay.peer_channel.interfaces import Send
from slipbay.policy.events import EstimatesRestored
from slipbay.warmup import codec
from slipbay.warmup.codec import Message, MessageType
from slipbay.warmup.estimate_collection import EstimateCollector
from slipbay.warmup.fleet_survey import FleetSurvey
from slipbay.warmup.limits import WarmupLimits
from slipbay.warmup.peer_estimates import PeerReport
from slipbay.warmup.plan import SECOND, Phase, WarmupPlan

IDLE_US = 10 * SECOND  # between ticks in full service, which have no effect
# of the fleet: if fewer routers restarted, their leftover queries are within the random variation of the load
SMALL_FRACTION = 0.2
NONCES = 2**16  # a u16 in messages


class WarmupStateMachine:
    """The warm-up of one router. Times are in us of its clock."""

    def __init__(
        self,
        local_number: int,
        size: int,
        seed: int,
        now: int,
        own_estimates: Callable[[int], tuple[EstimatesRestored, int]],
        plan: WarmupPlan | None = None,
        free_retries: float = 0.0,
    ) -> None:
        """``own_estimates``: returns the estimates of this router's policy at a time, and the retries that it
        counts. ``free_retries``: retries that the policy allows before any request.
        """
        self.local_number = local_number
        self.size = size
        self.started_us = now
        self.plan = plan or WarmupPlan()
        self.phase = Phase.BLANK
        self.evidence = "only the endpoint list is known"  # for the current phase
        self.entered_us = now
        self.full_service_us = 0
        self.on_phase_change: Callable[[Phase, str], None] = _ignore
        self._own_estimates = own_estimates
        self._nonce = seed % NONCES
        self._next = now
        order = _order(local_number, size, seed)
        self.survey = FleetSurvey(size, order[: self.plan.survey_size])
        self.limits = WarmupLimits(local_number, size, now, self.plan, self.survey)
        self.collector = EstimateCollector(self.plan, self.survey, order, free_retries)

    def set_engine_count(self, count: int) -> None:
        """Set the number of engines in the endpoint list."""
        self.limits.engine_count = count
        self.collector.engine_count = count

    def restore_snapshot(self, now: int, snapshot: PeerReport) -> None:
        """Restore a snapshot that an earlier incarnation of this router stored."""
        self.collector.restore_snapshot(now, snapshot, use=self.phase is not Phase.FULL)

    def status(self, now: int) -> dict[str, object]:
        """The status for commands. Times are in s; ``held`` is a fraction of all threads.

        The keys are an interface for scripts of operators.
        """
        connections = self.limits.connections_per_s()
        in_full_service = self.phase is Phase.FULL
        return {
            "phase": self.phase.name.lower(),
            "evidence": self.evidence,
            "since_s": _seconds(now - self.entered_us),
            "life_s": _seconds(now - self.started_us),
            "newcomers": self.survey.restarted_count,
            "rivals": self.survey.warming_up_count,
            "sharers": self.survey.running_count,
            "asked": len(self.survey.sample),
            "heard": len(self.survey.peers),
            "held": round(self.limits.leftover(now), 3),
            "opens": None if connections == float("inf") else round(connections, 2),
            "few": self.limits.connection_limits(now).limit_connections,
            "refused": self.limits.rejections,
            "full_after_s": _seconds(self.full_service_us - self.started_us) if in_full_service else None,
            "news": self._estimates_status(now),
        }

    def _estimates_status(self, now: int) -> dict[str, object] | None:
        collector = self.collector
        if collector.merged is None:
            return None
        return {
            "source": collector.source(),
            "age_s": _seconds(collector.oldest_report_us + now - collector.merged_us),
            "used": list(collector.merged.used),
            "dropped": list(collector.merged.dropped),
        }

    # Messages

    def receive(self, now: int, sender: int, incarnation: int, body: bytes) -> list[Send]:
        """Process a message of another router with its ``incarnation``; returns the messages to send."""
        del incarnation  # the nonce distinguishes replies to this incarnation from those to an earlier one
        message = codec.decode(body)
        if message is None or sender == self.local_number:
            return []
        in_full_service = self.phase is Phase.FULL
        match message.message_type:
            case MessageType.SURVEY_REQUEST:
                self.survey.receive(sender, message)
                return [(sender, self._state(MessageType.SURVEY_REPLY, message.nonce, now))]
            case MessageType.SURVEY_REPLY:
                if message.nonce == self._nonce and sender in self.survey.sample:
                    self.survey.receive(sender, message)
            case MessageType.ESTIMATES_REQUEST if in_full_service:
                return [(sender, self._estimates(message.nonce, now))]
            case MessageType.ESTIMATES if message.nonce == self._nonce:
                self.collector.receive(sender, message)
        return self._advance(now)

    def _state(self, message_type: MessageType, nonce: int, now: int) -> bytes:
        return codec.encode(Message(message_type, nonce, now - self.started_us, self.phase))

    def _estimates(self, nonce: int, now: int) -> bytes:
        estimates, retries = self._own_estimates(now)
        return codec.encode(Message(MessageType.ESTIMATES, nonce, retries=retries, estimates=estimates))

    # Time

    def next_tick(self) -> int:
        """Time of the next call of ``tick``."""
        return self._next

    def tick(self, now: int) -> list[Send]:
        """Process the passing of time; returns the messages to send."""
        sends: list[Send] = []
        if self.phase is Phase.FULL:
            self._next = now + IDLE_US
        elif now >= self._next:
            self._next = now + self.plan.reply_us
            self.survey.rounds += 1
            if self.survey.rounds <= self.plan.max_rounds:
                request = self._state(MessageType.SURVEY_REQUEST, self._nonce, now)
                sends += [(router, request) for router in self.survey.missing()]
            sends += self._request_estimates(now)
        return sends + self._advance(now)

    def _request_estimates(self, now: int) -> list[Send]:
        if self.phase < Phase.HEARING:
            return []
        request = codec.encode(Message(MessageType.ESTIMATES_REQUEST, self._nonce))
        return [(router, request) for router in self.collector.next_targets(now)]

    # Phases

    def _advance(self, now: int) -> list[Send]:
        """Enter the phases for which there is evidence; returns the messages to send."""
        survey = self.survey
        if self.phase is Phase.BLANK and (survey.rounds or survey.peers or self.size == 1):
            self._enter(
                now, Phase.HEARING, f"survey sent to {len(survey.sample)} of {self.size - 1} other routers"
            )
        if self.phase is Phase.HEARING and survey.is_complete(self.plan.max_rounds):
            self._enter(
                now,
                Phase.RAMPING,
                f"{len(survey.peers)} routers known after {len(survey.sample)} requests, "
                f"{survey.restarted_count} restarted, {survey.running_count} running",
            )
        sends = self._request_estimates(now) if self.phase is Phase.RAMPING else []
        leftover_ended = self.limits.leftover_ended(now)
        if self.phase >= Phase.RAMPING:
            self.collector.finish(now, overdue=leftover_ended)
        is_leftover_small = self.limits.leftover(now) < SMALL_FRACTION * self.plan.leftover_share
        if self.phase is Phase.RAMPING and self.collector.complete and is_leftover_small:
            self.full_service_us = now
            ended = "queries of earlier incarnations have ended"
            self._enter(now, Phase.FULL, ended if leftover_ended else "most other routers did not restart")
        return sends

    def _enter(self, now: int, phase: Phase, evidence: str) -> None:
        self.phase = phase
        self.survey.phase = phase
        self.evidence = evidence
        self.entered_us = now
        self.on_phase_change(phase, evidence)


def _ignore(phase: Phase, evidence: str) -> None:
    """Default of ``on_phase_change``: no action."""
    del phase, evidence


def _seconds(us: int) -> float:
    return round(us / SECOND, 3)


def _order(local_number: int, size: int, seed: int) -> list[int]:
    """All other routers, in an order with a start and a stride that depend on the seed."""
    others = [n for n in range(size) if n != local_number]
    start = (seed >> 16) % max(1, len(others))
    stride = _stride(len(others), seed >> 32)
    return [others[(start + n * stride) % len(others)] for n in range(len(others))]


def _stride(count: int, seed: int) -> int:
    """A step that visits all positions of a ring with ``count`` positions."""
    step = 1 + seed % max(1, count)
    while count > 1 and gcd(step, count) != 1:
        step += 1
    return step
