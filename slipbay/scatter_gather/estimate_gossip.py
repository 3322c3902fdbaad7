"""Exchange of latency estimates between routers, and the snapshot that a router stores for its next
incarnation.

A report holds what its sender observed *locally*, decayed to the time at which it is sent. A receiver keeps
the newest report of each sender and condition in place of the previous one. So an observation is counted
once, even if its report is received late or several times. No report is forwarded. ``ClassLatency`` bounds
the weight of reports: their total weight is at most W, the weight of the local observations plus a constant;
the weight of the reports of one sender is at most W / 4.

Encoding, little-endian. A ``REQUEST`` is the type (u8) and the version (u8); a starting router requests
reports with it. A ``REPORT`` has these fields:

- type, version (u8 each)
- class (u16): lower 16 bits of the digest of its name
- condition of the engines (u8)
- number of the report (u32)
- total weight of the completed observations, then of the censored observations (f32 each)
- first bucket, number of buckets (u8 each)
- weight of completed observations in each bucket (u8 each), in 255ths of the largest of these weights
- weight of censored observations in each bucket (u8 each), in 255ths of the largest of these weights
- up to the end, for each engine: digest (u32), shift in steps of ``SHIFT_STEP`` buckets (i8), probability
  that the engine has this shift in 255ths (u8)
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from math import exp, isfinite
from struct import Struct, error
from typing import NamedTuple

from slipbay.peer_channel.interfaces import MAX_BODY_BYTES, Send
from slipbay.scatter_gather.interfaces import EngineCondition
from slipbay.scatter_gather.latency_model import (
    BUCKETS,
    DECAY_TIME_US,
    SECOND,
    SHIFT_STEP,
    SHIFTS,
    LatencyHistogram,
    LatencyModel,
    digest_of,
)

VERSION = 1
START = Struct("<BB")
HEAD = Struct("<HBIffBB")
ENGINE = Struct("<IbB")
REPORT_INTERVAL_US = 8 * SECOND  # one report per interval: 30 bytes/s
RESPONSE_INTERVAL_US = 2 * SECOND  # minimum time between two responses to requests
REQUESTED_PEERS = 2  # peers that a starting router requests reports from
MAX_ENCODED_BUCKETS = 72  # buckets per report; the last one also holds the weight of all later buckets
MAX_OBSERVATIONS = 1e6  # a report with a larger total weight (completed or censored) is invalid
RECENT_US = 20 * SECOND  # an engine whose estimate was updated within this time is reported
MAX_SNAPSHOT_AGE_US = 60 * SECOND


class MessageType(IntEnum):
    """The first byte of a message."""

    REQUEST = 1
    REPORT = 2


class LatencyReport(NamedTuple):
    """Estimates for one class and engine condition, and for some engines."""

    service_class: int  # lower 16 bits of the digest of the class name
    condition: EngineCondition
    number: int
    completed: list[float]
    censored: list[float]
    engines: list[tuple[int, int, float]]  # digest, shift in buckets, probability


REQUEST_BODY = START.pack(MessageType.REQUEST, VERSION)


def encode(report: LatencyReport) -> bytes:
    """Encode a report in at most ``MAX_BODY_BYTES`` bytes; engines that do not fit are left out."""
    used = [n for n in range(BUCKETS) if report.completed[n] or report.censored[n]]
    first = min(used, default=0)
    last = min(max(used, default=0), first + MAX_ENCODED_BUCKETS - 1)
    body = START.pack(MessageType.REPORT, VERSION) + HEAD.pack(
        report.service_class,
        report.condition,
        report.number & 0xFFFFFFFF,
        sum(report.completed),
        sum(report.censored),
        first,
        last + 1 - first,
    )
    for weights in (report.completed, report.censored):
        # the last encoded bucket holds the sum of the rest
        row = [*weights[first:last], sum(weights[last:])]
        largest = max(row) or 1.0
        body += bytes(round(255 * weight / largest) for weight in row)
    capacity = (MAX_BODY_BYTES - len(body)) // ENGINE.size
    return body + b"".join(
        ENGINE.pack(digest, shift // SHIFT_STEP, round(255 * probability))
        for digest, shift, probability in report.engines[:capacity]
    )


def decode(body: bytes) -> LatencyReport | None:
    """Decode a report; None if the body is not a valid report."""
    try:
        if START.unpack_from(body) != (MessageType.REPORT, VERSION):
            return None
        service_class, condition, number, completed, censored, first, size = HEAD.unpack_from(
            body, START.size
        )
        rest = body[START.size + HEAD.size :]
        if (
            first + size > BUCKETS
            or len(rest) < 2 * size
            or not all(isfinite(total) and 0 <= total <= MAX_OBSERVATIONS for total in (completed, censored))
        ):
            return None
        engines = [
            (digest, steps * SHIFT_STEP, probability / 255)
            for digest, steps, probability in ENGINE.iter_unpack(rest[2 * size :])
            if steps * SHIFT_STEP in SHIFTS
        ]
        return LatencyReport(
            service_class,
            EngineCondition(condition),
            number,
            _decode_row(rest[:size], first, completed),
            _decode_row(rest[size : 2 * size], first, censored),
            engines,
        )
    except (error, ValueError):
        return None


def _decode_row(encoded: bytes, first: int, total: float) -> list[float]:
    scale = total / (sum(encoded) or 1)
    return [0.0] * first + [weight * scale for weight in encoded] + [0.0] * (BUCKETS - first - len(encoded))


class EstimateGossip:
    """Sends and receives reports; a user of the peer channel (``slipbay.peer_channel.interfaces.Party``)."""

    def __init__(
        self, local_number: int, router_count: int, classes: Sequence[str], model: LatencyModel, now: int
    ) -> None:
        """``classes``: names of the scattered classes; reports for other classes are ignored."""
        self._local_number = local_number
        self._router_count = router_count
        self._model = model
        for name in classes:
            model.class_latency(now, name)
        self._next_us = now + REPORT_INTERVAL_US * (local_number + 1) // max(1, router_count)
        self._peer_offset = 0  # offset from the local number of the router to which the last report was sent
        self._number = 0  # number of the last encoded report
        self._last_body_index = 0  # index in ``bodies`` of the report that was sent last
        self._responded_us = now - RESPONSE_INTERVAL_US
        # Incarnation and number of the newest report by sender, class and condition
        self._newest: dict[tuple[int, int, EngineCondition], tuple[int, int]] = {}
        self._has_requested = False
        # Keys of the status: reports sent, received and used, outdated, and malformed
        self.counts = {"told": 0, "heard": 0, "old": 0, "unread": 0}

    def next_tick(self) -> int:
        """Return the time (us) at which ``tick`` is due."""
        return self._next_us

    def tick(self, now: int) -> list[Send]:
        """Return the messages that are due: reports, and in the first call that sends also requests."""
        if now < self._next_us:
            return []
        self._next_us = max(now + REPORT_INTERVAL_US // 2, self._next_us + REPORT_INTERVAL_US)
        if self._router_count < 2:
            return []
        sends: list[Send] = []
        if not self._has_requested:
            self._has_requested = True
            sends += [
                ((self._local_number + n) % self._router_count, REQUEST_BODY)
                for n in range(1, min(REQUESTED_PEERS, self._router_count - 1) + 1)
            ]
        self._peer_offset = self._peer_offset % (self._router_count - 1) + 1
        return sends + self._next_report(now, (self._local_number + self._peer_offset) % self._router_count)

    def receive(self, now: int, sender: int, incarnation: int, body: bytes) -> list[Send]:
        """Process a message and return the messages to send in response."""
        if body == REQUEST_BODY:
            if now - self._responded_us < RESPONSE_INTERVAL_US:
                return []
            self._responded_us = now
            return self._next_report(now, sender)
        report = decode(body)
        if report is None:
            self.counts["unread"] += 1
        else:
            self._receive_report(now, sender, incarnation, report)
        return []

    def _next_report(self, now: int, receiver: int) -> list[Send]:
        """Return a message with the next class and condition, in cyclic order."""
        bodies = self.bodies(now)
        if not bodies:
            return []
        self._last_body_index = (self._last_body_index + 1) % len(bodies)
        self.counts["told"] += 1
        return [(receiver, bodies[self._last_body_index])]

    def bodies(self, now: int) -> list[bytes]:
        """Encode all local observations, a body for each class and condition; a snapshot has the same
        form."""
        model = self._model
        model.advance(now)
        per_weight = model.observations_per_weight
        bodies = []
        engines = sorted(
            (-abs(slowness.shift), digest)
            for digest, slowness in model.engines.items()
            if now - slowness.updated_us < RECENT_US
        )
        reported = [
            (digest, model.engines[digest].shift, max(model.engines[digest].posterior))
            for _, digest in engines
        ]
        for name, class_latency in model.classes.items():
            for condition, histogram in zip(EngineCondition, class_latency.by_condition, strict=True):
                if histogram.total_weight * per_weight >= 1:
                    self._number += 1
                    completed, censored = (
                        [weight * per_weight for weight in row]
                        for row in (histogram.completed, histogram.censored)
                    )
                    bodies.append(
                        encode(
                            LatencyReport(
                                digest_of(name) & 0xFFFF,
                                condition,
                                self._number,
                                completed,
                                censored,
                                reported,
                            )
                        )
                    )
        return bodies

    def restore(self, now: int, age_us: int, bodies: Sequence[bytes]) -> int:
        """Use the snapshot of an earlier incarnation; return the number of bodies used.

        A snapshot weighs as much as a peer's reports, less with its age. One that is too old is not used.
        """
        used = 0
        if 0 <= age_us <= MAX_SNAPSHOT_AGE_US:
            for report in filter(None, map(decode, bodies)):
                self._apply(now, -1, report, exp(-age_us / DECAY_TIME_US))
                used += 1
        return used

    def _receive_report(self, now: int, sender: int, incarnation: int, report: LatencyReport) -> None:
        key = sender, report.service_class, report.condition
        newest = self._newest.get(key)
        if newest and newest[0] == incarnation and (newest[1] - report.number) & 0xFFFFFFFF < 1 << 31:
            self.counts["old"] += 1
        elif self._apply(now, sender, report, 1.0):
            self._newest[key] = incarnation, report.number
            self.counts["heard"] += 1

    def _apply(self, now: int, sender: int, report: LatencyReport, factor: float) -> bool:
        model = self._model
        model.advance(now)
        class_latency = next(
            (
                class_latency
                for name, class_latency in model.classes.items()
                if digest_of(name) & 0xFFFF == report.service_class
            ),
            None,
        )
        if class_latency is None:
            return False  # not a scattered class of this router
        scale = factor / model.observations_per_weight
        class_latency.add_peer_report(
            now,
            sender,
            report.condition,
            LatencyHistogram(
                [weight * scale for weight in report.completed],
                [weight * scale for weight in report.censored],
                (sum(report.completed) + sum(report.censored)) * scale,
            ),
        )
        for digest, shift, probability in report.engines:
            model.add_hint(now, digest, shift, factor * probability)
        return True
