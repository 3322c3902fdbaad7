"""The obligations of every store (docs/contracts.md, S1 to S8), and stores that break one of them each."""

from __future__ import annotations

import errno
import shutil
import tempfile
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, Protocol, TypeAlias

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from obligations import Broken, held, suite
from sim_disk import SimDisk, SimHandle
from test_store import SMALL, crashed, fail_after

from slipbay.store import frame, manifest
from slipbay.store.disk import FileHandle, Folder, Handle
from slipbay.store.engine import Change, Store, StoreState
from slipbay.store.errors import StoreError, StoreInUseError, StoreWriteError

Contents = dict[bytes, bytes]
KEYS = st.sampled_from([b"a", b"b", b"c", b"long" * 9])
Fault: TypeAlias = tuple[str, int, int]  # operation, number of successful calls before the fault, errno
FAULTS = st.tuples(
    st.sampled_from(["append", "sync", "create", "rename", "sync_folder"]),
    st.integers(0, 3),
    st.sampled_from([errno.ENOSPC, errno.EIO]),
)
CHANGES = st.lists(st.tuples(KEYS, st.none() | st.binary(max_size=90)), min_size=1, max_size=4)


class Medium(Protocol):
    """The storage of a store and the faults that can be simulated; ``open`` opens the store under test."""

    full: bool  # no byte can be written
    has_fault: bool  # a call to the disk fails later, or has failed

    def open(self) -> Any: ...

    def crash(self, keep: str, random: Random) -> Medium:
        """The medium after a loss of power.

        ``keep`` decides which unsynced data it contains: "all", "none" or "any". A medium that can simulate
        only a crash of the process may keep all data.
        """

    def newer(self) -> Medium:
        """A copy in the format of a later release."""

    def incomplete(self) -> Medium | None:
        """A copy without a file that the manifest names; None if there is no such file yet."""

    def state(self) -> object:
        """The complete contents, for comparison."""

    def inject(self, fault: Fault) -> None:
        """Make a later call to the disk fail, if the medium supports it."""

    def remove(self) -> None: ...


class SimulatedMedium:
    """The store on the simulated disk."""

    def __init__(self, disk: SimDisk | None = None) -> None:
        self.disk = disk or SimDisk()
        self.full = False
        self.has_fault = False
        self.disk.faults = self._fault

    def inject(self, fault: Fault) -> None:
        self._fail_once = fail_after(*fault)
        self.has_fault = True

    def _fault(self, operation: str, name: str, size: int) -> int:
        if self.full and operation == "append":
            return size // 2
        return self._fail_once(operation, name, size) if self.has_fault else size

    def open(self) -> Store:
        return Store.open(self.disk, SMALL)

    def crash(self, keep: str, random: Random) -> Medium:
        return type(self)(crashed(self.disk, keep, random))

    def _copy(self, **changed: bytes | None) -> Medium:
        files: dict[str, bytes | None] = {name: bytes(file.data) for name, file in self.disk.files.items()}
        return type(self)(SimDisk({n: data for n, data in {**files, **changed}.items() if data is not None}))

    def newer(self) -> Medium:
        return self._copy(MANIFEST=NEWER)

    def incomplete(self) -> Medium | None:
        sealed = manifest.decode(self.disk.read(manifest.NAME)).segments[:-1]
        return self._copy(**{sealed[0].name: None}) if sealed else None

    def state(self) -> object:
        return {name: bytes(file.data) for name, file in self.disk.files.items()}

    def remove(self) -> None:
        pass


NEWER = manifest.HEAD.pack(manifest.MAGIC, frame.FORMAT + 1, 0, 0)


class LimitedFolder(Folder):
    """A directory whose disk can be full."""

    full = False

    def create(self, name: str) -> Handle:
        folder = self

        class LimitedFile(FileHandle):
            def append(self, data: bytes) -> None:
                if folder.full:
                    raise OSError(errno.ENOSPC, "No space left on device")
                super().append(data)

        return LimitedFile(self.path / name)


class RealFolder:
    """The store in a directory of the file system; only crashes of the process can be simulated."""

    has_fault = False

    def __init__(self, path: Path | None = None) -> None:
        self.path = path or Path(tempfile.mkdtemp())
        self._folders: list[LimitedFolder] = []

    @property
    def full(self) -> bool:
        return any(folder.full for folder in self._folders)

    @full.setter
    def full(self, value: bool) -> None:
        for folder in self._folders:
            folder.full = value

    def open(self) -> Store:
        folder = LimitedFolder(self.path)
        self._folders.append(folder)
        return Store.open(folder, SMALL)

    def crash(self, keep: str, random: Random) -> Medium:
        return self._copy()

    def _copy(self) -> RealFolder:
        copy = RealFolder()
        shutil.copytree(self.path, copy.path, dirs_exist_ok=True)
        return copy

    def newer(self) -> Medium:
        copy = self._copy()
        (copy.path / manifest.NAME).write_bytes(NEWER)
        return copy

    def incomplete(self) -> Medium | None:
        copy = self._copy()
        sealed = manifest.decode((copy.path / manifest.NAME).read_bytes()).segments[:-1]
        if not sealed:
            copy.remove()
            return None
        (copy.path / sealed[0].name).unlink()
        return copy

    def state(self) -> object:
        return {file.name: file.read_bytes() for file in self.path.iterdir() if file.name != "LOCK"}

    def inject(self, fault: Fault) -> None: ...

    def remove(self) -> None:
        shutil.rmtree(self.path)


class Memory:
    """The simplest store that meets the contract, in memory; a crash keeps a prefix of ``unsynced``."""

    def __init__(self, synced: list[Change] | None = None) -> None:
        self.synced = synced or []
        self.unsynced: list[Change] = []  # changes of a commit that was written in part
        self.full = False
        self.has_fault = False
        self.locked = False
        self.format = 1
        self.is_complete = True

    def open(self) -> Any:
        if self.locked:
            raise StoreInUseError("in use")
        if self.format > 1 or not self.is_complete:
            raise StoreError("newer format, or incomplete")
        self.locked = True
        return self.store(self)

    def crash(self, keep: str, random: Random) -> Medium:
        count = {"all": len(self.unsynced), "none": 0}.get(keep, random.randint(0, len(self.unsynced)))
        return type(self)(self.synced + self.unsynced[:count])

    def _copy(self) -> Memory:
        return type(self)(list(self.synced))

    def newer(self) -> Medium:
        copy = self._copy()
        copy.format = 2
        return copy

    def incomplete(self) -> Medium | None:
        copy = self._copy()
        copy.is_complete = False
        return copy

    def state(self) -> object:
        return list(self.synced)

    def inject(self, fault: Fault) -> None: ...

    def remove(self) -> None:
        pass

    class store:  # noqa: N801
        def __init__(self, medium: Memory) -> None:
            self.medium = medium
            self.state = StoreState.WRITABLE

        def commit(self, changes: list[Change], use_reserve: bool = False) -> None:
            if self.medium.full:
                self.medium.unsynced = changes[: len(changes) // 2]
                raise StoreWriteError("no space left")
            self.medium.synced += changes
            self.medium.unsynced = []

        def items(self) -> Iterator[tuple[bytes, bytes]]:
            yield from {k: v for k, v in dict(self.medium.synced).items() if v is not None}.items()

        def get(self, key: bytes) -> bytes | None:
            return dict(self.items()).get(key)

        def compact_step(self, force: bool = False) -> bool:
            self.medium.synced[:] = self.items()
            return False

        def heal(self) -> bool:
            return True

        def close(self) -> None:
            self.medium.locked = False


class StoreContract(RuleBasedStateMachine):
    make: Callable[[], Medium]

    def __init__(self) -> None:
        super().__init__()
        self.medium = type(self).make()
        self.random = Random(1)
        self.store = self.medium.open()
        self.model: Contents = {}  # the acknowledged changes
        self.possible: list[Contents] = []  # further states that a crash may leave, after failed commits

    @initialize()
    def begin(self) -> None:
        held(dict(self.store.items()) == {}, "S2", "a new store is not empty")

    @rule(changes=CHANGES)
    def commit(self, changes: list[Change]) -> None:
        states = [self.model]
        for key, value in changes:
            state = {k: v for k, v in states[-1].items() if k != key}
            states.append(state if value is None else {**state, key: value})
        try:
            self.store.commit(changes)
        except StoreWriteError:
            held(self.medium.full or self.medium.has_fault, "S6", "a commit fails although there is space")
            self.possible += states[1:]
        else:
            held(not self.medium.full, "S6", "a commit is acknowledged although nothing can be written")
            self.model = states[-1]
            self.possible = []

    @rule(force=st.booleans())
    def compact(self, force: bool) -> None:
        with suppress(StoreWriteError):
            self.store.compact_step(force=force)
        held(self._contents() == self.model, "S4", "compaction changed the contents")

    @rule(full=st.booleans())
    def fill(self, full: bool) -> None:
        self.medium.full = full
        self.medium.has_fault = self.medium.has_fault and full
        if not full and self.store.state is StoreState.READ_ONLY:
            held(self.store.heal(), "S6", "there is space again, but the store stays read-only")

    @rule(fault=FAULTS)
    def inject(self, fault: Fault) -> None:
        self.medium.inject(fault)

    @rule(keep=st.sampled_from(("all", "none", "any")))
    def crash(self, keep: str) -> None:
        old = self.medium
        self.medium = self.medium.crash(keep, self.random)
        self.store.close()
        old.remove()
        self._open("S1")
        found = self._contents()
        changed = set().union(*(dict(state.items() ^ self.model.items()) for state in self.possible))
        kept = all(found.get(key) == self.model.get(key) for key in found | self.model if key not in changed)
        held(kept, "S1", f"{self.model} was acknowledged, but the store holds {found}")
        held(found in [self.model, *self.possible], "S3", f"{found} is no state of the history")
        self.model = found
        self.possible = []

    @rule(changes=CHANGES, keep=st.sampled_from(("all", "none", "any")))
    def cut(self, changes: list[Change], keep: str) -> None:
        """A commit fails on a full disk, and then the machine crashes."""
        self.fill(True)
        self.commit(changes)
        self.crash(keep)

    @rule()
    @precondition(lambda self: not (self.medium.full or self.medium.has_fault))
    def reopen(self) -> None:
        for _ in range(2):
            self.store.close()
            self._open("S7")
            held(self._contents() == self.model, "S7", "the contents changed when the store was closed")
        self.possible = []  # opening cuts off failed commits

    @rule()
    def open_twice(self) -> None:
        try:
            self.medium.open()
        except StoreInUseError:
            return
        raise Broken("S5", "the store is open twice")

    @rule(key=KEYS)
    def read_value(self, key: bytes) -> None:
        held(self.store.get(key) == self.model.get(key), "S2", "the value is not the last one written")

    @rule()
    def open_invalid(self) -> None:
        for medium in (self.medium.newer(), self.medium.incomplete()):
            if medium is not None:
                before = medium.state()
                try:
                    medium.open()
                except StoreError:
                    held(medium.state() == before, "S8", "a failed opening changed the files")
                else:
                    raise Broken("S8", "a store of a newer format or an incomplete store was opened")
                medium.remove()

    @invariant()
    def acknowledged_changes_are_stored(self) -> None:
        held(self._contents() == self.model, "S2", f"want {self.model}; got {self._contents()}")
        if isinstance(self.store, Store):
            held(
                self.store.live_bytes
                == sum(frame.FRAME_BYTES + len(key) + len(value) for key, value in self.model.items()),
                "S2",
                "the number of live bytes is wrong",
            )

    def _open(self, number: str) -> None:
        try:
            self.store = self.medium.open()
        except StoreError as problem:
            raise Broken(number, f"the store cannot be opened any more: {problem}") from None

    def _contents(self) -> Contents:
        return dict(self.store.items())

    def teardown(self) -> None:
        self.store.close()
        self.medium.remove()


STORES: dict[str, tuple[Callable[[], Medium], int]] = {  # factory of the medium, number of histories
    "simulated disk": (SimulatedMedium, 150),
    "folder": (RealFolder, 6),
    "memory": (Memory, 20),
}


# Broken stores


class NoSync(SimulatedMedium):
    """S1: files are never synced."""

    def __init__(self, disk: SimDisk | None = None) -> None:
        super().__init__(disk)
        create = self.disk.create

        def create_without_sync(name: str) -> SimHandle:
            handle = create(name)
            handle.sync = lambda: None  # type: ignore[method-assign]
            return handle

        self.disk.create = create_without_sync  # type: ignore[method-assign]


class NoFolderSync(SimulatedMedium):
    """S1: directory entries are never synced."""

    def __init__(self, disk: SimDisk | None = None) -> None:
        super().__init__(disk)
        self.disk.sync_folder = lambda: None  # type: ignore[method-assign]


class AcknowledgesWhenFull(SimulatedMedium):
    """S6: a commit that could not be written is acknowledged."""

    def open(self) -> Store:
        store = super().open()
        commit = store.commit

        def commit_without_error(changes: list[Change], use_reserve: bool = False) -> None:
            with suppress(StoreWriteError):
                commit(changes, use_reserve)

        store.commit = commit_without_error  # type: ignore[method-assign]
        return store


class NoLock(SimulatedMedium):
    """S5: a second process can open the store."""

    def open(self) -> Store:
        self.disk.locked = False
        return super().open()


class LosesContentsOnClose(SimulatedMedium):
    """S7: closing the store loses its contents."""

    def open(self) -> Store:
        store = super().open()
        close = store.close

        def close_and_clear() -> None:
            close()
            self.disk.files.clear()

        store.close = close_and_clear  # type: ignore[method-assign]
        return store


class FirstValueWins(Memory):
    """S2: an older value replaces a newer one."""

    class store(Memory.store):  # noqa: N801
        def items(self) -> Iterator[tuple[bytes, bytes]]:
            return iter({k: v for k, v in reversed(self.medium.synced) if v is not None}.items())


class LosesFirstChange(Memory):
    """S3: after a crash, an interrupted commit has its last changes without the first."""

    def crash(self, keep: str, random: Random) -> Medium:
        return type(self)(self.synced + self.unsynced[1:])

    class store(Memory.store):  # noqa: N801
        def commit(self, changes: list[Change], use_reserve: bool = False) -> None:
            if self.medium.full:
                self.medium.unsynced = changes
                raise StoreWriteError("no space left")
            super().commit(changes, use_reserve)


class CompactionRestoresDeleted(Memory):
    """S4: compaction forgets that a key was deleted."""

    class store(Memory.store):  # noqa: N801
        def compact_step(self, force: bool = False) -> bool:
            self.medium.synced[:] = [change for change in self.medium.synced if change[1] is not None]
            return False


class ReadsAnyFormat(Memory):
    """S8: a store of a later release is opened."""

    def newer(self) -> Medium:
        return self._copy()


class ChangesInvalidStore(SimulatedMedium):
    """S8: files are removed before the store is read."""

    def open(self) -> Store:
        self.disk.remove(next(iter(self.disk.files))) if manifest.NAME in self.disk.files and (
            self.disk.files[manifest.NAME].data == NEWER
        ) else None
        return super().open()


BROKEN = (
    NoSync,
    NoFolderSync,
    AcknowledgesWhenFull,
    NoLock,
    LosesContentsOnClose,
    FirstValueWins,
    LosesFirstChange,
    CompactionRestoresDeleted,
    ReadsAnyFormat,
    ChangesInvalidStore,
)

test_each_store_meets_the_contract, test_the_contract_finds_the_broken_obligation = suite(
    StoreContract, STORES, BROKEN
)
