"""Logs what the router holds while its resident memory is near the platform's limit."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from contextlib import suppress

from slipbay.core.timers import Timers
from slipbay.log import log

CHECK_US = 500_000
NEAR_LIMIT = (3, 4)  # of the limit
MIB = 1024 * 1024


def resident_bytes() -> int:
    """The resident memory of this process; 0 if the system does not tell it."""
    with suppress(OSError, ValueError, IndexError), open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return 0


class MemoryWatch:
    """Compares the resident memory with the limit at intervals."""

    def __init__(
        self,
        timers: Timers,
        limit_mb: int,
        holders: Callable[[], Mapping[str, int]],
        read_resident_bytes: Callable[[], int] = resident_bytes,
    ) -> None:
        """``holders`` returns sizes and numbers of what is held, by name."""
        self._timers = timers
        self._limit_mb = limit_mb
        self._holders = holders
        self._read_resident_bytes = read_resident_bytes
        timers.after(CHECK_US, self._check)

    def _check(self) -> None:
        resident_mb = self._read_resident_bytes() // MIB
        numerator, denominator = NEAR_LIMIT
        if resident_mb * denominator >= self._limit_mb * numerator:
            log(
                "memory",
                "resident memory is near the limit",
                resident_mb=resident_mb,
                limit_mb=self._limit_mb,
                **self._holders(),
            )
        self._timers.after(CHECK_US, self._check)
