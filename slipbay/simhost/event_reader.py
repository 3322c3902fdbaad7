"""Decodes batches of the simulator's protocol into events for router instances."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias

from slipbay.policy.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    EngineEntry,
    EngineList,
    EngineState,
    Event,
    ListKind,
    LoadReport,
    NoteKind,
    Outcome,
    PeerMessage,
    ProbeEnded,
    QueryArrived,
    StreamBegun,
    TimerFired,
)
from slipbay.policy.settings import Settings
from slipbay.simhost import frames
from slipbay.simhost.frames import EVENT_SIZE, EventCode, MalformedInputError
from slipbay.simhost.settings_reader import read_settings

OUTCOMES = {
    200: Outcome.OK,
    410: Outcome.MOOT,
    499: Outcome.CANCELLED,
    500: Outcome.ERROR,
    502: Outcome.CONNECT_FAILED,
    503: Outcome.FULL,
    504: Outcome.TIMEOUT,
    598: Outcome.RESET,
}

# note field of an attempt's end: 20 bits of work in ms, 12 bits of memory in steps of 4 MB
WORK_SHIFT = 12
WORK_STEP_US = 1000
MEMORY_MASK = 0xFFF
MEMORY_STEP_MB = 4.0


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance has started."""

    instance: int
    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class InstanceStopped:
    """An instance has stopped."""

    instance: int


@dataclass(slots=True, frozen=True)
class InstanceEvent:
    """An event for a running instance."""

    instance: int
    event: Event


BatchItem: TypeAlias = InstanceStarted | InstanceStopped | InstanceEvent


class EventReader:
    """Decodes batches; keeps the numbered engine lists, as later batches refer to them."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[EngineEntry, ...]] = {}
        self._tail = memoryview(b"")
        self._readers: dict[int, Callable[[memoryview], BatchItem]] = {
            EventCode.PROBED: self._probed,
            EventCode.PEERS_KNOWN: self._peers_known,
            EventCode.TIMEOUT_FIRED: self._timeout_fired,
            EventCode.DROPPED: self._dropped,
            EventCode.UPDATE_OF: self._update_of,
            EventCode.TEARDOWN: self._teardown,
            EventCode.WHISPER: self._whisper,
            EventCode.REPORT_BACK: self._report_back,
            EventCode.START: self._start,
            EventCode.SUBMIT: self._submit,
            EventCode.BEGUN: self._begun,
        }

    def read(self, count: int, payload: bytes) -> Iterator[BatchItem]:
        """Yield the items of a batch of ``count`` records, in order.

        Raises ``MalformedInputError``.
        """
        if count * EVENT_SIZE > len(payload):
            raise MalformedInputError(f"{count} records do not fit in {len(payload)} bytes")
        view = memoryview(payload)
        self._tail = view[count * EVENT_SIZE :]
        for start in range(0, count * EVENT_SIZE, EVENT_SIZE):
            record = view[start : start + EVENT_SIZE]
            code = record[0]
            try:
                if code == EventCode.REGISTER:
                    self._register(record)
                else:
                    yield self._reader(code)(record)
            except (ValueError, struct.error) as problem:
                raise MalformedInputError(str(problem), code) from None

    def _reader(self, code: int) -> Callable[[memoryview], BatchItem]:
        if code not in self._readers:
            raise MalformedInputError(f"unknown record code {code}")
        return self._readers[code]

    def _read_tail(self, offset: int, size: int) -> memoryview:
        """Bytes of the batch's tail at an offset."""
        tail = self._tail
        if offset + size > len(tail):
            raise MalformedInputError(
                f"a field points to bytes {offset} to {offset + size}, but the tail has {len(tail)} bytes"
            )
        return tail[offset : offset + size]

    def _register(self, record: memoryview) -> None:
        _, slot, offset, count = frames.REGISTER.unpack(record)
        entries = self._read_tail(offset, count * frames.ENTRY.size)
        self._lists[slot] = tuple(
            EngineEntry(engine, zone, kind, cell, EngineState(state), size, ready_at_us)
            for engine, zone, kind, cell, state, size, ready_at_us in frames.ENTRY.iter_unpack(entries)
        )

    def _start(self, record: memoryview) -> BatchItem:
        _, instance, seed, offset, size = frames.START.unpack(record)
        return InstanceStarted(instance, seed, read_settings(bytes(self._read_tail(offset, size))))

    def _teardown(self, record: memoryview) -> BatchItem:
        return InstanceStopped(frames.TEARDOWN.unpack(record)[1])

    def _peers_known(self, record: memoryview) -> BatchItem:
        _, instance, mode, _, slot = frames.PEERS_KNOWN.unpack(record)
        kind = ListKind(mode)
        if kind is ListKind.FAILED:
            return InstanceEvent(instance, EngineList(kind))
        if slot not in self._lists:
            raise MalformedInputError(f"engine list {slot} is not registered")
        return InstanceEvent(instance, EngineList(kind, self._lists[slot]))

    def _submit(self, record: memoryview) -> BatchItem:
        fields = frames.SUBMIT.unpack(record)
        _, instance, query, service_class, tenant, key, expires_us, cost_us, memory_mb, group, flags = fields
        event = QueryArrived(
            query=query,
            service_class=service_class,
            expires_in_us=expires_us,
            estimated_cost_us=cost_us if flags & frames.COST_VALID else None,
            memory_mb=memory_mb,
            group=group,
            order_key=key,
            tenant=tenant,
            is_repeat=bool(flags & frames.CLIENT_REPEAT),
            is_write=bool(flags & frames.WRITE),
        )
        return InstanceEvent(instance, event)

    def _begun(self, record: memoryview) -> BatchItem:
        _, instance, query, attempt, engine, _ = frames.BEGUN.unpack(record)
        return InstanceEvent(instance, StreamBegun(query, attempt, engine))

    def _update_of(self, record: memoryview) -> BatchItem:
        _, instance, query, engine, value, attempt, kind = frames.UPDATE_OF.unpack(record)
        return InstanceEvent(instance, AttemptNote(query, attempt, engine, NoteKind(kind), value))

    def _report_back(self, record: memoryview) -> BatchItem:
        fields = frames.REPORT_BACK.unpack(record)
        _, instance, query, attempt, engine, code, duration_us, complete, note, count, *values = fields
        outcome = _outcome(code)
        has_work = note and outcome is Outcome.OK
        event = AttemptEnded(
            query=query,
            attempt=attempt,
            engine=engine,
            outcome=outcome,
            duration_us=duration_us,
            complete=bool(complete),
            work_us=(note >> WORK_SHIFT) * WORK_STEP_US if has_work else None,
            memory_mb=(note & MEMORY_MASK) * MEMORY_STEP_MB,
            report=_report(count, values),
        )
        return InstanceEvent(instance, event)

    def _dropped(self, record: memoryview) -> BatchItem:
        _, instance, query = frames.DROPPED.unpack(record)
        return InstanceEvent(instance, ClientDisconnected(query))

    def _timeout_fired(self, record: memoryview) -> BatchItem:
        _, instance, token = frames.TIMEOUT_FIRED.unpack(record)
        return InstanceEvent(instance, TimerFired(token))

    def _probed(self, record: memoryview) -> BatchItem:
        _, instance, duration_us, engine, code, count, *values = frames.PROBED.unpack(record)
        return InstanceEvent(
            instance, ProbeEnded(engine, _outcome(code), duration_us, _report(count, values))
        )

    def _whisper(self, record: memoryview) -> BatchItem:
        _, instance, sender, offset, size = frames.WHISPER.unpack(record)
        return InstanceEvent(instance, PeerMessage(sender, bytes(self._read_tail(offset, size))))


def _report(count: int, values: list[float]) -> LoadReport | None:
    return LoadReport(tuple(values[:count])) if count else None


def _outcome(code: int) -> Outcome:
    if code not in OUTCOMES:
        raise MalformedInputError(f"unknown outcome code {code}")
    return OUTCOMES[code]
