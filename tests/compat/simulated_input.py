"""A small simulated fleet that runs with ``slipbay.simhost.host`` and records the input stream.

Only ``make_data.py`` uses it: the recorded stream is stored as data, so the tests do not need this module. It
packs all records itself, independently of the program's codec.
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from random import Random
from struct import Struct
from typing import Any

HEADER = Struct("<IIQI")
REPLY = Struct("<III")
ACTION_BYTES = 24
LIST_ENTRY = Struct("<6sBHHBfQ")
SECOND = 1_000_000
COST_VALID = 1

Handler = Callable[[bytes], bytes]
"""Takes one batch and returns its reply."""


def profile(promise_us: int, give_up_us: int, effect: str, **more: Any) -> dict[str, Any]:
    return {"promiseUs": promise_us, "giveUpUs": give_up_us, "effect": effect, **more}


def profiles() -> list[dict[str, Any]]:
    """Six service classes: safe, keyed by cell, unsafe loads, ordered by key, streamed, keyed everywhere."""
    return [
        profile(400_000, 3_000_000, "retryable", gain=2.0),
        profile(900_000, 5_000_000, "dedup", keyScope="cell", windowUs=2_000_000),
        profile(2_000_000, 9_000_000, "fragile", gain=5.0, lateWorth=1.0),
        profile(800_000, 4_000_000, "retryable", byArrival=True),
        profile(900_000, 4_000_000, "retryable", stream=True, staysIn=[0], boundTo=[0]),
        profile(700_000, 4_000_000, "dedup", windowUs=1_500_000, aimStretch=1.5),
    ]


def settings(instance: int, instances: int, variant: int) -> bytes:
    """Variant 0: pushed lists and peer messages; 1: priorities and lists on request; 2: neither."""
    return json.dumps(
        {
            "balancers": instances,
            "me": instance,
            "zone": instance % 2,
            "tickUs": 5000,
            "membershipMode": "on_request" if variant == 1 else "pushed",
            "familyInfo": {
                "cpuOfKind": [4, 8],
                "isLoad": [False, False, True, False, False, False],
                "blockedByLoads": [True, False, False, False, False, False],
                "threadsByClass": [1, 2, 2, 1, 1, 3],
                "progressUs": 0 if variant == 2 else 400_000,
                "lanesCount": variant == 1,
            },
            "policyLimits": {
                "attemptsCap": 3,
                "mayCancel": True,
                "mayTell": variant == 0,
                "retryAfter": True,
                "maxRetryAfterUs": 600_000,
            },
            "profiles": profiles(),
            "reporting": {"fields": ["busy", "queue"]},
            "rules": {
                "answerSlackUs": 20_000,
                "coldShare": 0.35,
                "fallMultiple": 2.5,
                "fallUs": 1_500_000,
                "rampTimeUs": 4_000_000,
                "keyRestUs": 300_000,
                "extraFree": 12.0,
                "repeatRatio": 0.2,
                "countedOverUs": 5_000_000,
                "drainGraceUs": 500_000,
            },
        }
    ).encode()


class Batch:
    """Collects the records of one batch."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = b""

    def add(self, record: bytes, tail: bytes = b"") -> None:
        self.records.append(record.ljust(48, b"\0"))
        self.tail += tail

    def frame(self, now: int, turn: int) -> bytes:
        payload = b"".join(self.records) + self.tail
        return HEADER.pack(len(payload), len(self.records), now, turn) + payload


class Fleet:
    """Instances, engines that run their queries, and clients. The seed determines all random choices."""

    def __init__(self, handler: Handler, variant: int, instances: int, engines: int, seed: int) -> None:
        self.handler = handler
        self.variant = variant
        self.instances = instances
        self.random = Random(seed)
        self.engines = [bytes([10, variant, 0, number, 0x1F, 0x90]) for number in range(engines)]
        self.state = dict.fromkeys(self.engines, 2)
        self.ready_at = dict.fromkeys(self.engines, 0)
        self.busy = dict.fromkeys(self.engines, 0)
        self.mode = dict.fromkeys(self.engines, "good")
        self.now = SECOND
        self.turn = 0
        self.last_id = 0
        self.slot = 0
        self.due: list[tuple[int, int, bytes, bytes]] = []
        self.attempts: dict[tuple[int, int], int] = {}
        self.class_of: dict[tuple[int, int], int] = {}
        self.open: dict[tuple[int, int, int], tuple[bytes, int]] = {}
        self.recorded = b""
        self.actions: dict[int, int] = {}

    def at(self, when: int, record: bytes, tail: bytes = b"") -> None:
        self.last_id += 1
        heapq.heappush(self.due, (when, self.last_id, record, tail))

    def send_batch(self, batch: Batch) -> None:
        frame = batch.frame(self.now, self.turn)
        self.turn += 1
        self.recorded += frame
        self.execute_reply(self.handler(frame))

    def start_instances(self) -> None:
        batch = Batch()
        for instance in range(self.instances):
            text = settings(instance, self.instances, self.variant)
            batch.add(Struct("<BIQII").pack(10, instance, 1000 + instance, len(batch.tail), len(text)), text)
        self.send_list(batch, 2)
        self.send_batch(batch)

    def send_list(self, batch: Batch, mode: int, engine_ids: list[bytes] | None = None) -> None:
        """Register a list of engines and send it to every instance."""
        chosen = self.engines if engine_ids is None else engine_ids
        self.slot += 1
        body = b"".join(
            LIST_ENTRY.pack(
                name, name[3] % 2, name[3] % 3 == 1, name[3] % 4, self.state[name], 1.0, self.ready_at[name]
            )
            for name in chosen
        )
        batch.add(Struct("<BIII").pack(6, self.slot, len(batch.tail), len(chosen)), body)
        for instance in range(self.instances):
            batch.add(Struct("<BIBQI").pack(2, instance, mode, self.turn, self.slot))

    def arrive(self, batch: Batch, instance: int) -> None:
        """Submit one query to one instance."""
        random = self.random
        self.last_id += 1
        query = self.last_id
        service_class = random.choices(range(6), (6, 2, 1, 3, 1, 2))[0]
        key = random.randrange(1, 5) if service_class == 3 else 0
        cost = random.choice((20_000, 60_000, 150_000, 400_000))
        expires = random.choice((600_000, 2_000_000, 4_000_000))
        flags = random.choice((0, COST_VALID, COST_VALID, COST_VALID | 2, COST_VALID | 4))
        self.class_of[instance, query] = service_class
        self.attempts[instance, query] = 0
        group = float(random.randrange(6))
        batch.add(
            Struct("<BIIHIQIIffB").pack(
                11, instance, query, service_class, query % 2, key, expires, cost, 64.0, group, flags
            )
        )
        if random.random() < 0.03:
            self.at(self.now + random.randrange(50_000, 900_000), Struct("<BII").pack(4, instance, query))

    def advance(self, arrivals: int) -> None:
        """Send one batch 20 ms later, with the due records and new arrivals."""
        self.now += 20_000
        batch = Batch()
        while self.due and self.due[0][0] <= self.now:
            _, _, record, tail = heapq.heappop(self.due)
            if record[0] == 9 and not self.finish(record):
                continue
            if record[0] == 8:
                record = Struct("<BIHII").pack(*Struct("<BIH").unpack(record[:7]), len(batch.tail), len(tail))
            batch.add(record, tail)
        for _ in range(arrivals):
            self.arrive(batch, self.random.randrange(self.instances))
        self.send_batch(batch)

    def finish(self, record: bytes) -> bool:
        """Finish an attempt; returns whether it was still running."""
        _, instance, query, attempt_number = Struct("<BIIB").unpack(record[:10])
        running = self.open.pop((instance, query, attempt_number), None)
        if running is None:
            return False
        engine, threads = running
        self.busy[engine] -= threads
        return True

    def end(
        self,
        when: int,
        instance: int,
        query: int,
        attempt_number: int,
        engine: bytes,
        code: int,
        work_ms: int,
    ) -> None:
        note = work_ms << 12 | 25 if code == 200 else 0
        duration = max(0, when - self.now)
        report = (self.busy[engine] / 8, 1.0, 0.0, 0.0)
        record = Struct("<BIIB6sHIBIB4f").pack(
            9,
            instance,
            query,
            attempt_number,
            engine,
            code,
            duration,
            code == 200,
            note,
            2 if work_ms % 2 else 0,
            *report,
        )
        self.at(when, record)

    def start_attempt(self, instance: int, query: int, engine: bytes) -> None:
        """Start an attempt on an engine: it runs, or fails according to the engine's mode."""
        random = self.random
        attempt_number = self.attempts[instance, query]
        self.attempts[instance, query] = attempt_number + 1
        service_class = self.class_of[instance, query]
        threads = (1, 2, 2, 1, 1, 3)[service_class]
        self.open[instance, query, attempt_number] = engine, threads
        self.busy[engine] += threads
        mode = self.mode[engine]
        if mode == "down":
            self.end(self.now + 1_000, instance, query, attempt_number, engine, 502, 0)
        elif mode == "breaks" and random.random() < 0.6:
            self.end(
                self.now + 30_000, instance, query, attempt_number, engine, random.choice((598, 598, 504)), 0
            )
        elif mode == "errs" and service_class in (0, 3):
            self.end(self.now + 15_000, instance, query, attempt_number, engine, 500, 0)
        elif self.busy[engine] > 24:
            self.end(self.now + 2_000, instance, query, attempt_number, engine, 503, 0)
        elif mode != "silent":
            self.run_attempt(instance, query, attempt_number, engine, service_class)

    def run_attempt(
        self, instance: int, query: int, attempt_number: int, engine: bytes, service_class: int
    ) -> None:
        random = self.random
        work_ms = random.choice((15, 40, 90, 250, 700))
        slowdown = 1.0 + self.busy[engine] / 8
        slowdown *= 3.0 if self.mode[engine] == "slow" else 1.0
        until = self.now + int(work_ms * 1000 * slowdown)
        if service_class == 4:
            self.at(
                self.now + 10_000, Struct("<BIIB6sI").pack(12, instance, query, attempt_number, engine, 0)
            )
        note = Struct("<BII6sfBB")
        step = 200_000
        for when in range(self.now + step, until, step):
            share = (when - self.now) / (until - self.now)
            self.at(when, note.pack(5, instance, query, engine, share, attempt_number, 1))
        if service_class in (0, 2) and random.random() < 0.1:
            self.at(
                self.now + 8_000,
                note.pack(5, instance, query, engine, random.choice((1.0, 2.0)), attempt_number, 3),
            )
        if random.random() < 0.03:
            self.at(self.now + 9_000, note.pack(5, instance, query, engine, 1.0, attempt_number, 2))
        self.end(until, instance, query, attempt_number, engine, 200, work_ms)

    def execute_reply(self, reply: bytes) -> None:
        """Execute the actions of a reply."""
        size, count, turn = REPLY.unpack_from(reply)
        assert turn == self.turn - 1
        assert len(reply) == REPLY.size + size
        tail = reply[REPLY.size + count * ACTION_BYTES :]
        for number in range(count):
            at = REPLY.size + number * ACTION_BYTES
            self.execute_action(reply[at : at + ACTION_BYTES], tail)

    def execute_action(self, action: bytes, tail: bytes) -> None:
        code, instance = Struct("<BI").unpack_from(action)
        self.actions[code] = self.actions.get(code, 0) + 1
        assert code != 74, f"an internal error: {tail!r}"
        if code == 65:
            _, _, query, engine, _ = Struct("<BII6sI").unpack_from(action)
            self.start_attempt(instance, query, engine)
        elif code == 68:
            _, _, query, attempt_number = Struct("<BIIB").unpack_from(action)
            if (instance, query, attempt_number) in self.open:
                engine, _ = self.open[instance, query, attempt_number]
                code = 410 if self.random.random() < 0.2 else 499
                self.end(self.now + 15_000, instance, query, attempt_number, engine, code, 0)
        elif code == 69:
            _, _, token, when = Struct("<BIIQ").unpack_from(action)
            self.at(max(when, self.now + 1), Struct("<BII").pack(3, instance, token))
        elif code == 72:
            _, _, to, offset, size = Struct("<BIHII").unpack_from(action)
            body = tail[offset : offset + size]
            for peer in range(self.instances):
                if peer != instance and to in (peer, 0xFFFF) and self.random.random() < 0.95:
                    self.at(self.now + 1_000, Struct("<BIH").pack(8, peer, instance), body)


def run_scenario(fleet: Fleet, batches: int) -> None:
    """Run low load, then faults in turn, overload, engines that leave and join, a pause and a restart."""
    engine_ids = fleet.engines
    fleet.start_instances()
    for step in range(batches):
        part = step * 10 // batches
        if step * 10 % batches < 10:
            apply_change(fleet, part, engine_ids)
        overload = part in (5, 6)
        fleet.advance(fleet.random.choice((6, 9, 12)) if overload else fleet.random.choice((0, 1, 1, 2)))


def apply_change(fleet: Fleet, part: int, engine_ids: list[bytes]) -> None:
    """Apply the changes at the start of each tenth of the scenario."""
    batch = Batch()
    fleet.now += 1_000
    if part == 1:
        fleet.mode[engine_ids[0]] = "breaks"
        fleet.mode[engine_ids[1]] = "errs"
    elif part == 2:
        fleet.mode[engine_ids[2]] = "silent"
        batch.add(Struct("<BIBQI").pack(2, 0, 3, fleet.turn, 0))
    elif part == 3:
        fleet.mode[engine_ids[0]] = "down"
        fleet.mode[engine_ids[3]] = "slow"
        fleet.state[engine_ids[1]] = 1
        fleet.send_list(batch, 0, [engine_ids[1]])
    elif part == 4:
        fleet.mode = dict.fromkeys(engine_ids, "good")
        fleet.state[engine_ids[1]] = 2
        for name in (engine_ids[0], engine_ids[1]):
            fleet.ready_at[name] = fleet.now
        fleet.send_list(batch, 1)
    elif part == 7:
        fleet.now += 700_000
    elif part == 8:
        fleet.send_list(batch, 1, engine_ids[:-1])
        batch.add(probe(engine_ids[0]))
        batch.add(Struct("<BIHII").pack(8, 0, 1, len(batch.tail), 3), b"odd")
    elif part == 9:
        restart(fleet, batch)
    if batch.records:
        fleet.send_batch(batch)


def probe(engine: bytes) -> bytes:
    """The end of a probe request that no instance has sent."""
    return Struct("<BII6sHB4f").pack(1, 0, 5_000, engine, 200, 2, 0.5, 1.0, 0.0, 0.0)


def restart(fleet: Fleet, batch: Batch) -> None:
    """Stop instance 0 and start it again with another seed."""
    batch.add(Struct("<BI").pack(7, 0))
    for attempt in [attempt for attempt in fleet.open if attempt[0] == 0]:
        engine, threads = fleet.open.pop(attempt)
        fleet.busy[engine] -= threads
    fleet.due = [item for item in fleet.due if Struct("<BI").unpack_from(item[2])[1] != 0]
    heapq.heapify(fleet.due)
    text = settings(0, fleet.instances, fleet.variant)
    batch.add(Struct("<BIQII").pack(10, 0, 77, len(batch.tail), len(text)), text)
    fleet.send_list(batch, 2)


def record(handler: Callable[[], Handler]) -> tuple[list[bytes], dict[int, int]]:
    """The input streams of three fleets, and the number of actions of each type in all of them."""
    streams = []
    counts: dict[int, int] = {}
    for variant, instances, engines, batches in ((0, 4, 6, 260), (1, 2, 5, 240), (2, 1, 4, 200)):
        fleet = Fleet(handler(), variant, instances, engines, seed=11 + variant)
        run_scenario(fleet, batches)
        streams.append(fleet.recorded)
        for code, count in fleet.actions.items():
            counts[code] = counts.get(code, 0) + count
    return streams, counts
