"""Traces of decisions: for each second, a hash of all batches of events and of the resulting actions.

``python tests/traces.py record FILE`` runs scenarios with fixed seeds and stores their hashes, and
``compare FILE`` reports where the current program first differs. The hashes leave out fields of events and
actions that have their default value, so that a new field alone changes nothing. Hashes are valid for one
minor version of Python, as sums of floats differ between versions.
"""

from __future__ import annotations

import dataclasses
import json
import sys
from collections import defaultdict
from collections.abc import Callable, Sequence
from hashlib import blake2s
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from fakes import FakeLoop

from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Attempt, Request
from slipbay.emulator.engines import SECOND
from slipbay.emulator.fleet_model import FleetModel
from slipbay.policy import Controller
from slipbay.policy.actions import Action
from slipbay.policy.events import (
    EngineEntry,
    EngineId,
    EngineList,
    EngineState,
    Event,
    FleetSize,
    ListKind,
    NoteKind,
    Outcome,
)
from slipbay.policy.protocol import Policy
from slipbay.policy.settings import Effect, ServiceClass, Settings

RECORDED = Path(__file__).parent / "data" / "traces.json"  # recorded at b8aa84e, except for the fixed bound
RECORDED_TYPES = {
    "ClientDisconnected": "QueryGone",
    "EstimatesRestored": "Inherited",
    "Reject": "Refuse",
    "Rejected": "Refused",
    "RetryBudgetRestored": "Remembered",
    "SendGossip": "TellPeers",
    "ShutdownDeadline": "Ending",
    "UpdateAttempt": "SetTerms",
    "WarmupChanged": "ComingBack",
}
"""Recorded names of types that have been renamed since."""
RECORDED_FIELDS = {
    ("EstimatesRestored", "unhealthy"): "ill",
    ("FleetSize", "routers"): "gateways",
    ("QueryArrived", "estimated_cost_us"): "told_cost_us",
    ("RetryBudgetRestored", "requests"): "taken",
    ("RetryBudgetRestored", "retries"): "extras",
    ("WarmupChanged", "connections_per_s"): "opens",
    ("WarmupChanged", "limit_connections"): "few",
}
"""Recorded names of fields, by their current type and name."""
VERSION = f"{sys.version_info.major}.{sys.version_info.minor}"
Trace = list[str]  # a hash for each second


def recorded_type(value: object) -> str:
    """Name of the type in the recorded traces."""
    name = type(value).__name__
    return RECORDED_TYPES.get(name, name)


def canonical(value: Any) -> Any:
    """Convert a value to a form that is identical in every process; leaves out fields with defaults."""
    if dataclasses.is_dataclass(value):
        return (
            recorded_type(value),
            *(
                (
                    RECORDED_FIELDS.get((type(value).__name__, f.name), f.name),
                    canonical(getattr(value, f.name)),
                )
                for f in dataclasses.fields(value)
                if getattr(value, f.name) != f.default
            ),
        )
    if isinstance(value, tuple | list):
        return tuple(canonical(item) for item in value)
    return value


class SecondHashes:
    """Hashes the recorded values of each second."""

    def __init__(self) -> None:
        self._hashes: defaultdict[int, Any] = defaultdict(lambda: blake2s(digest_size=4))
        self.notes = 0

    def note(self, now: int, *values: Any) -> None:
        self.notes += 1
        self._hashes[now // SECOND].update(repr((now, canonical(values))).encode())

    def trace(self) -> Trace:
        return [f"{second}:{found.hexdigest()}" for second, found in sorted(self._hashes.items())]


class RecordingPolicy:
    """A policy that records every call."""

    def __init__(self, policy: Policy, me: int, hashes: SecondHashes) -> None:
        self._policy = policy
        self._me = me
        self._second_hashes = hashes

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        actions = list(self._policy.handle(now_us, events))
        self._second_hashes.note(now_us, self._me, tuple(events), tuple(actions))
        return actions


class RecordingFleet(FleetModel):
    def __init__(self, hashes: SecondHashes, *args: Any, **options: Any) -> None:
        self._second_hashes = hashes
        super().__init__(*args, **options)

    def _deliver_event(self, me: int, event: Event) -> None:
        router = self.routers[me]
        if isinstance(router, Controller):  # a new incarnation
            self.routers[me] = cast(Controller, RecordingPolicy(router, me, self._second_hashes))
        super()._deliver_event(me, event)


def one_router(hashes: SecondHashes) -> None:
    RecordingFleet(hashes, 1, 4, seed=3).load(12, 0.9)


def deaths(hashes: SecondHashes) -> None:
    """Five of eight routers fail and restart; messages are lost, an engine drains, a new one is cold."""
    tier = RecordingFleet(hashes, 8, 8, seed=5, loss=0.1)
    tier.load(4, 0.9)
    for me in range(5):
        tier.kill(me)
    tier.load(3, 0.9)
    tier.drain(next(iter(tier.entries)))
    tier.add_engine(started_us=tier.now)
    for me in range(5):
        tier.start(me)
    tier.load(4, 0.9)


def overload(hashes: SecondHashes) -> None:
    """Load above the capacity, in two zones, uneven, and for a while without messages between routers."""
    tier = RecordingFleet(hashes, 3, 6, seed=7, zones=2, skew=1.0)
    tier.load(3, 1.3)
    tier.drops_gossip = True
    tier.load(3, 1.3)
    tier.drops_gossip = False
    tier.load(3, 0.5)


def many(hashes: SecondHashes) -> None:
    RecordingFleet(hashes, 40, 20, seed=9, skew=0.5).load(3, 0.7)


class RandomBackend:
    """Engines that end attempts at random, with every outcome."""

    def __init__(self, loop: FakeLoop, random: Random, note: Callable[..., None]) -> None:
        self.loop = loop
        self.random = random
        self.note = note

    def start(self, attempt: Attempt) -> Any:
        self.note("start", attempt.request.id, attempt.number, attempt.engine, attempt.request.priority)
        outcome = self.random.choices(list(Outcome), [80, 4, 3, 2, 3, 3, 0, 1])[0]
        duration_us = int(self.random.expovariate(1 / 60_000)) + 1_000
        if outcome.proves_not_run:
            duration_us = 1_000
        elif self.random.random() < 0.1:
            duration_us *= 20
        self.loop.timers.after(duration_us, lambda: attempt.finish(outcome, b"rows"))
        for note_at in range(200_000, min(duration_us, 2_000_000), 200_000):
            self.loop.timers.after(note_at, lambda: attempt.report_progress(NoteKind.SHARE_DONE, 0.5))

        def stop(outcome: Outcome) -> None:
            self.note("stop", attempt.request.id, attempt.number, outcome.name)
            self.loop.timers.after(3_000, lambda: attempt.finish(outcome))

        return SimpleNamespace(
            stop=stop, set_priority=lambda priority: self.note("priority", attempt.request.id, priority)
        )

    def probe(self, engine: EngineId, done: Callable[[Outcome], None]) -> None:
        self.note("probe", engine)
        self.loop.timers.after(5_000, lambda: done(Outcome.OK))

    def close_idle(self, engine: EngineId) -> None:
        self.note("close idle", engine)


def core(hashes: SecondHashes) -> None:
    """The real core without optional modules.

    The run has three classes, tenants, cancellations, every outcome, list changes and the failure of another
    router.
    """
    loop = FakeLoop()
    random = Random(11)
    classes = (
        ServiceClass(500_000, 2_500_000, Effect.SAFE),
        ServiceClass(2_000_000, 10_000_000, Effect.SAFE, utility=15.0, threads=2),
        ServiceClass(4_000_000, 10_000_000, Effect.UNSAFE, utility=15.0, threads=2, is_load=True),
    )
    settings = Settings(
        classes=classes,
        router_count=2,
        kind_cores=(8.0,),
        tick_us=5_000,
        answer_slack_us=20_000,
        max_attempts=4,
        may_cancel=True,
        may_probe=True,
        may_gossip=True,
        progress_us=SECOND,
        max_retry_after_us=500_000,
        drain_grace_us=SECOND,
        cold_share=0.31,
        cold_multiple=3.0,
        cold_window_us=3_000_000,
        ramp_us=13_000_000,
        free_retries=5,
        retry_share=0.2,
        retry_window_us=10_000_000,
    )

    def note(*values: Any) -> None:
        hashes.note(loop.us, *values)

    dispatcher = Dispatcher(
        cast(Any, loop),
        cast(Any, loop),
        loop.timers,
        RecordingPolicy(Controller(settings, 1), 0, hashes),
        settings,
        60,
        1_000_000,
    )
    backend = RandomBackend(loop, random, note)
    dispatcher.backends = [cast(Any, backend)]
    dispatcher.send_gossip = lambda body, to: note("tell", body, to)
    client = SimpleNamespace(
        answered=lambda request, answer: note("answer", request.id, recorded_type(answer), answer)
    )
    entries = [EngineEntry(b"s-%d" % n) for n in range(4)]
    dispatcher.notify(EngineList(ListKind.CACHED, tuple(entries)))
    submitted: list[Request] = []
    for number in range(900):
        loop.advance(int(random.expovariate(1 / 12_000)))
        kind = random.choices((0, 1, 2), (85, 10, 5))[0]
        request = Request(
            "abc"[kind],
            kind,
            classes[kind].deadline_us,
            b"",
            cast(Any, client),
            cast(Any, backend),
            cost_us=int(random.expovariate(1 / 60_000)) or None,
            group=random.randrange(17),
            tenant=random.randrange(3),
            size_bytes=random.randrange(9_000),
        )
        submitted.append(request)
        dispatcher.submit(request)
        if random.random() < 0.05:
            dispatcher.client_disconnected(random.choice(submitted[-20:]), cancelled=True)
        if number == 300:
            dispatcher.notify(FleetSize(1))
            dispatcher.notify(
                EngineList(ListKind.DELTA, (dataclasses.replace(entries[0], state=EngineState.DRAINING),))
            )
        if number == 600:
            dispatcher.notify(EngineList(ListKind.DELTA, (EngineEntry(b"s-9", ready_at_us=loop.us),)))
    loop.advance(20 * SECOND)
    assert all(request.finished for request in submitted)
    assert not dispatcher.requests


SCENARIOS: dict[str, Callable[[SecondHashes], None]] = {
    scenario.__name__: scenario for scenario in (one_router, deaths, overload, many, core)
}


def record(name: str) -> Trace:
    hashes = SecondHashes()
    SCENARIOS[name](hashes)
    return hashes.trace()


def compare(name: str, recorded: Trace, found: Trace) -> str:
    """Text of the first difference; empty if there is none."""
    for old, new in zip(recorded, found, strict=False):
        if old != new:
            return f"{name}: differs first in second {new.partition(':')[0]} of simulated time"
    return "" if len(recorded) == len(found) else f"{name}: {len(found)} seconds, {len(recorded)} recorded"


def main(command: str, file: Path) -> int:
    found = {name: record(name) for name in SCENARIOS}
    recorded = json.loads(file.read_text()) if file.exists() else {}
    if command == "record":
        file.write_text(json.dumps({**recorded, VERSION: found}, indent=0) + "\n")
        return 0
    differences = [
        text for name in SCENARIOS if (text := compare(name, recorded[VERSION][name], found[name]))
    ]
    print("\n".join(differences) or "no difference")
    return bool(differences)


if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] not in ("record", "compare"):
        raise SystemExit(__doc__)
    raise SystemExit(main(sys.argv[1], Path(sys.argv[2])))
