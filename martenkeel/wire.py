"""Codec of the simulator's wire: little-endian frames, one ``struct`` for each record. Translates only."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from struct import Struct
from struct import error as StructError
from typing import Any, TypeAlias

from martenkeel import interface as api

BATCH_HEADER = Struct("<IIQI")
REPLY_HEADER = Struct("<III")
EVENT_SIZE = 48
ACTION_SIZE = 24

START = Struct("<BIQII27x")
TEARDOWN = Struct("<BI43x")
REGISTER = Struct("<BIII35x")
PEERS_KNOWN = Struct("<BIBQI30x")
SUBMIT = Struct("<BIIHIQIIffB8x")
BEGUN = Struct("<BIIB6sI28x")
UPDATE_OF = Struct("<BII6sfBB27x")
REPORT_BACK = Struct("<BIIB6sHIBIB4f4x")
DROPPED = Struct("<BII39x")
TIMEOUT_FIRED = Struct("<BII39x")
PROBED = Struct("<BII6sHB4f14x")
WHISPER = Struct("<BIHII33x")
ENTRY = Struct("<6sBHHBfQ")

DISPATCH = Struct("<BII6sI5x")
RETRACT = Struct("<BIIB14x")
OVERLOAD_REPLY = Struct("<BIII11x")
FAIL = Struct("<BII15x")
REMIND = Struct("<BIIQ7x")
HEALTH_CHECK = Struct("<BI6s13x")
LET_GO = Struct("<BI6s13x")
SIGNAL = Struct("<BIHII9x")
TEXT = Struct("<BIII11x")
KEEP_INFORMED = Struct("<BIB18x")
QUERY_ALL = Struct("<BI19x")
ASSIGN_TERMS = Struct("<BIIfB10x")

NOTE_DOWN_CODE, INTERNAL_ERROR_CODE = 73, 74
ALL_PEERS = 0xFFFF
COST_VALID, CLIENT_REPEAT, WRITE = 1, 2, 4

OUTCOMES = {
    200: api.Outcome.OK,
    410: api.Outcome.MOOT,
    499: api.Outcome.CANCELLED,
    500: api.Outcome.ERROR,
    502: api.Outcome.CONNECT_FAILED,
    503: api.Outcome.FULL,
    504: api.Outcome.TIMEOUT,
    598: api.Outcome.RESET,
}
EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}


class MalformedFrame(Exception):
    """The input is not what the wire allows; the text is a plain sentence."""


@dataclass(slots=True, frozen=True)
class Started:
    """An instance begins."""

    instance: int
    seed: int
    settings: api.Settings


@dataclass(slots=True, frozen=True)
class Stopped:
    """An instance is dead."""

    instance: int


@dataclass(slots=True, frozen=True)
class Arrived:
    """An event for a running instance."""

    instance: int
    event: api.Event


Item: TypeAlias = Started | Stopped | Arrived
Lists: TypeAlias = dict[int, tuple[api.EngineEntry, ...]]


def _classes(info: dict[str, Any]) -> Iterator[api.ServiceClass]:
    family = info.get("familyInfo") or {}

    def of_class(name: str, number: int, default: Any) -> Any:
        values = family.get(name) or []
        return values[number] if number < len(values) else default

    for number, profile in enumerate(info["profiles"]):
        yield api.ServiceClass(
            aim_us=int(profile["promiseUs"]),
            deadline_us=int(profile["giveUpUs"]),
            effect=EFFECTS[profile["effect"]],
            worth=float(profile.get("gain", 1.0)),
            late_worth=float(profile.get("lateWorth", 0.0)),
            aim_stretch=float(profile.get("aimStretch") or 0.0),
            threads=int(of_class("threadsByClass", number, 1)),
            is_load=bool(of_class("isLoad", number, False)),
            waits_for_loads=bool(of_class("blockedByLoads", number, False)),
            dedup_scope=api.Scope(profile.get("keyScope") or "all"),
            dedup_window_us=int(profile.get("windowUs") or 0),
            in_order=bool(profile.get("byArrival", False)),
            zones=tuple(profile["staysIn"]) if profile.get("staysIn") is not None else None,
            kinds=tuple(profile["boundTo"]) if profile.get("boundTo") is not None else None,
            stream=bool(profile.get("stream", False)),
        )


def settings_from(text: bytes) -> api.Settings:
    """Read the settings; keys that are not known are skipped, optional ones may be absent."""
    try:
        info = json.loads(text)
        limits, rules = info.get("policyLimits") or {}, info.get("rules") or {}
        family, reporting = info.get("familyInfo") or {}, info.get("reporting") or {}
        return api.Settings(
            classes=tuple(_classes(info)),
            gateways=int(info.get("balancers", 1)),
            gateway=int(info.get("me", 0)),
            zone=int(info.get("zone") or 0),
            kind_cores=tuple(float(cores) for cores in family.get("cpuOfKind") or ()),
            tick_us=int(info.get("tickUs", 1000)),
            answer_slack_us=int(rules.get("answerSlackUs") or 0),
            max_attempts=int(limits.get("attemptsCap", 1)),
            may_cancel=bool(limits.get("mayCancel", False)),
            may_duplicate=bool(limits.get("mayDuplicate", False)),
            may_probe=bool(limits.get("probes", False)),
            may_tell=bool(limits.get("mayTell", False)),
            heeds_priority=bool(family.get("lanesCount", False)),
            max_retry_after_us=int(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
            list_on_request=info.get("membershipMode") == "on_request",
            ask_within_us=int(rules.get("askWithinUs") or 0),
            progress_us=int(family.get("progressUs") or 0),
            report_fields=tuple(reporting.get("fields") or ()),
            drain_grace_us=int(rules.get("drainGraceUs") or 0),
            cold_share=float(rules.get("coldShare", 1.0)),
            cold_multiple=float(rules.get("fallMultiple", 1.0)),
            cold_window_us=int(rules.get("fallUs") or 0),
            ramp_us=int(rules.get("rampTimeUs") or 0),
            key_rest_us=int(rules.get("keyRestUs") or 0),
            extra_free=float(rules["extraFree"]) if rules.get("extraFree") is not None else None,
            extra_share=float(rules.get("repeatRatio") or 0.0),
            extra_window_us=int(rules.get("countedOverUs") or 0),
        )
    except KeyError as missing:
        raise MalformedFrame(f"settings lack or misuse {missing}") from None
    except (ValueError, TypeError, AttributeError) as problem:
        raise MalformedFrame(f"settings cannot be read: {problem}") from None


def _tail(tail: memoryview, offset: int, size: int) -> memoryview:
    if offset + size > len(tail):
        raise MalformedFrame(f"a field points to bytes {offset} to {offset + size} of a tail of {len(tail)}")
    return tail[offset : offset + size]


def _entries(tail: memoryview, offset: int, count: int) -> tuple[api.EngineEntry, ...]:
    return tuple(
        api.EngineEntry(engine, zone, kind, cell, api.EngineState(state), size, ready_at)
        for engine, zone, kind, cell, state, size, ready_at in ENTRY.iter_unpack(
            _tail(tail, offset, count * ENTRY.size)
        )
    )


def _report(count: int, *values: float) -> api.LoadReport | None:
    return api.LoadReport(values[:count]) if count else None


def _outcome(code: int) -> api.Outcome:
    if code not in OUTCOMES:
        raise MalformedFrame(f"unknown outcome {code}")
    return OUTCOMES[code]


def _start(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, seed, offset, size = START.unpack(record)
    return Started(who, seed, settings_from(bytes(_tail(tail, offset, size))))


def _teardown(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    return Stopped(TEARDOWN.unpack(record)[1])


def _peers_known(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, mode, _, slot = PEERS_KNOWN.unpack(record)
    kind = api.ListKind(mode)
    if kind is api.ListKind.FAILED:
        return Arrived(who, api.EngineList(kind))
    if slot not in lists:
        raise MalformedFrame(f"list {slot} was never registered")
    return Arrived(who, api.EngineList(kind, lists[slot]))


def _submit(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, query, category, tenant, key, expires, cost, memory, group, marks = SUBMIT.unpack(record)
    return Arrived(
        who,
        api.QueryArrived(
            query,
            category,
            expires,
            cost if marks & COST_VALID else None,
            memory,
            group,
            key,
            tenant,
            bool(marks & CLIENT_REPEAT),
            bool(marks & WRITE),
        ),
    )


def _begun(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, query, shot, engine, _ = BEGUN.unpack(record)
    return Arrived(who, api.StreamBegun(query, shot, engine))


def _update_of(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, query, engine, value, shot, what = UPDATE_OF.unpack(record)
    return Arrived(who, api.AttemptNote(query, shot, engine, api.NoteKind(what), value))


def _report_back(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, query, shot, engine, code, duration, complete, note, count, *values = REPORT_BACK.unpack(record)
    outcome = _outcome(code)
    work = (note >> 12) * 1000 if note and outcome is api.Outcome.OK else None
    return Arrived(
        who,
        api.AttemptEnded(
            query,
            shot,
            engine,
            outcome,
            duration,
            bool(complete),
            work,
            (note & 0xFFF) * 4.0,
            _report(count, *values),
        ),
    )


def _dropped(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, query = DROPPED.unpack(record)
    return Arrived(who, api.QueryGone(query))


def _timeout_fired(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, token = TIMEOUT_FIRED.unpack(record)
    return Arrived(who, api.TimerFired(token))


def _probed(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, duration, engine, code, count, *values = PROBED.unpack(record)
    return Arrived(who, api.ProbeEnded(engine, _outcome(code), duration, _report(count, *values)))


def _whisper(record: memoryview, tail: memoryview, lists: Lists) -> Item:
    _, who, sender, offset, size = WHISPER.unpack(record)
    return Arrived(who, api.PeerMessage(sender, bytes(_tail(tail, offset, size))))


REGISTER_CODE = 6
READERS: dict[int, Callable[[memoryview, memoryview, Lists], Item]] = {
    1: _probed,
    2: _peers_known,
    3: _timeout_fired,
    4: _dropped,
    5: _update_of,
    7: _teardown,
    8: _whisper,
    9: _report_back,
    10: _start,
    11: _submit,
    12: _begun,
}


def read_batch(count: int, payload: bytes, lists: Lists) -> Iterator[Item]:
    """Yield the items of a batch in order; ``lists`` holds the numbered lists and is kept up to date."""
    if count * EVENT_SIZE > len(payload):
        raise MalformedFrame(f"{count} records do not fit in {len(payload)} bytes")
    view = memoryview(payload)
    tail = view[count * EVENT_SIZE :]
    for start in range(0, count * EVENT_SIZE, EVENT_SIZE):
        record = view[start : start + EVENT_SIZE]
        try:
            if record[0] == REGISTER_CODE:
                _, slot, offset, size = REGISTER.unpack(record)
                lists[slot] = _entries(tail, offset, size)
            elif record[0] in READERS:
                yield READERS[record[0]](record, tail, lists)
            else:
                raise MalformedFrame(f"unknown record code {record[0]}")
        except (ValueError, StructError) as problem:
            raise MalformedFrame(f"record of code {record[0]}: {problem}") from None


class Reply:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _put(self, body: bytes) -> tuple[int, int]:
        offset = len(self._tail)
        self._tail += body
        return offset, len(body)

    def add(self, who: int, actions: Iterable[api.Action]) -> None:
        for action in actions:
            self._records.append(self._record(who, action))

    def add_error(self, who: int, text: str) -> None:
        self._records.append(TEXT.pack(INTERNAL_ERROR_CODE, who, *self._put(text.encode())))

    def _record(self, who: int, action: api.Action) -> bytes:
        match action:
            case api.Dispatch(query, engine, limit):
                return DISPATCH.pack(65, who, query, engine, limit)
            case api.Cancel(query, attempt):
                return RETRACT.pack(68, who, query, attempt)
            case api.Refuse(query, retry_after):
                return OVERLOAD_REPLY.pack(66, who, query, retry_after)
            case api.Fail(query):
                return FAIL.pack(67, who, query)
            case api.SetTimer(token, at):
                return REMIND.pack(69, who, token, at)
            case api.SetTerms(query, priority, memory):
                return ASSIGN_TERMS.pack(77, who, query, memory, priority)
            case api.Probe(engine):
                return HEALTH_CHECK.pack(70, who, engine)
            case api.CloseIdle(engine):
                return LET_GO.pack(71, who, engine)
            case api.TellPeers(body, to):
                return SIGNAL.pack(72, who, ALL_PEERS if to is None else to, *self._put(body))
            case api.Log(text):
                return TEXT.pack(NOTE_DOWN_CODE, who, *self._put(text.encode()))
            case api.WatchList(active):
                return KEEP_INFORMED.pack(75, who, active)
            case api.FetchList():
                return QUERY_ALL.pack(76, who)

    def frame(self, turn: int) -> bytes:
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY_HEADER.pack(len(body), len(self._records), turn) + body
