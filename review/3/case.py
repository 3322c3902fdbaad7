"""Case 3: a client's statement has a string literal that is cut off; what the other clients sent is lost."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from support import (
    BROKEN,
    HELD,
    CaseError,
    HttpEngine,
    Journal,
    JsonClient,
    Record,
    Router,
    has_trouble,
    run_case,
    service_class,
    settings,
)

ENGINES = 3
CLIENTS = 4
CALM_S = 4.0  # before the bad client's request
AFTER_S = 12.0  # during which the sound clients go on
REQUEST_INTERVAL_S = 0.2  # of each sound client
STATEMENT_BYTES = 40_000  # below the 48,000 bytes that a result may have
LIMIT_MS = {"lookup": 2500, "report": 20_000, "ticket-load": 25_000}
WORK_S = {"lookup": 0.05, "report": 0.4, "ticket-load": 0.8}
METHODS = ("lookup",) * 8 + ("report", "ticket-load")
CLASSES = [
    service_class("lookup", "retryable", 500, LIMIT_MS["lookup"], 1.0),
    service_class("report", "retryable", 2000, LIMIT_MS["report"], 15.0),
    service_class("ticket-load", "fragile", 4000, LIMIT_MS["ticket-load"], 15.0),
]


def long_statement() -> bytes:
    """A load of meter readings as a JSON text in a string literal, whose quotes are escaped.

    The bad client's text is cut off within the literal.
    """
    rows: list[str] = []
    size = 0
    while size < STATEMENT_BYTES:
        rows.append(rf"{{\"tank\":\"T{len(rows):05d}\",\"litres\":\"{len(rows) % 900}\"}}")
        size += len(rows[-1]) + 1
    text = 'INSERT INTO staging.readings VALUES ("[' + ",".join(rows)
    return text.encode() if has_trouble() else text.encode() + b']")'


async def sound_client(client: JsonClient, until_s: float) -> None:
    while time.time() < until_s:
        method = METHODS[len(client.requests) % len(METHODS)]
        statement = f"SELECT a, b, c FROM sales_{len(client.requests) % 20}.orders".encode()
        client.send(method, LIMIT_MS[method], statement, team="ishikari-fuel", cpu=80.0, ram=64)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def play(record: Record, folder: Path) -> int:
    journal = Journal(record)
    await journal.start()
    engines = [HttpEngine(f"s-{number}", record, WORK_S) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    journal.append([engine.entry() for engine in engines], whole=True)
    config = {
        "journal": f"127.0.0.1:{journal.port}",
        "known": journal.known,
        "settings": settings(CLASSES, "ticket-load"),
    }
    router = Router(record, folder, config)
    try:
        await router.start()
        clients = [JsonClient(f"c{number}", record) for number in range(CLIENTS)]
        for client in clients:
            await client.connect(router.port)
        until_s = time.time() + CALM_S + AFTER_S
        work = [asyncio.create_task(sound_client(client, until_s)) for client in clients]
        await asyncio.sleep(CALM_S)
        other = JsonClient("other", record)
        await other.connect(router.port)
        other.send(
            "ticket-load", LIMIT_MS["ticket-load"], long_statement(), team="tokachi-oil", cpu=80.0, ram=64
        )
        await asyncio.gather(*work)
        sent = [request for client in clients for request in client.requests]
        while not all(request.verdict(time.time()) for request in sent):
            await asyncio.sleep(0.2)
        if router.has_ended:
            record.add("the router's process has ended by itself")
    finally:
        await router.end()
    verdicts = Counter(request.verdict(time.time()).split(" ")[0] for request in sent)
    for request in sent:
        if request.verdict(time.time()).startswith("lost"):
            record.add(
                f"broken: {request.txn} {request.method}: {request.verdict(time.time())}", request.sent_s
            )
    record.add(f"requests of the sound clients: {dict(verdicts)}")
    print(f"requests of the sound clients: {dict(verdicts)}")
    if not verdicts["served"]:
        raise CaseError("no request was served")
    return BROKEN if verdicts["lost:"] else HELD


RECORD_FILE = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run

run_case(play, RECORD_FILE)
