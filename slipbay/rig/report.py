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
FULL_FRACTION = 0.95
FULL_S = 1.0
SEARCH_STEP_S = 0.02
STEADY_S = 10.0  # how many seconds before the first action count as steady
PEAK_KINDS = ("connects", "list_calls", "probes", "sends", "cold_sends", "messages")


class EventRecorder:
    """Times of events by kind, and thread counts of engines, in s of one clock."""

    def __init__(self) -> None:
        self._times: dict[str, list[float]] = defaultdict(list)
        self._levels: list[tuple[float, int]] = []

    def add(self, kind: str, now: float) -> None:
        """Record an event."""
        self._times[kind].append(now)

    def record_threads(self, now: float, threads: int) -> None:
        """Record the number of threads that an engine has in use now."""
        self._levels.append((now, threads))

    def peak_count(self, kind: str, since: float, until: float) -> int:
        """Return the largest number of events of a kind in any 100 ms of a span."""
        times = self._times[kind]
        max_count = 0
        first = bisect_left(times, since)
        for last in range(first, bisect_left(times, until)):
            while times[last] - times[first] >= WINDOW_S:
                first += 1
            max_count = max(max_count, last + 1 - first)
        return max_count

    def max_threads(self, since: float, until: float) -> int:
        """Return the largest number of threads in use on one engine in a span."""
        return max((threads for at, threads in self._levels if since <= at < until), default=0)


@dataclass(slots=True)
class ClientRequest:
    """What a client requests, over all of its attempts; times in s from when all routers are ready."""

    at: float
    service_class: str
    tenant: str
    router: int
    outcome: str = "open"  # outcome of its last attempt
    duration_s: float = 0.0  # from its first attempt
    attempts: int = 0
    work_ms: int = 0  # work in ms of one core

    @property
    def utility(self) -> float:
        """Utility of an answer in time."""
        return CLASSES[self.service_class].utility

    @property
    def in_time(self) -> bool:
        """Whether the client was served within the latency objective of the class."""
        return self.outcome == "served" and self.duration_s <= CLASSES[self.service_class].latency_objective_s


class Service:
    """Utility that was requested and that was served in time, by the time of the request."""

    def __init__(self, client_requests: list[ClientRequest]) -> None:
        self._requests = sorted(client_requests, key=lambda client_request: client_request.at)
        self._times = [client_request.at for client_request in self._requests]
        self._sums = [(0.0, 0.0)]
        for client_request in self._requests:
            requested, served = self._sums[-1]
            self._sums.append(
                (requested + client_request.utility, served + client_request.utility * client_request.in_time)
            )

    def share_in_time(self, since: float, until: float) -> float | None:
        """Return the fraction of the utility requested in a span that was served in time.

        Returns None if there were no requests in it.
        """
        first = bisect_left(self._times, since)
        last = bisect_left(self._times, until)
        (requested, served), (all_requested, all_served) = self._sums[first], self._sums[last]
        return (all_served - served) / (all_requested - requested) if last > first else None

    def without_cut_requests(self) -> Service:
        """Return the service without requests whose router ended under them: the service before a kill."""
        return Service(
            [client_request for client_request in self._requests if client_request.outcome != "cut"]
        )

    def count_cut(self, since: float, until: float) -> int:
        """Return the number of requests that ended in a span because their router ended."""
        return sum(
            client_request.outcome == "cut" and since <= client_request.at + client_request.duration_s < until
            for client_request in self._requests
        )

    def time_to_full_service(self, at: float, before: float, end: float) -> float | None:
        """Return the time from ``at`` until service stays at 0.95 of ``before`` for 1 s.

        Returns None if that was not observed.
        """
        for step in range(int((end - FULL_S - at) / SEARCH_STEP_S) + 1):
            since = at + step * SEARCH_STEP_S
            share_in_time = self.share_in_time(since, since + FULL_S)
            if share_in_time is not None and share_in_time >= FULL_FRACTION * before:
                return since - at
        return None

    def by_second(self) -> list[dict[str, Any]]:
        """Return counts of outcomes by second, class and tenant."""
        rows: dict[tuple[int, str, str], dict[str, Any]] = {}
        for client_request in self._requests:
            key = int(client_request.at), client_request.service_class, client_request.tenant
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
            row["in_time"] += client_request.in_time
            row[client_request.outcome if client_request.outcome in row else "lost"] += 1
        return [rows[key] for key in sorted(rows)]


def intervals(
    service: Service,
    recorder: EventRecorder,
    actions: list[tuple[float, str]],
    ready_times_s: list[float],
    began: float,
    seconds: float,
) -> list[dict[str, Any]]:
    """Return service, time to full service, and peaks for the time before the first action and from each
    action to the next.

    ``actions``, ``ready_times_s`` (when routers started to listen) and ``seconds`` count from ``began``, a
    time of the clock of ``recorder``.
    """
    starts = [(0.0, "start"), *actions]
    first = actions[0][0] if actions else seconds
    before = service.without_cut_requests().share_in_time(max(0.0, first - STEADY_S), first)
    rows = []
    for number, (at, what) in enumerate(starts):
        until = starts[number + 1][0] if number + 1 < len(starts) else seconds
        full = (
            service.time_to_full_service(at, 1.0 if before is None else before, seconds) if number else None
        )
        ready_delays_s = [ready_s - at for ready_s in ready_times_s if at < ready_s]
        rows.append(
            {
                "at": round(at, 3),
                "what": what,
                "in_time": service.share_in_time(at, until),
                "full_service_s": None if full is None else round(full, 3),
                "first_ready_s": round(min(ready_delays_s), 3) if number and ready_delays_s else None,
                "cut": service.count_cut(at, until),
                "threads": recorder.max_threads(began + at, began + until),
                **{kind: recorder.peak_count(kind, began + at, began + until) for kind in PEAK_KINDS},
            }
        )
    return rows


def table(rows: list[dict[str, Any]]) -> list[str]:
    """Format the intervals as text; peaks are the largest numbers in any 100 ms over the fleet."""

    def cell(value: float | None, format_spec: str = ".2f") -> str:
        return "-" if value is None else format(value, format_spec)

    names = [name.replace("_", " ") for name in PEAK_KINDS]
    lines = ["      at  in time  full after  first up  cut  threads  " + "  ".join(names) + "  what"]
    for row in rows:
        lines.append(
            f"{row['at']:8.2f}  {cell(row['in_time']):>7}  {cell(row['full_service_s']):>10}  "
            f"{cell(row['first_ready_s']):>8}  {row['cut']:>3}  {row['threads']:>7}  "
            + "  ".join(f"{row[kind]:>{len(name)}}" for kind, name in zip(PEAK_KINDS, names, strict=True))
            + f"  {row['what']}"
        )
    return lines
