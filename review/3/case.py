"""Case 3: the list of engines arrives 3 s late; a draining engine gets new work long after that was told."""

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
    SLACK_S,
    CaseError,
    DelayingProxy,
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
CALM_S = 4.0  # before the lists come late
LATE_S = 3.0  # by which all that the journal service sends is late
BEFORE_DRAIN_S = 6.0  # from then on to the drain
TOLD_AFTER_S = 7.0  # at the latest an event in the journal counts as told, whether it arrived or not
DRAIN_GRACE_S = 1.0  # from being told to the last send
UNTIL_END_S = 14.0  # from the drain to the end of the engine, which has had the time to end its work
AFTER_END_S = 4.0
REQUEST_INTERVAL_S = 0.05
LIMIT_MS = {"lookup": 2500, "report": 20_000, "ticket-load": 25_000}
WORK_S = {"lookup": 0.05, "report": 0.8, "ticket-load": 2.0}
METHODS = ("lookup",) * 8 + ("report", "ticket-load")
CLASSES = [
    service_class("lookup", "retryable", 500, LIMIT_MS["lookup"], 1.0),
    service_class("report", "retryable", 2000, LIMIT_MS["report"], 15.0),
    service_class("ticket-load", "fragile", 4000, LIMIT_MS["ticket-load"], 15.0),
]


async def sound_client(client: JsonClient, until_s: float) -> None:
    while time.time() < until_s:
        method = METHODS[len(client.requests) % len(METHODS)]
        statement = f"SELECT a, b, c FROM sales_{len(client.requests) % 20}.orders".encode()
        client.send(method, LIMIT_MS[method], statement, team="ishikari-fuel", cpu=80.0, ram=64)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def play(record: Record, folder: Path) -> int:
    journal = Journal(record)
    await journal.start()
    proxy = DelayingProxy(journal.port)
    await proxy.start()
    engines = [HttpEngine(f"s-{number}", record, WORK_S) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    journal.append([engine.entry() for engine in engines], whole=True)
    config = {
        "journal": f"127.0.0.1:{proxy.port}",
        "known": journal.known,
        "settings": settings(CLASSES, "ticket-load"),
    }
    router = Router(record, folder, config)
    draining = engines[0]
    try:
        await router.start()
        client = JsonClient("c0", record)
        await client.connect(router.port)
        until_s = time.time() + CALM_S + BEFORE_DRAIN_S + UNTIL_END_S + AFTER_END_S
        work = asyncio.create_task(sound_client(client, until_s))
        await asyncio.sleep(CALM_S)
        if has_trouble():
            proxy.delay_s = LATE_S
            record.add(f"what the journal service sends arrives {LATE_S} s late from now on")
        await asyncio.sleep(BEFORE_DRAIN_S)
        journal.append([draining.entry("DRAINING")])
        drained_s = time.time()
        await asyncio.sleep(UNTIL_END_S)
        draining.end()
        journal.append([draining.entry("DELETED")])
        await work
        while not all(request.verdict(time.time()) for request in client.requests):
            await asyncio.sleep(0.2)
        if router.has_ended:
            raise CaseError("the router has ended")
    finally:
        await router.end()
    last_allowed_s = drained_s + TOLD_AFTER_S + DRAIN_GRACE_S + SLACK_S
    late = [post for post in draining.posts if post[0] > last_allowed_s]
    for began_s, txn, name in late:
        since_s = began_s - drained_s
        record.add(f"broken: {txn} {name} sent to {draining.name} {since_s:.2f} s after its drain", began_s)
    verdicts = Counter(request.verdict(time.time()).split(" ")[0] for request in client.requests)
    by_class = dict(Counter(name for _, _, name in late))
    sent_late = {txn for _, txn, _ in late}
    lost_loads = [
        request
        for request in client.requests
        if request.txn in sent_late
        and request.method == "ticket-load"
        and request.verdict(time.time()) == "failed"
    ]
    summary = (
        f"sends to the draining engine after its time: {by_class or 'none'}, "
        f"of which loads that failed as it ended: {len(lost_loads)}; requests: {dict(verdicts)}"
    )
    record.add(summary)
    print(summary)
    if not draining.posts:
        raise CaseError("the engine was not in use before its drain")
    return BROKEN if late else HELD


run_case(play, Path(__file__).resolve().parent)
