"""The link to one of two rooms is cut while reports are sent; no report may have two attempts out at once."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import (
    TROUBLE,
    CaseError,
    Client,
    Engine,
    Journal,
    Link,
    Record,
    Router,
    host_entry,
    new_txn,
    outcome_of,
    query_params,
    run_case,
    spans,
)

NEAR = 3  # engines in the router's room
FAR = 3  # engines in the other room, behind links that can be cut
CUT_S = 6.7  # the shortest cut of the pages: 6.7 to 18 s
LIMIT_MS = 20_000
# Reports before the cut, so that there are connections to all engines
USUAL_REPORTS = 60
USUAL_WORK_MS = 1000
USUAL_INTERVAL_S = 0.05
# Heavy reports, from half a second after the beginning of the cut on
FIRST_S = 0.55
REPORTS = 18
WORK_MS = 7000
INTERVAL_S = 0.02
OVERLAP_S = 0.05  # the pages widen time limits by 50 ms


async def case(folder: Path, record: Record) -> bool:
    events: list[list[dict[str, Any]]] = [[] for _ in range(NEAR + FAR)]
    engines = [Engine(events[number].append) for number in range(NEAR + FAR)]
    for engine in engines:
        await engine.start()
    links = [Link(engine.port, record) for engine in engines[NEAR:]]
    near = [host_entry(f"s-{number}", engine.port) for number, engine in enumerate(engines[:NEAR])]
    far = [host_entry(f"s-{NEAR + number}", link.port, "room-b") for number, link in enumerate(links)]
    journal = Journal(near + far)
    await journal.start()
    router = Router(folder, record, journal)
    try:
        await router.start()
        client = await Client.connect(router.port)
        await send_usual_reports(client, events, record)
        names, answers = await send_heavy_reports(client, links, record)
        await asyncio.sleep(3)  # in which engines drop what nobody asks for
        return judge(names, answers, events, record)
    finally:
        await router.end()
        for link in links:
            link.close()


async def send_usual_reports(client: Client, events: list[list[dict[str, Any]]], record: Record) -> None:
    calls = []
    for _ in range(USUAL_REPORTS):
        calls.append(
            client.send("report", query_params(new_txn(), LIMIT_MS, USUAL_WORK_MS, 2 * USUAL_WORK_MS))
        )
        await asyncio.sleep(USUAL_INTERVAL_S)
    answers = await asyncio.gather(*calls)
    served = sum(outcome_of(answer) == "served" for answer in answers)
    ran = [sum(event["event"] == "started" for event in items) for items in events]
    record.add("usual reports", sent=USUAL_REPORTS, served=served, by_engine=ran)
    if not all(ran):
        raise CaseError("some engine got no report before the cut")


async def send_heavy_reports(
    client: Client, links: list[Link], record: Record
) -> tuple[list[str], list[dict[str, Any] | BaseException]]:
    began_s = time.monotonic()
    if TROUBLE:
        for link in links:
            link.cut()
        record.add("room-b is cut off", seconds=CUT_S)
    await asyncio.sleep(FIRST_S)
    names = [new_txn() for _ in range(REPORTS)]
    calls = []
    for name in names:
        record.add("sent", report=name)
        calls.append(client.send("report", query_params(name, LIMIT_MS, WORK_MS, 2 * WORK_MS)))
        await asyncio.sleep(INTERVAL_S)
    if TROUBLE:
        await asyncio.sleep(began_s + CUT_S - time.monotonic())
        for link in links:
            link.heal()
        record.add("room-b is back")
    return names, await asyncio.gather(*calls, return_exceptions=True)


def judge(
    names: list[str],
    answers: list[dict[str, Any] | BaseException],
    events: list[list[dict[str, Any]]],
    record: Record,
) -> bool:
    """Whether no report was out twice at once; writes what was answered and run."""
    held = True
    until_s = time.time()
    for name, answer in zip(names, answers, strict=True):
        outcome = repr(answer) if isinstance(answer, BaseException) else outcome_of(answer)
        record.add("answered", report=name, outcome=outcome)
        runs = sorted(
            (started_s, ended_s, f"s-{number}", how)
            for number, items in enumerate(events)
            for started_s, ended_s, how in spans(items, name, until_s)
        )
        for started_s, ended_s, engine, how in runs:
            seconds = f"{ended_s - started_s:.3f}"
            record.add_at(started_s, "ran", report=name, engine=engine, seconds=seconds, end=how)
        for before, after in zip(runs, runs[1:], strict=False):
            overlap_s = min(before[1], after[1]) - after[0]
            if overlap_s > OVERLAP_S:
                record.add("two attempts at once", report=name, seconds=f"{overlap_s:.3f}")
                held = False
    return held


RECORD_FILE = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
run_case(RECORD_FILE, case)
