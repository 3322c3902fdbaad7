"""Encodes the actions of instances as one reply of the simulator's protocol."""

from __future__ import annotations

from collections.abc import Iterable

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
from slipbay.simhost import frames
from slipbay.simhost.frames import ActionCode


class ReplyWriter:
    """Collects the records of one reply and its tail."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, instance: int, actions: Iterable[Action]) -> None:
        """Append the actions of an instance, in order."""
        for action in actions:
            record = (
                _query_record(instance, action)
                or _host_record(instance, action)
                or self._text_record(instance, action)
            )
            self._records.append(record)

    def add_error(self, instance: int, text: str) -> None:
        """Append an internal error of an instance."""
        self._records.append(self._text(ActionCode.INTERNAL_ERROR, instance, text))

    def frame(self, turn: int) -> bytes:
        """The encoded reply to the batch of a turn."""
        body = b"".join(self._records) + bytes(self._tail)
        return frames.REPLY_HEADER.pack(len(body), len(self._records), turn) + body

    def _append_tail(self, body: bytes) -> tuple[int, int]:
        """Append to the tail; returns the offset and the length."""
        offset = len(self._tail)
        self._tail += body
        return offset, len(body)

    def _text(self, code: ActionCode, instance: int, text: str) -> bytes:
        return frames.TEXT.pack(code, instance, *self._append_tail(text.encode()))

    def _text_record(self, instance: int, action: Action) -> bytes:
        """Record of an action with a text or message in the tail."""
        match action:
            case SendGossip(body, to):
                receiver = frames.ALL_PEERS if to is None else to
                return frames.SIGNAL.pack(ActionCode.SIGNAL, instance, receiver, *self._append_tail(body))
            case Log(text):
                return self._text(ActionCode.NOTE_DOWN, instance, text)
        raise TypeError(f"no record type for {type(action).__name__}")


def _query_record(instance: int, action: Action) -> bytes | None:
    """Record of an action on a query; ``None`` for other actions."""
    match action:
        case Dispatch(query, engine, limit_us):
            return frames.DISPATCH.pack(ActionCode.DISPATCH, instance, query, engine, limit_us)
        case Cancel(query, attempt):
            return frames.RETRACT.pack(ActionCode.RETRACT, instance, query, attempt)
        case Reject(query, retry_after_us):
            return frames.OVERLOAD_REPLY.pack(ActionCode.OVERLOAD_REPLY, instance, query, retry_after_us)
        case Fail(query):
            return frames.FAIL.pack(ActionCode.FAIL, instance, query)
        case UpdateAttempt(query, priority, memory_mb):
            return frames.ASSIGN_TERMS.pack(ActionCode.ASSIGN_TERMS, instance, query, memory_mb, priority)
    return None


def _host_record(instance: int, action: Action) -> bytes | None:
    """Record of an action on timers, engines or the engine list; ``None`` for other actions."""
    match action:
        case SetTimer(token, at_us):
            return frames.REMIND.pack(ActionCode.REMIND, instance, token, at_us)
        case Probe(engine):
            return frames.HEALTH_CHECK.pack(ActionCode.HEALTH_CHECK, instance, engine)
        case CloseIdle(engine):
            return frames.LET_GO.pack(ActionCode.LET_GO, instance, engine)
        case WatchList(active):
            return frames.KEEP_INFORMED.pack(ActionCode.KEEP_INFORMED, instance, active)
        case FetchList():
            return frames.QUERY_ALL.pack(ActionCode.QUERY_ALL, instance)
    return None
