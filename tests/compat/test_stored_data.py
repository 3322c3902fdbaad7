"""Data that commit 5d63481 stored is read as before, and equal contents are stored in equal bytes.

A router of that commit wrote ``data/store`` and ``data/marker``. They were copied while three loads ran, in
the state that a kill would have left. A retry budget and snapshots with known contents were then appended.
``data/stored.json`` holds what that commit itself read from them. ``make_data.py`` created the data. All uses
of the program's names are in the functions before the tests.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from helpers import settings
from loopback import HttpCall, JsonClient, Loopback, StandInEngine, http_answer, run
from mysql_standins import MysqlClient, MysqlEngine, MysqlError, mysql_file
from routers import store_file

from slipbay.config.model import LossConfig
from slipbay.idempotency import answer_codec, ledger, retry_budget, store_generation, store_opening
from slipbay.idempotency.digest import digest
from slipbay.idempotency.key_record import ANSWER, REQUEST, RETRY_BUDGET, SNAPSHOT, Change, Intent, KeyRecord
from slipbay.policy import Controller
from slipbay.policy.events import EstimatesRestored, RetryBudgetRestored
from slipbay.scatter_gather import service
from slipbay.store.disk import Folder
from slipbay.store.engine import Store
from slipbay.store.inspect import inspect_store
from slipbay.store.marker import Marker
from slipbay.store.plan import Bounds
from slipbay.warmup import snapshot

DATA = Path(__file__).parent / "data"
MADE_US = 1_760_000_000_000_000  # the time in records with fixed contents
SECOND = 1_000_000
SEGMENT_BYTES = 10_485
LONG_ANSWER = b"a long answer\n" * 60  # longer than the answers that are stored

# Requests that were sent to the old router: name, statement, team
SERVED = ("00000000000000a1", "INSERT INTO sales_1.t VALUES (1)", "")
OF_A_TEAM = ("00000000000000a2", "INSERT INTO sales_2.t VALUES (2)", "tokachi-oil")
TOO_LONG = ("00000000000000a3", "INSERT INTO sales_1.t SELECT 'long'", "")
MAY_HAVE_RUN = ("00000000000000a4", "INSERT INTO sales_1.t SELECT 'fails'", "")
SECOND_INCARNATION = ("00000000000000a5", "DELETE FROM sales_3.t", "")
OPEN_ENDED = ("00000000000000a6", "INSERT INTO sales_4.t SELECT 'held 6'", "")
OPEN_LOST = ("00000000000000a7", "INSERT INTO sales_5.t SELECT 'held 7'", "")
JSON_LOADS = (SERVED, OF_A_TEAM, TOO_LONG, MAY_HAVE_RUN, SECOND_INCARNATION, OPEN_ENDED, OPEN_LOST)
MYSQL_LOAD = "/* slipbay: key=k1 */ INSERT INTO sales_1.t VALUES (1)"
MYSQL_LOST = "/* slipbay: key=k2 */ INSERT INTO sales_1.t VALUES (2)"
MYSQL_OPEN = "/* slipbay: key=k3 */ INSERT INTO sales_1.t VALUES (3)"
MYSQL_LOADS = (MYSQL_LOAD, MYSQL_LOST, MYSQL_OPEN)


# The program's names


def stored_retry_budget() -> RetryBudgetRestored:
    """A retry budget: accepted queries and retries, by time."""
    requests = tuple((MADE_US + step * 100_000, 1.0) for step in range(40))
    retries = ((MADE_US + 130_000, 1.0), (MADE_US + 140_000, 2.0), (MADE_US + 3_000_000, 1.0))
    return RetryBudgetRestored(requests, retries)


def stored_estimates() -> EstimatesRestored:
    """Estimates of a controller, with numbers that 32-bit floats represent exactly."""
    classes = ((1000.0, 1500.0, 1.25), (2000.0, 2500.0, 0.75), (4000.0, 0.5, 1.0))
    return EstimatesRestored(
        1.5, 0.5, classes, ((4_660, 20_000), (22_136, 3_000_000)), ((3.0, 40.0), (7.5, 2.0))
    )


def loss_config(marker: Path | None) -> LossConfig:
    return LossConfig(5 * SECOND, (b"json", b"mysql"), False, marker, False)


def open_store(folder: Path) -> Store:
    return Store.open(Folder(folder), Bounds(SEGMENT_BYTES, 10 * SEGMENT_BYTES))


def identity_of(store: Store) -> list[Any]:
    value = store.get(store_generation.IDENTITY_KEY)
    assert value is not None
    found = store_generation.decode(value)
    return [found.store_id.hex(), found.generation, found.uncertainty_us, found.adoption_reason]


def marker_fields(path: Path) -> list[Any]:
    marker = Marker(path)
    witness = marker.read()
    marker.close()
    assert witness is not None
    return [witness.store_id.hex(), witness.generation, witness.sequence]


class NoWriter:
    """Replaces the store's thread, to which a new incarnation attaches its marker."""

    after_commit: Any = None


def restart_on(store: Store, marker: Path) -> list[Any]:
    """Begin a new incarnation on the store; returns the status of the store and its new identity."""
    status, identity, damage = store_opening.begin_incarnation(store, loss_config(marker), NoWriter(), None)  # type: ignore[arg-type]
    return [status.name, identity.store_id.hex(), identity.generation, identity.uncertainty_us, damage]


def budget_of(store: Store) -> dict[str, Any]:
    """The stored retry budget, and the budget of a controller after it was restored."""
    value = store.get(RETRY_BUDGET)
    assert value is not None
    decoded = retry_budget.decode(value, MADE_US + 60 * SECOND)
    controller = Controller(settings(), 1)
    controller.handle(MADE_US + 60 * SECOND, [decoded])
    restored = controller.retry_budget()
    return {
        "taken": [list(item) for item in decoded.requests],
        "extras": [list(item) for item in decoded.retries],
        "controller": [[list(item) for item in restored.requests], [list(item) for item in restored.retries]],
    }


def snapshots_of(store: Store) -> dict[str, Any]:
    value = store.get(SNAPSHOT)
    parts = store.get(SNAPSHOT + b"g")
    assert value is not None
    assert parts is not None
    decoded = snapshot.read(value, MADE_US + 5 * SECOND)
    learned = decoded.estimates
    bodies, age_us = service.decode_snapshot(parts, MADE_US + 5 * SECOND)
    return {
        "pace": [learned.pace, learned.best_pace],
        "classes": [list(item) for item in learned.classes],
        "ill": [list(item) for item in learned.unhealthy],
        "groups": [list(item) for item in learned.groups],
        "extras": decoded.retries,
        "age_us": decoded.age_us,
        "parts": [[body.hex() for body in bodies], age_us],
    }


def entry_fields(entry: KeyRecord) -> dict[str, Any]:
    """The fields of a key record, under the names that ``stored.json`` uses."""
    intent = entry.intent
    assert intent is not None
    return {
        "digest": entry.digest.hex(),
        "named": entry.has_client_key,
        "phase": entry.phase.value,
        "fate": entry.outcome.value if entry.outcome is not None else None,
        "answer bytes": entry.answer_bytes,
        "told": entry.client_notified,
        "left": entry.may_have_been_sent,
        "at": entry.changed_us,
        "attempt": [
            intent.attempt,
            intent.engine.decode(),
            intent.engine_started_us,
            intent.wire,
            intent.request_name,
        ],
        "attempt times": [intent.thread, intent.sent_us, intent.deadline_us],
    }


def ledger_of(store: Store) -> dict[str, Any]:
    """All keys, how a repeat is handled, the stored answers, and the keys whose outcome is unknown."""
    key_ledger = ledger.Ledger(ledger.RetentionLimits(10**18, 512, 100))
    open_entries = key_ledger.load(store.items(lambda key: key[:1] == REQUEST))
    keys: dict[str, Any] = {}
    for key, entry in sorted(key_ledger.records.items()):
        answer = store.get(ANSWER + key)
        repeat = key_ledger.decide(key, entry.digest, True, MADE_US)
        other = key_ledger.decide(key, bytes(16), True, MADE_US)
        unpacked = None if answer is None else repr(answer_codec.unpack(answer))
        keys[key.decode()] = [entry_fields(entry), repeat.value, other.value, unpacked]
    rewritten = key_ledger.rewrite([REQUEST + key for key in key_ledger.records])
    return {
        "keys": keys,
        "open": [entry.key.decode() for entry in open_entries],
        "written again": {key.hex(): value.hex() for key, value in rewritten if value is not None},
    }


def raw_of(folder: Path) -> dict[str, Any]:
    """The store as ``slipbay store`` commands read it without opening it."""
    found = inspect_store(Folder(folder, writable=False))
    return {
        "problem": found.problem,
        "sequence": found.sequence,
        "torn": found.torn_bytes,
        "strays": found.orphans,
        "segments": [
            [
                one.number,
                one.base_sequence,
                one.valid_bytes,
                one.last_sequence,
                one.uncompressed_bytes,
                one.compacted,
            ]
            for one in found.segments
        ],
        "records": {key.hex(): value.hex() for key, value in sorted(found.records.items())},
    }


def observe_store(folder: Path, marker: Path) -> dict[str, Any]:
    """All that this program reads from a store and its marker; begins a new incarnation on them."""
    found = {"raw": raw_of(folder), "marker": marker_fields(marker)}
    store = open_store(folder)
    found["identity"] = identity_of(store)
    found["budget"] = budget_of(store)
    found["snapshots"] = snapshots_of(store)
    found["ledger"] = ledger_of(store)
    found["new life"] = restart_on(store, marker)
    found["new identity"] = identity_of(store)
    store.close()
    found["new marker"] = marker_fields(marker)
    return found


def router_files(folder: Path) -> Path:
    """Write the settings of a store in a directory; its keys do not expire."""
    return store_file(
        folder,
        segment_mb="0.01",
        most_mb="0.1",
        keep="{ retention_h = 1000000, answer_kb = 0.5 }",
        recovery="{ most_s = 5 }",
        loss='{ enabled = true, marker = "marker", marked = ["jsonrpc", "mysql"], repeat_window_s = 5 }',
    )


async def load(client: JsonClient, request: tuple[str, str, str]) -> dict[str, Any]:
    """The answer to one load, without the fields that differ between runs."""
    name, statement, team = request
    client.query("ticket-load", statement, txn=name, limit=20_000, **({"team": team} if team else {}))
    answer = await client.answer()
    compared: dict[str, Any] = answer["result"] if "result" in answer else answer["error"]
    return compared


async def mysql_load(client: MysqlClient, statement: str) -> list[Any]:
    try:
        rows = await client.query(statement)
    except MysqlError as problem:
        return [problem.code, problem.text]
    return [row.hex() for row in rows]


class RecoveringEngine(StandInEngine):
    """Has the result of one load that the router's earlier incarnation sent, and no record of the other."""

    def __init__(self) -> None:
        super().__init__(self._answer)

    async def _answer(self, call: HttpCall, writer: Any) -> bytes | None:
        if call.method == "GET" and OPEN_ENDED[0] in call.path:
            return http_answer(200, b"its end\n", X_Sheets="1")
        return http_answer(204) if call.method in ("DELETE", "PUT") else http_answer(500)


async def observe_router(folder: Path) -> dict[str, Any]:
    """A router on the stored data: the answers to repeats, and the calls that its engines received."""
    engine = RecoveringEngine()
    server = MysqlEngine(first_thread=100)  # threads with other numbers than the old router's
    server.uptime_s = 2_000_000_000  # it ran already when the old router sent its loads
    await server.start()
    files = {"mysql_file": mysql_file(folder, server), "store_file": router_files(folder)}
    async with Loopback(engine, **files) as net:
        client = await net.client()
        answers = {request[0]: await load(client, request) for request in JSON_LOADS}
        other = (SERVED[0], "DELETE FROM sales_1.t", "")
        team = (OF_A_TEAM[0], OF_A_TEAM[1], "ishikari-fuel")
        conflicts = [await load(client, other), await load(client, team)]
        mysql = await MysqlClient.connect(net.port(1))
        repeats = [await mysql_load(mysql, statement) for statement in MYSQL_LOADS]
        calls = sorted({f"{call.method} {call.path}" for call in engine.calls})
        posts = len(engine.named("POST"))
        kills = [command[1:].decode() for command in server.commands if command[1:5] == b"KILL"]
    server.server.close()
    return {
        "answers": answers,
        "conflicts": conflicts,
        "mysql": repeats,
        "calls": calls,
        "posts": posts,
        "mysql kills": kills,
        "mysql executed": len(server.executed),
    }


def written_store(folder: Path) -> dict[str, str]:
    """The bytes of a small store's files, not compacted, as compressed blocks depend on the zstd library."""
    store = open_store(folder)
    store.commit([(b"rone", b"first"), (b"aone", b"answer")])
    store.commit([(b"rtwo", b"x" * 300)])
    store.commit([(b"rone", None), (b"t", b"")], use_reserve=True)
    store.close()
    return {path.name: path.read_bytes().hex() for path in sorted(folder.iterdir()) if path.name != "LOCK"}


def written_marker(path: Path) -> str:
    marker = Marker(path)
    for sequence in (5, 6, 7):
        marker.write(store_generation.StoreWitness(bytes(range(16)), 3, sequence))
    marker.close()
    return path.read_bytes().hex()


def written_entries() -> list[list[str | None]]:
    """The changes that a ledger makes durable for some keys until they end."""
    key_ledger = ledger.Ledger(ledger.RetentionLimits(10**18, 8, 100))
    changes: list[Change] = []
    for number, key in enumerate((b"json:a", b"mysql::b", b"json:c", b"json:d")):
        at = MADE_US + number
        key_ledger.decide(key, digest(key, b"", b"SELECT 1"), True, at)
        entry = key_ledger.records[key]
        wire = "mysql" if key.startswith(b"mysql") else "http"
        intent = Intent(number, b"10.0.0.1:80", 7, wire, "name", number, at, at + SECOND)
        changes += key_ledger.record_intent(entry, intent, at)
        key_ledger.permit_send(entry, number)
    entries = key_ledger.records
    changes += key_ledger.record_served(entries[b"json:a"], b"short", False, MADE_US + SECOND)
    changes += key_ledger.record_served(entries[b"mysql::b"], b"longer than kept", True, MADE_US + SECOND)
    changes += key_ledger.record_failed(entries[b"json:c"], False, MADE_US + SECOND)
    changes += key_ledger.mark_client_notified(entries[b"json:a"])
    changes += key_ledger.forget(entries[b"json:a"])
    return [[key.hex(), None if value is None else value.hex()] for key, value in changes]


def written(folder: Path) -> dict[str, Any]:
    """The bytes that this program writes for fixed contents."""
    identity = store_generation.StoreIdentity(bytes(range(16)), 7, 5 * SECOND, "because")
    return {
        "store": written_store(folder / "written"),
        "marker": written_marker(folder / "written marker"),
        "entries": written_entries(),
        "identity": store_generation.encode(identity).hex(),
        "budget": retry_budget.encode(stored_retry_budget()).hex(),
        "snapshot": snapshot.write(stored_estimates(), 9, MADE_US).hex(),
        "parts": service.encode_snapshot([b"one", b"", b"three"], MADE_US).hex(),
        "answers": [answer_codec.pack(b"rows").hex(), answer_codec.pack([b"packet", b""]).hex()],
        "digest": digest(b"statement", b"", b"tenant").hex(),
    }


# The tests


def expected() -> dict[str, Any]:
    found: dict[str, Any] = json.loads((DATA / "stored.json").read_text())
    return found


def as_json(value: Any) -> Any:
    """The value after it was encoded as JSON and decoded."""
    return json.loads(json.dumps(value))


def copy_data(folder: Path) -> Path:
    """Copy the stored data to a directory that tests may write to."""
    shutil.copytree(DATA / "store", folder / "data")
    shutil.copyfile(DATA / "marker", folder / "marker")
    return folder


@pytest.mark.parametrize(
    "section",
    [
        "raw",
        "marker",
        "identity",
        "budget",
        "snapshots",
        "ledger",
        "new life",
        "new identity",
        "new marker",
    ],
)
def test_a_store_of_5d63481_is_read_as_by_that_commit(section: str, tmp_path: Path) -> None:
    copy_data(tmp_path)
    found = observe_store(tmp_path / "data", tmp_path / "marker")
    assert list(found) == list(expected()["store"])
    assert as_json(found[section]) == expected()["store"][section]


def test_the_stored_data_contain_each_state() -> None:
    """Guards against stored data that cover too few states."""
    store = expected()["store"]
    decisions = {name: row[1] for name, row in store["ledger"]["keys"].items()}
    assert set(decisions.values()) == {"attach", "again", "answer gone", "may have run"}
    assert len(store["ledger"]["open"]) == 3
    assert any(segment[5] for segment in store["raw"]["segments"])
    assert store["identity"][1] == 2
    assert store["new identity"][1] == 3
    assert store["new life"][0] == "CURRENT"
    assert store["identity"][0] == store["new identity"][0] == store["new marker"][0]
    assert expected()["router"]["posts"] == expected()["router"]["mysql executed"] == 0
    assert store["budget"]["taken"]
    assert store["budget"]["extras"]


def test_a_router_on_a_store_of_5d63481_gives_the_same_answers(tmp_path: Path) -> None:
    copy_data(tmp_path)

    async def test() -> None:
        assert as_json(await observe_router(tmp_path)) == expected()["router"]

    run(test, 10.0)


def test_the_same_contents_are_stored_in_the_same_bytes(tmp_path: Path) -> None:
    found = as_json(written(tmp_path))
    assert list(found) == list(expected()["written"])
    for name, value in found.items():
        assert value == expected()["written"][name], name
