"""Compares the simulator's codec with bytes from the protocol's tables, and runs the adapter as a process."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

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
from slipbay.policy.settings import Effect, ServiceClass, Settings
from slipbay.simhost import host
from slipbay.simhost.event_reader import BatchItem, EventReader, InstanceEvent, InstanceStopped
from slipbay.simhost.reply_writer import ReplyWriter
from slipbay.simhost.settings_reader import SettingsError, read_settings

ROOT = Path(__file__).parent.parent
SETTINGS_MESSAGE: dict[str, Any] = {
    "balancers": 2,
    "me": 1,
    "zone": 0,
    "tickUs": 5000,
    "membershipMode": "pushed",
    "unknownKey": [1],
    "familyInfo": {"cpuOfKind": [8], "isLoad": [False], "threadsByClass": [2], "progressUs": 1000000},
    "policyLimits": {"attemptsCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 2000000},
    "profiles": [{"promiseUs": 1500000, "giveUpUs": 7500000, "effect": "retryable", "odd": 1}],
    "rules": {"coldShare": 0.35, "fallMultiple": 2.5, "fallUs": 1500000, "rampTimeUs": 13000000},
}


def record(text: str) -> bytes:
    return bytes.fromhex(text.replace(" ", "")).ljust(48, b"\0")  # the size of a record in bytes


def decode(*records: str, tail: bytes = b"") -> list[BatchItem]:
    payload = b"".join(record(text) for text in records) + tail
    return list(EventReader().read(len(records), payload))


def batch(*records: str, tail: bytes = b"", turn: int = 1) -> bytes:
    payload = b"".join(record(text) for text in records) + tail
    # header: payload bytes, number of records, time (us), number of the batch
    return struct.pack("<IIQI", len(payload), len(records), 8_000_000, turn) + payload


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "slipbay.simhost"],
        cwd=ROOT,
        input=data,
        capture_output=True,
        timeout=60,
        check=False,
    )


ENGINE = bytes.fromhex("0a124a078b13")


def test_submitted_query_is_decoded_with_all_its_fields() -> None:
    decoded = decode(
        "0b 03000000 c4913a5d 0000 00000000 640ad2557c3bf091 80a90300 e02e0000 0000c043 00003041 01"
    )
    assert decoded == [
        InstanceEvent(3, QueryArrived(0x5D3A91C4, 0, 240_000, 12_000, 384.0, 11.0, 0x91F03B7C55D20A64))
    ]


def test_submitted_query_without_a_valid_cost_has_none() -> None:
    decoded = decode(
        "0b 03000000 c4913a5d 0000 00000000 0000000000000000 80a90300 e02e0000 00000000 00003041 06"
    )
    assert isinstance(decoded[0], InstanceEvent)
    assert decoded[0].event == QueryArrived(
        0x5D3A91C4, 0, 240_000, None, 0.0, 11.0, is_repeat=True, is_write=True
    )


@pytest.mark.parametrize(
    ("code", "outcome"),
    [
        ("c800", Outcome.OK),
        ("f401", Outcome.ERROR),
        ("f701", Outcome.FULL),
        ("f801", Outcome.TIMEOUT),
        ("f601", Outcome.CONNECT_FAILED),
        ("5602", Outcome.RESET),
        ("f301", Outcome.CANCELLED),
        ("9a01", Outcome.MOOT),
    ],
)
def test_end_of_an_attempt_is_decoded_with_outcome_work_and_load(code: str, outcome: Outcome) -> None:
    decoded = decode(f"09 03000000 c4913a5d 00 0a124a07 8b13 {code} 44480000 01 60100100 01 52b81e3f")
    work = 17_000 if outcome is Outcome.OK else None
    assert decoded == [
        InstanceEvent(
            3,
            AttemptEnded(
                0x5D3A91C4,
                0,
                ENGINE,
                outcome,
                18_500,
                True,
                work,
                96 * 4.0,
                LoadReport((struct.unpack("<f", bytes.fromhex("52b81e3f"))[0],)),
            ),
        )
    ]


def test_short_records_are_decoded_to_their_events() -> None:
    assert decode(
        "03 03000000 4d000000",
        "04 05000000 192b6f0e",
        "07 03000000",
        "0c 03000000 c4913a5d 00 0a124a07 8b13 22240000",
        "05 03000000 c4913a5d 0a124a07 8b13 0000003f 00 01",
        "01 03000000 78050000 0a124a07 8b13 c800 01 0000003f",
    ) == [
        InstanceEvent(3, TimerFired(77)),
        InstanceEvent(5, ClientDisconnected(0x0E6F2B19)),
        InstanceStopped(3),
        InstanceEvent(3, StreamBegun(0x5D3A91C4, 0, ENGINE)),
        InstanceEvent(3, AttemptNote(0x5D3A91C4, 0, ENGINE, NoteKind.SHARE_DONE, 0.5)),
        InstanceEvent(3, ProbeEnded(ENGINE, Outcome.OK, 1400, LoadReport((0.5,)))),
    ]


def test_peer_message_is_decoded_from_the_tail() -> None:
    assert decode("08 03000000 0200 00000000 04000000", tail=b"hi 7") == [
        InstanceEvent(3, PeerMessage(2, b"hi 7"))
    ]


def test_lists_are_applied_in_order_although_their_slots_are_reused() -> None:
    # The records register list 0, use it, register another list under the same number, and use that one.
    # The last record reports a failed fetch.
    first = bytes.fromhex("0a124a078b13 00 0000 0000 02 0000803f 0000000000000000".replace(" ", ""))
    second = bytes.fromhex("0a9011f2b413 00 0000 0000 01 0000c03f 20145d0000000000".replace(" ", ""))
    decoded = decode(
        "06 00000000 00000000 01000000",
        "02 03000000 02 2900000000000000 00000000",
        "06 00000000 18000000 01000000",
        "02 03000000 00 2a00000000000000 00000000",
        "02 03000000 03 2a00000000000000 07000000",
        tail=first + second,
    )
    assert decoded == [
        InstanceEvent(
            3,
            EngineList(ListKind.CACHED, (EngineEntry(ENGINE, 0, 0, 0, EngineState.READY, 1.0, 0),)),
        ),
        InstanceEvent(
            3,
            EngineList(
                ListKind.DELTA,
                (EngineEntry(bytes.fromhex("0a9011f2b413"), 0, 0, 0, EngineState.DRAINING, 1.5, 0x5D1420),),
            ),
        ),
        InstanceEvent(3, EngineList(ListKind.FAILED)),
    ]


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (Dispatch(0x5D3A91C4, ENGINE, 80_000), "41 03000000 c4913a5d 0a124a07 8b13 80380100 0000000000"),
        (Cancel(0x5D3A91C4, 0), "44 03000000 c4913a5d 00" + "00" * 14),
        (Reject(0x0E6F2B19, 250_000), "42 03000000 192b6f0e 90d00300" + "00" * 11),
        (Fail(0x0E6F2B19), "43 03000000 192b6f0e" + "00" * 15),
        (SetTimer(77, 8_912_506), "45 03000000 4d000000 7afe870000000000" + "00" * 7),
        (Probe(ENGINE), "46 03000000 0a124a07 8b13" + "00" * 13),
        (CloseIdle(ENGINE), "47 03000000 0a124a07 8b13" + "00" * 13),
        (SendGossip(b"hi 7"), "48 03000000 ffff 00000000 04000000" + "00" * 9 + "68692037"),
        (SendGossip(b"hi 7", to=2), "48 03000000 0200 00000000 04000000" + "00" * 9 + "68692037"),
        (Log("two"), "49 03000000 00000000 03000000" + "00" * 11 + "74776f"),
        (WatchList(), "4b 03000000 01" + "00" * 18),
        (FetchList(), "4c 03000000" + "00" * 19),
        (UpdateAttempt(0x5D3A91C4, 2, 656.0), "4d 03000000 c4913a5d 00002444 02" + "00" * 10),
    ],
)
def test_each_action_is_encoded_as_its_record(action: Action, expected: str) -> None:
    reply = ReplyWriter()
    reply.add(3, [action])
    body = bytes.fromhex(expected.replace(" ", ""))
    assert reply.frame(12) == struct.pack("<III", len(body), 1, 12) + body


def test_internal_error_is_encoded_with_its_text() -> None:
    reply = ReplyWriter()
    reply.add_error(3, "index")
    assert reply.frame(1)[12:] == bytes.fromhex("4a030000000000000005000000" + "00" * 11) + b"index"


def test_settings_ignore_unknown_keys_and_have_defaults_for_absent_ones() -> None:
    decoded = read_settings(json.dumps(SETTINGS_MESSAGE).encode())
    assert (
        decoded.router_count,
        decoded.router_number,
        decoded.max_attempts,
        decoded.classes[0].threads,
    ) == (2, 1, 3, 2)
    assert decoded.classes[0] == ServiceClass(1_500_000, 7_500_000, Effect.SAFE, threads=2)
    assert decoded.free_retries is None
    assert decoded.max_retry_after_us == 2_000_000
    defaults = read_settings(json.dumps({"profiles": SETTINGS_MESSAGE["profiles"]}).encode())
    assert defaults.max_attempts == 1
    assert defaults.classes[0].threads == 1


@pytest.mark.parametrize("changes", [{"balancers": 0}, {"me": 2}, {"tickUs": 0}, {"rules": {"coldShare": 2}}])
def test_invalid_settings_raise_a_clear_value_error(changes: dict[str, Any]) -> None:
    with pytest.raises(SettingsError, match="invalid settings: want"):
        read_settings(json.dumps(SETTINGS_MESSAGE | changes).encode())
    with pytest.raises(ValueError, match="want at least one class"):
        Settings(classes=())


def start(info: bytes, instance: str = "03000000") -> tuple[str, bytes]:
    return f"0a {instance} 0100000000000000 00000000 {len(info).to_bytes(4, 'little').hex()}", info


def test_simulator_process_replies_and_exits_at_the_end_of_input() -> None:
    text, info = start(json.dumps(SETTINGS_MESSAGE).encode())
    ready = bytes.fromhex("0a124a078b13 00 0000 0000 02 0000803f 0000000000000000".replace(" ", ""))
    list_offset = len(info).to_bytes(4, "little").hex()
    submit_record = (
        "0b 03000000 c4913a5d 0000 00000000 0000000000000000 80a90300 e02e0000 00000000 00003041 01"
    )
    second_batch = batch(
        text,
        f"06 00000000 {list_offset} 01000000",
        "02 03000000 02 2900000000000000 00000000",
        submit_record,
        tail=info + ready,
    )
    finished = run(batch() + second_batch + batch("07 03000000", text, tail=info, turn=2))
    assert (finished.returncode, finished.stderr) == (0, b"")
    assert finished.stdout[:12] == struct.pack("<III", 0, 0, 1)
    assert bytes.fromhex("4103000000c4913a5d0a124a078b13") in finished.stdout


@pytest.mark.parametrize(
    "data",
    [
        b"\x01",
        batch("07 03000000")[:-1],
        batch("63 03000000"),
        batch("02 03000000 01"),
        batch("02 03000000 09"),
        batch("0a 03000000 0000000000000000 00000000 ff000000"),
        batch(start(b"not json")[0], tail=b"not json"),
        batch(start(b"[]")[0], tail=b"[]"),
        batch("09 03000000 c4913a5d 00 0a124a07 8b13 e703"),
        batch("03 03000000 4d000000"),
        struct.pack("<IIQI", 0, 5, 0, 1),
    ],
)
def test_malformed_input_ends_with_one_line_of_error(data: bytes) -> None:
    finished = run(data)
    assert finished.returncode != 0
    assert finished.stderr.startswith(b"slipbay.simhost: bad input: ")
    assert finished.stderr.count(b"\n") == 1


def test_exception_in_a_decision_becomes_an_internal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    from slipbay.policy.controller import Controller

    def broken(self: Controller, now: int, events: list[Event]) -> list[Action]:
        raise IndexError("out of range")

    monkeypatch.setattr(Controller, "handle", broken)
    reply = ReplyWriter()
    host.run_instance(3, Controller(read_settings(json.dumps(SETTINGS_MESSAGE).encode()), 1), 0, [], reply)
    assert reply.frame(1)[12:13] == b"\x4a"
    assert reply.frame(1).endswith(b"IndexError: out of range")
