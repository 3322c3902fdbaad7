"""Reads ``deploy/store.toml``: the folder of the durable store, its limits, and how its loss is detected."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING

from slipbay.config.model import Config, LossConfig, StoreConfig
from slipbay.config.validation import ConfigError, convert, read_if_enabled, require_msgspec

if TYPE_CHECKING:
    from slipbay.store.config_schema import StoreFile

KEY_BYTES = 850  # memory for each stored key, in the index and in the ledger (docs/store.md)
DEFAULT_MAX_KEYS = 100_000
MAX_ANSWER_KB = 4096  # of an answer that is stored for a repeat
MIN_SEGMENTS = 4  # that must fit in the store's size limit

RELOADABLE_FIELDS = ("retention_us", "most_answer_bytes", "most_keys", "later_us", "stop_on_failure")
"""Fields of ``StoreConfig`` that a reload applies to a running router."""

FRONTS = {"jsonrpc": b"json", "mysql": b"mysql"}
"""Frontends as store.toml names them, and the prefix of the keys of their requests."""


def load_store(config: Config, path: Path) -> StoreConfig | None:
    """Return the durable store's configuration; None if the file is absent or has ``enabled = false``.

    Raises:
        ConfigError: with the name of the file and the key at fault.
    """
    if (data := read_if_enabled(path)) is None:
        return None
    require_msgspec(path.name, "store")
    from slipbay.store.config_schema import StoreFile

    file = convert(data, StoreFile, path.name)
    try:
        return _store(config, file, path.parent)
    except ConfigError as problem:
        raise problem.in_file(path.name) from None


def store_changes(old: StoreConfig | None, new: StoreConfig | None) -> list[str]:
    """Return the fields of the store's configuration that differ and take effect only at the next start."""
    if old is None or new is None:
        return [] if old is new else ["store"]
    return [
        f"store.{item.name}"
        for item in fields(new)
        if item.name not in RELOADABLE_FIELDS and getattr(old, item.name) != getattr(new, item.name)
    ]


def _store(config: Config, file: StoreFile, folder: Path) -> StoreConfig:
    _check_sizes(file)
    commit = file.commit
    keep = file.keep
    return StoreConfig(
        folder=folder / file.folder,
        segment_bytes=int(file.segment_mb * 1024 * 1024),
        most_bytes=int(file.most_mb * 1024 * 1024),
        group_records=int(commit.most_records),
        group_bytes=int(commit.most_kb * 1024),
        group_wait_us=int(commit.wait_us),
        retry_us=int(commit.retry_ms * 1000),
        retention_us=int(keep.retention_h * 3600 * 1_000_000),
        most_answer_bytes=int(keep.answer_kb * 1024),
        most_keys=_max_keys(config, file),
        recovery_us=int(file.recovery.most_s * 1_000_000),
        later_us=int(file.later_ms * 1000),
        stop_on_failure=file.when_it_cannot_write == "stop",
        loss=_loss(file, folder) if file.loss.enabled else None,
    )


def _check_sizes(file: StoreFile) -> None:
    if file.segment_mb * MIN_SEGMENTS > file.most_mb:
        raise ConfigError(
            f"want at least four times segment_mb ({file.segment_mb:g}); got {file.most_mb:g}", "most_mb"
        )
    answer_kb = file.keep.answer_kb
    if answer_kb > MAX_ANSWER_KB or answer_kb * 1024 > file.segment_mb * 1024 * 1024 / 2:
        raise ConfigError(
            f"want at most {MAX_ANSWER_KB} and half of segment_mb; got {answer_kb:g}", "keep.answer_kb"
        )


def _max_keys(config: Config, file: StoreFile) -> int:
    """Return the maximum number of stored keys: the configured one, or a default that fits in half of the
    memory."""
    fitting_keys = config.limits.memory_mb * 1024 * 1024 // 2 // KEY_BYTES
    configured = file.keep.most_keys
    max_keys = int(configured if configured is not None else min(DEFAULT_MAX_KEYS, fitting_keys))
    if max_keys > fitting_keys:
        raise ConfigError(
            f"{max_keys} keys would take more than half of limits.memory_mb ({config.limits.memory_mb})",
            "keep.most_keys",
        )
    return max_keys


def _loss(file: StoreFile, folder: Path) -> LossConfig:
    loss = file.loss
    window_s = _check_window(file)
    if loss.anywhere and not loss.marked:
        raise ConfigError(
            "want frontends in loss.marked, as only their marks distinguish a first request "
            "from a repeat of one that another router ran",
            "loss.anywhere",
        )
    marker = folder / loss.marker if loss.marker is not None else None
    if marker is not None:
        _check_marker(marker, folder / file.folder)
    if marker is not None and loss.fleet:
        raise ConfigError("want false if loss.marker is set, as a marker detects more", "loss.fleet")
    return LossConfig(
        int(window_s * 1_000_000),
        tuple(FRONTS[name] for name in loss.marked),
        loss.anywhere,
        marker,
        loss.fleet,
    )


def _check_window(file: StoreFile) -> float:
    """Return the time (s) within which clients repeat requests; at most the retention of keys."""
    retention_s = file.keep.retention_h * 3600
    window_s = retention_s if file.loss.repeat_window_s is None else file.loss.repeat_window_s
    if window_s > retention_s:
        raise ConfigError(
            f"want at most keep.retention_h ({retention_s:g} s), as keys are not stored for longer; "
            f"got {window_s:g}",
            "loss.repeat_window_s",
        )
    return window_s


def _check_marker(marker: Path, store_folder: Path) -> None:
    try:
        is_inside = marker.resolve().is_relative_to(store_folder.resolve())
    except (OSError, RuntimeError) as problem:  # a loop of symbolic links
        raise ConfigError(str(problem), "loss.marker") from None
    if is_inside:
        raise ConfigError(
            "want a file outside of the store's folder, preferably on another disk", "loss.marker"
        )
