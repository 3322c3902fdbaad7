"""Encoding of warm-up messages, bodies of channel frames of kind ``COMEBACK``.

Integers are little-endian. The first byte is the type, and the nonce of the request follows. Survey requests
and replies carry the sender's age in steps of 10 ms and its phase. A request for estimates carries nothing
more. Estimates are: pace, best pace and retries counted; three numbers for each class; unhealthy engines by
digest, each with the age of the report in steps of 10 ms; as many query groups with their counts as fit.
Messages contain ages instead of points in time, as routers share no clock.
"""

from __future__ import annotations

import math
from enum import IntEnum
from struct import Struct, error
from typing import NamedTuple

from slipbay.peer_channel.interfaces import MAX_BODY_BYTES
from slipbay.policy.events import EstimatesRestored

STEP_US = 10_000  # resolution of ages
MAX_STEPS = 2**16 - 1
MAX_COUNT = 2**16 - 1  # largest count of a group's queries
MAX_RETRIES = 255
MAX_CLASSES = 6
MAX_UNHEALTHY = 16
HEAD = Struct("<BH")
STATE = Struct("<HB")
ESTIMATES = Struct("<ffBBB")
CLASS = Struct("<fff")
ENGINE = Struct("<HH")
GROUP = Struct("<dH")


class MessageType(IntEnum):
    """The first byte of a body."""

    SURVEY_REQUEST = 1
    SURVEY_REPLY = 2
    ESTIMATES_REQUEST = 3
    ESTIMATES = 4


class Message(NamedTuple):
    """A message of any type. Fields that its type does not carry have their defaults."""

    message_type: MessageType
    nonce: int
    age_us: int = 0  # since the start of its sender's incarnation, rounded up
    phase: int = 0
    retries: int = 0  # retries that the retry budget of its sender still counts
    estimates: EstimatesRestored = EstimatesRestored()


def _steps(age_us: int) -> int:
    return min(MAX_STEPS, -(-age_us // STEP_US))


def encode(message: Message) -> bytes:
    """The body of a message, at most ``MAX_BODY_BYTES`` bytes; query groups that do not fit are left out."""
    head = HEAD.pack(message.message_type, message.nonce)
    match message.message_type:
        case MessageType.SURVEY_REQUEST | MessageType.SURVEY_REPLY:
            return head + STATE.pack(_steps(message.age_us), message.phase)
        case MessageType.ESTIMATES:
            return head + _encode_estimates(message.estimates, message.retries, MAX_BODY_BYTES - len(head))
    return head


def _encode_estimates(estimates: EstimatesRestored, retries: int, room: int) -> bytes:
    classes = estimates.classes[:MAX_CLASSES]
    unhealthy = sorted(estimates.unhealthy, key=lambda engine: engine[1])[:MAX_UNHEALTHY]
    counts = min(retries, MAX_RETRIES), len(classes), len(unhealthy)
    body = ESTIMATES.pack(estimates.pace, estimates.best_pace, *counts)
    body += b"".join(CLASS.pack(*numbers) for numbers in classes)
    body += b"".join(ENGINE.pack(digest, _steps(age)) for digest, age in unhealthy)
    groups = estimates.groups[: (room - len(body)) // GROUP.size]
    return body + b"".join(GROUP.pack(group, min(round(count), MAX_COUNT)) for group, count in groups)


def decode(body: bytes) -> Message | None:
    """The message of a body; None if it is truncated, of a later release, or has a number that is not
    finite."""
    try:
        number, nonce = HEAD.unpack_from(body)
        message_type = MessageType(number)
        rest = body[HEAD.size :]
        match message_type:
            case MessageType.SURVEY_REQUEST | MessageType.SURVEY_REPLY:
                steps, phase = STATE.unpack(rest)
                return Message(message_type, nonce, steps * STEP_US, phase)
            case MessageType.ESTIMATES:
                return _decode_estimates(nonce, rest)
    except (ValueError, error):
        return None
    return Message(message_type, nonce)


def _decode_estimates(nonce: int, body: bytes) -> Message | None:
    """Raises ``struct.error`` if the body is truncated."""
    pace, best_pace, retries, class_count, unhealthy_count = ESTIMATES.unpack_from(body)
    classes_end = ESTIMATES.size + class_count * CLASS.size
    unhealthy_end = classes_end + unhealthy_count * ENGINE.size
    unhealthy = ENGINE.iter_unpack(body[classes_end:unhealthy_end])
    estimates = EstimatesRestored(
        pace,
        best_pace,
        tuple(CLASS.iter_unpack(body[ESTIMATES.size : classes_end])),
        tuple((digest, steps * STEP_US) for digest, steps in unhealthy),
        tuple((group, float(count)) for group, count in GROUP.iter_unpack(body[unhealthy_end:])),
    )
    rows = ((pace, best_pace), *estimates.classes, *estimates.groups)
    if not all(math.isfinite(number) for row in rows for number in row):
        return None
    return Message(MessageType.ESTIMATES, nonce, retries=retries, estimates=estimates)
