"""Records of the durable store as named fields, for text output and for JSON."""

from __future__ import annotations

import base64
from typing import Any

NO_WINDOW_US = 2**63  # longer than any retry budget's window


def describe(key: bytes, value: bytes) -> dict[str, Any]:
    """Return the fields of a record, with its state; times are Unix times in us."""
    from slipbay.idempotency import store_generation
    from slipbay.idempotency.key_record import ANSWER, REQUEST, RETRY_BUDGET, SNAPSHOT

    name = key[1:].decode(errors="backslashreplace")
    try:
        if key[:1] == REQUEST:
            return {"key": name, **_request(key, value)}
        if key[:1] == RETRY_BUDGET:
            return {"key": name, **_retry_budget(value)}
        if key == store_generation.IDENTITY_KEY:
            return {"key": name, **_generation(value)}
    except ValueError:
        return {"key": name, "state": "unreadable", "value_base64": base64.b64encode(value).decode()}
    return {
        "key": name,
        "state": {ANSWER: "answer", SNAPSHOT: "snapshot"}.get(key[:1], "unknown"),
        "bytes": len(value),
        "value_base64": base64.b64encode(value).decode(),
    }


def _request(key: bytes, value: bytes) -> dict[str, Any]:
    """Return the fields of a request that must not run twice, with the attempt that may have run."""
    from slipbay.idempotency.key_record import decode_record

    record = decode_record(key, value)
    fields = {
        "state": record.outcome.value if record.outcome else record.phase.value,
        "digest": record.digest.hex(),
        "at_us": record.changed_us,
        "told": record.client_notified,
        "answer_bytes": record.answer_bytes,
    }
    intent = record.intent
    if intent is None:
        return fields
    return {
        **fields,
        "engine": intent.engine.decode(errors="backslashreplace"),
        "wire": intent.wire,
        "attempt": intent.attempt,
        "birth_us": intent.engine_started_us,
        "thread": intent.thread,
        "deadline_us": intent.deadline_us,
    }


def _retry_budget(value: bytes) -> dict[str, Any]:
    from slipbay.idempotency import retry_budget

    budget = retry_budget.decode(value, NO_WINDOW_US)
    return {"state": "ration", "taken": budget.requests, "extras": budget.retries}


def _generation(value: bytes) -> dict[str, Any]:
    from slipbay.idempotency import store_generation

    identity = store_generation.decode(value)
    return {
        "state": "life",
        "store": identity.store_id.hex(),
        "generation": identity.generation,
        "doubt_us": identity.uncertainty_us,
        "because": identity.adoption_reason,
    }
