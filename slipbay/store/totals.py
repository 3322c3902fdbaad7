"""Counters of a store's operations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Totals:
    """Counters since the store was opened."""

    commits: int = 0
    changes: int = 0
    bytes_appended: int = 0  # by commits
    bytes_copied: int = 0  # by compaction, after compression
    compactions: int = 0
    failures: int = 0
