"""Measures the durable store: `python benchmarks/store.py`, about a minute; docs/store.md has results.

Appends come from an event loop, as in the router, with a fixed number of them open at a time. Two baselines
run in the same process and folder: one sync per record, and sqlite3 (WAL, synchronous=FULL). Each uses a
thread that writes one record after the other.
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

VALUE = random.Random(1).randbytes(120)  # about the size of an intent

Done = Callable[[StoreError | None], None]


class Appender(Protocol):
    """Makes records durable and calls ``done`` for each."""

    def append(self, key: bytes, value: bytes, done: Done) -> None:
        """Append a record; ``done`` is called in the event loop when it is durable."""
        ...

    def close(self) -> None:
        """Release all resources."""
        ...


class StoreAppender:
    """The store, run as in the router."""

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
        """Append a record to the store."""
        self.writer.append([(key, value)], done)

    def close(self) -> None:
        """Close the store."""
        self.writer.close()


class SequentialAppender:
    """A baseline: a thread that makes records durable one after the other."""

    def __init__(self, make: Callable[[], Callable[[bytes, bytes], None]]) -> None:
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[tuple[bytes, bytes, Done] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, args=(make,))
        self._thread.start()

    def append(self, key: bytes, value: bytes, done: Done) -> None:
        """Queue a record for the thread."""
        self._queue.put((key, value, done))

    def close(self) -> None:
        """End the thread after the queued records."""
        self._queue.put(None)
        self._thread.join()

    def _run(self, make: Callable[[], Callable[[bytes, bytes], None]]) -> None:
        write = make()
        while (item := self._queue.get()) is not None:
            key, value, done = item
            write(key, value)
            self._loop.call_soon_threadsafe(done, None)


def one_sync_per_record(folder: Path) -> Callable[[bytes, bytes], None]:
    """Return a function that appends a record to a file and syncs it."""
    fd = os.open(folder / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(key: bytes, value: bytes) -> None:
        os.write(fd, key + value)
        os.fdatasync(fd)

    return write


def sqlite(folder: Path) -> Callable[[bytes, bytes], None]:
    """Return a function that writes a record to sqlite3."""
    database = sqlite3.connect(folder / "base.sqlite", isolation_level=None)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute("CREATE TABLE records (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID")

    def write(key: bytes, value: bytes) -> None:
        database.execute("INSERT OR REPLACE INTO records VALUES (?, ?)", (key, value))

    return write


async def drive(
    appender: Appender,
    open_appends: int,
    seconds: float,
    keys: int = 10**9,
    busy: Callable[[], bool] | None = None,
) -> tuple[float, list[float], list[float]]:
    """Keep ``open_appends`` appends open.

    Returns appends per second, the latencies in ms while ``busy`` is false, and those while it is true.
    """
    latencies: tuple[list[float], list[float]] = [], []
    started = time.perf_counter()
    count = 0
    finished = asyncio.Event()
    open_count = open_appends
    chooser = random.Random(2)

    def start() -> None:
        nonlocal count
        count += 1
        key = b"request:%016x" % (count if keys == 10**9 else chooser.randrange(keys))
        appender.append(key, VALUE, partial(done, time.perf_counter()))

    def done(since: float, problem: StoreError | None) -> None:
        nonlocal open_count
        if problem is not None:
            raise problem
        now = time.perf_counter()
        latencies[bool(busy and busy())].append((now - since) * 1000)
        if now - started < seconds:
            start()
        else:
            open_count -= 1
            if not open_count:
                finished.set()

    for _ in range(open_appends):
        start()
    await finished.wait()
    return sum(map(len, latencies)) / (time.perf_counter() - started), *latencies


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values; 0.99 is the 99th."""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


async def appends(folder: Path, seconds: float) -> None:
    """Print throughput and latency of appends, for the store and the baselines."""
    click.echo("appends            open    per s   p50 ms   p99 ms")
    for open_appends in (1, 8, 64):
        for name in ("store", "one sync each", "sqlite3"):
            run_folder = folder / f"{name}-{open_appends}".replace(" ", "-")
            run_folder.mkdir()
            appender: Appender
            if name == "store":
                appender = StoreAppender(run_folder)
                await appender.opened.wait()
            else:
                appender = SequentialAppender(
                    partial(one_sync_per_record if "sync" in name else sqlite, run_folder)
                )
            rate, latencies, _ = await drive(appender, open_appends, seconds)
            appender.close()
            click.echo(
                f"{name:<18} {open_appends:>4} {rate:>8.0f} {percentile(latencies, 0.5):>8.2f} "
                f"{percentile(latencies, 0.99):>8.2f}"
            )


async def compaction(folder: Path, seconds: float) -> None:
    """Overwrite few keys so that compaction runs; print latencies during its steps and between them."""
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
    """Write records of distinct keys."""
    store = Store.open(Folder(folder), plan.Bounds(8 * 1024 * 1024, 4 * 1024**3))
    for start in range(0, count, 1000):
        store.commit([(b"request:%016x" % n, VALUE) for n in range(start, min(count, start + 1000))])
    store.close()


def recovery(folder: Path) -> None:
    """Print the time to open stores of several sizes, and the memory per record."""
    for count in (10**4, 10**5, 10**6):
        run_folder = folder / str(count)
        run_folder.mkdir()
        fill(run_folder, count)
        started = time.perf_counter()
        store = Store.open(Folder(run_folder), plan.Bounds(8 * 1024 * 1024, 4 * 1024**3))
        took = time.perf_counter() - started
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
    """Print the time to load the ledger of idempotency keys, and the memory per key."""
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
    started = time.perf_counter()
    Ledger().load(kept)
    took = time.perf_counter() - started
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
    """Print the event loop's longest pause: idle, while the store is read, and during appends."""

    async def longest_pause_ms(until: Callable[[], bool]) -> float:
        longest_s = 0.0
        last = time.perf_counter()
        while not until():
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest_s = max(longest_s, now - last)
            last = now
        return longest_s * 1000

    gc.collect()
    gc.freeze()  # as the router does when it starts
    end = time.perf_counter() + seconds
    idle_ms = await longest_pause_ms(lambda: time.perf_counter() > end)
    appender = StoreAppender(folder)
    reading_ms = await longest_pause_ms(appender.opened.is_set)
    task = asyncio.create_task(drive(appender, 64, seconds, 40_000))
    writing_ms = await longest_pause_ms(task.done)
    appender.close()
    click.echo(
        f"longest pause      idle {idle_ms:.1f} ms, while 10^5 records are read {reading_ms:.1f} ms, "
        f"under 64 open appends {writing_ms:.1f} ms"
    )


def slower_syncs(ms: float) -> None:
    """Make each sync take ``ms`` longer from now on, as on slower disks."""
    sync = FileHandle.sync

    def slow(handle: FileHandle) -> None:
        sync(handle)
        time.sleep(ms / 1000)

    FileHandle.sync = slow  # type: ignore[method-assign, assignment]


async def loads(folder: Path, name: str) -> None:
    """Print the latency that the store adds to sequential ticket loads on loopback, in commits."""
    folder = folder / name.replace(" ", "-")
    folder.mkdir()
    from loopback import Loopback, StandInEngine
    from routers import store_file

    async def median_ms(count: int, has_store: bool) -> float:
        run_folder = folder / f"loads-{has_store}"
        run_folder.mkdir()
        async with Loopback(StandInEngine(), store_file=store_file(run_folder) if has_store else None) as net:
            client = await net.client()
            times = []
            for _ in range(count):
                started = time.perf_counter()
                client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", limit=5000)
                answer = await client.answer()
                times.append(time.perf_counter() - started)
                assert "result" in answer
            return statistics.median(times) * 1000

    off_ms = await median_ms(400, False)
    on_ms = await median_ms(400, True)
    appender = StoreAppender(folder / "alone")
    await appender.opened.wait()
    _, latencies, _ = await drive(appender, 1, 2)
    appender.close()
    commit_ms = percentile(latencies, 0.5)
    click.echo(
        f"ticket-load        {name}: {off_ms:.2f} ms with the store off, {on_ms:.2f} ms on: "
        f"{(on_ms - off_ms) / commit_ms:.1f} commits of {commit_ms:.2f} ms"
    )


@click.command()
@click.option(
    "--folder", type=click.Path(file_okay=False, path_type=Path), help="Folder on the disk to measure."
)
@click.option("--seconds", default=3.0, help="Duration of each measurement of appends.")
def main(folder: Path | None, seconds: float) -> None:
    """Measure the durable store on a disk."""
    with tempfile.TemporaryDirectory(dir=folder) as name:
        run_folder = Path(name)
        sys.setswitchinterval(THREAD_SWITCH_S)
        asyncio.run(appends(run_folder, seconds))
        (run_folder / "compaction").mkdir()
        asyncio.run(compaction(run_folder / "compaction", 3 * seconds))
        recovery(run_folder)
        ledger_recovery()
        asyncio.run(pauses(run_folder / str(10**5), seconds))
        asyncio.run(loads(run_folder, "this disk"))
        slower_syncs(2)
        asyncio.run(loads(run_folder, "2 ms more a sync"))


if __name__ == "__main__":
    main()
