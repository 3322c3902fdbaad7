"""Computes a run's report: service by second, class and tenant, recovery times after actions, and peaks
over the fleet.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from slipbay.rig.platform import CLASSES

WINDOW_S = 0.1  # span over which peaks are counted
# service is full when it stays at this fraction of the earlier service for this many seconds
FULL = 0.95
FULL_S = 1.0
STEP_S = 0.02
BEFORE_S = 10.0  # how many seconds before the first action count as steady
PEAKS = ("connects", "list_calls", "probes", "sends", "cold_sends", "messages")


class Marks:
    """Times of events by kind, and thread counts of engines, in s of one clock."""

    def __init__(self) -> None:
        self._times: dict[str, list[float]] = defaultdict(list)
        self._levels: list[tuple[float, int]] = []

    def add(self, sort: str, now: float) -> None:
        """Record an event."""
        self._times[sort].append(now)

    def level(self, now: float, threads: int) -> None:
        """Record the number of threads that an engine has in use now."""
        self._levels.append((now, threads))

    def peak(self, sort: str, since: float, until: float) -> int:
        """Return the largest number of events of a kind in any 100 ms of a span."""
        times = self._times[sort]
        most = 0
        first = bisect_left(times, since)
        for last in range(first, bisect_left(times, until)):
            while times[last] - times[first] >= WINDOW_S:
                first += 1
            most = max(most, last + 1 - first)
        return most

    def highest(self, since: float, until: float) -> int:
        """Return the largest number of threads in use on one engine in a span."""
        return max((threads for at, threads in self._levels if since <= at < until), default=0)


@dataclass(slots=True)
class Wish:
    """What a client requests, over all of its attempts; times in s from when all routers are ready."""

    at: float
    service_class: str
    tenant: str
    router: int
    outcome: str = "open"  # outcome of its last attempt
    took_s: float = 0.0  # from its first attempt
    tries: int = 0
    work_ms: int = 0  # work in ms of one core

    @property
    def worth(self) -> float:
        """Utility of an answer in time."""
        return CLASSES[self.service_class].worth

    @property
    def in_time(self) -> bool:
        """Whether the client was served within the latency objective of the class."""
        return self.outcome == "served" and self.took_s <= CLASSES[self.service_class].aim_s


class Service:
    """Utility that was requested and that was served in time, by the time of the request."""

    def __init__(self, wishes: list[Wish]) -> None:
        self._wishes = sorted(wishes, key=lambda wish: wish.at)
        self._times = [wish.at for wish in self._wishes]
        self._sums = [(0.0, 0.0)]
        for wish in self._wishes:
            asked, good = self._sums[-1]
            self._sums.append((asked + wish.worth, good + wish.worth * wish.in_time))

    def share(self, since: float, until: float) -> float | None:
        """Return the fraction of the utility requested in a span that was served in time.

        Returns None if there were no requests in it.
        """
        first = bisect_left(self._times, since)
        last = bisect_left(self._times, until)
        (asked, good), (all_asked, all_good) = self._sums[first], self._sums[last]
        return (all_good - good) / (all_asked - asked) if last > first else None

    def without_cut(self) -> Service:
        """Return the service without requests whose router ended under them: the service before a kill."""
        return Service([wish for wish in self._wishes if wish.outcome != "cut"])

    def cut(self, since: float, until: float) -> int:
        """Return the number of requests that ended in a span because their router ended."""
        return sum(wish.outcome == "cut" and since <= wish.at + wish.took_s < until for wish in self._wishes)

    def full_after(self, at: float, before: float, end: float) -> float | None:
        """Return the time from ``at`` until service stays at 0.95 of ``before`` for 1 s.

        Returns None if that was not observed.
        """
        for step in range(int((end - FULL_S - at) / STEP_S) + 1):
            since = at + step * STEP_S
            share = self.share(since, since + FULL_S)
            if share is not None and share >= FULL * before:
                return since - at
        return None

    def by_second(self) -> list[dict[str, Any]]:
        """Return counts of outcomes by second, class and tenant."""
        rows: dict[tuple[int, str, str], dict[str, Any]] = {}
        for wish in self._wishes:
            key = int(wish.at), wish.service_class, wish.tenant
            row = rows.setdefault(
                key,
                {
                    "second": key[0],
                    "class": key[1],
                    "tenant": key[2],
                    "asked": 0,
                    "in_time": 0,
                    "served": 0,
                    "refused": 0,
                    "failed": 0,
                    "lost": 0,
                },
            )
            row["asked"] += 1
            row["in_time"] += wish.in_time
            row[wish.outcome if wish.outcome in row else "lost"] += 1
        return [rows[key] for key in sorted(rows)]


def stretches(
    service: Service,
    marks: Marks,
    actions: list[tuple[float, str]],
    ready: list[float],
    began: float,
    seconds: float,
) -> list[dict[str, Any]]:
    """Return service, time to full service, and peaks for the time before the first action and from each
    action to the next.

    ``actions``, ``ready`` (when routers started to listen) and ``seconds`` count from ``began``, a time of
    the clock of ``marks``.
    """
    marked = [(0.0, "start"), *actions]
    first = actions[0][0] if actions else seconds
    before = service.without_cut().share(max(0.0, first - BEFORE_S), first)
    rows = []
    for number, (at, what) in enumerate(marked):
        until = marked[number + 1][0] if number + 1 < len(marked) else seconds
        full = service.full_after(at, 1.0 if before is None else before, seconds) if number else None
        came = [moment - at for moment in ready if at < moment]
        rows.append(
            {
                "at": round(at, 3),
                "what": what,
                "in_time": service.share(at, until),
                "full_service_s": None if full is None else round(full, 3),
                "first_ready_s": round(min(came), 3) if number and came else None,
                "cut": service.cut(at, until),
                "threads": marks.highest(began + at, began + until),
                **{sort: marks.peak(sort, began + at, began + until) for sort in PEAKS},
            }
        )
    return rows


def table(rows: list[dict[str, Any]]) -> list[str]:
    """Format the intervals as text; peaks are the largest numbers in any 100 ms over the fleet."""

    def cell(value: float | None, form: str = ".2f") -> str:
        return "-" if value is None else format(value, form)

    names = [name.replace("_", " ") for name in PEAKS]
    lines = ["      at  in time  full after  first up  cut  threads  " + "  ".join(names) + "  what"]
    for row in rows:
        lines.append(
            f"{row['at']:8.2f}  {cell(row['in_time']):>7}  {cell(row['full_service_s']):>10}  "
            f"{cell(row['first_ready_s']):>8}  {row['cut']:>3}  {row['threads']:>7}  "
            + "  ".join(f"{row[sort]:>{len(name)}}" for sort, name in zip(PEAKS, names, strict=True))
            + f"  {row['what']}"
        )
    return lines
