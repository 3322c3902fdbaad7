"""Writes structured log lines to standard error, with a rate limit for each kind of line.

If the environment has ``SLIPBAY_LOG=json``, each line is a JSON object with ``at`` (RFC 3339, UTC), ``kind``,
``text`` and fields such as ``request``, ``engine`` and ``class``. Otherwise a line has the console form
``slipbay: kind: text field=value``.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import MutableMapping
from contextlib import suppress
from typing import Any

import structlog

BURST = 5  # lines of one kind in a period
PERIOD_S = 1.0

_kinds: dict[str, tuple[float, int]] = {}


class _StandardError:
    """Writes to ``sys.stderr``, which is looked up for each line, as it may be replaced."""

    def info(self, line: str) -> None:
        with suppress(OSError):  # a closed log reader must not stop the router
            print(line, file=sys.stderr, flush=True)


def _format_console(_logger: object, _name: str, event: MutableMapping[str, Any]) -> str:
    """Formats a line for a terminal."""
    kind = event.pop("kind")
    text = event.pop("event")
    fields = "".join(f" {key}={value}" for key, value in event.items())
    return f"slipbay: {kind}: {text}{fields}"


def _clean_fields(_logger: object, _name: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Removes the trailing underscore of field names such as ``class_``, and decodes bytes."""
    return {
        key.rstrip("_"): value.decode(errors="replace") if isinstance(value, bytes) else value
        for key, value in event.items()
    }


def _make(log_format: str) -> structlog.BoundLogger:
    processors: list[Any] = [_clean_fields, _format_console]
    if log_format == "json":
        processors = [
            _clean_fields,
            structlog.processors.EventRenamer("text"),
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.JSONRenderer(),
        ]
    logger: structlog.BoundLogger = structlog.wrap_logger(
        _StandardError(), processors=processors, wrapper_class=structlog.BoundLogger
    )
    return logger


_logger = _make(os.environ.get("SLIPBAY_LOG", "console"))


def log(kind: str, text: str, **fields: object) -> None:
    """Writes a line.

    At most ``BURST`` lines of a kind are written in a period of ``PERIOD_S``. The number of lines left out
    is logged with the next line of that kind after the period.

    Args:
        kind: the component or topic of the line; docs/on-call.md lists all kinds.
        text: a fixed text that describes the event.
        fields: the objects and values of the event.
    """
    now = time.monotonic()
    started_at, count = _kinds.get(kind, (now, 0))
    if now - started_at >= PERIOD_S:
        if count > BURST:
            _logger.info(f"{count - BURST} more lines were left out", kind=kind)
        started_at = now
        count = 0
    _kinds[kind] = started_at, count + 1
    if count < BURST:
        _logger.info(text, kind=kind, **fields)
