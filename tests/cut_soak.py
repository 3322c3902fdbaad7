"""Plays random requests while links to engines are cut, and checks at the engines what begins there.

``python tests/cut_soak.py --seeds 1000`` plays the seeds 0 to 999 and prints what broke. Each play has a
router in this process and three engines, each behind a link that keeps to TCP: in a cut nothing passes, in
both directions or in one; what was written arrives afterwards, unless its writer has reset the connection.
A seed draws requests of all classes with long and short limits, clients that cancel or close, cuts, resets by
engines, engine processes that are replaced, and a shutdown of the router in the middle.

Checked are: no query begins over 0.1 s after its client has gone or got its answer, none has two attempts at
once, no load runs twice, and each client that stays gets an answer in time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from loopback import HOST, JsonClient, Loopback, host

from slipbay.address import Address
from slipbay.config.model import Config
from slipbay.rig.engines import ExecutionLog, RigEngine
from slipbay.rig.report import EventRecorder
from slipbay.rig.tcp_proxy import ProxiedConnection

ENGINES = 3
REQUESTS = 24
PLAY_S = 4.0
SETTLE_S = 3.0  # after the play, in which late calls arrive
LATE_S = 0.1  # a query that begins later after its client has gone is lost
MEASURING_SLACK_S = 0.1  # stand-ins, clients and routers of several plays share one loop
ANSWER_SLACK_S = 0.5  # after a request's time
MAX_CUT_S = 3.0
DIRECTIONS = (("there", "back"), ("there",), ("back",))
LIMITS_MS = (300, 800, 2000, 5000)
WORK_MS = (5, 50, 400, 1500)
CLASSES = ("lookup", "report", "ticket-load")
SHUTDOWN_DIVISOR = 4  # one seed of this many shuts the router down
PLAYS_AT_ONCE = 8


def address_of(engine: RigEngine) -> Address:
    """Where an engine listens, once it has started."""
    return HOST, engine.port


@dataclass
class SentRequest:
    """A request and what its client saw; times are those of the loop, in s."""

    name: str
    sent_s: float
    limit_s: float
    gone_s: float | None = None  # cancelled or closed
    answered_s: float | None = None

    @property
    def over_s(self) -> float | None:
        """When the request was over for its client."""
        times_s = [time_s for time_s in (self.gone_s, self.answered_s) if time_s is not None]
        return min(times_s) if times_s else None


class CutLoopback(Loopback):
    """A router whose connections to engines pass through links."""

    def __init__(self, engines: list[RigEngine]) -> None:
        super().__init__(*engines)
        self.links: list[ProxiedConnection] = []

    def config(self, hosts: list[dict[str, Any]]) -> Config:
        ports = [link.address[1] for link in self.links]
        return super().config([host(f"s-{number}", port) for number, port in enumerate(ports)])


class CutPlay:
    """One play of a seed."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._ends_in_shutdown = seed % SHUTDOWN_DIVISOR == 0
        self._loop = asyncio.get_running_loop()
        self.log = ExecutionLog()
        recorder = EventRecorder()
        self._engines = [RigEngine(f"s-{number}", self.log, recorder) for number in range(ENGINES)]
        self._requests: dict[str, SentRequest] = {}

    async def run(self) -> list[str]:
        """Play, and return what broke."""
        net = CutLoopback(self._engines)
        for engine in self._engines:
            net.links.append(ProxiedConnection((HOST, 0), partial(address_of, engine)))
        for link in net.links:
            await link.open()
        async with net:
            for engine in self._engines:
                engine.start_work()
            tasks = [asyncio.create_task(self._ask(net, net.port())) for _ in range(REQUESTS)]
            tasks += [asyncio.create_task(self._cut(link)) for link in net.links]
            tasks.append(asyncio.create_task(self._disturb(net)))
            await asyncio.gather(*tasks)
            for link in net.links:
                await link.heal()
            await asyncio.sleep(SETTLE_S)
        net.router.close()
        for link in net.links:
            link.close()
        for engine in self._engines:
            engine.stop()
        return self._judge()

    async def _cut(self, link: ProxiedConnection) -> None:
        begin_s = self._random.uniform(0.0, PLAY_S / 2)
        length_s = self._random.uniform(0.05, MAX_CUT_S)
        directions = self._random.choice(DIRECTIONS)
        if self._random.random() < 1 / ENGINES:
            return  # this engine can be reached all the time
        await asyncio.sleep(begin_s)
        link.stall(directions)
        await asyncio.sleep(length_s)
        link.end_stall()

    async def _disturb(self, net: CutLoopback) -> None:
        engine = self._random.choice(self._engines)
        how = self._random.choice(("nothing", "reset", "replace"))
        await asyncio.sleep(self._random.uniform(0.0, PLAY_S))
        if how == "reset":
            engine.reset()
        elif how == "replace":
            engine.renew(0)
        if self._ends_in_shutdown:
            net.router.shutdown.begin()

    async def _ask(self, net: CutLoopback, port: int) -> None:
        random = self._random
        delay_s = random.uniform(0.0, PLAY_S)
        limit_ms = random.choice(LIMITS_MS)
        leave_s = random.uniform(0.01, 1.0) if random.random() < 1 / 3 else None
        is_cancelled = random.random() < 1 / 2
        class_name = random.choice(CLASSES)
        statement = f"SELECT {random.choice(WORK_MS)}"
        await asyncio.sleep(delay_s)
        try:
            client = JsonClient(*await asyncio.open_connection(HOST, port))
        except OSError:  # the router is shutting down
            return
        request_id = client.query(class_name, statement, limit=limit_ms)
        request = SentRequest(client.txn, self._loop.time(), limit_ms / 1000)
        self._requests[request.name] = request
        answer = asyncio.create_task(client.reader.readline())
        timeout_s = request.limit_s + ANSWER_SLACK_S
        done, _ = await asyncio.wait({answer}, timeout=timeout_s if leave_s is None else leave_s)
        if done and answer.exception() is None and answer.result():
            request.answered_s = self._loop.time()
        elif leave_s is not None or not net.router.shutdown.has_begun:
            request.gone_s = self._loop.time()
            if leave_s is None:
                self.log.faults.append(f"no answer: {request.name} after {timeout_s} s")
        if request.gone_s is not None and is_cancelled:
            client.cancel(request_id)
            await asyncio.sleep(LATE_S)
        answer.cancel()
        client.writer.close()

    def _judge(self) -> list[str]:
        faults = list(self.log.faults)
        for start_s, engine, name in self.log.starts:
            request = self._requests.get(name)
            over_s = request.over_s if request is not None else None
            if over_s is not None and start_s > over_s + LATE_S + MEASURING_SLACK_S:
                faults.append(f"late: {name} began on {engine} {start_s - over_s:.2f} s after its end")
        return faults


async def play_seeds(first: int, seeds: int) -> dict[int, list[str]]:
    """Play seeds, some at once, and return what broke by seed."""
    found: dict[int, list[str]] = {}
    for begin in range(first, first + seeds, PLAYS_AT_ONCE):
        numbers = range(begin, min(begin + PLAYS_AT_ONCE, first + seeds))
        for number, faults in zip(
            numbers, await asyncio.gather(*(CutPlay(number).run() for number in numbers)), strict=True
        ):
            if faults:
                found[number] = faults
    return found


def main() -> int:
    """Play the seeds of the command line; returns 1 if something broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=8)
    arguments = parser.parse_args()
    found = asyncio.run(play_seeds(arguments.first, arguments.seeds))
    for seed, faults in found.items():
        print(json.dumps({"seed": seed, "faults": faults}))
    print(f"{arguments.seeds} seeds, {len(found)} broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
