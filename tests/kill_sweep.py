"""Kills a real router again and again under loads over both fronts; checks what ran against what was told.

``python tests/kill_sweep.py --kills 300 --seed 1`` runs a long sweep; CI runs a short one (test_kills.py).
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from loopback import HOST, HttpCall, JsonClient, StandInEngine, http_answer, one_page
from mysql_standins import MysqlClient, MysqlEngine, MysqlError, mysql_file
from routers import RouterProcess, store_file

from slipbay.idempotency.request_guard import EARLIER
from slipbay.store.disk import Folder
from slipbay.store.inspect import survey

Attempt = Callable[[RouterProcess, str, int], Awaitable[bool]]

HOLD_S = 0.25
CLIENTS = 4  # of each front


class CountingEngine(StandInEngine):
    """Runs loads for a random while and counts how often it runs each; its answers say which run made them.

    As engines do, it holds calls for 250 ms at most, gives a good end again, drops a query that is deleted,
    and turns some away unseen.
    """

    def __init__(self, random: Random, moved: Callable[[], None]) -> None:
        super().__init__(self._answer)
        self._random = random
        self._moved = moved
        self.runs: Counter[str] = Counter()
        self.ends: dict[str, asyncio.Future[bytes | None]] = {}  # of the last run; None: dropped

    async def _answer(self, call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method == "PUT" or call.path == "/ping":
            return http_answer(204 if call.method == "PUT" else 200)
        if call.method == "POST":
            if call.headers["x-sort"] != "ticket-load":
                return await one_page(call, writer)
            if self._random.random() < 0.1:
                return http_answer(503, X_No_Effect="1")
            name = call.headers["x-hop-id"]
            self.runs[name] += 1
            self._moved()
            loop = asyncio.get_running_loop()
            end = self.ends[name] = loop.create_future()
            answer = f"{name}\t{self.runs[name]}\tdone\n".encode()
            loop.call_later(self._random.random() * 0.06, settle, end, answer)
        else:
            name = call.path.split("/")[2]
        if name not in self.ends:
            return http_answer(204 if call.method == "DELETE" else 500)
        end = self.ends[name]
        if call.method == "DELETE":
            settle(end, None)
            return http_answer(204)
        try:
            done = await asyncio.wait_for(asyncio.shield(end), HOLD_S)
        except TimeoutError:
            return http_answer(202)
        return http_answer(500) if done is None else http_answer(200, done, X_Sheets="1")


def settle(end: asyncio.Future[bytes | None], answer: bytes | None) -> None:
    if not end.done():
        end.set_result(answer)


@dataclass
class Result:
    """What a sweep saw."""

    kills: int = 0
    loads: int = 0
    served: int = 0
    tries: int = 0
    refused: int = 0
    may_have_run: int = 0
    faults: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"{self.kills} kills, {self.loads} loads in {self.tries} tries: {self.served} served, "
            f"{self.may_have_run} may have run, {self.refused} refusals; {len(self.faults)} faults"
        )


class Sweep:
    marks = False  # whether clients of JSON-RPC mark their repeats
    patience_s = 1e9  # for which clients repeat
    pause_s = 0.0  # of a client whose load may have run

    def __init__(self, folder: Path, kills: int, seed: int) -> None:
        self.random = Random(seed)
        self.kills = kills
        self.result = Result()
        self._moves, self._moved = 0, asyncio.Event()
        self.http = CountingEngine(self.random, self.move)
        self.mysql = MysqlEngine(self._mysql_fault)
        self._folder = folder
        self._over = False

    async def _mysql_fault(self, point: str) -> None:
        if point == "execute":
            self.move()
            await asyncio.sleep(self.random.random() * 0.03)

    def move(self) -> None:
        self._moves += 1
        self._moved.set()

    async def run(self) -> Result:
        await self.http.start()
        await self.mysql.start()
        store_file(
            self._folder,
            segment_mb="0.02",
            most_mb="1",
            keep="{ answer_kb = 1 }",
            recovery="{ most_s = 5 }",
            later_ms="10",
        )
        self.router = RouterProcess(
            self._folder, {"s-0": self.http.port}, mysql_file(self._folder, self.mysql)
        )
        await self.router.start()
        clients = [
            asyncio.create_task(self._client(kind, number))
            for kind in (self._json_try, self._mysql_try)
            for number in range(CLIENTS)
        ]
        while self.result.kills < self.kills:
            await self._wait_for_a_moment()
            await self.router.kill()
            self.result.kills += 1
            await self.router.start()
        self._over = True
        await asyncio.gather(*clients)
        if await self.router.end() != 0:
            self.result.faults.append("the router did not end with 0")
        found = survey(Folder(self._folder / "data"))
        if found.code:
            self.result.faults.append(f"the store is not sound: {found.problem}")
        self.http.server.close()
        self.mysql.server.close()
        return self.result

    async def _wait_for_a_moment(self) -> None:
        """For so many events since the last start, or for the store to be read: then it recovers."""
        if self.random.random() < 0.25:
            await self.router.read.wait()
            return
        until = self._moves + self.random.randrange(1, 12)
        while self._moves < until:
            self._moved.clear()
            await self._moved.wait()
        await asyncio.sleep(self.random.random() * 0.02)  # spreads kills over the life of a load

    # Clients

    async def _client(self, attempt: Attempt, number: int) -> None:
        count = 0
        while not self._over:
            name = f"{'a' if attempt == self._json_try else 'b'}{number:07x}{count:08x}"
            count += 1
            self.result.loads += 1
            tries = 0
            since = asyncio.get_running_loop().time()
            while not await self._once(attempt, name, tries):
                tries += 1
                if asyncio.get_running_loop().time() - since > self.patience_s:
                    break
            self.move()

    def choose(self, name: str, tries: int) -> RouterProcess:
        """The router that a try goes to."""
        return self.router

    async def _once(self, attempt: Attempt, name: str, tries: int) -> bool:
        """One try; whether it brought the end. After a cut the same is asked again, once the router is up."""
        router = self.choose(name, tries)
        await router.listening.wait()
        self.result.tries += 1
        try:
            return await attempt(router, name, tries)
        except (OSError, EOFError, AssertionError):  # the connection ended
            await asyncio.sleep(0)
            return False

    async def _json_try(self, router: RouterProcess, name: str, tries: int) -> bool:
        client = JsonClient(*await asyncio.open_connection(HOST, router.ports[0]))
        try:
            client.query(
                "ticket-load",
                "INSERT INTO sales_1.t VALUES (1)",
                txn=name,
                limit=10_000,
                **({"second": 1} if self.marks and tries else {}),
            )
            answer = await client.answer()
        finally:
            client.writer.close()
        runs = self.http.runs[name]
        if "result" in answer:
            self.result.served += 1
            rows = base64.b64decode(answer["result"]["data"])
            if rows != f"{name}\t1\tdone\n".encode() or self.http.ends[name].result() != rows:
                self.result.faults.append(f"{name}: served with {rows!r}, which its one run did not make")
        elif answer["error"]["code"] == -32002:
            self.result.refused += 1
            if runs:
                self.result.faults.append(f"{name}: refused, though it ran")
            await asyncio.sleep(answer["error"]["data"]["later"] / 1000)
            return False
        else:
            self.result.may_have_run += 1
            if not tries and answer["error"]["message"] == EARLIER:
                self.result.faults.append(f"{name}: a first sending was not run")
        if runs > 1:
            self.result.faults.append(f"{name}: ran {runs} times")
        return True

    async def _mysql_try(self, router: RouterProcess, name: str, tries: int) -> bool:
        statement = f"/* slipbay: key={name} */ INSERT INTO sales_2.t VALUES ('{name}')"
        client = await MysqlClient.connect(router.ports[1])
        served = True
        try:
            await client.query(statement)
        except MysqlError as problem:
            served = False
            if problem.code == 9503:
                self.result.refused += 1
                if self.mysql.executed[statement.encode()]:
                    self.result.faults.append(f"{name}: refused, though it ran")
                await asyncio.sleep(0.01)
                return False
        finally:
            client.writer.close()
        runs = self.mysql.executed[statement.encode()]
        if runs > 1 or (served and runs != 1):
            self.result.faults.append(f"{name}: ran {runs} times, {'served' if served else 'failed'}")
        self.result.served += served
        self.result.may_have_run += not served
        if not served:
            await asyncio.sleep(self.pause_s)
        return True


def sweep(kills: int, seed: int, limit_s: float) -> Result:
    """Run one sweep in a folder of its own."""

    async def limited(folder: Path) -> Result:
        started = Sweep(folder, kills, seed)
        try:
            return await asyncio.wait_for(started.run(), limit_s)
        finally:
            process = started.router.process
            if process is not None and process.returncode is None:
                process.kill()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(limited(Path(folder)))


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--kills", type=int, default=300)
    options.add_argument("--seed", type=int, default=1)
    chosen = options.parse_args()
    found = sweep(chosen.kills, chosen.seed, chosen.kills * 10)
    print(found)
    for fault in found.faults:
        print(fault)
    raise SystemExit(bool(found.faults))
