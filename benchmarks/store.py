"""Measures the durable store: `python benchmarks/store.py`, about a minute; figures stand in docs/store.md.

Appends are made from an event loop, as the router makes them, with so many open at a time. Beside the store
run two baselines in the same process and folder: one sync a record, and sqlite3 (WAL, synchronous=FULL), each
in a thread of its own that takes one record after the other.
"""

from __future__ import annotations

import asyncio
import gc
import os
import queue
import random
import sqlite3
import statistics
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Protocol

import click

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from slipbay.idempotency.key_record import Intent
from slipbay.idempotency.ledger import Ledger
from slipbay.store import plan
from slipbay.store.commit_queue import Grouping
from slipbay.store.disk import FileHandle, Folder
from slipbay.store.engine import Store
from slipbay.store.errors import StoreError
from slipbay.store.writer import THREAD_SWITCH_S, Writer

VALUE = random.Random(1).randbytes(120)  # about what an intent weighs

Done = Callable[[StoreError | None], None]


class Appender(Protocol):
    def append(self, key: bytes, value: bytes, done: Done) -> None: ...

    def close(self) -> None: ...


class StoreAppender:
    """The store as the router runs it."""

    def __init__(self, folder: Path, bounds: plan.Bounds | None = None) -> None:
        loop = asyncio.get_running_loop()

        def post(call: Callable[[], None]) -> None:
            loop.call_soon_threadsafe(call)

        self.store: Store | None = None
        self._bounds = bounds

        def make() -> Store:
            self.store = Store.open(Folder(folder), self._bounds)
            return self.store

        self.opened = asyncio.Event()
        self.writer = Writer(make, Grouping(), post)
        self.writer.start(lambda store: None, lambda contents, problem: self.opened.set())

    def append(self, key: bytes, value: bytes, done: Done) -> None:
        self.writer.append([(key, value)], done)

    def close(self) -> None:
        self.writer.close()


class OneByOne:
    """A baseline: a thread that makes records durable one after the other."""

    def __init__(self, make: Callable[[], Callable[[bytes, bytes], None]]) -> None:
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[tuple[bytes, bytes, Done] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, args=(make,))
        self._thread.start()

    def append(self, key: bytes, value: bytes, done: Done) -> None:
        self._queue.put((key, value, done))

    def close(self) -> None:
        self._queue.put(None)
        self._thread.join()

    def _run(self, make: Callable[[], Callable[[bytes, bytes], None]]) -> None:
        write = make()
        while (item := self._queue.get()) is not None:
            key, value, done = item
            write(key, value)
            self._loop.call_soon_threadsafe(done, None)


def one_sync_a_record(folder: Path) -> Callable[[bytes, bytes], None]:
    fd = os.open(folder / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(key: bytes, value: bytes) -> None:
        os.write(fd, key + value)
        os.fdatasync(fd)

    return write


def sqlite(folder: Path) -> Callable[[bytes, bytes], None]:
    base = sqlite3.connect(folder / "base.sqlite", isolation_level=None)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute("PRAGMA synchronous=FULL")
    base.execute("CREATE TABLE records (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID")

    def write(key: bytes, value: bytes) -> None:
        base.execute("INSERT OR REPLACE INTO records VALUES (?, ?)", (key, value))

    return write


async def drive(
    appender: Appender,
    open_appends: int,
    seconds: float,
    keys: int = 10**9,
    busy: Callable[[], bool] | None = None,
) -> tuple[float, list[float], list[float]]:
    """Keep so many appends open; returns appends/s and latencies in ms, quiet and while ``busy``."""
    latencies: tuple[list[float], list[float]] = [], []
    began = time.perf_counter()
    count = 0
    over = asyncio.Event()
    left = open_appends
    chooser = random.Random(2)

    def start() -> None:
        nonlocal count
        count += 1
        key = b"request:%016x" % (count if keys == 10**9 else chooser.randrange(keys))
        appender.append(key, VALUE, partial(done, time.perf_counter()))

    def done(since: float, problem: StoreError | None) -> None:
        nonlocal left
        if problem is not None:
            raise problem
        now = time.perf_counter()
        latencies[bool(busy and busy())].append((now - since) * 1000)
        if now - began < seconds:
            start()
        else:
            left -= 1
            if not left:
                over.set()

    for _ in range(open_appends):
        start()
    await over.wait()
    return sum(map(len, latencies)) / (time.perf_counter() - began), *latencies


def percentile(values: list[float], share: float) -> float:
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


async def appends(folder: Path, seconds: float) -> None:
    click.echo("appends            open    per s   p50 ms   p99 ms")
    for open_appends in (1, 8, 64):
        for name in ("store", "one sync each", "sqlite3"):
            place = folder / f"{name}-{open_appends}".replace(" ", "-")
            place.mkdir()
            appender: Appender
            if name == "store":
                appender = StoreAppender(place)
                await appender.opened.wait()
            else:
                appender = OneByOne(partial(one_sync_a_record if "sync" in name else sqlite, place))
            rate, latencies, _ = await drive(appender, open_appends, seconds)
            appender.close()
            click.echo(
                f"{name:<18} {open_appends:>4} {rate:>8.0f} {percentile(latencies, 0.5):>8.2f} "
                f"{percentile(latencies, 0.99):>8.2f}"
            )


async def compaction(folder: Path, seconds: float) -> None:
    """Overwrites of few keys keep compaction at work; latencies with a step under way, against the others."""
    appender = StoreAppender(folder, plan.Bounds(4 * 1024 * 1024, 256 * 1024 * 1024))
    await appender.opened.wait()
    store = appender.store
    assert store is not None
    for number in range(0, 40_000, 2000):
        ready = asyncio.Event()
        appender.writer.append(
            [(b"request:%016x" % n, VALUE) for n in range(number, number + 2000)],
            lambda problem, ready=ready: ready.set(),  # type: ignore[misc]
        )
        await ready.wait()
    _, quiet, busy = await drive(appender, 64, seconds, 40_000, lambda: store.compacting)
    totals = store.totals
    appender.close()
    click.echo(
        f"compaction         {totals.compactions} merges; p99 quiet {percentile(quiet, 0.99):.2f} ms "
        f"({len(quiet)}), during {percentile(busy, 0.99) if busy else 0:.2f} ms ({len(busy)})"
    )
    click.echo(
        f"                   bytes written per byte appended "
        f"{(totals.bytes_appended + totals.bytes_copied) / totals.bytes_appended:.2f}"
    )


def fill(folder: Path, count: int) -> None:
    store = Store.open(Folder(folder), plan.Bounds(8 * 1024 * 1024, 4 * 1024**3))
    for start in range(0, count, 1000):
        store.commit([(b"request:%016x" % n, VALUE) for n in range(start, min(count, start + 1000))])
    store.close()


def recovery(folder: Path) -> None:
    for count in (10**4, 10**5, 10**6):
        place = folder / str(count)
        place.mkdir()
        fill(place, count)
        began = time.perf_counter()
        store = Store.open(Folder(place), plan.Bounds(8 * 1024 * 1024, 4 * 1024**3))
        took = time.perf_counter() - began
        assert len(store) == count
        click.echo(f"recovery           {count:>8} records in {took:.3f} s, {count / took:,.0f} records/s")
        store.close()
    tracemalloc.start()
    store = Store.open(Folder(folder / str(10**5)))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    store.close()
    click.echo(f"                   {size / 10**5:.0f} bytes of memory for each live record")


def ledger_recovery(count: int = 10**5) -> None:
    ledger = Ledger()
    records = dict[bytes, bytes | None]()
    for number in range(count):
        key = b"json:%016x" % number
        ledger.decide(key, VALUE[:16], True, number)
        entry = ledger.records[key]
        records.update(
            ledger.record_intent(
                entry, Intent(0, b"s-00c41f7a", 0, "http", key.decode(), 0, number, number), number
            )
        )
        ledger.permit_send(entry, 0)
        records.update(
            change for change in ledger.record_served(entry, b"x", True, number) if change[0][:1] == b"r"
        )
    del ledger
    kept = [(key, value) for key, value in records.items() if value is not None]
    began = time.perf_counter()
    Ledger().load(kept)
    took = time.perf_counter() - began
    tracemalloc.start()
    again = Ledger()
    again.load(kept)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    click.echo(
        f"ledger             {count:>8} keys in {took:.3f} s, {count / took:,.0f} keys/s, "
        f"{size / count:.0f} bytes of memory each"
    )


async def pauses(folder: Path, seconds: float) -> None:
    """The loop's longest time between two turns, idle and with the store reading and writing beside it."""

    async def longest(until: Callable[[], bool]) -> float:
        worst = 0.0
        last = time.perf_counter()
        while not until():
            await asyncio.sleep(0)
            now = time.perf_counter()
            worst = max(worst, now - last)
            last = now
        return worst * 1000

    gc.collect()
    gc.freeze()  # as the router does at its start
    end = time.perf_counter() + seconds
    idle = await longest(lambda: time.perf_counter() > end)
    appender = StoreAppender(folder)
    reading = await longest(appender.opened.is_set)
    task = asyncio.create_task(drive(appender, 64, seconds, 40_000))
    writing = await longest(task.done)
    appender.close()
    click.echo(
        f"longest pause      idle {idle:.1f} ms, while 10^5 records are read {reading:.1f} ms, "
        f"under 64 open appends {writing:.1f} ms"
    )


def slower_syncs(ms: float) -> None:
    """Each sync takes so much longer from here on, as on disks slower than this one."""
    sync = FileHandle.sync

    def slow(handle: FileHandle) -> None:
        sync(handle)
        time.sleep(ms / 1000)

    FileHandle.sync = slow  # type: ignore[method-assign, assignment]


async def loads(folder: Path, name: str) -> None:
    """What a ticket-load gains on loopback, one after the other, against a commit alone."""
    folder = folder / name.replace(" ", "-")
    folder.mkdir()
    from loopback import Loopback, StandInEngine
    from routers import store_file

    async def median(count: int, on: bool) -> float:
        place = folder / f"loads-{on}"
        place.mkdir()
        async with Loopback(StandInEngine(), store_file=store_file(place) if on else None) as net:
            client = await net.client()
            times = []
            for _ in range(count):
                began = time.perf_counter()
                client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", limit=5000)
                answer = await client.answer()
                times.append(time.perf_counter() - began)
                assert "result" in answer
            return statistics.median(times) * 1000

    off = await median(400, False)
    on = await median(400, True)
    appender = StoreAppender(folder / "alone")
    await appender.opened.wait()
    _, latencies, _ = await drive(appender, 1, 2)
    appender.close()
    commit = percentile(latencies, 0.5)
    click.echo(
        f"ticket-load        {name}: {off:.2f} ms with the store off, {on:.2f} ms on: "
        f"{(on - off) / commit:.1f} commits of {commit:.2f} ms"
    )


@click.command()
@click.option(
    "--folder", type=click.Path(file_okay=False, path_type=Path), help="On the disk to be measured."
)
@click.option("--seconds", default=3.0, help="For each figure on appends.")
def main(folder: Path | None, seconds: float) -> None:
    """Measure the durable store on a disk."""
    with tempfile.TemporaryDirectory(dir=folder) as name:
        place = Path(name)
        sys.setswitchinterval(THREAD_SWITCH_S)
        asyncio.run(appends(place, seconds))
        (place / "compaction").mkdir()
        asyncio.run(compaction(place / "compaction", 3 * seconds))
        recovery(place)
        ledger_recovery()
        asyncio.run(pauses(place / str(10**5), seconds))
        asyncio.run(loads(place, "this disk"))
        slower_syncs(2)
        asyncio.run(loads(place, "2 ms more a sync"))


if __name__ == "__main__":
    main()
