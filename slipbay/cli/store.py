"""``slipbay store``: inspects and maintains the durable store of a router (docs/operate-store.md)."""

from __future__ import annotations

import fcntl
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import click

from slipbay.cli.output import fail
from slipbay.cli.store_records import describe

DIRECTORY = click.Path(exists=True, file_okay=False, path_type=Path)


@click.group()
def store() -> None:
    """Inspect and maintain the durable store of a router (docs/operate-store.md)."""


def _survey(directory: Path) -> Any:
    try:
        from slipbay.store.disk import Folder
        from slipbay.store.inspect import inspect_store
    except ImportError as problem:
        fail(f"this needs the extra packages of slipbay[store]: {problem}")
    try:
        return inspect_store(Folder(directory, writable=False))
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")


def _is_in_use(directory: Path) -> bool:
    """Return whether a process has the store open."""
    try:
        fd = os.open(directory / "LOCK", os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    finally:
        os.close(fd)
    return False


@store.command()
@click.argument("directory", type=DIRECTORY)
def status(directory: Path) -> None:
    """Show the segments, the size and the records of a store, with the records counted by state."""
    found = _survey(directory)
    sizes = [
        (segment, (directory / segment.name).stat().st_size)
        for segment in found.segments
        if (directory / segment.name).exists()
    ]
    click.echo(f"in use     {'yes' if _is_in_use(directory) else 'no'}")
    click.echo(f"state      {found.problem or ('torn end' if found.torn_bytes else 'sound')}")
    click.echo(f"segments   {len(found.segments)}, {sum(size for _, size in sizes)} bytes")
    for segment, size in sizes:
        kind = "compacted" if segment.compacted else "log" if segment.valid_bytes else "log, written to"
        click.echo(f"  {segment.name}  {size:>12} bytes  after change {segment.base_sequence}  {kind}")
    _show_generation(found)
    click.echo(f"changes    {found.sequence}")
    click.echo(f"records    {len(found.records)}")
    counts = Counter(describe(key, value)["state"] for key, value in found.records.items())
    for state, count in sorted(counts.items()):
        click.echo(f"  {state:<14} {count}")
    for name in found.orphans:
        click.echo(f"left over  {name}; the next start removes it")
    for name in found.foreign:
        click.echo(f"foreign    {name}; it is left alone")


def _show_generation(found: Any) -> None:
    from slipbay.idempotency import store_generation

    value = found.records.get(store_generation.IDENTITY_KEY)
    if value is not None:
        identity = store_generation.decode(value)
        click.echo(
            f"store      {identity.store_id.hex()}, generation {identity.generation}"
            + (
                f", uncertain for {identity.uncertainty_us / 1e6:.1f} s more"
                if identity.uncertainty_us
                else ""
            )
        )
        if identity.adoption_reason:
            click.echo(
                f"adopted    {identity.adoption_reason}"
                + ("" if identity.generation else "; for the next start")
            )


@store.command()
@click.argument("directory", type=DIRECTORY)
@click.option("--because", required=True, metavar="TEXT", help="The reason; it is stored and logged.")
def adopt(directory: Path, because: str) -> None:
    """Declare that a store, which no router has open, holds all loads that clients may repeat.

    The next start, and only that one, accepts the store as up to date, whatever marker or peers report. Also
    makes a store of an empty folder, for a first start. If the declaration is wrong, loads may run twice.
    Exit code 0; 2 if it cannot be done.
    """
    _survey(directory)  # fails with a message if packages are missing
    from slipbay.idempotency import store_generation
    from slipbay.store.disk import Folder
    from slipbay.store.engine import Store
    from slipbay.store.errors import StoreError

    try:
        opened = Store.open(Folder(directory))
        try:
            reason = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime()) + ": " + because.strip()
            identity = store_generation.adopt(
                os.urandom(store_generation.ID_BYTES), reason if because.strip() else ""
            )
            opened.commit(
                [(store_generation.IDENTITY_KEY, store_generation.encode(identity))], use_reserve=True
            )
            click.echo(
                f"store {identity.store_id.hex()[:8]} is taken for the newest at its next start: {reason}"
            )
        finally:
            opened.close()
    except (StoreError, ValueError) as problem:
        fail(str(problem))
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")


@store.command()
@click.argument("directory", type=DIRECTORY)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object a line.")
def dump(directory: Path, as_json: bool) -> None:
    """Print every live record, sorted by its key. Writes nothing; the store may be in use by a router.

    Exit code 2 if the store is damaged: then the readable records are printed.
    """
    found = _survey(directory)
    for key, value in sorted(found.records.items(), key=lambda item: (item[0][1:], item[0][:1])):
        record = describe(key, value)
        if as_json:
            click.echo(json.dumps(record, ensure_ascii=False))
        else:
            state = record.pop("state")
            name = record.pop("key")
            record.pop("value_base64", None)
            click.echo(
                f"{state:<14} {name}  " + " ".join(f"{field}={content}" for field, content in record.items())
            )
    if found.problem:
        fail(found.problem)


@store.command()
@click.argument("directory", type=DIRECTORY)
def verify(directory: Path) -> None:
    """Read every byte of a store. Writes nothing.

    Exit code 0: no damage. 1: a torn end, which belongs to a change that was never confirmed as durable; the
    next start truncates it. 2: damage, with its position.
    """
    found = _survey(directory)
    if found.problem:
        fail(f"damaged: {found.problem}")
    if found.torn_bytes:
        click.echo(
            f"torn end: {found.torn_bytes} bytes behind change {found.sequence}; the next start cuts them off"
        )
        sys.exit(1)
    click.echo(f"sound: {len(found.records)} records, {found.sequence} changes")


@store.command()
@click.argument("directory", type=DIRECTORY)
def compact(directory: Path) -> None:
    """Merge all segments of a store that no router has open: drop dead records, compress live ones."""
    _survey(directory)  # fails with a message if packages are missing
    from slipbay.store.disk import Folder
    from slipbay.store.engine import Store
    from slipbay.store.errors import StoreError

    if not (directory / "MANIFEST").exists():
        fail(f"{directory}: there is no store")
    try:
        opened = Store.open(Folder(directory))
        try:
            before = opened.used_bytes
            records = len(opened)
            opened.compact_step(force=True)
            while opened.compact_step():
                pass
            click.echo(f"{records} records, {before} bytes before, {opened.used_bytes} now")
        finally:
            opened.close()
    except StoreError as problem:
        fail(str(problem))
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
