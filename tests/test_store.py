"""The embedded store: interrupted at every byte of a history, and its components alone.

``contracts/test_store_contract.py`` runs random histories with faults.
"""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
import stat
import subprocess
import sys
import threading
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

import pytest
from sim_disk import SimDisk, cuts, image

from slipbay.store import frame, manifest, plan
from slipbay.store.commit_queue import Grouping
from slipbay.store.disk import Folder
from slipbay.store.engine import Change, Store, StoreState
from slipbay.store.errors import (
    DamagedStoreError,
    NewerFormatError,
    StoreError,
    StoreFullError,
    StoreInUseError,
    StoreWriteError,
)
from slipbay.store.inspect import inspect_store
from slipbay.store.writer import Writer

SMALL = plan.Bounds(segment_bytes=400, max_bytes=100_000)
Model = dict[bytes, bytes]


class History:
    """A store on a simulated disk, with the state after each change and the progress of its commits."""

    def __init__(self, bounds: plan.Bounds = SMALL) -> None:
        self.disk = SimDisk()
        self.store = Store.open(self.disk, bounds)
        self.states: list[Model] = [{}]  # by sequence
        self.finished: list[tuple[int, int]] = [(0, 0)]  # disk operations, sequence reported as durable
        self.begun: list[tuple[int, int]] = [(0, 0)]  # disk operations before a commit, its last sequence

    def commit(self, *changes: Change) -> None:
        for key, value in changes:
            state = dict(self.states[-1])
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
            self.states.append(state)
        self.begun.append((len(self.disk.ops), len(self.states) - 1))
        self.store.commit(list(changes))
        self.finished.append((len(self.disk.ops), len(self.states) - 1))

    def guaranteed(self, operations: int) -> int:
        """The last sequence that was reported as durable after at most ``operations`` disk operations."""
        return max(sequence for at, sequence in self.finished if at <= operations)

    def possible(self, operations: int) -> int:
        """The last sequence of the commits that had begun after at most ``operations`` disk operations."""
        return max(sequence for at, sequence in self.begun if at <= operations)


def scripted() -> History:
    """A history of single and grouped commits, overwrites, deletions, new segments and compactions."""
    history = History()
    random = Random(7)
    for number in range(60):
        key = b"k%d" % random.randrange(9)
        value = None if random.random() < 0.2 else b"%d" % number * random.randrange(1, 9)
        if number % 7 == 0:
            history.commit((key, value), (b"group", b"%d" % number), (b"gone", None))
        else:
            history.commit((key, value))
        if number in (25, 50):
            history.store.compact_step(force=True)
        elif number > 25:
            history.store.compact_step()
    while history.store.compact_step():
        pass
    history.commit((b"last", b"1"))
    return history


def contents(store: Store) -> Model:
    return dict(store.items())


def test_a_crash_at_any_byte_keeps_all_commits_and_adds_nothing() -> None:
    """Checks P1 to P5 at every point of a history with compaction, whatever unsynced data survives."""
    history = scripted()
    random = Random(3)
    count = 0
    assert history.store.totals.compactions >= 2
    for number, size in cuts(history.disk.ops):
        min_sequence = history.guaranteed(number)
        max_sequence = history.possible(number)
        for keep in ("all", "none", "any"):
            found = Store.open(image(history.disk.ops, number, size, keep, random), SMALL)
            state = contents(found)
            assert min_sequence <= found.sequence <= max_sequence, (number, size, keep)
            assert state == history.states[found.sequence], (number, size, keep)
            count += 1
            if count % 50 == 0:  # a second opening finds the same state, and the store is writable
                disk = found._disk
                sequence = found.sequence
                found.close()
                reopened = Store.open(disk, SMALL)
                assert contents(reopened) == state
                assert reopened.sequence == sequence
                reopened.commit([(b"after", b"1")])
                assert contents(reopened) == {**state, b"after": b"1"}
    print(f"{count} cuts")
    assert count > 10_000


def test_a_second_crash_during_the_repair_loses_nothing() -> None:
    history = scripted()
    random = Random(5)
    points = list(cuts(history.disk.ops))
    for number, size in random.sample(points, 60):
        first = image(history.disk.ops, number, size, "any", random)
        before = {name: bytes(file.data) for name, file in first.files.items()}
        Store.open(first, SMALL)
        for at, part in cuts(first.ops):
            second = SimDisk()
            prefix = [
                op
                for name, data in before.items()
                for op in (("create", name, b""), ("append", name, data), ("sync", name, b""))
            ]
            ops = [*prefix, ("sync_folder", "", b""), *first.ops]
            second = image(ops, at + len(prefix) + 1, part, "any", random)
            found = Store.open(second, SMALL)
            assert history.guaranteed(number) <= found.sequence <= history.possible(number)
            assert contents(found) == history.states[found.sequence]


def test_files_truncated_at_any_byte_keep_the_complete_commits(tmp_path: Path) -> None:
    """The last segment in a directory is truncated at each byte and opened as usual."""
    store = Store.open(Folder(tmp_path / "whole"), SMALL)
    ends = [store.used_bytes]
    for number in range(12):
        store.commit([(b"k%d" % (number % 5), b"v%d" % number)])
        if number == 5:
            assert store.compact_step(force=True) or True
        ends.append(store.used_bytes)
    last = store.segments[-1]
    before = sum(segment.valid_bytes for segment in store.segments[:-1])
    store.close()
    data = (tmp_path / "whole" / last.name).read_bytes()
    for size in range(frame.HEAD_BYTES, len(data) + 1):
        folder = tmp_path / "cut"
        shutil.copytree(tmp_path / "whole", folder)
        (folder / last.name).write_bytes(data[:size])
        found = Store.open(Folder(folder), SMALL)
        commits = sum(end <= before + size for end in ends) - 1
        assert contents(found) == {b"k%d" % (n % 5): b"v%d" % n for n in range(commits)}
        found.close()
        shutil.rmtree(folder)


def fail_after(operation: str, calls: int, code: int) -> Callable[[str, str, int], int]:
    """After ``calls`` successful calls of an operation the next one fails; a full disk writes half of it."""
    remaining = [calls]

    def fault(called: str, name: str, size: int) -> int:
        if called == operation:
            remaining[0] -= 1
            if remaining[0] == -1:
                if operation == "append" and code == errno.ENOSPC:
                    return size // 2
                raise OSError(code, os.strerror(code))
        return size

    return fault


def crashed(disk: SimDisk, keep: str, random: Random) -> SimDisk:
    """The disk after a crash; its initial contents are recorded as synced operations."""
    found = image(disk.ops, len(disk.ops), 0, keep, random)
    files = {name: bytes(file.data) for name, file in found.files.items()}
    found.ops = [
        op
        for name, data in files.items()
        for op in (("create", name, b""), ("append", name, data), ("sync", name, b""))
    ]
    found.ops.append(("sync_folder", "", b""))
    return found


def test_a_full_disk_makes_the_store_read_only_until_it_is_writable_again() -> None:
    disk = SimDisk()
    store = Store.open(disk)
    store.commit([(b"a", b"1")])

    def is_full(operation: str, name: str, size: int) -> int:
        if operation != "read":
            raise OSError(errno.ENOSPC, "No space left on device")
        return size

    disk.faults = is_full
    for _ in range(2):
        with pytest.raises(StoreWriteError, match="No space left"):
            store.commit([(b"b", b"1")])
    assert store.state is StoreState.READ_ONLY
    assert not store.heal()
    assert store.get(b"a") == b"1"
    disk.faults = lambda operation, name, size: size
    assert store.heal()
    store.commit([(b"b", b"2")])
    assert contents(store) == {b"a": b"1", b"b": b"2"}


def test_the_store_stays_within_its_maximum_size_and_deletions_free_space() -> None:
    bounds = plan.Bounds(segment_bytes=1000, max_bytes=8000)
    disk = SimDisk()
    store = Store.open(disk, bounds)
    random = Random(1)
    stored = []
    with pytest.raises(StoreFullError):
        for number in range(1000):
            store.commit([(b"%d" % number, random.randbytes(100))])
            stored.append(number)
            while store.compact_step():
                pass
    assert len(stored) > 40
    assert store.used_bytes <= 7000
    store.commit([(b"%d" % number, None) for number in stored[::2]], use_reserve=True)
    while store.compact_step():
        pass
    assert store.used_bytes < 5500
    assert sum(len(file.data) for file in disk.files.values()) < 8000
    store.commit([(b"again", b"1")])


def test_a_flipped_bit_before_the_last_commit_is_reported_as_damage_with_its_position() -> None:
    """Guards against treating damage as a torn end, which would discard durable changes."""
    history = History(plan.Bounds())
    for number in range(20):
        history.commit((b"key%d" % number, b"value"))
    name = history.store.segments[-1].name
    original = bytes(history.disk.files[name].data)
    last = frame.FRAME_BYTES + len(b"key19value")
    for at in range(frame.HEAD_BYTES, len(original)):
        files = {name: bytes(file.data) for name, file in history.disk.files.items()}
        files[name] = original[:at] + bytes([original[at] ^ 1 << at % 8]) + original[at + 1 :]
        if at < len(original) - last:
            with pytest.raises(DamagedStoreError, match=f"{name}: byte"):
                Store.open(SimDisk(files))
            assert inspect_store(SimDisk(files)).exit_code == 2
        else:  # in the last commit, damage cannot be distinguished from a torn end
            assert len(Store.open(SimDisk(files))) == 19


def test_errors_name_the_corrupt_segment_or_manifest_and_newer_formats() -> None:
    history = scripted()
    files = {name: bytes(file.data) for name, file in history.disk.files.items()}
    sealed = history.store.segments[0].name

    def open_with(**changed: bytes | None) -> None:
        changed_files = {name: data for name, data in {**files, **changed}.items() if data is not None}
        Store.open(SimDisk(changed_files), SMALL)

    with pytest.raises(
        DamagedStoreError, match=f"{sealed}: the segment is missing, but the manifest names it"
    ):
        open_with(**{sealed: None})
    with pytest.raises(DamagedStoreError, match=f"{sealed}: .* bytes were durable"):
        open_with(**{sealed: files[sealed][:-1]})
    middle = len(files[sealed]) // 2
    with pytest.raises(DamagedStoreError, match=sealed):
        open_with(**{sealed: files[sealed][:middle] + b"\xff\xff" + files[sealed][middle + 2 :]})
    with pytest.raises(DamagedStoreError, match="MANIFEST: the manifest is missing"):
        open_with(MANIFEST=None)
    with pytest.raises(DamagedStoreError, match="MANIFEST: the file is not a manifest"):
        open_with(MANIFEST=b"x")
    newer = manifest.HEAD.pack(manifest.MAGIC, frame.FORMAT + 1, 0, 0)
    with pytest.raises(NewerFormatError, match="MANIFEST: format 2; this program reads formats up to 1"):
        open_with(MANIFEST=newer)
    head = frame.HEAD.pack(frame.MAGIC, frame.FORMAT + 1, 1, 0)
    with pytest.raises(NewerFormatError, match=f"{sealed}: format 2"):
        open_with(**{sealed: head + files[sealed][len(head) :]})
    with pytest.raises(DamagedStoreError, match="has the head of another"):
        open_with(**{sealed: files[history.store.segments[-1].name] + b"x" * 1000})


def test_foreign_files_are_kept_and_orphaned_store_files_are_removed() -> None:
    disk = SimDisk({"notes.txt": b"mine", "00000009.seg": frame.encode_head(9, 0), "MANIFEST.new": b"half"})
    Store.open(disk)
    assert disk.names() == ["00000001.seg", "MANIFEST", "notes.txt"]


def test_compaction_frees_dead_records_and_keeps_concurrent_changes() -> None:
    disk = SimDisk()
    store = Store.open(disk, plan.Bounds(segment_bytes=200_000))
    model = {}
    for number in range(6000):
        model[b"%d" % (number % 3000)] = b"%d" % number * 30
        store.commit([(b"%d" % (number % 3000), b"%d" % number * 30)])
    steps = 0
    before = store.used_bytes
    while store.compact_step(force=steps == 0):
        steps += 1
        key = b"%d" % (steps * 7)
        if steps % 2:
            store.commit([(key, None)])
            del model[key]
        else:
            store.commit([(key, b"new")])
            model[key] = b"new"
    assert steps > 4
    assert store.totals.compactions
    assert store.used_bytes < before / 2
    assert contents(store) == model
    assert (
        contents(Store.open(SimDisk({name: bytes(file.data) for name, file in disk.files.items()}))) == model
    )


def test_a_store_opens_in_only_one_process_and_fails_on_a_read_only_directory(tmp_path: Path) -> None:
    store = Store.open(Folder(tmp_path))
    code = (
        "import sys, pathlib\nfrom slipbay.store.disk import Folder\n"
        "from slipbay.store.errors import StoreInUseError\n"
        "from slipbay.store.engine import Store\n"
        "try: Store.open(Folder(pathlib.Path(sys.argv[1])))\n"
        "except StoreInUseError as problem: print(problem)"
    )
    process = subprocess.run([sys.executable, "-c", code, str(tmp_path)], capture_output=True, text=True)
    assert "another process has this store open" in process.stdout, process.stderr
    with pytest.raises(StoreInUseError):
        Store.open(Folder(tmp_path))
    store.commit([(b"a", b"1")])
    assert inspect_store(Folder(tmp_path, writable=False)).records == {b"a": b"1"}  # reading needs no lock
    store.close()
    assert contents(Store.open(Folder(tmp_path))) == {b"a": b"1"}
    assert stat.S_IMODE((tmp_path / "MANIFEST").stat().st_mode) == 0o600
    disk = SimDisk()

    def read_only(operation: str, name: str, size: int) -> int:
        if operation in ("create", "append"):
            raise OSError(errno.EROFS, "Read-only file system")
        return size

    disk.faults = read_only
    with pytest.raises(OSError, match="Read-only"):
        Store.open(disk)
    assert not disk.locked


def test_compaction_merges_the_oldest_segments_if_that_frees_enough() -> None:
    bounds = plan.Bounds(1000, 10_000)
    sizes = plan.SegmentSizes
    assert plan.choose_merge_count([], 0, bounds) == 0
    assert plan.choose_merge_count([sizes(1000, 900)] * 3, 3000, bounds) == 0
    assert plan.choose_merge_count([sizes(1000, 100), sizes(1000, 900)], 2000, bounds) == 1
    assert plan.choose_merge_count([sizes(1000, 0), sizes(1000, 0), sizes(1000, 900)], 3000, bounds) == 2
    # nearly full: a merge that frees little is worthwhile, but not one that frees very little
    assert plan.choose_merge_count([sizes(1000, 800)] * 8, 8000, bounds) == 8
    assert plan.choose_merge_count([sizes(1000, 900)] * 8, 8000, bounds) == 0
    assert (
        plan.choose_merge_count([sizes(10, 10)] * (plan.MAX_SEALED + 1), 650, bounds) == plan.MAX_SEALED + 1
    )
    assert [plan.records_per_step(used, bounds) // plan.RECORDS_PER_STEP for used in (4999, 5000, 7500)] == [
        1,
        4,
        16,
    ]
    assert plan.has_room(8700, 50, False, bounds)
    assert not plan.has_room(8700, 51, False, bounds)
    assert plan.has_room(9999, 1, True, bounds)
    assert not plan.has_room(10_000, 1, True, bounds)


def test_an_inspection_distinguishes_torn_ends_from_damage_and_writes_nothing() -> None:
    history = scripted()
    files = {name: bytes(file.data) for name, file in history.disk.files.items()}
    active = history.store.segments[-1].name
    assert inspect_store(SimDisk(files)).exit_code == 0
    assert inspect_store(SimDisk(files)).records == history.states[-1]
    disk = SimDisk({**files, active: files[active][:-1], "x": b"", "00000077.seg": b""})
    found = inspect_store(disk)
    assert (found.exit_code, found.orphans, found.foreign) == (1, ["00000077.seg"], ["x"])
    assert found.torn_bytes
    assert not disk.ops
    assert (
        inspect_store(SimDisk({})).problem == "MANIFEST: the manifest is missing; the folder holds no store"
    )


# The writer


class BlockingDisk:
    """A disk whose syncs wait until ``may_sync`` is set."""

    def __init__(self) -> None:
        self.disk, self.may_sync, self.sync_reached = SimDisk(), threading.Event(), threading.Event()
        self.may_sync.set()
        self.disk.faults = self._wait

    def _wait(self, operation: str, name: str, size: int) -> int:
        if operation == "sync":
            self.sync_reached.set()
            assert self.may_sync.wait(10)
        return size


def poster(loop: asyncio.AbstractEventLoop) -> Callable[[Callable[[], None]], None]:
    return lambda call: discard(loop.call_soon_threadsafe(call))


def discard(handle: object) -> None:
    """Ignore a return value."""


async def opened(disk: SimDisk, grouping: Grouping | None = None) -> Writer:
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[str] = loop.create_future()
    writer = Writer(lambda: Store.open(disk), grouping or Grouping(), poster(loop))
    writer.start(lambda store: dict(store.items()), lambda contents, problem: ready.set_result(problem))
    assert await ready == ""
    return writer


def test_appends_are_grouped_and_reported_in_order_while_the_disk_is_slow() -> None:
    async def test() -> None:
        blocking = BlockingDisk()
        reported = list[int]()
        writer = await opened(blocking.disk)
        blocking.may_sync.clear()
        blocking.sync_reached.clear()
        all_reported = asyncio.Event()

        def done(number: int, problem: StoreError | None) -> None:
            assert problem is None
            reported.append(number)
            if len(reported) == 50:
                all_reported.set()

        for number in range(50):
            writer.append([(b"%d" % number, b"")], partial(done, number))
            if number == 0:
                await asyncio.to_thread(blocking.sync_reached.wait)
        await asyncio.sleep(0)
        assert reported == []  # the event loop is not blocked, and nothing is reported before it is durable
        syncs = sum(op[0] == "sync" for op in blocking.disk.ops)
        blocking.may_sync.set()
        await all_reported.wait()
        assert reported == list(range(50))
        assert sum(op[0] == "sync" for op in blocking.disk.ops) - syncs == 2
        writer.close()

    asyncio.run(asyncio.wait_for(test(), 20))


def test_a_failing_disk_is_reported_and_retried() -> None:
    async def test() -> None:
        disk = SimDisk()
        loop = asyncio.get_running_loop()
        writer = await opened(disk, Grouping(retry_delay_us=1000))

        async def append(key: bytes) -> StoreError | None:
            answer: asyncio.Future[StoreError | None] = loop.create_future()
            writer.append([(key, b"1")], answer.set_result)
            return await answer

        def failing(operation: str, name: str, size: int) -> int:
            if operation != "read":
                raise OSError(errno.EIO, "Input/output error")
            return size

        assert await append(b"a") is None
        disk.faults = failing
        assert isinstance(await append(b"b"), StoreWriteError)
        assert writer.health.state is StoreState.READ_ONLY
        disk.faults = lambda operation, name, size: size
        while writer.health.problem:
            await asyncio.sleep(0.001)
        assert await append(b"c") is None
        value: asyncio.Future[bytes | None] = loop.create_future()
        writer.get(b"c", value.set_result)
        assert await value == b"1"
        writer.close()
        assert contents(Store.open(disk)) == {b"a": b"1", b"c": b"1"}

    asyncio.run(asyncio.wait_for(test(), 20))


def test_each_append_fails_if_the_store_cannot_be_opened() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        opened: asyncio.Future[str] = loop.create_future()
        corrupt = SimDisk({"MANIFEST": b"x"})
        writer = Writer(lambda: Store.open(corrupt), Grouping(), poster(loop))
        writer.start(lambda store: None, lambda contents, problem: opened.set_result(problem))
        assert "not a manifest" in await opened
        answer: asyncio.Future[StoreError | None] = loop.create_future()
        writer.append([(b"a", b"")], answer.set_result)
        assert isinstance(await answer, StoreWriteError)
        writer.close()

    asyncio.run(asyncio.wait_for(test(), 20))
