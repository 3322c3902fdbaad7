"""The schema of ``deploy/store.toml``. Imported only if the store is enabled."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

NotNegative = Annotated[float, Meta(ge=0)]
AtLeastOne = Annotated[float, Meta(ge=1)]


class CommitTable(Struct, forbid_unknown_fields=True, frozen=True):
    """How commits are grouped."""

    most_records: AtLeastOne = 256
    most_kb: AtLeastOne = 1024
    wait_us: NotNegative = 0
    retry_ms: AtLeastOne = 1000


class RetentionTable(Struct, forbid_unknown_fields=True, frozen=True):
    """What is stored of a request, and for how long."""

    retention_h: Annotated[float, Meta(ge=0.001)] = 24
    answer_kb: NotNegative = 64
    most_keys: AtLeastOne | None = None  # None: as many as fit into half of the memory limit


class RecoveryTable(Struct, forbid_unknown_fields=True, frozen=True):
    """The time for which a start may query the outcomes of open requests."""

    most_s: Annotated[float, Meta(ge=0.1)] = 10


class LossTable(Struct, forbid_unknown_fields=True, frozen=True):
    """How the loss of a store is detected."""

    enabled: bool = False
    repeat_window_s: Annotated[float, Meta(ge=0.1)] | None = None  # None: as ``keep.retention_h``
    marked: tuple[Literal["jsonrpc", "mysql"], ...] = ()
    anywhere: bool = False
    marker: str | None = None
    fleet: bool = False


class StoreFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The keys of the file and their default values."""

    folder: str
    segment_mb: Annotated[float, Meta(ge=0.01)] = 8
    most_mb: Annotated[float, Meta(ge=0.1)] = 512
    when_it_cannot_write: Literal["refuse", "stop"] = "refuse"
    later_ms: NotNegative = 1000
    commit: CommitTable = CommitTable()
    keep: RetentionTable = RetentionTable()
    recovery: RecoveryTable = RecoveryTable()
    loss: LossTable = LossTable()
